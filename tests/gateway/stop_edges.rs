//! Stops at the edges of their plan: slow requests, pauses, other grace periods, and a stop beside other events.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use cranberrychute_emulator::Access;
use futures::future::join_all;
use rustix::process::Signal;
use serde_json::json;
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    task::JoinHandle,
    time::{sleep, timeout},
};

use crate::{
    caller::{read_bytes, status},
    links::cut_off,
    load::{End, Load, Request, cut_requests, read_slowly},
    site::{GRACE, HOST, Node, Site, wait_until},
    stop::{wait_for_exit, with_timeouts},
};

/// Size of the part of a request that arrives late, bytes.
const LATE_BYTES: usize = 4;
/// Time from the first bytes of slow requests to a stop.
const START_TIME: Duration = Duration::from_secs(1);
/// Interval of the timer by which a node notices that it was paused, milliseconds.
const TICK_MS: u64 = 165;
/// Number of requests that wait for a leaf with room at a node that stops.
const WAITING: usize = 80;
/// Time after which a caller has an answer or none will come.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// A request whose last bytes are sent later than the others, on a connection that may have had another one before.
struct LateRequest {
    id: String,
    kept: bool,
    has_body: bool,
    /// When the last bytes are sent, if at all.
    rest_at: Option<Instant>,
}

impl LateRequest {
    fn bytes(&self) -> Vec<u8> {
        let (method, path, body) = match self.has_body {
            true => ("POST", "/order/", "order-one"),
            false => ("GET", "/one/", ""),
        };
        let (id, length) = (&self.id, body.len());
        format!(
            "{method} {path}x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 9000\r\n\
             Content-Length: {length}\r\n\r\n{body}"
        )
        .into_bytes()
    }

    /// Sends the request and returns its answer, which is empty if the connection ends without one.
    fn send(self, node: SocketAddr) -> JoinHandle<Vec<u8>> {
        tokio::spawn(async move {
            let mut stream = TcpStream::connect(node).await.unwrap();
            if self.kept {
                let first = format!(
                    "GET /one/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: first-{}\r\n\r\n",
                    self.id
                );
                stream.write_all(first.as_bytes()).await.unwrap();
                let answer = read_bytes(&mut stream).await.unwrap();
                assert_eq!(status(&answer), Some(200));
            }
            let bytes = self.bytes();
            let (early, late) = bytes.split_at(bytes.len() - LATE_BYTES);
            stream.write_all(early).await.unwrap();
            if let Some(at) = self.rest_at {
                let pause = at.saturating_duration_since(Instant::now());
                let waits = read_bytes(&mut stream);
                match timeout(pause, waits).await {
                    Ok(answer) => return answer.unwrap_or_default(),
                    Err(_) if stream.write_all(late).await.is_err() => return Vec::new(),
                    Err(_) => {}
                }
            }
            let answer = read_bytes(&mut stream);
            let answer = timeout(ANSWER_TIMEOUT, answer).await;
            answer.expect("the connection ends").unwrap_or_default()
        })
    }
}

fn runs(site: &Site, id: &str) -> u32 {
    let leaves = site.shards.iter().flatten();
    leaves.map(|leaf| leaf.run_count(id)).sum()
}

fn set_delay(site: &Site, delay: Duration) {
    for leaf in site.shards.iter().flatten() {
        leaf.set_delay(delay);
    }
}

/// Sets the timeouts of all routes and waits until the nodes have read them.
async fn put_timeouts(site: &Site, timeout: Duration) {
    let config = with_timeouts(site, 8, timeout);
    site.store.put("op/config", &config);
    sleep(Duration::from_secs(1)).await;
}

/// Checks that no request was cut after it had run, none was called not run although it had, and no order ran twice.
fn assert_kept(site: &Site, requests: &[Request], min_served: usize) {
    let cut = cut_requests(site, requests);
    let served = requests
        .iter()
        .filter(|request| request.end == End::Status(200));
    let served = served.count();
    println!(
        "{served} of {} requests served, {} cut",
        requests.len(),
        cut.len()
    );
    assert!(cut.is_empty(), "{} requests cut: {cut:?}", cut.len());
    for request in requests {
        let runs = runs(site, &request.id);
        let is_order = request.id.starts_with("/order/");
        assert!(!is_order || runs <= 1, "{request:?} ran {runs} times");
        let is_refused = matches!(request.end, End::Status(429 | 503));
        assert!(!is_order || !is_refused || runs == 0, "{request:?} has run");
    }
    assert!(
        served >= min_served,
        "{served} of {} served",
        requests.len()
    );
}

