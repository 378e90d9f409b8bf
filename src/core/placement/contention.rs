use std::time::Duration;

use crate::core::Time;

/// Time after a request that can meet its objective found no room, for which the leafs are left to such requests. It
/// is above the pause after which that request tries again.
const HOLD: Duration = Duration::from_millis(15);

/// Whether requests compete for the leafs of a service.
///
/// Load pattern answered here: a shard has room for a part of the requests, for seconds. If places went to whoever has
/// waited longest, all requests would be served too late. So those that cannot meet their objective any more stand
/// back for those that can.
#[derive(Clone, Copy, Debug, Default)]
pub struct Contention {
    refused: Option<Time>,
}

impl Contention {
    /// Records that a request that can still meet its objective found no room.
    pub fn record_no_room(&mut self, now: Time) {
        self.refused = Some(now);
    }

    /// Returns whether a request that is late may be sent.
    pub fn admits_late(&self, now: Time) -> bool {
        self.refused.is_none_or(|at| now.since(at) >= HOLD)
    }
}
