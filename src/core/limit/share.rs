use std::time::Duration;

use crate::core::placement::planned_nodes;

/// Window of the users' bound on the calls to a leaf that names a limit.
pub const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Factor by which all nodes together may exceed the limit in a window, and the number of calls in addition.
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Minimum number of calls in a window for each node that calls a leaf. If the limit allows fewer, fewer nodes call it,
/// since a part of a call cannot be sent.
const MIN_CALLS: f64 = 4.0;

/// Part of a node's calls in a window that it may send at once.
const BURST_SHARE: f64 = 0.125;

/// Minimum rate of one node, calls per second. A leaf that gets no calls cannot tell that its limit has ended.
const MIN_RATE: f64 = 0.05;

/// The calls that one node may send to a leaf.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Calls per second.
    pub rate: f64,
    /// Maximum number of calls at once, at least 1.
    pub burst: f64,
}

/// Returns the number of nodes, out of `nodes`, that call a leaf with this `limit`, at least one.
pub fn sender_count(limit: f64, nodes: usize) -> usize {
    let places = allowed_calls(limit) / MIN_CALLS;
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
pub fn share(limit: f64, nodes: usize, rank: usize) -> Option<Share> {
    let senders = sender_count(limit, nodes);
    if rank >= senders {
        return None;
    }
    let calls = allowed_calls(limit) / planned_nodes(senders) as f64;
    let burst = (calls * BURST_SHARE).max(1.0);
    let rate = (calls - burst) / LIMIT_WINDOW.as_secs_f64();
    Some(Share {
        rate: rate.max(MIN_RATE),
        burst,
    })
}

/// Returns the number of calls that a leaf may get from all nodes together in a window.
fn allowed_calls(limit: f64) -> f64 {
    limit * OVERSHOOT * LIMIT_WINDOW.as_secs_f64() + SLACK
}
