use std::time::Duration;

use smallvec::SmallVec;

use crate::core::{Time, admission::Ending};

/// Minimum length of an evidence window. Several leaf calls of 8 ms end within it.
const WINDOW: Duration = Duration::from_millis(100);
/// Number of queries from which a window of this length is evaluated.
const MIN_QUERIES: u32 = 16;
/// The same for nodes that run few queries.
const LONG_WINDOW: Duration = Duration::from_millis(500);
const MIN_LONG_QUERIES: u32 = 4;
/// Length at which a window is evaluated in any case. In a large fleet, a node may run two queries per second.
const MAX_WINDOW: Duration = Duration::from_secs(2);
/// Minimum number of queries of one priority that were hurt by a lack of room for a window to be bad. Single ones are hurt
/// by pauses of leaves.
const MIN_HURT: u32 = 2;
/// Share of the queries of one priority hurt by a lack of room from which a window is evidence of overload while the limit
/// is off.
const ENGAGE_SHARE: f64 = 0.2;
/// The same for the queries of all priorities. Pauses of leaves near the capacity hurt the urgent ones alone.
const ENGAGE_TOTAL_SHARE: f64 = 0.1;
/// Time for which all windows must be bad before the limit is switched on. It is longer than the pauses of leaves, 150 ms.
const ENGAGE_TIME: Duration = Duration::from_millis(250);
/// Share of hurt queries from which the limit is decreased.
const DECREASE_SHARE: f64 = 0.1;
/// Share of hurt queries from which one window is enough for a decrease. Below, two in a row are needed, since a leaf that
/// pauses hurts the urgent queries of one window.
const SEVERE_SHARE: f64 = 0.5;
/// Factor of a decrease. Twice the usual 0.5 of AIMD in connections of which each adds one: here a handful of nodes shares
/// the leaves, and a limit that is too low rejects queries that could be served.
const DECREASE: f64 = 0.8;
/// Share of queries, hurt or not, that met a lack of room from which the limit is not increased.
const HOLD_SHARE: f64 = 0.3;
/// Increase for each good window in which the limit was used up: a share of the limit, at least this number of queries.
const INCREASE_SHARE: f64 = 0.04;
const INCREASE_QUERIES: f64 = 0.25;
/// Factor of the increase while no query met a lack of room. Slots are free then, and each second at a limit that is too
/// low rejects queries that could be served.
const FREE_FACTOR: f64 = 4.0;
/// Minimum limit in queries. Below 1, queries run one at a time with pauses, since with hundreds of nodes even one query
/// from each is more than the leaves take.
const MIN_LIMIT_QUERIES: f64 = 0.1;
/// Time without a queued query after which the limit is switched off.
const OFF_DELAY: Duration = Duration::from_secs(3);
/// Share of the time until the objective that the first limit allows a query to take, by Little's law.
const INITIAL_RUN_SHARE: f64 = 0.5;
/// Bounds of the first limit as shares of the parts in flight.
const INITIAL_SHARES: (f64, f64) = (0.1, 0.5);
/// Weight of a window in the rate.
const RATE_WEIGHT: f64 = 0.4;

/// What the queries in flight look like when the limit is switched on.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlight {
    pub(super) parts: f64,
    /// Mean time from admission to the objective.
    pub(super) objective: Duration,
}

/// Switches a limit on the parts in flight on and off and adapts it: additive increase, multiplicative decrease.
///
/// Evidence is the share of queries that were late or incomplete and lacked room. Latency alone is none: leaves that pause,
/// hang, crash or turn slow make queries late while other leaves have room.
#[derive(Clone, Debug, Default)]
pub(super) struct Limiter {
    limit: Option<f64>,
    window_start: Time,
    ended: u32,
    lacked_room: u32,
    in_time: u32,
    /// Priorities of the queries that ended, with their number and that of those that were hurt. Urgent queries are few
    /// and suffer first, so that their share of all queries would show nothing.
    classes: SmallVec<[(u32, u32, u32); 4]>,
    answered: u64,
    /// The limit kept a query waiting in this window.
    is_used_up: bool,
    /// Start of the first of the bad windows in a row.
    bad_since: Option<Time>,
    /// When the limit was last decreased. Queries admitted before are no evidence about the new limit.
    decreased_at: Time,
    /// When a query last waited.
    queued_at: Time,
    rate: Option<f64>,
    rate_start: Time,
    /// Parts of the largest query.
    pub(super) unit: f64,
    /// The limit was switched on or off or decreased since this was last cleared.
    pub(super) is_changed: bool,
}

impl Limiter {
    pub(super) fn limit(&self) -> Option<f64> {
        self.limit
    }

    /// Returns the measured number of answered parts per second, 0 if not known.
    pub(super) fn rate(&self) -> f64 {
        self.rate.unwrap_or(0.0)
    }

    /// Records that a query waits.
    pub(super) fn record_queued(&mut self, now: Time) {
        self.queued_at = now;
        self.is_used_up = true;
    }

