use std::time::Duration;

use cranberrychute_emulator::{GatewayLeaf, LeafMode};
use futures::future::join;
use tokio::time::{Instant, interval, sleep};

use crate::site::{Node, Site, wait_until};

/// The users' bounds: a request that has crashed three leaves reaches leaves at most `MAX_LATE_RUNS` times later than
/// `SETTLE_TIME` after the third crash.
const SETTLE_TIME: Duration = Duration::from_secs(4);
const MAX_LATE_RUNS: usize = 3;

/// Execution time of requests, after which the crashing one takes its leaf down, and for how long.
const RUN_TIME: Duration = Duration::from_millis(40);
const DOWN_TIME: Duration = Duration::from_millis(600);
/// Intervals of the crashing request and of the others.
const REPEAT_INTERVAL: Duration = Duration::from_millis(250);
const OTHER_INTERVAL: Duration = Duration::from_millis(50);
/// Time within which a request that is not run must be rejected: well before the objective of 250 ms.
const MAX_REJECTION_TIME: Duration = Duration::from_millis(100);

/// Path of the request that crashes the leaves of the first shard.
const CRASHING: &str = "/one/crash";

/// Sends the crashing request to the nodes in turn for `time`.
async fn repeat_crashing(nodes: &[Node], path: &str, time: Duration) {
    let end = Instant::now() + time;
    let mut ticks = interval(REPEAT_INTERVAL);
    let mut count = 0;
    while ticks.tick().await < end {
        let node = &nodes[count % nodes.len()];
        node.query(path, &format!("crash{count}")).await;
        count += 1;
    }
}

/// Sends other requests to the nodes in turn for `time`, and returns how many were sent and how many were served.
async fn send_others(nodes: &[Node], time: Duration) -> (usize, usize) {
    let end = Instant::now() + time;
    let mut ticks = interval(OTHER_INTERVAL);
    let (mut sent, mut served) = (0, 0);
    while ticks.tick().await < end {
        let node = &nodes[sent % nodes.len()];
        let reply = node
            .query(&format!("/one/x{sent}"), &format!("q{sent}"))
            .await;
        sent += 1;
        served += usize::from(reply.status == 200);
    }
    (sent, served)
}

fn prepare(site: &Site, path: &str) {
    for leaf in site.shards.iter().flatten() {
        leaf.set_delay(RUN_TIME);
        leaf.crash_on(path, DOWN_TIME);
    }
}

/// Returns the times of all crashes, in order.
fn crashes<'a>(leaves: impl IntoIterator<Item = &'a GatewayLeaf>) -> Vec<Instant> {
    let mut crashes: Vec<_> = leaves.into_iter().flat_map(GatewayLeaf::crashes).collect();
    crashes.sort_unstable();
    crashes
}

/// Returns the number of crashes later than `SETTLE_TIME` after the third one. A run of the request is a crash.
fn late_runs(site: &Site) -> usize {
    let crashes = crashes(site.shards.iter().flatten());
    let third = crashes.get(2);
    third.map_or(0, |third| {
        crashes
            .iter()
            .filter(|at| **at > *third + SETTLE_TIME)
            .count()
    })
}

/// Guards against a request that is sent to leaves again and again although it has crashed several of them, and against
/// other requests that are not served because of it.
#[tokio::test]
async fn a_request_that_crashes_leaves_is_not_sent_on_and_on() {
    let site = Site::start(1, 3).await;
    let nodes = site.nodes().await;
    prepare(&site, CRASHING);
    let time = SETTLE_TIME * 3;
    let others = async {
        sleep(SETTLE_TIME).await;
        send_others(&nodes, time - SETTLE_TIME).await
    };
    let ((), (sent, served)) = join(repeat_crashing(&nodes, CRASHING, time), others).await;
    let late = late_runs(&site);
    assert!(late <= MAX_LATE_RUNS, "{late} runs after the third crash");
    assert!(
        served * 10 >= sent * 9,
        "{served} of {sent} other requests served"
    );
}

/// Guards against a crashing request that counts anew at each service to which its route sends it.
#[tokio::test]
async fn a_request_that_crashes_leaves_of_several_services_is_not_sent_on_and_on() {
    let site = Site::start(4, 3).await;
    let nodes = site.nodes().await;
    prepare(&site, "/split/crash");
    repeat_crashing(&nodes, "/split/crash", SETTLE_TIME * 2).await;
    let count = crashes(site.shards.iter().flatten()).len();
    let late = late_runs(&site);
    assert!(
        late <= MAX_LATE_RUNS,
        "{late} runs after the third crash, {count} in all"
    );
    let reply = nodes[0].query("/split/other", "other").await;
    assert_eq!(reply.status, 200);
}

