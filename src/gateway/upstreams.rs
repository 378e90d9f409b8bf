use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use rand::Rng;
use smallvec::SmallVec;
use tokio::time::{sleep, timeout};

use crate::{
    adapter::http1::{Connection, ExchangeError},
    core::{
        Domain, Instance, ServiceName, Time,
        limit::{Allowance, LeafLimit, Tally},
        placement::{
            Candidate, CarriedRequests, ConnectionChoice, Contention, Crossing, CrossingQuery,
            LeafStats, Placement, RequestKey, choose_connection, connection_share,
            own_domain_first,
        },
        registry::{LeafChange, LeafRecord},
        retry::RetryBudget,
        score,
    },
    gateway::{Settings, claims::Claims, limits::ReportedLeaves, state::Gateway},
};

/// Timeout for opening a connection to a leaf. A stalled leaf accepts the connection after its pause.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum random delay of the first connection to a leaf, so that nodes do not all connect at the same time.
const MAX_CONNECT_JITTER: Duration = Duration::from_millis(600);
/// Time for which no further connection is opened to a leaf that reset a new one.
const CONNECT_BACKOFF: Duration = Duration::from_millis(100);
/// Number of connections to a leaf that are opened in advance.
const SPARE_CONNECTIONS: usize = 1;

/// An idle connection to a leaf.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    /// When it became idle.
    since: Time,
    carried: CarriedRequests,
}

/// One incarnation of a leaf.
#[derive(Debug)]
pub(super) struct Leaf {
    pub(super) record: RefCell<Arc<LeafRecord>>,
    pub(super) stats: RefCell<LeafStats>,
    /// Idle connections, the least recently used one first.
    idle: RefCell<Vec<IdleConnection>>,
    /// Number of connections, including idle ones and those being opened.
    open_count: Cell<usize>,
    /// The leaf was removed or replaced, or another leaf has its address.
    pub(super) defunct: Cell<bool>,
    /// The leaf has answered a call, or has named itself when it rejected one for another leaf.
    pub(super) confirmed: Cell<bool>,
    /// The entries of other leaves name the same address.
    pub(super) contested: Cell<bool>,
    /// When the entry appeared or began to name another address.
    pub(super) since: Time,
    cold_until: Cell<Option<Time>>,
    /// The rate limit that the leaf names in its answers.
    pub(super) limit: RefCell<LeafLimit>,
    /// Calls that this node may send while the leaf is cold.
    pub(super) cold_calls: RefCell<Allowance>,
    /// Calls since the last report of the calls to leaves that name a limit.
    pub(super) tally: Cell<Tally>,
    /// Until when no further connection is opened, because the leaf has reset a new one.
    backoff_until: Cell<Option<Time>>,
    /// This node keeps connections to the leaf.
    pooled: Cell<bool>,
    /// Rendezvous score, which gives each node its own order of the leaves of a service.
    rank: u64,
}

impl Leaf {
    fn new(now: Time, record: Arc<LeafRecord>, node: &str) -> Self {
        let leaf = Self {
            stats: RefCell::new(LeafStats::new(now, record.slots)),
            idle: RefCell::default(),
            open_count: Cell::new(0),
            defunct: Cell::new(false),
            confirmed: Cell::new(false),
            contested: Cell::new(false),
            since: now,
            cold_until: Cell::new(None),
            limit: RefCell::default(),
            cold_calls: RefCell::default(),
            tally: Cell::default(),
            backoff_until: Cell::new(None),
            pooled: Cell::new(false),
            rank: score(node, record.instance.as_str()),
            record: RefCell::new(record),
        };
        leaf.set_cold(now, leaf.record.borrow().warmup_left);
        leaf
    }

    /// Records that the leaf stays cold for `left`; zero means that it is warm.
    pub(super) fn set_cold(&self, now: Time, left: Duration) {
        self.cold_until.set((!left.is_zero()).then(|| now + left));
    }

    /// Returns the earliest time at which this node may call the leaf within the limits over all nodes, `None` if there
    /// are no such limits at present.
    fn next_call(&self, gateway: &Gateway, now: Time) -> Option<Time> {
        let named = self.limit.borrow_mut().next_call(now);
        let Some(warm_at) = self.cold_until.get().filter(|until| now < *until) else {
            return named;
        };
        if !self.cold_calls.borrow().is_assigned() {
            gateway.set_cold_share(now, self);
        }
        let mut cold_calls = self.cold_calls.borrow_mut();
        let cold = cold_calls
            .is_assigned()
            .then(|| cold_calls.next_call(now).unwrap_or(warm_at));
        named.max(cold)
    }

