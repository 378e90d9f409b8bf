use std::{cmp::Reverse, collections::BinaryHeap, mem, sync::Arc, time::Duration};

use rand::Rng;
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::{
    Answer, Coverage, CrashView, HedgeBudget, LeafHealth, Missing, MissingReason, Query,
    QueryError, RunOutcome, Verdict,
    merge::merge,
    replica::{Purpose, candidates, choose, in_service, replicas},
    shard::{After, Call, Phase, ShardState, Why},
};
use crate::core::{
    Domain, LeafId, NodeId, ShardId, SnapshotId, Time,
    call::{Failure, Hit, LeafCall, LeafStatus, NotRun, Outcome},
    config::{DomainList, ServiceMap, ServicePolicy, SnapshotState},
    invariant::{Invariant, check},
};

/// Copies of one leaf call in flight at most, the first one included. At 500 leaf calls a query and 1%
/// stragglers, 5% of the queries meet a shard whose first two copies are both slow.
const MOST_COPIES: usize = 3;
/// Stretch of the hedge delay when the budget is empty; none when it is full.
///
/// Without it the tokens go to calls that are just slower than most, and none is left for the stragglers
/// behind them. Raising the quantile instead of the delay was worse: at a quantile of 99% and 1% stragglers
/// the delay became that of the stragglers themselves.
const STRETCH: f64 = 1.5;
/// Share of replies that report a queue above which nothing is hedged.
const BUSY_SHARE: f64 = 0.25;
/// Shortest time until a hedge that was denied is considered again.
const HEDGE_AGAIN: Duration = Duration::from_millis(2);
/// First pause before a shard whose replicas all refused is tried again; doubles each time.
const BACKOFF: Duration = Duration::from_millis(25);
/// Doublings of [`BACKOFF`] at most.
const MOST_DOUBLINGS: u32 = 3;
/// Calls sent for one shard at most, redirects apart.
const MOST_SENDS: u8 = 12;
/// Redirects to another owner followed for one shard at most.
const MOST_REDIRECTS: u8 = 3;
/// Shards on which a canary request is tried while nothing runs.
const CANARY_SHARDS: usize = 8;
/// Canary requests that may have run at most.
const CANARY_TRIES: u8 = 2;
/// Times a plan may become suspect before it stops calling leaves.
const MOST_SUSPICIONS: u8 = 2;

/// A leaf call of one plan; never reused within the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u32);

/// What a plan needs from its node at each step: the configuration in force and the service's shared state.
#[derive(Debug)]
pub struct Context<'a, C> {
    pub policy: &'a Arc<ServicePolicy>,
    pub map: &'a Arc<ServiceMap>,
    pub domains: &'a DomainList,
    /// One per service and entry node.
    pub health: &'a mut LeafHealth,
    /// One per service and entry node.
    pub budget: &'a mut HedgeBudget,
    pub crash: &'a C,
    pub rng: &'a mut Pcg64,
}

/// What the node does next for a plan.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryAction {
    /// Send a leaf call to `owner`, or to the holder of the leaf's partition as known to the node.
    Send {
        call: CallId,
        leaf_call: LeafCall,
        owner: Option<NodeId>,
    },
    /// Cancel a call in flight; its reply is not needed any more.
    Cancel(CallId),
    /// Call [`QueryPlan::wake`] at this time; replaces an earlier one.
    WakeAt(Time),
    /// The answer; the last action of a plan.
    Finish(Answer),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Hedge(CallId),
    /// Next try of the shard at this position.
    Retry(usize),
}

#[derive(Debug)]
struct Canary {
    index: usize,
    /// Calls sent that may have run.
    tries: u8,
    /// Shards tried.
    shards: usize,
}

/// The plan of one query.
#[derive(Debug)]
pub struct QueryPlan {
    query: Query,
    once: bool,
    policy: Arc<ServicePolicy>,
    /// The map that the snapshot was pinned from.
    map: Arc<ServiceMap>,
    snapshot: SnapshotId,
    started: Time,
    deadline: Time,
    shards: Vec<ShardState>,
    calls: Vec<Call>,
    timers: BinaryHeap<Reverse<(Time, Timer)>>,
    wake_at: Option<Time>,
    /// Time after which a first call and a later copy is slow.
    hedge_delays: Option<[Duration; 2]>,
    /// Calls sent per failure domain.
    load: SmallVec<[(Domain, u32); 4]>,
    /// Shards that still need an answer.
    pending: usize,
    answered: u32,
    canary: Option<Canary>,
    /// The query was in flight on a leaf that crashed and has not succeeded alone since.
    suspect: bool,
    suspicions: u8,
    cleared: Option<Time>,
    /// The one call in flight that runs alone on its leaf.
    alone: Option<CallId>,
    /// Shards that wait for the end of the call sent alone.
    held: Vec<usize>,
    /// Nothing more is sent.
    stopped: bool,
    /// Rounds of calls started: one, or two after a restart.
    rounds: u8,
    /// Calls of this round that repeat calls of the round before a restart.
    repeats: u32,
    /// Calls of the round before a restart may have run.
    ran_before: bool,
    finished: bool,
}

