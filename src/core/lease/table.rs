use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use smallvec::SmallVec;

use crate::core::{
    Incarnation, NodeId, Outbound, PartitionId, Time,
    config::VmList,
    invariant::{Invariant, check},
    lease::{
        Claim, ConfigDigest, LeaseMessage, LeaseSettings, Verdict, Vote, VoteReply, VoteRequest,
        claim::Claimed,
        promises::Promises,
        ranking::Rankings,
        roster::{Roster, VoterSet},
        voters::VoterSets,
    },
};

/// Rounds with some votes but no majority after which a holder gives its votes back for a while. Two
/// candidates that split the voters would otherwise block each other for as long as both ask.
const MAX_PARTIAL: u8 = 6;

/// Time for which the word of another node about a holder is kept.
const HINT: Duration = Duration::from_millis(2_500);

/// What a received message says about the sender's configuration. Each side may lack a document of the other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigComparison {
    /// The sender has newer documents: fetch them from it.
    pub peer_ahead: bool,
    /// The sender lacks documents: send them to it.
    pub peer_behind: bool,
}

/// The leases a node holds or wants, and the promises it made as a voter.
#[derive(Debug)]
pub struct LeaseTable {
    me: NodeId,
    incarnation: Incarnation,
    settings: LeaseSettings,
    /// When the node was last seen running.
    last: Time,
    muted: Time,
    voters: VoterSets,
    rankings: Rankings,
    promises: Promises,
    claims: BTreeMap<PartitionId, Claimed>,
    hints: BTreeMap<PartitionId, (NodeId, Time)>,
    round: u64,
    /// When the rounds of the last lease period were sent.
    sent: VecDeque<(u64, Time)>,
    next_round: Time,
    leaving: bool,
}

impl LeaseTable {
    /// Creates a table without leases. As a voter it is mute until the settings' mute period has passed.
    pub fn new(me: NodeId, incarnation: Incarnation, settings: LeaseSettings, now: Time) -> Self {
        Self {
            voters: VoterSets::new(me.clone(), &settings),
            me,
            incarnation,
            last: now,
            muted: now + settings.mute_period,
            settings,
            rankings: Rankings::default(),
            promises: Promises::default(),
            claims: BTreeMap::new(),
            hints: BTreeMap::new(),
            round: 0,
            sent: VecDeque::new(),
            next_round: now,
            leaving: false,
        }
    }

    /// Takes a VM list. A version that is not newer than the one in force is ignored.
    ///
    /// The addresses of nodes that left the list stay needed: for at least the settings' joint period, leases
    /// need a majority of the replaced voters too.
    pub fn set_vms(&mut self, now: Time, version: u64, vms: &VmList) {
        if self.voters.list().is_some() && version <= self.voters.epoch() {
            return;
        }
        let list = Roster::new(version, vms);
        self.rankings.set_list(&list);
        self.voters.set_list(now, list);
        self.next_round = now;
    }

    /// Sets the partitions that have leaves. Leases of others are handed over.
    pub fn set_partitions(&mut self, now: Time, partitions: BTreeSet<PartitionId>) {
        if !self.rankings.ranks(&partitions) {
            let list = self.voters.list().cloned();
            self.rankings.rebuild(list.as_deref(), partitions);
        }
        self.next_round = now;
    }

    /// Requests and renews leases at the next tick, because the configuration has changed.
    pub fn renew(&mut self, now: Time) {
        self.next_round = now;
    }

    /// Requests and renews leases when it is time to. Call it at least every 100 ms; a longer gap than the
    /// settings' pause counts as a pause of the process.
    pub fn tick<D: ConfigDigest>(
        &mut self,
        now: Time,
        alive: &impl Fn(&NodeId) -> bool,
        digest: &D,
        out: &mut Vec<Outbound<LeaseMessage<D>>>,
    ) {
        self.observe(now);
        self.voters.expire(now);
        self.promises.expire(now);
        self.hints.retain(|_, (_, until)| now < *until);
        let (mut ended, mut lost) = (Vec::new(), Vec::new());
        for (partition, claim) in &mut self.claims {
            if claim.is_held(now) {
                continue;
            }
            if claim.draining {
                ended.push(partition.clone());
            } else if claim.until.take().is_some() {
                lost.push(partition.clone());
            }
        }
        for partition in lost {
            log::info!(partition:% = partition; "lease expired without a renewal");
        }
        self.give_up(now, ended, out);
        if now < self.next_round {
            return;
        }
        self.next_round = now + self.settings.renew_interval;
        self.round += 1;
        self.sent.push_back((self.round, now));
        while let Some((_, sent)) = self.sent.front()
            && *sent + self.settings.lease_duration <= now
        {
            self.sent.pop_front();
        }
        self.choose(now, alive, out);
        self.request(now, digest, out);
    }

