//! The store comes back from a copy: what was written since is lost, and its revisions are given out again.

use std::time::Duration;

use cranberrychute_emulator::{Access, StoreCopy};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::site::{Node, Site, wait_until};

/// Time within which an accepted configuration must be active.
const ACTIVATION_TIME: Duration = Duration::from_secs(3);
/// Time within which an evacuation must be in force.
const EVACUATION_TIME: Duration = Duration::from_secs(5);
/// Time for which the store is away before it returns.
const OUTAGE: Duration = Duration::from_millis(500);

/// Returns a configuration with one more route, `/new/`, like the `/one/` route.
pub(crate) fn with_new_route(site: &Site, version: u64) -> Value {
    let mut config = site.config(version);
    let mut route = config["routes"][1].clone();
    route["name"] = json!("new");
    route["prefix"] = json!("/new/");
    config["routes"].as_array_mut().unwrap().push(route);
    config
}

pub(crate) async fn serves_new_route(node: &Node) -> bool {
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

/// Guards against a lost configuration that is displaced by the older one of the copy, on nodes that had it and on one
/// that starts before it is written again.
#[tokio::test]
async fn a_configuration_lost_in_a_restore_stays_in_force() {
    let site = Site::start(1, 4).await;
    let mut nodes: Vec<Node> = (0..3).map(|index| site.node(index)).collect();
    for node in &nodes {
        wait_until("the node is ready", async || node.is_ready().await).await;
    }
    let copy = site.store.copy();
    site.store.put("op/config", &with_new_route(&site, 9));
    for node in &nodes {
        wait_until("the new route is served", async || {
            serves_new_route(node).await
        })
        .await;
    }
    restore(&site, &copy).await;
    nodes.push(site.node(3));
    wait_until("the started node is ready", async || {
        nodes[3].is_ready().await
    })
    .await;
    let started = Instant::now();
    wait_until("the started node serves the lost route", async || {
        serves_new_route(&nodes[3]).await
    })
    .await;
    assert!(started.elapsed() < ACTIVATION_TIME);
    let end = Instant::now() + Duration::from_secs(4);
    while Instant::now() < end {
        for (index, node) in nodes.iter().enumerate() {
            assert!(serves_new_route(node).await, "node {index} went back");
        }
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against leaves that had left, or had reported that they leave, and are used again since the copy has their
/// older entries.
#[tokio::test]
async fn leaves_that_left_before_a_restore_are_not_used_after_it() {
    for leaves_entry in [true, false] {
        let site = Site::start(1, 3).await;
        let nodes = site.nodes().await;
        let copy = site.store.copy();
        let [leaving, other] = &site.shards[0];
        if leaves_entry {
            site.store
                .put(&leaving.key(), &leaving.entry("s0", "a", "draining"));
        } else {
            site.store.delete(&leaving.key());
        }
        // The other leaf is written again after the restore, as one that runs is.
        site.store
            .put(&other.key(), &other.entry("s0", "b", "ready"));
        sleep(Duration::from_secs(1)).await;
        restore(&site, &copy).await;
        let before = leaving.request_count();
        let end = Instant::now() + Duration::from_secs(5);
        while Instant::now() < end {
            for node in &nodes {
                assert_eq!(node.query("/one/x", "q").await.status, 200);
            }
            sleep(Duration::from_millis(20)).await;
        }
        let calls = leaving.request_count() - before;
        assert_eq!(calls, 0, "draining entry: {leaves_entry}");
    }
}

/// Guards against a leaf that is not used while the store lacks its entry, and one that is used for ever without one.
#[tokio::test]
async fn a_leaf_whose_entry_is_lost_is_used_until_it_had_time_to_return() {
    let site = Site::start(1, 2).await;
    let [lost, other] = &site.shards[0];
    let entry = lost.entry("s0", "a", "ready");
    site.store.delete(&lost.key());
    let copy = site.store.copy();
    site.store.put(&lost.key(), &entry);
    let nodes = site.nodes().await;
    let calls = async || {
        let before = (lost.request_count(), other.request_count());
        for request in 0..20 {
            for node in &nodes {
                let reply = node.query("/one/x", &format!("q{request}")).await;
                assert_eq!(reply.status, 200);
            }
        }
        (
            lost.request_count() - before.0,
            other.request_count() - before.1,
        )
    };
    restore(&site, &copy).await;
    sleep(Duration::from_secs(1)).await;
    assert!(
        calls().await.0 > 0,
        "the leaf is not used after the restore"
    );
    wait_until("the leaf is no longer used", async || calls().await.0 == 0).await;
}

/// Guards against calls to an evacuated failure domain after a restore that has lost the evacuation.
#[tokio::test]
async fn an_evacuation_lost_in_a_restore_stays_in_force() {
    let site = Site::start(1, 3).await;
    let nodes = site.nodes().await;
    let copy = site.store.copy();
    let [evacuated, _] = &site.shards[0];
    let out = async || {
        let before = evacuated.request_count();
        for request in 0..10 {
            for node in &nodes {
                node.query("/one/x", &format!("q{request}")).await;
            }
        }
        evacuated.request_count() == before
    };
    site.store.put("op/evacuate/a", &json!({}));
    wait_until("the domain gets no calls", out).await;
    restore(&site, &copy).await;
    for _ in 0..20 {
        assert!(out().await, "a call to an evacuated domain");
        sleep(Duration::from_millis(100)).await;
    }
    site.store.put("op/evacuate/a", &json!({}));
    sleep(Duration::from_secs(1)).await;
    assert!(out().await, "a call to an evacuated domain");
    site.store.delete("op/evacuate/a");
    wait_until("the domain gets calls again", async || !out().await).await;
}

/// Guards against an evacuation that nodes ignore because they remember that an earlier one was lifted. It is set right
/// after the store has returned, before the nodes have read the store again.
#[tokio::test]
async fn an_evacuation_set_again_right_after_a_restore_is_in_force_in_time() {
    let site = Site::start(1, 3).await;
    let mut nodes = site.nodes().await;
    let [evacuated, _] = &site.shards[0];
    let gets_calls = async |nodes: &[Node]| {
        let before = evacuated.request_count();
        for request in 0..20 {
            for node in nodes {
                node.query("/one/x", &format!("q{request}")).await;
            }
        }
        evacuated.request_count() > before
    };
    site.store.put("op/evacuate/a", &json!({}));
    wait_until("the domain gets no calls", async || {
        !gets_calls(&nodes).await
    })
    .await;
    site.store.delete("op/evacuate/a");
    wait_until("the domain gets calls", async || gets_calls(&nodes).await).await;
    let copy = site.store.copy();
    nodes[2].kill();
    restore(&site, &copy).await;
    site.store.put("op/evacuate/a", &json!({}));
    let set = Instant::now();
    nodes[2] = site.node(2);
    wait_until("the started node is ready", async || {
        nodes[2].is_ready().await
    })
    .await;
    wait_until("the domain gets no calls", async || {
        !gets_calls(&nodes).await
    })
    .await;
    assert!(set.elapsed() < EVACUATION_TIME, "{:?}", set.elapsed());
}
