//! The HTTP/1.1 client towards leafs, against peers that misbehave.

use std::{net::SocketAddr, time::Duration};

use assert_matches::assert_matches;
use cranberrychute::adapter::http1::{Connection, ExchangeError, ExchangeStep, Reply};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

const LIMIT: usize = 1 << 20;
const REQUEST: &[u8] = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

/// Starts a peer that serves one connection.
async fn peer<F: Future<Output = ()> + Send + 'static>(
    serve: impl FnOnce(TcpStream) -> F + Send + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        serve(stream).await;
    });
    address
}

/// Starts a peer that reads a request and then sends `bytes` piece by piece.
async fn answering(pieces: Vec<Vec<u8>>) -> Connection {
    let address = peer(|mut stream| async move {
        let mut request = [0; 1_024];
        for piece in pieces {
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(&piece).await;
        }
        sleep(Duration::from_secs(5)).await;
    });
    Connection::open(address.await).await.unwrap()
}

async fn ask(connection: &mut Connection) -> Result<Reply, ExchangeError> {
    connection.exchange(REQUEST, LIMIT, |_| true).await
}

fn answer(id: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: {length}\r\n\r\n{body}").into()
}

#[tokio::test]
async fn connections_are_reused_when_at_rest() {
    let mut connection = answering(vec![answer("1", "one"), answer("2", "two")]).await;
    assert_eq!(ask(&mut connection).await.unwrap().body, "one");
    assert!(connection.is_idle());
    assert_eq!(ask(&mut connection).await.unwrap().body, "two");
}

/// Guards against the second answer to a request that is taken for the answer to the next one.
#[tokio::test]
async fn an_answer_to_another_request_is_skipped() {
    let mut both = answer("late", "late");
    both.extend(answer("own", "own"));
    let mut connection = answering(vec![both]).await;
    let own = |reply: &Reply| reply.header("request-id") == Some(b"own");
    let reply = connection.exchange(REQUEST, LIMIT, own).await.unwrap();
    assert_eq!(reply.body, "own");
    assert!(!connection.is_idle(), "the peer's answers are out of step");
}

#[tokio::test]
async fn bytes_after_an_answer_end_the_connection() {
    let mut more = answer("1", "one");
    more.extend(b"HTTP/1.1 200 OK\r\n");
    let mut connection = answering(vec![more]).await;
    assert_eq!(ask(&mut connection).await.unwrap().body, "one");
    assert!(!connection.is_idle());
}

#[tokio::test]
async fn bytes_that_arrive_later_end_the_connection() {
    let address = peer(|mut stream| async move {
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).await;
        stream.write_all(&answer("1", "one")).await.unwrap();
        sleep(Duration::from_millis(30)).await;
        stream.write_all(&answer("1", "one")).await.unwrap();
        sleep(Duration::from_secs(5)).await;
    });
    let mut late = Connection::open(address.await).await.unwrap();
    ask(&mut late).await.unwrap();
    assert!(late.is_idle());
    sleep(Duration::from_millis(100)).await;
    assert!(!late.is_idle());
}

/// Guards against half an answer that looks complete.
#[tokio::test]
async fn an_answer_that_breaks_off_is_an_error() {
    let closing = |bytes: &'static [u8]| async move {
        let address = peer(move |mut stream| async move {
            let mut request = [0; 1_024];
            let _ = stream.read(&mut request).await;
            stream.write_all(bytes).await.unwrap();
        });
        Connection::open(address.await).await.unwrap()
    };
    let short = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345";
    assert_matches!(
        ask(&mut closing(short).await).await,
        Err(ExchangeError {
            step: ExchangeStep::Body,
            ..
        })
    );
    let chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n";
    assert_matches!(
        ask(&mut closing(chunked).await).await,
        Err(ExchangeError {
            step: ExchangeStep::Body,
            ..
        })
    );
    let head = b"HTTP/1.1 200 OK\r\nContent-Le";
    assert_matches!(
        ask(&mut closing(head).await).await,
        Err(ExchangeError {
            step: ExchangeStep::Head,
            ..
        })
    );
}

