//! Starts the platform, upstreams and nodes as processes, and checks their answers against the data.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs::{self, File},
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
};

use bytes::Bytes;
use cranberrychute::client::{Answer, Client, ClientBuilder};
use cranberrychute_emulator::{
    Corpus, Execution, LeafControl, LeafCounters, LeafSpec, NodeSpec, PlatformControl,
    SnapshotSpec, map_document, spread, vms_document,
};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy, client::legacy::connect::HttpConnector, rt::TokioExecutor};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::{
    sync::{Semaphore, SemaphorePermit},
    time::{Instant, sleep},
};

pub(crate) const SERVICE: &str = "parts";
pub(crate) const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];
/// Longest wait for a state that must be reached. It only ends tests that would hang.
const PATIENCE: Duration = Duration::from_secs(90);
/// Clusters that run at the same time; more would slow each other down.
static CLUSTERS: Semaphore = Semaphore::const_new(2);

/// What a cluster consists of.
pub(crate) struct Setup {
    pub(crate) nodes: usize,
    pub(crate) leaves: usize,
    pub(crate) replicas: usize,
    /// All snapshots the leaves hold; the first one is published.
    pub(crate) snapshots: Vec<SnapshotSpec>,
    pub(crate) policy: &'static str,
    pub(crate) upstream: &'static [&'static str],
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            nodes: 4,
            leaves: 8,
            replicas: 2,
            snapshots: vec![SnapshotSpec::serving(1, 8)],
            policy: "deadline_ms = 3000\nmax_deadline_ms = 10000\nmax_top = 100\n",
            upstream: &["--cold-calls", "8"],
        }
    }
}

/// A child process, ended when dropped.
pub(crate) struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a process whose errors go to `log`.
    fn spawn(command: &mut Command, log: PathBuf) -> Self {
        let output = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .unwrap();
        command.stdin(Stdio::null()).stderr(output);
        let program = command.get_program().to_owned();
        let child = command.spawn().unwrap_or_else(|fault| {
            panic!("cannot start {program:?} ({fault}); run `cargo build --bins --examples` first")
        });
        Self { child, log }
    }

    /// Reads the line that an example prints when it is bound.
    fn bound(&mut self) -> Value {
        let mut line = String::new();
        let stdout = self.child.stdout.take().unwrap();
        BufReader::new(stdout).read_line(&mut line).unwrap();
        serde_json::from_str(&line)
            .unwrap_or_else(|_| panic!("no address from the process: {}", self.tail()))
    }

    pub(crate) fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Ends the process by SIGKILL.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process has ended by itself.
    pub(crate) async fn ended(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(
                start.elapsed() < PATIENCE,
                "the process does not end: {}",
                self.tail()
            );
            sleep(Duration::from_millis(50)).await;
        }
    }

    fn tail(&self) -> String {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        lines[lines.len().saturating_sub(40)..].join("\n")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        if std::thread::panicking() {
            println!("--- end of {}\n{}", self.log.display(), self.tail());
        }
    }
}

/// The leaves of one failure domain, hosted by one process.
pub(crate) struct UpstreamProcess {
    pub(crate) process: Process,
    pub(crate) domain: &'static str,
    pub(crate) control: SocketAddr,
    pub(crate) leaves: Vec<LeafSpec>,
}

/// One entry node.
pub(crate) struct NodeProcess {
    pub(crate) process: Process,
    pub(crate) address: SocketAddr,
    settings: PathBuf,
}

/// A platform, upstreams of one service and nodes.
pub(crate) struct Cluster {
    pub(crate) nodes: Vec<NodeProcess>,
    pub(crate) upstreams: Vec<UpstreamProcess>,
    pub(crate) corpus: Corpus,
    snapshots: Vec<SnapshotSpec>,
    platform: SocketAddr,
    http: Http,
    folder: TempDir,
    upstream_args: &'static [&'static str],
    _platform: Process,
    _permit: SemaphorePermit<'static>,
}

