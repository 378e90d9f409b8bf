use std::time::Duration;

use crate::core::{PauseDetector, Time};

/// Gap between two ticks above which the process was paused: several ticks long.
const PAUSE: Duration = Duration::from_millis(900);

/// Time after waking in which messages may have waited since before the pause, and say nothing about now.
const OLD_MESSAGES: Duration = Duration::from_millis(100);

/// Longest time for which a node that woke waits for news before it takes requests again: nobody may be there to give
/// any.
const PATIENCE: Duration = Duration::from_millis(1_000);

/// Whether a node has learnt anything since it was paused.
///
/// Situation answered here: a process that stood still wakes, believes what it knew before, and vouches for it.
#[derive(Clone, Copy, Debug)]
pub struct PauseGuard {
    ticks: PauseDetector,
    woke: Option<Time>,
}

impl PauseGuard {
    /// Starts with a process that runs.
    pub fn new(now: Time) -> Self {
        Self {
            ticks: PauseDetector::new(PAUSE, now),
            woke: None,
        }
    }

    /// Records a regular tick.
    pub fn tick(&mut self, now: Time) {
        if let Some(pause) = self.ticks.tick(now) {
            log::warn!(pause_ms = pause.as_millis() as u64; "the process was paused");
            self.woke = Some(now);
        }
    }

    /// Returns whether messages that are read now may be from before a pause.
    pub fn messages_may_be_stale(&self, now: Time) -> bool {
        self.ticks.is_overdue(now) || self.woke.is_some_and(|woke| now.since(woke) < OLD_MESSAGES)
    }

    /// Returns whether a node whose copy was complete `age` ago still acts on what it knew before a pause.
    pub fn is_outdated(&self, now: Time, age: Duration) -> bool {
        self.ticks.is_overdue(now)
            || self.woke.is_some_and(|woke| {
                let awake = now.since(woke);
                awake < PATIENCE && age > awake
            })
    }
}
