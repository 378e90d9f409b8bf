//! The state machine of one query, driven by replies and timers.

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

/// Maximum number of canary requests that may have run.
const MAX_CANARY_TRIES: u8 = 2;

/// Identifies a leaf call of a plan; never reused within the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u32);

/// State of the node that a plan uses in each step: the active configuration and the shared state of the service.
#[derive(Debug)]
pub struct Context<'a, C> {
    pub policy: &'a Arc<ServicePolicy>,
    pub map: &'a Arc<ServiceMap>,
    pub domains: &'a DomainList,
    /// Shared by all plans of the service on this entry node.
    pub health: &'a mut LeafHealth,
    /// Shared by all plans of the service on this entry node.
    pub budget: &'a mut ExtraCallBudget,
    pub crash: &'a C,
    pub rng: &'a mut Pcg64,
}

/// An action that a plan requests from its node.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryAction {
    /// Send a leaf call to `owner`, or if absent to the holder of the leaf's partition as known to the node.
    Send {
        call: CallId,
        leaf_call: LeafCall,
        owner: Option<NodeId>,
    },
    /// Cancel a call in flight; its reply is no longer needed.
    Cancel(CallId),
    /// Call [`QueryPlan::on_timer`] at this time; replaces an earlier timer.
    SetTimer(Time),
    /// The answer; the last action of a plan.
    Finish(Answer),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Hedge(CallId),
    /// Next attempt for the shard at this position.
    Retry(usize),
}

#[derive(Debug)]
struct Canary {
    /// Position of the shard that the canary request is sent for.
    index: usize,
    /// Number of canary calls that may have run.
    tries: u8,
    /// Number of shards tried.
    shards: usize,
}

/// The state machine of one query.
#[derive(Debug)]
pub struct QueryPlan {
    query: Query,
    at_most_once: bool,
    policy: Arc<ServicePolicy>,
    /// The map that the snapshot was pinned from.
    map: Arc<ServiceMap>,
    snapshot: SnapshotId,
    started: Time,
    deadline: Time,
    shards: Vec<ShardState>,
    calls: Vec<Call>,
    timers: BinaryHeap<Reverse<(Time, Timer)>>,
    timer_at: Option<Time>,
    /// Times after which the first call of a shard and a later copy count as slow; `None` if nothing is hedged or
    /// latencies are unknown.
    hedge_delays: Option<[Duration; 2]>,
    /// Number of calls sent per failure domain.
    domain_calls: SmallVec<[(Domain, u32); 4]>,
    /// Number of shards that still need an answer.
    pending: usize,
    /// Number of shards searched completely.
    covered: u32,
    canary: Option<Canary>,
    /// The query was in flight on a leaf that crashed, and has not completed alone on a leaf since.
    suspect: bool,
    suspicions: u8,
    /// When a call that ran alone completed and ended the suspicion.
    cleared_at: Option<Time>,
    /// The call in flight that runs alone on its leaf.
    alone_call: Option<CallId>,
    /// Shards whose calls are deferred until `alone_call` has ended.
    deferred: Vec<usize>,
    /// No further call is sent.
    stopped: bool,
    /// Number of rounds of calls started: one, or two after a restart.
    rounds: u8,
    /// Calls still to be sent in this round that repeat calls of the round before a restart.
    repeats_left: u32,
    /// Calls of the round before a restart may have run.
    ran_before_restart: bool,
    finished: bool,
}

impl QueryPlan {
    /// Starts a query whose calls may be repeated.
    ///
    /// # Errors
    ///
    /// Returns why the query is rejected; `out` is unchanged then.
    pub fn start<C: CrashView>(
        now: Time,
        query: Query,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) -> Result<Self, QueryError> {
        Self::create(now, query, false, context, out)
    }

