//! Tests of the client library against scripted fake nodes.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use assert_matches::assert_matches;
use bytes::Bytes;
use cranberrychute::client::{Client, ClientBuilder, ErrorKind, OnceAnswer, Query};
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, StatusCode, body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::conn::auto,
};
use serde_json::{Value, json};
use tokio::net::TcpListener;

/// Response of a fake node to a request.
enum Action {
    Answer(u16, Value),
    /// Closes the connection after reading the request.
    Close,
    /// Stops all I/O on the connection, as a paused process does.
    Hang,
}

/// Requests received by a fake node: path, key, `x-deadline-ms`.
type ReceivedRequests = Arc<Mutex<Vec<(String, String, u64)>>>;

struct Node {
    address: SocketAddr,
    received: ReceivedRequests,
}

impl Node {
    /// Starts a node. `script` receives the path, the key and the number of earlier calls of this path.
    async fn start(script: impl Fn(&str, &str, usize) -> Action + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (address, received) = (listener.local_addr().unwrap(), ReceivedRequests::default());
        let (script, log) = (Arc::new(script), received.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (script, log) = (script.clone(), log.clone());
                let closed = Arc::new(tokio::sync::Notify::new());
                let (close, hung) = (closed.clone(), Arc::new(tokio::sync::Notify::new()));
                let hang = hung.clone();
                let service = service_fn(move |request| {
                    let (script, log) = (script.clone(), log.clone());
                    let (close, hang) = (close.clone(), hang.clone());
                    async move {
                        match respond(&*script, &log, request).await {
                            Action::Answer(status, body) => {
                                let mut response = Response::new(Full::from(body.to_string()));
                                *response.status_mut() = StatusCode::from_u16(status).unwrap();
                                return Ok::<Response<Full<Bytes>>, hyper::Error>(response);
                            }
                            Action::Close => close.notify_one(),
                            Action::Hang => hang.notify_one(),
                        }
                        std::future::pending().await
                    }
                });
                tokio::spawn(async move {
                    let builder = auto::Builder::new(TokioExecutor::new());
                    let mut serving =
                        std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
                    tokio::select! {
                        _ = &mut serving => {}
                        () = closed.notified() => {}
                        () = hung.notified() => std::future::pending().await,
                    }
                });
            }
        });
        Self { address, received }
    }

    /// Returns the key and the `x-deadline-ms` of each request to `path`.
    fn calls(&self, path: &str) -> Vec<(String, u64)> {
        let received = self.received.lock().unwrap();
        let found = received.iter().filter(|(called, ..)| called == path);
        found
            .map(|(_, key, deadline)| (key.clone(), *deadline))
            .collect()
    }
}

async fn respond(
    script: &(impl Fn(&str, &str, usize) -> Action + ?Sized),
    received: &ReceivedRequests,
    request: Request<Incoming>,
) -> Action {
    let header = |name| {
        request
            .headers()
            .get(name)
            .map_or("", |value| value.to_str().unwrap())
    };
    let (path, key) = (
        request.uri().path().to_owned(),
        header("idempotency-key").to_owned(),
    );
    let deadline = header("x-deadline-ms").parse().unwrap();
    request.into_body().collect().await.unwrap();
    let mut received = received.lock().unwrap();
    let earlier_calls = received
        .iter()
        .filter(|(called, ..)| *called == path)
        .count();
    received.push((path.clone(), key.clone(), deadline));
    script(&path, &key, earlier_calls)
}

const QUERY: &str = "/v1/services/parts/query";
const ONCE: &str = "/v1/services/parts/once";

fn addresses(list: &[SocketAddr], lifetime_ms: u64) -> Action {
    Action::Answer(200, json!({"addresses": list, "lifetime_ms": lifetime_ms}))
}

fn answer(answered: u32) -> Value {
    json!({
        "hits": [{"id": "a", "score": 1.25, "text": "t"}],
        "snapshot": 3,
        "coverage": {"answered": answered, "shards": 2},
        "missing": [],
        "elapsed_ms": 4,
    })
}

fn rejection(not_run: bool) -> Action {
    Action::Answer(
        503,
        json!({"error": "busy", "message": "try later", "not_run": not_run}),
    )
}