    /// Handles a message from another node. `mine` is the digest of the configuration in force here.
    pub fn receive<D: ConfigDigest>(
        &mut self,
        now: Time,
        from: &NodeId,
        message: LeaseMessage<D>,
        mine: &D,
        out: &mut Vec<Outbound<LeaseMessage<D>>>,
    ) -> ConfigComparison {
        self.observe(now);
        let (epoch, theirs) = match &message {
            LeaseMessage::Request(request) => (request.epoch, request.digest.clone()),
            LeaseMessage::Reply(reply) => (reply.epoch, reply.digest.clone()),
            LeaseMessage::Release { .. } => (self.voters.epoch(), mine.clone()),
        };
        let received = ConfigComparison {
            peer_ahead: epoch > self.voters.epoch() || theirs.ahead_of(mine),
            peer_behind: epoch < self.voters.epoch() || mine.ahead_of(&theirs),
        };
        match message {
            LeaseMessage::Request(request) => {
                self.voters.note_epoch(from, request.epoch);
                let reply = self.vote(now, from, request, mine);
                out.push(Outbound {
                    to: from.clone(),
                    message: LeaseMessage::Reply(reply),
                });
            }
            LeaseMessage::Reply(reply) => {
                self.voters.note_epoch(from, reply.epoch);
                self.count(now, from, reply.incarnation, reply.round, reply.votes);
            }
            LeaseMessage::Release {
                incarnation,
                round,
                partitions,
            } => {
                for partition in &partitions {
                    let run = (incarnation, round);
                    self.promises.release(now, partition, from, run);
                }
            }
        }
        received
    }

    /// Returns until when leaf calls of a partition may run, if new ones may be dispatched now.
    pub fn expiry(&self, now: Time, partition: &PartitionId) -> Option<Time> {
        if now.since(self.last) > self.settings.pause_threshold {
            return None;
        }
        let claim = self.claims.get(partition)?;
        claim
            .until
            .filter(|until| !claim.draining && !claim.suspended && now < *until)
    }

    /// Returns the node that probably holds a partition: this one, the one that another node named a short
    /// time ago, or the preferred live one.
    pub fn holder_hint(&self, now: Time, partition: &PartitionId) -> Option<NodeId> {
        if self.expiry(now, partition).is_some() {
            return Some(self.me.clone());
        }
        match self.hints.get(partition) {
            Some((holder, until)) if now < *until => Some(holder.clone()),
            _ => self.rankings.preferred(partition).cloned(),
        }
    }

    /// Records the holder that another node named, for [`LeaseTable::holder_hint`].
    pub fn record_holder(&mut self, now: Time, partition: &PartitionId, holder: &NodeId) {
        if *holder != self.me && self.rankings.preferred(partition).is_some() {
            let hint = (holder.clone(), now + HINT);
            self.hints.insert(partition.clone(), hint);
        }
    }

    /// Returns the partitions being handed over: no call may be dispatched, and [`LeaseTable::release_drained`] is
    /// to be called once none is in flight.
    pub fn draining(&self) -> Vec<PartitionId> {
        let draining = self.claims.iter().filter(|(_, claim)| claim.draining);
        draining.map(|(partition, _)| partition.clone()).collect()
    }

    /// Releases a partition being handed over. The caller has no leaf call of it in flight.
    pub fn release_drained<D: ConfigDigest>(
        &mut self,
        now: Time,
        partition: &PartitionId,
        out: &mut Vec<Outbound<LeaseMessage<D>>>,
    ) {
        if self
            .claims
            .get(partition)
            .is_some_and(|claim| claim.draining)
        {
            self.give_up(now, vec![partition.clone()], out);
        }
    }

    /// Starts to hand over all partitions and acquires none any more, because the node leaves.
    pub fn drain_all(&mut self, now: Time) {
        self.leaving = true;
        self.next_round = now;
        for claim in self.claims.values_mut() {
            claim.draining = true;
        }
    }

    /// Releases all partitions and acquires none any more. The caller has no leaf call in flight.
    pub fn release_all<D: ConfigDigest>(
        &mut self,
        now: Time,
        out: &mut Vec<Outbound<LeaseMessage<D>>>,
    ) {
        self.leaving = true;
        let partitions = self.claims.keys().cloned().collect();
        self.give_up(now, partitions, out);
    }

    /// Notices that the process was paused. Whatever it knew may be outdated then: leases have to be renewed
    /// before use, and a voter grants nothing until there was time to fetch the configuration.
    fn observe(&mut self, now: Time) {
        if now.since(self.last) > self.settings.pause_threshold {
            self.muted = now + self.settings.mute_period;
            self.next_round = now;
            for claim in self.claims.values_mut() {
                claim.suspended = true;
                claim.restart(self.round + 1);
            }
        }
        self.last = self.last.max(now);
    }

