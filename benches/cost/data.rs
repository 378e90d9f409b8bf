//! The path of leaf calls: upstream adapter, hop between nodes, decision core.

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
    child::{Helper, identity},
    measure::{Table, add_fit, process_cpu, resident},
};

pub(crate) const SEED: u64 = 11;
pub(crate) const SNAPSHOT: u64 = 1;
/// Shards of the emulated index, one per leaf call of the widest query.
pub(crate) const SHARDS: u32 = 500;
/// Leaf calls of one query.
const WIDTHS: [u32; 4] = [1, 10, 100, 500];
/// Queries in progress at a time.
const IN_FLIGHT: usize = 4;
/// Leaf calls measured per point, and the least number of queries.
const CALLS: u32 = 30_000;
const MIN_QUERIES: u32 = 60;
/// One line of the example data matches this text well.
const TEXT: &str = "jet 0.74 propane";

fn service() -> ServiceName {
    "parts".into()
}

fn queries(width: u32) -> u32 {
    // Narrow queries cost more per call; a fifth of the calls gives them a similar time.
    let calls = if width == 1 { CALLS / 5 } else { CALLS };
    (calls / width).max(MIN_QUERIES)
}

/// Returns hits as a leaf gives them.
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
        text: TEXT.into(),
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

/// A byte stream that counts what passes.
#[derive(Debug)]
pub(crate) struct Counted(TcpStream, Arc<AtomicU64>);

impl AsyncRead for Counted {
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

impl AsyncWrite for Counted {
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

/// A node that holds every lease.
#[derive(Debug, Default)]
pub(crate) struct OwnerPorts {
    bytes: Arc<AtomicU64>,
}

impl Ports for OwnerPorts {
    type Io = Counted;

    fn now(&self) -> Time {
        Clock.now()
    }

    fn lease_end(&self, _partition: &PartitionId) -> Option<Time> {
        Some(Clock.now() + Duration::from_secs(2))
    }

    fn holder(&self, _partition: &PartitionId) -> Option<NodeId> {
        None
    }

    fn verdict(&self, _print: Fingerprint) -> crash::Verdict {
        crash::Verdict::Known
    }

    fn record_safe_run(&self, _print: Fingerprint) {}

    fn record_crash(&self, event: CrashEvent) {
        panic!("a leaf crashed: {event:?}");
    }

    async fn connect(&self, leaf: &LeafId) -> io::Result<Counted> {
        Ok(Counted(connect_tcp(leaf).await?, self.bytes.clone()))
    }
}

/// A pool with the emulated upstream behind it.
struct Owner {
    pool: Arc<LeafPool<OwnerPorts>>,
    ports: Arc<OwnerPorts>,
    /// The leaf of each shard.
    leaves: Vec<LeafId>,
    _upstream: Helper,
}

impl Owner {
    fn start(leaves: usize, slots: u16) -> Self {
        let arguments = ["upstream".into(), leaves.to_string(), slots.to_string()];
        let (helper, line) = Helper::start(&arguments);
        let specs: Vec<LeafSpec> = serde_json::from_str(&line).expect("specs");
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
            leaves: (0..shards).map(|at| id(&specs[at % specs.len()])).collect(),
            _upstream: helper,
        }
    }

    /// Runs queries and returns the calls that brought hits.
    async fn run(&self, width: u32, queries: u32) -> u64 {
        let one = |number: u32| {
            let first = number * width;
            let calls = (first..first + width).map(|at| {
                let shard = at % SHARDS;
                call(self.leaves[shard as usize].clone(), shard)
            });
            let batch = batch(calls.collect());
            async move {
                let (sender, mut replies) = mpsc::unbounded_channel();
                self.pool.run(batch, sender).await;
                let mut good = 0;
                while let Ok(reply) = replies.try_recv() {
                    good += u64::from(matches!(reply.outcome, Outcome::Hits { .. }));
                }
                good
            }
        };
        let runs = stream::iter((0..queries).map(one)).buffer_unordered(IN_FLIGHT);
        runs.fold(0, |sum, good| async move { sum + good }).await
    }
}

/// Measures calls through the upstream adapter.
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
        for width in WIDTHS {
            let count = queries(width);
            let before = (process_cpu(), owner.ports.bytes.load(Relaxed));
            let good = owner.run(width, count).await;
            let used = process_cpu() - before.0;
            let moved = (owner.ports.bytes.load(Relaxed) - before.1) as f64;
            let (n, w) = (f64::from(count), f64::from(width));
            let share = 100.0 * good as f64 / (n * w);
            table.row(
                format!("{leaves}/{width}"),
                &[n, share, used / n, used / n / w, moved / n, moved / n / w],
            );
            cpu.push((w, used / n));
            bytes.push((w, moved / n));
        }
        fits.push((format!("{leaves} leaves CPU us"), cpu));
        fits.push((format!("{leaves} leaves bytes"), bytes));
    }
    let mut table = Table::new("upstream-fit", "series,per query,per leaf call");
    for (label, points) in fits {
        add_fit(&mut table, &label, &points);
    }
}