    /// Records a call against the limits over all nodes.
    fn take_call(&self, now: Time) {
        self.limit.borrow_mut().take(now);
        if self.is_cold(now) {
            self.cold_calls.borrow_mut().take();
        }
    }

    /// Records that a call was not sent after all.
    pub(super) fn give_back_call(&self) {
        self.limit.borrow_mut().give_back();
        self.cold_calls.borrow_mut().give_back();
    }

    /// Counts a call.
    pub(super) fn record_call(&self, is_extra: bool) {
        let mut tally = self.tally.get();
        tally.record(is_extra);
        self.tally.set(tally);
    }

    pub(super) fn instance(&self) -> Instance {
        self.record.borrow().instance.clone()
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.record.borrow().address
    }

    pub(super) fn is_cold(&self, now: Time) -> bool {
        self.cold_until.get().is_some_and(|until| now < until)
    }

    /// Takes an idle connection that has not carried `request` and whose idle time is accepted by `allows`, and returns it
    /// with that time. Connections that do not qualify are closed, one that has carried the request if there are no others.
    /// The connection counts as open until the lease is released or dropped.
    pub(super) fn take_idle(
        self: &Rc<Self>,
        now: Time,
        request: RequestKey,
        allows: impl Fn(Duration) -> bool,
    ) -> Option<(ConnectionLease, Duration)> {
        loop {
            let choice = {
                let idle = self.idle.borrow();
                choose_connection(idle.iter().map(|idle| &idle.carried), request)
            };
            let (index, reuse) = match choice {
                ConnectionChoice::Open => return None,
                ConnectionChoice::Reuse(index) => (index, true),
                ConnectionChoice::Replace(index) => (index, false),
            };
            let IdleConnection {
                mut connection,
                since,
                carried,
            } = self.idle.borrow_mut().remove(index);
            let idle_time = now.since(since);
            let mut lease = ConnectionLease::new(self);
            if !reuse {
                return None;
            }
            if allows(idle_time) && connection.is_idle() {
                lease.connection = Some(connection);
                lease.carried = carried;
                return Some((lease, idle_time));
            }
        }
    }

    /// Opens a new connection. It counts as open from the start of the attempt.
    ///
    /// # Errors
    ///
    /// Fails if the leaf refuses the connection or does not accept it within [`CONNECT_TIMEOUT`].
    pub(super) async fn connect(self: &Rc<Self>) -> Result<ConnectionLease, ExchangeError> {
        self.open_count.set(self.open_count.get() + 1);
        let mut lease = ConnectionLease::new(self);
        let address = self.address();
        let opened = timeout(CONNECT_TIMEOUT, Connection::open(address)).await;
        let opened = opened.unwrap_or_else(|_| Err(ExchangeError::connect_timeout(address)));
        lease.connection = Some(opened?);
        Ok(lease)
    }

    /// Opens no further connections for [`CONNECT_BACKOFF`], because the leaf reset a new one: it has reached its
    /// connection limit but is otherwise healthy.
    pub(super) fn start_backoff(&self, now: Time) {
        self.backoff_until.set(Some(now + CONNECT_BACKOFF));
    }

    fn has_room(&self, now: Time, max_connections: usize) -> bool {
        let backing_off = self.backoff_until.get().is_some_and(|until| now < until);
        !self.idle.borrow().is_empty() || !backing_off && self.open_count.get() < max_connections
    }

    /// Returns whether a connection that has not carried `request` is idle.
    fn has_idle(&self, request: RequestKey) -> bool {
        let idle = self.idle.borrow();
        idle.iter().any(|idle| !idle.carried.contains(request))
    }

    fn close_idle(&self) {
        let closed = self.idle.take().len();
        self.open_count.set(self.open_count.get() - closed);
    }

    /// Returns whether this node keeps connections to the leaf but has none.
    pub(super) fn needs_connection(&self) -> bool {
        self.pooled.get() && self.open_count.get() == 0
    }

    /// Drops idle connections that the leaf has closed, or all of them if this node keeps no connections to it.
    fn prune_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        let previous = idle.len();
        idle.retain_mut(|idle| self.pooled.get() && idle.connection.is_idle());
        self.open_count
            .set(self.open_count.get() - (previous - idle.len()));
    }
}

