use std::time::Duration;

use tokio::time::sleep;

use crate::gateway::{directory::ANSWER_LIFE, state::Gateway};

/// Factor by which callers may exceed the life of an address answer.
const KEPT_LONGER: u32 = 3;
/// Time after the last request in which one that was sent before may still arrive.
const LAST_ARRIVALS: Duration = Duration::from_millis(300);
/// Time before SIGKILL at which the process ends whatever is in progress.
const RESERVE: Duration = Duration::from_millis(250);
/// Interval of looking whether all requests are answered.
const CHECK: Duration = Duration::from_millis(50);

impl Gateway {
    /// Stops gracefully: leaves the address answers at once, serves callers that still hold the address, finishes
    /// what runs.
    pub(super) async fn stop(&self) {
        let begun = self.now();
        let bound = self
            .settings
            .borrow()
            .bounds
            .stop_grace
            .saturating_sub(RESERVE);
        let open = self.requests.get();
        log::info!(requests = open, callers = self.callers.get(); "stopping");
        self.leaving.set(true);
        self.announce().await;
        let addressed = (ANSWER_LIFE * KEPT_LONGER + LAST_ARRIVALS).min(bound);
        let mut quiet_since = begun;
        loop {
            sleep(CHECK).await;
            let now = self.now();
            if self.requests.get() > 0 {
                quiet_since = now;
            }
            let waited = now.since(begun);
            let quiet = now.since(quiet_since) >= LAST_ARRIVALS;
            if waited >= bound || (waited >= addressed && quiet) {
                break;
            }
        }
        let waited = self.now().since(begun).as_millis() as u64;
        log::info!(waited_ms = waited, unfinished = self.requests.get(); "stopped");
    }
}
