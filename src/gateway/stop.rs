use std::time::Duration;

use tokio::time::sleep;

use crate::gateway::{directory::ANSWER_TTL, state::Gateway};

/// Factor by which callers may exceed the TTL of an address answer.
const TTL_FACTOR: u32 = 3;
/// Time after the last request in which another one that was already sent may still arrive.
const ARRIVAL_WINDOW: Duration = Duration::from_millis(300);
/// Time before SIGKILL at which the process exits even if requests are in progress.
const KILL_MARGIN: Duration = Duration::from_millis(250);
/// Interval at which the process checks whether all requests have been answered.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl Gateway {
    /// Stops gracefully: withdraws the node from address answers at once, serves callers that still have its address
    /// cached, and finishes requests in progress.
    pub(super) async fn stop(&self) {
        let started = self.now();
        let max_wait = self
            .settings
            .borrow()
            .bounds
            .stop_grace
            .saturating_sub(KILL_MARGIN);
        let in_progress = self.active_requests.get();
        log::info!(requests = in_progress, callers = self.caller_connections.get(); "stopping");
        self.stopping.set(true);
        self.announce().await;
        let min_wait = (ANSWER_TTL * TTL_FACTOR + ARRIVAL_WINDOW).min(max_wait);
        let mut idle_since = started;
        loop {
            sleep(CHECK_INTERVAL).await;
            let now = self.now();
            if self.active_requests.get() > 0 {
                idle_since = now;
            }
            let waited = now.since(started);
            let is_idle = now.since(idle_since) >= ARRIVAL_WINDOW;
            if waited >= max_wait || (waited >= min_wait && is_idle) {
                break;
            }
        }
        let waited = self.now().since(started).as_millis() as u64;
        log::info!(waited_ms = waited, unfinished = self.active_requests.get(); "stopped");
    }
}
