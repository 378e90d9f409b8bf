//! A leaf in trouble sends answers that are spoilt in their heads or bodies.

use std::collections::HashMap;

use cranberrychute::adapter::http1::Reply;

use crate::{
    raw_leaf::{start_leaf, start_site},
    site::{Node, wait_until},
};

const LEAF: &str = "i-spoilt";
const BODY: &str = "the leaf's body!";

/// Returns a sound answer to a request.
fn sound(id: &str) -> String {
    let length = BODY.len();
    format!(
        "HTTP/1.1 200 OK\r\nServer-Stamp: {LEAF}.{id}\r\nRequest-Id: {id}\r\nConnection: close\r\n\
         Content-Length: {length}\r\n\r\n{BODY}"
    )
}

/// Returns a sound answer without its signature.
fn unsigned(sound: &str) -> String {
    sound.replace("Server-Stamp", "X")
}

/// Sends a request that may be repeated and one that must not run twice for each form, to a node whose only leaf answers in
/// that form.
async fn send_to_leaf(forms: Vec<(&'static str, Form)>) -> Vec<(&'static str, Reply)> {
    let by_id: HashMap<&str, Form> = forms.iter().copied().collect();
    let address = start_leaf(move |id| {
        let name = id.strip_prefix("order-").unwrap_or(id);
        let answer = sound(id);
        by_id
            .get(name)
            .map_or(answer.clone(), |form| form(&answer))
            .into()
    });
    let (_site, nodes): (_, Vec<Node>) = start_site(address.await, LEAF, 1, 4).await;
    let mut replies = Vec::new();
    for (name, _) in forms {
        wait_for_leaf(&nodes[0]).await;
        replies.push((name, nodes[0].query("/one/x", name).await));
        wait_for_leaf(&nodes[0]).await;
        let id = format!("order-{name}");
        replies.push((name, nodes[0].send_order("/order/x", &id).await));
    }
    replies
}

/// Waits until the node uses the leaf again, which it does not for a while after failures.
async fn wait_for_leaf(node: &Node) {
    wait_until("the node uses the leaf", async || {
        node.query("/one/x", "probe").await.status == 200
    })
    .await;
}

/// Changes a sound answer.
type Form = fn(&str) -> String;

/// Checks that callers get the gateway's own failure, which does not promise that the request has not run, and nothing of the
/// leaf's answer.
async fn check_failures(forms: Vec<(&'static str, Form)>) {
    for (name, reply) in send_to_leaf(forms).await {
        assert!(
            matches!(reply.status, 502 | 504),
            "{name}: {}",
            reply.status
        );
        assert_eq!(reply.header("server-stamp"), None, "{name}");
        assert_eq!(reply.body, "", "{name}");
    }
}

/// Guards against an answer with a status that is no status of HTTP, which callers got as an answer of the leaf.
#[tokio::test]
async fn an_answer_without_a_valid_status_is_not_passed_on() {
    check_failures(vec![
        ("s000", |sound| sound.replace("200 OK", "000 OK")),
        ("s099", |sound| sound.replace("200 OK", "099 OK")),
        ("s600", |sound| sound.replace("200 OK", "600 OK")),
        ("s999", |sound| sound.replace("200 OK", "999 OK")),
        ("s101", |sound| {
            sound.replace("200 OK", "101 Switching Protocols")
        }),
    ])
    .await;
}

/// Guards against an answer that does not tell where its body ends and is passed on with another body than the leaf's.
#[tokio::test]
async fn an_answer_with_spoilt_framing_is_not_passed_on() {
    check_failures(vec![
        ("sign", |sound| sound.replace("Length: 16", "Length: +4")),
        ("other-digits", |sound| {
            sound.replace("Length: 16", "Length: 0x10")
        }),
        ("list", |sound| sound.replace("Length: 16", "Length: 4, 4")),
        ("two", |sound| {
            sound.replace("Length: 16", "Length: 4\r\nContent-Length: 16")
        }),
        ("renamed", |sound| {
            let kept = sound.replace("Connection: close", "Keep-Alive: timeout=4");
            kept.replace("Content-Length", "Content-Lengt")
        }),
        ("early-end", |sound| {
            sound.replace("Content-Length", "A: b\n\nContent-Length")
        }),
        ("chunked-too", |sound| {
            sound.replace(
                "\r\n\r\n",
                "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nlost\r\n0\r\n\r\n",
            )
        }),
        ("no-body", |sound| sound.replace("200 OK", "204 No Content")),
    ])
    .await;
}

/// Guards against an answer whose head holds a line that is no field, or a name with a blank or a control byte.
#[tokio::test]
async fn an_answer_with_a_line_that_is_no_field_is_not_passed_on() {
    check_failures(vec![
        ("no-colon", |sound| {
            sound.replace("Content-Length", "no colon here\r\nContent-Length")
        }),
        ("no-name", |sound| {
            sound.replace("Content-Length", ": b\r\nContent-Length")
        }),
        ("folded", |sound| {
            sound.replace("Content-Length", " folded\r\nContent-Length")
        }),
        ("blank", |sound| {
            sound.replace("Content-Length", "A b: c\r\nContent-Length")
        }),
        ("blank-at-end", |sound| {
            sound.replace("Content-Length", "A : c\r\nContent-Length")
        }),
        ("control", |sound| {
            sound.replace("Content-Length", "A\u{1}b: c\r\nContent-Length")
        }),
    ])
    .await;
}

/// Guards against an answer in chunks whose body ends at a line without a size, or whose trailers are no fields.
#[tokio::test]
async fn an_answer_with_spoilt_chunks_is_not_passed_on() {
    check_failures(vec![
        ("no-size", |sound| {
            let head = sound.replace("Content-Length: 16", "Transfer-Encoding: chunked");
            head.replace(BODY, &format!("\r\n{BODY}\r\n0\r\n\r\n"))
        }),
        ("trailer", |sound| {
            let chunks = "Transfer-Encoding: chunked\r\n\r\n4\r\nlost\r\n0\r\nno field\r\n\r\n";
            sound.replace("Content-Length: 16\r\n\r\n", chunks)
        }),
    ])
    .await;
}

/// Guards against a well-formed answer that the leaf has not signed, which callers got as its success or failure.
#[tokio::test]
async fn an_answer_without_a_signature_is_not_passed_on() {
    check_failures(vec![
        ("unsigned", unsigned),
        ("empty", |sound| {
            sound.replace("Server-Stamp: ", "Server-Stamp: \r\nX: ")
        }),
        ("two", |sound| {
            sound.replace("Server-Stamp: ", "Server-Stamp: other\r\nServer-Stamp: ")
        }),
        ("unsigned-404", |sound| {
            unsigned(sound).replace("200 OK", "404 Not Found")
        }),
        ("unsigned-500", |sound| {
            unsigned(sound).replace("200 OK", "500 Error")
        }),
    ])
    .await;
}

/// Guards against an answer that names two requests and is taken for the one of each of them.
#[tokio::test]
async fn an_answer_that_also_names_another_request_is_not_passed_on() {
    check_failures(vec![
        ("own-first", |sound| {
            sound.replace("Connection", "Request-Id: other\r\nConnection")
        }),
        ("other-first", |sound| {
            sound.replace("Server-Stamp", "Request-Id: other\r\nServer-Stamp")
        }),
    ])
    .await;
}

/// Guards against an order that may have run and is answered with a status that promises that it has not: nobody has signed the
/// answer, and it does not state that the leaf did not run the order.
#[tokio::test]
async fn an_order_that_may_have_run_is_not_answered_as_not_run() {
    let forms: Vec<(&str, Form)> = vec![
        ("408", |sound| unsigned(sound).replace("200 OK", "408 Late")),
        ("429", |sound| unsigned(sound).replace("200 OK", "429 Busy")),
        ("503", |sound| unsigned(sound).replace("200 OK", "503 Busy")),
    ];
    for (name, reply) in send_to_leaf(forms).await.into_iter().skip(1).step_by(2) {
        assert_eq!(reply.status, 502, "{name}");
    }
}

/// The sound forms beside the spoilt ones.
#[tokio::test]
async fn answers_in_all_sound_forms_are_passed_on() {
    let forms: Vec<(&str, Form)> = vec![
        ("length", str::to_owned),
        ("no-length", |sound| {
            sound.replace("Content-Length: 16\r\n", "")
        }),
        ("no-length-nor-close", |sound| {
            sound.replace("Connection: close\r\nContent-Length: 16\r\n", "")
        }),
        ("chunks", |sound| {
            let head = sound.replace("Content-Length: 16", "Transfer-Encoding: chunked");
            head.replace(BODY, &format!("10;a=b\r\n{BODY}\r\n0\r\nEnd: 1\r\n\r\n"))
        }),
    ];
    for (name, reply) in send_to_leaf(forms).await {
        assert_eq!(reply.status, 200, "{name}");
        assert_eq!(reply.body, BODY, "{name}");
        assert!(reply.header("server-stamp").is_some(), "{name}");
    }
}
