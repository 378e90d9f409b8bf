use std::collections::BTreeMap;

use crate::core::{NodeId, Time, lease::roster::VoterSet};

/// A partition this node holds or asks for.
#[derive(Debug, Default)]
pub(crate) struct Claimed {
    /// Grants of earlier rounds do not count.
    pub(crate) since: u64,
    /// When the newest granted request to each voter was sent.
    pub(crate) votes: BTreeMap<NodeId, Time>,
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

    /// Returns the latest sending time that a majority of every set granted, none without such majorities.
    pub(crate) fn granted(&self, sets: &[VoterSet]) -> Option<Time> {
        sets.iter()
            .map(|set| {
                let members = set.members.iter();
                let mut sent: Vec<Time> = members
                    .filter_map(|node| self.votes.get(node).copied())
                    .collect();
                sent.sort_unstable();
                sent.len()
                    .checked_sub(set.majority())
                    .map(|index| sent[index])
            })
            .min()
            .flatten()
    }

    /// Returns whether a majority of every set granted requests sent at `sent` or later.
    pub(crate) fn is_quorum(&self, sets: &[VoterSet], sent: Time) -> bool {
        let voted = |node: &&NodeId| self.votes.get(*node).is_some_and(|vote| *vote >= sent);
        !sets.is_empty()
            && sets
                .iter()
                .all(|set| 2 * set.members.iter().filter(voted).count() > set.members.len())
    }
}
