//! Tests of the leaf pool against a small HTTP/2 leaf on loopback that misbehaves on request.

use std::{
    convert::Infallible,
    future::{Future, pending},
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst},
    },
    task::{Context, Poll},
    time::Duration,
};

use assert_matches::assert_matches;
use bytes::Bytes;
use cranberrychute::{
    adapter::{
        Clock,
        upstream::{BatchHandle, LeafPool, PoolSettings, Ports, connect_tcp},
    },
    core::{
        LeafId, NodeId, PartitionId, ServiceName, ShardId, SnapshotId, Time,
        call::{Failure, LeafBatch, LeafCall, LeafReply, NotRun, Outcome},
        config::{ConfigView, LeafInfo, ServiceMap},
        crash::{CrashEvent, CrashLedger, Fingerprint, Verdict},
        invariant::violation_count,
    },
};
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::{
    Request, Response,
    body::{Frame, Incoming},
    server::conn::http2,
    service::service_fn,
};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    sync::{Notify, mpsc},
    time::{sleep, timeout},
};

const SNAPSHOT: u64 = 7;

/// How the test leaf behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Mode {
    #[default]
    Normal,
    /// Answers once `release` is notified.
    Delayed,
    Hang,
    Endless,
    Malformed,
    OtherSnapshot,
    Conflict,
    Shed,
    Error,
    /// Closes the connection abruptly, like a crashing process.
    Crash,
}

/// A leaf with configurable behaviour.
#[derive(Debug, Default)]
struct TestLeaf {
    mode: Mutex<Mode>,
    instance: AtomicUsize,
    /// New connections are accepted but never served.
    accept_only: AtomicBool,
    connections: AtomicUsize,
    /// One flag for each connection opened so far; setting it freezes the connection.
    freeze_flags: Mutex<Vec<Arc<AtomicBool>>>,
    crash: Notify,
    /// Closes connections gracefully.
    stop: Notify,
    release: Notify,
    requests: Mutex<Vec<(http::HeaderMap, serde_json::Value)>>,
    running: AtomicUsize,
    max_running: AtomicUsize,
    /// Number of calls dropped before they ended.
    cancelled: AtomicUsize,
    /// Number of bytes sent by endless answers.
    streamed: AtomicUsize,
}

/// Counts a call as running until dropped, and as cancelled if it has not ended by then.
struct RunningCall(Arc<TestLeaf>, bool);

impl RunningCall {
    fn new(test_leaf: &Arc<TestLeaf>) -> Self {
        let now = test_leaf.running.fetch_add(1, SeqCst) + 1;
        test_leaf.max_running.fetch_max(now, SeqCst);
        Self(test_leaf.clone(), false)
    }
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, SeqCst);
        self.0.cancelled.fetch_add(usize::from(!self.1), SeqCst);
    }
}

/// A byte stream that neither reads nor writes any more once its flag is set.
struct FreezableStream(TcpStream, Arc<AtomicBool>);

impl AsyncRead for FreezableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.1.load(SeqCst) {
            return Poll::Pending;
        }
        Pin::new(&mut self.0).poll_read(cx, buf)
    }
}

impl AsyncWrite for FreezableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.1.load(SeqCst) {
            return Poll::Pending;
        }
        Pin::new(&mut self.0).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

type Body = BoxBody<Bytes, Infallible>;

