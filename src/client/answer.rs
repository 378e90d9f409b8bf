use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::core::{ShardId, SnapshotId, call::Hit};

/// The whole answer to one query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    pub hits: Vec<Hit>,
    pub snapshot: SnapshotId,
    pub coverage: Coverage,
    #[serde(default)]
    pub missing: Vec<MissingShard>,
    /// Time the entry node took, milliseconds.
    #[serde(default)]
    pub elapsed_ms: f64,
}

impl Answer {
    /// Returns whether every shard of the snapshot answered.
    pub fn is_complete(&self) -> bool {
        self.coverage.answered == self.coverage.shards
    }
}

/// How many shards of the snapshot answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    pub answered: u32,
    pub shards: u32,
}

/// A shard without an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingShard {
    pub shard: ShardId,
    pub reason: Arc<str>,
}

/// How a request that must run at most once ended.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum OnceAnswer {
    /// It ran once.
    Done(Answer),
    /// It did not run and never will.
    NotRun { reason: String },
    /// It may have run. Sending it again needs the decision of a person.
    Unknown { reason: String },
}
