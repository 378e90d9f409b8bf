//! The client of the configuration service, against a stand-in that sends canned answers.

use std::{net::SocketAddr, time::Duration};

use cranberrychute::adapter::platform::{PlatformClient, PlatformSettings, PlatformStep};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::{Instant, sleep},
};

const GOOD: &str = r#"{"revision":7,"documents":[{"key":"domains","version":3,"value":"{}"},
    {"key":"service/a","version":1,"value":null}]}"#;

/// Serves `answer` to each request and then keeps the connection open; nothing at all if it is empty.
async fn serve(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("is bound");
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

fn http(status: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn client(bases: &[SocketAddr]) -> PlatformClient {
    PlatformClient::new(PlatformSettings {
        base_urls: bases
            .iter()
            .map(|base| format!("http://{base}").parse().expect("is a URL"))
            .collect(),
        timeout: Duration::from_millis(200),
        body_timeout: Duration::from_millis(200),
        max_body_bytes: 4_096,
    })
}

const WAIT: Duration = Duration::from_millis(300);

/// Guards against rubbish that is taken for a configuration, and against errors that don't tell the step or
/// the peer.
#[tokio::test]
async fn rubbish_is_rejected_with_step_and_peer() {
    let truncated = http("200 OK", GOOD).replace("content-length: ", "content-length: 1");
    let cases = [
        (String::new(), PlatformStep::Request, "no answer within"),
        (
            "SSH-2.0-x\r\n\r\n".to_owned(),
            PlatformStep::Request,
            "invalid HTTP version",
        ),
        (http("503 Busy", "{}"), PlatformStep::Status, "503"),
        (truncated, PlatformStep::Body, "not complete"),
        (
            http("200 OK", &" ".repeat(5_000)),
            PlatformStep::Body,
            "length limit",
        ),
        (http("200 OK", "<html>"), PlatformStep::Decode, "line 1"),
        (
            http("200 OK", "{\"revision\":-1,\"documents\":[]}"),
            PlatformStep::Decode,
            "-1",
        ),
        (
            http("200 OK", &GOOD.replace(",\"value\":null", "")),
            PlatformStep::Decode,
            "value",
        ),
    ];
    for (answer, step, reason) in cases {
        let base = serve(answer.clone()).await;
        let error = client(&[base])
            .watch(5, WAIT)
            .await
            .expect_err("is rubbish");
        let attempt = &error.attempts[0];
        assert_eq!(attempt.step, step, "{answer}: {error}");
        assert!(attempt.reason.contains(reason), "{answer}: {error}");
        assert!(error.to_string().contains(&base.to_string()), "{error}");
    }
}

/// Guards against a service that is lost because one of its addresses is, or hangs.
#[tokio::test]
async fn base_urls_are_tried_in_turn() {
    let closed = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("binds")
        .local_addr()
        .expect("is bound");
    let silent = serve(String::new()).await;
    let good = serve(http("200 OK", GOOD)).await;
    let client = client(&[closed, silent, good]);
    let reading = client.watch(5, WAIT).await.expect("the third answers");
    assert_eq!((reading.revision, reading.documents.len()), (7, 2));
    assert_eq!(reading.documents[1].value, None);
    let start = Instant::now();
    client.watch(5, WAIT).await.expect("answers again");
    assert!(
        start.elapsed() < WAIT,
        "the address that answered is asked first"
    );
    sleep(Duration::from_millis(1)).await;
    let error = PlatformClient::new(PlatformSettings::default())
        .watch(0, WAIT)
        .await;
    assert!(error.is_err(), "without a base URL there is no answer");
}
