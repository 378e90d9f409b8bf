use std::time::Duration;

use crate::core::{PauseDetector, Time};

/// Gap between two ticks above which the process counts as paused. It is several tick intervals long.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(900);

/// Time after a pause in which received messages may date from before the pause and be out of date.
const STALE_MESSAGE_WINDOW: Duration = Duration::from_millis(100);

/// Maximum time for which a node waits for a sync after a pause before it accepts requests again, since no other node
/// may be reachable.
const SYNC_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Tracks whether a node has synced its mirror since it was last paused.
///
/// Guards against a process that resumes after a pause, acts on its outdated state and confirms it to other nodes.
#[derive(Clone, Copy, Debug)]
pub struct PauseGuard {
    detector: PauseDetector,
    resumed_at: Option<Time>,
}

impl PauseGuard {
    /// Creates a guard for a running process.
    pub fn new(now: Time) -> Self {
        Self {
            detector: PauseDetector::new(PAUSE_THRESHOLD, now),
            resumed_at: None,
        }
    }

    /// Records a periodic tick and detects pauses before it.
    pub fn tick(&mut self, now: Time) {
        if let Some(pause) = self.detector.tick(now) {
            log::warn!(pause_ms = pause.as_millis() as u64; "the process was paused");
            self.resumed_at = Some(now);
        }
    }

    /// Returns whether messages received now may date from before a pause.
    pub fn messages_may_be_stale(&self, now: Time) -> bool {
        self.detector.is_overdue(now)
            || self
                .resumed_at
                .is_some_and(|at| now.since(at) < STALE_MESSAGE_WINDOW)
    }

    /// Returns whether a mirror that was complete `age` ago still has its state from before a pause.
    pub fn is_outdated(&self, now: Time, age: Duration) -> bool {
        self.detector.is_overdue(now)
            || self.resumed_at.is_some_and(|at| {
                let elapsed = now.since(at);
                elapsed < SYNC_TIMEOUT && age > elapsed
            })
    }
}
