//! Tests that malicious and malformed input from callers and from the network gets a clear error and does not affect
//! other requests.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use cranberrychute::{
    adapter::peer::{Identity, PeerStep, PeerTransport},
    core::{FleetKey, Incarnation, NodeId, config::Versions},
    node::{self, Settings},
};
use cranberrychute_emulator::{
    Corpus, LeafSpec, NodeSpec, Platform, SnapshotSpec, Upstream, UpstreamSettings, map_document,
    vms_document,
};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use serde_json::Value;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpStream, UdpSocket},
    sync::oneshot,
    time::sleep,
};

const FLEET_KEY: &str = "5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a";
const POLICY: &str = "deadline_ms = 2000\nmax_deadline_ms = 10000\nmax_top = 100\n";
const QUERY: &str = "/v1/services/parts/query";

type Headers<'a> = &'a [(&'a str, &'a [u8])];

/// A platform, an upstream with one leaf, and a node.
struct TestNode {
    node: NodeSpec,
    stop: Option<oneshot::Sender<()>>,
    _platform: Platform,
    _upstream: Upstream,
}

impl TestNode {
    async fn start() -> Self {
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let platform = Platform::start(any).await.unwrap();
        let data = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/data/parts.csv");
        let snapshots = vec![SnapshotSpec::serving(1, 1)];
        let leaf = LeafSpec {
            address: any,
            domain: "a".into(),
            slots: 4,
            connections: 10,
            cold_capacity: 1,
            shards: [(1, vec![0])].into(),
        };
        let settings = UpstreamSettings::new(snapshots.clone(), vec![leaf]);
        let corpus = Corpus::read(data).unwrap();
        let upstream = Upstream::start(settings, &corpus).await.unwrap();
        let node = NodeSpec::allocate(1, &["a"]).unwrap().remove(0);
        let specs = [node.clone()];
        platform.put("service/parts", None, POLICY);
        let map = map_document(&snapshots, &upstream.specs());
        platform.put("map/parts", None, &map.to_string());
        platform.put("domains", None, r#"{"out": []}"#);
        platform.put("vms", None, &vms_document(&specs).to_string());
        let text = node.settings(platform.address(), FLEET_KEY, &specs);
        let settings = Settings::parse(&text).unwrap();
        let (stop, stopped) = oneshot::channel::<()>();
        tokio::spawn(node::run(settings, async move {
            let _ = stopped.await;
        }));
        let fixture = Self {
            node,
            stop: Some(stop),
            _platform: platform,
            _upstream: upstream,
        };
        fixture.wait_until_serving().await;
        fixture
    }

    async fn wait_until_serving(&self) {
        for _ in 0..600 {
            let (status, body) = self
                .send(Method::POST, QUERY, &[], r#"{"text": "brass"}"#)
                .await;
            if status == StatusCode::OK && body["coverage"]["answered"] == 1 {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("the node did not serve a full answer within 30 s");
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        headers: Headers<'_>,
        body: &str,
    ) -> (StatusCode, Value) {
        let client = Client::builder(TokioExecutor::new()).build_http();
        let uri = format!("http://{}{path}", self.node.caller);
        let mut request = Request::builder().method(method).uri(uri);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Full::new(Bytes::from(body.to_owned())))
            .unwrap();
        let Ok(response) = client.request(request).await else {
            return (StatusCode::SERVICE_UNAVAILABLE, Value::Null);
        };
        let status = response.status();
        let body = response.into_body().collect().await.unwrap().to_bytes();
        let text = String::from_utf8_lossy(&body).into_owned();
        (
            status,
            serde_json::from_slice(&body).unwrap_or(Value::String(text)),
        )
    }
}

impl Drop for TestNode {
    fn drop(&mut self) {
        let _ = self.stop.take().map(|stop| stop.send(()));
    }
}

/// Guards against unclear errors, wrong "not run" marks and unbounded input from callers.
#[tokio::test(flavor = "multi_thread")]
async fn callers_get_clear_errors() {
    let fixture = TestNode::start().await;
    let long = "a".repeat(5_000);
    let huge = "a".repeat(100_000);
    let long_text = format!(r#"{{"text": "{long}"}}"#);
    let unknown = "/v1/services/nope/query";
    let once = "/v1/services/parts/once";
    let good = r#"{"text": "brass"}"#;
    let deadline = "x-deadline-ms";
    let cases: [(&str, Headers<'_>, &str, u16, &str); 14] = [
        (
            unknown,
            &[],
            good,
            404,
            "\"nope\" does not exist; known: parts",
        ),
        (QUERY, &[], "", 400, "the body is not a query"),
        (QUERY, &[], "[1, 2", 400, "the body is not a query"),
        (
            QUERY,
            &[],
            r#"{"text": "a", "tpo": 3}"#,
            400,
            "unknown field `tpo`",
        ),
        (
            QUERY,
            &[],
            r#"{"text": ""}"#,
            400,
            "text must have 1 to 4096 bytes",
        ),
        (
            QUERY,
            &[],
            &long_text,
            400,
            "text must have 1 to 4096 bytes",
        ),
        (QUERY, &[], &huge, 413, "the body exceeds 65536 bytes"),
        (
            QUERY,
            &[],
            r#"{"text": "a", "top": 101}"#,
            400,
            "top is 101, the service allows 1 to 100",
        ),
        (QUERY, &[(deadline, b"0")], good, 400, "x-deadline-ms is 0"),
        (
            QUERY,
            &[(deadline, b"99999999999999")],
            good,
            400,
            "allowed is 1 to 600000",
        ),
        (
            QUERY,
            &[(deadline, b"5s")],
            good,
            400,
            "whole number of milliseconds",
        ),
        (
            QUERY,
            &[("x-request-id", b"\xff\xfe")],
            good,
            400,
            "header x-request-id holds bytes",
        ),
        (once, &[], good, 422, "idempotency-key is missing"),
        (
            once,
            &[("idempotency-key", b"made-up")],
            good,
            422,
            "the key is malformed",
        ),
    ];
    for (path, headers, body, status, message) in cases {
        let (got, answer) = fixture.send(Method::POST, path, headers, body).await;
        let text = answer["message"].as_str().unwrap_or_default();
        assert_eq!(got.as_u16(), status, "{path} {message}: {answer}");
        assert!(
            text.contains(message),
            "{path}: {text:?} does not contain {message:?}"
        );
    }
    let (_, metrics) = fixture.send(Method::GET, "/metrics", &[], "").await;
    assert!(
        !metrics.to_string().contains("nope"),
        "an unknown service name became a metric label"
    );
    fixture.wait_until_serving().await;
}

/// Guards against bytes that follow no protocol and stop the node or reach its decision cores.
#[tokio::test(flavor = "multi_thread")]
async fn garbage_on_the_ports_is_dropped() {
    let fixture = TestNode::start().await;
    let garbage: Vec<u8> = (0..1_200u32).map(|i| (i * 7 + 13) as u8).collect();
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    for size in [0, 1, 40, 1_200] {
        for port in [fixture.node.control, fixture.node.peer] {
            socket.send_to(&garbage[..size], port).await.unwrap();
        }
    }
    let mut stream = TcpStream::connect(fixture.node.caller).await.unwrap();
    stream.write_all(&garbage).await.unwrap();
    // An idle connection must not block other connections.
    let _idle = TcpStream::connect(fixture.node.caller).await.unwrap();
    fixture.wait_until_serving().await;
    assert_eq!(cranberrychute::core::invariant::violation_count(), 0);
}

/// Guards against a process without the fleet key that is accepted as a peer.
#[tokio::test(flavor = "multi_thread")]
async fn a_peer_without_the_fleet_key_is_rejected() {
    let fixture = TestNode::start().await;
    let identity = |key| Identity {
        node: NodeId::from("x"),
        incarnation: Incarnation(1),
        key,
    };
    let me = NodeId::from(fixture.node.id.as_str());
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    let unauthorized = PeerTransport::bind(any, identity(FleetKey::new([1; 32]))).unwrap();
    let error = unauthorized
        .fetch(&me, fixture.node.peer, Versions::default())
        .await
        .unwrap_err();
    assert!(
        matches!(error.step, PeerStep::Authenticate | PeerStep::Connect),
        "{error}"
    );
    assert!(error.is_unsent());
    let authorized = PeerTransport::bind(any, identity(FleetKey::new([0x5a; 32]))).unwrap();
    let documents = authorized
        .fetch(&me, fixture.node.peer, Versions::default())
        .await
        .unwrap();
    assert!(
        documents
            .iter()
            .any(|document| &*document.key == "service/parts")
    );
}
