//! A fleet of the current sizes in one process: platform, upstreams, nodes and callers.
//!
//! Callers query through the client library while a leaf becomes slow, a leaf crashes, and a failure domain
//! leaves and returns. Ends with one table; the exit code is not zero when an invariant broke.

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
/// The domain that leaves and returns.
const OUT: &str = "b";
/// The bound on new work for a domain that was taken out.
const OUT_BOUND: Duration = Duration::from_secs(5);
const TOP: u16 = 10;
/// Pause of a caller between two queries.
const THINK_TIME: Duration = Duration::from_millis(20);
const POLICY: &str = "deadline_ms = 1000\nmax_deadline_ms = 5000\nmax_top = 100\n";

/// One query service, sized as in section 1 of docs/design.md.
struct Kind {
    name: &'static str,
    instances: usize,
    leaves: usize,
    slots: u32,
    connections: u32,
    open_ms: u64,
}

const KINDS: [Kind; 4] = [
    Kind {
        name: "parts",
        instances: 10,
        leaves: 3,
        slots: 2,
        connections: 25,
        open_ms: 6,
    },
    Kind {
        name: "kits",
        instances: 15,
        leaves: 3,
        slots: 2,
        connections: 25,
        open_ms: 6,
    },
    Kind {
        name: "repairs",
        instances: 6,
        leaves: 4,
        slots: 6,
        connections: 110,
        open_ms: 1,
    },
    Kind {
        name: "orders",
        instances: 6,
        leaves: 4,
        slots: 6,
        connections: 50,
        open_ms: 1,
    },
];

impl Kind {
    fn snapshot(&self) -> SnapshotSpec {
        SnapshotSpec::serving(1, (self.instances * self.leaves) as u32)
    }
}

/// Run a whole fleet and show how it answers while parts of it fail.
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

    /// length of each phase, seconds (default 6)
    #[argh(option, default = "6")]
    seconds: u64,

    /// seed of all randomness of the callers and upstreams (default 1)
    #[argh(option, default = "1")]
    seed: u64,
}

/// What callers saw during one phase.
struct Phase {
    name: &'static str,
    latency: Histogram<u64>,
    errors: u64,
    last_error: Option<String>,
    wrong: u64,
    answered: u64,
    shards: u64,
    /// Leaf calls that arrived at the end of the phase, since the start.
    calls: u64,
}

impl Phase {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            latency: Histogram::new_with_bounds(1, 60_000_000, 3).expect("fixed bounds are valid"),
            errors: 0,
            last_error: None,
            wrong: 0,
            answered: 0,
            shards: 0,
            calls: 0,
        }
    }

    fn row(&self, before: u64) -> String {
        let ms = |quantile| self.latency.value_at_quantile(quantile) as f64 / 1_000.0;
        let percent = |part: f64, whole: u64| 100.0 * part / whole.max(1) as f64;
        format!(
            "{:<18} {:>8} {:>7} {:>8.1} {:>8.1} {:>9.2}% {:>+9.2}% {:>6}",
            self.name,
            self.latency.len(),
            self.errors,
            ms(0.5),
            ms(0.99),
            percent(self.answered as f64, self.shards),
            percent(
                (self.calls - before) as f64 - self.shards as f64,
                self.shards
            ),
            self.wrong,
        )
    }
}

/// What the callers share.
struct Shared {
    corpus: Corpus,
    phases: Mutex<Vec<Phase>>,
    phase: AtomicUsize,
    stop: AtomicBool,
}

impl Shared {
    fn phase(&self, change: impl FnOnce(&mut Phase)) {
        let mut phases = self
            .phases
            .lock()
            .expect("no caller panics while it holds the lock");
        change(&mut phases[self.phase.load(Ordering::Relaxed)]);
    }

    fn record(&self, kind: &Kind, text: &str, elapsed: Duration, answer: &Answer) {
        let wrong = !right(&self.corpus, kind, text, answer);
        self.phase(|phase| {
            phase.latency.saturating_record(elapsed.as_micros() as u64);
            phase.answered += u64::from(answer.coverage.answered);
            phase.shards += u64::from(answer.coverage.shards);
            phase.wrong += u64::from(wrong);
        });
    }
}

/// Compares an answer with a scan of the data without the missing shards.
fn right(corpus: &Corpus, kind: &Kind, text: &str, answer: &Answer) -> bool {
    let shards = kind.snapshot().shards;
    let missing: Vec<u32> = answer
        .missing
        .iter()
        .map(|missing| missing.shard.0)
        .collect();
    let expected = corpus.expected(text, TOP.into(), shards, &missing);
    let same = answer.hits.len() == expected.len()
        && answer.hits.iter().zip(&expected).all(|(got, want)| {
            got.id == want.id && got.score == want.score && got.text == want.text
        });
    same && answer.coverage.shards == shards
        && answer.coverage.answered as usize + missing.len() == shards as usize
}

