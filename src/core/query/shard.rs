use smallvec::SmallVec;

use super::{CallId, MissingReason};
use crate::core::{
    Domain, LeafId, NodeId, ShardId, Time,
    call::{Hit, NotRun},
};

/// How far the plan is with one shard of the pinned snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Not called before the canary request succeeds.
    Waiting,
    /// Has a call in flight or a timer for the next one.
    Open,
    /// Searched completely.
    Covered,
    /// Nothing more is tried.
    Closed,
}

#[derive(Debug)]
pub(super) struct ShardState {
    pub(super) shard: ShardId,
    pub(super) phase: Phase,
    pub(super) in_flight: SmallVec<[CallId; 3]>,
    /// Leaves asked in this round of replicas.
    pub(super) tried: SmallVec<[LeafId; 4]>,
    pub(super) sends: u8,
    pub(super) redirects: u8,
    /// Pauses before another try.
    pub(super) pauses: u8,
    /// The last leaf asked had the work of refusing, so the next call is paid from the budget.
    pub(super) shed: bool,
    /// A call other than one certainly not run was sent, so that another one is extra load.
    pub(super) may_run: bool,
    /// A leaf answered for the pinned snapshot.
    pub(super) ran: bool,
    /// A call ended without telling whether it ran.
    pub(super) uncertain: bool,
    /// A leaf answered that it does not serve the pinned snapshot.
    pub(super) lost: bool,
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
            pauses: 0,
            shed: false,
            ran: false,
            may_run: false,
            uncertain: false,
            lost: false,
            hits: Vec::new(),
            reason: MissingReason::Late,
        }
    }

    pub(super) fn is_pending(&self) -> bool {
        matches!(self.phase, Phase::Waiting | Phase::Open)
    }
}

/// One leaf call that was sent.
#[derive(Debug)]
pub(super) struct Call {
    /// Position of the shard in the plan.
    pub(super) index: usize,
    pub(super) leaf: LeafId,
    pub(super) domain: Domain,
    pub(super) owner: Option<NodeId>,
    pub(super) sent: Time,
    pub(super) why: Why,
    pub(super) alone: bool,
    pub(super) in_flight: bool,
    /// Was due for a hedge.
    pub(super) slow: bool,
}

/// Why a call is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Why {
    /// First call of a shard, or another one after the first certainly did not run.
    Normal,
    /// Second copy of a slow call.
    Hedge,
    /// Another try after a call that may have run.
    Retry,
}

/// What the entry does after a call that did not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum After {
    /// Ask the holder of the lease.
    Redirect(NodeId),
    /// Ask another replica; no leaf was bothered.
    Free,
    /// Ask another replica against the budget; the leaf had the work of refusing.
    Paid,
    /// Ask nobody.
    Stop,
}

impl After {
    pub(super) fn of(reason: &NotRun, asked: Option<&NodeId>) -> Self {
        match reason {
            NotRun::NotOwner {
                holder: Some(holder),
            } if Some(holder) != asked => After::Redirect(holder.clone()),
            NotRun::Shed => After::Paid,
            NotRun::Quarantined => After::Stop,
            _ => After::Free,
        }
    }
}
