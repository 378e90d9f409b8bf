//! Cost of leaf calls in the upstream adapter, between nodes and in the query plan.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    task::{Context as TaskContext, Poll},
    time::Duration,
};

use cranberrychute::{
    adapter::{
        Clock,
        peer::PeerTransport,
        upstream::{LeafPool, PoolSettings, Ports, connect_tcp},
    },
    core::{
        LeafId, NodeId, PartitionId, ServiceName, ShardId, SnapshotId, Time,
        call::{Hit, LeafBatch, LeafCall, LeafStatus, Outcome},
        config::{
            ConfigView, DomainList, LeafInfo, ServiceMap, ServicePolicy, Shard, Snapshot,
            SnapshotState,
        },
        crash::{self, CrashEvent, Fingerprint},
        query::{
            Context, CrashView, ExtraCallBudget, HealthSettings, LeafHealth, Query, QueryAction,
            QueryPlan, Verdict,
        },
    },
};
use cranberrychute_emulator::LeafSpec;
use futures::{StreamExt, stream};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpStream, UdpSocket},
    sync::mpsc,
    time::sleep,
};

use crate::{
    child::{ChildProcess, identity},
    measure::{Table, add_fit, process_cpu_us, resident_kib},
};

pub(crate) const SEED: u64 = 11;
pub(crate) const SNAPSHOT: u64 = 1;
/// Shards of the emulated index. The widest query calls one leaf for each.
pub(crate) const SHARDS: u32 = 500;
/// Leaf calls per query.
const QUERY_WIDTHS: [u32; 4] = [1, 10, 100, 500];
/// Concurrent queries.
const CONCURRENT_QUERIES: usize = 4;
/// Leaf calls per measured point.
const CALLS_PER_POINT: u32 = 30_000;
/// Minimum number of queries per measured point.
const MIN_QUERIES: u32 = 60;
/// Query text that matches one line of the example data well.
const QUERY_TEXT: &str = "jet 0.74 propane";

fn service() -> ServiceName {
    "parts".into()
}

fn query_count(width: u32) -> u32 {
    // Queries with one call cost more per call; a fifth of the calls takes a similar time.
    let calls = if width == 1 {
        CALLS_PER_POINT / 5
    } else {
        CALLS_PER_POINT
    };
    (calls / width).max(MIN_QUERIES)
}

/// Returns hits like those in the answer of a leaf.
pub(crate) fn hits(shard: u32, count: u32) -> Vec<Hit> {
    let hit = |rank: u32| Hit {
        id: format!("JET-{shard:04}-{rank}").into(),
        score: f64::from(rank) + f64::from(shard % 17),
        text:
            "Brass jet bore 0.74 mm thread M10x1 for propane G31 at 37 mbar, about 2.6 kW on the \
               wok ring. Stamp 74 on the face. Fit with copper washer, do not drill out."
                .into(),
    };
    (0..count).map(hit).collect()
}

fn batch(calls: Vec<LeafCall>) -> LeafBatch {
    LeafBatch {
        request: "0123456789abcdef".into(),
        service: service(),
        trace: Some("00-0123456789abcdef0123456789abcdef-0123456789abcdef-01".into()),
        budget: 1_400_000,
        text: QUERY_TEXT.into(),
        top: 1,
        calls,
    }
}

fn call(leaf: LeafId, shard: u32) -> LeafCall {
    LeafCall {
        leaf,
        snapshot: SnapshotId(SNAPSHOT),
        shard: ShardId(shard),
        once: false,
        alone: false,
        extra: false,
    }
}

/// A TCP stream that counts the bytes read and written.
#[derive(Debug)]
pub(crate) struct CountingStream(TcpStream, Arc<AtomicU64>);

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.0).poll_read(cx, buf);
        self.1
            .fetch_add((buf.filled().len() - before) as u64, Relaxed);
        poll
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.0).poll_write(cx, buf);
        if let Poll::Ready(Ok(written)) = poll {
            self.1.fetch_add(written as u64, Relaxed);
        }
        poll
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.0).poll_write_vectored(cx, bufs);
        if let Poll::Ready(Ok(written)) = poll {
            self.1.fetch_add(written as u64, Relaxed);
        }
        poll
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut TaskContext<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut TaskContext<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

/// Ports of a node that holds all leases.
#[derive(Debug, Default)]
pub(crate) struct OwnerPorts {
    bytes: Arc<AtomicU64>,
}

