//! Tests with real processes: nodes, upstreams and the platform communicate over loopback.

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
/// Time within which a failure domain that is taken out must stop getting calls. Time limit of invariants 4 and 8.
const TAKE_OUT_LIMIT: Duration = Duration::from_secs(5);

fn query(text: &str) -> Query {
    Query::new(text).top_k(25)
}

/// Runs `count` callers that send queries until `stop` is set and check every answer.
///
/// Returns the numbers of answers and errors.
async fn run_callers(cluster: &Cluster, count: usize, stop: &AtomicBool) -> (u32, u32) {
    let (answers, errors) = (AtomicU32::new(0), AtomicU32::new(0));
    let caller = async |caller: usize| {
        let client = cluster.client(&format!("caller-{caller}"));
        while !stop.load(Ordering::Relaxed) {
            for text in TEXTS {
                match client.query(SERVICE, &query(text)).await {
                    Ok(answer) => {
                        cluster.check_answer(&answer, text, 25);
                        answers.fetch_add(1, Ordering::Relaxed);
                    }
                    Err(error) => {
                        println!("query failed: {error}");
                        errors.fetch_add(1, Ordering::Relaxed);
                    }
                }
            }
        }
    };
    futures::future::join_all((0..count).map(caller)).await;
    (answers.into_inner(), errors.into_inner())
}

/// Sends queries until an answer covers all shards.
async fn wait_for_full_answer(cluster: &Cluster, caller: &str) {
    let client = cluster.client(caller);
    let last = Mutex::new(None);
    let full = || async {
        let result = client.query(SERVICE, &query("brass")).await;
        if let Ok(answer) = &result {
            cluster.check_answer(answer, "brass", 25);
        }
        let full = result.as_ref().is_ok_and(Answer::is_complete);
        *last.lock().unwrap() = Some(result);
        full
    };
    assert!(
        eventually(full).await,
        "no answer covered all shards, last result: {last:?}"
    );
}

/// Guards against lost, duplicate or misordered hits when answers are merged, and against wrong exit codes of `ask`.
#[tokio::test(flavor = "multi_thread")]
async fn merged_answers_match_the_data() {
    let cluster = Cluster::start(Setup::default()).await;
    wait_for_full_answer(&cluster, "first").await;
    for (n, text) in TEXTS.iter().cycle().take(24).enumerate() {
        let body = json!({"text": text, "top": 25});
        let path = format!("services/{SERVICE}/query");
        let (status, answer) = cluster.post(n % 4, &path, &[], &body).await.unwrap();
        assert_eq!(status, StatusCode::OK, "{answer}");
        let answer: Answer = serde_json::from_value(answer).unwrap();
        cluster.check_answer(&answer, text, 25);
        assert!(answer.is_complete(), "{:?}", answer.missing);
    }
    let (code, output) = cluster.ask(&["--json", "--top", "5", "jet", "0.80"]);
    assert_eq!(code, Some(0));
    cluster.check_answer(&serde_json::from_str(&output).unwrap(), "jet 0.80", 5);
    assert_eq!(cluster.ask(&["--once", "jet", "1.05"]).0, Some(0));
    assert_eq!(cluster.ask(&[]).0, Some(2));
    let (status, error) = cluster
        .post(
            0,
            "services/none/query",
            &[],
            &json!({"text": "x", "top": 1}),
        )
        .await
        .unwrap();
    assert!(
        status.is_client_error() && error["not_run"] == true,
        "{status} {error}"
    );
    cluster.assert_no_violations().await;
}

