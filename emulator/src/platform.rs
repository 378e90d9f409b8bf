use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use anyhow::Context;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::{
    sync::watch,
    task::{AbortHandle, JoinSet},
    time::{sleep, timeout_at},
};

use crate::http::{Closed, Reply, Reservation, error, json as json_reply, param, serve};

/// Maximum size of the value of a document, as specified by the platform.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Maximum wait of a watch, milliseconds.
const MAX_WAIT_MS: u64 = 60_000;
/// Maximum number of past states kept for rollbacks.
const MAX_HISTORY: usize = 1_000;

/// A change to the behaviour of the platform. Settings whose fields are absent keep their values.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformControl {
    /// Closes the connection of every reader without an answer.
    pub down: Option<bool>,
    /// Keeps the connection of every reader open without an answer.
    pub hang: Option<bool>,
    /// Keeps serving the current state, regardless of later writes, until set to false.
    pub stale: Option<bool>,
    /// Serves the state of an old revision until `stale` is set to false; 0 is the empty state.
    pub rollback: Option<u64>,
    /// Delays every answer to a reader, milliseconds.
    pub slow_ms: Option<u64>,
}

/// Counters of the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounters {
    /// Reads since the start; a watch counts as one read regardless of its waiting time.
    pub reads: u64,
    /// Largest number of reads in one second.
    pub peak_reads: u64,
    /// Watches that are waiting.
    pub waiting: u64,
    /// Revision of the newest state.
    pub revision: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    version: u64,
    value: Option<Arc<str>>,
    revision: u64,
}

type Documents = BTreeMap<Arc<str>, Entry>;

#[derive(Debug, Default)]
struct State {
    revision: u64,
    documents: Arc<Documents>,
    history: VecDeque<(u64, Arc<Documents>)>,
    /// The old state that is served instead of the newest one.
    frozen: Option<(u64, Arc<Documents>)>,
    down: bool,
    hang: bool,
    delay: Duration,
    counters: PlatformCounters,
    read_window: Option<(Instant, u64)>,
}

impl State {
    fn served_state(&self) -> (u64, Arc<Documents>) {
        self.frozen
            .clone()
            .unwrap_or_else(|| (self.revision, self.documents.clone()))
    }

    fn put(&mut self, key: &str, version: Option<u64>, value: Option<Arc<str>>) -> (u64, u64) {
        let newest = self.documents.get(key).map_or(0, |entry| entry.version);
        let version = version.unwrap_or(newest + 1);
        self.history
            .push_back((self.revision, self.documents.clone()));
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
        self.revision += 1;
        let entry = Entry {
            version,
            value,
            revision: self.revision,
        };
        Arc::make_mut(&mut self.documents).insert(key.into(), entry);
        (version, self.revision)
    }

    fn control(&mut self, control: PlatformControl) -> Result<(), String> {
        if let Some(revision) = control.rollback {
            let old = match revision {
                0 => Some((0, Arc::default())),
                _ if revision == self.revision => Some((revision, self.documents.clone())),
                _ => self
                    .history
                    .iter()
                    .find(|(kept, _)| *kept == revision)
                    .cloned(),
            };
            self.frozen = Some(old.ok_or_else(|| format!("revision {revision} is not kept"))?);
        }
        match control.stale {
            Some(true) if control.rollback.is_none() => self.frozen = Some(self.served_state()),
            Some(false) => self.frozen = None,
            _ => {}
        }
        self.down = control.down.unwrap_or(self.down);
        self.hang = control.hang.unwrap_or(self.hang);
        self.delay = control.slow_ms.map_or(self.delay, Duration::from_millis);
        Ok(())
    }

    fn count_read(&mut self, now: Instant) {
        self.counters.reads += 1;
        let (start, count) = self.read_window.unwrap_or((now, 0));
        let (start, count) = match now.duration_since(start) < Duration::from_secs(1) {
            true => (start, count + 1),
            false => (now, 1),
        };
        self.read_window = Some((start, count));
        self.counters.peak_reads = self.counters.peak_reads.max(count);
    }
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Notifies waiting watches; the value has no meaning.
    changed: watch::Sender<u64>,
}

/// The emulated configuration service and VM list. It is stopped on drop.
#[derive(Debug)]
pub struct Platform {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: AbortHandle,
}

