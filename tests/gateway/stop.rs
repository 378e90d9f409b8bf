use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::{io::AsyncWriteExt, net::TcpStream, time::sleep};

use crate::{
    links::cut_off,
    load::{End, Load, Reading, cut_requests},
    site::{GRACE, HOST, Node, Site, send, wait_until},
};

/// Guards against a stop that aborts requests in progress, and against a stopping node that stays in address answers.
#[tokio::test]
async fn a_stopping_node_finishes_requests_and_leaves_the_directory_at_once() {
    let site = Site::start(1, 2).await;
    let mut nodes = site.nodes().await;
    for leaf in &site.shards[0] {
        leaf.set_delay(Duration::from_millis(700));
    }
    let address = nodes[0].callers();
    let request = tokio::spawn(async move { crate::site::get(address, "/one/x", "q1").await });
    sleep(Duration::from_millis(150)).await;
    nodes[0].signal(Signal::TERM);
    let stopped = Instant::now();
    wait_until("the node is not ready", async || !nodes[0].is_ready().await).await;
    wait_until("the node is not listed", async || {
        !nodes[1].directory().await.contains(&address)
    })
    .await;
    assert!(
        stopped.elapsed() < Duration::from_millis(500),
        "{:?}",
        stopped.elapsed()
    );
    assert_eq!(request.await.unwrap().unwrap().status, 200);
    // Callers that still have the address cached are served.
    let reply = nodes[0].query("/one/x", "q2").await;
    assert_eq!(
        (reply.status, reply.header_str("connection")),
        (200, Some("close"))
    );
    nodes[0].signal(Signal::TERM);
    wait_until("the process exits", async || {
        nodes[0].exit_status().is_some()
    })
    .await;
    assert!(stopped.elapsed() < GRACE, "{:?}", stopped.elapsed());
    assert!(nodes[0].exit_status().unwrap().success());
}

/// Guards against a reload that fails requests, and against invalid settings that replace the active ones.
#[tokio::test]
async fn a_settings_reload_fails_no_request() {
    let site = Site::start(1, 1).await;
    let node = &site.nodes().await[0];
    for request in 0..10 {
        node.signal(Signal::HUP);
        assert_eq!(
            node.query("/one/x", &format!("q{request}")).await.status,
            200
        );
    }
    let settings = site.folder.path().join("node-0.toml");
    std::fs::write(settings, "node = 7").unwrap();
    node.signal(Signal::HUP);
    wait_until("the failed reload is logged", async || {
        node.log().contains("settings not reloaded")
    })
    .await;
    assert_eq!(node.query("/one/x", "last").await.status, 200);
}

/// Waits until a node has exited, which it must do within `grace` of `stopped`.
pub(crate) async fn wait_for_exit(node: &mut Node, stopped: Instant, grace: Duration) {
    wait_until("the process exits", async || node.exit_status().is_some()).await;
    assert!(stopped.elapsed() < grace, "{:?}", stopped.elapsed());
    assert!(node.exit_status().unwrap().success());
}

/// Guards against a stopping node that accepts requests until it exits and cuts those that it has passed on.
#[tokio::test]
async fn nodes_that_stop_together_under_steady_load_cut_no_request() {
    let site = Site::start(1, 3).await;
    for leaf in &site.shards[0] {
        leaf.set_delay(Duration::from_millis(120));
    }
    let mut nodes = site.nodes().await;
    let addresses: Vec<_> = nodes.iter().map(Node::callers).collect();
    let orders = Load::start(&addresses, 12, "/order/", Duration::from_millis(60));
    let queries = Load::start(&addresses, 6, "/one/", Duration::from_millis(60));
    sleep(Duration::from_secs(1)).await;
    // Two stop together; the third is killed and started again meanwhile.
    let stopped = Instant::now();
    nodes[0].signal(Signal::TERM);
    nodes[1].signal(Signal::TERM);
    sleep(Duration::from_millis(500)).await;
    nodes[2].kill();
    let killed = nodes[2].callers();
    nodes[2] = site.node(2);
    for node in &mut nodes[..2] {
        wait_for_exit(node, stopped, GRACE).await;
    }
    let mut requests = orders.finish().await;
    requests.extend(queries.finish().await);
    let served = requests
        .iter()
        .filter(|request| request.end == End::Status(200));
    assert!(served.count() > 300, "of {} requests", requests.len());
    // Those at the node that was killed are lost with it.
    requests.retain(|request| request.node != killed);
    let cut = cut_requests(&site, &requests);
    assert!(cut.is_empty(), "{} requests cut: {cut:?}", cut.len());
}