impl Ports for OwnerPorts {
    type Io = CountingStream;

    fn now(&self) -> Time {
        Clock.now()
    }

    fn lease_end(&self, _partition: &PartitionId) -> Option<Time> {
        Some(Clock.now() + Duration::from_secs(2))
    }

    fn holder(&self, _partition: &PartitionId) -> Option<NodeId> {
        None
    }

    fn verdict(&self, _fingerprint: Fingerprint) -> crash::Verdict {
        crash::Verdict::Known
    }

    fn record_safe_run(&self, _fingerprint: Fingerprint) {}

    fn record_crash(&self, event: CrashEvent) {
        panic!("unexpected leaf crash: {event:?}");
    }

    async fn connect(&self, leaf: &LeafId) -> io::Result<CountingStream> {
        Ok(CountingStream(connect_tcp(leaf).await?, self.bytes.clone()))
    }
}

/// A leaf pool connected to the emulated upstream.
struct Owner {
    pool: Arc<LeafPool<OwnerPorts>>,
    ports: Arc<OwnerPorts>,
    /// The leaf of each shard.
    leaves: Vec<LeafId>,
    _upstream: ChildProcess,
}

impl Owner {
    fn start(leaves: usize, slots: u16) -> Self {
        let arguments = ["upstream".into(), leaves.to_string(), slots.to_string()];
        let (process, line) = ChildProcess::start(&arguments);
        let specs: Vec<LeafSpec> = serde_json::from_str(&line).expect("leaf specs deserialize");
        let info = LeafInfo {
            domain: "a".into(),
            slots,
            connections: 110,
            cold_capacity: slots,
            leaving: false,
        };
        let id = |spec: &LeafSpec| LeafId::from(spec.address.to_string());
        let map = ServiceMap {
            snapshots: Vec::new(),
            leaves: specs.iter().map(|spec| (id(spec), info.clone())).collect(),
        };
        let mut view = ConfigView::default();
        view.maps.insert(service(), Arc::new(map));
        let ports = Arc::new(OwnerPorts::default());
        let pool = Arc::new(LeafPool::new(ports.clone(), PoolSettings::default()));
        pool.update(&view);
        let shards = SHARDS as usize;
        Self {
            pool,
            ports,
            leaves: (0..shards).map(|i| id(&specs[i % specs.len()])).collect(),
            _upstream: process,
        }
    }

    /// Runs queries of `width` leaf calls each and returns the number of calls answered with hits.
    async fn run(&self, width: u32, queries: u32) -> u64 {
        let run_one = |index: u32| {
            let first = index * width;
            let calls = (first..first + width).map(|i| {
                let shard = i % SHARDS;
                call(self.leaves[shard as usize].clone(), shard)
            });
            let batch = batch(calls.collect());
            async move {
                let (sender, mut replies) = mpsc::unbounded_channel();
                self.pool.run(batch, sender).await;
                let mut answered = 0;
                while let Ok(reply) = replies.try_recv() {
                    answered += u64::from(matches!(reply.outcome, Outcome::Hits { .. }));
                }
                answered
            }
        };
        let runs = stream::iter((0..queries).map(run_one)).buffer_unordered(CONCURRENT_QUERIES);
        runs.fold(0, |sum, answered| async move { sum + answered })
            .await
    }
}

/// Measures CPU and bytes of calls through the upstream adapter.
pub(crate) async fn upstream() {
    let mut table = Table::new(
        "upstream",
        "leaves/calls,queries,answered %,CPU us per query,CPU us per call,bytes per query,bytes per call",
    );
    let mut fits = Vec::new();
    for (leaves, slots) in [(500, 6), (20, 100)] {
        let owner = Owner::start(leaves, slots);
        owner.run(SHARDS, 20).await;
        let (mut cpu, mut bytes) = (Vec::new(), Vec::new());
        for width in QUERY_WIDTHS {
            let count = query_count(width);
            let before = (process_cpu_us(), owner.ports.bytes.load(Relaxed));
            let answered = owner.run(width, count).await;
            let used = process_cpu_us() - before.0;
            let transferred = (owner.ports.bytes.load(Relaxed) - before.1) as f64;
            let (n, w) = (f64::from(count), f64::from(width));
            let answered_percent = 100.0 * answered as f64 / (n * w);
            table.row(
                format!("{leaves}/{width}"),
                &[
                    n,
                    answered_percent,
                    used / n,
                    used / n / w,
                    transferred / n,
                    transferred / n / w,
                ],
            );
            cpu.push((w, used / n));
            bytes.push((w, transferred / n));
        }
        fits.push((format!("{leaves} leaves CPU us"), cpu));
        fits.push((format!("{leaves} leaves bytes"), bytes));
    }
    let mut table = Table::new("upstream-fit", "series,per query,per leaf call");
    for (label, points) in fits {
        add_fit(&mut table, &label, &points);
    }
}

