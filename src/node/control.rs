use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::Node;
use crate::core::{
    NodeId, Outbound, Time,
    alarm::AlarmSummary,
    config::{
        Digest, Document,
        relay::{ISOLATION_TIMEOUT, RelayMessage, is_isolated},
    },
    crash::CrashEvent,
    lease::{ConfigDigest, LeaseMessage},
    member::MemberMessage,
};

/// Time between two ticks of the control cores.
const TICK: Duration = Duration::from_millis(50);
/// Largest relay message sent as a datagram, bytes; larger ones go over QUIC.
const MAX_DATAGRAM_DOCUMENTS: usize = 900;
/// Largest membership message with crash events, bytes; 1,200 less the envelope and its MAC.
const MAX_PROBE_BYTES: usize = 1_080;
/// Nodes not in the VM list whose address is remembered from their own messages.
const MAX_JOINERS: usize = 256;
/// Nodes told of a crash directly; in a larger fleet rumors reach the others.
pub(super) const MAX_DIRECT_PEERS: usize = 64;

/// What membership probes carry besides membership.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Payload {
    pub(super) digest: Digest,
    pub(super) crashes: SmallVec<[CrashEvent; 4]>,
    /// At most two; below 200 bytes.
    pub(super) alarms: SmallVec<[AlarmSummary; 2]>,
    /// The sender is leaving and must not be named to callers any more.
    pub(super) leaving: bool,
}

/// A control message between nodes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Control {
    Member(Box<MemberMessage<Payload>>),
    Lease(LeaseMessage<Digest>),
    Relay(RelayMessage),
    /// A crash seen just now, sent to all known nodes at once.
    Crash(CrashEvent),
    /// A node that starts, perhaps not in the VM list yet, asks for the configuration.
    Join {
        peer: SocketAddr,
        digest: Digest,
    },
    /// Answers [`Control::Join`], so that a node without a VM list knows where to ask for what it lacks.
    Welcome {
        peer: SocketAddr,
    },
}

impl ConfigDigest for Digest {
    fn ahead_of(&self, other: &Self) -> bool {
        self.is_ahead_of(other)
    }
}

impl Control {
    fn split(self) -> Result<(Self, Self), Self> {
        match self {
            Control::Lease(message) => match message.split() {
                Ok((first, second)) => Ok((Control::Lease(first), Control::Lease(second))),
                Err(message) => Err(Control::Lease(message)),
            },
            whole => Err(whole),
        }
    }
}

/// Adds relay messages to the messages to send.
fn add_relay(out: &mut Vec<(NodeId, Control)>, messages: Vec<(NodeId, RelayMessage)>) {
    let messages = messages.into_iter();
    out.extend(messages.map(|(to, message)| (to, Control::Relay(message))));
}

/// Returns the encoded size of a value, bytes.
fn size<T: Serialize>(value: &T) -> usize {
    postcard::experimental::serialized_size(value).unwrap_or(usize::MAX)
}

/// Where messages to a node go.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerAddress {
    pub(super) control: SocketAddr,
    pub(super) peer: SocketAddr,
}

/// Drives membership, leases and relay until the node stops.
pub(super) async fn run(node: Arc<Node>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = interval.tick() => node.tick().await,
            received = node.control.receive::<Control>() => match received {
                Ok(incoming) => node.receive(incoming.from, incoming.address, incoming.message).await,
                Err(error) => {
                    log::warn!("control socket: {error}");
                    tokio::time::sleep(TICK).await;
                }
            },
        }
    }
}

impl Node {
    async fn tick(&self) {
        let now = self.clock.now();
        let mut out = Vec::new();
        let payload = self.payload();
        {
            let mut members = self.members.lock().expect("no panic while locked");
            let mut probes = Vec::new();
            let mut rng = self.rng.lock().expect("no panic while locked");
            members.tick(now, &mut *rng, &payload, &mut probes);
            out.extend(
                probes
                    .into_iter()
                    .map(|Outbound { to, message }| (to, self.with_rumors(message))),
            );
            let mut leases = self.leases.lock().expect("no panic while locked");
            let mut requests = Vec::new();
            leases.tick(
                now,
                &|node: &NodeId| members.is_alive(node),
                &payload.digest,
                &mut requests,
            );
            out.extend(
                requests
                    .into_iter()
                    .map(|Outbound { to, message }| (to, Control::Lease(message))),
            );
        }
        self.hand_over(now, &mut out);
        self.repair(now, &mut out);
        self.send_all(out).await;
        self.note_isolation(now);
    }

