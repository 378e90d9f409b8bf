use std::sync::Arc;

use rand::Rng;
use rand_pcg::Pcg64;
use smallvec::SmallVec;

use super::{
    LeafHealth,
    health::{DEFAULT_MEDIAN, Entry},
};
use crate::core::{
    Domain, LeafId, ShardId, SnapshotId, Time,
    config::{DomainList, LeafInfo, ServiceMap, Shard},
};

/// One choice in this many goes to a cold or unknown leaf with room although a warm one is known; without
/// such calls no cold leaf would ever warm up.
const EXPLORE: u32 = 16;
/// Expected waits that differ by less than one part in this many count as equal.
const NEAR: u64 = 4;

/// A leaf that may take a call.
#[derive(Clone, Debug)]
pub(super) struct Candidate<'a> {
    pub(super) leaf: &'a LeafId,
    pub(super) info: &'a LeafInfo,
    entry: Option<Entry>,
}

/// What kind of call a replica is chosen for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    Normal,
    /// Like `Normal`, but not to a cold leaf while a warm one is known.
    Careful,
    /// An extra call: only to a leaf without a queue, outside the failure domains already asked if possible.
    Extra,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    Warm,
    /// Unknown, or cold with room.
    Trial,
    /// Cold without room: the owner queues or refuses the call.
    Full,
}

impl Candidate<'_> {
    fn tier(&self) -> Tier {
        match &self.entry {
            None => Tier::Trial,
            Some(entry) if !entry.status.cold => Tier::Warm,
            Some(entry) if entry.spare() > 0 => Tier::Trial,
            Some(_) => Tier::Full,
        }
    }

    fn is_queued(&self) -> bool {
        self.entry.as_ref().is_some_and(Entry::is_queued)
    }

    /// Returns the expected time until an answer, microseconds.
    fn wait(&self) -> u64 {
        let Some(entry) = &self.entry else {
            return u64::from(DEFAULT_MEDIAN);
        };
        let median = match entry.status.median {
            0 => DEFAULT_MEDIAN,
            median => median,
        };
        let backlog = match entry.spare() {
            0 => u64::from(entry.status.queued) + u64::from(entry.sent) + 1,
            _ => 0,
        };
        u64::from(median) * (1 + backlog / u64::from(self.info.slots.max(1)))
    }
}

/// Returns the replicas of a shard: those of the newest map if it still has the snapshot, otherwise the
/// pinned ones.
pub(super) fn replicas<'a>(
    pinned: &'a Arc<ServiceMap>,
    newest: &'a Arc<ServiceMap>,
    snapshot: SnapshotId,
    index: usize,
    shard: ShardId,
) -> &'a [LeafId] {
    let find = |map: &'a Arc<ServiceMap>| -> Option<&'a Shard> {
        let shards = &map.snapshots.iter().find(|s| s.id == snapshot)?.shards;
        match shards.get(index) {
            Some(found) if found.shard == shard => Some(found),
            _ => shards.iter().find(|found| found.shard == shard),
        }
    };
    find(newest)
        .or_else(|| find(pinned))
        .map_or(&[], |shard| &shard.leaves)
}

/// Returns whether a leaf may get new work.
pub(super) fn in_service(info: &LeafInfo, domains: &DomainList) -> bool {
    !info.leaving && !domains.out.contains(&info.domain)
}

/// Returns the replicas that may be asked and were not tried.
pub(super) fn candidates<'a>(
    now: Time,
    replicas: &'a [LeafId],
    map: &'a ServiceMap,
    domains: &DomainList,
    health: &LeafHealth,
    tried: &[LeafId],
) -> SmallVec<[Candidate<'a>; 4]> {
    replicas
        .iter()
        .filter(|leaf| !tried.contains(leaf))
        .filter_map(|leaf| {
            let info = map.leaves.get(leaf)?;
            in_service(info, domains).then(|| Candidate {
                leaf,
                info,
                entry: health.entry(now, leaf),
            })
        })
        .collect()
}

/// Chooses a replica: warm before cold, then the lower expected wait of two random ones.
///
/// `load` gives the calls of this query per failure domain; equal waits go to the domain with fewer.
pub(super) fn choose<'a>(
    mut from: SmallVec<[Candidate<'a>; 4]>,
    purpose: Purpose,
    asked: &[Domain],
    load: impl Fn(&Domain) -> u32,
    rng: &mut Pcg64,
) -> Option<Candidate<'a>> {
    if purpose == Purpose::Extra {
        from.retain(|one| !one.is_queued());
        if from.iter().any(|one| !asked.contains(&one.info.domain)) {
            from.retain(|one| !asked.contains(&one.info.domain));
        }
    }
    let best = from.iter().map(Candidate::tier).min()?;
    let has_trial = from.iter().any(|one| one.tier() == Tier::Trial);
    let explore = best == Tier::Warm && purpose == Purpose::Normal && has_trial;
    let tier = if explore && rng.random_ratio(1, EXPLORE) {
        Tier::Trial
    } else {
        best
    };
    from.retain(|one| one.tier() == tier);
    let first = rng.random_range(0..from.len());
    if from.len() == 1 {
        return from.pop();
    }
    let second = (first + rng.random_range(1..from.len())) % from.len();
    let (a, b) = (&from[first], &from[second]);
    let (wait_a, wait_b) = (a.wait(), b.wait());
    let near = wait_a.abs_diff(wait_b) <= wait_a.min(wait_b) / NEAR;
    let takes_b = if near {
        load(&b.info.domain) < load(&a.info.domain)
    } else {
        wait_b < wait_a
    };
    Some(from.swap_remove(if takes_b { second } else { first }))
}
