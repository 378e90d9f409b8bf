use std::time::Duration;

use cranberrychute::core::{
    NodeId,
    mirror::{Freshness, READER_COUNT, reader_rank, reads_store, retry_delay},
};
use proptest::prelude::*;

use crate::{at, seeds};

/// The users' least bound for a change of the configuration.
const APPLY: Duration = Duration::from_secs(3);

fn nodes(count: usize) -> Vec<NodeId> {
    (0..count)
        .map(|node| format!("10.0.0.{node}:1").as_str().into())
        .collect()
}

fn readers(nodes: &[NodeId], age: Duration) -> usize {
    let rank = |node| reader_rank(node, nodes.iter());
    nodes
        .iter()
        .filter(|node| reads_store(rank(node), age))
        .count()
}

/// Guards against every node reading while all is well, and against nobody.
#[test]
fn as_many_nodes_read_as_planned() {
    for count in [1, 2, 8, 80, 2_800] {
        assert_eq!(
            readers(&nodes(count), Duration::ZERO),
            count.min(READER_COUNT)
        );
    }
}

/// Guards against nodes that wait for readers beyond the bound when those are lost all at once.
#[test]
fn all_nodes_read_before_the_bound_when_the_readers_fall_silent() {
    let nodes = nodes(100);
    assert_eq!(readers(&nodes, APPLY - Duration::from_millis(500)), 100);
    let widened = readers(&nodes, Duration::from_millis(1_650));
    assert!(
        widened > READER_COUNT && widened < 16,
        "{widened} nodes at once"
    );
}

/// Guards against a node that takes old word for new: only how old the word is counts, not when it came.
#[test]
fn late_word_does_not_make_a_copy_current() {
    let mut currency = Freshness::default();
    currency.confirm(at(5_000), Duration::from_millis(4_000));
    assert_eq!(currency.age(at(5_000)), Duration::from_millis(4_000));
    currency.confirm(at(5_100), Duration::from_millis(200));
    currency.confirm(at(5_200), Duration::from_millis(3_000));
    assert_eq!(currency.age(at(5_200)), Duration::from_millis(300));
}

/// Guards against a node that has just started and vouches for the copies of others, although it knows nothing.
#[test]
fn a_copy_that_nobody_confirmed_is_not_current() {
    let mut currency = Freshness::default();
    assert_eq!(currency.age(at(10)), Duration::MAX);
    assert!(reads_store(79, currency.age(at(10))));
    currency.confirm(at(10), Duration::MAX);
    assert_eq!(currency.age(at(10)), Duration::MAX);
}

/// Guards against a flood of calls to a store that is away, which grows with the fleet.
#[test]
fn nodes_retry_less_often_the_more_they_are() {
    let calls = |nodes: usize| nodes as f64 / retry_delay(nodes).as_secs_f64();
    assert_eq!(retry_delay(1), retry_delay(8));
    for nodes in [8, 80, 2_800] {
        assert!(
            calls(nodes) <= calls(8) + 1.0,
            "{} calls a second",
            calls(nodes)
        );
    }
}

proptest! {
    #![proptest_config(seeds::proptest_config())]

    /// Guards against nodes that see different members and each leave reading to the other: whoever sees fewer
    /// others reads rather.
    #[test]
    fn a_node_that_sees_fewer_others_reads_as_well(count in 1_usize..60, hidden in 0_usize..60, millis in 0_u64..3_000) {
        let all = nodes(count);
        let seen = &all[hidden.min(count - 1)..];
        let age = Duration::from_millis(millis);
        let me = &all[count - 1];
        let full = reads_store(reader_rank(me, all.iter()), age);
        let part = reads_store(reader_rank(me, seen.iter()), age);
        prop_assert!(part || !full);
    }
}
