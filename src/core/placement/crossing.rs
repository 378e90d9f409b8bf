use std::time::Duration;

use rand::Rng;

use crate::core::{
    Time,
    placement::{Candidate, Choice, LeafStats, pick},
};

/// Difference between the round trips to a leaf in another failure domain and to one in the own domain. One-way latency
/// between domains is 0.9 to 1.4 ms. It is counted in addition to measured latencies, so that equal leaves do not cause
/// traffic between domains.
const EXTRA_ROUND_TRIP: Duration = Duration::from_micros(2_800);
/// Extra cost of a leaf in another domain while traffic has no price, as a multiple of the typical latency. It accounts for
/// the longer round trip.
const UNPRICED_DISTANCE: f64 = 0.4;
/// Share of the time left until the objective that the expected latency of the own domain's leaves may take. With 0.25, calls
/// of urgent queries leave leaves that serve them in time; with 0.35, queries with 36 parts miss their objective more often
/// because of single slow leaves.
const ACCEPTABLE_SHARE: f64 = 0.3;
/// Share of the acceptable latency below which the own domain is not pressed at all.
const RELAXED_SHARE: f64 = 0.6;
/// Failure rate up to which no call leaves a leaf. A single failure five seconds ago leaves 0.025.
const MIN_FAILURE_RATE: f64 = 0.05;
/// Share of calls that leave for each unit of the failure rate above that: all calls after one failure, which raises the rate
/// from 0 to 0.25. With a milder reaction, the failures of one leaf used up the retry budget of its service.
const FAILURE_FACTOR: f64 = 10.0;
/// Number of steps from no calls to all calls.
const STEPS: u8 = 10;
/// Number of steps taken at once while the own domain's leaves exceed the acceptable latency by [`LARGE_STEP_RATIO`]. A gather
/// is late if one of its 36 parts is, so a slow leaf has to be left within a few calls.
const LARGE_STEP: u8 = 4;
const LARGE_STEP_RATIO: f64 = 1.5;
/// Minimum time between steps upwards. Within it, answers show the effect of the last step.
const RISE_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between steps downwards. It is longer than [`RISE_INTERVAL`], because a call that leaves needlessly
/// costs less than a late one.
const FALL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Range of the random factor on these times. Without it, nodes that see the same leaf would move at the same time.
const INTERVAL_FACTOR: (f64, f64) = (0.6, 1.4);
/// Weights of a call that is pressed and of one that is not in the moving average of the pressure. The first is larger,
/// because a service may have routes with longer objectives whose calls are never pressed.
const PRESSURE_WEIGHTS: (f64, f64) = (0.3, 0.1);
/// Pressure above which the share of calls rises: a third of the calls are pressed.
const RISE_PRESSURE: f64 = 0.2;
/// Pressure below which it falls: less than a sixth of the calls are pressed.
const FALL_PRESSURE: f64 = -0.3;
/// Weight of a call in the moving average of the size of calls.
const SIZE_WEIGHT: f64 = 0.1;
/// Size of a call that is assumed before any was measured, KB.
const INITIAL_SIZE_KB: f64 = 1.0;

/// Why a call leaves its domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrossReason {
    /// No leaf of the own domain may get the call.
    NoLeaf,
    /// This node has reached its limits on the own domain's leaves.
    Full,
    /// The own leaf does not answer.
    Stalled,
    /// The own leaf fails or sheds calls.
    Failing,
    /// The own leaf is too slow for the objective, and the call is among the share that leaves.
    Slow,
}

impl CrossReason {
    /// All reasons, in the order of their numbers.
    pub const ALL: [Self; 5] = [
        Self::NoLeaf,
        Self::Full,
        Self::Stalled,
        Self::Failing,
        Self::Slow,
    ];

    /// Returns the label used in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::NoLeaf => "no_leaf",
            Self::Full => "full",
            Self::Stalled => "stalled",
            Self::Failing => "failing",
            Self::Slow => "slow",
        }
    }
}

/// Where a call goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// To the leaf with this index.
    Leaf(usize),
    /// To the leaf with this index in another domain, although the own domain has precedence.
    Crossing(usize, CrossReason),
    /// Nowhere at present: no leaf has room, or only leaves elsewhere that have no spare capacity.
    Wait,
}

/// A change of the share of calls that leave the domain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareChange {
    pub from: f64,
    pub to: f64,
    pub reason: &'static str,
}

/// Where a call goes, and the change of the share that it caused.
#[derive(Clone, Copy, Debug)]
pub struct Decision {
    pub placement: Placement,
    pub change: Option<ShareChange>,
}

