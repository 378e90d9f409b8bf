//! Alarms over a fleet of cores: raised only when a person must act, once per cause, never in quiet hours.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use cranberrychute::core::{
    NodeId, ServiceName, Time,
    alarm::{AlarmSummary, Alarms, Cause, Notice, NoticeKind, Sample},
    config::ServicePolicy,
    rank,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const STEP: u64 = 5;
const HOUR: u64 = 3_600;
const SERVICE: &str = "parts";

struct Fleet {
    rng: Pcg64,
    /// Seconds since 1970, which starts at midnight UTC.
    wall: u64,
    nodes: BTreeMap<NodeId, Alarms>,
    /// When each node's clock was zero; fresh VMs have young clocks.
    boot: BTreeMap<NodeId, u64>,
    /// Nodes on the other side of a network partition.
    cut: Vec<NodeId>,
    /// Nodes whose process is paused.
    paused: Vec<NodeId>,
    services: BTreeMap<ServiceName, Arc<ServicePolicy>>,
    webhook: bool,
    sent: Vec<(u64, Notice)>,
}

fn good() -> Sample {
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
            wall: start_hour * HOUR,
            nodes: BTreeMap::new(),
            boot: BTreeMap::new(),
            cut: Vec::new(),
            paused: Vec::new(),
            services: BTreeMap::from([(service, Arc::new(policy))]),
            webhook: true,
            sent: Vec::new(),
        };
        for n in 0..5 {
            fleet.start(n);
        }
        fleet.run(60, |_, _| good());
        fleet
    }

    fn start(&mut self, n: usize) {
        let id = NodeId::from(format!("vm-{n}"));
        let boot = self.wall - self.rng.random_range(0..3_000).min(self.wall);
        self.boot.insert(id.clone(), boot);
        let alarms = Alarms::new(id.clone(), self.now(&id));
        self.nodes.insert(id, alarms);
    }

    fn now(&self, node: &NodeId) -> Time {
        Time::from_millis((self.wall - self.boot[node]) * 1_000)
    }

    /// Lets time pass; `answer` gives the answers that the callers of a node get, by node and random number.
    fn run(&mut self, seconds: u64, answer: impl Fn(&NodeId, f64) -> Sample) {
        let service = ServiceName::from(SERVICE);
        let policy = self.services[&service].alarm.clone().expect("alarms");
        for _ in 0..seconds / STEP {
            self.wall += STEP;
            let running = |id: &&NodeId| !self.paused.contains(id);
            let ids: Vec<NodeId> = self.nodes.keys().filter(running).cloned().collect();
            let mut messages = Vec::new();
            for id in &ids {
                let now = self.now(id);
                let near = |other: &&NodeId| self.cut.contains(other) == self.cut.contains(id);
                let alive: Vec<NodeId> = ids.iter().filter(near).cloned().collect();
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
                if self.webhook {
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

/// Guards against alarms for what heals itself: lost VMs, planned exits, short partitions and short shortfalls.
#[test]
fn night_of_self_healing_faults_raises_none() {
    for seed in 0..2 {
        let mut fleet = Fleet::new(seed, 12);
        // Without quiet hours, so that nothing is merely held back.
        for policy in fleet.services.values_mut() {
            Arc::make_mut(policy).alarm.as_mut().expect("alarms").quiet = None;
        }
        while fleet.wall < 22 * HOUR {
            let n = fleet.rng.random_range(0..5);
            let length = STEP * fleet.rng.random_range(1..=5);
            match fleet.rng.random_range(0..4) {
                0 => fleet.start(n),
                1 => fleet.cut.push(format!("vm-{n}").into()),
                _ => {}
            }
            let bad = [answered(400, 0.5), answered(900, 1.0), Sample::Failed];
            let bad = bad[fleet.rng.random_range(0..3)];
            fleet.run(length, |_, _| bad);
            fleet.cut.clear();
            let pause = STEP * fleet.rng.random_range(20..120);
            fleet.run(pause, |_, draw| if draw < 0.0005 { bad } else { good() });
        }
        assert_eq!(fleet.sent, [], "seed {seed}");
        let known = fleet
            .nodes
            .values()
            .map(|node| node.states(Time::default()).len());
        assert_eq!(
            known.sum::<usize>(),
            0,
            "seed {seed}: nothing is kept for the morning either"
        );
    }
}

/// Guards against a shortfall that one node sees and nobody hears of, or everybody sends.
#[test]
fn shortfall_raises_one_alarm_for_the_fleet() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(seed, 7);
        let one = fleet
            .nodes
            .keys()
            .nth(seed as usize)
            .expect("five nodes")
            .clone();
        let start = fleet.wall;
        fleet.run(HOUR, |node, draw| {
            let all = seed % 2 == 0;
            if draw < 0.05 && (all || *node == one) {
                answered(300, 0.7)
            } else {
                good()
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
        fleet.run(4 * HOUR, |_, draw| {
            if draw < 0.05 {
                answered(300, 0.7)
            } else {
                good()
            }
        });
        assert_eq!(fleet.count(), 2, "seed {seed}: repeated once after 4 h");
        fleet.run(150, |_, _| good());
        let active = fleet
            .nodes
            .iter()
            .flat_map(|(id, node)| node.states(fleet.now(id)));
        assert!(
            active.into_iter().all(|state| !state.active),
            "seed {seed}: a past incident still burns"
        );
    }
}

/// Guards against calls at night, and against a morning that does not hear of what happened at night.
#[test]
fn quiet_hours_hold_alarms_back_until_the_morning() {
    for seed in 0..3 {
        let mut fleet = Fleet::new(seed, 18);
        fleet.run(HOUR, |_, _| answered(900, 1.0));
        fleet.run(9 * HOUR, |_, _| good());
        // The VMs of the evening are all replaced before the morning.
        for n in 0..5 {
            fleet.start(n);
            fleet.run(120, |_, _| good());
        }
        fleet.run(2 * HOUR - 665, |_, _| answered(100, 0.5));
        assert_eq!(fleet.count(), 0, "seed {seed}: {:?}", fleet.sent);
        // The sender of the report is paused over the end of the quiet hours in every other run.
        if seed % 2 == 0 {
            let sender = fleet.sender("morning report/http://10.0.0.9/alarm");
            fleet.paused.push(sender);
        }
        fleet.run(600, |_, _| answered(100, 0.5));
        fleet.paused.clear();
        fleet.run(HOUR, |_, _| answered(100, 0.5));
        assert_eq!(fleet.count(), 1, "seed {seed}: {:?}", fleet.sent);
        let (at, report) = &fleet.sent[0];
        assert!(
            *at < 30 * HOUR + 120 && report.kind == NoticeKind::MorningReport,
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

/// Guards against an alarm that is lost with its sender, and against one that its successor sends again.
#[test]
fn successor_sends_only_what_was_not_sent() {
    let short = |_: &NodeId, _: f64| answered(100, 0.5);
    for seed in 0..5 {
        let mut fleet = Fleet::new(seed, 7);
        fleet.webhook = false;
        fleet.run(300, short);
        let first = fleet.sender("coverage/parts");
        fleet.nodes.remove(&first);
        fleet.webhook = true;
        fleet.run(300, short);
        assert_eq!(fleet.count(), 1, "seed {seed}");
        let second = fleet.sent[0].1.node.clone();
        assert_eq!(second, fleet.sender("coverage/parts"), "seed {seed}");
        fleet.nodes.remove(&second);
        fleet.start(7);
        fleet.run(3 * HOUR, short);
        assert_eq!(fleet.count(), 1, "seed {seed}: {:?}", fleet.sent);
    }
}

/// Guards against one alarm per node while a network partition splits the fleet.
#[test]
fn partition_raises_one_per_side_at_most() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(seed, 7);
        fleet.cut = (0..2).map(|n| NodeId::from(format!("vm-{n}"))).collect();
        fleet.run(HOUR, |_, _| Sample::Failed);
        assert_eq!(fleet.count(), 2, "seed {seed}: {:?}", fleet.sent);
        fleet.cut.clear();
        fleet.run(2 * HOUR, |_, _| Sample::Failed);
        assert_eq!(
            fleet.count(),
            2,
            "seed {seed}: the healed partition sends nothing again"
        );
    }
}

/// Guards against callers' own short deadlines and rates within the objective that count as the system's fault.
#[test]
fn only_broken_promises_count() {
    let mut fleet = Fleet::new(1, 7);
    fleet.run(HOUR, |_, draw| match draw {
        0.0..0.002 => answered(900, 0.5),
        0.5..1.0 => Sample::Answered {
            elapsed: Duration::from_millis(50),
            coverage: 0.1,
            deadline: Some(Duration::from_millis(50)),
        },
        _ => good(),
    });
    assert_eq!(fleet.sent, []);
}

/// Guards against rejections that are not reported, never end, or grow without bound in memory and messages.
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
    fleet.run(HOUR, |_, _| good());
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
    fleet.run(150, |_, _| good());
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

/// Guards against a delivery mark that a merge loses, and sights that merges make younger.
#[test]
fn merge_keeps_the_delivery_and_the_age() {
    let cause = Cause::Invariant;
    let known = AlarmSummary {
        cause,
        since: 90_000,
        seen: 10_000,
        share: 5,
        sent: None,
        held: true,
    };
    let told = AlarmSummary {
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
    merged.merge(&told);
    assert_eq!(merged, expected);
    merged.merge(&known);
    assert_eq!(merged, expected, "an older summary changes nothing");
}
