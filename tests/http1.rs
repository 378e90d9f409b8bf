//! Tests of the HTTP/1.1 client against peers that misbehave.

use std::{net::SocketAddr, time::Duration};

use assert_matches::assert_matches;
use cranberrychute::adapter::http1::{Connection, ExchangeError, ExchangeStep, Reply};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

const MAX_BODY_BYTES: usize = 1 << 20;
const REQUEST: &[u8] = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

/// Starts a peer that serves one connection.
async fn start_peer<F: Future<Output = ()> + Send + 'static>(
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

/// Connects to a peer that sends one of `pieces` after each read.
async fn connect_to_peer(pieces: Vec<Vec<u8>>) -> Connection {
    let address = start_peer(|mut stream| async move {
        let mut request = [0; 1_024];
        for piece in pieces {
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(&piece).await;
        }
        sleep(Duration::from_secs(5)).await;
    });
    Connection::open(address.await).await.unwrap()
}

async fn send_request(connection: &mut Connection) -> Result<Reply, ExchangeError> {
    connection.exchange(REQUEST, MAX_BODY_BYTES, |_| true).await
}

fn response(id: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: {length}\r\n\r\n{body}").into()
}

#[tokio::test]
async fn idle_connections_are_reused() {
    let mut connection = connect_to_peer(vec![response("1", "one"), response("2", "two")]).await;
    assert_eq!(send_request(&mut connection).await.unwrap().body, "one");
    assert!(connection.is_idle());
    assert_eq!(send_request(&mut connection).await.unwrap().body, "two");
}

/// Guards against a duplicate or late response to one request being taken for the response to the next one.
#[tokio::test]
async fn response_to_another_request_is_skipped() {
    let mut both = response("late", "late");
    both.extend(response("own", "own"));
    let mut connection = connect_to_peer(vec![both]).await;
    let own = |reply: &Reply| reply.header("request-id") == Some(b"own");
    let reply = connection
        .exchange(REQUEST, MAX_BODY_BYTES, own)
        .await
        .unwrap();
    assert_eq!(reply.body, "own");
    assert!(
        !connection.is_idle(),
        "the responses no longer match the requests"
    );
}

/// Guards against a second copy of an answer that arrives in pieces, after the connection has been released and the next
/// request has been sent on it.
#[tokio::test]
async fn a_late_copy_in_pieces_is_not_the_next_answer() {
    let address = start_peer(|mut stream| async move {
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).await;
        stream.write_all(&response("1", "one")).await.unwrap();
        let _ = stream.read(&mut request).await;
        for piece in response("1", "one").chunks(7) {
            stream.write_all(piece).await.unwrap();
            sleep(Duration::from_millis(2)).await;
        }
        let _ = stream.write_all(&response("2", "two")).await;
        sleep(Duration::from_secs(5)).await;
    });
    let mut connection = Connection::open(address.await).await.unwrap();
    for (id, body) in [("1", "one"), ("2", "two")] {
        assert!(connection.is_idle());
        let own = |reply: &Reply| reply.header("request-id") == Some(id.as_bytes());
        let reply = connection
            .exchange(REQUEST, MAX_BODY_BYTES, own)
            .await
            .unwrap();
        assert_eq!(reply.body, body);
    }
    assert!(!connection.is_idle(), "the copy may be followed by others");
}

#[tokio::test]
async fn connection_with_trailing_bytes_is_not_idle() {
    let mut more = response("1", "one");
    more.extend(b"HTTP/1.1 200 OK\r\n");
    let mut connection = connect_to_peer(vec![more]).await;
    assert_eq!(send_request(&mut connection).await.unwrap().body, "one");
    assert!(!connection.is_idle());
}

#[tokio::test]
async fn connection_with_late_bytes_is_not_idle() {
    let address = start_peer(|mut stream| async move {
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).await;
        stream.write_all(&response("1", "one")).await.unwrap();
        sleep(Duration::from_millis(30)).await;
        stream.write_all(&response("1", "one")).await.unwrap();
        sleep(Duration::from_secs(5)).await;
    });
    let mut late = Connection::open(address.await).await.unwrap();
    send_request(&mut late).await.unwrap();
    assert!(late.is_idle());
    sleep(Duration::from_millis(100)).await;
    assert!(!late.is_idle());
}

