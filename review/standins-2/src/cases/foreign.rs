//! Another writer leaves an entry under `servers/` that lacks half of the fields of a leaf's entry.

use std::{
    io::{BufReader, Write},
    net::{TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use super::site::Site;
use crate::{
    http::read_message,
    report::{Report, Verdict},
};

/// The requests that the process of the other writer received.
type Received = Arc<Mutex<Vec<(String, Instant)>>>;

pub fn play(trouble: bool, report: &mut Report) -> Result<Verdict, String> {
    let mut site = Site::start(4, report)?;
    let callers = site.start_callers(site.nodes());
    thread::sleep(Duration::from_secs(3));
    let received = Received::default();
    let entry_at = Instant::now();
    if trouble {
        let address = serve_other(&received).map_err(|error| format!("other process: {error}"))?;
        let entry = format!(
            r#"{{"service":"vyjazd","address":"{address}","zone":"trnava","state":"ready"}}"#
        );
        site.store.put("servers/i-02d9e6b4", &entry);
        report.note(format!(
            "another writer's entry is in the store: servers/i-02d9e6b4 = {entry}"
        ));
    }
    thread::sleep(Duration::from_secs(8));
    let sent = callers.finish();

    let received = received.lock().expect("no thread panics").clone();
    let runs = site.runs.lock().expect("no leaf panics").clone();
    let mut mixed = 0;
    for order in &sent {
        let Ok(answer) = &order.answer else {
            continue;
        };
        let is_success = (200..300).contains(&answer.status());
        if !is_success || answer.header("server-stamp").is_some() {
            continue;
        }
        mixed += 1;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let was_run = runs.iter().any(|run| run.id == order.id);
        report.note_at(
            order.ended,
            format!(
                "order {} at node {}: status {}, no Server-Stamp, body {text:?}; run by a leaf: {was_run}",
                order.id,
                site.fleet.node_at(order.node).ok_or("unknown node")?,
                answer.status(),
            ),
        );
    }
    let before = sent.iter().filter(|order| order.ended < entry_at).count();
    report.add(format!(
        "{} orders sent, {before} of them before the entry; {} runs by leafs, {} requests at the other process",
        sent.len(),
        runs.len(),
        received.len()
    ));
    report.add(format!(
        "{mixed} answers are a success without a Server-Stamp"
    ));
    for node in site.nodes().filter(|node| site.fleet.has_ended(*node)) {
        report.add(format!("node {node} has ended by itself"));
    }
    Ok(match mixed {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}

/// Starts the process to which the entry points: a plain HTTP server, which is no leaf of the platform.
fn serve_other(received: &Received) -> std::io::Result<std::net::SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let received = received.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let received = received.clone();
            thread::spawn(move || answer_all(stream, &received));
        }
    });
    Ok(address)
}

fn answer_all(stream: TcpStream, received: &Received) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut input = BufReader::new(stream);
    while let Ok(Some(request)) = read_message(&mut input) {
        let at = Instant::now();
        received
            .lock()
            .expect("no thread panics")
            .push((request.start, at));
        let body = "taken by the trial copy";
        let length = body.len();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
        if writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}