/// An address that refuses connections.
async fn closed_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .await
        .unwrap()
        .local_addr()
        .unwrap()
}

fn client(seeds: &[SocketAddr]) -> ClientBuilder {
    Client::builder()
        .caller("test")
        .seeds(seeds.iter().map(ToString::to_string))
        .timeout(Duration::from_secs(20))
}

/// Guards against discovery on each query, addresses that stay cached after all of them failed, and an error while a
/// seed is still reachable.
#[tokio::test]
async fn addresses_are_cached_and_rediscovered_from_seeds() {
    let healthy = Node::start(|_, _, _| Action::Answer(200, answer(1))).await;
    let (unreachable, stale, healthy_address) = (
        closed_address().await,
        closed_address().await,
        healthy.address,
    );
    let seed = Node::start(move |_, _, earlier_calls| match earlier_calls {
        0 => addresses(&[stale], 60_000),
        1 => addresses(&[stale, healthy_address], 60_000),
        _ => addresses(&[healthy_address], 0),
    })
    .await;
    let client = client(&[unreachable, seed.address]).build().unwrap();
    for _ in 0..3 {
        let answer = client.query("parts", &Query::new("jet")).await.unwrap();
        assert!(!answer.is_complete());
        assert_eq!((answer.hits[0].score, answer.snapshot.0), (1.25, 3));
    }
    assert_eq!(seed.calls("/v1/addresses").len(), 2);
    assert_eq!(healthy.calls(QUERY).len(), 3);
}

/// Guards against the use of an expired discovery answer.
#[tokio::test]
async fn expired_addresses_are_fetched_again() {
    let healthy = Node::start(|_, _, _| Action::Answer(200, answer(2))).await;
    let list = [healthy.address];
    let seed = Node::start(move |_, _, _| addresses(&list, 0)).await;
    let client = client(&[seed.address]).build().unwrap();
    client.query("parts", &Query::new("jet")).await.unwrap();
    client.query("parts", &Query::new("jet")).await.unwrap();
    // The cached address is tried before the seed, but returns no list of addresses in this test.
    assert_eq!(seed.calls("/v1/addresses").len(), 2);
}

/// Guards against a deadline that restarts with each attempt, and against a paused node that blocks a query.
#[tokio::test]
async fn failover_attempts_share_one_deadline() {
    let paused = Node::start(|_, _, _| Action::Hang).await;
    let closing = Node::start(|_, _, _| Action::Close).await;
    let healthy = Node::start(|_, _, _| Action::Answer(200, answer(2))).await;
    let list = [paused.address, closing.address, healthy.address];
    let seed = Node::start(move |_, _, _| addresses(&list, 60_000)).await;
    let client = client(&[seed.address])
        .ping(Duration::from_millis(50), Duration::from_millis(50))
        .build()
        .unwrap();
    let query = Query::new("jet").timeout(Duration::from_secs(15));
    assert!(client.query("parts", &query).await.unwrap().is_complete());
    let deadlines: Vec<u64> = [&paused, &closing, &healthy]
        .iter()
        .map(|node| node.calls(QUERY)[0].1)
        .collect();
    assert!(
        deadlines[0] <= 15_000 && deadlines[0] >= deadlines[1] + 50 && deadlines[1] >= deadlines[2],
        "{deadlines:?}"
    );
}

/// Guards against retries of queries that are invalid or were rejected after they ran, and against unlimited retries
/// after rejections.
#[tokio::test]
async fn only_not_run_rejections_are_retried_and_only_up_to_the_limit() {
    for (status, not_run, calls) in [(503, true, 3), (503, false, 1), (400, true, 1)] {
        let body = json!({"error": "busy", "message": "try later", "not_run": not_run});
        let node = Node::start(move |_, _, _| Action::Answer(status, body.clone())).await;
        let list = [node.address];
        let seed = Node::start(move |_, _, _| addresses(&list, 60_000)).await;
        let client = client(&[seed.address]).build().unwrap();
        let error = client.query("parts", &Query::new("jet")).await.unwrap_err();
        assert_matches!(&error.kind, ErrorKind::Rejected { code, .. } if code == "busy");
        assert_eq!(
            (error.is_not_run(), node.calls(QUERY).len()),
            (not_run, calls)
        );
    }
}

