use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use smallvec::SmallVec;

use crate::core::{
    NodeId, PartitionId, Time,
    lease::{
        LeaseSettings,
        roster::{Roster, VoterSet},
    },
};

/// Time after which the voter sets of a partition that nobody asked for are forgotten.
const IDLE: Duration = Duration::from_secs(30);

/// Time for which a voter set that no longer counts is still named to voters. They learnt of its replacement
/// at other times and may count it for a few seconds longer.
const NAMED: Duration = Duration::from_secs(20);

/// Time for which the word of a voter about sets in force counts unless it is repeated. A voter that is gone for
/// good must not block a partition for good.
const TOLD: Duration = Duration::from_secs(60);

/// Replaced lists kept at most. They serve partitions first asked for within the joint period.
const MAX_LISTS: usize = 32;

/// The voter sets in force for each partition that this node holds, wants or votes on.
#[derive(Debug)]
pub(crate) struct VoterSets {
    me: NodeId,
    count: usize,
    joint: Duration,
    promise: Duration,
    list: Option<Arc<Roster>>,
    replaced: Vec<ReplacedList>,
    zones: BTreeMap<PartitionId, Zone>,
    /// The list version last heard from each node.
    epochs: BTreeMap<NodeId, u64>,
}

#[derive(Debug)]
struct ReplacedList {
    list: Arc<Roster>,
    at: Time,
    successor: u64,
}

#[derive(Debug)]
struct Zone {
    current: VoterSet,
    old: Vec<OldSet>,
    /// Hashes of sets that no longer count, and until when they are named.
    over: Vec<(u32, Time)>,
    /// Hashes of replaced sets that other voters consider in force, and until when their word counts. A node
    /// that started after a replacement knows of it only from them.
    told: BTreeMap<NodeId, (SmallVec<[u32; 2]>, Time)>,
    created: Time,
    used: Time,
}

/// A voter set of a replaced list. It stays in force until no majority of it can follow that list.
#[derive(Debug)]
struct OldSet {
    set: VoterSet,
    replaced: Time,
    successor: u64,
    /// Since when no majority of the set can promise under the replaced list.
    powerless: Option<Time>,
}

impl VoterSets {
    pub(crate) fn new(me: NodeId, settings: &LeaseSettings) -> Self {
        Self {
            me,
            count: settings.voters,
            joint: settings.joint_period,
            promise: settings.promise_duration,
            list: None,
            replaced: Vec::new(),
            zones: BTreeMap::new(),
            epochs: BTreeMap::new(),
        }
    }

    pub(crate) fn list(&self) -> Option<&Arc<Roster>> {
        self.list.as_ref()
    }

    /// Returns the version of the list in force, zero without one.
    pub(crate) fn epoch(&self) -> u64 {
        self.list.as_ref().map_or(0, |list| list.version)
    }

    /// Returns whether this node has followed a partition for at least the joint period. Before that it may not
    /// know of a replaced set that still counts.
    pub(crate) fn is_settled(&self, now: Time, partition: &PartitionId) -> bool {
        let zone = self.zones.get(partition);
        zone.is_some_and(|zone| zone.created + self.joint <= now)
    }

    /// Returns whether a requester names all sets that this node or the voters it asked consider in force.
    pub(crate) fn are_known(&mut self, now: Time, partition: &PartitionId, named: &[u32]) -> bool {
        let own = self.in_force(now, partition);
        let zone = self.zones.get(partition);
        let told = zone.into_iter().flat_map(|zone| zone.told.values());
        own.iter().all(|set| named.contains(&set.hash))
            && told
                .flat_map(|(sets, _)| sets)
                .all(|hash| named.contains(hash))
    }

    /// Records which sets another voter considers in force.
    pub(crate) fn tell(
        &mut self,
        now: Time,
        partition: &PartitionId,
        voter: &NodeId,
        mut sets: SmallVec<[u32; 2]>,
    ) {
        if let Some(zone) = self.zones.get_mut(partition) {
            sets.retain(|hash| *hash != zone.current.hash);
            if sets.is_empty() {
                zone.told.remove(voter);
            } else {
                zone.told.insert(voter.clone(), (sets, now + TOLD));
            }
        }
    }

    /// Returns the voters to ask for their sets: those of partitions followed for less than the joint period,
    /// and those that named a replaced set.
    pub(crate) fn inquiries(&self, now: Time) -> Vec<(PartitionId, NodeId)> {
        let mut inquiries = Vec::new();
        for (partition, zone) in &self.zones {
            let settled = self.is_settled(now, partition);
            let members = zone.current.members.iter();
            let asked: BTreeSet<&NodeId> = members
                .filter(|node| !settled && **node != self.me)
                .chain(zone.told.keys())
                .collect();
            inquiries.extend(
                asked
                    .into_iter()
                    .map(|node| (partition.clone(), node.clone())),
            );
        }
        inquiries
    }

