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
    /// Text of the document; `None` if it was deleted.
    pub value: Option<Arc<str>>,
}

/// The policy of one query service, from `service/<name>` (TOML).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePolicy {
    /// Deadline of a query that does not set one, in milliseconds.
    pub deadline_ms: u32,
    /// Maximum deadline that a caller may request, in milliseconds.
    pub max_deadline_ms: u32,
    /// Time after which a partial answer may be sent, in milliseconds. If unset, it is sent only at the
    /// deadline.
    #[serde(default)]
    pub partial_after_ms: Option<u32>,
    /// Minimum coverage of a partial answer sent before the deadline, 0 to 1.
    #[serde(default = "full_coverage")]
    pub min_coverage: f64,
    /// Maximum number of hits that a caller may request.
    pub max_top: u16,
    #[serde(default)]
    pub hedge: HedgePolicy,
    #[serde(default)]
    pub alarm: Option<AlarmPolicy>,
}

fn full_coverage() -> f64 {
    1.0
}

/// When and how often slow leaf calls are hedged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HedgePolicy {
    /// Quantile of the measured leaf latency after which a hedge is sent, 0.5 to 0.999.
    pub quantile: f64,
    /// Maximum number of extra calls, in percent of normal calls, 0 to 10.
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

/// When an alarm is raised for a service, and where it is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AlarmPolicy {
    /// Latency promised to callers, in milliseconds.
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

/// Hours of the day in which alarms are held back; they are reported when the quiet hours end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuietHours {
    /// Hour at which the quiet hours start, 0 to 23.
    pub from_hour: u8,
    /// Hour at which the quiet hours end, 0 to 23.
    pub to_hour: u8,
    /// Offset of local time from UTC, in minutes.
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
    /// Still being loaded; must not be pinned yet.
    Loading,
    Serving,
    /// About to be removed; pinned only if no other snapshot is serving.
    Retiring,
}

/// A shard and the leaves that hold a replica of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shard {
    pub shard: ShardId,
    pub leaves: SmallVec<[LeafId; 4]>,
}

/// The properties of one leaf, as published by the platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeafInfo {
    pub domain: Domain,
    /// Number of calls that the leaf runs concurrently when warm.
    pub slots: u16,
    /// Number of connections that the leaf accepts from all nodes combined.
    pub connections: u16,
    /// Number of calls that the leaf can run concurrently during a cold start.
    #[serde(default = "one_call")]
    pub cold_capacity: u16,
    /// Whether the upstream is leaving and accepts no new calls.
    #[serde(default)]
    pub leaving: bool,
}

fn one_call() -> u16 {
    1
}

/// The failure domains that operators have taken out of service, from `domains` (JSON).
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
    /// HTTP address for callers and operators.
    pub caller: SocketAddr,
    /// QUIC address for other nodes.
    pub peer: SocketAddr,
    /// UDP address for control messages from other nodes.
    pub control: SocketAddr,
}

/// Lifecycle state of an entry VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    Live,
    Leaving,
}

/// The parsed documents that are active on a node.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    pub services: BTreeMap<ServiceName, Arc<ServicePolicy>>,
    pub maps: BTreeMap<ServiceName, Arc<ServiceMap>>,
    pub domains: DomainList,
    pub vms: VmList,
    /// Version of the `vms` document; zero until one has been read.
    pub vms_version: u64,
}
