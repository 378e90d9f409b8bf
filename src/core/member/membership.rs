use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use rand::{
    Rng,
    seq::{IndexedRandom, SliceRandom},
};

use crate::core::{
    Incarnation, NodeId, Outbound, Time,
    config::VmList,
    member::{
        Liveness, MemberMessage, MemberSettings, Probe, Rumor, rumors::Rumors, state::Member,
    },
};

/// Fleets above this size do not hear half of their nodes within seconds. The share of answered probes stands
/// for the share of nodes there.
const COUNTED: usize = 64;

/// Probes whose outcome is remembered.
const OUTCOMES: usize = 16;

/// One node's view of which nodes are alive.
#[derive(Debug)]
pub struct Membership {
    me: NodeId,
    incarnation: Incarnation,
    refutation: u32,
    settings: MemberSettings,
    last: Time,
    members: BTreeMap<NodeId, Member>,
    rumors: Rumors,
    /// Nodes to probe before the order is drawn anew.
    order: Vec<NodeId>,
    next_probe: Time,
    seq: u64,
    probe: Option<Probing>,
    /// Probes on behalf of others, by own sequence number.
    relayed: BTreeMap<u64, Relayed>,
    /// When the last probes ended, and whether they were answered.
    outcomes: VecDeque<(Time, bool)>,
}

#[derive(Debug)]
struct Probing {
    target: NodeId,
    seq: u64,
    sent: Time,
    relayed: bool,
    answered: bool,
}

#[derive(Debug)]
struct Relayed {
    origin: NodeId,
    seq: u64,
    until: Time,
}

impl Membership {
    /// Creates a view that knows only this node.
    pub fn new(me: NodeId, incarnation: Incarnation, settings: MemberSettings, now: Time) -> Self {
        Self {
            me,
            incarnation,
            refutation: 0,
            settings,
            last: now,
            members: BTreeMap::new(),
            rumors: Rumors::default(),
            order: Vec::new(),
            next_probe: now,
            seq: 0,
            probe: None,
            relayed: BTreeMap::new(),
            outcomes: VecDeque::new(),
        }
    }

    /// Takes the nodes of the VM list. Nodes that are new in it count as alive until probed.
    pub fn set_vms(&mut self, now: Time, vms: &VmList) {
        let listed: BTreeSet<&NodeId> = vms.vms.iter().map(|vm| &vm.id).collect();
        for (node, member) in &mut self.members {
            if member.listed && !listed.contains(node) {
                member.heard = member.heard.max(Some(now));
            }
            member.listed = listed.contains(node);
        }
        for node in listed {
            if *node != self.me && !self.members.contains_key(node) {
                self.members.insert(node.clone(), Member::new(now, true));
            }
        }
    }

    /// Takes the name of a node that may exist, from a seed or another node. It is probed next, and forgotten if
    /// it does not answer. Does nothing above the number of nodes that may be learnt.
    pub fn add_candidate(&mut self, now: Time, node: &NodeId) {
        let full = self.members.len() >= self.settings.max_learned;
        if full || *node == self.me || self.members.contains_key(node) {
            return;
        }
        let mut member = Member::new(now, false);
        member.heard = Some(now);
        self.members.insert(node.clone(), member);
        self.order.push(node.clone());
    }

    /// Probes when it is time to and ends suspicions. Call it a few times a period. Every message sent
    /// carries a copy of `payload`.
    pub fn tick<P: Clone>(
        &mut self,
        now: Time,
        rng: &mut impl Rng,
        payload: &P,
        out: &mut Vec<Outbound<MemberMessage<P>>>,
    ) {
        self.observe(now);
        self.end_suspicions(now);
        self.relayed.retain(|_, relayed| now < relayed.until);
        let forget = self.settings.unlisted_retention;
        self.members.retain(|_, member| {
            member.listed || member.heard.is_some_and(|heard| now < heard + forget)
        });
        if let Some(probe) = &mut self.probe
            && !probe.answered
            && !probe.relayed
            && now >= probe.sent + self.settings.probe_timeout
        {
            probe.relayed = true;
            let (seq, target) = (probe.seq, probe.target.clone());
            let helpers: Vec<NodeId> = self
                .members
                .iter()
                .filter(|(node, member)| member.liveness == Liveness::Alive && **node != target)
                .map(|(node, _)| node.clone())
                .collect();
            for helper in helpers.choose_multiple(rng, self.settings.relays) {
                let target = target.clone();
                self.send(helper, Probe::PingFor { seq, target }, payload, out);
            }
        }
        let ended = |probe: &Probing| now >= probe.sent + 2 * self.settings.probe_timeout;
        if self.probe.as_ref().is_some_and(ended) {
            self.end_probe(now);
        }
        if now >= self.next_probe {
            self.next_probe = now + self.settings.probe_interval;
            self.start_probe(now, rng, payload, out);
        }
    }

