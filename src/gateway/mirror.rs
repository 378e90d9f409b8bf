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
        account::Accounts,
        mirror::{
            Change, MAX_FIRST_READ_DELAY, MAX_MIRROR_AGE, Position, ReadPlan, Update, reads_store,
        },
        routing::Routing,
    },
    gateway::{ingress::FEED_PATH, members::millis, state::Gateway},
    platform::{DecodedChange, MalformedItem, StoreClient, StoreError, decode_change},
};

/// Maximum wait of a watch. Each answer confirms to other nodes that this one still reaches the store.
const WATCH_WAIT: Duration = Duration::from_millis(1_000);
/// Time allowed for the answer to a watch in addition to [`WATCH_WAIT`].
const WATCH_MARGIN: Duration = Duration::from_millis(1_000);
/// Minimum and maximum interval at which a node that does not read the store checks whether it has to. The number of
/// readers may grow at the minimum interval; the maximum is for readers that are detected as dead, which other nodes
/// replace.
const READ_CHECK_INTERVAL: (Duration, Duration) =
    (Duration::from_millis(80), Duration::from_millis(400));
/// Maximum random delay before a node that does not read the store asks one that is ahead, so that not all nodes ask at
/// the same time.
const MAX_FETCH_JITTER: Duration = Duration::from_millis(40);
/// Timeouts of successive attempts to read a page of the store, which answers within milliseconds, or within a few
/// hundred milliseconds while it is slow.
const PAGE_TIMEOUTS: [Duration; 4] = [
    Duration::from_millis(120),
    Duration::from_millis(250),
    Duration::from_millis(500),
    Duration::from_millis(1_000),
];
/// Delay after a change in which further changes accumulate, so that a series of changes costs few calls.
const COALESCE_DELAY: Duration = Duration::from_millis(200);
/// Upper bound of the random factor on the delay after a failed call, so that nodes do not call at the same time.
const MAX_RETRY_FACTOR: f64 = 2.0;
/// Interval of fetches from other nodes while the store does not answer this node or other nodes are ahead.
const PEER_FETCH_INTERVAL: Duration = Duration::from_millis(300);
/// Interval of checks whether other nodes are ahead, in addition to the checks triggered by their messages.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time in which a node that reads the store may receive a change from it before another node is asked.
const PEER_FETCH_DELAY: Duration = Duration::from_millis(60);
/// Timeout of a fetch from another node.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of changes that are applied before the task yields to requests.
const CHANGE_BATCH: usize = 64;
/// Maximum size of an update that is fetched from another node while the store answers, bytes. A larger one is read from
/// the store: on a link of 20 Mbit/s each such answer takes 25 ms, and all nodes may ask the same one.
const MAX_PEER_UPDATE_BYTES: usize = 64 << 10;
/// Size of a change from which it is decoded outside the thread that serves requests, bytes.
const OFF_THREAD_DECODE_BYTES: usize = 32 << 10;
/// Interval of checks whether requests still use a configuration that was replaced.
const RETIRE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum size of an update that is fetched from another node while the store does not answer, bytes.
const MAX_OUTAGE_UPDATE_BYTES: usize = 64 << 20;

