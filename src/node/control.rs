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

/// Tick interval of the membership, lease and relay cores.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum size of a relay message that is sent as a datagram, in bytes. Larger ones are sent over QUIC.
const MAX_RELAY_DATAGRAM_BYTES: usize = 900;
/// Maximum size of a membership message with crash events, in bytes: the 1,200 bytes of a datagram minus the envelope
/// and its MAC.
const MAX_MEMBER_BYTES: usize = 1_080;
/// Maximum number of nodes outside the VM list whose addresses are kept.
const MAX_JOINERS: usize = 256;
/// Maximum number of nodes that are notified of a crash directly. In a larger fleet the others learn of it by gossip.
pub(super) const MAX_DIRECT_PEERS: usize = 64;

/// Data that membership messages carry for other protocols.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Payload {
    pub(super) digest: Digest,
    pub(super) crashes: SmallVec<[CrashEvent; 4]>,
    /// At most two, with an encoded size below 200 bytes.
    pub(super) alarms: SmallVec<[AlarmSummary; 2]>,
    /// Whether the sender is leaving and must no longer appear in address answers.
    pub(super) leaving: bool,
}

/// A control message between nodes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Control {
    Member(Box<MemberMessage<Payload>>),
    Lease(LeaseMessage<Digest>),
    Relay(RelayMessage),
    /// A crash that the sender has just detected, sent to up to [`MAX_DIRECT_PEERS`] alive nodes at once.
    Crash(CrashEvent),
    /// Request for the configuration from a node that starts and may not be in the VM list yet.
    Join {
        peer: SocketAddr,
        digest: Digest,
    },
    /// Reply to [`Control::Join`], which tells a node without a VM list where to request documents.
    JoinReply {
        peer: SocketAddr,
    },
}

impl ConfigDigest for Digest {
    fn ahead_of(&self, other: &Self) -> bool {
        self.is_ahead_of(other)
    }
}

impl Control {
    /// Splits a message that is too large for a datagram into two. Returns it unchanged if it cannot be split.
    fn split(self) -> Result<(Self, Self), Self> {
        match self {
            Control::Lease(message) => match message.split() {
                Ok((first, second)) => Ok((Control::Lease(first), Control::Lease(second))),
                Err(message) => Err(Control::Lease(message)),
            },
            message => Err(message),
        }
    }
}

/// Appends relay messages to the outgoing messages.
fn push_relay(out: &mut Vec<(NodeId, Control)>, messages: Vec<(NodeId, RelayMessage)>) {
    let messages = messages.into_iter();
    out.extend(messages.map(|(to, message)| (to, Control::Relay(message))));
}

/// Returns the encoded size of a value in bytes.
fn encoded_size<T: Serialize>(value: &T) -> usize {
    postcard::experimental::serialized_size(value).unwrap_or(usize::MAX)
}

/// Addresses of a node for control messages (UDP) and peer connections (QUIC).
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerAddress {
    pub(super) control: SocketAddr,
    pub(super) peer: SocketAddr,
}

