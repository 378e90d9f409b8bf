use std::time::Duration;

use smallvec::SmallVec;

use crate::core::{Time, placement::machine_speed::MachineSpeed};

/// Weight of a new answer in the relative latency. With it, two answers distinguish a slow leaf from a typical one.
const LATENCY_WEIGHT: f64 = 0.35;
/// Range to which the relative latency of a single answer is clamped.
const LATENCY_RANGE: (f64, f64) = (0.2, 20.0);
/// Relative latency above which an answer is slow. A slow answer, and those to calls that were sent before it arrived, may
/// come from a pause that is over; only another one in a row indicates a slow leaf.
const SLOW_RATIO: f64 = 3.0;
/// Relative latency with which the first slow answer in a row is counted.
const FIRST_SLOW_RATIO: f64 = 1.2;
/// Half-life of the measurements of a leaf. Measurements decay so that an avoided leaf is tried again.
const HALF_LIFE: Duration = Duration::from_millis(1_500);
/// Weight of a new outcome in the failure rate.
const FAILURE_WEIGHT: f64 = 0.25;
/// Time for which a reported load is used.
const LOAD_TTL: Duration = Duration::from_millis(60);
/// Time for which a reported load shows that a leaf has spare capacity. It is longer than [`LOAD_TTL`], because a node in
/// another domain calls the leaf only now and then.
const SPARE_TTL: Duration = Duration::from_millis(250);
/// Time for which a leaf that shed a call, or reported that all its slots are taken, gets no calls from other failure
/// domains. Afterwards one call at a time shows whether this still holds.
const FULL_TTL: Duration = Duration::from_millis(400);
/// Multiple of a leaf's own recent latency after which a call without an answer indicates that the leaf is stalled.
const STALL_RATIO: f64 = 3.0;
/// Minimum time without an answer after which a leaf counts as stalled.
const MIN_STALL_TIME: Duration = Duration::from_millis(12);
/// Cost of a leaf whose recent calls all failed. It is above the cost of any leaf that is only slow.
const FAILURE_COST: f64 = 20.0;
/// Cost of a stalled leaf, in addition to the time that its oldest call has waited.
const STALL_COST: f64 = 4.0;
/// Weight of a reported load. It is below 1 because some of the reported calls have ended when the report arrives.
const REPORTED_LOAD_WEIGHT: f64 = 0.7;
/// Cost of each call in progress per slot, so that calls are distributed even before all slots are taken.
const BUSY_COST: f64 = 0.15;
/// Number of failure points at which a leaf is ejected. Any answer resets the points to zero.
const EJECTION_POINTS: u32 = 4;
/// Points for a refused connection. They eject the leaf immediately, because no process listens on its address.
const REFUSED_POINTS: u32 = 4;
/// Points for a call without an answer.
const NO_ANSWER_POINTS: u32 = 2;
/// Points for a connection lost during a call. They are fewer because a leaf that works may lose single answers.
const DISCONNECTED_POINTS: u32 = 1;
/// Duration of the first ejection of a leaf.
const MIN_EJECTION_TIME: Duration = Duration::from_millis(250);
/// Maximum duration of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_millis(2_000);

/// Maximum number of concurrent calls from one node to one leaf.
const MAX_CALL_LIMIT: f64 = 32.0;
/// Factor applied to the number of calls in progress to get the new limit after a leaf shed a call.
const LIMIT_DECREASE: f64 = 0.5;
/// Number of calls by which the limit grows for each window of answers as large as the limit.
const LIMIT_INCREASE: f64 = 0.25;
/// Number of queued calls per slot of a leaf above which the node reduces its call limit.
const MAX_QUEUE_PER_SLOT: u32 = 2;

/// Load reported by a leaf.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeafLoad {
    pub running: u32,
    pub waiting: u32,
    pub slots: u32,
    /// How long work currently takes on the leaf's machine, in percent of the usual time.
    pub speed: Option<u16>,
}

