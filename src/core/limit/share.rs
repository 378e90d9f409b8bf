use std::time::Duration;

use crate::core::placement::planned_nodes;

/// The users' bound on the calls of all nodes together to a leaf that names a limit.
pub const NAMED_LIMIT: RateBound = RateBound {
    overshoot: 1.5,
    slack: 5.0,
    window: Duration::from_secs(4),
    min_calls: 4.0,
};

/// Part of a node's calls in a window that it may send at once.
const BURST_SHARE: f64 = 0.125;

/// Minimum rate of one node, calls per second. A leaf that gets no calls cannot tell that its limit has ended.
const MIN_RATE: f64 = 0.05;

/// A bound on the calls of all nodes together to one leaf: `rate * overshoot * window + slack` in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateBound {
    pub overshoot: f64,
    /// Number of calls beyond that.
    pub slack: f64,
    pub window: Duration,
    /// Minimum number of calls in a window for each node that calls a leaf. If the bound allows fewer, fewer nodes call
    /// it, since a part of a call cannot be sent.
    pub min_calls: f64,
}

impl RateBound {
    /// Returns the number of calls that a leaf with this `rate` may get in a window.
    pub fn calls(&self, rate: f64) -> f64 {
        rate * self.overshoot * self.window.as_secs_f64() + self.slack
    }
}

/// The calls that one node may send to a leaf.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Calls per second.
    pub rate: f64,
    /// Maximum number of calls at once, at least 1.
    pub burst: f64,
}

/// Returns the number of nodes, out of `nodes`, that call a leaf with this `rate`, at least one.
pub fn sender_count(bound: &RateBound, rate: f64, nodes: usize) -> usize {
    let places = bound.calls(rate) / bound.min_calls;
    if planned_nodes(nodes) as f64 <= places {
        return nodes.max(1);
    }
    // `planned_nodes` never decreases.
    let (mut fits, mut exceeds) = (1, nodes.max(1));
    while exceeds - fits > 1 {
        let middle = fits.midpoint(exceeds);
        if planned_nodes(middle) as f64 <= places {
            fits = middle;
        } else {
            exceeds = middle;
        }
    }
    fits
}

/// Returns the share of the node at position `rank` in the leaf's order of `nodes` nodes. Returns `None` if the node
/// sends no calls to the leaf.
///
/// The tolerance of the users' bound is for nodes that this one does not know of: the known senders together stay at
/// about the limit, and half as many again (at least four more) within the bound.
pub fn share(bound: &RateBound, rate: f64, nodes: usize, rank: usize) -> Option<Share> {
    let senders = sender_count(bound, rate, nodes);
    if rank >= senders {
        return None;
    }
    let calls = bound.calls(rate) / planned_nodes(senders) as f64;
    let burst = (calls * BURST_SHARE).max(1.0);
    let rate = (calls - burst) / bound.window.as_secs_f64();
    Some(Share {
        rate: rate.max(MIN_RATE),
        burst,
    })
}
