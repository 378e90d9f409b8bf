use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use tokio::time::timeout;

use crate::{
    adapter::http1::{Connection, ExchangeError},
    core::{
        Instance, Time,
        limit::{Allowance, LeafLimit, Tally},
        placement::{CarriedRequests, ConnectionChoice, LeafStats, RequestKey, choose_connection},
        registry::LeafRecord,
        score,
    },
    gateway::state::Gateway,
};

/// Timeout for opening a connection to a leaf. A stalled leaf accepts the connection after its pause.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which no further connection is opened to a leaf that reset a new one.
const CONNECT_BACKOFF: Duration = Duration::from_millis(100);

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
    pub(super) open_count: Cell<usize>,
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
    pub(super) pooled: Cell<bool>,
    /// Rendezvous score, which gives each node its own order of the leaves of a service.
    pub(super) rank: u64,
}

impl Leaf {
    pub(super) fn new(now: Time, record: Arc<LeafRecord>, node: &str) -> Self {
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
    pub(super) fn next_call(&self, gateway: &Gateway, now: Time) -> Option<Time> {
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
    pub(super) fn take_call(&self, now: Time) {
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

    pub(super) fn has_room(&self, now: Time, max_connections: usize) -> bool {
        let backing_off = self.backoff_until.get().is_some_and(|until| now < until);
        !self.idle.borrow().is_empty() || !backing_off && self.open_count.get() < max_connections
    }

    /// Returns whether a connection that has not carried `request` is idle.
    pub(super) fn has_idle(&self, request: RequestKey) -> bool {
        let idle = self.idle.borrow();
        idle.iter().any(|idle| !idle.carried.contains(request))
    }

    pub(super) fn close_idle(&self) {
        let closed = self.idle.take().len();
        self.open_count.set(self.open_count.get() - closed);
    }

    /// Returns whether this node keeps connections to the leaf but has none.
    pub(super) fn needs_connection(&self) -> bool {
        self.pooled.get() && self.open_count.get() == 0
    }

    /// Drops idle connections that the leaf has closed, or all of them if this node keeps no connections to it.
    pub(super) fn prune_idle(&self) {
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