/// Decides which calls of one node to one service leave the node's failure domain.
///
/// Designed for services with a leaf in most domains, whose leaves differ in speed, pause, or lack capacity for minutes.
/// Calls stay while the own domain is expected to answer well within the time left. All calls leave a leaf that is
/// stalled or ejected; from one that is too slow, a share of the calls leaves that moves in steps. Nodes see the same
/// slow leaf at the same time, and would otherwise all leave it and all return.
#[derive(Clone, Copy, Debug)]
pub struct Crossing {
    /// Share of the pressed calls that leave, in steps.
    step: u8,
    /// Moving average over calls, from -1 (none is pressed) to 1 (all are).
    pressure: f64,
    /// Earliest times of the next steps.
    rise_at: Time,
    fall_at: Time,
    /// Moving average of the bytes of a call and its answer.
    size_kb: f64,
}

impl Default for Crossing {
    fn default() -> Self {
        Self {
            step: 0,
            pressure: 0.0,
            rise_at: Time::default(),
            fall_at: Time::default(),
            size_kb: INITIAL_SIZE_KB,
        }
    }
}

/// What a decision about a call depends on, besides the leaves.
#[derive(Clone, Copy, Debug)]
pub struct CrossingQuery {
    /// Typical latency of calls of this kind.
    pub typical: Duration,
    /// Time left until the query's objective, zero if it has passed.
    pub time_left: Duration,
    /// Latency that must be gained for each KB of traffic between domains.
    pub price_per_kb: Duration,
    /// The call may go to any domain: it is a hedge or a retry.
    pub is_free: bool,
    /// Traffic between domains has no price, so that another domain only has its fixed cost.
    pub is_unpriced: bool,
    /// A leaf of the own domain may get calls, whether or not it has room for this one.
    pub has_own_leaf: bool,
}

impl Crossing {
    /// Records the size of a call and its answer.
    pub fn record_size(&mut self, bytes: usize) {
        self.size_kb += (bytes as f64 / 1e3 - self.size_kb) * SIZE_WEIGHT;
    }

    /// Returns the share of pressed calls that leave the domain.
    pub fn share(&self) -> f64 {
        f64::from(self.step) / f64::from(STEPS)
    }

    /// Returns the latency that a call to another domain must gain.
    pub fn required_gain(&self, price_per_kb: Duration) -> Duration {
        EXTRA_ROUND_TRIP + price_per_kb.mul_f64(self.size_kb)
    }

