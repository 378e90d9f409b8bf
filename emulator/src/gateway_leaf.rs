use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    sync::{Notify, Semaphore},
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::{
    http::{Closed, Payload, Reply, Reservation, lock, raw, serve},
    work::Work,
};

/// How a leaf handles requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LeafMode {
    #[default]
    Normal,
    /// Answers 503 and reports that the request was not executed.
    Reject,
    /// Executes the request and answers 500.
    Fail,
    /// Executes the request and answers 503 without stating that it was not executed.
    FailUnavailable,
    /// Executes the request and closes the connection without an answer.
    Disconnect,
    /// Neither executes nor answers the request.
    Silent,
    /// Closes a connection that was idle for at least 300 ms when its next request arrives, without executing the
    /// request.
    CloseIdle,
    /// Executes the request and sends a body without end.
    Endless,
}

/// Size of the blocks of a body without end, bytes.
const ENDLESS_BLOCK_BYTES: usize = 16 << 10;

/// Number of requests that a leaf without [`Work`] says it runs at the same time.
const DEFAULT_SLOTS: u32 = 2;

/// Minimum time since the previous request, or since the connection was opened, for [`LeafMode::CloseIdle`] to close
/// the connection.
const MIN_IDLE_TIME: Duration = Duration::from_millis(300);

/// Requests that a leaf runs and queues at the same time. It sheds more.
#[derive(Clone, Debug)]
struct Capacity {
    slots: usize,
    running: Arc<Semaphore>,
    /// Permits of requests that run or wait.
    accepted: Arc<Semaphore>,
    accepts: usize,
}

impl Capacity {
    /// Returns the load that the leaf reports.
    fn load(&self) -> String {
        let running = self.slots - self.running.available_permits();
        let accepted = self.accepts - self.accepted.available_permits();
        format!(
            "{running},{},{}",
            accepted.saturating_sub(running),
            self.slots
        )
    }
}

#[derive(Debug, Default)]
struct State {
    id: String,
    mode: LeafMode,
    delay: Duration,
    /// Unlimited if `None`.
    capacity: Option<Capacity>,
    /// Replaces the delay and the records.
    work: Option<Work>,
    records: Vec<u8>,
    /// Number of executions of each request, by request id.
    runs: HashMap<String, u32>,
    /// Headers of the latest request with each request id.
    headers: HashMap<String, HeaderMap>,
    /// Number of entries published.
    sequence: u64,
    /// When each request arrived.
    arrivals: Vec<Instant>,
    /// Text of the rate limit in each answer.
    limit: Option<String>,
    /// A header of each answer that replaces the usual one of its name.
    header: Option<(HeaderName, HeaderValue)>,
    /// Number of requests in execution.
    running: u32,
    abandoned: u32,
    /// Paths of requests that crash the leaf, and for how long it is down afterwards.
    crashing: Option<(String, Duration)>,
    /// When a request crashed the leaf.
    crashes: Vec<Instant>,
    /// Largest `deadline-ms` of a request, milliseconds; `u64::MAX` if a request had none.
    max_deadline_ms: u64,
}

