//! Randomized schedules of queries, checked against a model that records which calls ran on which leaves.
//!
//! `SCHEDULES=n` runs n schedules, `SEED=s` runs only the schedule with that seed.

mod seeds;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    mem,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use assert_matches::assert_matches;
use cranberrychute::core::{
    LeafId, NodeId, ServiceName, ShardId, SnapshotId, Time,
    call::{Failure, Hit, LeafCall, LeafStatus, NotRun, Outcome},
    config::*,
    invariant,
    query::*,
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64;

/// Serializes the tests that count invariant violations, because the counter is global to the process.
static VIOLATION_LOCK: Mutex<()> = Mutex::new(());

const DEFAULT_SCHEDULES: u64 = 1_500;
const QUERIES: usize = 6;
const DOMAINS: usize = 4;
const OWNERS: u32 = 4;
const TOP: u16 = 5;
const NOT_RUN: [NotRun; 6] = [
    NotRun::QueueFull,
    NotRun::TooLate,
    NotRun::Cold,
    NotRun::Shed,
    NotRun::Unreachable,
    NotRun::UnknownLeaf,
];
const FAILURES: [Failure; 4] = [
    Failure::Reset,
    Failure::Silent,
    Failure::BadAnswer,
    Failure::Deadline,
];
/// Median service time reported by the owners.
const MEDIAN_US: u32 = 4_000;
/// Tokens in a new budget; together with earned tokens and debt they limit the extra calls.
const INITIAL_TOKENS: f64 = 5.0;

/// A crash ledger that returns the same verdict for every query.
struct Ledger(Verdict);

impl CrashView for Ledger {
    fn verdict(&self, _: Time, _: &ServiceName, _: &str) -> Verdict {
        self.0
    }
}

fn policy() -> ServicePolicy {
    let text = r#"{"deadline_ms": 400, "max_deadline_ms": 2000, "max_top": 100}"#;
    serde_json::from_str(text).expect("policy")
}

fn map(id: u64, shards: u32, replicas: usize, leaves: usize) -> ServiceMap {
    let name = |leaf: usize| LeafId::from(format!("10.0.0.{leaf}:80"));
    let info = |leaf: usize| LeafInfo {
        domain: format!("d{}", leaf % DOMAINS).into(),
        slots: 4,
        connections: 8,
        cold_capacity: 1,
        leaving: false,
    };
    let shard = |shard: u32| Shard {
        shard: ShardId(shard),
        leaves: (0..replicas)
            .map(|replica| name((shard as usize * 3 + replica) % leaves))
            .collect(),
    };
    ServiceMap {
        snapshots: vec![Snapshot {
            id: SnapshotId(id),
            state: SnapshotState::Serving,
            shards: (0..shards).map(shard).collect(),
        }],
        leaves: (0..leaves).map(|leaf| (name(leaf), info(leaf))).collect(),
    }
}

fn query(number: usize) -> Query {
    Query {
        request: format!("r{number}").into(),
        service: "parts".into(),
        text: "jet 0.7".into(),
        top: TOP,
        deadline: None,
    }
}

/// Returns the hits of a shard, equal for each replica, with shared ids, equal scores and a NaN score.
fn hits(snapshot: SnapshotId, shard: ShardId) -> Vec<Hit> {
    let hit = |(id, score): (String, f64)| Hit {
        id: id.into(),
        score,
        text: format!("{snapshot}").into(),
    };
    let regular = |rank: u32| {
        let score = f64::from((shard.0 * 7 + rank * 3) % 11);
        (format!("{snapshot}/{shard}/{rank}"), score)
    };
    let shared = (format!("{snapshot}/shared"), f64::from(shard.0 % 5));
    let nan = (format!("{snapshot}/{shard}/odd"), f64::NAN);
    (0..4).map(regular).chain([shared, nan]).map(hit).collect()
}

/// Merges by sorting all hits.
fn reference_merge(all: impl IntoIterator<Item = Hit>, top: usize) -> Vec<Hit> {
    let mut all: Vec<Hit> = all.into_iter().collect();
    all.sort_by(|a, b| match (a.score.is_nan(), b.score.is_nan()) {
        (false, false) if a.score != b.score => b.score.total_cmp(&a.score),
        (a_nan, b_nan) => (a_nan, &a.id).cmp(&(b_nan, &b.id)),
    });
    let mut seen = BTreeSet::new();
    all.retain(|hit| seen.insert(hit.id.clone()));
    all.truncate(top);
    all
}

/// Returns ids and the bits of the scores, with NaN and zero normalized so that equal scores compare equal.
fn bits(hits: &[Hit]) -> Vec<(&str, u64)> {
    let bits = |score: f64| {
        if score.is_nan() {
            1
        } else {
            (score + 0.0).to_bits()
        }
    };
    hits.iter().map(|hit| (&*hit.id, bits(hit.score))).collect()
}

/// The state of an entry node that its plans share.
struct Node {
    policy: Arc<ServicePolicy>,
    map: Arc<ServiceMap>,
    domains: DomainList,
    health: LeafHealth,
    budget: ExtraCallBudget,
    ledger: Ledger,
    rng: Pcg64,
}

impl Node {
    fn new(shards: u32, replicas: usize) -> Self {
        Self {
            policy: Arc::new(policy()),
            map: Arc::new(map(1, shards, replicas, 12)),
            domains: DomainList::default(),
            health: LeafHealth::default(),
            budget: ExtraCallBudget::new(),
            ledger: Ledger(Verdict::Known),
            rng: Pcg64::seed_from_u64(7),
        }
    }

    fn context(&mut self) -> Context<'_, Ledger> {
        Context {
            policy: &self.policy,
            map: &self.map,
            domains: &self.domains,
            health: &mut self.health,
            budget: &mut self.budget,
            crash: &self.ledger,
            rng: &mut self.rng,
        }
    }

    fn start(&mut self, top: u16) -> (Result<QueryPlan, QueryError>, Vec<QueryAction>) {
        let mut out = Vec::new();
        let query = Query { top, ..query(0) };
        let plan = QueryPlan::start(Time(0), query, &mut self.context(), &mut out);
        (plan, out)
    }

    /// Starts 1,600 queries and returns the number of calls to each leaf.
    fn count_calls(&mut self, statuses: &[(&LeafId, LeafStatus)]) -> BTreeMap<LeafId, u32> {
        let mut counts = BTreeMap::new();
        for _ in 0..1_600 {
            for (leaf, status) in statuses {
                self.health.record_status(Time(0), leaf, *status);
            }
            for action in self.start(1).1 {
                if let QueryAction::Send { leaf_call, .. } = action {
                    *counts.entry(leaf_call.leaf).or_default() += 1;
                }
            }
        }
        counts
    }
}

