use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use rand::{
    Rng,
    seq::{IteratorRandom, SliceRandom},
};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use tokio::time::{sleep, timeout};

use crate::{
    adapter::peer::ControlSocket,
    core::{
        Domain, Incarnation, NodeId, Outbound, Time,
        entry::{EntryReport, EntryState},
        member::{MemberMessage, MemberSettings, Membership},
        mirror::{Position, READER_COUNT, choose_source, reader_rank},
    },
    gateway::{
        Settings,
        crashes::{CrashReports, MAX_REPORTED},
        entry::PassedOnList,
        limits::LimitReports,
        state::Gateway,
    },
};

/// Interval between membership ticks, three to a probe interval.
const TICK_INTERVAL: Duration = Duration::from_millis(165);
/// Interval at which the lag of this process is measured.
pub(super) const LAG_INTERVAL: Duration = TICK_INTERVAL;
/// Interval after which the lag is measured again if a tick was late.
const LAG_RECHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between probes. Together with [`PROBE_TIMEOUT`] and [`SUSPICION_TIMEOUT`] it bounds the detection of a dead
/// node to about 3 s; the users' bound for address answers is 7 s.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which an unanswered probe is repeated through other nodes: several times the latency across a region.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time in which a suspected node can refute the suspicion.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after the start in which a node learns the fleet, and the number of nodes that it pings at each tick meanwhile.
const JOIN_PERIOD: Duration = Duration::from_secs(3);
const JOIN_PINGS: usize = 3;
/// Maximum number of nodes that are learned from other nodes.
const MAX_LEARNED_NODES: usize = 4_096;
/// Maximum number of nodes listed in a message, from which a node that has just started discovers the others.
const MAX_LISTED_NODES: usize = 8;
/// Time after which the status that a node last sent expires.
const STATUS_TTL: Duration = Duration::from_secs(10);
/// Interval of announcements from a node that reads the store to the nodes that do not.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum number of nodes that are told of a change immediately.
const MAX_DIRECT_MESSAGES: usize = 64;
/// Interval of attempts to contact seeds that are not known as nodes.
const SEED_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The status that a node sends about itself in each message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct NodeStatus {
    /// The node as a server of callers.
    entry: EntryReport,
    /// Reports about other nodes.
    passed_on: PassedOnList,
    /// Position up to which its mirror of the store is complete.
    position: Position,
    /// Digest of the items of earlier eras that its mirror holds, 0 if there are none.
    held: u64,
    /// How long ago the mirror was known to be complete, milliseconds.
    age_ms: u32,
    /// Rate limits of some leaves.
    limits: LimitReports,
    /// Crashes of leaves while they ran a request.
    crashes: CrashReports,
    /// Peer addresses of some other nodes that it considers alive.
    others: SmallVec<[SocketAddr; MAX_LISTED_NODES]>,
}

impl NodeStatus {
    /// Returns whether the node's mirror has changes or held items that one with this position and digest lacks.
    fn is_ahead(&self, (position, held): (Position, u64)) -> bool {
        let has_more_held =
            self.position.era == position.era && self.held != held && self.held != 0;
        self.position > position || has_more_held
    }
}

type Message = MemberMessage<NodeStatus>;

/// The other nodes of the fleet.
#[derive(Debug)]
pub(super) struct Members {
    me: NodeId,
    socket: ControlSocket,
    membership: RefCell<Membership>,
    /// The last status of each node, and when it was received.
    statuses: RefCell<HashMap<NodeId, (NodeStatus, Time)>>,
    alive_count: Cell<usize>,
    /// Position of this node in the order in which nodes become readers of the store.
    reader_rank: Cell<usize>,
    /// Nodes listed in messages at present.
    listed: RefCell<SmallVec<[SocketAddr; MAX_LISTED_NODES]>>,
    /// Crashes that messages report at present.
    reported_crashes: RefCell<CrashReports>,
    seeds_contacted: Cell<Option<Time>>,
}

