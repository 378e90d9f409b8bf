use std::time::Duration;

use cranberrychute::core::{
    Instance, NodeId, Time,
    link::{Handover, Helper, HelperLoad, LinkCheck, LinkMonitor, LinkState},
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use crate::{at, seeds::seeds};

/// Time from a cut after which callers must be served, and the part of it left for finding out.
const SETTLE_TIME: Duration = Duration::from_secs(4);
const MAX_DETECTION_TIME: Duration = Duration::from_secs(1);

/// How a node's way to the leaves behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Up,
    /// Calls get no answer and connections none.
    Hangs,
    /// New connections are refused, calls over open ones are answered.
    Refuses,
    /// All connections are reset and new ones refused.
    Resets,
}

/// Calls of a node to leaves, over a way that may be cut.
struct Load {
    monitor: LinkMonitor,
    now: Time,
    way: Way,
    /// Milliseconds between calls.
    interval: u64,
    /// Number of the leaves that work.
    working: usize,
    peer_accepted: bool,
}

const LEAVES: usize = 12;

impl Load {
    fn new(interval: u64) -> Self {
        Self {
            monitor: LinkMonitor::default(),
            now: at(1_000_000),
            way: Way::Up,
            interval,
            working: LEAVES,
            peer_accepted: true,
        }
    }

    /// Runs for `time`, and returns when the link first got into `state`, as the time since the start.
    fn run_until(&mut self, state: LinkState, time: Duration, rng: &mut Pcg64) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) < time {
            if self.monitor.state() == state {
                return Some(self.now.since(start));
            }
            self.step(rng);
        }
        None
    }

    /// Returns whether the node calls leaves by itself.
    fn calls_leaves(&self) -> bool {
        matches!(
            self.monitor.state(),
            LinkState::Up | LinkState::NoNewConnections
        )
    }

    /// Runs 5 ms.
    fn step(&mut self, rng: &mut Pcg64) {
        let now = self.now;
        if (now.0 / 1_000).is_multiple_of(self.interval) && self.calls_leaves() {
            let number = rng.random_range(0..LEAVES);
            let leaf = Instance::from(format!("i-{number}").as_str());
            let works = number < self.working;
            match self.way {
                Way::Resets => self.monitor.record_unreachable(&leaf),
                Way::Refuses if rng.random_bool(0.1) => self.monitor.record_unreachable(&leaf),
                Way::Up if !works => self.monitor.record_unreachable(&leaf),
                way => {
                    self.monitor.record_call(now, &leaf);
                    if way != Way::Hangs && works {
                        self.monitor.record_answer(now);
                    }
                }
            }
        }
        if self.monitor.is_check_due(now) {
            let asked = self.monitor.leaves_to_ask();
            let accepts = |rng: &mut Pcg64| rng.random_range(0..LEAVES) < self.working;
            let accepted = match self.way {
                Way::Up => (0..asked).filter(|_| accepts(rng)).count(),
                _ => 0,
            };
            if self.way == Way::Hangs {
                self.now = self.now + Duration::from_millis(150);
            }
            let check = LinkCheck {
                asked,
                accepted,
                peer_accepted: self.peer_accepted,
            };
            self.monitor.record_check(self.now, check);
        }
        self.now = self.now + Duration::from_millis(5);
    }
}

/// Guards against a lost link that is found out too late to serve callers, and against a link that counts as lost after it is
/// back.
#[test]
fn a_lost_link_is_known_within_a_second() {
    for seed in seeds(50) {
        let mut rng = Pcg64::seed_from_u64(seed);
        for way in [Way::Hangs, Way::Resets] {
            for interval in [5, 20, 60] {
                let mut load = Load::new(interval);
                load.run_until(LinkState::Lost, Duration::from_secs(3), &mut rng);
                assert_eq!(load.monitor.state(), LinkState::Up, "seed {seed}");
                for _ in 0..3 {
                    load.way = way;
                    let lost = load.run_until(LinkState::Lost, SETTLE_TIME, &mut rng);
                    let limit = match way {
                        // Leaves may still answer over open connections.
                        Way::Resets => 2 * MAX_DETECTION_TIME,
                        _ => MAX_DETECTION_TIME,
                    };
                    let lost = lost.unwrap_or(SETTLE_TIME);
                    assert!(
                        lost <= limit,
                        "{way:?}, {interval} ms: {lost:?}, seed {seed}"
                    );
                    load.way = Way::Up;
                    let back = load.run_until(LinkState::Up, SETTLE_TIME, &mut rng);
                    let back = back.unwrap_or(SETTLE_TIME);
                    assert!(back <= 2 * MAX_DETECTION_TIME, "{back:?}, seed {seed}");
                }
            }
        }
    }
}