    /// Decides which partitions to ask for, to keep and to hand over.
    fn choose<D: ConfigDigest>(
        &mut self,
        now: Time,
        alive: &impl Fn(&NodeId) -> bool,
        out: &mut Vec<Outbound<LeaseMessage<D>>>,
    ) {
        let Some(list) = self.voters.list().cloned() else {
            return;
        };
        self.rankings
            .refresh(&list, |node| *node == self.me || alive(node));
        if !self.leaving {
            for partition in self.rankings.preferring(&self.me) {
                self.claims
                    .entry(partition.clone())
                    .or_insert_with(|| Claimed {
                        since: self.round,
                        ..Claimed::default()
                    })
                    .outranked = None;
            }
        }
        let mut dropped = Vec::new();
        for (partition, claim) in &mut self.claims {
            let preferred = self.rankings.preferred(partition);
            if preferred == Some(&self.me) && !self.leaving {
                if claim.is_held(now) {
                    claim.partial = 0;
                } else if claim.rival || claim.partial >= MAX_PARTIAL {
                    // Nodes that back off at the same time must not return at the same time.
                    let spread = (self.incarnation.0 ^ self.round) % 3;
                    let rounds = 2 + spread as u32;
                    claim.resume = Some(now + self.settings.renew_interval * rounds);
                    dropped.push(partition.clone());
                }
                continue;
            }
            if claim.draining {
                continue;
            }
            if !claim.is_held(now) {
                dropped.push(partition.clone());
            } else if preferred.is_none() {
                claim.draining = true;
            } else {
                let since = *claim.outranked.get_or_insert(now);
                claim.draining = now.since(since) >= self.settings.handover_delay;
            }
        }
        self.give_up(now, dropped, out);
    }

    /// Sends this round's requests: one message per voter, for all partitions that it votes on.
    fn request<D: ConfigDigest>(
        &mut self,
        now: Time,
        digest: &D,
        out: &mut Vec<Outbound<LeaseMessage<D>>>,
    ) {
        let unconfirmed = self.voters.unconfirmed().into_iter();
        let mut batches: BTreeMap<NodeId, Vec<Claim>> =
            unconfirmed.map(|node| (node, Vec::new())).collect();
        for (partition, claim) in &mut self.claims {
            if claim.draining || claim.resume.is_some_and(|resume| now < resume) {
                continue;
            }
            let sets = self.voters.in_force(now, partition);
            claim.expect(&sets, self.round);
            let over = self.voters.over(partition);
            let request = Claim {
                partition: partition.clone(),
                sets: sets.iter().map(|set| set.hash).chain(over).collect(),
            };
            let lease = self.settings.lease_duration;
            claim
                .votes
                .retain(|_, votes| votes.any.is_some_and(|sent| now < sent + lease));
            if !claim.votes.is_empty() && !claim.is_held(now) {
                claim.partial += 1;
            }
            let members: BTreeSet<&NodeId> = sets.iter().flat_map(|set| &*set.members).collect();
            for node in members {
                batches
                    .entry(node.clone())
                    .or_default()
                    .push(request.clone());
            }
        }
        for (partition, node) in self.voters.inquiries(now) {
            let sets = SmallVec::new();
            batches
                .entry(node)
                .or_default()
                .push(Claim { partition, sets });
        }
        let own = batches.remove(&self.me);
        let request = |claims| VoteRequest {
            incarnation: self.incarnation,
            round: self.round,
            epoch: self.voters.epoch(),
            digest: digest.clone(),
            claims,
        };
        out.extend(batches.into_iter().map(|(to, claims)| Outbound {
            to,
            message: LeaseMessage::Request(request(claims)),
        }));
        if let Some(claims) = own {
            let request = request(claims);
            let me = self.me.clone();
            let reply = self.vote(now, &me, request, digest);
            self.count(now, &me, reply.incarnation, reply.round, reply.votes);
        }
    }

    /// Votes on a request.
    fn vote<D: ConfigDigest>(
        &mut self,
        now: Time,
        from: &NodeId,
        request: VoteRequest<D>,
        mine: &D,
    ) -> VoteReply<D> {
        let refusal = if now < self.muted || self.voters.list().is_none() {
            Some(Verdict::Muted)
        } else if request.epoch < self.voters.epoch() {
            Some(Verdict::ListBehind)
        } else if mine.ahead_of(&request.digest) {
            Some(Verdict::ConfigBehind)
        } else {
            None
        };
        let run = (request.incarnation, request.round);
        let votes = request.claims.into_iter().map(|claim| {
            let partition = claim.partition;
            let verdict = if claim.sets.is_empty() && self.voters.list().is_some() {
                let sets = self.voters.in_force(now, &partition);
                Verdict::Sets(sets.iter().map(|set| set.hash).collect())
            } else if let Some(refusal) = refusal.clone() {
                refusal
            } else if !self.voters.are_known(now, &partition, &claim.sets) {
                Verdict::SetsUnknown
            } else {
                let settled = self.voters.is_settled(now, &partition);
                let length = self.settings.promise_duration;
                match self.promises.promise(now, &partition, from, run, length) {
                    Ok(()) => Verdict::Granted { settled },
                    Err(by) => Verdict::Held { by },
                }
            };
            Vote { partition, verdict }
        });
        let votes = votes.collect();
        VoteReply {
            incarnation: request.incarnation,
            round: request.round,
            epoch: self.voters.epoch(),
            digest: mine.clone(),
            votes,
        }
    }

