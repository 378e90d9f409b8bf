use std::{
    net::{SocketAddr, TcpListener, UdpSocket},
    sync::atomic::{AtomicU16, Ordering},
};

use serde_json::{Value, json};

/// First port tried. Linux assigns ports from 32768 on to clients, so these do not collide with open connections.
const FIRST_PORT: u16 = 12_000;
const PORT_COUNT: u16 = 20_000;

/// Id, failure domain and addresses of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSpec {
    pub id: String,
    pub domain: String,
    pub caller: SocketAddr,
    pub peer: SocketAddr,
    pub control: SocketAddr,
}

impl NodeSpec {
    /// Assigns free ports of the loopback address to `count` nodes and places them round-robin in `domains`.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub fn allocate(count: usize, domains: &[&str]) -> anyhow::Result<Vec<Self>> {
        (0..count)
            .map(|n| {
                Ok(Self {
                    id: format!("node-{n}"),
                    domain: domains[n % domains.len()].to_owned(),
                    caller: free_address()?,
                    peer: free_address()?,
                    control: free_address()?,
                })
            })
            .collect()
    }

    /// Returns the settings of this node as TOML. `nodes` are all nodes of the fleet.
    pub fn settings(&self, platform: SocketAddr, fleet_key: &str, nodes: &[Self]) -> String {
        let seeds: Vec<String> = nodes.iter().map(|node| node.control.to_string()).collect();
        format!(
            "id = \"{}\"\nfailure_domain = \"{}\"\ncaller_address = \"{}\"\npeer_address = \"{}\"\n\
             control_address = \"{}\"\nplatform = [\"http://{platform}\"]\nfleet_key = \"{fleet_key}\"\n\
             seeds = {seeds:?}\n",
            self.id, self.domain, self.caller, self.peer, self.control
        )
    }
}

/// Builds the `vms` document, with all nodes in the state `live`.
pub fn vms_document(nodes: &[NodeSpec]) -> Value {
    let vms: Vec<Value> = nodes
        .iter()
        .map(|node| {
            json!({
                "id": node.id,
                "domain": node.domain,
                "state": "live",
                "caller": node.caller,
                "peer": node.peer,
                "control": node.control,
            })
        })
        .collect();
    json!({"vms": vms})
}

/// Finds a port that is free for TCP and UDP. No two calls in one process return the same port.
fn free_address() -> anyhow::Result<SocketAddr> {
    static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);
    // Start concurrent processes at different ports.
    let offset = (std::process::id() % 199) as u16 * 100;
    (0..PORT_COUNT)
        .map(|_| {
            FIRST_PORT
                + (offset + NEXT_OFFSET.fetch_add(1, Ordering::Relaxed) % PORT_COUNT) % PORT_COUNT
        })
        .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
        .find(|address| TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok())
        .ok_or_else(|| anyhow::anyhow!("no free port from {FIRST_PORT} on"))
}
