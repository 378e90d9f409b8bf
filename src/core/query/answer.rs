use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::{
    RequestId, ShardId, SnapshotId,
    call::{Failure, Hit, NotRun},
};

/// The answer to a query, computed from a single snapshot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    pub request: RequestId,
    /// The snapshot that all hits were read from.
    pub snapshot: SnapshotId,
    /// Best hits, by descending score, then by ascending id.
    pub hits: Vec<Hit>,
    pub coverage: Coverage,
    /// One entry for each shard that is not covered, in snapshot order.
    pub missing: Vec<Missing>,
    pub elapsed: Duration,
    /// Whether the query ran; relevant to at-most-once requests.
    pub outcome: RunOutcome,
}

/// The part of the pinned snapshot that an answer covers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Number of shards searched completely.
    pub answered: u32,
    /// Number of shards in the pinned snapshot.
    pub shards: u32,
}

impl Coverage {
    /// Returns the covered share, 0 to 1; 1 for a snapshot without shards.
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
    /// No answer arrived before the query ended.
    Late,
    /// The leaf searched only part of the shard.
    Truncated,
    /// The leaves no longer serve the pinned snapshot.
    SnapshotLost,
    /// The call to the last replica tried did not run.
    NotRun(NotRun),
    /// The call to the last replica tried failed and may have run.
    Failed(Failure),
    /// The canary request failed, so the query was not fanned out.
    Canary,
}

/// What is known about the execution of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// At least one call ran, and each call for a shard that is not covered was answered or certainly did not run.
    Done,
    /// No call ran and none will.
    NotRun,
    /// A call without an answer may have run.
    Unknown,
}
