//! A leaf stalls while the other leaf of its service names a `Server-Limit`. Callers of another route wait for the node.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use anyhow::ensure;
use cranberrychute_emulator::{GatewayLeaf, LeafMode, Store};
use serde_json::json;
use tokio::time::{Instant, interval, sleep, sleep_until};

use crate::{
    Verdict,
    client::get,
    record::Record,
    site::{SMALL, Site, store_addresses},
};

const HOST: &str = "zipu42.example";
const ZONES: [&str; 3] = ["dye-yard", "wick-loft", "frame-shed"];
/// Route of urgent requests, whose leaves work as usual.
const LIVE_TIMEOUT: Duration = Duration::from_millis(400);
/// Route of requests that may wait.
const ARCHIVE_TIMEOUT: Duration = Duration::from_millis(8_000);
const ARCHIVE_TARGET: Duration = Duration::from_millis(8_000);
/// Time after the route's `timeout_ms` within which most of the requests that are not answered then must be.
const SLACK: Duration = Duration::from_millis(500);
/// Time in which the nodes measure the usual latency.
const WARM_UP: Duration = Duration::from_secs(12);
/// `srv_grey`, how = "hang": for_s of the site.
const STALL_TIME: Duration = Duration::from_millis(5_500);
const RUN_TIME: Duration = Duration::from_secs(40);
/// Fewest unanswered requests that break the rule.
const MIN_COUNT: usize = 8;

/// A request: whether it is on the live route, the machine, when it was sent since the start, and how long its answer took.
struct Sent {
    is_live: bool,
    machine: usize,
    at: Duration,
    id: String,
    status: u16,
    took: Duration,
}

/// A caller of one machine.
struct Caller {
    is_live: bool,
    machine: usize,
    address: SocketAddr,
}

pub async fn run(case: &str, trouble: bool) -> anyhow::Result<Verdict> {
    let mut record = Record::create(case)?;
    let store = Store::start(ZONES.len()).await?;
    let mut live = Vec::new();
    for zone in ZONES {
        let leaf = GatewayLeaf::start(&format!("i-live-{zone}"), &[1; 16]).await?;
        leaf.set_delay(Duration::from_millis(3));
        store.put(&leaf.key(), &leaf.entry("vyjazd", zone, "ready"));
        live.push(leaf);
    }
    let stalls = GatewayLeaf::start("i-archive-a", &[2; 16]).await?;
    let limited = GatewayLeaf::start("i-archive-b", &[2; 16]).await?;
    for (leaf, zone) in [&stalls, &limited].into_iter().zip(ZONES) {
        leaf.set_delay(Duration::from_millis(5));
        store.put(&leaf.key(), &leaf.entry("archive", zone, "ready"));
    }
    let service = |name: &str| {
        json!({"name": name, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false,
               "warmup_s": 3.0, "warmup_per_s": 0.0})
    };
    store.put("op/config", &json!({
        "config_version": 7,
        "routes": [
            {"name": "live", "hostname": HOST, "prefix": "/live/", "route_type": "idempotent",
             "timeout_ms": LIVE_TIMEOUT.as_millis() as u64, "target_latency_ms": 40, "priority": 0, "service": "vyjazd", "attempts": 2},
            {"name": "archive", "hostname": HOST, "prefix": "/archive/", "route_type": "idempotent",
             "timeout_ms": ARCHIVE_TIMEOUT.as_millis() as u64, "target_latency_ms": ARCHIVE_TARGET.as_millis() as u64,
             "priority": 0, "service": "archive", "attempts": 2},
        ],
        "services": [service("vyjazd"), service("archive")],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    }));
    let site = Site::new(&ZONES, SMALL)?;
    let nodes = site.start_all(&store_addresses(&store)).await?;
    let start = Instant::now();
    let end = start + RUN_TIME;
    let sent = Arc::new(Mutex::new(Vec::new()));
    let mut callers = Vec::new();
    for (machine, node) in nodes.iter().enumerate() {
        for is_live in [true, false] {
            let caller = Caller {
                is_live,
                machine,
                address: node.callers(),
            };
            callers.push(tokio::spawn(call(caller, start, end, sent.clone())));
        }
    }
    record.line(true, "machines are ready, callers send");
    sleep_until(start + WARM_UP).await;
    if trouble {
        limited.set_limit(Some("40"));
        record.line(
            true,
            "leaf i-archive-b names Server-Limit: 40 in its answers",
        );
        sleep(Duration::from_secs(3)).await;
        stalls.set_mode(LeafMode::Silent);
        record.line(true, "leaf i-archive-a hangs");
        sleep(STALL_TIME).await;
        stalls.set_mode(LeafMode::Normal);
        record.line(true, "leaf i-archive-a answers again");
    }
    for caller in callers {
        caller.await?;
    }
    let sent = std::mem::take(&mut *sent.lock().expect("not poisoned"));
    ensure!(sent.len() > 1_000, "too few requests were sent");
    let mut late = 0;
    let mut lost = 0;
    for request in &sent {
        let Sent {
            is_live,
            machine,
            at,
            id,
            status,
            took,
        } = request;
        let route = if *is_live { "live" } else { "archive" };
        record.line(false, &format!("{:.3} s after the start: {route} request {id} to machine {machine}: status {status} after {} ms", at.as_secs_f64(), took.as_millis()));
        late += usize::from(*is_live && *took > LIVE_TIMEOUT);
        lost += usize::from(*is_live && *took > LIVE_TIMEOUT + SLACK);
    }
    let live_sent = || sent.iter().filter(|request| request.is_live);
    let longest = live_sent()
        .map(|request| request.took)
        .max()
        .unwrap_or_default();
    record.line(true, &format!("{} live requests, {late} unanswered after {} ms, {lost} of them after {} ms, longest {} ms",
        live_sent().count(), LIVE_TIMEOUT.as_millis(), (LIVE_TIMEOUT + SLACK).as_millis(), longest.as_millis()));
    let runs: Vec<u64> = live
        .iter()
        .chain([&stalls, &limited])
        .map(GatewayLeaf::request_count)
        .collect();
    record.line(
        true,
        &format!("requests at the leafs, those of the archive last: {runs:?}"),
    );
    Ok(match lost >= MIN_COUNT && 2 * lost > late {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Sends requests to one machine at a steady rate until `end`, and waits for their answers for as long as their callers do.
async fn call(caller: Caller, start: Instant, end: Instant, sent: Arc<Mutex<Vec<Sent>>>) {
    let Caller {
        is_live,
        machine,
        address,
    } = caller;
    let (path, period, timeout) = match is_live {
        true => (
            "/live/2f",
            Duration::from_millis(40),
            Duration::from_secs(5),
        ),
        false => ("/archive/2f", Duration::from_millis(200), ARCHIVE_TIMEOUT),
    };
    let mut ticks = interval(period);
    let mut tasks = tokio::task::JoinSet::new();
    let mut number = 0_u64;
    while Instant::now() < end {
        ticks.tick().await;
        number += 1;
        let kind = u64::from(is_live);
        let id = format!("{:016x}", kind << 48 | (machine as u64) << 32 | number);
        let sent = sent.clone();
        tasks.spawn(async move {
            let at = Instant::now();
            let deadline_ms = timeout.as_millis() as u64;
            let answer = get(address, path, HOST, &id, Some(deadline_ms), timeout).await;
            let request = Sent {
                is_live,
                machine,
                at: at - start,
                id,
                status: answer.map_or(0, |answer| answer.status),
                took: at.elapsed(),
            };
            sent.lock().expect("not poisoned").push(request);
        });
    }
    while tasks.join_next().await.is_some() {}
}
