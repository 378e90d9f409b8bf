use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use crate::core::{NodeId, Time, score};

/// Maximum number of nodes that an account's bucket is divided among. It bounds the messages of a node that needs the tokens
/// of all of them.
pub const MAX_HOLDERS: usize = 128;

/// Key of the order in which nodes become holders.
const HOLDER_KEY: &str = "quota";

/// Time after which a higher share takes effect. By then, the nodes whose shares shrink have learned of the same change:
/// nodes learn of a started or dead one within 2 s of each other.
const RISE_DELAY: Duration = Duration::from_secs(3);

/// Time after which a lower share takes effect. The tokens of nodes that are no longer holders are then missing for less
/// time before those of the new holders replace them.
const FALL_DELAY: Duration = Duration::from_secs(1);

/// Time for which a node that has got a share is still learning the fleet. Lower shares take effect at once meanwhile.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// Time for which a node that is out of reach counts as running. Its side of a partition goes on admitting requests.
const LOST_HOLD: Duration = Duration::from_secs(60);

/// This node's place among the holders.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Place {
    /// Position in the order in which nodes become holders, `None` if callers are not told to use this node.
    rank: Option<usize>,
    /// Number of nodes that can be holders.
    serving: usize,
    /// Part of the fleet that this node reaches.
    reached: f64,
}

impl Place {
    /// Place of a node that does not know the fleet.
    const UNKNOWN: Self = Self {
        rank: None,
        serving: 0,
        reached: 0.0,
    };

    fn share(self, max_holders: usize) -> f64 {
        let holders = self.serving.min(max_holders).max(1);
        match self.rank {
            Some(rank) if rank < holders => self.reached / holders as f64,
            _ => 0.0,
        }
    }
}

/// This node's share of each account's bucket, from what it knows of the fleet.
#[derive(Clone, Debug)]
pub(super) struct Fleet {
    me: NodeId,
    /// When each node was last known to be alive.
    known: HashMap<NodeId, Time>,
    /// The nodes that can be holders, in order.
    holders: Vec<NodeId>,
    /// Places that were computed, with the time of each change.
    computed: VecDeque<(Time, Place)>,
    /// Those that are in force. The lowest share counts.
    in_force: Vec<Place>,
    /// Since when the node has had a place.
    held_since: Option<Time>,
    updated: Time,
}

impl Fleet {
    pub(super) fn new(now: Time, me: NodeId) -> Self {
        Self {
            me,
            known: HashMap::new(),
            holders: Vec::new(),
            computed: VecDeque::from([(now, Place::UNKNOWN)]),
            in_force: Vec::new(),
            held_since: None,
            updated: now,
        }
    }

    /// Returns this node's share of a bucket that is divided among a number of holders, from 0 to 1.
    pub(super) fn share(&self, max_holders: usize) -> f64 {
        let shares = self.in_force.iter().map(|place| place.share(max_holders));
        shares.reduce(f64::min).unwrap_or(0.0)
    }

    pub(super) fn held_since(&self) -> Option<Time> {
        self.held_since
    }

    /// Returns the number of holders of a bucket that is divided among at most a number of nodes.
    pub(super) fn holder_count(&self, max_holders: usize) -> usize {
        self.holders.len().min(max_holders)
    }

    /// Returns the other nodes among the holders of a bucket.
    pub(super) fn holders(&self, max_holders: usize) -> impl Iterator<Item = &NodeId> {
        let holders = self.holders.iter().take(max_holders);
        holders.filter(|node| **node != self.me)
    }

    /// Returns whether the node was paused for so long that others may have taken over its share.
    pub(super) fn is_outdated(&self, now: Time) -> bool {
        now.since(self.updated) >= RISE_DELAY
    }

    /// Gives up the share. It is regained like that of a node that has just started.
    pub(super) fn reset(&mut self, now: Time) {
        self.computed = VecDeque::from([(now, Place::UNKNOWN)]);
        self.in_force.clear();
        self.held_since = None;
        self.updated = now;
    }

    /// Updates this node's place. Returns whether its shares changed. `serving` are the nodes that callers are told to use, `alive` all live ones; `leaving` are nodes
    /// that stop and admit no further requests.
    pub(super) fn update(
        &mut self,
        now: Time,
        serving: &[NodeId],
        alive: &[NodeId],
        leaving: &HashSet<NodeId>,
    ) -> bool {
        let alive = || alive.iter().filter(|node| !leaving.contains(*node));
        for node in alive() {
            if let Some(seen) = self.known.get_mut(node) {
                *seen = now;
            } else {
                self.known.insert(node.clone(), now);
            }
        }
        self.known
            .retain(|node, seen| now.since(*seen) < LOST_HOLD && !leaving.contains(node));
        let mut ranked: Vec<_> = serving
            .iter()
            .filter(|node| !leaving.contains(*node))
            .map(|node| (score(HOLDER_KEY, node.as_str()), node))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.truncate(MAX_HOLDERS);
        let place = Place {
            rank: ranked.iter().position(|(_, node)| **node == self.me),
            serving: ranked.len(),
            reached: alive().count() as f64 / self.known.len().max(1) as f64,
        };
        self.holders = ranked.into_iter().map(|(_, node)| node.clone()).collect();
        self.updated = now;
        self.record(now, place)
    }

    fn record(&mut self, now: Time, place: Place) -> bool {
        if self.computed.back().is_none_or(|(_, last)| *last != place) {
            self.computed.push_back((now, place));
        }
        // The first entry is the one that was in force when the delay began.
        while self
            .computed
            .get(1)
            .is_some_and(|(at, _)| now.since(*at) >= RISE_DELAY)
        {
            self.computed.pop_front();
        }
        let (first, later) = (self.computed.front(), self.computed.iter().skip(1));
        let is_settled = self
            .held_since
            .is_some_and(|since| now.since(since) >= SETTLE_TIME);
        let delay = if is_settled {
            FALL_DELAY
        } else {
            Duration::ZERO
        };
        let later = later.filter(|(at, _)| now.since(*at) >= delay);
        let places = first.into_iter().chain(later).map(|(_, place)| *place);
        let before = std::mem::replace(&mut self.in_force, places.collect());
        let has_place = self.in_force.iter().all(|place| place.rank.is_some());
        self.held_since = has_place.then(|| self.held_since.unwrap_or(now));
        before != self.in_force
    }
}
