use std::time::Duration;

use rand::Rng;

use crate::core::{Time, placement::LeafStats};

/// Maximum relative increase of a cost by the random factor. Nodes do not see each other's calls and would otherwise
/// all choose the leaf with the least cost.
const COST_JITTER: f64 = 0.25;

/// Extra cost of a leaf in another failure domain, as a multiple of the typical latency. It accounts for the price of
/// traffic between failure domains and for the longer round trip. A leaf in the same domain that is slower or busier
/// by more than this is not preferred.
const CROSS_DOMAIN_COST: f64 = 0.4;

/// Extra cost of a leaf to which this node keeps no connections. It is below the cost of a stalled leaf.
const OUTSIDE_SUBSET_COST: f64 = 2.0;

/// Extra cost of a leaf without an open connection.
const CONNECT_COST: f64 = 0.6;

/// Extra cost of a leaf that is still warming up.
const COLD_COST: f64 = 1.0;

/// A leaf that may get a call.
#[derive(Debug)]
pub struct Candidate<'a> {
    pub stats: &'a LeafStats,
    /// The leaf is in the node's own failure domain.
    pub same_domain: bool,
    /// The node keeps no connections to the leaf, because the leaf accepts too few for all nodes.
    pub outside_subset: bool,
    /// The leaf is still warming up.
    pub cold: bool,
    /// A connection to the leaf is open.
    pub connected: bool,
}

/// Returns the index of the leaf with the least expected cost, `None` if there are no candidates.
pub fn pick<'a>(
    now: Time,
    typical: Duration,
    candidates: impl Iterator<Item = (usize, Candidate<'a>)>,
    rng: &mut impl Rng,
) -> Option<usize> {
    candidates
        .map(|(index, candidate)| {
            let mut cost = candidate.stats.cost(now, typical);
            cost *= 1.0 + rng.random_range(0.0..COST_JITTER);
            cost += if candidate.same_domain {
                0.0
            } else {
                CROSS_DOMAIN_COST
            };
            cost += if candidate.outside_subset {
                OUTSIDE_SUBSET_COST
            } else {
                0.0
            };
            cost += if candidate.cold { COLD_COST } else { 0.0 };
            cost += if candidate.connected {
                0.0
            } else {
                CONNECT_COST
            };
            (index, cost)
        })
        .min_by(|(_, a), (_, b)| a.total_cmp(b))
        .map(|(index, _)| index)
}