/// Runs the membership, lease and relay cores until the node stops.
pub(super) async fn run(node: Arc<Node>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = interval.tick() => node.tick().await,
            received = node.control.receive::<Control>() => match received {
                Ok(incoming) => node.receive(incoming.from, incoming.address, incoming.message).await,
                Err(error) => {
                    log::warn!("receiving from the control socket failed: {error}");
                    tokio::time::sleep(TICK_INTERVAL).await;
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
        let departing = self
            .departing
            .lock()
            .expect("no panic while locked")
            .clone();
        {
            let mut members = self.members.lock().expect("no panic while locked");
            let mut probes = Vec::new();
            let mut rng = self.rng.lock().expect("no panic while locked");
            members.tick(now, &mut *rng, &payload, &mut probes);
            out.extend(
                probes
                    .into_iter()
                    .map(|Outbound { to, message }| (to, self.with_crashes(message))),
            );
            let mut leases = self.leases.lock().expect("no panic while locked");
            let mut requests = Vec::new();
            leases.tick(
                now,
                // Nodes that are leaving hand their partitions over, and would leave them without a holder until they exit.
                &|node: &NodeId| members.is_alive(node) && !departing.contains(node),
                &payload.digest,
                &mut requests,
            );
            out.extend(
                requests
                    .into_iter()
                    .map(|Outbound { to, message }| (to, Control::Lease(message))),
            );
        }
        self.release_drained(now, &mut out);
        self.request_missing(now, &mut out);
        self.send_all(out).await;
        self.update_isolation(now);
    }

    /// Requests documents again that did not arrive.
    fn request_missing(&self, now: Time, out: &mut Vec<(NodeId, Control)>) {
        // The relay needs the list of peers only until it is synced, and building it takes 0.3 ms at 2,800 nodes.
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
        push_relay(out, messages);
    }

    /// Releases the draining partitions that have no calls in flight.
    fn release_drained(&self, now: Time, out: &mut Vec<(NodeId, Control)>) {
        let leases = || self.leases.lock().expect("no panic while locked");
        let mut draining = leases().draining();
        // The leaf pool reads the leases while it holds its own locks, so the leases must not be locked here.
        draining.retain(|partition| self.pool.open_calls(partition) == 0);
        let mut releases = Vec::new();
        for partition in draining {
            leases().release_drained(now, &partition, &mut releases);
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
                self.set_departing(&from, leaving);
                self.record_crashes(now, crashes);
                self.merge_alarms(now, alarms);
                let payload = self.payload();
                let mut replies = Vec::new();
                let mut members = self.members.lock().expect("no panic while locked");
                members.receive(now, &from, *message, &payload, &mut replies);
                drop(members);
                out.extend(
                    replies
                        .into_iter()
                        .map(|Outbound { to, message }| (to, self.with_crashes(message))),
                );
                self.compare_digest(&from, digest, &mut out);
            }
            Control::Lease(message) => {
                let digest = match &message {
                    LeaseMessage::Request(request) => Some(request.digest),
                    LeaseMessage::Reply(reply) => Some(reply.digest),
                    LeaseMessage::Release { .. } => None,
                };
                // Probes alone give contact with too few nodes within the 4 s after which a node counts as isolated.
                self.members
                    .lock()
                    .expect("no panic while locked")
                    .record_contact(now, &from);
                let own = self.digest();
                let mut replies = Vec::new();
                let mut leases = self.leases.lock().expect("no panic while locked");
                leases.receive(now, &from, message, &own, &mut replies);
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
            Control::Crash(event) => self.record_crashes(now, [event]),
            Control::Join { peer, digest } => {
                self.record_joiner(&from, address, peer);
                let peer = self.settings.peer;
                out.push((from.clone(), Control::JoinReply { peer }));
                self.compare_digest(&from, digest, &mut out);
            }
            Control::JoinReply { peer } => self.record_joiner(&from, address, peer),
        }
        self.send_all(out).await;
    }

    /// Stores the addresses of a node that may not be in the VM list.
    pub(super) fn record_joiner(&self, from: &NodeId, control: SocketAddr, peer: SocketAddr) {
        let mut joiners = self.joiners.lock().expect("no panic while locked");
        if joiners.len() < MAX_JOINERS || joiners.contains_key(from) {
            joiners.insert(from.clone(), PeerAddress { control, peer });
        }
    }

    /// Requests the configuration from the seeds, which may not know this node yet.
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
                log::debug!("join request to a seed not sent: {error}");
            }
        }
    }

    /// Sends each message to its node. Messages to nodes without a known address are dropped.
    pub(super) async fn send_all(&self, out: Vec<(NodeId, Control)>) {
        for (to, message) in out {
            let Some(address) = self.address(&to) else {
                continue;
            };
            if let Control::Relay(relay) = &message
                && encoded_size(relay) > MAX_RELAY_DATAGRAM_BYTES
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

    /// Adds as many crash events to an outgoing message as fit into it.
    fn with_crashes(&self, mut message: MemberMessage<Payload>) -> Control {
        let now = self.clock.now();
        let alarms = std::mem::take(&mut message.payload.alarms);
        let mut bytes_left = MAX_MEMBER_BYTES.saturating_sub(encoded_size(&message));
        let crashes = self
            .crash
            .lock()
            .expect("no panic while locked")
            .rumors(now, |event| {
                let fits = encoded_size(event) <= bytes_left;
                bytes_left = bytes_left.saturating_sub(encoded_size(event));
                fits
            });
        // With names of maximum length, 8 rumors and two alarms take about 1,080 of the 1,200 bytes of a datagram,
        // which leaves no room for crash events. Crash events have priority; alarms are sent in a later message.
        if crashes.is_empty() {
            message.payload.alarms = alarms;
        }
        message.payload.crashes = crashes.into_iter().collect();
        Control::Member(Box::new(message))
    }

    /// Returns the digest of the active configuration.
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
        push_relay(out, messages);
    }

    /// Handles a relay message of a peer and activates newer documents.
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
        push_relay(out, messages);
        self.activate(applied);
    }

    /// Applies documents read from the platform and forwards new ones to peers.
    pub(super) fn apply_documents(
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
        push_relay(out, messages);
        self.activate(applied);
    }

    fn set_departing(&self, from: &NodeId, leaving: bool) {
        let mut departing = self.departing.lock().expect("no panic while locked");
        if leaving {
            departing.insert(from.clone());
        } else {
            departing.remove(from);
        }
    }

    /// Updates whether this node is cut off from the configuration service and from most other nodes.
    fn update_isolation(&self, now: Time) {
        let last_contact = self
            .config
            .lock()
            .expect("no panic while locked")
            .last_contact;
        let seen = self
            .members
            .lock()
            .expect("no panic while locked")
            .seen_within(now, ISOLATION_TIMEOUT);
        let listed = self.view().vms.vms.len();
        let isolated = is_isolated(now, last_contact, seen, listed);
        if self.isolated.swap(isolated, Ordering::Relaxed) != isolated {
            log::warn!(isolated; "isolation changed: recent contact with {seen} of {listed} listed nodes");
        }
    }

    fn record_crashes(&self, now: Time, events: impl IntoIterator<Item = CrashEvent>) {
        let mut ledger = self.crash.lock().expect("no panic while locked");
        for event in events {
            ledger.record_crash(now, event);
        }
    }
}
