//! Starts the platform, upstreams and nodes as processes and checks answers against the corpus.

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
    SnapshotSpec, assign_shards, map_document, vms_document,
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
/// Maximum time to wait for an expected state, so that a failing test ends instead of hanging.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);
/// Limits the number of clusters that run at the same time, because more would slow each other down.
static CLUSTER_PERMITS: Semaphore = Semaphore::const_new(2);

/// Parameters of a cluster.
pub(crate) struct Setup {
    pub(crate) nodes: usize,
    pub(crate) leaves: usize,
    pub(crate) replicas: usize,
    /// All snapshots that the leaves hold. Only the first one is published at the start.
    pub(crate) snapshots: Vec<SnapshotSpec>,
    pub(crate) policy: &'static str,
    /// Additional arguments of the upstream processes.
    pub(crate) upstream_args: &'static [&'static str],
    /// Additional settings of the nodes, TOML.
    pub(crate) settings: &'static str,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            nodes: 4,
            leaves: 8,
            replicas: 2,
            snapshots: vec![SnapshotSpec::serving(1, 8)],
            policy: "deadline_ms = 3000\nmax_deadline_ms = 10000\nmax_top = 100\n",
            upstream_args: &["--cold-calls", "8"],
            settings: "",
        }
    }
}

/// A child process that is killed when dropped.
pub(crate) struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a process whose standard error is appended to `log`.
    fn spawn(command: &mut Command, log: PathBuf) -> Self {
        let stderr = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .unwrap();
        command.stdin(Stdio::null()).stderr(stderr);
        let program = command.get_program().to_owned();
        let child = command.spawn().unwrap_or_else(|error| {
            panic!("cannot start {program:?} ({error}); run `cargo build --bins --examples` first")
        });
        Self { child, log }
    }

    /// Reads the JSON line that an example prints after it has bound its addresses.
    fn read_addresses(&mut self) -> Value {
        let mut line = String::new();
        let stdout = self.child.stdout.take().unwrap();
        BufReader::new(stdout).read_line(&mut line).unwrap();
        serde_json::from_str(&line)
            .unwrap_or_else(|_| panic!("the process printed no addresses: {}", self.log_tail()))
    }

    pub(crate) fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Kills the process with SIGKILL.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process exits by itself.
    pub(crate) async fn wait_for_exit(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(
                start.elapsed() < WAIT_TIMEOUT,
                "the process did not exit: {}",
                self.log_tail()
            );
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Returns how the process ended, or whether it is running, sleeping or stopped.
    fn describe_state(&mut self) -> String {
        if let Ok(Some(status)) = self.child.try_wait() {
            return format!("ended: {status}");
        }
        let status = format!("/proc/{}/status", self.child.id());
        let status = fs::read_to_string(status).unwrap_or_default();
        status.lines().nth(2).unwrap_or_default().to_owned()
    }

    /// Returns the last 40 lines of the log.
    fn log_tail(&self) -> String {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        lines[lines.len().saturating_sub(40)..].join("\n")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let state = std::thread::panicking().then(|| self.describe_state());
        self.kill();
        if let Some(state) = state {
            let (log, tail) = (self.log.display(), self.log_tail());
            println!("--- {state}; end of {log}\n{tail}");
        }
    }
}

/// A process that hosts the leaves of a failure domain.
pub(crate) struct UpstreamProcess {
    pub(crate) process: Process,
    pub(crate) domain: &'static str,
    pub(crate) control: SocketAddr,
    pub(crate) leaves: Vec<LeafSpec>,
}

/// The process of an entry node.
pub(crate) struct NodeProcess {
    pub(crate) process: Process,
    pub(crate) address: SocketAddr,
    settings: PathBuf,
}

