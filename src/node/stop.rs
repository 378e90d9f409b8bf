use std::{sync::atomic::Ordering, time::Duration};

use tokio::sync::watch;

use super::{Node, control::Control};
use crate::core::Outbound;

/// Time added to the lifetime of address answers, in which the other nodes learn that this node is leaving.
const PROPAGATION_MARGIN: Duration = Duration::from_secs(5);
/// Delay between sending the lease releases and closing the connections to other nodes.
const CLOSE_DELAY: Duration = Duration::from_millis(50);

/// Completes when the watched flag is set or its sender is dropped.
pub(super) async fn wait(mut stopped: watch::Receiver<bool>) {
    let _ = stopped.wait_for(|stop| *stop).await;
}

impl Node {
    /// Leaves the fleet: removes this node from address answers, hands its leases over, and serves until its address
    /// answers and keys held by callers have expired, but at most for `drain_ms`. A node that was not ready does not
    /// wait.
    pub(super) async fn leave(&self) {
        log::info!(node = self.me.as_str(); "leaving");
        let was_ready = self.unready_reason().is_none();
        self.leaving.store(true, Ordering::Relaxed);
        let now = self.clock.now();
        self.keys
            .lock()
            .expect("no panic while locked")
            .stop_issuing();
        self.leases
            .lock()
            .expect("no panic while locked")
            .drain_all(now);
        if !was_ready {
            return;
        }
        let deadline = now + self.address_lifetime() + PROPAGATION_MARGIN;
        let last_key = self
            .keys
            .lock()
            .expect("no panic while locked")
            .last_expiry();
        let deadline = last_key.map_or(deadline, |key| key.max(deadline));
        let limit = now + Duration::from_millis(self.settings.limits.drain_ms.into());
        tokio::time::sleep(deadline.min(limit).since(now)).await;
    }

    /// Waits for the requests in progress, releases the leases and closes the connections to the other nodes.
    pub(super) async fn finish(&self) {
        self.in_progress.close();
        self.in_progress.wait().await;
        let mut out = Vec::new();
        let now = self.clock.now();
        {
            let mut leases = self.leases.lock().expect("no panic while locked");
            leases.release_all(now, &mut out);
        }
        let out = out
            .into_iter()
            .map(|Outbound { to, message }| (to, Control::Lease(message)));
        self.send_all(out.collect()).await;
        tokio::time::sleep(CLOSE_DELAY).await;
        self.peers.close().await;
    }

    /// Returns the lifetime of address answers.
    pub(super) fn address_lifetime(&self) -> Duration {
        Duration::from_millis(self.settings.limits.address_lifetime_ms.into())
    }
}
