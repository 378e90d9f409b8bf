//! A leaf: runs requests, and reports itself to the store.

use std::{
    collections::HashMap,
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Message, read_message},
    store::Store,
};

/// Number of requests that a leaf runs at the same time.
const SLOTS: usize = 6;
/// Number of further requests that it queues. It rejects more.
const QUEUE: usize = 24;

/// A request that began to run on a leaf.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub leaf: String,
    pub at: Instant,
    /// The leaf has answered.
    pub answered: bool,
}

/// What all leafs have run, in order.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// How a leaf works.
#[derive(Clone, Debug)]
pub struct Spec {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub work: Duration,
    pub body: Vec<u8>,
}

/// A running leaf.
#[derive(Clone)]
pub struct Leaf {
    spec: Spec,
    address: SocketAddr,
    store: Store,
    runs: Runs,
    running: Arc<AtomicUsize>,
    ended: Arc<AtomicBool>,
    connections: Arc<Mutex<HashMap<usize, TcpStream>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread panics with the lock")
}

impl Leaf {
    /// Starts a leaf and publishes its entry.
    pub fn start(spec: Spec, store: &Store, runs: &Runs) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let leaf = Self {
            address: listener.local_addr()?,
            spec,
            store: store.clone(),
            runs: runs.clone(),
            running: Arc::default(),
            ended: Arc::default(),
            connections: Arc::default(),
        };
        let acceptor = leaf.clone();
        thread::spawn(move || acceptor.accept(&listener));
        leaf.publish("ready");
        Ok(leaf)
    }

    pub fn zone(&self) -> &str {
        &self.spec.zone
    }

    pub fn id(&self) -> &str {
        &self.spec.id
    }

    /// Publishes the entry. Returns when the store has accepted it.
    pub fn publish(&self, state: &str) -> Instant {
        let Spec {
            id, service, zone, ..
        } = &self.spec;
        let entry = format!(
            r#"{{"service":"{service}","address":"{}","zone":"{zone}","config_version":"v1","slots":{SLOTS},"state":"{state}","warmup_left_ms":0,"sequence":4,"born":1790000000000}}"#,
            self.address
        );
        self.store.put(&format!("servers/{id}"), &entry)
    }

    /// Ends the process of the leaf: its connections break, and its entry goes.
    pub fn exit(&self) {
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the acceptor, which closes the listener.
        let _ = TcpStream::connect(self.address);
        for stream in lock(&self.connections).values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.store.delete(&format!("servers/{}", self.spec.id));
    }

    fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    fn accept(&self, listener: &TcpListener) {
        for (key, stream) in listener.incoming().flatten().enumerate() {
            if self.has_ended() {
                return;
            }
            let Ok(kept) = stream.try_clone() else {
                continue;
            };
            lock(&self.connections).insert(key, kept);
            let leaf = self.clone();
            let serve = move || {
                leaf.serve(stream);
                lock(&leaf.connections).remove(&key);
            };
            let started = thread::Builder::new().stack_size(256 << 10).spawn(serve);
            started.expect("a thread can be started");
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let _ = writer.set_nodelay(true);
        let mut input = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut input) {
            if self.has_ended() {
                return;
            }
            let answer = self.answer(&request);
            if self.has_ended() || writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        let target = request.header("target-instance");
        let Spec {
            id: own,
            work,
            body,
            ..
        } = &self.spec;
        let head = format!("Request-Id: {id}\r\nLeaf-Id: {own}\r\n");
        if target.is_some_and(|target| target != own) {
            let head =
                format!("HTTP/1.1 421 Misdirected Request\r\n{head}Content-Length: 0\r\n\r\n");
            return head.into_bytes();
        }
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        let answer = if running > SLOTS + QUEUE {
            let status = "503 Service Unavailable";
            format!("HTTP/1.1 {status}\r\n{head}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
                .into_bytes()
        } else {
            let index = {
                let mut runs = lock(&self.runs);
                runs.push(Run {
                    id: id.clone(),
                    leaf: own.clone(),
                    at: Instant::now(),
                    answered: false,
                });
                runs.len() - 1
            };
            thread::sleep(*work);
            if !self.has_ended() {
                lock(&self.runs)[index].answered = true;
            }
            let running = running.min(SLOTS);
            let mut answer = format!(
                "HTTP/1.1 200 OK\r\n{head}Server-Stamp: {own}.{id}\r\nLeaf-Load: {running},0,{SLOTS}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            )
            .into_bytes();
            answer.extend_from_slice(body);
            answer
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        answer
    }
}
