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

/// Executions of ordinary calls that are recorded, per leaf. A fleet of leaves under load would fill the memory.
const MAX_EXECUTIONS: usize = 10_000;
/// Executions of at-most-once calls that are recorded, per leaf.
const MAX_ONCE_EXECUTIONS: usize = 100_000;
/// Turns a call waits for others that were reset before it. Microseconds, so real excess is still counted.
const RESET_TURNS: usize = 64;
/// Exit code of a process that crashed on purpose.
const CRASH_EXIT: i32 = 70;
/// Time of a call that names no deadline.
const MAX_BUDGET: Duration = Duration::from_secs(60);
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

/// What `POST /v1/control` changes for good.
#[derive(Clone, Debug, Default)]
struct Behaviour {
    slow_share: f64,
    slow: Duration,
    service: Duration,
    shed_share: f64,
    leaving: bool,
    crash_text: Option<String>,
    lying: bool,
    serving: Option<Vec<u64>>,
    answer_snapshot: Option<u64>,
    fault: Option<Fault>,
    fault_share: f64,
}

/// The cold start a leaf is in or was in last.
#[derive(Debug, Default)]
struct Cold {
    /// Counts the cold starts, so that a call that began before one is told from those since.
    start: u64,
    calls_left: u32,
    until: Option<Instant>,
    /// Whether a new instance is the reason.
    instance: bool,
}

#[derive(Debug)]
struct State {
    rng: Pcg64,
    behaviour: Behaviour,
    instance: u64,
    cold: Cold,
    calls: HashMap<u64, Call>,
    open: u32,
    counters: LeafCounters,
    /// How often each call ran; the count inside the key is zero.
    executions: HashMap<Execution, u32>,
    last_arrival: Option<Instant>,
}

impl State {
    fn is_cold(&self) -> bool {
        self.cold.calls_left > 0 || self.cold.until.is_some_and(|until| Instant::now() < until)
    }

    fn turn_cold(&mut self, calls: u32, until: Option<Instant>, instance: bool) {
        let start = self.cold.start + 1;
        self.cold = Cold {
            start,
            calls_left: calls,
            until,
            instance,
        };
    }

    /// Counts the calls that run, or those of them that began in the present cold start.
    ///
    /// A call whose deadline has passed has stopped, even if a busy machine lets its timer fire late.
    fn running(&self, cold: bool) -> u32 {
        let now = Instant::now();
        let counts =
            |call: &&Call| call.ends > now && (!cold || call.cold_start == Some(self.cold.start));
        self.calls.values().filter(counts).count() as u32
    }

    fn record(&mut self, call: Execution) {
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

    fn name(&self) -> String {
        format!("{:016x}", self.instance)
    }
}

/// One leaf on its own port.
#[derive(Debug)]
pub(crate) struct Leaf {
    spec: LeafSpec,
    indexes: BTreeMap<u64, Arc<Index>>,
    service: Duration,
    connect_delay: Duration,
    cold_calls: u32,
    cold_factor: f64,
    restart_delay: Duration,
    exit_on_crash: bool,
    state: Mutex<State>,
    silences: Arc<AtomicU64>,
    /// Number of crashes; a change ends all connections.
    crashes: watch::Sender<u64>,
}

/// What counts of a running call.
#[derive(Debug)]
struct Call {
    cold_start: Option<u64>,
    /// The deadline told by the caller.
    ends: Instant,
}

/// A running call; dropping it ends the call.
struct Running {
    leaf: Arc<Leaf>,
    id: u64,
    finished: bool,
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut state = self.leaf.lock();
        // A crash has ended all calls of its instance.
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

/// Counts an open connection until it ends or goes silent.
struct Open(Arc<Leaf>, u64);

impl Drop for Open {
    fn drop(&mut self) {
        if self.0.silences.load(Ordering::Relaxed) == self.1 {
            let mut state = self.0.lock();
            state.open = state.open.saturating_sub(1);
        }
    }
}

/// What a call that was admitted does.
struct Admitted {
    running: Running,
    time: Duration,
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
                service: settings.service_time,
                ..Behaviour::default()
            },
            cold: Cold::default(),
            calls: HashMap::new(),
            open: 0,
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
        state.turn_cold(settings.cold_calls, None, true);
        Ok(Arc::new(Self {
            spec: LeafSpec {
                address,
                ..spec.clone()
            },
            indexes: indexes.clone(),
            service: settings.service_time,
            connect_delay: settings.connect_delay,
            cold_calls: settings.cold_calls,
            cold_factor: settings.cold_factor,
            restart_delay: settings.restart_delay,
            exit_on_crash: settings.exit_on_crash,
            state: Mutex::new(state),
            silences: Arc::default(),
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
            instance: state.name(),
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
                service: self.service,
                ..Behaviour::default()
            };
        }
        let behaviour = &mut state.behaviour;
        behaviour.slow_share = control.slow_share.unwrap_or(behaviour.slow_share);
        behaviour.slow = control
            .slow_ms
            .map_or(behaviour.slow, Duration::from_millis);
        behaviour.service = control
            .service_us
            .map_or(behaviour.service, Duration::from_micros);
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
            state.turn_cold(control.cold_calls.unwrap_or(0), until, false);
        }
        if control.silent {
            self.silences.fetch_add(1, Ordering::Relaxed);
            state.open = 0;
        }
        if control.crash {
            self.crash(&mut state);
        }
    }

