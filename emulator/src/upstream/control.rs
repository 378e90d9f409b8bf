use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A kind of wrong answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Bytes that are no JSON.
    Rubbish,
    /// A body that never ends.
    Endless,
    /// The first half of the right body.
    Truncated,
    /// A well-formed answer with half of the hits and `complete` false.
    Incomplete,
}

/// A change of how a leaf behaves. Fields that are absent stay as they are.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeafControl {
    /// The leaf meant; all leaves of the upstream when absent.
    pub leaf: Option<SocketAddr>,
    /// Lifts every lasting change before the rest applies.
    pub reset: bool,
    /// Share of calls that are slow, 0 to 1.
    pub slow_share: Option<f64>,
    /// Time added to a slow call, milliseconds.
    pub slow_ms: Option<u64>,
    /// Mean time a call takes, microseconds.
    pub service_us: Option<u64>,
    /// Turns cold without a sign until this many milliseconds have passed.
    pub cold_ms: Option<u64>,
    /// Turns cold without a sign until this many calls have succeeded.
    pub cold_calls: Option<u32>,
    /// Share of calls refused with 503, 0 to 1.
    pub shed_share: Option<f64>,
    /// Refuses all work with 503 because the leaf is leaving.
    pub leaving: Option<bool>,
    /// Makes the connections that are open now hang for good; new ones work.
    pub silent: bool,
    /// Crashes now.
    pub crash: bool,
    /// Crashes on each query whose text contains this; an empty text lifts it.
    pub crash_text: Option<String>,
    /// Reports good health and no load whatever happens.
    pub lying: Option<bool>,
    /// Serves only these snapshots and answers 409 for others; an empty list lifts it.
    pub serving: Option<Vec<u64>>,
    /// Puts this snapshot id into answers; 0 lifts it.
    pub answer_snapshot: Option<u64>,
    /// The wrong answer given.
    pub fault: Option<Fault>,
    /// Share of calls that get the wrong answer, 0 to 1.
    pub fault_share: Option<f64>,
}

/// How often one shard call of one request ran. Ordinary calls are recorded only up to a bound.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Execution {
    /// `x-request-id`, else the trace id of `traceparent`, else empty.
    pub request: String,
    pub text: String,
    pub snapshot: u64,
    pub shard: u32,
    pub once: bool,
    pub count: u32,
}

/// What a leaf counted since its process started, over all its instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeafCounters {
    pub address: SocketAddr,
    /// Id of the instance that runs now.
    pub instance: String,
    /// Search calls that arrived.
    pub arrived: u64,
    /// Search calls that started to run.
    pub executed: u64,
    /// Calls refused because of slots, cold capacity or shedding.
    pub shed: u64,
    /// Calls that arrived while the leaf was leaving.
    pub while_leaving: u64,
    /// Calls for a snapshot that is not served.
    pub wrong_snapshot: u64,
    /// Calls that the caller cancelled or the deadline ended.
    pub cancelled: u64,
    /// Largest number of calls asked for at the same time while warm, including one that was refused.
    pub max_warm: u32,
    /// Largest number of calls asked for at the same time since a cold start began, including one refused.
    pub max_cold: u32,
    /// The same for cold starts of a new instance, which callers can tell from the lost connections.
    pub max_cold_instance: u32,
    /// Calls that arrived above the slots or the cold capacity of a new instance.
    pub above_limit: u64,
    pub crashes: u64,
    /// Connections accepted.
    pub connections: u64,
    pub max_connections: u32,
    /// Connections closed at once because too many were open.
    pub refused_connections: u64,
    /// Milliseconds since the last search call arrived, absent when none did.
    pub idle_ms: Option<u64>,
    /// Executions of at-most-once calls that were not recorded because there were too many.
    pub unrecorded: u64,
}