    /// Asks peers again for documents that did not arrive.
    fn repair(&self, now: Time, out: &mut Vec<(NodeId, Control)>) {
        // The relay asks random peers only until it has caught up, and at 2,800 nodes the list takes 0.3 ms.
        let synced = || {
            let config = self.config.lock().expect("no panic while locked");
            config.relay.is_synced()
        };
        let peers = match synced() {
            true => Vec::new(),
            false => self
                .members
                .lock()
                .expect("no panic while locked")
                .alive_nodes(),
        };
        let mut messages = Vec::new();
        {
            let mut config = self.config.lock().expect("no panic while locked");
            let config = &mut *config;
            let mut rng = self.rng.lock().expect("no panic while locked");
            let (relay, store) = (&mut config.relay, &config.store);
            relay.tick(now, store, &peers, &mut *rng, &mut messages);
        }
        add_relay(out, messages);
    }

    /// Releases the partitions whose calls have ended.
    fn hand_over(&self, now: Time, out: &mut Vec<(NodeId, Control)>) {
        let locked = || self.leases.lock().expect("no panic while locked");
        let mut draining = locked().draining();
        // The leaves read the leases while they hold their own locks, so the leases must not be locked here.
        draining.retain(|partition| self.pool.in_flight(partition) == 0);
        let mut releases = Vec::new();
        for partition in draining {
            locked().release_drained(now, &partition, &mut releases);
        }
        out.extend(
            releases
                .into_iter()
                .map(|Outbound { to, message }| (to, Control::Lease(message))),
        );
    }

    async fn receive(&self, from: NodeId, address: SocketAddr, message: Control) {
        let now = self.clock.now();
        let mut out = Vec::new();
        match message {
            Control::Member(message) => {
                let Payload {
                    digest,
                    crashes,
                    alarms,
                    leaving,
                } = message.payload.clone();
                self.note_departure(&from, leaving);
                self.learn_crashes(now, crashes);
                self.learn_alarms(now, alarms);
                let payload = self.payload();
                let mut replies = Vec::new();
                let mut members = self.members.lock().expect("no panic while locked");
                members.receive(now, &from, *message, &payload, &mut replies);
                drop(members);
                out.extend(
                    replies
                        .into_iter()
                        .map(|Outbound { to, message }| (to, self.with_rumors(message))),
                );
                self.compare_digest(&from, digest, &mut out);
            }
            Control::Lease(message) => {
                let digest = match &message {
                    LeaseMessage::Request(request) => Some(request.digest),
                    LeaseMessage::Reply(reply) => Some(reply.digest),
                    LeaseMessage::Release { .. } => None,
                };
                // Probes alone reach too few nodes for the isolation rule of 4 s.
                self.members
                    .lock()
                    .expect("no panic while locked")
                    .record_contact(now, &from);
                let mine = self.digest();
                let mut replies = Vec::new();
                let mut leases = self.leases.lock().expect("no panic while locked");
                leases.receive(now, &from, message, &mine, &mut replies);
                drop(leases);
                out.extend(
                    replies
                        .into_iter()
                        .map(|Outbound { to, message }| (to, Control::Lease(message))),
                );
                if let Some(digest) = digest {
                    self.compare_digest(&from, digest, &mut out);
                }
            }
            Control::Relay(message) => self.relay(&from, message, &mut out),
            Control::Crash(event) => self.learn_crashes(now, [event]),
            Control::Join { peer, digest } => {
                self.note_joiner(&from, address, peer);
                let peer = self.settings.peer;
                out.push((from.clone(), Control::Welcome { peer }));
                self.compare_digest(&from, digest, &mut out);
            }
            Control::Welcome { peer } => self.note_joiner(&from, address, peer),
        }
        self.send_all(out).await;
    }

    /// Remembers where to answer a node that the VM list does not name.
    pub(super) fn note_joiner(&self, from: &NodeId, control: SocketAddr, peer: SocketAddr) {
        let mut joiners = self.joiners.lock().expect("no panic while locked");
        if joiners.len() < MAX_JOINERS || joiners.contains_key(from) {
            joiners.insert(from.clone(), PeerAddress { control, peer });
        }
    }

    /// Asks the seeds for the configuration, for a node that is not known to the others yet.
    pub(super) async fn join(&self) {
        let message = Control::Join {
            peer: self.settings.peer,
            digest: self.digest(),
        };
        for seed in &self.settings.seeds {
            if let Err(error) = self
                .control
                .send(*seed, message.clone(), Control::split)
                .await
            {
                log::debug!("seed not asked: {error}");
            }
        }
    }

    /// Sends messages, each to the address of its node.
    pub(super) async fn send_all(&self, out: Vec<(NodeId, Control)>) {
        for (to, message) in out {
            let Some(address) = self.address(&to) else {
                continue;
            };
            if let Control::Relay(relay) = &message
                && size(relay) > MAX_DATAGRAM_DOCUMENTS
            {
                self.send_large(to, address.peer, relay.clone());
                continue;
            }
            if let Err(error) = self
                .control
                .send(address.control, message, Control::split)
                .await
            {
                log::debug!(peer = to.as_str(); "control message not sent: {error}");
            }
        }
    }

