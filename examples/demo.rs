//! Runs a fleet of the current sizes in one process: platform, upstreams, nodes and callers.
//!
//! Callers send queries with the client library while one leaf of each service becomes slow, the same leaf crashes,
//! and a failure domain is taken out and returns. Prints a table at the end; the exit code is not zero if an invariant
//! was violated.

use std::{
    collections::HashMap,
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use anyhow::{Context, ensure};
use argh::FromArgs;
use cranberrychute::{
    client::{Answer, Client, ClientBuilder, OnceAnswer, Query},
    core::invariant,
    node::{self, Settings},
};
use cranberrychute_emulator::{
    Corpus, LeafControl, LeafCounters, NodeSpec, Platform, SnapshotSpec, Upstream,
    UpstreamSettings, assign_shards, map_document, terms, vms_document,
};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tokio::{sync::oneshot, time::sleep};

const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];
/// Failure domain that is taken out and returns.
const OUT_DOMAIN: &str = "b";
/// Time after which a domain that was taken out must not get new calls.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(5);
const TOP_K: u16 = 10;
/// Delay of a caller between two queries.
const THINK_TIME: Duration = Duration::from_millis(20);
const POLICY: &str = "deadline_ms = 1000\nmax_deadline_ms = 5000\nmax_top = 100\n";

/// One query service, sized as in section 1 of docs/design.md.
struct Service {
    name: &'static str,
    instances: usize,
    leaves: usize,
    slots: u32,
    connections: u32,
    connect_delay_ms: u64,
}

const SERVICES: [Service; 4] = [
    Service {
        name: "parts",
        instances: 10,
        leaves: 3,
        slots: 2,
        connections: 25,
        connect_delay_ms: 6,
    },
    Service {
        name: "kits",
        instances: 15,
        leaves: 3,
        slots: 2,
        connections: 25,
        connect_delay_ms: 6,
    },
    Service {
        name: "repairs",
        instances: 6,
        leaves: 4,
        slots: 6,
        connections: 110,
        connect_delay_ms: 1,
    },
    Service {
        name: "orders",
        instances: 6,
        leaves: 4,
        slots: 6,
        connections: 50,
        connect_delay_ms: 1,
    },
];

impl Service {
    fn snapshot(&self) -> SnapshotSpec {
        SnapshotSpec::serving(1, (self.instances * self.leaves) as u32)
    }
}

/// Run a whole fleet and report its answers while parts of it fail.
#[derive(FromArgs)]
struct Arguments {
    /// file to search, CSV or JSON Lines with id, title and text (default examples/data/parts.csv)
    #[argh(option, default = "PathBuf::from(\"examples/data/parts.csv\")")]
    data: PathBuf,

    /// number of nodes (default 9)
    #[argh(option, default = "9")]
    nodes: usize,

    /// number of callers (default 8)
    #[argh(option, default = "8")]
    callers: usize,

    /// duration of each phase, seconds (default 6)
    #[argh(option, default = "6")]
    seconds: u64,

    /// seed of all randomness of the callers and upstreams (default 1)
    #[argh(option, default = "1")]
    seed: u64,
}

/// Results of the callers in one phase.
struct Phase {
    name: &'static str,
    latency: Histogram<u64>,
    errors: u64,
    last_error: Option<String>,
    wrong_answers: u64,
    answered_shards: u64,
    shards: u64,
    /// Calls that leaves received from their start to the end of the phase.
    total_calls: u64,
}

impl Phase {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            latency: Histogram::new_with_bounds(1, 60_000_000, 3).expect("fixed bounds are valid"),
            errors: 0,
            last_error: None,
            wrong_answers: 0,
            answered_shards: 0,
            shards: 0,
            total_calls: 0,
        }
    }

    fn row(&self, previous_calls: u64) -> String {
        let ms = |quantile| self.latency.value_at_quantile(quantile) as f64 / 1_000.0;
        let percent = |part: f64, whole: u64| 100.0 * part / whole.max(1) as f64;
        format!(
            "{:<18} {:>8} {:>7} {:>8.1} {:>8.1} {:>9.2}% {:>+9.2}% {:>6}",
            self.name,
            self.latency.len(),
            self.errors,
            ms(0.5),
            ms(0.99),
            percent(self.answered_shards as f64, self.shards),
            percent(
                (self.total_calls - previous_calls) as f64 - self.shards as f64,
                self.shards
            ),
            self.wrong_answers,
        )
    }
}

/// State shared by the callers.
struct Shared {
    corpus: Corpus,
    phases: Mutex<Vec<Phase>>,
    phase: AtomicUsize,
    stop: AtomicBool,
}

