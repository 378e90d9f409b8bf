use std::{net::SocketAddr, sync::Arc, time::Duration};

use anyhow::Context;
use bytes::Bytes;
use futures::{FutureExt, future::BoxFuture};
use http::{HeaderMap, HeaderValue, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper_util::{
    rt::{TokioExecutor, TokioTimer},
    server::conn::auto::Builder,
};
use tokio::net::TcpListener;
use viz::{Body, IntoResponse, Request, RequestExt, Response, Router};

use super::{ApiError, CallerPort, ErrorCode, QueryRequest, Reply, listener::LimitedListener};
use crate::core::{RequestId, ServiceName};

/// Maximum size of the request headers, bytes.
const MAX_HEADER_BYTES: usize = 32 << 10;
/// Time within which a caller must send its request headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which a caller must send its request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum length of a caller id or of a request header that the server reads, bytes.
const MAX_NAME_BYTES: usize = 512;
/// Maximum value of `x-deadline-ms`; the policy of the service lowers it further.
const MAX_DEADLINE_MS: u64 = 600_000;

/// Limits of the server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum number of open connections; further ones wait until one closes.
    pub max_connections: usize,
    /// Maximum size of a request body, bytes.
    pub max_body_bytes: usize,
}

/// The HTTP server for callers and operators.
#[derive(Debug)]
pub struct CallerServer {
    listener: LimitedListener,
    max_body_bytes: usize,
}

impl CallerServer {
    /// Binds the listener.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use or not local.
    pub async fn bind(addr: SocketAddr, limits: ServerLimits) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(addr)
            .await
            .with_context(|| format!("bind caller_address {addr} (TCP, HTTP)"))?;
        let listener = LimitedListener::new(listener, limits.max_connections);
        Ok(Self {
            listener,
            max_body_bytes: limits.max_body_bytes,
        })
    }

    /// Serves requests until `stop` completes, then finishes those in progress.
    ///
    /// # Errors
    ///
    /// Fails if the listener fails.
    pub async fn serve<P: CallerPort>(
        self,
        port: Arc<P>,
        stop: impl Future<Output = ()> + Send + 'static,
    ) -> anyhow::Result<()> {
        let mut builder = Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .max_buf_size(MAX_HEADER_BYTES);
        builder
            .http2()
            .timer(TokioTimer::new())
            .max_header_list_size(MAX_HEADER_BYTES as u32);
        viz::Server::with_builder(self.listener, routes(port, self.max_body_bytes), builder)
            .signal(stop)
            .await?;
        Ok(())
    }
}

fn routes<P: CallerPort>(port: Arc<P>, max_body_bytes: usize) -> Router {
    Router::new()
        .get(
            "/v1/addresses",
            handler(&port, |port: Arc<P>, request| async move {
                find_addresses(&*port, &request)
            }),
        )
        .post(
            "/v1/keys",
            handler(&port, |port: Arc<P>, _| async move { port.issue_key() }),
        )
        .post(
            "/v1/services/:service/query",
            handler(&port, move |port: Arc<P>, request| async move {
                match parse_request(request, max_body_bytes).await {
                    Ok(request) => port.query(request).await,
                    Err(error) => error.into(),
                }
            }),
        )
        .post(
            "/v1/services/:service/once",
            handler(&port, move |port: Arc<P>, request| async move {
                match parse_request(request, max_body_bytes).await {
                    Ok(request) => port.once(request).await,
                    Err(error) => error.into(),
                }
            }),
        )
        .get(
            "/v1/state",
            handler(&port, |port: Arc<P>, _| async move { port.state() }),
        )
        .get(
            "/v1/ready",
            handler(&port, |port: Arc<P>, _| async move { port.ready() }),
        )
        .get("/metrics", move |_: Request| {
            let port = port.clone();
            async move { Ok::<_, viz::Error>(port.metrics().into_response()) }
        })
        .any("/*", |_: Request| async move {
            let message = "no such route; see docs/api.md for the routes of a node";
            let error = ApiError::not_run(ErrorCode::NotFound, message);
            Ok::<_, viz::Error>(build_response(error.into()))
        })
}

