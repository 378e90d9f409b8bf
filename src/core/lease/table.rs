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
        claim::ClaimState,
        promises::Promises,
        ranking::Rankings,
        vm_index::{VmIndex, VoterSet},
        voters::VoterSets,
    },
};

/// Number of rounds with some votes but no majority after which a candidate releases its votes and backs off.
/// Otherwise, two candidates that split the voters would block each other for as long as both send requests.
const MAX_PARTIAL_ROUNDS: u8 = 6;

/// Time for which a holder named by another node is remembered.
const HINT_TTL: Duration = Duration::from_millis(2_500);

/// How the configuration of a message's sender compares with the local one. Both fields can be true, because each
/// side may lack a document that the other has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigComparison {
    /// The sender has newer documents, which should be fetched from it.
    pub peer_ahead: bool,
    /// The sender lacks documents, which should be sent to it.
    pub peer_behind: bool,
}

/// The leases that a node holds or requests, and the promises it made as a voter.
#[derive(Debug)]
pub struct LeaseTable {
    me: NodeId,
    incarnation: Incarnation,
    settings: LeaseSettings,
    /// Latest time passed to [`LeaseTable::tick`] or [`LeaseTable::receive`], for detecting pauses of the process.
    last_run: Time,
    /// As a voter, the node grants nothing before this time.
    muted_until: Time,
    voters: VoterSets,
    rankings: Rankings,
    promises: Promises,
    claims: BTreeMap<PartitionId, ClaimState>,
    /// Holders named by other nodes, and until when each is remembered.
    hints: BTreeMap<PartitionId, (NodeId, Time)>,
    round: u64,
    /// Sending times of the rounds within the last lease duration.
    sent_rounds: VecDeque<(u64, Time)>,
    next_round: Time,
    leaving: bool,
}

impl LeaseTable {
    /// Creates a table without leases. As a voter it grants nothing until [`LeaseSettings::mute_period`] has passed.
    pub fn new(me: NodeId, incarnation: Incarnation, settings: LeaseSettings, now: Time) -> Self {
        Self {
            voters: VoterSets::new(me.clone(), &settings),
            me,
            incarnation,
            last_run: now,
            muted_until: now + settings.mute_period,
            settings,
            rankings: Rankings::default(),
            promises: Promises::default(),
            claims: BTreeMap::new(),
            hints: BTreeMap::new(),
            round: 0,
            sent_rounds: VecDeque::new(),
            next_round: now,
            leaving: false,
        }
    }

    /// Sets the VM list. A version that is not newer than the active one is ignored.
    ///
    /// Nodes that were removed from the list must remain reachable: for at least [`LeaseSettings::joint_period`],
    /// leases also need a majority of the replaced voters.
    pub fn set_vms(&mut self, now: Time, version: u64, vms: &VmList) {
        if self.voters.list().is_some() && version <= self.voters.epoch() {
            return;
        }
        let list = VmIndex::new(version, vms);
        self.rankings.set_list(&list);
        self.voters.set_list(now, list);
        self.next_round = now;
    }

    /// Sets the partitions that have leaves. Leases of all other partitions are handed over.
    pub fn set_partitions(&mut self, now: Time, partitions: BTreeSet<PartitionId>) {
        if !self.rankings.has_same_partitions(&partitions) {
            let list = self.voters.list().cloned();
            self.rankings.rebuild(list.as_deref(), partitions);
        }
        self.next_round = now;
    }

    /// Requests and renews leases at the next tick, because the configuration has changed.
    pub fn renew(&mut self, now: Time) {
        self.next_round = now;
    }

    /// Requests and renews leases when they are due. Must be called at least every 100 ms. A gap longer than
    /// [`LeaseSettings::pause_threshold`] counts as a pause of the process.
    ///
    /// `alive` returns whether a node is alive and not leaving. `digest` is the digest of this node's active configuration.
    pub fn tick<D: ConfigDigest>(
        &mut self,
        now: Time,
        alive: &impl Fn(&NodeId) -> bool,
        digest: &D,
        out: &mut Vec<Outbound<LeaseMessage<D>>>,
    ) {
        self.detect_pause(now);
        self.voters.expire(now);
        self.promises.expire(now);
        self.hints.retain(|_, (_, until)| now < *until);
        let (mut drained, mut expired) = (Vec::new(), Vec::new());
        for (partition, claim) in &mut self.claims {
            if claim.is_held(now) {
                continue;
            }
            if claim.draining {
                drained.push(partition.clone());
            } else if claim.expiry.take().is_some() {
                expired.push(partition.clone());
            }
        }
        for partition in expired {
            log::info!(partition:% = partition; "lease expired without a renewal");
        }
        self.release(now, drained, out);
        if now < self.next_round {
            return;
        }
        self.next_round = now + self.settings.renew_interval;
        self.round += 1;
        self.sent_rounds.push_back((self.round, now));
        while let Some((_, sent)) = self.sent_rounds.front()
            && *sent + self.settings.lease_duration <= now
        {
            self.sent_rounds.pop_front();
        }
        self.select_claims(now, alive, out);
        self.send_requests(now, digest, out);
    }

