use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use rand::{Rng, seq::IteratorRandom};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use tokio::time::{sleep, timeout};

use crate::{
    adapter::peer::ControlSocket,
    core::{
        Incarnation, NodeId, Outbound, Time,
        member::{MemberMessage, MemberSettings, Membership},
        mirror::{READER_COUNT, reader_rank},
    },
    gateway::{Settings, state::Gateway},
};

/// Time between two looks at what is due: three make a period.
const TICK: Duration = Duration::from_millis(165);
/// Time between two probes. With it and the next two, a dead node is known within about 3 s; the users' bound for
/// address answers is 7 s.
const PERIOD: Duration = Duration::from_millis(500);
/// Time after which a probe is repeated through other nodes: several times the way across a region.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time that a suspected node has to refute.
const SUSPICION: Duration = Duration::from_millis(1_500);
/// Most nodes that are learnt from others.
const MAX_NODES: usize = 4_096;
/// Nodes that a message names, so that one that has just started learns of the others.
const NAMED: usize = 8;
/// Time after which what a node said about itself no longer counts.
const NOTE_AGE: Duration = Duration::from_secs(10);
/// Time between two announcements of a node that reads the store to those that do not.
const ANNOUNCE: Duration = Duration::from_millis(400);
/// Time between two tries to reach seeds that are not known as nodes.
const SEED_RETRY: Duration = Duration::from_secs(1);

/// What a node says about itself in each message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Note {
    /// It takes requests.
    ready: bool,
    /// Revision up to which its copy of the platform's items is complete.
    revision: u64,
    /// How long ago that was known for certain, milliseconds.
    age_ms: u32,
    /// Peer addresses of nodes that it holds for alive.
    others: SmallVec<[SocketAddr; NAMED]>,
}

type Message = MemberMessage<Note>;

/// The other nodes.
#[derive(Debug)]
pub(super) struct Members {
    me: NodeId,
    socket: ControlSocket,
    view: RefCell<Membership>,
    /// What nodes said last.
    notes: RefCell<HashMap<NodeId, (Note, Time)>>,
    alive: Cell<usize>,
    /// Place in the order in which nodes become readers of the store.
    rank: Cell<usize>,
    /// Nodes that messages name at present.
    named: RefCell<SmallVec<[SocketAddr; NAMED]>>,
    seeded: Cell<Option<Time>>,
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
            probe_interval: PERIOD,
            probe_timeout: PROBE_TIMEOUT,
            suspicion_timeout: SUSPICION,
            max_learned: MAX_NODES,
            ..MemberSettings::default()
        };
        Self {
            view: RefCell::new(Membership::new(me.clone(), incarnation, member, now)),
            me,
            socket,
            notes: RefCell::default(),
            alive: Cell::new(1),
            rank: Cell::new(0),
            named: RefCell::default(),
            seeded: Cell::new(None),
        }
    }

    /// Returns the number of live nodes, this one included.
    pub(super) fn alive_count(&self) -> usize {
        self.alive.get()
    }

    /// Returns the addresses of the other nodes that take requests.
    pub(super) fn ready(&self, now: Time) -> impl Iterator<Item = IpAddr> {
        let view = self.view.borrow();
        let notes = self.notes.borrow();
        let ready: Vec<IpAddr> = notes
            .iter()
            .filter(|(node, (note, at))| {
                note.ready && now.since(*at) < NOTE_AGE && view.is_healthy(node)
            })
            .filter_map(|(node, _)| address(node))
            .map(|address| address.ip())
            .collect();
        ready.into_iter()
    }

    /// Returns this node's place in the order in which nodes become readers of the store.
    pub(super) fn reader_rank(&self) -> usize {
        self.rank.get()
    }

    /// Takes over who is alive.
    fn refresh(&self, rng: &mut impl Rng) {
        let view = self.view.borrow();
        self.alive.set(view.iter_alive().count());
        self.rank.set(reader_rank(&self.me, view.iter_alive()));
        let others = view.iter_alive().filter(|node| **node != self.me);
        let named = others.choose_multiple(rng, NAMED);
        *self.named.borrow_mut() = named.into_iter().filter_map(address).collect();
    }

    /// Returns a live node whose copy of the platform's items is ahead of `revision`.
    pub(super) fn ahead(&self, gateway: &Gateway, revision: u64) -> Option<SocketAddr> {
        let view = self.view.borrow();
        let notes = self.notes.borrow();
        let ahead = notes
            .iter()
            .filter(|(node, (note, _))| note.revision > revision && view.is_alive(node))
            .filter_map(|(node, _)| address(node));
        ahead.choose(&mut *gateway.rng.borrow_mut())
    }

    /// Returns some live node.
    pub(super) fn any(&self, gateway: &Gateway) -> Option<SocketAddr> {
        let view = self.view.borrow();
        let others = view.iter_alive().filter(|node| **node != self.me);
        let node = others.choose(&mut *gateway.rng.borrow_mut())?;
        address(node)
    }
}

