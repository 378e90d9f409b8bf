use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::core::{Domain, LeafId, NodeId, ServiceName, ShardId, SnapshotId};

/// A document as published by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    pub key: Arc<str>,
    /// Version of this key; a higher one replaces a lower one.
    pub version: u64,
    /// The text of the document, or nothing when it was deleted.
    pub value: Option<Arc<str>>,
}

/// The policy of one query service, from `service/<name>` (TOML).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePolicy {
    /// Deadline of a query that names none, milliseconds.
    pub deadline_ms: u32,
    /// Longest deadline a caller may ask for, milliseconds.
    pub max_deadline_ms: u32,
    /// Time after which an answer may be partial, milliseconds. Without it answers wait for the deadline.
    #[serde(default)]
    pub partial_after_ms: Option<u32>,
    /// Least coverage of such an early partial answer, 0 to 1.
    #[serde(default = "full_coverage")]
    pub min_coverage: f64,
    /// Most hits a caller may ask for.
    pub max_top: u16,
    #[serde(default)]
    pub hedge: HedgePolicy,
    #[serde(default)]
    pub alarm: Option<AlarmPolicy>,
}

fn full_coverage() -> f64 {
    1.0
}

/// When and how often slow leaf calls are sent a second time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HedgePolicy {
    /// Quantile of measured leaf latency after which a hedge is sent, 0.5 to 0.999.
    pub quantile: f64,
    /// Extra calls allowed, percent of normal calls, 0 to 10.
    pub percent: f64,
}

impl Default for HedgePolicy {
    fn default() -> Self {
        Self {
            quantile: 0.95,
            percent: 2.0,
        }
    }
}

/// When an alarm is raised for a service, and whom it reaches.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AlarmPolicy {
    /// Latency promised to callers, milliseconds.
    pub latency_ms: u32,
    /// Share of queries that must meet latency and coverage, 0.5 to 0.9999.
    pub objective: f64,
    /// Coverage promised to callers, 0 to 1.
    pub coverage: f64,
    /// URL that receives alarms by HTTP POST.
    #[serde(default)]
    pub webhook: Option<Arc<str>>,
    #[serde(default)]
    pub quiet: Option<QuietHours>,
}

/// Hours in which alarms are held back until the morning.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuietHours {
    /// Hour at which quiet time starts, 0 to 23.
    pub from_hour: u8,
    /// Hour at which quiet time ends, 0 to 23.
    pub to_hour: u8,
    /// Offset of local time from UTC, minutes.
    pub utc_offset: i16,
}

/// The index snapshots of one service and the leaves that serve them, from `map/<name>` (JSON).
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceMap {
    pub snapshots: Vec<Snapshot>,
    pub leaves: BTreeMap<LeafId, LeafInfo>,
}

/// One version of the index.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    pub id: SnapshotId,
    pub state: SnapshotState,
    pub shards: Vec<Shard>,
}

/// Whether new queries may pin a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SnapshotState {
    /// Being loaded; not to be pinned yet.
    Loading,
    Serving,
    /// Ends soon; pinned only when nothing else serves.
    Retiring,
}

/// A shard and the leaves that hold a replica of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shard {
    pub shard: ShardId,
    pub leaves: SmallVec<[LeafId; 4]>,
}

/// What the platform publishes about one leaf.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeafInfo {
    pub domain: Domain,
    /// Calls the leaf runs at the same time when warm.
    pub slots: u16,
    /// Connections the leaf accepts from all nodes together.
    pub connections: u16,
    /// Calls the leaf can bear at the same time in a cold start.
    #[serde(default = "one_call")]
    pub cold_capacity: u16,
    /// The upstream is leaving and takes no new work.
    #[serde(default)]
    pub leaving: bool,
}

fn one_call() -> u16 {
    1
}

/// The failure domains that operators have taken out, from `domains` (JSON).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainList {
    pub out: BTreeSet<Domain>,
}

/// The entry VMs, from `vms` (JSON).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmList {
    pub vms: Vec<Vm>,
}

/// One entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    pub id: NodeId,
    pub domain: Domain,
    #[serde(default)]
    pub region: Option<Arc<str>>,
    pub state: VmState,
    /// HTTP for callers and operators.
    pub caller: SocketAddr,
    /// QUIC between nodes.
    pub peer: SocketAddr,
    /// UDP control messages between nodes.
    pub control: SocketAddr,
}

/// Whether an entry VM stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    Live,
    Leaving,
}

/// The parsed documents in force on a node.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    pub services: BTreeMap<ServiceName, Arc<ServicePolicy>>,
    pub maps: BTreeMap<ServiceName, Arc<ServiceMap>>,
    pub domains: DomainList,
    pub vms: VmList,
    /// Version of the `vms` document; zero before one was read.
    pub vms_version: u64,
}