/// Measures the memory per leaf with its connections.
pub(crate) async fn leaf_memory() {
    let mut table = Table::new("leaf-memory", "leaves,connections,resident KiB more");
    let owner = Owner::start(SHARDS as usize, 6);
    let before = resident_kib();
    let mut points = Vec::new();
    let mut connected = 0;
    for count in [50, 100, 200, 350, 500] {
        let calls =
            (connected..count).map(|shard| call(owner.leaves[shard as usize].clone(), shard));
        for chunk in calls.collect::<Vec<_>>().chunks(50) {
            let (sender, _replies) = mpsc::unbounded_channel();
            owner.pool.run(batch(chunk.to_vec()), sender).await;
        }
        connected = count;
        let connections: usize = owner
            .pool
            .states()
            .iter()
            .map(|state| state.connections)
            .sum();
        let growth = resident_kib() - before;
        table.row(count, &[connections as f64, growth]);
        points.push((f64::from(count), growth));
    }
    let mut table = Table::new("leaf-memory-fit", "series,KiB,KiB per leaf with connection");
    add_fit(&mut table, "resident", &points);
}

/// Sends one batch of `width` calls per query from an entry node and returns the number of replies.
async fn send_batches(
    entry: &PeerTransport,
    to: &NodeId,
    address: SocketAddr,
    width: u32,
    queries: u32,
) -> u64 {
    let leaf = LeafId::from("10.20.30.40:9000");
    let run_one = |_| {
        let calls = (0..width).map(|shard| call(leaf.clone(), shard)).collect();
        async move {
            let (replies, mut inbox) = mpsc::channel(width as usize);
            let (_cancel, cancels) = mpsc::channel(1);
            let sent = entry.batch(to, address, batch(calls), &replies, cancels);
            sent.await.expect("peer answers the batch");
            let mut answered = 0;
            while inbox.try_recv().is_ok() {
                answered += 1;
            }
            answered
        }
    };
    let runs = stream::iter((0..queries).map(run_one)).buffer_unordered(CONCURRENT_QUERIES);
    runs.fold(0, |sum, answered| async move { sum + answered })
        .await
}

/// Measures CPU and bytes of batches between an entry node and an owner.
pub(crate) async fn peer() {
    let (mut owner, line) = ChildProcess::start(&["peers".into(), "1".into()]);
    let addresses: Vec<SocketAddr> =
        serde_json::from_str(&line).expect("peer addresses deserialize");
    let address = addresses[0];
    let to = NodeId::from("n0");
    let bind = || PeerTransport::bind(SocketAddr::from(([127, 0, 0, 1], 0)), identity("e".into()));
    let entry = bind().expect("bind to loopback");
    let (proxy_address, bytes) = counting_proxy(address).await.expect("bind to loopback");
    let proxied_entry = bind().expect("bind to loopback");
    send_batches(&entry, &to, address, 100, 50).await;
    send_batches(&proxied_entry, &to, proxy_address, 100, 50).await;
    let mut table = Table::new(
        "peer",
        "calls per batch,batches,entry CPU us per batch,owner CPU us per batch,entry CPU us per call,owner CPU us per call,bytes per batch,bytes per call",
    );
    let (mut sender, mut receiver, mut sizes) = (Vec::new(), Vec::new(), Vec::new());
    for width in QUERY_WIDTHS {
        let count = query_count(width);
        let before = (process_cpu_us(), owner.usage().0);
        let answered = send_batches(&entry, &to, address, width, count).await;
        let used = (process_cpu_us() - before.0, owner.usage().0 - before.1);
        assert_eq!(answered, u64::from(width) * u64::from(count));
        let proxied_batches = (count / 10).max(20);
        let start = bytes.load(Relaxed);
        send_batches(&proxied_entry, &to, proxy_address, width, proxied_batches).await;
        let transferred = (bytes.load(Relaxed) - start) as f64 / f64::from(proxied_batches);
        let (n, w) = (f64::from(count), f64::from(width));
        table.row(
            width,
            &[
                n,
                used.0 / n,
                used.1 / n,
                used.0 / n / w,
                used.1 / n / w,
                transferred,
                transferred / w,
            ],
        );
        sender.push((w, used.0 / n));
        receiver.push((w, used.1 / n));
        sizes.push((w, transferred));
    }
    let mut table = Table::new("peer-fit", "series,per batch,per leaf call");
    add_fit(&mut table, "entry CPU us", &sender);
    add_fit(&mut table, "owner CPU us", &receiver);
    add_fit(&mut table, "bytes, both ways", &sizes);
}