/// A scheduled event. The first field is the query's index in `runs`; the last field of `Reply` is the index in
/// `outcomes`.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Begin(usize),
    Arrive(usize, CallId),
    Reply(usize, CallId, usize),
    Timer(usize, Time),
    Change,
}

/// The model's record of a leaf call.
struct SentCall {
    call: LeafCall,
    at: Time,
    owner: u32,
    ran: bool,
    /// Neither answered nor cancelled.
    in_flight: bool,
}

/// The model's record of a query.
#[derive(Default)]
struct QueryRun {
    plan: Option<QueryPlan>,
    once: bool,
    needs_canary: bool,
    /// Each leaf that runs the query crashes.
    crashes_leaves: bool,
    snapshot: SnapshotId,
    shards: u32,
    sent: BTreeMap<CallId, SentCall>,
    /// Shards of the pinned snapshot that were answered completely.
    complete: BTreeSet<ShardId>,
    /// Number of hits in the truncated answer for each shard of the pinned snapshot.
    partial: BTreeMap<ShardId, usize>,
    /// A leaf has answered, so the canary request has succeeded.
    canary_passed: bool,
    suspect: bool,
    cleared: Option<Time>,
    crashes: u32,
    restarted: bool,
    timer: Option<Time>,
    answer: Option<Answer>,
}

impl QueryRun {
    fn in_flight(&self) -> impl Iterator<Item = &LeafCall> {
        self.sent.values().filter(|s| s.in_flight).map(|s| &s.call)
    }

    fn copies(&self, shard: ShardId) -> usize {
        self.in_flight().filter(|call| call.shard == shard).count()
    }
}

