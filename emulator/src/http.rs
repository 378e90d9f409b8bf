use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{Mutex, MutexGuard},
    task::{Context, Poll},
};

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::{
    body::{Body, Frame, Incoming, SizeHint},
    service::service_fn,
};
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::conn::auto,
};
use serde::Serialize;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpSocket},
};

/// Maximum size of a request body. The platform holds values of up to 1 MB, and JSON escapes may double their size.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Maximum number of connections that wait to be accepted.
const MAX_QUEUED_CONNECTIONS: u32 = 1_024;

/// Locks the state that the connections of an emulator share.
pub(crate) fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().expect("lock is not poisoned")
}

/// Error that closes the connection without an answer.
#[derive(Debug)]
pub(crate) struct Closed;

impl std::fmt::Display for Closed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection closed by the emulator")
    }
}

impl std::error::Error for Closed {}

pub(crate) type Reply = Result<Response<Payload>, Closed>;

/// A response body.
pub(crate) enum Payload {
    Full(Option<Bytes>),
    /// Repeats a block until the peer stops reading.
    Endless(Bytes),
}

impl Body for Payload {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(match &mut *self {
            Payload::Full(bytes) => bytes.take().map(|bytes| Ok(Frame::data(bytes))),
            Payload::Endless(block) => Some(Ok(Frame::data(block.clone()))),
        })
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Payload::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Payload::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Payload::Endless(_) => SizeHint::new(),
        }
    }
}

/// Builds a JSON response.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<Payload> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    raw(status, Payload::Full(Some(text.into())))
}

/// Builds a response with the content type of JSON and any body.
pub(crate) fn raw(status: StatusCode, payload: Payload) -> Response<Payload> {
    let mut response = Response::new(payload);
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    response
}

/// Builds an error response with a code and a message.
pub(crate) fn error(status: StatusCode, code: &str, message: &str) -> Response<Payload> {
    json(
        status,
        &serde_json::json!({"error": code, "message": message}),
    )
}

/// Returns the value of a query parameter. Percent escapes are not decoded, as the interfaces use none in parameters.
pub(crate) fn param<'r, B>(request: &'r Request<B>, name: &str) -> Option<&'r str> {
    request
        .uri()
        .query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(key, value)| (key == name).then_some(value))
}

/// Serves one connection, HTTP/1.1 or HTTP/2 without TLS, until it is closed.
pub(crate) async fn serve<I, H, F>(io: I, handler: H)
where
    I: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    H: Fn(Request<Bytes>) -> F + Clone + Send + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = handler.clone();
        async move {
            let (parts, body) = request.into_parts();
            match Limited::new(body, MAX_BODY_BYTES).collect().await {
                Ok(body) => handler(Request::from_parts(parts, body.to_bytes())).await,
                Err(err) => Ok(error(
                    StatusCode::PAYLOAD_TOO_LARGE,
                    "body",
                    &err.to_string(),
                )),
            }
        }
    });
    let builder = auto::Builder::new(TokioExecutor::new());
    if let Err(err) = builder.serve_connection(TokioIo::new(io), service).await {
        log::debug!("connection closed: {err}");
    }
}

/// A port that stays reserved while no listener is open on it.
#[derive(Debug)]
pub(crate) struct Reservation {
    address: SocketAddr,
    _socket: TcpSocket,
}

impl Reservation {
    /// Reserves an address; port 0 picks a free one.
    pub(crate) fn new(address: SocketAddr) -> io::Result<Self> {
        let socket = bind_reusable(address)?;
        Ok(Self {
            address: socket.local_addr()?,
            _socket: socket,
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens the listener on the reserved address.
    pub(crate) fn listen(&self) -> io::Result<TcpListener> {
        self.listen_with(MAX_QUEUED_CONNECTIONS)
    }

    /// Opens the listener with a queue for `queued` connections that are not accepted yet, and one more.
    pub(crate) fn listen_with(&self, queued: u32) -> io::Result<TcpListener> {
        bind_reusable(self.address)?.listen(queued)
    }
}

/// Binds a socket without listening. Linux lets several such sockets share a port while none of them listens.
fn bind_reusable(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}
