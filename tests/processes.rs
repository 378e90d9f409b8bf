//! Tests with real processes: nodes, upstreams and the platform talk over loopback.

mod support;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use cranberrychute::client::{Answer, OnceAnswer, Query};
use cranberrychute_emulator::{LeafControl, LeafCounters, PlatformControl, SnapshotSpec};
use http::StatusCode;
use rustix::process::Signal;
use serde_json::json;
use support::{Cluster, DOMAINS, SERVICE, Setup, eventually};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

const TEXTS: [&str; 6] = [
    "jet 0.80 propane",
    "thermocouple Karpat",
    "lantern hoop crimson",
    "repair pilot goes out",
    "brass",
    "no such word zzyzx",
];
/// The bound of invariants 4 and 8.
const OUT_BOUND: Duration = Duration::from_secs(5);

fn query(text: &str) -> Query {
    Query::new(text).top_k(25)
}

/// Runs queries in turn until `stop`, checks every answer and returns the numbers of answers and errors.
async fn callers(cluster: &Cluster, count: usize, stop: &AtomicBool) -> (u32, u32) {
    let (answers, errors) = (AtomicU32::new(0), AtomicU32::new(0));
    let caller = async |caller: usize| {
        let client = cluster.client(&format!("caller-{caller}"));
        while !stop.load(Ordering::Relaxed) {
            for text in TEXTS {
                match client.query(SERVICE, &query(text)).await {
                    Ok(answer) => {
                        cluster.check(&answer, text, 25);
                        answers.fetch_add(1, Ordering::Relaxed);
                    }
                    Err(fault) => {
                        println!("query failed: {fault}");
                        errors.fetch_add(1, Ordering::Relaxed);
                    }
                }
            }
        }
    };
    futures::future::join_all((0..count).map(caller)).await;
    (answers.into_inner(), errors.into_inner())
}

/// Queries until an answer covers every shard.
async fn until_full(cluster: &Cluster, caller: &str) {
    let client = cluster.client(caller);
    let last = Mutex::new(None);
    let full = || async {
        let result = client.query(SERVICE, &query("brass")).await;
        if let Ok(answer) = &result {
            cluster.check(answer, "brass", 25);
        }
        let full = result.as_ref().is_ok_and(Answer::is_complete);
        *last.lock().unwrap() = Some(result);
        full
    };
    assert!(
        eventually(full).await,
        "no answer covers every shard: {last:?}"
    );
}

/// Guards against lost, doubled or misordered hits on the way through real processes, and wrong exit codes.
#[tokio::test(flavor = "multi_thread")]
async fn merged_answers_are_right() {
    let cluster = Cluster::start(Setup::default()).await;
    until_full(&cluster, "first").await;
    for (n, text) in TEXTS.iter().cycle().take(24).enumerate() {
        let body = json!({"text": text, "top": 25});
        let path = format!("services/{SERVICE}/query");
        let (status, answer) = cluster.post(n % 4, &path, &[], &body).await.unwrap();
        assert_eq!(status, StatusCode::OK, "{answer}");
        let answer: Answer = serde_json::from_value(answer).unwrap();
        cluster.check(&answer, text, 25);
        assert!(answer.is_complete(), "{:?}", answer.missing);
    }
    let (code, output) = cluster.ask(&["--json", "--top", "5", "jet", "0.80"]);
    assert_eq!(code, Some(0));
    cluster.check(&serde_json::from_str(&output).unwrap(), "jet 0.80", 5);
    assert_eq!(cluster.ask(&["--once", "jet", "1.05"]).0, Some(0));
    assert_eq!(cluster.ask(&[]).0, Some(2));
    let (status, fault) = cluster
        .post(
            0,
            "services/none/query",
            &[],
            &json!({"text": "x", "top": 1}),
        )
        .await
        .unwrap();
    assert!(
        status.is_client_error() && fault["not_run"] == true,
        "{status} {fault}"
    );
    cluster.no_violation().await;
}

