//! Child processes that host the emulated upstream and the peers, so that their CPU time does not count as that of
//! the bench process.

use std::{
    env,
    io::{self, BufRead, BufReader, Write},
    net::SocketAddr,
    process::{Child, ChildStdin, ChildStdout, Command, Stdio},
    sync::Arc,
    thread,
    time::Duration,
};

use cranberrychute::{
    adapter::peer::{Identity, OnceForward, OnceReply, PeerHandler, PeerTransport},
    core::{
        FleetKey, Incarnation, NodeId,
        call::{LeafBatch, LeafReply, LeafStatus, Outcome},
        config::{Document, Versions, relay::RelayMessage},
    },
};
use cranberrychute_emulator::{
    Corpus, LeafSpec, SnapshotSpec, Upstream, UpstreamSettings, assign_shards,
};
use tokio::sync::mpsc;

use crate::{data, measure};

/// First argument of a child process that the bench starts from its own executable.
pub(crate) const CHILD_FLAG: &str = "--cost-child";

/// A child process that prints its CPU time and memory for each input line.
pub(crate) struct ChildProcess {
    child: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
}

impl ChildProcess {
    /// Starts a child process and returns it with the first line of its output: leaf specs or addresses as JSON.
    pub(crate) fn start(arguments: &[String]) -> (Self, String) {
        let mut child = Command::new(env::current_exe().expect("path of the bench executable"))
            .arg(CHILD_FLAG)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("child process starts");
        let input = child.stdin.take().expect("stdio is piped");
        let output = BufReader::new(child.stdout.take().expect("stdio is piped"));
        let mut process = Self {
            child,
            input,
            output,
        };
        let line = process.read_line();
        (process, line)
    }

    /// Returns the CPU time of the child in microseconds and its resident set size in KiB.
    pub(crate) fn usage(&mut self) -> (f64, f64) {
        self.input
            .write_all(b"\n")
            .expect("child process is running");
        let line = self.read_line();
        let fields: Vec<f64> = line
            .split_whitespace()
            .map(|field| field.parse().expect("usage is a number"))
            .collect();
        (fields[0], fields[1])
    }

    fn read_line(&mut self) -> String {
        let mut line = String::new();
        self.output
            .read_line(&mut line)
            .expect("child process is running");
        line
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs the child process until its standard input is closed.
pub(crate) fn run(arguments: &[String]) {
    let workers = if arguments[0] == "upstream" { 3 } else { 2 };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(workers)
        .enable_all()
        .build()
        .expect("Tokio runtime starts");
    thread::spawn(|| {
        for line in io::stdin().lines() {
            if line.is_err() {
                break;
            }
            println!("{} {}", measure::process_cpu_us(), measure::resident_kib());
        }
        std::process::exit(0);
    });
    let count = arguments[1].parse().expect("second argument is a count");
    match arguments[0].as_str() {
        "upstream" => {
            runtime.block_on(upstream(
                count,
                arguments[2]
                    .parse()
                    .expect("third argument is a number of slots"),
            ));
        }
        "peers" => runtime.block_on(peers(count)),
        unknown => panic!("unknown kind of child process: {unknown:?}"),
    }
}

/// Hosts emulated leaves without artificial service time: a call takes as long as its search.
async fn upstream(leaves: usize, slots: u32) {
    let snapshots = vec![SnapshotSpec::serving(data::SNAPSHOT, data::SHARDS)];
    let specs: Vec<LeafSpec> = assign_shards(leaves, 1, &["a"], &snapshots, slots, 110)
        .into_iter()
        .map(|leaf| LeafSpec {
            cold_capacity: slots,
            ..leaf
        })
        .collect();
    let settings = UpstreamSettings {
        seed: data::SEED,
        service_time: Duration::ZERO,
        cold_calls: 0,
        cold_factor: 1.0,
        ..UpstreamSettings::new(snapshots, specs)
    };
    let corpus = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/data/parts.csv");
    let corpus = Corpus::read(corpus).expect("example data is readable");
    let upstream = Upstream::start(settings, &corpus)
        .await
        .expect("upstream starts");
    let specs = serde_json::to_string(&upstream.specs()).expect("leaf specs serialize");
    println!("{specs}");
    std::future::pending::<()>().await;
}

/// Returns the peer identity of a bench node.
pub(crate) fn identity(name: String) -> Identity {
    Identity {
        node: NodeId::from(name),
        incarnation: Incarnation(1),
        key: FleetKey::new([7; 32]),
    }
}

/// Hosts peers that answer each call immediately.
async fn peers(count: usize) {
    let bind = |i| {
        PeerTransport::bind(
            SocketAddr::from(([127, 0, 0, 1], 0)),
            identity(format!("n{i}")),
        )
        .expect("bind to loopback")
    };
    let peers: Vec<Arc<PeerTransport>> = (0..count).map(bind).collect();
    let addresses: Vec<SocketAddr> = peers
        .iter()
        .map(|peer| peer.local_addr().expect("socket is bound"))
        .collect();
    for peer in peers {
        tokio::spawn(peer.serve(Arc::new(FixedReplies)));
    }
    println!(
        "{}",
        serde_json::to_string(&addresses).expect("addresses serialize")
    );
    std::future::pending::<()>().await;
}

/// Replies to each call with one hit, without a search.
struct FixedReplies;

impl PeerHandler for FixedReplies {
    async fn batch(
        &self,
        _from: NodeId,
        batch: LeafBatch,
        replies: mpsc::Sender<LeafReply>,
        _cancels: mpsc::Receiver<u32>,
    ) {
        for (index, call) in (0..).zip(&batch.calls) {
            let outcome = Outcome::Hits {
                snapshot: call.snapshot,
                shard: call.shard,
                complete: true,
                hits: data::hits(call.shard.0, 1),
            };
            let reply = LeafReply {
                index,
                outcome,
                status: LeafStatus::default(),
            };
            if replies.send(reply).await.is_err() {
                return;
            }
        }
    }

    async fn once(&self, _from: NodeId, _request: OnceForward) -> OnceReply {
        unreachable!("the bench sends no at-most-once requests")
    }

    fn fetch(&self, _versions: Versions) -> Vec<Document> {
        Vec::new()
    }

    async fn relay(&self, _from: NodeId, _message: RelayMessage) {}
}