impl Gateway {
    /// Keeps the mirror of the store in sync until the process exits.
    pub(super) async fn watch_store(self: Rc<Self>) {
        tokio::task::spawn_local(self.clone().sync_from_peers());
        let mut client = StoreClient::new(self.settings.borrow().store);
        let mut plan = ReadPlan::new();
        let delay = self
            .rng
            .borrow_mut()
            .random_range(Duration::ZERO..MAX_FIRST_READ_DELAY);
        sleep(delay).await;
        loop {
            if !self.must_read_store() {
                self.rely_on_readers().await;
                client.disconnect();
                plan.restart(self.mirror.borrow().position().is_start());
            }
            let called = self.now();
            let reads_all = plan.reads_all();
            let result = if reads_all {
                let era = self.mirror.borrow().position().era;
                client.read_all(era, &PAGE_TIMEOUTS).await
            } else {
                let after = self.mirror.borrow().position();
                client.watch(after, WATCH_WAIT, WATCH_MARGIN).await
            };
            let now = self.now();
            match result {
                Ok(read) => {
                    let (position, known) = (read.position, self.mirror.borrow().position());
                    if self.registry.borrow_mut().record_answer(now) {
                        log::info!(position:% = position; "store regained");
                    }
                    self.sync.last_answer.set(Some(now));
                    self.sync.catch_up.set(false);
                    if !self.sync.reading.replace(true) {
                        self.sync.read_update.notify_one();
                    }
                    self.log_malformed_items(now, &read.malformed);
                    let received = read.changes.len();
                    let changes = {
                        let mut mirror = self.mirror.borrow_mut();
                        if reads_all {
                            mirror.replace(now, read.changes, position)
                        } else {
                            mirror.advance(now, read.changes, position)
                        }
                    };
                    if received > 0
                        && let Some(suppressed) = self.log_limiter.admit(now, "store_read")
                    {
                        let applied = changes.len();
                        log::info!(reads_all, received, applied, known:% = known, position:% = position, suppressed; "read from the store");
                    }
                    let changed = !changes.is_empty() || position.era != known.era;
                    self.record_era(known);
                    plan.record_answer();
                    self.apply_changes(changes).await;
                    if changed {
                        self.sync.read_update.notify_one();
                        sleep(COALESCE_DELAY).await;
                    }
                }
                Err(error @ StoreError::OtherEra { .. }) => {
                    let position = self.mirror.borrow().position();
                    log::info!(position:% = position, error:% = error; "all items of the store are read");
                    sleep(plan.record_compaction(now)).await;
                }
                Err(StoreError::Compacted) => {
                    let position = self.mirror.borrow().position();
                    log::info!(position:% = position; "history of the store was compacted, all items are read");
                    sleep(plan.record_compaction(now)).await;
                }
                Err(error) => {
                    metrics::counter!("cranberrychute_store_errors_total", "kind" => error.kind())
                        .increment(1);
                    self.sync.reading.set(false);
                    // The outage may have started at any time during a call that timed out, so it counts from the
                    // start of the call.
                    let timed_out = matches!(error, StoreError::Timeout);
                    let since = if timed_out { called } else { now };
                    if self.registry.borrow_mut().record_failure(since) {
                        let position = self.mirror.borrow().position();
                        log::warn!(position:% = position, error:% = error; "store lost");
                    } else if let Some(suppressed) = self.log_limiter.admit(now, "store_failed") {
                        log::warn!(reads_all, error:% = error, suppressed; "the store still fails");
                    }
                    client.disconnect();
                    let factor = self.rng.borrow_mut().random_range(1.0..MAX_RETRY_FACTOR);
                    let rank = self.members.reader_rank();
                    sleep(plan.record_failure(rank, factor)).await;
                }
            }
        }
    }

    /// Counts and logs items of the store that cannot be read.
    fn log_malformed_items(&self, now: Time, malformed: &[MalformedItem]) {
        metrics::counter!("cranberrychute_store_malformed_items_total")
            .increment(malformed.len() as u64);
        for MalformedItem { key, fault } in malformed {
            if let Some(suppressed) = self.log_limiter.admit(now, "malformed_item") {
                log::warn!(key = &**key, error:% = fault, suppressed; "item of the store cannot be read");
            }
        }
    }

    /// Returns whether this node has to read the store itself.
    fn must_read_store(&self) -> bool {
        if self.mirror.borrow().position().is_start() || self.sync.catch_up.get() {
            return true;
        }
        let age = self.sync.freshness.borrow().age(self.now());
        reads_store(self.members.reader_rank(), age)
    }

    /// Relies on other nodes to read the store until this node has to.
    async fn rely_on_readers(&self) {
        let position = self.mirror.borrow().position();
        self.sync.reading.set(false);
        if self.registry.borrow_mut().record_answer(self.now()) {
            log::info!(position:% = position; "store regained through other nodes");
        }
        log::info!(position:% = position; "other nodes read the store");
        while !self.must_read_store() {
            let age = self.sync.freshness.borrow().age(self.now());
            let pause = MAX_MIRROR_AGE
                .saturating_sub(age)
                .clamp(READ_CHECK_INTERVAL.0, READ_CHECK_INTERVAL.1);
            // Ends early if `catch_up` is set; the loop condition covers both cases.
            let _ = timeout(pause, self.sync.catch_up_needed.notified()).await;
        }
        let age_ms = self.sync.age(self.now()).as_millis() as u64;
        let (position, rank) = (self.mirror.borrow().position(), self.members.reader_rank());
        log::info!(position:% = position, rank, age_ms; "this node reads the store");
    }