/// Guards against a truncated response being taken for a complete one.
#[tokio::test]
async fn truncated_response_is_an_error() {
    let closing = |bytes: &'static [u8]| async move {
        let address = start_peer(move |mut stream| async move {
            let mut request = [0; 1_024];
            let _ = stream.read(&mut request).await;
            stream.write_all(bytes).await.unwrap();
        });
        Connection::open(address.await).await.unwrap()
    };
    let short = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345";
    assert_matches!(
        send_request(&mut closing(short).await).await,
        Err(ExchangeError {
            step: ExchangeStep::Body,
            ..
        })
    );
    let chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n";
    assert_matches!(
        send_request(&mut closing(chunked).await).await,
        Err(ExchangeError {
            step: ExchangeStep::Body,
            ..
        })
    );
    let head = b"HTTP/1.1 200 OK\r\nContent-Le";
    assert_matches!(
        send_request(&mut closing(head).await).await,
        Err(ExchangeError {
            step: ExchangeStep::Head,
            ..
        })
    );
}

#[tokio::test]
async fn body_without_length_ends_at_close() {
    let address = start_peer(|mut stream| async move {
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).await;
        stream
            .write_all(b"HTTP/1.1 200 OK\r\n\r\nall of it")
            .await
            .unwrap();
    });
    let mut connection = Connection::open(address.await).await.unwrap();
    assert_eq!(
        send_request(&mut connection).await.unwrap().body,
        "all of it"
    );
    assert!(!connection.is_idle());
}

/// Guards against a reset being taken for the end of a body without length.
#[tokio::test]
async fn reset_in_body_without_length_is_an_error() {
    let address = start_peer(|mut stream| async move {
        let mut byte = [0; 1];
        let _ = stream.read(&mut byte).await;
        stream
            .write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf of")
            .await
            .unwrap();
        sleep(Duration::from_millis(50)).await;
        // The request was not read completely, so closing resets the connection.
    });
    let mut connection = Connection::open(address.await).await.unwrap();
    assert_matches!(
        send_request(&mut connection).await,
        Err(ExchangeError {
            step: ExchangeStep::Body,
            ..
        })
    );
}

#[tokio::test]
async fn chunks_and_trailers_are_consumed() {
    let first = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\none\r\n";
    let second = b"4\r\ntwo!\r\n0\r\nEnd: 1\r\n\r\n";
    let complete: Vec<u8> = [&first[..], &second[..]].concat();
    let mut connection = connect_to_peer(vec![complete, response("2", "next")]).await;
    assert_eq!(send_request(&mut connection).await.unwrap().body, "onetwo!");
    assert!(connection.is_idle());
    assert_eq!(send_request(&mut connection).await.unwrap().body, "next");
}

#[tokio::test]
async fn interim_responses_are_skipped() {
    let mut bytes = b"HTTP/1.1 103 Early Hints\r\n\r\n".to_vec();
    bytes.extend(response("1", "one"));
    let mut connection = connect_to_peer(vec![bytes]).await;
    assert_eq!(send_request(&mut connection).await.unwrap().status, 200);
}

#[tokio::test]
async fn malformed_responses_are_errors() {
    let malformed: [&[u8]; 5] = [
        b"SSH-2.0-OpenSSH\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n12",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n12",
    ];
    for bytes in malformed {
        let mut connection = connect_to_peer(vec![bytes.to_vec()]).await;
        assert_matches!(
            send_request(&mut connection).await,
            Err(_),
            "{}",
            bytes.escape_ascii()
        );
        assert!(!connection.is_idle());
    }
}