/// Starts orders and repeatable requests of `callers` callers each.
fn start_load(addresses: &[SocketAddr], callers: usize) -> [Load; 2] {
    let pause = Duration::from_millis(50);
    ["/order/", "/one/"].map(|path| Load::start(addresses, callers, path, pause))
}

async fn finish(loads: [Load; 2]) -> Vec<Request> {
    let [orders, others] = loads;
    let mut requests = orders.finish().await;
    requests.extend(others.finish().await);
    requests
}

/// Guards against a request that gets no answer since the rest of its body never comes, and against one that is refused
/// although its body comes before the process ends.
#[tokio::test]
async fn requests_whose_bodies_come_slowly_around_a_stop_are_answered() {
    let site = Site::start(1, 1).await;
    let mut nodes = site.nodes().await;
    put_timeouts(&site, Duration::from_secs(9)).await;
    let address = nodes[0].callers();
    let stopped = Instant::now() + START_TIME;
    let mut requests = Vec::new();
    for kept in [false, true] {
        for rest_ms in [None, Some(0), Some(1_000), Some(4_700), Some(7_000)] {
            let id = format!("body-{kept}-{rest_ms:?}");
            let request = LateRequest {
                id: id.clone(),
                kept,
                has_body: true,
                rest_at: rest_ms.map(|after| stopped + Duration::from_millis(after)),
            };
            let expected = match rest_ms {
                None | Some(7_000) => (Some(503), 0),
                Some(_) => (Some(200), 1),
            };
            requests.push((id, request.send(address), expected));
        }
    }
    sleep(stopped.saturating_duration_since(Instant::now())).await;
    nodes[0].signal(Signal::TERM);
    wait_for_exit(&mut nodes[0], stopped, GRACE).await;
    println!("exit after {:?}", stopped.elapsed());
    let mut failed = Vec::new();
    for (id, answer, expected) in requests {
        let answer = answer.await.unwrap();
        let text = String::from_utf8_lossy(&answer).to_ascii_lowercase();
        let closes = text.contains("connection: close");
        let seen = (status(&answer), runs(&site, &id));
        println!("{id}: {seen:?}, closes {closes}");
        if seen != expected || !closes {
            failed.push(id);
        }
    }
    assert!(failed.is_empty(), "{failed:?}");
}

/// Guards against a request that is cut although its head was whole while the node accepted requests, and against one that
/// was run and then cut.
#[tokio::test]
async fn requests_whose_heads_come_slowly_around_a_stop_are_not_cut_after_they_ran() {
    let site = Site::start(1, 1).await;
    set_delay(&site, Duration::from_millis(20));
    let mut nodes = site.nodes().await;
    let address = nodes[0].callers();
    let stopped = Instant::now() + START_TIME;
    let mut requests = Vec::new();
    // The intake of an idle node ends after 3.3 s.
    let dense = (3_000..4_400).step_by(20).map(Some);
    for rest_ms in [None, Some(1_000), Some(5_000)].into_iter().chain(dense) {
        for kept in [false, true] {
            let id = format!("head-{kept}-{rest_ms:?}");
            let request = LateRequest {
                id: id.clone(),
                kept,
                has_body: false,
                rest_at: rest_ms.map(|after| stopped + Duration::from_millis(after)),
            };
            requests.push((id, rest_ms, kept, request.send(address)));
        }
    }
    sleep(stopped.saturating_duration_since(Instant::now())).await;
    nodes[0].signal(Signal::TERM);
    wait_for_exit(&mut nodes[0], stopped, GRACE).await;
    println!("exit after {:?}", stopped.elapsed());
    let mut closed = [0, 0];
    for (id, rest_ms, kept, answer) in requests {
        let seen = status(&answer.await.unwrap());
        let runs = runs(&site, &id);
        match seen {
            Some(status) => assert!(status == 200 && runs > 0, "{id}: {status}, {runs} runs"),
            None => {
                closed[usize::from(kept)] += 1;
                println!("{id}: closed without an answer, {runs} runs");
                assert_eq!(runs, 0, "{id} is cut after it has run");
                assert!(rest_ms.is_none_or(|after| after > 3_280), "{id} is cut");
            }
        }
    }
    println!("closed without an answer: {closed:?} (new, kept connections)");
}