    /// Fetches changes from other nodes when they are ahead, and at a regular interval while the store does not answer.
    async fn sync_from_peers(self: Rc<Self>) {
        let mut prefers_own_domain = true;
        loop {
            let lost = self.registry.borrow().is_store_lost();
            let urgent = lost || self.members.random_peer_ahead(&self, false).is_some();
            let pause = if urgent {
                PEER_FETCH_INTERVAL
            } else {
                PEER_CHECK_INTERVAL
            };
            let notified = timeout(pause, self.sync.peer_ahead.notified())
                .await
                .is_ok();
            if notified {
                let delay = if self.sync.reading.get() {
                    PEER_FETCH_DELAY
                } else {
                    self.rng
                        .borrow_mut()
                        .random_range(Duration::ZERO..MAX_FETCH_JITTER)
                };
                sleep(delay).await;
            }
            let position = self.mirror.borrow().position();
            let ahead = self.members.random_peer_ahead(&self, prefers_own_domain);
            let lost = self.registry.borrow().is_store_lost();
            let Some(peer) = ahead.or_else(|| self.members.random_peer(&self).filter(|_| lost))
            else {
                continue;
            };
            let limit = if lost {
                MAX_OUTAGE_UPDATE_BYTES
            } else {
                MAX_PEER_UPDATE_BYTES
            };
            let fetched = fetch_update(peer, position, limit).await;
            // After a fetch without progress, any node may be asked.
            prefers_own_domain = fetched.as_ref().is_ok_and(|fetched| {
                let update = fetched.update.as_ref();
                update.is_some_and(|update| update.position > position)
            });
            match fetched {
                Ok(PeerUpdate { update: None, .. }) => {
                    log::info!(peer:% = peer, position:% = position; "too much for another node, the store is read");
                    self.sync.catch_up.set(true);
                    self.sync.catch_up_needed.notify_one();
                }
                Ok(PeerUpdate {
                    update: Some(update),
                    age_ms,
                    grace_ms,
                }) => {
                    let now = self.now();
                    let (from, to) = (position, update.position);
                    let grace = Duration::from_millis(grace_ms.into());
                    if !grace.is_zero() {
                        self.registry.borrow_mut().extend_grace(now, grace);
                    }
                    let known = self.mirror.borrow().position();
                    if to >= known {
                        let age = Duration::from_millis(age_ms.into());
                        self.sync.freshness.borrow_mut().confirm(now, age);
                    }
                    let held = update.held.len();
                    let changes = self.mirror.borrow_mut().merge(now, update);
                    self.record_era(known);
                    if !changes.is_empty() {
                        log::info!(peer:% = peer, from:% = from, to:% = to, changes = changes.len(), held; "caught up from another node");
                    }
                    self.apply_changes(changes).await;
                }
                Err(error) => {
                    if let Some(suppressed) = self.log_limiter.admit(self.now(), "peer_feed") {
                        log::warn!(peer:% = peer, suppressed, error:% = format!("{error:#}"); "failed to fetch an update from another node");
                    }
                }
            }
        }
    }

    /// Applies changes of the store's items.
    async fn apply_changes(self: &Rc<Self>, changes: Vec<Change>) {
        // Changes from the store and from other nodes must not be reordered while one of them is decoded.
        let _guard = self.sync.apply_lock.lock().await;
        for (index, change) in changes.into_iter().enumerate() {
            if index % CHANGE_BATCH == CHANGE_BATCH - 1 {
                yield_now().await;
            }
            let now = self.now();
            let position = change.position;
            let (change, decoded) = match decode_item(change).await {
                Ok(decoded) => decoded,
                Err(error) => {
                    log::error!(position:% = position, error:% = error; "change lost: the decoding task failed");
                    continue;
                }
            };
            match decoded {
                DecodedChange::Routing(Ok(routing)) => self.apply_routing(now, routing, position),
                DecodedChange::Routing(Err(error)) => {
                    log::error!(position:% = position, error; "configuration rejected");
                }
                DecodedChange::Evacuation { domain, out } => {
                    log::info!(domain:% = domain, out, position:% = position; "failure domain changed");
                    self.upstreams.set_evacuated(&domain, out);
                }
                DecodedChange::Leaf(Ok(record)) => {
                    let added = self.registry.borrow_mut().put(record);
                    self.upstreams.apply(self, added.into_iter().collect());
                }
                DecodedChange::Leaf(Err(error)) => {
                    if let Some(suppressed) = self.log_limiter.admit(now, "leaf_entry") {
                        log::warn!(key = &*change.key, position:% = position, error:% = error, suppressed; "leaf entry ignored");
                    }
                    // It may have replaced the entry of a leaf, which then has none.
                    let removed = self.registry.borrow_mut().remove(now, &error.instance);
                    self.upstreams.apply(self, removed.into_iter().collect());
                }
                DecodedChange::LeafRemoved(instance) => {
                    let removed = self.registry.borrow_mut().remove(now, &instance);
                    if removed.is_none() {
                        log::info!(leaf:% = instance, position:% = position; "removal held back");
                    }
                    self.upstreams.apply(self, removed.into_iter().collect());
                }
                DecodedChange::Other => {}
            }
        }
    }

