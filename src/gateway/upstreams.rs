use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
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
        placement::{
            Candidate, Contention, LeafStats, cold_share, connecting_nodes, connection_share, pick,
        },
        registry::{LeafChange, LeafRecord},
        retry::RetryBudget,
        score,
    },
    gateway::{Settings, state::Gateway},
};

/// Longest time to open a connection to a leaf: a leaf that stands still accepts after its pause.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);
/// Time over which the first connections to leafs are spread, so that nodes do not all connect at once.
const FIRST_CONNECTIONS: Duration = Duration::from_millis(600);
/// Time for which a leaf that reset a new connection is not asked for another one.
const CROWDED: Duration = Duration::from_millis(100);
/// Connections to each leaf that are kept open beside those in use.
const SPARE_CONNECTIONS: usize = 1;

/// One run of a leaf.
#[derive(Debug)]
pub(super) struct Leaf {
    pub(super) record: RefCell<Arc<LeafRecord>>,
    pub(super) gauge: RefCell<LeafStats>,
    /// Idle connections, and since when they rest.
    idle: RefCell<Vec<(Connection, Time)>>,
    /// Connections, idle ones and those being opened included.
    open: Cell<usize>,
    /// Another leaf has its address.
    pub(super) misplaced: Cell<bool>,
    cold_until: Cell<Option<Time>>,
    /// Until when it is not asked for another connection, since it has reset a new one.
    crowded: Cell<Option<Time>>,
    /// This node keeps connections to it.
    kept: Cell<bool>,
    /// Place among the leafs of its service in this node's order.
    place: u64,
}

impl Leaf {
    fn new(now: Time, record: Arc<LeafRecord>, node: &str) -> Self {
        let leaf = Self {
            gauge: RefCell::new(LeafStats::new(now, record.slots)),
            idle: RefCell::default(),
            open: Cell::new(0),
            misplaced: Cell::new(false),
            cold_until: Cell::new(None),
            crowded: Cell::new(None),
            kept: Cell::new(false),
            place: score(node, record.instance.as_str()),
            record: RefCell::new(record),
        };
        leaf.set_cold(now, leaf.record.borrow().warmup_left);
        leaf
    }

    /// Records that the leaf stays cold for `left`, warm if that is zero.
    pub(super) fn set_cold(&self, now: Time, left: Duration) {
        self.cold_until.set((!left.is_zero()).then(|| now + left));
    }

    pub(super) fn instance(&self) -> Instance {
        self.record.borrow().instance.clone()
    }

    pub(super) fn is_cold(&self, now: Time) -> bool {
        self.cold_until.get().is_some_and(|until| now < until)
    }

    /// Takes an idle connection that has rested for a time that `allows`, with that time. Others are closed. It counts
    /// as open until it is released or the lease is dropped.
    pub(super) fn take_idle(
        self: &Rc<Self>,
        now: Time,
        allows: impl Fn(Duration) -> bool,
    ) -> Option<(ConnectionLease, Duration)> {
        loop {
            let (mut connection, since) = self.idle.borrow_mut().pop()?;
            let rested = now.since(since);
            let mut lease = ConnectionLease::of(self);
            if allows(rested) && connection.is_at_rest() {
                lease.connection = Some(connection);
                return Some((lease, rested));
            }
        }
    }

    /// Opens a new connection, which counts as open from now on.
    ///
    /// # Errors
    ///
    /// Fails if the leaf refuses it or takes longer than a pause.
    pub(super) async fn connect(self: &Rc<Self>) -> Result<ConnectionLease, ExchangeError> {
        self.open.set(self.open.get() + 1);
        let mut lease = ConnectionLease::of(self);
        let address = self.record.borrow().address;
        let opened = timeout(CONNECT_LIMIT, Connection::open(address)).await;
        let opened = opened.unwrap_or_else(|_| Err(ExchangeError::no_connection(address)));
        lease.connection = Some(opened?);
        Ok(lease)
    }

    /// Records that the leaf reset a new connection: it has as many as it accepts, and works otherwise.
    pub(super) fn set_crowded(&self, now: Time) {
        self.crowded.set(Some(now + CROWDED));
    }

    fn has_room(&self, now: Time, share: usize) -> bool {
        let crowded = self.crowded.get().is_some_and(|until| now < until);
        !self.idle.borrow().is_empty() || !crowded && self.open.get() < share
    }

    fn has_idle(&self) -> bool {
        !self.idle.borrow().is_empty()
    }

