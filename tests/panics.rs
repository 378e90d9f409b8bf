//! Tests of a gateway whose code panics, in a process of its own: the logger, the panic hook and the signals are global.

use std::{net::SocketAddr, sync::Mutex, thread, time::Duration};

use cranberrychute::{
    adapter::http1::{Connection, Reply},
    core::{FleetKey, quota::QuotaBounds, retry::RetryBounds},
    gateway::{self, Bounds, Listen, Settings},
    node::log_panics,
};
use cranberrychute_emulator::{GatewayLeaf, LeafMode, Store};
use log::{LevelFilter, Log, Metadata, Record, kv};
use rustix::process::{Signal, getpid, kill_process};
use serde_json::{Value, json};
use tokio::{runtime::Builder, task::LocalSet, time::sleep};

const HOST: &str = "parts.example";
/// Number of panics in each place: more than the calls that a leaf takes at a time.
const PANICS: usize = 12;
/// Maximum number of lines about panics in a second.
const LINES_PER_SECOND: usize = 10;

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

fn write_line(line: String) {
    LINES.lock().unwrap().push(line);
}

fn log_contains(text: &str) -> bool {
    LINES.lock().unwrap().iter().any(|line| line.contains(text))
}

/// A logger that panics at lines about requests whose id begins with `panic`.
struct PanickingLogger;

impl Log for PanickingLogger {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let fields = record.key_values();
        let id = fields.get(kv::Key::from("id")).map(|id| id.to_string());
        let stopped = fields.get(kv::Key::from("unfinished"));
        write_line(format!("{} {id:?} {stopped:?}", record.args()));
        let is_last = record.args().to_string().contains("its handler panicked");
        assert!(
            is_last || !id.is_some_and(|id| id.starts_with("panic")),
            "a fault: {}",
            "x".repeat(10_000)
        );
    }

    fn flush(&self) {}
}

fn settings(store: SocketAddr) -> Settings {
    let process = std::process::id();
    let ip = [127, 240, (process >> 8) as u8, process as u8];
    let address = |port: u16| SocketAddr::from((ip, port));
    Settings {
        name: "node".into(),
        domain: "a".into(),
        capacity: 1_000,
        seeds: Vec::new(),
        regions: [("a".into(), "r".into())].into(),
        listen: Listen {
            callers: address(8_226),
            ready: address(8_227),
            directory: address(8_225),
            peer: address(7_740),
            metrics: address(9_464),
        },
        store,
        fleet_key: FleetKey::new([7; 32]),
        bounds: Bounds {
            stop_grace: Duration::from_secs(6),
            answer_ttl: Duration::from_secs(5),
            retry: RetryBounds {
                ratio: 0.2,
                window: Duration::from_secs(10),
                slack: 50.0,
            },
            cold_overshoot: 1.5,
            cold_slack: 5.0,
            quota: QuotaBounds {
                window: Duration::from_secs(5),
                overshoot: 0.25,
                slack: 20.0,
            },
        },
        admission: false,
        domain_traffic_price: Duration::ZERO,
    }
}

fn config() -> Value {
    json!({
        "config_version": 1,
        "routes": [
            {"name": "order", "hostname": HOST, "prefix": "/order/", "route_type": "non_idempotent",
             "timeout_ms": 1000, "target_latency_ms": 250, "priority": 2, "service": "s0", "attempts": 2},
        ],
        "services": [{"name": "s0", "max_connections": 4}],
    })
}

async fn exchange(connection: &mut Connection, path: &str, id: &str) -> Reply {
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 2000\r\nContent-Length: 1\r\n\r\nx"
    );
    let exchange = connection.exchange(request.as_bytes(), 1 << 20, |_| true);
    exchange.await.unwrap()
}

async fn wait_until_served(connection: &mut Connection) {
    for _ in 0..500 {
        if exchange(connection, "/order/x", "first").await.status == 200 {
            return;
        }
        sleep(Duration::from_millis(10)).await;
    }
    panic!("no request was served within 5 s");
}

/// Guards against a panic that closes a connection without an answer, leaves counts behind, or has no line in the log.
#[tokio::test]
async fn a_panic_is_logged_and_its_request_is_answered() {
    log::set_boxed_logger(Box::new(PanickingLogger)).unwrap();
    log::set_max_level(LevelFilter::Info);
    log_panics(true, |line| {
        print!("{line}");
        write_line(line);
    });
    let store = Store::start(1).await.unwrap();
    let leaf = GatewayLeaf::start("i-0a", &[7; 16]).await.unwrap();
    store.put(&leaf.key(), &leaf.entry("s0", "a", "ready"));
    store.put("op/config", &config());
    let settings = settings(store.address(0));
    let listen = settings.listen;
    let gateway = thread::Builder::new().name("gateway".into());
    let gateway = gateway.spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        let run = gateway::run(settings, || anyhow::bail!("no reload"));
        LocalSet::new().block_on(&runtime, run)
    });
    let gateway = gateway.unwrap();
    while Connection::open(listen.metrics).await.is_err() {
        sleep(Duration::from_millis(10)).await;
    }
    let connection = &mut Connection::open(listen.callers).await.unwrap();
    wait_until_served(connection).await;
    for n in 0..PANICS {
        // Before a leaf is called, and while the answer of a leaf that has run the request is handled.
        let reply = exchange(connection, "/none", &format!("panic-before-{n}")).await;
        assert_eq!(reply.status, 502);
        leaf.set_mode(LeafMode::Fail);
        let id = format!("panic-after-{n}");
        assert_eq!(exchange(connection, "/order/x", &id).await.status, 502);
        assert_eq!(leaf.run_count(&id), 1);
        leaf.set_mode(LeafMode::Normal);
        let id = format!("good-{n}");
        assert_eq!(exchange(connection, "/order/x", &id).await.status, 200);
    }
    let lines = LINES.lock().unwrap().clone();
    let panics: Vec<Value> = lines
        .iter()
        .filter_map(|line| serde_json::from_str(line).ok())
        .collect();
    assert!(!panics.is_empty());
    let second = |line: &Value| line["time"].as_str().unwrap()[..19].to_owned();
    for line in &panics {
        let same = panics.iter().filter(|other| second(other) == second(line));
        assert!(same.count() <= LINES_PER_SECOND);
        assert_eq!(line["message"], "a task panicked");
        assert_eq!(line["level"], "ERROR");
        assert_eq!(line["thread"], "gateway");
        assert!(line["location"].as_str().unwrap().contains("panics.rs:"));
        let reason = line["reason"].as_str().unwrap();
        assert!(reason.starts_with("a fault") && reason.len() <= 256);
    }
    assert!(log_contains(
        "its handler panicked Some(\"panic-before-0\")"
    ));
    let metrics = &mut Connection::open(listen.metrics).await.unwrap();
    let page = exchange(metrics, "/metrics", "").await;
    let page = String::from_utf8(page.body.to_vec()).unwrap();
    let count = format!("cranberrychute_panics_total {}\n", 2 * PANICS);
    assert!(page.contains(&count), "{page}");
    kill_process(getpid(), Signal::TERM).unwrap();
    let stopped = thread::spawn(move || gateway.join().unwrap());
    while !stopped.is_finished() {
        sleep(Duration::from_millis(50)).await;
    }
    stopped.join().unwrap().unwrap();
    assert!(log_contains("stopped None Some(0)"), "{lines:?}");
}
