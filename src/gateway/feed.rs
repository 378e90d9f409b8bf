use std::{net::SocketAddr, rc::Rc, time::Duration};

use anyhow::Context as _;
use rand::Rng;
use tokio::{
    task::yield_now,
    time::{sleep, timeout},
};

use crate::{
    adapter::http1::Connection,
    core::{
        Time,
        feed::{Change, Update},
        routing::Routing,
    },
    gateway::{ingress::FEED_PATH, state::Gateway},
    platform::{Published, StoreClient, StoreError, decode},
};

/// Longest wait of a watch. Keep-alive probes notice a silent connection, and other nodes tell of news meanwhile.
const WATCH: Duration = Duration::from_secs(10);
/// Time for an answer of the store beyond the wait of a watch.
const ANSWER: Duration = Duration::from_millis(1_000);
/// Times for a page of the store, which answers within milliseconds and at most some hundred while it is slow.
const PAGE: [Duration; 4] = [
    Duration::from_millis(120),
    Duration::from_millis(250),
    Duration::from_millis(500),
    Duration::from_millis(1_000),
];
/// Pause after news, in which further changes collect, so that a series of them costs few calls.
const COLLECT: Duration = Duration::from_millis(200);
/// Pause after a failed call, drawn up to twice as long, so that nodes do not ask together.
const RETRY: Duration = Duration::from_millis(250);
/// Time between two questions to other nodes while the store does not answer this one.
const PEER_INTERVAL: Duration = Duration::from_millis(300);
/// Time that the store's own news gets to arrive before another node is asked.
const PEER_DELAY: Duration = Duration::from_millis(60);
/// Time for another node's answer.
const PEER_ANSWER: Duration = Duration::from_millis(400);
/// Changes that are put into force before waiting requests get their turn.
const BATCH: usize = 64;
/// Longest answer of another node, bytes.
const MAX_UPDATE: usize = 64 << 20;

impl Gateway {
    /// Keeps the copy of the store's items up to date as long as the process runs.
    pub(super) async fn watch_store(self: Rc<Self>) {
        tokio::task::spawn_local(self.clone().follow_peers());
        let mut client = StoreClient::new(self.settings.borrow().store);
        let mut whole = true;
        loop {
            let asked = self.now();
            let read = if whole {
                client.read_all(&PAGE).await
            } else {
                let after = self.feed.borrow().revision();
                client.watch(after, WATCH, ANSWER).await
            };
            let now = self.now();
            match read {
                Ok(news) => {
                    if self.store_lost.replace(None).is_some() {
                        log::info!(revision = news.revision; "store regained");
                    }
                    self.registry.borrow_mut().contact(now);
                    self.informed.set(now);
                    let changes = {
                        let mut feed = self.feed.borrow_mut();
                        if whole {
                            feed.replace(news.changes, news.revision)
                        } else {
                            feed.advance(news.changes, news.revision)
                        }
                    };
                    let changed = !changes.is_empty();
                    whole = false;
                    self.take(changes).await;
                    if changed {
                        sleep(COLLECT).await;
                    }
                }
                Err(error) => {
                    // A call without any answer may have begun before the store went away.
                    let silent = matches!(error, StoreError::Timeout);
                    self.registry
                        .borrow_mut()
                        .lost(if silent { asked } else { now });
                    if self.store_lost.get().is_none() {
                        self.store_lost.set(Some(now));
                        let revision = self.feed.borrow().revision();
                        log::warn!(revision, error:% = error; "store lost");
                    }
                    whole |= matches!(error, StoreError::Compacted);
                    client.reset();
                    let pause = RETRY.mul_f64(self.rng.borrow_mut().random_range(1.0..2.0));
                    sleep(pause).await;
                }
            }
        }
    }

