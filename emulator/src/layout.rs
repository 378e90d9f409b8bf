use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Address, failure domain, limits and shards of a leaf.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeafSpec {
    /// Address to listen on; port 0 picks a free port.
    #[serde(default = "any_port")]
    pub address: SocketAddr,
    pub domain: String,
    /// Maximum number of concurrent calls when warm.
    pub slots: u32,
    /// Maximum number of open connections.
    pub connections: u32,
    /// Maximum number of concurrent calls during a cold start.
    pub cold_capacity: u32,
    /// Shards held, by snapshot id.
    pub shards: BTreeMap<u64, Vec<u32>>,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// One snapshot of the index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotSpec {
    pub id: u64,
    pub shards: u32,
    /// `loading`, `serving` or `retiring`.
    pub state: String,
}

impl SnapshotSpec {
    /// Creates a snapshot in the state `serving`.
    pub fn serving(id: u64, shards: u32) -> Self {
        Self {
            id,
            shards,
            state: "serving".into(),
        }
    }
}

/// Assigns the shards of the snapshots to `leaves` leaves, which are placed round-robin in the failure domains.
///
/// Replica `r` of shard `s` is on leaf `(s + r) % leaves` and leaf `l` is in domain `l % domains`. Replicas are
/// therefore in different domains if there are at least as many domains as replicas and `leaves` is a multiple of
/// the number of domains.
pub fn assign_shards(
    leaves: usize,
    replicas: usize,
    domains: &[&str],
    snapshots: &[SnapshotSpec],
    slots: u32,
    connections: u32,
) -> Vec<LeafSpec> {
    (0..leaves)
        .map(|leaf| LeafSpec {
            address: any_port(),
            domain: domains[leaf % domains.len()].to_owned(),
            slots,
            connections,
            cold_capacity: 1,
            shards: snapshots
                .iter()
                .map(|snapshot| {
                    let held = (0..snapshot.shards).filter(|shard| {
                        (0..replicas).any(|replica| (*shard as usize + replica) % leaves == leaf)
                    });
                    (snapshot.id, held.collect())
                })
                .collect(),
        })
        .collect()
}

/// Builds the `map/<name>` document of running leaves.
pub fn map_document(snapshots: &[SnapshotSpec], leaves: &[LeafSpec]) -> Value {
    let snapshots: Vec<Value> = snapshots
        .iter()
        .map(|snapshot| {
            let shards: Vec<Value> = (0..snapshot.shards)
                .map(|shard| {
                    let holds = |leaf: &&LeafSpec| {
                        leaf.shards
                            .get(&snapshot.id)
                            .is_some_and(|held| held.contains(&shard))
                    };
                    let leaves: Vec<SocketAddr> = leaves
                        .iter()
                        .filter(holds)
                        .map(|leaf| leaf.address)
                        .collect();
                    json!({"shard": shard, "leaves": leaves})
                })
                .collect();
            json!({"id": snapshot.id, "state": snapshot.state, "shards": shards})
        })
        .collect();
    let leaves: BTreeMap<String, Value> = leaves
        .iter()
        .map(|leaf| {
            let info = json!({
                "domain": leaf.domain,
                "slots": leaf.slots,
                "connections": leaf.connections,
                "cold_capacity": leaf.cold_capacity,
            });
            (leaf.address.to_string(), info)
        })
        .collect();
    json!({"snapshots": snapshots, "leaves": leaves})
}
