use std::{sync::Arc, time::Duration};

use tokio::task::JoinSet;

use super::Node;
use crate::{
    adapter::platform::{PlatformClient, PlatformError, PlatformSettings, WatchResponse},
    core::{
        PauseDetector, Time,
        config::relay::{ReadPacer, ReadRequest, read_role},
    },
};

/// Interval at which the pacer is polled for due requests.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the read role is updated. Each update ranks all alive members, which takes 0.5 ms at 2,800 nodes.
const ROLE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two polls above which the process counts as paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// Interval between requests to the seeds while no configuration is available.
const JOIN_INTERVAL: Duration = Duration::from_millis(500);

/// Reads and watches the configuration service until the node stops.
pub(super) async fn run(node: Arc<Node>) {
    let base_urls = node.settings.platform.clone();
    let client = Arc::new(PlatformClient::new(PlatformSettings {
        base_urls,
        ..Default::default()
    }));
    let now = node.clock.now();
    let mut pacer = ReadPacer::new(now);
    let mut pauses = PauseDetector::new(PAUSE_THRESHOLD, now);
    let mut requests: JoinSet<(ReadRequest, Result<WatchResponse, PlatformError>)> = JoinSet::new();
    let mut next_join = now;
    let mut next_role = now;
    loop {
        let now = node.clock.now();
        if let Some(pause) = pauses.tick(now) {
            log::warn!("the process was paused for {pause:?}; the configuration is read again");
            pacer.read_now(now);
        }
        if now >= next_role {
            next_role = now + ROLE_INTERVAL;
            node.update_role(now, &mut pacer);
        }
        while let Some(read) = pacer.next_request(now) {
            let client = client.clone();
            requests.spawn(async move { (read, send_request(&client, read).await) });
        }
        if now >= next_join && !node.has_configuration() {
            next_join = now + JOIN_INTERVAL;
            node.join().await;
        }
        tokio::select! {
            Some(Ok((read, result))) = requests.join_next() => {
                node.finish_read(&mut pacer, read, result).await;
            }
            () = tokio::time::sleep(POLL_INTERVAL) => {}
        }
    }
}

async fn send_request(
    client: &PlatformClient,
    read: ReadRequest,
) -> Result<WatchResponse, PlatformError> {
    match read {
        ReadRequest::Read { after } => client.watch(after, Duration::ZERO).await,
        ReadRequest::Watch { after, wait } => client.watch(after, wait).await,
    }
}

impl Node {
    fn update_role(&self, now: Time, pacer: &mut ReadPacer) {
        let view = self.view();
        let role = {
            let members = self.members.lock().expect("no panic while locked");
            let vms = view.vms.vms.iter();
            let alive = vms.filter(|vm| vm.id == self.me || members.is_alive(&vm.id));
            read_role(&self.me, alive.map(|vm| (&vm.id, &vm.domain)))
        };
        pacer.set_role(
            now,
            role,
            &mut *self.rng.lock().expect("no panic while locked"),
        );
    }

    fn has_configuration(&self) -> bool {
        self.config
            .lock()
            .expect("no panic while locked")
            .store
            .view()
            .vms_version
            > 0
    }

    async fn finish_read(
        &self,
        pacer: &mut ReadPacer,
        read: ReadRequest,
        result: Result<WatchResponse, PlatformError>,
    ) {
        let now = self.clock.now();
        let revision = result.as_ref().ok().map(|response| response.revision);
        pacer.record_result(
            now,
            read,
            revision,
            &mut *self.rng.lock().expect("no panic while locked"),
        );
        match result {
            Ok(response) => {
                self.config
                    .lock()
                    .expect("no panic while locked")
                    .last_contact = Some(now);
                let mut out = Vec::new();
                self.apply_documents(response.documents, &mut out);
                self.send_all(out).await;
            }
            Err(error) => {
                metrics::counter!("cranberrychute_platform_errors_total").increment(1);
                log::warn!("{error}");
            }
        }
    }
}
