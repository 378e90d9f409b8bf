use std::collections::BTreeMap;

use crate::core::{NodeId, Time, lease::roster::VoterSet};

/// A partition this node holds or asks for.
#[derive(Debug, Default)]
pub(crate) struct Claimed {
    /// Grants of earlier rounds do not count.
    pub(crate) since: u64,
    pub(crate) votes: BTreeMap<NodeId, Votes>,
    /// Hashes of the voter sets the votes were requested for.
    pub(crate) sets: Vec<u32>,
    /// End of the lease.
    pub(crate) until: Option<Time>,
    /// Not to be used before it is renewed, because the node was paused. Calls in flight may still end with it.
    pub(crate) suspended: bool,
    /// Since when a live node has outranked this one.
    pub(crate) outranked: Option<Time>,
    /// Being handed over: not renewed, no new calls.
    pub(crate) draining: bool,
    /// Not requested before this time.
    pub(crate) resume: Option<Time>,
    /// Rounds that ended with some votes but no majority.
    pub(crate) partial: u8,
    /// A voter named a holder that outranks this node.
    pub(crate) rival: bool,
}

impl Claimed {
    pub(crate) fn is_held(&self, now: Time) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Forgets the votes. Only grants of the round `since` and later count from now on.
    pub(crate) fn restart(&mut self, since: u64) {
        self.since = since;
        self.votes.clear();
        self.rival = false;
        self.partial = 0;
    }

    /// Counts a grant of a request that was sent at `sent`.
    pub(crate) fn count(&mut self, voter: &NodeId, sent: Time, settled: bool) {
        let votes = self.votes.entry(voter.clone()).or_default();
        votes.any = votes.any.max(Some(sent));
        if settled {
            votes.settled = votes.settled.max(Some(sent));
        }
    }

    /// Returns the latest sending time that a quorum of every set granted, none without such quorums.
    ///
    /// A quorum is a majority of settled voters, or all voters. Voters that have just started do not know
    /// whether a replaced set still counts. When all voters grant, none of them promised to a holder under a
    /// replaced list, and such a holder has a majority only among nodes that were declared gone.
    pub(crate) fn granted(&self, sets: &[VoterSet]) -> Option<Time> {
        let quorum = |set: &VoterSet| {
            let votes = set.members.iter().filter_map(|node| self.votes.get(node));
            let nth = |mut sent: Vec<Time>, count: usize| {
                sent.sort_unstable();
                let index = sent.len().checked_sub(count)?;
                sent.get(index).copied()
            };
            let settled = votes.clone().filter_map(|vote| vote.settled).collect();
            let all = votes.filter_map(|vote| vote.any).collect();
            nth(settled, set.majority()).max(nth(all, set.members.len()))
        };
        sets.iter().map(quorum).min().flatten()
    }

    /// Returns whether a quorum of every set granted requests sent at `sent` or later.
    pub(crate) fn is_quorum(&self, sets: &[VoterSet], sent: Time) -> bool {
        let votes = |set: &VoterSet, pick: fn(&Votes) -> Option<Time>| {
            let granted = |node: &&NodeId| {
                let vote = self.votes.get(*node).and_then(pick);
                vote.is_some_and(|vote| vote >= sent)
            };
            set.members.iter().filter(granted).count()
        };
        !sets.is_empty()
            && sets.iter().all(|set| {
                2 * votes(set, |vote| vote.settled) > set.members.len()
                    || votes(set, |vote| vote.any) == set.members.len()
            })
    }
}

/// When the newest granted requests to a voter were sent.
#[derive(Debug, Default)]
pub(crate) struct Votes {
    pub(crate) any: Option<Time>,
    /// The newest one granted when the voter was settled.
    settled: Option<Time>,
}
