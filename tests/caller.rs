//! Tests of the HTTP server for callers with operations that fail.

use std::{future::pending, net::TcpListener, sync::Arc, time::Duration};

use cranberrychute::adapter::{
    caller::{ApiError, CallerPort, CallerServer, QueryRequest, Reply, ServerLimits},
    http1::{Connection, ExchangeError, Reply as HttpReply},
};
use http::StatusCode;
use tokio::time::sleep;

/// Operations of which some panic.
struct Port;

impl CallerPort for Port {
    fn addresses(&self, _: &str, _: bool) -> Reply {
        panic!("no addresses");
    }

    fn issue_key(&self) -> Reply {
        panic!("no key");
    }

    async fn query(&self, _: QueryRequest) -> Reply {
        sleep(Duration::from_millis(1)).await;
        panic!("no answer");
    }

    async fn once(&self, _: QueryRequest) -> Reply {
        panic!("no outcome");
    }

    fn state(&self) -> Reply {
        panic!("no state");
    }

    fn ready(&self) -> Reply {
        Reply::json(StatusCode::OK, &"ready")
    }

    fn metrics(&self) -> String {
        String::new()
    }
}

async fn request(
    connection: &mut Connection,
    method: &str,
    path: &str,
) -> Result<HttpReply, ExchangeError> {
    let request = format!("{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{{}}");
    let exchange = connection.exchange(request.as_bytes(), 1 << 16, |_| true);
    exchange.await
}

/// Guards against a request without an answer, or with one that says "not run", because its handler panicked.
#[tokio::test]
async fn a_request_whose_handler_panics_is_answered() {
    let limits = ServerLimits {
        max_connections: 4,
        max_body_bytes: 1_024,
    };
    let free = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = free.local_addr().unwrap();
    drop(free);
    let server = CallerServer::bind(address, limits).await.unwrap();
    tokio::spawn(server.serve(Arc::new(Port), pending()));
    let connection = &mut Connection::open(address).await.unwrap();
    for (method, path) in [
        ("GET", "/v1/addresses"),
        ("POST", "/v1/keys"),
        ("POST", "/v1/services/s/query"),
        ("POST", "/v1/services/s/once"),
        ("GET", "/v1/state"),
    ] {
        let reply = request(connection, method, path).await.unwrap();
        assert_eq!(reply.status, 504, "{path}");
        let error: ApiError = serde_json::from_slice(&reply.body).unwrap();
        assert!(!error.not_run, "{path}");
        let reply = request(connection, "GET", "/v1/ready").await.unwrap();
        assert_eq!(reply.status, 200, "after {path}");
    }
}
