use std::time::Duration;

use rand::Rng;

use crate::core::{Time, placement::LeafStats};

/// Spread of the random factor on costs. Nodes do not see each other's calls, and without it all of them would
/// choose the leaf that looks best.
const COST_JITTER: f64 = 0.25;

/// Extra cost of a leaf in another failure domain, as a multiple of the usual latency: bytes between failure domains
/// cost, and the way there and back takes time. A near leaf that is slower or busier by more is passed over.
const CROSS_DOMAIN_COST: f64 = 0.4;

/// Extra cost of a leaf to which this node keeps no connections: below that of one that stands still.
const OUTSIDE_SUBSET_COST: f64 = 2.0;

/// Extra cost of opening a connection first.
const CONNECT_COST: f64 = 0.6;

/// Extra cost of a leaf that is still slow after its start.
const COLD_COST: f64 = 1.0;

/// A leaf that may get a call.
#[derive(Debug)]
pub struct Candidate<'a> {
    pub stats: &'a LeafStats,
    /// It is in this node's failure domain.
    pub same_domain: bool,
    /// This node keeps no connections to it, since the leaf accepts too few for all nodes.
    pub outside_subset: bool,
    /// It is slower than it will be, since it has just started.
    pub cold: bool,
    /// A connection is open already.
    pub connected: bool,
}

/// Returns the index of the leaf with the least expected latency, None without a candidate.
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