struct Simulation {
    rng: Pcg64,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    outcomes: Vec<(Outcome, Option<LeafStatus>)>,
    node: Node,
    /// Snapshots served by the leaves; may differ from the map.
    serving: BTreeSet<SnapshotId>,
    owners: BTreeMap<LeafId, u32>,
    /// Owners known to the entry node; may be outdated.
    known_owners: BTreeMap<LeafId, u32>,
    /// Time and length of the last queue reported for a leaf, and the calls sent to the leaf since.
    queued: BTreeMap<LeafId, (Time, u16, u16)>,
    /// Number of calls that ran in addition to the first one of a shard.
    extra: u32,
    /// Number of first calls that ran.
    normal: u32,
    /// Probability of each fault in this schedule, in percent.
    fault_percent: u32,
    runs: Vec<QueryRun>,
    /// Kinds of events that occurred. A full run must reach all of them, so that it cannot pass without testing them.
    reached: BTreeSet<&'static str>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let (shards, replicas) = (rng.random_range(1..9), rng.random_range(1..4));
        let mut node = Node::new(shards, replicas);
        node.rng = Pcg64::seed_from_u64(seed ^ 1);
        let policy = Arc::make_mut(&mut node.policy);
        policy.hedge.percent = if rng.random_bool(0.5) { 10.0 } else { 2.0 };
        policy.partial_after_ms = rng.random_bool(0.3).then_some(100);
        policy.min_coverage = if rng.random_bool(0.5) { 0.5 } else { 1.0 };
        if rng.random_bool(0.8) {
            (0..200).for_each(|_| {
                node.health
                    .record_latency(Time(0), Duration::from_millis(8))
            });
        }
        let leaves = node.map.leaves.keys().cloned();
        let owners: BTreeMap<_, _> = leaves
            .map(|leaf| (leaf, rng.random_range(0..OWNERS)))
            .collect();
        let mut simulation = Self {
            node,
            now: Time::from_millis(1),
            events: BinaryHeap::new(),
            sequence: 0,
            outcomes: Vec::new(),
            serving: BTreeSet::from([SnapshotId(1)]),
            known_owners: owners.clone(),
            owners,
            queued: BTreeMap::new(),
            extra: 0,
            normal: 0,
            fault_percent: rng.random_range(0..25),
            runs: (0..QUERIES).map(|_| QueryRun::default()).collect(),
            reached: BTreeSet::new(),
            rng,
        };
        for number in 0..QUERIES {
            let at = simulation.rng.random_range(0..600);
            simulation.schedule(at * 1_000, Event::Begin(number));
        }
        for _ in 0..simulation.rng.random_range(0..16) {
            let at = simulation.rng.random_range(0..800);
            simulation.schedule(at * 1_000, Event::Change);
        }
        simulation
    }

    fn schedule(&mut self, micros: u64, event: Event) {
        self.sequence += 1;
        let at = self.now + Duration::from_micros(micros);
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn draw_fault(&mut self) -> bool {
        self.rng.random_range(0..100) < self.fault_percent
    }

    fn run(mut self) -> BTreeSet<&'static str> {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Begin(number) => self.begin(number),
                Event::Arrive(number, call) => self.arrive(number, call),
                Event::Reply(number, call, outcome) => self.reply(number, call, outcome),
                Event::Timer(number, at) if self.runs[number].timer == Some(at) => {
                    self.step(number, |plan, now, context, out| {
                        plan.on_timer(now, context, out)
                    });
                }
                Event::Timer(..) => {}
                Event::Change => self.change_config(),
            }
        }
        for run in &self.runs {
            self.check_end(run);
        }
        let debt = 9.0;
        let earned = f64::from(self.normal) * self.node.policy.hedge.percent / 100.0;
        let limit = INITIAL_TOKENS + earned + debt;
        assert!(
            f64::from(self.extra) <= limit,
            "{} extra, {limit} allowed",
            self.extra
        );
        self.reached
    }

    /// Passes one input to the plan and checks the resulting actions.
    fn step(
        &mut self,
        number: usize,
        input: impl FnOnce(&mut QueryPlan, Time, &mut Context<'_, Ledger>, &mut Vec<QueryAction>),
    ) {
        let Some(mut plan) = self.runs[number].plan.take() else {
            return;
        };
        let mut out = Vec::new();
        self.node.ledger = Ledger(Verdict::Fresh);
        let mut context = self.node.context();
        input(&mut plan, self.now, &mut context, &mut out);
        self.runs[number].plan = Some(plan);
        self.apply(number, out);
    }

    fn begin(&mut self, number: usize) {
        let verdict = match self.rng.random_range(0..4) {
            0 => Verdict::Known,
            1 => Verdict::Suspect,
            _ => Verdict::Fresh,
        };
        let once = self.rng.random_bool(0.3);
        let mut out = Vec::new();
        self.node.ledger = Ledger(verdict);
        let mut context = self.node.context();
        let create = if once {
            QueryPlan::start_once
        } else {
            QueryPlan::start
        };
        let plan = match create(self.now, query(number), &mut context, &mut out) {
            Ok(plan) => plan,
            Err(error) => {
                assert_eq!(error, QueryError::NoSnapshot("parts".into()));
                assert!(out.is_empty());
                return;
            }
        };
        let crashes_leaves = verdict != Verdict::Known && self.rng.random_bool(0.1);
        let run = &mut self.runs[number];
        (run.once, run.crashes_leaves, run.snapshot) = (once, crashes_leaves, plan.snapshot());
        run.needs_canary = verdict != Verdict::Known;
        run.suspect = verdict == Verdict::Suspect;
        run.plan = Some(plan);
        self.record_pin(number);
        self.apply(number, out);
    }

    fn record_pin(&mut self, number: usize) {
        let run = &mut self.runs[number];
        run.snapshot = run.plan.as_ref().expect("plan").snapshot();
        let snapshots = &self.node.map.snapshots;
        let pinned = snapshots.iter().find(|s| s.id == run.snapshot);
        run.shards = pinned.expect("pinned from this map").shards.len() as u32;
        run.complete.clear();
        run.partial.clear();
    }

    fn apply(&mut self, number: usize, out: Vec<QueryAction>) {
        for action in out {
            let run = &mut self.runs[number];
            assert!(run.answer.is_none(), "{action:?} after the answer");
            match action {
                QueryAction::Send {
                    call: id,
                    leaf_call: call,
                    owner,
                } => {
                    self.check_send(number, &call);
                    let run = &mut self.runs[number];
                    let copies = run.copies(call.shard);
                    self.reached.insert(match (&owner, call.alone, call.extra) {
                        (Some(_), ..) => "redirect",
                        (_, true, _) => "alone",
                        (.., true) if copies > 0 => "hedge",
                        (.., true) => "retry",
                        _ => "normal",
                    });
                    if let Some((.., sent)) = self.queued.get_mut(&call.leaf) {
                        *sent += 1;
                    }
                    let known_owner = self.known_owners[&call.leaf];
                    let sent = SentCall {
                        call,
                        at: self.now,
                        owner: owner.map_or(known_owner, |id| id.as_str().parse().expect("owner")),
                        ran: false,
                        in_flight: true,
                    };
                    assert!(run.sent.insert(id, sent).is_none(), "call id reused");
                    let delay = self.rng.random_range(100..3_000);
                    self.schedule(delay, Event::Arrive(number, id));
                }
                QueryAction::Cancel(call) => {
                    let sent = run.sent.get_mut(&call).expect("sent before");
                    assert!(sent.in_flight, "cancelled twice or after its reply");
                    sent.in_flight = false;
                }
                QueryAction::SetTimer(at) => {
                    assert!(at >= self.now, "timer in the past");
                    run.timer = Some(at);
                    let delay = at.since(self.now).as_micros() as u64;
                    self.schedule(delay, Event::Timer(number, at));
                }
                QueryAction::Finish(answer) => self.check_answer(number, answer),
            }
        }
    }

    /// Checks a restart on a newer snapshot and records it.
    fn check_restart(&mut self, number: usize, snapshot: SnapshotId) {
        let run = &self.runs[number];
        if snapshot == run.snapshot {
            return;
        }
        assert!(!run.once, "an at-most-once request restarted");
        assert!(snapshot > run.snapshot, "restart on an older snapshot");
        assert!(!run.restarted, "second restart");
        self.runs[number].restarted = true;
        self.reached.insert("restart");
        self.record_pin(number);
        assert_eq!(
            snapshot, self.runs[number].snapshot,
            "not the pinned snapshot"
        );
    }

    fn check_send(&mut self, number: usize, call: &LeafCall) {
        self.check_restart(number, call.snapshot);
        let (run, shard) = (&self.runs[number], call.shard);
        let plan = run.plan.as_ref().expect("plan");
        assert!(self.now < plan.deadline(), "call after the deadline");
        let info = &self.node.map.leaves[&call.leaf];
        let out = &self.node.domains.out;
        assert!(!info.leaving, "call to a leaving leaf");
        assert!(
            !out.contains(&info.domain),
            "call to a failure domain out of service"
        );
        assert!(!run.complete.contains(&shard), "call for a covered shard");
        let copies = run.copies(shard);
        assert!(copies < 3, "more than three copies in flight");
        if run.once {
            let ran = |sent: &SentCall| sent.call.shard == shard && sent.ran;
            assert_eq!(copies, 0, "at-most-once call hedged");
            assert!(
                !run.sent.values().any(ran),
                "at-most-once call after an earlier one ran"
            );
            assert!(call.once && !call.extra);
        }
        if copies > 0 {
            let queued = self
                .queued
                .get(&call.leaf)
                .is_some_and(|(at, queued, sent)| {
                    let drain =
                        Duration::from_micros(u64::from(MEDIAN_US)) * u32::from(queued + sent + 1);
                    *queued > 0 && self.now.since(*at) < drain
                });
            assert!(call.extra, "a hedge is extra load");
            assert!(!queued, "hedge to a leaf with a queue");
            assert!(!run.suspect, "hedge of a suspect query");
        }
        if run.suspect && !run.once {
            assert!(call.alone, "call of a suspect query not sent alone");
            assert!(
                !run.in_flight().any(|c| c.alone),
                "two calls of a suspect query in flight"
            );
        }
        if run.needs_canary && !run.canary_passed {
            let ran = run.sent.values().filter(|sent| sent.ran).count();
            assert!(
                run.in_flight().all(|c| c.shard == shard),
                "call before the canary request succeeded"
            );
            assert!(ran < 2, "third canary request");
        }
    }

    /// Processes the arrival of a call at its owner.
    fn arrive(&mut self, number: usize, id: CallId) {
        let sent = &self.runs[number].sent[&id];
        let (call, called_owner) = (sent.call.clone(), sent.owner);
        if !sent.in_flight && self.rng.random_bool(0.5) {
            return;
        }
        let owner = self.owners[&call.leaf];
        let mut status = LeafStatus {
            cold: self.rng.random_bool(0.1),
            spare: self.rng.random_range(0..4),
            queued: 0,
            median: MEDIAN_US,
        };
        if status.spare == 0 && self.rng.random_bool(0.3) {
            status.queued = 2;
        }
        let mut delay = self.rng.random_range(1_000..9_000);
        let mut ran = false;
        let outcome = if called_owner != owner {
            let holder = match self.rng.random_range(0..4) {
                0 => None,
                1 => Some(self.rng.random_range(0..OWNERS)),
                _ => Some(owner),
            };
            let holder = holder.map(|owner| NodeId::from(owner.to_string()));
            Outcome::NotRun(NotRun::NotOwner { holder })
        } else if self.draw_fault() {
            let reason = NOT_RUN.choose(&mut self.rng).expect("reasons");
            Outcome::NotRun(reason.clone())
        } else if !self.serving.contains(&call.snapshot) {
            let serving = self.serving.last().copied();
            Outcome::WrongSnapshot { serving }
        } else {
            ran = true;
            self.execute(number, &call, &mut delay)
        };
        if ran {
            let run = &mut self.runs[number];
            run.sent.get_mut(&id).expect("sent").ran = true;
            let same = |s: &&SentCall| s.ran && s.call.shard == call.shard;
            let copies = run.sent.values().filter(same).count();
            assert!(copies == 1 || !run.once, "at-most-once call ran twice");
            match copies {
                1 => self.normal += 1,
                _ => self.extra += 1,
            }
        }
        // A reply lost with its connection is replaced by a failure, or no reply arrives.
        let lost = self.draw_fault();
        let (outcome, status) = match lost {
            true => (Outcome::Failed(Failure::OwnerLost), None),
            false => (outcome, Some(status)),
        };
        if lost && self.rng.random_bool(0.3) {
            return;
        }
        self.outcomes.push((outcome, status));
        let reply = self.outcomes.len() - 1;
        self.schedule(delay, Event::Reply(number, id, reply));
        if self.draw_fault() {
            let delay = delay + self.rng.random_range(0..500_000);
            self.schedule(delay, Event::Reply(number, id, reply));
        }
    }

    /// Runs a call on its leaf.
    fn execute(&mut self, number: usize, call: &LeafCall, delay: &mut u64) -> Outcome {
        if self.draw_fault() {
            *delay = self.rng.random_range(20_000..700_000);
        }
        if self.runs[number].crashes_leaves {
            self.runs[number].crashes += 1;
            return Outcome::Failed(Failure::Reset);
        }
        if self.draw_fault() {
            let failure = FAILURES.choose(&mut self.rng).expect("failures");
            return Outcome::Failed(*failure);
        }
        let (mut snapshot, mut shard) = (call.snapshot, call.shard);
        if self.draw_fault() && self.rng.random_bool(0.3) {
            snapshot.0 += 1;
        } else if self.draw_fault() && self.rng.random_bool(0.3) {
            shard.0 += 1;
        }
        let complete = !self.draw_fault();
        let mut hits = hits(snapshot, shard);
        if !complete {
            hits.truncate(2);
        }
        Outcome::Hits {
            snapshot,
            shard,
            complete,
            hits,
        }
    }

    fn reply(&mut self, number: usize, id: CallId, reply: usize) {
        let (outcome, status) = self.outcomes[reply].clone();
        let now = self.now;
        let run = &mut self.runs[number];
        let sent = run.sent.get_mut(&id).expect("sent");
        if let Some(status) = status {
            let report = (now, status.queued, 0);
            self.queued.insert(sent.call.leaf.clone(), report);
        }
        if mem::take(&mut sent.in_flight) {
            let (at, alone, requested) = (sent.at, sent.call.alone, sent.call.shard);
            match &outcome {
                Outcome::Hits {
                    snapshot,
                    shard,
                    complete,
                    hits,
                } if *snapshot == run.snapshot && *shard == requested => {
                    run.canary_passed = true;
                    if alone && run.suspect {
                        (run.suspect, run.cleared) = (false, Some(now));
                    }
                    match complete {
                        true => drop(run.complete.insert(requested)),
                        false => drop(run.partial.insert(requested, hits.len())),
                    }
                }
                Outcome::Failed(Failure::Reset) if run.cleared.is_none_or(|c| at > c) => {
                    run.suspect = true;
                }
                _ => {}
            }
        }
        self.step(number, |plan, now, context, out| {
            plan.on_reply(now, id, outcome, status, context, out);
        });
    }

    /// Applies a random change: new snapshot, removed snapshot, moved replicas, new owner, failure domain taken out of
    /// service or returned, leaf marked as leaving or not.
    fn change_config(&mut self) {
        let mut changed = (*self.node.map).clone();
        let leaf = LeafId::from(format!("10.0.0.{}:80", self.rng.random_range(0..12)));
        match self.rng.random_range(0..8) {
            0 | 1 => {
                let newest = changed.snapshots.iter().map(|s| s.id.0).max().unwrap_or(0);
                let shards = self.rng.random_range(1..9);
                let next = map(newest + 1, shards, self.rng.random_range(1..4), 12);
                let old = changed.snapshots.iter_mut();
                old.for_each(|s| s.state = SnapshotState::Retiring);
                changed.snapshots.extend(next.snapshots);
                self.serving.insert(SnapshotId(newest + 1));
            }
            2 | 3 => {
                let oldest = self.serving.pop_first();
                let listed = self.rng.random_bool(0.5);
                changed.snapshots.retain(|s| listed || Some(s.id) != oldest);
            }
            4 => {
                let shards = changed.snapshots.iter_mut().flat_map(|s| &mut s.shards);
                shards.for_each(|shard| shard.leaves.rotate_left(1));
                changed.leaves.remove(&leaf);
            }
            5 => {
                let owner = self.rng.random_range(0..OWNERS);
                self.owners.insert(leaf.clone(), owner);
                if self.rng.random_bool(0.5) {
                    self.known_owners.insert(leaf, owner);
                }
            }
            6 => {
                let domain = format!("d{}", self.rng.random_range(0..DOMAINS)).into();
                if !self.node.domains.out.remove(&domain) {
                    self.node.domains.out.insert(domain);
                }
            }
            _ => {
                if let Some(info) = changed.leaves.get_mut(&leaf) {
                    info.leaving = !info.leaving;
                }
            }
        }
        self.node.map = Arc::new(changed);
    }

    fn check_answer(&mut self, number: usize, answer: Answer) {
        self.check_restart(number, answer.snapshot);
        let run = &self.runs[number];
        let plan = run.plan.as_ref().expect("plan");
        let policy = &self.node.policy;
        assert!(plan.is_finished());
        assert!(self.now <= plan.deadline(), "answer after the deadline");
        assert_eq!(answer.request, plan.query().request);
        let answered = run.complete.len() as u32;
        let true_coverage = Coverage {
            answered,
            shards: run.shards,
        };
        assert_eq!(answer.coverage, true_coverage);
        let missing = answer.missing.iter().map(|m| m.shard);
        let all = (0..run.shards).map(ShardId);
        assert!(missing.eq(all.filter(|s| !run.complete.contains(s))));
        let shards = run.complete.iter().map(|shard| (shard, usize::MAX));
        let part = run.partial.iter().map(|(shard, count)| (shard, *count));
        let part = part.filter(|(shard, _)| !run.complete.contains(shard));
        let hits = shards
            .chain(part)
            .flat_map(|(shard, count)| hits(run.snapshot, *shard).into_iter().take(count));
        assert_eq!(bits(&answer.hits), bits(&reference_merge(hits, TOP.into())));
        let late = |m: &Missing| m.reason == MissingReason::Late;
        let early = self.now < plan.deadline() && answer.missing.iter().any(late);
        if early {
            assert!(policy.partial_after_ms.is_some() && !run.once, "{answer:?}");
            assert!(answer.coverage.share() >= policy.min_coverage);
        }
        self.reached.insert(match (run.once, answer.outcome) {
            (false, _) if early => "early",
            (false, _) => "repeatable",
            (true, RunOutcome::Done) => "done",
            (true, RunOutcome::NotRun) => "not run",
            (true, RunOutcome::Unknown) => "unknown",
        });
        self.runs[number].answer = Some(answer);
    }

    fn check_end(&self, run: &QueryRun) {
        assert!(run.plan.is_none() || run.answer.is_some(), "no answer");
        let Some(answer) = &run.answer else { return };
        let ran = run.sent.values().filter(|sent| sent.ran).count();
        match answer.outcome {
            RunOutcome::NotRun => assert_eq!(ran, 0, "\"not run\" but {ran} calls ran"),
            RunOutcome::Done if run.once => {
                let answered: BTreeSet<_> = run.complete.iter().chain(run.partial.keys()).collect();
                assert_eq!(ran, answered.len(), "a call ran without an answer");
                assert!(ran > 0, "\"done\" but nothing ran");
            }
            _ => {}
        }
        if run.crashes_leaves {
            assert!(run.crashes <= 2, "one query crashed {} leaves", run.crashes);
        }
    }
}

