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
/// Maximum number of items in a page. The users' pages say "at most about 500"; their site files say 50.
const PAGE_ITEMS: usize = 50;

#[derive(Debug)]
struct Event {
    key: String,
    revision: u64,
    /// `None` if the key was deleted.
    value: Option<Vec<u8>>,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (u64, Vec<u8>)>,
    history: Vec<Event>,
    /// Number of watches of each reader that wait at present.
    watching: Vec<usize>,
    /// Number of calls of each reader.
    calls: Vec<usize>,
}

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
            return (encode("400 Bad Request", "{}"), None);
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
                (encode("200 OK", &body), Some(prefix))
            }
            "/-/kv-watch" => {
                self.lock().watching[reader] += 1;
                let wait = Duration::from_millis(number("wait_ms"));
                let body = self.watch(&text("prefix"), number("after"), wait);
                self.lock().watching[reader] -= 1;
                (encode("200 OK", &body), None)
            }
            _ => (encode("404 Not Found", "{}"), None),
        }
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

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let events = state.history.iter();
            let events = events.filter(|it| it.revision > after && it.key.starts_with(prefix));
            let events: Vec<String> = events
                .map(|event| item(&event.key, event.revision, event.value.as_ref()))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    r#"{{"events":[{}],"current_rev":{}}}"#,
                    events.join(","),
                    state.revision
                );
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.expect("no thread panics with the lock").0;
        }
    }
}

fn encode(status: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
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
