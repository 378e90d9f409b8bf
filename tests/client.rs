//! Tests of the caller's library against fake nodes that follow a script.

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

/// What a fake node does with a request.
enum Act {
    Answer(u16, Value),
    /// Ends the connection after it has read the request.
    Close,
    /// Stops the whole connection, as a paused process does.
    Hang,
}

/// What a fake node has seen: path, key, `x-deadline-ms`.
type Seen = Arc<Mutex<Vec<(String, String, u64)>>>;

struct Node {
    address: SocketAddr,
    seen: Seen,
}

impl Node {
    /// Starts a node whose `script` gets the path, the key and how often this path was called before.
    async fn start(script: impl Fn(&str, &str, usize) -> Act + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (address, seen) = (listener.local_addr().unwrap(), Seen::default());
        let (script, log) = (Arc::new(script), seen.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (script, log) = (script.clone(), log.clone());
                let close = Arc::new(tokio::sync::Notify::new());
                let (closing, hung) = (close.clone(), Arc::new(tokio::sync::Notify::new()));
                let hanging = hung.clone();
                let service = service_fn(move |request| {
                    let (script, log) = (script.clone(), log.clone());
                    let (closing, hanging) = (closing.clone(), hanging.clone());
                    async move {
                        match act(&*script, &log, request).await {
                            Act::Answer(status, body) => {
                                let mut response = Response::new(Full::from(body.to_string()));
                                *response.status_mut() = StatusCode::from_u16(status).unwrap();
                                return Ok::<Response<Full<Bytes>>, hyper::Error>(response);
                            }
                            Act::Close => closing.notify_one(),
                            Act::Hang => hanging.notify_one(),
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
                        () = close.notified() => {}
                        () = hung.notified() => std::future::pending().await,
                    }
                });
            }
        });
        Self { address, seen }
    }

    fn calls(&self, path: &str) -> Vec<(String, u64)> {
        let seen = self.seen.lock().unwrap();
        let found = seen.iter().filter(|(called, ..)| called == path);
        found
            .map(|(_, key, deadline)| (key.clone(), *deadline))
            .collect()
    }
}

async fn act(
    script: &(impl Fn(&str, &str, usize) -> Act + ?Sized),
    seen: &Seen,
    request: Request<Incoming>,
) -> Act {
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
    let mut seen = seen.lock().unwrap();
    let before = seen.iter().filter(|(called, ..)| *called == path).count();
    seen.push((path.clone(), key.clone(), deadline));
    script(&path, &key, before)
}

const QUERY: &str = "/v1/services/parts/query";
const ONCE: &str = "/v1/services/parts/once";

