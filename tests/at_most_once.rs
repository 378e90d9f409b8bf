//! Randomized schedules of callers that resend at-most-once requests to any node, checked against the runs counted on
//! the leaves.
//!
//! `SCHEDULES=n` runs n schedules, `SEED=s` runs only the schedule with that seed.

mod seeds;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, UNIX_EPOCH},
};

use assert_matches::assert_matches;
use cranberrychute::core::{
    FleetKey, Incarnation, NodeId, ServiceName, ShardId, SnapshotId, Time,
    call::{Failure, NotRun, Outcome},
    config::{DomainList, ServiceMap, ServicePolicy},
    invariant,
    once::*,
    query::*,
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// Locked by tests that count invariant violations, because the counter is global to the process.
static VIOLATION_COUNT_LOCK: Mutex<()> = Mutex::new(());

const DEFAULT_SCHEDULES: u64 = 2_000;
const NODES: usize = 3;
const REQUESTS: usize = 6;
const MAX_COPIES: u32 = 5;
const SECOND_US: u64 = 1_000_000;
/// Maximum number of keys in the table of one node; small, so that schedules reach the limit.
const MAX_KEYS: usize = 4;
const POLICY: &str = r#"{"deadline_ms": 2000, "max_deadline_ms": 9000, "max_top": 100}"#;
const MAP: &str = r#"{
    "snapshots": [{"id": 1, "state": "serving", "shards": [
        {"shard": 0, "leaves": ["a:1", "b:1"]}, {"shard": 1, "leaves": ["a:2", "b:2"]}]}],
    "leaves": {
        "a:1": {"domain": "a", "slots": 2, "connections": 4},
        "a:2": {"domain": "a", "slots": 2, "connections": 4},
        "b:1": {"domain": "b", "slots": 2, "connections": 4},
        "b:2": {"domain": "b", "slots": 2, "connections": 4}}}"#;

struct FixedVerdict(Verdict);

impl CrashView for FixedVerdict {
    fn verdict(&self, _: Time, _: &ServiceName, _: &str) -> Verdict {
        self.0
    }
}

fn fleet_key() -> FleetKey {
    FleetKey::new([1; 32])
}

fn table(node: usize, incarnation: u64, max_keys: usize) -> KeyTable {
    let settings = KeySettings {
        max_keys,
        ..KeySettings::default()
    };
    let id = NodeId::from(node.to_string());
    KeyTable::new(id, Incarnation(incarnation), fleet_key(), settings)
}

/// A node with its key table, and the plans and waiting copies of its running requests.
struct Node {
    table: KeyTable,
    incarnation: u64,
    /// Offset of the node's clock from the simulated time.
    clock_offset: Duration,
    paused_until: Time,
    running: BTreeMap<u64, (usize, QueryPlan)>,
    waiting: BTreeMap<u64, Vec<usize>>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A node issues the key of a request.
    Issue(usize),
    /// A copy of a request with its body arrives.
    Copy(usize, u8),
    /// A leaf receives a call of a request from an incarnation of a node.
    Execute(usize, u64, u64, CallId, ShardId),
    /// A reply arrives at an incarnation of a node for a running request: incarnation, serial number, call, shard and
    /// answer.
    Reply(u64, u64, CallId, ShardId, Option<bool>),
    /// The timer of a plan expires: incarnation and serial number.
    Timer(u64, u64),
    Kill,
    /// A node is paused for a number of microseconds.
    Pause(u64),
}

#[derive(Default)]
struct Request {
    key: Option<String>,
    issuer: usize,
    runs: BTreeMap<ShardId, u32>,
    bodies: BTreeSet<u8>,
    outcomes: Vec<OnceOutcome>,
}

