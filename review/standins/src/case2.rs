//! Planned stop of both gateways of a small deployment. Clients ask the directory as the protocol says.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    HOST, Run, Verdict, config,
    gateway::{Gateway, free_addresses},
    http::Connection,
    leaf::{Leaf, LeafSettings},
    order,
    record::Record,
    store::Store,
};

const GATEWAYS: usize = 2;
const CLIENTS: usize = 30;
/// Time between two orders of one client: 45 orders a second in all.
const INTERVAL: Duration = Duration::from_millis(667);
const DEADLINE: Duration = Duration::from_millis(2_500);
const WORK: Duration = Duration::from_millis(120);
/// When the signal comes after the start of the orders, which is later than `stable_window_ms`.
const SIGNAL_AT: Duration = Duration::from_secs(6);
/// `grace_s`.
const GRACE: Duration = Duration::from_secs(6);
/// Time after an exit at which the platform starts the process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
const LENGTH: Duration = Duration::from_secs(16);
/// Orders sent by then after SIGTERM may be excused.
const EXCUSED: Duration = Duration::from_secs(3);
/// Each 25th client keeps an answer of the directory three times as long.
const PATIENT_EVERY: usize = 25;

/// An order whose connection ended without an answer.
struct Cut {
    id: String,
    address: SocketAddr,
    sent: Duration,
    ended: Duration,
}

pub fn run(run: &Run) -> Verdict {
    let store = Store::start();
    let settings = LeafSettings {
        slots: 6,
        queue: 24,
        work: WORK,
    };
    let leaves: Vec<Leaf> = ["i-7f3a91c2", "i-11d0c4e8", "i-90be12aa", "i-5c08f7d3"]
        .iter()
        .zip(["a", "b", "a", "b"])
        .map(|(id, zone)| Leaf::start(id, "vyjazd", zone, settings, &store, &run.record))
        .collect();
    store.put(
        "op/config",
        &config("vyjazd", "non_idempotent", DEADLINE.as_millis() as u32),
    );
    let ips = free_addresses(GATEWAYS);
    if ips.len() < GATEWAYS {
        return Verdict::NotRun("no free loopback addresses".into());
    }
    let mut gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|index| Gateway::start(&run.folder, index, &ips, store.address))
        .collect();
    if !gateways
        .iter()
        .all(|gateway| gateway.wait_ready(Duration::from_secs(20)))
    {
        return Verdict::NotRun("the gateways did not become ready".into());
    }
    thread::sleep(Duration::from_secs(1));

    let directories: Vec<SocketAddr> = gateways.iter().map(Gateway::directory).collect();
    let start = Instant::now();
    let cuts = Arc::new(Mutex::new(Vec::new()));
    let served = Arc::new(Mutex::new(Vec::<Duration>::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let (cuts, served) = (cuts.clone(), served.clone());
            let mut client = Client::new(index, &directories, start, &run.record);
            thread::spawn(move || {
                for number in 0.. {
                    let due = INTERVAL * number + INTERVAL * index as u32 / CLIENTS as u32;
                    if due >= LENGTH {
                        return;
                    }
                    thread::sleep((start + due).saturating_duration_since(Instant::now()));
                    match client.send_order(number) {
                        Some(Ok(at)) => served.lock().unwrap().push(at),
                        Some(Err(cut)) => cuts.lock().unwrap().push(cut),
                        None => {}
                    }
                }
            })
        })
        .collect();
    let mut exits: Vec<Option<Duration>> = vec![None; GATEWAYS];
    if run.trouble {
        thread::sleep((start + SIGNAL_AT).saturating_duration_since(Instant::now()));
        for gateway in &gateways {
            run.record
                .line(&format!("SIGTERM to {}", gateway.callers()));
            gateway.signal("TERM");
        }
        while exits.iter().any(Option::is_none) && start.elapsed() < SIGNAL_AT + GRACE {
            for (gateway, exit) in gateways.iter_mut().zip(&mut exits) {
                if exit.is_none() && gateway.has_exited() {
                    *exit = Some(start.elapsed() - SIGNAL_AT);
                    run.record
                        .line(&format!("{} has exited", gateway.callers()));
                }
            }
            thread::sleep(Duration::from_millis(2));
        }
        if exits.iter().any(Option::is_none) {
            return Verdict::NotRun("a gateway did not exit within grace_s".into());
        }
        thread::sleep(RESTART_DELAY);
        for index in 0..GATEWAYS {
            let restarted = Gateway::start(&run.folder, index, &ips, store.address);
            gateways[index] = restarted;
        }
    }
    for client in clients {
        let _ = client.join();
    }

    let ran: HashSet<String> = leaves.iter().flat_map(Leaf::runs).collect();
    let mut lost = 0;
    for Cut {
        id,
        address,
        sent,
        ended,
    } in cuts.lock().unwrap().iter()
    {
        let passed_on = ran.contains(id);
        // An order that was refused at once, or never read, was not passed on.
        let counts = passed_on && *sent > SIGNAL_AT + EXCUSED && *ended - *sent < DEADLINE * 7 / 10;
        lost += usize::from(counts);
        let after = |at: &Duration| at.as_secs_f64() - SIGNAL_AT.as_secs_f64();
        run.record.line(&format!(
            "{} {id} to {address} sent {:.3} s after SIGTERM, cut at {:.3} s, passed on to a leaf: {passed_on}",
            if counts { "LOST" } else { "not counted:" },
            after(sent),
            after(ended)
        ));
    }
    let served = served.lock().unwrap();
    let while_stopping = served
        .iter()
        .filter(|at| **at > SIGNAL_AT && **at < SIGNAL_AT + GRACE)
        .count();
    let summary = format!(
        "{} orders served, {while_stopping} of them in the 6 s from the time of SIGTERM, exits after {exits:?}, {lost} \
         passed on and cut",
        served.len()
    );
    run.record.line(&summary);
    println!("{summary}");
    if served.is_empty() {
        return Verdict::NotRun("no order was served".into());
    }
    if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// A client as in the protocol: it takes addresses from the directory and keeps one connection open.
