use std::{
    io::{Read, Write, pipe},
    time::{Duration, Instant},
};

use cranberrychute_emulator::Access;
use rustix::process::Signal;
use serde_json::json;
use tokio::time::sleep;

use crate::site::{Node, Site, until};

/// Bytes that a pipe holds.
const PIPE_BYTES: usize = 64 << 10;
/// Time of a request that was held up by something else than its leaf.
const HELD_UP: Duration = Duration::from_secs(1);
/// Routes of a configuration of some 500 KB.
const LARGE_ROUTES: usize = 2_000;
/// Changes in a row, and the time between two: longer than the pause in which a node collects changes.
const CHANGES: u64 = 12;
const CHANGE_GAP: Duration = Duration::from_millis(400);
/// Time after a disturbance of the store from which on its bounds hold again.
const STABLE: Duration = Duration::from_secs(4);
/// Time after which an accepted configuration must be in force.
const APPLY: Duration = Duration::from_secs(3);

async fn is_served(node: &Node, path: &str) -> bool {
    node.ask(path, "probe").await.status == 200
}

/// Adds a route that exists from version 9 on.
fn with_new_route(site: &Site) -> serde_json::Value {
    let mut config = site.config(9);
    let mut route = config["routes"][1].clone();
    route["name"] = json!("new");
    route["prefix"] = json!("/new/");
    config["routes"].as_array_mut().unwrap().push(route);
    config
}

#[tokio::test]
async fn a_configuration_comes_into_force_and_never_reverts() {
    let site = Site::start(1, 1).await;
    let node = &site.nodes().await[0];
    assert!(!is_served(node, "/new/x").await);
    site.store.put("op/config", &with_new_route(&site));
    until("the new route is served", async || {
        is_served(node, "/new/x").await
    })
    .await;
    site.store.put("op/config", &site.config(8));
    sleep(Duration::from_millis(500)).await;
    assert!(
        is_served(node, "/new/x").await,
        "an older version replaced a newer one"
    );
}

/// Guards against a node that the store refuses and that goes on with what it knew, in each way of refusing.
#[tokio::test]
async fn a_node_that_the_store_refuses_learns_from_the_others() {
    for access in [Access::Busy, Access::Limited, Access::Reset, Access::Silent] {
        let site = Site::start(1, 3).await;
        let nodes = site.nodes().await;
        site.store.access(0, access);
        sleep(Duration::from_millis(300)).await;
        site.store.put("op/config", &with_new_route(&site));
        let leaving = &site.shards[0][0];
        site.store
            .put(&leaving.key(), &leaving.entry("s0", "a", "draining"));
        let written = Instant::now();
        until("the new route is served", async || {
            is_served(&nodes[0], "/new/x").await
        })
        .await;
        let took = written.elapsed();
        assert!(took < APPLY, "{access:?}: in force after {took:?}");
        let before = leaving.arrivals();
        for request in 0..10 {
            nodes[0].ask("/one/x", &format!("q{request}")).await;
        }
        assert_eq!(
            leaving.arrivals(),
            before,
            "{access:?}: calls to a leaving leaf"
        );
    }
}

/// Guards against a change that nobody learns of for seconds because the store lost the answers to all waiting watches
/// before.
#[tokio::test]
async fn lost_answers_of_watches_are_noticed() {
    let site = Site::start(1, 3).await;
    let nodes = site.nodes().await;
    site.store.access_all(Access::Silent);
    sleep(Duration::from_millis(300)).await;
    site.store.put("op/config", &with_new_route(&site));
    site.store.access_all(Access::Served);
    let back = Instant::now();
    for node in &nodes {
        until("the new route is served", async || {
            is_served(node, "/new/x").await
        })
        .await;
    }
    let took = back.elapsed();
    assert!(took < STABLE, "in force {took:?} after the store's return");
}

/// Guards against nodes that rely on readers of the store which are gone, frozen or refused by it.
#[tokio::test]
async fn nodes_read_the_store_when_its_readers_fail() {
    for trouble in [Signal::KILL, Signal::STOP] {
        let site = Site::start(1, 6).await;
        let mut nodes = site.nodes().await;
        let reads = |node: &Node| {
            let log = node.log();
            let role = |line: &&str| line.contains("the store\",");
            !log.lines()
                .rfind(role)
                .is_some_and(|line| line.contains("other nodes read"))
        };
        until("two nodes read the store", async || {
            nodes.iter().filter(|node| reads(node)).count() == 2
        })
        .await;
        let (readers, others): (Vec<&Node>, Vec<&Node>) =
            nodes.iter().partition(|node| reads(node));
        readers.iter().for_each(|node| node.signal(trouble));
        site.store.put("op/config", &with_new_route(&site));
        let written = Instant::now();
        for node in &others {
            until("the new route is served", async || {
                is_served(node, "/new/x").await
            })
            .await;
        }
        let took = written.elapsed();
        assert!(took < APPLY, "{trouble:?}: in force after {took:?}");
        nodes.iter_mut().for_each(Node::kill);
    }
}

