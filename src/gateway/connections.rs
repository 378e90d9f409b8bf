//! The connections of callers and of other nodes, and how far the request on each of them has come.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    io::{self, IoSlice},
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{Context, Poll, ready},
};

use http::StatusCode;
use log::Level;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::{core::Time, gateway::state::Gateway};

/// Maximum number of log lines about requests that a stopping node answers after the end of its intake, and maximum number
/// about those that its exit cuts.
const MAX_STOP_LINES: usize = 256;

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Its body is being received.
    Body,
    /// It waits for leaves or for another node.
    Running,
    /// Its answer is being written. `bytes` is the length of the answer's body, and `offset` the number of bytes written to
    /// the connection before.
    Answer {
        status: StatusCode,
        bytes: u64,
        offset: u64,
    },
}

/// A request whose answer has not been written whole.
#[derive(Clone, Debug)]
struct Exchange {
    id: Arc<str>,
    /// When its head was received.
    arrived: Time,
    stage: Stage,
}

/// What is known of a connection.
#[derive(Debug)]
struct Progress {
    /// The connection is one of a caller, not of another node.
    of_caller: bool,
    /// Number of bytes written to the connection.
    written: Cell<u64>,
    exchange: RefCell<Option<Exchange>>,
}

impl Progress {
    fn log(&self, exchange: &Exchange, level: Level, now: Time, suppressed: u64, message: &str) {
        let (stage, status, bytes, written) = match exchange.stage {
            Stage::Body => ("body", 0, 0, 0),
            Stage::Running => ("running", 0, 0, 0),
            Stage::Answer {
                status,
                bytes,
                offset,
            } => (
                "answer",
                status.as_u16(),
                bytes,
                self.written.get() - offset,
            ),
        };
        log::log!(
            level,
            id = &*exchange.id,
            handed_over = !self.of_caller,
            stage,
            status,
            answer_bytes = bytes,
            written_bytes = written,
            age_ms = now.since(exchange.arrived).as_millis() as u64,
            suppressed;
            "{message}"
        );
    }
}

/// The open connections of callers and of other nodes.
#[derive(Debug, Default)]
pub(super) struct Connections {
    open: RefCell<BTreeMap<u64, Rc<Progress>>>,
    next_key: Cell<u64>,
    /// Callers' connections are accepted, or wait to be accepted.
    accepting: Cell<bool>,
    /// Number of requests answered since the stop began.
    answered: Cell<usize>,
    /// Number of requests answered after the end of the intake, each of which has a line up to [`MAX_STOP_LINES`].
    answered_late: Cell<usize>,
}

impl Connections {
    pub(super) fn set_accepting(&self, accepting: bool) {
        self.accepting.set(accepting);
    }

    /// Returns the number of connections that have to end before the process exits: those of callers, one more if others may
    /// wait to be accepted, and those of other nodes on which an answer is due.
    pub(super) fn unfinished_count(&self) -> usize {
        let open = self.open.borrow();
        let is_unfinished =
            |progress: &&Rc<Progress>| progress.of_caller || progress.exchange.borrow().is_some();
        open.values().filter(is_unfinished).count() + usize::from(self.accepting.get())
    }

    /// Logs the requests whose answers are not written whole, which the exit of the process cuts. Returns their number.
    pub(super) fn log_cut_requests(&self, now: Time) -> usize {
        let open = self.open.borrow();
        let mut cut = 0;
        for progress in open.values() {
            if let Some(exchange) = &*progress.exchange.borrow() {
                cut += 1;
                if cut <= MAX_STOP_LINES {
                    progress.log(exchange, Level::Warn, now, 0, "request cut by the exit");
                }
            }
        }
        cut
    }

    /// Returns the number of requests answered since the stop began.
    pub(super) fn answered(&self) -> usize {
        self.answered.get()
    }

    /// Returns the number of requests answered after the end of the intake that have no line.
    pub(super) fn suppressed(&self) -> usize {
        self.answered_late.get().saturating_sub(MAX_STOP_LINES)
    }

    /// Counts an answer of a node that is stopping. Returns whether it is logged.
    fn count_answer(&self, after_intake: bool) -> bool {
        self.answered.set(self.answered.get() + 1);
        if after_intake {
            self.answered_late.set(self.answered_late.get() + 1);
        }
        after_intake && self.answered_late.get() <= MAX_STOP_LINES
    }
}

/// An open connection and the request on it, if there is one.
pub(super) struct OpenConnection {
    gateway: Rc<Gateway>,
    key: u64,
    progress: Rc<Progress>,
}

impl OpenConnection {
    pub(super) fn new(gateway: &Rc<Gateway>, of_caller: bool) -> Self {
        let connections = &gateway.connections;
        let key = connections.next_key.get();
        connections.next_key.set(key + 1);
        let progress = Rc::new(Progress {
            of_caller,
            written: Cell::new(0),
            exchange: RefCell::new(None),
        });
        connections.open.borrow_mut().insert(key, progress.clone());
        Self {
            gateway: gateway.clone(),
            key,
            progress,
        }
    }

    /// Records that the head of a request has been received.
    pub(super) fn start(&self, id: &Arc<str>, arrived: Time) {
        self.progress.exchange.replace(Some(Exchange {
            id: id.clone(),
            arrived,
            stage: Stage::Body,
        }));
    }

    /// Records that the whole request has been received.
    pub(super) fn run(&self) {
        self.enter(Stage::Running);
    }

    /// Records that an answer with a body of `bytes` bytes is written from now on.
    pub(super) fn answer(&self, status: StatusCode, bytes: u64) {
        let offset = self.progress.written.get();
        self.enter(Stage::Answer {
            status,
            bytes,
            offset,
        });
    }

    fn enter(&self, stage: Stage) {
        if let Some(exchange) = &mut *self.progress.exchange.borrow_mut() {
            exchange.stage = stage;
        }
    }

    /// Records that all bytes that were due have been written. The whole answer is due as soon as there is one, since its body
    /// is in memory.
    fn flushed(&self) {
        let is_answered = |exchange: &mut Exchange| matches!(exchange.stage, Stage::Answer { .. });
        let answered = self.progress.exchange.borrow_mut().take_if(is_answered);
        if let Some(exchange) = answered
            && self.gateway.stop.is_stopping()
            && (self.gateway.connections).count_answer(self.gateway.stop.is_draining())
        {
            let message = "request answered after the end of the intake";
            let now = self.gateway.now();
            self.progress.log(&exchange, Level::Info, now, 0, message);
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let gateway = &self.gateway;
        gateway.connections.open.borrow_mut().remove(&self.key);
        // The exit logs the requests that it cuts.
        if gateway.stop.is_done() {
            return;
        }
        let now = gateway.now();
        let exchange = self.progress.exchange.borrow();
        let Some(exchange) = &*exchange else {
            return;
        };
        metrics::counter!("cranberrychute_unanswered_total").increment(1);
        if let Some(suppressed) = gateway.log_limiter.admit(now, "unanswered") {
            let message = "connection ended before the answer";
            self.progress
                .log(exchange, Level::Info, now, suppressed, message);
        }
    }
}

/// A connection's stream, which counts what is written to it.
pub(super) struct CountedStream {
    stream: TcpStream,
    connection: Rc<OpenConnection>,
}

impl CountedStream {
    pub(super) fn new(stream: TcpStream, connection: Rc<OpenConnection>) -> Self {
        Self { stream, connection }
    }

    fn count(&self, written: usize) {
        let total = &self.connection.progress.written;
        total.set(total.get() + written as u64);
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, bytes))?;
        self.count(written);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, slices))?;
        self.count(written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.connection.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
