use std::time::Duration;

use cranberrychute_emulator::GatewayLeaf;
use futures::future::join_all;
use tokio::time::{Instant, interval};

use crate::site::{Node, Site};

/// The users' bounds: from `SETTLE_TIME` after a leaf first named a limit, it gets at most `OVERSHOOT` times that in any
/// `WINDOW`, and `SLACK` requests.
const SETTLE_TIME: Duration = Duration::from_secs(4);
const WINDOW: Duration = Duration::from_secs(4);
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Interval of the requests to each node.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

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