impl Cluster {
    /// Starts everything and waits until every node is ready.
    pub(crate) async fn start(setup: Setup) -> Self {
        let permit = CLUSTERS.acquire().await.unwrap();
        let folder = tempfile::tempdir().unwrap();
        let log = folder.path().join("platform.log");
        let mut platform = Process::spawn(&mut example("platform"), log);
        let address = platform.bound()["address"]
            .as_str()
            .unwrap()
            .parse()
            .unwrap();
        let mut cluster = Self {
            nodes: Vec::new(),
            upstreams: Vec::new(),
            corpus: Corpus::read(data()).unwrap(),
            platform: address,
            http: Http::default(),
            folder,
            upstream_args: setup.upstream,
            snapshots: setup.snapshots,
            _platform: platform,
            _permit: permit,
        };
        let specs = spread(
            setup.leaves,
            setup.replicas,
            &DOMAINS,
            &cluster.snapshots,
            4,
            50,
        );
        for domain in DOMAINS {
            let leaves = specs
                .iter()
                .filter(|leaf| leaf.domain == domain)
                .cloned()
                .collect();
            let upstream = cluster.spawn_upstream(domain, leaves);
            cluster.upstreams.push(upstream);
        }
        cluster
            .put(&format!("service/{SERVICE}"), setup.policy)
            .await;
        cluster.put_map(&cluster.snapshots[..1]).await;
        cluster.take_out(&[]).await;
        cluster.start_nodes(setup.nodes).await;
        cluster
    }

    async fn start_nodes(&mut self, count: usize) {
        let specs = NodeSpec::spread(count, &DOMAINS).unwrap();
        self.put("vms", &vms_document(&specs).to_string()).await;
        for spec in &specs {
            let settings = self.folder.path().join(format!("{}.toml", spec.id));
            let text = spec.settings(self.platform, &"5a".repeat(32), &specs);
            fs::write(&settings, text).unwrap();
            let process = spawn_node(&settings);
            self.nodes.push(NodeProcess {
                process,
                address: spec.caller,
                settings,
            });
        }
        for n in 0..count {
            self.ready(n).await;
        }
    }

    /// Starts a node that has ended again, with the same settings.
    pub(crate) fn restart_node(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        node.process.kill();
        node.process = spawn_node(&node.settings);
    }

    /// Waits until a node says that it is ready.
    pub(crate) async fn ready(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        let url = format!("http://{}/v1/ready", node.address);
        let start = Instant::now();
        while !matches!(
            self.http.send(Method::GET, &url, &[], "").await,
            Ok((StatusCode::OK, _))
        ) {
            let ended = node.process.child.try_wait().unwrap();
            assert!(
                ended.is_none() && start.elapsed() < PATIENCE,
                "node {n} does not get ready ({ended:?}): {}",
                node.process.tail()
            );
            sleep(Duration::from_millis(50)).await;
        }
    }

    fn spawn_upstream(&self, domain: &'static str, leaves: Vec<LeafSpec>) -> UpstreamProcess {
        let mut command = example("upstream");
        command.arg("--data").arg(data()).args(self.upstream_args);
        for snapshot in &self.snapshots {
            command
                .arg("--snapshot")
                .arg(format!("{}:{}", snapshot.id, snapshot.shards));
        }
        for leaf in &leaves {
            command
                .arg("--leaf")
                .arg(serde_json::to_string(leaf).unwrap());
        }
        let log = self.folder.path().join(format!("upstream-{domain}.log"));
        let mut process = Process::spawn(&mut command, log);
        let bound = process.bound();
        UpstreamProcess {
            process,
            domain,
            control: serde_json::from_value(bound["control"].clone()).unwrap(),
            leaves: serde_json::from_value(bound["leaves"].clone()).unwrap(),
        }
    }

    /// Starts the upstream of a domain again on the same ports after it was killed.
    pub(crate) fn restart_upstream(&mut self, domain: usize) {
        self.upstreams[domain].process.kill();
        let old = &self.upstreams[domain];
        self.upstreams[domain] = self.spawn_upstream(old.domain, old.leaves.clone());
    }

    /// Publishes a document.
    pub(crate) async fn put(&self, key: &str, value: &str) {
        let url = format!("http://{}/v1/documents/{key}", self.platform);
        let (status, body) = self.http.send(Method::PUT, &url, &[], value).await.unwrap();
        assert_eq!(status, StatusCode::OK, "{body}");
    }

    /// Publishes the map with these snapshots.
    pub(crate) async fn put_map(&self, snapshots: &[SnapshotSpec]) {
        let leaves: Vec<LeafSpec> = self
            .upstreams
            .iter()
            .flat_map(|upstream| upstream.leaves.clone())
            .collect();
        let map = map_document(snapshots, &leaves).to_string();
        self.put(&format!("map/{SERVICE}"), &map).await;
    }