/// The emulated surroundings of the nodes.
struct World {
    platform: Platform,
    /// One upstream per service and domain.
    upstreams: Vec<(usize, &'static str, Upstream)>,
}

impl World {
    /// Starts the surroundings on a thread of their own.
    ///
    /// One thread runs tasks in order, so a leaf has ended a call that was reset before it counts the next one.
    async fn host(corpus: Corpus, seed: u64) -> anyhow::Result<Self> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (started, world) = oneshot::channel();
        std::thread::spawn(move || {
            runtime.block_on(async {
                let _ = started.send(Self::start(&corpus, seed).await);
                std::future::pending::<()>().await;
            });
        });
        world.await.context("the thread of the upstreams ended")?
    }

    async fn start(corpus: &Corpus, seed: u64) -> anyhow::Result<Self> {
        let platform = Platform::start(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let mut upstreams = Vec::new();
        for (number, kind) in KINDS.iter().enumerate() {
            let snapshots = vec![kind.snapshot()];
            let count = kind.instances * kind.leaves;
            let specs = assign_shards(count, 3, &DOMAINS, &snapshots, kind.slots, kind.connections);
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
                    connect_delay: Duration::from_millis(kind.open_ms),
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
            platform.put(&format!("map/{}", kind.name), None, &map);
            platform.put(&format!("service/{}", kind.name), None, POLICY);
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

    fn arrived(&self, domain: Option<&str>) -> u64 {
        let leaves = self
            .leaves()
            .filter(|(found, _)| domain.is_none_or(|domain| domain == *found));
        leaves.map(|(_, leaf)| leaf.arrived).sum()
    }

    /// Changes the behaviour of the first leaf of each service.
    fn one_leaf_each(&self, control: &LeafControl) -> anyhow::Result<()> {
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

    fn take_out(&self, domains: &[&str]) {
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
        Ok(broken) if broken.is_empty() => ExitCode::SUCCESS,
        Ok(broken) => {
            for line in broken {
                println!("BROKEN: {line}");
            }
            ExitCode::FAILURE
        }
        Err(fault) => {
            println!("the demo cannot run: {fault:#}");
            ExitCode::from(2)
        }
    }
}

/// Runs the demo and returns the invariants that broke.
async fn run(arguments: Arguments) -> anyhow::Result<Vec<String>> {
    ensure!(
        arguments.nodes > 0 && arguments.callers > 0,
        "at least one node and one caller"
    );
    let corpus = Corpus::read(&arguments.data)?;
    println!(
        "{} lines from {}",
        corpus.records().len(),
        arguments.data.display()
    );
    let world = World::host(corpus.clone(), arguments.seed).await?;
    let leaves = world.leaves().count();
    println!(
        "{} services on {leaves} leaves in {} failure domains",
        KINDS.len(),
        DOMAINS.len()
    );
    let nodes = NodeSpec::allocate(arguments.nodes, &DOMAINS)?;
    world
        .platform
        .put("vms", None, &vms_document(&nodes).to_string());
    for spec in &nodes {
        let text = spec.settings(world.platform.address(), &"5a".repeat(32), &nodes);
        let settings = Settings::parse(&text)
            .map_err(|faults| anyhow::anyhow!("settings of {}: {faults:?}", spec.id))?;
        let id = spec.id.clone();
        tokio::spawn(async move {
            if let Err(fault) = node::run(settings, std::future::pending()).await {
                println!("{id} ended: {fault:#}");
            }
        });
    }
    let client = || {
        let seeds = nodes.iter().map(|node| node.caller.to_string());
        Client::builder()
            .seeds(seeds)
            .deadline(Duration::from_secs(3))
    };
    wait_until_served(client()).await?;
    println!("{} nodes serve", nodes.len());
    let start = world.arrived(None);

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
        callers.spawn(call(shared.clone(), client, number, rng));
    }
    let out_calls = operate(&world, &shared, Duration::from_secs(arguments.seconds)).await?;
    shared.stop.store(true, Ordering::Relaxed);
    while let Some(ended) = callers.join_next().await {
        ended.context("a caller panicked")?;
    }
    shared.phase(|phase| phase.calls = world.arrived(None));
    Ok(report(&world, &shared, start, out_calls))
}

/// Waits until every service answers from all shards.
async fn wait_until_served(client: ClientBuilder) -> anyhow::Result<()> {
    let client = client.caller("start").build()?;
    let start = Instant::now();
    for kind in &KINDS {
        loop {
            let result = client.query(kind.name, &Query::new("start")).await;
            if result.as_ref().is_ok_and(Answer::is_full) {
                break;
            }
            ensure!(
                start.elapsed() < Duration::from_secs(60),
                "{} does not answer: {result:?}",
                kind.name
            );
            sleep(Duration::from_millis(200)).await;
        }
    }
    Ok(())
}

/// Changes the surroundings phase by phase; returns the calls that reached the domain that was out.
async fn operate(world: &World, shared: &Shared, length: Duration) -> anyhow::Result<u64> {
    sleep(length).await;
    let next = |name| {
        shared.phase(|phase| phase.calls = world.arrived(None));
        let mut phases = shared
            .phases
            .lock()
            .expect("no caller panics while it holds the lock");
        phases.push(Phase::new(name));
        shared.phase.store(phases.len() - 1, Ordering::Relaxed);
        println!("phase: {name}");
    };
    next("all well");
    sleep(length).await;

    next("straggler");
    let slow = LeafControl {
        slow_share: Some(0.2),
        slow_ms: Some(300),
        ..LeafControl::default()
    };
    world.one_leaf_each(&slow)?;
    sleep(length).await;
    world.one_leaf_each(&LeafControl {
        reset: true,
        ..LeafControl::default()
    })?;

    next("leaf crash");
    world.one_leaf_each(&LeafControl {
        crash: true,
        ..LeafControl::default()
    })?;
    sleep(length).await;

    next("domain out");
    world.take_out(&[OUT]);
    sleep(OUT_BOUND).await;
    let before = world.arrived(Some(OUT));
    sleep(length).await;
    let out_calls = world.arrived(Some(OUT)) - before;
    // The leaves of the domain return from a restart, so all of them are cold.
    for (.., upstream) in world
        .upstreams
        .iter()
        .filter(|(_, domain, _)| *domain == OUT)
    {
        upstream.control(&LeafControl {
            crash: true,
            ..LeafControl::default()
        })?;
    }
    sleep(Duration::from_secs(1)).await;

    next("domain returns");
    world.take_out(&[]);
    sleep(length).await;
    Ok(out_calls)
}

/// Queries the services in turn; every ninth request of the first caller runs at most once.
async fn call(shared: Arc<Shared>, client: Client, number: usize, mut rng: Pcg64) {
    let mut round = number;
    while !shared.stop.load(Ordering::Relaxed) {
        let kind = &KINDS[round % KINDS.len()];
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
            match client.once(kind.name, &Query::new(&*text).top(TOP)).await {
                Ok(OnceAnswer::Done(answer)) => {
                    shared.record(kind, &text, start.elapsed(), &answer)
                }
                _ => shared.phase(|phase| phase.errors += 1),
            }
        } else {
            match client.query(kind.name, &Query::new(&*text).top(TOP)).await {
                Ok(answer) => shared.record(kind, &text, start.elapsed(), &answer),
                Err(error) => shared.phase(|phase| {
                    phase.errors += 1;
                    phase.last_error = Some(error.to_string());
                }),
            }
        }
        sleep(THINK_TIME).await;
    }
}

/// Prints the table and returns the invariants that broke.
fn report(world: &World, shared: &Shared, start: u64, out_calls: u64) -> Vec<String> {
    let phases = shared.phases.lock().expect("all callers have ended");
    println!();
    println!(
        "{:<18} {:>8} {:>7} {:>8} {:>8} {:>10} {:>10} {:>6}",
        "phase", "queries", "errors", "p50 ms", "p99 ms", "coverage", "extra load", "wrong"
    );
    let mut total = Phase::new("total");
    let mut before = start;
    for phase in phases.iter() {
        println!("{}", phase.row(before));
        if let Some(error) = &phase.last_error {
            println!("{:18} last error: {error}", "");
        }
        before = phase.calls;
        total.latency += &phase.latency;
        total.errors += phase.errors;
        total.wrong += phase.wrong;
        total.answered += phase.answered;
        total.shards += phase.shards;
        total.calls = phase.calls;
    }
    println!("{}", total.row(start));
    println!();

    let mut runs: HashMap<(String, u32), u32> = HashMap::new();
    let mut above = 0;
    for (_, leaf) in world.leaves() {
        above += leaf.above_limit;
        if leaf.above_limit > 0 {
            println!("above its limit: {leaf:?}");
        }
    }
    for (.., upstream) in &world.upstreams {
        for run in upstream.executions().into_iter().filter(|run| run.once) {
            *runs.entry((run.text, run.shard)).or_default() += run.count;
        }
    }
    let repeated = runs.values().filter(|count| **count > 1).count() as u64;
    let checks = [
        ("wrong answers", total.wrong),
        ("calls above what a leaf can bear", above),
        ("calls to the domain that was out", out_calls),
        ("at-most-once shard calls that ran twice", repeated),
        ("violations seen by the nodes", invariant::violation_count()),
    ];
    let line = |(name, count): &(&str, u64)| format!("{name}: {count}");
    println!("{}", checks.iter().map(line).collect::<Vec<_>>().join("; "));
    checks
        .iter()
        .filter(|(_, count)| *count > 0)
        .map(line)
        .collect()
}
