//! Callers that send requests without a break, each on a connection of its own that it keeps open.

use std::{
    net::SocketAddr,
    ops::Range,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::{
    caller::{Answer, Caller, Idle},
    site::{HOST, Site},
};

/// Time that a caller waits for an answer.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Longest pause of a caller after a node has refused a connection.
const REFUSED_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between the two pieces in which a request may be sent.
const PIECE_PAUSE_MS: u64 = 40;
/// Share of the orders that are sent in two pieces.
const SPLIT_SHARE: f64 = 0.2;
/// Path of requests that must not run twice.
pub(crate) const ORDERS: &str = "/order/";

/// Distinguishes the requests of several loads.
static NEXT_LOAD: AtomicU32 = AtomicU32::new(0);

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum End {
    Status(u16),
    /// The connection ended before the whole answer.
    Cut,
    Timeout,
}

/// How a caller reads an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reading {
    AtOnce,
    /// In pieces with pauses, on a connection with a small receive buffer.
    Slowly,
    /// The same in smaller pieces.
    VerySlowly,
}

impl Reading {
    /// Returns the size of the pieces.
    pub(crate) fn piece_bytes(self) -> Option<usize> {
        match self {
            Reading::AtOnce => None,
            Reading::Slowly => Some(64 << 10),
            Reading::VerySlowly => Some(2 << 10),
        }
    }
}

/// A request that has ended.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) id: String,
    pub(crate) node: SocketAddr,
    /// When the last byte was sent.
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
    pub(crate) end: End,
    /// Whether the answer holds the stamp of a leaf.
    pub(crate) is_stamped: bool,
    /// Why the answer is not the one to this request.
    pub(crate) mixed: Option<String>,
}

/// Callers of some nodes, and how their requests ended.
pub(crate) struct Load {
    tasks: JoinSet<()>,
    ended: Arc<Mutex<Vec<Request>>>,
    stopped: CancellationToken,
}

impl Load {
    /// Starts callers that begin with different nodes and send requests to `path` with these pauses between them. They keep
    /// to an address and its connection until it is refused, as callers do that ask for no other.
    pub(crate) fn start(
        nodes: &[SocketAddr],
        callers: usize,
        path: &'static str,
        pause: Duration,
    ) -> Self {
        Self::start_with(nodes, callers, path, pause, Reading::AtOnce)
    }

    /// Starts callers like [`Load::start`] that read their answers in this way.
    pub(crate) fn start_with(
        nodes: &[SocketAddr],
        callers: usize,
        path: &'static str,
        pause: Duration,
        reading: Reading,
    ) -> Self {
        let kind = Kind {
            path,
            pauses: pause..pause + Duration::from_millis(1),
            reading,
        };
        kind.start(nodes, callers)
    }

    /// Ends the callers after their requests in progress, and returns all requests.
    pub(crate) async fn finish(mut self) -> Vec<Request> {
        self.stopped.cancel();
        while let Some(ended) = self.tasks.join_next().await {
            ended.unwrap();
        }
        std::mem::take(&mut self.ended.lock().unwrap())
    }
}

/// What callers send, and how.
#[derive(Clone, Debug)]
pub(crate) struct Kind {
    pub(crate) path: &'static str,
    /// Pauses between two requests.
    pub(crate) pauses: Range<Duration>,
    pub(crate) reading: Reading,
}

impl Kind {
    /// Starts callers of this kind like [`Load::start`].
    pub(crate) fn start(&self, nodes: &[SocketAddr], callers: usize) -> Load {
        let load = NEXT_LOAD.fetch_add(1, Ordering::Relaxed);
        let (ended, stopped) = (Arc::<Mutex<Vec<_>>>::default(), CancellationToken::new());
        let mut tasks = JoinSet::new();
        for caller in 0..callers {
            let mut nodes = nodes.to_vec();
            let step = (nodes.len() / callers).max(1);
            let first = caller * step % nodes.len();
            nodes.rotate_left(first);
            let run = Run {
                kind: self.clone(),
                nodes,
                name: format!("{}{load}-{caller}", self.path),
                rng: Pcg64::seed_from_u64(caller as u64),
                stopped: stopped.clone(),
                ended: ended.clone(),
            };
            tasks.spawn(run.run());
        }
        Load {
            tasks,
            ended,
            stopped,
        }
    }
}