    /// Ends the instance: nothing that runs finishes, and the next instance is cold.
    fn crash(&self, state: &mut State) {
        if self.exit_on_crash {
            std::process::exit(CRASH_EXIT);
        }
        state.counters.crashes += 1;
        state.instance = state.rng.random();
        state.calls.clear();
        state.open = 0;
        // Connections of the old instance must not be counted when they end.
        self.silences.fetch_add(1, Ordering::Relaxed);
        state.turn_cold(self.cold_calls, None, true);
        self.crashes.send_modify(|count| *count += 1);
    }

    /// Accepts connections until the task is aborted.
    pub(crate) async fn run(self: Arc<Self>, reservation: Reservation, listener: TcpListener) {
        let mut crashes = self.crashes.subscribe();
        let mut listener = Some(listener);
        loop {
            let open = match listener.take() {
                Some(open) => open,
                None => match reservation.listen() {
                    Ok(open) => open,
                    Err(fault) => {
                        log::warn!("leaf {} cannot listen again: {fault}", self.spec.address);
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
                    accepted = open.accept() => match accepted {
                        Ok((stream, _)) => self.clone().accept(stream),
                        Err(fault) => {
                            log::warn!("leaf {} cannot accept: {fault}", self.spec.address);
                            sleep(Duration::from_millis(50)).await;
                        }
                    },
                }
            }
            drop(open);
            sleep(self.restart_delay).await;
        }
    }

    fn accept(self: Arc<Self>, stream: TcpStream) {
        let silences = self.silences.load(Ordering::Relaxed);
        let mut crashes = self.crashes.subscribe();
        {
            let mut state = self.lock();
            if state.open >= self.spec.connections {
                state.counters.refused_connections += 1;
                return;
            }
            state.open += 1;
            state.counters.connections += 1;
            state.counters.max_connections = state.counters.max_connections.max(state.open);
        }
        let open = Open(self.clone(), silences);
        let _ = stream.set_nodelay(true);
        tokio::spawn(async move {
            let _open = open;
            let io = LeafStream::new(stream, self.silences.clone(), silences, crashes.clone());
            let wait = self.connect_delay;
            let handler = move |request| self.clone().answer(request);
            tokio::select! {
                biased;
                _ = crashes.changed() => {}
                () = async { sleep(wait).await; serve(io, handler).await } => {}
            }
        });
    }

    async fn answer(self: Arc<Self>, request: Request<Bytes>) -> Reply {
        let (parts, body) = request.into_parts();
        match (&parts.method, parts.uri.path()) {
            (&Method::POST, "/v1/search") => match serde_json::from_slice(&body) {
                Ok(search) => self.search(&parts.headers, search).await,
                Err(fault) => Ok(error(StatusCode::BAD_REQUEST, "body", &fault.to_string())),
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
                Err(fault) => Ok(error(
                    StatusCode::BAD_REQUEST,
                    "control",
                    &fault.to_string(),
                )),
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
        let good = !state.behaviour.leaving && state.behaviour.shed_share < 1.0;
        let answer = json!({
            "healthy": lying || good,
            "cold": !lying && state.is_cold(),
            "instance": state.name(),
        });
        json_reply(StatusCode::OK, &answer)
    }

    fn load(&self) -> Response<Payload> {
        let state = self.lock();
        let running = if state.behaviour.lying {
            0
        } else {
            state.running(false)
        };
        json_reply(
            StatusCode::OK,
            &json!({"running": running, "slots": self.spec.slots}),
        )
    }

    fn is_full(&self) -> bool {
        let state = self.lock();
        match state.is_cold() {
            true => state.running(true) >= self.spec.cold_capacity,
            false => state.running(false) >= self.spec.slots,
        }
    }

    /// Admits a call or says why it did not run.
    fn admit(
        self: &Arc<Self>,
        headers: &HeaderMap,
        search: &Search,
    ) -> Result<Admitted, Box<Response<Payload>>> {
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
        let (asked, limit) = match cold {
            true => (state.running(true) + 1, self.spec.cold_capacity),
            false => (state.running(false) + 1, self.spec.slots),
        };
        let most = match cold {
            true => &mut state.counters.max_cold,
            false => &mut state.counters.max_warm,
        };
        *most = asked.max(*most);
        if cold && state.cold.instance {
            state.counters.max_cold_instance = asked.max(state.counters.max_cold_instance);
        }
        if asked > limit {
            state.counters.shed += 1;
            state.counters.above_limit += u64::from(!cold || state.cold.instance);
            return Err(not_run("full", "all slots are in use").into());
        }
        if state.rng.random::<f64>() < state.behaviour.shed_share {
            state.counters.shed += 1;
            return Err(not_run("shed", "the leaf sheds load").into());
        }
        state.counters.executed += 1;
        let id = state.counters.executed;
        let call = Call {
            cold_start: cold.then_some(state.cold.start),
            ends: Instant::now() + budget(headers),
        };
        state.calls.insert(id, call);
        state.record(Execution {
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
        let wrong = state.rng.random::<f64>() < behaviour.fault_share;
        Ok(Admitted {
            running: Running {
                leaf: self.clone(),
                id,
                finished: false,
            },
            time: behaviour.service.mul_f64(factor)
                + if slow { behaviour.slow } else { Duration::ZERO },
            cold,
            instance: state.name(),
            answer_snapshot: behaviour.answer_snapshot.unwrap_or(search.snapshot),
            fault: behaviour.fault.filter(|_| wrong),
        })
    }

    async fn search(self: Arc<Self>, headers: &HeaderMap, search: Search) -> Reply {
        // The task of a call that was reset on the same connection may not have run yet.
        for _ in 0..RESET_TURNS {
            if !self.is_full() {
                break;
            }
            yield_now().await;
        }
        let admitted = match self.admit(headers, &search) {
            Ok(admitted) => admitted,
            Err(refusal) => return Ok(*refusal),
        };
        let mut running = admitted.running;
        {
            let mut state = self.lock();
            let crash = state.behaviour.crash_text.as_ref();
            if crash.is_some_and(|crash| search.text.contains(crash))
                && state.calls.contains_key(&running.id)
            {
                self.crash(&mut state);
            }
        }
        let budget = budget(headers);
        if budget < admitted.time {
            sleep(budget).await;
            return Ok(error(
                StatusCode::GATEWAY_TIMEOUT,
                "deadline",
                "the deadline passed",
            ));
        }
        sleep(admitted.time).await;
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
                Payload::Whole(Some(Bytes::from_static(b"\xff\x00 not an answer {")))
            }
            Some(Fault::Endless) => Payload::Endless(Bytes::from(answer)),
            Some(Fault::Truncated) => {
                Payload::Whole(Some(Bytes::from(answer.clone()).slice(..answer.len() / 2)))
            }
            Some(Fault::Incomplete) | None => Payload::Whole(Some(answer.into())),
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

/// Returns the time a caller allows, at most a minute.
fn budget(headers: &HeaderMap) -> Duration {
    headers
        .get(HEADER_DEADLINE)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map_or(MAX_BUDGET, Duration::from_millis)
        .min(MAX_BUDGET)
}

/// Returns the id under which executions of the request are counted.
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