    fn send_large(&self, to: NodeId, peer: SocketAddr, message: RelayMessage) {
        let peers = self.peers.clone();
        tokio::spawn(async move {
            if let Err(error) = peers.relay(&to, peer, message).await {
                log::debug!("documents not relayed: {error}");
            }
        });
    }

    fn payload(&self) -> Payload {
        Payload {
            digest: self.digest(),
            crashes: SmallVec::new(),
            alarms: self.alarm_summaries(self.clock.now()),
            leaving: self.leaving.load(Ordering::Relaxed),
        }
    }

    /// Adds crash events to a message that is about to be sent, as far as they fit.
    fn with_rumors(&self, mut message: MemberMessage<Payload>) -> Control {
        let now = self.clock.now();
        let alarms = std::mem::take(&mut message.payload.alarms);
        let mut room = MAX_PROBE_BYTES.saturating_sub(size(&message));
        let crashes = self
            .crash
            .lock()
            .expect("no panic while locked")
            .rumors(now, |event| {
                let fits = size(event) <= room;
                room = room.saturating_sub(size(event));
                fits
            });
        // With the longest names, 8 rumors and two alarms make about 1,080 of the 1,200 bytes of a datagram, which
        // leaves no room for crash events. Those come first; alarms wait for a later message.
        if crashes.is_empty() {
            message.payload.alarms = alarms;
        }
        message.payload.crashes = crashes.into_iter().collect();
        Control::Member(Box::new(message))
    }

    /// Returns the digest of the configuration in force.
    pub(super) fn digest(&self) -> Digest {
        self.config
            .lock()
            .expect("no panic while locked")
            .store
            .digest()
    }

    fn compare_digest(&self, from: &NodeId, digest: Digest, out: &mut Vec<(NodeId, Control)>) {
        let mut config = self.config.lock().expect("no panic while locked");
        let config = &mut *config;
        let mut messages = Vec::new();
        config
            .relay
            .receive_digest(self.clock.now(), from, digest, &config.store, &mut messages);
        add_relay(out, messages);
    }

    /// Takes a relay message of a peer and puts newer documents in force.
    pub(super) fn relay(
        &self,
        from: &NodeId,
        message: RelayMessage,
        out: &mut Vec<(NodeId, Control)>,
    ) {
        let peers = self
            .members
            .lock()
            .expect("no panic while locked")
            .alive_nodes();
        let mut messages = Vec::new();
        let applied = {
            let mut config = self.config.lock().expect("no panic while locked");
            let config = &mut *config;
            let mut rng = self.rng.lock().expect("no panic while locked");
            let now = self.clock.now();
            let (relay, store) = (&mut config.relay, &mut config.store);
            relay.receive(now, from, message, store, &peers, &mut *rng, &mut messages)
        };
        add_relay(out, messages);
        self.put_in_force(applied);
    }

    /// Takes documents read from the platform and passes new ones on.
    pub(super) fn learn_documents(
        &self,
        documents: Vec<Document>,
        out: &mut Vec<(NodeId, Control)>,
    ) {
        let peers = self
            .members
            .lock()
            .expect("no panic while locked")
            .alive_nodes();
        let mut messages = Vec::new();
        let applied = {
            let mut config = self.config.lock().expect("no panic while locked");
            let config = &mut *config;
            let now = self.clock.now();
            let applied = config.store.apply(now, documents);
            let mut rng = self.rng.lock().expect("no panic while locked");
            config
                .relay
                .forward(&applied, &peers, &mut *rng, &mut messages);
            applied
        };
        add_relay(out, messages);
        self.put_in_force(applied);
    }

    fn note_departure(&self, from: &NodeId, leaving: bool) {
        let mut departing = self.departing.lock().expect("no panic while locked");
        if leaving {
            departing.insert(from.clone());
        } else {
            departing.remove(from);
        }
    }

    /// Notes whether this node is cut off from the configuration service and from most other nodes.
    fn note_isolation(&self, now: Time) {
        let contact = self.config.lock().expect("no panic while locked").contact;
        let heard = self
            .members
            .lock()
            .expect("no panic while locked")
            .seen_within(now, ISOLATION_TIMEOUT);
        let listed = self.view().vms.vms.len();
        let isolated = is_isolated(now, contact, heard, listed);
        if self.isolated.swap(isolated, Ordering::Relaxed) != isolated {
            log::warn!(isolated; "isolation changed: {heard} of {listed} listed nodes heard");
        }
    }

    fn learn_crashes(&self, now: Time, events: impl IntoIterator<Item = CrashEvent>) {
        let mut ledger = self.crash.lock().expect("no panic while locked");
        for event in events {
            ledger.record_crash(now, event);
        }
    }
}
