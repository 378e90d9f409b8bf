//! A model of one node and the leaves of some shards in virtual time. Calls are planned by [`Plan`] and limited by
//! [`LeafStats`] as in the gateway; leaves have slots, queue a few calls and shed the rest.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap, HashMap, VecDeque},
    fmt,
    net::Ipv4Addr,
    time::Duration,
};

use cranberrychute::core::{
    ServiceName, Time,
    admission::{Admission, Claim, Decision, Ending, Flow, Ticket},
    crash::Fingerprint,
    gather::{Completion, Failure, Plan, PlanSettings, Step},
    placement::{CallToken, Contention, LeafLoad, LeafStats, Outcome},
    retry::{Purpose, RetryBounds, RetryBudget},
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// Mean time of a call on a leaf.
const CALL_TIME: Duration = Duration::from_millis(8);
/// Calls that wait on a leaf for each slot before it sheds more.
const LEAF_QUEUE: usize = 4;
const BOUNDS: RetryBounds = RetryBounds {
    ratio: 0.2,
    window: Duration::from_secs(10),
    slack: 10.0,
};

/// What a caller does after a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Repeat {
    Never,
    /// After 50 ms.
    AtOnce,
    /// After the time that it was told.
    AsTold,
}

/// Callers that send the same kind of queries.
#[derive(Clone, Debug)]
pub(crate) struct Kind {
    /// Queries per second, except where `surge` applies.
    pub(crate) rate: f64,
    pub(crate) surge: f64,
    pub(crate) objective_ms: u64,
    pub(crate) priority: u32,
    /// The first shards are queried, as many as this.
    pub(crate) shards: usize,
    /// Number of flows that share the rate.
    pub(crate) flows: u8,
    pub(crate) repeat: Repeat,
    /// How long a caller repeats its query.
    pub(crate) timeout_ms: u64,
    /// Share of the queries whose callers leave 5 ms after they asked.
    pub(crate) leaves: f64,
}

impl Kind {
    pub(crate) fn new(rate: f64, objective_ms: u64, priority: u32) -> Self {
        Self {
            rate,
            surge: rate,
            objective_ms,
            priority,
            shards: SHARDS,
            flows: 8,
            repeat: Repeat::Never,
            timeout_ms: 1_000,
            leaves: 0.0,
        }
    }
}

pub(crate) const SHARDS: usize = 4;

/// How the queries of one kind ended.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Tally {
    pub(crate) sent: u32,
    pub(crate) in_time: u32,
    pub(crate) late: u32,
    pub(crate) partial: u32,
    pub(crate) failed: u32,
    /// Rejected by admission in the end.
    pub(crate) rejected: u32,
    /// Longest time to a rejection as a share of the objective.
    pub(crate) longest_rejection: f64,
    /// Retry times told, milliseconds.
    pub(crate) told_ms: Vec<u64>,
    /// Queries in time by the second in which they were sent.
    pub(crate) by_second: HashMap<u64, (u32, u32)>,
}

impl Tally {
    pub(crate) fn mean_told_ms(&self) -> f64 {
        self.told_ms.iter().sum::<u64>() as f64 / self.told_ms.len().max(1) as f64
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} sent, {} in time, {} late, {} partial, {} failed, {} rejected, after {:.2} of the objective at most, \
             told {:.0} ms on average",
            self.sent,
            self.in_time,
            self.late,
            self.partial,
            self.failed,
            self.rejected,
            self.longest_rejection,
            self.mean_told_ms()
        )
    }
}

/// A scenario.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) kinds: Vec<Kind>,
    pub(crate) admission: bool,
    pub(crate) seed: u64,
    pub(crate) duration_ms: u64,
    /// When `surge` applies.
    pub(crate) surge_ms: (u64, u64),
    pub(crate) leaves: usize,
    pub(crate) slots: usize,
    /// Number of leaves of each shard that take five times as long during the surge.
    pub(crate) slow: usize,
    /// Number of leaves of each shard that hang during the surge.
    pub(crate) hung: usize,
    /// Interval of pauses of 150 ms of each leaf.
    pub(crate) pause_every_ms: Option<u64>,
}

