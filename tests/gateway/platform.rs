use std::{
    io::{Read, Write, pipe},
    ops::Range,
    os::{fd::OwnedFd, unix::net::UnixStream},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use cranberrychute_emulator::Access;
use rustix::{net::sockopt::set_socket_send_buffer_size, process::Signal};
use serde_json::json;
use tokio::time::sleep;

use crate::{
    raw_leaf::start_leaf,
    site::{Node, Site, wait_until},
};

/// Capacity of a pipe, bytes.
const PIPE_BYTES: usize = 64 << 10;
/// Latency that shows that a request was delayed by something other than its leaf.
const DELAYED_REQUEST: Duration = Duration::from_secs(1);
/// Number of routes that make up a configuration of about 500 KB.
const LARGE_ROUTES: usize = 2_000;
/// Number of successive changes and the time between them, which is longer than the delay in which a node accumulates
/// changes.
const CHANGES: u64 = 12;
const CHANGE_INTERVAL: Duration = Duration::from_millis(400);
/// Time after an outage of the store from which the bounds hold again.
const RECOVERY_TIME: Duration = Duration::from_secs(4);
/// Time within which an accepted configuration must be active.
const ACTIVATION_TIME: Duration = Duration::from_secs(3);

async fn is_served(node: &Node, path: &str) -> bool {
    node.query(path, "probe").await.status == 200
}

/// Returns a configuration of version 9 with an additional route.
fn with_new_route(site: &Site) -> serde_json::Value {
    let mut config = site.config(9);
    let mut route = config["routes"][1].clone();
    route["name"] = json!("new");
    route["prefix"] = json!("/new/");
    config["routes"].as_array_mut().unwrap().push(route);
    config
}

#[tokio::test]
async fn a_new_configuration_becomes_active_and_is_never_reverted() {
    let site = Site::start(1, 1).await;
    let node = &site.nodes().await[0];
    assert!(!is_served(node, "/new/x").await);
    site.store.put("op/config", &with_new_route(&site));
    wait_until("the new route is served", async || {
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

/// Guards against a node that keeps outdated state because the store rejects its calls, for each kind of rejection.
#[tokio::test]
async fn a_node_that_the_store_rejects_catches_up_from_other_nodes() {
    for access in [
        Access::Unavailable,
        Access::RateLimited,
        Access::Disconnect,
        Access::Silent,
    ] {
        let site = Site::start(1, 3).await;
        let nodes = site.nodes().await;
        site.store.set_access(0, access);
        sleep(Duration::from_millis(300)).await;
        site.store.put("op/config", &with_new_route(&site));
        let leaving = &site.shards[0][0];
        site.store
            .put(&leaving.key(), &leaving.entry("s0", "a", "draining"));
        let written = Instant::now();
        wait_until("the new route is served", async || {
            is_served(&nodes[0], "/new/x").await
        })
        .await;
        let took = written.elapsed();
        assert!(took < ACTIVATION_TIME, "{access:?}: active after {took:?}");
        let before = leaving.request_count();
        for request in 0..10 {
            nodes[0].query("/one/x", &format!("q{request}")).await;
        }
        assert_eq!(
            leaving.request_count(),
            before,
            "{access:?}: calls to a leaving leaf"
        );
    }
}

/// Guards against a change that no node detects for seconds because the store has dropped the answers to all pending
/// watches.
#[tokio::test]
async fn lost_answers_to_watches_are_detected() {
    let site = Site::start(1, 3).await;
    let nodes = site.nodes().await;
    site.store.set_all_access(Access::Silent);
    sleep(Duration::from_millis(300)).await;
    site.store.put("op/config", &with_new_route(&site));
    site.store.set_all_access(Access::Served);
    let restored = Instant::now();
    for node in &nodes {
        wait_until("the new route is served", async || {
            is_served(node, "/new/x").await
        })
        .await;
    }
    let took = restored.elapsed();
    assert!(
        took < RECOVERY_TIME,
        "active {took:?} after the store answered again"
    );
}

/// Guards against nodes that keep relying on readers of the store that were killed or paused.
#[tokio::test]
async fn nodes_read_the_store_when_its_readers_fail() {
    for fault in [Signal::KILL, Signal::STOP] {
        let site = Site::start(1, 6).await;
        let mut nodes = site.nodes().await;
        let reads_store = |node: &Node| {
            let log = node.log();
            // Matches both "this node reads the store" and "other nodes read the store".
            let is_role_line = |line: &&str| line.contains("the store\",");
            !log.lines()
                .rfind(is_role_line)
                .is_some_and(|line| line.contains("other nodes read"))
        };
        wait_until("two nodes read the store", async || {
            nodes.iter().filter(|node| reads_store(node)).count() == 2
        })
        .await;
        let (readers, others): (Vec<&Node>, Vec<&Node>) =
            nodes.iter().partition(|node| reads_store(node));
        readers.iter().for_each(|node| node.signal(fault));
        site.store.put("op/config", &with_new_route(&site));
        let written = Instant::now();
        for node in &others {
            wait_until("the new route is served", async || {
                is_served(node, "/new/x").await
            })
            .await;
        }
        let took = written.elapsed();
        assert!(took < ACTIVATION_TIME, "{fault:?}: active after {took:?}");
        nodes.iter_mut().for_each(Node::kill);
    }
}

/// Guards against a number of calls to the store that is proportional to the number of nodes.
#[tokio::test]
async fn store_calls_do_not_grow_with_the_number_of_nodes() {
    let site = Site::start(1, 6).await;
    let nodes = site.nodes().await;
    wait_until("all nodes are ready", async || {
        let mut ready = 0;
        for node in &nodes {
            ready += usize::from(node.is_ready().await);
        }
        ready == nodes.len()
    })
    .await;
    // By then, nodes that read the store at their start have detected that other nodes read it.
    sleep(Duration::from_secs(3)).await;
    let before = site.store.call_count();
    for version in 0..CHANGES {
        site.store.put("op/config", &site.config(8 + version));
        sleep(CHANGE_INTERVAL).await;
    }
    let calls = site.store.call_count() - before;
    let seconds = (CHANGE_INTERVAL * CHANGES as u32).as_secs();
    let max_calls = 2 * (CHANGES + seconds + 2);
    assert!(
        calls <= max_calls,
        "{calls} calls from 6 nodes for {CHANGES} changes in {seconds} s"
    );
}

/// Guards against a large configuration that all nodes fetch from the same few nodes, or that blocks requests while it
/// is decoded.
#[tokio::test]
async fn a_large_configuration_is_read_from_the_store() {
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
        wait_until("the new route is served", async || {
            is_served(node, "/new/x").await
        })
        .await;
    }
    let took = written.elapsed();
    assert!(took < ACTIVATION_TIME, "active after {took:?}");
    let was_redirected = |node: &Node| node.log().contains("too much for another node");
    // The log thread writes a line up to 100 ms after it was logged.
    wait_until("a node was redirected to the store", async || {
        nodes.iter().any(was_redirected)
    })
    .await;
}

/// Guards against a node without stored state that cannot start while the store does not answer.
#[tokio::test]
async fn a_node_starts_from_other_nodes_while_the_store_is_down() {
    let site = Site::start(1, 3).await;
    let mut nodes = site.nodes().await;
    nodes[2].kill();
    site.store.set_all_access(Access::Silent);
    nodes[2] = site.node(2);
    wait_until("the node is ready", async || nodes[2].is_ready().await).await;
    assert!(is_served(&nodes[2], "/one/x").await);
}

#[tokio::test]
async fn a_node_without_a_configuration_rejects_requests() {
    let site = Site::start(1, 1).await;
    site.store.set_all_access(Access::Unavailable);
    let node = site.node(0);
    wait_until("the node answers", async || {
        crate::site::get(node.callers(), "/one/x", "q")
            .await
            .is_ok()
    })
    .await;
    let reply = node.query("/one/x", "q1").await;
    assert_eq!(reply.status, 503);
    assert!(reply.header_str("retry-after").is_some());
    assert!(!node.is_ready().await);
    assert!(node.directory().await.is_empty());
    site.store.set_all_access(Access::Served);
    wait_until("the node is ready", async || node.is_ready().await).await;
}

/// Guards against a watch that misses changes because the store has compacted the history after its revision.
#[tokio::test]
async fn a_compacted_history_causes_a_full_read() {
    let site = Site::start(1, 1).await;
    let node = &site.nodes().await[0];
    site.store.set_all_access(Access::Disconnect);
    let removed = &site.shards[0][0];
    site.store.delete(&removed.key());
    site.store.put("op/config", &with_new_route(&site));
    site.store.compact();
    site.store.set_all_access(Access::Served);
    wait_until("the new route is served", async || {
        is_served(node, "/new/x").await
    })
    .await;
    let before = removed.request_count();
    for request in 0..10 {
        node.query("/one/x", &format!("q{request}")).await;
    }
    assert_eq!(removed.request_count(), before, "calls to a removed leaf");
}

/// Guards against an outage of the store after which no leaf is left, because entries expired during the outage.
#[tokio::test]
async fn leaves_whose_entries_expire_in_an_outage_stay_in_use() {
    let site = Site::start(1, 1).await;
    let node = &site.nodes().await[0];
    site.store.set_all_access(Access::Silent);
    sleep(Duration::from_millis(1_500)).await;
    for leaf in &site.shards[0] {
        site.store.delete(&leaf.key());
    }
    site.store.set_all_access(Access::Served);
    let restored = Instant::now();
    while restored.elapsed() < Duration::from_millis(1_800) {
        assert!(
            is_served(node, "/one/x").await,
            "request failed {:?} after the outage",
            restored.elapsed()
        );
        sleep(Duration::from_millis(100)).await;
    }
    site.publish(0, "ready");
    sleep(Duration::from_millis(2_000)).await;
    assert!(is_served(node, "/one/x").await);
}

#[tokio::test]
async fn a_leaving_leaf_and_an_evacuated_domain_get_no_calls() {
    let site = Site::start(1, 1).await;
    let node = &site.nodes().await[0];
    let [a, b] = &site.shards[0];
    site.store.put("op/evacuate/a", &json!({}));
    sleep(Duration::from_millis(500)).await;
    let before = a.request_count();
    for request in 0..10 {
        assert_eq!(
            node.query("/one/x", &format!("q{request}")).await.status,
            200
        );
    }
    assert_eq!(a.request_count(), before);
    site.store.delete("op/evacuate/a");
    site.store.put(&b.key(), &b.entry("s0", "b", "draining"));
    sleep(Duration::from_millis(500)).await;
    let before = b.request_count();
    for request in 0..10 {
        assert_eq!(
            node.query("/one/x", &format!("r{request}")).await.status,
            200
        );
    }
    assert_eq!(b.request_count(), before);
}

/// Guards against an invalid entry that affects other entries, and against an invalid configuration that becomes active
/// in part.
#[tokio::test]
async fn invalid_entries_are_ignored() {
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
        assert_eq!(
            node.query("/one/x", &format!("q{request}")).await.status,
            200
        );
    }
    let log = node.log();
    assert!(
        log.contains("configuration rejected"),
        "the rejection is not logged"
    );
    assert!(log.contains("leaf entry ignored"));
}

/// Guards against requests that are sent to a leaf, or to a server that is none, whose entry names no leaf: one that another
/// writer has put into the store, or has written over a good one.
#[tokio::test]
async fn an_entry_of_another_writer_names_no_leaf() {
    let site = Site::start(1, 1).await;
    let node = &site.nodes().await[0];
    let [a, b] = &site.shards[0];
    let calls = Arc::new(AtomicU32::new(0));
    let counted = calls.clone();
    let server = start_leaf(move |_| {
        counted.fetch_add(1, Ordering::Relaxed);
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_vec()
    });
    let address = server.await;
    let entry = json!({"service": "s0", "address": address, "zone": "a", "state": "ready"});
    site.store.put("servers/other", &entry);
    sleep(Duration::from_millis(500)).await;
    for request in 0..20 {
        let reply = node.query("/one/x", &format!("q{request}")).await;
        assert_eq!(reply.status, 200);
    }
    assert_eq!(
        calls.load(Ordering::Relaxed),
        0,
        "calls to a server that is no leaf"
    );
    site.store.put_bytes(&a.key(), b"written over");
    let before = b.request_count();
    wait_until("the other leaf is used", async || {
        node.query("/one/x", "probe").await;
        b.request_count() > before
    })
    .await;
    let before = a.request_count();
    for request in 0..10 {
        let reply = node.query("/one/x", &format!("r{request}")).await;
        assert_eq!(reply.status, 200);
    }
    assert_eq!(
        a.request_count(),
        before,
        "calls to a leaf without an entry"
    );
}

/// Guards against requests that wait for a reader of the log: the pipe is already full when the node starts.
#[tokio::test]
async fn an_unread_log_delays_no_request() {
    let site = Site::start(1, 1).await;
    let (mut reader, mut writer) = pipe().unwrap();
    writer.write_all(&[b'.'; PIPE_BYTES]).unwrap();
    let node = site.spawn(0, writer.into());
    wait_until("the node is ready", async || node.is_ready().await).await;
    for request in 0..20 {
        let started = Instant::now();
        assert_eq!(
            node.query("/one/x", &format!("q{request}")).await.status,
            200
        );
        assert!(
            started.elapsed() < DELAYED_REQUEST,
            "{:?}",
            started.elapsed()
        );
    }
    // Queued lines are written once the pipe is read.
    let text = tokio::task::spawn_blocking(move || {
        let mut text = vec![0; PIPE_BYTES + 64];
        reader.read_exact(&mut text).unwrap();
        String::from_utf8_lossy(&text[PIPE_BYTES..]).into_owned()
    });
    assert!(text.await.unwrap().starts_with('{'));
}

/// Guards against lines that are cut off in the middle, when the output is non-blocking and its buffer smaller than what is
/// written at once.
#[tokio::test]
async fn log_lines_stay_whole_while_their_reader_is_slow() {
    let site = Site::start(1, 1).await;
    let (mut reader, writer) = UnixStream::pair().unwrap();
    writer.set_nonblocking(true).unwrap();
    set_socket_send_buffer_size(&writer, 4_096).unwrap();
    let node = site.spawn(0, OwnedFd::from(writer).into());
    wait_until("the node is ready", async || node.is_ready().await).await;
    let reject = async |requests: Range<u32>| {
        for request in requests {
            let reply = node.query("/unknown/x", &format!("q{request}")).await;
            assert_eq!(reply.status, 404);
        }
        sleep(Duration::from_millis(400)).await;
    };
    reject(0..50).await;
    let text = tokio::task::spawn_blocking(move || {
        let mut text = String::new();
        reader.read_to_string(&mut text).unwrap();
        text
    });
    sleep(Duration::from_millis(300)).await;
    reject(50..58).await;
    drop(node);
    let text = text.await.unwrap();
    assert!(text.matches("no matching route").count() >= 50);
    let (whole, _cut_by_the_kill) = text.rsplit_once('\n').unwrap();
    for line in whole.lines() {
        let parsed = serde_json::from_str::<serde_json::Value>(line);
        assert!(parsed.is_ok(), "not a whole line: {line}");
    }
}

/// Guards against an exit that loses the last log lines, because their reader or their thread is late.
#[tokio::test]
async fn the_last_log_lines_are_written_for_a_late_reader() {
    let site = Site::start(1, 1).await;
    let (mut reader, writer) = UnixStream::pair().unwrap();
    writer.set_nonblocking(true).unwrap();
    set_socket_send_buffer_size(&writer, 4_096).unwrap();
    let mut node = site.spawn(0, OwnedFd::from(writer).into());
    wait_until("the node is ready", async || node.is_ready().await).await;
    for request in 0..50 {
        let reply = node.query("/unknown/x", &format!("q{request}")).await;
        assert_eq!(reply.status, 404);
    }
    node.signal(Signal::TERM);
    // Without requests, the process exits after 3.3 s.
    sleep(Duration::from_millis(3_700)).await;
    let text = tokio::task::spawn_blocking(move || {
        let mut text = String::new();
        reader.read_to_string(&mut text).unwrap();
        text
    });
    let text = text.await.unwrap();
    assert!(text.contains("\"stopped\""), "{text}");
    wait_until("the process exits", async || node.exit_status().is_some()).await;
}

/// Guards against requests that wait until thousands of changes are applied, and against a log line for each change.
#[tokio::test]
async fn thousands_of_changes_delay_no_request() {
    let site = Site::start(1, 1).await;
    let node = &site.nodes().await[0];
    for _ in 0..3_000 {
        site.publish(0, "draining");
        site.publish(0, "ready");
    }
    for request in 0..20 {
        let started = Instant::now();
        assert_eq!(
            node.query("/one/x", &format!("q{request}")).await.status,
            200
        );
        assert!(
            started.elapsed() < DELAYED_REQUEST,
            "{:?}",
            started.elapsed()
        );
    }
    let lines = node.log().lines().count();
    assert!(lines < 500, "{lines} log lines");
}
