//! Parsers of what leaves, the store and settings send, fed with any bytes and with texts that are nearly right.

#[path = "../seeds/mod.rs"]
mod seeds;

mod answers;

use std::time::Duration;

use bytes::Bytes;
use cranberrychute::{
    adapter::http1::{Connection, Reply},
    core::{
        limit::Naming,
        mirror::{Change, ItemOrder, Position},
    },
    platform::{
        CallerAnswer, DecodedChange, StoreOrder, decode_change, is_rejection, leaf_answer,
        retry_time,
    },
};
use proptest::{collection::vec, prelude::*, sample::select};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::timeout,
};

const KEYS: [&str; 4] = ["op/config", "op/evacuate/a", "servers/i-1", "other"];
/// Maximum size of a body that the client reads.
const MAX_BODY_BYTES: usize = 1 << 16;
/// Bound on the time that a leaf can name.
const MAX_WARMUP: Duration = Duration::from_secs(3_600);

/// Texts of numbers, and of what may stand in their place.
fn number() -> impl Strategy<Value = String> {
    prop_oneof![
        any::<f64>().prop_map(|number| number.to_string()),
        any::<f64>().prop_map(|number| format!("{number:e}")),
        any::<i64>().prop_map(|number| number.to_string()),
        any::<u64>().prop_map(|number| number.to_string()),
        select(vec![
            "NaN", "inf", "-inf", "", " ", "1e999", "-0", "+1", "1,2", "0x1"
        ])
        .prop_map(str::to_owned),
        "[0-9]{300,400}",
        "[ -~]{0,12}",
    ]
}

fn json_number() -> impl Strategy<Value = Value> {
    prop_oneof![
        any::<f64>().prop_map(|number| json!(number)),
        any::<i64>().prop_map(|number| json!(number)),
        any::<u64>().prop_map(|number| json!(number)),
        select(vec![
            json!(0),
            json!(-1),
            json!(u32::MAX),
            json!(u64::MAX),
            json!(1e308),
            json!(null)
        ]),
    ]
}

/// Returns the reply that a client reads from a peer that sends these bytes and closes the connection.
fn exchange(bytes: Vec<u8>) -> Option<Reply> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let serve = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut [0; 256]).await;
            let _ = stream.write_all(&bytes).await;
        };
        let call = async {
            let mut connection = Connection::open(address).await.expect("the peer listens");
            let request = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n";
            connection
                .exchange(request, MAX_BODY_BYTES, |_| true)
                .await
                .ok()
        };
        let (reply, ()) = timeout(Duration::from_secs(30), async { tokio::join!(call, serve) })
            .await
            .expect("the client takes a closed connection as the end");
        reply
    })
}

/// Reads all that a gateway reads from an answer.
fn evaluate(reply: &Reply) {
    let answer = leaf_answer(reply);
    assert!(answer.warmup_left.is_none_or(|left| left <= MAX_WARMUP));
    if let Naming::Limited(limit) = answer.limit {
        assert!(limit.is_finite() && limit >= 0.0);
    }
    let _ = (is_rejection(reply), retry_time(reply));
    let _ = CallerAnswer::Leaf(reply).into_response("id");
}

/// Guards against a signature that looks like two in the list of a merged answer.
#[test]
fn only_an_answer_with_one_signature_is_a_part() {
    let is_part = |headers: &str| {
        let answer = format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: 0\r\n\r\n");
        leaf_answer(&exchange(answer.into_bytes()).unwrap()).is_part
    };
    assert!(is_part("Server-Stamp: 14.2fa7.ce.0.8d5c\r\n"));
    for headers in [
        "",
        "Server-Stamp:\r\n",
        "Server-Stamp: a,b\r\n",
        "Server-Stamp: a\r\nServer-Stamp: b\r\n",
    ] {
        assert!(!is_part(headers), "{headers:?}");
    }
}

/// Returns the entry of a leaf with all its fields.
fn leaf_entry() -> Value {
    json!({
        "service": "s", "address": "127.0.0.1:1", "zone": "a", "config_version": "v1", "slots": 2,
        "state": "ready", "warmup_left_ms": 0, "sequence": 1,
    })
}

/// Returns whether an item of the store names a leaf to use.
fn names_leaf(id: &str, entry: &Value) -> bool {
    let change = Change {
        key: format!("servers/{id}").into(),
        position: Position::new(1, 1),
        value: Some(entry.to_string().into()),
    };
    matches!(decode_change(&change), DecodedChange::Leaf(Ok(_)))
}

/// Guards against an entry of another writer that is taken for a leaf, to which requests are then sent.
#[test]
fn an_entry_that_lacks_a_field_names_no_leaf() {
    assert!(names_leaf("i-1", &leaf_entry()));
    let mut started = leaf_entry();
    started["born"] = json!(1_796_600_836_000_u64);
    assert!(names_leaf("i-1", &started));
    started["born"] = json!("today");
    assert!(!names_leaf("i-1", &started), "born");
    let fields: Vec<String> = leaf_entry().as_object().unwrap().keys().cloned().collect();
    assert_eq!(fields.len(), 8);
    for field in fields {
        for value in [None, Some(json!(null)), Some(json!([])), Some(json!({}))] {
            let mut entry = leaf_entry();
            let entry_fields = entry.as_object_mut().unwrap();
            match &value {
                Some(value) => drop(entry_fields.insert(field.clone(), value.clone())),
                None => drop(entry_fields.remove(&field)),
            }
            assert!(!names_leaf("i-1", &entry), "{field}: {value:?}");
        }
    }
}