/// Guards against a query that is reported as "not run" although an earlier attempt may have run.
#[tokio::test]
async fn a_lost_attempt_may_have_run() {
    let node = Node::start(|_, _, earlier_calls| match earlier_calls {
        0 => Action::Close,
        _ => rejection(true),
    })
    .await;
    let list = [node.address];
    let seed = Node::start(move |_, _, _| addresses(&list, 60_000)).await;
    let client = client(&[seed.address])
        .rejection_retries(0)
        .build()
        .unwrap();
    let error = client.query("parts", &Query::new("jet")).await.unwrap_err();
    assert!(!error.is_not_run(), "{error}");
}

/// Runs an at-most-once request. The issuer closes the connection at the first attempt; `then` answers all later ones.
async fn run_once(then: fn() -> Action) -> (OnceAnswer, Node, Node) {
    let issuer = Node::start(move |path, _, earlier_calls| match (path, earlier_calls) {
        ("/v1/keys", 0) => Action::Answer(200, json!({"key": "k-1", "lifetime_ms": 30_000})),
        (ONCE, 0) => Action::Close,
        (ONCE, _) => then(),
        _ => rejection(true),
    })
    .await;
    let other = Node::start(move |_, _, _| then()).await;
    let list = [issuer.address, other.address];
    let seed = Node::start(move |_, _, _| addresses(&list, 60_000)).await;
    let client = client(&[seed.address])
        .timeout(Duration::from_secs(2))
        .build()
        .unwrap();
    let outcome = client
        .query_once("parts", &Query::new("order 7"))
        .await
        .unwrap();
    (outcome, issuer, other)
}

/// Guards against a retry under a different key, and against more than one key for one request.
#[tokio::test]
async fn a_lost_once_request_is_retried_under_the_same_key() {
    fn done() -> Action {
        let mut body = answer(2);
        body["outcome"] = "done".into();
        Action::Answer(200, body)
    }
    let (outcome, issuer, other) = run_once(done).await;
    assert_matches!(outcome, OnceAnswer::Done(answer) if answer.is_complete());
    let keys: Vec<_> = [issuer.calls(ONCE), other.calls(ONCE)]
        .concat()
        .into_iter()
        .map(|call| call.0)
        .collect();
    assert_eq!(keys, ["k-1", "k-1"]);
    assert_eq!(issuer.calls("/v1/keys").len(), 1);
}

/// Guards against an unknown outcome that leads to a new request, and against "not run" after a lost attempt. After a
/// lost attempt, only the outcome `not_run` proves that the request did not run; a rejection does not.
#[tokio::test]
async fn an_unknown_outcome_is_reported() {
    let unknown = || {
        Action::Answer(
            504,
            json!({"outcome": "unknown", "message": "the issuer is gone"}),
        )
    };
    let (outcome, issuer, other) = run_once(unknown).await;
    assert_matches!(outcome, OnceAnswer::Unknown { reason } if reason == "the issuer is gone");
    assert_eq!((issuer.calls(ONCE).len() + other.calls(ONCE).len()), 2);
    assert_eq!(
        issuer.calls("/v1/keys").len() + other.calls("/v1/keys").len(),
        1
    );
    let (outcome, ..) = run_once(|| rejection(true)).await;
    assert_matches!(outcome, OnceAnswer::Unknown { .. });
    let (outcome, ..) = run_once(|| Action::Answer(200, json!({"outcome": "not_run"}))).await;
    assert_matches!(outcome, OnceAnswer::NotRun { .. });
}

/// Guards against invalid settings that cause an error only at the first request.
#[test]
fn settings_are_checked_when_the_client_is_built() {
    for builder in [
        Client::builder(),
        Client::builder().seed("no port"),
        Client::builder().seed("a:1").caller("a&b"),
    ] {
        assert_matches!(builder.build().unwrap_err().kind, ErrorKind::Settings(_));
    }
}
