use crate::site::{HOST, Site, send};

/// Guards against malformed input that crashes the process, hangs, or is forwarded to a leaf in altered form.
#[tokio::test]
async fn malformed_requests_are_rejected_and_reach_no_leaf() {
    let site = Site::start(1, 1).await;
    let node = &site.nodes().await[0];
    let long = "x".repeat(20_000);
    let body = "y".repeat(5_000);
    let cases: [(String, &[u16]); 8] = [
        ("not http\r\n\r\n".into(), &[400]),
        (
            format!("GET /one/x HTTP/1.1\r\nHost: {HOST}\r\nA: {long}\r\n\r\n"),
            &[431],
        ),
        (
            format!("POST /one/x HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 5000\r\n\r\n{body}"),
            &[413],
        ),
        (
            format!(
                "POST /one/x HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc"
            ),
            &[400],
        ),
        (
            format!("POST /one/x HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: -1\r\n\r\n"),
            &[400],
        ),
        (
            format!(
                "POST /one/x HTTP/1.1\r\nHost: {HOST}\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"
            ),
            &[400],
        ),
        ("GET /one/x HTTP/1.1\r\n\r\n".into(), &[404]),
        (
            format!("GET /../one HTTP/1.1\r\nHost: {HOST}\r\n\r\n"),
            &[404],
        ),
    ];
    for (request, statuses) in cases {
        let reply = send(node.callers(), request.as_bytes()).await.unwrap();
        let start = &request[..request.len().min(60)];
        assert!(
            statuses.contains(&reply.status),
            "{start:?} was answered with {}",
            reply.status
        );
    }
    let arrivals: u64 = site.shards[0].iter().map(|leaf| leaf.request_count()).sum();
    assert_eq!(arrivals, 0);
    assert_eq!(node.query("/one/x", "q1").await.status, 200);
}

/// Guards against request smuggling: the body of a request is itself a valid request.
#[tokio::test]
async fn a_request_in_a_body_is_not_run() {
    let site = Site::start(1, 1).await;
    let node = &site.nodes().await[0];
    let inner = format!("POST /one/h HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: hidden\r\n\r\n");
    let size = inner.len();
    let chunked = format!(
        "POST /one/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: outer\r\nTransfer-Encoding: chunked\r\n\r\n\
         {size:x}\r\n{inner}\r\n0\r\n\r\n"
    );
    let reply = send(node.callers(), chunked.as_bytes()).await.unwrap();
    assert_eq!(reply.status, 200);
    let [a, b] = &site.shards[0];
    assert_eq!(a.run_count("outer") + b.run_count("outer"), 1);
    assert_eq!(a.run_count("hidden") + b.run_count("hidden"), 0);
}
