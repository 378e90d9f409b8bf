use std::time::Duration;

use cranberrychute::core::{
    NodeId,
    mirror::{Freshness, READER_COUNT, reader_rank, reads_store, retry_delay},
};
use proptest::prelude::*;

use crate::{at, seeds};

/// The users' strictest limit for a configuration change to take effect.
const CONFIGURATION_LIMIT: Duration = Duration::from_secs(3);

fn nodes(count: usize) -> Vec<NodeId> {
    (0..count)
        .map(|node| format!("10.0.0.{node}:1").as_str().into())
        .collect()
}

fn reader_count(nodes: &[NodeId], age: Duration) -> usize {
    let rank = |node| reader_rank(node, nodes.iter());
    nodes
        .iter()
        .filter(|node| reads_store(rank(node), age))
        .count()
}

/// Guards against a fleet in which all nodes or none read the store in normal operation.
#[test]
fn the_planned_number_of_nodes_reads_the_store() {
    for count in [1, 2, 8, 80, 2_800] {
        assert_eq!(
            reader_count(&nodes(count), Duration::ZERO),
            count.min(READER_COUNT)
        );
    }
}

/// Guards against nodes that wait for the readers beyond the limit when all readers fail at once.
#[test]
fn all_nodes_read_within_the_limit_after_the_readers_fail() {
    let nodes = nodes(100);
    assert_eq!(
        reader_count(&nodes, CONFIGURATION_LIMIT - Duration::from_millis(500)),
        100
    );
    let count = reader_count(&nodes, Duration::from_millis(1_650));
    assert!(
        count > READER_COUNT && count < 16,
        "{count} nodes start to read at once"
    );
}

/// Guards against a delayed confirmation that makes a mirror appear fresh: its age counts, not its time of arrival.
#[test]
fn a_delayed_confirmation_does_not_make_a_mirror_fresh() {
    let mut freshness = Freshness::default();
    freshness.confirm(at(5_000), Duration::from_millis(4_000));
    assert_eq!(freshness.age(at(5_000)), Duration::from_millis(4_000));
    freshness.confirm(at(5_100), Duration::from_millis(200));
    freshness.confirm(at(5_200), Duration::from_millis(3_000));
    assert_eq!(freshness.age(at(5_200)), Duration::from_millis(300));
}

/// Guards against a newly started node with an empty mirror that confirms the mirrors of other nodes.
#[test]
fn an_unconfirmed_mirror_is_not_fresh() {
    let mut freshness = Freshness::default();
    assert_eq!(freshness.age(at(10)), Duration::MAX);
    assert!(reads_store(79, freshness.age(at(10))));
    freshness.confirm(at(10), Duration::MAX);
    assert_eq!(freshness.age(at(10)), Duration::MAX);
}

/// Guards against a rate of calls to an unavailable store that grows with the fleet.
#[test]
fn retry_rate_does_not_grow_with_the_fleet() {
    let calls = |nodes: usize| nodes as f64 / retry_delay(nodes).as_secs_f64();
    assert_eq!(retry_delay(1), retry_delay(8));
    for nodes in [8, 80, 2_800] {
        assert!(
            calls(nodes) <= calls(8) + 1.0,
            "{} calls per second",
            calls(nodes)
        );
    }
}

proptest! {
    #![proptest_config(seeds::proptest_config())]

    /// Guards against nodes with different views of the membership that each leave reading to the other. A node that
    /// knows fewer members must read whenever it would read with all members known.
    #[test]
    fn a_node_with_a_partial_view_reads_as_well(count in 1_usize..60, hidden in 0_usize..60, millis in 0_u64..3_000) {
        let all = nodes(count);
        let visible = &all[hidden.min(count - 1)..];
        let age = Duration::from_millis(millis);
        let me = &all[count - 1];
        let reads_full = reads_store(reader_rank(me, all.iter()), age);
        let reads_partial = reads_store(reader_rank(me, visible.iter()), age);
        prop_assert!(reads_partial || !reads_full);
    }
}
