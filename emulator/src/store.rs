use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    sync::watch,
    task::JoinSet,
    time::{Instant, sleep_until, timeout_at},
};
use url::form_urlencoded;

use crate::http::{Closed, Payload, Reply, json as json_reply, lock, raw, serve};

/// Maximum number of items in a page.
const PAGE_SIZE: usize = 7;

/// How the store handles the requests of one reader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Access {
    #[default]
    Served,
    /// Answers 503.
    Unavailable,
    /// Answers 429.
    RateLimited,
    /// Closes the connection without an answer.
    Disconnect,
    /// Does not answer.
    Silent,
}

/// What the store answers about a key.
#[derive(Clone, Debug)]
enum Content {
    Value(Arc<[u8]>),
    /// The whole item as the store writes it into its answers.
    Text(Arc<[u8]>),
    Deleted,
}

#[derive(Clone, Debug)]
struct Event {
    key: String,
    revision: u64,
    content: Content,
}

#[derive(Clone, Debug, Default)]
struct State {
    /// Number of restores, from 1.
    era: u64,
    revision: u64,
    /// Revision and content of the last write of each item, by key.
    items: BTreeMap<String, (u64, Content)>,
    history: VecDeque<Event>,
    /// Revision up to which the history was dropped.
    compacted_revision: u64,
    calls: u64,
}

/// A copy of a store's content, from which it can be restored.
#[derive(Clone, Debug)]
pub struct StoreCopy(State);

/// An emulated store of the platform with paged reads, watches and a history that can be dropped.
///
/// Each reader has its own address, so that some can be rejected while others are served.
#[derive(Debug)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
    readers: Vec<(SocketAddr, watch::Sender<Access>)>,
    tasks: JoinSet<()>,
}

impl Store {
    /// Starts a store with an address for each of `readers` readers.
    ///
    /// # Errors
    ///
    /// Fails if no address can be bound.
    pub async fn start(readers: usize) -> anyhow::Result<Self> {
        let mut store = Self {
            state: Arc::new(Mutex::new(State {
                era: 1,
                ..State::default()
            })),
            changed: watch::channel(0).0,
            readers: Vec::new(),
            tasks: JoinSet::new(),
        };
        for _ in 0..readers {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let access = watch::channel(Access::Served).0;
            store.readers.push((listener.local_addr()?, access.clone()));
            let (state, changed) = (store.state.clone(), store.changed.clone());
            store.tasks.spawn(accept(listener, state, changed, access));
        }
        Ok(store)
    }

    /// Returns the address for one reader.
    pub fn address(&self, reader: usize) -> SocketAddr {
        self.readers[reader].0
    }

    /// Changes how the requests of one reader are handled. Its waiting watches are interrupted.
    pub fn set_access(&self, reader: usize, access: Access) {
        self.readers[reader].1.send_replace(access);
    }

    /// Changes how the requests of all readers are handled.
    pub fn set_all_access(&self, access: Access) {
        for reader in 0..self.readers.len() {
            self.set_access(reader, access);
        }
    }

    /// Writes an item and returns its revision.
    pub fn put(&self, key: &str, value: &Value) -> u64 {
        self.put_bytes(key, value.to_string().as_bytes())
    }

    /// Writes an item with any bytes as its value and returns its revision.
    pub fn put_bytes(&self, key: &str, value: &[u8]) -> u64 {
        self.write(key, Content::Value(value.into()))
    }

    /// Writes an item that stands in answers as `text`, which may be anything, and returns its revision. Its place in the pages
    /// is that of `key`.
    pub fn put_text(&self, key: &str, text: &[u8]) -> u64 {
        self.write(key, Content::Text(text.into()))
    }

    /// Deletes an item and returns the revision of the deletion.
    pub fn delete(&self, key: &str) -> u64 {
        self.write(key, Content::Deleted)
    }

    /// Drops the history. Watches from an earlier revision get 410.
    pub fn compact(&self) {
        let mut state = lock(&self.state);
        state.history.clear();
        state.compacted_revision = state.revision;
    }

    /// Copies the content of the store.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(lock(&self.state).clone())
    }

    /// Replaces the content with a copy and starts a new era. Changes since the copy are lost, and their revisions are
    /// given to other changes.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = lock(&self.state);
        let (era, calls) = (state.era + 1, state.calls);
        *state = State {
            era,
            calls,
            ..copy.0.clone()
        };
        let revision = state.revision;
        drop(state);
        self.changed.send_replace(revision);
    }

    /// Returns the number of requests received.
    pub fn call_count(&self) -> u64 {
        lock(&self.state).calls
    }

    fn write(&self, key: &str, content: Content) -> u64 {
        let mut state = lock(&self.state);
        state.revision += 1;
        let revision = state.revision;
        let key = key.to_owned();
        match &content {
            Content::Deleted => drop(state.items.remove(&key)),
            content => drop(state.items.insert(key.clone(), (revision, content.clone()))),
        }
        state.history.push_back(Event {
            key,
            revision,
            content,
        });
        drop(state);
        self.changed.send_replace(revision);
        revision
    }
}

