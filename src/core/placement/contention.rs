use std::time::Duration;

use crate::core::Time;

/// Time for which late requests are held back after a request that can still meet its objective found no free
/// capacity. It is longer than the delay after which that request tries again.
const LATE_HOLD_TIME: Duration = Duration::from_millis(15);

/// Tracks whether requests compete for the leaves of a service.
///
/// Designed for overload: for seconds, a shard has capacity for only some of the requests. If capacity went to the
/// requests that have waited longest, all requests would be served late. Requests that can no longer meet their
/// objective are therefore held back in favor of those that can.
#[derive(Clone, Copy, Debug, Default)]
pub struct Contention {
    no_room_at: Option<Time>,
}

impl Contention {
    /// Records that a request that can still meet its objective found no free capacity.
    pub fn record_no_room(&mut self, now: Time) {
        self.no_room_at = Some(now);
    }

    /// Returns whether a late request may be sent.
    pub fn admits_late(&self, now: Time) -> bool {
        self.no_room_at
            .is_none_or(|at| now.since(at) >= LATE_HOLD_TIME)
    }
}
