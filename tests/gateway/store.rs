//! Reads of the store by its client.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use cranberrychute::platform::StoreClient;
use cranberrychute_emulator::Store;
use percent_encoding::percent_decode_str;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::timeout,
};

/// Maximum time of a read that is answered. It only stops a test that would hang.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of items in a page of the emulated store.
const PAGE_ITEMS: usize = 7;

/// Parts of keys that a request line or a query may take for something else.
pub(crate) const UNUSUAL_NAMES: [&str; 22] = [
    "i (copy)",
    "a b c",
    "a&b",
    "a&after=z",
    "a#b",
    "a+b",
    "a%20b",
    "a%41",
    "a%",
    "a%zz",
    "a?b=c",
    "a=b",
    "\"a\"",
    "a\\b",
    "a\tb",
    "a\r\nb",
    "a\r\n\r\nb",
    "a\0b",
    "\u{e4}\u{1f980}",
    "a/b",
    "a;b",
    "a,b",
];

/// Guards against a key that ends a page and breaks the request for the next one: nodes without peers then never have a
/// configuration, read one page for ever or lack leaves.
#[tokio::test]
async fn all_pages_are_read_whatever_the_keys_contain() {
    let long = "+".repeat(180);
    // A page of unusual keys only can be continued after no other.
    for (name, count) in UNUSUAL_NAMES
        .into_iter()
        .chain([&*long])
        .flat_map(|name| [(name, 1), (name, 2 * PAGE_ITEMS)])
    {
        for list in ["op/", "servers/"] {
            let store = Store::start(1).await.unwrap();
            let before = (1..PAGE_ITEMS).map(|index| format!("{list}0-{index}"));
            let after = (0..PAGE_ITEMS).map(|index| format!("{list}z-{index}"));
            let mut written: BTreeSet<String> = before.chain(after).collect();
            let unusual: Vec<String> = match count {
                1 => vec![format!("{list}i{name}")],
                _ => (0..count)
                    .map(|index| format!("{list}i{name}{index:02}"))
                    .collect(),
            };
            written.extend(unusual.iter().cloned());
            let last = written.iter().nth(PAGE_ITEMS - 1);
            assert_eq!(last, unusual.first(), "the key does not end a page");
            // The other list is read as well.
            let other = match list {
                "op/" => "servers/i-1",
                _ => "op/config",
            };
            written.insert(other.to_owned());
            for key in &written {
                store.put_bytes(key, b"x");
            }
            let mut client = StoreClient::new(store.address(0));
            let read = client.read_all(1, &[READ_TIMEOUT]);
            let read = timeout(READ_TIMEOUT, read).await;
            let read = read.unwrap_or_else(|_| panic!("{name:?}: the read has no end"));
            let read = read.unwrap_or_else(|error| panic!("{name:?}: {error}"));
            let keys = read.changes.iter().map(|change| change.key.to_string());
            assert_eq!(keys.collect::<BTreeSet<_>>(), written, "{name:?}");
        }
    }
}

/// Starts a store that answers each call with the body that `answer` returns for the path, 400 if there is none.
async fn start_store(
    mut answer: impl FnMut(&str) -> Option<Vec<u8>> + Send + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1_024];
        loop {
            let read = stream.read(&mut request).await.unwrap_or(0);
            if read == 0 {
                stream = listener.accept().await.unwrap().0;
                continue;
            }
            let head = std::str::from_utf8(&request[..read]).unwrap();
            let body = answer(head.split(' ').nth(1).unwrap());
            let status = if body.is_some() {
                "200 OK"
            } else {
                "400 Bad Request"
            };
            let body = body.unwrap_or_default();
            let length = body.len();
            let head = format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n");
            let answer = [head.as_bytes(), &body].concat();
            stream.write_all(&answer).await.unwrap();
        }
    });
    address
}

/// Returns a page of items with these texts.
fn page(items: &[Vec<u8>], has_more: bool) -> Vec<u8> {
    let rest = format!("],\"has_more\":{has_more},\"current_rev\":1}}");
    let items = items.join(&b',');
    [b"{\"items\":[", &items[..], rest.as_bytes()].concat()
}

/// Returns an item whose key stands in a page as `key`.
fn item(key: &[u8]) -> Vec<u8> {
    let rest = b"\",\"value\":\"eA==\",\"mod_rev\":1,\"created\":1,\"lease\":0}";
    [b"{\"key\":\"", key, &rest[..]].concat()
}

/// Guards against a read that repeats one page without end, on a store that continues from another key than the one it was given.
#[tokio::test]
async fn a_read_without_progress_ends_with_the_key() {
    let address = start_store(|_| Some(page(&[item(b"op/100%")], true))).await;
    let mut client = StoreClient::new(address);
    let read = timeout(READ_TIMEOUT, client.read_all(1, &[READ_TIMEOUT])).await;
    let error = read.expect("the read ends").unwrap_err();
    assert!(error.to_string().contains("op/100%"), "{error}");
}

/// How a store reads the key after which a page is to begin.
#[derive(Clone, Copy, Debug)]
enum Continuation {
    /// As it was encoded.
    Decoded,
    /// Without decoding it.
    Literal,
    /// Answers 400 if it is escaped.
    Rejected,
    /// Returns the first page if it is escaped.
    Ignored,
}

