//! The platform's store: paged reads, watches and a revision that counts all changes.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Message, read_message};

/// Time in which the store answers.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Time for which a connection whose answer is lost stays open.
const LOST_CONNECTION_TIME: Duration = Duration::from_secs(10);
/// Maximum number of items in a page. The users' pages say "at most about 500"; their site files say 50.
const PAGE_ITEMS: usize = 50;

#[derive(Clone, Debug)]
struct Event {
    key: String,
    revision: u64,
    /// `None` if the key was deleted.
    value: Option<Vec<u8>>,
}

#[derive(Clone, Debug, Default)]
struct State {
    /// Number of restores from a copy, from 1. The store names none while it is 0.
    era: u64,
    /// The store answers no calls.
    away: bool,
    /// Revision up to which the history was discarded.
    discarded: u64,
    revision: u64,
    items: BTreeMap<String, (u64, Vec<u8>)>,
    history: Vec<Event>,
    /// Number of watches of each reader that wait at present.
    watching: Vec<usize>,
    /// Number of calls of each reader.
    calls: Vec<usize>,
}

/// A copy of the content, from which a store can come back.
pub struct StoreCopy(State);

/// Runs after the store has answered a read of a prefix by a reader, and before the reader can send the next call.
type Hook = Box<dyn Fn(usize, &str) + Send + Sync>;

/// The store. Each node reads it at an address of its own, so that the store can tell them apart.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
    hook: Arc<Mutex<Option<Hook>>>,
}

