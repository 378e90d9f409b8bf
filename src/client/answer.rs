use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::core::{ShardId, SnapshotId, call::Hit};

/// The answer to one query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    pub hits: Vec<Hit>,
    pub snapshot: SnapshotId,
    pub coverage: Coverage,
    #[serde(default)]
    pub missing: Vec<MissingShard>,
    /// Processing time on the entry node, in milliseconds.
    #[serde(default)]
    pub elapsed_ms: f64,
}

impl Answer {
    /// Returns whether every shard of the snapshot answered.
    pub fn is_complete(&self) -> bool {
        self.coverage.answered == self.coverage.shards
    }
}

/// Number of shards that answered, out of all shards of the snapshot.
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

/// Outcome of an at-most-once request.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum OnceAnswer {
    /// The request ran once.
    Done(Answer),
    /// The request did not run and never will.
    NotRun { reason: String },
    /// The request may have run. Do not resend it automatically; a person must decide.
    Unknown { reason: String },
}