impl Continuation {
    /// Returns the page after the key of a call.
    fn page(self, keys: &[Vec<u8>], path: &str) -> Option<Vec<u8>> {
        let (prefix, after) = path
            .strip_prefix("/-/kv-range?prefix=")?
            .split_once("&after=")?;
        let escaped = after.contains('%');
        let after: Vec<u8> = match self {
            Self::Decoded => percent_decode_str(after).collect(),
            Self::Literal => after.into(),
            Self::Rejected if escaped => return None,
            Self::Ignored if escaped => Vec::new(),
            Self::Rejected | Self::Ignored => after.into(),
        };
        let listed = keys
            .iter()
            .filter(|key| key.starts_with(prefix.as_bytes()) && **key > after);
        let listed: Vec<&Vec<u8>> = listed.collect();
        let items = listed.iter().take(3).map(|key| item(key));
        Some(page(&items.collect::<Vec<_>>(), listed.len() > 3))
    }
}

/// Guards against one key that ends all reads of a store which does not decode queries, and against keys that are not UTF-8.
#[tokio::test]
async fn one_unusual_key_ends_no_read_of_any_store() {
    let cases = [
        (Continuation::Decoded, &b"\xff\xfe"[..]),
        (Continuation::Decoded, b"\xed\xa0\x80"),
        (Continuation::Literal, b"&x"),
        (Continuation::Literal, b"+"),
        (Continuation::Literal, b" (copy)"),
        (Continuation::Rejected, b" (copy)"),
        (Continuation::Rejected, b"\xff"),
        (Continuation::Ignored, b"%"),
    ];
    for (continuation, end) in cases {
        for list in ["op/", "servers/"] {
            for place in 0..7 {
                let plain = (0..7).map(|index| format!("{list}i-{index}"));
                let plain: BTreeSet<String> = plain.collect();
                let unusual = [format!("{list}i-{place}").as_bytes(), end].concat();
                let mut keys: Vec<Vec<u8>> = plain.iter().map(|key| key.clone().into()).collect();
                keys.push(unusual);
                keys.sort();
                let address = start_store(move |path| continuation.page(&keys, path)).await;
                let mut client = StoreClient::new(address);
                let read = timeout(READ_TIMEOUT, client.read_all(1, &[READ_TIMEOUT])).await;
                let case = format!("{continuation:?}, {list}, {place}, {}", end.escape_ascii());
                let read = read.unwrap_or_else(|_| panic!("{case}: the read has no end"));
                let read = read.unwrap_or_else(|error| panic!("{case}: {error}"));
                let keys = read.changes.iter().map(|change| change.key.to_string());
                let read: BTreeSet<String> = keys.collect();
                assert!(read.is_superset(&plain), "{case}: {read:?}");
            }
        }
    }
}

/// Guards against a key that is not UTF-8 and that a read continues after in another form than the store has.
#[tokio::test]
async fn a_page_of_keys_that_are_not_utf8_is_continued_after() {
    let ends = [&b"\x80"[..], b"\x80\xff", b"\xc3", b"\xed\xb2\x80", b"\xf5"];
    let mut keys: Vec<Vec<u8>> = ends
        .iter()
        .map(|end| [b"servers/i", *end].concat())
        .collect();
    keys.push(b"servers/j".into());
    keys.sort();
    let answer = move |path: &str| Continuation::Decoded.page(&keys, path);
    let mut client = StoreClient::new(start_store(answer).await);
    let read = timeout(READ_TIMEOUT, client.read_all(1, &[READ_TIMEOUT])).await;
    let changes = read.expect("the read ends").unwrap().changes;
    let keys: Vec<&str> = changes.iter().map(|change| &*change.key).collect();
    assert_eq!(keys, ["servers/j"]);
}

/// Guards against one answer that cannot be read and costs all pages that were read before it.
#[tokio::test]
async fn one_malformed_answer_does_not_end_a_read() {
    let malformed = [
        &b""[..],
        b"\xff\xfe",
        b"{",
        b"[]",
        b"null",
        br#"{"items":[],"has_more":false}"#,
        br#"{"items":7,"has_more":false,"current_rev":1}"#,
        br#"{"items":[],"has_more":"no","current_rev":1}"#,
        br#"{"items":[],"has_more":false,"current_rev":"1"}"#,
        br#"{"has_more":false,"current_rev":1}"#,
    ];
    for body in malformed {
        for spoilt in 0..4 {
            let keys: Vec<Vec<u8>> = (0..7)
                .map(|index| format!("servers/{index}").into())
                .collect();
            let (mut calls, written) = (0, keys.len());
            let answer = move |path: &str| {
                calls += 1;
                match calls - 1 {
                    call if call == spoilt => Some(body.to_vec()),
                    _ => Continuation::Decoded.page(&keys, path),
                }
            };
            let mut client = StoreClient::new(start_store(answer).await);
            let read = client.read_all(1, &[READ_TIMEOUT, READ_TIMEOUT]).await;
            let case = format!("{} at {spoilt}", body.escape_ascii());
            let read = read.unwrap_or_else(|error| panic!("{case}: {error}"));
            assert_eq!(read.changes.len(), written, "{case}");
        }
    }
}