impl Store {
    /// Starts a store at one address for each reader.
    pub fn start(addresses: &[SocketAddr]) -> std::io::Result<Self> {
        let store = Self {
            state: Arc::new(Mutex::new(State {
                watching: vec![0; addresses.len()],
                calls: vec![0; addresses.len()],
                ..State::default()
            })),
            changed: Arc::default(),
            hook: Arc::default(),
        };
        for (reader, address) in addresses.iter().enumerate() {
            let listener = TcpListener::bind(address)?;
            let store = store.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let store = store.clone();
                    thread::spawn(move || store.serve(reader, stream));
                }
            });
        }
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the lock")
    }

    /// Sets what runs after the answer to a paged read.
    pub fn set_hook(&self, hook: impl Fn(usize, &str) + Send + Sync + 'static) {
        *self.hook.lock().expect("no hook panics") = Some(Box::new(hook));
    }

    /// Writes an item. Returns when the store has accepted it.
    pub fn put(&self, key: &str, value: &str) -> Instant {
        self.write(key, Some(value.as_bytes().to_vec()))
    }

    /// Deletes an item.
    pub fn delete(&self, key: &str) -> Instant {
        self.write(key, None)
    }

    /// Names the era in all answers from now on.
    pub fn name_era(&self) {
        self.lock().era = 1;
    }

    /// Discards the history. Watches from an earlier revision get 410.
    pub fn discard_history(&self) {
        let mut state = self.lock();
        state.history.clear();
        state.discarded = state.revision;
        drop(state);
        self.changed.notify_all();
    }

    /// Copies the content.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.lock().clone())
    }

    /// Answers no call from now on, nor the watches that wait.
    pub fn go_away(&self) {
        self.lock().away = true;
        self.changed.notify_all();
    }

    /// Comes back from a copy. What was written since is lost, and its revisions are given out again.
    pub fn come_back(&self, copy: &StoreCopy) -> Instant {
        let mut state = self.lock();
        let StoreCopy(copy) = copy;
        state.era += 1;
        state.away = false;
        state.revision = copy.revision;
        state.items = copy.items.clone();
        state.history = Vec::new();
        state.discarded = copy.revision;
        Instant::now()
    }

    /// Returns the readers that have a watch waiting.
    pub fn watchers(&self) -> Vec<usize> {
        let state = self.lock();
        let waiting = state.watching.iter().enumerate();
        waiting
            .filter(|(_, count)| **count > 0)
            .map(|(reader, _)| reader)
            .collect()
    }

    /// Returns the number of calls of a reader so far.
    pub fn calls(&self, reader: usize) -> usize {
        self.lock().calls[reader]
    }

    fn write(&self, key: &str, value: Option<Vec<u8>>) -> Instant {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        match &value {
            Some(value) => {
                _ = state
                    .items
                    .insert(key.to_owned(), (revision, value.clone()))
            }
            None => _ = state.items.remove(key),
        }
        state.history.push(Event {
            key: key.to_owned(),
            revision,
            value,
        });
        let accepted = Instant::now();
        drop(state);
        self.changed.notify_all();
        accepted
    }

    fn serve(&self, reader: usize, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let _ = writer.set_nodelay(true);
        let mut input = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut input) {
            self.lock().calls[reader] += 1;
            thread::sleep(ANSWER_TIME);
            let (answer, read) = self.answer(reader, &request);
            if self.lock().away {
                // The answer is lost, and nothing further comes on this connection.
                thread::sleep(LOST_CONNECTION_TIME);
                return;
            }
            if writer.write_all(&answer).is_err() {
                return;
            }
            if let Some(prefix) = read
                && let Some(hook) = &*self.hook.lock().expect("no hook panics")
            {
                hook(reader, &prefix);
            }
        }
    }

    /// Returns the answer to a call, and the prefix if it was a paged read.
    fn answer(&self, reader: usize, request: &Message) -> (Vec<u8>, Option<String>) {
        // A request line has three parts; a server rejects any other.
        let parts: Vec<&str> = request.start.split(' ').collect();
        let &[_, target, _] = parts.as_slice() else {
            return (self.encode("400 Bad Request", "{}"), None);
        };
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let params: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(key, value)| (decode(key), decode(value)))
            .collect();
        let text = |name: &str| params.get(name).cloned().unwrap_or_default();
        let number = |name: &str| text(name).parse().unwrap_or(0);
        match path {
            "/-/kv-range" => {
                let prefix = text("prefix");
                let body = self.range(&prefix, &text("after"));
                (self.encode("200 OK", &body), Some(prefix))
            }
            "/-/kv-watch" => {
                self.lock().watching[reader] += 1;
                let wait = Duration::from_millis(number("wait_ms"));
                let answer = self.watch(&text("prefix"), number("after"), wait);
                self.lock().watching[reader] -= 1;
                match answer {
                    Ok(body) => (self.encode("200 OK", &body), None),
                    Err(status) => (self.encode(status, "{}"), None),
                }
            }
            _ => (self.encode("404 Not Found", "{}"), None),
        }
    }

    fn encode(&self, status: &str, body: &str) -> Vec<u8> {
        let era = match self.lock().era {
            0 => String::new(),
            era => format!("Store-Era: {era}\r\n"),
        };
        let length = body.len();
        let head = format!("HTTP/1.1 {status}\r\nContent-Type: application/json\r\n{era}");
        format!("{head}Content-Length: {length}\r\n\r\n{body}").into_bytes()
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = self.lock();
        let mut matching = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items = matching.by_ref().take(PAGE_ITEMS);
        let items: Vec<String> = items
            .map(|(key, (revision, value))| item(key, *revision, Some(value)))
            .collect();
        format!(
            r#"{{"items":[{}],"has_more":{},"current_rev":{}}}"#,
            items.join(","),
            matching.next().is_some(),
            state.revision
        )
    }

    /// Waits for changes after a revision. Fails with the status of the rejection.
    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<String, &'static str> {
        let end = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            if state.away {
                return Err("503 Service Unavailable");
            }
            if after < state.discarded || after > state.revision {
                return Err("410 Gone");
            }
            let events = state.history.iter();
            let events = events.filter(|it| it.revision > after && it.key.starts_with(prefix));
            let events: Vec<String> = events
                .map(|event| item(&event.key, event.revision, event.value.as_ref()))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return Ok(format!(
                    r#"{{"events":[{}],"current_rev":{}}}"#,
                    events.join(","),
                    state.revision
                ));
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.expect("no thread panics with the lock").0;
        }
    }
}

fn item(key: &str, revision: u64, value: Option<&Vec<u8>>) -> String {
    let key = key.replace('\\', "\\\\").replace('"', "\\\"");
    match value {
        Some(value) => format!(
            r#"{{"key":"{key}","value":"{}","mod_rev":{revision},"created":{revision},"lease":0}}"#,
            base64(value)
        ),
        None => format!(r#"{{"key":"{key}","mod_rev":{revision},"deleted":true}}"#),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= chunk.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    text
}

/// Decodes a name or value of a query as HTML forms encode them.
fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'+' => bytes.push(b' '),
            b'%' => {
                let digits: Vec<u8> = rest.by_ref().take(2).collect();
                let digits = String::from_utf8_lossy(&digits).into_owned();
                bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            byte => bytes.push(byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