/// Measures the memory of leaves with their connections.
pub(crate) async fn leaf_memory() {
    let mut table = Table::new("leaf-memory", "leaves,connections,resident KiB more");
    let owner = Owner::start(SHARDS as usize, 6);
    let before = resident();
    let mut points = Vec::new();
    let mut done = 0;
    for count in [50, 100, 200, 350, 500] {
        let calls = (done..count).map(|shard| call(owner.leaves[shard as usize].clone(), shard));
        for chunk in calls.collect::<Vec<_>>().chunks(50) {
            let (sender, _replies) = mpsc::unbounded_channel();
            owner.pool.run(batch(chunk.to_vec()), sender).await;
        }
        done = count;
        let connections: usize = owner
            .pool
            .states()
            .iter()
            .map(|state| state.connections)
            .sum();
        let more = resident() - before;
        table.row(count, &[connections as f64, more]);
        points.push((f64::from(count), more));
    }
    let mut table = Table::new("leaf-memory-fit", "series,KiB,KiB per leaf with connection");
    add_fit(&mut table, "resident", &points);
}

/// The entry side of the hop.
async fn hop(
    entry: &PeerTransport,
    to: &NodeId,
    address: SocketAddr,
    width: u32,
    queries: u32,
) -> u64 {
    let leaf = LeafId::from("10.20.30.40:9000");
    let one = |_| {
        let calls = (0..width).map(|shard| call(leaf.clone(), shard)).collect();
        async move {
            let (replies, mut inbox) = mpsc::channel(width as usize);
            let (_cancel, cancels) = mpsc::channel(1);
            let sent = entry.batch(to, address, batch(calls), &replies, cancels);
            sent.await.expect("the peer lives");
            let mut good = 0;
            while inbox.try_recv().is_ok() {
                good += 1;
            }
            good
        }
    };
    let runs = stream::iter((0..queries).map(one)).buffer_unordered(IN_FLIGHT);
    runs.fold(0, |sum, good| async move { sum + good }).await
}

/// Measures batches between an entry node and an owner.
pub(crate) async fn peer() {
    let (mut owner, line) = Helper::start(&["peers".into(), "1".into()]);
    let addresses: Vec<SocketAddr> = serde_json::from_str(&line).expect("addresses");
    let address = addresses[0];
    let to = NodeId::from("n0");
    let bind = || PeerTransport::bind(SocketAddr::from(([127, 0, 0, 1], 0)), identity("e".into()));
    let entry = bind().expect("loopback");
    let (counting, bytes) = relay_udp(address).await.expect("loopback");
    let counted = bind().expect("loopback");
    hop(&entry, &to, address, 100, 50).await;
    hop(&counted, &to, counting, 100, 50).await;
    let mut table = Table::new(
        "peer",
        "calls per batch,batches,entry CPU us per batch,owner CPU us per batch,entry CPU us per call,owner CPU us per call,bytes per batch,bytes per call",
    );
    let (mut sender, mut receiver, mut sizes) = (Vec::new(), Vec::new(), Vec::new());
    for width in WIDTHS {
        let count = queries(width);
        let before = (process_cpu(), owner.usage().0);
        let good = hop(&entry, &to, address, width, count).await;
        let used = (process_cpu() - before.0, owner.usage().0 - before.1);
        assert_eq!(good, u64::from(width) * u64::from(count));
        let some = (count / 10).max(20);
        let start = bytes.load(Relaxed);
        hop(&counted, &to, counting, width, some).await;
        let moved = (bytes.load(Relaxed) - start) as f64 / f64::from(some);
        let (n, w) = (f64::from(count), f64::from(width));
        table.row(
            width,
            &[
                n,
                used.0 / n,
                used.1 / n,
                used.0 / n / w,
                used.1 / n / w,
                moved,
                moved / w,
            ],
        );
        sender.push((w, used.0 / n));
        receiver.push((w, used.1 / n));
        sizes.push((w, moved));
    }
    let mut table = Table::new("peer-fit", "series,per batch,per leaf call");
    add_fit(&mut table, "entry CPU us", &sender);
    add_fit(&mut table, "owner CPU us", &receiver);
    add_fit(&mut table, "bytes, both ways", &sizes);
}