/// Guards against coverage that counts shards nobody searched, and against shards that stay lost.
#[tokio::test(flavor = "multi_thread")]
async fn coverage_is_true_when_leaves_are_killed() {
    let mut cluster = Cluster::start(Setup {
        replicas: 1,
        policy: "deadline_ms = 1500\nmax_deadline_ms = 10000\nmax_top = 100\n\
                 partial_after_ms = 500\nmin_coverage = 0.5\n",
        ..Setup::default()
    })
    .await;
    until_full(&cluster, "before").await;
    cluster.upstreams[0].process.kill();
    let lost: BTreeSet<u32> = cluster.upstreams[0]
        .leaves
        .iter()
        .flat_map(|leaf| leaf.shards[&1].clone())
        .collect();
    let client = cluster.client("during");
    let exact = || async {
        let Ok(answer) = client.query(SERVICE, &query("brass")).await else {
            return false;
        };
        cluster.check(&answer, "brass", 25);
        let missing: BTreeSet<u32> = answer
            .missing
            .iter()
            .map(|missing| missing.shard.0)
            .collect();
        assert!(
            missing.is_superset(&lost),
            "a dead shard was counted: {answer:?}"
        );
        missing == lost
    };
    assert!(
        eventually(exact).await,
        "the shards of living leaves stay missing"
    );
    assert_eq!(cluster.ask(&["brass"]).0, Some(3));
    cluster.restart_upstream(0);
    until_full(&cluster, "after").await;
    cluster.no_violation().await;
}

/// Guards against an answer that mixes two partitions of the index.
#[tokio::test(flavor = "multi_thread")]
async fn repartitioning_during_queries_mixes_nothing() {
    let (old, new) = (SnapshotSpec::serving(1, 8), SnapshotSpec::serving(2, 12));
    let cluster = Cluster::start(Setup {
        snapshots: vec![old.clone(), new.clone()],
        ..Setup::default()
    })
    .await;
    until_full(&cluster, "first").await;
    let stop = AtomicBool::new(false);
    let change = async {
        cluster.put_map(&[old, new.clone()]).await;
        let client = cluster.client("change");
        let arrived = || async {
            let answer = client.query(SERVICE, &query("brass")).await;
            answer.is_ok_and(|answer| answer.snapshot.0 == 2 && answer.is_complete())
        };
        let changed = eventually(arrived).await;
        cluster
            .control_leaves(LeafControl {
                serving: Some(vec![2]),
                ..LeafControl::default()
            })
            .await;
        cluster.put_map(&[new]).await;
        sleep(Duration::from_secs(3)).await;
        stop.store(true, Ordering::Relaxed);
        assert!(changed, "no answer from the new snapshot");
    };
    let ((answers, _), ()) = tokio::join!(callers(&cluster, 3, &stop), change);
    assert!(answers > 0);
    cluster.no_violation().await;
}

/// Guards against a second run when the same request reaches several nodes, and against a key used for another body.
#[tokio::test(flavor = "multi_thread")]
async fn resends_to_other_nodes_run_once() {
    let cluster = Arc::new(Cluster::start(Setup::default()).await);
    until_full(&cluster, "first").await;
    let path = format!("services/{SERVICE}/once");
    for round in 0..5 {
        let text = format!("brass work order {round}");
        let body = json!({"text": text, "top": 25});
        let (status, key) = cluster
            .post(round % 4, "keys", &[], &json!({}))
            .await
            .unwrap();
        assert_eq!(status, StatusCode::OK, "{key}");
        let key = key["key"].as_str().unwrap().to_owned();
        let mut sends = JoinSet::new();
        for node in [0, 1, 2, 3, 0, 2] {
            let (cluster, path) = (cluster.clone(), path.clone());
            let (key, body) = (key.clone(), body.clone());
            sends.spawn(async move {
                cluster
                    .post(node, &path, &[("idempotency-key", &key)], &body)
                    .await
                    .unwrap()
            });
        }
        let answers = sends.join_all().await;
        let again = cluster
            .post(3, &path, &[("idempotency-key", &key)], &body)
            .await
            .unwrap();
        for (_, answer) in answers.iter().chain([&again]) {
            assert_eq!(answer["outcome"], "done", "{answer}");
            assert_eq!(answer["hits"], again.1["hits"]);
            let answer: Answer = serde_json::from_value(answer.clone()).unwrap();
            cluster.check(&answer, &text, 25);
        }
        let runs = cluster.once_runs().await;
        assert!(runs[&text].values().all(|count| *count == 1), "{runs:?}");
        let other = json!({"text": "another body", "top": 25});
        let (status, fault) = cluster
            .post(1, &path, &[("idempotency-key", &key)], &other)
            .await
            .unwrap();
        assert!(status.is_client_error(), "{status} {fault}");
        assert!(!cluster.once_runs().await.contains_key("another body"));
    }
    cluster.no_violation().await;
}