/// Starts a UDP proxy to `to` that counts the bytes of both directions.
async fn counting_proxy(to: SocketAddr) -> io::Result<(SocketAddr, Arc<AtomicU64>)> {
    let front = UdpSocket::bind("127.0.0.1:0").await?;
    let back = UdpSocket::bind("127.0.0.1:0").await?;
    back.connect(to).await?;
    let address = front.local_addr()?;
    let bytes = Arc::new(AtomicU64::new(0));
    let count = bytes.clone();
    tokio::spawn(async move {
        let (mut inbound, mut outbound) = (vec![0; 65_536], vec![0; 65_536]);
        let mut client = None;
        loop {
            tokio::select! {
                Ok((length, from)) = front.recv_from(&mut inbound) => {
                    client = Some(from);
                    count.fetch_add(length as u64, Relaxed);
                    let _ = back.send(&inbound[..length]).await;
                }
                Ok(length) = back.recv(&mut outbound) => {
                    count.fetch_add(length as u64, Relaxed);
                    if let Some(client) = client {
                        let _ = front.send_to(&outbound[..length], client).await;
                    }
                }
            }
        }
    });
    Ok((address, bytes))
}

/// Measures memory and CPU of idle connections between nodes.
pub(crate) async fn peer_connections() {
    const COUNTS: [usize; 3] = [50, 100, 200];
    /// Measurement period for the CPU of idle connections.
    const IDLE_TIME: Duration = Duration::from_secs(3);
    let local = SocketAddr::from(([127, 0, 0, 1], 0));
    let bind = |name: String| PeerTransport::bind(local, identity(name)).expect("bind to loopback");
    let mut table = Table::new(
        "peer-connections",
        "side/connections,resident KiB more,idle CPU us per connection and second,connect CPU us",
    );
    let mut fits = Vec::new();
    {
        let (_owners, line) = ChildProcess::start(&["peers".into(), COUNTS[2].to_string()]);
        let addresses: Vec<SocketAddr> =
            serde_json::from_str(&line).expect("peer addresses deserialize");
        let entry = bind("e".into());
        let before = resident_kib();
        let (mut memory, mut connected) = (Vec::new(), 0);
        for count in COUNTS {
            let start = process_cpu_us();
            for (i, address) in addresses.iter().enumerate().take(count).skip(connected) {
                send_batches(&entry, &NodeId::from(format!("n{i}")), *address, 1, 1).await;
            }
            let connect = (process_cpu_us() - start) / (count - connected) as f64;
            connected = count;
            let growth = resident_kib() - before;
            let start = process_cpu_us();
            sleep(IDLE_TIME).await;
            let idle = (process_cpu_us() - start) / IDLE_TIME.as_secs_f64() / count as f64;
            table.row(format!("opened/{count}"), &[growth, idle, connect]);
            memory.push((count as f64, growth));
        }
        fits.push(("opened", memory));
    }
    let (mut owner, line) = ChildProcess::start(&["peers".into(), "1".into()]);
    let addresses: Vec<SocketAddr> =
        serde_json::from_str(&line).expect("peer addresses deserialize");
    let before = owner.usage().1;
    let (mut memory, mut entries) = (Vec::new(), Vec::new());
    for count in COUNTS {
        let start = owner.usage().0;
        let first = entries.len();
        while entries.len() < count {
            let entry = bind(format!("e{}", entries.len()));
            send_batches(&entry, &NodeId::from("n0"), addresses[0], 1, 1).await;
            entries.push(entry);
        }
        let (cpu, kib) = owner.usage();
        sleep(IDLE_TIME).await;
        let idle = (owner.usage().0 - cpu) / IDLE_TIME.as_secs_f64() / count as f64;
        let accept = (cpu - start) / (count - first) as f64;
        table.row(format!("accepted/{count}"), &[kib - before, idle, accept]);
        memory.push((count as f64, kib - before));
    }
    fits.push(("accepted", memory));
    let mut table = Table::new("peer-connections-fit", "side,KiB,KiB per connection");
    for (label, points) in fits {
        add_fit(&mut table, label, &points);
    }
}

