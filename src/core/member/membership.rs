use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use rand::{
    Rng,
    seq::{IndexedRandom, IteratorRandom, SliceRandom},
};

use crate::core::{
    Incarnation, NodeId, Outbound, Time,
    config::VmList,
    member::{
        Liveness, MemberMessage, MemberSettings, Probe, Rumor, rumors::Rumors, state::Member,
    },
};

/// Maximum number of other listed nodes for which [`Membership::seen_within`] is an exact count. In larger fleets, a
/// node has no contact with half of the others within a few seconds, so the share of answered probes serves as an
/// estimate.
const MAX_COUNTED_NODES: usize = 64;

/// Minimum number of known nodes for each node that is pinged at a tick while the fleet is learned.
const KNOWN_PER_PING: usize = 4;

/// Number of probes whose outcome is remembered.
const MAX_OUTCOMES: usize = 16;

/// One node's view of which nodes are alive.
#[derive(Debug)]
pub struct Membership {
    me: NodeId,
    incarnation: Incarnation,
    refutation: u32,
    settings: MemberSettings,
    started: Time,
    last_run: Time,
    members: BTreeMap<NodeId, Member>,
    rumors: Rumors,
    /// Nodes still to be probed, in reverse order, before all nodes are shuffled again.
    probe_order: Vec<NodeId>,
    next_probe: Time,
    seq: u64,
    pending_probe: Option<PendingProbe>,
    /// Probes on behalf of other nodes, keyed by this node's own sequence number.
    relayed_probes: BTreeMap<u64, RelayedProbe>,
    /// End times of the latest probes, and whether each was answered.
    outcomes: VecDeque<(Time, bool)>,
}

#[derive(Debug)]
struct PendingProbe {
    target: NodeId,
    seq: u64,
    sent: Time,
    relayed: bool,
    answered: bool,
}

#[derive(Debug)]
struct RelayedProbe {
    origin: NodeId,
    seq: u64,
    expiry: Time,
}

impl Membership {
    /// Creates a view that contains only this node.
    pub fn new(me: NodeId, incarnation: Incarnation, settings: MemberSettings, now: Time) -> Self {
        Self {
            me,
            incarnation,
            refutation: 0,
            settings,
            started: now,
            last_run: now,
            members: BTreeMap::new(),
            rumors: Rumors::default(),
            probe_order: Vec::new(),
            next_probe: now,
            seq: 0,
            pending_probe: None,
            relayed_probes: BTreeMap::new(),
            outcomes: VecDeque::new(),
        }
    }

    /// Sets the VM list. Nodes that are new in it count as alive until they are probed.
    pub fn set_vms(&mut self, now: Time, vms: &VmList) {
        let listed: BTreeSet<&NodeId> = vms.vms.iter().map(|vm| &vm.id).collect();
        for (node, member) in &mut self.members {
            if member.listed && !listed.contains(node) {
                member.last_seen = member.last_seen.max(Some(now));
            }
            member.listed = listed.contains(node);
        }
        for node in listed {
            if *node != self.me && !self.members.contains_key(node) {
                self.members.insert(node.clone(), Member::new(now, true));
            }
        }
    }

    /// Adds a node that may exist, named by a seed or another node. It is probed next, and removed after
    /// [`MemberSettings::unlisted_retention`] if it does not answer. Does nothing once [`MemberSettings::max_learned`]
    /// nodes are known.
    pub fn add_candidate(&mut self, now: Time, node: &NodeId) {
        let full = self.members.len() >= self.settings.max_learned;
        if full || *node == self.me || self.members.contains_key(node) {
            return;
        }
        let mut member = Member::new(now, false);
        member.last_seen = Some(now);
        self.members.insert(node.clone(), member);
        self.probe_order.push(node.clone());
    }

