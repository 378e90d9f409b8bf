use std::time::Duration;

use futures::future::join_all;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::site::{Node, Site, wait_until};

/// Execution time of a part. Two shards of two leaves with two slots run 80 gathers a second.
const PART_TIME: Duration = Duration::from_millis(50);
const SLOTS: usize = 2;
const LEAF_QUEUE: usize = 6;
/// Callers of large queries. With their pauses they send about three times the capacity if they are answered at once.
const CALLERS: usize = 40;
const PAUSE: Duration = Duration::from_millis(100);
const URGENT_CALLERS: usize = 3;
/// Time after which the limit is on.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);
const LENGTH: Duration = Duration::from_secs(7);
/// Objective of the large queries, as in the configuration of the site.
const OBJECTIVE: Duration = Duration::from_millis(200);
/// Maximum time to most rejections: a quarter of the objective, and as much for the network and a busy test machine.
const MAX_REJECTION_TIME: Duration = Duration::from_millis(100);

struct Query {
    id: String,
    status: u16,
    whole: bool,
    took: Duration,
    retry_after: Option<f64>,
}

/// Sends queries one after the other until `end`, after rejections when it is told. Returns those sent after `from`.
async fn send_queries(
    node: &Node,
    path: &str,
    name: &str,
    from: Instant,
    end: Instant,
) -> Vec<Query> {
    let mut queries = Vec::new();
    let mut number = 0;
    while Instant::now() < end {
        let id = format!("{name}-{number}");
        number += 1;
        let sent = Instant::now();
        let reply = node.query(&format!("{path}{id}"), &id).await;
        let retry_after = reply
            .header_str("retry-after")
            .map(|text| text.parse().unwrap());
        if sent >= from {
            queries.push(Query {
                id,
                status: reply.status,
                whole: reply.header_str("missing-parts") == Some("0"),
                took: sent.elapsed(),
                retry_after,
            });
        }
        sleep(retry_after.map_or(PAUSE, Duration::from_secs_f64)).await;
    }
    queries
}

/// Guards against callers that are answered late or not at all because all queries share too few slots, against late
/// rejections, against rejections of queries that have run, and against urgent queries that suffer from large ones.
#[tokio::test]
async fn an_overloaded_site_serves_what_it_can_and_rejects_the_rest_early() {
    let mut site = Site::start(2, 1).await;
    site.admission = true;
    let mut config = site.config(8);
    let mut urgent = config["routes"][0].clone();
    urgent["name"] = json!("urgent");
    urgent["prefix"] = json!("/urgent/");
    urgent["priority"] = json!(0);
    config["routes"].as_array_mut().unwrap().push(urgent);
    site.store.put("op/config", &config);
    for leaf in site.shards.iter().flatten() {
        leaf.set_delay(PART_TIME);
        leaf.set_capacity(SLOTS, LEAF_QUEUE);
    }
    let node = &site.nodes().await[0];
    wait_until("the route is known", async || {
        node.query("/urgent/x", "first").await.status == 200
    })
    .await;
    let start = Instant::now();
    let (from, end) = (start + SETTLE_TIME, start + LENGTH);
    let large = (0..CALLERS).map(async |caller| {
        send_queries(node, "/all/", &format!("large-{caller}"), from, end).await
    });
    let urgent = (0..URGENT_CALLERS).map(async |caller| {
        send_queries(node, "/urgent/", &format!("urgent-{caller}"), from, end).await
    });
    let (large, urgent) = tokio::join!(join_all(large), join_all(urgent));
    let count = |queries: &[Vec<Query>], is: &dyn Fn(&Query) -> bool| {
        queries.iter().flatten().filter(|query| is(query)).count()
    };
    let in_time = |query: &Query| query.status == 200 && query.whole && query.took <= OBJECTIVE;
    for (name, queries) in [("large", &large), ("urgent", &urgent)] {
        println!(
            "{name}: {} sent, {} in time, {} whole, {} answered, {} rejected",
            count(queries, &|_| true),
            count(queries, &in_time),
            count(queries, &|query| query.status == 200 && query.whole),
            count(queries, &|query| query.status == 200),
            count(queries, &|query| query.status == 503),
        );
    }
    let rejected: Vec<&Query> = large
        .iter()
        .flatten()
        .filter(|query| query.status == 503)
        .collect();
    let early = rejected
        .iter()
        .filter(|query| query.took <= MAX_REJECTION_TIME);
    println!(
        "{} of {} rejected early",
        early.clone().count(),
        rejected.len()
    );
    assert!(rejected.len() >= 20);
    assert!(early.count() * 10 >= rejected.len() * 9);
    for query in rejected {
        assert!(query.retry_after.is_some_and(|seconds| seconds > 0.0));
        assert_eq!(site.run_count(&query.id), 0, "{} has run", query.id);
    }
    let sent = count(&urgent, &|_| true);
    let served = count(&urgent, &in_time);
    assert!(
        served * 10 >= sent * 8,
        "{served} of {sent} urgent queries in time"
    );
    // Half of what the leaves can run in this time.
    let capacity = 2.0 * SLOTS as f64 / PART_TIME.as_secs_f64();
    let least = capacity * (LENGTH - SETTLE_TIME).as_secs_f64() / 2.0;
    let served = served + count(&large, &in_time);
    assert!(served as f64 >= least, "{served} in time, at least {least}");
}
