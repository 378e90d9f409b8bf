//! Exploration: orders, reads and gathered reads against leaves that fail in many ways, while gateways are stopped,
//! paused and killed. Prints what breaks a rule. It is not a case.

use std::{
    collections::HashMap,
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    HOST, Run, Verdict,
    gateway::{Gateway, free_addresses},
    http::{Connection, Message, response},
    store::Store,
};

struct Random(u64);
impl Random {
    fn next(&mut self, below: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % below
    }
}

type Runs = Arc<Mutex<Vec<(String, String, String, String)>>>;

fn body_of(service: &str, id: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut state = Random(
        id.bytes()
            .chain(service.bytes())
            .fold(0x9e37_79b9, |hash: u64, byte| {
                hash.wrapping_mul(31).wrapping_add(byte.into())
            })
            | 1,
    );
    for _ in 0..16 * (1 + state.next(30)) {
        bytes.push(state.next(256) as u8);
    }
    bytes
}

fn leaf(id: String, service: String, runs: Runs, seed: u64, rate: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let count = AtomicU64::new(0);
        for stream in listener.incoming().flatten() {
            let (id, service, runs) = (id.clone(), service.clone(), runs.clone());
            let seed = seed + count.fetch_add(1, Ordering::Relaxed) * 7919;
            thread::spawn(move || {
                serve(
                    stream,
                    &id,
                    &service,
                    &runs,
                    Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
                    rate,
                )
            });
        }
    });
    address
}

fn reset(stream: &TcpStream) {
    // Closing with unread bytes resets; SO_LINGER is not in the standard library, so just shut down.
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

fn serve(stream: TcpStream, leaf: &str, service: &str, runs: &Runs, mut random: Random, rate: u64) {
    if random.next(50 * rate) == 0 {
        return;
    }
    let mut connection = Connection::new(stream);
    let mut late: Option<Vec<u8>> = None;
    while let Ok(Some(request)) = connection.read() {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        if let Some(bytes) = late.take() {
            thread::sleep(Duration::from_millis(random.next(4)));
            let _ = connection.send(&bytes);
        }
        if request.header("target-instance") != Some(leaf) {
            let _ = connection.send(&response(
                "421 Misdirected",
                &[("Request-Id", &id), ("Not-Executed", "1")],
                b"",
            ));
            continue;
        }
        let mode = random.next(20 * rate);
        if mode == 0 {
            return reset(&connection.stream);
        }
        if mode == 1 {
            let _ = connection.send(&response(
                "503 Full",
                &[("Request-Id", &id), ("Not-Executed", "1")],
                b"",
            ));
            continue;
        }
        let method_path = request.start.clone();
        runs.lock().unwrap().push((
            id.clone(),
            leaf.to_owned(),
            method_path,
            String::from_utf8_lossy(&request.body).into_owned(),
        ));
        thread::sleep(Duration::from_millis(2 + random.next(10)));
        let stamp = format!("{leaf}.{}.{id}", random.next(1_000_000));
        let body = body_of(service, &id);
        let headers = [
            ("Request-Id", id.as_str()),
            ("Server-Stamp", &stamp),
            ("Leaf-Load", "1,0,8"),
        ];
        let full = response("200 OK", &headers, &body);
        match mode {
            2 => return reset(&connection.stream),
            3 => {
                let cut = random.next(full.len() as u64) as usize;
                let _ = connection.send(&full[..cut]);
                return reset(&connection.stream);
            }
            4 => {
                let _ = connection.send(&full);
                late = Some(full);
            }
            5 => {
                let _ = connection.send(&full);
                let _ = connection.send(&full);
            }
            6 => {
                let _ = connection.send(b"\x00\x01garbage\r\n\r\n");
            }
            7 => {
                let _ = connection.send(b"HTTP/1.1 100 Continue\r\n\r\n");
                let _ = connection.send(&full);
            }
            8 => {
                let head =
                    format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {stamp}\r\n\r\n");
                let _ = connection.send(head.as_bytes());
                let _ = connection.send(&body);
                return;
            }
            9 => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {stamp}\r\nTransfer-Encoding: chunked\r\n\r\n"
                );
                let _ = connection.send(head.as_bytes());
                for chunk in body.chunks(1 + random.next(40) as usize) {
                    let _ = connection.send(format!("{:x}\r\n", chunk.len()).as_bytes());
                    let _ = connection.send(chunk);
                    let _ = connection.send(b"\r\n");
                }
                let _ = connection.send(b"0\r\n\r\n");
            }
            10 => {
                let closing = response(
                    "200 OK",
                    &[
                        ("Request-Id", &id),
                        ("Server-Stamp", &stamp),
                        ("Connection", "close"),
                    ],
                    &body,
                );
                let _ = connection.send(&closing);
                return;
            }
            11 => {
                let _ = connection.send(&full);
                thread::sleep(Duration::from_millis(random.next(60)));
                return;
            }
            12 => {
                thread::sleep(Duration::from_millis(300));
                let _ = connection.send(&full);
            }
            13 => {
                let _ = connection.send(&response("500 Failed", &headers, b"failed"));
            }
            14 => {
                for piece in full.chunks(1 + random.next(50) as usize) {
                    let _ = connection.stream.write_all(piece);
                    thread::sleep(Duration::from_micros(500));
                }
            }
            _ => {
                let _ = connection.send(&full);
            }
        }
    }
}