    /// Sends due probes, and declares nodes dead that have not refuted a suspicion in time. Must be called a few times
    /// per probe interval. Every message sent carries a copy of `payload`.
    pub fn tick<P: Clone>(
        &mut self,
        now: Time,
        rng: &mut impl Rng,
        payload: &P,
        out: &mut Vec<Outbound<MemberMessage<P>>>,
    ) {
        self.detect_pause(now);
        self.expire_suspicions(now);
        self.relayed_probes.retain(|_, probe| now < probe.expiry);
        let retention = self.settings.unlisted_retention;
        self.members.retain(|_, member| {
            member.listed || member.last_seen.is_some_and(|seen| now < seen + retention)
        });
        if let Some(probe) = &mut self.pending_probe
            && !probe.answered
            && !probe.relayed
            && now >= probe.sent + self.settings.probe_timeout
        {
            probe.relayed = true;
            let (seq, target) = (probe.seq, probe.target.clone());
            let relays: Vec<NodeId> = self
                .members
                .iter()
                .filter(|(node, member)| member.liveness == Liveness::Alive && **node != target)
                .map(|(node, _)| node.clone())
                .collect();
            for relay in relays.choose_multiple(rng, self.settings.relays) {
                let target = target.clone();
                self.send(relay, Probe::PingFor { seq, target }, payload, out);
            }
        }
        let ended = |probe: &PendingProbe| now >= probe.sent + 2 * self.settings.probe_timeout;
        if self.pending_probe.as_ref().is_some_and(ended) {
            self.end_probe(now);
        }
        if now >= self.next_probe {
            self.next_probe = now + self.settings.probe_interval;
            self.start_probe(now, rng, payload, out);
        }
        if now.since(self.started) < self.settings.join_period {
            self.ping_others(rng, payload, out);
        }
    }

    /// Pings random nodes, whose answers carry rumors and payloads. The number is limited by that of the known nodes, so
    /// that not all nodes of a fleet ping the same few seeds.
    fn ping_others<P: Clone>(
        &mut self,
        rng: &mut impl Rng,
        payload: &P,
        out: &mut Vec<Outbound<MemberMessage<P>>>,
    ) {
        let count = self
            .settings
            .join_pings
            .min(self.members.len() / KNOWN_PER_PING);
        let targets = self.members.keys().choose_multiple(rng, count);
        let targets: Vec<NodeId> = targets.into_iter().cloned().collect();
        for target in targets {
            self.seq += 1;
            let seq = self.seq;
            self.send(&target, Probe::Ping { seq }, payload, out);
        }
    }

    /// Handles a message. Its payload is ignored; read it before the call. Replies carry a copy of `payload`.
    pub fn receive<P: Clone>(
        &mut self,
        now: Time,
        from: &NodeId,
        message: MemberMessage<P>,
        payload: &P,
        out: &mut Vec<Outbound<MemberMessage<P>>>,
    ) {
        self.detect_pause(now);
        if *from == self.me {
            return;
        }
        // The answer to the pending probe was sent after the probe, so it is recent.
        let proven_recent = self.pending_probe.as_ref().is_some_and(|probe| {
            let (seq, node) = (probe.seq, from.clone());
            probe.target == *from && message.probe == Probe::Ack { seq, node }
        });
        let member = self
            .members
            .entry(from.clone())
            .or_insert_with(|| Member::new(now, false));
        if member.update_from_self(now, message.incarnation, message.refutation, proven_recent) {
            self.queue_rumor(from);
        }
        for rumor in message.rumors.iter().take(self.settings.max_rumors) {
            self.apply_rumor(now, rumor);
        }
        match message.probe {
            Probe::Ping { seq } => {
                let node = self.me.clone();
                self.send(from, Probe::Ack { seq, node }, payload, out);
            }
            Probe::PingFor { seq, target } => {
                if self.relayed_probes.len() < self.settings.max_queued
                    && self.members.contains_key(&target)
                {
                    self.seq += 1;
                    let probe = RelayedProbe {
                        origin: from.clone(),
                        seq,
                        expiry: now + self.settings.probe_interval,
                    };
                    self.relayed_probes.insert(self.seq, probe);
                    self.send(&target, Probe::Ping { seq: self.seq }, payload, out);
                }
            }
            Probe::Ack { seq, node } => self.handle_ack(now, seq, node, payload, out),
            Probe::PayloadOnly => {}
        }
    }

    /// Sends `payload` to all live nodes. No answers are expected.
    pub fn broadcast<P: Clone>(&mut self, payload: &P, out: &mut Vec<Outbound<MemberMessage<P>>>) {
        for node in self.alive_nodes() {
            if node != self.me {
                self.send(&node, Probe::PayloadOnly, payload, out);
            }
        }
    }

