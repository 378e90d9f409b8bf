use std::time::Duration;

use cranberrychute::core::{
    Time,
    placement::{
        Candidate, LeafLoad, LeafStats, Outcome, STALE_CONNECTION_TIME, connecting_nodes,
        connection_share, own_domain_first, pick, planned_nodes,
    },
    score,
};
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::at;

const TYPICAL: Duration = Duration::from_millis(8);

/// The leaves of one shard from the perspective of one node, in virtual time.
struct Shard {
    stats: Vec<LeafStats>,
    rng: Pcg64,
    now: Time,
}

impl Shard {
    fn new(leaves: usize) -> Self {
        Self {
            stats: (0..leaves).map(|_| LeafStats::new(at(0), 2)).collect(),
            rng: Pcg64::seed_from_u64(1),
            now: at(0),
        }
    }

    fn pick(&mut self) -> usize {
        let now = self.now;
        let candidates = self
            .stats
            .iter()
            .enumerate()
            .filter(|(_, stats)| stats.may_try(now))
            .map(|(index, stats)| {
                let candidate = Candidate {
                    stats,
                    same_domain: false,
                    outside_subset: false,
                    cold: false,
                    connected: true,
                };
                (index, candidate)
            });
        let choice = pick(now, TYPICAL, 0.4, candidates, &mut self.rng);
        choice.expect("at least one leaf may be tried").index
    }

    /// Makes a call to a leaf that ends before the next call.
    fn call(&mut self, leaf: usize, outcome: Outcome) {
        let token = self.stats[leaf].start_call(self.now);
        let latency = match outcome {
            Outcome::Answered(latency) => latency,
            _ => Duration::ZERO,
        };
        self.stats[leaf].end_call(self.now + latency, token, outcome, TYPICAL);
    }

    /// Makes `count` calls at intervals of 20 ms and returns the share of calls to `leaf`.
    fn share(&mut self, leaf: usize, count: u32, outcome: impl Fn(usize) -> Outcome) -> f64 {
        let mut calls = 0;
        for _ in 0..count {
            self.now = self.now + Duration::from_millis(20);
            let chosen = self.pick();
            calls += u32::from(chosen == leaf);
            self.call(chosen, outcome(chosen));
        }
        f64::from(calls) / f64::from(count)
    }
}

fn answered(millis: u64) -> Outcome {
    Outcome::Answered(Duration::from_millis(millis))
}

/// Guards against nodes that all choose the same one of several equal leaves, since they do not see each other's
/// calls.
#[test]
fn equal_leaves_share_the_calls() {
    let mut shard = Shard::new(3);
    for leaf in 0..3 {
        let share = shard.share(leaf, 600, |_| answered(8));
        assert!(
            (0.2..0.5).contains(&share),
            "leaf {leaf} gets a share of {share} of the calls"
        );
    }
}

/// Guards against further calls to a leaf that pauses for 100 ms: the first call without an answer shows that it is
/// stalled.
#[test]
fn a_stalled_leaf_gets_no_further_call() {
    let mut shard = Shard::new(3);
    shard.share(0, 100, |_| answered(8));
    shard.stats[0].start_call(shard.now);
    shard.now = shard.now + Duration::from_millis(30);
    let again = shard.share(0, 4, |_| answered(8));
    assert_eq!(again, 0.0);
}

/// Guards against a leaf that is avoided for seconds after a single late answer. Every leaf pauses for 100 ms now and
/// then.
#[test]
fn a_single_pause_hardly_reduces_the_share_of_a_leaf() {
    let mut shard = Shard::new(3);
    shard.share(0, 100, |_| answered(8));
    shard.call(0, answered(104));
    shard.now = shard.now + Duration::from_millis(100);
    let after = shard.share(0, 50, |_| answered(8));
    assert!(
        after > 0.15,
        "the leaf gets a share of {after} of the calls in the next second"
    );
}

/// Guards against a leaf that becomes ten times slower for seconds and keeps its share, and against one that does not
/// regain its share soon after it has recovered.
#[test]
fn a_slow_leaf_is_avoided_and_tried_again() {
    let mut shard = Shard::new(3);
    shard.share(0, 100, |_| answered(8));
    let slow = shard.share(0, 300, |leaf| answered(if leaf == 0 { 80 } else { 8 }));
    assert!(
        slow < 0.08,
        "the slow leaf gets a share of {slow} of the calls"
    );
    shard.now = shard.now + Duration::from_secs(6);
    let recovered = shard.share(0, 200, |_| answered(8));
    assert!(
        recovered > 0.15,
        "the recovered leaf gets a share of {recovered} of the calls"
    );
}

/// Guards against a leaf that fails or sheds calls while it appears healthy, and keeps its share.
#[test]
fn a_failing_leaf_loses_most_of_its_share() {
    let failing = [Outcome::Failed, Outcome::Shed];
    for outcome in failing {
        let mut shard = Shard::new(3);
        let share = shard.share(0, 300, |leaf| if leaf == 0 { outcome } else { answered(8) });
        assert!(
            share < 0.08,
            "{outcome:?}: the failing leaf gets a share of {share} of the calls"
        );
    }
}