impl Scenario {
    pub(crate) fn new(kinds: Vec<Kind>) -> Self {
        Self {
            kinds,
            admission: true,
            seed: 1,
            duration_ms: 8_000,
            surge_ms: (1_000, 5_000),
            leaves: 2,
            slots: 2,
            slow: 0,
            hung: 0,
            pause_every_ms: None,
        }
    }

    /// Returns the number of gathers over all shards per second that the leaves can run.
    pub(crate) fn capacity(&self) -> f64 {
        (self.leaves * self.slots) as f64 / CALL_TIME.as_secs_f64()
    }

    pub(crate) fn run(&self) -> (Vec<Tally>, Trace) {
        Model::new(self).run()
    }
}

/// What happened to the limit.
#[derive(Clone, Debug, Default)]
pub(crate) struct Trace {
    /// When the limit was first switched on, milliseconds.
    pub(crate) limited_at_ms: Option<u64>,
    /// The limit at the end.
    pub(crate) last_limit: Option<f64>,
    /// Largest number of queries that waited.
    pub(crate) most_queued: usize,
    /// Queries that still held a place when all had ended.
    pub(crate) held: usize,
    pub(crate) last_queued: usize,
    pub(crate) last_in_flight: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Ask(u64),
    Wake(u64),
    Leave(u64),
    CallEnd(usize, usize, u64),
    Pause(usize, usize),
    Hang(usize, usize),
    Resume(usize, usize),
    Poll,
}

struct Query {
    kind: usize,
    flow: Flow,
    /// When the caller first asked.
    since: Time,
    arrived: Time,
    plan: Option<Plan>,
    ticket: Option<Ticket>,
    admitted: bool,
    short: BTreeSet<usize>,
}

struct Call {
    query: u64,
    part: usize,
    sent: Time,
    token: CallToken,
}

struct Leaf {
    stats: LeafStats,
    running: Vec<u64>,
    waiting: VecDeque<u64>,
    paused: bool,
    /// Calls that ended during a pause.
    held: Vec<u64>,
}

struct Model<'a> {
    scenario: &'a Scenario,
    rng: Pcg64,
    /// Decides on arrivals, so that the demand is the same with and without admission.
    arrivals: Pcg64,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    admission: Admission,
    names: Vec<ServiceName>,
    queries: HashMap<u64, Query>,
    calls: HashMap<u64, Call>,
    leaves: Vec<Vec<Leaf>>,
    budgets: Vec<RetryBudget>,
    contention: Vec<Contention>,
    tallies: Vec<Tally>,
    trace: Trace,
    poll_at: Option<Time>,
    last_ticket: Option<Ticket>,
}

