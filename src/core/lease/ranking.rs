use std::collections::{BTreeMap, BTreeSet};

use crate::core::{NodeId, PartitionId, lease::vm_index::VmIndex};

/// Number of candidates that are ranked in advance for each partition. The full ranking is computed only if none of
/// them is alive, because ranking 2,800 nodes for 4,200 partitions at every list change would take a third of a second.
const NEAREST_COUNT: usize = 4;

/// The preferred live holder of each partition.
#[derive(Debug, Default)]
pub(crate) struct Rankings {
    partitions: BTreeMap<PartitionId, Ranking>,
}

#[derive(Debug, Default)]
struct Ranking {
    nearest: Vec<NodeId>,
    /// The full ranking, once it has been needed.
    all: Option<Vec<NodeId>>,
    preferred: Option<NodeId>,
}

impl Rankings {
    pub(crate) fn rebuild(&mut self, list: Option<&VmIndex>, partitions: BTreeSet<PartitionId>) {
        self.partitions = partitions
            .into_iter()
            .map(|partition| {
                let nearest =
                    list.map_or_else(Vec::new, |list| list.nearest(&partition, NEAREST_COUNT));
                let preferred = nearest.first().cloned();
                let ranking = Ranking {
                    nearest,
                    all: None,
                    preferred,
                };
                (partition, ranking)
            })
            .collect();
    }

    /// Returns whether the ranked partitions are exactly `partitions`. If a map change adds or removes no partition,
    /// this saves ranking all of them again.
    pub(crate) fn has_same_partitions(&self, partitions: &BTreeSet<PartitionId>) -> bool {
        self.partitions.keys().eq(partitions)
    }

    pub(crate) fn set_list(&mut self, list: &VmIndex) {
        let partitions = std::mem::take(&mut self.partitions);
        self.rebuild(Some(list), partitions.into_keys().collect());
    }

    /// Updates the preferred holders. `alive` returns whether a node is alive.
    pub(crate) fn refresh(&mut self, list: &VmIndex, alive: impl Fn(&NodeId) -> bool) {
        for (partition, ranking) in &mut self.partitions {
            let alive = |node: &&NodeId| alive(node);
            let preferred = ranking.nearest.iter().find(alive).or_else(|| {
                let all = ranking
                    .all
                    .get_or_insert_with(|| list.candidates(partition));
                all.iter().find(alive)
            });
            if ranking.preferred.as_ref() != preferred {
                ranking.preferred = preferred.cloned();
            }
        }
    }

    pub(crate) fn preferred(&self, partition: &PartitionId) -> Option<&NodeId> {
        self.partitions.get(partition)?.preferred.as_ref()
    }

    /// Returns the partitions whose preferred holder is `node`.
    pub(crate) fn partitions_of<'a>(
        &'a self,
        node: &'a NodeId,
    ) -> impl Iterator<Item = &'a PartitionId> {
        self.partitions
            .iter()
            .filter(move |(_, ranking)| ranking.preferred.as_ref() == Some(node))
            .map(|(partition, _)| partition)
    }
}
