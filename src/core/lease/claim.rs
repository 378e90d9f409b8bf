use std::collections::BTreeMap;

use crate::core::{NodeId, Time, lease::vm_index::VoterSet};

/// State of a partition that this node holds or requests.
#[derive(Debug, Default)]
pub(crate) struct ClaimState {
    /// First round whose grants count.
    pub(crate) first_round: u64,
    pub(crate) grants: BTreeMap<NodeId, GrantTimes>,
    /// Hashes of the voter sets the votes were requested for.
    pub(crate) sets: Vec<u32>,
    /// When the lease ends.
    pub(crate) expiry: Option<Time>,
    /// Whether the lease must be renewed before new calls use it, because the process was paused. Calls already in
    /// flight may finish under it.
    pub(crate) suspended: bool,
    /// When a live node began to outrank this one.
    pub(crate) outranked_since: Option<Time>,
    /// Whether the partition is being handed over: it is not renewed and gets no new calls.
    pub(crate) draining: bool,
    /// Time before which the lease is not requested.
    pub(crate) backoff_until: Option<Time>,
    /// Number of rounds that ended with some votes but no majority.
    pub(crate) partial_rounds: u8,
    /// Whether the holder named by the latest `Verdict::Held` outranks this node.
    pub(crate) has_rival: bool,
}

impl ClaimState {
    pub(crate) fn is_held(&self, now: Time) -> bool {
        self.expiry.is_some_and(|expiry| now < expiry)
    }

    /// Discards the votes. From now on, only grants of `first_round` and later count.
    pub(crate) fn reset_votes(&mut self, first_round: u64) {
        self.first_round = first_round;
        self.grants.clear();
        self.has_rival = false;
        self.partial_rounds = 0;
    }

    /// Records that `voter` granted a request sent at `sent`.
    pub(crate) fn count_grant(&mut self, voter: &NodeId, sent: Time, settled: bool) {
        let grants = self.grants.entry(voter.clone()).or_default();
        grants.any = grants.any.max(Some(sent));
        if settled {
            grants.settled = grants.settled.max(Some(sent));
        }
    }

    /// Returns the latest time such that a quorum of every set granted requests sent then or later, if there is one.
    ///
    /// A quorum is a majority of settled voters, or all voters. Voters that have just started have no information on
    /// whether a replaced set is still active. If all voters grant, none of them has promised the partition to a holder
    /// under a replaced list, so such a holder could have a majority only among nodes that were removed from the list.
    pub(crate) fn quorum_time(&self, sets: &[VoterSet]) -> Option<Time> {
        let quorum = |set: &VoterSet| {
            let grants = set.members.iter().filter_map(|node| self.grants.get(node));
            let nth_latest = |mut sent: Vec<Time>, count: usize| {
                sent.sort_unstable();
                let index = sent.len().checked_sub(count)?;
                sent.get(index).copied()
            };
            let settled = grants.clone().filter_map(|times| times.settled).collect();
            let all = grants.filter_map(|times| times.any).collect();
            nth_latest(settled, set.majority()).max(nth_latest(all, set.members.len()))
        };
        sets.iter().map(quorum).min().flatten()
    }

    /// Returns whether a quorum of every set granted requests sent at `sent` or later.
    pub(crate) fn has_quorum(&self, sets: &[VoterSet], sent: Time) -> bool {
        let count = |set: &VoterSet, select: fn(&GrantTimes) -> Option<Time>| {
            let granted = |node: &&NodeId| {
                let latest = self.grants.get(*node).and_then(select);
                latest.is_some_and(|latest| latest >= sent)
            };
            set.members.iter().filter(granted).count()
        };
        !sets.is_empty()
            && sets.iter().all(|set| {
                2 * count(set, |times| times.settled) > set.members.len()
                    || count(set, |times| times.any) == set.members.len()
            })
    }
}

/// Sending times of the latest requests that a voter granted.
#[derive(Debug, Default)]
pub(crate) struct GrantTimes {
    pub(crate) any: Option<Time>,
    /// Latest one that was granted while the voter was settled.
    settled: Option<Time>,
}
