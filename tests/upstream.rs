//! The leaf pool against a small HTTP/2 leaf on loopback that misbehaves on request.

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

/// How the leaf answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Mode {
    #[default]
    Good,
    /// Answers after `release`.
    Held,
    Hang,
    Endless,
    Rubbish,
    OtherSnapshot,
    Conflict,
    Shed,
    Error,
    /// Closes the connection as a dying process would.
    Crash,
}

#[derive(Debug, Default)]
struct Fake {
    mode: Mutex<Mode>,
    instance: AtomicUsize,
    /// New connections are accepted and never served.
    mute: AtomicBool,
    connections: AtomicUsize,
    /// Connections opened so far go silent.
    silent: Mutex<Vec<Arc<AtomicBool>>>,
    crash: Notify,
    /// Ends connections as a planned stop would.
    stop: Notify,
    release: Notify,
    seen: Mutex<Vec<(http::HeaderMap, serde_json::Value)>>,
    running: AtomicUsize,
    peak: AtomicUsize,
    /// Calls dropped before they ended.
    cancelled: AtomicUsize,
    /// Bytes handed out by endless answers.
    streamed: AtomicUsize,
}

/// Counts a call that runs, and one that is dropped before its end.
struct Running(Arc<Fake>, bool);

impl Running {
    fn new(fake: &Arc<Fake>) -> Self {
        let now = fake.running.fetch_add(1, SeqCst) + 1;
        fake.peak.fetch_max(now, SeqCst);
        Self(fake.clone(), false)
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, SeqCst);
        self.0.cancelled.fetch_add(usize::from(!self.1), SeqCst);
    }
}

/// A byte stream that stops moving bytes for good when told to.
struct Gate(TcpStream, Arc<AtomicBool>);