/// Sends SIGTERM to a node, pauses it meanwhile, and sends SIGKILL if it has not exited when its grace period ends. The pauses
/// are times from SIGTERM, in milliseconds. Returns whether the node exited by itself.
async fn stop_with_pauses(node: &mut Node, grace: Duration, pauses: &[(i64, i64)]) -> bool {
    let mut events = vec![(0, Signal::TERM), (grace.as_millis() as i64, Signal::KILL)];
    for (from, until) in pauses {
        events.extend([(*from, Signal::STOP), (*until, Signal::CONT)]);
    }
    events.sort_by_key(|(at, _)| *at);
    let before = Duration::from_millis(events[0].0.unsigned_abs());
    let signaled = Instant::now() + before;
    for (at_ms, signal) in events {
        loop {
            if let Some(status) = node.exit_status() {
                println!("exit after {:?}", signaled.elapsed());
                return status.success();
            }
            let at = Duration::from_millis((at_ms + before.as_millis() as i64) as u64);
            let left = (signaled - before + at).saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            sleep(left.min(Duration::from_millis(2))).await;
        }
        node.signal(signal);
    }
    false
}

/// Stops nodes that each have two long requests in progress, and `waiting` others that mostly wait for a leaf with room, and
/// pauses each of them at some times from SIGTERM. All have to answer and exit before SIGKILL. Returns how long before it was
/// handled the signal may have been sent, as the nodes logged, in milliseconds.
async fn stop_during_long_requests(pauses_ms: &[Vec<(i64, i64)>], waiting: usize) -> Vec<u64> {
    let site = Site::start(1, pauses_ms.len()).await;
    let mut nodes = site.nodes().await;
    let timeout = Duration::from_secs(20);
    put_timeouts(&site, timeout).await;
    set_delay(&site, timeout);
    let send = |address: SocketAddr, target: &str| {
        let request = format!(
            "{target}long HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {target}{address}\r\n\
             Deadline-Ms: 19000\r\nContent-Length: 0\r\n\r\n"
        );
        tokio::spawn(async move { exchange(address, &request).await })
    };
    let requests: Vec<_> = nodes
        .iter()
        .map(|node| ["GET /one/", "POST /order/"].map(|target| send(node.callers(), target)))
        .collect();
    sleep(Duration::from_millis(500)).await;
    let others: Vec<_> = nodes
        .iter()
        .flat_map(|node| (0..waiting).map(|id| send(node.callers(), &format!("GET /one/{id}/"))))
        .collect();
    sleep(Duration::from_millis(500)).await;
    let stops = nodes.iter_mut().zip(pauses_ms);
    let stops = stops.map(|(node, pauses)| stop_with_pauses(node, GRACE, pauses));
    let exits = join_all(stops).await;
    let mut results = Vec::new();
    for (exited, [one, order]) in exits.into_iter().zip(requests) {
        results.push((exited, [one.await.unwrap(), order.await.unwrap()]));
    }
    assert_eq!(results, vec![(true, [Some(504); 2]); pauses_ms.len()]);
    let others = join_all(others).await;
    let cut = others
        .into_iter()
        .filter(|other| other.as_ref().unwrap().is_none());
    assert_eq!(
        cut.count(),
        0,
        "of {} other requests",
        waiting * nodes.len()
    );
    let late = nodes.iter().filter_map(|node| {
        let lines = node.log_lines().into_iter();
        lines.filter_map(|line| line["late_ms"].as_u64()).next()
    });
    late.collect()
}

/// Sends a request on a new connection and returns the status of its answer, `None` if the connection ends without one.
async fn exchange(address: SocketAddr, request: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let answer = read_bytes(&mut stream).await;
    status(&answer.unwrap_or_default())
}

