use std::time::Duration;

/// Nodes that may join or restart without being seen yet, at least.
const UNSEEN: usize = 4;

/// Time after a node's start in which leafs may still count the connections of its last life: after a loss of power they
/// notice within some seconds.
pub const STALE_CONNECTION_TIME: Duration = Duration::from_secs(10);

/// Lives of a node that share its connections in that time.
const LIVES: usize = 2;

/// Returns the number of nodes among which limits on all nodes are split: the live ones, and half as many again
/// (four at least) that may run unseen, such as added ones, restarted ones and the other side of a partition.
pub fn planned_nodes(alive: usize) -> usize {
    alive + UNSEEN.max(alive / 2)
}

/// Returns the number of nodes among which connections to leafs are split. A leaf resets those beyond its limit, which
/// costs the time to open them again but no request, so only a few unseen nodes are counted.
pub fn connecting_nodes(alive: usize) -> usize {
    alive + UNSEEN
}

/// The connections that one node keeps to the leafs of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionShare {
    /// Leafs to which it keeps connections.
    pub leaves: usize,
    /// Connections to each of them.
    pub per_leaf: usize,
}

/// Returns the share of one of `nodes` nodes in the connections to `leafs` leafs that accept `limit` each from all
/// nodes.
///
/// Situations answered here: more nodes than a leaf accepts connections, so that each keeps to a part of a shard's
/// leafs, at least one; and all nodes lost at once, whose connections leafs count for seconds beside the new ones, so
/// that a node of this `age` keeps to half as many leafs.
pub fn connection_share(limit: u32, leafs: usize, nodes: usize, age: Duration) -> ConnectionShare {
    let own = limit as usize * leafs / nodes.max(1);
    let lives = if age < STALE_CONNECTION_TIME {
        LIVES
    } else {
        1
    };
    let used = (own / lives).clamp(1, leafs.max(1));
    ConnectionShare {
        leaves: used,
        per_leaf: (own / used).max(1),
    }
}

/// Returns the calls a second that one node may send to a cold leaf that bears `rate`, with `overshoot` and
/// `slack` tolerated for all nodes together; None for no limit.
pub fn cold_share(rate: f64, overshoot: f64, slack: f64, nodes: usize) -> Option<f64> {
    (rate > 0.0).then(|| (rate * overshoot + slack) / nodes.max(1) as f64)
}
