use std::time::Duration;

use cranberrychute::core::{
    NodeId,
    mirror::{
        Freshness, Position, READER_COUNT, ReadPlan, choose_source, reader_rank, reads_store,
        retry_delay,
    },
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

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

/// Sizes of fleets, and the calls per second that the store answers for each.
const FLEETS: [(usize, f64); 4] = [
    (8, 2_000.0),
    (100, 6_000.0),
    (300, 16_000.0),
    (2_800, 150_000.0),
];

/// Calls of a simulated fleet to the store: when each ended, and whether the store answered.
struct Calls(Vec<(u64, bool)>);

impl Calls {
    /// Returns the time of the first answer, in milliseconds.
    fn first_answer(&self) -> u64 {
        let answered = self.0.iter().filter(|(_, answered)| *answered);
        answered.map(|(at, _)| *at).min().expect("no answer")
    }

    fn max_per_second(&self) -> usize {
        let mut seconds =
            vec![0; 1 + self.0.iter().map(|(at, _)| at / 1_000).max().unwrap() as usize];
        self.0
            .iter()
            .for_each(|(at, _)| seconds[(at / 1_000) as usize] += 1);
        seconds.into_iter().max().unwrap()
    }
}

/// Runs a fleet whose mirrors were last confirmed at 0 against a store that is unavailable until `up_ms`, and that still
/// rejects the nodes in `rejected` after it. A call without an answer ends after `call_ms`.
fn run_outage(nodes: usize, up_ms: u64, call_ms: u64, rejected: &dyn Fn(usize) -> bool) -> Calls {
    const STEP_MS: u64 = 20;
    let mut rng = Pcg64::seed_from_u64(nodes as u64);
    let mut plans = vec![ReadPlan::new(); nodes];
    let mut next_call = vec![0_u64; nodes];
    let mut calls = Vec::new();
    let mut now = 0;
    while now < up_ms + 10_000 {
        let age = Duration::from_millis(now);
        for rank in 0..nodes {
            if now < next_call[rank] || !reads_store(rank, age) {
                continue;
            }
            let answered = now >= up_ms && !rejected(rank);
            calls.push((now, answered));
            if answered {
                return Calls(calls);
            }
            let delay = plans[rank].record_failure(rank, rng.random_range(1.0..2.0));
            next_call[rank] = now + call_ms + delay.as_millis() as u64;
        }
        now += STEP_MS;
    }
    Calls(calls)
}

/// Replays an outage of the store that reaches all nodes at once. Guards against retries that grow rarer with the size of
/// the fleet, after which nobody reads for seconds, and against calls beyond a twentieth of what the store answers.
#[test]
fn somebody_reads_soon_after_an_outage_of_any_fleet() {
    for (nodes, rate) in FLEETS {
        let calls = run_outage(nodes, 8_000, 0, &|_| false);
        let waited = calls.first_answer() - 8_000;
        assert!(waited <= 250, "{nodes} nodes: first read after {waited} ms");
        let per_second = calls.max_per_second();
        assert!(
            per_second as f64 <= rate / 20.0,
            "{nodes} nodes: {per_second} calls in a second"
        );
    }
}

/// Replays a store that rejects two nodes in three, the lowest ranks among them, while the others have not tried yet or
/// are waiting after a failure.
#[test]
fn a_node_that_the_store_serves_reads_soon() {
    for (nodes, _) in FLEETS {
        let rejected = |rank: usize| rank < nodes.min(24) / 3 || !rank.is_multiple_of(3);
        for up_ms in [0, 8_000] {
            let calls = run_outage(nodes, up_ms, 0, &rejected);
            let start = up_ms.max(1_600);
            let waited = calls.first_answer() - start;
            assert!(
                waited <= 1_000,
                "{nodes} nodes: first read after {waited} ms"
            );
        }
    }
}

/// Replays a store that discards its history while all nodes watch it. Guards against a delay before the read of all
/// items, and against reads without a pause if the history is discarded again and again.
#[test]
fn compacted_history_is_read_again_at_once() {
    let mut plan = ReadPlan::new();
    plan.record_answer();
    assert_eq!(plan.record_compaction(at(5_000)), Duration::ZERO);
    assert!(plan.reads_all());
    plan.record_answer();
    assert!(!plan.reads_all());
    let delay = plan.record_compaction(at(5_050));
    assert!(delay >= Duration::from_millis(100) && delay <= Duration::from_millis(250));
    assert_eq!(plan.record_compaction(at(9_000)), Duration::ZERO);
}

/// Guards against a delay that grows with the fleet: the last nodes retry within seconds, the first ones at once.
#[test]
fn no_retry_delay_grows_with_the_fleet() {
    assert!(retry_delay(0) <= Duration::from_millis(250));
    assert_eq!(retry_delay(0), retry_delay(7));
    for rank in 0..2_800 {
        assert!(retry_delay(rank) <= retry_delay(rank + 1));
        assert!(retry_delay(rank) <= Duration::from_secs(4));
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

/// Guards against updates that cross failure domains although a node of the own domain has them, against changes that
/// are delayed because that node has only some of them, and against a node that depends on one other node.
#[test]
fn updates_come_from_the_own_domain_if_it_is_as_far_ahead() {
    let mut rng = Pcg64::seed_from_u64(1);
    let position = |revision| Position { era: 1, revision };
    let mut sources = |nodes: [(u32, u64, bool); 3], prefers_own_domain| {
        let mut counts = [0; 3];
        for _ in 0..300 {
            let ahead = nodes.map(|(node, revision, is_near)| (node, position(revision), is_near));
            let node = choose_source(ahead.into_iter(), prefers_own_domain, &mut rng);
            counts[node.unwrap() as usize] += 1;
        }
        counts
    };
    let equal = [(0, 7, true), (1, 7, false), (2, 7, true)];
    let [first, other, second] = sources(equal, true);
    assert_eq!(other, 0);
    assert!(first > 100 && second > 100, "{first} {second}");
    assert!(sources(equal, false).iter().all(|count| *count > 60));
    let behind = [(0, 6, true), (1, 7, false), (2, 7, false)];
    assert!(sources(behind, true).iter().all(|count| *count > 60));
    let none = std::iter::empty::<(u32, Position, bool)>();
    assert_eq!(choose_source(none, true, &mut rng), None);
}