/// Guards against frequent calls to a leaf that does not answer: after two calls without an answer it is ejected,
/// then gets one call at a time at growing intervals.
#[test]
fn an_unresponsive_leaf_is_ejected_and_gets_one_call_at_a_time() {
    let mut stats = LeafStats::new(at(0), 2);
    for time in [0, 10] {
        let token = stats.start_call(at(time));
        stats.end_call(at(time + 5), token, Outcome::NoAnswer, TYPICAL);
    }
    assert!(stats.is_ejected(at(200)));
    assert!(!stats.is_ejected(at(300)));
    assert!(stats.may_try(at(300)));
    let token = stats.start_call(at(300));
    assert!(
        !stats.may_try(at(301)),
        "a second concurrent call after the ejection"
    );
    stats.end_call(at(400), token, Outcome::NoAnswer, TYPICAL);
    assert!(stats.is_ejected(at(800)));
    let token = stats.start_call(at(1_000));
    stats.end_call(at(1_008), token, answered(8), TYPICAL);
    assert!(!stats.is_ejected(at(1_008)));
    let token = stats.start_call(at(1_010));
    assert!(stats.may_try(at(1_011)));
    stats.end_call(at(1_020), token, answered(8), TYPICAL);
}

/// Guards against calls that were cancelled for reasons unrelated to the leaf and count as missing answers.
#[test]
fn cancelled_calls_do_not_count_against_a_leaf() {
    let mut stats = LeafStats::new(at(0), 2);
    for time in 0..10 {
        let token = stats.start_call(at(time));
        stats.end_call(at(time + 1), token, Outcome::Cancelled, TYPICAL);
    }
    assert!(stats.may_try(at(20)));
    assert_eq!(stats.calls(), 0);
}

/// Guards against a reported queue that is ignored, and against one that is used after it is out of date.
#[test]
fn a_reported_queue_raises_the_cost_for_a_limited_time() {
    let mut stats = LeafStats::new(at(0), 2);
    let load = LeafLoad {
        running: 2,
        waiting: 6,
        slots: 2,
        speed: None,
    };
    stats.record_load(at(1_000), load);
    let idle = LeafStats::new(at(0), 2);
    assert!(stats.cost(at(1_001), TYPICAL) > 2.0 * idle.cost(at(1_001), TYPICAL));
    assert!(stats.cost(at(1_500), TYPICAL) < 1.2 * idle.cost(at(1_500), TYPICAL));
}

/// Guards against fleet-wide limits that nodes exceed together, including added and restarted nodes.
#[test]
fn shares_of_all_planned_nodes_stay_within_the_limit() {
    for alive in 1..300 {
        let nodes = planned_nodes(alive);
        assert!(nodes >= alive + 4);
        for limit in [26, 52, 72, 110, 540] {
            for leaves in 1..6 {
                let share = connection_share(limit, leaves, nodes, STALE_CONNECTION_TIME);
                assert!((1..=leaves).contains(&share.leaves) && share.per_leaf > 0);
                let total = share.leaves * share.per_leaf * nodes;
                let is_minimum = share.leaves == 1 && share.per_leaf == 1;
                assert!(is_minimum || total <= limit as usize * leaves);
            }
        }
    }
}

/// Guards against a leaf that gets more connections than it accepts, and resets the others, when there are more nodes
/// than it accepts connections.
#[test]
fn subsets_keep_connections_within_the_limit_of_each_leaf() {
    let (nodes, leaves, limit) = (80, 3, 72_u32);
    let share = connection_share(
        limit,
        leaves,
        connecting_nodes(nodes),
        STALE_CONNECTION_TIME,
    );
    assert_eq!((share.leaves, share.per_leaf), (2, 1));
    for shard in 0..90 {
        let names: Vec<String> = (0..leaves)
            .map(|leaf| format!("i-{shard}-{leaf}"))
            .collect();
        let mut connections = vec![0_usize; leaves];
        for node in 0..nodes {
            let node = format!("node-{node}");
            let mut order: Vec<usize> = (0..leaves).collect();
            order.sort_by_key(|leaf| score(&node, &names[*leaf]));
            order[..share.leaves]
                .iter()
                .for_each(|leaf| connections[*leaf] += share.per_leaf);
        }
        assert!(
            connections.iter().all(|count| *count <= limit as usize),
            "{connections:?}"
        );
    }
}