    /// Drops idle connections that their peer closed, or all if none are kept.
    fn sweep(&self) {
        let mut idle = self.idle.borrow_mut();
        let before = idle.len();
        idle.retain_mut(|(connection, _)| self.kept.get() && connection.is_at_rest());
        self.open.set(self.open.get() - (before - idle.len()));
    }
}

/// A place among a leaf's connections. Dropping it frees the place and closes the connection.
#[derive(Debug)]
pub(super) struct ConnectionLease {
    leaf: Rc<Leaf>,
    pub(super) connection: Option<Connection>,
}

impl ConnectionLease {
    fn of(leaf: &Rc<Leaf>) -> Self {
        Self {
            leaf: leaf.clone(),
            connection: None,
        }
    }

    /// Gives the connection back for the next call if it is at rest.
    pub(super) fn release(mut self, now: Time) {
        if let Some(mut connection) = self.connection.take()
            && connection.is_at_rest()
        {
            self.leaf.idle.borrow_mut().push((connection, now));
            // The place stays taken by the idle connection.
            self.leaf.open.set(self.leaf.open.get() + 1);
        }
    }
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        self.leaf.open.set(self.leaf.open.get().saturating_sub(1));
    }
}

/// The leafs of one service, and what this node sent to them.
#[derive(Debug, Default)]
pub(super) struct Service {
    pub(super) leafs: RefCell<Vec<Rc<Leaf>>>,
    /// Connections that this node may have to each leaf.
    share: Cell<usize>,
    pub(super) budget: RefCell<RetryBudget>,
    pub(super) contention: Cell<Contention>,
}

/// Why a service has no leaf for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoLeaf {
    /// Its leafs work, but this node has as many calls on them as it may have.
    Full,
    /// None of its leafs works; the earliest is tried again at this time.
    Down(Option<Time>),
}

/// All services and leafs.
#[derive(Debug, Default)]
pub(super) struct Upstreams {
    services: RefCell<HashMap<ServiceName, Rc<Service>>>,
    leafs: RefCell<HashMap<Instance, Rc<Leaf>>>,
    evacuated: RefCell<HashSet<Domain>>,
}

impl Upstreams {
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

    /// Takes changes of the published leafs.
    pub(super) fn apply(&self, gateway: &Rc<Gateway>, changes: Vec<LeafChange>) {
        let now = gateway.now();
        for change in changes {
            match change {
                LeafChange::Updated(record) => self.put(gateway, now, record),
                LeafChange::Removed(instance) => {
                    if let Some(suppressed) = gateway.log_limiter.admit(now, "leaf_gone") {
                        log::info!(leaf:% = instance, suppressed; "leaf gone");
                    }
                    if let Some(leaf) = self.leafs.borrow_mut().remove(&instance) {
                        self.detach(&leaf);
                    }
                }
            }
        }
    }