    /// Records a contact with a node by other means, for example a lease message.
    pub fn record_contact(&mut self, now: Time, node: &NodeId) {
        if let Some(member) = self.members.get_mut(node) {
            member.last_seen = Some(now);
        }
    }

    /// Returns whether a node counts as alive. Suspected nodes do.
    pub fn is_alive(&self, node: &NodeId) -> bool {
        let member = self.members.get(node);
        *node == self.me || member.is_some_and(|member| member.liveness != Liveness::Dead)
    }

    /// Returns whether a node counts as alive and is not suspected.
    pub fn is_healthy(&self, node: &NodeId) -> bool {
        let member = self.members.get(node);
        *node == self.me || member.is_some_and(|member| member.liveness == Liveness::Alive)
    }

    /// Returns the live nodes, this one included, sorted by name.
    pub fn alive_nodes(&self) -> Vec<NodeId> {
        let mut nodes: Vec<NodeId> = self.iter_alive().cloned().collect();
        nodes.sort_unstable();
        nodes
    }

    /// Returns an iterator over the live nodes, this one included, in no particular order.
    pub fn iter_alive(&self) -> impl Iterator<Item = &NodeId> {
        let others = self
            .members
            .iter()
            .filter(|(_, member)| member.liveness != Liveness::Dead)
            .map(|(node, _)| node);
        others.chain([&self.me])
    }

    /// Returns how many other listed nodes were seen, directly or through another node, during the period `within`
    /// before `now`. With more than 64 other listed nodes, the result is the larger of this count and an estimate from
    /// the share of answered probes.
    pub fn seen_within(&self, now: Time, within: Duration) -> usize {
        let listed = self.members.values().filter(|member| member.listed);
        let is_recent =
            |member: &&Member| member.last_seen.is_some_and(|seen| now <= seen + within);
        let seen = listed.clone().filter(is_recent).count();
        let listed = listed.count();
        if listed <= MAX_COUNTED_NODES {
            return seen;
        }
        let recent = self
            .outcomes
            .iter()
            .filter(|(ended, _)| now <= *ended + within);
        let answered = recent.clone().filter(|(_, answered)| *answered).count();
        seen.max(listed * answered / recent.count().max(1))
    }

    /// Detects that the process was paused. Other nodes may have suspected this one in the meantime, and its own
    /// state about them may be outdated.
    fn detect_pause(&mut self, now: Time) {
        if now.since(self.last_run) > self.settings.pause_threshold {
            self.refute(self.refutation);
            self.pending_probe = None;
            self.next_probe = now;
            let suspects = self.members.values_mut();
            for member in suspects.filter(|member| member.liveness == Liveness::Suspect) {
                member.liveness_since = now;
            }
        }
        self.last_run = self.last_run.max(now);
    }

    /// Refutes all suspicions up to a refutation number.
    fn refute(&mut self, refutation: u32) {
        self.refutation = refutation.saturating_add(1);
        let rumor = Rumor {
            node: self.me.clone(),
            incarnation: self.incarnation,
            refutation: self.refutation,
            liveness: Liveness::Alive,
        };
        self.rumors.add(rumor, self.settings.max_queued);
    }

    fn apply_rumor(&mut self, now: Time, rumor: &Rumor) {
        if rumor.node == self.me {
            if rumor.incarnation == self.incarnation
                && rumor.liveness != Liveness::Alive
                && rumor.refutation >= self.refutation
            {
                self.refute(rumor.refutation);
            }
            return;
        }
        if rumor.liveness != Liveness::Dead {
            self.add_candidate(now, &rumor.node);
        }
        let Some(member) = self.members.get_mut(&rumor.node) else {
            return;
        };
        if member.apply_rumor(now, rumor) {
            if member.liveness == Liveness::Alive {
                member.last_seen = Some(now);
            }
            self.queue_rumor(&rumor.node);
        } else if member.is_unknown(rumor.incarnation) {
            // The node may have restarted. Only its own answer is conclusive, so it is probed next.
            self.probe_order.retain(|node| *node != rumor.node);
            self.probe_order.push(rumor.node.clone());
        }
    }

