use std::time::Duration;

use cranberrychute::adapter::http1::{Connection, Reply};
use http::HeaderMap;
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, timeout};

use crate::{
    links::cut_off,
    site::{HOST, Node, Site, send, wait_until},
};

/// The users' bound on the time between a version of the configuration and the rejection of a key that it revokes.
const MAX_REVOCATION_TIME: Duration = Duration::from_secs(5);
/// Time within which a request without a key is answered although its body does not arrive.
const MAX_REJECTION_TIME: Duration = Duration::from_secs(2);
/// Memory that 100,000 keys may add to the peak of a node of 160 MB, KB.
const MAX_KEYS_KB: u64 = 60 << 10;

const BIG_KEY: &str = "s3cr3t-big";
const SMALL_KEY: &str = "s3cr3t-small";

/// Adds two accounts to a configuration and makes the route `/split/` anonymous.
fn with_accounts(mut config: Value) -> Value {
    config["routes"][1]["allow_anonymous"] = json!(true);
    config["tenants"] = json!([
        {"name": "big", "api_keys": [BIG_KEY, "s3cr3t-other"], "priority": 0},
        {"name": "small", "api_keys": [SMALL_KEY]},
    ]);
    config
}

/// Publishes a configuration and waits until it is active on all nodes.
async fn activate(site: &Site, nodes: &[Node], config: &Value) {
    site.store.put("op/config", config);
    site.put_configs(config);
    for node in nodes {
        wait_until_logged(node, "configuration in force", &config["config_version"]).await;
    }
}

async fn wait_until_logged(node: &Node, message: &str, version: &Value) {
    wait_until(message, async || {
        let lines = node.log_lines();
        lines
            .iter()
            .any(|line| line["message"] == message && line["version"] == *version)
    })
    .await;
}

/// Returns a request with these header lines, each of which ends with a line break.
fn request(path: &str, id: &str, headers: impl AsRef<[u8]>) -> Vec<u8> {
    let head = format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n");
    [head.as_bytes(), headers.as_ref(), b"\r\n"].concat()
}

fn key_header(key: &str) -> String {
    format!("X-Api-Key: {key}\r\n")
}

/// Returns the headers with which a request has reached a leaf.
fn leaf_headers(site: &Site, id: &str) -> HeaderMap {
    let mut leaves = site.shards.iter().flatten();
    let headers = leaves.find_map(|leaf| leaf.request_headers(id));
    headers.unwrap_or_else(|| panic!("{id} has reached no leaf"))
}

fn values<'a>(headers: &'a HeaderMap, name: &str) -> Vec<&'a [u8]> {
    let values = headers.get_all(name).iter();
    values.map(|value| value.as_bytes()).collect()
}

fn assert_no_key(node: &Node) {
    assert!(!node.log().contains("s3cr3t"), "the log contains a key");
}