/// Guards against calls that leave their domain for want of a connection, and against a leaf in a domain with many nodes
/// that gets more connections than it accepts.
#[test]
fn leaves_of_the_own_domain_come_first_within_the_limit_of_each_leaf() {
    // Nodes by domain, and whether each node can keep connections to its own domain's leaf.
    let fleets: [(&[usize], bool); 5] = [
        (&[27, 26, 26], true),
        (&[20, 20, 20, 20], true),
        (&[40, 20, 20], true),
        (&[64, 8, 8], false),
        (&[50, 50, 50], true),
    ];
    let (leaves, limit) = (3, 72);
    for (fleet, expected) in fleets {
        let nodes = connecting_nodes(fleet.iter().sum());
        let share = connection_share(limit, leaves, nodes, STALE_CONNECTION_TIME);
        let leaves_in = |domain| usize::from(domain < leaves);
        let counts: Vec<_> = fleet
            .iter()
            .enumerate()
            .map(|(domain, nodes)| (*nodes, leaves_in(domain)))
            .collect();
        let own_first = own_domain_first(limit, share, nodes, &counts);
        assert_eq!(own_first, expected, "{fleet:?}");
        let mut connections = [0; 3];
        for (domain, nodes) in fleet.iter().enumerate() {
            for node in 0..*nodes {
                let node = format!("node-{domain}-{node}");
                let mut order: Vec<usize> = (0..leaves).collect();
                order.sort_by_key(|leaf| {
                    (
                        own_first && *leaf != domain,
                        score(&node, &format!("i-{leaf}")),
                    )
                });
                let used = &order[..share.leaves];
                assert!(!own_first || domain >= leaves || used.contains(&domain));
                used.iter()
                    .for_each(|leaf| connections[*leaf] += share.per_leaf);
            }
        }
        let most = connections.into_iter().max().unwrap();
        assert!(most <= limit as usize, "{fleet:?}: {connections:?}");
    }
}

/// Guards against nodes that all restart after a power loss and exceed the connection limits, because leaves still
/// count their old connections.
#[test]
fn a_new_node_reserves_capacity_for_its_old_connections() {
    let nodes = connecting_nodes(80);
    let share = connection_share(72, 3, nodes, Duration::from_secs(2));
    assert_eq!(share.leaves, 1);
    let share = connection_share(26, 3, connecting_nodes(8), Duration::from_secs(2));
    assert_eq!(
        share.leaves, 3,
        "the limit allows eight nodes and their old connections on all leaves"
    );
}

/// Guards against the ejection of a leaf whose connections are all taken by other nodes, or by this node's
/// previous incarnation before a power loss.
#[test]
fn a_leaf_at_its_connection_limit_is_not_ejected() {
    let mut stats = LeafStats::new(at(0), 2);
    for time in 0..20 {
        let token = stats.start_call(at(time));
        stats.end_call(at(time), token, Outcome::ConnectionLimit, TYPICAL);
    }
    assert!(stats.may_try(at(20)));
}

/// Guards against calls to leaves outside a node's connection subset while a leaf of the subset works, and against
/// calls that wait for a stalled subset although another leaf works.
#[test]
fn a_leaf_outside_the_subset_is_used_if_the_subset_is_stalled() {
    let mut rng = Pcg64::seed_from_u64(1);
    let mut stats = [LeafStats::new(at(0), 2), LeafStats::new(at(0), 2)];
    let mut choose = |stats: &[LeafStats], now| {
        let candidates = stats.iter().enumerate().map(|(index, stats)| {
            let candidate = Candidate {
                stats,
                same_domain: false,
                outside_subset: index == 1,
                cold: false,
                connected: index == 0,
            };
            (index, candidate)
        });
        pick(now, TYPICAL, 0.4, candidates, &mut rng).map(|choice| choice.index)
    };
    assert_eq!(choose(&stats, at(0)), Some(0));
    stats[0].start_call(at(0));
    assert_eq!(choose(&stats, at(10)), Some(0));
    assert_eq!(choose(&stats, at(60)), Some(1));
}

/// Guards against many nodes that keep the queue of a leaf full: when it sheds calls, each node reduces its limit to
/// one call at a time, and raises it again as the leaf answers.
#[test]
fn a_shedding_leaf_gets_fewer_concurrent_calls() {
    let mut stats = LeafStats::new(at(0), 2);
    let tokens: Vec<_> = (0..4).map(|_| stats.start_call(at(0))).collect();
    assert!(stats.has_room());
    for token in tokens {
        stats.end_call(at(3), token, Outcome::Shed, TYPICAL);
    }
    assert!(stats.has_room());
    let first = stats.start_call(at(4));
    assert!(!stats.has_room());
    stats.end_call(at(12), first, answered(8), TYPICAL);
    for time in (20..100).step_by(10) {
        let token = stats.start_call(at(time));
        stats.end_call(at(time + 8), token, answered(8), TYPICAL);
    }
    stats.start_call(at(100));
    assert!(stats.has_room());
}

/// Guards against an unchanged call limit when a leaf reports more than two queued calls per slot before it sheds
/// any.
#[test]
fn a_leaf_with_a_long_queue_gets_fewer_concurrent_calls() {
    let mut stats = LeafStats::new(at(0), 2);
    stats.start_call(at(0));
    stats.start_call(at(0));
    stats.record_load(
        at(8),
        LeafLoad {
            running: 2,
            waiting: 4,
            slots: 2,
            speed: None,
        },
    );
    assert!(stats.has_room());
    stats.record_load(
        at(9),
        LeafLoad {
            running: 2,
            waiting: 5,
            slots: 2,
            speed: None,
        },
    );
    assert!(!stats.has_room());
}
