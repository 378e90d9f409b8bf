use std::{
    cell::{Cell, RefCell},
    convert::Infallible,
    future::pending,
    net::IpAddr,
    panic::AssertUnwindSafe,
    pin::pin,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use anyhow::Context as _;
use bytes::Bytes;
use futures::FutureExt;
use http::{Request, Response, StatusCode, header, request};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{
    body::{Body as _, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::{
    adapter::accept_waiting,
    core::{
        StopPhase, Time, account::Identity, crash::Admission, mirror::Position,
        placement::RequestKey, retry::retry_after, routing::Route,
    },
    gateway::{
        Listen,
        authentication::authenticate,
        connections::{CountedStream, OpenConnection},
        crashes::fingerprint,
        dispatch::dispatch,
        inbound::Inbound,
        state::Gateway,
        stop::ARRIVAL_WINDOW,
    },
    node::render_metrics,
    platform::{
        CallerAnswer, CallerRequest, LeafRequest, NotRun, directory_query, is_handed_over,
        is_ready_probe, request_id,
    },
};

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Smallest buffer that hyper allows, bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Earliest retry of a caller that is rejected for lack of a configuration: the time in which a node that has just
/// started receives one.
const NO_CONFIG_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Path at which other nodes fetch changes.
pub(super) const FEED_PATH: &str = "/v1/feed";
/// Path of the metrics page.
const METRICS_PATH: &str = "/metrics";

pub(super) type Answer = Response<Full<Bytes>>;

/// The listening sockets of the process.
#[derive(Debug)]
pub(super) struct Listeners {
    callers: TcpListener,
    ready: TcpListener,
    directory: TcpListener,
    peer: TcpListener,
    metrics: TcpListener,
}

impl Listeners {
    pub(super) async fn bind(listen: &Listen) -> anyhow::Result<Self> {
        let bind = async |address, purpose| {
            let listener = TcpListener::bind(address).await;
            listener.with_context(|| format!("bind {address} for {purpose}"))
        };
        Ok(Self {
            callers: bind(listen.callers, "callers").await?,
            ready: bind(listen.ready, "readiness checks").await?,
            directory: bind(listen.directory, "address queries").await?,
            peer: bind(listen.peer, "other nodes").await?,
            metrics: bind(listen.metrics, "metrics").await?,
        })
    }
}

/// Starts serving connections on all sockets.
pub(super) fn serve(gateway: &Rc<Gateway>, listeners: Listeners) {
    let start = |listener, port| {
        tokio::task::spawn_local(accept(gateway.clone(), listener, port));
    };
    start(listeners.callers, Port::Callers);
    start(listeners.ready, Port::Ready);
    start(listeners.directory, Port::Directory);
    start(listeners.peer, Port::Peer);
    start(listeners.metrics, Port::Metrics);
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Port {
    Callers,
    Ready,
    Directory,
    Peer,
    Metrics,
}

/// Accepts connections, those of callers until the intake of a stopping node ends.
async fn accept(gateway: Rc<Gateway>, listener: TcpListener, port: Port) {
    let is_callers = port == Port::Callers;
    let serve = |stream| {
        let open = OpenConnection::new(&gateway, is_callers);
        tokio::task::spawn_local(serve_connection(gateway.clone(), stream, port, open));
    };
    if is_callers {
        gateway.connections.set_accepting(true);
    }
    let mut intake_end = pin!(intake_end(&gateway, port));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = intake_end.as_mut() => break,
        };
        match accepted {
            Ok((stream, _)) => serve(stream),
            Err(error) => {
                log::warn!(port:? = port, error:% = error; "failed to accept a connection");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    match listener.into_std() {
        Ok(listener) => accept_waiting(&listener).for_each(serve),
        Err(error) => log::warn!(port:? = port, error:% = error; "failed to empty the backlog"),
    }
    gateway.connections.set_accepting(false);
}

/// Waits until a port accepts no more connections.
async fn intake_end(gateway: &Gateway, port: Port) {
    match port {
        Port::Callers => gateway.stop.reached(StopPhase::Draining).await,
        _ => pending().await,
    }
}

/// Increments a counter, and decrements it again when dropped.
pub(super) struct CountGuard<'a>(&'a Cell<usize>);

impl<'a> CountGuard<'a> {
    pub(super) fn new(counter: &'a Cell<usize>) -> Self {
        counter.set(counter.get() + 1);
        Self(counter)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn serve_connection(
    gateway: Rc<Gateway>,
    stream: TcpStream,
    port: Port,
    open: OpenConnection,
) {
    // Nagle's algorithm would delay answers until earlier segments are acknowledged.
    let _ = stream.set_nodelay(true);
    let limits = gateway.routing.borrow().limits();
    let peer = stream.peer_addr().ok().map(|address| address.ip());
    let open = Rc::new(open);
    let stream = CountedStream::new(stream, open.clone());
    let first = Cell::new(true);
    let service = service_fn(|request| {
        let (gateway, open) = (gateway.clone(), open.clone());
        let first = first.replace(false);
        async move {
            let answer = answer_always(
                gateway,
                request,
                port,
                Origin::Caller { first, peer },
                &open,
            )
            .await;
            open.answer(answer.status(), answer.body().size_hint().lower());
            Ok::<_, Infallible>(answer)
        }
    });
    // hyper's timeout for the request head includes the idle time before it.
    let idle = limits.idle_timeout + limits.header_timeout;
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(limits.header_bytes.saturating_mul(2).max(MIN_BUFFER_BYTES))
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut reuse_end = pin!(async {
        intake_end(&gateway, port).await;
        if first.get() {
            sleep(ARRIVAL_WINDOW).await;
        }
    });
    let served = tokio::select! {
        biased;
        served = connection.as_mut() => served,
        () = reuse_end.as_mut() => {
            // Closes the connection at once if it is idle, otherwise after the answer in progress.
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = served
        && let Some(suppressed) = gateway.log_limiter.admit(gateway.now(), "connection")
    {
        log::debug!(port:? = port, suppressed, error:% = error; "connection failed");
    }
}

/// Answers a request even if its handler panics. It may have run then.
async fn answer_always(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
    port: Port,
    origin: Origin,
    open: &OpenConnection,
) -> Answer {
    let id = request_id(request.headers());
    let handler = AssertUnwindSafe(answer(gateway.clone(), request, port, origin, open));
    handler.catch_unwind().await.unwrap_or_else(|_| {
        if let Some(suppressed) = gateway.log_limiter.admit(gateway.now(), "panicked") {
            log::error!(id = &*id, port:? = port, suppressed; "request ended: its handler panicked");
        }
        CallerAnswer::MayHaveRun(StatusCode::BAD_GATEWAY).into_response(&id)
    })
}

async fn answer(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
    port: Port,
    origin: Origin,
    open: &OpenConnection,
) -> Answer {
    match port {
        Port::Callers => answer_request(gateway, request, origin, open).await,
        Port::Ready => {
            let ready = is_ready_probe(request.uri()) && gateway.is_ready();
            empty_response(if ready {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            })
        }
        Port::Directory => match directory_query(request.uri()) {
            Some(query) => gateway.addresses(&query),
            None => empty_response(StatusCode::NOT_FOUND),
        },
        Port::Peer if is_handed_over(request.headers()) => {
            answer_request(gateway, request, Origin::OtherNode, open).await
        }
        Port::Peer => answer_peer(&gateway, &request),
        Port::Metrics if request.uri().path() == METRICS_PATH => {
            Response::new(Full::new(render_metrics(&gateway.metrics).into()))
        }
        Port::Metrics => empty_response(StatusCode::NOT_FOUND),
    }
}

pub(super) fn empty_response(status: StatusCode) -> Answer {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Answers a fetch by another node. Its query has the form `ERA,REVISION,LIMIT`: the answer contains the changes after
/// that position if they take at most that many bytes.
fn answer_peer(gateway: &Gateway, request: &Request<Incoming>) -> Answer {
    let query = request.uri().query().and_then(|query| {
        let mut numbers = query.split(',');
        let after = Position::new(numbers.next()?.parse().ok()?, numbers.next()?.parse().ok()?);
        Some((after, numbers.next()?.parse().ok()?))
    });
    let Some((after, limit)) = query.filter(|_| request.uri().path() == FEED_PATH) else {
        return empty_response(StatusCode::NOT_FOUND);
    };
    match postcard::to_allocvec(&gateway.update_since(after, limit)) {
        Ok(bytes) => Response::new(Full::new(bytes.into())),
        Err(error) => {
            log::error!(error:% = error; "failed to encode an update for another node");
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Where a request came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// `first` is set for the first request on a connection.
    Caller { first: bool, peer: Option<IpAddr> },
    /// Another node, which has handed the request over.
    OtherNode,
}

/// Answers a request, on a connection that is closed afterwards if the node is stopping.
async fn answer_request(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
    origin: Origin,
    open: &OpenConnection,
) -> Answer {
    let _guard = CountGuard::new(&gateway.active_requests);
    let mut answer = handle_request(gateway.clone(), request, origin, open).await;
    if gateway.stop.is_stopping() {
        let close = header::HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
}

async fn handle_request(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
    origin: Origin,
    open: &OpenConnection,
) -> Answer {
    let arrived = gateway.now();
    let (parts, body) = request.into_parts();
    let caller = CallerRequest::from_parts(&parts);
    open.start(&caller.id, arrived);
    let routing = gateway.routing.borrow().clone();
    let reject = |status: StatusCode, reason: &str| {
        record_rejection(&gateway, &caller, status, reason);
        CallerAnswer::Rejected(status).into_response(&caller.id)
    };
    if routing.is_empty() {
        let retry_after = retry_after(NO_CONFIG_RETRY_DELAY, 0, &mut *gateway.rng.borrow_mut());
        record_rejection(
            &gateway,
            &caller,
            StatusCode::SERVICE_UNAVAILABLE,
            "no configuration yet",
        );
        return CallerAnswer::Unavailable { retry_after }.into_response(&caller.id);
    }
    let host = parts
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok());
    let host = parts.uri.host().or(host).unwrap_or_default().to_owned();
    let handed_over = origin == Origin::OtherNode;
    let route = routing.find(&host, parts.uri.path()).cloned();
    let identity = match authenticate(&routing, route.as_deref(), &parts.headers, handed_over) {
        Ok(identity) => identity,
        Err(error) => return reject(StatusCode::UNAUTHORIZED, &error.to_string()),
    };
    let Some(route) = route else {
        return reject(StatusCode::NOT_FOUND, "no matching route");
    };
    let limits = routing.limits();
    let head: usize = parts
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    if head > limits.header_bytes {
        return reject(
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "request head too large",
        );
    }
    // The node that received a request from its caller has counted it.
    let counted = identity.account().filter(|_| !handed_over).cloned();
    if let Some(account) = &counted
        && let Err(retry_after) = gateway.admit_account(account)
    {
        record_rejection(
            &gateway,
            &caller,
            StatusCode::TOO_MANY_REQUESTS,
            "over quota",
        );
        return CallerAnswer::OverQuota { retry_after }.into_response(&caller.id);
    }
    let accepted = AcceptedRequest {
        parts,
        host,
        caller,
        route,
        identity,
        arrived,
        origin,
    };
    let answer = run_request(&gateway, accepted, body, open).await;
    if let Some(account) = &counted
        && answer.extensions().get::<NotRun>().is_some()
    {
        gateway.refund_account(account);
    }
    answer
}

/// A request that the configuration allows, before its body is read.
struct AcceptedRequest {
    parts: request::Parts,
    host: String,
    caller: CallerRequest,
    route: Arc<Route>,
    identity: Identity,
    arrived: Time,
    origin: Origin,
}

/// Reads the body of a request, and runs it.
async fn run_request(
    gateway: &Rc<Gateway>,
    accepted: AcceptedRequest,
    body: Incoming,
    open: &OpenConnection,
) -> Answer {
    let AcceptedRequest {
        parts,
        host,
        caller,
        route,
        identity,
        arrived,
        origin,
    } = accepted;
    let record = |status, reason: &str| record_rejection(gateway, &caller, status, reason);
    let reject = |status: StatusCode, reason: &str| {
        record(status, reason);
        CallerAnswer::Rejected(status).into_response(&caller.id)
    };
    let account = identity.account().cloned();
    let priority = route.priority_for(account.as_deref());
    let reject_until = |earliest: Duration, reason: &str| {
        record(StatusCode::SERVICE_UNAVAILABLE, reason);
        let retry_after = retry_after(earliest, priority, &mut *gateway.rng.borrow_mut());
        CallerAnswer::Unavailable { retry_after }.into_response(&caller.id)
    };
    let reject_stopping = || reject_until(Duration::ZERO, "the node is stopping");
    let limits = gateway.routing.borrow().limits();
    let body = tokio::select! {
        biased;
        body = Limited::new(body, limits.body_bytes).collect() => Some(body),
        () = gateway.stop.reached(StopPhase::Aborting) => None,
    };
    let body = match body {
        None => return reject_stopping(),
        Some(Ok(body)) => body.to_bytes(),
        Some(Err(error)) if error.is::<LengthLimitError>() => {
            return reject(StatusCode::PAYLOAD_TOO_LARGE, "request body too large");
        }
        Some(Err(error)) => {
            return reject(
                StatusCode::BAD_REQUEST,
                &format!("failed to read the body: {error}"),
            );
        }
    };
    open.run();
    let content = fingerprint(&parts, &host, &body);
    if let Admission::Reject(until) = gateway.crashes.borrow().admit(arrived, content) {
        let reason = format!("its content {content} crashes leaves");
        return reject_until(until.since(arrived), &reason);
    }
    let (first, peer) = match origin {
        Origin::Caller { first, peer } => (first, peer),
        Origin::OtherNode => (false, None),
    };
    let end_by = gateway.stop.end_by();
    let is_too_late = end_by.is_some_and(|end| {
        let typical = gateway.route_stats.stats(&route).borrow().typical;
        gateway.now() + typical > end
    });
    let handed_over = origin == Origin::OtherNode;
    if is_too_late || handed_over && gateway.stop.is_draining() {
        return reject_stopping();
    }
    let waited = gateway.lag.get().read_delay(arrived);
    let inbound = Inbound {
        content,
        request: Rc::new(LeafRequest::new(&parts, body, &identity)),
        key: RequestKey::new(&caller.id),
        caller,
        route,
        account,
        arrived,
        waited,
        first,
        handed_over,
        peer,
        asked: RefCell::default(),
        end_by,
    };
    dispatch(gateway.clone(), inbound).await
}

fn record_rejection(gateway: &Gateway, caller: &CallerRequest, status: StatusCode, reason: &str) {
    let labels = [("status", status.as_str().to_owned())];
    metrics::counter!("cranberrychute_rejected_total", &labels).increment(1);
    if let Some(suppressed) = gateway.log_limiter.admit(gateway.now(), "rejected") {
        log::warn!(
            id = &*caller.id,
            status = status.as_u16(),
            version = gateway.routing.borrow().version(),
            suppressed;
            "request rejected: {reason}"
        );
    }
}