    /// Publishes which failure domains are out.
    pub(crate) async fn take_out(&self, domains: &[&str]) {
        self.put("domains", &json!({"out": domains}).to_string())
            .await;
    }

    pub(crate) async fn control_platform(&self, control: PlatformControl) {
        self.control(self.platform, &serde_json::to_string(&control).unwrap())
            .await;
    }

    /// Changes the behaviour of the leaves of all domains.
    pub(crate) async fn control_leaves(&self, control: LeafControl) {
        for domain in 0..self.upstreams.len() {
            self.control_domain(domain, &control).await;
        }
    }

    /// Changes the behaviour of the leaves of one domain.
    pub(crate) async fn control_domain(&self, domain: usize, control: &LeafControl) {
        let body = serde_json::to_string(control).unwrap();
        self.control(self.upstreams[domain].control, &body).await;
    }

    async fn control(&self, address: SocketAddr, body: &str) {
        let url = format!("http://{address}/v1/control");
        let (status, body) = self.http.send(Method::POST, &url, &[], body).await.unwrap();
        assert_eq!(status, StatusCode::OK, "{body}");
    }

    /// Returns what the leaves counted, by domain; domains whose process is gone are left out.
    pub(crate) async fn counters(&self) -> BTreeMap<&'static str, Vec<LeafCounters>> {
        let mut all = BTreeMap::new();
        for upstream in &self.upstreams {
            let url = format!("http://{}/v1/counters", upstream.control);
            if let Ok((_, body)) = self.http.send(Method::GET, &url, &[], "").await {
                all.insert(upstream.domain, serde_json::from_value(body).unwrap());
            }
        }
        all
    }

    /// Returns the number of search calls that arrived in a domain.
    pub(crate) async fn arrived(&self, domain: &str) -> u64 {
        self.counters().await[domain]
            .iter()
            .map(|leaf| leaf.arrived)
            .sum()
    }

    /// Returns how often each at-most-once request ran on each shard, by text, over all leaves.
    pub(crate) async fn once_runs(&self) -> BTreeMap<String, BTreeMap<u32, u32>> {
        let mut runs: BTreeMap<String, BTreeMap<u32, u32>> = BTreeMap::new();
        for upstream in &self.upstreams {
            let url = format!("http://{}/v1/executions", upstream.control);
            let (_, body) = self.http.send(Method::GET, &url, &[], "").await.unwrap();
            let all: Vec<Execution> = serde_json::from_value(body).unwrap();
            for run in all.into_iter().filter(|run| run.once) {
                *runs
                    .entry(run.text)
                    .or_default()
                    .entry(run.shard)
                    .or_default() += run.count;
            }
        }
        runs
    }

    /// Returns a client that starts from all nodes.
    pub(crate) fn client(&self, caller: &str) -> Client {
        self.client_builder(caller).build().unwrap()
    }

    pub(crate) fn client_builder(&self, caller: &str) -> ClientBuilder {
        let seeds = self.nodes.iter().map(|node| node.address.to_string());
        Client::builder()
            .caller(caller)
            .seeds(seeds)
            .timeout(Duration::from_secs(8))
    }

    /// Sends a request straight to one node, without failover.
    pub(crate) async fn post(
        &self,
        node: usize,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Result<(StatusCode, Value), String> {
        let url = format!("http://{}/v1/{path}", self.nodes[node].address);
        self.http
            .send(Method::POST, &url, headers, &body.to_string())
            .await
    }

    /// Runs the `ask` command of the program and returns its exit code and output.
    pub(crate) fn ask(&self, arguments: &[&str]) -> (Option<i32>, String) {
        let seed = self.nodes[0].address.to_string();
        let output = Command::new(env!("CARGO_BIN_EXE_cranberrychute"))
            .args(["ask", "--seed", &seed, "--service", SERVICE])
            .args(arguments)
            .output()
            .unwrap();
        (
            output.status.code(),
            String::from_utf8(output.stdout).unwrap(),
        )
    }

    /// Checks an answer against the data: its hits, and that its coverage adds up.
    pub(crate) fn check(&self, answer: &Answer, text: &str, top: u16) {
        let snapshot = self
            .snapshots
            .iter()
            .find(|snapshot| snapshot.id == answer.snapshot.0);
        let snapshot = snapshot.unwrap_or_else(|| panic!("unknown snapshot in {answer:?}"));
        let missing: BTreeSet<u32> = answer
            .missing
            .iter()
            .map(|missing| missing.shard.0)
            .collect();
        let missing: Vec<u32> = missing.into_iter().collect();
        assert_eq!(answer.coverage.shards, snapshot.shards, "{answer:?}");
        assert_eq!(
            answer.missing.len(),
            missing.len(),
            "a shard is missing twice: {answer:?}"
        );
        let answered = snapshot.shards - missing.len() as u32;
        assert_eq!(answer.coverage.answered, answered, "{answer:?}");
        let expected = self
            .corpus
            .expected(text, top.into(), snapshot.shards, &missing);
        let pairs = |id: &str, score: f64, text: &str| (id.to_owned(), score, text.to_owned());
        let got: Vec<_> = answer
            .hits
            .iter()
            .map(|hit| pairs(&hit.id, hit.score, &hit.text))
            .collect();
        let expected: Vec<_> = expected
            .iter()
            .map(|hit| pairs(&hit.id, hit.score, &hit.text))
            .collect();
        assert_eq!(
            got, expected,
            "wrong hits for {text:?} without shards {missing:?}"
        );
    }

    /// Fails if a node has counted the violation of an invariant or a leaf got more than it can bear.
    pub(crate) async fn no_violation(&self) {
        for node in &self.nodes {
            let url = format!("http://{}/metrics", node.address);
            let Ok((_, body)) = self.http.send(Method::GET, &url, &[], "").await else {
                continue;
            };
            let text = body.as_str().unwrap_or_default();
            let broken: Vec<&str> = text
                .lines()
                .filter(|line| line.starts_with("cranberrychute_invariant_violations_total"))
                .filter(|line| !line.ends_with(" 0"))
                .collect();
            assert!(broken.is_empty(), "{broken:?}: {}", node.process.tail());
        }
        for leaf in self.counters().await.into_values().flatten() {
            assert_eq!(leaf.unrecorded, 0);
            assert_eq!(
                leaf.above_limit, 0,
                "a leaf got more calls than it can bear: {leaf:?}"
            );
        }
    }
}