impl TestLeaf {
    async fn start(mode: Mode) -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("loopback address can be bound");
        let address = listener.local_addr().expect("bound socket has an address");
        let test_leaf = Arc::new(Self {
            mode: Mutex::new(mode),
            ..Self::default()
        });
        let acceptor = test_leaf.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                acceptor.connections.fetch_add(1, SeqCst);
                tokio::spawn(acceptor.clone().serve(stream));
            }
        });
        (test_leaf, address)
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        if self.accept_only.load(SeqCst) {
            let _stream = stream;
            return pending().await;
        }
        let freeze_flag = Arc::new(AtomicBool::new(false));
        self.freeze_flags.lock().unwrap().push(freeze_flag.clone());
        let test_leaf = self.clone();
        let service = service_fn(move |request| test_leaf.clone().respond(request));
        let connection = http2::Builder::new(TokioExecutor::new())
            .serve_connection(TokioIo::new(FreezableStream(stream, freeze_flag)), service);
        let mut connection = std::pin::pin!(connection);
        tokio::select! {
            _ = connection.as_mut() => {}
            () = self.crash.notified() => {}
            () = self.stop.notified() => {
                connection.as_mut().graceful_shutdown();
                tokio::select! {
                    _ = connection => {}
                    () = self.crash.notified() => {}
                }
            }
        }
    }

    async fn respond(self: Arc<Self>, request: Request<Incoming>) -> http::Result<Response<Body>> {
        let mut running = RunningCall::new(&self);
        let (head, body) = request.into_parts();
        let body = body.collect().await.map(|body| body.to_bytes());
        let call: serde_json::Value =
            serde_json::from_slice(&body.unwrap_or_default()).unwrap_or_default();
        let mode = *self.mode.lock().unwrap();
        let (snapshot, shard) = (&call["snapshot"], &call["shard"]);
        let instance = self.instance.load(SeqCst);
        let answer = |snapshot: u64| {
            format!(
                r#"{{"instance":"i{instance}","snapshot":{snapshot},"shard":{shard},"complete":true,"cold":false,"hits":[{{"id":"a","score":1.5,"text":"jet"}}]}}"#
            )
        };
        let snapshot = snapshot.as_u64().unwrap_or_default();
        let response = Response::builder();
        let (response, text) = match mode {
            Mode::Normal | Mode::Delayed => (response, answer(snapshot)),
            Mode::OtherSnapshot => (response, answer(snapshot + 1)),
            Mode::Malformed => (response, "\u{0}{\"hits\":".to_owned()),
            Mode::Conflict => (response.status(409), r#"{"snapshot":8}"#.to_owned()),
            Mode::Shed => (
                response.status(503).header("x-not-run", "true"),
                String::new(),
            ),
            Mode::Error => (response.status(503), String::new()),
            Mode::Hang | Mode::Crash | Mode::Endless => (response, String::new()),
        };
        self.requests.lock().unwrap().push((head.headers, call));
        match mode {
            Mode::Hang => pending::<()>().await,
            Mode::Delayed => self.release.notified().await,
            Mode::Crash => {
                self.crash.notify_waiters();
                pending::<()>().await;
            }
            Mode::Endless => {
                let chunks = stream::repeat(Bytes::from_static(&[b' '; 1_024])).map(move |chunk| {
                    running.0.streamed.fetch_add(chunk.len(), SeqCst);
                    Ok(Frame::data(chunk))
                });
                return response.body(BodyExt::boxed(StreamBody::new(chunks)));
            }
            _ => {}
        }
        running.1 = true;
        response.body(Full::new(Bytes::from(text)).boxed())
    }

    fn set_mode(&self, mode: Mode) {
        *self.mode.lock().unwrap() = mode;
    }

    fn freeze(&self) {
        for freeze_flag in self.freeze_flags.lock().unwrap().iter() {
            freeze_flag.store(true, SeqCst);
        }
    }

    fn call_count(&self) -> usize {
        self.requests.lock().unwrap().len()
    }
}

#[derive(Debug)]
struct TestPorts {
    /// Offset added to the clock, in microseconds.
    clock_offset: AtomicU64,
    lease: Mutex<Option<Time>>,
    verdict: Mutex<Verdict>,
    crashes: Mutex<Vec<CrashEvent>>,
    safe_runs: AtomicUsize,
}

impl Ports for TestPorts {
    type Io = TcpStream;

    fn now(&self) -> Time {
        Clock.now() + Duration::from_micros(self.clock_offset.load(SeqCst))
    }

    fn lease_end(&self, _partition: &PartitionId) -> Option<Time> {
        self.lease.lock().unwrap().filter(|end| Clock.now() < *end)
    }

    fn holder(&self, _partition: &PartitionId) -> Option<NodeId> {
        Some("other".into())
    }

    fn verdict(&self, _fingerprint: Fingerprint) -> Verdict {
        *self.verdict.lock().unwrap()
    }

    fn record_safe_run(&self, _fingerprint: Fingerprint) {
        self.safe_runs.fetch_add(1, SeqCst);
    }

    fn record_crash(&self, event: CrashEvent) {
        self.crashes.lock().unwrap().push(event);
    }

    async fn connect(&self, leaf: &LeafId) -> io::Result<TcpStream> {
        connect_tcp(leaf).await
    }
}

