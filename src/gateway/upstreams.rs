use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use rand::Rng;
use smallvec::SmallVec;
use tokio::time::sleep;

use crate::{
    core::{
        Domain, Instance, ServiceName, Time,
        placement::{
            Candidate, Contention, Crossing, CrossingQuery, Placement, RequestKey,
            connection_share, own_domain_first,
        },
        registry::{LeafChange, LeafRecord},
        retry::RetryBudget,
    },
    gateway::{Settings, claims::Claims, leaf::Leaf, limits::ReportedLeaves, state::Gateway},
};

/// Maximum random delay of the first connection to a leaf, so that nodes do not all connect at the same time.
const MAX_CONNECT_JITTER: Duration = Duration::from_millis(600);
/// Number of connections to a leaf that are opened in advance.
const SPARE_CONNECTIONS: usize = 1;

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
