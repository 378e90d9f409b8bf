//! A small deployment whose configuration can be large.

use cranberrychute_emulator::{GatewayLeaf, Store};
use serde_json::{Value, json};

pub const HOST: &str = "bora71.example";
pub const ZONES: [&str; 3] = ["dye-yard", "wick-loft", "frame-shed"];
const SHARDS: usize = 3;
/// `value_bytes` of the settings.
pub const VALUE_LIMIT: usize = 1 << 20;
/// Routes that one `big_config` of the site adds.
pub const ADDED_ROUTES: usize = 350;

/// Starts a leaf of each shard in each zone, and registers it.
pub async fn start_leaves(store: &Store) -> anyhow::Result<Vec<GatewayLeaf>> {
    let mut leaves = Vec::new();
    for shard in 0..SHARDS {
        for zone in ZONES {
            let leaf = GatewayLeaf::start(&format!("i-{shard}{zone}"), &[shard as u8; 16]).await?;
            store.put(
                &leaf.key(),
                &leaf.entry(&format!("s{shard}"), zone, "ready"),
            );
            leaves.push(leaf);
        }
    }
    Ok(leaves)
}

fn route(name: &str, prefix: &str, shards: &[String], timeout_ms: u64) -> Value {
    json!({
        "name": name, "hostname": HOST, "prefix": prefix,
        "route_type": "idempotent", "timeout_ms": timeout_ms, "target_latency_ms": 80, "priority": 1,
        "gather": shards, "attempts": 2, "top_k": 10, "min_coverage": 0.89,
    })
}

/// Returns a configuration with this number of routes and, if it is named, one more.
pub fn configuration(version: u64, routes: usize, timeout_ms: u64, added: Option<&str>) -> Value {
    let shards: Vec<String> = (0..SHARDS).map(|shard| format!("s{shard}")).collect();
    let numbered = (0..routes).map(|number| {
        route(
            &format!("r-{number:07}"),
            &format!("/rany{number}/"),
            &shards,
            timeout_ms,
        )
    });
    let added = added.map(|name| route(name, &format!("/{name}/"), &shards, timeout_ms));
    let routes: Vec<Value> = numbered.chain(added).collect();
    let services: Vec<Value> = shards
        .iter()
        .map(|name| {
            json!({"name": name, "health_path": "/health", "max_connections": 26, "protocol": "h1", "tls": false,
                   "warmup_s": 3.0, "warmup_per_s": 0.0})
        })
        .collect();
    json!({
        "config_version": version, "routes": routes, "services": services,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
    })
}