#[tokio::test]
async fn a_body_without_length_ends_with_the_connection() {
    let address = peer(|mut stream| async move {
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).await;
        stream
            .write_all(b"HTTP/1.1 200 OK\r\n\r\nall of it")
            .await
            .unwrap();
    });
    let mut connection = Connection::open(address.await).await.unwrap();
    assert_eq!(ask(&mut connection).await.unwrap().body, "all of it");
    assert!(!connection.is_idle());
}

/// Guards against a reset that is taken for the end of a body without length.
#[tokio::test]
async fn a_reset_body_without_length_is_an_error() {
    let address = peer(|mut stream| async move {
        let mut byte = [0; 1];
        let _ = stream.read(&mut byte).await;
        stream
            .write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf of")
            .await
            .unwrap();
        sleep(Duration::from_millis(50)).await;
        // The request was not read to its end, so closing resets the connection.
    });
    let mut connection = Connection::open(address.await).await.unwrap();
    assert_matches!(
        ask(&mut connection).await,
        Err(ExchangeError {
            step: ExchangeStep::Body,
            ..
        })
    );
}

#[tokio::test]
async fn chunks_and_trailers_are_read_to_the_end() {
    let first = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\none\r\n";
    let rest = b"4\r\ntwo!\r\n0\r\nEnd: 1\r\n\r\n";
    let whole: Vec<u8> = [&first[..], &rest[..]].concat();
    let mut connection = answering(vec![whole, answer("2", "next")]).await;
    assert_eq!(ask(&mut connection).await.unwrap().body, "onetwo!");
    assert!(connection.is_idle());
    assert_eq!(ask(&mut connection).await.unwrap().body, "next");
}

#[tokio::test]
async fn interim_answers_are_skipped() {
    let mut bytes = b"HTTP/1.1 103 Early Hints\r\n\r\n".to_vec();
    bytes.extend(answer("1", "one"));
    let mut connection = answering(vec![bytes]).await;
    assert_eq!(ask(&mut connection).await.unwrap().status, 200);
}

#[tokio::test]
async fn bytes_that_are_no_answer_are_an_error() {
    let bad: [&[u8]; 5] = [
        b"SSH-2.0-OpenSSH\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n12",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n12",
    ];
    for bytes in bad {
        let mut connection = answering(vec![bytes.to_vec()]).await;
        assert_matches!(
            ask(&mut connection).await,
            Err(_),
            "{}",
            bytes.escape_ascii()
        );
        assert!(!connection.is_idle());
    }
}

/// Guards against a peer that answers a long request early, keeps the connection and reads on: the next request
/// must not stand where the rest of the body is due.
#[tokio::test]
async fn a_connection_with_an_unread_request_is_not_reused() {
    let address = peer(|mut stream| async move {
        let mut byte = [0; 1];
        let _ = stream.read(&mut byte).await;
        stream.write_all(&answer("1", "early")).await.unwrap();
        sleep(Duration::from_secs(5)).await;
    });
    let mut connection = Connection::open(address.await).await.unwrap();
    let mut long = b"POST /a HTTP/1.1\r\nContent-Length: 33554432\r\n\r\n".to_vec();
    long.resize(long.len() + (32 << 20), b'x');
    let reply = connection.exchange(&long, LIMIT, |_| true).await.unwrap();
    assert_eq!(reply.body, "early");
    assert!(!connection.is_idle());
}

/// Guards against "not run" for a request that was handed to a socket.
#[tokio::test]
async fn only_errors_before_the_first_byte_prove_that_nothing_was_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let refused = Connection::open(address).await.unwrap_err();
    assert!(refused.is_unsent());
    let address = peer(|mut stream| async move {
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).await;
    });
    let mut connection = Connection::open(address.await).await.unwrap();
    assert!(!ask(&mut connection).await.unwrap_err().is_unsent());
}

#[tokio::test]
async fn a_closed_connection_is_not_at_rest() {
    let address = peer(|mut stream| async move {
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).await;
        stream.write_all(&answer("1", "one")).await.unwrap();
    });
    let mut connection = Connection::open(address.await).await.unwrap();
    ask(&mut connection).await.unwrap();
    sleep(Duration::from_millis(50)).await;
    assert!(!connection.is_idle());
}
