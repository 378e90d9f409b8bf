use std::{
    convert::Infallible,
    net::SocketAddr,
    panic::AssertUnwindSafe,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use anyhow::Context;
use bytes::Bytes;
use futures::{FutureExt, future::BoxFuture};
use http::{
    HeaderMap, HeaderValue, StatusCode, Version,
    header::{CONNECTION, CONTENT_TYPE},
};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::service::{Service, service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto::Builder,
};
use tokio::{
    net::TcpListener,
    sync::watch,
    time::{sleep, timeout},
};
use tokio_util::task::TaskTracker;
use viz::{Body, Incoming, IntoResponse, Request, RequestExt, Responder, Response, Router, Tree};

use super::{
    ApiError, CallerPort, ErrorCode, QueryRequest, Reply,
    listener::{Accepted, LimitedListener},
};
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

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time before the end of the intake in which each answer ends its HTTP/1 connection, so that callers that use one without
/// a break send no request on it in the moment in which it is closed.
const LAST_ANSWERS_TIME: Duration = Duration::from_secs(1);
/// Time after the end of the intake in which the first request on an open connection arrives. A caller may have sent it
/// before it can know that the node stops.
const ARRIVAL_WINDOW: Duration = Duration::from_millis(300);
/// Maximum time from the end of the intake to the end of the last connection: the longest deadline of a query, 10 s, and
/// time to write its answer.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(12);

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

    /// Serves requests until `stop` completes, and [`LAST_ANSWERS_TIME`] longer. Then accepts the connections that wait in
    /// the backlog, closes the socket, and waits until the answers to all requests are written, at most for
    /// [`MAX_DRAIN_TIME`].
    ///
    /// # Errors
    ///
    /// Fails if the backlog cannot be emptied.
    pub async fn serve<P: CallerPort>(
        self,
        port: Arc<P>,
        stop: impl Future<Output = ()> + Send + 'static,
    ) -> anyhow::Result<()> {
        let connections = Connections {
            routes: Arc::new(routes(port, self.max_body_bytes).into()),
            intake: watch::Sender::default(),
            open: TaskTracker::new(),
        };
        connections.accept(&self.listener, stop).await;
        connections.intake.send_replace(Intake::LastAnswers);
        connections
            .accept(&self.listener, sleep(LAST_ANSWERS_TIME))
            .await;
        let waiting = self.listener.close().context("empty the backlog")?;
        waiting
            .into_iter()
            .for_each(|accepted| connections.serve(accepted));
        connections.intake.send_replace(Intake::Ended);
        connections.open.close();
        let ended = timeout(MAX_DRAIN_TIME, connections.open.wait()).await;
        if ended.is_err() {
            let open = connections.open.len();
            log::warn!(open; "connections of callers are closed: their answers were not read in time");
        }
        Ok(())
    }
}

/// Whether requests are accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Intake {
    #[default]
    Open,
    /// Requests are accepted, and each answer ends its HTTP/1 connection.
    LastAnswers,
    /// No more connections are accepted.
    Ended,
}

/// The open connections of callers.
struct Connections {
    routes: Arc<Tree>,
    intake: watch::Sender<Intake>,
    open: TaskTracker,
}

impl Connections {
    /// Accepts connections until `end` completes.
    async fn accept(&self, listener: &LimitedListener, end: impl Future<Output = ()>) {
        let mut end = pin!(end);
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = end.as_mut() => return,
            };
            match accepted {
                Ok(accepted) => self.serve(accepted),
                Err(error) => {
                    log::warn!("failed to accept a connection of a caller: {error}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    fn serve(&self, accepted: Accepted) {
        let serving = serve_connection(accepted, self.routes.clone(), self.intake.subscribe());
        self.open.spawn(serving);
    }
}

/// Serves the requests on a connection until the caller closes it or the intake ends. Then finishes those in progress, or
/// the first one if none has arrived yet.
async fn serve_connection(
    (stream, _permit): Accepted,
    routes: Arc<Tree>,
    intake: watch::Receiver<Intake>,
) {
    // Nagle's algorithm would delay answers until earlier segments are acknowledged.
    let _ = stream.set_nodelay(true);
    let unused = AtomicBool::new(true);
    let responder = Responder::<()>::new(routes, None);
    let service = service_fn(|request: hyper::Request<Incoming>| {
        unused.store(false, Ordering::Relaxed);
        let is_http1 = request.version() < Version::HTTP_2;
        let (answer, intake) = (responder.call(request), intake.clone());
        async move {
            let mut response = answer.await?;
            if is_http1 && *intake.borrow() != Intake::Open {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let builder = http_builder();
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let mut ended = intake.clone();
    let mut reuse_end = pin!(async {
        // A dropped sender means that the server is gone.
        let _ = ended.wait_for(|intake| *intake == Intake::Ended).await;
        if unused.load(Ordering::Relaxed) {
            sleep(ARRIVAL_WINDOW).await;
        }
    });
    let served = tokio::select! {
        biased;
        served = connection.as_mut() => served,
        () = reuse_end.as_mut() => {
            // Closes the connection at once if it is idle, otherwise after the answers in progress.
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = served {
        log::debug!("connection of a caller failed: {error}");
    }
}

fn http_builder() -> Builder<TokioExecutor> {
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
    builder
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

/// Wraps a function of the port and the request as a route handler. A request whose function panics is answered: it may
/// have run.
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
        let reply = AssertUnwindSafe(serve(port.clone(), request)).catch_unwind();
        async move {
            let reply = reply.await.unwrap_or_else(|_| {
                let message = "the node failed while it handled the request";
                ApiError::may_have_run(ErrorCode::Unknown, message).into()
            });
            Ok(build_response(reply))
        }
        .boxed()
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