    /// Queues a rumor with the state of a node.
    fn queue_rumor(&mut self, node: &NodeId) {
        let rumor = self
            .members
            .get(node)
            .and_then(|member| member.as_rumor(node));
        if let Some(rumor) = rumor {
            self.rumors.add(rumor, self.settings.max_queued);
        }
    }

    fn expire_suspicions(&mut self, now: Time) {
        let is_overdue = |member: &Member| {
            member.liveness == Liveness::Suspect
                && now >= member.liveness_since + self.settings.suspicion_timeout
        };
        let dead: Vec<NodeId> = self
            .members
            .iter()
            .filter(|(_, member)| is_overdue(member))
            .map(|(node, _)| node.clone())
            .collect();
        for node in dead {
            self.set_liveness(now, &node, Liveness::Dead);
        }
    }

    fn set_liveness(&mut self, now: Time, node: &NodeId, liveness: Liveness) {
        if let Some(member) = self.members.get_mut(node) {
            log::info!(node:% = node, life:? = liveness; "membership of a node changed");
            member.set_liveness(now, liveness);
            self.queue_rumor(node);
        }
    }

    /// Ends the pending probe and suspects its target if it did not answer.
    fn end_probe(&mut self, now: Time) {
        let Some(probe) = self.pending_probe.take() else {
            return;
        };
        self.outcomes.push_back((now, probe.answered));
        if self.outcomes.len() > MAX_OUTCOMES {
            self.outcomes.pop_front();
        }
        let member = self.members.get(&probe.target);
        if !probe.answered && member.is_some_and(|member| member.liveness == Liveness::Alive) {
            self.set_liveness(now, &probe.target, Liveness::Suspect);
        }
    }

    /// Probes the next node. Dead nodes are probed too, so that the two sides of a healed network partition rediscover
    /// each other.
    fn start_probe<P: Clone>(
        &mut self,
        now: Time,
        rng: &mut impl Rng,
        payload: &P,
        out: &mut Vec<Outbound<MemberMessage<P>>>,
    ) {
        self.probe_order
            .retain(|node| self.members.contains_key(node));
        if self.probe_order.is_empty() {
            self.probe_order = self.members.keys().cloned().collect();
            self.probe_order.shuffle(rng);
        }
        let Some(target) = self.probe_order.pop() else {
            return;
        };
        self.seq += 1;
        let seq = self.seq;
        self.send(&target, Probe::Ping { seq }, payload, out);
        self.pending_probe = Some(PendingProbe {
            target,
            seq,
            sent: now,
            relayed: false,
            answered: false,
        });
    }

    fn handle_ack<P: Clone>(
        &mut self,
        now: Time,
        seq: u64,
        node: NodeId,
        payload: &P,
        out: &mut Vec<Outbound<MemberMessage<P>>>,
    ) {
        if let Some(probe) = &mut self.pending_probe
            && probe.seq == seq
            && probe.target == node
        {
            probe.answered = true;
            self.record_contact(now, &node);
        } else if let Some(RelayedProbe { origin, seq, .. }) = self.relayed_probes.remove(&seq) {
            self.send(&origin, Probe::Ack { seq, node }, payload, out);
        }
    }

    /// Sends a message with the rumors that are due. If the recipient does not count as alive, the message also carries
    /// the rumor about it, so that the recipient can refute the rumor.
    fn send<P: Clone>(
        &mut self,
        to: &NodeId,
        probe: Probe,
        payload: &P,
        out: &mut Vec<Outbound<MemberMessage<P>>>,
    ) {
        let member = self.members.get(to);
        let not_alive = member.filter(|member| member.liveness != Liveness::Alive);
        let about_recipient = not_alive.and_then(|member| member.as_rumor(to));
        let count = self
            .settings
            .max_rumors
            .saturating_sub(usize::from(about_recipient.is_some()));
        // Enough sends for a rumor to reach every node with high probability.
        let max_sends = 3 * (self.members.len() + 2).ilog2();
        let mut rumors = self.rumors.take(count, max_sends);
        rumors.extend(about_recipient);
        out.push(Outbound {
            to: to.clone(),
            message: MemberMessage {
                incarnation: self.incarnation,
                refutation: self.refutation,
                probe,
                rumors,
                payload: payload.clone(),
            },
        });
    }
}
