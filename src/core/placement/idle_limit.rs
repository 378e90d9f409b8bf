use std::time::Duration;

use crate::core::Time;

/// Idle time below which a connection is always reused. [`IdleLimit`] never falls below it.
pub const MIN_IDLE_TIME: Duration = Duration::from_millis(100);

/// Time within which two resets of idle connections indicate that leaves drop idle connections. A single one may come
/// from a leaf that terminated.
const RESET_WINDOW: Duration = Duration::from_millis(500);

/// Time after the last reset for which the limit applies. Afterwards idle connections are tried again.
const LIMIT_TTL: Duration = Duration::from_secs(4);

/// Maximum idle time of a connection that is used for another call, common to all leaves of a node.
///
/// Handles leaves that drop connections after a short idle time, many at once, and reset them when the next call
/// arrives. With many leaves, each connection is idle for seconds between two calls, so every call would fail once
/// and use up the retry budget. Two resets within a short time limit the idle time for all leaves, because opening new
/// connections costs less.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdleLimit {
    last_reset: Option<Time>,
    limit: Option<Duration>,
}

impl IdleLimit {
    /// Records that a connection was reset on its first call after `idle` time without one.
    pub fn record_reset(&mut self, now: Time, idle: Duration) {
        if idle < MIN_IDLE_TIME {
            return;
        }
        if !self.is_current(now) {
            self.limit = None;
        }
        let repeated = self
            .last_reset
            .is_some_and(|last| now.since(last) < RESET_WINDOW);
        if repeated || self.limit.is_some() {
            let limit = self.limit.unwrap_or(idle).min(idle / 2);
            self.limit = Some(limit.max(MIN_IDLE_TIME));
        }
        self.last_reset = Some(now);
    }

    /// Returns whether a connection that was idle for this time may be used for a call that can be repeated.
    pub fn allows(&self, now: Time, idle: Duration) -> bool {
        !self.is_current(now) || self.limit.is_none_or(|limit| idle < limit)
    }

    fn is_current(&self, now: Time) -> bool {
        self.last_reset
            .is_some_and(|last| now.since(last) < LIMIT_TTL)
    }
}
