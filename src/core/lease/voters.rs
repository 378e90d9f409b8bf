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
        vm_index::{VmIndex, VoterSet},
    },
};

/// Time without use after which the voter sets of a partition are removed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which requests still include the hash of an expired voter set. Voters receive the list that replaced it at
/// different times and may consider the set active for a few seconds longer.
const EXPIRED_SET_TTL: Duration = Duration::from_secs(20);

/// Time for which a voter's report of active sets counts unless it is repeated. Without a limit, a voter that is
/// permanently gone would block a partition permanently.
const REPORT_TTL: Duration = Duration::from_secs(60);

/// Maximum number of replaced lists that are kept. The voters of a partition that is first used later may still hold it
/// under one of them, on the other side of a network partition.
const MAX_REPLACED_LISTS: usize = 32;

/// The active voter sets of each partition that this node holds, requests or votes on.
#[derive(Debug)]
pub(crate) struct VoterSets {
    me: NodeId,
    voter_count: usize,
    joint_period: Duration,
    promise_duration: Duration,
    list: Option<Arc<VmIndex>>,
    replaced_lists: Vec<ReplacedList>,
    partitions: BTreeMap<PartitionId, PartitionState>,
    /// List version last reported by each node.
    epochs: BTreeMap<NodeId, u64>,
}

#[derive(Debug)]
struct ReplacedList {
    list: Arc<VmIndex>,
    replaced_at: Time,
    /// Version of the list that replaced this one.
    successor_version: u64,
}

#[derive(Debug)]
struct PartitionState {
    current: VoterSet,
    replaced_sets: Vec<ReplacedSet>,
    /// Hashes of expired sets, and until when requests include them.
    expired: Vec<(u32, Time)>,
    /// Hashes of replaced sets that other voters report as active, and until when each report counts. A node that
    /// started after a replacement has only these reports as a source for the replaced set.
    reported: BTreeMap<NodeId, (SmallVec<[u32; 2]>, Time)>,
    created: Time,
    last_used: Time,
}

/// A voter set of a replaced list. It stays active until no majority of it can still use that list.
#[derive(Debug)]
struct ReplacedSet {
    set: VoterSet,
    replaced_at: Time,
    /// Version of the list that replaced the set's list.
    successor_version: u64,
    /// Since when no majority of the set can still promise under the replaced list.
    minority_since: Option<Time>,
}

impl VoterSets {
    pub(crate) fn new(me: NodeId, settings: &LeaseSettings) -> Self {
        Self {
            me,
            voter_count: settings.voters,
            joint_period: settings.joint_period,
            promise_duration: settings.promise_duration,
            list: None,
            replaced_lists: Vec::new(),
            partitions: BTreeMap::new(),
            epochs: BTreeMap::new(),
        }
    }

    pub(crate) fn list(&self) -> Option<&Arc<VmIndex>> {
        self.list.as_ref()
    }

    /// Returns the version of the active list, or 0 if there is none.
    pub(crate) fn epoch(&self) -> u64 {
        self.list.as_ref().map_or(0, |list| list.version)
    }

    /// Returns whether this node has tracked a partition for at least the joint period. Before that, it may lack a
    /// replaced set that is still active.
    pub(crate) fn is_settled(&self, now: Time, partition: &PartitionId) -> bool {
        let state = self.partitions.get(partition);
        state.is_some_and(|state| state.created + self.joint_period <= now)
    }

    /// Returns whether `hashes` contains every set that this node considers active and every set that another voter
    /// reported as active.
    pub(crate) fn covers_active_sets(
        &mut self,
        now: Time,
        partition: &PartitionId,
        hashes: &[u32],
    ) -> bool {
        let active = self.active_sets(now, partition);
        let state = self.partitions.get(partition);
        let reported = state.into_iter().flat_map(|state| state.reported.values());
        active.iter().all(|set| hashes.contains(&set.hash))
            && reported
                .flat_map(|(sets, _)| sets)
                .all(|hash| hashes.contains(hash))
    }

    /// Records which sets another voter considers active.
    pub(crate) fn record_report(
        &mut self,
        now: Time,
        partition: &PartitionId,
        voter: &NodeId,
        mut sets: SmallVec<[u32; 2]>,
    ) {
        if let Some(state) = self.partitions.get_mut(partition) {
            sets.retain(|hash| *hash != state.current.hash);
            if sets.is_empty() {
                state.reported.remove(voter);
            } else {
                state
                    .reported
                    .insert(voter.clone(), (sets, now + REPORT_TTL));
            }
        }
    }

    /// Returns the voters to ask for their active sets: those of partitions tracked for less than the joint period,
    /// and those that reported a replaced set.
    pub(crate) fn inquiries(&self, now: Time) -> Vec<(PartitionId, NodeId)> {
        let mut inquiries = Vec::new();
        for (partition, state) in &self.partitions {
            let settled = self.is_settled(now, partition);
            let members = state.current.members.iter();
            let nodes: BTreeSet<&NodeId> = members
                .filter(|node| !settled && **node != self.me)
                .chain(state.reported.keys())
                .collect();
            inquiries.extend(
                nodes
                    .into_iter()
                    .map(|node| (partition.clone(), node.clone())),
            );
        }
        inquiries
    }

    pub(crate) fn set_list(&mut self, now: Time, list: VmIndex) {
        let list = Arc::new(list);
        let successor_version = list.version;
        for (partition, state) in &mut self.partitions {
            let next = list.voters(partition, self.voter_count);
            if next != state.current {
                state.replaced_sets.push(ReplacedSet {
                    set: std::mem::replace(&mut state.current, next),
                    replaced_at: now,
                    successor_version,
                    minority_since: None,
                });
            }
        }
        if let Some(previous) = self.list.replace(list) {
            self.replaced_lists.push(ReplacedList {
                list: previous,
                replaced_at: now,
                successor_version,
            });
        }
        self.record_epoch(&self.me.clone(), successor_version);
        self.expire(now);
    }

