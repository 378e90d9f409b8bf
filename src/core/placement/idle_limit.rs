use std::time::Duration;

use crate::core::Time;

/// Rest after which a connection still counts as just used.
pub const MIN_IDLE_TIME: Duration = Duration::from_millis(100);

/// Time within which two connections that were reset after a rest show that leafs forget them. One alone may belong to
/// a leaf that ended.
const WINDOW: Duration = Duration::from_millis(500);

/// Time for which that counts after the last reset. Then rested connections are tried again.
const MEMORY: Duration = Duration::from_secs(4);

/// How long a connection may have rested and still carry a call, for all leafs of a node.
///
/// Load pattern answered here: leafs forget connections after a short rest, many at once, and reset whatever comes next
/// on them. With many leafs each connection rests for seconds between two calls, so every call would fail once and use
/// up the budget for second calls. What two leafs show counts for all: new connections cost less.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdleLimit {
    last: Option<Time>,
    limit: Option<Duration>,
}

impl IdleLimit {
    /// Records that a connection was reset by the first call after a rest.
    pub fn record_reset(&mut self, now: Time, rested: Duration) {
        if rested < MIN_IDLE_TIME {
            return;
        }
        if !self.is_known(now) {
            self.limit = None;
        }
        let again = self.last.is_some_and(|last| now.since(last) < WINDOW);
        if again || self.limit.is_some() {
            let limit = self.limit.unwrap_or(rested).min(rested / 2);
            self.limit = Some(limit.max(MIN_IDLE_TIME));
        }
        self.last = Some(now);
    }

    /// Returns whether a connection that rested this long may carry a call that can be repeated.
    pub fn allows(&self, now: Time, rested: Duration) -> bool {
        !self.is_known(now) || self.limit.is_none_or(|limit| rested < limit)
    }

    fn is_known(&self, now: Time) -> bool {
        self.last.is_some_and(|last| now.since(last) < MEMORY)
    }
}
