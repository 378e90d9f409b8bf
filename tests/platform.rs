//! Tests the client of the configuration service against a server that sends canned responses.

use std::{net::SocketAddr, time::Duration};

use cranberrychute::adapter::platform::{PlatformClient, PlatformSettings, PlatformStep};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::{Instant, sleep},
};

const VALID_BODY: &str = r#"{"revision":7,"documents":[{"key":"domains","version":3,"value":"{}"},
    {"key":"service/a","version":1,"value":null}]}"#;

/// Starts a server that sends `answer` in response to each request and keeps the connection open.
///
/// If `answer` is empty, it sends nothing.
async fn start_server(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind a loopback port");
    let address = listener
        .local_addr()
        .expect("local address of a bound listener");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let answer = answer.clone();
            tokio::spawn(async move {
                let mut request = [0; 1024];
                while stream.read(&mut request).await.is_ok_and(|read| read > 0) {
                    let text = String::from_utf8_lossy(&request);
                    assert!(text.contains("/v1/watch?after=5&wait_ms=300 "), "{text}");
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        break;
                    }
                }
            });
        }
    });
    address
}

fn http_response(status: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn new_client(addresses: &[SocketAddr]) -> PlatformClient {
    PlatformClient::new(PlatformSettings {
        base_urls: addresses
            .iter()
            .map(|address| format!("http://{address}").parse().expect("valid URL"))
            .collect(),
        timeout: Duration::from_millis(200),
        body_timeout: Duration::from_millis(200),
        max_body_bytes: 4_096,
    })
}

/// Long-poll wait time of the watch requests.
const WATCH_WAIT: Duration = Duration::from_millis(300);

/// Guards against invalid responses that are accepted as configuration, and against errors that do not name the step or
/// the address.
#[tokio::test]
async fn invalid_responses_are_rejected_with_step_and_address() {
    let truncated =
        http_response("200 OK", VALID_BODY).replace("content-length: ", "content-length: 1");
    let cases = [
        (String::new(), PlatformStep::Request, "no answer within"),
        (
            "SSH-2.0-x\r\n\r\n".to_owned(),
            PlatformStep::Request,
            "invalid HTTP version",
        ),
        (http_response("503 Busy", "{}"), PlatformStep::Status, "503"),
        (truncated, PlatformStep::Body, "not complete"),
        (
            http_response("200 OK", &" ".repeat(5_000)),
            PlatformStep::Body,
            "length limit",
        ),
        (
            http_response("200 OK", "<html>"),
            PlatformStep::Decode,
            "line 1",
        ),
        (
            http_response("200 OK", "{\"revision\":-1,\"documents\":[]}"),
            PlatformStep::Decode,
            "-1",
        ),
        (
            http_response("200 OK", &VALID_BODY.replace(",\"value\":null", "")),
            PlatformStep::Decode,
            "value",
        ),
    ];
    for (answer, step, reason) in cases {
        let base = start_server(answer.clone()).await;
        let error = new_client(&[base])
            .watch(5, WATCH_WAIT)
            .await
            .expect_err("the response is invalid");
        let attempt = &error.attempts[0];
        assert_eq!(attempt.step, step, "{answer}: {error}");
        assert!(attempt.reason.contains(reason), "{answer}: {error}");
        assert!(error.to_string().contains(&base.to_string()), "{error}");
    }
}

/// Guards against a configuration service that becomes unreachable because one of its base URLs refuses connections or
/// does not answer.
#[tokio::test]
async fn base_urls_are_tried_in_turn() {
    let closed = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind a loopback port")
        .local_addr()
        .expect("local address of a bound listener");
    let silent = start_server(String::new()).await;
    let valid = start_server(http_response("200 OK", VALID_BODY)).await;
    let client = new_client(&[closed, silent, valid]);
    let response = client
        .watch(5, WATCH_WAIT)
        .await
        .expect("the third base URL answers");
    assert_eq!((response.revision, response.documents.len()), (7, 2));
    assert_eq!(response.documents[1].value, None);
    let start = Instant::now();
    client
        .watch(5, WATCH_WAIT)
        .await
        .expect("the third base URL answers again");
    assert!(
        start.elapsed() < WATCH_WAIT,
        "the base URL that answered was not tried first"
    );
    sleep(Duration::from_millis(1)).await;
    let error = PlatformClient::new(PlatformSettings::default())
        .watch(0, WATCH_WAIT)
        .await;
    assert!(error.is_err(), "a client without base URLs got an answer");
}
