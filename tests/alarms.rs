//! Simulates a fleet of nodes and checks that alarms are raised only when an operator must act, once per cause, and
//! never during quiet hours.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use cranberrychute::core::{
    NodeId, ServiceName, Time,
    alarm::{AlarmSummary, Alarms, Cause, Notice, NoticeKind, Sample},
    config::ServicePolicy,
    rank,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const STEP_S: u64 = 5;
const HOUR_S: u64 = 3_600;
const SERVICE: &str = "parts";

struct Fleet {
    rng: Pcg64,
    /// Seconds since 1970, which starts at midnight UTC.
    wall: u64,
    nodes: BTreeMap<NodeId, Alarms>,
    /// Wall time at which each node's clock was zero, seconds; differs because the clock starts with the VM.
    clock_start: BTreeMap<NodeId, u64>,
    /// Nodes on the other side of a network partition.
    partitioned: Vec<NodeId>,
    /// Nodes whose process is paused.
    paused: Vec<NodeId>,
    services: BTreeMap<ServiceName, Arc<ServicePolicy>>,
    webhook_works: bool,
    /// Delivered notices with the wall time of their delivery.
    sent: Vec<(u64, Notice)>,
}

fn good_answer() -> Sample {
    answered(100, 1.0)
}

fn answered(millis: u64, coverage: f64) -> Sample {
    Sample::Answered {
        elapsed: Duration::from_millis(millis),
        coverage,
        deadline: None,
    }
}

impl Fleet {
    fn new(seed: u64, start_hour: u64) -> Self {
        // Quiet from 19:00 to 7:00 local time, which is 18:00 to 6:00 UTC.
        let policy = "deadline_ms = 400\nmax_deadline_ms = 400\nmax_top = 10\n[alarm]\nlatency_ms = 400\n\
            objective = 0.999\ncoverage = 0.8\nwebhook = \"http://10.0.0.9/alarm\"\n[alarm.quiet]\n\
            from_hour = 19\nto_hour = 7\nutc_offset = 60\n";
        let service = ServiceName::from(SERVICE);
        let policy = ServicePolicy::parse(&service, policy).expect("valid");
        let mut fleet = Self {
            rng: Pcg64::seed_from_u64(seed),
            wall: start_hour * HOUR_S,
            nodes: BTreeMap::new(),
            clock_start: BTreeMap::new(),
            partitioned: Vec::new(),
            paused: Vec::new(),
            services: BTreeMap::from([(service, Arc::new(policy))]),
            webhook_works: true,
            sent: Vec::new(),
        };
        for n in 0..5 {
            fleet.start(n);
        }
        fleet.run(60, |_, _| good_answer());
        fleet
    }

    fn start(&mut self, n: usize) {
        let id = NodeId::from(format!("vm-{n}"));
        let clock_start = self.wall - self.rng.random_range(0..3_000).min(self.wall);
        self.clock_start.insert(id.clone(), clock_start);
        let alarms = Alarms::new(id.clone(), self.now(&id));
        self.nodes.insert(id, alarms);
    }

    fn now(&self, node: &NodeId) -> Time {
        Time::from_millis((self.wall - self.clock_start[node]) * 1_000)
    }