/// Guards against a request that runs with a malformed or unknown key, or whose body is awaited before it is rejected, and
/// against keys in the log.
#[tokio::test]
async fn requests_without_a_valid_key_are_rejected() {
    let site = Site::start(1, 1).await;
    let nodes = site.nodes().await;
    let node = &nodes[0];
    activate(&site, &nodes, &with_accounts(site.config(8))).await;
    let wrong: Vec<Vec<u8>> = vec![
        b"".into(),
        b"X-Api-Key:\r\n".into(),
        b"X-Api-Key:   \t \r\n".into(),
        b"X-Api-Key: s3cr3t-unknown\r\n".into(),
        b"X-Api-Key: s3cr3t-bi\r\n".into(),
        b"X-Api-Key: s3cr3t-bigg\r\n".into(),
        b"X-Api-Key: S3CR3T-BIG\r\n".into(),
        b"X-Api-Key: s3cr3t-big, s3cr3t-big\r\n".into(),
        b"X-Api-Key: \"s3cr3t-big\"\r\n".into(),
        b"X-Api-Key: Bearer s3cr3t-big\r\n".into(),
        b"X-Api-Key: s3cr3t-big\r\nx-api-key: s3cr3t-big\r\n".into(),
        b"X-Api-Key: s3cr3t-big\r\nX-API-KEY: s3cr3t-small\r\n".into(),
        b"X-Api-Key: s3cr3t-big\r\nX-Api-Key:\r\n".into(),
        b"X-Api-Key: s3cr3t-\xe9\r\n".into(),
        b"X-Api-Key: s3cr3t-big\xc2\xa0\r\n".into(),
        b"X-Api-Key: big\r\n".into(),
        b"X_Api_Key: s3cr3t-big\r\n".into(),
        b"Authorization: Bearer s3cr3t-big\r\n".into(),
        b"Tenant: big\r\n".into(),
        b"Tenant: big\r\nCranberrychute-Handed-Over: 2\r\n".into(),
        b"Content-Length: 2000\r\n".into(),
        b"Content-Length: 2000\r\nExpect: 100-continue\r\n".into(),
        key_header(&"s3cr3t".repeat(43)).into(),
        key_header(&"s3cr3t".repeat(3_000)).into(),
    ];
    for headers in wrong {
        for path in ["/one/x", "/one/x?X-Api-Key=s3cr3t-big", "/none/x"] {
            let request = request(path, "wrong", &headers);
            let reply = timeout(MAX_REJECTION_TIME, send(node.callers(), &request)).await;
            let reply = reply.expect("no answer").unwrap();
            let start = String::from_utf8_lossy(&headers[..headers.len().min(60)]).into_owned();
            assert_eq!(reply.status, 401, "{path} {start}");
            assert!(reply.header_str("www-authenticate").is_some());
        }
    }
    let arrivals: u64 = site.shards[0].iter().map(|leaf| leaf.request_count()).sum();
    assert_eq!(arrivals, 0, "a request without a key has reached a leaf");
    for (count, headers) in ["X-Api-Key: s3cr3t-big\r\n", "x-API-key:s3cr3t-big  \r\n"]
        .into_iter()
        .enumerate()
    {
        let request = request("/one/x", &format!("right{count}"), headers);
        assert_eq!(send(node.callers(), &request).await.unwrap().status, 200);
    }
    let unknown_route = request("/none/x", "none", key_header(BIG_KEY));
    assert_eq!(
        send(node.callers(), &unknown_route).await.unwrap().status,
        404
    );
    assert_no_key(node);
}

/// Guards against a leaf that receives a key, or an account that the caller has made up.
#[tokio::test]
async fn headers_of_callers_are_replaced() {
    let site = Site::start(2, 1).await;
    let nodes = site.nodes().await;
    let node = &nodes[0];
    let forged = "tenant: small\r\nTENANT: root\r\nTenant: \r\nX-Api-Key: s3cr3t-big\r\n";
    // Without accounts both headers are forwarded like any other.
    let open = request("/one/x", "open", forged);
    assert_eq!(send(node.callers(), &open).await.unwrap().status, 200);
    let headers = leaf_headers(&site, "open");
    assert_eq!(values(&headers, "tenant"), [&b"small"[..], b"root", b""]);
    assert_eq!(values(&headers, "x-api-key"), [b"s3cr3t-big"]);

    activate(&site, &nodes, &with_accounts(site.config(8))).await;
    let chunked = "Transfer-Encoding: chunked\r\nTrailer: Tenant, X-Api-Key\r\n\r\n1\r\na\r\n0\r\nTenant: root\r\nX-Api-Key: k\r\n";
    let cases = [
        key_header(BIG_KEY),
        forged.to_owned(),
        format!("{forged}Connection: keep-alive, Tenant, X-Api-Key\r\n"),
        format!("{forged}Cranberrychute-Handed-Over: 2\r\n"),
        format!("{forged}Content-Length: 0\r\n"),
        format!("{forged}{chunked}"),
    ];
    for (count, case) in cases.iter().enumerate() {
        for (path, tenant) in [
            ("/one/x", Some("big")),
            ("/all/x", Some("big")),
            ("/split/x", None),
        ] {
            let id = format!("q{count}{}", &path[1..4]);
            let reply = send(node.callers(), &request(path, &id, case))
                .await
                .unwrap();
            assert_eq!(reply.status, 200, "{path} {case}");
            let headers = leaf_headers(&site, &id);
            let expected: Vec<&[u8]> = tenant.iter().map(|name| name.as_bytes()).collect();
            assert_eq!(values(&headers, "tenant"), expected, "{path} {case}");
            assert!(values(&headers, "x-api-key").is_empty(), "{path} {case}");
        }
    }
    for (count, headers) in ["", "X-Api-Key: wrong\r\n", "X-Api-Key:\r\nTenant: big\r\n"]
        .into_iter()
        .enumerate()
    {
        let id = format!("anonymous{count}");
        let reply = send(node.callers(), &request("/split/x", &id, headers))
            .await
            .unwrap();
        assert_eq!(reply.status, 200, "{headers}");
        assert!(values(&leaf_headers(&site, &id), "tenant").is_empty());
    }
    assert_no_key(node);
}