/// Guards against an id that ends the line of the header which names the leaf and so adds lines to each request for it, and
/// against one that arrives as the id of another leaf, since blanks around the value of a header do not belong to it.
#[test]
fn a_leaf_whose_id_is_no_header_value_is_not_used() {
    let is_used = |id: &str| names_leaf(id, &leaf_entry());
    for id in ["i-1", "i-1 (copy)", "i-\u{e4}", "a/b"] {
        assert!(is_used(id), "{id:?}");
    }
    for id in [
        "i-1\r\nA: b",
        "",
        "i-1\r\n\r\nGET / HTTP/1.1",
        "i-1\n",
        "i\0",
        "i\u{7f}",
        " i-1",
        "i-1 ",
        "\ti-1",
        "i-1\t",
        " ",
    ] {
        assert!(!is_used(id), "{id:?}");
    }
}

proptest! {
    #![proptest_config(seeds::proptest_config())]

    /// Guards against an answer that ends the task that reads it.
    #[test]
    fn any_bytes_of_a_peer_are_an_answer_or_an_error(
        bytes in vec(any::<u8>(), 0..200),
        cut in 0..120_usize,
        flips in vec((0..120_usize, any::<u8>()), 0..4),
    ) {
        let mut answer = b"HTTP/1.1 200 OK\r\nWarmup-Ms: 1\r\nContent-Length: 3\r\n\r\nabc".to_vec();
        for (at, byte) in flips {
            if let Some(old) = answer.get_mut(at) {
                *old = byte;
            }
        }
        answer.truncate(cut);
        for bytes in [bytes, answer] {
            if let Some(reply) = exchange(bytes) {
                evaluate(&reply);
            }
        }
    }

    /// Guards against a number in an answer that ends its request.
    #[test]
    fn any_numbers_of_a_leaf_are_read_or_ignored(
        values in vec(number(), 5),
        status in 200..600_u16,
    ) {
        let [warmup, load, limit, retry, length] = &values[..] else {
            unreachable!("five values");
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\nWarmup-Ms: {warmup}\r\nLeaf-Load: {load},{limit},{warmup}\r\n\
             Server-Limit: {limit}\r\nRetry-After: {retry}\r\n"
        );
        for framing in ["", &format!("Content-Length: {length}\r\n"), "Transfer-Encoding: chunked\r\n"] {
            let answer = format!("{head}{framing}\r\n{length}\r\nabc\r\n0\r\n\r\n");
            if let Some(reply) = exchange(answer.into_bytes()) {
                evaluate(&reply);
            }
        }
    }

    /// Guards against an item of the store that ends the task that watches it.
    #[test]
    fn any_item_of_the_store_is_decoded_or_ignored(
        bytes in vec(any::<u8>(), 0..200),
        numbers in vec(json_number(), 14),
    ) {
        let mut numbers = numbers.into_iter();
        let mut next = || numbers.next().unwrap_or_default();
        let route = |target: &str, next: &mut dyn FnMut() -> Value| json!({
            "name": target, "hostname": "h", "prefix": "/", "route_type": "idempotent",
            "timeout_ms": next(), "target_latency_ms": next(), "priority": next(), "attempts": next(),
            "top_k": next(), "min_coverage": next(), target: ["s"],
        });
        let config = json!({
            "config_version": 1, "routes": [route("gather", &mut next)],
            "services": [{"name": "s", "max_connections": next(), "warmup_per_s": next()}],
            "limits": {"max_header_bytes": next(), "max_body_bytes": next(), "header_timeout_ms": next(),
                       "idle_timeout_ms": next()},
        });
        let entry = json!({
            "service": "s", "address": "127.0.0.1:1", "zone": "a", "state": "ready", "sequence": 1,
            "slots": next(), "warmup_left_ms": next(),
        });
        let values = [bytes, config.to_string().into(), entry.to_string().into()].map(Bytes::from);
        for key in KEYS {
            for value in &values {
                let change = Change {
                    key: key.into(),
                    position: Position::new(u64::MAX, u64::MAX),
                    value: Some(value.clone()),
                };
                match decode_change(&change) {
                    DecodedChange::Leaf(Ok(record)) => prop_assert!(record.warmup_left <= MAX_WARMUP),
                    DecodedChange::Routing(Ok(routing)) => {
                        for route in routing.routes() {
                            prop_assert!(route.max_attempts >= 1);
                        }
                    }
                    _ => {}
                }
                for other in &values {
                    StoreOrder.compare(key, value, other);
                }
            }
        }
    }
}
