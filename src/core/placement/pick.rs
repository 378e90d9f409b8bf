use std::time::Duration;

use rand::Rng;

use crate::core::{
    Time,
    placement::{Estimate, LeafStats},
};

/// Maximum relative increase of a cost by the random factor. Nodes do not see each other's calls and would otherwise
/// all choose the leaf with the least cost.
const COST_JITTER: f64 = 0.25;

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

/// The leaf with the least expected cost.
#[derive(Clone, Copy, Debug)]
pub struct Choice {
    pub index: usize,
    pub outside_subset: bool,
    /// What a call is expected to cost. The latency includes the extra cost of a cold leaf, which is slower.
    pub estimate: Estimate,
}

/// Returns the leaf with the least expected cost, `None` if there are no candidates. `distance` is the extra cost of
/// leaves in other failure domains, as a multiple of the typical latency.
pub fn pick<'a>(
    now: Time,
    typical: Duration,
    distance: f64,
    candidates: impl Iterator<Item = (usize, Candidate<'a>)>,
    rng: &mut impl Rng,
) -> Option<Choice> {
    candidates
        .map(|(index, candidate)| {
            let mut estimate = candidate.stats.estimate(now, typical);
            let mut cost = estimate.cost() * (1.0 + rng.random_range(0.0..COST_JITTER));
            cost += if candidate.same_domain { 0.0 } else { distance };
            cost += if candidate.outside_subset {
                OUTSIDE_SUBSET_COST
            } else {
                0.0
            };
            if candidate.cold {
                cost += COLD_COST;
                estimate.latency += COLD_COST;
            }
            cost += if candidate.connected {
                0.0
            } else {
                CONNECT_COST
            };
            let choice = Choice {
                index,
                outside_subset: candidate.outside_subset,
                estimate,
            };
            (choice, cost)
        })
        .min_by(|(_, a), (_, b)| a.total_cmp(b))
        .map(|(choice, _)| choice)
}
