use std::time::{Duration, Instant};

use cranberrychute_emulator::Conduct;
use serde_json::json;
use tokio::time::sleep;

use crate::site::{HOST, Node, Site, send, until};

/// Time after a caller's close by which its leafs must have stopped.
const CLOSE_BOUND: Duration = Duration::from_millis(500);

/// Time of a query that was held until its route's 800 ms were near, and not answered around its objective of 200 ms.
/// The moment itself is tested in virtual time; here the machine's own delays count, too.
const WAITED: Duration = Duration::from_millis(400);

/// Queries to each node around a repartition, 5 ms apart and longer than its time to come into force.
const REPARTITION_ROUNDS: usize = 200;

#[tokio::test]
async fn a_query_returns_the_greatest_records_of_all_shards() {
    let site = Site::start(4, 1).await;
    let node = &site.nodes().await[0];
    let reply = node.ask("/all/x?y=1", "q1").await;
    assert_eq!(reply.status, 200);
    assert_eq!(reply.text("missing-parts"), Some("0"));
    let stamps: Vec<&str> = reply
        .text("part-stamps")
        .unwrap()
        .split(',')
        .map(str::trim)
        .collect();
    assert_eq!(stamps.len(), 4);
    let first: Vec<u8> = reply.body.chunks(16).map(|record| record[0]).collect();
    assert_eq!(first, [3, 2, 1]);
}

#[tokio::test]
async fn a_request_to_one_leaf_returns_its_answer_unchanged() {
    let site = Site::start(1, 1).await;
    let node = &site.nodes().await[0];
    let reply = node.ask("/one/x", "q1").await;
    assert_eq!((reply.status, reply.body.len()), (200, 16));
    assert_eq!(reply.text("request-id"), Some("q1"));
    assert!(reply.text("server-stamp").unwrap().ends_with(".q1.1"));
    assert_eq!(node.ask("/none/x", "q2").await.status, 404);
}

/// Guards against a request at a service that took over the address of a leaf.
#[tokio::test]
async fn another_leaf_at_the_address_runs_nothing() {
    let site = Site::start(1, 1).await;
    let node = &site.nodes().await[0];
    let [moved, stays] = &site.shards[0];
    moved.rename("i-other");
    for request in 0..10 {
        let id = format!("q{request}");
        assert_eq!(node.ask("/one/x", &id).await.status, 200);
        assert_eq!(moved.runs(&id), 0);
        assert_eq!(stays.runs(&id), 1);
    }
    assert!(moved.arrivals() <= 1, "the address is asked again");
}

/// Guards against answers with parts of two sets of shards, and against a node that goes back to the old set.
#[tokio::test]
async fn a_repartition_mixes_no_shards_and_fails_no_query() {
    let site = Site::start(4, 3).await;
    let set = |version, shards: [&str; 2]| {
        let mut config = site.config(version);
        config["routes"][0]["gather"] = json!(shards);
        config
    };
    site.store.put("op/config", &set(8, ["s0", "s1"]));
    let nodes = site.nodes().await;
    let shards = async |node: &Node, id: &str| {
        let reply = node.ask("/all/x", id).await;
        assert_eq!(reply.status, 200);
        assert_eq!(reply.text("missing-parts"), Some("0"));
        let mut shards: Vec<u8> = reply.body.chunks(16).map(|record| record[0]).collect();
        shards.sort_unstable();
        shards
    };
    for node in &nodes {
        until("the first set is in force", async || {
            shards(node, "q").await == [0, 1]
        })
        .await;
    }
    site.store.put("op/config", &set(9, ["s2", "s3"]));
    let mut moved = vec![false; nodes.len()];
    for round in 0..REPARTITION_ROUNDS {
        for (node, moved) in nodes.iter().zip(&mut moved) {
            let shards = shards(node, &format!("r{round}")).await;
            let new = shards == [2, 3];
            assert!(new || shards == [0, 1], "{shards:?} of two sets");
            assert!(new || !*moved, "back to the old set");
            *moved |= new;
        }
        sleep(Duration::from_millis(5)).await;
    }
    assert!(moved.iter().all(|moved| *moved), "{moved:?}");
}

/// Guards against an order that is lost with a connection that its leaf has forgotten while it rested.
#[tokio::test]
async fn an_order_never_goes_out_on_a_connection_that_may_be_forgotten() {
    let site = Site::start(1, 1).await;
    let node = &site.nodes().await[0];
    for leaf in &site.shards[0] {
        leaf.conduct(Conduct::Forgets);
    }
    for order in 0..4 {
        let id = format!("o{order}");
        assert_eq!(node.order("/order/x", &id).await.status, 200);
        let runs: u32 = site.shards[0].iter().map(|leaf| leaf.runs(&id)).sum();
        assert_eq!(runs, 1);
        sleep(Duration::from_millis(400)).await;
    }
}