    pub(crate) fn set_list(&mut self, now: Time, list: Roster) {
        let list = Arc::new(list);
        let successor = list.version;
        for (partition, zone) in &mut self.zones {
            let next = list.voters(partition, self.count);
            if next != zone.current {
                zone.old.push(OldSet {
                    set: std::mem::replace(&mut zone.current, next),
                    replaced: now,
                    successor,
                    powerless: None,
                });
            }
        }
        if let Some(previous) = self.list.replace(list) {
            self.replaced.push(ReplacedList {
                list: previous,
                at: now,
                successor,
            });
        }
        self.note_epoch(&self.me.clone(), successor);
        self.expire(now);
    }

    /// Records the list version of another node.
    pub(crate) fn note_epoch(&mut self, node: &NodeId, epoch: u64) {
        // The last value counts, not the highest: a node that restarted may be on an older list again.
        self.epochs.insert(node.clone(), epoch);
    }

    /// Returns the sets of which a holder needs a majority each, the current one first. Empty without a list.
    pub(crate) fn in_force(
        &mut self,
        now: Time,
        partition: &PartitionId,
    ) -> SmallVec<[VoterSet; 2]> {
        let Some(list) = self.list.clone() else {
            return SmallVec::new();
        };
        let zone = self.zones.entry(partition.clone()).or_insert_with(|| {
            let current = list.voters(partition, self.count);
            let old = self.replaced.iter().map(|replaced| OldSet {
                set: replaced.list.voters(partition, self.count),
                replaced: replaced.at,
                successor: replaced.successor,
                powerless: None,
            });
            Zone {
                old: old.filter(|old| old.set != current).collect(),
                current,
                over: Vec::new(),
                told: BTreeMap::new(),
                created: now,
                used: now,
            }
        });
        zone.used = now;
        zone.expire(now, (self.joint, self.promise), &list, &self.epochs);
        let mut sets = SmallVec::from_iter([zone.current.clone()]);
        for old in &zone.old {
            if !sets.contains(&old.set) {
                sets.push(old.set.clone());
            }
        }
        sets
    }

    /// Returns the hashes of sets of a partition that counted a short time ago.
    pub(crate) fn over(&self, partition: &PartitionId) -> impl Iterator<Item = u32> {
        let zone = self.zones.get(partition);
        let over = zone.map_or(&[][..], |zone| &zone.over);
        over.iter().map(|(hash, _)| *hash)
    }

    /// Returns the voters of replaced sets whose list version has to be asked for.
    pub(crate) fn unconfirmed(&self) -> BTreeSet<NodeId> {
        self.zones
            .values()
            .flat_map(|zone| &zone.old)
            .flat_map(|old| {
                let members = old.set.members.iter();
                members.filter(|node| {
                    self.epochs
                        .get(*node)
                        .is_none_or(|epoch| *epoch < old.successor)
                })
            })
            .cloned()
            .collect()
    }

    /// Forgets what no longer matters.
    pub(crate) fn expire(&mut self, now: Time) {
        self.replaced
            .retain(|replaced| now < replaced.at + self.joint);
        let excess = self.replaced.len().saturating_sub(MAX_LISTS);
        self.replaced.drain(..excess);
        let Some(list) = &self.list else {
            return;
        };
        for zone in self.zones.values_mut() {
            zone.expire(now, (self.joint, self.promise), list, &self.epochs);
        }
        self.zones
            .retain(|_, zone| !zone.old.is_empty() || now < zone.used + IDLE);
        if self.epochs.len() > 2 * self.zones.len() * self.count {
            let zones = &self.zones;
            self.epochs.retain(|node, _| {
                *node == self.me
                    || zones.values().any(|zone| {
                        zone.current.contains(node)
                            || zone.old.iter().any(|old| old.set.contains(node))
                    })
            });
        }
    }
}

impl Zone {
    fn expire(
        &mut self,
        now: Time,
        times: (Duration, Duration),
        list: &Roster,
        epochs: &BTreeMap<NodeId, u64>,
    ) {
        self.over.retain(|(_, until)| now < *until);
        self.told
            .retain(|node, (_, until)| now < *until && list.contains(node));
        let over = &mut self.over;
        self.old.retain_mut(|old| {
            let is_over = old.is_over(now, times, list, epochs);
            if is_over {
                over.push((old.set.hash, now + NAMED));
            }
            !is_over
        });
    }
}

impl OldSet {
    /// Returns whether the set no longer counts: the joint period has passed, and for the length of a promise
    /// either so many of its voters have been on a newer list that the rest is no majority, or most of them
    /// have been declared gone.
    ///
    /// The joint period alone is not enough. In a network partition that lasts longer, a majority of this set may
    /// renew a lease under the old list although a single VM was replaced, because half of the old voters plus
    /// one and half of the new voters plus one need not overlap.
    fn is_over(
        &mut self,
        now: Time,
        (joint, promise): (Duration, Duration),
        list: &Roster,
        epochs: &BTreeMap<NodeId, u64>,
    ) -> bool {
        let members = &self.set.members;
        let moved = members
            .iter()
            .filter(|node| {
                epochs
                    .get(*node)
                    .is_some_and(|epoch| *epoch >= self.successor)
            })
            .count();
        let gone = members.iter().filter(|node| !list.contains(node)).count();
        if moved > members.len() - self.set.majority() || 2 * gone > members.len() {
            let since = *self.powerless.get_or_insert(now);
            now >= self.replaced + joint && now >= since + promise
        } else {
            self.powerless = None;
            false
        }
    }
}
