//! The store comes back from a copy, and the operator evacuates a zone at that moment that was evacuated before.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    HOST, Run, Verdict, config,
    gateway::{Gateway, free_addresses},
    http::Connection,
    leaf::{Leaf, LeafSettings},
    store::Store,
};

const GATEWAYS: usize = 3;
const CLIENTS: usize = 30;
/// Time between two requests of a client.
const INTERVAL: Duration = Duration::from_millis(500);
const KEY: &str = "op/evacuate/a";
/// Times since the start of the requests.
const FIRST_EVACUATION: Duration = Duration::from_secs(5);
const TAKEN_BACK: Duration = Duration::from_secs(13);
const COPY: Duration = Duration::from_secs(17);
const AWAY: Duration = Duration::from_secs(20);
const BACK: Duration = Duration::from_secs(21);
/// Time after which the operator writes what has waited for the store.
const OPERATOR_DELAY: Duration = Duration::from_millis(100);
const LENGTH: Duration = Duration::from_secs(36);
/// `evacuate_ms` and `stable_window_ms`.
const EVACUATE: Duration = Duration::from_secs(5);
const STABLE_WINDOW: Duration = Duration::from_secs(4);

pub fn run(run: &Run) -> Verdict {
    let store = Store::start();
    let settings = LeafSettings {
        slots: 6,
        queue: 24,
        work: Duration::from_millis(20),
    };
    let start_leaf = |id, zone| Leaf::start(id, "vyjazd", zone, settings, &store, &run.record);
    let leaves = [
        start_leaf("i-7f3a91c2", "a"),
        start_leaf("i-11d0c4e8", "a"),
        start_leaf("i-90be12aa", "b"),
    ];
    store.put("op/config", &config("vyjazd", "idempotent", 1_000));
    let ips = free_addresses(GATEWAYS);
    if ips.len() < GATEWAYS {
        return Verdict::NotRun("no free loopback addresses".into());
    }
    let start = |index| Gateway::start(&run.folder, index, &ips, store.address);
    let gateways: Vec<Gateway> = (0..GATEWAYS).map(start).collect();
    if !gateways
        .iter()
        .all(|gateway| gateway.wait_ready(Duration::from_secs(20)))
    {
        return Verdict::NotRun("the gateways did not become ready".into());
    }
    thread::sleep(Duration::from_secs(4));
    let start = Instant::now();
    let served = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (address, served) = (gateways[client % GATEWAYS].callers(), served.clone());
            thread::spawn(move || send_requests(client, address, start, &served))
        })
        .collect();
    let until =
        |at: Duration| thread::sleep((start + at).saturating_duration_since(Instant::now()));
    let event = |text: &str| {
        run.record
            .line(&format!("{:.3} s: {text}", start.elapsed().as_secs_f64()))
    };
    until(FIRST_EVACUATION);
    store.put(KEY, "{}");
    event("zone a is evacuated");
    until(TAKEN_BACK);
    store.delete(KEY);
    event("the evacuation is taken back");
    until(COPY);
    let copy = store.copy();
    until(AWAY);
    if run.trouble {
        store.set_away(true);
        event("the store is away");
    }
    until(BACK);
    if run.trouble {
        store.restore(&copy);
        store.set_away(false);
        event("the store is back from a copy of 4 s before");
    }
    thread::sleep(OPERATOR_DELAY);
    store.put(KEY, "{}");
    let acknowledged = Instant::now();
    event("zone a is evacuated");
    for client in clients {
        let _ = client.join();
    }

    // By then, the gateways are in touch again as well.
    let bound = acknowledged + EVACUATE.max(STABLE_WINDOW);
    let mut late = 0;
    for leaf in leaves.iter().filter(|leaf| leaf.zone == "a") {
        let began: Vec<Instant> = leaf.began().into_iter().filter(|at| *at > bound).collect();
        late += began.len();
        let after = |at: Option<&Instant>| at.map_or(0.0, |at| (*at - acknowledged).as_secs_f64());
        run.record.line(&format!(
            "leaf {} ran {} requests later than {:?} after the acknowledgement, from {:.3} s to {:.3} s after it",
            leaf.id,
            began.len(),
            EVACUATE,
            after(began.first()),
            after(began.last())
        ));
    }
    // Before the trouble the same gateways obey within the bound.
    let early = leaves
        .iter()
        .filter(|leaf| leaf.zone == "a")
        .flat_map(Leaf::began);
    let first = early
        .filter(|at| *at > start + FIRST_EVACUATION + EVACUATE && *at < start + TAKEN_BACK)
        .count();
    let summary = format!(
        "{} requests served; in zone a {first} later than 5 s after the first evacuation, {late} after the second",
        served.load(Ordering::Relaxed)
    );
    run.record.line(&summary);
    println!("{summary}");
    if served.load(Ordering::Relaxed) == 0 || leaves[0].began().is_empty() {
        return Verdict::NotRun("no request was served, or none in zone a".into());
    }
    if late + first > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn send_requests(client: usize, address: SocketAddr, start: Instant, served: &AtomicUsize) {
    let mut connection: Option<Connection> = None;
    for number in 0.. {
        let at = INTERVAL * number + INTERVAL * client as u32 / CLIENTS as u32;
        if at >= LENGTH {
            return;
        }
        thread::sleep((start + at).saturating_duration_since(Instant::now()));
        let id = format!("{:08x}{client:04x}{number:04x}", std::process::id());
        let request = format!(
            "GET /order/{id} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 1000\r\n\r\n"
        );
        let Ok(mut open) = connection
            .take()
            .map_or_else(|| Connection::open(address), Ok)
        else {
            continue;
        };
        let _ = open.stream.set_read_timeout(Some(Duration::from_secs(1)));
        let reply = open
            .send(request.as_bytes())
            .and_then(|()| open.read())
            .ok()
            .flatten();
        if let Some(reply) = reply {
            served.fetch_add(usize::from(reply.status() == 200), Ordering::Relaxed);
            connection = (!reply.closes()).then_some(open);
        }
    }
}