impl AsyncRead for Gate {
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

impl AsyncWrite for Gate {
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

impl Fake {
    async fn start(mode: Mode) -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
        let address = listener.local_addr().expect("address");
        let fake = Arc::new(Self {
            mode: Mutex::new(mode),
            ..Self::default()
        });
        let accepting = fake.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                accepting.connections.fetch_add(1, SeqCst);
                tokio::spawn(accepting.clone().serve(stream));
            }
        });
        (fake, address)
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        if self.mute.load(SeqCst) {
            let _held = stream;
            return pending().await;
        }
        let gate = Arc::new(AtomicBool::new(false));
        self.silent.lock().unwrap().push(gate.clone());
        let fake = self.clone();
        let service = service_fn(move |request| fake.clone().answer(request));
        let connection = http2::Builder::new(TokioExecutor::new())
            .serve_connection(TokioIo::new(Gate(stream, gate)), service);
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

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> http::Result<Response<Body>> {
        let mut running = Running::new(&self);
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
            Mode::Good | Mode::Held => (response, answer(snapshot)),
            Mode::OtherSnapshot => (response, answer(snapshot + 1)),
            Mode::Rubbish => (response, "\u{0}{\"hits\":".to_owned()),
            Mode::Conflict => (response.status(409), r#"{"snapshot":8}"#.to_owned()),
            Mode::Shed => (
                response.status(503).header("x-not-run", "true"),
                String::new(),
            ),
            Mode::Error => (response.status(503), String::new()),
            Mode::Hang | Mode::Crash | Mode::Endless => (response, String::new()),
        };
        self.seen.lock().unwrap().push((head.headers, call));
        match mode {
            Mode::Hang => pending::<()>().await,
            Mode::Held => self.release.notified().await,
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

    fn set(&self, mode: Mode) {
        *self.mode.lock().unwrap() = mode;
    }

    fn silence(&self) {
        for gate in self.silent.lock().unwrap().iter() {
            gate.store(true, SeqCst);
        }
    }

    fn calls(&self) -> usize {
        self.seen.lock().unwrap().len()
    }
}

#[derive(Debug)]
struct TestPorts {
    /// Microseconds by which the clock has jumped ahead.
    jump: AtomicU64,
    lease: Mutex<Option<Time>>,
    verdict: Mutex<Verdict>,
    crashes: Mutex<Vec<CrashEvent>>,
    cleared: AtomicUsize,
}

impl Ports for TestPorts {
    type Io = TcpStream;

    fn now(&self) -> Time {
        Clock.now() + Duration::from_micros(self.jump.load(SeqCst))
    }

    fn lease_end(&self, _partition: &PartitionId) -> Option<Time> {
        self.lease.lock().unwrap().filter(|end| Clock.now() < *end)
    }

    fn holder(&self, _partition: &PartitionId) -> Option<NodeId> {
        Some("other".into())
    }

    fn verdict(&self, _print: Fingerprint) -> Verdict {
        *self.verdict.lock().unwrap()
    }

    fn ran_alone(&self, _print: Fingerprint) {
        self.cleared.fetch_add(1, SeqCst);
    }

    fn crashed(&self, event: CrashEvent) {
        self.crashes.lock().unwrap().push(event);
    }

    async fn connect(&self, leaf: &LeafId) -> io::Result<TcpStream> {
        connect_tcp(leaf).await
    }
}

struct Bench {
    fake: Arc<Fake>,
    ports: Arc<TestPorts>,
    pool: LeafPool<TestPorts>,
    leaf: LeafId,
    view: ConfigView,
}

fn service() -> ServiceName {
    "parts".into()
}

impl Bench {
    /// A leaf with 4 slots, all of them usable while it is cold.
    async fn new(mode: Mode) -> Self {
        Self::with(mode, PoolSettings::default()).await
    }

    async fn with(mode: Mode, settings: PoolSettings) -> Self {
        let (fake, address) = Fake::start(mode).await;
        let leaf = LeafId::from(address.to_string());
        let ports = Arc::new(TestPorts {
            jump: AtomicU64::new(0),
            lease: Mutex::new(Some(Clock.now() + Duration::from_secs(600))),
            verdict: Mutex::new(Verdict::Known),
            crashes: Mutex::default(),
            cleared: AtomicUsize::new(0),
        });
        let info = LeafInfo {
            domain: "a".into(),
            slots: 4,
            connections: 25,
            cold_capacity: 4,
            leaving: false,
        };
        let mut bench = Self {
            fake,
            pool: LeafPool::new(ports.clone(), settings),
            ports,
            view: ConfigView::default(),
            leaf,
        };
        bench.publish(Some(info));
        bench
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
    async fn ask(&self, once: bool) -> Outcome {
        let (handle, mut replies) = self.start(self.batch("jet \"0.74\"", 1, once));
        let outcome = replies.next().await.outcome;
        handle.finished().await;
        outcome
    }

    /// Lets the leaf announce the end of its connections, until calls use another one.
    async fn stop_connections(&self) {
        let before = self.fake.connections.load(SeqCst);
        self.fake.stop.notify_waiters();
        self.fake.set(Mode::Good);
        while self.fake.connections.load(SeqCst) == before {
            // A call that crosses the announcement is refused by the leaf, which is certain.
            let outcome = self.ask(true).await;
            assert_matches!(
                outcome,
                Outcome::Hits { .. } | Outcome::NotRun(NotRun::Shed)
            );
        }
    }

    async fn settled(&self) {
        eventually("calls to settle", || self.pool.states()[0].in_flight == 0).await;
        assert_eq!(violation_count(), 0);
    }
}

struct Replies(mpsc::UnboundedReceiver<LeafReply>);

impl Replies {
    async fn next(&mut self) -> LeafReply {
        within("a reply", self.0.recv())
            .await
            .expect("open channel")
    }
}

/// Bounds a wait so that a lost reply fails the test instead of blocking it; says nothing about speed.
async fn within<T>(what: &str, future: impl Future<Output = T>) -> T {
    let result = timeout(Duration::from_secs(20), future).await;
    result.unwrap_or_else(|_| panic!("no {what}"))
}

async fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    within(what, async {
        while !holds() {
            sleep(Duration::from_millis(2)).await;
        }
    })
    .await;
}

/// Guards against calls that lose their deadline, their trace or a part of their body on the way.
#[tokio::test]
async fn calls_carry_deadline_and_trace() {
    let bench = Bench::new(Mode::Good).await;
    assert_matches!(
        bench.ask(true).await,
        Outcome::Hits { snapshot: SnapshotId(SNAPSHOT), shard: ShardId(0), complete: true, hits }
            if hits.len() == 1
    );
    let seen = bench.fake.seen.lock().unwrap();
    let (headers, call) = &seen[0];
    let told: u64 = headers["x-deadline-ms"].to_str().unwrap().parse().unwrap();
    assert!((1..=1_500).contains(&told), "told {told} ms");
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

/// Guards against answers that are taken for something else: unusable ones as hits or as "not run".
#[tokio::test]
async fn answers_are_judged() {
    let bench = Bench::new(Mode::Good).await;
    let bad = Outcome::Failed(Failure::BadAnswer);
    let serving = Some(SnapshotId(8));
    for (mode, expected) in [
        (Mode::Rubbish, bad.clone()),
        (Mode::OtherSnapshot, bad.clone()),
        (Mode::Error, bad),
        (Mode::Conflict, Outcome::WrongSnapshot { serving }),
        (Mode::Shed, Outcome::NotRun(NotRun::Shed)),
    ] {
        bench.fake.set(mode);
        assert_eq!(bench.ask(false).await, expected, "{mode:?}");
    }
    bench.settled().await;
    assert!(bench.ports.crashes.lock().unwrap().is_empty());
}

/// Guards against an endless answer that fills the memory or keeps its slot.
#[tokio::test]
async fn endless_answers_are_cut() {
    let settings = PoolSettings {
        answer_bytes: 64 << 10,
        ..PoolSettings::default()
    };
    let bench = Bench::with(Mode::Endless, settings).await;
    assert_eq!(bench.ask(false).await, Outcome::Failed(Failure::BadAnswer));
    bench.settled().await;
    let streamed = || bench.fake.streamed.load(SeqCst);
    eventually("the end of the stream", || {
        bench.fake.running.load(SeqCst) == 0
    })
    .await;
    // What was accepted, one window and the buffers of the sender.
    assert!(streamed() < 2 << 20, "{} bytes were sent", streamed());
}

/// Guards against a connection that went silent being used on, being blamed on the leaf, or being replaced by more
/// than one other.
#[tokio::test]
async fn silent_connections_are_replaced() {
    let bench = Bench::new(Mode::Good).await;
    assert_matches!(bench.ask(false).await, Outcome::Hits { .. });
    bench.fake.silence();
    assert_eq!(bench.ask(false).await, Outcome::Failed(Failure::Silent));
    assert_matches!(bench.ask(false).await, Outcome::Hits { .. });
    assert_eq!(bench.fake.connections.load(SeqCst), 2);
    eventually("the silent connection to be closed", || {
        bench.pool.states()[0].connections == 1
    })
    .await;
    bench.fake.silence();
    bench.fake.mute.store(true, SeqCst);
    assert_eq!(bench.ask(false).await, Outcome::Failed(Failure::Silent));
    bench.fake.crash.notify_waiters();
    eventually("the end of all connections", || {
        bench.pool.states()[0].connections == 0
    })
    .await;
    assert!(bench.ports.crashes.lock().unwrap().is_empty(), "no crash");
    bench.settled().await;
}

/// Guards against a pause of this process being taken for silence of the leaf.
#[tokio::test]
async fn pauses_are_no_silence() {
    let bench = Bench::new(Mode::Hang).await;
    let (_handle, mut replies) = bench.start(bench.batch("paused", 1, false));
    eventually("the call", || bench.fake.calls() == 1).await;
    bench.ports.jump.store(600_000, SeqCst);
    assert_eq!(
        replies.next().await.outcome,
        Outcome::Failed(Failure::Deadline)
    );
    bench.settled().await;
    bench.fake.set(Mode::Good);
    assert_matches!(bench.ask(true).await, Outcome::Hits { .. });
    assert_eq!(bench.fake.connections.load(SeqCst), 1);
}

/// Guards against a planned stop of a leaf that loses the calls in flight, fails the next one or counts as a crash.
#[tokio::test]
async fn planned_stops_lose_nothing() {
    let bench = Bench::new(Mode::Held).await;
    let (_handle, mut replies) = bench.start(bench.batch("held", 1, false));
    eventually("the call", || bench.fake.calls() == 1).await;
    bench.stop_connections().await;
    bench.fake.release.notify_waiters();
    assert_matches!(replies.next().await.outcome, Outcome::Hits { .. });
    // The leaf gives up waiting for a call.
    bench.fake.set(Mode::Hang);
    let calls = bench.fake.calls();
    let (_handle, mut replies) = bench.start(bench.batch("cut", 1, false));
    eventually("the call", || bench.fake.calls() == calls + 1).await;
    bench.stop_connections().await;
    bench.fake.crash.notify_waiters();
    assert_eq!(
        replies.next().await.outcome,
        Outcome::Failed(Failure::Reset)
    );
    bench.settled().await;
    assert!(bench.ports.crashes.lock().unwrap().is_empty(), "no crash");
}

/// Guards against calls handed to a leaf that accepts connections and never answers on them.
#[tokio::test]
async fn mute_leaves_get_no_call() {
    let bench = Bench::new(Mode::Good).await;
    bench.fake.mute.store(true, SeqCst);
    let unreachable = Outcome::NotRun(NotRun::Unreachable);
    assert_eq!(bench.ask(false).await, unreachable);
    sleep(PoolSettings::default().retry_after).await;
    assert_eq!(bench.ask(true).await, unreachable);
    bench.fake.mute.store(false, SeqCst);
    eventually("the next attempt", || {
        bench.pool.states()[0].connections == 0
    })
    .await;
    sleep(PoolSettings::default().retry_after).await;
    assert_matches!(bench.ask(true).await, Outcome::Hits { .. });
    assert_eq!(bench.fake.calls(), 1);
}

/// Guards against a crash that is not reported, or whose calls are called "not run", and against load on a leaf
/// that just crashed.
#[tokio::test]
async fn resets_report_the_calls_in_flight() {
    let mut bench = Bench::new(Mode::Hang).await;
    let mut info = bench.info();
    info.cold_capacity = 2;
    bench.publish(Some(info));
    let (_one, mut first) = bench.start(bench.batch("one", 1, false));
    let (_two, mut second) = bench.start(bench.batch("two", 1, false));
    eventually("both calls", || bench.fake.calls() == 2).await;
    bench.fake.crash.notify_waiters();
    let reset = Outcome::Failed(Failure::Reset);
    assert_eq!(first.next().await.outcome, reset);
    let reply = second.next().await;
    assert_eq!(reply.outcome, reset);
    assert!(
        reply.status.cold && reply.status.spare == 0,
        "lost calls count until their deadline"
    );
    let crashes = bench.ports.crashes.lock().unwrap();
    let mut prints = ["one", "two"].map(|text| CrashLedger::fingerprint(&service(), text));
    prints.sort_unstable();
    let reported: Vec<_> = crashes
        .iter()
        .flat_map(|crash| crash.fingerprints.to_vec())
        .collect();
    assert_eq!(reported, prints);
    assert!(!crashes[0].alone);
}

/// Guards against a suspect that runs beside other calls, and a quarantined query that runs at all.
#[tokio::test]
async fn suspects_run_alone() {
    let bench = Bench::new(Mode::Hang).await;
    let (other, _) = bench.start(bench.batch("other", 1, false));
    eventually("the other call", || bench.fake.calls() == 1).await;
    *bench.ports.verdict.lock().unwrap() = Verdict::Suspect;
    let (_suspect, mut replies) = bench.start(bench.batch("suspect", 1, false));
    sleep(Duration::from_millis(50)).await;
    assert_eq!(bench.fake.calls(), 1, "not beside another call");
    bench.fake.set(Mode::Good);
    drop(other);
    assert_matches!(replies.next().await.outcome, Outcome::Hits { .. });
    assert_eq!(bench.ports.cleared.load(SeqCst), 1);
    bench.fake.set(Mode::Crash);
    assert_eq!(bench.ask(false).await, Outcome::Failed(Failure::Reset));
    assert!(bench.ports.crashes.lock().unwrap()[0].alone);
    *bench.ports.verdict.lock().unwrap() = Verdict::Quarantined;
    assert_eq!(bench.ask(false).await, Outcome::NotRun(NotRun::Quarantined));
    assert_eq!((bench.fake.calls(), bench.fake.peak.load(SeqCst)), (3, 1));
}

/// Guards against cancelled or overdue calls that go on running on the leaf, and slots that are never freed.
#[tokio::test]
async fn cancellation_reaches_the_leaf() {
    let bench = Bench::new(Mode::Hang).await;
    let (handle, mut replies) = bench.start(bench.batch("many", 10, false));
    eventually("4 calls", || bench.fake.calls() == 4).await;
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
    eventually("a fifth call", || bench.fake.calls() == 5).await;
    drop(handle);
    bench.settled().await;
    let fake = &bench.fake;
    eventually("an idle leaf", || fake.running.load(SeqCst) == 0).await;
    assert_eq!(
        (
            fake.calls(),
            fake.cancelled.load(SeqCst),
            fake.peak.load(SeqCst)
        ),
        (5, 5, 4)
    );
    // A second leaf: the first one has a median by now that rules out short calls.
    let bench = Bench::new(Mode::Hang).await;
    let mut batch = bench.batch("short", 1, false);
    batch.budget = 1_000_000;
    let (_handle, mut replies) = bench.start(batch);
    assert_eq!(
        replies.next().await.outcome,
        Outcome::Failed(Failure::Deadline)
    );
    let cancelled = || bench.fake.cancelled.load(SeqCst);
    eventually("the reset", || cancelled() == 1).await;
}

/// Guards against any second send of an at-most-once call, and against sending it on an unproven connection.
#[tokio::test]
async fn once_calls_are_sent_once() {
    let bench = Bench::new(Mode::Crash).await;
    assert_eq!(bench.ask(true).await, Outcome::Failed(Failure::Reset));
    assert_eq!(bench.fake.calls(), 1);
    assert_eq!(violation_count(), 0);

    // Every connection counts as unproven, so each call is preceded by a ping.
    let settings = PoolSettings {
        proven_within: Duration::ZERO,
        ..PoolSettings::default()
    };
    let bench = Bench::with(Mode::Good, settings).await;
    assert_matches!(bench.ask(false).await, Outcome::Hits { .. });
    bench.fake.silence();
    assert_eq!(bench.ask(true).await, Outcome::NotRun(NotRun::Unreachable));
    assert_eq!(bench.fake.calls(), 1, "nothing was sent");
    assert_eq!(violation_count(), 0);
}

/// Guards against calls without a lease, calls that outlive it, and calls to a leaf that leaves, is out or unknown.
#[tokio::test]
async fn lease_and_configuration_are_obeyed() {
    let mut bench = Bench::new(Mode::Hang).await;
    let short = Clock.now() + Duration::from_millis(600);
    *bench.ports.lease.lock().unwrap() = Some(short);
    let (_handle, mut replies) = bench.start(bench.batch("held", 5, false));
    for _ in 0..4 {
        assert_eq!(
            replies.next().await.outcome,
            Outcome::Failed(Failure::Deadline)
        );
    }
    assert_matches!(replies.next().await.outcome, Outcome::NotRun(_));
    let headers = bench.fake.seen.lock().unwrap()[0].0.clone();
    let told: u64 = headers["x-deadline-ms"].to_str().unwrap().parse().unwrap();
    assert!(told <= 500, "told {told} ms of a lease of 600 ms");
    *bench.ports.lease.lock().unwrap() = None;
    let holder = Some(NodeId::from("other"));
    assert_eq!(
        bench.ask(false).await,
        Outcome::NotRun(NotRun::NotOwner { holder })
    );

    *bench.ports.lease.lock().unwrap() = Some(Clock.now() + Duration::from_secs(600));
    bench.settled().await;
    bench.fake.set(Mode::Good);
    assert_matches!(bench.ask(false).await, Outcome::Hits { .. });
    let calls = bench.fake.calls();
    let info = bench.info();
    let mut leaving = info.clone();
    leaving.leaving = true;
    bench.publish(Some(leaving));
    assert_eq!(bench.ask(false).await, Outcome::NotRun(NotRun::Leaving));
    bench.view.domains.out.insert("a".into());
    bench.publish(Some(info.clone()));
    assert_eq!(bench.ask(false).await, Outcome::NotRun(NotRun::Leaving));
    bench.publish(None);
    assert_eq!(bench.ask(false).await, Outcome::NotRun(NotRun::UnknownLeaf));
    assert_eq!(bench.fake.calls(), calls);
    bench.view.domains.out.clear();
    bench.publish(Some(info));
    assert_matches!(bench.ask(false).await, Outcome::Hits { .. });
    within("drain", bench.pool.drain()).await;
}

/// Guards against more connections than a leaf accepts, more calls than it has slots, and a restart that goes
/// unnoticed because no connection broke.
#[tokio::test]
async fn load_and_restarts() {
    let bench = Bench::new(Mode::Good).await;
    let status = || bench.pool.status(&bench.leaf).expect("status");
    // A busy machine may make answers slow enough to count as cold, so there is no fixed number of rounds.
    let warm = async {
        loop {
            let (handle, mut replies) = bench.start(bench.batch("load", 16, false));
            for _ in 0..16 {
                assert_matches!(replies.next().await.outcome, Outcome::Hits { .. });
            }
            handle.finished().await;
            if !status().cold {
                break;
            }
        }
    };
    within("warm leaf", warm).await;
    assert!(status().spare == 4 && status().median > 0, "{:?}", status());
    bench.fake.instance.store(2, SeqCst);
    assert_matches!(bench.ask(false).await, Outcome::Hits { .. });
    assert!(status().cold, "a new instance is cold");
    assert!(bench.fake.connections.load(SeqCst) <= 2);
    assert!(bench.fake.peak.load(SeqCst) <= 4);
    assert_eq!(bench.fake.cancelled.load(SeqCst), 0);
    bench.settled().await;
}
