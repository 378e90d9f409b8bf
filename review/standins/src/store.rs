//! The platform's store: items, pages and watches, without faults of its own.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Connection, response};

const PAGE_ITEMS: usize = 50;

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (u64, Vec<u8>)>,
    /// Key, revision and value of each change; no value for a deletion.
    history: Vec<(String, u64, Option<Vec<u8>>)>,
}

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
            let body = match path {
                "/-/kv-range" => self.range(&param("prefix"), &param("after")),
                "/-/kv-watch" => self.watch(
                    &param("prefix"),
                    param("after").parse().unwrap_or(0),
                    Duration::from_millis(param("wait_ms").parse().unwrap_or(0)),
                ),
                _ => "{}".to_owned(),
            };
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            if connection
                .send(&response("200 OK", &headers, body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = self.state.0.lock().unwrap();
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
        format!(
            "{{\"items\":[{}],\"has_more\":{more},\"current_rev\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|(key, revision, _)| *revision > after && key.starts_with(prefix))
                .map(|(key, revision, value)| item(key, *revision, value.as_ref()))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"current_rev\":{}}}",
                    events.join(","),
                    state.revision
                );
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

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