/// Guards against hits of two snapshots in one answer, wrong coverage, "not run" for queries that ran, hedges beyond
/// the budget, repeated at-most-once calls, calls to leaves out of service, and queries that never end.
#[test]
fn schedules_keep_the_invariants() {
    let _guard = VIOLATION_LOCK
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let seeds = seeds::seeds(DEFAULT_SCHEDULES);
    let full_run = seeds.end - seeds.start >= 100;
    let before = invariant::violation_count();
    let mut reached = BTreeSet::new();
    for seed in seeds {
        reached.append(&mut seeds::run_schedule("query_plan", seed, || {
            Simulation::new(seed).run()
        }));
        assert_eq!(invariant::violation_count(), before, "seed {seed}");
    }
    let kinds = [
        "alone",
        "done",
        "early",
        "hedge",
        "normal",
        "not run",
        "redirect",
        "repeatable",
        "restart",
        "retry",
        "unknown",
    ];
    assert!(
        !full_run || reached == BTreeSet::from(kinds),
        "only {reached:?} reached"
    );
}

proptest! {
    #![proptest_config(seeds::proptest_config())]

    /// Guards against a merge that drops, duplicates or misorders hits, including those with NaN scores.
    #[test]
    fn merge_matches_the_reference(
        shards in prop::collection::vec(
            prop::collection::vec((0_u8..40, prop_oneof![Just(f64::NAN), Just(-0.0), any::<f64>()]), 0..30),
            1..5,
        ),
        top in 1_u16..12,
    ) {
        let mut node = Node::new(shards.len() as u32, 1);
        let (plan, mut out) = node.start(top);
        let mut plan = plan.expect("plan");
        let hit = |(id, score): (u8, f64)| Hit { id: id.to_string().into(), score, text: "".into() };
        let shards: Vec<Vec<Hit>> =
            shards.into_iter().map(|hits| hits.into_iter().map(hit).collect()).collect();
        for (number, hits) in shards.iter().enumerate() {
            let outcome = Outcome::Hits {
                snapshot: SnapshotId(1),
                shard: ShardId(number as u32),
                complete: true,
                hits: hits.clone(),
            };
            let call = CallId(number as u32);
            plan.on_reply(Time(1), call, outcome, None, &mut node.context(), &mut out);
        }
        let Some(QueryAction::Finish(answer)) = out.pop() else { panic!("no answer") };
        let expected = reference_merge(shards.concat(), top.into());
        prop_assert_eq!(bits(&answer.hits), bits(&expected));
    }
}