async fn accept(
    listener: TcpListener,
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
    access: watch::Sender<Access>,
) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let (state, changed, access) = (state.clone(), changed.clone(), access.clone());
        connections.spawn(serve(stream, move |request| {
            let (state, changes, access) = (state.clone(), changed.subscribe(), access.subscribe());
            async move {
                let mut response = handle(request, state.clone(), changes, access).await?;
                let era = lock(&state).era;
                response.headers_mut().insert("store-era", era.into());
                Ok(response)
            }
        }));
    }
}

async fn handle(
    request: Request<Bytes>,
    state: Arc<Mutex<State>>,
    changes: watch::Receiver<u64>,
    mut access: watch::Receiver<Access>,
) -> Reply {
    lock(&state).calls += 1;
    let current = *access.borrow_and_update();
    let empty = |status| Ok(json_reply(status, &json!({})));
    match current {
        Access::Served => {}
        Access::Unavailable => return empty(StatusCode::SERVICE_UNAVAILABLE),
        Access::RateLimited => return empty(StatusCode::TOO_MANY_REQUESTS),
        Access::Disconnect => return Err(Closed),
        Access::Silent => std::future::pending().await,
    }
    let text = |name| {
        let mut pairs =
            form_urlencoded::parse(request.uri().query().unwrap_or_default().as_bytes());
        let value = pairs.find_map(|(key, value)| (key == name).then_some(value));
        value.unwrap_or_default()
    };
    let number = |name| text(name).parse::<u64>().ok();
    let prefix = text("prefix");
    match request.uri().path() {
        "/-/kv-range" => Ok(range(&lock(&state), &prefix, &text("after"))),
        "/-/kv-watch" => {
            let after = number("after").unwrap_or_default();
            let wait = Duration::from_millis(number("wait_ms").unwrap_or_default());
            tokio::select! {
                reply = watch_events(&state, changes, &prefix, after, wait) => Ok(reply),
                // A change of access interrupts the watches of the reader.
                _ = access.changed() => {
                    if *access.borrow() == Access::Silent {
                        std::future::pending::<()>().await;
                    }
                    Err(Closed)
                }
            }
        }
        _ => empty(StatusCode::NOT_FOUND),
    }
}

fn range(state: &State, prefix: &str, after: &str) -> Response<Payload> {
    let matching = state
        .items
        .iter()
        .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
    let items = matching.clone().take(PAGE_SIZE);
    let items: Vec<Vec<u8>> = items
        .map(|(key, (revision, content))| item(key, *revision, content))
        .collect();
    let more = matching.count() > items.len();
    let rest = format!("\"has_more\":{more},\"current_rev\":{}", state.revision);
    list("items", &items, &rest)
}

async fn watch_events(
    state: &Mutex<State>,
    mut changes: watch::Receiver<u64>,
    prefix: &str,
    after: u64,
    wait: Duration,
) -> Response<Payload> {
    let deadline = Instant::now() + wait;
    loop {
        changes.mark_unchanged();
        {
            let state = lock(state);
            if after < state.compacted_revision || after > state.revision {
                return json_reply(StatusCode::GONE, &json!({}));
            }
            let events = state.history.iter();
            let events: Vec<Vec<u8>> = events
                .filter(|event| event.revision > after && event.key.starts_with(prefix))
                .map(|event| item(&event.key, event.revision, &event.content))
                .collect();
            if !events.is_empty() || Instant::now() >= deadline {
                let rest = format!("\"current_rev\":{}", state.revision);
                return list("events", &events, &rest);
            }
        }
        if timeout_at(deadline, changes.changed()).await.is_err() {
            sleep_until(deadline).await;
        }
    }
}

/// Returns an item as it stands in an answer.
fn item(key: &str, revision: u64, content: &Content) -> Vec<u8> {
    let item = match content {
        Content::Text(text) => return text.to_vec(),
        Content::Value(value) => json!({
            "key": key, "value": STANDARD.encode(value), "mod_rev": revision, "created": revision, "lease": 0,
        }),
        Content::Deleted => json!({"key": key, "mod_rev": revision, "deleted": true}),
    };
    item.to_string().into_bytes()
}

/// Builds an answer with a list of items and the fields `rest`.
fn list(name: &str, items: &[Vec<u8>], rest: &str) -> Response<Payload> {
    let items = items.join(&b',');
    let (start, end) = (format!("{{\"{name}\":["), format!("],{rest}}}"));
    let body = [start.as_bytes(), &items, end.as_bytes()].concat();
    raw(StatusCode::OK, Payload::Full(Some(body.into())))
}