impl QueryPlan {
    /// Starts a query that may be repeated.
    ///
    /// # Errors
    ///
    /// Returns why the query is refused; no action is given then.
    pub fn start<C: CrashView>(
        now: Time,
        query: Query,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) -> Result<Self, QueryError> {
        Self::create(now, query, false, context, out)
    }

    /// Starts an at-most-once request: each shard is called at most once, without hedge or restart.
    ///
    /// # Errors
    ///
    /// Returns why the request is refused; no action is given then.
    pub fn once<C: CrashView>(
        now: Time,
        query: Query,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) -> Result<Self, QueryError> {
        Self::create(now, query, true, context, out)
    }

    fn create<C: CrashView>(
        now: Time,
        query: Query,
        once: bool,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) -> Result<Self, QueryError> {
        let policy = context.policy.clone();
        if query.top == 0 || query.top > policy.max_top {
            let (top, most) = (query.top, policy.max_top);
            return Err(QueryError::Top { top, most });
        }
        let wanted = query
            .deadline
            .unwrap_or(Duration::from_millis(policy.deadline_ms.into()));
        let time = wanted.min(Duration::from_millis(policy.max_deadline_ms.into()));
        if time.is_zero() {
            return Err(QueryError::NoTime);
        }
        let Some(snapshot) = pin(context.map) else {
            return Err(QueryError::NoSnapshot(query.service));
        };
        let verdict = context.crash.verdict(now, &query.service, &query.text);
        if verdict == Verdict::Quarantined {
            return Err(QueryError::Quarantined);
        }
        let mut plan = Self {
            query,
            once,
            policy,
            map: context.map.clone(),
            snapshot,
            started: now,
            deadline: now + time,
            shards: Vec::new(),
            calls: Vec::new(),
            timers: BinaryHeap::new(),
            wake_at: None,
            hedge_delays: None,
            load: SmallVec::new(),
            pending: 0,
            answered: 0,
            canary: None,
            suspect: verdict == Verdict::Suspect,
            suspicions: 0,
            cleared: None,
            alone: None,
            held: Vec::new(),
            stopped: false,
            rounds: 0,
            repeats: 0,
            ran_before: false,
            finished: false,
        };
        let canary = (verdict != Verdict::Known).then_some(0);
        plan.round(now, canary, context, out);
        plan.settle(now, out);
        Ok(plan)
    }

    /// Takes the reply to a call; late and duplicate replies are ignored.
    ///
    /// `status` is the owner's status of the leaf, absent when the owner itself gave no answer.
    pub fn reply<C: CrashView>(
        &mut self,
        now: Time,
        call: CallId,
        outcome: Outcome,
        status: Option<LeafStatus>,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) {
        let known = self.calls.get(call.0 as usize);
        if !check(Invariant::OwnAnswer, known.is_some(), || {
            format!("reply to call {} of {}", call.0, self.query.request)
        }) {
            return;
        }
        let record = &mut self.calls[call.0 as usize];
        if let Some(status) = status {
            context.health.status(now, &record.leaf, status);
        }
        if self.finished || !record.in_flight {
            return;
        }
        record.in_flight = false;
        let (index, round) = (record.index, self.rounds);
        self.shards[index].in_flight.retain(|other| *other != call);
        let was_alone = self.alone == Some(call);
        if was_alone {
            self.alone = None;
        }
        match outcome {
            Outcome::Hits {
                snapshot,
                shard,
                complete,
                hits,
            } => self.on_hits(now, call, snapshot, shard, complete, hits, context, out),
            Outcome::WrongSnapshot { .. } => self.on_lost(call, context),
            Outcome::NotRun(reason) => self.on_not_run(now, call, reason, context, out),
            Outcome::Failed(failure) => self.on_failed(now, call, failure, context),
        }
        if self.rounds == round && self.is_idle(index) {
            self.advance(now, index, context, out);
        }
        if was_alone && self.alone.is_none() {
            self.release(now, context, out);
        }
        self.learn_delays(now, context);
        self.settle(now, out);
    }