    /// Decides where a call goes. `candidates` returns the leaves that have room for it.
    pub fn place<'a, R: Rng, I: Iterator<Item = (usize, Candidate<'a>)>>(
        &mut self,
        now: Time,
        query: CrossingQuery,
        candidates: impl Fn() -> I,
        rng: &mut R,
    ) -> Decision {
        let typical = query.typical;
        if query.is_unpriced {
            let any = pick(now, typical, UNPRICED_DISTANCE, candidates(), rng);
            return any
                .map_or(Placement::Wait, |any| Placement::Leaf(any.index))
                .into();
        }
        let gain = self.required_gain(query.price_per_kb);
        let is_own = |candidate: &(usize, Candidate<'_>)| candidate.1.same_domain;
        let own = pick(now, typical, 0.0, candidates().filter(is_own), rng);
        let pick_any = |rng: &mut R| {
            let distance = gain.as_secs_f64() / typical.as_secs_f64().max(1e-4);
            pick(now, typical, distance, candidates(), rng)
        };
        // A node that keeps no connections to the leaves of its domain chooses among all leaves.
        if query.is_free || own.is_some_and(|own| own.outside_subset) {
            let any = pick_any(rng);
            return any
                .map_or(Placement::Wait, |any| Placement::Leaf(any.index))
                .into();
        }
        if own.is_none() && !query.has_own_leaf {
            let any = pick_any(rng);
            let crossing = |any: Choice| Placement::Crossing(any.index, CrossReason::NoLeaf);
            return any.map_or(Placement::Wait, crossing).into();
        }
        let find_other = |rng: &mut R, may_get: fn(&LeafStats, Time) -> bool| {
            let elsewhere = |candidate: &(usize, Candidate<'_>)| {
                !candidate.1.same_domain && may_get(candidate.1.stats, now)
            };
            pick(now, typical, 0.0, candidates().filter(elsewhere), rng)
        };
        let Some(own) = own else {
            let other = find_other(rng, |stats, now| !stats.is_full(now)).filter(|other| {
                let expected = typical.mul_f64(other.estimate.remembered_cost()) + gain;
                query.price_per_kb.is_zero() || expected < query.time_left
            });
            let crossing = |other: Choice| Placement::Crossing(other.index, CrossReason::Full);
            return other.map_or(Placement::Wait, crossing).into();
        };
        self.compare(now, query, own, find_other, rng)
    }

    /// Decides about a call that a leaf of the own domain has room for. `find_other` returns the best leaf elsewhere that
    /// meets a condition; it is called only if the decision depends on it.
    fn compare<R: Rng>(
        &mut self,
        now: Time,
        query: CrossingQuery,
        own: Choice,
        find_other: impl Fn(&mut R, fn(&LeafStats, Time) -> bool) -> Option<Choice>,
        rng: &mut R,
    ) -> Decision {
        let (home, own) = (Placement::Leaf(own.index), own.estimate);
        let typical = query.typical;
        let gain = self.required_gain(query.price_per_kb);
        let cost_of = |other: Choice| typical.mul_f64(other.estimate.remembered_cost()) + gain;
        let failing_share = (own.failure_rate - MIN_FAILURE_RATE) * FAILURE_FACTOR;
        let reason = match own.is_stalled() {
            true => Some(CrossReason::Stalled),
            false if failing_share > 0.0 && rng.random::<f64>() < failing_share => {
                Some(CrossReason::Failing)
            }
            false => None,
        };
        if let Some(reason) = reason
            && let Some(other) = find_other(rng, |stats, now| !stats.is_full(now))
            && cost_of(other) < typical.mul_f64(own.cost())
            && (query.price_per_kb.is_zero() || cost_of(other) < query.time_left)
        {
            return Placement::Crossing(other.index, reason).into();
        }
        let expected = typical.mul_f64(own.latency);
        let acceptable = query.time_left.mul_f64(ACCEPTABLE_SHARE);
        let is_relaxed = query.time_left.is_zero() || expected < acceptable.mul_f64(RELAXED_SHARE);
        let other = match is_relaxed {
            true => None,
            false => find_other(rng, LeafStats::has_spare),
        };
        // A call that would be late there as well gains nothing.
        let is_sooner = other.is_some_and(|other| cost_of(other) < expected.min(query.time_left));
        let is_pressed = expected > acceptable && is_sooner;
        let (steps, reason) = match is_pressed {
            true if expected > acceptable.mul_f64(LARGE_STEP_RATIO) => {
                (LARGE_STEP, "own_leaves_late")
            }
            true => (1, "own_leaves_slow"),
            false if !is_relaxed && other.is_none() => (1, "no_capacity_elsewhere"),
            false => (1, "own_leaves_fast"),
        };
        let change = self.record(now, is_pressed, steps, reason, rng);
        // A call of the share leaves as well if the own leaf is just fast enough, or the share would swing.
        let other = other.filter(|other| cost_of(*other) <= acceptable.max(expected));
        let placement = match other {
            Some(other) if rng.random::<f64>() < self.share() => {
                Placement::Crossing(other.index, CrossReason::Slow)
            }
            _ => home,
        };
        Decision { placement, change }
    }

    /// Records whether a call was pressed, and moves the share if it is time.
    fn record(
        &mut self,
        now: Time,
        is_pressed: bool,
        steps: u8,
        reason: &'static str,
        rng: &mut impl Rng,
    ) -> Option<ShareChange> {
        let (target, weight) = match is_pressed {
            true => (1.0, PRESSURE_WEIGHTS.0),
            false => (-1.0, PRESSURE_WEIGHTS.1),
        };
        self.pressure += (target - self.pressure) * weight;
        let from = self.step;
        if is_pressed && self.pressure > RISE_PRESSURE && now >= self.rise_at {
            self.step = (self.step + steps).min(STEPS);
        } else if !is_pressed && self.pressure < FALL_PRESSURE && now >= self.fall_at {
            self.step = self.step.saturating_sub(1);
        }
        if self.step == from {
            return None;
        }
        let factor = rng.random_range(INTERVAL_FACTOR.0..INTERVAL_FACTOR.1);
        self.pressure = 0.0;
        self.rise_at = now + RISE_INTERVAL.mul_f64(factor);
        self.fall_at = now + FALL_INTERVAL.mul_f64(factor);
        Some(ShareChange {
            from: f64::from(from) / f64::from(STEPS),
            to: self.share(),
            reason,
        })
    }
}

impl From<Placement> for Decision {
    fn from(placement: Placement) -> Self {
        Self {
            placement,
            change: None,
        }
    }
}