/// Guards against merging a reply to a call of another plan, or not counting it as an invariant violation.
#[test]
fn reply_to_an_unknown_call_is_ignored_and_counted() {
    let _guard = VIOLATION_LOCK
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let mut node = Node::new(1, 1);
    let (plan, _) = node.start(TOP);
    let (mut plan, mut out, before) = (
        plan.expect("plan"),
        Vec::new(),
        invariant::violation_count(),
    );
    let outcome = Outcome::NotRun(NotRun::Shed);
    plan.on_reply(
        Time(1),
        CallId(9),
        outcome,
        None,
        &mut node.context(),
        &mut out,
    );
    assert_eq!((out.len(), invariant::violation_count()), (0, before + 1));
}

/// Guards against sending calls for quarantined or invalid queries, and against a wrong "not run" in the rejection.
#[test]
fn rejected_queries_send_no_calls() {
    let mut node = Node::new(1, 1);
    let (plan, out) = node.start(101);
    let error = plan.expect_err("too many hits");
    assert!(error.not_run() && out.is_empty(), "{error}");
    node.ledger = Ledger(Verdict::Quarantined);
    let (plan, out) = node.start(1);
    let error = plan.expect_err("quarantined");
    assert!(
        !error.not_run() && out.is_empty(),
        "an earlier copy may have run: {error}"
    );
}