/// Guards against a key that is still accepted on an open connection after it was revoked, against one that is rejected by an
/// invalid version of the configuration, and against errors that name keys.
#[tokio::test]
async fn a_revoked_key_is_rejected_on_open_connections() {
    let site = Site::start(1, 2).await;
    let nodes = site.nodes().await;
    activate(&site, &nodes, &with_accounts(site.config(8))).await;
    let mut connections = Vec::new();
    for node in &nodes {
        connections.push(Connection::open(node.callers()).await.unwrap());
    }
    let mut count = 0;
    let mut status = async |node: usize, key: &str| {
        count += 1;
        let request = request("/one/x", &format!("q{count}"), key_header(key));
        let reply = connections[node].exchange(&request, 1 << 20, |_| true);
        reply.await.unwrap().status
    };
    let mut invalid = with_accounts(site.config(9));
    invalid["tenants"][1]["api_keys"] = json!([SMALL_KEY, BIG_KEY]);
    site.store.put("op/config", &invalid);
    for (index, node) in nodes.iter().enumerate() {
        let rejection = "tenants: accounts big and small share a key";
        wait_until("the version is rejected", async || {
            node.log().contains(rejection)
        })
        .await;
        assert_eq!(status(index, BIG_KEY).await, 200);
        assert_eq!(status(index, SMALL_KEY).await, 200);
    }
    let mut revoked = with_accounts(site.config(10));
    revoked["tenants"][0]["api_keys"] = json!(["s3cr3t-other"]);
    site.store.put("op/config", &revoked);
    let published = Instant::now();
    for index in 0..nodes.len() {
        while status(index, BIG_KEY).await != 401 {
            let took = published.elapsed();
            assert!(took < MAX_REVOCATION_TIME, "accepted after {took:?}");
            sleep(Duration::from_millis(20)).await;
        }
        println!("node {index}: key rejected after {:?}", published.elapsed());
        assert_eq!(status(index, "s3cr3t-other").await, 200);
        assert_eq!(status(index, SMALL_KEY).await, 200);
        assert_eq!(status(index, BIG_KEY).await, 401);
    }
    nodes.iter().for_each(assert_no_key);
}

/// Guards against a forged account at the port for other nodes, and against requests of earlier builds that are rejected. Those
/// hand over the caller's headers as they are, with the value 1.
#[tokio::test]
async fn accounts_of_handed_over_requests_are_those_of_the_node_or_the_key() {
    let site = Site::start(1, 1).await;
    let nodes = site.nodes().await;
    let node = &nodes[0];
    activate(&site, &nodes, &with_accounts(site.config(8))).await;
    let cases = [
        ("/one/x", "1", "X-Api-Key: s3cr3t-big\r\n", 200, Some("big")),
        (
            "/one/x",
            "1",
            "X-Api-Key: s3cr3t-big\r\nTenant: small\r\n",
            200,
            Some("big"),
        ),
        (
            "/one/x",
            "1",
            "X-Api-Key: s3cr3t-unknown\r\nTenant: small\r\n",
            401,
            None,
        ),
        ("/one/x", "1", "Tenant: small\r\n", 401, None),
        ("/one/x", "1", "", 401, None),
        (
            "/split/x",
            "1",
            "X-Api-Key: s3cr3t-big\r\nTenant: small\r\n",
            200,
            None,
        ),
        ("/split/x", "1", "", 200, None),
        ("/one/x", "2", "Tenant: small\r\n", 200, Some("small")),
        ("/one/x", "2", "Tenant: gone\r\n", 401, None),
        (
            "/one/x",
            "2",
            "Tenant: small\r\nTenant: small\r\n",
            401,
            None,
        ),
        ("/one/x", "2", "", 401, None),
    ];
    for (count, (path, mark, headers, status, tenant)) in cases.into_iter().enumerate() {
        let id = format!("h{count}");
        let headers = format!("Cranberrychute-Handed-Over: {mark}\r\n{headers}");
        let request = request(path, &id, &headers);
        let reply = send(node.peer(), &request).await.unwrap();
        assert_eq!(reply.status, status, "{path} {headers}");
        if status == 200 {
            let seen = leaf_headers(&site, &id);
            let expected: Vec<&[u8]> = tenant.iter().map(|name: &&str| name.as_bytes()).collect();
            assert_eq!(values(&seen, "tenant"), expected, "{path} {headers}");
            assert!(values(&seen, "x-api-key").is_empty(), "{path} {headers}");
        } else {
            assert_eq!(site.run_count(&id), 0, "{path} {headers}");
        }
    }
    assert_no_key(node);
}