/// Guards against coverage that counts shards which no leaf searched, and against shards that stay missing after their
/// leaves return.
#[tokio::test(flavor = "multi_thread")]
async fn coverage_is_correct_after_leaves_are_killed() {
    let mut cluster = Cluster::start(Setup {
        replicas: 1,
        policy: "deadline_ms = 1500\nmax_deadline_ms = 10000\nmax_top = 100\n\
                 partial_after_ms = 500\nmin_coverage = 0.5\n",
        ..Setup::default()
    })
    .await;
    wait_for_full_answer(&cluster, "before").await;
    cluster.upstreams[0].process.kill();
    let lost_shards: BTreeSet<u32> = cluster.upstreams[0]
        .leaves
        .iter()
        .flat_map(|leaf| leaf.shards[&1].clone())
        .collect();
    let client = cluster.client("during");
    let only_lost_missing = || async {
        let Ok(answer) = client.query(SERVICE, &query("brass")).await else {
            return false;
        };
        cluster.check_answer(&answer, "brass", 25);
        let missing: BTreeSet<u32> = answer
            .missing
            .iter()
            .map(|missing| missing.shard.0)
            .collect();
        assert!(
            missing.is_superset(&lost_shards),
            "a shard without a live leaf was counted as answered: {answer:?}"
        );
        missing == lost_shards
    };
    assert!(
        eventually(only_lost_missing).await,
        "shards of live leaves stay missing"
    );
    assert_eq!(cluster.ask(&["brass"]).0, Some(3));
    cluster.restart_upstream(0);
    wait_for_full_answer(&cluster, "after").await;
    cluster.assert_no_violations().await;
}

/// Guards against an answer that mixes hits from two snapshots while the index is repartitioned.
#[tokio::test(flavor = "multi_thread")]
async fn repartitioning_does_not_mix_snapshots() {
    let (old, new) = (SnapshotSpec::serving(1, 8), SnapshotSpec::serving(2, 12));
    let cluster = Cluster::start(Setup {
        snapshots: vec![old.clone(), new.clone()],
        ..Setup::default()
    })
    .await;
    wait_for_full_answer(&cluster, "first").await;
    let stop = AtomicBool::new(false);
    let change = async {
        cluster.put_map(&[old, new.clone()]).await;
        let client = cluster.client("change");
        let serves_new = || async {
            let answer = client.query(SERVICE, &query("brass")).await;
            answer.is_ok_and(|answer| answer.snapshot.0 == 2 && answer.is_complete())
        };
        let changed = eventually(serves_new).await;
        cluster
            .control_leaves(LeafControl {
                serving: Some(vec![2]),
                ..LeafControl::default()
            })
            .await;
        cluster.put_map(&[new]).await;
        sleep(Duration::from_secs(3)).await;
        stop.store(true, Ordering::Relaxed);
        assert!(changed, "no full answer from the new snapshot");
    };
    let ((answers, _), ()) = tokio::join!(run_callers(&cluster, 3, &stop), change);
    assert!(answers > 0);
    cluster.assert_no_violations().await;
}

/// Guards against a second run when the same request is sent to several nodes, and against a key that is accepted for a
/// different body.
#[tokio::test(flavor = "multi_thread")]
async fn resends_to_several_nodes_run_once() {
    let cluster = Arc::new(Cluster::start(Setup::default()).await);
    wait_for_full_answer(&cluster, "first").await;
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
        let repeated = cluster
            .post(3, &path, &[("idempotency-key", &key)], &body)
            .await
            .unwrap();
        for (_, answer) in answers.iter().chain([&repeated]) {
            assert_eq!(answer["outcome"], "done", "{answer}");
            assert_eq!(answer["hits"], repeated.1["hits"]);
            let answer: Answer = serde_json::from_value(answer.clone()).unwrap();
            cluster.check_answer(&answer, &text, 25);
        }
        let runs = cluster.once_runs().await;
        assert!(runs[&text].values().all(|count| *count == 1), "{runs:?}");
        let other = json!({"text": "another body", "top": 25});
        let (status, error) = cluster
            .post(1, &path, &[("idempotency-key", &key)], &other)
            .await
            .unwrap();
        assert!(status.is_client_error(), "{status} {error}");
        assert!(!cluster.once_runs().await.contains_key("another body"));
    }
    cluster.assert_no_violations().await;
}