/// Forwards datagrams to `to` and back, and counts their bytes.
async fn relay_udp(to: SocketAddr) -> io::Result<(SocketAddr, Arc<AtomicU64>)> {
    let front = UdpSocket::bind("127.0.0.1:0").await?;
    let back = UdpSocket::bind("127.0.0.1:0").await?;
    back.connect(to).await?;
    let address = front.local_addr()?;
    let bytes = Arc::new(AtomicU64::new(0));
    let count = bytes.clone();
    tokio::spawn(async move {
        let (mut there, mut here) = (vec![0; 65_536], vec![0; 65_536]);
        let mut client = None;
        loop {
            tokio::select! {
                Ok((length, from)) = front.recv_from(&mut there) => {
                    client = Some(from);
                    count.fetch_add(length as u64, Relaxed);
                    let _ = back.send(&there[..length]).await;
                }
                Ok(length) = back.recv(&mut here) => {
                    count.fetch_add(length as u64, Relaxed);
                    if let Some(client) = client {
                        let _ = front.send_to(&here[..length], client).await;
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
    /// Time over which the CPU of idle connections is measured.
    const IDLE: Duration = Duration::from_secs(3);
    let local = SocketAddr::from(([127, 0, 0, 1], 0));
    let bind = |name: String| PeerTransport::bind(local, identity(name)).expect("loopback");
    let mut table = Table::new(
        "peer-connections",
        "side/connections,resident KiB more,idle CPU us per connection and second,connect CPU us",
    );
    let mut fits = Vec::new();
    {
        let (_owners, line) = Helper::start(&["peers".into(), COUNTS[2].to_string()]);
        let addresses: Vec<SocketAddr> = serde_json::from_str(&line).expect("addresses");
        let entry = bind("e".into());
        let before = resident();
        let (mut memory, mut done) = (Vec::new(), 0);
        for count in COUNTS {
            let start = process_cpu();
            for (at, address) in addresses.iter().enumerate().take(count).skip(done) {
                hop(&entry, &NodeId::from(format!("n{at}")), *address, 1, 1).await;
            }
            let connect = (process_cpu() - start) / (count - done) as f64;
            done = count;
            let more = resident() - before;
            let start = process_cpu();
            sleep(IDLE).await;
            let idle = (process_cpu() - start) / IDLE.as_secs_f64() / count as f64;
            table.row(format!("opened/{count}"), &[more, idle, connect]);
            memory.push((count as f64, more));
        }
        fits.push(("opened", memory));
    }
    let (mut owner, line) = Helper::start(&["peers".into(), "1".into()]);
    let addresses: Vec<SocketAddr> = serde_json::from_str(&line).expect("addresses");
    let before = owner.usage().1;
    let (mut memory, mut entries) = (Vec::new(), Vec::new());
    for count in COUNTS {
        let start = owner.usage().0;
        let first = entries.len();
        while entries.len() < count {
            let entry = bind(format!("e{}", entries.len()));
            hop(&entry, &NodeId::from("n0"), addresses[0], 1, 1).await;
            entries.push(entry);
        }
        let (cpu, kib) = owner.usage();
        sleep(IDLE).await;
        let idle = (owner.usage().0 - cpu) / IDLE.as_secs_f64() / count as f64;
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

struct Harmless;

impl CrashView for Harmless {
    fn verdict(&self, _: Time, _: &ServiceName, _: &str) -> Verdict {
        Verdict::Known
    }
}

/// Measures the decisions of one query: start, all replies, merge.
pub(crate) fn plan() {
    let mut table = Table::new("plan", "calls,queries,CPU us per query,CPU us per call");
    let mut points = Vec::new();
    let policy = r#"{"deadline_ms": 400, "max_deadline_ms": 2000, "max_top": 100}"#;
    let policy: Arc<ServicePolicy> = Arc::new(serde_json::from_str(policy).expect("policy"));
    for width in WIDTHS {
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
            leaves: (0..2).map(|copy| name(shard * 2 + copy)).collect(),
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
        let count = queries(width);
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
                crash: &Harmless,
                rng: &mut rng,
            };
            let query = Query {
                request: "0123456789abcdef".into(),
                service: service(),
                text: TEXT.into(),
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
            let start = process_cpu();
            let mut plan = QueryPlan::start(now, query, &mut context, &mut out).expect("a plan");
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
                let outcome = replies.pop().expect("one call per shard");
                plan.on_reply(now, call, outcome, Some(status), &mut context, &mut out);
            }
            used += process_cpu() - start;
            assert!(plan.is_finished());
        }
        let (n, w) = (f64::from(count), f64::from(width));
        table.row(width, &[n, used / n, used / n / w]);
        points.push((w, used / n));
    }
    let mut table = Table::new("plan-fit", "series,per query,per leaf call");
    add_fit(&mut table, "CPU us", &points);
}