struct Simulation {
    rng: Pcg64,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, usize, Event)>>,
    order: u64,
    nodes: Vec<Node>,
    requests: Vec<Request>,
    policy: Arc<ServicePolicy>,
    map: Arc<ServiceMap>,
    health: LeafHealth,
    budget: ExtraCallBudget,
    reached_cases: BTreeSet<&'static str>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let node = |number| Node {
            table: table(number, 0, MAX_KEYS),
            incarnation: 0,
            clock_offset: Duration::from_secs(number as u64 * 1_000),
            paused_until: Time(0),
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
        };
        let mut simulation = Self {
            now: Time(0),
            events: BinaryHeap::new(),
            order: 0,
            nodes: (0..NODES).map(node).collect(),
            requests: (0..REQUESTS).map(|_| Request::default()).collect(),
            policy: Arc::new(serde_json::from_str(POLICY).expect("policy is valid")),
            map: Arc::new(serde_json::from_str(MAP).expect("map is valid")),
            health: LeafHealth::default(),
            budget: ExtraCallBudget::new(),
            reached_cases: BTreeSet::new(),
            rng: Pcg64::seed_from_u64(seed ^ 1),
        };
        for request in 0..REQUESTS {
            let node = rng.random_range(0..NODES);
            simulation.schedule(
                rng.random_range(0..40 * SECOND_US),
                node,
                Event::Issue(request),
            );
        }
        for _ in 0..rng.random_range(0..4) {
            let (at, node) = (
                rng.random_range(0..60 * SECOND_US),
                rng.random_range(0..NODES),
            );
            let event = match rng.random_bool(0.5) {
                true => Event::Kill,
                false => Event::Pause(rng.random_range(0..40 * SECOND_US)),
            };
            simulation.schedule(at, node, event);
        }
        simulation
    }

    fn schedule(&mut self, micros: u64, node: usize, event: Event) {
        self.order += 1;
        let at = self.now + Duration::from_micros(micros);
        self.events.push(Reverse((at, self.order, node, event)));
    }

    fn run(mut self) -> BTreeSet<&'static str> {
        while let Some(Reverse((at, _, node, event))) = self.events.pop() {
            self.now = at;
            let paused_until = self.nodes[node].paused_until;
            let on_leaf = matches!(event, Event::Execute(..));
            if paused_until > at && !on_leaf && event != Event::Kill {
                self.schedule(paused_until.since(at).as_micros() as u64, node, event);
                continue;
            }
            let incarnation = self.nodes[node].incarnation;
            match event {
                Event::Issue(request) => self.issue(node, request),
                Event::Copy(request, body) => self.copy(node, request, body),
                Event::Execute(request, from, serial, call, shard) => {
                    self.execute(node, request, (from, serial, call), shard);
                }
                Event::Reply(from, serial, call, shard, answer) if from == incarnation => {
                    self.reply(node, serial, (call, shard), answer);
                }
                Event::Timer(from, serial) if from == incarnation => {
                    self.step_plan(node, serial, |plan, now, context, out| {
                        plan.on_timer(now, context, out)
                    });
                }
                Event::Reply(..) | Event::Timer(..) => {}
                Event::Kill => self.kill(node),
                Event::Pause(micros) => {
                    self.nodes[node].paused_until = at + Duration::from_micros(micros)
                }
            }
            self.check();
        }
        self.reached_cases
    }

    /// Checks the outcomes returned to callers against the runs so far.
    fn check(&self) {
        for request in &self.requests {
            assert!(
                request.runs.values().all(|count| *count == 1),
                "request ran more than once on a shard"
            );
            assert!(
                request.bodies.len() <= 1,
                "one key started requests with two bodies"
            );
            let not_run = request
                .outcomes
                .iter()
                .any(|outcome| outcome.run == RunOutcome::NotRun);
            assert!(
                !not_run || request.runs.is_empty(),
                "outcome is \"not run\", but the request ran"
            );
            assert!(
                request.outcomes.windows(2).all(|pair| pair[0] == pair[1]),
                "copies of one request got different outcomes"
            );
        }
        assert!(self.nodes.iter().all(|node| node.table.len() <= MAX_KEYS));
    }

    fn kill(&mut self, node: usize) {
        let (killed, incarnation) = (&mut self.nodes[node], self.rng.random());
        killed.table = table(node, incarnation, MAX_KEYS);
        (killed.incarnation, killed.paused_until) = (incarnation, Time(0));
        killed.running.clear();
        killed.waiting.clear();
    }

    fn issue(&mut self, node: usize, request: usize) {
        let issuer = &mut self.nodes[node];
        let Ok(key) = issuer
            .table
            .issue(self.now + issuer.clock_offset, UNIX_EPOCH)
        else {
            self.reached_cases.insert("full");
            return;
        };
        self.requests[request].key = Some(issuer.table.encode(&key));
        self.requests[request].issuer = node;
        for copy in 0..self.rng.random_range(1..=MAX_COPIES) {
            let body = u8::from(copy > 0 && self.rng.random_bool(0.1));
            let max_delay = if self.rng.random_bool(0.2) { 45 } else { 4 };
            let (delay, to) = (
                self.rng.random_range(0..max_delay * SECOND_US),
                self.rng.random_range(0..NODES),
            );
            self.schedule(delay, to, Event::Copy(request, body));
        }
    }

    fn copy(&mut self, node: usize, request: usize, body: u8) {
        let key = self.requests[request].key.clone().expect("key was issued");
        let this_node = &mut self.nodes[node];
        match this_node
            .table
            .begin(self.now + this_node.clock_offset, &key, [body; 32])
        {
            OnceAction::Run { serial } => self.start(node, serial, request, body),
            OnceAction::Attach { serial } => {
                self.reached_cases.insert("attach");
                assert!(
                    self.requests[request].bodies.contains(&body),
                    "copy got the outcome of a request with another body"
                );
                let waiting = this_node.waiting.get_mut(&serial);
                waiting.expect("no copy is running").push(request);
            }
            OnceAction::Replay(outcome) => {
                self.reached_cases.insert("replay");
                assert!(
                    self.requests[request].bodies.contains(&body),
                    "copy got the outcome of a request with another body"
                );
                self.requests[request].outcomes.push(outcome);
            }
            OnceAction::Forward { node: issuer, .. } => {
                assert_eq!(issuer.as_str(), self.requests[request].issuer.to_string());
                let (to, delay) = (
                    self.requests[request].issuer,
                    self.rng.random_range(0..SECOND_US),
                );
                self.schedule(delay, to, Event::Copy(request, body));
            }
            OnceAction::Unknown => drop(self.reached_cases.insert("restarted")),
            OnceAction::Error(error) => {
                assert!(!error.not_run(), "error \"{error}\" says \"not run\"");
                assert_matches!(error, OnceError::Expired | OnceError::BodyMismatch);
                self.reached_cases.insert("rejected");
            }
        }
    }

    fn start(&mut self, node: usize, serial: u64, request: usize, body: u8) {
        self.nodes[node].waiting.insert(serial, vec![request]);
        self.requests[request].bodies.insert(body);
        if self.rng.random_bool(0.1) {
            return self.finish(node, serial, OnceOutcome::not_run("the node is isolated"));
        }
        let query = Query {
            request: format!("{request}").into(),
            service: "orders".into(),
            text: format!("order {body}").into(),
            top: 1,
            deadline: None,
        };
        let mut out = Vec::new();
        let verdict = [Verdict::Known, Verdict::Fresh][self.rng.random_range(0..2)];
        let now = self.now + self.nodes[node].clock_offset;
        let mut context = Context {
            policy: &self.policy,
            map: &self.map,
            domains: &DomainList::default(),
            health: &mut self.health,
            budget: &mut self.budget,
            crash: &FixedVerdict(verdict),
            rng: &mut self.rng,
        };
        let plan = QueryPlan::start_once(now, query, &mut context, &mut out).expect("plan starts");
        self.nodes[node].running.insert(serial, (request, plan));
        self.apply_actions(node, serial, out);
    }

    fn step_plan(
        &mut self,
        node: usize,
        serial: u64,
        input: impl FnOnce(&mut QueryPlan, Time, &mut Context<'_, FixedVerdict>, &mut Vec<QueryAction>),
    ) {
        let this_node = &mut self.nodes[node];
        let Some((_, plan)) = this_node.running.get_mut(&serial) else {
            return;
        };
        let mut out = Vec::new();
        let mut context = Context {
            policy: &self.policy,
            map: &self.map,
            domains: &DomainList::default(),
            health: &mut self.health,
            budget: &mut self.budget,
            crash: &FixedVerdict(Verdict::Fresh),
            rng: &mut self.rng,
        };
        input(
            plan,
            self.now + this_node.clock_offset,
            &mut context,
            &mut out,
        );
        self.apply_actions(node, serial, out);
    }

    fn apply_actions(&mut self, node: usize, serial: u64, out: Vec<QueryAction>) {
        let (now, incarnation) = (
            self.now + self.nodes[node].clock_offset,
            self.nodes[node].incarnation,
        );
        let request = self.nodes[node].running[&serial].0;
        for action in out {
            match action {
                QueryAction::Send {
                    call, leaf_call, ..
                } => {
                    let delay = self.rng.random_range(0..SECOND_US);
                    let event = Event::Execute(request, incarnation, serial, call, leaf_call.shard);
                    self.schedule(delay, node, event);
                }
                QueryAction::Cancel(_) => {}
                QueryAction::SetTimer(at) => {
                    let delay = at.since(now).as_micros() as u64;
                    self.schedule(delay, node, Event::Timer(incarnation, serial));
                }
                QueryAction::Finish(answer) => {
                    self.finish(node, serial, OnceOutcome::answered(Arc::new(answer)));
                }
            }
        }
    }

    fn finish(&mut self, node: usize, serial: u64, outcome: OnceOutcome) {
        let this_node = &mut self.nodes[node];
        this_node.running.remove(&serial);
        let outcome = this_node
            .table
            .finish(self.now + this_node.clock_offset, serial, outcome);
        self.reached_cases.insert(match outcome.run {
            RunOutcome::Done => "done",
            RunOutcome::NotRun => "not run",
            RunOutcome::Unknown => "unknown",
        });
        for request in this_node
            .waiting
            .remove(&serial)
            .expect("request has no waiting copies")
        {
            self.requests[request].outcomes.push(outcome.clone());
        }
    }

    /// Simulates a leaf that runs or rejects a call. The reply may be lost or duplicated.
    fn execute(&mut self, node: usize, request: usize, from: (u64, u64, CallId), shard: ShardId) {
        let (incarnation, serial, call) = from;
        let answer = match self.rng.random_range(0..4) {
            0 => Some(false),
            other => {
                *self.requests[request].runs.entry(shard).or_default() += 1;
                (other > 1).then_some(true)
            }
        };
        for _ in 0..self.rng.random_range(0..3) {
            let delay = self.rng.random_range(0..3 * SECOND_US);
            self.schedule(
                delay,
                node,
                Event::Reply(incarnation, serial, call, shard, answer),
            );
        }
    }

    /// Delivers a reply. `answer` is `Some(true)` for hits, `Some(false)` for "not run" and `None` for a failure.
    fn reply(&mut self, node: usize, serial: u64, from: (CallId, ShardId), answer: Option<bool>) {
        let (call, shard) = from;
        let outcome = match answer {
            Some(true) => Outcome::Hits {
                snapshot: SnapshotId(1),
                shard,
                complete: true,
                hits: Vec::new(),
            },
            Some(false) => Outcome::NotRun(NotRun::Unreachable),
            None => Outcome::Failed(Failure::OwnerLost),
        };
        self.step_plan(node, serial, |plan, now, context, out| {
            plan.on_reply(now, call, outcome, None, context, out);
        });
    }
}