/// Guards against a cold leaf that receives more than trial calls or none, and against a selection that ignores the
/// queues reported by the owners.
#[test]
fn selection_prefers_warm_and_idle_leaves() {
    let mut node = Node::new(1, 2);
    let leaves = node.map.snapshots[0].shards[0].leaves.clone();
    let idle = LeafStatus {
        cold: false,
        spare: 4,
        queued: 0,
        median: 4_000,
    };
    let cold = LeafStatus {
        cold: true,
        spare: 1,
        ..idle
    };
    let counts = node.count_calls(&[(&leaves[0], idle), (&leaves[1], cold)]);
    assert!(
        (50..200).contains(&counts[&leaves[1]]),
        "trial calls: {counts:?}"
    );
    let busy = LeafStatus {
        spare: 0,
        queued: 8,
        ..idle
    };
    let counts = node.count_calls(&[(&leaves[0], idle), (&leaves[1], busy)]);
    assert_eq!(counts[&leaves[0]], 1_600, "{counts:?}");
    let full = LeafStatus { spare: 0, ..cold };
    let counts = node.count_calls(&[(&leaves[0], full), (&leaves[1], busy)]);
    assert_eq!(
        counts[&leaves[1]], 1_600,
        "a cold leaf without spare capacity is selected last: {counts:?}"
    );
}