    /// Advances the time; `answer` returns the result of a query by node and random number.
    fn run(&mut self, seconds: u64, answer: impl Fn(&NodeId, f64) -> Sample) {
        let service = ServiceName::from(SERVICE);
        let policy = self.services[&service].alarm.clone().expect("alarms");
        for _ in 0..seconds / STEP_S {
            self.wall += STEP_S;
            let running = |id: &&NodeId| !self.paused.contains(id);
            let ids: Vec<NodeId> = self.nodes.keys().filter(running).cloned().collect();
            let mut messages = Vec::new();
            for id in &ids {
                let now = self.now(id);
                let same_side = |other: &&NodeId| {
                    self.partitioned.contains(other) == self.partitioned.contains(id)
                };
                let alive: Vec<NodeId> = ids.iter().filter(same_side).cloned().collect();
                let draws: Vec<f64> = (0..10).map(|_| self.rng.random()).collect();
                let peer = alive[self.rng.random_range(0..alive.len())].clone();
                let (lost, pick) = (self.rng.random_bool(0.1), self.rng.random());
                let alarms = self.nodes.get_mut(id).expect("running");
                for draw in draws {
                    alarms.record(now, &service, &policy, answer(id, draw));
                }
                let mut out = Vec::new();
                let wall = Duration::from_secs(self.wall);
                alarms.tick(now, wall, &alive, &self.services, &mut out);
                if self.webhook_works {
                    out.iter()
                        .for_each(|notice| alarms.mark_delivered(now, notice));
                    self.sent
                        .extend(out.into_iter().map(|notice| (self.wall, notice)));
                }
                if !lost && peer != *id {
                    messages.push((peer, alarms.summaries(now, pick)));
                }
            }
            for (peer, summaries) in messages {
                let now = self.now(&peer);
                self.nodes
                    .get_mut(&peer)
                    .expect("running")
                    .merge(now, summaries);
            }
        }
    }

    fn count(&self) -> usize {
        self.sent.len()
    }

    fn sender(&self, key: &str) -> NodeId {
        rank(key, self.nodes.keys().cloned().collect())[0].clone()
    }
}

/// Guards against alarms for faults that heal on their own: lost VMs, planned exits, and short partitions or outages.
#[test]
fn self_healing_faults_raise_no_alarm() {
    for seed in 0..2 {
        let mut fleet = Fleet::new(seed, 12);
        // Quiet hours are disabled, because they would hold alarms back.
        for policy in fleet.services.values_mut() {
            Arc::make_mut(policy).alarm.as_mut().expect("alarms").quiet = None;
        }
        while fleet.wall < 22 * HOUR_S {
            let n = fleet.rng.random_range(0..5);
            let length = STEP_S * fleet.rng.random_range(1..=5);
            match fleet.rng.random_range(0..4) {
                0 => fleet.start(n),
                1 => fleet.partitioned.push(format!("vm-{n}").into()),
                _ => {}
            }
            let bad = [answered(400, 0.5), answered(900, 1.0), Sample::Failed];
            let bad = bad[fleet.rng.random_range(0..3)];
            fleet.run(length, |_, _| bad);
            fleet.partitioned.clear();
            let pause = STEP_S * fleet.rng.random_range(20..120);
            fleet.run(
                pause,
                |_, draw| if draw < 0.0005 { bad } else { good_answer() },
            );
        }
        assert_eq!(fleet.sent, [], "seed {seed}");
        let known = fleet
            .nodes
            .values()
            .map(|node| node.states(Time::default()).len());
        assert_eq!(known.sum::<usize>(), 0, "seed {seed}: no cause is recorded");
    }
}

/// Guards against a cause observed by a single node that is not reported, and against one alarm per node.
#[test]
fn low_coverage_raises_one_alarm_for_the_fleet() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(seed, 7);
        let observer = fleet
            .nodes
            .keys()
            .nth(seed as usize)
            .expect("five nodes")
            .clone();
        let start = fleet.wall;
        fleet.run(HOUR_S, |node, draw| {
            let all = seed % 2 == 0;
            if draw < 0.05 && (all || *node == observer) {
                answered(300, 0.7)
            } else {
                good_answer()
            }
        });
        assert_eq!(fleet.count(), 1, "seed {seed}: {:?}", fleet.sent);
        let (at, notice) = &fleet.sent[0];
        assert!(at - start < 300, "seed {seed}: after {} s", at - start);
        let alarm = &notice.alarms[0];
        assert_eq!((notice.kind, alarm.healed), (NoticeKind::Alarm, false));
        assert!(alarm.since.starts_with("1970-01-01T07:0"), "{alarm:?}");
        assert!(
            alarm.fails.contains("below 0.8") && alarm.whom.contains(SERVICE),
            "{alarm:?}"
        );
        assert!(alarm.action.contains("docs/alarms.md"), "{alarm:?}");
        fleet.run(4 * HOUR_S, |_, draw| {
            if draw < 0.05 {
                answered(300, 0.7)
            } else {
                good_answer()
            }
        });
        assert_eq!(fleet.count(), 2, "seed {seed}: repeated once after 4 h");
        fleet.run(150, |_, _| good_answer());
        let active = fleet
            .nodes
            .iter()
            .flat_map(|(id, node)| node.states(fleet.now(id)));
        assert!(
            active.into_iter().all(|state| !state.active),
            "seed {seed}: a cause is still active after the incident"
        );
    }
}