/// A slot in a leaf's connection count. Dropping it frees the slot and closes the connection.
#[derive(Debug)]
pub(super) struct ConnectionLease {
    leaf: Rc<Leaf>,
    pub(super) connection: Option<Connection>,
    pub(super) carried: CarriedRequests,
}

impl ConnectionLease {
    fn new(leaf: &Rc<Leaf>) -> Self {
        Self {
            leaf: leaf.clone(),
            connection: None,
            carried: CarriedRequests::default(),
        }
    }

    /// Returns the connection to the idle ones if it can carry another call.
    pub(super) fn release(mut self, now: Time) {
        if let Some(mut connection) = self.connection.take()
            && connection.is_idle()
        {
            self.leaf.idle.borrow_mut().push(IdleConnection {
                connection,
                since: now,
                carried: self.carried,
            });
            // The idle connection keeps the slot that dropping the lease frees.
            self.leaf.open_count.set(self.leaf.open_count.get() + 1);
        }
    }
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        self.leaf
            .open_count
            .set(self.leaf.open_count.get().saturating_sub(1));
    }
}

/// The leaves of one service, and this node's limits for calls to them.
#[derive(Debug, Default)]
pub(super) struct Service {
    pub(super) leaves: RefCell<Vec<Rc<Leaf>>>,
    /// Maximum number of connections of this node to each leaf.
    max_connections: Cell<usize>,
    pub(super) budget: RefCell<RetryBudget>,
    pub(super) contention: Cell<Contention>,
    /// Which calls leave the node's failure domain.
    pub(super) crossing: RefCell<Crossing>,
}

impl Service {
    /// Returns whether hedges of calls to the service leave the node's failure domain, because it has no second leaf there
    /// but leaves elsewhere. False if traffic between domains has no price.
    pub(super) fn hedges_cross(&self, settings: &Settings) -> bool {
        if settings.domain_traffic_price.is_zero() {
            return false;
        }
        let leaves = self.leaves.borrow();
        let near = leaves
            .iter()
            .filter(|leaf| leaf.record.borrow().domain == settings.domain);
        let near = near.count();
        near < 2 && near < leaves.len()
    }
}

/// Why no leaf of a service can take a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoLeaf {
    /// Leaves are available, but this node has reached its limits on all of them.
    Full,
    /// The rate of every leaf that is available is limited, and this node may call the first of them at this time.
    Limited(Time),
    /// No leaf is available; the earliest one is tried again at this time.
    Down(Option<Time>),
}

/// The services and leaves known to the gateway.
#[derive(Debug, Default)]
pub(super) struct Upstreams {
    services: RefCell<HashMap<ServiceName, Rc<Service>>>,
    pub(super) leaves: RefCell<HashMap<Instance, Rc<Leaf>>>,
    pub(super) claims: Claims,
    evacuated: RefCell<HashSet<Domain>>,
    pub(super) reported: ReportedLeaves,
}

/// What is needed of the leaf for a call.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeafQuery<'a> {
    /// Typical latency of the calls of the route.
    pub(super) typical: Duration,
    /// Time left until the objective of the query, zero if it has passed.
    pub(super) time_left: Duration,
    /// Whether the call is a hedge or a retry, which goes to any failure domain.
    pub(super) is_extra: bool,
    /// Regions whose leaves may be called; all if empty.
    pub(super) regions: &'a [Arc<str>],
    /// Leaves that must not be called.
    pub(super) tried: &'a [Rc<Leaf>],
    /// Identifies the request on the connections that carry it.
    pub(super) key: RequestKey,
    /// Whether leaves that name a rate limit may be called.
    pub(super) limited: bool,
    /// Whether to choose among the leaves with the fewest calls of this node in progress.
    pub(super) least_used: bool,
}

/// A leaf that has room for a call.
#[derive(Clone, Copy, Debug)]
struct UsableLeaf {
    index: usize,
    /// The leaf is in the node's own failure domain.
    is_near: bool,
}

impl Upstreams {
    /// Returns the service with this name, creating it on first use.
    pub(super) fn service(&self, name: &ServiceName) -> Rc<Service> {
        let mut services = self.services.borrow_mut();
        if let Some(service) = services.get(name) {
            return service.clone();
        }
        let service = Rc::<Service>::default();
        services.insert(name.clone(), service.clone());
        service
    }

