use std::time::Duration;

use crate::core::{
    Domain, NodeId, Time,
    entry::{EntryReport, EntryState, EntryTable},
};

/// Minimum ratio of a strong node's capacity to the mean capacity of the fleet. In a fleet of equal nodes none is
/// strong, and all of them serve callers.
const STRONG_RATIO: f64 = 1.5;

/// Minimum ratio of a strong node's capacity to that of the strongest one.
const CLASS_RATIO: f64 = 0.5;

/// Minimum number of selected nodes, so that the loss of a few of them leaves enough.
const MIN_NODES: usize = 4;

/// Minimum share of the fleet's capacity that the selected nodes have together. Operators size a fleet for its peak
/// load and for the loss of many nodes, and strong nodes need less processor time for a query in total.
const MIN_CAPACITY_SHARE: f64 = 0.08;

/// Minimum number of failure domains with selected nodes.
const MIN_DOMAINS: usize = 2;

/// Mean lag of the selected nodes above which all nodes serve callers, milliseconds.
const CROWDED_LAG_MS: f64 = 40.0;

/// Mean lag of the strong nodes below which they may be selected again, milliseconds.
const RELAXED_LAG_MS: f64 = 12.0;

/// Time for which all nodes serve callers after the selected ones were crowded.
const CROWDED_HOLD_TIME: Duration = Duration::from_secs(15);

/// Minimum number of selected nodes in a caller's failure domain for the caller to be told of these only.
const MIN_NEAR_NODES: usize = 2;

/// What is known about the fleet as a whole.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// Number of live nodes.
    pub alive: usize,
    /// Mean processor capacity of a node, thousandths of a core.
    pub mean_capacity: f64,
}

/// Returns the nodes that callers are told to use, `None` if all nodes that are ready serve them. `is_healthy` returns
/// whether a node is believed to run.
///
/// Strong nodes in failure domains with leaves are preferred, since parts then need not cross domains. All strong nodes
/// are selected if those are too few.
pub fn select(
    table: &EntryTable,
    fleet: Fleet,
    is_healthy: impl Fn(&NodeId) -> bool,
    has_leaves: impl Fn(&Domain) -> bool,
) -> Option<Vec<NodeId>> {
    let ready = || {
        table
            .iter()
            .filter(|(node, report)| report.state == EntryState::Ready && is_healthy(node))
    };
    let strongest = ready().map(|(_, report)| report.capacity).max()?;
    let min_capacity = (f64::from(strongest) * CLASS_RATIO).max(fleet.mean_capacity * STRONG_RATIO);
    let strong: Vec<_> = ready()
        .filter(|(_, report)| f64::from(report.capacity) >= min_capacity)
        .collect();
    let near: Vec<_> = strong
        .iter()
        .copied()
        .filter(|(_, report)| has_leaves(&report.domain))
        .collect();
    [near, strong]
        .into_iter()
        .find(|nodes| is_sufficient(nodes, fleet))
        .map(|nodes| nodes.into_iter().map(|(node, _)| node.clone()).collect())
}

/// Returns the nodes in the failure domain of a caller if those have capacity, else all of `nodes`.
///
/// Opening a connection and a request cross domains twice each. Callers may move to one domain, so its nodes are not
/// preferred while they lag.
pub fn near(table: &EntryTable, nodes: Vec<NodeId>, domain: &Domain) -> Vec<NodeId> {
    let in_domain = |node: &&NodeId| {
        table
            .iter()
            .any(|(other, report)| other == *node && report.domain == *domain)
    };
    let close: Vec<NodeId> = nodes.iter().filter(in_domain).cloned().collect();
    let lags = table.iter().filter(|(node, _)| close.contains(node));
    let lag_ms: f64 = lags.map(|(_, report)| f64::from(report.lag_ms)).sum();
    let relaxed = lag_ms <= RELAXED_LAG_MS * close.len() as f64;
    if close.len() >= MIN_NEAR_NODES && relaxed {
        close
    } else {
        nodes
    }
}

fn is_sufficient(nodes: &[(&NodeId, &EntryReport)], fleet: Fleet) -> bool {
    let capacities = nodes.iter().map(|(_, report)| f64::from(report.capacity));
    let capacity: f64 = capacities.sum();
    let mut domains: Vec<&Domain> = nodes.iter().map(|(_, report)| &report.domain).collect();
    domains.sort_unstable();
    domains.dedup();
    let needed = fleet.mean_capacity * fleet.alive as f64 * MIN_CAPACITY_SHARE;
    nodes.len() >= MIN_NODES && domains.len() >= MIN_DOMAINS && capacity >= needed
}

/// Tracks whether the selected nodes are overloaded, so that all nodes have to serve callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Crowding {
    crowded_at: Option<Time>,
}

impl Crowding {
    /// Records the mean lag of the selected nodes. Returns whether all nodes serve callers.
    pub fn update(&mut self, now: Time, lag_ms: f64) -> bool {
        if lag_ms >= CROWDED_LAG_MS {
            self.crowded_at = Some(now);
        }
        let held = |at: Time| now.since(at) < CROWDED_HOLD_TIME || lag_ms > RELAXED_LAG_MS;
        self.crowded_at = self.crowded_at.filter(|at| held(*at));
        self.crowded_at.is_some()
    }
}
