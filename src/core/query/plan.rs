use std::sync::Arc;

use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};

use super::{Answer, CrashView, HedgeBudget, LeafHealth, Query, QueryError};
use crate::core::{
    NodeId, SnapshotId, Time,
    call::{LeafCall, LeafStatus, Outcome},
    config::{DomainList, ServiceMap, ServicePolicy},
};

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

/// The plan of one query.
#[derive(Debug)]
pub struct QueryPlan {
    query: Query,
    deadline: Time,
    snapshot: SnapshotId,
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
        let _ = (now, context, out);
        Err(QueryError::NoSnapshot(query.service))
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
        Self::start(now, query, context, out)
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
        let _ = (now, call, outcome, status, context, out);
    }

    /// Acts on the time: hedges, partial answer, deadline.
    pub fn wake<C: CrashView>(
        &mut self,
        now: Time,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) {
        let _ = (now, context, out);
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
}
