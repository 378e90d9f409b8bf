use crate::core::placement::{connecting_nodes, planned_nodes};

/// Share of the budgets of extra calls that the selected nodes have together. The rest covers the other nodes, which
/// still serve callers that know their address, and nodes that select differently.
const SELECTED_SHARE: f64 = 0.55;

/// Share of the same budgets that all other nodes have together.
const RESERVE_SHARE: f64 = 0.25;

/// Share of the connections of leaves that the selected nodes have together.
const SELECTED_CONNECTIONS: f64 = 0.7;

/// Share of the connections of leaves that all other nodes have together.
const RESERVE_CONNECTIONS: f64 = 0.2;

/// What a node does for callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// All nodes serve callers.
    #[default]
    Equal,
    /// The node is one of this number of selected nodes.
    Selected(usize),
    /// Callers are told to use other nodes.
    Reserve,
}

impl Role {
    /// Returns the number of nodes with equal parts that the budgets of extra calls are divided among, so that one part
    /// is this node's.
    pub fn limit_nodes(self, alive: usize) -> usize {
        match self {
            Role::Equal => planned_nodes(alive),
            Role::Selected(count) => divide(planned_nodes(count), SELECTED_SHARE),
            Role::Reserve => divide(planned_nodes(alive), RESERVE_SHARE),
        }
    }

    /// Returns the number of nodes with equal parts that the connections of leaves are divided among.
    pub fn connecting_nodes(self, alive: usize) -> usize {
        match self {
            Role::Equal => connecting_nodes(alive),
            Role::Selected(count) => divide(connecting_nodes(count), SELECTED_CONNECTIONS),
            Role::Reserve => divide(connecting_nodes(alive), RESERVE_CONNECTIONS),
        }
    }

    /// Returns whether the node opens connections to leaves before they are needed.
    pub fn connects_ahead(self) -> bool {
        self != Role::Reserve
    }
}

fn divide(nodes: usize, share: f64) -> usize {
    (nodes as f64 / share).ceil() as usize
}