/// Guards against callers of a node that reaches no leaves who are rejected because the key is not handed over, and against
/// leaves that receive it then.
#[tokio::test]
async fn accounts_of_callers_at_a_cut_node_reach_the_leaves() {
    let site = Site::start_linked(1, 2).await;
    let nodes = site.nodes().await;
    // The site's requests that show the loss of the links carry no key.
    let mut config = with_accounts(site.config(8));
    config["routes"][0]["allow_anonymous"] = json!(true);
    activate(&site, &nodes, &config).await;
    cut_off(&site, &nodes).await;
    let mut count = 0;
    for (path, headers, status, tenant) in [
        (
            "/one/x",
            key_header(BIG_KEY) + "Tenant: small\r\n",
            200,
            vec![&b"big"[..]],
        ),
        (
            "/split/x",
            key_header(BIG_KEY) + "Tenant: small\r\n",
            200,
            vec![],
        ),
        ("/one/x", "Tenant: small\r\n".into(), 401, vec![]),
    ] {
        // The cut may be followed by a moment in which the other node is not known to be able to help.
        let mut id = String::new();
        wait_until("the request is answered by the other node", async || {
            count += 1;
            id = format!("cut-account{count}");
            let reply = send(nodes[0].callers(), &request(path, &id, &headers)).await;
            reply.unwrap().status == status
        })
        .await;
        if status == 200 {
            let seen = leaf_headers(&site, &id);
            assert_eq!(values(&seen, "tenant"), tenant);
            assert!(values(&seen, "x-api-key").is_empty());
        }
    }
    // The log is written at intervals.
    wait_until("the handed-over requests are logged", async || {
        nodes[0].log().contains("request handed to another node")
    })
    .await;
    nodes.iter().for_each(assert_no_key);
}

/// Guards against a node that serves or rejects callers for good before it knows the keys.
#[tokio::test]
async fn requests_without_a_configuration_are_answered_503() {
    let site = Site::start(1, 1).await;
    site.store.delete("op/config");
    let node = site.node(0);
    let mut replies: Vec<Reply> = Vec::new();
    wait_until("the node accepts connections", async || {
        replies.clear();
        for headers in ["", "X-Api-Key: s3cr3t-big\r\n", "Tenant: big\r\n"] {
            let reply = send(node.callers(), &request("/one/x", "q", headers)).await;
            replies.extend(reply);
        }
        replies.len() == 3
    })
    .await;
    for reply in &replies {
        assert_eq!(reply.status, 503);
        assert!(reply.header_str("retry-after").is_some());
    }
    assert_no_key(&node);
}

/// Guards against 100,000 keys that do not fit into the memory of a node, or whose activation holds up requests. Prints the
/// figures. On one thread, the emulated store would hold up the callers and leaves.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn a_hundred_thousand_keys_are_activated() {
    let site = Site::start(1, 1).await;
    let nodes = site.nodes().await;
    let node = &nodes[0];
    activate(&site, &nodes, &with_accounts(site.config(8))).await;
    let query = async |id: &str, key: &str| {
        let sent = Instant::now();
        let request = request("/one/x", id, key_header(key));
        let status = send(node.callers(), &request).await.unwrap().status;
        (status, sent.elapsed())
    };
    let slowest = async |name: &str, end: &mut dyn FnMut(u16) -> bool| {
        let mut slowest = Duration::ZERO;
        for count in 0.. {
            let id = format!("{name}{count}");
            let (status, took) = query(&id, "s3cr3t-other").await;
            assert_eq!(status, 200);
            slowest = slowest.max(took);
            let (status, _) = query(&id, "s3cr3t-k00000000000000000000000000099999").await;
            if end(status) {
                return slowest;
            }
        }
        slowest
    };
    let mut rounds = 0;
    let usual = slowest("usual", &mut |_| {
        rounds += 1;
        rounds == 300
    })
    .await;
    let before = node.peak_memory_kb();
    for (version, accounts) in [(9, 1), (10, 100_000)] {
        let mut config = with_accounts(site.config(version));
        let tenants = config["tenants"].as_array_mut().unwrap();
        tenants.extend((0..accounts).map(|account| {
            let keys = (account..100_000).step_by(accounts);
            let keys = keys.map(|key| format!("s3cr3t-k{key:032}"));
            json!({"name": format!("v{version}-{account}"), "api_keys": keys.collect::<Vec<_>>()})
        }));
        let bytes = config.to_string().len();
        let start = Instant::now();
        site.store.put("op/config", &config);
        let (mut ready, mut settled) = (None, 0);
        let during = slowest(&format!("v{version}-"), &mut |status| {
            let active = status == 200 && node.log().contains(&format!("\"version\":{version}}}"));
            if active && ready.is_none() {
                ready = Some(start.elapsed());
            }
            // Later requests include the end of the replaced version.
            settled += u32::from(ready.is_some());
            settled == 300
        })
        .await;
        let added = node.peak_memory_kb() - before;
        println!(
            "{accounts} accounts, configuration of {bytes} bytes: active after {:?}, slowest request {during:?} (usually \
             {usual:?}), peak memory {before} KB + {added} KB",
            ready.unwrap()
        );
        assert!(added < MAX_KEYS_KB, "{added} KB");
    }
    assert_no_key(node);
}