    pub(super) fn set_evacuated(&self, domain: &Domain, out: bool) {
        let mut evacuated = self.evacuated.borrow_mut();
        if out {
            evacuated.insert(domain.clone());
        } else {
            evacuated.remove(domain);
        }
    }

    /// Returns the failure domains with many leaves: at least half as many as the domain with the most.
    pub(super) fn leaf_domains(&self) -> BTreeSet<Domain> {
        let evacuated = self.evacuated.borrow();
        let mut counts = BTreeMap::<Domain, usize>::new();
        for leaf in self.leaves.borrow().values() {
            let record = leaf.record.borrow();
            let is_usable = !record.leaving && !leaf.defunct.get();
            if is_usable && !evacuated.contains(&record.domain) {
                *counts.entry(record.domain.clone()).or_default() += 1;
            }
        }
        let most = counts.values().copied().max().unwrap_or(0);
        counts.retain(|_, count| 2 * *count >= most);
        counts.into_keys().collect()
    }

    /// Applies changes of the published leaves.
    pub(super) fn apply(&self, gateway: &Rc<Gateway>, changes: Vec<LeafChange>) {
        let now = gateway.now();
        for change in changes {
            match change {
                LeafChange::Updated(record) => self.upsert(gateway, now, record),
                LeafChange::Removed(instance) => {
                    if let Some(suppressed) = gateway.log_limiter.admit(now, "leaf_gone") {
                        log::info!(leaf:% = instance, suppressed; "leaf gone");
                    }
                    if let Some(leaf) = self.leaves.borrow_mut().remove(&instance) {
                        self.detach(&leaf);
                    }
                }
            }
        }
    }

    fn upsert(&self, gateway: &Rc<Gateway>, now: Time, record: Arc<LeafRecord>) {
        let existing = self.leaves.borrow().get(&record.instance).cloned();
        if let Some(leaf) = existing {
            let previous = leaf.record.borrow().clone();
            let is_same = previous.start_ms == record.start_ms
                && previous.address == record.address
                && previous.service == record.service;
            if is_same {
                if previous.leaving != record.leaving
                    && let Some(suppressed) = gateway.log_limiter.admit(now, "leaf_state")
                {
                    let (leaf, leaving) = (&record.instance, record.leaving);
                    log::info!(leaf:% = leaf, leaving, suppressed; "leaf changed state");
                }
                if record.warmup_left != previous.warmup_left {
                    leaf.set_cold(now, record.warmup_left);
                }
                *leaf.record.borrow_mut() = record;
                return;
            }
            self.detach(&leaf);
        }
        if let Some(suppressed) = gateway.log_limiter.admit(now, "leaf_present") {
            log::info!(
                leaf:% = record.instance,
                service:% = record.service,
                address:% = record.address,
                domain:% = record.domain,
                suppressed;
                "leaf present"
            );
        }
        let node = gateway.settings.borrow().name.clone();
        let leaf = Rc::new(Leaf::new(now, record.clone(), &node));
        let service = self.service(&record.service);
        service.leaves.borrow_mut().push(leaf.clone());
        self.leaves
            .borrow_mut()
            .insert(record.instance.clone(), leaf.clone());
        self.claims.add(&leaf);
        let delay = gateway.connect_jitter();
        tokio::task::spawn_local(warm_up(gateway.clone(), leaf, delay));
    }

    fn detach(&self, leaf: &Rc<Leaf>) {
        let service = self.service(&leaf.record.borrow().service);
        service
            .leaves
            .borrow_mut()
            .retain(|other| !Rc::ptr_eq(other, leaf));
        leaf.close_idle();
        leaf.defunct.set(true);
        self.claims.remove(leaf);
    }

    /// Closes all idle connections, because the link that carries them is lost.
    pub(super) fn close_idle(&self) {
        self.leaves
            .borrow()
            .values()
            .for_each(|leaf| leaf.close_idle());
    }

    /// Forgets the failures of all leaves, because this node's link was down.
    pub(super) fn forgive(&self) {
        for leaf in self.leaves.borrow().values() {
            leaf.stats.borrow_mut().forgive();
        }
    }