/// Guards against one call to the store for each node and change.
#[tokio::test]
async fn calls_to_the_store_do_not_grow_with_the_fleet() {
    let site = Site::start(1, 6).await;
    let nodes = site.nodes().await;
    until("all nodes are ready", async || {
        let mut ready = 0;
        for node in &nodes {
            ready += usize::from(node.is_ready().await);
        }
        ready == nodes.len()
    })
    .await;
    // Nodes that read at their start have seen by then that others do.
    sleep(Duration::from_secs(3)).await;
    let before = site.store.calls();
    for version in 0..CHANGES {
        site.store.put("op/config", &site.config(8 + version));
        sleep(CHANGE_GAP).await;
    }
    let calls = site.store.calls() - before;
    let seconds = (CHANGE_GAP * CHANGES as u32).as_secs();
    let two_nodes = 2 * (CHANGES + seconds + 2);
    assert!(
        calls <= two_nodes,
        "{calls} calls of 6 nodes for {CHANGES} changes in {seconds} s"
    );
}

/// Guards against a large configuration that all nodes fetch from the same few others, or that holds up requests while
/// it is decoded.
#[tokio::test]
async fn a_large_configuration_comes_from_the_store() {
    let site = Site::start(1, 6).await;
    let nodes = site.nodes().await;
    let mut config = with_new_route(&site);
    let routes = config["routes"].as_array_mut().unwrap();
    let route = routes[0].clone();
    routes.extend((0..LARGE_ROUTES).map(|number| {
        let mut route = route.clone();
        route["name"] = json!(format!("r{number}"));
        route["prefix"] = json!(format!("/large/{number}/"));
        route
    }));
    site.store.put("op/config", &config);
    let written = Instant::now();
    for node in &nodes {
        until("the new route is served", async || {
            is_served(node, "/new/x").await
        })
        .await;
    }
    let took = written.elapsed();
    assert!(took < APPLY, "in force after {took:?}");
    let sent_on = |node: &Node| node.log().contains("too much for another node");
    assert!(nodes.iter().any(sent_on), "nobody was sent on to the store");
}

/// Guards against a node without memory that cannot start while the store is away.
#[tokio::test]
async fn a_node_starts_from_the_others_while_the_store_is_down() {
    let site = Site::start(1, 3).await;
    let mut nodes = site.nodes().await;
    nodes[2].kill();
    site.store.access_all(Access::Silent);
    nodes[2] = site.node(2);
    until("the node is ready", async || nodes[2].is_ready().await).await;
    assert!(is_served(&nodes[2], "/one/x").await);
}

#[tokio::test]
async fn a_node_that_knows_no_configuration_refuses() {
    let site = Site::start(1, 1).await;
    site.store.access_all(Access::Busy);
    let node = site.node(0);
    until("the node answers", async || {
        crate::site::get(node.callers(), "/one/x", "q")
            .await
            .is_ok()
    })
    .await;
    let reply = node.ask("/one/x", "q1").await;
    assert_eq!(reply.status, 503);
    assert!(reply.text("retry-after").is_some());
    assert!(!node.is_ready().await);
    assert!(node.directory().await.is_empty());
    site.store.access_all(Access::Served);
    until("the node is ready", async || node.is_ready().await).await;
}

/// Guards against a watch that goes on from a history that is gone.
#[tokio::test]
async fn a_dropped_history_is_read_again() {
    let site = Site::start(1, 1).await;
    let node = &site.nodes().await[0];
    site.store.access_all(Access::Reset);
    let gone = &site.shards[0][0];
    site.store.delete(&gone.key());
    site.store.put("op/config", &with_new_route(&site));
    site.store.compact();
    site.store.access_all(Access::Served);
    until("the new route is served", async || {
        is_served(node, "/new/x").await
    })
    .await;
    let before = gone.arrivals();
    for request in 0..10 {
        node.ask("/one/x", &format!("q{request}")).await;
    }
    assert_eq!(gone.arrivals(), before, "calls to a leaf that is gone");
}

