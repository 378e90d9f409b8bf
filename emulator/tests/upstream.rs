//! Tests of the emulated leaves. The tests of the node rely on their correct behaviour.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use cranberrychute_emulator::{
    Corpus, Fault, Hit, LeafControl, LeafSpec, Record, SnapshotSpec, Upstream, UpstreamSettings,
    assign_shards, map_document,
};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::{Value, json};

type Http = Client<HttpConnector, Full<Bytes>>;

fn http() -> Http {
    Client::builder(TokioExecutor::new())
        .http2_only(true)
        .build_http()
}

fn corpus() -> Corpus {
    let records = (0..200).map(|n| Record {
        id: format!("r-{n:03}").into(),
        title: format!("jet {}", n % 7).into(),
        text: format!("brass jet for burner {} size {}", n % 5, n % 11).into(),
    });
    Corpus::new(records.collect()).unwrap()
}

fn two_snapshots() -> Vec<SnapshotSpec> {
    vec![SnapshotSpec::serving(1, 4), SnapshotSpec::serving(2, 6)]
}

/// Starts one leaf with shard 0 of 1, two slots and a cold capacity of one.
async fn one_leaf(change: impl FnOnce(&mut UpstreamSettings)) -> (Upstream, SocketAddr) {
    let leaf = LeafSpec {
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        domain: "a".into(),
        slots: 2,
        connections: 8,
        cold_capacity: 1,
        shards: BTreeMap::from([(1, vec![0])]),
    };
    let mut settings = UpstreamSettings::new(vec![SnapshotSpec::serving(1, 1)], vec![leaf]);
    settings.cold_calls = 0;
    settings.restart_delay = Duration::from_millis(20);
    change(&mut settings);
    let upstream = Upstream::start(settings, &corpus()).await.unwrap();
    let address = upstream.specs()[0].address;
    (upstream, address)
}

async fn send(
    http: &Http,
    leaf: SocketAddr,
    snapshot: u64,
    shard: u32,
    text: &str,
) -> Result<(StatusCode, bool, Bytes), Box<dyn std::error::Error + Send + Sync>> {
    let body = json!({"snapshot": snapshot, "shard": shard, "text": text, "top": 5, "once": false});
    let request = Request::post(format!("http://{leaf}/v1/search"))
        .header("x-request-id", "r1")
        .header("x-deadline-ms", "5000")
        .body(Full::from(body.to_string()))?;
    let response = http.request(request).await?;
    let (status, rejected) = (
        response.status(),
        response.headers().contains_key("x-not-run"),
    );
    Ok((
        status,
        rejected,
        response.into_body().collect().await?.to_bytes(),
    ))
}

async fn search(leaf: SocketAddr, snapshot: u64, text: &str) -> (StatusCode, bool, Value) {
    let (status, rejected, body) = send(&http(), leaf, snapshot, 0, text).await.unwrap();
    (
        status,
        rejected,
        serde_json::from_slice(&body).unwrap_or_default(),
    )
}

/// Guards against records that are lost or duplicated by the sharding of a snapshot, and against wrong scores.
#[tokio::test]
async fn shards_of_each_snapshot_cover_all_records() {
    let leaves = assign_shards(4, 2, &["a", "b"], &two_snapshots(), 6, 50);
    let mut settings = UpstreamSettings::new(two_snapshots(), leaves);
    settings.cold_calls = 0;
    let upstream = Upstream::start(settings, &corpus()).await.unwrap();
    let map = map_document(&two_snapshots(), &upstream.specs());
    for snapshot in map["snapshots"].as_array().unwrap() {
        let shards = snapshot["shards"].as_array().unwrap();
        let mut merged: Vec<Hit> = Vec::new();
        for (number, shard) in shards.iter().enumerate() {
            let holders = shard["leaves"].as_array().unwrap();
            assert_eq!(holders.len(), 2, "every shard has two replicas: {map}");
            let leaf = holders[number % 2].as_str().unwrap().parse().unwrap();
            let id = snapshot["id"].as_u64().unwrap();
            let (status, _, body) = send(&http(), leaf, id, number as u32, "jet 3 burner 4")
                .await
                .unwrap();
            assert_eq!(status, StatusCode::OK);
            let answer: Value = serde_json::from_slice(&body).unwrap();
            merged.extend(serde_json::from_value::<Vec<Hit>>(answer["hits"].clone()).unwrap());
        }
        merged.sort_by(|a, b| b.score.total_cmp(&a.score).then_with(|| a.id.cmp(&b.id)));
        merged.truncate(5);
        assert_eq!(
            merged,
            corpus().expected("jet 3 burner 4", 5, shards.len() as u32, &[])
        );
    }
}