    /// Starts an at-most-once request: each shard runs at most one call, without hedges or restarts.
    ///
    /// # Errors
    ///
    /// Returns why the request is rejected; `out` is unchanged then.
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
        at_most_once: bool,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) -> Result<Self, QueryError> {
        let policy = context.policy.clone();
        if query.top == 0 || query.top > policy.max_top {
            let (top, most) = (query.top, policy.max_top);
            return Err(QueryError::Top { top, most });
        }
        let requested = query
            .deadline
            .unwrap_or(Duration::from_millis(policy.deadline_ms.into()));
        let time = requested.min(Duration::from_millis(policy.max_deadline_ms.into()));
        if time.is_zero() {
            return Err(QueryError::NoTime);
        }
        let Some(snapshot) = pin_snapshot(context.map) else {
            return Err(QueryError::NoSnapshot(query.service));
        };
        let verdict = context.crash.verdict(now, &query.service, &query.text);
        if verdict == Verdict::Quarantined {
            return Err(QueryError::Quarantined);
        }
        let mut plan = Self {
            query,
            at_most_once,
            policy,
            map: context.map.clone(),
            snapshot,
            started: now,
            deadline: now + time,
            shards: Vec::new(),
            calls: Vec::new(),
            timers: BinaryHeap::new(),
            timer_at: None,
            hedge_delays: None,
            domain_calls: SmallVec::new(),
            pending: 0,
            covered: 0,
            canary: None,
            suspect: verdict == Verdict::Suspect,
            suspicions: 0,
            cleared_at: None,
            alone_call: None,
            deferred: Vec::new(),
            stopped: false,
            rounds: 0,
            repeats_left: 0,
            ran_before_restart: false,
            finished: false,
        };
        let canary = (verdict != Verdict::Known).then_some(0);
        plan.start_round(now, canary, context, out);
        plan.finish_or_set_timer(now, out);
        Ok(plan)
    }

    /// Processes the reply to a call; late and duplicate replies only update the status of the leaf.
    ///
    /// `status` is the status of the leaf reported by its owner, absent if the owner did not answer.
    pub fn on_reply<C: CrashView>(
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
        let was_alone = self.alone_call == Some(call);
        if was_alone {
            self.alone_call = None;
        }
        match outcome {
            Outcome::Hits {
                snapshot,
                shard,
                complete,
                hits,
            } => self.on_hits(now, call, snapshot, shard, complete, hits, context, out),
            Outcome::WrongSnapshot { .. } => self.on_wrong_snapshot(call, context),
            Outcome::NotRun(reason) => self.on_not_run(now, call, reason, context, out),
            Outcome::Failed(failure) => self.on_failed(now, call, failure, context),
        }
        if self.rounds == round && self.is_idle(index) {
            self.advance(now, index, context, out);
        }
        if was_alone && self.alone_call.is_none() {
            self.resume_deferred(now, context, out);
        }
        self.init_hedge_delays(now, context);
        self.finish_or_set_timer(now, out);
    }

    /// Schedules hedges for the calls in flight once latencies are known that were not when the round started.
    fn init_hedge_delays<C>(&mut self, now: Time, context: &Context<'_, C>) {
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

    /// Processes everything due at `now`: hedges, retries, an early partial answer and the deadline.
    pub fn on_timer<C: CrashView>(
        &mut self,
        now: Time,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) {
        self.timer_at = None;
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
        self.finish_or_set_timer(now, out);
    }

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

    /// Returns whether the answer has been emitted.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Starts the calls for the pinned snapshot, with a canary request first unless `canary` is `None`.
    ///
    /// `canary` is the number of canary requests of an earlier round that may have run.
    fn start_round<C: CrashView>(
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
        self.covered = 0;
        self.timers.clear();
        self.deferred.clear();
        self.alone_call = None;
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

/// Returns the newest serving snapshot, or the newest retiring one if none is serving.
fn pin_snapshot(map: &ServiceMap) -> Option<SnapshotId> {
    let newest = |state| {
        let matching = map.snapshots.iter().filter(|s| s.state == state);
        matching.map(|s| s.id).max()
    };
    newest(SnapshotState::Serving).or_else(|| newest(SnapshotState::Retiring))
}