    /// Handles a message from another node. `local` is the digest of this node's active configuration.
    pub fn receive<D: ConfigDigest>(
        &mut self,
        now: Time,
        from: &NodeId,
        message: LeaseMessage<D>,
        local: &D,
        out: &mut Vec<Outbound<LeaseMessage<D>>>,
    ) -> ConfigComparison {
        self.detect_pause(now);
        let (epoch, remote) = match &message {
            LeaseMessage::Request(request) => (request.epoch, request.digest.clone()),
            LeaseMessage::Reply(reply) => (reply.epoch, reply.digest.clone()),
            LeaseMessage::Release { .. } => (self.voters.epoch(), local.clone()),
        };
        let comparison = ConfigComparison {
            peer_ahead: epoch > self.voters.epoch() || remote.ahead_of(local),
            peer_behind: epoch < self.voters.epoch() || local.ahead_of(&remote),
        };
        match message {
            LeaseMessage::Request(request) => {
                self.voters.record_epoch(from, request.epoch);
                let reply = self.vote(now, from, request, local);
                out.push(Outbound {
                    to: from.clone(),
                    message: LeaseMessage::Reply(reply),
                });
            }
            LeaseMessage::Reply(reply) => {
                self.voters.record_epoch(from, reply.epoch);
                self.count_votes(now, from, reply.incarnation, reply.round, reply.votes);
            }
            LeaseMessage::Release {
                incarnation,
                round,
                partitions,
            } => {
                for partition in &partitions {
                    let round_id = (incarnation, round);
                    self.promises.release(now, partition, from, round_id);
                }
            }
        }
        comparison
    }

    /// Returns the time until which leaf calls of a partition may run, or `None` if no new call may be dispatched now.
    pub fn expiry(&self, now: Time, partition: &PartitionId) -> Option<Time> {
        if now.since(self.last_run) > self.settings.pause_threshold {
            return None;
        }
        let claim = self.claims.get(partition)?;
        claim
            .expiry
            .filter(|expiry| !claim.draining && !claim.suspended && now < *expiry)
    }

    /// Returns the probable holder of a partition: this node, a holder recently named by another node, or the preferred
    /// holder among the live nodes.
    pub fn holder_hint(&self, now: Time, partition: &PartitionId) -> Option<NodeId> {
        if self.expiry(now, partition).is_some() {
            return Some(self.me.clone());
        }
        match self.hints.get(partition) {
            Some((holder, until)) if now < *until => Some(holder.clone()),
            _ => self.rankings.preferred(partition).cloned(),
        }
    }

    /// Records a holder named by another node, for use by [`LeaseTable::holder_hint`].
    pub fn record_holder(&mut self, now: Time, partition: &PartitionId, holder: &NodeId) {
        if *holder != self.me && self.rankings.preferred(partition).is_some() {
            let hint = (holder.clone(), now + HINT_TTL);
            self.hints.insert(partition.clone(), hint);
        }
    }

    /// Returns the partitions being handed over. No new calls may be dispatched for them. Call
    /// [`LeaseTable::release_drained`] for each once none of its calls is in flight.
    pub fn draining(&self) -> Vec<PartitionId> {
        let draining = self.claims.iter().filter(|(_, claim)| claim.draining);
        draining.map(|(partition, _)| partition.clone()).collect()
    }

