use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use crate::core::{Domain, FleetKey, retry::RetryBounds};

/// The settings of one gateway process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the VM, for logs.
    pub name: Arc<str>,
    /// Failure domain of the VM.
    pub domain: Domain,
    /// Peer addresses of nodes to ask at the start, which may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Region of each failure domain.
    pub regions: BTreeMap<Domain, Arc<str>>,
    pub listen: Listen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Tells messages of this fleet's nodes from others.
    pub fleet_key: FleetKey,
    pub bounds: Bounds,
}

/// The addresses at which the process listens.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    pub callers: SocketAddr,
    /// Checks whether the node takes requests.
    pub ready: SocketAddr,
    /// Questions for addresses.
    pub directory: SocketAddr,
    /// Other nodes: datagrams and HTTP.
    pub peer: SocketAddr,
    pub metrics: SocketAddr,
}

/// What the operators promise and demand.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time between SIGTERM and SIGKILL.
    pub stop_grace: Duration,
    /// Longest time for which callers may keep an address answer.
    pub answer_ttl: Duration,
    pub retry: RetryBounds,
    /// Factor and number by which calls to a cold leaf may exceed its rate in one second, over all nodes.
    pub cold_overshoot: f64,
    pub cold_slack: f64,
}