    /// Schedules the hedges of a query that started before the node knew any latency.
    fn learn_delays<C>(&mut self, now: Time, context: &Context<'_, C>) {
        if self.hedge_delays.is_some() || self.finished {
            return;
        }
        self.hedge_delays = self.hedge_delays(now, context);
        let Some([first, _]) = self.hedge_delays else {
            return;
        };
        for (number, call) in self.calls.iter().enumerate().filter(|(_, c)| c.in_flight) {
            let timer = Timer::Hedge(CallId(number as u32));
            self.timers
                .push(Reverse(((call.sent + first).max(now), timer)));
        }
    }

    /// Acts on the time: hedges, retries, early partial answer, deadline.
    pub fn wake<C: CrashView>(
        &mut self,
        now: Time,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) {
        self.wake_at = None;
        if self.finished {
            return;
        }
        while now < self.deadline {
            match self.timers.peek() {
                Some(Reverse((at, _))) if *at <= now => {}
                _ => break,
            }
            match self.timers.pop() {
                Some(Reverse((_, Timer::Hedge(call)))) => self.hedge(now, call, context, out),
                Some(Reverse((_, Timer::Retry(index)))) => {
                    if self.is_idle(index) {
                        self.advance(now, index, context, out);
                    }
                }
                None => break,
            }
        }
        self.settle(now, out);
    }

    /// Returns the query.
    pub fn query(&self) -> &Query {
        &self.query
    }

    /// Returns the deadline, on the entry node's clock.
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// Returns the pinned snapshot.
    pub fn snapshot(&self) -> SnapshotId {
        self.snapshot
    }

    /// Returns whether the answer was given.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Starts the calls for the pinned snapshot, with a canary request first unless `canary` is `None`.
    ///
    /// `canary` gives the canary requests of an earlier round that may have run.
    fn round<C: CrashView>(
        &mut self,
        now: Time,
        canary: Option<u8>,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) {
        let pinned = self.map.snapshots.iter().find(|s| s.id == self.snapshot);
        self.shards = pinned
            .map(|pinned| pinned.shards.iter())
            .into_iter()
            .flatten()
            .map(|shard| ShardState::new(shard.shard))
            .collect();
        self.rounds += 1;
        self.pending = self.shards.len();
        self.answered = 0;
        self.timers.clear();
        self.held.clear();
        self.alone = None;
        self.canary = None;
        self.hedge_delays = self.hedge_delays(now, context);
        if self.shards.is_empty() {
            return;
        }
        if let Some(tries) = canary {
            let index = context.rng.random_range(0..self.shards.len());
            self.canary = Some(Canary {
                index,
                tries,
                shards: 1,
            });
            context.budget.earn(1, self.policy.hedge.percent);
            self.shards[index].phase = Phase::Open;
            self.advance(now, index, context, out);
        } else {
            self.fan_out(now, context, out);
        }
    }

    /// Returns the time after which the first call of a shard counts as slow, and later copies of it.
    ///
    /// The first is stretched as the budget empties, so that hedges settle at what the budget earns. Later
    /// copies are so few that the policy's quantile fits.
    fn hedge_delays<C>(&self, now: Time, context: &Context<'_, C>) -> Option<[Duration; 2]> {
        let hedge = &self.policy.hedge;
        if self.once || hedge.percent <= 0.0 {
            return None;
        }
        let delay = context.health.quantile(now, hedge.quantile)?;
        let stretch = 1.0 + STRETCH * (1.0 - context.budget.level());
        Some([delay.mul_f64(stretch), delay])
    }

    fn fan_out<C: CrashView>(
        &mut self,
        now: Time,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) {
        let waiting = |shard: &ShardState| shard.phase == Phase::Waiting;
        let normal = self.shards.iter().filter(|s| waiting(s)).count() as u32;
        let normal = normal.saturating_sub(self.repeats);
        context.budget.earn(normal, self.policy.hedge.percent);
        let round = self.rounds;
        for index in 0..self.shards.len() {
            // A shard that was lost while it was the canary may restart the whole query.
            if self.rounds != round {
                return;
            }
            if waiting(&self.shards[index]) {
                self.shards[index].phase = Phase::Open;
                self.advance(now, index, context, out);
            }
        }
    }