fn addresses(list: &[SocketAddr], lifetime_ms: u64) -> Act {
    Act::Answer(200, json!({"addresses": list, "lifetime_ms": lifetime_ms}))
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

fn refusal(not_run: bool) -> Act {
    Act::Answer(
        503,
        json!({"error": "busy", "message": "try later", "not_run": not_run}),
    )
}

/// An address that refuses connections.
async fn dead() -> SocketAddr {
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

/// Guards against a client that asks for addresses on each query, keeps expired ones, or gives up while a seed lives.
#[tokio::test]
async fn addresses_are_cached_for_their_lifetime_and_found_again_from_seeds() {
    let worker = Node::start(|_, _, _| Act::Answer(200, answer(1))).await;
    let (gone, old, worker_address) = (dead().await, dead().await, worker.address);
    let seed = Node::start(move |_, _, before| match before {
        0 => addresses(&[old], 60_000),
        1 => addresses(&[old, worker_address], 60_000),
        _ => addresses(&[worker_address], 0),
    })
    .await;
    let client = client(&[gone, seed.address]).build().unwrap();
    for _ in 0..3 {
        let answer = client.query("parts", &Query::new("jet")).await.unwrap();
        assert!(!answer.is_complete());
        assert_eq!((answer.hits[0].score, answer.snapshot.0), (1.25, 3));
    }
    assert_eq!(seed.calls("/v1/addresses").len(), 2);
    assert_eq!(worker.calls(QUERY).len(), 3);
}

/// Guards against an expired answer that is still used.
#[tokio::test]
async fn expired_addresses_are_asked_for_again() {
    let worker = Node::start(|_, _, _| Act::Answer(200, answer(2))).await;
    let list = [worker.address];
    let seed = Node::start(move |_, _, _| addresses(&list, 0)).await;
    let client = client(&[seed.address]).build().unwrap();
    client.query("parts", &Query::new("jet")).await.unwrap();
    client.query("parts", &Query::new("jet")).await.unwrap();
    // The cached address is asked before the seed; it gives no list here.
    assert_eq!(seed.calls("/v1/addresses").len(), 2);
}

/// Guards against a deadline that starts anew on each attempt, and against a paused node that holds a query.
#[tokio::test]
async fn failover_spends_one_deadline() {
    let paused = Node::start(|_, _, _| Act::Hang).await;
    let closing = Node::start(|_, _, _| Act::Close).await;
    let worker = Node::start(|_, _, _| Act::Answer(200, answer(2))).await;
    let list = [paused.address, closing.address, worker.address];
    let seed = Node::start(move |_, _, _| addresses(&list, 60_000)).await;
    let client = client(&[seed.address])
        .ping(Duration::from_millis(50), Duration::from_millis(50))
        .build()
        .unwrap();
    let query = Query::new("jet").timeout(Duration::from_secs(15));
    assert!(client.query("parts", &query).await.unwrap().is_complete());
    let sent: Vec<u64> = [&paused, &closing, &worker]
        .iter()
        .map(|node| node.calls(QUERY)[0].1)
        .collect();
    assert!(
        sent[0] <= 15_000 && sent[0] >= sent[1] + 50 && sent[1] >= sent[2],
        "{sent:?}"
    );
}

/// Guards against repeating queries that were refused after they ran, and against endless retries of refusals.
#[tokio::test]
async fn only_refusals_that_did_not_run_are_retried_and_only_a_few_times() {
    for (status, not_run, calls) in [(503, true, 3), (503, false, 1), (400, true, 1)] {
        let body = json!({"error": "busy", "message": "try later", "not_run": not_run});
        let node = Node::start(move |_, _, _| Act::Answer(status, body.clone())).await;
        let list = [node.address];
        let seed = Node::start(move |_, _, _| addresses(&list, 60_000)).await;
        let client = client(&[seed.address]).build().unwrap();
        let fault = client.query("parts", &Query::new("jet")).await.unwrap_err();
        assert_matches!(&fault.kind, ErrorKind::Rejected { code, .. } if code == "busy");
        assert_eq!(
            (fault.is_not_run(), node.calls(QUERY).len()),
            (not_run, calls)
        );
    }
}

/// Guards against a query reported as "not run" although an earlier attempt reached a node.
#[tokio::test]
async fn a_lost_attempt_is_remembered() {
    let node = Node::start(|_, _, before| match before {
        0 => Act::Close,
        _ => refusal(true),
    })
    .await;
    let list = [node.address];
    let seed = Node::start(move |_, _, _| addresses(&list, 60_000)).await;
    let client = client(&[seed.address])
        .rejection_retries(0)
        .build()
        .unwrap();
    let fault = client.query("parts", &Query::new("jet")).await.unwrap_err();
    assert!(!fault.is_not_run(), "{fault}");
}

/// Runs an at-most-once request: the issuer loses the first send, and all later ones are answered by `then`.
async fn once(then: fn() -> Act) -> (OnceAnswer, Node, Node) {
    let issuer = Node::start(move |path, _, before| match (path, before) {
        ("/v1/keys", 0) => Act::Answer(200, json!({"key": "k-1", "lifetime_ms": 30_000})),
        (ONCE, 0) => Act::Close,
        (ONCE, _) => then(),
        _ => refusal(true),
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

/// Guards against a retry under another key and against more than one key for one request.
#[tokio::test]
async fn a_lost_once_request_is_sent_again_under_the_same_key() {
    fn done() -> Act {
        let mut body = answer(2);
        body["outcome"] = "done".into();
        Act::Answer(200, body)
    }
    let (outcome, issuer, other) = once(done).await;
    assert_matches!(outcome, OnceAnswer::Done(answer) if answer.is_complete());
    let keys: Vec<_> = [issuer.calls(ONCE), other.calls(ONCE)]
        .concat()
        .into_iter()
        .map(|call| call.0)
        .collect();
    assert_eq!(keys, ["k-1", "k-1"]);
    assert_eq!(issuer.calls("/v1/keys").len(), 1);
}

/// Guards against an unknown outcome that becomes a new request, and against "not run" after a lost send.
#[tokio::test]
async fn an_unknown_outcome_is_reported() {
    let unknown = || {
        Act::Answer(
            504,
            json!({"outcome": "unknown", "message": "the issuer is gone"}),
        )
    };
    let (outcome, issuer, other) = once(unknown).await;
    assert_matches!(outcome, OnceAnswer::Unknown { reason } if reason == "the issuer is gone");
    assert_eq!((issuer.calls(ONCE).len() + other.calls(ONCE).len()), 2);
    assert_eq!(
        issuer.calls("/v1/keys").len() + other.calls("/v1/keys").len(),
        1
    );
    let (outcome, ..) = once(|| refusal(true)).await;
    assert_matches!(outcome, OnceAnswer::Unknown { .. });
    let (outcome, ..) = once(|| Act::Answer(200, json!({"outcome": "not_run"}))).await;
    assert_matches!(outcome, OnceAnswer::NotRun { .. });
}

/// Guards against settings that fail only at the first request.
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