/// Guards against an answer that is held up by a leaf that stands still.
#[tokio::test]
async fn a_silent_leaf_delays_no_query_beyond_its_objective() {
    let site = Site::start(4, 1).await;
    let node = &site.nodes().await[0];
    for request in 0..40 {
        node.ask("/all/x", &format!("warm-{request}")).await;
    }
    site.shards[1][0].conduct(Conduct::Silent);
    for request in 0..20 {
        let asked = Instant::now();
        let reply = node.ask("/all/x", &format!("q{request}")).await;
        assert_eq!(reply.status, 200);
        assert!(asked.elapsed() < WAITED, "{:?}", asked.elapsed());
    }
}

/// Guards against queries that wait for a shard that is known to be down, and against one that is refused though
/// enough shards are left.
#[tokio::test]
async fn a_dark_shard_is_left_out_in_time() {
    let site = Site::start(4, 1).await;
    let node = &site.nodes().await[0];
    for leaf in &site.shards[2] {
        leaf.conduct(Conduct::Silent);
    }
    for request in 0..20 {
        let asked = Instant::now();
        let reply = node.ask("/all/x", &format!("q{request}")).await;
        assert_eq!(
            (reply.status, reply.text("missing-parts")),
            (200, Some("1"))
        );
        assert!(asked.elapsed() < WAITED, "{:?}", asked.elapsed());
    }
}

#[tokio::test]
async fn a_lost_answer_is_asked_for_at_another_leaf() {
    let site = Site::start(1, 1).await;
    let node = &site.nodes().await[0];
    site.shards[0][0].conduct(Conduct::Loses);
    for request in 0..10 {
        assert_eq!(node.ask("/one/x", &format!("q{request}")).await.status, 200);
    }
}

/// Guards against an order that runs twice, and against "not run" for one that ran.
#[tokio::test]
async fn an_order_whose_answer_is_lost_runs_once_and_is_not_refused() {
    let site = Site::start(1, 1).await;
    let node = &site.nodes().await[0];
    for leaf in &site.shards[0] {
        leaf.conduct(Conduct::Loses);
    }
    for request in 0..6 {
        let id = format!("o{request}");
        let reply = node.order("/order/x", &id).await;
        let runs: u32 = site.shards[0].iter().map(|leaf| leaf.runs(&id)).sum();
        assert!(runs <= 1, "{id} ran {runs} times");
        let expected = if runs == 0 { 503 } else { 502 };
        assert_eq!(reply.status, expected, "{id} ran {runs} times");
        assert!(request > 0 || runs == 1, "the first order was not sent");
    }
}

/// Guards against a refusal that is not true, and one that does not say when to come back.
#[tokio::test]
async fn an_order_that_all_leafs_shed_is_refused_as_not_run() {
    let site = Site::start(1, 1).await;
    let node = &site.nodes().await[0];
    for leaf in &site.shards[0] {
        leaf.conduct(Conduct::Sheds);
    }
    let reply = node.order("/order/x", "o1").await;
    assert_eq!(reply.status, 503);
    let again: f64 = reply.text("retry-after").unwrap().parse().unwrap();
    assert!((0.05..5.0).contains(&again), "come back after {again} s");
    for leaf in &site.shards[0] {
        assert_eq!(leaf.runs("o1"), 0);
        leaf.conduct(Conduct::Works);
    }
    assert_eq!(node.order("/order/x", "o2").await.status, 200);
}

/// Guards against an order that is given up after a leaf shed it.
#[tokio::test]
async fn an_order_goes_on_to_a_leaf_with_room() {
    let site = Site::start(1, 1).await;
    let node = &site.nodes().await[0];
    site.shards[0][0].conduct(Conduct::Sheds);
    for request in 0..4 {
        assert_eq!(
            node.order("/order/x", &format!("o{request}")).await.status,
            200
        );
    }
}

/// Guards against work for callers that have left, and against time that no caller gave.
#[tokio::test]
async fn leafs_stop_soon_after_the_caller_has_left() {
    let site = Site::start(1, 1).await;
    let node = &site.nodes().await[0];
    let [left, right] = &site.shards[0];
    for leaf in [left, right] {
        leaf.delay(Duration::from_secs(3));
    }
    let request = format!(
        "GET /one/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: q1\r\nDeadline-Ms: 900\r\n\r\n"
    );
    let asked = tokio::time::timeout(
        Duration::from_millis(100),
        send(node.callers(), request.as_bytes()),
    );
    assert!(asked.await.is_err(), "the answer came too early");
    let gone = Instant::now();
    until("the leaf stops", async || {
        left.abandoned() + right.abandoned() > 0
    })
    .await;
    assert!(
        gone.elapsed() < CLOSE_BOUND,
        "{:?} after the close",
        gone.elapsed()
    );
    assert!(left.longest().max(right.longest()) <= Duration::from_millis(900));
}

/// Guards against a request that is kept waiting beyond its route's time.
#[tokio::test]
async fn a_request_ends_with_the_time_of_its_route() {
    let site = Site::start(1, 1).await;
    let node = &site.nodes().await[0];
    for leaf in &site.shards[0] {
        leaf.conduct(Conduct::Silent);
    }
    let asked = Instant::now();
    let reply = node.ask("/one/x", "q1").await;
    assert_eq!(reply.status, 504);
    let took = asked.elapsed();
    assert!(
        (900..1_250).contains(&took.as_millis()),
        "ended after {took:?}"
    );
}