/// Sends a request to a peer that sends these bytes and closes the connection.
async fn read_response(bytes: Vec<u8>) -> Result<Reply, ExchangeError> {
    let address = start_peer(move |mut stream| async move {
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).await;
        let _ = stream.write_all(&bytes).await;
    });
    let mut connection = Connection::open(address.await).await.unwrap();
    send_request(&mut connection).await
}

/// Returns a response whose head has these lines, and the body `hello`.
fn with_lines(status: &str, lines: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\nServer-Stamp: s\r\n{lines}\r\n\r\nhello").into()
}

/// Returns a response with a chunked body.
fn with_chunks(chunks: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}").into()
}

/// Guards against a response that does not tell where its body ends, or contradicts itself, and is taken for a complete one
/// with another body than the peer's.
#[tokio::test]
async fn responses_with_spoilt_framing_are_errors() {
    let lines = [
        "Content-Length: +5",
        "Content-Length: -5",
        "Content-Length: \u{a0}5",
        "Content-Length: 5\u{a0}",
        "Content-Length: 5, 5",
        "Content-Length: 5 5",
        "Content-Length: 0x5",
        "Content-Length: 5.0",
        "Content-Length: five",
        "Content-Length:",
        "Content-Length: 18446744073709551616",
        "Content-Length: 3\r\nContent-Length: 5",
        "Content-Length: 5\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: identity\r\nContent-Length: 5",
        "Transfer-Encoding: chunked, chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip",
        // The name of the length is spoilt, so the response states no length although its connection persists.
        "Content-Lengt: 5\r\nKeep-Alive: timeout=5",
        "Content-Lengt: 5\r\nConnection: x, Keep-Alive",
        "Transfer_Encoding: chunked\r\nKeep-Alive: timeout=5",
        // A line that lost its CR ends the head early.
        "Content-Length: 5\n",
        "Content-Length: 5\n\nA: b",
        "A: b\n\nContent-Length: 5",
        "A: b\nContent-Length: 5",
    ];
    let mut spoilt: Vec<Vec<u8>> = lines
        .iter()
        .map(|lines| with_lines("200 OK", lines))
        .collect();
    spoilt.push(with_lines("204 No Content", "Content-Length: 5"));
    spoilt.push(with_lines("204 No Content", "Transfer-Encoding: chunked"));
    spoilt.push(with_lines("103 Early Hints", "Content-Length: 5"));
    spoilt.push(
        b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n".into(),
    );
    for bytes in spoilt {
        let reply = read_response(bytes.clone()).await;
        let reply = reply.map(|reply| (reply.status, reply.body));
        assert_matches!(reply, Err(_), "{}", bytes.escape_ascii());
    }
}

/// Guards against a body that ends at a line which states no chunk size, and against trailers that are no fields.
#[tokio::test]
async fn chunked_bodies_with_invalid_lines_are_errors() {
    let chunks = [
        "\r\nhello\r\n0\r\n\r\n",
        ";a=b\r\nhello\r\n0\r\n\r\n",
        " 5\r\nhello\r\n0\r\n\r\n",
        "+5\r\nhello\r\n0\r\n\r\n",
        "0x5\r\nhello\r\n0\r\n\r\n",
        "5 x\r\nhello\r\n0\r\n\r\n",
        "5\nhello\r\n0\r\n\r\n",
        "5;a\nb\r\nhello\r\n0\r\n\r\n",
        "5;\0\r\nhello\r\n0\r\n\r\n",
        "00000000000000005\r\nhello\r\n0\r\n\r\n",
        "5\r\nhello\r\n0\r\nno field\r\n\r\n",
        "5\r\nhello\r\n0\r\nHTTP/1.1 200 OK\r\n\r\n",
        "5\r\nhello\r\n0\r\nA b: c\r\n\r\n",
        "5\r\nhello\r\n0\r\nA: \0\r\n\r\n",
        "5\r\nhello\r\n0\r\n: c\r\n\r\n",
    ];
    for chunks in chunks {
        let reply = read_response(with_chunks(chunks)).await;
        let reply = reply.map(|reply| (reply.status, reply.body));
        assert_matches!(reply, Err(_), "{chunks:?}");
    }
}