/// Guards against a request that runs twice, or whose reported outcome is false, when its node is killed.
#[tokio::test(flavor = "multi_thread")]
async fn killing_a_node_repeats_nothing() {
    let mut cluster = Cluster::start(Setup::default()).await;
    until_full(&cluster, "first").await;
    cluster
        .control_leaves(LeafControl {
            service_us: Some(20_000),
            ..LeafControl::default()
        })
        .await;
    let clients: Vec<_> = (0..6)
        .map(|n| cluster.client(&format!("caller-{n}")))
        .collect();
    let mut requests = JoinSet::new();
    for (n, client) in clients.into_iter().enumerate() {
        requests.spawn(async move {
            let mut outcomes = Vec::new();
            for round in 0..30 {
                let text = format!("brass order {n} {round}");
                let outcome = client.query_once(SERVICE, &query(&text)).await;
                client.query(SERVICE, &query("brass")).await.ok();
                outcomes.push((text, outcome));
            }
            outcomes
        });
    }
    sleep(Duration::from_millis(700)).await;
    cluster.nodes[1].process.kill();
    let outcomes: Vec<_> = requests.join_all().await.into_iter().flatten().collect();
    let all = cluster.once_runs().await;
    let mut done = 0;
    for (text, outcome) in outcomes {
        let runs = all.get(&text).cloned().unwrap_or_default();
        assert!(
            runs.values().all(|count| *count == 1),
            "{text} ran twice: {runs:?}"
        );
        match outcome {
            Ok(OnceAnswer::Done(answer)) => {
                cluster.check(&answer, &text, 25);
                assert!(
                    runs.len() as u32 >= answer.coverage.answered,
                    "{text}: {runs:?}"
                );
                done += 1;
            }
            Ok(OnceAnswer::Unknown { .. }) => {}
            Ok(OnceAnswer::NotRun { reason }) => assert!(runs.is_empty(), "{text}: {reason}"),
            Err(fault) => assert!(runs.is_empty(), "{text}: {fault}"),
        }
    }
    assert!(done > 0);
    until_full(&cluster, "after").await;
    cluster.restart_node(1);
    cluster.ready(1).await;
    cluster.no_violation().await;
}

/// Guards against a planned stop that cuts requests, refuses callers that still hold the address, or never ends.
#[tokio::test(flavor = "multi_thread")]
async fn sigterm_cuts_no_query() {
    let mut cluster = Cluster::start(Setup::default()).await;
    until_full(&cluster, "first").await;
    let stop = AtomicBool::new(false);
    cluster.nodes[0].process.signal(Signal::TERM);
    // A leaving node serves for the 30 s its address was promised and 5 s more.
    let direct = async {
        let start = Instant::now();
        let path = format!("services/{SERVICE}/query");
        while start.elapsed() < Duration::from_secs(25) {
            let body = json!({"text": "brass", "top": 25});
            let (status, answer) = cluster.post(0, &path, &[], &body).await.unwrap();
            assert_eq!(status, StatusCode::OK, "{answer}");
            cluster.check(&serde_json::from_value(answer).unwrap(), "brass", 25);
        }
        sleep(Duration::from_secs(15)).await;
        stop.store(true, Ordering::Relaxed);
    };
    let ((answers, errors), ()) = tokio::join!(callers(&cluster, 3, &stop), direct);
    assert!(answers > 0);
    assert_eq!(errors, 0);
    let status = cluster.nodes[0].process.ended().await;
    assert!(status.success(), "{status}");
    until_full(&cluster, "after").await;
    cluster.no_violation().await;
}