impl Shared {
    fn update_phase(&self, change: impl FnOnce(&mut Phase)) {
        let mut phases = self.phases.lock().expect("lock is not poisoned");
        change(&mut phases[self.phase.load(Ordering::Relaxed)]);
    }

    fn record(&self, service: &Service, text: &str, elapsed: Duration, answer: &Answer) {
        let is_wrong = !is_correct(&self.corpus, service, text, answer);
        self.update_phase(|phase| {
            phase.latency.saturating_record(elapsed.as_micros() as u64);
            phase.answered_shards += u64::from(answer.coverage.answered);
            phase.shards += u64::from(answer.coverage.shards);
            phase.wrong_answers += u64::from(is_wrong);
        });
    }
}

/// Returns whether an answer equals that of a scan of the data without the missing shards.
fn is_correct(corpus: &Corpus, service: &Service, text: &str, answer: &Answer) -> bool {
    let shards = service.snapshot().shards;
    let missing: Vec<u32> = answer
        .missing
        .iter()
        .map(|missing| missing.shard.0)
        .collect();
    let expected = corpus.expected(text, TOP_K.into(), shards, &missing);
    let same = answer.hits.len() == expected.len()
        && answer.hits.iter().zip(&expected).all(|(got, want)| {
            got.id == want.id && got.score == want.score && got.text == want.text
        });
    same && answer.coverage.shards == shards
        && answer.coverage.answered as usize + missing.len() == shards as usize
}

/// The emulated platform and upstreams.
struct Environment {
    platform: Platform,
    /// One upstream per service and domain.
    upstreams: Vec<(usize, &'static str, Upstream)>,
}

impl Environment {
    /// Starts the platform and the upstreams on a separate thread.
    ///
    /// A single thread runs tasks in order, so a leaf ends a call that was reset before it counts the next one.
    async fn start_on_thread(corpus: Corpus, seed: u64) -> anyhow::Result<Self> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (started, environment) = oneshot::channel();
        std::thread::spawn(move || {
            runtime.block_on(async {
                let _ = started.send(Self::start(&corpus, seed).await);
                std::future::pending::<()>().await;
            });
        });
        environment
            .await
            .context("the thread of the platform and the upstreams ended")?
    }