/// The sound forms beside those of `responses_with_spoilt_framing_are_errors`.
#[tokio::test]
async fn responses_in_all_sound_forms_are_complete() {
    let lines = [
        "Content-Length: 5",
        "content-length:5",
        "Content-Length: \t5 \t",
        "Content-Length: 05",
        "Content-Length: 5\r\nContent-Length: 5",
        "Content-Length: 5\r\nKeep-Alive: timeout=5\r\nConnection: keep-alive",
        "Content-Length: 5\r\nA:\r\n!#$%&'*+-.^_`|~: \u{e4}\tb",
        // The body ends with the connection.
        "Connection: close",
        "Connection: x, Close",
        "A: b",
    ];
    let mut sound: Vec<Vec<u8>> = lines
        .iter()
        .map(|lines| with_lines("200 OK", lines))
        .collect();
    sound.push(b"HTTP/1.0 200 OK\r\n\r\nhello".into());
    sound.push(b"HTTP/1.1 599 \r\nContent-Length: 5\r\n\r\nhello".into());
    sound.push(b"HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nhello".into());
    sound.push(b"\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello".into());
    let chunks = [
        "5\r\nhello\r\n0\r\n\r\n",
        "0005\r\nhello\r\n000\r\n\r\n",
        "5 \t\r\nhello\r\n0\r\n\r\n",
        "5 ; a=\"b c\"\r\nhello\r\n0\r\n\r\n",
        "2\r\nhe\r\n3\r\nllo\r\n0\r\nA: b\r\nC:\r\n\r\n",
    ];
    sound.extend(chunks.iter().map(|chunks| with_chunks(chunks)));
    for bytes in sound {
        let reply = read_response(bytes.clone()).await;
        let body = reply.map(|reply| reply.body);
        assert_eq!(body.unwrap(), "hello", "{}", bytes.escape_ascii());
    }
    let empty = [
        with_lines("204 No Content", "Content-Length: 0"),
        with_lines("304 Not Modified", "Content-Length: 5"),
        with_lines("200 OK", "Content-Length: 0"),
    ];
    for bytes in empty {
        assert_eq!(read_response(bytes).await.unwrap().body, "");
    }
}

/// Guards against an answer to HEAD whose body is waited for, which only its length announces.
#[tokio::test]
async fn responses_to_head_have_no_body() {
    for lines in ["Content-Length: 5", "Transfer-Encoding: chunked", "A: b"] {
        let head = format!("HTTP/1.1 200 OK\r\n{lines}\r\n\r\n");
        let mut connection = connect_to_peer(vec![head.clone().into(), head.into()]).await;
        for _ in 0..2 {
            let request = b"HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n";
            let exchange = connection.exchange(request, MAX_BODY_BYTES, |_| true);
            let reply = timeout(Duration::from_secs(3), exchange).await;
            let reply = reply.unwrap_or_else(|_| panic!("{lines}: a body is waited for"));
            assert_eq!(reply.unwrap().body, "", "{lines}");
            assert!(connection.is_idle(), "{lines}");
        }
    }
}

/// Guards against a line of the head that is no field, or whose name has a blank or a control byte, and is skipped or passed on.
#[tokio::test]
async fn responses_with_lines_that_are_no_fields_are_errors() {
    let mut lines: Vec<String> = [
        "no colon here",
        "A",
        ": b",
        " A: b",
        "\tA: b",
        "A : b",
        "A\t: b",
        " ",
        "\u{e4}: b",
    ]
    .map(str::to_owned)
    .into();
    let separators = "()<>@,;\\\"/[]?={} ".chars();
    let controls = (0..32_u8).chain([127]).map(char::from);
    lines.extend(
        separators
            .chain(controls)
            .map(|byte| format!("A{byte}B: c")),
    );
    let values = (0..32_u8).chain([127]).filter(|byte| *byte != b'\t');
    lines.extend(values.map(|byte| format!("A: b{}c", char::from(byte))));
    for line in lines {
        for head in [
            format!("{line}\r\nContent-Length: 5"),
            format!("Content-Length: 5\r\n{line}"),
        ] {
            let bytes = with_lines("200 OK", &head);
            let reply = read_response(bytes.clone()).await;
            let reply = reply.map(|reply| (reply.status, reply.body));
            assert_matches!(reply, Err(_), "{}", bytes.escape_ascii());
        }
    }
}