/// Guards against a node that gives up its open connections because it gets no new ones.
#[test]
fn a_node_without_new_connections_uses_its_open_ones() {
    for seed in seeds(50) {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut load = Load::new(20);
        // A node that no leaf has ever answered has no open connections.
        load.run_until(LinkState::Lost, Duration::from_secs(1), &mut rng);
        load.way = Way::Refuses;
        let found = load.run_until(LinkState::NoNewConnections, SETTLE_TIME, &mut rng);
        assert!(found.is_some(), "seed {seed}");
    }
}

/// Guards against a link that counts as lost because leaves are down, paused or of a single shard that is dark for all nodes.
#[test]
fn leaves_that_are_down_are_not_a_lost_link() {
    for seed in seeds(50) {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut load = Load::new(20);
        for working in [LEAVES - 1, LEAVES / 2, LEAVES] {
            load.working = working;
            for state in [LinkState::Lost, LinkState::NoNewConnections] {
                let found = load.run_until(state, Duration::from_secs(10), &mut rng);
                assert_eq!(
                    found, None,
                    "{working} of {LEAVES} leaves work, seed {seed}"
                );
            }
        }
    }
}

/// Guards against a node that hands its requests over although its links to the other nodes are as late as those to the
/// leaves.
#[test]
fn a_node_that_reaches_no_other_node_either_keeps_its_requests() {
    let mut rng = Pcg64::seed_from_u64(1);
    let mut load = Load::new(20);
    load.way = Way::Hangs;
    load.peer_accepted = false;
    assert_eq!(load.run_until(LinkState::Lost, SETTLE_TIME, &mut rng), None);
    load.peer_accepted = true;
    assert!(
        load.run_until(LinkState::Lost, SETTLE_TIME, &mut rng)
            .is_some()
    );
}

fn helpers(count: usize) -> Vec<Helper> {
    let helper = |number| Helper {
        node: NodeId::from(format!("n{number}").as_str()),
        same_domain: number == 0,
        lag_ms: 0,
    };
    (0..count).map(helper).collect()
}

/// Replays nodes that have lost their links and hand 200 requests to three helpers. Guards against a helper that gets most of
/// them because it is near.
#[test]
fn requests_are_spread_over_the_helpers_by_their_room() {
    let mut rng = Pcg64::seed_from_u64(1);
    let mut load = HelperLoad::default();
    let mut counts = [0; 3];
    let mut running = Vec::new();
    for request in 0..200_usize {
        let node = load.choose(at(1_000), helpers(3), 1, &mut rng).unwrap();
        counts[node.as_str()[1..].parse::<usize>().unwrap()] += 1;
        load.start(&node);
        running.push(node);
        if request >= 12 {
            load.end(at(1_000), &running.remove(0), Handover::Answered);
        }
    }
    assert!(
        counts.iter().all(|count| (40..=110).contains(count)),
        "{counts:?}"
    );
}

/// Replays helpers that have no room. Guards against requests that go there all the same, unless they are the most urgent, and
/// against a helper that is avoided because of single rejections.
#[test]
fn helpers_without_room_get_urgent_requests_only() {
    let mut rng = Pcg64::seed_from_u64(1);
    let mut load = HelperLoad::default();
    let node = helpers(1).remove(0).node;
    let reject = |load: &mut HelperLoad, count| {
        for _ in 0..count {
            load.start(&node);
            load.end(at(1_000), &node, Handover::Rejected(Duration::from_secs(9)));
        }
    };
    reject(&mut load, 4);
    assert!(load.choose(at(1_000), helpers(1), 2, &mut rng).is_some());
    reject(&mut load, 1);
    assert!(load.choose(at(1_000), helpers(1), 2, &mut rng).is_none());
    assert!(load.choose(at(1_000), helpers(1), 0, &mut rng).is_some());
    assert!(load.choose(at(1_250), helpers(1), 2, &mut rng).is_some());
    load.end(at(1_250), &node, Handover::Unreachable);
    assert!(load.choose(at(1_300), helpers(1), 0, &mut rng).is_none());
}

/// Guards against requests without number that wait for helpers.
#[test]
fn the_number_of_requests_handed_over_is_bounded_by_urgency() {
    let mut rng = Pcg64::seed_from_u64(1);
    let mut admitted = [0; 3];
    for (priority, admitted) in admitted.iter_mut().enumerate() {
        let mut load = HelperLoad::default();
        while let Some(node) = load.choose(at(1_000), helpers(3), priority as u32, &mut rng) {
            load.start(&node);
            *admitted += 1;
        }
    }
    assert_eq!(admitted, [256, 128, 85]);
}
