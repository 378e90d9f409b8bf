use std::{ops::Add, time::Duration};

use serde::{Deserialize, Serialize};

/// A point in time on a node's monotonic clock, in microseconds.
///
/// The clock keeps running while the VM is suspended. Values from different nodes are not comparable.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// Returns the time elapsed since `earlier`, or zero if `earlier` is after `self`.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time `millis` milliseconds after the origin of the clock.
    pub fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, delta: Duration) -> Time {
        Time(
            self.0
                .saturating_add(u64::try_from(delta.as_micros()).unwrap_or(u64::MAX)),
        )
    }
}

/// Detects pauses of the process from gaps between periodic ticks.
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    max_gap: Duration,
    last_tick: Time,
}

impl PauseDetector {
    /// Creates a detector that reports gaps longer than `max_gap`.
    pub fn new(max_gap: Duration, now: Time) -> Self {
        Self {
            max_gap,
            last_tick: now,
        }
    }

    /// Returns whether the next tick is overdue, which means that the process was paused since the last one.
    pub fn is_overdue(&self, now: Time) -> bool {
        now.since(self.last_tick) > self.max_gap
    }

    /// Records a tick and returns the length of the pause before it, if there was one.
    pub fn tick(&mut self, now: Time) -> Option<Duration> {
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        (gap > self.max_gap).then_some(gap)
    }
}
