use std::time::Duration;

use smallvec::SmallVec;

use crate::core::Time;

/// Weight of a new answer in the pace of a leaf: two answers tell a slow leaf from a usual one.
const PACE_WEIGHT: f64 = 0.35;
/// Bounds of one answer's effect on the pace.
const PACE_RANGE: (f64, f64) = (0.2, 20.0);
/// Pace above which an answer is slow. One slow answer may come from a pause that is over; only a second one in a
/// row shows a slow leaf.
const SLOW: f64 = 3.0;
/// What a single slow answer counts as.
const SLOW_ONCE: f64 = 1.2;
/// Time after which half of what was learnt about a leaf is forgotten, so that one avoided for its past is tried
/// again.
const FORGET: Duration = Duration::from_millis(1_500);
/// Weight of a new outcome in the share of failures.
const FAULT_WEIGHT: f64 = 0.25;
/// Time for which a reported load counts.
const LOAD_AGE: Duration = Duration::from_millis(60);
/// Multiple of the usual latency after which an unanswered call shows that its leaf stands still.
const STALL_RATIO: f64 = 3.0;
/// Least time without an answer that counts as a stall.
const STALL_TIME: Duration = Duration::from_millis(12);
/// Cost of a leaf all of whose calls failed of late: above that of any leaf that is only slow.
const FAULT_COST: f64 = 20.0;
/// Cost of a leaf that stands still, besides the time that its oldest call has waited.
const STALL_COST: f64 = 4.0;
/// Weight of a reported load, part of which has ended by the time the report arrives.
const REPORT_WEIGHT: f64 = 0.7;
/// Cost of each call in progress for each slot, so that calls spread before slots are taken.
const BUSY_COST: f64 = 0.15;
/// Points at which a leaf counts as down; an answer of any kind takes them all away.
const DOWN_POINTS: u32 = 4;
/// Points for a refused connection: nothing listens.
const REFUSED_POINTS: u32 = 4;
/// Points for a call without an answer.
const SILENT_POINTS: u32 = 2;
/// Points for a connection that broke under a call: the leaf may lose single answers and work otherwise.
const BROKEN_POINTS: u32 = 1;
/// First time for which a leaf that is down gets no call.
const DOWN_TIME: Duration = Duration::from_millis(250);
/// Longest time for which a leaf that is down gets no call.
const DOWN_TIME_MAX: Duration = Duration::from_millis(2_000);

/// Most calls of one node on one leaf.
const LIMIT_MAX: f64 = 32.0;
/// Factor on the calls in progress that gives the limit after a leaf shed one.
const LIMIT_CUT: f64 = 0.5;
/// Calls by which the limit grows with as many answers as it has calls.
const LIMIT_GROWTH: f64 = 0.25;
/// Rounds of all slots that may wait at a leaf.
const QUEUE_ROUNDS: u32 = 2;

/// The load that a leaf reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeafLoad {
    pub running: u32,
    pub waiting: u32,
    pub slots: u32,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An answer, after this time.
    Answered(Duration),
    /// The leaf ran the call and failed.
    Failed,
    /// The leaf refused the call without running it.
    Shed,
    /// No connection could be opened.
    Refused,
    /// The leaf reset a new connection: it has as many as it accepts.
    ConnectionLimit,
    /// The connection broke under the call.
    Disconnected,
    /// No answer in time.
    NoAnswer,
    /// The call was given up for reasons of its caller.
    Cancelled,
}

/// Identifies a call in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallToken(u32);

/// What one node knows of one leaf from its own calls.
#[derive(Debug)]
pub struct LeafStats {
    calls: SmallVec<[(CallToken, Time); 4]>,
    next: u32,
    /// Latency as a multiple of the usual one.
    pace: f64,
    /// The last answer was slow.
    slow: bool,
    /// Share of calls that failed or were shed.
    faults: f64,
    updated: Time,
    load: LeafLoad,
    loaded: Option<Time>,
    /// Evidence since the last answer that the leaf is down.
    points: u32,
    /// Rests in a row.
    rests: u32,
    /// Until when a leaf that is down gets no call.
    rest: Option<Time>,
    /// Calls that this node may have on the leaf at a time.
    limit: f64,
    /// Calls that a cold leaf may get, and when that was counted.
    cold: (f64, Time),
}

impl LeafStats {
    /// Creates the gauge of a leaf of which nothing is known.
    pub fn new(now: Time, slots: u32) -> Self {
        Self {
            calls: SmallVec::new(),
            next: 0,
            pace: 1.0,
            slow: false,
            faults: 0.0,
            updated: now,
            load: LeafLoad {
                slots,
                ..LeafLoad::default()
            },
            loaded: None,
            points: 0,
            rests: 0,
            rest: None,
            limit: LIMIT_MAX,
            cold: (1.0, now),
        }
    }

    /// Records a call that is sent now.
    pub fn start_call(&mut self, now: Time) -> CallToken {
        let token = CallToken(self.next);
        self.next = self.next.wrapping_add(1);
        self.calls.push((token, now));
        self.cold.0 -= 1.0;
        token
    }

