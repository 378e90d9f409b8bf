use std::time::Duration;

use cranberrychute::core::{
    Time,
    crash::{Admission, CrashEvent, CrashGuard, CrashId, Fingerprint, Reachability, has_ended},
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use crate::{
    at,
    seeds::{run_schedule, seeds},
};

/// The users' bounds: later than `SETTLE_TIME` after a request has crashed its third leaf, it reaches at most
/// `MAX_LATE_SENDS` leaves.
const SETTLE_TIME: Duration = Duration::from_secs(4);
const MAX_LATE_SENDS: usize = 3;

const CRASHING: Fingerprint = Fingerprint(1);
const MAX_REPORTED: usize = 4;

/// How the crashing request is retried and which nodes hear of crashes.
struct Load {
    nodes: usize,
    /// Milliseconds between attempts of callers.
    interval: u64,
    /// Share of messages that are lost.
    loss: f64,
    /// Whether the other nodes are told directly, beside gossip.
    direct: bool,
}

/// Nodes that run a crashing request and tell each other of it.
struct Fleet {
    rng: Pcg64,
    guards: Vec<CrashGuard>,
    sends: Vec<Time>,
    next_id: u64,
}

impl Fleet {
    fn new(seed: u64, nodes: usize) -> Self {
        Self {
            rng: Pcg64::seed_from_u64(seed),
            guards: (0..nodes).map(|_| CrashGuard::default()).collect(),
            sends: Vec::new(),
            next_id: 0,
        }
    }

    /// Runs one attempt of a caller, with a second call if the first one is lost.
    fn attempt(&mut self, now: Time, node: usize, load: &Load) {
        for _ in 0..2 {
            let admission = self.guards[node].admit(now, CRASHING);
            let is_trial = admission == Admission::Trial;
            match admission {
                Admission::Normal => {}
                Admission::Trial => self.guards[node].start_trial(CRASHING),
                Admission::Wait(_) | Admission::Reject(_) => return,
            }
            self.sends.push(now);
            self.next_id += 1;
            let event = CrashEvent::new(CrashId(self.next_id), [CRASHING], is_trial);
            self.guards[node].record_crash(now, event);
            if is_trial {
                self.guards[node].end_trial(now, CRASHING, false);
                if load.direct {
                    let rumors = self.guards[node].rumors(now, MAX_REPORTED);
                    (0..load.nodes).for_each(|peer| self.deliver(now, peer, &rumors, load));
                }
            }
        }
    }

    fn deliver(&mut self, now: Time, peer: usize, rumors: &[CrashEvent], load: &Load) {
        if !self.rng.random_bool(load.loss) {
            for rumor in rumors {
                self.guards[peer].record_crash(now, rumor.clone());
            }
        }
    }

    /// Each node sends to one other node.
    fn gossip(&mut self, now: Time, load: &Load) {
        for node in 0..load.nodes {
            let rumors = self.guards[node].rumors(now, MAX_REPORTED);
            let peer = self.rng.random_range(0..load.nodes);
            self.deliver(now, peer, &rumors, load);
        }
    }

    fn late_sends(&self) -> usize {
        let third = self.sends.get(2);
        third.map_or(0, |third| {
            let late = |at: &&Time| **at > *third + SETTLE_TIME;
            self.sends.iter().filter(late).count()
        })
    }
}

/// Runs the load for `seconds` and returns the number of sends later than `SETTLE_TIME` after the third one.
fn late_sends(seed: u64, load: &Load, seconds: u64) -> usize {
    let mut fleet = Fleet::new(seed, load.nodes);
    for millis in (0..seconds * 1_000).step_by(10) {
        let now = at(1_000_000 + millis);
        if millis % 160 == 0 {
            fleet.gossip(now, load);
        }
        if millis % load.interval == 0 {
            let node = fleet.rng.random_range(0..load.nodes);
            fleet.attempt(now, node, load);
        }
    }
    fleet.late_sends()
}

/// Guards against a crashing request that comes four times a second to any node and is sent on and on, with lost messages.
#[test]
fn a_crashing_request_reaches_few_leaves_in_fleets_of_all_sizes() {
    for (nodes, schedules) in [(1, 1), (3, 50), (9, 50), (80, 20), (295, 5)] {
        let load = Load {
            nodes,
            interval: 250,
            loss: 0.2,
            direct: true,
        };
        for seed in seeds(schedules) {
            let late = run_schedule("decisions", seed, || late_sends(seed, &load, 30));
            assert!(
                late <= MAX_LATE_SENDS,
                "{late} late sends, {nodes} nodes, seed {seed}"
            );
        }
    }
}

/// Guards against crashes that are known to the node that saw them only, if no direct message arrives.
#[test]
fn gossip_alone_tells_a_small_fleet_in_time() {
    let load = Load {
        nodes: 9,
        interval: 250,
        loss: 0.05,
        direct: false,
    };
    for seed in seeds(50) {
        let late = run_schedule("decisions", seed, || late_sends(seed, &load, 30));
        assert!(late <= MAX_LATE_SENDS, "{late} late sends, seed {seed}");
    }
}

/// Guards against nodes that forget a crashing request when they restart, long after it was last sent.
#[test]
fn restarted_nodes_learn_of_a_crashing_request() {
    let load = Load {
        nodes: 9,
        interval: 1_000,
        loss: 0.05,
        direct: true,
    };
    for seed in seeds(20) {
        let mut fleet = Fleet::new(seed, load.nodes);
        let start = at(1_000_000);
        fleet.attempt(start, 0, &load);
        assert_eq!(fleet.sends.len(), 2);
        for round in 1..200 {
            let now = start + Duration::from_secs(2) * round;
            // A node that has started takes callers only after it has heard of the others.
            let node = fleet.rng.random_range(1..load.nodes);
            fleet.guards[node] = CrashGuard::default();
            let rumors = fleet.guards[0].rumors(now, MAX_REPORTED);
            fleet.deliver(now, node, &rumors, &Load { loss: 0.0, ..load });
            fleet.attempt(now, node, &load);
        }
        assert_eq!(fleet.sends.len(), 2, "seed {seed}");
    }
}

/// Guards against a content that is rejected after one crash, after any number of losses of one request, or although it has
/// been answered since.
#[test]
fn a_content_is_rejected_only_if_a_trial_crashes_its_leaf() {
    let mut guard = CrashGuard::default();
    let first = CrashEvent::new(CrashId(1), [CRASHING], false);
    for _ in 0..10 {
        // The parts of one request share the id of the crash.
        guard.record_crash(at(1_000), first.clone());
    }
    assert_eq!(guard.admit(at(1_000), CRASHING), Admission::Trial);
    guard.start_trial(CRASHING);
    assert!(matches!(
        guard.admit(at(1_001), CRASHING),
        Admission::Wait(_)
    ));
    guard.end_trial(at(1_010), CRASHING, false);
    assert_eq!(guard.admit(at(1_010), CRASHING), Admission::Trial);
    guard.start_trial(CRASHING);
    guard.end_trial(at(1_020), CRASHING, true);
    assert_eq!(guard.admit(at(1_020), CRASHING), Admission::Normal);

    guard.record_crash(at(2_000), CrashEvent::new(CrashId(2), [CRASHING], false));
    guard.record_crash(at(2_001), CrashEvent::new(CrashId(3), [CRASHING], true));
    let Admission::Reject(until) = guard.admit(at(2_002), CRASHING) else {
        panic!("not rejected");
    };
    assert_eq!(guard.admit(until, CRASHING), Admission::Normal);
    assert_eq!(guard.admit(at(2_002), Fingerprint(2)), Admission::Normal);
}

/// Guards against contents that are rejected because half of all leaves end at once, with all requests that they run.
#[test]
fn the_loss_of_many_leaves_rejects_no_content() {
    const CONTENTS: u128 = 1_000;
    let mut guard = CrashGuard::default();
    for content in 0..CONTENTS {
        let id = CrashId(content as u64);
        guard.record_crash(
            at(1_000),
            CrashEvent::new(id, [Fingerprint(content)], false),
        );
    }
    for content in (0..CONTENTS).map(Fingerprint) {
        assert_eq!(guard.admit(at(1_100), content), Admission::Trial);
        guard.start_trial(content);
        guard.end_trial(at(1_200), content, true);
        assert_eq!(guard.admit(at(1_200), content), Admission::Normal);
    }
    assert_eq!(guard.rejected_count(at(1_200)), 0);
}

/// Guards against a lost answer, or the loss of this node's own link, that is taken for the end of a leaf.
#[test]
fn only_a_refusal_beside_a_leaf_that_accepts_shows_the_end_of_a_leaf() {
    use Reachability::{Accepted, Refused, Unknown};
    assert!(has_ended(Refused, [Unknown, Refused, Accepted]));
    assert!(!has_ended(Refused, [Refused, Refused, Unknown]));
    assert!(!has_ended(Refused, []));
    assert!(!has_ended(Accepted, [Accepted]));
    assert!(!has_ended(Unknown, [Accepted]));
}

/// Guards against fields that run together, so that different requests have the same fingerprint.
#[test]
fn fingerprints_tell_fields_apart() {
    let of = |fields: &[&str]| Fingerprint::of_fields(fields.iter().map(|text| text.as_bytes()));
    assert_eq!(of(&["GET", "/a"]), of(&["GET", "/a"]));
    assert_ne!(of(&["GET", "/a"]), of(&["GET/", "a"]));
    assert_ne!(of(&["GET", "/a"]), of(&["GET", "/a", ""]));
}
