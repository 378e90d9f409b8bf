//! Orders to leaves that are full at times. One of two leaves sends extra copies of some of its answers late.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Run, Verdict, config,
    gateway::{Gateway, free_addresses},
    http::Connection,
    leaf::{Leaf, LeafSettings},
    order,
    store::Store,
};

const GATEWAYS: usize = 8;
const CLIENTS: usize = 120;
const DEADLINE_MS: u32 = 2_500;
/// Orders per second, usually and in a burst of 1.7 times as many.
const RATES: [f64; 2] = [160.0, 272.0];
/// The load repeats itself after this time.
const CYCLE: Duration = Duration::from_secs(8);
/// Start and end of the burst in a cycle.
const BURST: [Duration; 2] = [Duration::from_secs(4), Duration::from_secs(7)];
/// Start and end of the time in a cycle in which one leaf is faulty.
const GARBLE: [Duration; 2] = [Duration::from_millis(2_500), Duration::from_millis(7_500)];
const LENGTH: Duration = Duration::from_secs(88);
/// Every 25th answer of the faulty leaf is doubled, which is a share of 0.04.
const EXTRA_EVERY: usize = 25;

pub fn run(run: &Run) -> Verdict {
    let store = Store::start();
    let settings = LeafSettings {
        slots: 2,
        queue: 2,
        work: Duration::from_millis(20),
    };
    let leaves = [
        Leaf::start("i-7f3a91c2", "vyjazd", "a", settings, &store, &run.record),
        Leaf::start("i-11d0c4e8", "vyjazd", "b", settings, &store, &run.record),
    ];
    store.put(
        "op/config",
        &config("vyjazd", "non_idempotent", DEADLINE_MS),
    );
    let ips = free_addresses(GATEWAYS);
    if ips.len() < GATEWAYS {
        return Verdict::NotRun("no free loopback addresses".into());
    }
    let gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|index| Gateway::start(&run.folder, index, &ips, store.address))
        .collect();
    if !gateways
        .iter()
        .all(|gateway| gateway.wait_ready(Duration::from_secs(20)))
    {
        return Verdict::NotRun("the gateways did not become ready".into());
    }
    thread::sleep(Duration::from_secs(2));

    let answers = Arc::new(Mutex::new(HashMap::<String, u16>::new()));
    let start = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (address, answers) = (gateways[client % GATEWAYS].callers(), answers.clone());
            let record = run.record.clone();
            thread::spawn(move || send_orders(client, address, start, &answers, &record))
        })
        .collect();
    while run.trouble && start.elapsed() < LENGTH {
        let every = if is_within(start.elapsed(), GARBLE) {
            EXTRA_EVERY
        } else {
            0
        };
        leaves[0].extra_every.store(every, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(20));
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(1));

    let mut runs = HashMap::<String, Vec<&str>>::new();
    for leaf in &leaves {
        for id in leaf.runs() {
            runs.entry(id).or_default().push(&leaf.id);
        }
    }
    let answers = answers.lock().unwrap();
    let mut twice: Vec<_> = runs.iter().filter(|(_, leaves)| leaves.len() > 1).collect();
    twice.sort();
    for (id, leaves) in &twice {
        run.record.line(&format!(
            "TWICE {id} ran {} times, on {}",
            leaves.len(),
            leaves.join(" and ")
        ));
    }
    let is_promise = |status: u16| matches!(status, 408 | 421 | 429 | 503);
    let mut refused: Vec<_> = answers
        .iter()
        .filter(|(id, status)| is_promise(**status) && runs.contains_key(*id))
        .collect();
    refused.sort();
    for (id, status) in &refused {
        run.record
            .line(&format!("REFUSED {id} was answered {status} and has run"));
    }
    let served = answers.values().filter(|status| **status == 200).count();
    let rejected: usize = leaves.iter().map(Leaf::rejected).sum();
    let summary = format!(
        "{} orders, {served} served, {rejected} rejections by leaves, {} ran twice, {} answered as not run had run",
        answers.len(),
        twice.len(),
        refused.len()
    );
    run.record.line(&summary);
    println!("{summary}");
    if served == 0 || rejected == 0 {
        return Verdict::NotRun("no order was served, or no leaf was ever full".into());
    }
    if twice.is_empty() && refused.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

/// Sends this client's share of the orders at their times, each with an id of its own and without repeats.
fn send_orders(
    client: usize,
    address: SocketAddr,
    start: Instant,
    answers: &Mutex<HashMap<String, u16>>,
    record: &crate::record::Record,
) {
    let mut connection: Option<Connection> = None;
    for (number, at) in due_times().into_iter().enumerate() {
        if number % CLIENTS != client {
            continue;
        }
        thread::sleep((start + at).saturating_duration_since(Instant::now()));
        let id = format!("{:08x}{number:08x}", std::process::id());
        record.line(&format!("client {client} sends {id}"));
        let exchange = |connection: &mut Connection| {
            connection
                .stream
                .set_read_timeout(Some(Duration::from_millis(DEADLINE_MS.into())))?;
            connection.send(order(&id, DEADLINE_MS).as_bytes())?;
            connection.read()
        };
        let reply = match connection
            .take()
            .map_or_else(|| Connection::open(address), Ok)
        {
            Ok(mut open) => exchange(&mut open).ok().flatten().inspect(|reply| {
                if !reply.closes() {
                    connection = Some(open);
                }
            }),
            Err(_) => None,
        };
        let status = reply.map_or(0, |reply| reply.status());
        record.line(&format!("client {client} got {status} for {id}"));
        answers.lock().unwrap().insert(id, status);
    }
}

/// Returns when each order is sent: the usual rate and a burst by turns.
fn due_times() -> Vec<Duration> {
    let (mut times, mut at) = (Vec::new(), Duration::ZERO);
    while at < LENGTH {
        times.push(at);
        let rate = RATES[usize::from(is_within(at, BURST))];
        at += Duration::from_secs_f64(1.0 / rate);
    }
    times
}

/// Returns whether a time is between two others of its cycle.
fn is_within(at: Duration, [from, to]: [Duration; 2]) -> bool {
    let in_cycle = Duration::from_nanos((at.as_nanos() % CYCLE.as_nanos()) as u64);
    (from..to).contains(&in_cycle)
}