struct Fixture {
    test_leaf: Arc<TestLeaf>,
    ports: Arc<TestPorts>,
    pool: LeafPool<TestPorts>,
    leaf: LeafId,
    view: ConfigView,
}

fn service() -> ServiceName {
    "parts".into()
}

impl Fixture {
    /// Starts a leaf with 4 slots, all of which can be used while it is cold.
    async fn new(mode: Mode) -> Self {
        Self::with(mode, PoolSettings::default()).await
    }

    async fn with(mode: Mode, settings: PoolSettings) -> Self {
        let (test_leaf, address) = TestLeaf::start(mode).await;
        let leaf = LeafId::from(address.to_string());
        let ports = Arc::new(TestPorts {
            clock_offset: AtomicU64::new(0),
            lease: Mutex::new(Some(Clock.now() + Duration::from_secs(600))),
            verdict: Mutex::new(Verdict::Known),
            crashes: Mutex::default(),
            safe_runs: AtomicUsize::new(0),
        });
        let info = LeafInfo {
            domain: "a".into(),
            slots: 4,
            connections: 25,
            cold_capacity: 4,
            leaving: false,
        };
        let mut fixture = Self {
            test_leaf,
            pool: LeafPool::new(ports.clone(), settings),
            ports,
            view: ConfigView::default(),
            leaf,
        };
        fixture.publish(Some(info));
        fixture
    }

    fn publish(&mut self, info: Option<LeafInfo>) {
        let leaves = info.map(|info| (self.leaf.clone(), info)).into_iter();
        let map = ServiceMap {
            snapshots: Vec::new(),
            leaves: leaves.collect(),
        };
        self.view.maps.insert(service(), Arc::new(map));
        self.pool.update(&self.view);
    }

    fn info(&self) -> LeafInfo {
        self.view.maps[&service()].leaves[&self.leaf].clone()
    }

    fn batch(&self, text: &str, calls: u32, once: bool) -> LeafBatch {
        let call = |shard| LeafCall {
            leaf: self.leaf.clone(),
            snapshot: SnapshotId(SNAPSHOT),
            shard: ShardId(shard),
            once,
            alone: false,
            extra: false,
        };
        LeafBatch {
            request: "r1".into(),
            service: service(),
            trace: Some("00-0123456789abcdef0123456789abcdef-0123456789abcdef-01".into()),
            budget: 5_000_000,
            text: text.into(),
            top: 10,
            calls: (0..calls).map(call).collect(),
        }
    }

    fn start(&self, batch: LeafBatch) -> (BatchHandle<TestPorts>, Replies) {
        let (sender, replies) = mpsc::unbounded_channel();
        (self.pool.start(batch, sender), Replies(replies))
    }

    /// Runs one call and returns its outcome.
    async fn run_call(&self, once: bool) -> Outcome {
        let (handle, mut replies) = self.start(self.batch("jet \"0.74\"", 1, once));
        let outcome = replies.next().await.outcome;
        handle.finished().await;
        outcome
    }

    /// Makes the leaf announce that it closes its connections, and waits until calls use another one.
    async fn close_gracefully(&self) {
        let before = self.test_leaf.connections.load(SeqCst);
        self.test_leaf.stop.notify_waiters();
        self.test_leaf.set_mode(Mode::Normal);
        while self.test_leaf.connections.load(SeqCst) == before {
            // A call that crosses the announcement is refused by the leaf, so it certainly did not run.
            let outcome = self.run_call(true).await;
            assert_matches!(
                outcome,
                Outcome::Hits { .. } | Outcome::NotRun(NotRun::Shed)
            );
        }
    }

    async fn wait_settled(&self) {
        eventually("calls to settle", || self.pool.states()[0].in_flight == 0).await;
        assert_eq!(violation_count(), 0);
    }
}

struct Replies(mpsc::UnboundedReceiver<LeafReply>);

impl Replies {
    async fn next(&mut self) -> LeafReply {
        within("a reply", self.0.recv())
            .await
            .expect("reply channel is open")
    }
}

/// Applies a timeout, so that a lost reply fails the test instead of blocking it. It is not a limit on latency.
async fn within<T>(what: &str, future: impl Future<Output = T>) -> T {
    let result = timeout(Duration::from_secs(20), future).await;
    result.unwrap_or_else(|_| panic!("timed out waiting for {what}"))
}

async fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    within(what, async {
        while !holds() {
            sleep(Duration::from_millis(2)).await;
        }
    })
    .await;
}

/// Guards against calls that are sent without their deadline, their trace or part of their body.
#[tokio::test]
async fn calls_carry_deadline_and_trace() {
    let fixture = Fixture::new(Mode::Normal).await;
    assert_matches!(
        fixture.run_call(true).await,
        Outcome::Hits { snapshot: SnapshotId(SNAPSHOT), shard: ShardId(0), complete: true, hits }
            if hits.len() == 1
    );
    let requests = fixture.test_leaf.requests.lock().unwrap();
    let (headers, call) = &requests[0];
    let deadline_ms: u64 = headers["x-deadline-ms"].to_str().unwrap().parse().unwrap();
    assert!(
        (1..=1_500).contains(&deadline_ms),
        "deadline of {deadline_ms} ms"
    );
    assert!(
        headers["traceparent"]
            .to_str()
            .unwrap()
            .starts_with("00-0123456789abcdef")
    );
    let expected = serde_json::json!({
        "snapshot": 7, "shard": 0, "text": "jet \"0.74\"", "top": 10, "once": true
    });
    assert_eq!(*call, expected);
}

/// Guards against answers being misclassified, such as unusable ones as hits or as "not run".
#[tokio::test]
async fn answers_are_classified() {
    let fixture = Fixture::new(Mode::Normal).await;
    let bad_answer = Outcome::Failed(Failure::BadAnswer);
    let serving = Some(SnapshotId(8));
    for (mode, expected) in [
        (Mode::Malformed, bad_answer.clone()),
        (Mode::OtherSnapshot, bad_answer.clone()),
        (Mode::Error, bad_answer),
        (Mode::Conflict, Outcome::WrongSnapshot { serving }),
        (Mode::Shed, Outcome::NotRun(NotRun::Shed)),
    ] {
        fixture.test_leaf.set_mode(mode);
        assert_eq!(fixture.run_call(false).await, expected, "{mode:?}");
    }
    fixture.wait_settled().await;
    assert!(fixture.ports.crashes.lock().unwrap().is_empty());
}

/// Guards against an endless answer that exhausts memory or occupies its slot indefinitely.
#[tokio::test]
async fn endless_answers_are_aborted() {
    let settings = PoolSettings {
        max_answer_bytes: 64 << 10,
        ..PoolSettings::default()
    };
    let fixture = Fixture::with(Mode::Endless, settings).await;
    assert_eq!(
        fixture.run_call(false).await,
        Outcome::Failed(Failure::BadAnswer)
    );
    fixture.wait_settled().await;
    let streamed = || fixture.test_leaf.streamed.load(SeqCst);
    eventually("the end of the stream", || {
        fixture.test_leaf.running.load(SeqCst) == 0
    })
    .await;
    // The bytes that were accepted, one flow-control window and the buffers of the sender.
    assert!(streamed() < 2 << 20, "{} bytes were sent", streamed());
}

/// Guards against a silent connection that remains in use, is reported as a crash of the leaf, or is replaced by
/// more than one connection.
#[tokio::test]
async fn silent_connections_are_replaced() {
    let fixture = Fixture::new(Mode::Normal).await;
    assert_matches!(fixture.run_call(false).await, Outcome::Hits { .. });
    fixture.test_leaf.freeze();
    assert_eq!(
        fixture.run_call(false).await,
        Outcome::Failed(Failure::Silent)
    );
    assert_matches!(fixture.run_call(false).await, Outcome::Hits { .. });
    assert_eq!(fixture.test_leaf.connections.load(SeqCst), 2);
    eventually("the silent connection to be closed", || {
        fixture.pool.states()[0].connections == 1
    })
    .await;
    fixture.test_leaf.freeze();
    fixture.test_leaf.accept_only.store(true, SeqCst);
    assert_eq!(
        fixture.run_call(false).await,
        Outcome::Failed(Failure::Silent)
    );
    fixture.test_leaf.crash.notify_waiters();
    eventually("the end of all connections", || {
        fixture.pool.states()[0].connections == 0
    })
    .await;
    assert!(
        fixture.ports.crashes.lock().unwrap().is_empty(),
        "no crash may be reported"
    );
    fixture.wait_settled().await;
}