    /// Selects the leaves to which connections are kept, and drops idle connections that go to other leaves or were
    /// closed by their leaf.
    pub(super) fn update_pools(&self, gateway: &Rc<Gateway>) {
        let now = gateway.now();
        let nodes = gateway.connecting_node_count();
        let connects_ahead = gateway.connects_ahead();
        let uptime = now.since(gateway.started);
        let node_counts = gateway.connecting_domains();
        let domain = gateway.settings.borrow().domain.clone();
        let is_priced = !gateway.settings.borrow().domain_traffic_price.is_zero();
        let is_evacuated = self.evacuated.borrow().contains(&domain);
        for (name, service) in &*self.services.borrow() {
            let limit = gateway
                .routing
                .borrow()
                .service(name)
                .map(|spec| spec.max_connections);
            let mut usable: Vec<Rc<Leaf>> = service.leaves.borrow().clone();
            usable.retain(|leaf| {
                leaf.pooled.set(false);
                !leaf.defunct.get() && !leaf.record.borrow().leaving
            });
            // Connections are those of a process, whatever number of entries name its address.
            usable.sort_unstable_by_key(|leaf| (leaf.address(), !leaf.confirmed.get(), leaf.rank));
            usable.dedup_by_key(|leaf| leaf.address());
            let limit = limit.unwrap_or(1);
            let share = connection_share(limit, usable.len(), nodes, uptime);
            let is_near = |leaf: &Rc<Leaf>| leaf.record.borrow().domain == domain;
            // With connections to all leaves, their order is irrelevant.
            let own_first = is_priced && share.leaves < usable.len() && !is_evacuated && {
                let counts = domain_counts(&node_counts, &usable);
                own_domain_first(limit, share, nodes, &counts)
            };
            usable.sort_unstable_by_key(|leaf| (own_first && !is_near(leaf), leaf.rank));
            service.max_connections.set(share.per_leaf);
            usable
                .iter()
                .take(share.leaves)
                .for_each(|leaf| leaf.pooled.set(true));
        }
        for leaf in self.leaves.borrow().values() {
            leaf.prune_idle();
            let is_usable = connects_ahead && !leaf.stats.borrow().is_ejected(now);
            if leaf.needs_connection() && is_usable {
                let delay = if gateway.link.returned_within(now, MAX_CONNECT_JITTER) {
                    gateway.connect_jitter()
                } else {
                    Duration::ZERO
                };
                tokio::task::spawn_local(warm_up(gateway.clone(), leaf.clone(), delay));
            }
        }
    }

    /// Returns whether a leaf may get new calls at all: it is still at its published address, is not leaving, is in an
    /// allowed region, and its failure domain is not evacuated.
    fn is_eligible(&self, settings: &Settings, leaf: &Leaf, regions: &[Arc<str>]) -> bool {
        let record = leaf.record.borrow();
        let domain = &record.domain;
        let region = settings.regions.get(domain);
        let allowed = regions.is_empty() || region.is_some_and(|region| regions.contains(region));
        let excluded = record.leaving || self.evacuated.borrow().contains(domain);
        allowed && !excluded && !leaf.defunct.get()
    }

