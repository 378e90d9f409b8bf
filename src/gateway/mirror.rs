use std::{net::SocketAddr, rc::Rc, time::Duration};

use anyhow::Context as _;
use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::{
    task::{JoinError, spawn_blocking, yield_now},
    time::{sleep, timeout},
};

use crate::{
    adapter::http1::Connection,
    core::{
        Time,
        mirror::{Change, MAX_FIRST_READ_DELAY, MAX_MIRROR_AGE, Update, reads_store, retry_delay},
        routing::Routing,
    },
    gateway::{ingress::FEED_PATH, members::millis, state::Gateway},
    platform::{DecodedChange, StoreClient, StoreError, decode_change},
};

/// Longest wait of a watch. The answer to each one shows other nodes that this one still hears from the store.
const WATCH: Duration = Duration::from_millis(1_000);
/// Time for an answer of the store beyond the wait of a watch.
const ANSWER: Duration = Duration::from_millis(1_000);
/// Shortest and longest time between two looks of a node that does not read the store at whether it must: as often as
/// the number of readers may grow, and as other nodes may be found dead.
const FOLLOW_CHECK: (Duration, Duration) = (Duration::from_millis(80), Duration::from_millis(400));
/// Longest delay before a node that does not read the store asks one that is ahead, so that not all ask together.
const FOLLOW_SPREAD: Duration = Duration::from_millis(40);
/// Times for a page of the store, which answers within milliseconds and at most some hundred while it is slow.
const PAGE: [Duration; 4] = [
    Duration::from_millis(120),
    Duration::from_millis(250),
    Duration::from_millis(500),
    Duration::from_millis(1_000),
];
/// Pause after news, in which further changes collect, so that a series of them costs few calls.
const COLLECT: Duration = Duration::from_millis(200);
/// Factor up to which the pause after a failed call is drawn, so that nodes do not ask together.
const RETRY_SPREAD: f64 = 2.0;
/// Time between two questions to other nodes while the store does not answer this one or others are ahead.
const PEER_INTERVAL: Duration = Duration::from_millis(300);
/// Time between two looks at whether others are ahead, besides their messages.
const PEER_CHECK: Duration = Duration::from_millis(1_000);
/// Time that the store's own news gets to arrive before another node is asked.
const PEER_DELAY: Duration = Duration::from_millis(60);
/// Time for another node's answer.
const PEER_ANSWER: Duration = Duration::from_millis(400);
/// Changes that are put into force before waiting requests get their turn.
const BATCH: usize = 64;
/// Changes above which a node reads the store rather than asks another node, bytes: on a link of 20 Mbit/s each such
/// answer takes 25 ms, and all nodes may ask the same one.
const LARGE: usize = 64 << 10;
/// Value above which decoding leaves the thread that serves requests, bytes.
const DECODE_APART: usize = 32 << 10;
/// Longest answer of another node, bytes.
const MAX_UPDATE: usize = 64 << 20;