    /// Sends the next call of an open shard that has none in flight, or schedules or closes the shard.
    fn advance<C: CrashView>(
        &mut self,
        now: Time,
        index: usize,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) {
        debug_assert!(self.is_idle(index), "only idle shards are advanced");
        let shard = &self.shards[index];
        if self.stopped || now >= self.deadline || (self.once && shard.may_run) {
            return self.close(index);
        }
        let spent = |canary: &Canary| canary.index == index && canary.tries >= CANARY_TRIES;
        if shard.sends >= MOST_SENDS || self.canary.as_ref().is_some_and(spent) {
            return self.close(index);
        }
        if self.suspect {
            if self.alone.is_some() {
                return self.held.push(index);
            }
            let query = &self.query;
            let verdict = context.crash.verdict(now, &query.service, &query.text);
            if verdict == Verdict::Quarantined {
                return self.stop();
            }
        }
        let paid = !self.once && (shard.may_run || shard.shed);
        let purpose = match (paid, self.once) {
            (true, _) => Purpose::Extra,
            (false, true) => Purpose::Careful,
            (false, false) => Purpose::Normal,
        };
        let Some((leaf, domain)) = self.pick(now, index, purpose, context) else {
            return self.exhausted(now, index, context, out);
        };
        if paid && !context.budget.spend() {
            return self.retry_later(now, index);
        }
        let why = if paid { Why::Retry } else { Why::Normal };
        self.send(
            now,
            index,
            leaf,
            domain,
            None,
            why,
            self.suspect,
            context,
            out,
        );
    }

    /// Decides about an open shard that has no replica to ask now.
    fn exhausted<C: CrashView>(
        &mut self,
        now: Time,
        index: usize,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) {
        if self.shards[index].lost {
            if self.restart(now, context, out) {
                return;
            }
            if !self.may_restart(now) {
                return self.close(index);
            }
        }
        let shard = &self.shards[index];
        let untried = self.has_replica(now, index, &shard.tried, context);
        if !untried && !shard.may_run && self.move_canary(now, index, context, out) {
            return;
        }
        if !untried {
            let none = !self.has_replica(now, index, &[], context);
            let shard = &mut self.shards[index];
            if none && shard.sends == 0 {
                shard.reason = MissingReason::NoReplica;
            }
            if none || self.once || shard.reason == MissingReason::Truncated {
                return self.close(index);
            }
            shard.tried.clear();
        }
        self.retry_later(now, index);
    }

    /// Makes another shard the canary when no replica of this one ran the query.
    fn move_canary<C: CrashView>(
        &mut self,
        now: Time,
        index: usize,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) -> bool {
        let count = self.shards.len();
        let next = (index + 1) % count;
        match &mut self.canary {
            Some(canary) if canary.index == index && canary.shards < count.min(CANARY_SHARDS) => {
                canary.index = next;
                canary.shards += 1;
            }
            _ => return false,
        }
        let shard = &mut self.shards[index];
        shard.phase = Phase::Waiting;
        if !self.once {
            shard.tried.clear();
        }
        self.shards[next].phase = Phase::Open;
        self.advance(now, next, context, out);
        true
    }

    fn retry_later(&mut self, now: Time, index: usize) {
        let shard = &mut self.shards[index];
        let pause = BACKOFF * 2_u32.pow(u32::from(shard.pauses).min(MOST_DOUBLINGS));
        shard.pauses = shard.pauses.saturating_add(1);
        let at = now + pause;
        if at < self.deadline {
            self.timers.push(Reverse((at, Timer::Retry(index))));
        } else {
            self.close(index);
        }
    }

    fn pick<C>(
        &self,
        now: Time,
        index: usize,
        purpose: Purpose,
        context: &mut Context<'_, C>,
    ) -> Option<(LeafId, Domain)> {
        let shard = &self.shards[index];
        let replicas = replicas(&self.map, context.map, self.snapshot, index, shard.shard);
        let found = candidates(
            now,
            replicas,
            context.map,
            context.domains,
            context.health,
            &shard.tried,
        );
        let asked: SmallVec<[Domain; 3]> = shard
            .in_flight
            .iter()
            .map(|call| self.calls[call.0 as usize].domain.clone())
            .collect();
        let load = |domain: &Domain| {
            let found = self.load.iter().find(|(known, _)| known == domain);
            found.map_or(0, |(_, calls)| *calls)
        };
        let chosen = choose(found, purpose, &asked, load, context.rng)?;
        Some((chosen.leaf.clone(), chosen.info.domain.clone()))
    }

