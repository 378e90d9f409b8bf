use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use crate::core::{Domain, FleetKey, quota::QuotaBounds, retry::RetryBounds};

/// The settings of one gateway process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the VM, used in logs.
    pub name: Arc<str>,
    /// Failure domain of the VM.
    pub domain: Domain,
    /// Processor capacity of the VM, in thousandths of a core.
    pub capacity: u32,
    /// Peer addresses of nodes to contact at startup. They may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Region of each failure domain.
    pub regions: BTreeMap<Domain, Arc<str>>,
    pub listen: Listen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Distinguishes messages of this fleet's nodes from those of other deployments.
    pub fleet_key: FleetKey,
    pub bounds: Bounds,
    /// Whether queries wait for admission while leaves are overloaded.
    pub admission: bool,
    /// Latency that a call to another failure domain must gain for each KB that it sends and receives.
    pub domain_traffic_price: Duration,
}

/// The addresses that the process listens on.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    pub callers: SocketAddr,
    /// Readiness checks.
    pub ready: SocketAddr,
    /// Address queries of callers.
    pub directory: SocketAddr,
    /// Traffic between nodes: UDP datagrams and HTTP.
    pub peer: SocketAddr,
    pub metrics: SocketAddr,
}

/// Limits and guarantees set by the operators.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time between SIGTERM and SIGKILL.
    pub stop_grace: Duration,
    /// Maximum time for which callers may cache an address answer.
    pub answer_ttl: Duration,
    pub retry: RetryBounds,
    /// Factor by which all nodes together may exceed the rate of a cold leaf in one second.
    pub cold_overshoot: f64,
    /// Number of calls by which they may exceed it in addition.
    pub cold_slack: f64,
    /// Bound on the requests of an account.
    pub quota: QuotaBounds,
}