    /// Counts the votes of one voter.
    fn count(
        &mut self,
        now: Time,
        from: &NodeId,
        incarnation: Incarnation,
        round: u64,
        votes: Vec<Vote>,
    ) {
        let sent = self.sent.iter().find(|(sent, _)| *sent == round);
        let Some((_, sent)) = sent.filter(|_| incarnation == self.incarnation).copied() else {
            return;
        };
        let latest = self.sent.back().map_or(sent, |(_, latest)| *latest);
        for Vote { partition, verdict } in votes {
            if let Verdict::Sets(sets) = verdict {
                self.voters.tell(now, &partition, from, sets);
                continue;
            }
            let Some(claim) = self.claims.get_mut(&partition) else {
                continue;
            };
            if claim.draining || round < claim.since {
                continue;
            }
            match verdict {
                Verdict::Granted { settled } => {
                    claim.count(from, sent, settled);
                    let sets = self.voters.in_force(now, &partition);
                    if claim.covers(&sets) {
                        claim.extend(
                            now,
                            &partition,
                            &sets,
                            (latest, self.settings.lease_duration),
                        );
                    }
                }
                Verdict::Held { by } => {
                    let list = self.voters.list();
                    claim.rival = by != self.me
                        && list.is_some_and(|list| list.outranks(&partition, &by, &self.me));
                    self.record_holder(now, &partition, &by);
                }
                Verdict::Sets(_)
                | Verdict::Muted
                | Verdict::ConfigBehind
                | Verdict::ListBehind
                | Verdict::SetsUnknown => {}
            }
        }
    }

    /// Ends leases and tells the voters. The claim stays only if it is to be resumed.
    fn give_up<D: ConfigDigest>(
        &mut self,
        now: Time,
        partitions: Vec<PartitionId>,
        out: &mut Vec<Outbound<LeaseMessage<D>>>,
    ) {
        let mut batches: BTreeMap<NodeId, Vec<PartitionId>> = BTreeMap::new();
        for partition in partitions {
            let sets = self.voters.in_force(now, &partition);
            let Some(claim) = self.claims.get_mut(&partition) else {
                continue;
            };
            claim.until = None;
            claim.restart(self.round + 1);
            if claim.resume.is_none_or(|resume| resume <= now) {
                self.claims.remove(&partition);
            }
            let members: BTreeSet<&NodeId> = sets.iter().flat_map(|set| &*set.members).collect();
            for node in members {
                batches
                    .entry(node.clone())
                    .or_default()
                    .push(partition.clone());
            }
        }
        for (to, partitions) in batches {
            if to == self.me {
                for partition in &partitions {
                    let run = (self.incarnation, self.round);
                    self.promises.release(now, partition, &self.me, run);
                }
                continue;
            }
            let message = LeaseMessage::Release {
                incarnation: self.incarnation,
                round: self.round,
                partitions,
            };
            out.push(Outbound { to, message });
        }
    }
}

impl Claimed {
    /// Prepares for votes of the sets in force. Votes that were requested for other sets do not count.
    fn expect(&mut self, sets: &[VoterSet], round: u64) {
        if !self.covers(sets) {
            self.sets = sets.iter().map(|set| set.hash).collect();
            self.restart(round);
        }
    }

    fn covers(&self, sets: &[VoterSet]) -> bool {
        self.sets.iter().eq(sets.iter().map(|set| &set.hash))
    }

    /// Extends the lease to what the votes allow.
    fn extend(
        &mut self,
        now: Time,
        partition: &PartitionId,
        sets: &[VoterSet],
        (latest, lease): (Time, Duration),
    ) {
        let Some(sent) = self.granted(sets) else {
            return;
        };
        let until = sent + lease;
        if until <= now || self.until.is_some_and(|held| until <= held) {
            return;
        }
        let quorum = check(Invariant::LeaseQuorum, self.is_quorum(sets, sent), || {
            format!("lease of {partition} without a majority of every voter set")
        });
        let length = check(
            Invariant::LeaseLength,
            until <= latest.min(now) + lease,
            || format!("lease of {partition} would end later than was asked for"),
        );
        if quorum && length {
            self.until = Some(until);
            self.suspended = false;
        }
    }
}