    fn put(&self, gateway: &Rc<Gateway>, now: Time, record: Arc<LeafRecord>) {
        let known = self.leafs.borrow().get(&record.instance).cloned();
        if let Some(leaf) = known {
            let before = leaf.record.borrow().clone();
            let same = before.start_ms == record.start_ms
                && before.address == record.address
                && before.service == record.service;
            if same {
                if before.leaving != record.leaving
                    && let Some(suppressed) = gateway.log_limiter.admit(now, "leaf_state")
                {
                    let (leaf, leaving) = (&record.instance, record.leaving);
                    log::info!(leaf:% = leaf, leaving, suppressed; "leaf changed state");
                }
                if record.warmup_left != before.warmup_left {
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
        service.leafs.borrow_mut().push(leaf.clone());
        self.leafs
            .borrow_mut()
            .insert(record.instance.clone(), leaf.clone());
        let delay = gateway
            .rng
            .borrow_mut()
            .random_range(Duration::ZERO..FIRST_CONNECTIONS);
        tokio::task::spawn_local(warm_up(gateway.clone(), leaf, delay));
    }

    fn detach(&self, leaf: &Rc<Leaf>) {
        let service = self.service(&leaf.record.borrow().service);
        service
            .leafs
            .borrow_mut()
            .retain(|other| !Rc::ptr_eq(other, leaf));
        let idle = leaf.idle.take().len();
        leaf.open.set(leaf.open.get() - idle);
        leaf.misplaced.set(true);
    }

    /// Chooses the leafs to which connections are kept, and drops idle connections to others and those that their
    /// peers closed.
    pub(super) fn sweep(&self, gateway: &Rc<Gateway>) {
        let now = gateway.now();
        let nodes = connecting_nodes(gateway.members.alive_count());
        let age = now.since(gateway.started);
        for (name, service) in &*self.services.borrow() {
            let limit = gateway
                .routing
                .borrow()
                .service(name)
                .map(|spec| spec.max_connections);
            let mut usable: Vec<Rc<Leaf>> = service.leafs.borrow().clone();
            usable.retain(|leaf| {
                leaf.kept.set(false);
                !leaf.misplaced.get() && !leaf.record.borrow().leaving
            });
            usable.sort_unstable_by_key(|leaf| leaf.place);
            let share = connection_share(limit.unwrap_or(1), usable.len(), nodes, age);
            service.share.set(share.per_leaf);
            usable
                .iter()
                .take(share.leaves)
                .for_each(|leaf| leaf.kept.set(true));
        }
        for leaf in self.leafs.borrow().values() {
            leaf.sweep();
            let useful = leaf.kept.get() && !leaf.gauge.borrow().is_ejected(now);
            if leaf.open.get() == 0 && useful {
                tokio::task::spawn_local(warm_up(gateway.clone(), leaf.clone(), Duration::ZERO));
            }
        }
    }

    /// Returns whether a leaf may get new work at all: it is where it says, not leaving, and neither evacuated nor
    /// outside the regions of the route.
    fn takes_work(&self, settings: &Settings, leaf: &Leaf, regions: &[Arc<str>]) -> bool {
        let record = leaf.record.borrow();
        let domain = &record.domain;
        let region = settings.regions.get(domain);
        let allowed = regions.is_empty() || region.is_some_and(|at| regions.contains(at));
        let out = record.leaving || self.evacuated.borrow().contains(domain);
        allowed && !out && !leaf.misplaced.get()
    }

    /// Chooses a leaf of a service that is not among `tried`.
    pub(super) fn choose(
        &self,
        gateway: &Gateway,
        name: &ServiceName,
        service: &Service,
        usual: Duration,
        regions: &[Arc<str>],
        tried: &[Rc<Leaf>],
    ) -> Result<Rc<Leaf>, NoLeaf> {
        let now = gateway.now();
        let settings = gateway.settings.borrow();
        let nodes = gateway.planned();
        let routing = gateway.routing.borrow();
        let spec = routing.service(name);
        let share = service.share.get().max(1);
        let cold_rate = spec.and_then(|spec| {
            let bounds = &settings.bounds;
            cold_share(
                spec.cold_rate,
                bounds.cold_overshoot,
                bounds.cold_slack,
                nodes,
            )
        });
        let leafs = service.leafs.borrow();
        let (mut works, mut again) = (false, None::<Time>);
        let mut usable = SmallVec::<[usize; 8]>::new();
        for (index, leaf) in leafs.iter().enumerate() {
            let is_tried = tried.iter().any(|other| Rc::ptr_eq(other, leaf));
            if is_tried || !self.takes_work(&settings, leaf, regions) {
                continue;
            }
            let mut gauge = leaf.gauge.borrow_mut();
            if !gauge.may_try(now) {
                let until = gauge.ejected_until().unwrap_or(now).max(now);
                again = Some(again.map_or(until, |again| again.min(until)));
                continue;
            }
            works = true;
            let cold = leaf.is_cold(now);
            let cold_full =
                cold && cold_rate.is_some_and(|rate| !gauge.allows_cold_call(now, rate));
            if leaf.has_room(now, share) && gauge.has_room() && !cold_full {
                usable.push(index);
            }
        }
        let gauges: SmallVec<[_; 8]> = usable
            .iter()
            .map(|index| (*index, leafs[*index].gauge.borrow()))
            .collect();
        let candidates = gauges.iter().map(|(index, stats)| {
            let leaf = &leafs[*index];
            let candidate = Candidate {
                stats,
                same_domain: leaf.record.borrow().domain == settings.domain,
                outside_subset: !leaf.kept.get(),
                cold: leaf.is_cold(now),
                connected: leaf.has_idle(),
            };
            (*index, candidate)
        });
        let mut rng = gateway.rng.borrow_mut();
        match pick(now, usual, candidates, &mut *rng) {
            Some(index) => Ok(leafs[index].clone()),
            None if works => Err(NoLeaf::Full),
            None => Err(NoLeaf::Down(again)),
        }
    }
}

/// Opens a connection before the first call needs it.
async fn warm_up(gateway: Rc<Gateway>, leaf: Rc<Leaf>, delay: Duration) {
    sleep(delay).await;
    if !leaf.kept.get() || leaf.open.get() >= SPARE_CONNECTIONS {
        return;
    }
    match leaf.connect().await {
        Ok(lease) => lease.release(gateway.now()),
        // A call finds out whether the leaf is down.
        Err(error) => {
            log::debug!(leaf:% = leaf.instance(), error:% = error; "no connection in advance")
        }
    }
}
