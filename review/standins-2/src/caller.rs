//! Callers: they ask the directory where to connect, and send requests.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::http::{Message, NoAnswer, call};

/// A request and what became of it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    /// The node to which the caller connected.
    pub node: SocketAddr,
    pub at: Instant,
    /// The answer, and when it came.
    pub answer: Result<Message, NoAnswer>,
    pub ended: Instant,
}

/// What callers send.
#[derive(Clone, Debug)]
pub struct Load {
    pub method: &'static str,
    pub host: &'static str,
    /// Each request has this path with its id after it.
    pub path: &'static str,
    pub deadline: Duration,
    /// Pause of each caller between the answer and its next request.
    pub pause: Duration,
    pub callers: usize,
}

/// Callers at work.
pub struct Callers {
    stop: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<Sent>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts callers. `directories` are the nodes that they ask, in turn.
    pub fn start(load: &Load, directories: Vec<SocketAddr>) -> Self {
        let (stop, sent) = (Arc::new(AtomicBool::new(false)), Arc::default());
        let next = Arc::new(AtomicUsize::new(0));
        let threads = (0..load.callers)
            .map(|caller| {
                let (load, directories) = (load.clone(), directories.clone());
                let (stop, sent, next) = (stop.clone(), Arc::clone(&sent), next.clone());
                thread::spawn(move || {
                    thread::sleep(load.pause * caller as u32 / load.callers as u32);
                    run(caller, &load, &directories, &stop, &sent, &next);
                })
            })
            .collect();
        Self {
            stop,
            sent,
            threads,
        }
    }

    /// Ends the callers. Returns what they sent, in the order of the answers.
    pub fn finish(self) -> Vec<Sent> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.sent.lock().expect("no caller panics").clone()
    }
}

fn run(
    caller: usize,
    load: &Load,
    directories: &[SocketAddr],
    stop: &AtomicBool,
    sent: &Mutex<Vec<Sent>>,
    next: &AtomicUsize,
) {
    let mut nodes: Vec<SocketAddr> = Vec::new();
    let mut fresh_until = Instant::now();
    while !stop.load(Ordering::SeqCst) {
        if Instant::now() >= fresh_until {
            let turn = next.fetch_add(1, Ordering::SeqCst);
            let asked = (0..3).map(|step| directories[(turn + step) % directories.len()]);
            let answer = asked.into_iter().find_map(resolve);
            if let Some((found, ttl)) = answer {
                nodes = found;
                fresh_until = Instant::now() + ttl;
            }
        }
        let turn = next.fetch_add(1, Ordering::SeqCst);
        if nodes.is_empty() {
            thread::sleep(load.pause);
            continue;
        }
        // Spreads requests as a random choice would, with the same order in each play.
        let node = nodes[turn.wrapping_mul(7) % nodes.len()];
        let id = format!("{caller:02x}{turn:06x}");
        let request = request(load, &id);
        let at = Instant::now();
        let answer = call(node, &request, load.deadline);
        let ended = Instant::now();
        sent.lock().expect("no caller panics").push(Sent {
            id,
            node,
            at,
            answer,
            ended,
        });
        thread::sleep(load.pause);
    }
}

impl Sent {
    /// Returns the status of the answer, or why there is none.
    pub fn outcome(&self) -> Result<u16, NoAnswer> {
        self.answer
            .as_ref()
            .map(Message::status)
            .map_err(|error| *error)
    }
}

/// Returns the bytes of a request.
pub fn request(load: &Load, id: &str) -> String {
    let Load {
        method,
        host,
        path,
        deadline,
        ..
    } = load;
    let deadline = deadline.as_millis();
    let length = if *method == "GET" {
        ""
    } else {
        "Content-Length: 0\r\n"
    };
    format!(
        "{method} {path}{id} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline}\r\n{length}Connection: close\r\n\r\n"
    )
}

/// Asks a directory for the addresses of nodes and the time for which they may be used.
fn resolve(directory: SocketAddr) -> Option<(Vec<SocketAddr>, Duration)> {
    let request = format!(
        "GET /-/resolve?name=leno12.example&region=zapad&zone=trnava HTTP/1.1\r\nHost: {directory}\r\nConnection: close\r\n\r\n"
    );
    let answer = call(directory, &request, Duration::from_secs(1)).ok()?;
    if answer.status() != 200 {
        return None;
    }
    let body = String::from_utf8(answer.body).ok()?;
    let list = body.split_once("\"addrs\":[")?.1;
    let (list, rest) = list.split_once(']')?;
    let nodes = list
        .split(',')
        .filter_map(|text| text.trim_matches('"').parse().ok());
    let ttl = rest.split_once("\"ttl_s\":")?.1;
    let ttl: f64 = ttl.trim_end_matches('}').trim().parse().ok()?;
    Some((nodes.collect(), Duration::from_secs_f64(ttl.min(5.0))))
}