/// Guards against an outage of the store after which no leaf is left.
#[tokio::test]
async fn entries_that_lapse_in_an_outage_do_not_take_the_leafs_away() {
    let site = Site::start(1, 1).await;
    let node = &site.nodes().await[0];
    site.store.access_all(Access::Silent);
    sleep(Duration::from_millis(1_500)).await;
    for leaf in &site.shards[0] {
        site.store.delete(&leaf.key());
    }
    site.store.access_all(Access::Served);
    let back = Instant::now();
    while back.elapsed() < Duration::from_millis(1_800) {
        assert!(
            is_served(node, "/one/x").await,
            "no leaf {:?} after the outage",
            back.elapsed()
        );
        sleep(Duration::from_millis(100)).await;
    }
    site.publish(0, "ready");
    sleep(Duration::from_millis(2_000)).await;
    assert!(is_served(node, "/one/x").await);
}

#[tokio::test]
async fn a_leaving_leaf_and_an_evacuated_domain_get_nothing() {
    let site = Site::start(1, 1).await;
    let node = &site.nodes().await[0];
    let [a, b] = &site.shards[0];
    site.store.put("op/evacuate/a", &json!({}));
    sleep(Duration::from_millis(500)).await;
    let before = a.arrivals();
    for request in 0..10 {
        assert_eq!(node.ask("/one/x", &format!("q{request}")).await.status, 200);
    }
    assert_eq!(a.arrivals(), before);
    site.store.delete("op/evacuate/a");
    site.store.put(&b.key(), &b.entry("s0", "b", "draining"));
    sleep(Duration::from_millis(500)).await;
    let before = b.arrivals();
    for request in 0..10 {
        assert_eq!(node.ask("/one/x", &format!("r{request}")).await.status, 200);
    }
    assert_eq!(b.arrivals(), before);
}

/// Guards against one bad entry that takes others with it, and a bad configuration that comes into force in part.
#[tokio::test]
async fn entries_that_cannot_be_read_change_nothing() {
    let site = Site::start(1, 1).await;
    let node = &site.nodes().await[0];
    let bad: [&[u8]; 6] = [
        b"",
        b"{",
        b"\xff\xfe",
        br#"{"service": 7, "address": "127.0.0.1:1", "zone": "a", "state": "ready"}"#,
        br#"{"service": "s0", "address": "nowhere", "zone": "a", "state": "ready"}"#,
        br#"{"service": "s0", "address": "127.0.0.1:1", "zone": "a", "state": "odd", "slots": 2}"#,
    ];
    for (index, value) in bad.iter().enumerate() {
        site.store.put_bytes(&format!("servers/bad-{index}"), value);
    }
    site.store.put(
        "op/config",
        &json!({"config_version": 99, "routes": [{"name": "x"}]}),
    );
    sleep(Duration::from_millis(500)).await;
    for request in 0..10 {
        assert_eq!(node.ask("/one/x", &format!("q{request}")).await.status, 200);
    }
    let log = node.log();
    assert!(
        log.contains("configuration rejected"),
        "the reason is not logged"
    );
    assert!(log.contains("leaf entry ignored"));
}

/// Guards against requests that wait for a reader of the log: the pipe is full before the first line.
#[tokio::test]
async fn a_log_that_nobody_reads_delays_no_request() {
    let site = Site::start(1, 1).await;
    let (mut reader, mut writer) = pipe().unwrap();
    writer.write_all(&[b'.'; PIPE_BYTES]).unwrap();
    let node = site.spawn(0, writer.into());
    until("the node is ready", async || node.is_ready().await).await;
    for request in 0..20 {
        let asked = Instant::now();
        assert_eq!(node.ask("/one/x", &format!("q{request}")).await.status, 200);
        assert!(asked.elapsed() < HELD_UP, "{:?}", asked.elapsed());
    }
    // Lines that waited are written when somebody reads.
    let text = tokio::task::spawn_blocking(move || {
        let mut text = vec![0; PIPE_BYTES + 64];
        reader.read_exact(&mut text).unwrap();
        String::from_utf8_lossy(&text[PIPE_BYTES..]).into_owned()
    });
    assert!(text.await.unwrap().starts_with('{'));
}

/// Guards against requests that wait until thousands of changes are in force, and log lines for each of them.
#[tokio::test]
async fn a_flood_of_changes_delays_no_request() {
    let site = Site::start(1, 1).await;
    let node = &site.nodes().await[0];
    for _ in 0..3_000 {
        site.publish(0, "draining");
        site.publish(0, "ready");
    }
    for request in 0..20 {
        let asked = Instant::now();
        assert_eq!(node.ask("/one/x", &format!("q{request}")).await.status, 200);
        assert!(asked.elapsed() < HELD_UP, "{:?}", asked.elapsed());
    }
    let lines = node.log().lines().count();
    assert!(lines < 500, "{lines} log lines");
}