/// Guards against requests that are cut by SIGKILL, because the grace period began while the process was paused.
#[tokio::test]
async fn a_stop_that_is_signaled_during_a_pause_ends_in_time() {
    let pauses = [(-20, 1_000), (-1_000, 3_000), (-50, 5_000)];
    let late = stop_during_long_requests(&pauses.map(|pause| vec![pause]), WAITING).await;
    for (late_ms, (from, until)) in late.into_iter().zip(pauses) {
        let pause = until as u64..=(until - from) as u64 + 2 * TICK_MS;
        assert!(pause.contains(&late_ms), "{late_ms} ms, not in {pause:?}");
    }
}

/// Guards against requests that are cut since a pause during the stop lasts beyond the time at which they were to be ended.
#[tokio::test]
async fn requests_are_answered_after_a_pause_until_the_end_of_a_stop() {
    let pauses = [(500, 5_300), (1_000, 5_600), (3_600, 5_800)];
    stop_during_long_requests(&pauses.map(|pause| vec![pause]), WAITING).await;
}

/// Guards against requests that are cut by SIGKILL, because the process runs rarely.
#[tokio::test]
async fn a_stop_of_a_process_that_runs_rarely_ends_in_time() {
    let throttled = |run_ms, pause_ms| {
        let starts = (-2_000..6_000).step_by((run_ms + pause_ms) as usize);
        starts.map(|at| (at, at + pause_ms)).collect()
    };
    let pauses = [throttled(50, 50), throttled(20, 80), throttled(10, 140)];
    stop_during_long_requests(&pauses, 0).await;
}

/// Stops a node with this grace period under steady load and during requests that take longer than it.
async fn stop_under_load(grace: Duration, min_served: usize) {
    let mut site = Site::start(2, 2).await;
    site.grace = grace;
    let mut nodes = site.nodes().await;
    let mut config = site.config(8);
    let long = json!({"name": "long", "hostname": HOST, "prefix": "/long/", "route_type": "idempotent",
        "timeout_ms": 25_000, "target_latency_ms": 250, "priority": 2, "service": "s1", "attempts": 1});
    config["routes"].as_array_mut().unwrap().push(long);
    site.store.put("op/config", &config);
    sleep(Duration::from_secs(1)).await;
    for (shard, delay_ms) in [(0, 120), (1, 20_000)] {
        let delay = Duration::from_millis(delay_ms);
        site.shards[shard]
            .iter()
            .for_each(|leaf| leaf.set_delay(delay));
    }
    let addresses: Vec<_> = nodes.iter().map(Node::callers).collect();
    let address = addresses[0];
    let long = format!("GET /long/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: long\r\n\r\n");
    let long = tokio::spawn(async move { exchange(address, &long).await });
    let loads = start_load(&addresses, 8);
    sleep(Duration::from_secs(1)).await;
    let exited = stop_with_pauses(&mut nodes[0], grace, &[]).await;
    sleep(Duration::from_millis(500)).await;
    assert_kept(&site, &finish(loads).await, min_served);
    assert_eq!(long.await.unwrap(), Some(504));
    assert!(exited, "no exit within {grace:?}");
}

/// Guards against requests that are cut because the grace period is short.
#[tokio::test]
async fn a_stop_with_a_short_grace_period_cuts_no_request() {
    stop_under_load(Duration::from_secs(1), 100).await;
}

/// Guards against requests that are cut, or an exit that is late, because the grace period is long.
#[tokio::test]
async fn a_stop_with_a_long_grace_period_cuts_no_request() {
    stop_under_load(Duration::from_secs(15), 400).await;
}

/// Guards against a stop that waits for the store.
#[tokio::test]
async fn a_stop_without_the_store_cuts_no_request() {
    let site = Site::start(1, 3).await;
    set_delay(&site, Duration::from_millis(80));
    let mut nodes = site.nodes().await;
    let addresses: Vec<_> = nodes.iter().map(Node::callers).collect();
    let loads = start_load(&addresses, 9);
    site.store.set_access(0, Access::Silent);
    site.store.set_access(1, Access::Unavailable);
    site.store.set_access(2, Access::Disconnect);
    sleep(Duration::from_secs(2)).await;
    let stopped = Instant::now();
    nodes[0].signal(Signal::TERM);
    nodes[1].signal(Signal::TERM);
    for node in &mut nodes[..2] {
        wait_for_exit(node, stopped, GRACE).await;
    }
    assert_kept(&site, &finish(loads).await, 300);
}