impl Gateway {
    /// Keeps the copy of the store's items up to date as long as the process runs.
    pub(super) async fn watch_store(self: Rc<Self>) {
        tokio::task::spawn_local(self.clone().follow_peers());
        let mut client = StoreClient::new(self.settings.borrow().store);
        let mut whole = true;
        let first = self
            .rng
            .borrow_mut()
            .random_range(Duration::ZERO..MAX_FIRST_READ_DELAY);
        sleep(first).await;
        loop {
            if !self.must_read() {
                self.follow().await;
                client.disconnect();
                whole = self.feed.borrow().revision() == 0;
            }
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
                    if self.registry.borrow_mut().record_answer(now) {
                        log::info!(revision = news.revision; "store regained");
                    }
                    self.sync.answered.set(Some(now));
                    self.sync.catch_up.set(false);
                    if !self.sync.reading.replace(true) {
                        self.sync.fresh.notify_one();
                    }
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
                        self.sync.fresh.notify_one();
                        sleep(COLLECT).await;
                    }
                }
                Err(error) => {
                    self.sync.reading.set(false);
                    // A call without any answer may have begun before the store went away.
                    let silent = matches!(error, StoreError::Timeout);
                    let since = if silent { asked } else { now };
                    if self.registry.borrow_mut().record_failure(since) {
                        let revision = self.feed.borrow().revision();
                        log::warn!(revision, error:% = error; "store lost");
                    }
                    whole |= matches!(error, StoreError::Compacted);
                    client.disconnect();
                    let spread = self.rng.borrow_mut().random_range(1.0..RETRY_SPREAD);
                    sleep(retry_delay(self.members.alive_count()).mul_f64(spread)).await;
                }
            }
        }
    }

    /// Returns whether this node has to read the store itself.
    fn must_read(&self) -> bool {
        if self.feed.borrow().revision() == 0 || self.sync.catch_up.get() {
            return true;
        }
        let age = self.sync.currency.borrow().age(self.now());
        reads_store(self.members.reader_rank(), age)
    }

    /// Leaves reading to other nodes until this one has to.
    async fn follow(&self) {
        let revision = self.feed.borrow().revision();
        self.sync.reading.set(false);
        if self.registry.borrow_mut().record_answer(self.now()) {
            log::info!(revision; "store regained through other nodes");
        }
        log::info!(revision; "other nodes read the store");
        while !self.must_read() {
            let age = self.sync.currency.borrow().age(self.now());
            let pause = MAX_MIRROR_AGE
                .saturating_sub(age)
                .clamp(FOLLOW_CHECK.0, FOLLOW_CHECK.1);
            // Whether time is up or there is too much for another node makes no difference here.
            let _ = timeout(pause, self.sync.too_much.notified()).await;
        }
        let age_ms = self.sync.age(self.now()).as_millis() as u64;
        let (revision, rank) = (self.feed.borrow().revision(), self.members.reader_rank());
        log::info!(revision, rank, age_ms; "this node reads the store");
    }

    /// Asks other nodes for what this one lacks: when they are ahead, and regularly while the store is lost.
    async fn follow_peers(self: Rc<Self>) {
        loop {
            let lost = self.registry.borrow().is_store_lost();
            let known = self.feed.borrow().revision();
            let urgent = lost || self.members.ahead(&self, known).is_some();
            let pause = if urgent { PEER_INTERVAL } else { PEER_CHECK };
            let told = timeout(pause, self.sync.behind.notified()).await.is_ok();
            if told {
                let delay = if self.sync.reading.get() {
                    PEER_DELAY
                } else {
                    self.rng
                        .borrow_mut()
                        .random_range(Duration::ZERO..FOLLOW_SPREAD)
                };
                sleep(delay).await;
            }
            let revision = self.feed.borrow().revision();
            let ahead = self.members.ahead(&self, revision);
            let lost = self.registry.borrow().is_store_lost();
            let Some(peer) = ahead.or_else(|| self.members.any(&self).filter(|_| lost)) else {
                continue;
            };
            let limit = if lost { MAX_UPDATE } else { LARGE };
            match fetch_update(peer, revision, limit).await {
                Ok(PeerUpdate { update: None, .. }) => {
                    log::info!(peer:% = peer, revision; "too much for another node, the store is read");
                    self.sync.catch_up.set(true);
                    self.sync.too_much.notify_one();
                }
                Ok(PeerUpdate {
                    update: Some(update),
                    age_ms,
                    grace_ms,
                }) => {
                    let now = self.now();
                    let (from, to) = (revision, update.revision);
                    let grace = Duration::from_millis(grace_ms.into());
                    if !grace.is_zero() {
                        self.registry.borrow_mut().extend_grace(now, grace);
                    }
                    if to >= self.feed.borrow().revision() {
                        let age = Duration::from_millis(age_ms.into());
                        self.sync.currency.borrow_mut().confirm(now, age);
                    }
                    let changes = self.feed.borrow_mut().merge(update);
                    if !changes.is_empty() {
                        log::info!(peer:% = peer, from, to, changes = changes.len(); "caught up from another node");
                    }
                    self.take(changes).await;
                }
                Err(error) => {
                    if let Some(suppressed) = self.log_limiter.admit(self.now(), "peer_feed") {
                        log::warn!(peer:% = peer, suppressed, error:% = format!("{error:#}"); "no update from another node");
                    }
                }
            }
        }
    }

    /// Puts changes of the store's items into force.
    async fn take(self: &Rc<Self>, changes: Vec<Change>) {
        // The store's and other nodes' changes must not overtake each other while one of them is decoded.
        let _order = self.sync.order.lock().await;
        for (index, change) in changes.into_iter().enumerate() {
            if index % BATCH == BATCH - 1 {
                yield_now().await;
            }
            let now = self.now();
            let revision = change.revision;
            let (change, published) = match decode_apart(change).await {
                Ok(decoded) => decoded,
                Err(error) => {
                    log::error!(revision, error:% = error; "change lost: its decoder failed");
                    continue;
                }
            };
            match published {
                DecodedChange::Routing(Ok(routing)) => {
                    self.take_routing(now, routing, change.revision)
                }
                DecodedChange::Routing(Err(error)) => {
                    log::error!(revision = change.revision, error; "configuration rejected");
                }
                DecodedChange::Evacuation { domain, out } => {
                    log::info!(domain:% = domain, out, revision = change.revision; "failure domain changed");
                    self.upstreams.set_evacuated(&domain, out);
                }
                DecodedChange::Leaf(Ok(record)) => {
                    let put = self.registry.borrow_mut().put(record);
                    self.upstreams.apply(self, put.into_iter().collect());
                }
                DecodedChange::Leaf(Err(error)) => {
                    if let Some(suppressed) = self.log_limiter.admit(now, "leaf_entry") {
                        log::warn!(key = &*change.key, revision = change.revision, error, suppressed; "leaf entry ignored");
                    }
                }
                DecodedChange::LeafRemoved(instance) => {
                    let gone = self.registry.borrow_mut().remove(now, &instance);
                    if gone.is_none() {
                        log::info!(leaf:% = instance, revision = change.revision; "removal held back");
                    }
                    self.upstreams.apply(self, gone.into_iter().collect());
                }
                DecodedChange::Other => {}
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

/// Decodes a change, a large one without holding up requests.
async fn decode_apart(change: Change) -> Result<(Change, DecodedChange), JoinError> {
    let large = change.size() >= DECODE_APART;
    let run = move || {
        let published = decode_change(&change);
        (change, published)
    };
    if large {
        return spawn_blocking(run).await;
    }
    Ok(run())
}

/// What a node tells another one that asks for changes.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct PeerUpdate {
    /// None if it is larger than the node that asks takes.
    update: Option<Update>,
    /// How long ago the sender's copy was known to be complete, milliseconds.
    age_ms: u32,
    /// For how long the sender holds back removals after an outage, milliseconds.
    grace_ms: u32,
}

impl Gateway {
    /// Returns what a node that is complete up to `after` lacks, if that takes at most `limit` bytes.
    pub(super) fn update_since(&self, after: u64, limit: usize) -> PeerUpdate {
        let now = self.now();
        let update = self.feed.borrow().update_since(after);
        let size: usize = update.changes.iter().map(Change::size).sum();
        PeerUpdate {
            update: (size <= limit).then_some(update),
            age_ms: millis(self.sync.age(now)),
            grace_ms: millis(self.registry.borrow().grace_left(now)),
        }
    }
}

/// Asks another node for what one that is complete up to `revision` lacks.
async fn fetch_update(peer: SocketAddr, revision: u64, limit: usize) -> anyhow::Result<PeerUpdate> {
    let exchange = async {
        let mut connection = Connection::open(peer).await?;
        let request =
            format!("GET {FEED_PATH}?{revision},{limit} HTTP/1.1\r\nHost: {peer}\r\n\r\n");
        connection
            .exchange(request.as_bytes(), MAX_UPDATE, |_| true)
            .await
    };
    let reply = timeout(PEER_ANSWER, exchange).await;
    let reply = reply.with_context(|| format!("{peer}: no answer in time"))??;
    postcard::from_bytes(&reply.body)
        .with_context(|| format!("{peer}: the update cannot be decoded"))
}
