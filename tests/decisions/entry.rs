//! Which nodes callers are told to use in large fleets of unequal nodes.

use std::time::Duration;

use cranberrychute::core::{
    Domain, NodeId, Time,
    entry::{
        Crowding, EntryReport, EntryState, EntryTable, Fleet, MAX_ENTRIES, Role, near, select,
    },
};
use rand::{Rng, SeedableRng, seq::IteratorRandom};
use rand_pcg::Pcg64;

use crate::at;

const DIRECT: Duration = Duration::ZERO;

/// Domains of the fleets below. Leaves are in the first three.
const DOMAINS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

struct Node {
    id: NodeId,
    report: EntryReport,
}

fn report(domain: &str, capacity: u32) -> EntryReport {
    EntryReport {
        domain: domain.into(),
        capacity,
        state: EntryState::Ready,
        lag_ms: 0,
    }
}

/// Returns a fleet with `strong` nodes of half a core and `weak` ones of an eighth in each of `domains` domains.
fn fleet(domains: usize, strong: usize, weak: usize) -> Vec<Node> {
    let capacities = || [(strong, 500), (weak, 120)];
    let node = |domain: usize, capacity: u32, index: usize| Node {
        id: format!("10.{domain}.{capacity}.{index}:1").as_str().into(),
        report: report(DOMAINS[domain], capacity),
    };
    (0..domains)
        .flat_map(|domain| {
            capacities().into_iter().flat_map(move |(count, capacity)| {
                (0..count).map(move |index| node(domain, capacity, index))
            })
        })
        .collect()
}

fn table<'a>(now: Time, nodes: impl Iterator<Item = &'a Node>) -> EntryTable {
    let mut table = EntryTable::default();
    nodes.for_each(|node| table.record(now, &node.id, node.report.clone(), DIRECT));
    table
}

fn size(nodes: &[Node]) -> Fleet {
    let capacity: u32 = nodes.iter().map(|node| node.report.capacity).sum();
    Fleet {
        alive: nodes.len(),
        mean_capacity: f64::from(capacity) / nodes.len() as f64,
    }
}

fn has_leaves(domain: &Domain) -> bool {
    ["a", "b", "c"].contains(&domain.as_str())
}

fn selected(nodes: &[Node], is_healthy: impl Fn(&NodeId) -> bool) -> Option<Vec<NodeId>> {
    let table = table(at(0), nodes.iter());
    select(&table, size(nodes), is_healthy, has_leaves)
}

/// Replays the steady state of a fleet of 300 nodes: every query has a part for each of 90 shards, which takes a small
/// node longer than the objective, and parts from other domains cost traffic.
#[test]
fn strong_nodes_near_the_leaves_serve_callers() {
    let chosen = selected(&fleet(6, 3, 46), |_| true).expect("strong nodes");
    assert_eq!(chosen.len(), 9);
    for node in chosen {
        assert!(node.as_str().contains(".500."), "{node}");
        assert!(
            ["10.0", "10.1", "10.2"]
                .iter()
                .any(|net| node.as_str().starts_with(net))
        );
    }
}

/// Guards against callers that are kept from most nodes of a fleet without strong ones, small or large.
#[test]
fn equal_nodes_all_serve_callers() {
    for (domains, count) in [(4, 2), (6, 50), (6, 466)] {
        assert_eq!(selected(&fleet(domains, 0, count), |_| true), None);
        assert_eq!(selected(&fleet(domains, count, 0), |_| true), None);
    }
}

/// Replays calm and crowded callers of one failure domain. Guards against callers that cross domains for each new
/// connection, and against a domain whose nodes get all callers that moved there.
#[test]
fn callers_use_nodes_of_their_domain_unless_those_lag() {
    let nodes = fleet(3, 2, 28);
    let mut table = table(at(0), nodes.iter());
    let chosen = select(&table, size(&nodes), |_| true, has_leaves).expect("strong nodes");
    let close = near(&table, chosen.clone(), &"b".into());
    assert_eq!(close.len(), 2);
    assert!(close.iter().all(|node| node.as_str().starts_with("10.1")));
    assert_eq!(near(&table, chosen.clone(), &"d".into()), chosen);
    for node in nodes.iter().filter(|node| close.contains(&node.id)) {
        let lagging = EntryReport {
            lag_ms: 25,
            ..node.report.clone()
        };
        table.record(at(1_000), &node.id, lagging, DIRECT);
    }
    assert_eq!(near(&table, chosen.clone(), &"b".into()), chosen);
}

/// Replays the loss of a failure domain, of all strong nodes but a few, and of all strong nodes.
#[test]
fn a_loss_of_strong_nodes_leaves_enough_nodes() {
    let nodes = fleet(6, 3, 46);
    let near_lost = selected(&nodes, |node| !node.as_str().starts_with("10.0"));
    assert_eq!(near_lost.expect("strong nodes").len(), 15);
    let few = selected(&nodes, |node| {
        !node.as_str().contains(".500.") || node.as_str().ends_with(".0:1")
    });
    assert_eq!(few, None, "six strong nodes are too few for this fleet");
    assert_eq!(
        selected(&nodes, |node| !node.as_str().contains(".500.")),
        None
    );
    let three_domains = fleet(3, 2, 28);
    let lost = selected(&three_domains, |node| !node.as_str().starts_with("10.1"));
    assert_eq!(lost.expect("strong nodes").len(), 4);
}

