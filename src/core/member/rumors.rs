use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::core::{NodeId, member::Rumor};

/// Rumors queued for sending: the newest one per node. Each is sent a bounded number of times.
#[derive(Debug, Default)]
pub(crate) struct Rumors {
    rumors: BTreeMap<NodeId, (Rumor, u32)>,
}

impl Rumors {
    /// Adds a rumor, replacing an older one about the same node. If there are more than `limit`, the one that has
    /// been sent most often is removed.
    pub(crate) fn add(&mut self, rumor: Rumor, limit: usize) {
        self.rumors.insert(rumor.node.clone(), (rumor, 0));
        if self.rumors.len() > limit {
            let most_sent = self
                .rumors
                .iter()
                .max_by_key(|(_, (_, send_count))| *send_count);
            if let Some(node) = most_sent.map(|(node, _)| node.clone()) {
                self.rumors.remove(&node);
            }
        }
    }

    /// Returns up to `count` rumors for one message, starting with those sent least often. A rumor is removed once it
    /// has been sent `max_sends` times.
    pub(crate) fn take(&mut self, count: usize, max_sends: u32) -> SmallVec<[Rumor; 8]> {
        let mut order: Vec<(u32, NodeId)> = self
            .rumors
            .iter()
            .map(|(node, (_, send_count))| (*send_count, node.clone()))
            .collect();
        order.sort_unstable();
        let mut taken = SmallVec::new();
        for (_, node) in order.into_iter().take(count) {
            let Some((rumor, send_count)) = self.rumors.get_mut(&node) else {
                continue;
            };
            taken.push(rumor.clone());
            *send_count += 1;
            if *send_count >= max_sends {
                self.rumors.remove(&node);
            }
        }
        taken
    }
}