/// What a call to a leaf is expected to cost.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Expected latency of an answer, as a multiple of the typical latency.
    pub latency: f64,
    /// The same as far as older answers show that it is lower.
    pub remembered: f64,
    /// Share of calls that currently fail or are shed.
    pub failure_rate: f64,
    /// Cost of the calls that wait for a stalled leaf; zero if it is not stalled.
    pub stall: f64,
}

impl Estimate {
    /// Returns the expected cost, as a multiple of the typical latency.
    pub fn cost(&self) -> f64 {
        self.latency + self.failure_rate * FAILURE_COST + self.stall
    }

    /// Returns the expected cost of a leaf that is called rarely. The typical latency is that of other leaves, which may all
    /// have become slower.
    pub fn remembered_cost(&self) -> f64 {
        self.cost() - self.latency + self.remembered
    }

    /// Returns whether a call to the leaf has waited so long that it appears to be stalled.
    pub fn is_stalled(&self) -> bool {
        self.stall > 0.0
    }
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The leaf answered, with this latency.
    Answered(Duration),
    /// The leaf ran the call and reported a failure.
    Failed,
    /// The leaf rejected the call without running it.
    Shed,
    /// No connection could be established.
    Refused,
    /// The leaf reset a new connection because it already has the maximum number of connections.
    ConnectionLimit,
    /// The connection was lost during the call.
    Disconnected,
    /// The call timed out, or was abandoned after a long time without an answer.
    NoAnswer,
    /// The call was cancelled for reasons unrelated to the leaf.
    Cancelled,
}

/// Identifies a call in progress.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallToken(u32);

/// Statistics of one node about one leaf, from the node's own calls and the load that the leaf reports.
#[derive(Debug)]
pub struct LeafStats {
    calls: SmallVec<[(CallToken, Time); 4]>,
    next_token: u32,
    /// Latency relative to the typical one.
    relative_latency: f64,
    /// Moving average of the latency, which does not decay.
    remembered: Option<Duration>,
    /// When the first of the last answers arrived that were all slow.
    slow_since: Option<Time>,
    /// Share of calls that failed or were shed, as a moving average.
    failure_rate: f64,
    updated_at: Time,
    speed: MachineSpeed,
    load: LeafLoad,
    load_at: Option<Time>,
    /// When the leaf last shed a call or reported that all its slots are taken, if it has not reported spare capacity since.
    full_at: Option<Time>,
    /// Failure points since the last answer.
    points: u32,
    /// Number of ejections since the last answer.
    ejections: u32,
    /// End of the last ejection, if the leaf has not answered since.
    ejected_until: Option<Time>,
    /// Maximum number of concurrent calls from this node to the leaf.
    limit: f64,
}

impl LeafStats {
    /// Creates the statistics of a leaf without measurements.
    pub fn new(now: Time, slots: u32) -> Self {
        Self {
            calls: SmallVec::new(),
            next_token: 0,
            relative_latency: 1.0,
            remembered: None,
            slow_since: None,
            failure_rate: 0.0,
            updated_at: now,
            speed: MachineSpeed::default(),
            load: LeafLoad {
                slots,
                ..LeafLoad::default()
            },
            load_at: None,
            full_at: None,
            points: 0,
            ejections: 0,
            ejected_until: None,
            limit: MAX_CALL_LIMIT,
        }
    }

    /// Records the start of a call.
    pub fn start_call(&mut self, now: Time) -> CallToken {
        let token = CallToken(self.next_token);
        self.next_token = self.next_token.wrapping_add(1);
        self.calls.push((token, now));
        token
    }