    /// Handles a message. Its payload is the caller's to read first.
    pub fn receive<P: Clone>(
        &mut self,
        now: Time,
        from: &NodeId,
        message: MemberMessage<P>,
        payload: &P,
        out: &mut Vec<Outbound<MemberMessage<P>>>,
    ) {
        self.observe(now);
        if *from == self.me {
            return;
        }
        // The answer to the probe in progress was sent after the probe.
        let proven = self.probe.as_ref().is_some_and(|probe| {
            let (seq, node) = (probe.seq, from.clone());
            probe.target == *from && message.probe == Probe::Ack { seq, node }
        });
        let member = self
            .members
            .entry(from.clone())
            .or_insert_with(|| Member::new(now, false));
        if member.speak(now, message.incarnation, message.refutation, proven) {
            self.spread(from);
        }
        for rumor in message.rumors.iter().take(self.settings.max_rumors) {
            self.hear(now, rumor);
        }
        match message.probe {
            Probe::Ping { seq } => {
                let node = self.me.clone();
                self.send(from, Probe::Ack { seq, node }, payload, out);
            }
            Probe::PingFor { seq, target } => {
                if self.relayed.len() < self.settings.max_queued
                    && self.members.contains_key(&target)
                {
                    self.seq += 1;
                    let relayed = Relayed {
                        origin: from.clone(),
                        seq,
                        until: now + self.settings.probe_interval,
                    };
                    self.relayed.insert(self.seq, relayed);
                    self.send(&target, Probe::Ping { seq: self.seq }, payload, out);
                }
            }
            Probe::Ack { seq, node } => self.answer(now, seq, node, payload, out),
            Probe::PayloadOnly => {}
        }
    }

    /// Sends `payload` to all live nodes at once, without asking for answers.
    pub fn broadcast<P: Clone>(&mut self, payload: &P, out: &mut Vec<Outbound<MemberMessage<P>>>) {
        for node in self.alive_nodes() {
            if node != self.me {
                self.send(&node, Probe::PayloadOnly, payload, out);
            }
        }
    }

    /// Records that a node was heard by other means, for example a lease message.
    pub fn record_contact(&mut self, now: Time, node: &NodeId) {
        if let Some(member) = self.members.get_mut(node) {
            member.heard = Some(now);
        }
    }

    /// Returns whether a node counts as alive. A suspected node does.
    pub fn is_alive(&self, node: &NodeId) -> bool {
        let member = self.members.get(node);
        *node == self.me || member.is_some_and(|member| member.liveness != Liveness::Dead)
    }

    /// Returns whether a node counts as alive and is not suspected.
    pub fn is_healthy(&self, node: &NodeId) -> bool {
        let member = self.members.get(node);
        *node == self.me || member.is_some_and(|member| member.liveness == Liveness::Alive)
    }

    /// Returns the live nodes, this one included, by name.
    pub fn alive_nodes(&self) -> Vec<NodeId> {
        let mut nodes: Vec<NodeId> = self.iter_alive().cloned().collect();
        nodes.sort_unstable();
        nodes
    }

    /// Returns the live nodes, this one included, in no particular order.
    pub fn iter_alive(&self) -> impl Iterator<Item = &NodeId> {
        let others = self
            .members
            .iter()
            .filter(|(_, member)| member.liveness != Liveness::Dead)
            .map(|(node, _)| node);
        others.chain([&self.me])
    }

    /// Returns how many other listed nodes were heard, directly or through another node, within a time. In
    /// fleets of more than 64 nodes this is an estimate from the share of answered probes.
    pub fn seen_within(&self, now: Time, within: Duration) -> usize {
        let listed = self.members.values().filter(|member| member.listed);
        let heard = |member: &&Member| member.heard.is_some_and(|heard| now <= heard + within);
        let counted = listed.clone().filter(heard).count();
        let listed = listed.count();
        if listed <= COUNTED {
            return counted;
        }
        let recent = self
            .outcomes
            .iter()
            .filter(|(ended, _)| now <= *ended + within);
        let answered = recent.clone().filter(|(_, answered)| *answered).count();
        counted.max(listed * answered / recent.count().max(1))
    }