    /// Records the list version of a node.
    pub(crate) fn record_epoch(&mut self, node: &NodeId, epoch: u64) {
        // The latest value counts, not the highest one, because a node may be back on an older list after a restart.
        self.epochs.insert(node.clone(), epoch);
    }

    /// Returns the active sets, the current one first. A holder needs a majority of each. Empty without a list.
    pub(crate) fn active_sets(
        &mut self,
        now: Time,
        partition: &PartitionId,
    ) -> SmallVec<[VoterSet; 2]> {
        let Some(list) = self.list.clone() else {
            return SmallVec::new();
        };
        let state = self.partitions.entry(partition.clone()).or_insert_with(|| {
            let current = list.voters(partition, self.voter_count);
            let old = self.replaced_lists.iter().map(|replaced| ReplacedSet {
                set: replaced.list.voters(partition, self.voter_count),
                replaced_at: replaced.replaced_at,
                successor_version: replaced.successor_version,
                minority_since: None,
            });
            PartitionState {
                replaced_sets: old.filter(|old| old.set != current).collect(),
                current,
                expired: Vec::new(),
                reported: BTreeMap::new(),
                created: now,
                last_used: now,
            }
        });
        state.last_used = now;
        state.expire(
            now,
            (self.joint_period, self.promise_duration),
            &list,
            &self.epochs,
        );
        let mut sets = SmallVec::from_iter([state.current.clone()]);
        for old in &state.replaced_sets {
            if !sets.contains(&old.set) {
                sets.push(old.set.clone());
            }
        }
        sets
    }

    /// Returns the hashes of the sets of a partition that expired recently.
    pub(crate) fn expired_sets(&self, partition: &PartitionId) -> impl Iterator<Item = u32> {
        let state = self.partitions.get(partition);
        let expired = state.map_or(&[][..], |state| &state.expired);
        expired.iter().map(|(hash, _)| *hash)
    }

    /// Returns the voters of replaced sets that are not known to have the newer list and so are asked for their list
    /// version.
    pub(crate) fn unconfirmed_voters(&self) -> BTreeSet<NodeId> {
        self.partitions
            .values()
            .flat_map(|state| &state.replaced_sets)
            .flat_map(|old| {
                let members = old.set.members.iter();
                members.filter(|node| {
                    self.epochs
                        .get(*node)
                        .is_none_or(|epoch| *epoch < old.successor_version)
                })
            })
            .cloned()
            .collect()
    }

    /// Removes expired and unused state.
    pub(crate) fn expire(&mut self, now: Time) {
        let excess = self.replaced_lists.len().saturating_sub(MAX_REPLACED_LISTS);
        self.replaced_lists.drain(..excess);
        let Some(list) = &self.list else {
            return;
        };
        for state in self.partitions.values_mut() {
            state.expire(
                now,
                (self.joint_period, self.promise_duration),
                list,
                &self.epochs,
            );
        }
        self.partitions.retain(|_, state| {
            !state.replaced_sets.is_empty() || now < state.last_used + IDLE_TIMEOUT
        });
        if self.epochs.len() > 2 * self.partitions.len() * self.voter_count {
            let partitions = &self.partitions;
            self.epochs.retain(|node, _| {
                *node == self.me
                    || partitions.values().any(|state| {
                        state.current.contains(node)
                            || state.replaced_sets.iter().any(|old| old.set.contains(node))
                    })
            });
        }
    }
}

impl PartitionState {
    fn expire(
        &mut self,
        now: Time,
        periods: (Duration, Duration),
        list: &VmIndex,
        epochs: &BTreeMap<NodeId, u64>,
    ) {
        self.expired.retain(|(_, until)| now < *until);
        self.reported
            .retain(|node, (_, until)| now < *until && list.contains(node));
        let expired = &mut self.expired;
        self.replaced_sets.retain_mut(|old| {
            let is_expired = old.is_expired(now, periods, list, epochs);
            if is_expired {
                expired.push((old.set.hash, now + EXPIRED_SET_TTL));
            }
            !is_expired
        });
    }
}

impl ReplacedSet {
    /// Returns whether the set has expired. The joint period must have passed, and for the length of a
    /// promise at least one of two conditions must have held: so many of its voters had a newer list that the others
    /// were no majority, or most of its voters had been removed from the active list.
    ///
    /// The joint period alone is not enough. In a network partition that lasts longer, a majority of this set could
    /// renew a lease under the replaced list even if only one VM was replaced, because a majority of the old voters
    /// and a majority of the new voters need not overlap.
    fn is_expired(
        &mut self,
        now: Time,
        (joint_period, promise_duration): (Duration, Duration),
        list: &VmIndex,
        epochs: &BTreeMap<NodeId, u64>,
    ) -> bool {
        let members = &self.set.members;
        let updated = members
            .iter()
            .filter(|node| {
                epochs
                    .get(*node)
                    .is_some_and(|epoch| *epoch >= self.successor_version)
            })
            .count();
        let removed = members.iter().filter(|node| !list.contains(node)).count();
        if updated > members.len() - self.set.majority() || 2 * removed > members.len() {
            let since = *self.minority_since.get_or_insert(now);
            now >= self.replaced_at + joint_period && now >= since + promise_duration
        } else {
            self.minority_since = None;
            false
        }
    }
}
