//! The store comes back from a copy: what was written since is lost, and its revisions are given out again.

use std::time::Duration;

use cranberrychute_emulator::{Access, StoreCopy};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::site::{Node, Site};

/// Time within which an accepted configuration must be active.
const ACTIVATION_TIME: Duration = Duration::from_secs(3);
/// Time for which the store is away before it returns.
const OUTAGE: Duration = Duration::from_millis(500);

/// Returns a configuration with one more route, `/new/`, like the `/one/` route.
fn with_new_route(site: &Site, version: u64) -> Value {
    let mut config = site.config(version);
    let mut route = config["routes"][1].clone();
    route["name"] = json!("new");
    route["prefix"] = json!("/new/");
    config["routes"].as_array_mut().unwrap().push(route);
    config
}

async fn serves_new_route(node: &Node) -> bool {
    node.query("/new/x", "probe").await.status == 200
}

/// Takes the store away for [`OUTAGE`], and restores it from a copy.
async fn restore(site: &Site, copy: &StoreCopy) {
    site.store.set_all_access(Access::Unavailable);
    sleep(OUTAGE).await;
    site.store.restore(copy);
    site.store.set_all_access(Access::Served);
}

/// Guards against a change that is taken for a known one, because the store gave its revision out before.
#[tokio::test]
async fn a_change_after_a_restore_of_the_store_is_in_force_in_time() {
    let site = Site::start(1, 3).await;
    let nodes = site.nodes().await;
    let copy = site.store.copy();
    let revisions: Vec<u64> = (8..12)
        .map(|version| site.store.put("op/config", &site.config(version)))
        .collect();
    sleep(Duration::from_secs(1)).await;
    restore(&site, &copy).await;
    sleep(Duration::from_secs(1)).await;
    let revision = site.store.put("op/config", &with_new_route(&site, 12));
    assert!(
        revisions.contains(&revision),
        "the revision is given out again"
    );
    sleep(ACTIVATION_TIME).await;
    for (index, node) in nodes.iter().enumerate() {
        assert!(
            serves_new_route(node).await,
            "node {index} does not serve the new route {ACTIVATION_TIME:?} after the change"
        );
    }
}