impl Platform {
    /// Starts the platform on `address`; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(address: SocketAddr) -> anyhow::Result<Self> {
        let reservation = Reservation::new(address)
            .with_context(|| format!("cannot bind the platform to {address}"))?;
        let listener = reservation.listen()?;
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            changed: watch::Sender::new(0),
        });
        let state = shared.clone();
        let task = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            loop {
                tokio::select! {
                    accepted = listener.accept() => match accepted {
                        Ok((stream, _)) => {
                            let shared = state.clone();
                            connections.spawn(serve(stream, move |request| shared.clone().handle(request)));
                        }
                        Err(err) => {
                            log::warn!("emulated platform cannot accept a connection: {err}");
                            sleep(Duration::from_millis(50)).await;
                        }
                    },
                    Some(_) = connections.join_next() => {}
                }
            }
        });
        Ok(Self {
            address: reservation.address(),
            shared,
            task: task.abort_handle(),
        })
    }

    /// Returns the address of the platform.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Publishes a document and returns its version; without a given version, the next one is used.
    pub fn put(&self, key: &str, version: Option<u64>, value: &str) -> u64 {
        self.shared
            .write(|state| state.put(key, version, Some(value.into())).0)
    }

    /// Deletes a document and returns the version of the deletion.
    pub fn delete(&self, key: &str) -> u64 {
        self.shared.write(|state| state.put(key, None, None).0)
    }

    /// Changes the behaviour of the platform.
    ///
    /// # Errors
    ///
    /// Fails if the revision of a rollback is not kept.
    pub fn control(&self, control: PlatformControl) -> anyhow::Result<()> {
        self.shared
            .write(|state| state.control(control))
            .map_err(anyhow::Error::msg)
    }

    /// Returns the counters.
    pub fn counters(&self) -> PlatformCounters {
        self.shared.counters()
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Counts a watch as waiting until it is dropped.
struct WaitingGuard<'s>(&'s Shared);

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.lock().counters.waiting -= 1;
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn write<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let result = change(&mut self.lock());
        self.changed.send_modify(|count| *count += 1);
        result
    }

    fn counters(&self) -> PlatformCounters {
        let state = self.lock();
        PlatformCounters {
            revision: state.revision,
            ..state.counters.clone()
        }
    }

    async fn handle(self: Arc<Self>, request: Request<Bytes>) -> Reply {
        let path = request.uri().path().to_owned();
        match (
            request.method(),
            path.as_str(),
            path.strip_prefix("/v1/documents/"),
        ) {
            (&Method::GET, "/v1/watch", _) => self.watch(&request).await,
            (&Method::GET, "/v1/counters", _) => Ok(json_reply(StatusCode::OK, &self.counters())),
            (&Method::POST, "/v1/control", _) => Ok(self.post_control(request.body())),
            (&Method::PUT | &Method::DELETE, _, Some(key)) if !key.is_empty() => {
                Ok(self.write_document(&request, key))
            }
            _ => Ok(error(
                StatusCode::NOT_FOUND,
                "not_found",
                "no such resource",
            )),
        }
    }

    fn post_control(&self, body: &Bytes) -> http::Response<crate::http::Payload> {
        let result = serde_json::from_slice(body)
            .map_err(|err| err.to_string())
            .and_then(|control| self.write(|state| state.control(control)));
        match result {
            Ok(()) => json_reply(StatusCode::OK, &json!({})),
            Err(err) => error(StatusCode::BAD_REQUEST, "control", &err),
        }
    }

    fn write_document(
        &self,
        request: &Request<Bytes>,
        key: &str,
    ) -> http::Response<crate::http::Payload> {
        let version = match param(request, "version").map(str::parse).transpose() {
            Ok(version) => version,
            Err(_) => {
                return error(
                    StatusCode::BAD_REQUEST,
                    "version",
                    "version is not a number",
                );
            }
        };
        let value = match request.method() {
            &Method::DELETE => None,
            _ if request.body().len() > MAX_VALUE_BYTES => {
                let message = "a value holds at most 1 MB";
                return error(StatusCode::PAYLOAD_TOO_LARGE, "value", message);
            }
            _ => match std::str::from_utf8(request.body()) {
                Ok(text) => Some(text.into()),
                Err(_) => return error(StatusCode::BAD_REQUEST, "value", "value is not UTF-8"),
            },
        };
        let (version, revision) = self.write(|state| state.put(key, version, value));
        json_reply(
            StatusCode::OK,
            &json!({"version": version, "revision": revision}),
        )
    }

    async fn watch(&self, request: &Request<Bytes>) -> Reply {
        let number = |name| param(request, name).map_or(Ok(0), str::parse::<u64>);
        let (Ok(after), Ok(wait)) = (number("after"), number("wait_ms")) else {
            let message = "after and wait_ms are numbers";
            return Ok(error(StatusCode::BAD_REQUEST, "parameter", message));
        };
        let deadline = tokio::time::Instant::now() + Duration::from_millis(wait.min(MAX_WAIT_MS));
        let mut changed = self.changed.subscribe();
        {
            let mut state = self.lock();
            state.count_read(Instant::now());
            state.counters.waiting += 1;
        }
        let _waiting = WaitingGuard(self);
        loop {
            changed.mark_unchanged();
            let (down, hang, delay, (revision, documents)) = {
                let state = self.lock();
                (state.down, state.hang, state.delay, state.served_state())
            };
            if down {
                return Err(Closed);
            }
            if hang {
                // Waits until the state or the behaviour changes; a reader that disconnects drops this future.
                if changed.changed().await.is_err() {
                    return Err(Closed);
                }
                continue;
            }
            // A reader with a newer revision has read a state that was rolled back, so it gets all documents again.
            let since = if after > revision { 0 } else { after };
            if since < revision
                || after == 0
                || after > revision
                || tokio::time::Instant::now() >= deadline
            {
                sleep(delay).await;
                let documents: Vec<_> = documents
                    .iter()
                    .filter(|(_, entry)| entry.revision > since)
                    .map(|(key, entry)| {
                        json!({"key": key, "version": entry.version, "value": entry.value})
                    })
                    .collect();
                let answer = json!({"revision": revision, "documents": documents});
                return Ok(json_reply(StatusCode::OK, &answer));
            }
            // After a timeout, the next iteration answers without documents.
            let _ = timeout_at(deadline, changed.changed()).await;
        }
    }
}