/// A caller.
struct Run {
    kind: Kind,
    /// The first one is in use.
    nodes: Vec<SocketAddr>,
    name: String,
    rng: Pcg64,
    stopped: CancellationToken,
    ended: Arc<Mutex<Vec<Request>>>,
}

impl Run {
    async fn run(mut self) {
        let mut kept = None;
        let mut number = 0;
        self.pause(Duration::MAX).await;
        while !self.stopped.is_cancelled() {
            let mut stray = None;
            let open = match kept.take().map(Caller::idle) {
                Some(Idle::Open(caller)) => Some(caller),
                Some(Idle::Stray(bytes)) => {
                    stray = Some(format!("{bytes} bytes before it was sent"));
                    self.open().await
                }
                Some(Idle::Closed) | None => self.open().await,
            };
            // A node that accepts no connections is left.
            let Some(mut caller) = open else {
                self.nodes.rotate_left(1);
                self.pause(REFUSED_PAUSE).await;
                continue;
            };
            let id = format!("{}-{number}", self.name);
            number += 1;
            let mut request = self.send(&mut caller, id).await;
            request.0.mixed = stray.or(request.0.mixed);
            self.ended.lock().unwrap().push(request.0);
            kept = request.1.then_some(caller);
            self.pause(Duration::MAX).await;
        }
    }

    async fn open(&self) -> Option<Caller> {
        Caller::open(self.nodes[0], self.kind.reading.piece_bytes())
            .await
            .ok()
    }

    /// Waits between two requests, for `limit` at most.
    async fn pause(&mut self, limit: Duration) {
        let pause = self.rng.random_range(self.kind.pauses.clone()).min(limit);
        let _ = timeout(pause, self.stopped.cancelled()).await;
    }

    /// Sends a request. Returns how it ended, and whether its connection stays open.
    async fn send(&mut self, caller: &mut Caller, id: String) -> (Request, bool) {
        let path = self.kind.path;
        let (method, body) = match path {
            ORDERS => ("POST", "order"),
            _ => ("GET", ""),
        };
        let head = format!(
            "{method} {path}x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 4000\r\n\
             Content-Length: {}\r\n\r\n",
            body.len()
        );
        let is_split = path == ORDERS && self.rng.random_bool(SPLIT_SHARE);
        let mut sent = Instant::now();
        let exchange = async {
            if is_split {
                caller.write(head.as_bytes()).await?;
                let pause = self.rng.random_range(0..PIECE_PAUSE_MS);
                sleep(Duration::from_millis(pause)).await;
                caller.write(body.as_bytes()).await?;
            } else {
                caller.write(format!("{head}{body}").as_bytes()).await?;
            }
            sent = Instant::now();
            caller.read().await
        };
        let answer = timeout(TIMEOUT, exchange).await;
        let end = match &answer {
            Ok(Ok(answer)) => End::Status(answer.status),
            Ok(Err(_)) => End::Cut,
            Err(_) => End::Timeout,
        };
        let answer = answer.ok().and_then(Result::ok);
        let request = Request {
            node: self.nodes[0],
            sent,
            ended: Instant::now(),
            end,
            is_stamped: answer.as_ref().is_some_and(Answer::is_stamped),
            mixed: answer.as_ref().and_then(|answer| answer.mixed(&id)),
            id,
        };
        (request, answer.is_some_and(|answer| !answer.closes))
    }
}

/// Returns the ids of the requests that have run on a leaf and whose connection ended before the whole answer.
pub(crate) fn cut_requests<'a>(site: &Site, requests: &'a [Request]) -> Vec<&'a str> {
    requests
        .iter()
        .filter(|request| request.end == End::Cut && site.run_count(&request.id) > 0)
        .map(|request| &*request.id)
        .collect()
}

/// Sends a request with additional `headers` on a new connection and reads its answer slowly. Returns `None` if the node
/// refuses the connection.
pub(crate) async fn read_slowly(
    node: SocketAddr,
    path: &str,
    id: &str,
    headers: &str,
) -> Option<End> {
    let mut caller = Caller::open(node, Reading::Slowly.piece_bytes())
        .await
        .ok()?;
    let request = format!(
        "GET {path}x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 4000\r\n{headers}\r\n"
    );
    let exchange = async {
        caller.write(request.as_bytes()).await?;
        caller.read().await
    };
    Some(match timeout(TIMEOUT, exchange).await {
        Ok(Ok(answer)) => End::Status(answer.status),
        Ok(Err(_)) => End::Cut,
        Err(_) => End::Timeout,
    })
}