/// An emulated leaf that speaks the HTTP/1.1 protocol of the users' platform.
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
        let reservation = Reservation::new(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = reservation.address();
        let listener = reservation.listen()?;
        let state = Arc::new(Mutex::new(State {
            id: id.to_owned(),
            records: records.to_vec(),
            ..State::default()
        }));
        let mut tasks = JoinSet::new();
        tasks.spawn(run(reservation, listener, state.clone()));
        Ok(Self {
            state,
            address,
            _tasks: tasks,
        })
    }

    /// Returns the next entry that the leaf publishes in the store.
    pub fn entry(&self, service: &str, zone: &str, state: &str) -> Value {
        let (sequence, slots) = {
            let mut state = self.lock();
            state.sequence += 1;
            let slots = state.work.as_ref().map_or(DEFAULT_SLOTS, |work| work.slots);
            (state.sequence, slots)
        };
        json!({
            "service": service, "address": self.address, "zone": zone, "config_version": "v1",
            "slots": slots, "state": state, "warmup_left_ms": 0, "sequence": sequence,
        })
    }

    /// Returns the address of the leaf.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the store key of the leaf's entry.
    pub fn key(&self) -> String {
        format!("servers/{}", self.lock().id)
    }

    /// Changes how requests are handled.
    pub fn set_mode(&self, mode: LeafMode) {
        self.lock().mode = mode;
    }

    /// Changes the execution time of requests.
    pub fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// Limits the requests that run at the same time to `slots`, and those that wait to `queue`. Further ones are shed.
    pub fn set_capacity(&self, slots: usize, queue: usize) {
        self.lock().capacity = Some(Capacity {
            slots,
            running: Arc::new(Semaphore::new(slots)),
            accepted: Arc::new(Semaphore::new(slots + queue)),
            accepts: slots + queue,
        });
    }

    /// Lets requests run for times of their own and get answers of their own, which their stamps describe. A request that
    /// uses up its `deadline-ms` is answered 504 then.
    pub fn set_work(&self, work: Work) {
        self.lock().work = Some(work);
    }

    /// Changes the rate limit that answers name.
    pub fn set_limit(&self, limit: Option<&str>) {
        self.lock().limit = limit.map(str::to_owned);
    }

    /// Sets a header of all answers.
    ///
    /// # Panics
    ///
    /// Panics if the name or the value is not allowed in a header.
    pub fn set_header(&self, name: &'static str, value: &str) {
        let value = HeaderValue::from_str(value).expect("value is a valid header value");
        self.lock().header = Some((HeaderName::from_static(name), value));
    }

    /// Returns the largest number of requests that arrived within a `window` that starts at `from` or later.
    pub fn most_arrivals(&self, from: Instant, window: Duration) -> usize {
        let state = self.lock();
        let first = state.arrivals.partition_point(|at| *at < from);
        let arrivals = &state.arrivals[first..];
        let within = |start: &Instant| {
            let end = arrivals.partition_point(|at| *at < *start + window);
            end - arrivals.partition_point(|at| at < start)
        };
        arrivals.iter().map(within).max().unwrap_or(0)
    }

    /// Makes the leaf crash while it runs a request with this path, after its usual execution time. It accepts connections
    /// again after `down`.
    pub fn crash_on(&self, path: &str, down: Duration) {
        self.lock().crashing = Some((path.to_owned(), down));
    }

    /// Returns when requests crashed the leaf.
    pub fn crashes(&self) -> Vec<Instant> {
        self.lock().crashes.clone()
    }

    /// Changes the id of the leaf, as if another leaf had started at the same address.
    pub fn set_id(&self, id: &str) {
        self.lock().id = id.to_owned();
    }

    /// Returns the number of executions of a request.
    pub fn run_count(&self, request: &str) -> u32 {
        self.lock().runs.get(request).copied().unwrap_or(0)
    }

    /// Returns the headers of the latest request with this id that reached the leaf.
    pub fn request_headers(&self, request: &str) -> Option<HeaderMap> {
        self.lock().headers.get(request).cloned()
    }

    /// Returns the number of requests received.
    pub fn request_count(&self) -> u64 {
        self.lock().arrivals.len() as u64
    }

    /// Returns the number of requests whose connection ended during their execution.
    pub fn abandoned_count(&self) -> u32 {
        self.lock().abandoned
    }

    /// Returns the largest `deadline-ms` of a request, or `u64::MAX` milliseconds if a request had none.
    pub fn max_deadline(&self) -> Duration {
        Duration::from_millis(self.lock().max_deadline_ms)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

/// Accepts connections, and restarts after each crash.
async fn run(reservation: Reservation, mut listener: TcpListener, state: Arc<Mutex<State>>) {
    loop {
        let crashed = Arc::new(Notify::new());
        tokio::select! {
            () = accept(listener, state.clone(), crashed.clone()) => return,
            () = crashed.notified() => {}
        }
        let down = {
            let mut state = lock(&state);
            state.crashes.push(Instant::now());
            state
                .crashing
                .as_ref()
                .map_or(Duration::ZERO, |(_, down)| *down)
        };
        sleep(down).await;
        listener = match reservation.listen() {
            Ok(listener) => listener,
            Err(error) => {
                log::error!("the leaf cannot listen again: {error}");
                return;
            }
        };
    }
}

async fn accept(listener: TcpListener, state: Arc<Mutex<State>>, crashed: Arc<Notify>) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let (state, crashed) = (state.clone(), crashed.clone());
        let last_request = Arc::new(Mutex::new(Instant::now()));
        connections.spawn(serve(stream, move |request| {
            let (state, last_request) = (state.clone(), last_request.clone());
            let crashed = crashed.clone();
            async move {
                let previous = std::mem::replace(&mut *lock(&last_request), Instant::now());
                let closes_idle = lock(&state).mode == LeafMode::CloseIdle;
                if closes_idle && previous.elapsed() >= MIN_IDLE_TIME {
                    return Err(Closed);
                }
                let (limit, header) = {
                    let state = lock(&state);
                    (state.limit.clone(), state.header.clone())
                };
                let mut response = handle(request, state, crashed).await?;
                if let Some(limit) = limit {
                    let value =
                        HeaderValue::from_str(&limit).expect("limit is a valid header value");
                    response.headers_mut().insert("server-limit", value);
                }
                if let Some((name, value)) = header {
                    response.headers_mut().insert(name, value);
                }
                Ok(response)
            }
        }));
    }
}