/// Returns whole milliseconds, as messages between nodes carry them.
pub(super) fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Returns the id of the node with a peer address: without a VM list the address is its name.
pub(super) fn node_id(address: SocketAddr) -> NodeId {
    address.to_string().into()
}

fn address(node: &NodeId) -> Option<SocketAddr> {
    node.as_str().parse().ok()
}

impl Gateway {
    fn note(&self) -> Note {
        Note {
            ready: self.is_ready(),
            revision: self.feed.borrow().revision(),
            age_ms: millis(self.sync.age(self.now())),
            others: self.members.named.borrow().clone(),
        }
    }

    /// Probes other nodes as long as the process runs.
    pub(super) async fn gossip(self: Rc<Self>) {
        loop {
            let now = self.now();
            self.sync.tick(now);
            self.ask_seeds(now);
            let note = self.note();
            let mut out = Vec::new();
            {
                let mut view = self.members.view.borrow_mut();
                let mut rng = self.rng.borrow_mut();
                view.tick(now, &mut *rng, &note, &mut out);
            }
            self.members.refresh(&mut *self.rng.borrow_mut());
            self.send(out).await;
            let view = &self.members.view;
            let known = |node: &NodeId| view.borrow().is_alive(node);
            self.members
                .notes
                .borrow_mut()
                .retain(|node, _| known(node));
            sleep(TICK).await;
        }
    }

    /// Handles messages of other nodes as long as the process runs.
    pub(super) async fn receive_gossip(self: Rc<Self>) {
        loop {
            let incoming = match self.members.socket.receive::<Message>().await {
                Ok(incoming) => incoming,
                Err(error) => {
                    log::warn!(error:% = error; "peer socket failed");
                    sleep(TICK).await;
                    continue;
                }
            };
            let now = self.now();
            let note = incoming.message.payload.clone();
            let own = self.note();
            let mut out = Vec::new();
            {
                let mut view = self.members.view.borrow_mut();
                for other in &note.others {
                    view.add_candidate(now, &node_id(*other));
                }
                view.receive(now, &incoming.from, incoming.message, &own, &mut out);
            }
            let (revision, age) = (note.revision, Duration::from_millis(note.age_ms.into()));
            self.members
                .notes
                .borrow_mut()
                .insert(incoming.from, (note, now));
            if revision > own.revision {
                self.sync.behind.notify_one();
            } else if !self.sync.wake.get().messages_may_be_stale(now) {
                // The sender was complete with what this node has, too.
                self.sync.currency.borrow_mut().confirm(now, age);
            }
            self.send(out).await;
        }
    }

    /// Tells all nodes at once what this one says about itself.
    pub(super) async fn announce(&self) {
        let note = self.note();
        let mut out = Vec::new();
        self.members.view.borrow_mut().broadcast(&note, &mut out);
        self.send(out).await;
    }

    /// Tells the nodes that do not read the store what this one has, at once when there is news and regularly, as
    /// long as the process runs.
    pub(super) async fn tell_followers(self: Rc<Self>) {
        loop {
            if self.sync.reading.get() {
                // A timeout only means that there was no news.
                let _ = timeout(ANNOUNCE, self.sync.fresh.notified()).await;
            } else {
                self.sync.fresh.notified().await;
            }
            if self.sync.reading.get() && self.members.alive_count() > READER_COUNT {
                self.announce().await;
            }
        }
    }

    fn ask_seeds(&self, now: Time) {
        let due = self
            .members
            .seeded
            .get()
            .is_none_or(|at| now.since(at) >= SEED_RETRY);
        if !due {
            return;
        }
        self.members.seeded.set(Some(now));
        let settings = self.settings.borrow();
        let mut view = self.members.view.borrow_mut();
        for seed in &settings.seeds {
            view.add_candidate(now, &node_id(*seed));
        }
    }

    async fn send(&self, out: Vec<Outbound<Message>>) {
        for Outbound { to, message } in out {
            let Some(address) = address(&to) else {
                continue;
            };
            let sent = self.members.socket.send(address, message, Err).await;
            if let Err(error) = sent
                && let Some(suppressed) = self.log_limiter.admit(self.now(), "peer_send")
            {
                log::warn!(peer:% = to, suppressed, error:% = error; "message to a node not sent");
            }
        }
    }
}
