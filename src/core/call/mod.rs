//! Messages between an entry node and the owner of a leaf.

mod display;

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::core::{LeafId, RequestId, ServiceName, ShardId, SnapshotId};

/// A call to a leaf, for one shard of a pinned snapshot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeafCall {
    pub leaf: LeafId,
    pub snapshot: SnapshotId,
    pub shard: ShardId,
    /// At-most-once call: never sent twice, and only on a connection known to be alive.
    pub once: bool,
    /// Must run with no other call in flight on the leaf, because its query is suspected of crashing leaves.
    pub alone: bool,
    /// Hedge, retry or call repeated by a restart of the query, counted as extra load.
    pub extra: bool,
}

/// The leaf calls of one query that go to the same owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeafBatch {
    pub request: RequestId,
    pub service: ServiceName,
    /// The W3C `traceparent` of the entry's span.
    pub trace: Option<Arc<str>>,
    /// Remaining time in microseconds when the batch was sent.
    pub budget: u64,
    pub text: Arc<str>,
    /// Number of hits requested from each shard.
    pub top: u16,
    pub calls: Vec<LeafCall>,
}

/// One matching record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hit {
    pub id: Arc<str>,
    pub score: f64,
    pub text: Arc<str>,
}

/// The owner's answer to one call of a batch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeafReply {
    /// Position of the call in the batch.
    pub index: u32,
    pub outcome: Outcome,
    /// Status of the leaf, used by the entry node for replica selection.
    pub status: LeafStatus,
}

/// Outcome of a leaf call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    Hits {
        snapshot: SnapshotId,
        shard: ShardId,
        /// False if the leaf searched only part of the shard or the answer was truncated.
        complete: bool,
        hits: Vec<Hit>,
    },
    /// The leaf does not serve the pinned snapshot; the call did not run.
    WrongSnapshot { serving: Option<SnapshotId> },
    /// The call did not run and never will.
    NotRun(NotRun),
    /// The call may have run.
    Failed(Failure),
}

/// Why a call certainly did not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotRun {
    /// This node does not hold the lease of the leaf's partition; contains the holder if known.
    NotOwner { holder: Option<crate::core::NodeId> },
    /// The owner's queue for the leaf is full.
    QueueFull,
    /// The call could not start before its deadline or the end of the lease, or was cancelled before it was sent.
    TooLate,
    /// The leaf is cold and has no spare capacity.
    Cold,
    /// The leaf rejected the call explicitly.
    Shed,
    /// There is no working connection to the leaf or to its owner.
    Unreachable,
    /// The leaf is leaving or its failure domain is out of service.
    Leaving,
    /// The query is quarantined because it crashed leaves.
    Quarantined,
    /// The leaf is not in the owner's active map.
    UnknownLeaf,
}

/// Why a call that may have run has no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Failure {
    /// The deadline passed.
    Deadline,
    /// The connection was reset while the call was in flight.
    Reset,
    /// The connection stopped responding.
    Silent,
    /// The leaf answered with an error or an invalid answer.
    BadAnswer,
    /// The connection to the owner broke.
    OwnerLost,
    /// The call was cancelled by the caller, because a faster copy answered, or because the leaf was removed.
    Cancelled,
}

/// Status of a leaf as reported by its owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeafStatus {
    pub cold: bool,
    /// Number of calls the leaf can take now without queueing.
    pub spare: u16,
    /// Number of calls queued at the owner.
    pub queued: u16,
    /// Median service time, microseconds; zero when unknown.
    pub median: u32,
}
