use std::time::Duration;

use cranberrychute_emulator::{GatewayLeaf, LeafMode, LinkMode};
use rustix::process::Signal;
use tokio::time::{Instant, interval, sleep, timeout};

use crate::site::{Node, Site, wait_until};

/// The users' bounds: from `SETTLE_TIME` after nodes lost their links to all leaves, first tries at them are served at least
/// `SERVED_RATIO` times as often as those at the other nodes, or fail in at most `ALLOWED_FAILURES` cases and one in
/// `ALLOWED_SHARE`.
const SETTLE_TIME: Duration = Duration::from_secs(4);
const SERVED_RATIO: f64 = 2.0 / 3.0;
const ALLOWED_FAILURES: usize = 10;
const ALLOWED_SHARE: usize = 50;

/// Time within which a request that is not run must be rejected: well before the objective of 250 ms.
const MAX_REJECTION_TIME: Duration = Duration::from_millis(100);
/// Time after a caller closes its connection within which the leaves must have stopped.
const MAX_STOP_TIME: Duration = Duration::from_millis(500);

/// Interval of the requests to each node.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// Requests sent to one node, and how many of them were served.
#[derive(Debug, Default)]
struct Count {
    sent: usize,
    served: usize,
}

/// Sends requests to a node for `time`, alternately to one leaf and to all shards.
async fn send_load(node: &Node, name: &str, time: Duration) -> Count {
    let end = Instant::now() + time;
    let mut ticks = interval(REQUEST_INTERVAL);
    let mut count = Count::default();
    while ticks.tick().await < end {
        let route = if count.sent.is_multiple_of(2) {
            "one"
        } else {
            "all"
        };
        let path = format!("/{route}/{name}{}", count.sent);
        let reply = node.query(&path, &format!("{name}{}", count.sent)).await;
        count.sent += 1;
        count.served += usize::from(reply.status == 200);
    }
    count
}

/// Cuts node 0 off from all leaves and returns what callers of it and of node 1 got later than `SETTLE_TIME` after that.
async fn served_after_cut(site: &Site, nodes: &[Node], mode: LinkMode) -> [Count; 2] {
    site.set_links(0, mode);
    let (cut, other) = (&nodes[0], &nodes[1]);
    tokio::join!(
        send_load(cut, "c", SETTLE_TIME),
        send_load(other, "d", SETTLE_TIME)
    );
    let (cut, other) = tokio::join!(
        send_load(cut, "e", SETTLE_TIME),
        send_load(other, "f", SETTLE_TIME),
    );
    [cut, other]
}

fn assert_served([cut, other]: [Count; 2]) {
    let share = |count: &Count| count.served as f64 / count.sent as f64;
    let failed = cut.sent - cut.served;
    let allowed = ALLOWED_FAILURES + (cut.sent + other.sent) / ALLOWED_SHARE;
    assert!(
        share(&cut) >= SERVED_RATIO * share(&other) || failed <= allowed,
        "served at the cut node {cut:?}, at the other {other:?}"
    );
    assert!(share(&other) > 0.95, "served at the other node {other:?}");
}

/// Guards against callers that are not served because the links of their node to all leaves carry nothing any more.
#[tokio::test]
async fn callers_of_a_node_whose_links_hang_are_served() {
    let site = Site::start_linked(4, 2).await;
    let nodes = site.nodes().await;
    assert_served(served_after_cut(&site, &nodes, LinkMode::Hang).await);
}

/// Guards against callers that are not served because all connections of their node to leaves are reset, and new ones refused.
#[tokio::test]
async fn callers_of_a_node_whose_links_are_reset_are_served() {
    let site = Site::start_linked(4, 2).await;
    let nodes = site.nodes().await;
    assert_served(served_after_cut(&site, &nodes, LinkMode::Reset).await);
}

/// Guards against callers that are not served because their node gets no new connections to leaves, while open ones go on.
#[tokio::test]
async fn callers_of_a_node_without_new_connections_are_served() {
    let site = Site::start_linked(4, 2).await;
    let nodes = site.nodes().await;
    assert_served(served_after_cut(&site, &nodes, LinkMode::Refuse).await);
}

/// Cuts node 0 off from all leaves and waits until the other nodes no longer name it to callers.
pub(crate) async fn cut_off(site: &Site, nodes: &[Node]) {
    site.set_links(0, LinkMode::Hang);
    // Requests show that the leaves do not answer.
    let requests = async {
        for count in 0.. {
            nodes[0].query("/all/x", &format!("cut{count}")).await;
        }
    };
    let known = wait_until("the node is not named any more", async || {
        !nodes[1].directory().await.contains(&nodes[0].callers())
    });
    tokio::select! {
        () = requests => {}
        () = known => {}
    }
}

fn runs(site: &Site, id: &str) -> u32 {
    site.shards[0].iter().map(|leaf| leaf.run_count(id)).sum()
}

/// Guards against an order that is lost, or runs twice, because its node hands it to another one.
#[tokio::test]
async fn orders_at_a_cut_node_run_once() {
    let site = Site::start_linked(1, 2).await;
    let nodes = site.nodes().await;
    cut_off(&site, &nodes).await;
    for order in 0..20 {
        let id = format!("order{order}");
        let reply = nodes[0].send_order("/order/x", &id).await;
        assert_eq!(
            (reply.status, reply.header_str("request-id")),
            (200, Some(&*id))
        );
        assert!(reply.header_str("server-stamp").is_some());
        assert_eq!(runs(&site, &id), 1);
    }
}

