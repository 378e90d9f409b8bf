use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::core::{NodeId, member::Rumor};

/// The rumors to pass on: the newest one per node, each sent a bounded number of times.
#[derive(Debug, Default)]
pub(crate) struct Rumors {
    rumors: BTreeMap<NodeId, (Rumor, u32)>,
}

impl Rumors {
    /// Adds a rumor in place of an older one about the same node. Above `limit` rumors, the one sent most
    /// often goes.
    pub(crate) fn add(&mut self, rumor: Rumor, limit: usize) {
        self.rumors.insert(rumor.node.clone(), (rumor, 0));
        if self.rumors.len() > limit {
            let most = self.rumors.iter().max_by_key(|(_, (_, sent))| *sent);
            if let Some(node) = most.map(|(node, _)| node.clone()) {
                self.rumors.remove(&node);
            }
        }
    }

    /// Takes the rumors for one message, those sent least often first. Each is dropped after `times`.
    pub(crate) fn take(&mut self, count: usize, times: u32) -> SmallVec<[Rumor; 8]> {
        let mut order: Vec<(u32, NodeId)> = self
            .rumors
            .iter()
            .map(|(node, (_, sent))| (*sent, node.clone()))
            .collect();
        order.sort_unstable();
        let mut taken = SmallVec::new();
        for (_, node) in order.into_iter().take(count) {
            let Some((rumor, sent)) = self.rumors.get_mut(&node) else {
                continue;
            };
            taken.push(rumor.clone());
            *sent += 1;
            if *sent >= times {
                self.rumors.remove(&node);
            }
        }
        taken
    }
}