/// Guards against a quota that nodes exceed together while one of them is killed and started again and another is paused, and
/// against rejected requests that run or say nothing about a retry.
#[tokio::test]
async fn a_quota_holds_over_nodes_that_are_killed_and_paused() {
    const RATE: f64 = 20.0;
    const BURST: f64 = 5.0;
    const WINDOW: Duration = Duration::from_secs(5);
    const LENGTH: Duration = Duration::from_secs(14);
    /// Each of three nodes gets nearly twice the limit.
    const INTERVAL: Duration = Duration::from_millis(28);
    let site = Site::start(1, 3).await;
    let mut nodes = site.nodes().await;
    let mut config = with_accounts(site.config(8));
    config["tenants"][0]["rate_per_s"] = json!(RATE);
    config["tenants"][0]["burst"] = json!(BURST);
    activate(&site, &nodes, &config).await;
    for node in &nodes {
        wait_until("the account is served", async || {
            let request = request("/one/x", "probe", key_header(BIG_KEY));
            send(node.callers(), &request).await.unwrap().status == 200
        })
        .await;
    }
    let start = Instant::now();
    let senders = nodes.iter().enumerate().map(|(index, node)| {
        let address = node.callers();
        tokio::spawn(async move {
            let (mut answers, mut number) = (Vec::new(), 0);
            while start.elapsed() < LENGTH {
                let id = format!("quota-{index}-{number}");
                let request = request("/one/x", &id, key_header(BIG_KEY));
                let sent = start.elapsed();
                let reply = timeout(Duration::from_secs(1), send(address, &request)).await;
                if let Ok(Ok(reply)) = reply {
                    answers.push((id, sent, reply));
                }
                number += 1;
                sleep((start + INTERVAL * number).saturating_duration_since(Instant::now())).await;
            }
            answers
        })
    });
    let senders: Vec<_> = senders.collect();
    sleep(Duration::from_secs(3)).await;
    nodes[2].kill();
    sleep(Duration::from_millis(500)).await;
    nodes[2] = site.node(2);
    sleep(Duration::from_secs(1)).await;
    nodes[1].signal(Signal::STOP);
    sleep(Duration::from_secs(2)).await;
    nodes[1].signal(Signal::CONT);
    let mut answers = Vec::new();
    for sender in senders {
        answers.extend(sender.await.unwrap());
    }
    let mut admitted = Vec::new();
    for (id, sent, reply) in &answers {
        match reply.status {
            429 => {
                let runs: u32 = site.shards[0].iter().map(|leaf| leaf.run_count(id)).sum();
                assert_eq!(runs, 0, "{id} was rejected and has run");
                let retry: f64 = reply.header_str("retry-after").unwrap().parse().unwrap();
                assert!(retry > 0.0, "{id}: retry after {retry} s");
            }
            200 => admitted.push(*sent),
            _ => {}
        }
    }
    admitted.sort_unstable();
    let limit = (RATE * WINDOW.as_secs_f64() + BURST) * 1.25 + 20.0;
    for (index, from) in admitted.iter().enumerate() {
        let end = admitted.partition_point(|at| *at < *from + WINDOW);
        let count = end - index;
        assert!(count as f64 <= limit, "{count} in 5 s from {from:?}");
    }
    let least = RATE * LENGTH.as_secs_f64() / 2.0;
    let count = admitted.len();
    assert!(count as f64 > least, "{count} admitted in {LENGTH:?}");
}