/// Guards against a node that acts on what it knew before a pause.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_node_sends_nothing_to_a_domain_taken_out_meanwhile() {
    let cluster = Cluster::start(Setup::default()).await;
    until_full(&cluster, "first").await;
    let path = format!("services/{SERVICE}/query");
    let body = json!({"text": "brass", "top": 25});
    cluster.nodes[2].process.signal(Signal::STOP);
    cluster.take_out(&["b"]).await;
    let start = Instant::now();
    until_full(&cluster, "paused").await;
    sleep((OUT_BOUND + Duration::from_secs(3)).saturating_sub(start.elapsed())).await;
    let before = cluster.arrived("b").await;
    let sent = futures::future::join_all((0..8).map(|_| cluster.post(2, &path, &[], &body)));
    let resume = async {
        sleep(Duration::from_millis(200)).await;
        cluster.nodes[2].process.signal(Signal::CONT);
    };
    let (answers, ()) = tokio::join!(sent, resume);
    for (_, answer) in answers
        .into_iter()
        .flatten()
        .filter(|(status, _)| status.is_success())
    {
        cluster.check(&serde_json::from_value(answer).unwrap(), "brass", 25);
    }
    until_full(&cluster, "resumed").await;
    let resumed = || async {
        let answer = cluster.post(2, &path, &[], &body).await;
        answer.is_ok_and(|(status, _)| status.is_success())
    };
    assert!(
        eventually(resumed).await,
        "the resumed node answers no query"
    );
    assert_eq!(
        cluster.arrived("b").await,
        before,
        "work reached a domain that is out"
    );
    cluster.no_violation().await;
}

/// Guards against nodes that need the platform to serve or to start, and against a state that reverts.
#[tokio::test(flavor = "multi_thread")]
async fn queries_continue_while_the_platform_is_down_or_stale() {
    let mut cluster = Cluster::start(Setup::default()).await;
    until_full(&cluster, "first").await;
    cluster.take_out(&["c"]).await;
    sleep(OUT_BOUND).await;
    let before = cluster.arrived("c").await;
    // The rollback serves the state before the domain was taken out.
    cluster
        .control_platform(PlatformControl {
            rollback: Some(3),
            ..PlatformControl::default()
        })
        .await;
    sleep(Duration::from_secs(3)).await;
    until_full(&cluster, "stale").await;
    cluster
        .control_platform(PlatformControl {
            down: Some(true),
            ..PlatformControl::default()
        })
        .await;
    cluster.restart_node(3);
    cluster.ready(3).await;
    let stop = AtomicBool::new(false);
    let timer = async {
        sleep(Duration::from_secs(6)).await;
        stop.store(true, Ordering::Relaxed);
    };
    let ((answers, errors), ()) = tokio::join!(callers(&cluster, 2, &stop), timer);
    assert!(answers > 0);
    assert_eq!(errors, 0);
    assert_eq!(
        cluster.arrived("c").await,
        before,
        "work reached a domain that is out"
    );
    let up = PlatformControl {
        down: Some(false),
        stale: Some(false),
        ..PlatformControl::default()
    };
    cluster.control_platform(up).await;
    cluster.take_out(&[]).await;
    let client = cluster.client("up");
    let back = || async {
        client.query(SERVICE, &query("brass")).await.ok();
        cluster.arrived("c").await > before
    };
    assert!(
        eventually(back).await,
        "the domain gets no work after its return"
    );
    cluster.no_violation().await;
}