/// Guards against alarms during quiet hours, and against a morning report that omits causes from them.
#[test]
fn quiet_hours_hold_alarms_back_until_the_morning() {
    for seed in 0..3 {
        let mut fleet = Fleet::new(seed, 18);
        fleet.run(HOUR_S, |_, _| answered(900, 1.0));
        fleet.run(9 * HOUR_S, |_, _| good_answer());
        // All VMs are replaced before the quiet hours end, so the held alarm must be gossiped to the new ones.
        for n in 0..5 {
            fleet.start(n);
            fleet.run(120, |_, _| good_answer());
        }
        fleet.run(2 * HOUR_S - 665, |_, _| answered(100, 0.5));
        assert_eq!(fleet.count(), 0, "seed {seed}: {:?}", fleet.sent);
        // With even seeds the sender of the report is paused when the quiet hours end.
        if seed % 2 == 0 {
            let sender = fleet.sender("morning report/http://10.0.0.9/alarm");
            fleet.paused.push(sender);
        }
        fleet.run(600, |_, _| answered(100, 0.5));
        fleet.paused.clear();
        fleet.run(HOUR_S, |_, _| answered(100, 0.5));
        assert_eq!(fleet.count(), 1, "seed {seed}: {:?}", fleet.sent);
        let (at, report) = &fleet.sent[0];
        assert!(
            *at < 30 * HOUR_S + 120 && report.kind == NoticeKind::MorningReport,
            "{report:?}"
        );
        let listed = report
            .alarms
            .iter()
            .map(|alarm| (alarm.name.as_str(), alarm.healed));
        let listed: Vec<_> = listed.collect();
        assert_eq!(
            listed,
            [("latency/parts", true), ("coverage/parts", false)],
            "seed {seed}"
        );
        assert!(
            report.alarms[0].since.starts_with("1970-01-01T18:0"),
            "{report:?}"
        );
    }
}

/// Guards against alarms lost when their sender fails, and against duplicates sent by its successor.
#[test]
fn successor_sends_only_alarms_not_sent_before() {
    let low_coverage = |_: &NodeId, _: f64| answered(100, 0.5);
    for seed in 0..5 {
        let mut fleet = Fleet::new(seed, 7);
        fleet.webhook_works = false;
        fleet.run(300, low_coverage);
        let first = fleet.sender("coverage/parts");
        fleet.nodes.remove(&first);
        fleet.webhook_works = true;
        fleet.run(300, low_coverage);
        assert_eq!(fleet.count(), 1, "seed {seed}");
        let second = fleet.sent[0].1.node.clone();
        assert_eq!(second, fleet.sender("coverage/parts"), "seed {seed}");
        fleet.nodes.remove(&second);
        fleet.start(7);
        fleet.run(3 * HOUR_S, low_coverage);
        assert_eq!(fleet.count(), 1, "seed {seed}: {:?}", fleet.sent);
    }
}