/// Guards against a request that runs twice, a request reported as "not run" that ran or runs later, and copies that
/// get different outcomes, while nodes are killed, restarted and paused and copies arrive late and at any node.
#[test]
fn schedules_run_each_key_at_most_once() {
    let _lock = VIOLATION_COUNT_LOCK
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let seeds = seeds::seeds(DEFAULT_SCHEDULES);
    let all = seeds.end - seeds.start >= 100;
    let before = invariant::violation_count();
    let mut reached_cases = BTreeSet::new();
    for seed in seeds {
        reached_cases.append(&mut seeds::run_schedule("at_most_once", seed, || {
            Simulation::new(seed).run()
        }));
        assert_eq!(invariant::violation_count(), before, "seed {seed}");
    }
    let kinds = [
        "attach",
        "done",
        "full",
        "not run",
        "rejected",
        "replay",
        "restarted",
        "unknown",
    ];
    assert!(
        !all || reached_cases == BTreeSet::from(kinds),
        "schedules reached only {reached_cases:?}"
    );
}

proptest! {
    #![proptest_config(seeds::proptest_config())]

    /// Guards against accepting a forged or damaged key or a key of another fleet.
    #[test]
    fn modified_keys_are_rejected(
        node in "[a-z0-9-]{1,40}",
        numbers in any::<[u64; 3]>(),
        index in any::<prop::sample::Index>(),
        by in 1_u8..=255,
        noise in "\\PC{0,80}",
    ) {
        let [incarnation, serial, expiry_ms] = numbers;
        let incarnation = Incarnation(incarnation);
        let key = Key { node: node.as_str().into(), incarnation, serial, expiry_ms };
        let text = key.encode(&fleet_key());
        prop_assert_eq!(Key::decode(&text, &fleet_key()), Ok(key));
        prop_assert_eq!(Key::decode(&text, &FleetKey::new([2; 32])), Err(OnceError::Forged));
        let mut bytes = text.into_bytes();
        let position = index.index(bytes.len());
        bytes[position] ^= by;
        let changed = String::from_utf8_lossy(&bytes);
        prop_assert!(Key::decode(&changed, &fleet_key()).is_err(), "{}", changed);
        prop_assert!(Key::decode(&noise, &fleet_key()).is_err());
    }
}

