use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A kind of invalid answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Bytes that are not valid JSON.
    Rubbish,
    /// A body that never ends.
    Endless,
    /// The first half of the correct body.
    Truncated,
    /// A well-formed answer with half of the hits and `complete` set to false.
    Incomplete,
}

/// A change to the behaviour of a leaf. Settings whose fields are absent keep their values.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeafControl {
    /// Leaf to change; all leaves of the upstream if absent.
    pub leaf: Option<SocketAddr>,
    /// Resets all persistent changes before the other fields are applied.
    pub reset: bool,
    /// Share of calls that are slow, 0 to 1.
    pub slow_share: Option<f64>,
    /// Delay added to each slow call, milliseconds.
    pub slow_ms: Option<u64>,
    /// Mean service time of a call, microseconds.
    pub service_us: Option<u64>,
    /// Makes the leaf cold for this many milliseconds, without a restart that callers could detect.
    pub cold_ms: Option<u64>,
    /// Makes the leaf cold until this many calls have succeeded, without a restart that callers could detect.
    pub cold_calls: Option<u32>,
    /// Share of calls rejected with 503, 0 to 1.
    pub shed_share: Option<f64>,
    /// Whether the leaf is leaving and rejects all calls with 503.
    pub leaving: Option<bool>,
    /// Makes the open connections hang until they are dropped; new connections work.
    pub silent: bool,
    /// Crashes immediately.
    pub crash: bool,
    /// Crashes on every query whose text contains this string; an empty string turns this off.
    pub crash_text: Option<String>,
    /// Reports the leaf as healthy, warm and without load regardless of its state.
    pub lying: Option<bool>,
    /// Serves only these snapshots and answers 409 for others; an empty list removes the restriction.
    pub serving: Option<Vec<u64>>,
    /// Reports this snapshot id in answers; 0 restores the correct id.
    pub answer_snapshot: Option<u64>,
    /// Kind of the invalid answers.
    pub fault: Option<Fault>,
    /// Share of calls that get an invalid answer, 0 to 1.
    pub fault_share: Option<f64>,
}

/// Number of executions of one shard call of one request. Ordinary calls are recorded only up to a limit.
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

/// Counters of a leaf since its process started, over all its instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeafCounters {
    pub address: SocketAddr,
    /// Id of the current instance.
    pub instance: String,
    /// Search calls received.
    pub arrived: u64,
    /// Search calls whose execution started.
    pub executed: u64,
    /// Calls rejected because of slots, cold capacity or load shedding.
    pub shed: u64,
    /// Calls that arrived while the leaf was leaving.
    pub while_leaving: u64,
    /// Calls for a snapshot or shard that is not served.
    pub wrong_snapshot: u64,
    /// Calls cancelled by the caller or ended by the deadline.
    pub cancelled: u64,
    /// Largest number of concurrent calls while warm, including a rejected one.
    pub max_warm: u32,
    /// Largest number of concurrent calls that began in the same cold start, including a rejected one.
    pub max_cold: u32,
    /// Same as `max_cold`, only for cold starts of a new instance, which callers can detect by the lost connections.
    pub max_cold_instance: u32,
    /// Calls that exceeded the slots, or the cold capacity of a new instance.
    pub above_limit: u64,
    pub crashes: u64,
    /// Connections accepted.
    pub connections: u64,
    pub max_connections: u32,
    /// Connections closed immediately because too many were open.
    pub refused_connections: u64,
    /// Milliseconds since the last search call; absent if there was none.
    pub idle_ms: Option<u64>,
    /// Executions of at-most-once calls that were not recorded because the limit was reached.
    pub unrecorded: u64,
}
