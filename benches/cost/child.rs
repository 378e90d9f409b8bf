//! Other processes of the measurement: the emulated upstream and a peer, so that their CPU time is not counted.

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

/// Argument by which the bench starts itself as another process.
pub(crate) const FLAG: &str = "--cost-child";

/// A child process that answers each line with its CPU time and memory.
pub(crate) struct Helper {
    child: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
}

impl Helper {
    /// Starts a child and returns it with the line that it printed first.
    pub(crate) fn start(arguments: &[String]) -> (Self, String) {
        let mut child = Command::new(env::current_exe().expect("own path"))
            .arg(FLAG)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the bench can start itself");
        let input = child.stdin.take().expect("piped");
        let output = BufReader::new(child.stdout.take().expect("piped"));
        let mut helper = Self {
            child,
            input,
            output,
        };
        let line = helper.line();
        (helper, line)
    }

    /// Returns the CPU time of the child in microseconds and its resident set in KiB.
    pub(crate) fn usage(&mut self) -> (f64, f64) {
        self.input.write_all(b"\n").expect("the child lives");
        let line = self.line();
        let fields: Vec<f64> = line
            .split_whitespace()
            .map(|field| field.parse().expect("a number"))
            .collect();
        (fields[0], fields[1])
    }

    fn line(&mut self) -> String {
        let mut line = String::new();
        self.output.read_line(&mut line).expect("the child lives");
        line
    }
}

impl Drop for Helper {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs as a child until the standard input ends.
pub(crate) fn run(arguments: &[String]) {
    let workers = if arguments[0] == "upstream" { 3 } else { 2 };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(workers)
        .enable_all()
        .build()
        .expect("runtime");
    thread::spawn(|| {
        for line in io::stdin().lines() {
            if line.is_err() {
                break;
            }
            println!("{} {}", measure::process_cpu(), measure::resident());
        }
        std::process::exit(0);
    });
    let count = arguments[1].parse().expect("a count");
    match arguments[0].as_str() {
        "upstream" => {
            runtime.block_on(upstream(count, arguments[2].parse().expect("slots")));
        }
        "peers" => runtime.block_on(peers(count)),
        other => panic!("no child is called {other:?}"),
    }
}

/// Hosts leaves; each call takes as long as its search.
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
    let corpus = Corpus::read(corpus).expect("the example data");
    let upstream = Upstream::start(settings, &corpus).await.expect("upstream");
    let specs = serde_json::to_string(&upstream.specs()).expect("specs");
    println!("{specs}");
    std::future::pending::<()>().await;
}

/// Identity of a node of the bench.
pub(crate) fn identity(name: String) -> Identity {
    Identity {
        node: NodeId::from(name),
        incarnation: Incarnation(1),
        key: FleetKey::new([7; 32]),
    }
}

/// Hosts peers that answer each call at once.
async fn peers(count: usize) {
    let bind = |at| {
        PeerTransport::bind(
            SocketAddr::from(([127, 0, 0, 1], 0)),
            identity(format!("n{at}")),
        )
        .expect("loopback")
    };
    let peers: Vec<Arc<PeerTransport>> = (0..count).map(bind).collect();
    let addresses: Vec<SocketAddr> = peers
        .iter()
        .map(|peer| peer.local_addr().expect("bound"))
        .collect();
    for peer in peers {
        tokio::spawn(peer.serve(Arc::new(Echo)));
    }
    println!("{}", serde_json::to_string(&addresses).expect("addresses"));
    std::future::pending::<()>().await;
}

/// Answers every call with the same hits.
struct Echo;

impl PeerHandler for Echo {
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
        unreachable!("the bench sends none")
    }

    fn fetch(&self, _versions: Versions) -> Vec<Document> {
        Vec::new()
    }

    async fn relay(&self, _from: NodeId, _message: RelayMessage) {}
}
