use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::watch,
};

/// A connection that can be made to hang without being closed.
#[derive(Debug)]
pub(crate) struct LeafStream {
    stream: TcpStream,
    /// Number of times the leaf made its open connections silent.
    silence_count: Arc<AtomicU64>,
    /// Value of `silence_count` when the connection was opened.
    count_at_open: u64,
    /// Changes when the leaf crashes.
    crashes: watch::Receiver<u64>,
}

impl LeafStream {
    pub(crate) fn new(
        stream: TcpStream,
        silence_count: Arc<AtomicU64>,
        count_at_open: u64,
        crashes: watch::Receiver<u64>,
    ) -> Self {
        Self {
            stream,
            silence_count,
            count_at_open,
            crashes,
        }
    }

    /// Returns whether reads and writes hang. A silent stream registers no waker and stays pending until it is dropped.
    fn is_silent(&self) -> bool {
        self.silence_count.load(Ordering::Relaxed) != self.count_at_open
    }
}

impl Drop for LeafStream {
    fn drop(&mut self) {
        // A crash resets the connections; otherwise they are closed gracefully.
        if self.crashes.has_changed().unwrap_or(true) {
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for LeafStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.is_silent() {
            true => Poll::Pending,
            false => Pin::new(&mut self.stream).poll_read(cx, buf),
        }
    }
}

impl AsyncWrite for LeafStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.is_silent() {
            true => Poll::Pending,
            false => Pin::new(&mut self.stream).poll_write(cx, buf),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.is_silent() {
            true => Poll::Pending,
            false => Pin::new(&mut self.stream).poll_flush(cx),
        }
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.is_silent() {
            true => Poll::Pending,
            false => Pin::new(&mut self.stream).poll_shutdown(cx),
        }
    }
}
