//! Reads of the store by its client.

use std::{collections::BTreeSet, time::Duration};

use cranberrychute::platform::StoreClient;
use cranberrychute_emulator::Store;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::timeout,
};

/// Maximum time of a read that is answered. It only stops a test that would hang.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of items in a page of the emulated store.
const PAGE_ITEMS: usize = 7;

/// Guards against a key that ends a page and breaks the request for the next one: nodes without peers then never have a
/// configuration, read one page for ever or lack leaves.
#[tokio::test]
async fn all_pages_are_read_whatever_the_keys_contain() {
    let names = [
        "i (copy)",
        "a b c",
        "a&b",
        "a&after=z",
        "a#b",
        "a+b",
        "a%20b",
        "a%",
        "a%zz",
        "a?b=c",
        "a=b",
        "\"a\"",
        "a\\b",
        "a\tb",
        "a\r\nb",
        "a\r\n\r\nb",
        "\u{e4}\u{1f980}",
        "a/b",
        "a;b",
        "a,b",
    ];
    for name in names {
        let store = Store::start(1).await.unwrap();
        let before = (1..PAGE_ITEMS).map(|index| format!("servers/0-{index}"));
        let after = (0..PAGE_ITEMS).map(|index| format!("servers/z-{index}"));
        let mut written: BTreeSet<String> = before.chain(after).collect();
        let key = format!("servers/i{name}");
        written.insert(key.clone());
        let last = written.iter().nth(PAGE_ITEMS - 1);
        assert_eq!(last, Some(&key), "the key does not end a page");
        written.insert("op/config".to_owned());
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

/// Guards against a read that repeats one page without end, on a store that continues from another key than the one it was given.
#[tokio::test]
async fn a_read_without_progress_ends_with_the_key() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let item =
            json!({"key": "op/100%", "value": "eA==", "mod_rev": 1, "created": 1, "lease": 0});
        let page = json!({"items": [item], "has_more": true, "current_rev": 1}).to_string();
        let length = page.len();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{page}");
        let mut request = [0; 1_024];
        while stream.read(&mut request).await.is_ok_and(|read| read > 0) {
            stream.write_all(answer.as_bytes()).await.unwrap();
        }
    });
    let mut client = StoreClient::new(address);
    let read = timeout(READ_TIMEOUT, client.read_all(1, &[READ_TIMEOUT])).await;
    let error = read.expect("the read ends").unwrap_err();
    assert!(error.to_string().contains("op/100%"), "{error}");
}