/// Replays a surge that the selected nodes cannot serve. Guards against an outage while most of the fleet is idle, and
/// against a selection that changes with every measurement.
#[test]
fn all_nodes_serve_callers_while_the_selected_ones_are_overloaded() {
    let mut crowding = Crowding::default();
    assert!(!crowding.update(at(0), 20.0));
    assert!(crowding.update(at(1_000), 60.0));
    assert!(crowding.update(at(2_000), 5.0));
    assert!(crowding.update(at(17_000), 30.0), "still not relaxed");
    assert!(!crowding.update(at(18_000), 5.0));
    assert!(!crowding.update(at(19_000), 20.0));
}

/// Guards against limits that all nodes exceed together while some of them select other nodes than the rest, because
/// reports reach them at different times.
#[test]
fn shares_stay_within_the_limits_while_views_differ() {
    let mut rng = Pcg64::seed_from_u64(7);
    for (domains, strong, weak) in [(6, 3, 46), (3, 2, 28), (5, 2, 14), (4, 0, 2)] {
        let nodes = fleet(domains, strong, weak);
        for _ in 0..6 {
            let known_share = rng.random_range(0.6..1.0);
            let (mut budget, mut connections) = (0.0, 0.0);
            for node in &nodes {
                let known = (nodes.len() as f64 * known_share) as usize;
                let known = nodes.iter().choose_multiple(&mut rng, known);
                let view = table(at(0), known.into_iter());
                let role = match select(&view, size(&nodes), |_| true, has_leaves) {
                    None => Role::Equal,
                    Some(chosen) if chosen.contains(&node.id) => Role::Selected(chosen.len()),
                    Some(_) => Role::Reserve,
                };
                budget += 1.0 / role.limit_nodes(nodes.len()) as f64;
                connections += 1.0 / role.connecting_nodes(nodes.len()) as f64;
            }
            assert!(budget <= 1.0, "{domains} domains: {budget} of the limit");
            assert!(
                connections <= 1.0 + 1e-9,
                "{domains} domains: {connections} of the limit"
            );
        }
    }
}

/// Guards against callers that are sent to a node that has announced its stop, because another node passes on an older
/// report with less age than it has.
#[test]
fn a_stopping_node_is_not_ready_whatever_others_pass_on() {
    let mut table = EntryTable::default();
    let node: NodeId = "10.0.0.1:1".into();
    let ready = report("a", 500);
    let stopping = EntryReport {
        state: EntryState::Stopping,
        ..ready.clone()
    };
    table.record(at(10_000), &node, ready.clone(), DIRECT);
    table.record(at(11_000), &node, stopping, DIRECT);
    table.record(at(11_400), &node, ready.clone(), Duration::from_millis(300));
    assert!(
        table
            .iter()
            .all(|(_, report)| report.state == EntryState::Stopping)
    );
    table.record(at(11_500), &node, ready, DIRECT);
    assert!(
        table
            .iter()
            .all(|(_, report)| report.state == EntryState::Ready),
        "a node's own word counts at once"
    );
}

/// Guards against a start at which callers are not told of strong nodes for seconds, because reports from before they were
/// ready count longer than newer ones.
#[test]
fn a_starting_node_is_ready_as_soon_as_others_pass_it_on() {
    let mut table = EntryTable::default();
    let node: NodeId = "10.0.0.1:1".into();
    let starting = EntryReport {
        state: EntryState::Starting,
        ..report("a", 500)
    };
    table.record(at(1_000), &node, starting, DIRECT);
    table.record(
        at(1_500),
        &node,
        report("a", 500),
        Duration::from_millis(100),
    );
    assert!(
        table
            .iter()
            .all(|(_, report)| report.state == EntryState::Ready)
    );
}

/// Guards against memory and messages that grow with the fleet, and against reports that outlive their node.
#[test]
fn the_table_keeps_the_latest_reports_of_the_strongest_nodes() {
    let nodes = fleet(6, 3, 200);
    let mut table = table(at(0), nodes.iter());
    assert_eq!(table.iter().count(), MAX_ENTRIES);
    let strong = table.iter().filter(|(_, report)| report.capacity == 500);
    assert_eq!(strong.count(), 18);
    let mut rng = Pcg64::seed_from_u64(1);
    let passed_on: Vec<u32> = table
        .sample(at(100), 8, &mut rng)
        .map(|(_, report, _)| report.capacity)
        .collect();
    assert_eq!(passed_on, [500; 8]);
    table.expire(at(1_000), |node| !node.as_str().starts_with("10.0"));
    assert_eq!(
        table
            .iter()
            .filter(|(_, report)| report.capacity == 500)
            .count(),
        15
    );
    table.expire(at(13_000), |_| true);
    assert_eq!(table.iter().count(), 0);
}