/// Guards against answers that are cut because their handler has returned: the caller has not read them yet.
#[tokio::test]
async fn overlapping_stops_and_reloads_cut_no_answer_that_is_read_slowly() {
    let site = Site::start_with_records(1, 3, &[7; 4_000_000]).await;
    for leaf in &site.shards[0] {
        leaf.set_delay(Duration::from_millis(30));
    }
    let mut nodes = site.nodes().await;
    let addresses: Vec<_> = nodes.iter().map(Node::callers).collect();
    let pause = Duration::from_millis(200);
    let slow = Load::start_with(&addresses, 12, "/one/", pause, Reading::Slowly);
    let orders = Load::start(&addresses, 6, "/order/", pause);
    sleep(Duration::from_secs(1)).await;
    let mut stops = Vec::new();
    for (index, pause_ms) in [(0, 900), (1, 1_600), (2, 0)] {
        nodes[index].signal(Signal::TERM);
        stops.push(Instant::now());
        for node in &nodes {
            node.signal(Signal::HUP);
        }
        sleep(Duration::from_millis(pause_ms)).await;
        nodes[index].signal(Signal::TERM);
    }
    for (index, stopped) in stops.into_iter().enumerate() {
        wait_for_exit(&mut nodes[index], stopped, GRACE).await;
        nodes[index] = site.node(index);
    }
    let mut requests = orders.finish().await;
    requests.extend(slow.finish().await);
    let served = requests
        .iter()
        .filter(|request| request.end == End::Status(200));
    assert!(served.count() > 60, "of {} requests", requests.len());
    let cut = cut_requests(&site, &requests);
    assert!(cut.is_empty(), "{} requests cut: {cut:?}", cut.len());
}

/// Guards against a signal during the start that ends the process at once: its handler is installed too late.
#[tokio::test]
async fn signals_during_the_start_are_handled() {
    let site = Site::start(1, 1).await;
    for signal in [Signal::HUP, Signal::TERM].into_iter().cycle().take(40) {
        let mut node = site.node(0);
        let listens = || std::net::TcpStream::connect(node.callers()).is_ok();
        while !listens() {
            std::hint::spin_loop();
        }
        node.signal(signal);
        sleep(Duration::from_millis(30)).await;
        let status = node.exit_status();
        assert!(status.is_none(), "{signal:?}: {status:?}");
    }
}

/// Sets the timeouts of all routes.
pub(crate) fn with_timeouts(site: &Site, version: u64, timeout: Duration) -> Value {
    let mut config = site.config(version);
    for route in config["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = json!(timeout.as_millis());
    }
    config
}