    fn has_replica<C>(
        &self,
        now: Time,
        index: usize,
        tried: &[LeafId],
        context: &Context<'_, C>,
    ) -> bool {
        let shard = self.shards[index].shard;
        let replicas = replicas(&self.map, context.map, self.snapshot, index, shard);
        let (map, domains) = (context.map, context.domains);
        !candidates(now, replicas, map, domains, context.health, tried).is_empty()
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "one call site per cause of a call"
    )]
    fn send<C>(
        &mut self,
        now: Time,
        index: usize,
        leaf: LeafId,
        domain: Domain,
        owner: Option<NodeId>,
        why: Why,
        alone: bool,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) {
        let info = context.map.leaves.get(&leaf);
        let shard = &mut self.shards[index];
        let request = &self.query.request;
        let first = !self.once || (!shard.may_run && shard.in_flight.is_empty());
        let stays = info.is_some_and(|info| !info.leaving);
        let allowed = check(Invariant::AtMostOnce, first, || {
            format!("{request}: second call for shard {}", shard.shard)
        }) && check(Invariant::LeafLeaving, stays, || {
            format!("{request}: call to leaving leaf {leaf}")
        }) && check(
            Invariant::DomainOut,
            !context.domains.out.contains(&domain),
            || format!("{request}: call to leaf {leaf} in {domain}, which is out"),
        );
        if !allowed {
            return self.close(index);
        }
        let call = CallId(self.calls.len() as u32);
        let repeats = self.repeats > 0 && shard.sends == 0;
        if repeats {
            self.repeats -= 1;
        }
        let extra = why != Why::Normal || repeats;
        shard.in_flight.push(call);
        if owner.is_none() {
            shard.tried.push(leaf.clone());
            shard.sends = shard.sends.saturating_add(1);
            shard.shed = false;
            if let Some(canary) = self.canary.as_mut().filter(|c| c.index == index) {
                canary.tries += 1;
            }
        }
        if alone {
            self.alone = Some(call);
        }
        context.health.sent(&leaf);
        match self.load.iter_mut().find(|(known, _)| *known == domain) {
            Some((_, calls)) => *calls += 1,
            None => self.load.push((domain.clone(), 1)),
        }
        if let Some([first, later]) = self.hedge_delays {
            let delay = if why == Why::Hedge { later } else { first };
            self.timers.push(Reverse((now + delay, Timer::Hedge(call))));
        }
        out.push(QueryAction::Send {
            call,
            leaf_call: LeafCall {
                leaf: leaf.clone(),
                snapshot: self.snapshot,
                shard: shard.shard,
                once: self.once,
                alone,
                extra,
            },
            owner: owner.clone(),
        });
        self.calls.push(Call {
            index,
            leaf,
            domain,
            owner,
            sent: now,
            why,
            alone,
            in_flight: true,
            slow: false,
        });
    }

    fn hedge<C: CrashView>(
        &mut self,
        now: Time,
        call: CallId,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) {
        let record = &mut self.calls[call.0 as usize];
        if !record.in_flight {
            return;
        }
        record.slow = true;
        let index = record.index;
        let queued = context
            .health
            .entry(now, &record.leaf)
            .is_some_and(|entry| entry.is_queued());
        let canary = self.canary.as_ref();
        let canary = canary.filter(|canary| canary.index == index);
        if self.shards[index].in_flight.len() >= MOST_COPIES
            || self.stopped
            || canary.is_some_and(|canary| canary.tries >= CANARY_TRIES)
        {
            return;
        }
        // A second canary runs alone on its leaf: if both crash, the ledger can tell the query from chance.
        let alone = canary.is_some();
        let busy = queued || context.health.busy(now) > BUSY_SHARE;
        if !busy && !self.suspect && self.alone.is_none() {
            let target = self.pick(now, index, Purpose::Extra, context);
            if let Some((leaf, domain)) = target
                && context.budget.spend()
            {
                return self.send(
                    now,
                    index,
                    leaf,
                    domain,
                    None,
                    Why::Hedge,
                    alone,
                    context,
                    out,
                );
            }
        }
        self.hedge_later(now, call);
    }

    /// Considers a hedge again when the call has taken a quarter as long again as it has now.
    fn hedge_later(&mut self, now: Time, call: CallId) {
        let elapsed = now.since(self.calls[call.0 as usize].sent);
        let again = now + HEDGE_AGAIN.max(elapsed / 4);
        self.timers.push(Reverse((again, Timer::Hedge(call))));
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of the outcome")]
    fn on_hits<C: CrashView>(
        &mut self,
        now: Time,
        call: CallId,
        snapshot: SnapshotId,
        shard: ShardId,
        complete: bool,
        hits: Vec<Hit>,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) {
        let record = &self.calls[call.0 as usize];
        let (index, alone) = (record.index, record.alone);
        context.health.latency(now, now.since(record.sent));
        let state = &mut self.shards[index];
        state.may_run = true;
        if snapshot != self.snapshot || shard != state.shard {
            state.uncertain = true;
            state.lost |= snapshot != self.snapshot;
            state.reason = match state.lost {
                true => MissingReason::SnapshotLost,
                false => MissingReason::Failed(Failure::BadAnswer),
            };
            return;
        }
        if alone && self.suspect {
            self.suspect = false;
            self.cleared = Some(now);
        }
        self.accept(now, index, snapshot, shard, complete, hits, context, out);
        if self.canary.as_ref().is_some_and(|c| c.index == index) {
            self.canary = None;
            self.fan_out(now, context, out);
        }
    }

    /// Merges the answer of a leaf into its shard.
    #[expect(clippy::too_many_arguments, reason = "the fields of the outcome")]
    fn accept<C>(
        &mut self,
        now: Time,
        index: usize,
        snapshot: SnapshotId,
        shard: ShardId,
        complete: bool,
        mut hits: Vec<Hit>,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) {
        let top = usize::from(self.query.top);
        let state = &mut self.shards[index];
        let request = &self.query.request;
        let same = check(
            Invariant::OneSnapshot,
            snapshot == self.snapshot && shard == state.shard,
            || format!("{request}: hits of snapshot {snapshot} shard {shard}"),
        );
        let first = check(Invariant::TrueCoverage, state.is_pending(), || {
            format!("{request}: second answer for shard {shard}")
        });
        if !same || !first {
            return;
        }
        if hits.len() > top {
            hits = merge(hits, top);
        }
        state.ran = true;
        if !complete {
            state.reason = MissingReason::Truncated;
            if state.hits.len() < hits.len() {
                state.hits = hits;
            }
            return;
        }
        state.hits = hits;
        state.phase = Phase::Covered;
        self.pending -= 1;
        self.answered += 1;
        self.cancel(now, index, context, out);
    }

    fn on_lost<C>(&mut self, call: CallId, context: &mut Context<'_, C>) {
        self.give_back(call, true, context);
        let record = &self.calls[call.0 as usize];
        let shard = &mut self.shards[record.index];
        shard.lost = true;
        shard.reason = MissingReason::SnapshotLost;
    }

    fn on_not_run<C: CrashView>(
        &mut self,
        now: Time,
        call: CallId,
        reason: NotRun,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) {
        let record = &self.calls[call.0 as usize];
        let index = record.index;
        let after = After::of(&reason, record.owner.as_ref());
        let shard = &mut self.shards[index];
        if !shard.lost {
            shard.reason = MissingReason::NotRun(reason);
        }
        if let After::Redirect(holder) = &after {
            let info = context.map.leaves.get(&record.leaf);
            let stays = info.is_some_and(|info| in_service(info, context.domains));
            let only = shard.in_flight.is_empty() && shard.redirects < MOST_REDIRECTS;
            let fit = !self.stopped && now < self.deadline && (record.alone || !self.suspect);
            if stays && only && fit {
                shard.redirects += 1;
                let (leaf, domain) = (record.leaf.clone(), record.domain.clone());
                let (why, alone) = (record.why, record.alone);
                let owner = Some(holder.clone());
                return self.send(now, index, leaf, domain, owner, why, alone, context, out);
            }
        }
        shard.shed |= after == After::Paid;
        self.give_back(call, after != After::Paid, context);
        if after == After::Stop {
            return self.stop();
        }
        // A refused hedge may go to another replica while an earlier copy is still in flight.
        let earlier = self.shards[index].in_flight.first().copied();
        if let Some(earlier) = earlier.filter(|_| self.hedge_delays.is_some()) {
            self.hedge_later(now, earlier);
        }
    }

    fn on_failed<C>(
        &mut self,
        now: Time,
        call: CallId,
        failure: Failure,
        context: &mut Context<'_, C>,
    ) {
        let record = &self.calls[call.0 as usize];
        let (sent, alone) = (record.sent, record.alone);
        if record.slow {
            context.health.latency(now, now.since(sent));
        }
        let shard = &mut self.shards[record.index];
        shard.may_run = true;
        shard.uncertain = true;
        shard.reason = MissingReason::Failed(failure);
        // Calls sent before the query succeeded alone belong to the crash that it was cleared of.
        let cleared = self.cleared.is_some_and(|cleared| sent <= cleared);
        if failure != Failure::Reset || (cleared && !alone) {
            return;
        }
        self.suspicions += 1;
        if self.once || alone || self.suspicions > MOST_SUSPICIONS {
            self.stop();
        } else {
            self.suspect = true;
        }
    }

    /// Undoes the counts of a call that did not run; `refund` returns its token too.
    fn give_back<C>(&mut self, call: CallId, refund: bool, context: &mut Context<'_, C>) {
        let record = &self.calls[call.0 as usize];
        let (index, why) = (record.index, record.why);
        if why != Why::Normal {
            if refund {
                context.budget.refund();
            }
        } else if let Some(copy) = self.shards[index].in_flight.first() {
            // The first call did not run, so its copy is the only one and takes its place.
            let copy = &mut self.calls[copy.0 as usize];
            if mem::replace(&mut copy.why, Why::Normal) != Why::Normal {
                context.budget.refund();
            }
        }
        if let Some(canary) = self.canary.as_mut().filter(|c| c.index == index) {
            canary.tries = canary.tries.saturating_sub(1);
        }
    }

    /// Lets the shards go on that waited for the end of the call sent alone.
    fn release<C: CrashView>(
        &mut self,
        now: Time,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) {
        let round = self.rounds;
        for index in mem::take(&mut self.held) {
            if self.rounds == round && self.is_idle(index) {
                self.advance(now, index, context, out);
            }
        }
    }

    /// Sends nothing more; calls in flight may still answer.
    fn stop(&mut self) {
        self.stopped = true;
        self.held.clear();
        for index in 0..self.shards.len() {
            if self.is_idle(index) {
                self.close(index);
            }
        }
    }

    /// Gives up a shard; without a canary request that succeeded, the whole fan-out.
    fn close(&mut self, index: usize) {
        let shard = &mut self.shards[index];
        if !shard.is_pending() {
            return;
        }
        shard.phase = Phase::Closed;
        self.pending -= 1;
        if self.stopped && shard.sends == 0 {
            shard.reason = MissingReason::NotRun(NotRun::Quarantined);
        }
        if self.canary.as_ref().is_some_and(|c| c.index == index) {
            for shard in &mut self.shards {
                if shard.phase == Phase::Waiting {
                    shard.phase = Phase::Closed;
                    shard.reason = match shard.sends {
                        0 => MissingReason::Canary,
                        _ => shard.reason.clone(),
                    };
                    self.pending -= 1;
                }
            }
        }
    }

    /// Returns whether a restart on a newer snapshot can still happen.
    fn may_restart(&self, now: Time) -> bool {
        let half = self.deadline.since(self.started) / 2;
        !self.once && self.rounds == 1 && !self.stopped && now.since(self.started) < half
    }

    /// Starts the whole query again on a newer snapshot, against the budget for all calls that ran.
    fn restart<C: CrashView>(
        &mut self,
        now: Time,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) -> bool {
        let newer = pin(context.map).filter(|newer| *newer > self.snapshot);
        let Some(newer) = newer.filter(|_| self.may_restart(now)) else {
            return false;
        };
        // A snapshot whose leaves are not in service would lose the answers that have arrived.
        if reachable(context.map, newer, context.domains) <= self.answered as usize {
            return false;
        }
        let canary = match &self.canary {
            Some(canary) if canary.tries >= CANARY_TRIES => return false,
            Some(canary) => Some(canary.tries),
            None => self.suspect.then_some(0),
        };
        let ran = |shard: &&ShardState| shard.may_run || !shard.in_flight.is_empty();
        let repeats = self.shards.iter().filter(ran).count() as u32;
        if !context.budget.borrow(repeats) {
            return false;
        }
        for index in 0..self.shards.len() {
            self.cancel(now, index, context, out);
        }
        self.repeats = repeats;
        self.ran_before = repeats > 0;
        self.map = context.map.clone();
        self.snapshot = newer;
        self.round(now, canary, context, out);
        true
    }

    /// Cancels all calls of a shard that are in flight.
    fn cancel<C>(
        &mut self,
        now: Time,
        index: usize,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) {
        for call in mem::take(&mut self.shards[index].in_flight) {
            let record = &mut self.calls[call.0 as usize];
            record.in_flight = false;
            // Without the slow calls that were given up, the quantile would sink with each hedge.
            if record.slow {
                context.health.latency(now, now.since(record.sent));
            }
            if self.alone == Some(call) {
                self.alone = None;
            }
            out.push(QueryAction::Cancel(call));
        }
    }

    /// Gives the answer if the query is over, otherwise the next time to wake up.
    fn settle(&mut self, now: Time, out: &mut Vec<QueryAction>) {
        if self.finished {
            return;
        }
        let partial = self
            .policy
            .partial_after_ms
            .filter(|_| !self.once)
            .map(|millis| self.started + Duration::from_millis(millis.into()));
        let enough = self.coverage().share() >= self.policy.min_coverage;
        let early = partial.is_some_and(|at| now >= at) && enough;
        if self.pending == 0 || now >= self.deadline || early {
            return self.finish(now, out);
        }
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        let partial = partial.filter(|at| *at > now);
        let next = [timer, partial].into_iter().flatten().min();
        let next = next.map_or(self.deadline, |next| next.min(self.deadline));
        if self.wake_at != Some(next) {
            self.wake_at = Some(next);
            out.push(QueryAction::WakeAt(next));
        }
    }

    /// Returns whether a shard is open and has no call in flight.
    fn is_idle(&self, index: usize) -> bool {
        let shard = &self.shards[index];
        shard.phase == Phase::Open && shard.in_flight.is_empty()
    }

    fn coverage(&self) -> Coverage {
        Coverage {
            answered: self.answered,
            shards: self.shards.len() as u32,
        }
    }

    fn finish(&mut self, now: Time, out: &mut Vec<QueryAction>) {
        self.finished = true;
        let outcome = self.outcome();
        for shard in &mut self.shards {
            for call in mem::take(&mut shard.in_flight) {
                self.calls[call.0 as usize].in_flight = false;
                out.push(QueryAction::Cancel(call));
                shard.reason = match shard.reason {
                    MissingReason::Truncated => MissingReason::Truncated,
                    _ => MissingReason::Late,
                };
            }
        }
        let covered = |shard: &&ShardState| shard.phase == Phase::Covered;
        let answered = self.shards.iter().filter(covered).count() as u32;
        let request = &self.query.request;
        let counted = self.answered;
        let _ = check(Invariant::TrueCoverage, counted == answered, || {
            format!("{request}: {counted} answers counted, {answered} shards covered")
        });
        let missing = self
            .shards
            .iter()
            .filter(|shard| shard.phase != Phase::Covered)
            .map(|shard| Missing {
                shard: shard.shard,
                reason: shard.reason.clone(),
            })
            .collect();
        let hits = self.shards.iter_mut().flat_map(|s| mem::take(&mut s.hits));
        let hits = merge(hits.collect(), usize::from(self.query.top));
        let coverage = Coverage {
            answered,
            shards: self.shards.len() as u32,
        };
        out.push(QueryAction::Finish(Answer {
            request: self.query.request.clone(),
            snapshot: self.snapshot,
            hits,
            coverage,
            missing,
            elapsed: now.since(self.started),
            outcome,
        }));
    }

    /// Returns what is known about the execution, before the calls in flight are cancelled.
    fn outcome(&self) -> RunOutcome {
        let open = |shard: &ShardState| {
            shard.phase != Phase::Covered && (shard.uncertain || !shard.in_flight.is_empty())
        };
        let answered = self.shards.iter().any(|shard| shard.ran);
        if self.shards.iter().any(open) || (self.ran_before && !answered) {
            RunOutcome::Unknown
        } else if answered {
            RunOutcome::Done
        } else {
            let ran = self.shards.iter().any(|shard| shard.may_run);
            let request = &self.query.request;
            match check(Invariant::NotRunFinal, !ran, || {
                format!("{request}: a call ran but the outcome is \"not run\"")
            }) {
                true => RunOutcome::NotRun,
                false => RunOutcome::Unknown,
            }
        }
    }
}

/// Returns the newest serving snapshot, or the newest retiring one if none serves.
fn pin(map: &ServiceMap) -> Option<SnapshotId> {
    let newest = |state| {
        let of_state = map.snapshots.iter().filter(|s| s.state == state);
        of_state.map(|s| s.id).max()
    };
    newest(SnapshotState::Serving).or_else(|| newest(SnapshotState::Retiring))
}

/// Returns the number of shards of a snapshot that have a replica in service.
fn reachable(map: &ServiceMap, snapshot: SnapshotId, domains: &DomainList) -> usize {
    let serves = |leaf: &LeafId| {
        let info = map.leaves.get(leaf);
        info.is_some_and(|info| in_service(info, domains))
    };
    let found = map.snapshots.iter().find(|s| s.id == snapshot);
    let shards = found.map_or(&[][..], |found| &found.shards);
    let reachable = shards.iter().filter(|s| s.leaves.iter().any(serves));
    reachable.count()
}