    /// Records the end of a call. `typical` is the typical latency of calls of this kind.
    pub fn end_call(&mut self, now: Time, token: CallToken, outcome: Outcome, typical: Duration) {
        let calls = self.calls.len() as f64;
        let sent = self.calls.iter().find(|(call, _)| *call == token);
        let sent = sent.map_or(now, |(_, sent)| *sent);
        self.calls.retain(|(call, _)| *call != token);
        self.decay(now);
        match outcome {
            Outcome::Answered(latency) => {
                let remembered = self.remembered.unwrap_or(latency);
                self.remembered = Some(
                    remembered.mul_f64(1.0 - LATENCY_WEIGHT) + latency.mul_f64(LATENCY_WEIGHT),
                );
                let ratio = latency.as_secs_f64() / typical.as_secs_f64().max(1e-4);
                let mut ratio = ratio.clamp(LATENCY_RANGE.0, LATENCY_RANGE.1);
                self.speed.record_latency(ratio, self.relative_latency);
                let slow = ratio > SLOW_RATIO;
                let slow_since = self.slow_since.filter(|_| slow);
                if slow && slow_since.is_none_or(|at| sent <= at) {
                    ratio = FIRST_SLOW_RATIO;
                }
                self.slow_since = slow.then(|| slow_since.unwrap_or(now));
                self.relative_latency += (ratio - self.relative_latency) * LATENCY_WEIGHT;
                self.record_result(0.0);
                self.record_alive();
                self.limit = (self.limit + LIMIT_INCREASE / self.limit).min(MAX_CALL_LIMIT);
            }
            Outcome::Failed => {
                self.record_result(1.0);
                self.record_alive();
            }
            Outcome::Shed => {
                self.record_result(1.0);
                self.record_alive();
                self.limit = (calls * LIMIT_DECREASE).clamp(1.0, self.limit);
                self.full_at = Some(now);
            }
            Outcome::Refused => self.record_unanswered(now, REFUSED_POINTS),
            Outcome::NoAnswer => self.record_unanswered(now, NO_ANSWER_POINTS),
            Outcome::Disconnected => self.record_unanswered(now, DISCONNECTED_POINTS),
            // The number of connections that other nodes hold does not show whether the leaf works.
            Outcome::ConnectionLimit | Outcome::Cancelled => {}
        }
    }

    /// Records the load reported in an answer.
    pub fn record_load(&mut self, now: Time, load: LeafLoad) {
        self.load = LeafLoad {
            slots: load.slots.max(1),
            ..load
        };
        self.load_at = Some(now);
        // The call whose answer brings the report counts as running in it and has ended.
        let is_full = load.running.saturating_add(load.waiting) > self.load.slots;
        self.full_at = is_full.then_some(now);
        if let Some(percent) = load.speed {
            self.speed.record_report(now, percent);
        }
        if load.waiting > load.slots.saturating_mul(MAX_QUEUE_PER_SLOT) {
            self.limit = (self.calls.len() as f64 * LIMIT_DECREASE).clamp(1.0, self.limit);
        }
    }

    /// Forgets failures that were not the leaf's, because this node's link to it was down.
    pub fn forgive(&mut self) {
        self.failure_rate = 0.0;
        self.record_alive();
    }

    /// Returns the number of this node's calls in progress.
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether a call in progress was sent less than `within` ago.
    pub fn has_recent_call(&self, now: Time, within: Duration) -> bool {
        let mut calls = self.calls.iter();
        calls.any(|(_, sent)| now.since(*sent) < within)
    }

    /// Returns whether the call limit allows another call to the leaf.
    ///
    /// Nodes reduce the limit independently when a leaf sheds calls or reports a long queue. Calls then wait on the
    /// node, where they can still be sent to another leaf.
    pub fn has_room(&self) -> bool {
        self.calls.is_empty() || self.calls.len() as f64 + 1.0 <= self.limit
    }

    /// Returns whether the leaf is ejected at `now`.
    pub fn is_ejected(&self, now: Time) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns whether the leaf may be called. After an ejection it gets one call at a time until it answers.
    pub fn may_try(&self, now: Time) -> bool {
        !self.is_ejected(now) && (self.ejected_until.is_none() || self.calls.is_empty())
    }

    /// Returns the end of the last ejection, `None` if the leaf has answered since.
    pub fn ejected_until(&self) -> Option<Time> {
        self.ejected_until
    }

