use smallvec::SmallVec;

use super::{CallId, MissingReason};
use crate::core::{
    Domain, LeafId, NodeId, ShardId, Time,
    call::{Hit, NotRun},
};

/// Progress of one shard of the pinned snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// No call is sent until the canary request has succeeded.
    Waiting,
    /// A call is in flight, deferred or scheduled.
    Open,
    /// Searched completely.
    Covered,
    /// Given up; no further call is sent.
    Closed,
}

#[derive(Debug)]
pub(super) struct ShardState {
    pub(super) shard: ShardId,
    pub(super) phase: Phase,
    pub(super) in_flight: SmallVec<[CallId; 3]>,
    /// Leaves already called; cleared when no untried replica is left.
    pub(super) tried: SmallVec<[LeafId; 4]>,
    pub(super) sends: u8,
    pub(super) redirects: u8,
    /// Number of backoff delays so far.
    pub(super) backoffs: u8,
    /// The last leaf called spent work on rejecting the call, so the next call takes a token from the budget.
    pub(super) shed: bool,
    /// A call ended that ran or may have run, so any further call is extra load.
    pub(super) may_have_run: bool,
    /// A leaf answered from the pinned snapshot, completely or in part.
    pub(super) answered: bool,
    /// A call ended without evidence of whether it ran for the pinned snapshot.
    pub(super) uncertain: bool,
    /// A leaf reported that it does not serve the pinned snapshot.
    pub(super) snapshot_lost: bool,
    pub(super) hits: Vec<Hit>,
    pub(super) reason: MissingReason,
}

impl ShardState {
    pub(super) fn new(shard: ShardId) -> Self {
        Self {
            shard,
            phase: Phase::Waiting,
            in_flight: SmallVec::new(),
            tried: SmallVec::new(),
            sends: 0,
            redirects: 0,
            backoffs: 0,
            shed: false,
            answered: false,
            may_have_run: false,
            uncertain: false,
            snapshot_lost: false,
            hits: Vec::new(),
            reason: MissingReason::Late,
        }
    }

    pub(super) fn is_pending(&self) -> bool {
        matches!(self.phase, Phase::Waiting | Phase::Open)
    }
}

/// A leaf call that has been sent.
#[derive(Debug)]
pub(super) struct Call {
    /// Position of the shard in the plan.
    pub(super) index: usize,
    pub(super) leaf: LeafId,
    pub(super) domain: Domain,
    pub(super) owner: Option<NodeId>,
    pub(super) sent: Time,
    pub(super) kind: CallKind,
    pub(super) alone: bool,
    pub(super) in_flight: bool,
    /// The call exceeded its hedge delay.
    pub(super) slow: bool,
}

/// The kind of a leaf call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
    /// First call of a shard, or a further one when no earlier call can have run.
    Normal,
    /// Additional copy of a slow call.
    Hedge,
    /// New attempt after a call that may have run, or that the leaf shed.
    Retry,
}

/// What the entry node does after a call that did not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum NotRunAction {
    /// Send the call to the holder of the lease.
    Redirect(NodeId),
    /// Call another replica without taking a token; the rejection cost the leaf no work.
    RetryFree,
    /// Call another replica and take a token from the budget; the rejection cost the leaf work.
    RetryPaid,
    /// Send no further calls.
    Stop,
}

impl NotRunAction {
    pub(super) fn after(reason: &NotRun, owner: Option<&NodeId>) -> Self {
        match reason {
            NotRun::NotOwner {
                holder: Some(holder),
            } if Some(holder) != owner => NotRunAction::Redirect(holder.clone()),
            NotRun::Shed => NotRunAction::RetryPaid,
            NotRun::Quarantined => NotRunAction::Stop,
            _ => NotRunAction::RetryFree,
        }
    }
}