/// Guards against hedges while the leaf has a queue, hedges that are never sent, and slower copies that are not
/// cancelled.
#[test]
fn hedge_avoids_queued_leaves_and_cancels_the_slower_copy() {
    let mut node = Node::new(1, 2);
    (0..100).for_each(|_| {
        node.health
            .record_latency(Time(0), Duration::from_millis(8))
    });
    (0..100).for_each(|_| node.budget.earn(1_000, 2.0));
    let (plan, out) = node.start(TOP);
    let mut plan = plan.expect("plan");
    let Some(QueryAction::Send { leaf_call, .. }) = out.first() else {
        panic!("{out:?}")
    };
    let status = |queued| LeafStatus {
        queued,
        spare: 4,
        ..LeafStatus::default()
    };
    let mut fire_timer = |queued, millis, out: &mut Vec<_>| {
        let now = Time::from_millis(millis);
        node.health
            .record_status(now, &leaf_call.leaf, status(queued));
        plan.on_timer(now, &mut node.context(), out);
    };
    let mut out = Vec::new();
    fire_timer(1, 10, &mut out);
    assert_matches!(
        out[..],
        [QueryAction::SetTimer(_)],
        "the owner reports a queue"
    );
    out.clear();
    fire_timer(0, 20, &mut out);
    assert_matches!(&out[..], [QueryAction::Send { leaf_call: hedge, .. }, ..]
        if hedge.extra && hedge.leaf != leaf_call.leaf);
    let outcome = Outcome::Hits {
        snapshot: SnapshotId(1),
        shard: ShardId(0),
        complete: true,
        hits: Vec::new(),
    };
    out.clear();
    let now = Time::from_millis(21);
    plan.on_reply(now, CallId(1), outcome, None, &mut node.context(), &mut out);
    assert_matches!(&out[..], [QueryAction::Cancel(CallId(0)), QueryAction::Finish(answer)]
        if answer.coverage == Coverage { answered: 1, shards: 1 });
}

