//! A leaf with slots and a short queue. On request it sends extra copies of answers.

use std::{
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Connection, Message, response},
    record::Record,
    store::Store,
};

const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Interval at which a waiting request looks whether its connection is closed.
const CLOSE_CHECK: Duration = Duration::from_millis(5);

#[derive(Clone, Copy)]
pub struct LeafSettings {
    pub slots: usize,
    /// Requests that wait for a slot; further ones are rejected.
    pub queue: usize,
    pub work: Duration,
}

#[derive(Default)]
struct State {
    running: usize,
    waiting: usize,
    answers: usize,
    runs: Vec<String>,
    /// When each of them began.
    began: Vec<Instant>,
    rejected: usize,
}

#[derive(Clone)]
pub struct Leaf {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    settings: LeafSettings,
    /// While not 0, every n-th answer is sent a second time, at the point where the next answer on its connection is
    /// expected.
    pub extra_every: Arc<AtomicUsize>,
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Leaf {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        settings: LeafSettings,
        store: &Store,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a leaf");
        let leaf = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("address of a leaf"),
            settings,
            extra_every: Arc::default(),
            state: Arc::default(),
            record: record.clone(),
        };
        let serving = leaf.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let leaf = serving.clone();
                thread::spawn(move || leaf.serve(stream));
            }
        });
        leaf.publish(store, 1);
        let (writer, store) = (leaf.clone(), store.clone());
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(HEARTBEAT);
                writer.publish(&store, sequence);
            }
        });
        leaf
    }

    /// Returns the ids of the requests that the leaf began to run, in order.
    pub fn runs(&self) -> Vec<String> {
        self.state.0.lock().unwrap().runs.clone()
    }

    /// Returns when the leaf began to run requests.
    pub fn began(&self) -> Vec<Instant> {
        self.state.0.lock().unwrap().began.clone()
    }

    pub fn rejected(&self) -> usize {
        self.state.0.lock().unwrap().rejected
    }

    fn publish(&self, store: &Store, sequence: u64) {
        let Self {
            id,
            service,
            zone,
            address,
            settings,
            ..
        } = self;
        store.put(
            &format!("servers/{id}"),
            &format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"config_version\":\"v1\",\
                 \"slots\":{},\"state\":\"ready\",\"warmup_left_ms\":0,\"born\":1700000000000,\"sequence\":{sequence}}}",
                settings.slots
            ),
        );
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        let mut extra: Option<(String, Vec<u8>)> = None;
        while let Ok(Some(request)) = connection.read() {
            if let Some((of, copy)) = extra.take() {
                let (status, id) = (
                    status_of(&copy),
                    request.header("request-id").unwrap_or_default(),
                );
                self.record.line(&format!(
                    "leaf {} extra copy of the {status} for {of}, before its answer to {id}",
                    self.id
                ));
                if connection.send(&copy).is_err() {
                    return;
                }
            }
            let Some(answer) = self.answer(&request, &connection) else {
                return;
            };
            if connection.send(&answer).is_err() {
                return;
            }
            let id = request.header("request-id").unwrap_or_default().to_owned();
            let answers = {
                let mut state = self.state.0.lock().unwrap();
                state.answers += 1;
                state.answers
            };
            let every = self.extra_every.load(Ordering::Relaxed);
            if every > 0 && answers % every == 0 {
                extra = Some((id, answer));
            }
        }
    }

    /// Handles a request. `None` if its connection was closed while it waited for a slot.
    fn answer(&self, request: &Message, connection: &Connection) -> Option<Vec<u8>> {
        let id = request.header("request-id").unwrap_or_default();
        if request.path() == "/health" {
            return Some(response("200 OK", &[("Leaf-Id", &self.id)], b""));
        }
        if request
            .header("target-instance")
            .is_some_and(|target| target != self.id)
        {
            return Some(response(
                "421 Misdirected Request",
                &[("Request-Id", id), ("Not-Executed", "1")],
                b"",
            ));
        }
        let (lock, freed) = &*self.state;
        let mut state = lock.lock().unwrap();
        if state.running >= self.settings.slots {
            if state.waiting >= self.settings.queue {
                state.rejected += 1;
                drop(state);
                self.record
                    .line(&format!("leaf {} rejected {id}: 503 Not-Executed", self.id));
                return Some(response(
                    "503 Service Unavailable",
                    &[("Request-Id", id), ("Not-Executed", "1")],
                    b"",
                ));
            }
            state.waiting += 1;
            while state.running >= self.settings.slots {
                state = freed.wait_timeout(state, CLOSE_CHECK).unwrap().0;
                if connection.is_closed() {
                    state.waiting -= 1;
                    self.record.line(&format!(
                        "leaf {} drops {id}: its connection is closed",
                        self.id
                    ));
                    return None;
                }
            }
            state.waiting -= 1;
        }
        state.running += 1;
        state.runs.push(id.to_owned());
        state.began.push(Instant::now());
        let run = state.runs.len();
        drop(state);
        self.record.line(&format!("leaf {} runs {id}", self.id));
        thread::sleep(self.settings.work);
        lock.lock().unwrap().running -= 1;
        freed.notify_one();
        let stamp = format!("{}.{run}.{id}", self.id);
        Some(response(
            "200 OK",
            &[("Request-Id", id), ("Server-Stamp", &stamp)],
            b"done",
        ))
    }
}

/// Returns the status of an encoded answer.
fn status_of(answer: &[u8]) -> String {
    String::from_utf8_lossy(answer.get(9..12).unwrap_or_default()).into_owned()
}