/// Guards against an at-most-once request that runs twice or reports a wrong outcome when its node is killed.
#[tokio::test(flavor = "multi_thread")]
async fn killing_a_node_does_not_repeat_requests() {
    let mut cluster = Cluster::start(Setup::default()).await;
    wait_for_full_answer(&cluster, "first").await;
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
    let all_runs = cluster.once_runs().await;
    let mut done = 0;
    for (text, outcome) in outcomes {
        let runs = all_runs.get(&text).cloned().unwrap_or_default();
        assert!(
            runs.values().all(|count| *count == 1),
            "{text} ran twice: {runs:?}"
        );
        match outcome {
            Ok(OnceAnswer::Done(answer)) => {
                cluster.check_answer(&answer, &text, 25);
                assert!(
                    runs.len() as u32 >= answer.coverage.answered,
                    "{text}: {runs:?}"
                );
                done += 1;
            }
            Ok(OnceAnswer::Unknown { .. }) => {}
            Ok(OnceAnswer::NotRun { reason }) => assert!(runs.is_empty(), "{text}: {reason}"),
            Err(error) => assert!(runs.is_empty(), "{text}: {error}"),
        }
    }
    assert!(done > 0);
    wait_for_full_answer(&cluster, "after").await;
    cluster.restart_node(1);
    cluster.wait_until_ready(1).await;
    cluster.assert_no_violations().await;
}

/// Guards against a graceful shutdown that aborts requests, rejects callers that still use the node's address, or does
/// not complete.
#[tokio::test(flavor = "multi_thread")]
async fn sigterm_does_not_abort_queries() {
    let mut cluster = Cluster::start(Setup::default()).await;
    wait_for_full_answer(&cluster, "first").await;
    let stop = AtomicBool::new(false);
    cluster.nodes[0].process.signal(Signal::TERM);
    // A leaving node keeps serving for the 30 s lifetime of address answers plus a margin of 5 s.
    let direct = async {
        let start = Instant::now();
        let path = format!("services/{SERVICE}/query");
        while start.elapsed() < Duration::from_secs(25) {
            let body = json!({"text": "brass", "top": 25});
            let (status, answer) = cluster.post(0, &path, &[], &body).await.unwrap();
            assert_eq!(status, StatusCode::OK, "{answer}");
            cluster.check_answer(&serde_json::from_value(answer).unwrap(), "brass", 25);
        }
        sleep(Duration::from_secs(15)).await;
        stop.store(true, Ordering::Relaxed);
    };
    let ((answers, errors), ()) = tokio::join!(run_callers(&cluster, 3, &stop), direct);
    assert!(answers > 0);
    assert_eq!(errors, 0);
    let status = cluster.nodes[0].process.wait_for_exit().await;
    assert!(status.success(), "{status}");
    wait_for_full_answer(&cluster, "after").await;
    cluster.assert_no_violations().await;
}

/// Guards against a node that acts on an outdated configuration when it resumes after a pause.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_node_sends_no_calls_to_a_domain_taken_out_during_the_pause() {
    let cluster = Cluster::start(Setup::default()).await;
    wait_for_full_answer(&cluster, "first").await;
    let path = format!("services/{SERVICE}/query");
    let body = json!({"text": "brass", "top": 25});
    cluster.nodes[2].process.signal(Signal::STOP);
    cluster.set_domains_out(&["b"]).await;
    let start = Instant::now();
    wait_for_full_answer(&cluster, "paused").await;
    sleep((TAKE_OUT_LIMIT + Duration::from_secs(3)).saturating_sub(start.elapsed())).await;
    let before = cluster.arrived_calls("b").await;
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
        cluster.check_answer(&serde_json::from_value(answer).unwrap(), "brass", 25);
    }
    wait_for_full_answer(&cluster, "resumed").await;
    let resumed = || async {
        let answer = cluster.post(2, &path, &[], &body).await;
        answer.is_ok_and(|(status, _)| status.is_success())
    };
    assert!(
        eventually(resumed).await,
        "the resumed node does not answer queries"
    );
    assert_eq!(
        cluster.arrived_calls("b").await,
        before,
        "calls reached a failure domain that is out"
    );
    cluster.assert_no_violations().await;
}