/// Guards against a request that runs after its key has expired or after it was rejected, and against a rejection that
/// is replaced by a later outcome.
#[test]
fn expiry_and_rejection_are_final() {
    let _lock = VIOLATION_COUNT_LOCK
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let mut table = table(0, 7, 10);
    let mut key = |now| {
        let key = table.issue(now, UNIX_EPOCH).expect("table has room");
        table.encode(&key)
    };
    let (first, second) = (key(Time(0)), key(Time(SECOND_US)));
    assert_matches!(
        table.begin(Time(30 * SECOND_US), &first, [0; 32]),
        OnceAction::Error(OnceError::Expired)
    );
    let now = Time(31 * SECOND_US - 1);
    assert_matches!(
        table.begin(now, &second, [0; 32]),
        OnceAction::Run { serial: 1 }
    );
    let rejection = table.finish(now, 1, OnceOutcome::not_run("shed"));
    let before = invariant::violation_count();
    assert_eq!(
        table.finish(now, 1, OnceOutcome::unknown("late")),
        rejection
    );
    assert_eq!(
        invariant::violation_count(),
        before + 1,
        "second outcome is not counted as a violation"
    );
    assert_eq!(
        table.begin(now, &second, [0; 32]),
        OnceAction::Replay(rejection)
    );
    let later = Time(31 * SECOND_US);
    assert_matches!(
        table.begin(later, &second, [0; 32]),
        OnceAction::Error(OnceError::Expired)
    );
    assert_eq!((table.len(), table.bytes()), (0, 0));
}