    /// Records the end of a call. `usual` is the latency usual for this kind of call.
    pub fn end_call(&mut self, now: Time, token: CallToken, outcome: Outcome, typical: Duration) {
        let calls = self.calls.len() as f64;
        self.calls.retain(|(call, _)| *call != token);
        self.forget(now);
        match outcome {
            Outcome::Answered(latency) => {
                let pace = latency.as_secs_f64() / typical.as_secs_f64().max(1e-4);
                let mut pace = pace.clamp(PACE_RANGE.0, PACE_RANGE.1);
                let slow = pace > SLOW;
                if slow && !self.slow {
                    pace = SLOW_ONCE;
                }
                self.slow = slow;
                self.pace += (pace - self.pace) * PACE_WEIGHT;
                self.fault(0.0);
                self.alive();
                self.limit = (self.limit + LIMIT_GROWTH / self.limit).min(LIMIT_MAX);
            }
            Outcome::Failed => {
                self.fault(1.0);
                self.alive();
            }
            Outcome::Shed => {
                self.fault(1.0);
                self.alive();
                self.limit = (calls * LIMIT_CUT).clamp(1.0, self.limit);
            }
            Outcome::Refused => self.unanswered(now, REFUSED_POINTS),
            Outcome::NoAnswer => self.unanswered(now, SILENT_POINTS),
            Outcome::Disconnected => self.unanswered(now, BROKEN_POINTS),
            // Other nodes' connections say nothing about whether the leaf works.
            Outcome::ConnectionLimit | Outcome::Cancelled => {}
        }
    }

    /// Records the load that an answer reports.
    pub fn record_load(&mut self, now: Time, load: LeafLoad) {
        self.load = LeafLoad {
            slots: load.slots.max(1),
            ..load
        };
        self.loaded = Some(now);
        if load.waiting > load.slots * QUEUE_ROUNDS {
            self.limit = (self.calls.len() as f64 * LIMIT_CUT).clamp(1.0, self.limit);
        }
    }

    /// Returns the number of this node's calls in progress.
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether the leaf may get another call as far as its queue is known: nodes that do not see each other
    /// all send less to a leaf that sheds or that has a long queue, so that calls wait here, where they can go
    /// elsewhere.
    pub fn has_room(&self) -> bool {
        self.calls.is_empty() || self.calls.len() as f64 + 1.0 <= self.limit
    }

    /// Returns whether the leaf counts as down and is not yet due for another try.
    pub fn is_ejected(&self, now: Time) -> bool {
        self.rest.is_some_and(|until| now < until)
    }

    /// Returns whether the leaf may be tried: one that counted as down gets one call at a time until it answers.
    pub fn may_try(&self, now: Time) -> bool {
        !self.is_ejected(now) && (self.rest.is_none() || self.calls.is_empty())
    }

    /// Returns when a leaf that counts as down is tried again.
    pub fn ejected_until(&self) -> Option<Time> {
        self.rest
    }

    /// Returns whether a cold leaf may get one more call at `rate` calls a second.
    pub fn allows_cold_call(&mut self, now: Time, rate: f64) -> bool {
        let (level, at) = self.cold;
        let level = (level + now.since(at).as_secs_f64() * rate).min(rate.max(1.0));
        self.cold = (level, now);
        level >= 1.0
    }

    /// Returns the expected latency of another call as a multiple of the usual one.
    pub fn cost(&self, now: Time, typical: Duration) -> f64 {
        let keep = keep(now.since(self.updated));
        let pace = 1.0 + (self.pace - 1.0) * keep;
        let reported = self
            .loaded
            .filter(|at| now.since(*at) < LOAD_AGE)
            .map_or(0, |_| self.load.running + self.load.waiting);
        let busy = (self.calls.len() as f64).max(f64::from(reported) * REPORT_WEIGHT);
        let slots = f64::from(self.load.slots.max(1));
        let queue = ((busy + 1.0 - slots) / slots).max(0.0);
        let oldest = self.calls.iter().map(|(_, sent)| now.since(*sent)).max();
        let oldest = oldest.unwrap_or_default();
        let stall = typical.mul_f64(STALL_RATIO * pace).max(STALL_TIME);
        let stalled = if oldest > stall {
            STALL_COST + oldest.as_secs_f64() / typical.as_secs_f64().max(1e-4)
        } else {
            0.0
        };
        let faults = self.faults * keep * FAULT_COST;
        pace * (1.0 + queue) + faults + stalled + BUSY_COST * busy / slots
    }

    fn fault(&mut self, share: f64) {
        self.faults += (share - self.faults) * FAULT_WEIGHT;
    }

    fn alive(&mut self) {
        self.points = 0;
        self.rests = 0;
        self.rest = None;
    }

    fn unanswered(&mut self, now: Time, points: u32) {
        self.fault(1.0);
        self.points += points;
        let on_trial = self.rest.is_some_and(|until| now >= until);
        if on_trial || (self.rest.is_none() && self.points >= DOWN_POINTS) {
            let rest = (DOWN_TIME * 2_u32.pow(self.rests.min(8))).min(DOWN_TIME_MAX);
            self.rests += 1;
            self.rest = Some(now + rest);
        }
    }

    fn forget(&mut self, now: Time) {
        let keep = keep(now.since(self.updated));
        self.pace = 1.0 + (self.pace - 1.0) * keep;
        self.faults *= keep;
        self.updated = now;
    }
}

/// Returns the share that is left of what was learnt some time ago.
fn keep(age: Duration) -> f64 {
    (-age.as_secs_f64() / FORGET.as_secs_f64()).exp2()
}