pub fn run(run: &Run) -> Verdict {
    let seed: u64 = std::env::var("SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(1);
    let rate: u64 = std::env::var("RATE")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(2);
    let seconds: u64 = std::env::var("SECONDS_")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(40);
    let signals = std::env::var("SIGNALS").map_or(true, |text| text != "0");
    let store = Store::start();
    let runs = Runs::default();
    let services: Vec<String> = (0..4)
        .map(|shard| format!("s{shard}"))
        .chain(["orders".to_owned()])
        .collect();
    let mut entries = Vec::new();
    for service in &services {
        for (index, zone) in ["a", "b", "a"].iter().enumerate() {
            let id = format!("i-{service}-{index}");
            let address = leaf(
                id.clone(),
                service.clone(),
                runs.clone(),
                seed * 1000 + entries.len() as u64,
                rate,
            );
            entries.push((id, service.clone(), zone.to_string(), address));
        }
    }
    let publish = move |store: &Store, sequence: u64| {
        for (id, service, zone, address) in &entries {
            store.put(&format!("servers/{id}"), &format!("{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"config_version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"warmup_left_ms\":0,\"born\":1700000000000,\"sequence\":{sequence}}}"));
        }
    };
    publish(&store, 1);
    let beats = store.clone();
    thread::spawn(move || {
        for sequence in 2.. {
            thread::sleep(Duration::from_millis(1_200));
            publish(&beats, sequence);
        }
    });
    let specs: Vec<String> = services.iter().map(|name| format!("{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":110,\"warmup_s\":3.0,\"warmup_per_s\":0.0}}")).collect();
    let config = format!(
        "{{\"config_version\":7,\"routes\":[{{\"name\":\"order\",\"hostname\":\"{HOST}\",\"prefix\":\"/order/\",\"route_type\":\"non_idempotent\",\"timeout_ms\":1000,\"target_latency_ms\":250,\"priority\":2,\"service\":\"orders\",\"attempts\":3}},{{\"name\":\"one\",\"hostname\":\"{HOST}\",\"prefix\":\"/one/\",\"route_type\":\"idempotent\",\"timeout_ms\":1000,\"target_latency_ms\":250,\"priority\":2,\"service\":\"orders\",\"attempts\":2}},{{\"name\":\"all\",\"hostname\":\"{HOST}\",\"prefix\":\"/all/\",\"route_type\":\"idempotent\",\"timeout_ms\":800,\"target_latency_ms\":80,\"priority\":1,\"gather\":[\"s0\",\"s1\",\"s2\",\"s3\"],\"top_k\":10,\"min_coverage\":0.7,\"attempts\":2}}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        specs.join(",")
    );
    store.put("op/config", &config);
    let ips = free_addresses(3);
    let mut gateways: Vec<Gateway> = (0..3)
        .map(|index| Gateway::start(&run.folder, index, &ips, store.address))
        .collect();
    if !gateways
        .iter()
        .all(|gateway| gateway.wait_ready(Duration::from_secs(20)))
    {
        return Verdict::NotRun("not ready".into());
    }
    let addresses: Vec<SocketAddr> = gateways.iter().map(Gateway::callers).collect();
    let end = Instant::now() + Duration::from_secs(seconds);
    let answers = Arc::new(Mutex::new(
        Vec::<(String, String, u16, Option<Message>)>::new(),
    ));
    let clients: Vec<_> = (0..30_u64).map(|client| {
        let (addresses, answers) = (addresses.clone(), answers.clone());
        thread::spawn(move || {
            let mut random = Random((seed * 31 + client).wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
            let mut connection: Option<Connection> = None;
            let mut number = 0;
            while Instant::now() < end {
                number += 1;
                thread::sleep(Duration::from_millis(random.next(60)));
                let id = format!("{client:04x}{number:08x}");
                let path = ["order", "one", "all"][random.next(3) as usize];
                let order = id.repeat(1 + random.next(20) as usize * random.next(300) as usize);
                let text = match (path, random.next(2)) {
                    ("order", 0) => format!("POST /order/{id} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 1000\r\nContent-Length: {}\r\n\r\n{order}", order.len()),
                    ("order", _) => {
                        let head = format!("POST http://{HOST}/order/{id} HTTP/1.1\r\nhost: {HOST}:8226\r\nREQUEST-ID: {id}\r\nDeadline-Ms: 1000\r\nTransfer-Encoding: chunked\r\n\r\n");
                        let size = 1 + random.next(5000) as usize;
                        let chunks: Vec<String> = order.as_bytes().chunks(size).map(|chunk| format!("{:x}\r\n{}\r\n", chunk.len(), String::from_utf8_lossy(chunk))).collect();
                        format!("{head}{}0\r\n\r\n", chunks.concat())
                    }
                    _ => format!("GET /{path}/{id} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 1000\r\n\r\n"),
                };
                let address = addresses[random.next(3) as usize];
                let mut open = match connection.take() { Some(open) => open, None => match Connection::open(address) { Ok(open) => open, Err(_) => continue } };
                let _ = open.stream.set_read_timeout(Some(Duration::from_millis(if random.next(20) == 0 { 5 } else { 1_200 })));
                let reply = open.send(text.as_bytes()).and_then(|()| open.read()).ok().flatten();
                let status = reply.as_ref().map_or(0, Message::status);
                if reply.as_ref().is_some_and(|reply| !reply.closes()) { connection = Some(open); }
                answers.lock().unwrap().push((id, path.to_owned(), status, reply));
            }
        })
    }).collect();
    let mut random = Random(seed.wrapping_mul(77_777) | 1);
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(1_500));
        if !signals {
            continue;
        }
        let index = random.next(3) as usize;
        match random.next(3) {
            0 => {
                gateways[index].signal("STOP");
                thread::sleep(Duration::from_millis(700));
                gateways[index].signal("CONT");
            }
            1 => {
                gateways[index].signal("KILL");
                thread::sleep(Duration::from_millis(300));
                let new = Gateway::start(&run.folder, index, &ips, store.address);
                gateways[index] = new;
            }
            _ => gateways[index].signal("HUP"),
        }
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(1));
    let mut counts = HashMap::<String, Vec<(String, String, String)>>::new();
    for (id, leaf, start, body) in runs.lock().unwrap().iter() {
        counts
            .entry(id.clone())
            .or_default()
            .push((leaf.clone(), start.clone(), body.clone()));
    }
    let mut bad = 0;
    let mut statuses = HashMap::<(String, u16), usize>::new();
    let mut report = |text: String| {
        bad += 1;
        if bad < 30 {
            println!("{text}");
        }
        run.record.line(&text);
    };
    for (id, path, status, reply) in answers.lock().unwrap().iter() {
        *statuses.entry((path.clone(), *status)).or_default() += 1;
        let none = Vec::new();
        let ran = counts.get(id).unwrap_or(&none);
        if path == "order" && ran.len() > 1 {
            report(format!("TWICE {id} {ran:?}"));
        }
        if path == "order" && matches!(status, 408 | 421 | 429 | 503) && !ran.is_empty() {
            report(format!("REFUSED {id} {status}"));
        }
        let expected = format!(
            "{} /{path}/{id} HTTP/1.1",
            if path == "order" { "POST" } else { "GET" }
        );
        for (_, start, body) in ran {
            if *start != expected
                || !(if path == "order" {
                    !body.is_empty() && body.replace(id.as_str(), "").is_empty()
                } else {
                    body.is_empty()
                })
            {
                report(format!("UNASKED {id} {start} {body}"));
            }
        }
        let per_service = |service: &str| {
            ran.iter()
                .filter(|(leaf, ..)| leaf.starts_with(&format!("i-{service}-")))
                .count()
        };
        for service in &services {
            if path != "order" && per_service(service) > 2 {
                report(format!("BUDGET {id} {service}"));
            }
        }
        let Some(reply) = reply.as_ref().filter(|_| (200..300).contains(status)) else {
            continue;
        };
        if path != "all" {
            if reply.body != body_of("orders", id)
                || !reply
                    .header("server-stamp")
                    .is_some_and(|stamp| stamp.ends_with(id.as_str()))
            {
                report(format!("MIXED {id} {reply:?}"));
            }
        } else {
            let stamps: Vec<&str> = reply
                .header("part-stamps")
                .unwrap_or_default()
                .split(',')
                .map(str::trim)
                .collect();
            let mut records: Vec<Vec<u8>> = Vec::new();
            let mut seen = Vec::new();
            for stamp in &stamps {
                let service = stamp.split('-').nth(1).unwrap_or_default().to_owned();
                if !stamp.ends_with(id.as_str()) || seen.contains(&service) {
                    report(format!("MIXED {id} {stamps:?}"));
                }
                records.extend(body_of(&service, id).chunks_exact(16).map(<[u8]>::to_vec));
                seen.push(service);
            }
            records.sort_by(|a, b| b.cmp(a));
            records.truncate(10);
            let missing: usize = reply
                .header("missing-parts")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            if reply.body != records.concat() || seen.len() + missing != 4 || seen.len() < 3 {
                report(format!("MIXED {id} body or parts {stamps:?} {missing}"));
            }
        }
    }
    for id in counts.keys() {
        if !answers.lock().unwrap().iter().any(|(sent, ..)| sent == id) {
            report(format!("UNASKED id {id}"));
        }
    }
    let mut statuses: Vec<_> = statuses.into_iter().collect();
    statuses.sort();
    println!("{statuses:?} bad {bad}");
    if bad > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
