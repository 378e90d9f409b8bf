use std::{
    future::poll_fn,
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use h2::{Ping, PingPong, client::SendRequest};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    sync::Notify,
    time::timeout,
};

use crate::{
    adapter::upstream::{Ports, leaf::Leaf},
    core::Time,
};

/// Flow-control window of a stream, bytes: the maximum amount of unread data of one response.
const STREAM_WINDOW_BYTES: u32 = 256 << 10;

/// Flow-control window of a connection, bytes. Bounds the memory that unread responses of a leaf can occupy.
const CONNECTION_WINDOW_BYTES: u32 = 2 << 20;

/// State shared by the supervisor of a connection and the task that drives it.
#[derive(Debug, Default)]
pub(super) struct ConnShared {
    /// Time at which bytes were last read, in microseconds.
    last_read: AtomicU64,
    /// Requests a ping.
    ping: Notify,
}

impl ConnShared {
    pub(super) fn last_read(&self) -> Time {
        Time(self.last_read.load(Ordering::Relaxed))
    }

    pub(super) fn request_ping(&self) {
        self.ping.notify_one();
    }
}

/// A byte stream that records when bytes arrive.
struct TrackedStream<P: Ports> {
    io: P::Io,
    ports: Arc<P>,
    shared: Arc<ConnShared>,
}

impl<P: Ports> AsyncRead for TrackedStream<P> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.io).poll_read(cx, buf);
        if buf.filled().len() > before {
            let now = self.ports.now();
            self.shared.last_read.store(now.0, Ordering::Relaxed);
        }
        poll
    }
}

impl<P: Ports> AsyncWrite for TrackedStream<P> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

type Driver<P> = h2::client::Connection<TrackedStream<P>, Bytes>;

/// Opens a connection to a leaf and drives it until it closes.
///
/// Calls are sent on it only after its first pong: a leaf that accepts connections but never responds on them gets
/// no call.
pub(super) async fn serve<P: Ports>(leaf: Arc<Leaf<P>>, id: u64) {
    let shared = Arc::new(ConnShared::default());
    let limit = leaf.settings().connect_timeout;
    let opened = timeout(limit, open(&leaf, shared.clone())).await;
    let (send, mut connection, mut pings) = match opened {
        Ok(Ok(opened)) => opened,
        Ok(Err(error)) => return leaf.on_connect_failed(id, &error),
        Err(_) => {
            let error = io::Error::new(io::ErrorKind::TimedOut, "timed out before the first pong");
            return leaf.on_connect_failed(id, &error);
        }
    };
    let mut ready = send.clone();
    leaf.on_opened(id, send, shared.clone());
    let (mut awaiting_pong, mut draining, mut graceful) = (false, false, false);
    loop {
        tokio::select! {
            biased;
            _ = &mut connection => break,
            error = poll_fn(|cx| poll_draining(&mut ready, cx)), if !draining => {
                draining = true;
                graceful = error.is_go_away() && error.reason() == Some(h2::Reason::NO_ERROR);
                leaf.on_draining(id);
            }
            pong = poll_fn(|cx| pings.poll_pong(cx)), if awaiting_pong => {
                awaiting_pong = false;
                if pong.is_ok() {
                    leaf.on_pong(id);
                }
            }
            () = shared.ping.notified(), if !awaiting_pong => {
                awaiting_pong = pings.send_ping(Ping::opaque()).is_ok();
            }
        }
    }
    leaf.on_closed(id, graceful);
}

/// Resolves once the connection accepts no more calls. Must be polled by the task that drives the connection, whose
/// events wake that task.
fn poll_draining(send: &mut SendRequest<Bytes>, cx: &mut Context<'_>) -> Poll<h2::Error> {
    match send.poll_ready(cx) {
        Poll::Ready(Err(error)) => Poll::Ready(error),
        _ => Poll::Pending,
    }
}

async fn open<P: Ports>(
    leaf: &Leaf<P>,
    shared: Arc<ConnShared>,
) -> io::Result<(SendRequest<Bytes>, Driver<P>, PingPong)> {
    let ports = leaf.ports().clone();
    let io = ports.connect(leaf.id()).await?;
    let io = TrackedStream { io, ports, shared };
    let (send, mut connection) = h2::client::Builder::new()
        .enable_push(false)
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .handshake::<_, Bytes>(io)
        .await
        .map_err(io::Error::other)?;
    let mut pings = connection
        .ping_pong()
        .ok_or_else(|| io::Error::other("the HTTP/2 connection has no ping handle"))?;
    let closed = || io::Error::new(io::ErrorKind::UnexpectedEof, "closed before the first pong");
    let pong = tokio::select! {
        biased;
        result = &mut connection => return Err(result.err().map_or_else(closed, io::Error::other)),
        pong = pings.ping(Ping::opaque()) => pong,
    };
    pong.map_err(io::Error::other)?;
    Ok((send, connection, pings))
}