impl<'a> Model<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let leaf = || Leaf {
            stats: LeafStats::new(Time(0), scenario.slots as u32),
            running: Vec::new(),
            waiting: VecDeque::new(),
            paused: false,
            held: Vec::new(),
        };
        let names = (0..SHARDS).map(|shard| ServiceName::from(&*format!("s{shard}")));
        Self {
            scenario,
            rng: Pcg64::seed_from_u64(scenario.seed),
            arrivals: Pcg64::seed_from_u64(!scenario.seed),
            now: Time(0),
            events: BinaryHeap::new(),
            sequence: 0,
            admission: Admission::default(),
            names: names.collect(),
            queries: HashMap::new(),
            calls: HashMap::new(),
            leaves: (0..SHARDS)
                .map(|_| (0..scenario.leaves).map(|_| leaf()).collect())
                .collect(),
            budgets: (0..SHARDS).map(|_| RetryBudget::default()).collect(),
            contention: vec![Contention::default(); SHARDS],
            tallies: vec![Tally::default(); scenario.kinds.len()],
            trace: Trace::default(),
            poll_at: None,
            last_ticket: None,
        }
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn run(mut self) -> (Vec<Tally>, Trace) {
        for kind in 0..self.scenario.kinds.len() {
            self.schedule(Time(0), Event::Arrive(kind));
        }
        if let Some(every) = self.scenario.pause_every_ms {
            for shard in 0..SHARDS {
                for leaf in 0..self.scenario.leaves {
                    let at = self.rng.random_range(0..every);
                    self.schedule(Time::from_millis(at), Event::Pause(shard, leaf));
                }
            }
        }
        let (from, to) = self.scenario.surge_ms;
        for shard in 0..SHARDS {
            for leaf in 0..self.scenario.hung {
                self.schedule(Time::from_millis(from), Event::Hang(shard, leaf));
                self.schedule(Time::from_millis(to), Event::Resume(shard, leaf));
            }
        }
        let end = Time::from_millis(self.scenario.duration_ms + 3_000);
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > end {
                break;
            }
            self.now = now;
            self.handle(event);
            self.deliver();
        }
        self.trace.held = self.queries.len();
        self.trace.last_queued = self.admission.queued();
        self.trace.last_in_flight = self
            .last_ticket
            .map_or(0, |ticket| self.admission.load(ticket).in_flight);
        (self.tallies, self.trace)
    }

    fn in_surge(&self) -> bool {
        let (from, to) = self.scenario.surge_ms;
        (Time::from_millis(from)..Time::from_millis(to)).contains(&self.now)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(index) => {
                let kind = &self.scenario.kinds[index];
                let rate = if self.in_surge() {
                    kind.surge
                } else {
                    kind.rate
                };
                let gap = -self.arrivals.random_range(1e-9..1.0_f64).ln() / rate.max(1e-3);
                let next = self.now + Duration::from_secs_f64(gap.min(0.1));
                if next < Time::from_millis(self.scenario.duration_ms) {
                    self.schedule(next, Event::Arrive(index));
                }
                // Gaps are cut so that a change of the rate takes effect.
                if gap >= 0.1 || self.now == Time(0) {
                    return;
                }
                let host = self.arrivals.random_range(0..kind.flows);
                let flow = Flow::Caller(Ipv4Addr::new(10, 0, index as u8, host).into());
                self.sequence += 1;
                let id = self.sequence;
                let query = Query {
                    kind: index,
                    flow,
                    since: self.now,
                    arrived: self.now,
                    plan: None,
                    ticket: None,
                    admitted: false,
                    short: BTreeSet::new(),
                };
                self.queries.insert(id, query);
                self.tallies[index].sent += 1;
                let second = self.now.0 / 1_000_000;
                self.tallies[index].by_second.entry(second).or_default().0 += 1;
                if self.arrivals.random_bool(kind.leaves) {
                    self.schedule(self.now + Duration::from_millis(5), Event::Leave(id));
                }
                self.ask(id);
            }
            Event::Ask(id) => self.ask(id),
            Event::Wake(id) => self.step(id),
            Event::Leave(id) => {
                if let Some(query) = self.queries.remove(&id)
                    && let Some(ticket) = query.ticket
                {
                    match query.admitted {
                        true => self.admission.release(self.now, ticket, Ending::default()),
                        false => self.admission.cancel(self.now, ticket),
                    }
                }
            }
            Event::CallEnd(shard, leaf, call) => {
                let server = &mut self.leaves[shard][leaf];
                if server.paused {
                    server.held.push(call);
                } else {
                    self.end_call(shard, leaf, call);
                }
            }
            Event::Hang(shard, leaf) => self.leaves[shard][leaf].paused = true,
            Event::Pause(shard, leaf) => {
                self.leaves[shard][leaf].paused = true;
                let every = self.scenario.pause_every_ms.unwrap_or(1_000);
                let end = self.now + Duration::from_millis(150);
                self.schedule(end, Event::Resume(shard, leaf));
                if self.now < Time::from_millis(self.scenario.duration_ms) {
                    let next = self.now + Duration::from_millis(every);
                    self.schedule(next, Event::Pause(shard, leaf));
                }
            }
            Event::Resume(shard, leaf) => {
                self.leaves[shard][leaf].paused = false;
                let held = std::mem::take(&mut self.leaves[shard][leaf].held);
                held.into_iter()
                    .for_each(|call| self.end_call(shard, leaf, call));
            }
            Event::Poll => self.poll_at = None,
        }
    }

    /// Sends a query of a caller to the node.
    fn ask(&mut self, id: u64) {
        let Some(query) = self.queries.get_mut(&id) else {
            return;
        };
        let kind = &self.scenario.kinds[query.kind];
        query.arrived = self.now;
        query.short.clear();
        let objective = Duration::from_millis(kind.objective_ms);
        let partial_at = self.now + objective;
        let deadline = query.since + Duration::from_millis(kind.timeout_ms);
        let settings = PlanSettings {
            parts: kind.shards,
            required: (kind.shards * 3).div_ceil(4),
            max_attempts: 2,
            repeatable: true,
            typical: CALL_TIME,
            hedge_delay: CALL_TIME * 3,
            partial_at,
            deadline,
        };
        query.plan = Some(Plan::new(settings, self.now));
        query.admitted = true;
        if self.scenario.admission {
            let claim = Claim {
                target: &self.names[..kind.shards],
                priority: kind.priority,
                objective_at: partial_at,
                deadline,
                flow: query.flow.clone(),
                content: Fingerprint(id.into()),
            };
            let (ticket, decision) = self.admission.request(self.now, &claim, &mut self.rng);
            query.ticket = Some(ticket);
            self.last_ticket = Some(ticket);
            query.admitted = decision == Decision::Admitted;
            match decision {
                Decision::Admitted => {}
                Decision::Queued => return,
                Decision::Rejected(retry_after) => return self.reject(id, retry_after),
            }
        }
        self.step(id);
    }

    fn reject(&mut self, id: u64, retry_after: Duration) {
        let query = self.queries.get_mut(&id).unwrap();
        query.ticket = None;
        let kind = &self.scenario.kinds[query.kind];
        let tally = &mut self.tallies[query.kind];
        tally.told_ms.push(retry_after.as_millis() as u64);
        let waited = self.now.since(query.arrived).as_secs_f64() * 1e3 / kind.objective_ms as f64;
        tally.longest_rejection = tally.longest_rejection.max(waited);
        let delay = match kind.repeat {
            Repeat::Never => Duration::MAX,
            Repeat::AtOnce => Duration::from_millis(50),
            Repeat::AsTold => retry_after,
        };
        let last = query.since + Duration::from_millis(kind.timeout_ms);
        if delay < last.since(self.now) {
            let at = self.now + delay;
            self.schedule(at, Event::Ask(id));
        } else {
            tally.rejected += 1;
            self.queries.remove(&id);
        }
    }

    /// Passes on decisions of the admission.
    fn deliver(&mut self) {
        while !self.admission.is_idle() {
            let decided = self.admission.poll(self.now, &mut self.rng);
            if decided.is_empty() {
                break;
            }
            for (ticket, decision) in decided {
                let found = self.queries.iter().find(|(_, query)| {
                    !query.admitted && query.ticket.is_some_and(|known| known.id() == ticket)
                });
                let Some(id) = found.map(|(id, _)| *id) else {
                    continue;
                };
                match decision {
                    Decision::Rejected(retry_after) => self.reject(id, retry_after),
                    _ => {
                        self.queries.get_mut(&id).unwrap().admitted = true;
                        self.step(id);
                    }
                }
            }
        }
        self.trace.most_queued = self.trace.most_queued.max(self.admission.queued());
        if let Some(load) = self.admission.take_change() {
            if load.limit.is_some() {
                let now_ms = self.now.0 / 1_000;
                self.trace.limited_at_ms.get_or_insert(now_ms);
            }
            self.trace.last_limit = load.limit;
        }
        if let Some(due) = self.admission.next_poll()
            && self.poll_at.is_none_or(|at| due < at)
        {
            self.poll_at = Some(due);
            self.schedule(due.max(self.now), Event::Poll);
        }
    }

    fn step(&mut self, id: u64) {
        loop {
            let Some(query) = self.queries.get_mut(&id).filter(|query| query.admitted) else {
                return;
            };
            match query.plan.as_mut().unwrap().step(self.now) {
                Step::Finish(completion) => return self.finish(id, completion),
                Step::Wait(until) => {
                    return self.schedule(
                        until.max(self.now + Duration::from_micros(1)),
                        Event::Wake(id),
                    );
                }
                Step::Send(parts) => {
                    for (part, purpose) in parts {
                        self.send(id, part, purpose);
                    }
                }
            }
        }
    }

    fn send(&mut self, id: u64, part: usize, purpose: Option<Purpose>) {
        let now = self.now;
        let query = self.queries.get_mut(&id).unwrap();
        let plan = query.plan.as_mut().unwrap();
        let budget = &mut self.budgets[part];
        if let Some(purpose) = purpose
            && !budget.allows(now, &BOUNDS, 1, purpose)
        {
            return plan.record_no_budget(part, now);
        }
        let late = plan.is_late(now);
        if late && !self.contention[part].admits_late(now) {
            return plan.record_no_room(part, now);
        }
        let leaves = &self.leaves[part];
        let cost = |leaf: &usize| leaves[*leaf].stats.cost(now, CALL_TIME);
        let usable = (0..leaves.len()).filter(|leaf| {
            let stats = &leaves[*leaf].stats;
            stats.may_try(now) && stats.has_room() && stats.calls() < 13
        });
        let best = usable.min_by(|a, b| cost(a).total_cmp(&cost(b)));
        let Some(leaf) = best else {
            query.short.insert(part);
            if !late {
                self.contention[part].record_no_room(now);
            }
            return plan.record_no_room(part, now);
        };
        match purpose {
            Some(_) => budget.spend(now, &BOUNDS),
            None => budget.earn(now, &BOUNDS),
        }
        plan.record_sent(part, now);
        let server = &mut self.leaves[part][leaf];
        let token = server.stats.start_call(now);
        self.sequence += 1;
        let call = self.sequence;
        if server.running.len() >= self.scenario.slots
            && server.waiting.len() >= LEAF_QUEUE * self.scenario.slots
        {
            server.stats.end_call(now, token, Outcome::Shed, CALL_TIME);
            query.short.insert(part);
            return plan.record_failure(part, now, Failure::Shed);
        }
        let sent = now;
        let entry = Call {
            query: id,
            part,
            sent,
            token,
        };
        self.calls.insert(call, entry);
        if server.running.len() < self.scenario.slots {
            self.start_call(part, leaf, call);
        } else {
            server.waiting.push_back(call);
        }
    }

    fn start_call(&mut self, shard: usize, leaf: usize, call: u64) {
        self.leaves[shard][leaf].running.push(call);
        let slow = leaf < self.scenario.slow && self.in_surge();
        let factor = if slow { 5.0 } else { 1.0 } * self.rng.random_range(0.5..1.5);
        let end = self.now + CALL_TIME.mul_f64(factor);
        self.schedule(end, Event::CallEnd(shard, leaf, call));
    }

    fn end_call(&mut self, shard: usize, leaf: usize, call: u64) {
        let Call {
            query,
            part,
            sent,
            token,
        } = self.calls.remove(&call).unwrap();
        let server = &mut self.leaves[shard][leaf];
        server.running.retain(|other| *other != call);
        let outcome = Outcome::Answered(self.now.since(sent));
        server.stats.end_call(self.now, token, outcome, CALL_TIME);
        let load = LeafLoad {
            running: server.running.len() as u32,
            waiting: server.waiting.len() as u32,
            slots: self.scenario.slots as u32,
            speed: None,
        };
        server.stats.record_load(self.now, load);
        if let Some(next) = server.waiting.pop_front() {
            self.start_call(shard, leaf, next);
        }
        if let Some(entry) = self.queries.get_mut(&query) {
            if let Some(plan) = &mut entry.plan {
                plan.record_answer(part);
            }
            self.step(query);
        }
    }

    fn finish(&mut self, id: u64, completion: Completion) {
        let query = self.queries.remove(&id).unwrap();
        let (now, plan) = (self.now, query.plan.unwrap());
        let kind = &self.scenario.kinds[query.kind];
        let whole = plan.answered_count() == kind.shards;
        let in_time = whole && now <= plan.settings().partial_at;
        let tally = &mut self.tallies[query.kind];
        match completion {
            Completion::Answer if in_time => {
                tally.in_time += 1;
                tally
                    .by_second
                    .entry(query.since.0 / 1_000_000)
                    .or_default()
                    .1 += 1;
            }
            Completion::Answer if whole => tally.late += 1,
            Completion::Answer => tally.partial += 1,
            _ => tally.failed += 1,
        }
        if let Some(ticket) = query.ticket {
            let mut short = query.short.iter();
            let ending = Ending {
                in_time,
                lacked_room: short.any(|part| whole || !plan.is_answered(*part)),
                answered: plan.answered_count() as u32,
            };
            self.admission.release(now, ticket, ending);
        }
    }
}