    /// Releases a partition being handed over. None of its leaf calls may be in flight.
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
            self.release(now, vec![partition.clone()], out);
        }
    }

    /// Starts to hand over all partitions and stops acquiring new ones, because the node is leaving.
    pub fn drain_all(&mut self, now: Time) {
        self.leaving = true;
        self.next_round = now;
        for claim in self.claims.values_mut() {
            claim.draining = true;
        }
    }

    /// Releases all partitions and stops acquiring new ones. No leaf call may be in flight.
    pub fn release_all<D: ConfigDigest>(
        &mut self,
        now: Time,
        out: &mut Vec<Outbound<LeaseMessage<D>>>,
    ) {
        self.leaving = true;
        let partitions = self.claims.keys().cloned().collect();
        self.release(now, partitions, out);
    }

    /// Detects that the process was paused. Its state may be outdated after a pause, so leases must be renewed before
    /// use, and the voter grants nothing until there has been time to fetch the configuration.
    fn detect_pause(&mut self, now: Time) {
        if now.since(self.last_run) > self.settings.pause_threshold {
            self.muted_until = now + self.settings.mute_period;
            self.next_round = now;
            for claim in self.claims.values_mut() {
                claim.suspended = true;
                claim.reset_votes(self.round + 1);
            }
        }
        self.last_run = self.last_run.max(now);
    }

    /// Decides which partitions to request, keep and hand over.
    fn select_claims<D: ConfigDigest>(
        &mut self,
        now: Time,
        alive: &impl Fn(&NodeId) -> bool,
        out: &mut Vec<Outbound<LeaseMessage<D>>>,
    ) {
        let Some(list) = self.voters.list().cloned() else {
            return;
        };
        let leaving = self.leaving;
        self.rankings.refresh(&list, |node| match *node == self.me {
            true => !leaving,
            false => alive(node),
        });
        if !self.leaving {
            for partition in self.rankings.partitions_of(&self.me) {
                self.claims
                    .entry(partition.clone())
                    .or_insert_with(|| ClaimState {
                        first_round: self.round,
                        ..ClaimState::default()
                    })
                    .outranked_since = None;
            }
        }
        let mut dropped = Vec::new();
        for (partition, claim) in &mut self.claims {
            let preferred = self.rankings.preferred(partition);
            if preferred == Some(&self.me) && !self.leaving {
                if claim.is_held(now) {
                    claim.partial_rounds = 0;
                } else if claim.has_rival || claim.partial_rounds >= MAX_PARTIAL_ROUNDS {
                    // Nodes that back off at the same time must not retry at the same time.
                    let jitter = (self.incarnation.0 ^ self.round) % 3;
                    let rounds = 2 + jitter as u32;
                    claim.backoff_until = Some(now + self.settings.renew_interval * rounds);
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
                let since = *claim.outranked_since.get_or_insert(now);
                claim.draining = now.since(since) >= self.settings.handover_delay;
            }
        }
        self.release(now, dropped, out);
    }

    /// Sends the requests of this round, one message per voter for all partitions it votes on.
    fn send_requests<D: ConfigDigest>(
        &mut self,
        now: Time,
        digest: &D,
        out: &mut Vec<Outbound<LeaseMessage<D>>>,
    ) {
        let unconfirmed = self.voters.unconfirmed_voters().into_iter();
        let mut batches: BTreeMap<NodeId, Vec<Claim>> =
            unconfirmed.map(|node| (node, Vec::new())).collect();
        for (partition, claim) in &mut self.claims {
            if claim.draining || claim.backoff_until.is_some_and(|until| now < until) {
                continue;
            }
            let sets = self.voters.active_sets(now, partition);
            claim.set_voter_sets(&sets, self.round);
            let expired = self.voters.expired_sets(partition);
            let request = Claim {
                partition: partition.clone(),
                sets: sets.iter().map(|set| set.hash).chain(expired).collect(),
            };
            let lease = self.settings.lease_duration;
            claim
                .grants
                .retain(|_, times| times.any.is_some_and(|sent| now < sent + lease));
            if !claim.grants.is_empty() && !claim.is_held(now) {
                claim.partial_rounds += 1;
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
        let own_claims = batches.remove(&self.me);
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
        if let Some(claims) = own_claims {
            let request = request(claims);
            let me = self.me.clone();
            let reply = self.vote(now, &me, request, digest);
            self.count_votes(now, &me, reply.incarnation, reply.round, reply.votes);
        }
    }

    /// Handles a vote request and returns the reply.
    fn vote<D: ConfigDigest>(
        &mut self,
        now: Time,
        from: &NodeId,
        request: VoteRequest<D>,
        local: &D,
    ) -> VoteReply<D> {
        let rejection = if now < self.muted_until || self.voters.list().is_none() {
            Some(Verdict::Muted)
        } else if request.epoch < self.voters.epoch() {
            Some(Verdict::ListBehind)
        } else if local.ahead_of(&request.digest) {
            Some(Verdict::ConfigBehind)
        } else {
            None
        };
        let round_id = (request.incarnation, request.round);
        let votes = request.claims.into_iter().map(|claim| {
            let partition = claim.partition;
            let verdict = if claim.sets.is_empty() && self.voters.list().is_some() {
                let sets = self.voters.active_sets(now, &partition);
                Verdict::Sets(sets.iter().map(|set| set.hash).collect())
            } else if let Some(rejection) = rejection.clone() {
                rejection
            } else if !self.voters.covers_active_sets(now, &partition, &claim.sets) {
                Verdict::SetsUnknown
            } else {
                let settled = self.voters.is_settled(now, &partition);
                let duration = self.settings.promise_duration;
                match self
                    .promises
                    .promise(now, &partition, from, round_id, duration)
                {
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
            digest: local.clone(),
            votes,
        }
    }

    /// Counts the votes in the reply of one voter.
    fn count_votes(
        &mut self,
        now: Time,
        from: &NodeId,
        incarnation: Incarnation,
        round: u64,
        votes: Vec<Vote>,
    ) {
        let sent = self.sent_rounds.iter().find(|(sent, _)| *sent == round);
        let Some((_, sent)) = sent.filter(|_| incarnation == self.incarnation).copied() else {
            return;
        };
        let latest = self.sent_rounds.back().map_or(sent, |(_, latest)| *latest);
        for Vote { partition, verdict } in votes {
            if let Verdict::Sets(sets) = verdict {
                self.voters.record_report(now, &partition, from, sets);
                continue;
            }
            let Some(claim) = self.claims.get_mut(&partition) else {
                continue;
            };
            if claim.draining || round < claim.first_round {
                continue;
            }
            match verdict {
                Verdict::Granted { settled } => {
                    claim.count_grant(from, sent, settled);
                    let sets = self.voters.active_sets(now, &partition);
                    if claim.has_voter_sets(&sets) {
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
                    claim.has_rival = by != self.me
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

    /// Ends leases and notifies the voters. A claim is kept only while it is backing off.
    fn release<D: ConfigDigest>(
        &mut self,
        now: Time,
        partitions: Vec<PartitionId>,
        out: &mut Vec<Outbound<LeaseMessage<D>>>,
    ) {
        let mut batches: BTreeMap<NodeId, Vec<PartitionId>> = BTreeMap::new();
        for partition in partitions {
            let sets = self.voters.active_sets(now, &partition);
            let Some(claim) = self.claims.get_mut(&partition) else {
                continue;
            };
            claim.expiry = None;
            claim.reset_votes(self.round + 1);
            if claim.backoff_until.is_none_or(|until| until <= now) {
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
                    let round_id = (self.incarnation, self.round);
                    self.promises.release(now, partition, &self.me, round_id);
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

impl ClaimState {
    /// Sets the voter sets to collect votes from. Votes that were requested for other sets are discarded.
    fn set_voter_sets(&mut self, sets: &[VoterSet], round: u64) {
        if !self.has_voter_sets(sets) {
            self.sets = sets.iter().map(|set| set.hash).collect();
            self.reset_votes(round);
        }
    }

    fn has_voter_sets(&self, sets: &[VoterSet]) -> bool {
        self.sets.iter().eq(sets.iter().map(|set| &set.hash))
    }

    /// Extends the lease as far as the votes allow. `latest` is when the latest round was sent, `lease` the length of a
    /// lease.
    fn extend(
        &mut self,
        now: Time,
        partition: &PartitionId,
        sets: &[VoterSet],
        (latest, lease): (Time, Duration),
    ) {
        let Some(sent) = self.quorum_time(sets) else {
            return;
        };
        let expiry = sent + lease;
        if expiry <= now || self.expiry.is_some_and(|current| expiry <= current) {
            return;
        }
        let has_quorum = check(Invariant::LeaseQuorum, self.has_quorum(sets, sent), || {
            format!("lease of {partition} without a quorum of every voter set")
        });
        let is_bounded = check(
            Invariant::LeaseLength,
            expiry <= latest.min(now) + lease,
            || format!("lease of {partition} would end later than requested"),
        );
        if has_quorum && is_bounded {
            self.expiry = Some(expiry);
            self.suspended = false;
        }
    }
}