    async fn start(corpus: &Corpus, seed: u64) -> anyhow::Result<Self> {
        let platform = Platform::start(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let mut upstreams = Vec::new();
        for (number, service) in SERVICES.iter().enumerate() {
            let snapshots = vec![service.snapshot()];
            let count = service.instances * service.leaves;
            let specs = assign_shards(
                count,
                3,
                &DOMAINS,
                &snapshots,
                service.slots,
                service.connections,
            );
            for domain in DOMAINS {
                let leaves = specs
                    .iter()
                    .filter(|leaf| leaf.domain == domain)
                    .cloned()
                    .collect();
                let settings = UpstreamSettings {
                    seed: seed
                        .wrapping_mul(1_000)
                        .wrapping_add(upstreams.len() as u64 * 100),
                    connect_delay: Duration::from_millis(service.connect_delay_ms),
                    ..UpstreamSettings::new(snapshots.clone(), leaves)
                };
                upstreams.push((number, domain, Upstream::start(settings, corpus).await?));
            }
            let bound: Vec<_> = upstreams
                .iter()
                .filter(|(owner, ..)| *owner == number)
                .flat_map(|(.., upstream)| upstream.specs())
                .collect();
            let map = map_document(&snapshots, &bound).to_string();
            platform.put(&format!("map/{}", service.name), None, &map);
            platform.put(&format!("service/{}", service.name), None, POLICY);
        }
        platform.put("domains", None, r#"{"out":[]}"#);
        Ok(Self {
            platform,
            upstreams,
        })
    }

    fn leaves(&self) -> impl Iterator<Item = (&'static str, LeafCounters)> + '_ {
        self.upstreams.iter().flat_map(|(_, domain, upstream)| {
            upstream.counters().into_iter().map(|leaf| (*domain, leaf))
        })
    }

    fn received_calls(&self, domain: Option<&str>) -> u64 {
        let leaves = self
            .leaves()
            .filter(|(found, _)| domain.is_none_or(|domain| domain == *found));
        leaves.map(|(_, leaf)| leaf.arrived).sum()
    }

    /// Changes the behaviour of the first leaf of each service.
    fn control_first_leaves(&self, control: &LeafControl) -> anyhow::Result<()> {
        for (.., upstream) in self
            .upstreams
            .iter()
            .filter(|(_, domain, _)| *domain == DOMAINS[0])
        {
            let leaf = upstream.specs()[0].address;
            upstream.control(&LeafControl {
                leaf: Some(leaf),
                ..control.clone()
            })?;
        }
        Ok(())
    }

    fn set_domains_out(&self, domains: &[&str]) {
        self.platform.put(
            "domains",
            None,
            &serde_json::json!({"out": domains}).to_string(),
        );
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(argh::from_env()).await {
        Ok(violations) if violations.is_empty() => ExitCode::SUCCESS,
        Ok(violations) => {
            for line in violations {
                println!("FAILED: {line}");
            }
            ExitCode::FAILURE
        }
        Err(err) => {
            println!("error: {err:#}");
            ExitCode::from(2)
        }
    }
}

/// Runs the demo and returns the violated invariants.
async fn run(arguments: Arguments) -> anyhow::Result<Vec<String>> {
    ensure!(
        arguments.nodes > 0 && arguments.callers > 0,
        "at least one node and one caller are required"
    );
    let corpus = Corpus::read(&arguments.data)?;
    println!(
        "{} records from {}",
        corpus.records().len(),
        arguments.data.display()
    );
    let environment = Environment::start_on_thread(corpus.clone(), arguments.seed).await?;
    let leaves = environment.leaves().count();
    println!(
        "{} services on {leaves} leaves in {} failure domains",
        SERVICES.len(),
        DOMAINS.len()
    );
    let nodes = NodeSpec::allocate(arguments.nodes, &DOMAINS)?;
    environment
        .platform
        .put("vms", None, &vms_document(&nodes).to_string());
    for spec in &nodes {
        let text = spec.settings(environment.platform.address(), &"5a".repeat(32), &nodes);
        let settings = Settings::parse(&text)
            .map_err(|faults| anyhow::anyhow!("settings of {}: {faults:?}", spec.id))?;
        let id = spec.id.clone();
        tokio::spawn(async move {
            if let Err(err) = node::run(settings, std::future::pending()).await {
                println!("{id} stopped: {err:#}");
            }
        });
    }
    let client = || {
        let seeds = nodes.iter().map(|node| node.caller.to_string());
        Client::builder()
            .seeds(seeds)
            .timeout(Duration::from_secs(3))
    };
    wait_until_served(client()).await?;
    println!("{} nodes are ready", nodes.len());
    let start = environment.received_calls(None);

    let shared = Arc::new(Shared {
        corpus,
        phases: Mutex::new(vec![Phase::new("warm-up")]),
        phase: AtomicUsize::new(0),
        stop: AtomicBool::new(false),
    });
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..arguments.callers {
        let client = client().caller(format!("caller-{number}")).build()?;
        let rng = Pcg64::seed_from_u64(arguments.seed.wrapping_add(number as u64));
        callers.spawn(run_caller(shared.clone(), client, number, rng));
    }
    let out_calls = run_phases(
        &environment,
        &shared,
        Duration::from_secs(arguments.seconds),
    )
    .await?;
    shared.stop.store(true, Ordering::Relaxed);
    while let Some(result) = callers.join_next().await {
        result.context("a caller panicked")?;
    }
    shared.update_phase(|phase| phase.total_calls = environment.received_calls(None));
    Ok(report(&environment, &shared, start, out_calls))
}

/// Waits until every service answers from all shards.
async fn wait_until_served(client: ClientBuilder) -> anyhow::Result<()> {
    let client = client.caller("start").build()?;
    let start = Instant::now();
    for service in &SERVICES {
        loop {
            let result = client.query(service.name, &Query::new("start")).await;
            if result.as_ref().is_ok_and(Answer::is_complete) {
                break;
            }
            ensure!(
                start.elapsed() < Duration::from_secs(60),
                "{} does not answer: {result:?}",
                service.name
            );
            sleep(Duration::from_millis(200)).await;
        }
    }
    Ok(())
}

/// Runs the phases; returns the number of calls that the domain received after [`MAX_DRAIN_TIME`] while it was out.
async fn run_phases(
    environment: &Environment,
    shared: &Shared,
    phase_time: Duration,
) -> anyhow::Result<u64> {
    sleep(phase_time).await;
    let start_phase = |name| {
        shared.update_phase(|phase| phase.total_calls = environment.received_calls(None));
        let mut phases = shared.phases.lock().expect("lock is not poisoned");
        phases.push(Phase::new(name));
        shared.phase.store(phases.len() - 1, Ordering::Relaxed);
        println!("phase: {name}");
    };
    start_phase("no faults");
    sleep(phase_time).await;

    start_phase("straggler");
    let slow = LeafControl {
        slow_share: Some(0.2),
        slow_ms: Some(300),
        ..LeafControl::default()
    };
    environment.control_first_leaves(&slow)?;
    sleep(phase_time).await;
    environment.control_first_leaves(&LeafControl {
        reset: true,
        ..LeafControl::default()
    })?;

    start_phase("leaf crash");
    environment.control_first_leaves(&LeafControl {
        crash: true,
        ..LeafControl::default()
    })?;
    sleep(phase_time).await;

    start_phase("domain out");
    environment.set_domains_out(&[OUT_DOMAIN]);
    sleep(MAX_DRAIN_TIME).await;
    let before = environment.received_calls(Some(OUT_DOMAIN));
    sleep(phase_time).await;
    let out_calls = environment.received_calls(Some(OUT_DOMAIN)) - before;
    // The leaves of the domain are restarted, so that all of them return cold.
    for (.., upstream) in environment
        .upstreams
        .iter()
        .filter(|(_, domain, _)| *domain == OUT_DOMAIN)
    {
        upstream.control(&LeafControl {
            crash: true,
            ..LeafControl::default()
        })?;
    }
    sleep(Duration::from_secs(1)).await;

    start_phase("domain returns");
    environment.set_domains_out(&[]);
    sleep(phase_time).await;
    Ok(out_calls)
}

/// Queries the services in turn; every ninth request of the first caller runs at most once.
async fn run_caller(shared: Arc<Shared>, client: Client, number: usize, mut rng: Pcg64) {
    let mut round = number;
    while !shared.stop.load(Ordering::Relaxed) {
        let service = &SERVICES[round % SERVICES.len()];
        round += 1;
        let text = {
            let records = shared.corpus.records();
            let record = &records[rng.random_range(0..records.len())];
            let words: Vec<String> = terms(&record.title).take(3).collect();
            words.join(" ")
        };
        let start = Instant::now();
        if number == 0 && round.is_multiple_of(9) {
            let text = format!("{text} order {round}");
            match client
                .query_once(service.name, &Query::new(&*text).top_k(TOP_K))
                .await
            {
                Ok(OnceAnswer::Done(answer)) => {
                    shared.record(service, &text, start.elapsed(), &answer)
                }
                _ => shared.update_phase(|phase| phase.errors += 1),
            }
        } else {
            match client
                .query(service.name, &Query::new(&*text).top_k(TOP_K))
                .await
            {
                Ok(answer) => shared.record(service, &text, start.elapsed(), &answer),
                Err(error) => shared.update_phase(|phase| {
                    phase.errors += 1;
                    phase.last_error = Some(error.to_string());
                }),
            }
        }
        sleep(THINK_TIME).await;
    }
}

/// Prints the table and returns the violated invariants.
fn report(environment: &Environment, shared: &Shared, start: u64, out_calls: u64) -> Vec<String> {
    let phases = shared.phases.lock().expect("lock is not poisoned");
    println!();
    println!(
        "{:<18} {:>8} {:>7} {:>8} {:>8} {:>10} {:>10} {:>6}",
        "phase", "queries", "errors", "p50 ms", "p99 ms", "coverage", "extra load", "wrong"
    );
    let mut total = Phase::new("total");
    let mut previous_calls = start;
    for phase in phases.iter() {
        println!("{}", phase.row(previous_calls));
        if let Some(error) = &phase.last_error {
            println!("{:18} last error: {error}", "");
        }
        previous_calls = phase.total_calls;
        total.latency += &phase.latency;
        total.errors += phase.errors;
        total.wrong_answers += phase.wrong_answers;
        total.answered_shards += phase.answered_shards;
        total.shards += phase.shards;
        total.total_calls = phase.total_calls;
    }
    println!("{}", total.row(start));
    println!();

    let mut run_counts: HashMap<(String, u32), u32> = HashMap::new();
    let mut above_limit = 0;
    for (_, leaf) in environment.leaves() {
        above_limit += leaf.above_limit;
        if leaf.above_limit > 0 {
            println!("leaf above its limit: {leaf:?}");
        }
    }
    for (.., upstream) in &environment.upstreams {
        for run in upstream.executions().into_iter().filter(|run| run.once) {
            *run_counts.entry((run.text, run.shard)).or_default() += run.count;
        }
    }
    let repeated = run_counts.values().filter(|count| **count > 1).count() as u64;
    let checks = [
        ("wrong answers", total.wrong_answers),
        ("calls above the limits of a leaf", above_limit),
        ("calls to the domain while it was out", out_calls),
        ("at-most-once shard calls that ran more than once", repeated),
        (
            "invariant violations detected by the nodes",
            invariant::violation_count(),
        ),
    ];
    let line = |(name, count): &(&str, u64)| format!("{name}: {count}");
    println!("{}", checks.iter().map(line).collect::<Vec<_>>().join("; "));
    checks
        .iter()
        .filter(|(_, count)| *count > 0)
        .map(line)
        .collect()
}