/// Wraps a function of the port and the request as a route handler.
fn handler<P, F, R>(
    port: &Arc<P>,
    serve: F,
) -> impl Fn(Request) -> BoxFuture<'static, viz::Result<Response>> + Clone + use<P, F, R>
where
    P: CallerPort,
    F: Fn(Arc<P>, Request) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Reply> + Send + 'static,
{
    let port = port.clone();
    move |request| {
        let reply = serve(port.clone(), request);
        async move { Ok(build_response(reply.await)) }.boxed()
    }
}

fn build_response(reply: Reply) -> Response {
    let mut response = Response::new(Body::Full(reply.body.into()));
    *response.status_mut() = reply.status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if reply.status == StatusCode::SERVICE_UNAVAILABLE {
        response
            .headers_mut()
            .insert("retry-after", HeaderValue::from_static("1"));
    }
    response
}

fn find_addresses<P: CallerPort>(port: &P, request: &Request) -> Reply {
    let query = request.uri().query().unwrap_or("");
    let pairs = url::form_urlencoded::parse(query.as_bytes());
    let mut caller = None;
    let mut with_key = false;
    for (name, value) in pairs {
        match &*name {
            "caller" if value.len() <= MAX_NAME_BYTES => caller = Some(value.into_owned()),
            "key" => with_key = value == "true" || value == "1",
            _ => {
                let message = format!(
                    "query parameter \"{name}\" is not allowed; use caller=ID and key=true"
                );
                return ApiError::not_run(ErrorCode::BadRequest, message).into();
            }
        }
    }
    port.addresses(caller.as_deref().unwrap_or(""), with_key)
}

async fn parse_request(
    mut request: Request,
    max_body_bytes: usize,
) -> Result<QueryRequest, ApiError> {
    let service: String = request
        .param("service")
        .map_err(|_| bad_request("the service name in the path is not valid UTF-8"))?;
    let headers = request.headers().clone();
    let id = text_header(&headers, "x-request-id")?.unwrap_or_else(new_request_id);
    let deadline = deadline_header(&headers)?;
    let trace = text_header(&headers, "traceparent")?;
    let key = text_header(&headers, "idempotency-key")?;
    let body = read_body(std::mem::take(request.body_mut()), max_body_bytes).await?;
    Ok(QueryRequest {
        request: RequestId::from(&*id),
        service: ServiceName::from(service),
        body,
        deadline,
        trace,
        key,
    })
}

async fn read_body(body: Body, max_body_bytes: usize) -> Result<Bytes, ApiError> {
    let limited = Limited::new(body, max_body_bytes).collect();
    match tokio::time::timeout(BODY_TIMEOUT, limited).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(ApiError::not_run(
            ErrorCode::TooLarge,
            format!("the body exceeds {max_body_bytes} bytes"),
        )),
        Ok(Err(error)) => Err(bad_request(format!("the body could not be read: {error}"))),
        Err(_) => Err(bad_request(format!(
            "the body did not arrive within {BODY_TIMEOUT:?}"
        ))),
    }
}

fn deadline_header(headers: &HeaderMap) -> Result<Option<Duration>, ApiError> {
    let Some(text) = text_header(headers, "x-deadline-ms")? else {
        return Ok(None);
    };
    let millis: u64 = text.parse().map_err(|_| {
        bad_request(format!(
            "header x-deadline-ms is \"{text}\"; it takes a whole number of milliseconds"
        ))
    })?;
    if millis == 0 || millis > MAX_DEADLINE_MS {
        return Err(bad_request(format!(
            "header x-deadline-ms is {millis}; allowed is 1 to {MAX_DEADLINE_MS}"
        )));
    }
    Ok(Some(Duration::from_millis(millis)))
}

fn text_header(headers: &HeaderMap, name: &str) -> Result<Option<Arc<str>>, ApiError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| {
        bad_request(format!(
            "header {name} holds bytes other than visible ASCII"
        ))
    })?;
    if text.is_empty() || text.len() > MAX_NAME_BYTES {
        return Err(bad_request(format!(
            "header {name} must have 1 to {MAX_NAME_BYTES} characters"
        )));
    }
    Ok(Some(text.into()))
}

fn new_request_id() -> Arc<str> {
    format!("{:016x}", rand::random::<u64>()).into()
}

fn bad_request(message: impl Into<String>) -> ApiError {
    ApiError::not_run(ErrorCode::BadRequest, message)
}
