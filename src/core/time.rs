use std::{ops::Add, time::Duration};

use serde::{Deserialize, Serialize};

/// A point on a node's own monotonic clock, in microseconds.
///
/// The clock counts the time during which the VM was suspended. Values of two nodes are not comparable.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// Returns the time elapsed since `earlier`, zero if `earlier` lies ahead.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the point a number of milliseconds after the origin of the clock.
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

/// Detects that the process was paused, from the gap between regular ticks.
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    limit: Duration,
    last: Time,
}

impl PauseDetector {
    /// Creates a detector that reports gaps longer than `limit`.
    pub fn new(limit: Duration, now: Time) -> Self {
        Self { limit, last: now }
    }

    /// Returns whether the next tick is late by a pause, before it comes.
    pub fn is_overdue(&self, now: Time) -> bool {
        now.since(self.last) > self.limit
    }

    /// Records a tick and returns the length of the pause before it, if there was one.
    pub fn tick(&mut self, now: Time) -> Option<Duration> {
        let gap = now.since(self.last);
        self.last = now;
        (gap > self.limit).then_some(gap)
    }
}
