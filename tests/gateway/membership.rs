use std::time::{Duration, Instant};

use rustix::process::Signal;

use crate::site::{Site, until};

/// Time after which no answer may name a node that is dead.
const DEAD: Duration = Duration::from_secs(7);

#[tokio::test]
async fn a_killed_node_is_not_named_and_returns() {
    let site = Site::start(1, 4).await;
    let mut nodes = site.nodes().await;
    let address = nodes[1].callers();
    nodes[1].kill();
    let killed = Instant::now();
    for node in [0, 2, 3] {
        let named = async || nodes[node].directory().await.contains(&address);
        until("the dead node is not named", async || !named().await).await;
    }
    assert!(killed.elapsed() < DEAD, "named for {:?}", killed.elapsed());
    nodes[1] = site.node(1);
    for node in [0, 2, 3] {
        let named = async || nodes[node].directory().await.contains(&address);
        until("the node is named again", named).await;
    }
}

/// Guards against a node that woke and still acts on what it knew before.
#[tokio::test]
async fn a_frozen_node_is_not_named_and_catches_up_when_it_wakes() {
    let site = Site::start(1, 3).await;
    let nodes = site.nodes().await;
    let address = nodes[0].callers();
    nodes[0].signal(Signal::STOP);
    until("the frozen node is not named", async || {
        !nodes[2].directory().await.contains(&address)
    })
    .await;
    let leaving = &site.shards[0][0];
    site.store
        .put(&leaving.key(), &leaving.entry("s0", "a", "draining"));
    nodes[0].signal(Signal::CONT);
    until("it is named again", async || {
        nodes[2].directory().await.contains(&address)
    })
    .await;
    let before = leaving.arrivals();
    for request in 0..10 {
        assert_eq!(
            nodes[0].ask("/one/x", &format!("q{request}")).await.status,
            200
        );
    }
    assert_eq!(leaving.arrivals(), before);
}

/// Guards against a fleet that cannot form again when nobody is left who remembers it.
#[tokio::test]
async fn all_nodes_may_be_lost_at_once() {
    let site = Site::start(1, 4).await;
    for mut node in site.nodes().await {
        node.kill();
    }
    let nodes = site.nodes().await;
    for node in &nodes {
        assert_eq!(node.ask("/one/x", "q1").await.status, 200);
    }
}