impl Members {
    pub(super) fn new(
        socket: ControlSocket,
        settings: &Settings,
        incarnation: Incarnation,
        now: Time,
    ) -> Self {
        let me = node_id(settings.listen.peer);
        let member = MemberSettings {
            probe_interval: PROBE_INTERVAL,
            probe_timeout: PROBE_TIMEOUT,
            suspicion_timeout: SUSPICION_TIMEOUT,
            max_learned: MAX_LEARNED_NODES,
            join_period: JOIN_PERIOD,
            join_pings: JOIN_PINGS,
            ..MemberSettings::default()
        };
        Self {
            membership: RefCell::new(Membership::new(me.clone(), incarnation, member, now)),
            me,
            socket,
            statuses: RefCell::default(),
            alive_count: Cell::new(1),
            reader_rank: Cell::new(0),
            listed: RefCell::default(),
            reported_crashes: RefCell::default(),
            seeds_contacted: Cell::new(None),
        }
    }

    /// Returns the number of live nodes, including this one.
    pub(super) fn alive_count(&self) -> usize {
        self.alive_count.get()
    }

    /// Returns this node's id.
    pub(super) fn me(&self) -> &NodeId {
        &self.me
    }

    /// Returns whether a node counts as alive. Suspected nodes do.
    pub(super) fn is_alive(&self, node: &NodeId) -> bool {
        self.membership.borrow().is_alive(node)
    }

    /// Returns whether a node counts as alive and is not suspected.
    pub(super) fn is_healthy(&self, node: &NodeId) -> bool {
        self.membership.borrow().is_healthy(node)
    }

    /// Returns the mean capacity of this node, which is `own`, and the live nodes that it has heard from, in thousandths
    /// of a core.
    pub(super) fn mean_capacity(&self, own: u32) -> f64 {
        let statuses = self.statuses.borrow();
        let others: f64 = statuses
            .values()
            .map(|(status, _)| f64::from(status.entry.capacity))
            .sum();
        (f64::from(own) + others) / (statuses.len() + 1) as f64
    }

    /// Returns the addresses of the other nodes in a state.
    pub(super) fn addresses_in(&self, now: Time, state: EntryState) -> Vec<IpAddr> {
        let membership = self.membership.borrow();
        let statuses = self.statuses.borrow();
        statuses
            .iter()
            .filter(|(node, (status, at))| {
                status.entry.state == state
                    && now.since(*at) < STATUS_TTL
                    && membership.is_healthy(node)
            })
            .filter_map(|(node, _)| node_address(node))
            .map(|address| address.ip())
            .collect()
    }

    /// Counts the other live nodes by failure domain.
    pub(super) fn count_domains(&self, counts: &mut BTreeMap<Domain, usize>) {
        let membership = self.membership.borrow();
        for (node, (status, _)) in &*self.statuses.borrow() {
            if membership.is_alive(node) {
                count_in(counts, &status.entry.domain);
            }
        }
    }

    /// Returns the other nodes that are ready for requests, with what they report about themselves.
    pub(super) fn ready_nodes(&self, now: Time) -> Vec<(NodeId, EntryReport)> {
        let membership = self.membership.borrow();
        let statuses = self.statuses.borrow();
        statuses
            .iter()
            .filter(|(node, (status, at))| {
                status.entry.state == EntryState::Ready
                    && now.since(*at) < STATUS_TTL
                    && membership.is_healthy(node)
            })
            .map(|(node, (status, _))| (node.clone(), status.entry.clone()))
            .collect()
    }

    /// Returns the live nodes, including this one.
    pub(super) fn alive(&self) -> Vec<NodeId> {
        self.membership.borrow().iter_alive().cloned().collect()
    }

    /// Returns this node's position in the order in which nodes become readers of the store, from 0.
    pub(super) fn reader_rank(&self) -> usize {
        self.reader_rank.get()
    }

    /// Updates the values that are derived from the set of live nodes.
    fn refresh(&self, rng: &mut impl Rng) {
        let membership = self.membership.borrow();
        self.alive_count.set(membership.iter_alive().count());
        self.reader_rank
            .set(reader_rank(&self.me, membership.iter_alive()));
        let others = membership.iter_alive().filter(|node| **node != self.me);
        let listed = others.choose_multiple(rng, MAX_LISTED_NODES);
        *self.listed.borrow_mut() = listed.into_iter().filter_map(node_address).collect();
    }