/// Counts a request as abandoned if its connection ends during its execution.
///
/// The flag is set when the execution has ended.
struct RunGuard(Arc<Mutex<State>>, bool);

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut state = lock(&self.0);
        state.running -= 1;
        if !self.1 {
            state.abandoned += 1;
        }
    }
}

async fn handle(request: Request<Bytes>, state: Arc<Mutex<State>>, crashed: Arc<Notify>) -> Reply {
    let header = |name: &str| {
        let value = request
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (id, target) = (header("request-id"), header("target-instance"));
    let deadline_ms = header("deadline-ms").parse().unwrap_or(u64::MAX);
    let (mode, delay, leaf_id, crashes) = {
        let mut state = lock(&state);
        state.arrivals.push(Instant::now());
        state.headers.insert(id.clone(), request.headers().clone());
        state.max_deadline_ms = state.max_deadline_ms.max(deadline_ms);
        let crashing = state.crashing.as_ref();
        let crashes = crashing.is_some_and(|(path, _)| path == request.uri().path());
        (state.mode, state.delay, state.id.clone(), crashes)
    };
    if target != leaf_id {
        return Ok(build_response(
            StatusCode::MISDIRECTED_REQUEST,
            &[("leaf-id", &leaf_id)],
            b"",
        ));
    }
    match mode {
        LeafMode::Reject => {
            let headers = [("not-executed", "1")];
            return Ok(build_response(
                StatusCode::SERVICE_UNAVAILABLE,
                &headers,
                b"",
            ));
        }
        LeafMode::Silent => std::future::pending().await,
        LeafMode::Normal
        | LeafMode::Fail
        | LeafMode::FailUnavailable
        | LeafMode::Disconnect
        | LeafMode::CloseIdle
        | LeafMode::Endless => {}
    }
    let capacity = lock(&state).capacity.clone();
    let mut permits = None;
    if let Some(capacity) = &capacity {
        let Ok(accepted) = capacity.accepted.try_acquire() else {
            let load = capacity.load();
            let headers = [("not-executed", "1"), ("leaf-load", load.as_str())];
            return Ok(build_response(
                StatusCode::SERVICE_UNAVAILABLE,
                &headers,
                b"",
            ));
        };
        permits = Some((accepted, capacity.running.acquire().await));
    }
    let (count, work) = {
        let mut state = lock(&state);
        state.running += 1;
        let runs = state.runs.entry(id.clone()).or_default();
        *runs += 1;
        (*runs, state.work.clone())
    };
    let mut guard = RunGuard(state.clone(), false);
    if let Some(work) = work {
        let run = work.run(&leaf_id, &id, count, Duration::from_millis(deadline_ms));
        sleep(run.time).await;
        guard.1 = true;
        let load = format!("{},0,{}", lock(&state).running, work.slots);
        let headers = [
            ("request-id", id.as_str()),
            ("server-stamp", &run.stamp),
            ("leaf-load", &load),
        ];
        return Ok(build_response(run.status, &headers, &run.body));
    }
    sleep(delay).await;
    if crashes {
        crashed.notify_one();
        std::future::pending::<()>().await;
    }
    guard.1 = true;
    let load = capacity
        .as_ref()
        .map_or_else(|| "1,0,2".to_owned(), Capacity::load);
    drop(permits);
    let stamp = format!("{leaf_id}.{id}.{count}");
    let headers = [
        ("request-id", id.as_str()),
        ("server-stamp", &stamp),
        ("leaf-load", load.as_str()),
    ];
    match mode {
        LeafMode::Disconnect => Err(Closed),
        LeafMode::Fail => Ok(build_response(
            StatusCode::INTERNAL_SERVER_ERROR,
            &headers,
            b"failed",
        )),
        LeafMode::FailUnavailable => Ok(build_response(
            StatusCode::SERVICE_UNAVAILABLE,
            &headers,
            b"failed",
        )),
        LeafMode::Endless => {
            let mut response = build_response(StatusCode::OK, &headers, b"");
            *response.body_mut() = Payload::Endless(vec![b'x'; ENDLESS_BLOCK_BYTES].into());
            Ok(response)
        }
        _ => {
            let records = lock(&state).records.clone();
            Ok(build_response(StatusCode::OK, &headers, &records))
        }
    }
}

fn build_response(
    status: StatusCode,
    headers: &[(&'static str, &str)],
    body: &[u8],
) -> Response<Payload> {
    let mut response = raw(status, Payload::Full(Some(Bytes::copy_from_slice(body))));
    for (name, value) in headers {
        let value = HeaderValue::from_str(value).expect("value is a valid header value");
        response.headers_mut().insert(*name, value);
    }
    response
}