    /// Notices that the process was paused: others have had time to suspect it, and it knows nothing about
    /// what they did meanwhile.
    fn observe(&mut self, now: Time) {
        if now.since(self.last) > self.settings.pause_threshold {
            self.refute(self.refutation);
            self.probe = None;
            self.next_probe = now;
            let suspects = self.members.values_mut();
            for member in suspects.filter(|member| member.liveness == Liveness::Suspect) {
                member.since = now;
            }
        }
        self.last = self.last.max(now);
    }

    /// Overrides all suspicions up to a refutation number.
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

    fn hear(&mut self, now: Time, rumor: &Rumor) {
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
        if member.rumor(now, rumor) {
            if member.liveness == Liveness::Alive {
                member.heard = Some(now);
            }
            self.spread(&rumor.node);
        } else if member.is_unknown(rumor.incarnation) {
            // The node may have restarted: its own answer decides, so it is probed next.
            self.order.retain(|node| *node != rumor.node);
            self.order.push(rumor.node.clone());
        }
    }

    /// Queues what is known about a node for others.
    fn spread(&mut self, node: &NodeId) {
        let rumor = self
            .members
            .get(node)
            .and_then(|member| member.as_rumor(node));
        if let Some(rumor) = rumor {
            self.rumors.add(rumor, self.settings.max_queued);
        }
    }

    fn end_suspicions(&mut self, now: Time) {
        let over = |member: &Member| {
            member.liveness == Liveness::Suspect
                && now >= member.since + self.settings.suspicion_timeout
        };
        let dead: Vec<NodeId> = self
            .members
            .iter()
            .filter(|(_, member)| over(member))
            .map(|(node, _)| node.clone())
            .collect();
        for node in dead {
            self.mark(now, &node, Liveness::Dead);
        }
    }

    fn mark(&mut self, now: Time, node: &NodeId, liveness: Liveness) {
        if let Some(member) = self.members.get_mut(node) {
            log::info!(node:% = node, life:? = liveness; "membership of a node changed");
            member.turn(now, liveness);
            self.spread(node);
        }
    }

    /// Suspects the probed node if it did not answer.
    fn end_probe(&mut self, now: Time) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        self.outcomes.push_back((now, probe.answered));
        if self.outcomes.len() > OUTCOMES {
            self.outcomes.pop_front();
        }
        let member = self.members.get(&probe.target);
        if !probe.answered && member.is_some_and(|member| member.liveness == Liveness::Alive) {
            self.mark(now, &probe.target, Liveness::Suspect);
        }
    }

    /// Probes the next node. Dead ones are probed too, so that the two sides of a healed network partition
    /// find each other.
    fn start_probe<P: Clone>(
        &mut self,
        now: Time,
        rng: &mut impl Rng,
        payload: &P,
        out: &mut Vec<Outbound<MemberMessage<P>>>,
    ) {
        self.order.retain(|node| self.members.contains_key(node));
        if self.order.is_empty() {
            self.order = self.members.keys().cloned().collect();
            self.order.shuffle(rng);
        }
        let Some(target) = self.order.pop() else {
            return;
        };
        self.seq += 1;
        let seq = self.seq;
        self.send(&target, Probe::Ping { seq }, payload, out);
        self.probe = Some(Probing {
            target,
            seq,
            sent: now,
            relayed: false,
            answered: false,
        });
    }

    fn answer<P: Clone>(
        &mut self,
        now: Time,
        seq: u64,
        node: NodeId,
        payload: &P,
        out: &mut Vec<Outbound<MemberMessage<P>>>,
    ) {
        if let Some(probe) = &mut self.probe
            && probe.seq == seq
            && probe.target == node
        {
            probe.answered = true;
            self.record_contact(now, &node);
        } else if let Some(Relayed { origin, seq, .. }) = self.relayed.remove(&seq) {
            self.send(&origin, Probe::Ack { seq, node }, payload, out);
        }
    }

    /// Sends a message with the rumors that are due. A node that is not taken for alive is told so first, for
    /// it to refute.
    fn send<P: Clone>(
        &mut self,
        to: &NodeId,
        probe: Probe,
        payload: &P,
        out: &mut Vec<Outbound<MemberMessage<P>>>,
    ) {
        let member = self.members.get(to);
        let accused = member.filter(|member| member.liveness != Liveness::Alive);
        let accusation = accused.and_then(|member| member.as_rumor(to));
        let count = self
            .settings
            .max_rumors
            .saturating_sub(usize::from(accusation.is_some()));
        // Enough for every node to hear a rumor with high probability.
        let times = 3 * (self.members.len() + 2).ilog2();
        let mut rumors = self.rumors.take(count, times);
        rumors.extend(accusation);
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