    /// Logs a change of the store's era and holds back removals, since leaves register again. `known` is the position
    /// before.
    fn record_era(&self, known: Position) {
        let mirror = self.mirror.borrow();
        let position = mirror.position();
        if position.era == known.era || known.is_start() {
            return;
        }
        let held = mirror.held_count();
        log::warn!(known:% = known, position:% = position, held; "the store was restored from a copy");
        self.registry.borrow_mut().hold_removals(self.now());
    }

    /// Applies the state of the store where the time is over for which an earlier one was held.
    pub(super) async fn expire_held(self: &Rc<Self>) {
        let changes = self.mirror.borrow_mut().expire(self.now());
        if !changes.is_empty() {
            log::info!(changes = changes.len(); "held items are over");
            self.apply_changes(changes).await;
        }
    }

    fn apply_routing(&self, now: Time, routing: Routing, position: Position) {
        let mut current = self.routing.borrow_mut();
        if routing.version() < current.version() {
            log::error!(
                version = routing.version(),
                current = current.version(),
                position:% = position;
                "older configuration ignored"
            );
            return;
        }
        let accounts = routing.accounts();
        log::info!(
            version = routing.version(),
            position:% = position,
            routes = routing.len(),
            accounts = accounts.map_or(0, |accounts| accounts.iter().len()),
            keys = accounts.map_or(0, Accounts::key_count),
            uptime_ms = now.since(self.started).as_millis() as u64;
            "configuration in force"
        );
        self.route_stats.retain(routing.routes());
        retire(std::mem::replace(&mut current, Rc::new(routing)));
    }
}

/// Drops a configuration on another thread once no request uses it. Freeing 100,000 accounts would block requests.
fn retire(routing: Rc<Routing>) {
    if routing.accounts().is_none() {
        return;
    }
    tokio::task::spawn_local(async move {
        while Rc::strong_count(&routing) > 1 {
            sleep(RETIRE_INTERVAL).await;
        }
        if let Ok(routing) = Rc::try_unwrap(routing) {
            spawn_blocking(move || drop(routing));
        }
    });
}

/// Decodes a change. A large one is decoded on another thread, so that it does not block requests.
async fn decode_item(change: Change) -> Result<(Change, DecodedChange), JoinError> {
    let large = change.size() >= OFF_THREAD_DECODE_BYTES;
    let decode_owned = move || {
        let decoded = decode_change(&change);
        (change, decoded)
    };
    if large {
        return spawn_blocking(decode_owned).await;
    }
    Ok(decode_owned())
}

/// The answer to a node that fetches changes from another one.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct PeerUpdate {
    /// None if the update is larger than the requesting node accepts.
    update: Option<Update>,
    /// How long ago the sender's mirror was known to be complete, milliseconds.
    age_ms: u32,
    /// Time for which the sender still holds back removals after an outage, milliseconds.
    grace_ms: u32,
}

impl Gateway {
    /// Returns the changes after a position for another node, or no update if they take more than `limit` bytes. A node at
    /// the same position gets the held items whatever their size, since the store does not have them.
    pub(super) fn update_since(&self, after: Position, limit: usize) -> PeerUpdate {
        let now = self.now();
        let update = self.mirror.borrow().update_since(now, after);
        let size: usize = update.changes.iter().map(Change::size).sum();
        PeerUpdate {
            update: (size <= limit).then_some(update),
            age_ms: millis(self.sync.age(now)),
            grace_ms: millis(self.registry.borrow().grace_left(now)),
        }
    }
}

/// Fetches the changes after `after` from another node, if they fit into `limit` bytes.
async fn fetch_update(
    peer: SocketAddr,
    after: Position,
    limit: usize,
) -> anyhow::Result<PeerUpdate> {
    let Position { era, revision } = after;
    let exchange = async {
        let mut connection = Connection::open(peer).await?;
        let request =
            format!("GET {FEED_PATH}?{era},{revision},{limit} HTTP/1.1\r\nHost: {peer}\r\n\r\n");
        connection
            .exchange(request.as_bytes(), MAX_OUTAGE_UPDATE_BYTES, |_| true)
            .await
    };
    let reply = timeout(PEER_TIMEOUT, exchange).await;
    let reply = reply.with_context(|| format!("{peer}: no answer in time"))??;
    postcard::from_bytes(&reply.body)
        .with_context(|| format!("{peer}: failed to decode the update"))
}