/// A platform, the upstreams of one service, and entry nodes.
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
    /// Starts all processes and waits until all nodes are ready.
    pub(crate) async fn start(setup: Setup) -> Self {
        let permit = CLUSTER_PERMITS.acquire().await.unwrap();
        let folder = tempfile::tempdir().unwrap();
        let log = folder.path().join("platform.log");
        let mut platform = Process::spawn(&mut example_command("platform"), log);
        let address = platform.read_addresses()["address"]
            .as_str()
            .unwrap()
            .parse()
            .unwrap();
        let mut cluster = Self {
            nodes: Vec::new(),
            upstreams: Vec::new(),
            corpus: Corpus::read(corpus_path()).unwrap(),
            platform: address,
            http: Http::default(),
            folder,
            upstream_args: setup.upstream_args,
            snapshots: setup.snapshots,
            _platform: platform,
            _permit: permit,
        };
        let specs = assign_shards(
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
            .put_document(&format!("service/{SERVICE}"), setup.policy)
            .await;
        cluster.put_map(&cluster.snapshots[..1]).await;
        cluster.set_domains_out(&[]).await;
        cluster.start_nodes(setup.nodes, setup.settings).await;
        cluster
    }

    async fn start_nodes(&mut self, count: usize, extra: &str) {
        let specs = NodeSpec::allocate(count, &DOMAINS).unwrap();
        self.put_document("vms", &vms_document(&specs).to_string())
            .await;
        for spec in &specs {
            let settings = self.folder.path().join(format!("{}.toml", spec.id));
            let text = spec.settings(self.platform, &"5a".repeat(32), &specs);
            fs::write(&settings, text + extra).unwrap();
            let process = spawn_node(&settings);
            self.nodes.push(NodeProcess {
                process,
                address: spec.caller,
                settings,
            });
        }
        for n in 0..count {
            self.wait_until_ready(n).await;
        }
    }

    /// Kills a node if it still runs and starts it with the same settings.
    pub(crate) fn restart_node(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        node.process.kill();
        node.process = spawn_node(&node.settings);
    }

    /// Waits until a node reports that it is ready.
    pub(crate) async fn wait_until_ready(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        let url = format!("http://{}/v1/ready", node.address);
        let start = Instant::now();
        while !matches!(
            self.http.send(Method::GET, &url, &[], "").await,
            Ok((StatusCode::OK, _))
        ) {
            let exit = node.process.child.try_wait().unwrap();
            assert!(
                exit.is_none() && start.elapsed() < WAIT_TIMEOUT,
                "node {n} is not ready (exit status {exit:?}): {}",
                node.process.log_tail()
            );
            sleep(Duration::from_millis(50)).await;
        }
    }

    fn spawn_upstream(&self, domain: &'static str, leaves: Vec<LeafSpec>) -> UpstreamProcess {
        let mut command = example_command("upstream");
        command
            .arg("--data")
            .arg(corpus_path())
            .args(self.upstream_args);
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
        let bound = process.read_addresses();
        UpstreamProcess {
            process,
            domain,
            control: serde_json::from_value(bound["control"].clone()).unwrap(),
            leaves: serde_json::from_value(bound["leaves"].clone()).unwrap(),
        }
    }

    /// Kills the upstream of a failure domain and starts it again on the same ports.
    pub(crate) fn restart_upstream(&mut self, domain: usize) {
        self.upstreams[domain].process.kill();
        let old = &self.upstreams[domain];
        self.upstreams[domain] = self.spawn_upstream(old.domain, old.leaves.clone());
    }

    /// Publishes a configuration document.
    pub(crate) async fn put_document(&self, key: &str, value: &str) {
        let url = format!("http://{}/v1/documents/{key}", self.platform);
        let (status, body) = self.http.send(Method::PUT, &url, &[], value).await.unwrap();
        assert_eq!(status, StatusCode::OK, "{body}");
    }

    /// Publishes the service map with the given snapshots.
    pub(crate) async fn put_map(&self, snapshots: &[SnapshotSpec]) {
        let leaves: Vec<LeafSpec> = self
            .upstreams
            .iter()
            .flat_map(|upstream| upstream.leaves.clone())
            .collect();
        let map = map_document(snapshots, &leaves).to_string();
        self.put_document(&format!("map/{SERVICE}"), &map).await;
    }

    /// Publishes the list of failure domains that are out.
    pub(crate) async fn set_domains_out(&self, domains: &[&str]) {
        self.put_document("domains", &json!({"out": domains}).to_string())
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

    /// Returns the counters of the leaves by failure domain. Domains whose process does not answer are omitted.
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

    /// Returns the number of search calls that arrived at the leaves of a failure domain.
    pub(crate) async fn arrived_calls(&self, domain: &str) -> u64 {
        self.counters().await[domain]
            .iter()
            .map(|leaf| leaf.arrived)
            .sum()
    }

    /// Returns how often each at-most-once request ran on each shard, summed over all leaves.
    ///
    /// The outer key is the query text and the inner key is the shard.
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

    /// Returns a client that has all nodes as seeds.
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

    /// Sends a request to a given node, without failover.
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

    /// Runs `cranberrychute ask` and returns its exit code and standard output.
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

    /// Checks that the hits of an answer match the corpus and that its coverage is consistent.
    pub(crate) fn check_answer(&self, answer: &Answer, text: &str, top: u16) {
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
            "a shard is listed as missing twice: {answer:?}"
        );
        let answered = snapshot.shards - missing.len() as u32;
        assert_eq!(answer.coverage.answered, answered, "{answer:?}");
        let expected = self
            .corpus
            .expected(text, top.into(), snapshot.shards, &missing);
        let fields = |id: &str, score: f64, text: &str| (id.to_owned(), score, text.to_owned());
        let got: Vec<_> = answer
            .hits
            .iter()
            .map(|hit| fields(&hit.id, hit.score, &hit.text))
            .collect();
        let expected: Vec<_> = expected
            .iter()
            .map(|hit| fields(&hit.id, hit.score, &hit.text))
            .collect();
        assert_eq!(
            got, expected,
            "wrong hits for {text:?} without shards {missing:?}"
        );
    }

    /// Fails if a node has counted an invariant violation or a leaf got more calls than its limit.
    pub(crate) async fn assert_no_violations(&self) {
        for node in &self.nodes {
            let url = format!("http://{}/metrics", node.address);
            let Ok((_, body)) = self.http.send(Method::GET, &url, &[], "").await else {
                continue;
            };
            let text = body.as_str().unwrap_or_default();
            let violations: Vec<&str> = text
                .lines()
                .filter(|line| line.starts_with("cranberrychute_invariant_violations_total"))
                .filter(|line| !line.ends_with(" 0"))
                .collect();
            assert!(
                violations.is_empty(),
                "{violations:?}: {}",
                node.process.log_tail()
            );
        }
        for leaf in self.counters().await.into_values().flatten() {
            assert_eq!(leaf.unrecorded, 0);
            assert_eq!(
                leaf.above_limit, 0,
                "a leaf got more calls than its limit: {leaf:?}"
            );
        }
    }
}

