use std::time::Duration;

use cranberrychute_emulator::GatewayLeaf;
use futures::future::join_all;
use serde_json::json;
use tokio::time::{Instant, interval};

use crate::site::{Node, Site, wait_until};

/// The users' bounds: from `SETTLE_TIME` after a leaf first named a limit, it gets at most `OVERSHOOT` times that in any
/// `WINDOW`, and `SLACK` requests.
const SETTLE_TIME: Duration = Duration::from_secs(4);
const WINDOW: Duration = Duration::from_secs(4);
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Interval of the requests to each node.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// Time within which a request that cannot be served must be answered: well before the objective of 200 ms.
const MAX_REJECTION_TIME: Duration = Duration::from_millis(100);

/// Sends requests to all nodes at a regular interval for `time`. Returns the number that were not answered with 200.
async fn send_load(nodes: &[Node], time: Duration) -> usize {
    let end = Instant::now() + time;
    let clients = nodes.iter().enumerate().map(async |(index, node)| {
        let mut ticks = interval(REQUEST_INTERVAL);
        let (mut failed, mut count) = (0, 0);
        while ticks.tick().await < end {
            let reply = node.query("/one/x", &format!("n{index}q{count}")).await;
            failed += usize::from(reply.status != 200);
            count += 1;
        }
        failed
    });
    join_all(clients).await.into_iter().sum()
}

fn allowed(limit: f64) -> usize {
    (limit * OVERSHOOT * WINDOW.as_secs_f64() + SLACK) as usize
}

fn most_arrivals(leaf: &GatewayLeaf, named: Instant) -> usize {
    leaf.most_arrivals(named + SETTLE_TIME, WINDOW)
}

/// Guards against a leaf that gets more requests than the limit that it names in its answers, summed over all nodes.
#[tokio::test]
async fn a_leaf_that_names_a_limit_gets_no_more_requests_than_that() {
    const LIMIT: f64 = 10.0;
    let site = Site::start(1, 3).await;
    let nodes = site.nodes().await;
    let [limited, other] = &site.shards[0];
    limited.set_limit(Some("10"));
    let named = Instant::now();
    let before = limited.request_count();
    let failed = send_load(&nodes, SETTLE_TIME + WINDOW + WINDOW / 4).await;
    assert_eq!(failed, 0, "the other leaf has room");
    let most = most_arrivals(limited, named);
    let allowed = allowed(LIMIT);
    assert!(most <= allowed, "{most} requests in 4 s, allowed {allowed}");
    assert!(
        limited.request_count() > before + LIMIT as u64,
        "the limit is hardly used"
    );
    assert!(other.request_count() > limited.request_count());
}

/// Guards against requests that wait for leaves whose limits are used up, and against a rejection of a request that has
/// run.
#[tokio::test]
async fn requests_beyond_the_limits_of_all_leaves_are_rejected_at_once() {
    let site = Site::start(1, 1).await;
    let node = &site.nodes().await[0];
    site.shards[0]
        .iter()
        .for_each(|leaf| leaf.set_limit(Some("1")));
    let mut rejected = 0;
    for request in 0..20 {
        let id = format!("q{request}");
        let start = Instant::now();
        let reply = node.query("/one/x", &id).await;
        if reply.status == 200 {
            continue;
        }
        rejected += 1;
        let took = start.elapsed();
        assert_eq!(reply.status, 503);
        assert!(took < MAX_REJECTION_TIME, "rejected after {took:?}");
        let seconds: f64 = reply.header_str("retry-after").unwrap().parse().unwrap();
        assert!(seconds > 0.0);
        for leaf in &site.shards[0] {
            assert_eq!(leaf.run_count(&id), 0, "a rejected request has run");
        }
    }
    assert!(rejected >= 15, "{rejected} of 20 rejected");
}

/// Guards against queries that wait for a shard whose leaves have used up their limits.
#[tokio::test]
async fn a_shard_beyond_its_limits_is_left_out_at_once() {
    let site = Site::start(4, 1).await;
    let node = &site.nodes().await[0];
    site.shards[1]
        .iter()
        .for_each(|leaf| leaf.set_limit(Some("0.5")));
    let mut partial = 0;
    for request in 0..20 {
        let start = Instant::now();
        let reply = node.query("/all/x", &format!("q{request}")).await;
        let took = start.elapsed();
        assert_eq!(reply.status, 200);
        if reply.header_str("missing-parts") == Some("1") {
            partial += 1;
            assert!(took < MAX_REJECTION_TIME, "answered after {took:?}");
        }
    }
    assert!(partial >= 15, "{partial} of 20 without the part");
}

/// Guards against a leaf that keeps its limit after it no longer names one.
#[tokio::test]
async fn a_leaf_gets_its_load_back_when_it_names_no_limit_any_more() {
    let site = Site::start(1, 3).await;
    let nodes = site.nodes().await;
    let [limited, _] = &site.shards[0];
    limited.set_limit(Some("2"));
    send_load(&nodes, Duration::from_secs(2)).await;
    limited.set_limit(None);
    wait_until("the leaf gets its load back", async || {
        let before = limited.request_count();
        send_load(&nodes, Duration::from_secs(1)).await;
        limited.request_count() > before + 40
    })
    .await;
}

/// Guards against a cold leaf that gets more requests in a second than it bears, summed over all nodes.
#[tokio::test]
async fn a_cold_leaf_gets_no_more_requests_than_it_bears() {
    const RATE: f64 = 2.0;
    let site = Site::start(1, 3).await;
    let mut config = site.config(8);
    config["services"][0]["warmup_per_s"] = json!(RATE);
    site.store.put("op/config", &config);
    let [cold, other] = &site.shards[0];
    let mut entry = cold.entry("s0", "a", "ready");
    entry["warmup_left_ms"] = json!(600_000);
    site.store.put(&cold.key(), &entry);
    let nodes = site.nodes().await;
    let start = Instant::now();
    let failed = send_load(&nodes, WINDOW).await;
    assert_eq!(failed, 0, "the other leaf has room");
    let most = cold.most_arrivals(start, Duration::from_secs(1));
    let allowed = (RATE * OVERSHOOT + SLACK) as usize;
    assert!(
        most <= allowed,
        "{most} requests in a second, allowed {allowed}"
    );
    assert!(other.request_count() > cold.request_count());
}
