use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use anyhow::bail;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde::Deserialize;
use serde_json::json;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::yield_now,
    time::sleep,
};

use super::{
    UpstreamSettings,
    control::{Execution, Fault, LeafControl, LeafCounters},
    io::LeafStream,
};
use crate::{
    LeafSpec,
    data::{Hit, Index},
    http::{Payload, Reply, Reservation, error, json as json_reply, raw, serve},
};

/// Maximum number of recorded ordinary calls per leaf. Without a limit, many leaves under load would fill the memory.
const MAX_EXECUTIONS: usize = 10_000;
/// Maximum number of recorded at-most-once calls per leaf.
const MAX_ONCE_EXECUTIONS: usize = 100_000;
/// Number of times that a call yields to let calls that were reset before it end. The yields take only microseconds,
/// so calls that really exceed the limits are still counted.
const MAX_RESET_YIELDS: usize = 64;
/// Exit code of a process on an emulated crash.
const CRASH_EXIT_CODE: i32 = 70;
/// Maximum time of a call, also used for calls without a deadline.
const MAX_CALL_TIMEOUT: Duration = Duration::from_secs(60);
const HEADER_NOT_RUN: &str = "x-not-run";
const HEADER_DEADLINE: &str = "x-deadline-ms";

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Search {
    snapshot: u64,
    shard: u32,
    text: String,
    top: usize,
    #[serde(default)]
    once: bool,
}

/// Persistent behaviour, as changed by `POST /v1/control`.
#[derive(Clone, Debug, Default)]
struct Behaviour {
    slow_share: f64,
    slow_delay: Duration,
    service_time: Duration,
    shed_share: f64,
    leaving: bool,
    crash_text: Option<String>,
    lying: bool,
    serving: Option<Vec<u64>>,
    answer_snapshot: Option<u64>,
    fault: Option<Fault>,
    fault_share: f64,
}

/// The current or last cold start of a leaf.
#[derive(Debug, Default)]
struct ColdStart {
    /// Sequence number, which distinguishes calls that began in this cold start from earlier ones.
    number: u64,
    calls_left: u32,
    until: Option<Instant>,
    /// Whether a new instance is the cause.
    new_instance: bool,
}

#[derive(Debug)]
struct State {
    rng: Pcg64,
    behaviour: Behaviour,
    instance: u64,
    cold: ColdStart,
    calls: HashMap<u64, Call>,
    open_connections: u32,
    counters: LeafCounters,
    /// Number of executions of each call; the `count` of the key is zero.
    executions: HashMap<Execution, u32>,
    last_arrival: Option<Instant>,
}

impl State {
    fn is_cold(&self) -> bool {
        self.cold.calls_left > 0 || self.cold.until.is_some_and(|until| Instant::now() < until)
    }

    fn start_cold(&mut self, calls: u32, until: Option<Instant>, new_instance: bool) {
        let number = self.cold.number + 1;
        self.cold = ColdStart {
            number,
            calls_left: calls,
            until,
            new_instance,
        };
    }

    /// Returns the number of running calls; if `cold`, only of those that began in the current cold start.
    ///
    /// A call whose deadline has passed is not counted, even if its timer fires late on a busy machine.
    fn running_count(&self, cold: bool) -> u32 {
        let now = Instant::now();
        let counts = |call: &&Call| {
            call.deadline > now && (!cold || call.cold_start == Some(self.cold.number))
        };
        self.calls.values().filter(counts).count() as u32
    }

    fn record_execution(&mut self, call: Execution) {
        let limit = match call.once {
            true => MAX_ONCE_EXECUTIONS,
            false => MAX_EXECUTIONS,
        };
        if self.executions.len() < limit || self.executions.contains_key(&call) {
            *self.executions.entry(call).or_default() += 1;
        } else {
            self.counters.unrecorded += u64::from(call.once);
        }
    }

    fn instance_id(&self) -> String {
        format!("{:016x}", self.instance)
    }
}

/// An emulated leaf with its own port.
#[derive(Debug)]
pub(crate) struct Leaf {
    spec: LeafSpec,
    indexes: BTreeMap<u64, Arc<Index>>,
    service_time: Duration,
    connect_delay: Duration,
    cold_calls: u32,
    cold_factor: f64,
    restart_delay: Duration,
    exit_on_crash: bool,
    state: Mutex<State>,
    silence_count: Arc<AtomicU64>,
    /// Number of crashes; a change closes all connections.
    crashes: watch::Sender<u64>,
}

