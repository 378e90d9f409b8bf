use std::time::{Duration, Instant};

use rustix::process::Signal;
use tokio::time::sleep;

use crate::site::{Site, until};

/// Time between SIGTERM and SIGKILL.
const GRACE: Duration = Duration::from_secs(6);

/// Guards against a stop that cuts a request, and one that callers learn of too late.
#[tokio::test]
async fn a_stop_cuts_nothing_and_leaves_the_answers_at_once() {
    let site = Site::start(1, 2).await;
    let mut nodes = site.nodes().await;
    for leaf in &site.shards[0] {
        leaf.delay(Duration::from_millis(700));
    }
    let address = nodes[0].callers();
    let asked = tokio::spawn(async move { crate::site::get(address, "/one/x", "q1").await });
    sleep(Duration::from_millis(150)).await;
    nodes[0].signal(Signal::TERM);
    let stopped = Instant::now();
    until("the node is not ready", async || !nodes[0].is_ready().await).await;
    until("it is not named", async || {
        !nodes[1].directory().await.contains(&address)
    })
    .await;
    assert!(
        stopped.elapsed() < Duration::from_millis(500),
        "{:?}",
        stopped.elapsed()
    );
    assert_eq!(asked.await.unwrap().unwrap().status, 200);
    // Callers that still hold the address are served.
    let reply = nodes[0].ask("/one/x", "q2").await;
    assert_eq!(
        (reply.status, reply.text("connection")),
        (200, Some("close"))
    );
    nodes[0].signal(Signal::TERM);
    until("the process ends", async || nodes[0].ended().is_some()).await;
    assert!(stopped.elapsed() < GRACE, "{:?}", stopped.elapsed());
    assert!(nodes[0].ended().unwrap().success());
}

/// Guards against a reload that loses requests or settings.
#[tokio::test]
async fn a_reload_keeps_serving() {
    let site = Site::start(1, 1).await;
    let node = &site.nodes().await[0];
    for request in 0..10 {
        node.signal(Signal::HUP);
        assert_eq!(node.ask("/one/x", &format!("q{request}")).await.status, 200);
    }
    let settings = site.folder.path().join("node-0.toml");
    std::fs::write(settings, "node = 7").unwrap();
    node.signal(Signal::HUP);
    until("the fault is logged", async || {
        node.log().contains("settings not reloaded")
    })
    .await;
    assert_eq!(node.ask("/one/x", "last").await.status, 200);
}
