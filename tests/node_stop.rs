//! Stops of nodes while callers and other nodes send requests without a break.

#[allow(dead_code)]
mod support;

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use cranberrychute::client::{Answer, Client, OnceAnswer, Query};
use cranberrychute_emulator::LeafControl;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::{TokioExecutor, TokioIo};
use rustix::process::Signal;
use serde_json::{Value, json};
use support::{Cluster, Http, SERVICE, Setup, eventually};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

const BODY: &str = "{\"text\": \"brass\"}";
const PATH: &str = "/v1/services/parts/query";
/// Time that callers send requests before the node is stopped.
const LOAD_TIME: Duration = Duration::from_secs(1);
/// Time that a call takes on a leaf, microseconds.
const SERVICE_TIME_US: u64 = 5_000;
/// Maximum wait for an answer. It only stops tests that would hang.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of keys of the stopping node, more than its callers use until it has stopped.
const KEYS: usize = 2_000;
/// Maximum time from SIGTERM to the exit of a node whose address answers and keys are waited for 2 s: 1 s to end the intake
/// and a few for requests in progress on a busy machine.
const MAX_STOP_TIME: Duration = Duration::from_secs(8);

/// Time within which the leaves of a leaving node have another owner: other nodes learn of it from its probes, one a second,
/// then request the leases twice a second.
const HANDOVER_TIME: Duration = Duration::from_secs(5);

/// How a caller uses its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Usage {
    /// HTTP/1.1, a new connection for each request, which arrives this many milliseconds after the connection is open.
    New(u64),
    /// HTTP/1.1, one connection for all requests.
    Kept,
    /// HTTP/2, one connection for all requests.
    Multiplexed,
}

/// How the requests of a caller to a node ended.
#[derive(Debug, Default)]
struct Ends {
    whole: usize,
    /// Requests on a kept connection that the node closed before it read them, which callers are told.
    unread: usize,
    /// Requests without a whole answer.
    cut: Vec<String>,
}

/// A connection that a caller keeps.
enum Sender {
    Http1(hyper::client::conn::http1::SendRequest<Full<Bytes>>),
    Http2(hyper::client::conn::http2::SendRequest<Full<Bytes>>),
}

impl Sender {
    async fn new(stream: TcpStream, usage: Usage) -> hyper::Result<Self> {
        let io = TokioIo::new(stream);
        if usage == Usage::Multiplexed {
            let (sender, connection) =
                hyper::client::conn::http2::handshake(TokioExecutor::new(), io).await?;
            tokio::spawn(connection);
            Ok(Self::Http2(sender))
        } else {
            let (sender, connection) = hyper::client::conn::http1::handshake(io).await?;
            tokio::spawn(connection);
            Ok(Self::Http1(sender))
        }
    }

    /// Returns whether the connection takes another request.
    async fn is_open(&mut self) -> bool {
        match self {
            Self::Http1(sender) => sender.ready().await.is_ok(),
            Self::Http2(sender) => sender.ready().await.is_ok(),
        }
    }

    async fn send(&mut self, address: SocketAddr) -> hyper::Result<Bytes> {
        let request = Request::post(format!("http://{address}{PATH}"))
            .header("host", address.to_string())
            .body(Full::from(BODY))
            .unwrap();
        let response = match self {
            Self::Http1(sender) => sender.send_request(request).await?,
            Self::Http2(sender) => sender.send_request(request).await?,
        };
        Ok(response.into_body().collect().await?.to_bytes())
    }
}

/// Sends a request on a new connection that carries no other, and returns the body of the answer.
async fn send_alone(mut stream: TcpStream) -> io::Result<Bytes> {
    let length = BODY.len();
    let request = format!(
        "POST {PATH} HTTP/1.1\r\nhost: node\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{BODY}"
    );
    stream.write_all(request.as_bytes()).await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    let end = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    let end = end.ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok(Bytes::from(answer).slice(end + 4..))
}

/// Returns whether a kept connection was closed while it was idle, so that the request is known not to have been read.
fn is_unread(error: &anyhow::Error) -> bool {
    let Some(error) = error.downcast_ref::<hyper::Error>() else {
        return false;
    };
    let source = std::error::Error::source(error);
    let source = source.and_then(|source| source.downcast_ref::<h2::Error>());
    error.is_canceled()
        || source.is_some_and(|error| {
            error.is_go_away() || error.reason() == Some(h2::Reason::REFUSED_STREAM)
        })
}