/// Guards against a pause of this process being mistaken for a silent connection.
#[tokio::test]
async fn process_pause_is_not_silence() {
    let fixture = Fixture::new(Mode::Hang).await;
    let (_handle, mut replies) = fixture.start(fixture.batch("paused", 1, false));
    eventually("the call", || fixture.test_leaf.call_count() == 1).await;
    fixture.ports.clock_offset.store(600_000, SeqCst);
    assert_eq!(
        replies.next().await.outcome,
        Outcome::Failed(Failure::Deadline)
    );
    fixture.wait_settled().await;
    fixture.test_leaf.set_mode(Mode::Normal);
    assert_matches!(fixture.run_call(true).await, Outcome::Hits { .. });
    assert_eq!(fixture.test_leaf.connections.load(SeqCst), 1);
}

/// Guards against a graceful shutdown of a leaf that loses calls in flight, fails the next call or is reported as a
/// crash.
#[tokio::test]
async fn graceful_shutdown_loses_no_calls() {
    let fixture = Fixture::new(Mode::Delayed).await;
    let (_handle, mut replies) = fixture.start(fixture.batch("held", 1, false));
    eventually("the call", || fixture.test_leaf.call_count() == 1).await;
    fixture.close_gracefully().await;
    fixture.test_leaf.release.notify_waiters();
    assert_matches!(replies.next().await.outcome, Outcome::Hits { .. });
    // The leaf closes its connection before the call has ended.
    fixture.test_leaf.set_mode(Mode::Hang);
    let calls = fixture.test_leaf.call_count();
    let (_handle, mut replies) = fixture.start(fixture.batch("cut", 1, false));
    eventually("the call", || fixture.test_leaf.call_count() == calls + 1).await;
    fixture.close_gracefully().await;
    fixture.test_leaf.crash.notify_waiters();
    assert_eq!(
        replies.next().await.outcome,
        Outcome::Failed(Failure::Reset)
    );
    fixture.wait_settled().await;
    assert!(
        fixture.ports.crashes.lock().unwrap().is_empty(),
        "no crash may be reported"
    );
}

/// Guards against calls being sent to a leaf that accepts connections but never responds on them.
#[tokio::test]
async fn leaves_without_pong_get_no_calls() {
    let fixture = Fixture::new(Mode::Normal).await;
    fixture.test_leaf.accept_only.store(true, SeqCst);
    let unreachable = Outcome::NotRun(NotRun::Unreachable);
    assert_eq!(fixture.run_call(false).await, unreachable);
    sleep(PoolSettings::default().connect_retry_delay).await;
    assert_eq!(fixture.run_call(true).await, unreachable);
    fixture.test_leaf.accept_only.store(false, SeqCst);
    eventually("the pending connection attempt to fail", || {
        fixture.pool.states()[0].connections == 0
    })
    .await;
    sleep(PoolSettings::default().connect_retry_delay).await;
    assert_matches!(fixture.run_call(true).await, Outcome::Hits { .. });
    assert_eq!(fixture.test_leaf.call_count(), 1);
}

/// Guards against a crash that is not reported or whose calls are reported as "not run", and against further load
/// on a leaf that has just crashed.
#[tokio::test]
async fn resets_report_calls_in_flight() {
    let mut fixture = Fixture::new(Mode::Hang).await;
    let mut info = fixture.info();
    info.cold_capacity = 2;
    fixture.publish(Some(info));
    let (_one, mut first) = fixture.start(fixture.batch("one", 1, false));
    let (_two, mut second) = fixture.start(fixture.batch("two", 1, false));
    eventually("both calls", || fixture.test_leaf.call_count() == 2).await;
    fixture.test_leaf.crash.notify_waiters();
    let reset = Outcome::Failed(Failure::Reset);
    assert_eq!(first.next().await.outcome, reset);
    let reply = second.next().await;
    assert_eq!(reply.outcome, reset);
    assert!(
        reply.status.cold && reply.status.spare == 0,
        "lost calls count until their deadline"
    );
    let crashes = fixture.ports.crashes.lock().unwrap();
    let mut fingerprints = ["one", "two"].map(|text| CrashLedger::fingerprint(&service(), text));
    fingerprints.sort_unstable();
    let reported: Vec<_> = crashes
        .iter()
        .flat_map(|crash| crash.fingerprints.to_vec())
        .collect();
    assert_eq!(reported, fingerprints);
    assert!(!crashes[0].alone);
}

