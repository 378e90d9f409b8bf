use std::sync::Arc;

use rand::Rng;
use rand_pcg::Pcg64;
use smallvec::SmallVec;

use super::{
    LeafHealth,
    health::{DEFAULT_MEDIAN_US, Entry},
};
use crate::core::{
    Domain, LeafId, ShardId, SnapshotId, Time,
    config::{DomainList, LeafInfo, ServiceMap, Shard},
};

/// Every n-th selection on average goes to an unknown leaf, or a cold leaf with spare capacity, although a warm
/// leaf is available; without such calls no cold leaf would ever warm up.
const EXPLORATION_INTERVAL: u32 = 16;
/// Expected waits count as similar if they differ by at most the shorter one divided by this.
const WAIT_TOLERANCE_DIVISOR: u64 = 4;

/// A leaf that may be called.
#[derive(Clone, Debug)]
pub(super) struct Candidate<'a> {
    pub(super) leaf: &'a LeafId,
    pub(super) info: &'a LeafInfo,
    entry: Option<Entry>,
}

/// The kind of call that a replica is selected for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Selection {
    Normal,
    /// Like `Normal`, but never to a cold or unknown leaf while a warm one is available.
    PreferWarm,
    /// An extra call: only to a leaf without a queue, if possible outside the failure domains of the
    /// shard's calls in flight.
    Extra,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    Warm,
    /// Without a known status, or cold with spare capacity.
    Trial,
    /// Cold without spare capacity: the owner queues or rejects the call.
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

    /// Returns the expected time until an answer, in microseconds.
    fn expected_wait_us(&self) -> u64 {
        let Some(entry) = &self.entry else {
            return u64::from(DEFAULT_MEDIAN_US);
        };
        let median = match entry.status.median {
            0 => DEFAULT_MEDIAN_US,
            median => median,
        };
        let backlog = match entry.spare() {
            0 => u64::from(entry.status.queued) + u64::from(entry.calls_sent) + 1,
            _ => 0,
        };
        u64::from(median) * (1 + backlog / u64::from(self.info.slots.max(1)))
    }
}

/// Returns the replicas of a shard from the newest map if that contains the snapshot, otherwise from the map that
/// the snapshot was pinned from.
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

/// Returns whether a leaf may be sent new calls.
pub(super) fn in_service(info: &LeafInfo, domains: &DomainList) -> bool {
    !info.leaving && !domains.out.contains(&info.domain)
}

/// Returns the replicas that are in service and have not been tried.
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

/// Selects a replica: warm before cold, then the shorter expected wait of two random candidates.
///
/// `domain_calls` returns the number of calls of this query per failure domain; between similar waits the domain with
/// fewer calls is preferred. `used_domains` contains the failure domains of the shard's calls in flight.
pub(super) fn select<'a>(
    mut options: SmallVec<[Candidate<'a>; 4]>,
    selection: Selection,
    used_domains: &[Domain],
    domain_calls: impl Fn(&Domain) -> u32,
    rng: &mut Pcg64,
) -> Option<Candidate<'a>> {
    if selection == Selection::Extra {
        options.retain(|candidate| !candidate.is_queued());
        if options
            .iter()
            .any(|candidate| !used_domains.contains(&candidate.info.domain))
        {
            options.retain(|candidate| !used_domains.contains(&candidate.info.domain));
        }
    }
    let best = options.iter().map(Candidate::tier).min()?;
    let has_trial = options
        .iter()
        .any(|candidate| candidate.tier() == Tier::Trial);
    let explore = best == Tier::Warm && selection == Selection::Normal && has_trial;
    let tier = if explore && rng.random_ratio(1, EXPLORATION_INTERVAL) {
        Tier::Trial
    } else {
        best
    };
    options.retain(|candidate| candidate.tier() == tier);
    let first = rng.random_range(0..options.len());
    if options.len() == 1 {
        return options.pop();
    }
    let second = (first + rng.random_range(1..options.len())) % options.len();
    let (a, b) = (&options[first], &options[second]);
    let (wait_a, wait_b) = (a.expected_wait_us(), b.expected_wait_us());
    let similar = wait_a.abs_diff(wait_b) <= wait_a.min(wait_b) / WAIT_TOLERANCE_DIVISOR;
    let prefer_b = if similar {
        domain_calls(&b.info.domain) < domain_calls(&a.info.domain)
    } else {
        wait_b < wait_a
    };
    Some(options.swap_remove(if prefer_b { second } else { first }))
}