/// Guards against more than one alarm per side of a network partition, and against duplicates after it has healed.
#[test]
fn partition_raises_at_most_one_alarm_per_side() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(seed, 7);
        fleet.partitioned = (0..2).map(|n| NodeId::from(format!("vm-{n}"))).collect();
        fleet.run(HOUR_S, |_, _| Sample::Failed);
        assert_eq!(fleet.count(), 2, "seed {seed}: {:?}", fleet.sent);
        fleet.partitioned.clear();
        fleet.run(2 * HOUR_S, |_, _| Sample::Failed);
        assert_eq!(
            fleet.count(),
            2,
            "seed {seed}: no alarm is repeated after the partition has healed"
        );
    }
}

/// Guards against alarms for callers' deadlines below the latency objective, and for a share of bad answers that the
/// objective allows.
#[test]
fn answers_within_objectives_raise_no_alarm() {
    let mut fleet = Fleet::new(1, 7);
    fleet.run(HOUR_S, |_, draw| match draw {
        0.0..0.002 => answered(900, 0.5),
        0.5..1.0 => Sample::Answered {
            elapsed: Duration::from_millis(50),
            coverage: 0.1,
            deadline: Some(Duration::from_millis(50)),
        },
        _ => good_answer(),
    });
    assert_eq!(fleet.sent, []);
}

/// Guards against rejections that are not reported or never end, and against causes that grow without bound in memory
/// and in messages.
#[test]
fn rejections_and_violations_are_reported_and_bounded() {
    let mut fleet = Fleet::new(2, 7);
    let ids: Vec<NodeId> = fleet.nodes.keys().cloned().collect();
    for id in &ids {
        let now = fleet.now(id);
        let node = fleet.nodes.get_mut(id).expect("running");
        node.config_rejected(now, "domains");
        node.config_rejected(now, "map/parts/1");
    }
    let now = fleet.now(&ids[3]);
    fleet
        .nodes
        .get_mut(&ids[3])
        .expect("running")
        .record_violations(now, 3);
    fleet.run(HOUR_S, |_, _| good_answer());
    let mut names: Vec<_> = fleet
        .sent
        .iter()
        .map(|(_, notice)| &notice.alarms[0].name)
        .collect();
    names.sort();
    assert_eq!(
        names,
        [
            "configuration/domains",
            "configuration/map/parts/1",
            "invariant"
        ]
    );
    for id in &ids {
        fleet
            .nodes
            .get_mut(id)
            .expect("running")
            .config_accepted("domains");
    }
    fleet.run(150, |_, _| good_answer());
    let now = fleet.now(&ids[0]);
    let node = fleet.nodes.get_mut(&ids[0]).expect("running");
    let active = node.states(now).into_iter().filter(|state| state.active);
    let active: Vec<_> = active.map(|state| state.cause).collect();
    assert_eq!(active, ["configuration/map/parts/1"]);
    for n in 0..100 {
        node.config_rejected(now, &format!("{}{n:03}", "é".repeat(30)));
    }
    assert_eq!((node.states(now).len(), node.dropped() > 0), (32, true));
    let summaries = node.summaries(now + Duration::from_secs(5_000_000), 31);
    let size = postcard::to_allocvec(&summaries).expect("encoded").len();
    assert!(summaries.len() == 2 && size < 200, "{size} bytes");
}

/// Guards against merges that drop a delivery mark or reduce the age of an observation.
#[test]
fn merge_keeps_the_later_delivery_and_the_ages() {
    let cause = Cause::Invariant;
    let known = AlarmSummary {
        cause,
        since: 90_000,
        seen: 10_000,
        share: 5,
        sent: None,
        held: true,
    };
    let reported = AlarmSummary {
        since: 95_000,
        seen: 9_000,
        sent: Some(1_000),
        held: false,
        ..known.clone()
    };
    let expected = AlarmSummary {
        since: 95_000,
        sent: Some(1_000),
        held: false,
        ..known.clone()
    };
    let mut merged = known.clone();
    merged.merge(&reported);
    assert_eq!(merged, expected);
    merged.merge(&known);
    assert_eq!(merged, expected, "an older summary changes nothing");
}