/// Guards against a suspect query that runs concurrently with other calls, and a quarantined query that runs at all.
#[tokio::test]
async fn suspect_queries_run_alone() {
    let fixture = Fixture::new(Mode::Hang).await;
    let (other, _) = fixture.start(fixture.batch("other", 1, false));
    eventually("the other call", || fixture.test_leaf.call_count() == 1).await;
    *fixture.ports.verdict.lock().unwrap() = Verdict::Suspect;
    let (_suspect, mut replies) = fixture.start(fixture.batch("suspect", 1, false));
    sleep(Duration::from_millis(50)).await;
    assert_eq!(
        fixture.test_leaf.call_count(),
        1,
        "the suspect query must not run beside another call"
    );
    fixture.test_leaf.set_mode(Mode::Normal);
    drop(other);
    assert_matches!(replies.next().await.outcome, Outcome::Hits { .. });
    assert_eq!(fixture.ports.safe_runs.load(SeqCst), 1);
    fixture.test_leaf.set_mode(Mode::Crash);
    assert_eq!(
        fixture.run_call(false).await,
        Outcome::Failed(Failure::Reset)
    );
    assert!(fixture.ports.crashes.lock().unwrap()[0].alone);
    *fixture.ports.verdict.lock().unwrap() = Verdict::Quarantined;
    assert_eq!(
        fixture.run_call(false).await,
        Outcome::NotRun(NotRun::Quarantined)
    );
    assert_eq!(
        (
            fixture.test_leaf.call_count(),
            fixture.test_leaf.max_running.load(SeqCst)
        ),
        (3, 1)
    );
}

/// Guards against cancelled or overdue calls that keep running on the leaf, and slots that are never freed.
#[tokio::test]
async fn cancellation_reaches_the_leaf() {
    let fixture = Fixture::new(Mode::Hang).await;
    let (handle, mut replies) = fixture.start(fixture.batch("many", 10, false));
    eventually("4 calls", || fixture.test_leaf.call_count() == 4).await;
    handle.cancel(0);
    assert_eq!(
        replies.next().await.outcome,
        Outcome::Failed(Failure::Cancelled)
    );
    handle.cancel(9);
    assert_matches!(
        replies.next().await,
        LeafReply {
            index: 9,
            outcome: Outcome::NotRun(_),
            ..
        }
    );
    eventually("a fifth call", || fixture.test_leaf.call_count() == 5).await;
    drop(handle);
    fixture.wait_settled().await;
    let test_leaf = &fixture.test_leaf;
    eventually("an idle leaf", || test_leaf.running.load(SeqCst) == 0).await;
    assert_eq!(
        (
            test_leaf.call_count(),
            test_leaf.cancelled.load(SeqCst),
            test_leaf.max_running.load(SeqCst)
        ),
        (5, 5, 4)
    );
    // A new leaf, since the median of the first one by now rules out calls with a short deadline.
    let fixture = Fixture::new(Mode::Hang).await;
    let mut batch = fixture.batch("short", 1, false);
    batch.budget = 1_000_000;
    let (_handle, mut replies) = fixture.start(batch);
    assert_eq!(
        replies.next().await.outcome,
        Outcome::Failed(Failure::Deadline)
    );
    let cancelled = || fixture.test_leaf.cancelled.load(SeqCst);
    eventually("the overdue call to be reset", || cancelled() == 1).await;
}

/// Guards against sending an at-most-once call twice, or on a connection without recent contact.
#[tokio::test]
async fn at_most_once_calls_are_sent_once() {
    let fixture = Fixture::new(Mode::Crash).await;
    assert_eq!(
        fixture.run_call(true).await,
        Outcome::Failed(Failure::Reset)
    );
    assert_eq!(fixture.test_leaf.call_count(), 1);
    assert_eq!(violation_count(), 0);

    // No contact is recent enough, so each call is preceded by a ping.
    let settings = PoolSettings {
        max_contact_age: Duration::ZERO,
        ..PoolSettings::default()
    };
    let fixture = Fixture::with(Mode::Normal, settings).await;
    assert_matches!(fixture.run_call(false).await, Outcome::Hits { .. });
    fixture.test_leaf.freeze();
    assert_eq!(
        fixture.run_call(true).await,
        Outcome::NotRun(NotRun::Unreachable)
    );
    assert_eq!(
        fixture.test_leaf.call_count(),
        1,
        "the call must not be sent"
    );
    assert_eq!(violation_count(), 0);
}