/// Sends single requests and reads JSON, or text where the answer is no JSON.
#[derive(Clone)]
struct Http(legacy::Client<HttpConnector, Full<Bytes>>);

impl Default for Http {
    fn default() -> Self {
        let mut builder = legacy::Client::builder(TokioExecutor::new());
        Self(
            builder
                .http2_only(true)
                .retry_canceled_requests(false)
                .build_http(),
        )
    }
}

impl Http {
    async fn send(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<(StatusCode, Value), String> {
        let mut request = Request::builder().method(method).uri(url);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::from(body.to_owned())).unwrap();
        let exchange = async {
            let response = self
                .0
                .request(request)
                .await
                .map_err(|fault| format!("{fault:?}"))?;
            let status = response.status();
            let body = response
                .into_body()
                .collect()
                .await
                .map_err(|fault| fault.to_string())?;
            let body = body.to_bytes();
            let text = || Value::String(String::from_utf8_lossy(&body).into_owned());
            Ok((
                status,
                serde_json::from_slice(&body).unwrap_or_else(|_| text()),
            ))
        };
        let limited = tokio::time::timeout(Duration::from_secs(20), exchange).await;
        limited.unwrap_or_else(|_| Err(format!("no answer from {url}")))
    }
}

/// Waits until `check` holds; false after a long time.
pub(crate) async fn eventually<F: Future<Output = bool>>(mut check: impl FnMut() -> F) -> bool {
    let start = Instant::now();
    while start.elapsed() < PATIENCE {
        if check().await {
            return true;
        }
        sleep(Duration::from_millis(100)).await;
    }
    false
}

fn spawn_node(settings: &Path) -> Process {
    let log = settings.with_extension("log");
    let output = File::options()
        .create(true)
        .append(true)
        .open(&log)
        .unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_cranberrychute"));
    command
        .arg("node")
        .arg("--settings")
        .arg(settings)
        .stdout(output);
    Process::spawn(&mut command, log)
}

fn example(name: &str) -> Command {
    let program = Path::new(env!("CARGO_BIN_EXE_cranberrychute"));
    let mut command = Command::new(program.with_file_name("examples").join(name));
    command.stdout(Stdio::piped());
    command
}

fn data() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/data/parts.csv")
}