    /// Returns whether the leaf has lately shed a call or reported that all its slots are taken.
    pub fn is_full(&self, now: Time) -> bool {
        self.full_at.is_some_and(|at| now.since(at) < FULL_TTL)
    }

    /// Returns whether the leaf has spare capacity for a call from another failure domain.
    ///
    /// A leaf that has not reported its load lately gets one call at a time, which brings a report.
    pub fn has_spare(&self, now: Time) -> bool {
        if self.is_full(now) {
            return false;
        }
        let reported_at = self.load_at.filter(|at| now.since(*at) < SPARE_TTL);
        let Some(reported_at) = reported_at else {
            return self.calls.is_empty();
        };
        let sent_since = self.calls.iter().filter(|(_, sent)| *sent > reported_at);
        let busy = self.load.running.saturating_add(self.load.waiting);
        busy as usize + sent_since.count() <= self.load.slots as usize
    }

    /// Returns the expected cost of another call, as a multiple of the typical latency.
    pub fn cost(&self, now: Time, typical: Duration) -> f64 {
        self.estimate(now, typical).cost()
    }

    /// Returns what another call is expected to cost.
    pub fn estimate(&self, now: Time, typical: Duration) -> Estimate {
        let weight = remaining_weight(now.since(self.updated_at));
        let measured = 1.0 + (self.relative_latency - 1.0) * weight;
        let relative_latency = self.speed.correct(now, measured);
        let reported = self
            .load_at
            .filter(|at| now.since(*at) < LOAD_TTL)
            .map_or(0, |_| self.load.running.saturating_add(self.load.waiting));
        let busy = (self.calls.len() as f64).max(f64::from(reported) * REPORTED_LOAD_WEIGHT);
        let slots = f64::from(self.load.slots.max(1));
        let queue = ((busy + 1.0 - slots) / slots).max(0.0);
        let oldest = self.calls.iter().map(|(_, sent)| now.since(*sent)).max();
        let oldest = oldest.unwrap_or_default();
        let stall = typical.mul_f64(STALL_RATIO * measured).max(MIN_STALL_TIME);
        let stall = if oldest > stall {
            STALL_COST + oldest.as_secs_f64() / typical.as_secs_f64().max(1e-4)
        } else {
            0.0
        };
        let remembered = self.remembered.map_or(relative_latency, |latency| {
            let latency = latency.as_secs_f64() / typical.as_secs_f64().max(1e-4);
            latency.min(relative_latency)
        });
        let with_queue = |latency: f64| latency * (1.0 + queue) + BUSY_COST * busy / slots;
        Estimate {
            latency: with_queue(relative_latency),
            remembered: with_queue(remembered),
            failure_rate: self.failure_rate * weight,
            stall,
        }
    }

    fn record_result(&mut self, failed: f64) {
        self.failure_rate += (failed - self.failure_rate) * FAILURE_WEIGHT;
    }

    fn record_alive(&mut self) {
        self.points = 0;
        self.ejections = 0;
        self.ejected_until = None;
    }

    fn record_unanswered(&mut self, now: Time, points: u32) {
        self.record_result(1.0);
        self.points += points;
        let ejection_over = self.ejected_until.is_some_and(|until| now >= until);
        if ejection_over || (self.ejected_until.is_none() && self.points >= EJECTION_POINTS) {
            let duration =
                (MIN_EJECTION_TIME * 2_u32.pow(self.ejections.min(8))).min(MAX_EJECTION_TIME);
            self.ejections += 1;
            self.ejected_until = Some(now + duration);
        }
    }

    fn decay(&mut self, now: Time) {
        let weight = remaining_weight(now.since(self.updated_at));
        self.relative_latency = 1.0 + (self.relative_latency - 1.0) * weight;
        self.failure_rate *= weight;
        self.updated_at = now;
    }
}

/// Returns the weight that a measurement of this age still has.
fn remaining_weight(age: Duration) -> f64 {
    (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
}