    /// Returns a random live node whose mirror of the store has changes or held items that this node's lacks. If
    /// `prefers_own_domain` is set, nodes of the own failure domain come first unless another node is known to be further
    /// ahead, since updates cross domains otherwise.
    pub(super) fn random_peer_ahead(
        &self,
        gateway: &Gateway,
        prefers_own_domain: bool,
    ) -> Option<SocketAddr> {
        let own = gateway.mirror_state();
        let domain = gateway.settings.borrow().domain.clone();
        let membership = self.membership.borrow();
        let statuses = self.statuses.borrow();
        let ahead = statuses
            .iter()
            .filter(|(node, (status, _))| status.is_ahead(own) && membership.is_alive(node))
            .filter_map(|(node, (status, _))| {
                let is_near = status.entry.domain == domain;
                Some((node_address(node)?, status.position, is_near))
            });
        let rng = &mut *gateway.rng.borrow_mut();
        choose_source(ahead, prefers_own_domain, rng)
    }

    /// Returns a random live node other than this one.
    pub(super) fn random_peer(&self, gateway: &Gateway) -> Option<SocketAddr> {
        let membership = self.membership.borrow();
        let others = membership.iter_alive().filter(|node| **node != self.me);
        let node = others.choose(&mut *gateway.rng.borrow_mut())?;
        node_address(node)
    }
}

/// Adds one to the count of a failure domain.
pub(super) fn count_in(counts: &mut BTreeMap<Domain, usize>, domain: &Domain) {
    match counts.get_mut(domain) {
        Some(count) => *count += 1,
        None => _ = counts.insert(domain.clone(), 1),
    }
}

/// Returns whole milliseconds, the unit used in messages between nodes.
pub(super) fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Returns the id of the node with a peer address. Without a VM list, nodes are named by their addresses.
pub(super) fn node_id(address: SocketAddr) -> NodeId {
    address.to_string().into()
}

/// Returns the peer address of a node.
pub(super) fn node_address(node: &NodeId) -> Option<SocketAddr> {
    node.as_str().parse().ok()
}

impl Gateway {
    /// Returns the position of the mirror and the digest of its held items.
    fn mirror_state(&self) -> (Position, u64) {
        let mirror = self.mirror.borrow();
        (mirror.position(), mirror.held_digest())
    }

    fn status(&self) -> NodeStatus {
        let (position, held) = self.mirror_state();
        NodeStatus {
            entry: self.entry_report(),
            passed_on: self.entry.passed_on(),
            position,
            held,
            age_ms: millis(self.sync.age(self.now())),
            limits: self.limit_reports(),
            crashes: self.members.reported_crashes.borrow().clone(),
            others: self.members.listed.borrow().clone(),
        }
    }

    /// Probes other nodes until the process exits.
    pub(super) async fn gossip(self: Rc<Self>) {
        loop {
            let now = self.now();
            self.sync.tick(now);
            self.link.tick(now);
            self.contact_seeds(now);
            let status = self.status();
            let mut out = Vec::new();
            {
                let mut membership = self.members.membership.borrow_mut();
                let mut rng = self.rng.borrow_mut();
                membership.tick(now, &mut *rng, &status, &mut out);
            }
            self.members.refresh(&mut *self.rng.borrow_mut());
            self.select_limit_reports(now);
            self.select_crash_reports(now);
            self.send(out).await;
            let membership = &self.members.membership;
            let is_alive = |node: &NodeId| membership.borrow().is_alive(node);
            self.members
                .statuses
                .borrow_mut()
                .retain(|node, _| is_alive(node));
            self.select_entry(self.now());
            self.update_quotas();
            self.log_named_nodes();
            self.update_helpers();
            sleep(TICK_INTERVAL).await;
        }
    }

    /// Measures the lag of this process until it exits. Nothing else may delay the timer, or a stop would count that delay as
    /// one of its signal.
    pub(super) async fn measure_lag(self: Rc<Self>) {
        loop {
            if self.sleep_and_record_lag(LAG_INTERVAL).await {
                // Shows whether the backlog of the time before is over.
                self.sleep_and_record_lag(LAG_RECHECK_INTERVAL).await;
            }
        }
    }

    /// Sleeps and records how late the timer was. Returns whether it was so late that requests may have waited.
    async fn sleep_and_record_lag(&self, pause: Duration) -> bool {
        let mut lag = self.lag.get();
        lag.schedule(self.now() + pause);
        self.lag.set(lag);
        sleep(pause).await;
        lag.record(self.now());
        self.lag.set(lag);
        !lag.read_delay(self.now()).is_zero()
    }