/// Guards against new work in a domain that is out, and against a rush at its return.
#[tokio::test(flavor = "multi_thread")]
async fn a_domain_leaves_within_the_bound_and_returns_by_a_ramp() {
    let cluster = Cluster::start(Setup::default()).await;
    until_full(&cluster, "first").await;
    let stop = AtomicBool::new(false);
    let operator = async {
        cluster.take_out(&["a"]).await;
        sleep(OUT_BOUND).await;
        let before = cluster.arrived("a").await;
        sleep(Duration::from_secs(2)).await;
        let out = cluster.arrived("a").await;
        // The leaves return cold, as after a power loss of the domain.
        let crash = LeafControl {
            crash: true,
            ..LeafControl::default()
        };
        cluster.control_domain(0, &crash).await;
        sleep(Duration::from_secs(1)).await;
        cluster.take_out(&[]).await;
        let warm = || async {
            let leaves = &cluster.counters().await["a"];
            leaves
                .iter()
                .all(|leaf| leaf.executed > 64 && leaf.max_warm > 0)
                && leaves.iter().map(|leaf| leaf.arrived).sum::<u64>() > out + 100
        };
        let returned = eventually(warm).await;
        stop.store(true, Ordering::Relaxed);
        (before, out, returned)
    };
    let ((answers, _), (before, out, returned)) =
        tokio::join!(callers(&cluster, 6, &stop), operator);
    assert!(answers > 0);
    assert_eq!(before, out, "work reached a domain that is out");
    assert!(returned, "the domain does not warm up after its return");
    for leaf in &cluster.counters().await["a"] {
        assert_eq!(
            leaf.max_cold_instance, 1,
            "a cold leaf got more than it can bear: {leaf:?}"
        );
    }
    cluster.no_violation().await;
}

/// Guards against a query that takes down leaf after leaf, and against leaves lost for other queries.
#[tokio::test(flavor = "multi_thread")]
async fn a_crash_query_crashes_at_most_two_leaves() {
    let cluster = Cluster::start(Setup::default()).await;
    until_full(&cluster, "first").await;
    let poison = LeafControl {
        crash_text: Some("poison".into()),
        ..LeafControl::default()
    };
    cluster.control_leaves(poison).await;
    for round in 0..8 {
        let body = json!({"text": "poison pie", "top": 5});
        let path = format!("services/{SERVICE}/query");
        let answer = cluster.post(round % 4, &path, &[], &body).await;
        println!("round {round}: {answer:?}");
        // Other nodes learn of a crash by gossip.
        sleep(Duration::from_secs(2)).await;
    }
    let leaves = cluster.counters().await;
    let crashes: Vec<u64> = leaves.values().flatten().map(|leaf| leaf.crashes).collect();
    assert!(
        (1..=2).contains(&crashes.iter().sum::<u64>()),
        "{crashes:?}"
    );
    until_full(&cluster, "after").await;
    cluster.no_violation().await;
}

/// Guards against queries that wait on a connection that will never answer.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_are_replaced() {
    let cluster = Cluster::start(Setup::default()).await;
    until_full(&cluster, "first").await;
    let opened = |counters: &BTreeMap<&str, Vec<LeafCounters>>| {
        let leaves = counters.values().flatten();
        leaves.map(|leaf| leaf.connections).sum::<u64>()
    };
    let before = opened(&cluster.counters().await);
    cluster
        .control_leaves(LeafControl {
            silent: true,
            ..LeafControl::default()
        })
        .await;
    for n in 0..4 {
        until_full(&cluster, &format!("after-{n}")).await;
    }
    let counters = cluster.counters().await;
    assert!(opened(&counters) > before);
    for leaf in counters.values().flatten() {
        assert!(
            leaf.max_connections <= 50 && leaf.refused_connections == 0,
            "{leaf:?}"
        );
    }
    assert!(
        DOMAINS
            .iter()
            .all(|domain| counters[domain].iter().all(|leaf| leaf.crashes == 0))
    );
    cluster.no_violation().await;
}