/// Guards against an order that a second helper runs because the leaf's own failure, which the first helper passes on, looks
/// like a rejection.
#[tokio::test]
async fn an_order_that_failed_on_its_leaf_is_not_handed_over_again() {
    let site = Site::start_linked(1, 3).await;
    let nodes = site.nodes().await;
    cut_off(&site, &nodes).await;
    for leaf in &site.shards[0] {
        leaf.set_mode(LeafMode::FailUnavailable);
    }
    for order in 0..10 {
        let id = format!("order{order}");
        let reply = nodes[0].send_order("/order/x", &id).await;
        assert_eq!(reply.status, 503);
        assert!(reply.header_str("server-stamp").is_some());
        assert_eq!(runs(&site, &id), 1);
    }
}

/// Guards against requests that two cut nodes hand to each other, or that wait although they cannot be served.
#[tokio::test]
async fn requests_are_rejected_at_once_if_no_node_reaches_leaves() {
    let site = Site::start_linked(1, 2).await;
    let nodes = site.nodes().await;
    cut_off(&site, &nodes).await;
    site.set_links(1, LinkMode::Hang);
    let mut count = 0;
    wait_until("requests are rejected at once", async || {
        count += 1;
        let id = format!("r{count}");
        let start = Instant::now();
        let reply = nodes[count % 2].query("/one/x", &id).await;
        assert_eq!(runs(&site, &id), 0);
        reply.status == 503 && start.elapsed() < MAX_REJECTION_TIME
    })
    .await;
    for count in 0..20 {
        let start = Instant::now();
        let reply = nodes[count % 2].query("/one/x", &format!("s{count}")).await;
        let took = start.elapsed();
        assert_eq!(reply.status, 503);
        assert!(took < MAX_REJECTION_TIME, "rejected after {took:?}");
    }
    assert_eq!(
        nodes[0].directory().await.len(),
        2,
        "nobody is named to callers"
    );
}

/// Guards against leaves that go on working for a caller that has left the cut node.
#[tokio::test]
async fn a_caller_that_leaves_a_cut_node_stops_the_leaves() {
    let site = Site::start_linked(1, 2).await;
    let nodes = site.nodes().await;
    cut_off(&site, &nodes).await;
    let leaves = &site.shards[0];
    let abandoned = || -> u32 { leaves.iter().map(GatewayLeaf::abandoned_count).sum() };
    // The last request before the cut was known may end here.
    sleep(MAX_STOP_TIME).await;
    let before = abandoned();
    for leaf in leaves {
        leaf.set_delay(Duration::from_secs(5));
    }
    let left = timeout(
        Duration::from_millis(200),
        nodes[0].query("/one/x", "leaves"),
    );
    assert!(left.await.is_err());
    sleep(MAX_STOP_TIME).await;
    let runs = runs(&site, "leaves");
    assert!(runs > 0, "the request has not run");
    assert_eq!(abandoned() - before, runs, "leaves still work");
}

/// Guards against callers of a cut node that are not served because one of its helpers stops or is killed.
#[tokio::test]
async fn helpers_that_stop_or_die_cost_no_answers() {
    let site = Site::start_linked(2, 4).await;
    let mut nodes = site.nodes().await;
    cut_off(&site, &nodes).await;
    nodes[1].signal(Signal::TERM);
    let count = send_load(&nodes[0], "stop", SETTLE_TIME).await;
    assert_eq!(count.served, count.sent, "answers were lost around a stop");
    nodes[2].kill();
    let count = send_load(&nodes[0], "kill", SETTLE_TIME).await;
    let allowed = ALLOWED_FAILURES + count.sent / ALLOWED_SHARE;
    assert!(
        count.sent - count.served <= allowed,
        "after a kill: {count:?}"
    );
}

/// Guards against a node that stays out of use after its links are back.
#[tokio::test]
async fn a_node_whose_links_are_back_serves_its_callers_itself() {
    let site = Site::start_linked(2, 2).await;
    let nodes = site.nodes().await;
    cut_off(&site, &nodes).await;
    site.set_links(0, LinkMode::Up);
    wait_until("the node is named again", async || {
        nodes[1].directory().await.contains(&nodes[0].callers())
    })
    .await;
    site.set_links(1, LinkMode::Reset);
    let count = send_load(&nodes[0], "back", SETTLE_TIME / 2).await;
    assert_eq!(count.served, count.sent);
}

/// Guards against queries that are handed about because the leaves of one shard are dark for all nodes.
#[tokio::test]
async fn a_dark_shard_is_not_a_lost_link() {
    let site = Site::start_linked(4, 2).await;
    let nodes = site.nodes().await;
    site.shards[0]
        .iter()
        .for_each(|leaf| leaf.set_mode(LeafMode::Silent));
    for node in &nodes {
        send_load(node, "dark", SETTLE_TIME / 2).await;
        assert!(!node.log().contains("link to the leaves changed"));
        assert!(!node.log().contains("request handed to another node"));
    }
}