/// Reports every query as known, so that none needs a canary request.
struct KnownQueries;

impl CrashView for KnownQueries {
    fn verdict(&self, _: Time, _: &ServiceName, _: &str) -> Verdict {
        Verdict::Known
    }
}

/// Measures the query plan: start, processing of all replies and merge.
pub(crate) fn plan() {
    let mut table = Table::new("plan", "calls,queries,CPU us per query,CPU us per call");
    let mut points = Vec::new();
    let policy = r#"{"deadline_ms": 400, "max_deadline_ms": 2000, "max_top": 100}"#;
    let policy: Arc<ServicePolicy> =
        Arc::new(serde_json::from_str(policy).expect("policy deserializes"));
    for width in QUERY_WIDTHS {
        let name = |leaf: u32| LeafId::from(format!("10.0.{}.{}:80", leaf / 256, leaf % 256));
        let leaves = width * 2;
        let info = |leaf: u32| LeafInfo {
            domain: format!("d{}", leaf % 15).into(),
            slots: 6,
            connections: 110,
            cold_capacity: 1,
            leaving: false,
        };
        let shard = |shard: u32| Shard {
            shard: ShardId(shard),
            leaves: (0..2).map(|replica| name(shard * 2 + replica)).collect(),
        };
        let map = Arc::new(ServiceMap {
            snapshots: vec![Snapshot {
                id: SnapshotId(SNAPSHOT),
                state: SnapshotState::Serving,
                shards: (0..width).map(shard).collect(),
            }],
            leaves: (0..leaves).map(|leaf| (name(leaf), info(leaf))).collect(),
        });
        let domains = DomainList::default();
        let mut health = LeafHealth::new(HealthSettings::default());
        let mut budget = ExtraCallBudget::new();
        let mut rng = Pcg64::seed_from_u64(SEED);
        let count = query_count(width);
        let status = LeafStatus {
            spare: 4,
            median: 3_000,
            ..LeafStatus::default()
        };
        let (mut used, mut now) = (0.0, Time(0));
        for _ in 0..count {
            let mut context = Context {
                policy: &policy,
                map: &map,
                domains: &domains,
                health: &mut health,
                budget: &mut budget,
                crash: &KnownQueries,
                rng: &mut rng,
            };
            let query = Query {
                request: "0123456789abcdef".into(),
                service: service(),
                text: QUERY_TEXT.into(),
                top: 10,
                deadline: None,
            };
            let mut replies: Vec<Outcome> = (0..width)
                .map(|shard| Outcome::Hits {
                    snapshot: SnapshotId(SNAPSHOT),
                    shard: ShardId(shard),
                    complete: true,
                    hits: hits(shard, 1),
                })
                .rev()
                .collect();
            let mut out = Vec::new();
            let start = process_cpu_us();
            let mut plan =
                QueryPlan::start(now, query, &mut context, &mut out).expect("plan starts");
            let mut sent: Vec<(_, ShardId)> = out
                .drain(..)
                .filter_map(|action| match action {
                    QueryAction::Send {
                        call, leaf_call, ..
                    } => Some((call, leaf_call.shard)),
                    _ => None,
                })
                .collect();
            sent.sort_by_key(|(_, shard)| shard.0);
            now = now + Duration::from_millis(3);
            for (call, _) in sent {
                let outcome = replies.pop().expect("one reply per shard");
                plan.on_reply(now, call, outcome, Some(status), &mut context, &mut out);
            }
            used += process_cpu_us() - start;
            assert!(plan.is_finished());
        }
        let (n, w) = (f64::from(count), f64::from(width));
        table.row(width, &[n, used / n, used / n / w]);
        points.push((w, used / n));
    }
    let mut table = Table::new("plan-fit", "series,per query,per leaf call");
    add_fit(&mut table, "CPU us", &points);
}