/// State of a running call.
#[derive(Debug)]
struct Call {
    cold_start: Option<u64>,
    /// Deadline given by the caller.
    deadline: Instant,
}

/// Guard of a running call; ends the call on drop.
struct RunningCall {
    leaf: Arc<Leaf>,
    id: u64,
    finished: bool,
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        let mut state = self.leaf.lock();
        // A crash has already ended all calls of its instance.
        if state.calls.remove(&self.id).is_none() {
            return;
        }
        if self.finished {
            state.cold.calls_left = state.cold.calls_left.saturating_sub(1);
        } else {
            state.counters.cancelled += 1;
        }
    }
}

/// Counts an open connection until it is closed or becomes silent.
struct ConnectionGuard(Arc<Leaf>, u64);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        if self.0.silence_count.load(Ordering::Relaxed) == self.1 {
            let mut state = self.0.lock();
            state.open_connections = state.open_connections.saturating_sub(1);
        }
    }
}

/// Parameters for the execution of an admitted call.
struct AdmittedCall {
    running: RunningCall,
    service_time: Duration,
    cold: bool,
    instance: String,
    answer_snapshot: u64,
    fault: Option<Fault>,
}

impl Leaf {
    pub(crate) fn new(
        number: usize,
        spec: &LeafSpec,
        address: SocketAddr,
        settings: &UpstreamSettings,
        indexes: &BTreeMap<u64, Arc<Index>>,
    ) -> anyhow::Result<Arc<Self>> {
        for snapshot in spec.shards.keys() {
            if !indexes.contains_key(snapshot) {
                bail!("leaf {number} holds shards of snapshot {snapshot}, which does not exist");
            }
        }
        let mut rng = Pcg64::seed_from_u64(settings.seed.wrapping_add(number as u64));
        let mut state = State {
            instance: rng.random(),
            rng,
            behaviour: Behaviour {
                service_time: settings.service_time,
                ..Behaviour::default()
            },
            cold: ColdStart::default(),
            calls: HashMap::new(),
            open_connections: 0,
            counters: LeafCounters {
                address,
                instance: String::new(),
                arrived: 0,
                executed: 0,
                shed: 0,
                while_leaving: 0,
                wrong_snapshot: 0,
                cancelled: 0,
                max_warm: 0,
                max_cold: 0,
                max_cold_instance: 0,
                above_limit: 0,
                crashes: 0,
                connections: 0,
                max_connections: 0,
                refused_connections: 0,
                idle_ms: None,
                unrecorded: 0,
            },
            executions: HashMap::new(),
            last_arrival: None,
        };
        state.start_cold(settings.cold_calls, None, true);
        Ok(Arc::new(Self {
            spec: LeafSpec {
                address,
                ..spec.clone()
            },
            indexes: indexes.clone(),
            service_time: settings.service_time,
            connect_delay: settings.connect_delay,
            cold_calls: settings.cold_calls,
            cold_factor: settings.cold_factor,
            restart_delay: settings.restart_delay,
            exit_on_crash: settings.exit_on_crash,
            state: Mutex::new(state),
            silence_count: Arc::default(),
            crashes: watch::Sender::new(0),
        }))
    }

