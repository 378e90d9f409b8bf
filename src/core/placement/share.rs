/// Nodes that may join or restart without being seen yet, at least.
const UNSEEN: usize = 4;

/// Returns the number of nodes among which limits on all nodes are split: the live ones, and half as many again
/// (four at least) that may run unseen, such as added ones, restarted ones and the other side of a partition.
pub fn planned_nodes(alive: usize) -> usize {
    alive + UNSEEN.max(alive / 2)
}

/// Returns how many connections one node may keep to a leaf that accepts `limit` from all nodes.
pub fn connection_share(limit: u32, nodes: usize) -> usize {
    (limit as usize / nodes.max(1)).max(1)
}

/// Returns the calls a second that one node may send to a cold leaf that bears `rate`, with `overshoot` and
/// `slack` tolerated for all nodes together; None for no limit.
pub fn cold_share(rate: f64, overshoot: f64, slack: f64, nodes: usize) -> Option<f64> {
    (rate > 0.0).then(|| (rate * overshoot + slack) / nodes.max(1) as f64)
}