/// Guards against reuse of a connection whose peer responded before it had read the whole request. The peer reads
/// on, so it would take the next request for the rest of the body.
#[tokio::test]
async fn connection_with_unread_request_is_not_reused() {
    let address = start_peer(|mut stream| async move {
        let mut byte = [0; 1];
        let _ = stream.read(&mut byte).await;
        stream.write_all(&response("1", "early")).await.unwrap();
        sleep(Duration::from_secs(5)).await;
    });
    let mut connection = Connection::open(address.await).await.unwrap();
    let mut long = b"POST /a HTTP/1.1\r\nContent-Length: 33554432\r\n\r\n".to_vec();
    long.resize(long.len() + (32 << 20), b'x');
    let reply = connection
        .exchange(&long, MAX_BODY_BYTES, |_| true)
        .await
        .unwrap();
    assert_eq!(reply.body, "early");
    assert!(!connection.is_idle());
}

/// Guards against a request that was handed to a socket being reported as unsent, hence as "not run".
#[tokio::test]
async fn errors_are_unsent_only_before_the_first_byte() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let refused = Connection::open(address).await.unwrap_err();
    assert!(refused.is_unsent());
    let address = start_peer(|mut stream| async move {
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).await;
    });
    let mut connection = Connection::open(address.await).await.unwrap();
    assert!(!send_request(&mut connection).await.unwrap_err().is_unsent());
}

#[tokio::test]
async fn closed_connection_is_not_idle() {
    let address = start_peer(|mut stream| async move {
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).await;
        stream.write_all(&response("1", "one")).await.unwrap();
    });
    let mut connection = Connection::open(address.await).await.unwrap();
    send_request(&mut connection).await.unwrap();
    sleep(Duration::from_millis(50)).await;
    assert!(!connection.is_idle());
}

/// Connects to a peer that sends `start` and then repeats `rest` until the connection is closed.
async fn connect_to_endless_peer(start: &'static [u8], rest: &'static [u8]) -> Connection {
    let address = start_peer(move |mut stream| async move {
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).await;
        let _ = stream.write_all(start).await;
        while stream.write_all(rest).await.is_ok() {}
    });
    Connection::open(address.await).await.unwrap()
}

/// Guards against memory and time without a limit for a peer that sends bytes until the connection is closed: in a head,
/// a header line, interim responses, responses to other requests, chunk headers, trailers or a body.
#[tokio::test]
async fn responses_without_end_are_given_up() {
    let cases: [(&[u8], &[u8]); 9] = [
        (b"", b"x"),
        (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n"),
        (b"HTTP/1.1 200 OK\r\nA: ", b"aaaaaaaaaaaaaaaa"),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        (
            b"",
            b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1\r\n\r\nx",
        ),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;",
            b"extension",
        ),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"1;extension\r\nx\r\n",
        ),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            b"A: b\r\n",
        ),
        (b"HTTP/1.1 200 OK\r\n\r\n", b"xxxxxxxxxxxxxxxx"),
    ];
    for (index, (start, rest)) in cases.into_iter().enumerate() {
        let mut connection = connect_to_endless_peer(start, rest).await;
        let own = |reply: &Reply| reply.header("request-id") != Some(b"other");
        let exchange = connection.exchange(REQUEST, 64 << 10, own);
        let outcome = tokio::time::timeout(Duration::from_secs(3), exchange).await;
        let failed = outcome.unwrap_or_else(|_| panic!("case {index} has no end"));
        assert!(failed.is_err(), "case {index} was accepted");
        assert!(!connection.is_idle());
    }
}