    /// Records the end of a query.
    pub(super) fn record_end(
        &mut self,
        now: Time,
        admitted_at: Time,
        priority: u32,
        ending: Ending,
        in_flight: impl FnOnce() -> InFlight,
    ) {
        if self.ended == 0 && now.since(self.window_start) > MAX_WINDOW {
            // No window passes while nothing ends.
            self.window_start = now;
            self.rate_start = now;
            self.bad_since = None;
        }
        self.answered += u64::from(ending.answered);
        self.in_time += u32::from(ending.in_time);
        if self.limit.is_none() || admitted_at >= self.decreased_at {
            self.ended += 1;
            self.lacked_room += u32::from(ending.lacked_room);
            let hurt = u32::from(ending.lacked_room && !ending.in_time);
            match self.classes.iter_mut().find(|class| class.0 == priority) {
                Some((_, ended, sum)) => {
                    *ended += 1;
                    *sum += hurt;
                }
                None => self.classes.push((priority, 1, hurt)),
            }
        }
        let age = now.since(self.window_start);
        let is_complete = age >= MAX_WINDOW
            || age >= LONG_WINDOW && self.ended >= MIN_LONG_QUERIES
            || age >= WINDOW && self.ended >= MIN_QUERIES;
        if is_complete {
            self.close_window(now, in_flight);
        }
    }

    /// Switches the limit off if nothing has queued for long. Returns whether it did.
    pub(super) fn expire(&mut self, now: Time) -> bool {
        let is_over = self.limit.is_some() && now.since(self.queued_at) >= OFF_DELAY;
        if is_over {
            self.limit = None;
            self.bad_since = None;
            self.is_changed = true;
        }
        is_over
    }

    fn close_window(&mut self, now: Time, in_flight: impl FnOnce() -> InFlight) {
        let seconds = now.since(self.rate_start).as_secs_f64().max(1e-3);
        let rate = self.answered as f64 / seconds;
        self.rate = Some(
            self.rate
                .map_or(rate, |old| old + (rate - old) * RATE_WEIGHT),
        );
        self.rate_start = now;
        let ended = f64::from(self.ended.max(1));
        let shares = self.classes.iter().filter(|class| class.2 >= MIN_HURT);
        let hurt = shares
            .map(|(_, ended, hurt)| f64::from(*hurt) / f64::from(*ended))
            .fold(0.0, f64::max);
        let total: u32 = self.classes.iter().map(|class| class.2).sum();
        let total = f64::from(total) / ended;
        let lacked = f64::from(self.lacked_room) / ended;
        match self.limit {
            None => {
                // If no query is in time, calls take longer than the objective, which a limit does not change.
                if hurt >= ENGAGE_SHARE && total >= ENGAGE_TOTAL_SHARE && self.in_time > 0 {
                    let since = *self.bad_since.get_or_insert(self.window_start);
                    if now.since(since) >= ENGAGE_TIME {
                        self.engage(now, in_flight());
                    }
                } else {
                    self.bad_since = None;
                }
            }
            Some(limit) if hurt >= DECREASE_SHARE => {
                let was_bad = self.bad_since.replace(self.window_start).is_some();
                if was_bad || hurt >= SEVERE_SHARE {
                    self.set_limit(limit * DECREASE);
                    self.decreased_at = now;
                    self.bad_since = None;
                    self.is_changed = true;
                }
            }
            Some(limit) if self.is_used_up && lacked < HOLD_SHARE => {
                self.bad_since = None;
                let step = (limit * INCREASE_SHARE).max(self.unit * INCREASE_QUERIES);
                let factor = if self.lacked_room == 0 {
                    FREE_FACTOR
                } else {
                    1.0
                };
                self.set_limit(limit + step * factor);
            }
            Some(_) => self.bad_since = None,
        }
        self.window_start = now;
        (self.ended, self.lacked_room, self.answered) = (0, 0, 0);
        self.classes.clear();
        self.in_time = 0;
        self.is_used_up = false;
    }

    fn engage(&mut self, now: Time, in_flight: InFlight) {
        let run = in_flight.objective.mul_f64(INITIAL_RUN_SHARE);
        let (low, high) = INITIAL_SHARES;
        let served = self.rate() * run.as_secs_f64();
        let served = served.clamp(in_flight.parts * low, in_flight.parts * high);
        self.set_limit(served.max(self.unit));
        self.bad_since = None;
        self.decreased_at = now;
        self.queued_at = now;
        self.is_changed = true;
    }

    fn set_limit(&mut self, limit: f64) {
        self.limit = Some(limit.max(self.unit * MIN_LIMIT_QUERIES));
    }

    /// Takes over the state of another pool whose services occur in queries with those of this one.
    pub(super) fn absorb(&mut self, other: &Self) {
        self.limit = match (self.limit, other.limit) {
            (Some(limit), Some(other)) => Some(limit + other),
            (limit, other) => limit.or(other),
        };
        self.queued_at = self.queued_at.max(other.queued_at);
        self.unit = self.unit.max(other.unit);
    }
}
