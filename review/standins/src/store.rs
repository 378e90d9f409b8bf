//! The platform's store: items, pages and watches. It can be away for a moment and be restored from a copy.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Connection, response};

const PAGE_ITEMS: usize = 50;

#[derive(Clone, Default)]
struct State {
    /// Number of restores.
    era: u64,
    revision: u64,
    items: BTreeMap<String, (u64, Vec<u8>)>,
    /// Key, revision and value of each change; no value for a deletion.
    history: Vec<(String, u64, Option<Vec<u8>>)>,
    /// Revision from which on the history is complete.
    floor: u64,
    /// Calls are not answered.
    away: bool,
}

/// A copy of the content, from which the store can be restored.
pub struct StoreCopy(State);

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind the store");
        let store = Self {
            address: listener.local_addr().expect("address of the store"),
            state: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        self.write(key, Some(value.as_bytes().to_vec()));
    }

    pub fn delete(&self, key: &str) {
        self.write(key, None);
    }

    /// Starts or ends a time in which the store answers no call. Calls of that time are not answered later either.
    pub fn set_away(&self, away: bool) {
        self.state.0.lock().unwrap().away = away;
        self.state.1.notify_all();
    }

    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.state.0.lock().unwrap().clone())
    }

    /// Replaces the content with a copy and starts a new era. What was written since the copy is lost.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = self.state.0.lock().unwrap();
        let copy = copy.0.clone();
        *state = State {
            era: state.era + 1,
            floor: copy.revision,
            history: Vec::new(),
            away: state.away,
            ..copy
        };
        self.state.1.notify_all();
    }

    fn write(&self, key: &str, value: Option<Vec<u8>>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        match &value {
            Some(value) => {
                state
                    .items
                    .insert(key.to_owned(), (revision, value.clone()));
            }
            None => {
                state.items.remove(key);
            }
        }
        state.history.push((key.to_owned(), revision, value));
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read() {
            let (path, query) = request
                .path()
                .split_once('?')
                .unwrap_or((request.path(), ""));
            let param = |name: &str| {
                let pair = query
                    .split('&')
                    .filter_map(|pair| pair.split_once('='))
                    .find(|(key, _)| *key == name);
                pair.map(|(_, value)| value.replace("%2F", "/"))
                    .unwrap_or_default()
            };
            let answer = match path {
                "/-/kv-range" => self.range(&param("prefix"), &param("after")),
                "/-/kv-watch" => self.watch(
                    &param("prefix"),
                    param("after").parse().unwrap_or(0),
                    Duration::from_millis(param("wait_ms").parse().unwrap_or(0)),
                ),
                _ => Some(("404 Not Found", "{}".to_owned())),
            };
            let Some((status, body)) = answer else {
                // Nothing more comes over this connection, which stays open until its peer gives up.
                while connection.read().is_ok_and(|request| request.is_some()) {}
                return;
            };
            let era = self.state.0.lock().unwrap().era.to_string();
            let headers = [
                ("Content-Type", "application/json"),
                ("Store-Era", era.as_str()),
            ];
            if connection
                .send(&response(status, &headers, body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn range(&self, prefix: &str, after: &str) -> Option<Answer> {
        let state = self.state.0.lock().unwrap();
        if state.away {
            return None;
        }
        let matching = || {
            state
                .items
                .iter()
                .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
        };
        let items: Vec<String> = matching()
            .take(PAGE_ITEMS)
            .map(|(key, (revision, value))| item(key, *revision, Some(value)))
            .collect();
        let more = matching().count() > items.len();
        let body = format!(
            "{{\"items\":[{}],\"has_more\":{more},\"current_rev\":{}}}",
            items.join(","),
            state.revision
        );
        Some(("200 OK", body))
    }

    /// Waits for changes. `None` if the store is away, or comes back, meanwhile.
    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Option<Answer> {
        let end = Instant::now() + wait;
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let era = state.era;
        loop {
            if state.away || state.era != era {
                return None;
            }
            if after < state.floor || after > state.revision {
                return Some(("410 Gone", "{}".to_owned()));
            }
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|(key, revision, _)| *revision > after && key.starts_with(prefix))
                .map(|(key, revision, value)| item(key, *revision, value.as_ref()))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let body = format!(
                    "{{\"events\":[{events}],\"current_rev\":{}}}",
                    state.revision
                );
                return Some(("200 OK", body));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// A status line and a body.
type Answer = (&'static str, String);

fn item(key: &str, revision: u64, value: Option<&Vec<u8>>) -> String {
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"mod_rev\":{revision},\"created\":{revision},\"lease\":0}}",
            base64(value)
        ),
        None => format!("{{\"key\":\"{key}\",\"mod_rev\":{revision},\"deleted\":true}}"),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let block = (0..3).fold(0_u32, |block, index| {
            block << 8 | u32::from(*chunk.get(index).unwrap_or(&0))
        });
        for digit in 0..4 {
            let index = block >> (18 - 6 * digit) & 63;
            text.push(if digit <= chunk.len() {
                DIGITS[index as usize] as char
            } else {
                '='
            });
        }
    }
    text
}
