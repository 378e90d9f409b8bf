use std::time::Duration;

use cranberrychute::core::{
    Time,
    placement::{
        Candidate, LeafLoad, LeafStats, Outcome, STALE_CONNECTION_TIME, cold_share,
        connecting_nodes, connection_share, pick, planned_nodes,
    },
    score,
};
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::at;

const USUAL: Duration = Duration::from_millis(8);

/// One shard's leafs as one node sees them, in virtual time.
struct Shard {
    stats: Vec<LeafStats>,
    rng: Pcg64,
    now: Time,
}

impl Shard {
    fn new(leafs: usize) -> Self {
        Self {
            stats: (0..leafs).map(|_| LeafStats::new(at(0), 2)).collect(),
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
        pick(now, USUAL, candidates, &mut self.rng).expect("a leaf is left")
    }

    /// Makes a call that ends before the next one.
    fn call(&mut self, leaf: usize, outcome: Outcome) {
        let token = self.stats[leaf].start_call(self.now);
        let took = match outcome {
            Outcome::Answered(latency) => latency,
            _ => Duration::ZERO,
        };
        self.stats[leaf].end_call(self.now + took, token, outcome, USUAL);
    }

    /// Picks a leaf `count` times, 20 ms apart, and returns the share that `leaf` got.
    fn share(&mut self, leaf: usize, count: u32, outcome: impl Fn(usize) -> Outcome) -> f64 {
        let mut got = 0;
        for _ in 0..count {
            self.now = self.now + Duration::from_millis(20);
            let chosen = self.pick();
            got += u32::from(chosen == leaf);
            self.call(chosen, outcome(chosen));
        }
        f64::from(got) / f64::from(count)
    }
}

fn answered(millis: u64) -> Outcome {
    Outcome::Answered(Duration::from_millis(millis))
}

/// Equal leafs: nodes that do not see each other must not all choose the same one.
#[test]
fn equal_leafs_share_the_calls() {
    let mut shard = Shard::new(3);
    for leaf in 0..3 {
        let share = shard.share(leaf, 600, |_| answered(8));
        assert!((0.2..0.5).contains(&share), "leaf {leaf} gets {share}");
    }
}

/// A leaf pauses for 100 ms: the first call that does not return shows it, and no further one goes there.
#[test]
fn a_leaf_that_does_not_return_a_call_gets_no_other() {
    let mut shard = Shard::new(3);
    shard.share(0, 100, |_| answered(8));
    shard.stats[0].start_call(shard.now);
    shard.now = shard.now + Duration::from_millis(30);
    let again = shard.share(0, 4, |_| answered(8));
    assert_eq!(again, 0.0);
}

/// Every leaf pauses for 100 ms now and then: one late answer must not cost it its share for seconds.
#[test]
fn a_pause_that_is_over_costs_a_leaf_little() {
    let mut shard = Shard::new(3);
    shard.share(0, 100, |_| answered(8));
    shard.call(0, answered(104));
    shard.now = shard.now + Duration::from_millis(100);
    let after = shard.share(0, 50, |_| answered(8));
    assert!(
        after > 0.15,
        "the leaf gets {after} of the calls in the next second"
    );
}

/// A leaf becomes ten times slower for seconds: it loses its share after a few answers, and has it back soon
/// after it has recovered.
#[test]
fn a_slow_leaf_is_avoided_and_tried_again() {
    let mut shard = Shard::new(3);
    shard.share(0, 100, |_| answered(8));
    let slow = shard.share(0, 300, |leaf| answered(if leaf == 0 { 80 } else { 8 }));
    assert!(slow < 0.08, "the slow leaf gets {slow} of the calls");
    shard.now = shard.now + Duration::from_secs(6);
    let back = shard.share(0, 200, |_| answered(8));
    assert!(back > 0.15, "the recovered leaf gets {back} of the calls");
}

/// A leaf fails or sheds half of its calls while it seems healthy.
#[test]
fn a_failing_leaf_loses_most_of_its_share() {
    let failing = [Outcome::Failed, Outcome::Shed];
    for outcome in failing {
        let mut shard = Shard::new(3);
        let share = shard.share(0, 300, |leaf| if leaf == 0 { outcome } else { answered(8) });
        assert!(
            share < 0.08,
            "{outcome:?}: the failing leaf gets {share} of the calls"
        );
    }
}

/// A leaf goes dark: two calls without an answer, then one try at a time, ever more seldom.
#[test]
fn a_silent_leaf_rests_and_gets_one_call_at_a_time() {
    let mut stats = LeafStats::new(at(0), 2);
    for time in [0, 10] {
        let token = stats.start_call(at(time));
        stats.end_call(at(time + 5), token, Outcome::NoAnswer, USUAL);
    }
    assert!(stats.is_ejected(at(200)));
    assert!(!stats.is_ejected(at(300)));
    assert!(stats.may_try(at(300)));
    let token = stats.start_call(at(300));
    assert!(!stats.may_try(at(301)), "a second call on trial");
    stats.end_call(at(400), token, Outcome::NoAnswer, USUAL);
    assert!(stats.is_ejected(at(800)));
    let token = stats.start_call(at(1_000));
    stats.end_call(at(1_008), token, answered(8), USUAL);
    assert!(!stats.is_ejected(at(1_008)));
    let token = stats.start_call(at(1_010));
    assert!(stats.may_try(at(1_011)));
    stats.end_call(at(1_020), token, answered(8), USUAL);
}

/// Guards against a call that was given up for its caller's reasons and counts as the leaf's silence.
#[test]
fn cancelled_calls_do_not_count_against_a_leaf() {
    let mut stats = LeafStats::new(at(0), 2);
    for time in 0..10 {
        let token = stats.start_call(at(time));
        stats.end_call(at(time + 1), token, Outcome::Cancelled, USUAL);
    }
    assert!(stats.may_try(at(20)));
    assert_eq!(stats.calls(), 0);
}

/// A leaf reports a queue: others are preferred, and the report soon counts no more.
#[test]
fn a_reported_queue_counts_for_a_moment() {
    let mut stats = LeafStats::new(at(0), 2);
    let load = LeafLoad {
        running: 2,
        waiting: 6,
        slots: 2,
    };
    stats.record_load(at(1_000), load);
    let idle = LeafStats::new(at(0), 2);
    assert!(stats.cost(at(1_001), USUAL) > 2.0 * idle.cost(at(1_001), USUAL));
    assert!(stats.cost(at(1_500), USUAL) < 1.2 * idle.cost(at(1_500), USUAL));
}

/// Guards against limits that nodes exceed together: added machines and restarts included.
#[test]
fn shares_of_all_planned_nodes_stay_within_the_limit() {
    for alive in 1..300 {
        let nodes = planned_nodes(alive);
        assert!(nodes >= alive + 4);
        for limit in [26, 52, 72, 110, 540] {
            for leafs in 1..6 {
                let share = connection_share(limit, leafs, nodes, STALE_CONNECTION_TIME);
                assert!((1..=leafs).contains(&share.leaves) && share.per_leaf > 0);
                let all = share.leaves * share.per_leaf * nodes;
                let least = share.leaves == 1 && share.per_leaf == 1;
                assert!(least || all <= limit as usize * leafs);
            }
        }
        let cold = cold_share(3.0, 1.5, 5.0, nodes).expect("there is a limit");
        assert!(cold * nodes as f64 <= 9.5 + 1e-9);
    }
    assert_eq!(cold_share(0.0, 1.5, 5.0, 12), None);
}

/// Guards against a leaf that gets connections from all of more nodes than it accepts, and resets them.
#[test]
fn nodes_that_keep_to_a_part_of_the_leafs_stay_within_their_limit() {
    let (nodes, leafs, limit) = (80, 3, 72_u32);
    let share = connection_share(limit, leafs, connecting_nodes(nodes), STALE_CONNECTION_TIME);
    assert_eq!((share.leaves, share.per_leaf), (2, 1));
    for shard in 0..90 {
        let names: Vec<String> = (0..leafs).map(|leaf| format!("i-{shard}-{leaf}")).collect();
        let mut connections = vec![0_usize; leafs];
        for node in 0..nodes {
            let node = format!("node-{node}");
            let mut order: Vec<usize> = (0..leafs).collect();
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

/// Guards against nodes that all return from a loss of power and find the leafs full of their old connections.
#[test]
fn a_node_that_has_just_started_leaves_room_for_its_old_connections() {
    let nodes = connecting_nodes(80);
    let share = connection_share(72, 3, nodes, Duration::from_secs(2));
    assert_eq!(share.leaves, 1);
    let share = connection_share(26, 3, connecting_nodes(8), Duration::from_secs(2));
    assert_eq!(share.leaves, 3, "eight nodes leave room for twice as many");
}

/// Guards against leafs that count as down because other nodes, or this node before a loss of power, have all their
/// connections.
#[test]
fn a_leaf_that_accepts_no_more_connections_is_not_down() {
    let mut stats = LeafStats::new(at(0), 2);
    for time in 0..20 {
        let token = stats.start_call(at(time));
        stats.end_call(at(time), token, Outcome::ConnectionLimit, USUAL);
    }
    assert!(stats.may_try(at(20)));
}

/// A node keeps connections to a part of the leafs: another one gets a call only when all of these stand still.
#[test]
fn a_leaf_without_connections_steps_in_for_those_that_stand_still() {
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
        pick(now, USUAL, candidates, &mut rng)
    };
    assert_eq!(choose(&stats, at(0)), Some(0));
    stats[0].start_call(at(0));
    assert_eq!(choose(&stats, at(10)), Some(0));
    assert_eq!(choose(&stats, at(60)), Some(1));
}

/// All leafs of a zone return cold: a node sends no more than its share, in any second.
#[test]
fn a_cold_leaf_gets_its_rate_at_most() {
    let mut stats = LeafStats::new(at(0), 2);
    let mut sends = Vec::new();
    for time in (0..10_000).step_by(10) {
        if stats.allows_cold_call(at(time), 0.8) {
            let token = stats.start_call(at(time));
            stats.end_call(at(time), token, answered(8), USUAL);
            sends.push(time);
        }
    }
    for start in &sends {
        let within = sends
            .iter()
            .filter(|time| (*start..start + 1_000).contains(*time))
            .count();
        assert_eq!(
            within, 1,
            "more than one call in the second from {start} ms"
        );
    }
    assert!(
        (8..=9).contains(&sends.len()),
        "{} calls in 10 s",
        sends.len()
    );
}

/// A crowd of nodes fills a leaf's queue: each sends it one call at a time, and more again as it answers.
#[test]
fn a_leaf_that_sheds_gets_fewer_calls_at_a_time() {
    let mut stats = LeafStats::new(at(0), 2);
    let tokens: Vec<_> = (0..4).map(|_| stats.start_call(at(0))).collect();
    assert!(stats.has_room());
    for token in tokens {
        stats.end_call(at(3), token, Outcome::Shed, USUAL);
    }
    assert!(stats.has_room());
    let first = stats.start_call(at(4));
    assert!(!stats.has_room());
    stats.end_call(at(12), first, answered(8), USUAL);
    for time in (20..100).step_by(10) {
        let token = stats.start_call(at(time));
        stats.end_call(at(time + 8), token, answered(8), USUAL);
    }
    stats.start_call(at(100));
    assert!(stats.has_room());
}

/// A leaf reports more than two rounds of waiting calls before it sheds any.
#[test]
fn a_leaf_with_a_long_queue_gets_fewer_calls_at_a_time() {
    let mut stats = LeafStats::new(at(0), 2);
    stats.start_call(at(0));
    stats.start_call(at(0));
    stats.record_load(
        at(8),
        LeafLoad {
            running: 2,
            waiting: 4,
            slots: 2,
        },
    );
    assert!(stats.has_room());
    stats.record_load(
        at(9),
        LeafLoad {
            running: 2,
            waiting: 5,
            slots: 2,
        },
    );
    assert!(!stats.has_room());
}