/// Guards against nodes that cannot serve or start without the platform, and against a configuration that reverts to an
/// older state.
#[tokio::test(flavor = "multi_thread")]
async fn queries_continue_while_the_platform_is_down_or_stale() {
    let mut cluster = Cluster::start(Setup::default()).await;
    wait_for_full_answer(&cluster, "first").await;
    cluster.set_domains_out(&["c"]).await;
    sleep(TAKE_OUT_LIMIT).await;
    let before = cluster.arrived_calls("c").await;
    // The platform now serves the state from before the domain was taken out.
    cluster
        .control_platform(PlatformControl {
            rollback: Some(3),
            ..PlatformControl::default()
        })
        .await;
    sleep(Duration::from_secs(3)).await;
    wait_for_full_answer(&cluster, "stale").await;
    cluster
        .control_platform(PlatformControl {
            down: Some(true),
            ..PlatformControl::default()
        })
        .await;
    cluster.restart_node(3);
    cluster.wait_until_ready(3).await;
    let stop = AtomicBool::new(false);
    let timer = async {
        sleep(Duration::from_secs(6)).await;
        stop.store(true, Ordering::Relaxed);
    };
    let ((answers, errors), ()) = tokio::join!(run_callers(&cluster, 2, &stop), timer);
    assert!(answers > 0);
    assert_eq!(errors, 0);
    assert_eq!(
        cluster.arrived_calls("c").await,
        before,
        "calls reached a failure domain that is out"
    );
    let up = PlatformControl {
        down: Some(false),
        stale: Some(false),
        ..PlatformControl::default()
    };
    cluster.control_platform(up).await;
    cluster.set_domains_out(&[]).await;
    let client = cluster.client("up");
    let gets_calls = || async {
        client.query(SERVICE, &query("brass")).await.ok();
        cluster.arrived_calls("c").await > before
    };
    assert!(
        eventually(gets_calls).await,
        "the failure domain gets no calls after its return"
    );
    cluster.assert_no_violations().await;
}

/// Guards against new calls to a failure domain that is out, and against overload of its cold leaves at its return.
#[tokio::test(flavor = "multi_thread")]
async fn domain_drains_within_the_time_limit_and_warms_up_after_return() {
    let cluster = Cluster::start(Setup::default()).await;
    wait_for_full_answer(&cluster, "first").await;
    let stop = AtomicBool::new(false);
    let operator = async {
        cluster.set_domains_out(&["a"]).await;
        sleep(TAKE_OUT_LIMIT).await;
        let before = cluster.arrived_calls("a").await;
        sleep(Duration::from_secs(2)).await;
        let out = cluster.arrived_calls("a").await;
        // The leaves are cold at their return, as after a power loss of the domain.
        let crash = LeafControl {
            crash: true,
            ..LeafControl::default()
        };
        cluster.control_domain(0, &crash).await;
        sleep(Duration::from_secs(1)).await;
        cluster.set_domains_out(&[]).await;
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
        tokio::join!(run_callers(&cluster, 6, &stop), operator);
    assert!(answers > 0);
    assert_eq!(before, out, "calls reached a failure domain that is out");
    assert!(
        returned,
        "the failure domain does not warm up after its return"
    );
    for leaf in &cluster.counters().await["a"] {
        assert_eq!(
            leaf.max_cold_instance, 1,
            "a cold leaf got more than one call at a time: {leaf:?}"
        );
    }
    cluster.assert_no_violations().await;
}

/// Guards against a query that crashes one leaf after another, and against leaves that stay unavailable to other
/// queries afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn a_crash_query_crashes_at_most_two_leaves() {
    let cluster = Cluster::start(Setup::default()).await;
    wait_for_full_answer(&cluster, "first").await;
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
        // Leaves time for the crash to reach the other nodes by gossip.
        sleep(Duration::from_secs(2)).await;
    }
    let leaves = cluster.counters().await;
    let crashes: Vec<u64> = leaves.values().flatten().map(|leaf| leaf.crashes).collect();
    assert!(
        (1..=2).contains(&crashes.iter().sum::<u64>()),
        "{crashes:?}"
    );
    wait_for_full_answer(&cluster, "after").await;
    cluster.assert_no_violations().await;
}

/// Guards against queries that wait for an answer on a silent connection.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_are_replaced() {
    let cluster = Cluster::start(Setup::default()).await;
    wait_for_full_answer(&cluster, "first").await;
    let total_opened = |counters: &BTreeMap<&str, Vec<LeafCounters>>| {
        let leaves = counters.values().flatten();
        leaves.map(|leaf| leaf.connections).sum::<u64>()
    };
    let before = total_opened(&cluster.counters().await);
    cluster
        .control_leaves(LeafControl {
            silent: true,
            ..LeafControl::default()
        })
        .await;
    for n in 0..4 {
        wait_for_full_answer(&cluster, &format!("after-{n}")).await;
    }
    let counters = cluster.counters().await;
    assert!(total_opened(&counters) > before);
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
    cluster.assert_no_violations().await;
}