/// Guards against memory that grows without limit with keys or answers, and against keys that are removed before they
/// expire.
#[test]
fn full_table_rejects_new_keys() {
    let mut table = table(0, 7, 100_000);
    let keys: Vec<_> = std::iter::from_fn(|| table.issue(Time(0), UNIX_EPOCH).ok()).collect();
    assert!(
        table.bytes() <= KeySettings::default().max_bytes && keys.len() > 5_000,
        "{}",
        keys.len()
    );
    assert_eq!(table.issue(Time(0), UNIX_EPOCH), Err(OnceError::Full));
    let begin = |table: &mut KeyTable, serial: usize| {
        let key = table.encode(&keys[serial]);
        table.begin(Time(1), &key, [0; 32])
    };
    for serial in 0..40 {
        assert_matches!(begin(&mut table, serial), OnceAction::Run { .. });
    }
    table.finish(Time(1), 0, OnceOutcome::unknown(&"x".repeat(64 << 10)));
    let rejected = begin(&mut table, 40);
    assert_matches!(&rejected, OnceAction::Replay(outcome) if outcome.run == RunOutcome::NotRun);
    for serial in 1..40 {
        table.finish(Time(1), serial, OnceOutcome::unknown(""));
    }
    assert_matches!(
        begin(&mut table, 41),
        OnceAction::Run { .. },
        "request rejected although memory was freed"
    );
    assert_eq!(
        begin(&mut table, 40),
        rejected,
        "key of a rejected request was used again"
    );
    table.stop_issuing();
    assert_eq!(
        table.issue(Time(40 * SECOND_US), UNIX_EPOCH),
        Err(OnceError::Leaving)
    );
}
