use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::{
    RequestId, ShardId, SnapshotId,
    call::{Failure, Hit, NotRun},
};

/// The answer to one query, from one snapshot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    pub request: RequestId,
    /// The snapshot that all hits come from.
    pub snapshot: SnapshotId,
    /// Best hits, score descending, then id ascending.
    pub hits: Vec<Hit>,
    pub coverage: Coverage,
    /// One entry for each shard that is not covered, in the order of the snapshot.
    pub missing: Vec<Missing>,
    pub elapsed: Duration,
    /// What ran; matters to at-most-once requests.
    pub outcome: RunOutcome,
}

/// The part of the pinned snapshot that an answer covers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Shards searched completely.
    pub answered: u32,
    /// Shards of the pinned snapshot.
    pub shards: u32,
}

impl Coverage {
    /// Returns the covered share, 1 for a snapshot without shards.
    pub fn share(self) -> f64 {
        if self.shards == 0 {
            1.0
        } else {
            f64::from(self.answered) / f64::from(self.shards)
        }
    }
}

/// A shard that an answer does not cover.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Missing {
    pub shard: ShardId,
    pub reason: MissingReason,
}

/// Why a shard is not covered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MissingReason {
    /// No replica is in service.
    NoReplica,
    /// No answer had arrived when the query ended.
    Late,
    /// The leaf searched only a part of the shard.
    Truncated,
    /// The leaves no longer serve the pinned snapshot.
    SnapshotLost,
    /// Nothing ran on the last replica that was asked.
    NotRun(NotRun),
    /// The last replica that was asked failed.
    Failed(Failure),
    /// The canary request failed, so the query was not fanned out.
    Canary,
}

/// What is known about the execution of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// At least one call ran, and each call either was answered or certainly did not run.
    Done,
    /// No call ran and none will.
    NotRun,
    /// A call may have run without an answer.
    Unknown,
}