struct Client {
    index: usize,
    directories: Vec<SocketAddr>,
    start: Instant,
    record: Record,
    addresses: Vec<SocketAddr>,
    expires: Instant,
    connection: Option<(SocketAddr, Connection)>,
}

impl Client {
    fn new(index: usize, directories: &[SocketAddr], start: Instant, record: &Record) -> Self {
        let mut directories = directories.to_vec();
        directories.rotate_left(index % GATEWAYS);
        Self {
            index,
            directories,
            start,
            record: record.clone(),
            addresses: Vec::new(),
            expires: start,
            connection: None,
        }
    }

    /// Takes new addresses from the directory if the ones known are too old. Keeps them if there are no new ones.
    fn refresh(&mut self) {
        if Instant::now() < self.expires {
            return;
        }
        for directory in &self.directories {
            let Some((addresses, ttl)) = resolve(*directory) else {
                continue;
            };
            let keep = if self.index % PATIENT_EVERY == 0 {
                3
            } else {
                1
            };
            self.addresses = addresses;
            self.expires = Instant::now() + ttl * keep;
            let addresses = &self.addresses;
            self.connection
                .take_if(|(address, _)| !addresses.contains(address));
            return;
        }
    }

    /// Sends an order. Returns when it was served, or that it was cut; `None` if it could not be sent or was refused.
    fn send_order(&mut self, number: u32) -> Option<Result<Duration, Cut>> {
        self.refresh();
        let id = format!("{:08x}{:04x}{number:04x}", std::process::id(), self.index);
        let index = self.index;
        let (address, mut connection) = match self.connection.take() {
            Some(open) => open,
            None => {
                let turn = (number as usize + index) % self.addresses.len().max(1);
                let address = *self.addresses.get(turn)?;
                let Ok(opened) = Connection::open(address) else {
                    self.record
                        .line(&format!("client {index} cannot connect to {address}"));
                    return None;
                };
                (address, opened)
            }
        };
        let sent = self.start.elapsed();
        self.record
            .line(&format!("client {index} sends {id} to {address}"));
        let deadline_ms = DEADLINE.as_millis() as u32;
        let reply = connection
            .stream
            .set_read_timeout(Some(DEADLINE))
            .and_then(|()| connection.send(order(&id, deadline_ms).as_bytes()))
            .and_then(|()| connection.read());
        match reply {
            Ok(Some(reply)) => {
                self.record
                    .line(&format!("client {index} got {} for {id}", reply.status()));
                if !reply.closes() {
                    self.connection = Some((address, connection));
                }
                (reply.status() == 200).then(|| Ok(self.start.elapsed()))
            }
            end => {
                self.record
                    .line(&format!("client {index} got no answer to {id}: {end:?}"));
                let ended = self.start.elapsed();
                Some(Err(Cut {
                    id,
                    address,
                    sent,
                    ended,
                }))
            }
        }
    }
}

/// Asks a node for addresses. `None` if it does not answer with some within a second.
fn resolve(directory: SocketAddr) -> Option<(Vec<SocketAddr>, Duration)> {
    let mut connection = Connection::open(directory).ok()?;
    connection
        .stream
        .set_read_timeout(Some(Duration::from_secs(1)))
        .ok()?;
    let request =
        format!("GET /-/resolve?name={HOST}&region=r&zone=a HTTP/1.1\r\nHost: directory\r\n\r\n");
    connection.send(request.as_bytes()).ok()?;
    let reply = connection.read().ok()??;
    let body = String::from_utf8(reply.body).ok()?;
    let list = body
        .split_once("\"addrs\":[")?
        .1
        .split(']')
        .next()?
        .to_owned();
    let addresses: Vec<SocketAddr> = list
        .split(',')
        .filter_map(|text| text.trim_matches('"').parse().ok())
        .collect();
    let ttl: f64 = body
        .split_once("\"ttl_s\":")?
        .1
        .trim_end_matches('}')
        .parse()
        .ok()?;
    (!addresses.is_empty()).then(|| (addresses, Duration::from_secs_f64(ttl.min(5.0))))
}