/// Sends requests to a node until it refuses connections.
async fn run_caller(address: SocketAddr, usage: Usage) -> Ends {
    let mut ends = Ends::default();
    let mut kept = None;
    loop {
        let reused = kept.is_some();
        let exchange = async {
            let mut sender = match kept.take() {
                Some(sender) => sender,
                None => {
                    let stream = TcpStream::connect(address).await?;
                    if let Usage::New(delay) = usage {
                        sleep(Duration::from_millis(delay)).await;
                        return anyhow::Ok(send_alone(stream).await?);
                    }
                    Sender::new(stream, usage).await?
                }
            };
            let body = sender.send(address).await?;
            kept = sender.is_open().await.then_some(sender);
            Ok(body)
        };
        let result = timeout(ANSWER_TIMEOUT, exchange).await.unwrap();
        let is_refused = |error: &anyhow::Error| {
            let error = error.downcast_ref::<io::Error>();
            error.is_some_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
        };
        match result {
            Ok(body) => {
                serde_json::from_slice::<Answer>(&body).unwrap();
                ends.whole += 1;
            }
            Err(error) if is_refused(&error) => return ends,
            Err(error) if reused && is_unread(&error) => ends.unread += 1,
            Err(error) => ends.cut.push(format!("{usage:?}: {error:#}")),
        }
    }
}

async fn start(settings: &'static str) -> Cluster {
    start_with(Setup {
        settings,
        ..Setup::default()
    })
    .await
}

async fn start_with(setup: Setup) -> Cluster {
    let cluster = Cluster::start(setup).await;
    cluster
        .control_leaves(LeafControl {
            service_us: Some(SERVICE_TIME_US),
            ..LeafControl::default()
        })
        .await;
    let client = cluster.client("first");
    let full = async || {
        let answer = client.query(SERVICE, &Query::new("brass")).await;
        answer.is_ok_and(|answer| answer.is_complete())
    };
    assert!(eventually(full).await, "no answer covered all shards");
    cluster
}

/// Guards against a stop that cuts requests of callers that keep to the node until it refuses connections.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_node_cuts_no_request_under_steady_load() {
    let mut cluster = start("[limits]\naddress_lifetime_ms = 500\n").await;
    let address = cluster.nodes[0].address;
    let usages = [
        Usage::New(0),
        Usage::New(20),
        Usage::Kept,
        Usage::Multiplexed,
    ];
    let callers = usages.into_iter().cycle().take(40);
    let callers: JoinSet<Ends> = callers.map(|usage| run_caller(address, usage)).collect();
    sleep(LOAD_TIME).await;
    cluster.nodes[0].process.signal(Signal::TERM);
    let ends = callers.join_all().await;
    let status = cluster.nodes[0].process.wait_for_exit().await;
    assert!(status.success(), "{status}");
    let (whole, unread) = ends.iter().fold((0, 0), |(whole, unread), ends| {
        (whole + ends.whole, unread + ends.unread)
    });
    let cut: Vec<&String> = ends.iter().flat_map(|ends| &ends.cut).collect();
    println!("{whole} whole, {unread} unread, {} cut", cut.len());
    assert!(whole > 100, "{whole}");
    assert!(cut.is_empty(), "{cut:#?}");
    cluster.assert_no_violations().await;
}

/// Sends at-most-once requests with these keys to a node that forwards them, and returns the bodies of the answers by
/// query text.
async fn forward_requests(
    address: SocketAddr,
    keys: Arc<Mutex<Vec<String>>>,
) -> Vec<(String, Value)> {
    let http = Http::default();
    let url = format!("http://{address}/v1/services/{SERVICE}/once");
    let mut answers = Vec::new();
    loop {
        let Some(key) = keys.lock().unwrap().pop() else {
            return answers;
        };
        let text = format!("brass order {key}");
        let body = json!({"text": text}).to_string();
        let headers = [("idempotency-key", key.as_str())];
        let answer = http.send(Method::POST, &url, &headers, &body).await;
        let (_, body) = answer.unwrap();
        answers.push((text, body));
    }
}