    /// Handles messages of other nodes until the process exits.
    pub(super) async fn receive_gossip(self: Rc<Self>) {
        loop {
            let incoming = match self.members.socket.receive::<Message>().await {
                Ok(incoming) => incoming,
                Err(error) => {
                    log::warn!(error:% = error; "failed to receive from the peer socket");
                    sleep(TICK_INTERVAL).await;
                    continue;
                }
            };
            let now = self.now();
            let status = incoming.message.payload.clone();
            let own = self.status();
            let mut out = Vec::new();
            {
                let mut membership = self.members.membership.borrow_mut();
                for other in &status.others {
                    membership.add_candidate(now, &node_id(*other));
                }
                membership.receive(now, &incoming.from, incoming.message, &own, &mut out);
            }
            self.entry
                .record(now, &incoming.from, &status.entry, &status.passed_on);
            self.record_limit_reports(now, &status.limits);
            self.record_crash_reports(now, &status.crashes);
            let (position, age) = (status.position, Duration::from_millis(status.age_ms.into()));
            let is_ahead = status.is_ahead((own.position, own.held));
            self.members
                .statuses
                .borrow_mut()
                .insert(incoming.from, (status, now));
            if is_ahead {
                self.sync.peer_ahead.notify_one();
            }
            let is_known = position <= own.position && position.era == own.position.era;
            if is_known && !self.sync.pause_guard.get().messages_may_be_stale(now) {
                // The sender's mirror is complete at a position that this node has as well.
                self.sync.freshness.borrow_mut().confirm(now, age);
            }
            self.send(out).await;
        }
    }

    fn select_crash_reports(&self, now: Time) {
        let rumors = self.crashes.borrow_mut().rumors(now, MAX_REPORTED);
        *self.members.reported_crashes.borrow_mut() = rumors.into_iter().collect();
    }

    /// Reports the latest crashes to some nodes immediately. The others learn of them by gossip.
    pub(super) async fn announce_crashes(&self) {
        self.select_crash_reports(self.now());
        self.announce_directly().await;
    }

    /// Sends this node's status to some nodes immediately. The others learn of it by gossip.
    pub(super) async fn announce_directly(&self) {
        let mut out = self.status_for_all();
        out.shuffle(&mut *self.rng.borrow_mut());
        out.truncate(MAX_DIRECT_MESSAGES);
        self.send(out).await;
    }

    /// Sends this node's status to all nodes immediately.
    pub(super) async fn announce(&self) {
        let out = self.status_for_all();
        self.send(out).await;
    }

    fn status_for_all(&self) -> Vec<Outbound<Message>> {
        let status = self.status();
        let mut out = Vec::new();
        self.members
            .membership
            .borrow_mut()
            .broadcast(&status, &mut out);
        out
    }

    /// While this node reads the store, announces its revision to the nodes that do not: immediately after a change and
    /// at a regular interval. Runs until the process exits.
    pub(super) async fn announce_changes(self: Rc<Self>) {
        loop {
            if self.sync.reading.get() {
                // A timeout only means that nothing has changed.
                let _ = timeout(ANNOUNCE_INTERVAL, self.sync.read_update.notified()).await;
            } else {
                self.sync.read_update.notified().await;
            }
            if self.sync.reading.get() && self.members.alive_count() > READER_COUNT {
                self.announce().await;
            }
        }
    }

    fn contact_seeds(&self, now: Time) {
        let due = self
            .members
            .seeds_contacted
            .get()
            .is_none_or(|at| now.since(at) >= SEED_RETRY_INTERVAL);
        if !due {
            return;
        }
        self.members.seeds_contacted.set(Some(now));
        let settings = self.settings.borrow();
        let mut membership = self.members.membership.borrow_mut();
        for seed in &settings.seeds {
            membership.add_candidate(now, &node_id(*seed));
        }
    }

    async fn send(&self, out: Vec<Outbound<Message>>) {
        for Outbound { to, message } in out {
            let Some(address) = node_address(&to) else {
                continue;
            };
            let sent = self.members.socket.send(address, message, Err).await;
            if let Err(error) = sent
                && let Some(suppressed) = self.log_limiter.admit(self.now(), "peer_send")
            {
                log::warn!(peer:% = to, suppressed, error:% = error; "failed to send a message to a node");
            }
        }
    }
}