/// Guards against a second restart, and against a restart after half of the deadline.
#[test]
fn lost_snapshot_restarts_once_in_the_first_half() {
    let restart_at = |millis: u64| {
        let mut node = Node::new(1, 1);
        let (plan, mut out) = node.start(TOP);
        let mut plan = plan.expect("plan");
        for newer in 2..4 {
            node.map = Arc::new(map(newer, 1, 1, 12));
            let sends = out.iter().filter(|a| matches!(a, QueryAction::Send { .. }));
            let call = CallId(sends.count() as u32 - 1);
            let outcome = Outcome::WrongSnapshot { serving: None };
            let now = Time::from_millis(millis);
            plan.on_reply(now, call, outcome, None, &mut node.context(), &mut out);
        }
        let Some(QueryAction::Finish(answer)) = out.pop() else {
            panic!("no answer: {out:?}")
        };
        assert_eq!(answer.missing[0].reason, MissingReason::SnapshotLost);
        answer.snapshot
    };
    assert_eq!(restart_at(199), SnapshotId(2), "one restart");
    assert_eq!(
        restart_at(200),
        SnapshotId(1),
        "no restart after half of 400 ms"
    );
}

/// Guards against unbounded memory use, outdated leaf statuses, and wrong quantiles.
#[test]
fn health_is_bounded_in_memory_and_age() {
    let mut health = LeafHealth::new(HealthSettings {
        max_leaves: 100,
        ..HealthSettings::default()
    });
    for number in 0..1_000 {
        health.record_status(
            Time(0),
            &LeafId::from(format!("l{number}")),
            LeafStatus::default(),
        );
        health.record_latency(Time(0), Duration::from_millis(number));
    }
    let (last, age) = (LeafId::from("l999"), HealthSettings::default().status_ttl);
    assert!(health.len() <= 100, "{} leaves", health.len());
    assert!(
        health.leaf_status(Time(1), &last).is_some()
            && health.leaf_status(Time(0) + age, &last).is_none()
    );
    let busy = LeafStatus {
        queued: 5,
        ..LeafStatus::default()
    };
    health.record_status(Time(1), &last, busy);
    let queued = |now| health.leaf_status(now, &last).map(|status| status.queued);
    assert_eq!(queued(Time::from_millis(29)), Some(5));
    let drain = Duration::from_millis(6 * 5);
    assert_eq!(queued(Time(1) + drain), Some(0), "outdated queue");
    let p99 = health.latency_quantile(Time(1), 0.99).expect("samples");
    let p99 = p99.as_millis();
    assert!((989..=1_055).contains(&p99), "p99 is {p99} ms");
}

/// Guards against more extra calls than the budget allows in the long run, including calls paid by debt.
#[test]
fn budget_limits_extra_calls_to_two_percent() {
    let mut budget = ExtraCallBudget::new();
    let mut paid = 0;
    for _ in 0..10_000 {
        budget.earn(10, 2.0);
        paid += u32::from(budget.spend());
        paid += if budget.borrow(7) { 7 } else { 0 };
    }
    assert!(
        (1_950..=2_015).contains(&paid),
        "{paid} extra of 100,000 calls"
    );
}
