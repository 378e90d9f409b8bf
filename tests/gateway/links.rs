use std::time::Duration;

use cranberrychute_emulator::LinkMode;
use tokio::time::{Instant, interval};

use crate::site::{Node, Site};

/// The users' bounds: from `SETTLE_TIME` after nodes lost their links to all leaves, first tries at them are served at least
/// `SERVED_RATIO` times as often as those at the other nodes, or fail in at most `ALLOWED_FAILURES` cases and one in
/// `ALLOWED_SHARE`.
const SETTLE_TIME: Duration = Duration::from_secs(4);
const SERVED_RATIO: f64 = 2.0 / 3.0;
const ALLOWED_FAILURES: usize = 10;
const ALLOWED_SHARE: usize = 50;

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