/// Guards against a stop that does not end while other nodes forward at-most-once requests, and against one that loses the
/// outcome of a request that ran.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_node_answers_the_requests_that_other_nodes_forward() {
    let limits = "[limits]\naddress_lifetime_ms = 500\ndrain_ms = 2000\n";
    let mut cluster = start(limits).await;
    let new_key = async |_| {
        let (_, key) = cluster.post(0, "keys", &[], &json!({})).await.unwrap();
        key["key"].as_str().unwrap().to_owned()
    };
    let keys = futures::future::join_all((0..KEYS).map(new_key)).await;
    let keys = Arc::new(Mutex::new(keys));
    let others = cluster.nodes[1..].iter().map(|node| node.address);
    let callers = others.cycle().take(12);
    let callers: JoinSet<_> = callers
        .map(|address| forward_requests(address, keys.clone()))
        .collect();
    sleep(LOAD_TIME).await;
    cluster.nodes[0].process.signal(Signal::TERM);
    let stopping = Instant::now();
    let status = cluster.nodes[0].process.wait_for_exit().await;
    let took = stopping.elapsed();
    assert!(status.success(), "{status}");
    let left = std::mem::take(&mut *keys.lock().unwrap()).len();
    let answers = callers.join_all().await.concat();
    let runs = cluster.once_runs().await;
    let count = |outcome| {
        let outcomes = answers.iter().map(|(_, body)| &body["outcome"]);
        outcomes.filter(|name| **name == outcome).count()
    };
    let (done, not_run) = (count("done"), count("not_run"));
    let ran = answers.iter().filter(|(text, _)| runs.contains_key(text));
    let lost: Vec<&Value> = ran
        .map(|(_, body)| body)
        .filter(|body| body["outcome"] != "done")
        .collect();
    println!(
        "{done} done, {not_run} not run, {} lost of {}, {left} keys left, exit after {took:?}",
        lost.len(),
        answers.len()
    );
    assert!(done > 20, "{done}");
    assert!(lost.is_empty(), "{lost:#?}");
    assert!(left > 0 && took < MAX_STOP_TIME, "{left} {took:?}");
    cluster.assert_no_violations().await;
}

/// Sends queries and at-most-once requests until `stop` is set. Returns the number of answers, and what went wrong.
async fn run_client(client: Client, stop: Arc<AtomicBool>) -> (usize, Vec<String>) {
    let (mut answers, mut failures) = (0, Vec::new());
    while !stop.load(Ordering::Relaxed) {
        match client.query(SERVICE, &Query::new("brass")).await {
            Ok(_) => answers += 1,
            Err(error) => failures.push(error.to_string()),
        }
        match client.query_once(SERVICE, &Query::new("brass order")).await {
            Ok(OnceAnswer::Done(_)) => answers += 1,
            other => failures.push(format!("{other:?}")),
        }
    }
    (answers, failures)
}

/// Guards against callers with the client library that notice the stop of a node, because the node refuses what they send
/// or its connections end with requests in progress.
#[tokio::test(flavor = "multi_thread")]
async fn clients_do_not_notice_the_stop_of_a_node() {
    let limits = "[limits]\naddress_lifetime_ms = 500\ndrain_ms = 7000\n";
    let mut cluster = start(limits).await;
    let stop = Arc::new(AtomicBool::new(false));
    let callers = (0..12).map(|caller| cluster.client(&format!("caller-{caller}")));
    let callers: JoinSet<_> = callers
        .map(|client| run_client(client, stop.clone()))
        .collect();
    sleep(LOAD_TIME).await;
    cluster.nodes[0].process.signal(Signal::TERM);
    let status = cluster.nodes[0].process.wait_for_exit().await;
    assert!(status.success(), "{status}");
    sleep(LOAD_TIME).await;
    stop.store(true, Ordering::Relaxed);
    let ends = callers.join_all().await;
    let answers: usize = ends.iter().map(|(answers, _)| answers).sum();
    let failures: Vec<&String> = ends.iter().flat_map(|(_, failures)| failures).collect();
    println!("{answers} whole, {} lost", failures.len());
    assert!(answers > 100, "{answers}");
    assert!(failures.is_empty(), "{failures:#?}");
    cluster.assert_no_violations().await;
}

/// Guards against leaves that nobody calls while their owner waits for the expiry of its address answers.
#[tokio::test(flavor = "multi_thread")]
async fn partitions_of_a_leaving_node_get_another_owner() {
    let setup = Setup {
        replicas: 1,
        settings: "[limits]\naddress_lifetime_ms = 10000\n",
        ..Setup::default()
    };
    let cluster = start_with(setup).await;
    cluster.nodes[0].process.signal(Signal::TERM);
    sleep(HANDOVER_TIME).await;
    let path = format!("services/{SERVICE}/query");
    let body = json!({"text": "brass"});
    for round in 0..12 {
        let answer = cluster.post(1 + round % 3, &path, &[], &body).await;
        let (_, answer) = answer.unwrap();
        let whole = answer["missing"].as_array().is_some_and(Vec::is_empty);
        assert!(whole, "round {round}: {answer}");
    }
    let answer = cluster.post(0, &path, &[], &body).await;
    assert!(answer.is_ok(), "the node left before the answers");
    cluster.assert_no_violations().await;
}