/// Guards against requests that are cut, or called run, by a node that stops before it has read a configuration.
#[tokio::test]
async fn a_node_that_has_read_nothing_rejects_requests_until_it_exits() {
    let site = Site::start(1, 1).await;
    site.store.set_all_access(Access::Silent);
    let mut node = site.node(0);
    wait_until("the node listens", async || {
        TcpStream::connect(node.callers()).await.is_ok()
    })
    .await;
    let loads = start_load(&[node.callers()], 4);
    sleep(Duration::from_millis(300)).await;
    let stopped = Instant::now();
    node.signal(Signal::TERM);
    wait_for_exit(&mut node, stopped, GRACE).await;
    let requests = finish(loads).await;
    let rejected = |request: &&Request| request.end == End::Status(503);
    let rejected = requests.iter().filter(rejected).count();
    println!("{rejected} of {} rejected", requests.len());
    let cut: Vec<_> = requests
        .iter()
        .filter(|request| !matches!(request.end, End::Status(_)))
        .collect();
    assert!(rejected > 100 && cut.is_empty(), "cut: {cut:?}");
}

/// Guards against requests that are cut by a node that stops within a second of its start.
#[tokio::test]
async fn a_stop_shortly_after_the_start_cuts_no_request() {
    let site = Site::start(1, 4).await;
    set_delay(&site, Duration::from_millis(80));
    let mut nodes: Vec<Node> = (0..4).map(|index| site.node(index)).collect();
    let addresses: Vec<_> = nodes.iter().map(Node::callers).collect();
    let loads = start_load(&addresses, 12);
    let mut stops = Vec::new();
    for pause_ms in [50, 200, 250, 400] {
        let node = &nodes[stops.len()];
        wait_until("the node listens", async || {
            TcpStream::connect(node.callers()).await.is_ok()
        })
        .await;
        sleep(Duration::from_millis(pause_ms)).await;
        nodes[stops.len()].signal(Signal::TERM);
        stops.push(Instant::now());
    }
    for (node, stopped) in nodes.iter_mut().zip(stops) {
        wait_for_exit(node, stopped, GRACE).await;
    }
    assert_kept(&site, &finish(loads).await, 100);
}

/// Guards against a stop that waits for its announcement to nodes that have just died.
#[tokio::test]
async fn a_stop_beside_dead_nodes_cuts_no_request() {
    let site = Site::start(1, 6).await;
    set_delay(&site, Duration::from_millis(80));
    let mut nodes = site.nodes().await;
    let loads = start_load(&[nodes[0].callers()], 6);
    sleep(Duration::from_millis(500)).await;
    nodes[1..].iter_mut().for_each(Node::kill);
    let stopped = Instant::now();
    nodes[0].signal(Signal::TERM);
    wait_until("the node is not ready", async || !nodes[0].is_ready().await).await;
    assert!(stopped.elapsed() < Duration::from_millis(300));
    wait_for_exit(&mut nodes[0], stopped, GRACE).await;
    assert_kept(&site, &finish(loads).await, 100);
}

/// Stops nodes of a site in which node 0 reaches no leaf and hands its requests to the others.
async fn stop_beside_handovers(stopped_nodes: &[usize]) {
    let site = Site::start_linked(1, 3).await;
    let mut nodes = site.nodes().await;
    set_delay(&site, Duration::from_millis(80));
    cut_off(&site, &nodes).await;
    let loads = start_load(&[nodes[0].callers(), nodes[2].callers()], 8);
    sleep(Duration::from_secs(1)).await;
    let stopped = Instant::now();
    for node in stopped_nodes {
        nodes[*node].signal(Signal::TERM);
    }
    for node in stopped_nodes {
        wait_for_exit(&mut nodes[*node], stopped, GRACE).await;
    }
    let requests = finish(loads).await;
    assert_kept(&site, &requests, 300);
    let at_cut =
        |request: &&Request| request.node == nodes[0].callers() && request.end == End::Status(200);
    let handed_over = requests.iter().filter(at_cut).count();
    assert!(handed_over > 50, "{handed_over} requests handed over");
}