    /// Chooses a leaf of a service and records the call against its limits.
    pub(super) fn choose(
        &self,
        gateway: &Gateway,
        service: &Service,
        query: LeafQuery<'_>,
    ) -> Result<Rc<Leaf>, NoLeaf> {
        let now = gateway.now();
        let settings = gateway.settings.borrow();
        let max_connections = service.max_connections.get().max(1);
        let leaves = service.leaves.borrow();
        let (mut any_available, mut retry_at, mut limited_at) = (false, None::<Time>, None::<Time>);
        let mut any_near = false;
        let mut usable = SmallVec::<[UsableLeaf; 8]>::new();
        for (index, leaf) in leaves.iter().enumerate() {
            let is_tried = query.tried.iter().any(|other| Rc::ptr_eq(other, leaf));
            if is_tried || !self.is_eligible(&settings, leaf, query.regions) {
                continue;
            }
            let stats = leaf.stats.borrow();
            if !stats.may_try(now) {
                let until = stats.ejected_until().unwrap_or(now).max(now);
                retry_at = Some(retry_at.map_or(until, |at| at.min(until)));
                continue;
            }
            let is_named = leaf.limit.borrow().limit().is_some();
            if let Some(next) = leaf.next_call(gateway, now)
                && (next > now || is_named && !query.limited)
            {
                limited_at = Some(limited_at.map_or(next, |at| at.min(next)));
                continue;
            }
            any_available = true;
            let is_near = leaf.record.borrow().domain == settings.domain;
            any_near |= is_near;
            let has_room = leaf.has_room(now, max_connections) && stats.has_room();
            if has_room && !self.claims.is_being_checked(now, leaf) {
                usable.push(UsableLeaf { index, is_near });
            }
        }
        // A request that another leaf has rejected goes to one that is known to be at its address.
        let is_misdirected = query.tried.iter().any(|leaf| leaf.defunct.get());
        let is_confirmed = |leaf: &UsableLeaf| leaves[leaf.index].confirmed.get();
        if is_misdirected && usable.iter().any(is_confirmed) {
            usable.retain(|leaf| is_confirmed(leaf));
        }
        if query.least_used {
            let calls = |leaf: &UsableLeaf| leaves[leaf.index].stats.borrow().calls();
            let fewest = usable.iter().map(calls).min();
            usable.retain(|leaf| Some(calls(leaf)) == fewest);
        }
        let stats: SmallVec<[_; 8]> = usable
            .iter()
            .map(|leaf| leaves[leaf.index].stats.borrow())
            .collect();
        let candidates = || {
            usable.iter().zip(&stats).map(|(usable, stats)| {
                let leaf = &leaves[usable.index];
                let candidate = Candidate {
                    stats,
                    same_domain: usable.is_near,
                    outside_subset: !leaf.pooled.get(),
                    cold: leaf.is_cold(now),
                    connected: leaf.has_idle(query.key),
                };
                (usable.index, candidate)
            })
        };
        let crossing_query = CrossingQuery {
            typical: query.typical,
            time_left: query.time_left,
            price_per_kb: settings.domain_traffic_price,
            is_free: query.is_extra || query.least_used,
            is_unpriced: settings.domain_traffic_price.is_zero(),
            has_own_leaf: any_near,
        };
        let decision = service.crossing.borrow_mut().place(
            now,
            crossing_query,
            candidates,
            &mut *gateway.rng.borrow_mut(),
        );
        if let Some(change) = decision.change {
            gateway.log_share(now, service, change);
        }
        gateway.domain_traffic.record_placement(decision.placement);
        let chosen = match decision.placement {
            Placement::Leaf(index) | Placement::Crossing(index, _) => Some(index),
            Placement::Wait => None,
        };
        match chosen {
            Some(index) => {
                let leaf = &leaves[index];
                leaf.take_call(now);
                Ok(leaf.clone())
            }
            None if any_available => Err(NoLeaf::Full),
            None => Err(limited_at.map_or(NoLeaf::Down(retry_at), NoLeaf::Limited)),
        }
    }
}

/// Returns the number of nodes and of leaves in each failure domain.
fn domain_counts(
    nodes: &BTreeMap<Domain, usize>,
    leaves: &[Rc<Leaf>],
) -> SmallVec<[(usize, usize); 8]> {
    let mut counts: SmallVec<[(Domain, usize, usize); 8]> = nodes
        .iter()
        .map(|(domain, nodes)| (domain.clone(), *nodes, 0))
        .collect();
    for leaf in leaves {
        let domain = &leaf.record.borrow().domain;
        match counts.iter_mut().find(|(other, ..)| other == domain) {
            Some((.., leaves)) => *leaves += 1,
            None => counts.push((domain.clone(), 0, 1)),
        }
    }
    let counts = counts.into_iter();
    counts.map(|(_, nodes, leaves)| (nodes, leaves)).collect()
}

impl Gateway {
    /// Returns a random delay of a connection that other nodes may open at the same time.
    fn connect_jitter(&self) -> Duration {
        let mut rng = self.rng.borrow_mut();
        rng.random_range(Duration::ZERO..MAX_CONNECT_JITTER)
    }
}

/// Opens a connection in advance, so that the first call does not wait for it.
async fn warm_up(gateway: Rc<Gateway>, leaf: Rc<Leaf>, delay: Duration) {
    sleep(delay).await;
    if !gateway.connects_ahead() || !leaf.pooled.get() || leaf.open_count.get() >= SPARE_CONNECTIONS
    {
        return;
    }
    match gateway.connect(&leaf).await {
        Ok(lease) => lease.release(gateway.now()),
        // Only failed calls count against the leaf, so nothing is recorded here.
        Err(error) => {
            log::debug!(leaf:% = leaf.instance(), error:% = error; "failed to open a connection in advance")
        }
    }
}
