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