/// Guards against calls without a lease, calls that outlast it, and calls to a leaf that is leaving, taken out or
/// unknown.
#[tokio::test]
async fn lease_and_configuration_are_enforced() {
    let mut fixture = Fixture::new(Mode::Hang).await;
    let short = Clock.now() + Duration::from_millis(600);
    *fixture.ports.lease.lock().unwrap() = Some(short);
    let (_handle, mut replies) = fixture.start(fixture.batch("held", 5, false));
    for _ in 0..4 {
        assert_eq!(
            replies.next().await.outcome,
            Outcome::Failed(Failure::Deadline)
        );
    }
    assert_matches!(replies.next().await.outcome, Outcome::NotRun(_));
    let headers = fixture.test_leaf.requests.lock().unwrap()[0].0.clone();
    let deadline_ms: u64 = headers["x-deadline-ms"].to_str().unwrap().parse().unwrap();
    assert!(
        deadline_ms <= 500,
        "deadline of {deadline_ms} ms with a lease of 600 ms"
    );
    *fixture.ports.lease.lock().unwrap() = None;
    let holder = Some(NodeId::from("other"));
    assert_eq!(
        fixture.run_call(false).await,
        Outcome::NotRun(NotRun::NotOwner { holder })
    );

    *fixture.ports.lease.lock().unwrap() = Some(Clock.now() + Duration::from_secs(600));
    fixture.wait_settled().await;
    fixture.test_leaf.set_mode(Mode::Normal);
    assert_matches!(fixture.run_call(false).await, Outcome::Hits { .. });
    let calls = fixture.test_leaf.call_count();
    let info = fixture.info();
    let mut leaving = info.clone();
    leaving.leaving = true;
    fixture.publish(Some(leaving));
    assert_eq!(
        fixture.run_call(false).await,
        Outcome::NotRun(NotRun::Leaving)
    );
    fixture.view.domains.out.insert("a".into());
    fixture.publish(Some(info.clone()));
    assert_eq!(
        fixture.run_call(false).await,
        Outcome::NotRun(NotRun::Leaving)
    );
    fixture.publish(None);
    assert_eq!(
        fixture.run_call(false).await,
        Outcome::NotRun(NotRun::UnknownLeaf)
    );
    assert_eq!(fixture.test_leaf.call_count(), calls);
    fixture.view.domains.out.clear();
    fixture.publish(Some(info));
    assert_matches!(fixture.run_call(false).await, Outcome::Hits { .. });
    within("the pool to drain", fixture.pool.drain()).await;
}

/// Guards against more connections than a leaf accepts, more calls than it has slots, and a restart that is not
/// detected because no connection broke.
#[tokio::test]
async fn limits_and_restart_detection() {
    let fixture = Fixture::new(Mode::Normal).await;
    let status = || fixture.pool.status(&fixture.leaf).expect("known leaf");
    // On a busy machine, answers may be slow enough for the leaf to count as cold, so the number of rounds is not
    // fixed.
    let warm = async {
        loop {
            let (handle, mut replies) = fixture.start(fixture.batch("load", 16, false));
            for _ in 0..16 {
                assert_matches!(replies.next().await.outcome, Outcome::Hits { .. });
            }
            handle.finished().await;
            if !status().cold {
                break;
            }
        }
    };
    within("a warm leaf", warm).await;
    assert!(status().spare == 4 && status().median > 0, "{:?}", status());
    fixture.test_leaf.instance.store(2, SeqCst);
    assert_matches!(fixture.run_call(false).await, Outcome::Hits { .. });
    assert!(status().cold, "a new instance is cold");
    assert!(fixture.test_leaf.connections.load(SeqCst) <= 2);
    assert!(fixture.test_leaf.max_running.load(SeqCst) <= 4);
    assert_eq!(fixture.test_leaf.cancelled.load(SeqCst), 0);
    fixture.wait_settled().await;
}
