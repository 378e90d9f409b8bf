use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use xxhash_rust::xxh3::xxh3_64;

use crate::core::{
    Domain, NodeId, PartitionId,
    config::{VmList, VmState},
    score,
};

/// One version of the VM list, indexed for choosing the voters and holders of partitions.
#[derive(Debug, Default)]
pub(crate) struct VmIndex {
    pub(crate) version: u64,
    nodes: BTreeSet<NodeId>,
    domains: BTreeMap<Domain, DomainNodes>,
}

#[derive(Debug, Default)]
struct DomainNodes {
    region: Option<Arc<str>>,
    /// All nodes of the domain, leaving ones included.
    all: Vec<NodeId>,
    /// Nodes of the domain that may hold partitions: all that are not leaving.
    eligible: Vec<NodeId>,
}

/// The voters of a partition under one VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct VoterSet {
    /// Sorted by name.
    pub(crate) members: Arc<[NodeId]>,
    /// Identifies the set in messages. Two sets of a partition that both count at the same time collide with a
    /// probability of 2^-32. A collision would hide one of them.
    pub(crate) hash: u32,
}

impl VoterSet {
    fn new(mut members: Vec<NodeId>) -> Self {
        members.sort_unstable();
        let mut text = String::new();
        for node in &members {
            text.push_str(node.as_str());
            text.push('\0');
        }
        Self {
            members: members.into(),
            hash: xxh3_64(text.as_bytes()) as u32,
        }
    }

    pub(crate) fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    pub(crate) fn contains(&self, node: &NodeId) -> bool {
        self.members.binary_search(node).is_ok()
    }
}

/// Preference of a node as holder: distance of its failure domain from the partition, descending score, name. Lower
/// values are preferred.
pub(crate) type Rank<'a> = (u8, Reverse<u64>, &'a NodeId);

impl VmIndex {
    pub(crate) fn new(version: u64, list: &VmList) -> Self {
        let mut domains: BTreeMap<Domain, DomainNodes> = BTreeMap::new();
        let mut nodes = BTreeSet::new();
        for vm in &list.vms {
            if !nodes.insert(vm.id.clone()) {
                continue;
            }
            let domain = domains.entry(vm.domain.clone()).or_default();
            if domain.region.is_none() {
                domain.region = vm.region.clone();
            }
            domain.all.push(vm.id.clone());
            if vm.state == VmState::Live {
                domain.eligible.push(vm.id.clone());
            }
        }
        Self {
            version,
            nodes,
            domains,
        }
    }

    pub(crate) fn contains(&self, node: &NodeId) -> bool {
        self.nodes.contains(node)
    }

    /// Returns the voters of a partition. They are taken in turn from the failure domains of its region, or from all
    /// domains if its region is unknown, so that a majority remains when one domain is lost. Leaving nodes vote until
    /// they are removed from the list.
    pub(crate) fn voters(&self, partition: &PartitionId, count: usize) -> VoterSet {
        let key = partition.to_string();
        let region = self.region(&partition.domain);
        let mut queues: Vec<(Reverse<u64>, Vec<&NodeId>)> = self
            .domains
            .iter()
            .filter(|(_, nodes)| region.is_none() || nodes.region.as_ref() == region)
            .map(|(domain, nodes)| {
                let mut queue: Vec<&NodeId> = nodes.all.iter().collect();
                queue.sort_by_cached_key(|node| (score(&key, node.as_str()), *node));
                (Reverse(score(&key, domain.as_str())), queue)
            })
            .collect();
        queues.sort();
        let mut members = Vec::with_capacity(count);
        while members.len() < count {
            let len_before = members.len();
            for (_, queue) in &mut queues {
                if members.len() < count {
                    members.extend(queue.pop().cloned());
                }
            }
            if members.len() == len_before {
                break;
            }
        }
        VoterSet::new(members)
    }

    /// Returns the most preferred candidates from the partition's own failure domain, at most `count`, the most
    /// preferred first.
    pub(crate) fn nearest(&self, partition: &PartitionId, count: usize) -> Vec<NodeId> {
        let key = partition.to_string();
        let Some(nodes) = self.domains.get(&partition.domain) else {
            return Vec::new();
        };
        let mut ranks: Vec<Rank<'_>> = nodes
            .eligible
            .iter()
            .map(|node| (0, Reverse(score(&key, node.as_str())), node))
            .collect();
        if ranks.len() > count {
            ranks.select_nth_unstable(count);
            ranks.truncate(count);
        }
        ranks.sort_unstable();
        ranks.into_iter().map(|rank| rank.2.clone()).collect()
    }

    /// Returns all nodes that may hold a partition, the most preferred first: nodes in the partition's own failure
    /// domain, then those in its region, then all others.
    pub(crate) fn candidates(&self, partition: &PartitionId) -> Vec<NodeId> {
        let key = partition.to_string();
        let mut ranks: Vec<Rank<'_>> = self
            .domains
            .iter()
            .flat_map(|(domain, nodes)| {
                let distance = self.distance(partition, domain);
                let key = &key;
                nodes
                    .eligible
                    .iter()
                    .map(move |node| (distance, Reverse(score(key, node.as_str())), node))
            })
            .collect();
        ranks.sort_unstable();
        ranks.into_iter().map(|rank| rank.2.clone()).collect()
    }

    /// Returns whether `node` may hold a partition and is preferred over `other`.
    pub(crate) fn outranks(&self, partition: &PartitionId, node: &NodeId, other: &NodeId) -> bool {
        let key = partition.to_string();
        let rank = |node| {
            let (domain, _) = self
                .domains
                .iter()
                .find(|(_, nodes)| nodes.eligible.contains(node))?;
            let distance = self.distance(partition, domain);
            Some((distance, Reverse(score(&key, node.as_str())), node))
        };
        rank(node).is_some_and(|first| rank(other).is_none_or(|second| first < second))
    }

    fn region(&self, domain: &Domain) -> Option<&Arc<str>> {
        self.domains.get(domain)?.region.as_ref()
    }

    fn distance(&self, partition: &PartitionId, domain: &Domain) -> u8 {
        if *domain == partition.domain {
            return 0;
        }
        let region = self.region(&partition.domain);
        if region.is_some() && region == self.region(domain) {
            1
        } else {
            2
        }
    }
}