    pub(crate) fn spec(&self) -> &LeafSpec {
        &self.spec
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub(crate) fn counters(&self) -> LeafCounters {
        let state = self.lock();
        LeafCounters {
            instance: state.instance_id(),
            idle_ms: state
                .last_arrival
                .map(|last| last.elapsed().as_millis() as u64),
            ..state.counters.clone()
        }
    }

    pub(crate) fn executions(&self) -> Vec<Execution> {
        let state = self.lock();
        let execution = |(call, count): (&Execution, &u32)| Execution {
            count: *count,
            ..call.clone()
        };
        state.executions.iter().map(execution).collect()
    }

    pub(crate) fn control(&self, control: &LeafControl) {
        let mut state = self.lock();
        if control.reset {
            state.behaviour = Behaviour {
                service_time: self.service_time,
                ..Behaviour::default()
            };
        }
        let behaviour = &mut state.behaviour;
        behaviour.slow_share = control.slow_share.unwrap_or(behaviour.slow_share);
        behaviour.slow_delay = control
            .slow_ms
            .map_or(behaviour.slow_delay, Duration::from_millis);
        behaviour.service_time = control
            .service_us
            .map_or(behaviour.service_time, Duration::from_micros);
        behaviour.shed_share = control.shed_share.unwrap_or(behaviour.shed_share);
        behaviour.leaving = control.leaving.unwrap_or(behaviour.leaving);
        behaviour.lying = control.lying.unwrap_or(behaviour.lying);
        behaviour.fault = control.fault.or(behaviour.fault);
        behaviour.fault_share = control.fault_share.unwrap_or(behaviour.fault_share);
        if let Some(text) = &control.crash_text {
            behaviour.crash_text = (!text.is_empty()).then(|| text.clone());
        }
        if let Some(snapshots) = &control.serving {
            behaviour.serving = (!snapshots.is_empty()).then(|| snapshots.clone());
        }
        if let Some(snapshot) = control.answer_snapshot {
            behaviour.answer_snapshot = (snapshot != 0).then_some(snapshot);
        }
        if control.cold_ms.is_some() || control.cold_calls.is_some() {
            let until = control
                .cold_ms
                .map(|ms| Instant::now() + Duration::from_millis(ms));
            state.start_cold(control.cold_calls.unwrap_or(0), until, false);
        }
        if control.silent {
            self.silence_count.fetch_add(1, Ordering::Relaxed);
            state.open_connections = 0;
        }
        if control.crash {
            self.crash(&mut state);
        }
    }

    /// Ends the current instance: its running calls do not finish, and the next instance is cold.
    fn crash(&self, state: &mut State) {
        if self.exit_on_crash {
            std::process::exit(CRASH_EXIT_CODE);
        }
        state.counters.crashes += 1;
        state.instance = state.rng.random();
        state.calls.clear();
        state.open_connections = 0;
        // Connections of the old instance must not change the count when they are closed.
        self.silence_count.fetch_add(1, Ordering::Relaxed);
        state.start_cold(self.cold_calls, None, true);
        self.crashes.send_modify(|count| *count += 1);
    }

    /// Accepts connections until the task is aborted.
    pub(crate) async fn run(self: Arc<Self>, reservation: Reservation, listener: TcpListener) {
        let mut crashes = self.crashes.subscribe();
        let mut first_listener = Some(listener);
        loop {
            let listener = match first_listener.take() {
                Some(listener) => listener,
                None => match reservation.listen() {
                    Ok(listener) => listener,
                    Err(err) => {
                        log::warn!(
                            "leaf {} cannot listen after a restart: {err}",
                            self.spec.address
                        );
                        sleep(Duration::from_millis(50)).await;
                        continue;
                    }
                },
            };
            crashes.mark_unchanged();
            loop {
                tokio::select! {
                    biased;
                    _ = crashes.changed() => break,
                    accepted = listener.accept() => match accepted {
                        Ok((stream, _)) => self.clone().accept(stream),
                        Err(err) => {
                            log::warn!("leaf {} cannot accept a connection: {err}", self.spec.address);
                            sleep(Duration::from_millis(50)).await;
                        }
                    },
                }
            }
            drop(listener);
            sleep(self.restart_delay).await;
        }
    }

    fn accept(self: Arc<Self>, stream: TcpStream) {
        let silence_count = self.silence_count.load(Ordering::Relaxed);
        let mut crashes = self.crashes.subscribe();
        {
            let mut state = self.lock();
            if state.open_connections >= self.spec.connections {
                state.counters.refused_connections += 1;
                return;
            }
            state.open_connections += 1;
            state.counters.connections += 1;
            state.counters.max_connections =
                state.counters.max_connections.max(state.open_connections);
        }
        let guard = ConnectionGuard(self.clone(), silence_count);
        let _ = stream.set_nodelay(true);
        tokio::spawn(async move {
            let _guard = guard;
            let io = LeafStream::new(
                stream,
                self.silence_count.clone(),
                silence_count,
                crashes.clone(),
            );
            let delay = self.connect_delay;
            let handler = move |request| self.clone().handle(request);
            tokio::select! {
                biased;
                _ = crashes.changed() => {}
                () = async { sleep(delay).await; serve(io, handler).await } => {}
            }
        });
    }

    async fn handle(self: Arc<Self>, request: Request<Bytes>) -> Reply {
        let (parts, body) = request.into_parts();
        match (&parts.method, parts.uri.path()) {
            (&Method::POST, "/v1/search") => match serde_json::from_slice(&body) {
                Ok(search) => self.search(&parts.headers, search).await,
                Err(err) => Ok(error(StatusCode::BAD_REQUEST, "body", &err.to_string())),
            },
            (&Method::GET, "/v1/health") => Ok(self.health()),
            (&Method::GET, "/v1/load") => Ok(self.load()),
            (&Method::GET, "/v1/counters") => Ok(json_reply(StatusCode::OK, &self.counters())),
            (&Method::GET, "/v1/executions") => Ok(json_reply(StatusCode::OK, &self.executions())),
            (&Method::POST, "/v1/control") => match serde_json::from_slice(&body) {
                Ok(control) => {
                    self.control(&control);
                    Ok(json_reply(StatusCode::OK, &json!({})))
                }
                Err(err) => Ok(error(StatusCode::BAD_REQUEST, "control", &err.to_string())),
            },
            _ => Ok(error(
                StatusCode::NOT_FOUND,
                "not_found",
                "no such resource",
            )),
        }
    }

    fn health(&self) -> Response<Payload> {
        let state = self.lock();
        let lying = state.behaviour.lying;
        let healthy = !state.behaviour.leaving && state.behaviour.shed_share < 1.0;
        let answer = json!({
            "healthy": lying || healthy,
            "cold": !lying && state.is_cold(),
            "instance": state.instance_id(),
        });
        json_reply(StatusCode::OK, &answer)
    }

    fn load(&self) -> Response<Payload> {
        let state = self.lock();
        let running = if state.behaviour.lying {
            0
        } else {
            state.running_count(false)
        };
        json_reply(
            StatusCode::OK,
            &json!({"running": running, "slots": self.spec.slots}),
        )
    }

    fn is_at_capacity(&self) -> bool {
        let state = self.lock();
        match state.is_cold() {
            true => state.running_count(true) >= self.spec.cold_capacity,
            false => state.running_count(false) >= self.spec.slots,
        }
    }

    /// Admits a call or returns the response that rejects it.
    fn admit(
        self: &Arc<Self>,
        headers: &HeaderMap,
        search: &Search,
    ) -> Result<AdmittedCall, Box<Response<Payload>>> {
        let mut guard = self.lock();
        let state = &mut *guard;
        state.counters.arrived += 1;
        state.last_arrival = Some(Instant::now());
        if state.behaviour.leaving {
            state.counters.while_leaving += 1;
            return Err(not_run("leaving", "the leaf is leaving").into());
        }
        let serving = &state.behaviour.serving;
        let held = self.spec.shards.get(&search.snapshot);
        let served = serving
            .as_ref()
            .is_none_or(|serving| serving.contains(&search.snapshot));
        if !served || !held.is_some_and(|held| held.contains(&search.shard)) {
            state.counters.wrong_snapshot += 1;
            let newest = match serving {
                Some(serving) => serving.iter().max().copied(),
                None => self.spec.shards.keys().max().copied(),
            };
            let answer = json!({"error": "wrong_snapshot", "serving": newest});
            return Err(json_reply(StatusCode::CONFLICT, &answer).into());
        }
        let cold = state.is_cold();
        let (concurrent, limit) = match cold {
            true => (state.running_count(true) + 1, self.spec.cold_capacity),
            false => (state.running_count(false) + 1, self.spec.slots),
        };
        let max = match cold {
            true => &mut state.counters.max_cold,
            false => &mut state.counters.max_warm,
        };
        *max = concurrent.max(*max);
        if cold && state.cold.new_instance {
            state.counters.max_cold_instance = concurrent.max(state.counters.max_cold_instance);
        }
        if concurrent > limit {
            state.counters.shed += 1;
            state.counters.above_limit += u64::from(!cold || state.cold.new_instance);
            return Err(not_run("full", "all slots are in use").into());
        }
        if state.rng.random::<f64>() < state.behaviour.shed_share {
            state.counters.shed += 1;
            return Err(not_run("shed", "the leaf sheds load").into());
        }
        state.counters.executed += 1;
        let id = state.counters.executed;
        let call = Call {
            cold_start: cold.then_some(state.cold.number),
            deadline: Instant::now() + call_timeout(headers),
        };
        state.calls.insert(id, call);
        state.record_execution(Execution {
            request: request_id(headers),
            text: search.text.clone(),
            snapshot: search.snapshot,
            shard: search.shard,
            once: search.once,
            count: 0,
        });
        let behaviour = &state.behaviour;
        let factor = state.rng.random_range(0.5..1.5) * if cold { self.cold_factor } else { 1.0 };
        let slow = state.rng.random::<f64>() < behaviour.slow_share;
        let faulty = state.rng.random::<f64>() < behaviour.fault_share;
        Ok(AdmittedCall {
            running: RunningCall {
                leaf: self.clone(),
                id,
                finished: false,
            },
            service_time: behaviour.service_time.mul_f64(factor)
                + if slow {
                    behaviour.slow_delay
                } else {
                    Duration::ZERO
                },
            cold,
            instance: state.instance_id(),
            answer_snapshot: behaviour.answer_snapshot.unwrap_or(search.snapshot),
            fault: behaviour.fault.filter(|_| faulty),
        })
    }

    async fn search(self: Arc<Self>, headers: &HeaderMap, search: Search) -> Reply {
        // A call that was reset on the same connection counts until its task has run.
        for _ in 0..MAX_RESET_YIELDS {
            if !self.is_at_capacity() {
                break;
            }
            yield_now().await;
        }
        let admitted = match self.admit(headers, &search) {
            Ok(admitted) => admitted,
            Err(rejection) => return Ok(*rejection),
        };
        let mut running = admitted.running;
        {
            let mut state = self.lock();
            let crash_text = state.behaviour.crash_text.as_ref();
            if crash_text.is_some_and(|crash_text| search.text.contains(crash_text))
                && state.calls.contains_key(&running.id)
            {
                self.crash(&mut state);
            }
        }
        let timeout = call_timeout(headers);
        if timeout < admitted.service_time {
            sleep(timeout).await;
            return Ok(error(
                StatusCode::GATEWAY_TIMEOUT,
                "deadline",
                "the deadline passed",
            ));
        }
        sleep(admitted.service_time).await;
        let found = self
            .indexes
            .get(&search.snapshot)
            .and_then(|index| index.search(search.shard, &search.text, search.top));
        let Some(mut hits) = found else {
            return Ok(error(
                StatusCode::BAD_REQUEST,
                "shard",
                "the snapshot has no such shard",
            ));
        };
        running.finished = true;
        drop(running);
        let complete = admitted.fault != Some(Fault::Incomplete);
        if !complete {
            hits.truncate(hits.len() / 2);
        }
        let answer = json!({
            "instance": admitted.instance,
            "snapshot": admitted.answer_snapshot,
            "shard": search.shard,
            "complete": complete,
            "cold": admitted.cold,
            "hits": hits as Vec<Hit>,
        })
        .to_string();
        let payload = match admitted.fault {
            Some(Fault::Rubbish) => {
                Payload::Full(Some(Bytes::from_static(b"\xff\x00 not an answer {")))
            }
            Some(Fault::Endless) => Payload::Endless(Bytes::from(answer)),
            Some(Fault::Truncated) => {
                Payload::Full(Some(Bytes::from(answer.clone()).slice(..answer.len() / 2)))
            }
            Some(Fault::Incomplete) | None => Payload::Full(Some(answer.into())),
        };
        Ok(raw(StatusCode::OK, payload))
    }
}

fn not_run(code: &str, message: &str) -> Response<Payload> {
    let mut response = error(StatusCode::SERVICE_UNAVAILABLE, code, message);
    response
        .headers_mut()
        .insert(HEADER_NOT_RUN, HeaderValue::from_static("true"));
    response
}

/// Returns the time left according to the caller, at most one minute.
fn call_timeout(headers: &HeaderMap) -> Duration {
    headers
        .get(HEADER_DEADLINE)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map_or(MAX_CALL_TIMEOUT, Duration::from_millis)
        .min(MAX_CALL_TIMEOUT)
}

/// Returns the id under which executions of the request are recorded.
fn request_id(headers: &HeaderMap) -> String {
    let text = |name| {
        headers
            .get(name)
            .and_then(|value: &HeaderValue| value.to_str().ok())
    };
    let trace = || text("traceparent").and_then(|trace| trace.split('-').nth(1));
    text("x-request-id")
        .or_else(trace)
        .unwrap_or_default()
        .to_owned()
}