/// Guards against requests that are cut because their node stops while other nodes run them.
#[tokio::test]
async fn a_stop_of_a_node_without_links_cuts_no_request() {
    stop_beside_handovers(&[0]).await;
}

/// Guards against requests that are cut because the node that runs them for another one stops.
#[tokio::test]
async fn a_stop_of_a_helper_cuts_no_request() {
    stop_beside_handovers(&[1]).await;
}

/// Guards against requests that are cut because their node and the one that runs them stop together.
#[tokio::test]
async fn a_stop_of_a_node_without_links_and_its_helper_cuts_no_request() {
    stop_beside_handovers(&[0, 1]).await;
}

/// Guards against requests that are cut or run by the wrong service since a configuration changes the limits of their
/// connections, their time and their route while their nodes stop.
#[tokio::test]
async fn a_stop_beside_a_change_of_the_configuration_cuts_no_request() {
    let site = Site::start(2, 4).await;
    set_delay(&site, Duration::from_millis(300));
    let mut nodes = site.nodes().await;
    let addresses: Vec<_> = nodes.iter().map(Node::callers).collect();
    let loads = start_load(&addresses, 16);
    sleep(Duration::from_secs(1)).await;
    let mut stops = vec![Instant::now()];
    nodes[0].signal(Signal::TERM);
    sleep(Duration::from_millis(30)).await;
    for version in 8..14 {
        let mut config = site.config(version);
        let is_odd = version % 2 == 1;
        config["limits"]["idle_timeout_ms"] = json!(if is_odd { 200 } else { 15_000 });
        config["limits"]["header_timeout_ms"] = json!(if is_odd { 100 } else { 3_000 });
        let routes = config["routes"].as_array_mut().unwrap();
        for route in routes {
            route["timeout_ms"] = json!(if is_odd { 600 } else { 1_000 });
            if route["service"] == "s0" && is_odd {
                route["service"] = json!("s1");
            }
        }
        site.store.put("op/config", &config);
        if let Some(node) = nodes[..3].get(stops.len()) {
            stops.push(Instant::now());
            node.signal(Signal::TERM);
        }
        sleep(Duration::from_millis(150)).await;
    }
    for (node, stopped) in nodes.iter_mut().zip(stops) {
        wait_for_exit(node, stopped, GRACE).await;
    }
    assert_kept(&site, &finish(loads).await, 300);
}

/// Guards against answers of requests that were handed over, cut since the node that ran them exits before they are written.
#[tokio::test]
async fn a_stopping_helper_writes_its_answers_before_it_exits() {
    let site = Site::start_with_records(1, 1, &[7; 4_000_000]).await;
    set_delay(&site, Duration::from_millis(100));
    let mut nodes = site.nodes().await;
    let peer = nodes[0].peer();
    let stopped = Instant::now();
    nodes[0].signal(Signal::TERM);
    // The intake of a node without other requests ends after 3.3 s.
    let requests = (0..12).map(|request| {
        tokio::spawn(async move {
            sleep(Duration::from_millis(2_900 + 40 * request)).await;
            let id = format!("large{request}");
            read_slowly(peer, "/one/", &id, "cranberrychute-handed-over: 1\r\n").await
        })
    });
    let requests = join_all(requests.collect::<Vec<_>>());
    wait_for_exit(&mut nodes[0], stopped, GRACE).await;
    println!("exit after {:?}", stopped.elapsed());
    let mut ends = HashMap::<Option<End>, usize>::new();
    for end in requests.await {
        *ends.entry(end.unwrap()).or_default() += 1;
    }
    println!("{ends:?}");
    assert!(ends.get(&Some(End::Status(200))) > Some(&0), "{ends:?}");
    assert!(!ends.contains_key(&Some(End::Cut)), "{ends:?}");
}
