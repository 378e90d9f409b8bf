use std::collections::{BTreeMap, BTreeSet};

use crate::core::{NodeId, PartitionId, lease::roster::Roster};

/// Candidates ranked ahead of time per partition. The full ranking is computed only when none of them lives,
/// since ranking 2,800 nodes for 4,200 partitions at every list change would take a third of a second.
const NEAREST: usize = 4;

/// The preferred live holder of each partition.
#[derive(Debug, Default)]
pub(crate) struct Rankings {
    partitions: BTreeMap<PartitionId, Ranking>,
}

#[derive(Debug, Default)]
struct Ranking {
    nearest: Vec<NodeId>,
    all: Option<Vec<NodeId>>,
    preferred: Option<NodeId>,
}

impl Rankings {
    pub(crate) fn rebuild(&mut self, list: Option<&Roster>, partitions: BTreeSet<PartitionId>) {
        self.partitions = partitions
            .into_iter()
            .map(|partition| {
                let nearest = list.map_or_else(Vec::new, |list| list.nearest(&partition, NEAREST));
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

    /// Returns whether exactly these partitions are ranked, so that a change of a map that moves no leaf to a new
    /// partition need not rank all of them anew.
    pub(crate) fn ranks(&self, partitions: &BTreeSet<PartitionId>) -> bool {
        self.partitions.keys().eq(partitions)
    }

    pub(crate) fn set_list(&mut self, list: &Roster) {
        let partitions = std::mem::take(&mut self.partitions);
        self.rebuild(Some(list), partitions.into_keys().collect());
    }

    /// Chooses the preferred holders anew, given which nodes are alive.
    pub(crate) fn refresh(&mut self, list: &Roster, alive: impl Fn(&NodeId) -> bool) {
        for (partition, ranking) in &mut self.partitions {
            let alive = |node: &&NodeId| alive(node);
            let preferred = ranking.nearest.iter().find(alive).or_else(|| {
                let all = ranking.all.get_or_insert_with(|| list.holders(partition));
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

    /// Returns the partitions for which a node is preferred.
    pub(crate) fn preferring<'a>(
        &'a self,
        node: &'a NodeId,
    ) -> impl Iterator<Item = &'a PartitionId> {
        self.partitions
            .iter()
            .filter(move |(_, ranking)| ranking.preferred.as_ref() == Some(node))
            .map(|(partition, _)| partition)
    }
}