/// Sends requests that take longer than the grace period to node 0, which then stops. Returns their statuses.
async fn stop_during_long_requests(site: &Site, mut nodes: Vec<Node>) -> Vec<u16> {
    let long = GRACE + Duration::from_secs(2);
    for leaf in &site.shards[0] {
        leaf.set_delay(long);
    }
    let address = nodes[0].callers();
    let requests = ["GET /one/", "POST /order/"].map(|target| {
        tokio::spawn(async move {
            let request = format!(
                "{target}long HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {target}\r\nDeadline-Ms: 9000\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            send(address, request.as_bytes()).await
        })
    });
    sleep(Duration::from_millis(300)).await;
    let stopped = Instant::now();
    nodes[0].signal(Signal::TERM);
    wait_for_exit(&mut nodes[0], stopped, GRACE).await;
    let mut statuses = Vec::new();
    for request in requests {
        let reply = request.await.unwrap();
        statuses.push(reply.expect("the request is answered").status);
    }
    statuses
}

/// Guards against requests that are cut at the exit since their leaves take longer than the grace period. They have run, so
/// they are not rejected.
#[tokio::test]
async fn requests_longer_than_the_grace_period_are_answered_before_the_exit() {
    let site = Site::start(1, 2).await;
    let nodes = site.nodes().await;
    let timeout = Duration::from_secs(9);
    site.store
        .put("op/config", &with_timeouts(&site, 8, timeout));
    sleep(Duration::from_secs(1)).await;
    let statuses = stop_during_long_requests(&site, nodes).await;
    assert_eq!(statuses, [504, 504]);
}

/// Guards against the same cut for requests that wait for the answer of another node.
#[tokio::test]
async fn long_requests_that_were_handed_over_are_answered_before_the_exit() {
    let site = Site::start_linked(1, 2).await;
    let nodes = site.nodes().await;
    cut_off(&site, &nodes).await;
    site.put_configs(&with_timeouts(&site, 8, Duration::from_secs(9)));
    sleep(Duration::from_secs(1)).await;
    let statuses = stop_during_long_requests(&site, nodes).await;
    assert_eq!(statuses, [504, 504]);
}

/// Guards against a stop whose last lines are lost, because lines are written in batches.
#[tokio::test]
async fn the_end_of_a_stop_is_logged() {
    let site = Site::start(1, 1).await;
    let mut nodes = site.nodes().await;
    let stopped = Instant::now();
    nodes[0].signal(Signal::TERM);
    wait_for_exit(&mut nodes[0], stopped, GRACE).await;
    let log = nodes[0].log();
    for step in ["stopping", "intake ended", "stopped"] {
        assert!(log.contains(&format!("\"{step}\"")), "{step} is not logged");
    }
}

/// Guards against a stop after which the log does not tell requests that were cut from those that were answered or not read.
#[tokio::test]
async fn a_stop_names_the_requests_that_it_cuts() {
    let site = Site::start_with_records(1, 1, &[7; 4_000_000]).await;
    for leaf in &site.shards[0] {
        leaf.set_delay(Duration::from_millis(400));
    }
    let mut nodes = site.nodes().await;
    let address = nodes[0].callers();
    let open = async |id| {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let head = format!("GET /one/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        stream
    };
    let left = open("left").await;
    let _unread = open("unread").await;
    let load = Load::start(&[address], 6, "/one/", Duration::ZERO);
    sleep(Duration::from_millis(200)).await;
    drop(left);
    let stopped = Instant::now();
    nodes[0].signal(Signal::TERM);
    wait_for_exit(&mut nodes[0], stopped, GRACE).await;
    let requests = load.finish().await;
    let answered = requests
        .iter()
        .filter(|request| request.end == End::Status(200));
    let last = answered.max_by_key(|request| request.ended).unwrap();
    let lines = nodes[0].log_lines();
    let line = |message: &str, id: &str| {
        let found = lines
            .iter()
            .find(|line| line["message"] == message && line["id"] == id);
        found.unwrap_or_else(|| panic!("no line \"{message}\" for {id}"))
    };
    assert_eq!(
        line("request answered after the end of the intake", &last.id)["status"],
        200
    );
    assert_eq!(
        line("connection ended before the answer", "left")["stage"],
        "running"
    );
    let cut = line("request cut by the exit", "unread");
    assert_eq!(
        (&cut["stage"], &cut["answer_bytes"]),
        (&json!("answer"), &json!(4_000_000))
    );
    assert!(cut["written_bytes"].as_u64().unwrap() < 4_000_000, "{cut}");
    assert!(cut["age_ms"].as_u64().unwrap() > 5_000, "{cut}");
    let end = lines
        .iter()
        .find(|line| line["message"] == "stopped")
        .unwrap();
    assert_eq!((&end["level"], &end["cut"]), (&json!("WARN"), &json!(1)));
    assert!(end["answered"].as_u64().unwrap() > 0, "{end}");
}

/// Guards against a stop after which the log does not tell that requests without an answer have no line.
#[tokio::test]
async fn a_stop_counts_the_lines_that_were_suppressed() {
    const CALLERS: u64 = 150;
    let site = Site::start(1, 1).await;
    for leaf in &site.shards[0] {
        leaf.set_delay(Duration::from_secs(20));
    }
    let mut nodes = site.nodes().await;
    let timeout = Duration::from_secs(9);
    site.store
        .put("op/config", &with_timeouts(&site, 8, timeout));
    sleep(Duration::from_secs(1)).await;
    let mut streams = Vec::new();
    for caller in 0..CALLERS {
        let mut stream = TcpStream::connect(nodes[0].callers()).await.unwrap();
        let head = format!("GET /one/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {caller}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        streams.push(stream);
    }
    // The node reads all requests, which have 9 s, and then notices that their callers have left.
    sleep(Duration::from_secs(1)).await;
    drop(streams);
    sleep(Duration::from_millis(500)).await;
    let stopped = Instant::now();
    nodes[0].signal(Signal::TERM);
    wait_for_exit(&mut nodes[0], stopped, GRACE).await;
    let lines = nodes[0].log_lines();
    let of_kind = |line: &&Value| {
        line["message"] == "connection ended before the answer" || line["kind"] == "unanswered"
    };
    let named = lines
        .iter()
        .filter(of_kind)
        .filter(|line| line["kind"].is_null());
    let suppressed = lines.iter().filter(of_kind);
    let suppressed = suppressed.filter_map(|line| line["suppressed"].as_u64());
    let counted = (named.count() as u64, suppressed.sum::<u64>());
    println!("named, suppressed: {counted:?}");
    assert_eq!(counted.0 + counted.1, CALLERS);
}