/// Guards against a leaf that does not count calls above its cold capacity or its slots, or that stays cold.
#[tokio::test]
async fn limits_are_enforced_and_counted() {
    let (upstream, leaf) = one_leaf(|settings| settings.cold_calls = 2).await;
    // The service times must be long enough that calls sent together overlap on a busy machine.
    let set_service_ms = |ms: u64| {
        let control = LeafControl {
            service_us: Some(ms * 1_000),
            ..LeafControl::default()
        };
        upstream.control(&control).unwrap();
    };
    let rejected_count = |answers: &[(StatusCode, bool, Value)]| {
        answers.iter().filter(|(_, rejected, _)| *rejected).count()
    };
    set_service_ms(400);
    let cold = tokio::join!(search(leaf, 1, "jet"), search(leaf, 1, "jet"));
    assert_eq!(rejected_count(&[cold.0, cold.1]), 1);
    assert_eq!(upstream.counters()[0].max_cold_instance, 2);
    set_service_ms(1);
    assert_eq!(search(leaf, 1, "jet").await.2["cold"], true);
    assert_eq!(search(leaf, 1, "jet").await.2["cold"], false);
    set_service_ms(400);
    let warm = tokio::join!(
        search(leaf, 1, "x"),
        search(leaf, 1, "x"),
        search(leaf, 1, "x")
    );
    assert_eq!(rejected_count(&[warm.0, warm.1, warm.2]), 1);
    let counters = &upstream.counters()[0];
    assert_eq!(
        (counters.max_warm, counters.max_cold, counters.above_limit),
        (3, 2, 2)
    );
    assert_eq!(
        (counters.arrived, counters.executed, counters.shed),
        (7, 5, 2)
    );
    let runs = upstream.executions();
    assert_eq!(runs.iter().map(|run| run.count).sum::<u32>(), 5);
}

/// Guards against a crash that leaves connections usable, keeps the instance id or restarts the leaf warm.
#[tokio::test]
async fn crash_resets_connections_and_starts_a_cold_instance() {
    let (upstream, leaf) = one_leaf(|settings| settings.cold_calls = 4).await;
    let before = search(leaf, 1, "jet").await.2["instance"].clone();
    upstream
        .control(&LeafControl {
            crash_text: Some("poison".into()),
            ..LeafControl::default()
        })
        .unwrap();
    assert!(send(&http(), leaf, 1, 0, "a poison query").await.is_err());
    let after = loop {
        match send(&http(), leaf, 1, 0, "jet").await {
            Ok((_, _, body)) => break serde_json::from_slice::<Value>(&body).unwrap(),
            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    };
    assert_ne!(after["instance"], before);
    assert_eq!(after["cold"], true);
    let counters = &upstream.counters()[0];
    assert_eq!((counters.crashes, counters.executed), (1, 3));
}

/// Guards against a `silent` fault that closes connections or also affects new ones.
#[tokio::test]
async fn silent_connections_hang_while_new_ones_work() {
    let (upstream, leaf) = one_leaf(|_| {}).await;
    let old = http();
    send(&old, leaf, 1, 0, "jet").await.unwrap();
    upstream
        .control(&LeafControl {
            silent: true,
            ..LeafControl::default()
        })
        .unwrap();
    let hanging = tokio::spawn(async move { send(&old, leaf, 1, 0, "jet").await.is_ok() });
    assert_eq!(search(leaf, 1, "jet").await.0, StatusCode::OK);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(!hanging.is_finished());
    hanging.abort();
}

/// Guards against fault settings that have no effect on the answers.
#[tokio::test]
async fn injected_faults_change_answers() {
    let (upstream, leaf) = one_leaf(|_| {}).await;
    let control = |control: LeafControl| upstream.control(&control).unwrap();
    let fault = |fault| LeafControl {
        fault: Some(fault),
        fault_share: Some(1.0),
        ..LeafControl::default()
    };
    for kind in [Fault::Rubbish, Fault::Truncated] {
        control(fault(kind));
        let (status, _, body) = send(&http(), leaf, 1, 0, "jet").await.unwrap();
        assert_eq!(status, StatusCode::OK);
        assert!(serde_json::from_slice::<Value>(&body).is_err(), "{kind:?}");
    }
    control(fault(Fault::Incomplete));
    assert_eq!(search(leaf, 1, "jet").await.2["complete"], false);
    control(fault(Fault::Endless));
    let body = json!({"snapshot": 1, "shard": 0, "text": "jet", "top": 5}).to_string();
    let request = Request::post(format!("http://{leaf}/v1/search")).body(Full::from(body));
    let mut endless = http().request(request.unwrap()).await.unwrap().into_body();
    let mut bytes = 0;
    while bytes < 1 << 20 {
        bytes += endless
            .frame()
            .await
            .unwrap()
            .unwrap()
            .into_data()
            .unwrap()
            .len();
    }
    drop(endless);
    control(LeafControl {
        reset: true,
        answer_snapshot: Some(9),
        ..LeafControl::default()
    });
    assert_eq!(search(leaf, 1, "jet").await.2["snapshot"], 9);
    control(LeafControl {
        reset: true,
        serving: Some(vec![2]),
        ..LeafControl::default()
    });
    assert_eq!(search(leaf, 1, "jet").await.0, StatusCode::CONFLICT);
    control(LeafControl {
        reset: true,
        leaving: Some(true),
        ..LeafControl::default()
    });
    assert_eq!(
        search(leaf, 1, "jet").await.0,
        StatusCode::SERVICE_UNAVAILABLE
    );
    assert_eq!(upstream.counters()[0].while_leaving, 1);
}
