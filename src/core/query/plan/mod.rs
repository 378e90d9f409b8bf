//! The plan of one query, driven by replies and time.

mod completion;
mod dispatch;
mod replies;

use std::{cmp::Reverse, collections::BinaryHeap, sync::Arc, time::Duration};

use rand::Rng;
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::{
    Answer, CrashView, ExtraCallBudget, LeafHealth, Query, QueryError, Verdict,
    shard::{Call, Phase, ShardState},
};
use crate::core::{
    Domain, NodeId, SnapshotId, Time,
    call::{LeafCall, LeafStatus, Outcome},
    config::{DomainList, ServiceMap, ServicePolicy, SnapshotState},
    invariant::{Invariant, check},
};

/// Canary requests that may have run at most.
const CANARY_TRIES: u8 = 2;

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
    pub budget: &'a mut ExtraCallBudget,
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
    /// Call [`QueryPlan::on_timer`] at this time; replaces an earlier one.
    SetTimer(Time),
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
    pub fn start_once<C: CrashView>(
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
            context.health.record_status(now, &record.leaf, status);
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
    pub fn on_timer<C: CrashView>(
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
}

/// Returns the newest serving snapshot, or the newest retiring one if none serves.
fn pin(map: &ServiceMap) -> Option<SnapshotId> {
    let newest = |state| {
        let of_state = map.snapshots.iter().filter(|s| s.state == state);
        of_state.map(|s| s.id).max()
    };
    newest(SnapshotState::Serving).or_else(|| newest(SnapshotState::Retiring))
}