    /// Asks other nodes for what this one lacks: when they are ahead, and regularly while the store is lost.
    async fn follow_peers(self: Rc<Self>) {
        loop {
            let told = timeout(PEER_INTERVAL, self.behind.notified()).await.is_ok();
            if told {
                sleep(PEER_DELAY).await;
            }
            let revision = self.feed.borrow().revision();
            let ahead = self.members.ahead(&self, revision);
            let lost = self.store_lost.get().is_some();
            let Some(peer) = ahead.or_else(|| self.members.any(&self).filter(|_| lost)) else {
                continue;
            };
            match fetch_update(peer, revision).await {
                Ok(update) => {
                    self.informed.set(self.now());
                    let (from, to) = (revision, update.revision);
                    let changes = self.feed.borrow_mut().merge(update);
                    if !changes.is_empty() {
                        log::info!(peer:% = peer, from, to, changes = changes.len(); "caught up from another node");
                    }
                    self.take(changes).await;
                }
                Err(error) => {
                    if let Some(suppressed) = self.journal.admit(self.now(), "peer_feed") {
                        log::warn!(peer:% = peer, suppressed, error:% = format!("{error:#}"); "no update from another node");
                    }
                }
            }
        }
    }

    /// Puts changes of the store's items into force.
    async fn take(self: &Rc<Self>, changes: Vec<Change>) {
        for (index, change) in changes.into_iter().enumerate() {
            if index % BATCH == BATCH - 1 {
                yield_now().await;
            }
            let now = self.now();
            match decode(&change) {
                Published::Routing(Ok(routing)) => self.take_routing(now, routing, change.revision),
                Published::Routing(Err(error)) => {
                    log::error!(revision = change.revision, error; "configuration rejected");
                }
                Published::Evacuation { domain, out } => {
                    log::info!(domain:% = domain, out, revision = change.revision; "failure domain changed");
                    self.fleet.set_evacuated(&domain, out);
                }
                Published::Leaf(Ok(record)) => {
                    let put = self.registry.borrow_mut().put(record);
                    self.fleet.apply(self, put.into_iter().collect());
                }
                Published::Leaf(Err(error)) => {
                    if let Some(suppressed) = self.journal.admit(now, "leaf_entry") {
                        log::warn!(key = &*change.key, revision = change.revision, error, suppressed; "leaf entry ignored");
                    }
                }
                Published::LeafGone(instance) => {
                    let gone = self.registry.borrow_mut().remove(now, &instance);
                    if gone.is_none() {
                        log::info!(leaf:% = instance, revision = change.revision; "removal held back");
                    }
                    self.fleet.apply(self, gone.into_iter().collect());
                }
                Published::Other => {}
            }
        }
    }

    fn take_routing(&self, now: Time, routing: Routing, revision: u64) {
        let mut current = self.routing.borrow_mut();
        if routing.version() < current.version() {
            log::error!(
                version = routing.version(),
                current = current.version(),
                revision;
                "older configuration ignored"
            );
            return;
        }
        log::info!(
            version = routing.version(),
            revision,
            routes = routing.len(),
            uptime_ms = now.since(self.started).as_millis() as u64;
            "configuration in force"
        );
        self.routes.keep(routing.routes());
        *current = Rc::new(routing);
    }
}

/// Asks another node for what one that is complete up to `revision` lacks.
async fn fetch_update(peer: SocketAddr, revision: u64) -> anyhow::Result<Update> {
    let exchange = async {
        let mut connection = Connection::open(peer).await?;
        let request = format!("GET {FEED_PATH}?{revision} HTTP/1.1\r\nHost: {peer}\r\n\r\n");
        connection
            .exchange(request.as_bytes(), MAX_UPDATE, |_| true)
            .await
    };
    let reply = timeout(PEER_ANSWER, exchange).await;
    let reply = reply.with_context(|| format!("{peer}: no answer in time"))??;
    postcard::from_bytes(&reply.body)
        .with_context(|| format!("{peer}: the update cannot be decoded"))
}
