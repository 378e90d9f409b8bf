use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode};
use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::http::{Closed, Payload, Reply, lock, raw, serve};

/// How a worker treats requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LeafMode {
    #[default]
    Normal,
    /// Answers 503 and says that nothing ran.
    Reject,
    /// Runs the request and answers 500.
    Fail,
    /// Runs the request and closes the connection.
    Disconnect,
    /// Answers nothing and runs nothing.
    Silent,
    /// Closes connections that rested when the next request comes, and runs nothing.
    CloseIdle,
}

/// Rest after which [`LeafMode::CloseIdle`] closes a connection.
const FORGOTTEN: Duration = Duration::from_millis(300);

#[derive(Debug, Default)]
struct State {
    id: String,
    conduct: LeafMode,
    delay: Duration,
    records: Vec<u8>,
    /// How often each request ran, by its id.
    runs: HashMap<String, u32>,
    arrivals: u64,
    /// What a caller that left would still have it do.
    running: u32,
    abandoned: u32,
    /// Longest time that a request gave it, milliseconds.
    longest: u64,
}

/// A stand-in for a leaf that speaks the platform's HTTP/1.1 wire.
#[derive(Debug)]
pub struct GatewayLeaf {
    state: Arc<Mutex<State>>,
    address: SocketAddr,
    _tasks: JoinSet<()>,
}

impl GatewayLeaf {
    /// Starts a leaf that answers every request with `records`.
    ///
    /// # Errors
    ///
    /// Fails if no address can be bound.
    pub async fn start(id: &str, records: &[u8]) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State {
            id: id.to_owned(),
            records: records.to_vec(),
            ..State::default()
        }));
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, state.clone()));
        Ok(Self {
            state,
            address,
            _tasks: tasks,
        })
    }

    /// Returns what the leaf publishes of itself.
    pub fn entry(&self, service: &str, zone: &str, state: &str) -> Value {
        json!({
            "service": service, "address": self.address, "zone": zone, "config_version": "v1",
            "slots": 2, "state": state, "warmup_left_ms": 0, "sequence": 1,
        })
    }

    /// Returns the key of the leaf's entry.
    pub fn key(&self) -> String {
        format!("servers/{}", self.lock().id)
    }

    /// Changes how requests are treated.
    pub fn set_mode(&self, conduct: LeafMode) {
        self.lock().conduct = conduct;
    }

    /// Changes how long a request takes.
    pub fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// Becomes another leaf at the same address.
    pub fn set_id(&self, id: &str) {
        self.lock().id = id.to_owned();
    }

    /// Returns how often a request ran.
    pub fn run_count(&self, request: &str) -> u32 {
        self.lock().runs.get(request).copied().unwrap_or(0)
    }

    /// Returns the number of requests that reached it.
    pub fn request_count(&self) -> u64 {
        self.lock().arrivals
    }

    /// Returns the number of requests whose connection ended while they ran.
    pub fn abandoned_count(&self) -> u32 {
        self.lock().abandoned
    }

    /// Returns the longest time that a request gave it.
    pub fn max_deadline(&self) -> Duration {
        Duration::from_millis(self.lock().longest)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

async fn accept(listener: TcpListener, state: Arc<Mutex<State>>) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let state = state.clone();
        let used = Arc::new(Mutex::new(Instant::now()));
        connections.spawn(serve(stream, move |request| {
            let (state, used) = (state.clone(), used.clone());
            async move {
                let before = std::mem::replace(&mut *lock(&used), Instant::now());
                let forgets = lock(&state).conduct == LeafMode::CloseIdle;
                if forgets && before.elapsed() >= FORGOTTEN {
                    return Err(Closed);
                }
                answer(request, state).await
            }
        }));
    }
}

/// Counts a request as abandoned if its connection ends while it runs.
struct Run(Arc<Mutex<State>>, bool);

impl Drop for Run {
    fn drop(&mut self) {
        let mut state = lock(&self.0);
        state.running -= 1;
        if !self.1 {
            state.abandoned += 1;
        }
    }
}

async fn answer(request: Request<Bytes>, state: Arc<Mutex<State>>) -> Reply {
    let header = |name: &str| {
        let value = request
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (id, target) = (header("request-id"), header("target-instance"));
    let (conduct, delay, own) = {
        let mut state = lock(&state);
        state.arrivals += 1;
        let given = header("deadline-ms").parse().unwrap_or(u64::MAX);
        state.longest = state.longest.max(given);
        (state.conduct, state.delay, state.id.clone())
    };
    if target != own {
        return Ok(build(
            StatusCode::MISDIRECTED_REQUEST,
            &[("leaf-id", &own)],
            b"",
        ));
    }
    match conduct {
        LeafMode::Reject => {
            let headers = [("not-executed", "1")];
            return Ok(build(StatusCode::SERVICE_UNAVAILABLE, &headers, b""));
        }
        LeafMode::Silent => std::future::pending().await,
        LeafMode::Normal | LeafMode::Fail | LeafMode::Disconnect | LeafMode::CloseIdle => {}
    }
    let count = {
        let mut state = lock(&state);
        state.running += 1;
        let runs = state.runs.entry(id.clone()).or_default();
        *runs += 1;
        *runs
    };
    let mut run = Run(state.clone(), false);
    sleep(delay).await;
    run.1 = true;
    let stamp = format!("{own}.{id}.{count}");
    let headers = [
        ("request-id", id.as_str()),
        ("server-stamp", &stamp),
        ("leaf-load", "1,0,2"),
    ];
    match conduct {
        LeafMode::Disconnect => Err(Closed),
        LeafMode::Fail => Ok(build(
            StatusCode::INTERNAL_SERVER_ERROR,
            &headers,
            b"failed",
        )),
        _ => {
            let records = lock(&state).records.clone();
            Ok(build(StatusCode::OK, &headers, &records))
        }
    }
}

fn build(status: StatusCode, headers: &[(&'static str, &str)], body: &[u8]) -> Response<Payload> {
    let mut response = raw(status, Payload::Whole(Some(Bytes::copy_from_slice(body))));
    for (name, value) in headers {
        let value = HeaderValue::from_str(value).expect("a plain header value");
        response.headers_mut().insert(*name, value);
    }
    response
}