/// Guards against a rejection of a crashing request that comes late, has run, or tells the caller that its request is
/// wrong.
#[tokio::test]
async fn a_request_that_crashed_leaves_is_rejected_at_once() {
    let site = Site::start(1, 3).await;
    let nodes = site.nodes().await;
    prepare(&site, CRASHING);
    repeat_crashing(&nodes, CRASHING, SETTLE_TIME).await;
    for (index, node) in nodes.iter().enumerate() {
        wait_until("leaves run again", async || {
            node.query("/one/other", "other").await.status == 200
        })
        .await;
        let id = format!("last{index}");
        let start = Instant::now();
        let reply = node.query(CRASHING, &id).await;
        let took = start.elapsed();
        assert_eq!(reply.status, 503);
        assert!(took < MAX_REJECTION_TIME, "rejected after {took:?}");
        assert!(reply.header_str("retry-after").is_some());
        let runs: u32 = site.shards[0].iter().map(|leaf| leaf.run_count(&id)).sum();
        assert_eq!(runs, 0, "a rejected request has run");
    }
}

/// Guards against a node that has just started and sends on a request that the others reject.
#[tokio::test]
async fn a_restarted_node_rejects_a_request_that_crashed_leaves_before() {
    let site = Site::start(1, 3).await;
    let mut nodes = site.nodes().await;
    prepare(&site, CRASHING);
    repeat_crashing(&nodes, CRASHING, SETTLE_TIME / 2).await;
    nodes[2].kill();
    nodes[2] = site.node(2);
    wait_until("the node is ready and leaves run again", async || {
        nodes[2].is_ready().await && nodes[2].query("/one/other", "other").await.status == 200
    })
    .await;
    let before = crashes(&site.shards[0]).len();
    for attempt in 0..4 {
        let reply = nodes[2].query(CRASHING, &format!("again{attempt}")).await;
        assert_eq!(reply.status, 503);
    }
    assert_eq!(
        crashes(&site.shards[0]).len(),
        before,
        "a leaf crashed again"
    );
}

/// Guards against a query that ends a leaf of each shard at every try.
#[tokio::test]
async fn a_query_that_crashes_all_shards_is_not_sent_on_and_on() {
    const SHARDS: usize = 4;
    let site = Site::start(SHARDS, 3).await;
    let nodes = site.nodes().await;
    prepare(&site, "/all/crash");
    repeat_crashing(&nodes, "/all/crash", SETTLE_TIME * 2).await;
    let count = crashes(site.shards.iter().flatten()).len();
    assert!(count <= SHARDS + 2, "{count} crashes");
    let late = late_runs(&site);
    assert!(late <= MAX_LATE_RUNS, "{late} runs after the third crash");
    let reply = nodes[0].query("/all/other", "other").await;
    assert_eq!(reply.status, 200);
    assert_eq!(reply.header_str("missing-parts"), Some("0"));
}

/// Guards against a popular request that is rejected because it ran on leaves that another request crashed.
#[tokio::test]
async fn a_request_that_ran_beside_a_crashing_one_is_served() {
    let site = Site::start(1, 3).await;
    let nodes = site.nodes().await;
    prepare(&site, CRASHING);
    let popular = async {
        let end = Instant::now() + SETTLE_TIME * 2;
        let (mut late, mut served, mut count) = (0, 0, 0);
        while Instant::now() < end {
            let node = &nodes[count % nodes.len()];
            let reply = node.query("/one/popular", &format!("p{count}")).await;
            count += 1;
            if Instant::now() + SETTLE_TIME > end {
                late += 1;
                served += usize::from(reply.status == 200);
            }
        }
        (late, served)
    };
    let repeated = repeat_crashing(&nodes, CRASHING, SETTLE_TIME * 2);
    let ((), (sent, served)) = join(repeated, popular).await;
    assert!(
        sent > 40 && served * 100 >= sent * 95,
        "{served} of {sent} served"
    );
}

/// Guards against a request that is rejected because its answers were lost while its leaves run.
#[tokio::test]
async fn a_request_whose_answers_are_lost_is_not_taken_for_a_crashing_one() {
    let site = Site::start(1, 1).await;
    let node = &site.nodes().await[0];
    let set_mode = |mode| site.shards[0].iter().for_each(|leaf| leaf.set_mode(mode));
    set_mode(LeafMode::Disconnect);
    for attempt in 0..6 {
        let reply = node.query("/one/lost", &format!("lost{attempt}")).await;
        assert_ne!(reply.status, 200);
    }
    set_mode(LeafMode::Normal);
    wait_until("the request is served", async || {
        node.query("/one/lost", "after").await.status == 200
    })
    .await;
}
