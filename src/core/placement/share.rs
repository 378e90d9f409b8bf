use std::time::Duration;

/// Minimum number of nodes assumed to run without being known to this node yet, such as added or restarted ones.
const MIN_UNSEEN: usize = 4;

/// Time after a node's start for which leaves may still count the connections of its previous incarnation. After a
/// power loss, leaves take some seconds to detect that those connections are dead.
pub const STALE_CONNECTION_TIME: Duration = Duration::from_secs(10);

/// Number of incarnations of a node that share its connections during that time.
const INCARNATIONS: usize = 2;

/// Returns the number of nodes among which fleet-wide limits are split.
///
/// These are the live nodes and half as many again (at least four) that may be running unseen: added nodes, restarted
/// nodes and the other side of a network partition.
pub fn planned_nodes(alive: usize) -> usize {
    alive + MIN_UNSEEN.max(alive / 2)
}

/// Returns the number of nodes among which the connections to leaves are split.
///
/// A leaf resets connections above its limit. This costs the time to open them again but fails no request, so only a
/// few unseen nodes are counted.
pub fn connecting_nodes(alive: usize) -> usize {
    alive + MIN_UNSEEN
}

/// The connections that one node keeps to the leaves of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionShare {
    /// Number of leaves to which the node keeps connections.
    pub leaves: usize,
    /// Number of connections to each of these leaves.
    pub per_leaf: usize,
}

/// Returns one node's share of the connections to `leaves` leaves, each of which accepts `limit` connections from all
/// `nodes` nodes together.
///
/// If there are more nodes than a leaf accepts connections, each node uses a subset of a shard's leaves, at least
/// one. If all nodes fail at once, leaves count their old connections for seconds in addition to the new ones, so a
/// node whose `age` is below [`STALE_CONNECTION_TIME`] uses half as many leaves.
pub fn connection_share(limit: u32, leaves: usize, nodes: usize, age: Duration) -> ConnectionShare {
    let own = limit as usize * leaves / nodes.max(1);
    let incarnations = if age < STALE_CONNECTION_TIME {
        INCARNATIONS
    } else {
        1
    };
    let used = (own / incarnations).clamp(1, leaves.max(1));
    ConnectionShare {
        leaves: used,
        per_leaf: (own / used).max(1),
    }
}

/// Returns whether all nodes can keep connections to the leaves of their own failure domain first, without more connections
/// to any leaf than it accepts.
///
/// `domains` are the number of nodes and of leaves in each domain, and `nodes` is the number of nodes that the connections
/// are split among, which includes unseen nodes. A leaf in a domain with many nodes would get more than its part. Then the
/// leaves of each node are chosen regardless of domains, which distributes connections evenly.
pub fn own_domain_first(
    limit: u32,
    share: ConnectionShare,
    nodes: usize,
    domains: &[(usize, usize)],
) -> bool {
    let known: usize = domains.iter().map(|(nodes, _)| nodes).sum();
    let leaves: usize = domains.iter().map(|(_, leaves)| leaves).sum();
    let unseen = nodes as f64 / known.max(1) as f64;
    // Connections that each own leaf, and each other leaf, gets from the nodes of a domain.
    let parts = |&(nodes, own): &(usize, usize)| {
        let near = share.leaves.min(own);
        let far = (share.leaves - near) as f64 / (leaves - own).max(1) as f64;
        let nodes = (nodes * share.per_leaf) as f64 * unseen;
        (nodes * near as f64 / own.max(1) as f64, nodes * far)
    };
    let far: f64 = domains.iter().map(|domain| parts(domain).1).sum();
    domains
        .iter()
        .filter(|(_, leaves)| *leaves > 0)
        .map(|domain| (parts(domain), far))
        .all(|((near, own_far), far)| near + far - own_far <= f64::from(limit))
}