/// HTTP/2 client that returns the response body as JSON, or as a string if it is not JSON.
#[derive(Clone)]
pub(crate) struct Http(legacy::Client<HttpConnector, Full<Bytes>>);

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
    pub(crate) async fn send(
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
                .map_err(|error| format!("{error:?}"))?;
            let status = response.status();
            let body = response
                .into_body()
                .collect()
                .await
                .map_err(|error| error.to_string())?;
            let body = body.to_bytes();
            let text = || Value::String(String::from_utf8_lossy(&body).into_owned());
            Ok((
                status,
                serde_json::from_slice(&body).unwrap_or_else(|_| text()),
            ))
        };
        let result = tokio::time::timeout(Duration::from_secs(20), exchange).await;
        result.unwrap_or_else(|_| Err(format!("no answer from {url} within 20 s")))
    }
}

/// Waits until `check` returns true. Returns false if it does not within [`WAIT_TIMEOUT`].
pub(crate) async fn eventually<F: Future<Output = bool>>(mut check: impl FnMut() -> F) -> bool {
    let start = Instant::now();
    while start.elapsed() < WAIT_TIMEOUT {
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

fn example_command(name: &str) -> Command {
    let program = Path::new(env!("CARGO_BIN_EXE_cranberrychute"));
    let mut command = Command::new(program.with_file_name("examples").join(name));
    command.stdout(Stdio::piped());
    command
}

fn corpus_path() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/data/parts.csv")
}
