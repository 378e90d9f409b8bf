use std::{sync::atomic::Ordering, time::Duration};

use tokio::sync::watch;

use super::{Node, control::Control};
use crate::core::Outbound;

/// Time added to the lifetime of address answers for the news of the leave to reach the other nodes.
const ANSWER_MARGIN: Duration = Duration::from_secs(5);
/// Interval at which a leaving node looks whether its work is done.
const POLL: Duration = Duration::from_millis(50);

/// Completes when the watched flag is set.
pub(super) async fn wait(mut stopped: watch::Receiver<bool>) {
    let _ = stopped.wait_for(|stop| *stop).await;
}

impl Node {
    /// Leaves the fleet: takes itself out of address answers, hands its leases over, and serves until no caller
    /// can hold its address or one of its keys any more.
    pub(super) async fn leave(&self) {
        log::info!(node = self.me.as_str(); "leaving");
        let ready = self.refusal().is_none();
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
        if !ready {
            return;
        }
        let end = now + self.address_lifetime() + ANSWER_MARGIN;
        let last_key = self
            .keys
            .lock()
            .expect("no panic while locked")
            .last_expiry();
        let end = last_key.map_or(end, |key| key.max(end));
        let limit = now + Duration::from_millis(self.settings.limits.drain_ms.into());
        tokio::time::sleep(end.min(limit).since(now)).await;
    }

    /// Finishes the work in progress and closes the connections to the other nodes.
    pub(super) async fn finish(&self) {
        self.work.close();
        self.work.wait().await;
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
        tokio::time::sleep(POLL).await;
        self.peers.close().await;
    }

    /// Lifetime of address answers.
    pub(super) fn address_lifetime(&self) -> Duration {
        Duration::from_millis(self.settings.limits.address_lifetime_ms.into())
    }
}
