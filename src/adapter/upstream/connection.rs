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

/// Bytes that one answer may have in flight before they are read.
const STREAM_WINDOW: u32 = 256 << 10;

/// As `STREAM_WINDOW`, for all answers on a connection: bounds what a leaf can make this node hold.
const CONNECTION_WINDOW: u32 = 2 << 20;

/// What the supervisor of a connection shares with the task that drives it.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// When bytes were last read, in microseconds.
    read: AtomicU64,
    /// Asks for a ping.
    ping: Notify,
}

impl Progress {
    pub(super) fn last_read(&self) -> Time {
        Time(self.read.load(Ordering::Relaxed))
    }

    pub(super) fn request_ping(&self) {
        self.ping.notify_one();
    }
}

/// A byte stream that notes when bytes arrive.
struct Watched<P: Ports> {
    io: P::Io,
    ports: Arc<P>,
    progress: Arc<Progress>,
}

impl<P: Ports> AsyncRead for Watched<P> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.io).poll_read(cx, buf);
        if buf.filled().len() > before {
            let now = self.ports.now();
            self.progress.read.store(now.0, Ordering::Relaxed);
        }
        poll
    }
}

impl<P: Ports> AsyncWrite for Watched<P> {
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

type Driver<P> = h2::client::Connection<Watched<P>, Bytes>;

/// Opens a connection to a leaf and drives it until it ends.
///
/// It is handed over for calls after its first pong only: a leaf that accepts connections but never answers on
/// them gets no call.
pub(super) async fn serve<P: Ports>(leaf: Arc<Leaf<P>>, id: u64) {
    let progress = Arc::new(Progress::default());
    let limit = leaf.settings().connect_timeout;
    let opened = timeout(limit, open(&leaf, progress.clone())).await;
    let (send, mut connection, mut pings) = match opened {
        Ok(Ok(opened)) => opened,
        Ok(Err(error)) => return leaf.connect_failed(id, &error),
        Err(_) => {
            let error = io::Error::new(io::ErrorKind::TimedOut, "no answer to the first ping");
            return leaf.connect_failed(id, &error);
        }
    };
    let mut ready = send.clone();
    leaf.opened(id, send, progress.clone());
    let (mut waiting, mut draining, mut planned) = (false, false, false);
    loop {
        tokio::select! {
            biased;
            _ = &mut connection => break,
            error = poll_fn(|cx| refusal(&mut ready, cx)), if !draining => {
                draining = true;
                planned = error.is_go_away() && error.reason() == Some(h2::Reason::NO_ERROR);
                leaf.draining(id);
            }
            pong = poll_fn(|cx| pings.poll_pong(cx)), if waiting => {
                waiting = false;
                if pong.is_ok() {
                    leaf.ponged(id);
                }
            }
            () = progress.ping.notified(), if !waiting => {
                waiting = pings.send_ping(Ping::opaque()).is_ok();
            }
        }
    }
    leaf.closed(id, planned);
}

/// Resolves once the connection takes no more calls. Polled with the connection, whose events lead there.
fn refusal(send: &mut SendRequest<Bytes>, cx: &mut Context<'_>) -> Poll<h2::Error> {
    match send.poll_ready(cx) {
        Poll::Ready(Err(error)) => Poll::Ready(error),
        _ => Poll::Pending,
    }
}

async fn open<P: Ports>(
    leaf: &Leaf<P>,
    progress: Arc<Progress>,
) -> io::Result<(SendRequest<Bytes>, Driver<P>, PingPong)> {
    let ports = leaf.ports().clone();
    let io = ports.connect(leaf.id()).await?;
    let io = Watched {
        io,
        ports,
        progress,
    };
    let (send, mut connection) = h2::client::Builder::new()
        .enable_push(false)
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .handshake::<_, Bytes>(io)
        .await
        .map_err(io::Error::other)?;
    let mut pings = connection
        .ping_pong()
        .ok_or_else(|| io::Error::other("the connection offers no ping"))?;
    let closed = || io::Error::new(io::ErrorKind::UnexpectedEof, "closed before the first pong");
    let pong = tokio::select! {
        biased;
        result = &mut connection => return Err(result.err().map_or_else(closed, io::Error::other)),
        pong = pings.ping(Ping::opaque()) => pong,
    };
    pong.map_err(io::Error::other)?;
    Ok((send, connection, pings))
}
