//! Callers that send requests without a break, each on a connection of its own that it keeps open.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use cranberrychute::adapter::http1::{Connection, ExchangeError};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

use crate::site::{HOST, Site};

/// Time that a caller waits for an answer.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Size of the pieces in which a slow caller reads, and the pause after each.
const PIECE_BYTES: usize = 64 << 10;
const PIECE_PAUSE: Duration = Duration::from_millis(10);

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
    /// In small pieces, on a connection of its own with a small receive buffer.
    Slowly,
}

/// A request that has ended.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) id: String,
    pub(crate) node: SocketAddr,
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
    pub(crate) end: End,
}

impl Request {
    fn new(id: String, node: SocketAddr, sent: Instant, end: End) -> Self {
        Self {
            id,
            node,
            sent,
            ended: Instant::now(),
            end,
        }
    }
}

/// Callers of some nodes, and how their requests ended.
pub(crate) struct Load {
    tasks: JoinSet<()>,
    ended: Arc<Mutex<Vec<Request>>>,
    stopped: Arc<AtomicBool>,
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
        let (ended, stopped) = (
            Arc::<Mutex<Vec<_>>>::default(),
            Arc::<AtomicBool>::default(),
        );
        let mut tasks = JoinSet::new();
        for caller in 0..callers {
            let mut nodes = nodes.to_vec();
            let first = caller % nodes.len();
            nodes.rotate_left(first);
            let (ended, stopped) = (ended.clone(), stopped.clone());
            tasks.spawn(async move {
                sleep(pause * caller as u32 / callers as u32).await;
                let mut connection = None;
                for request in 0.. {
                    if stopped.load(Ordering::Relaxed) {
                        return;
                    }
                    let sent = Instant::now();
                    let (id, end) = if reading == Reading::Slowly {
                        let id = format!("{path}slow-{caller}-{request}");
                        let end = read_slowly(nodes[0], path, &id, "").await;
                        (id, end)
                    } else {
                        let id = format!("{path}{caller}-{request}");
                        let end = match connect(nodes[0], connection.take()).await {
                            Some(open) => {
                                let (end, kept) = send(open, path, &id).await;
                                connection = kept;
                                Some(end)
                            }
                            None => None,
                        };
                        (id, end)
                    };
                    match end {
                        Some(end) => {
                            let request = Request::new(id, nodes[0], sent, end);
                            ended.lock().unwrap().push(request);
                        }
                        // The node accepts no connections.
                        None => nodes.rotate_left(1),
                    }
                    sleep(pause).await;
                }
            });
        }
        Self {
            tasks,
            ended,
            stopped,
        }
    }

    /// Ends the callers after their requests in progress, and returns all requests.
    pub(crate) async fn finish(mut self) -> Vec<Request> {
        self.stopped.store(true, Ordering::Relaxed);
        while let Some(ended) = self.tasks.join_next().await {
            ended.unwrap();
        }
        std::mem::take(&mut self.ended.lock().unwrap())
    }
}

/// Returns the ids of the requests that have run on a leaf and whose connection ended before the whole answer.
pub(crate) fn cut_requests<'a>(site: &Site, requests: &'a [Request]) -> Vec<&'a str> {
    let has_run = |id: &str| {
        let leaves = site.shards.iter().flatten();
        leaves.map(|leaf| leaf.run_count(id)).sum::<u32>() > 0
    };
    requests
        .iter()
        .filter(|request| request.end == End::Cut && has_run(&request.id))
        .map(|request| &*request.id)
        .collect()
}

/// Returns the connection that is kept, or a new one. `None` if the node refuses it.
async fn connect(node: SocketAddr, kept: Option<Connection>) -> Option<Connection> {
    match kept {
        Some(kept) => Some(kept),
        None => Connection::open(node).await.ok(),
    }
}

/// Sends a request. Returns the connection if it stays open.
async fn send(mut connection: Connection, path: &str, id: &str) -> (End, Option<Connection>) {
    let method = if path.starts_with("/order/") {
        "POST"
    } else {
        "GET"
    };
    let request = format!(
        "{method} {path}x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 4000\r\n\
         Content-Length: 0\r\n\r\n"
    );
    let exchange = connection.exchange(request.as_bytes(), 4 << 20, |_| true);
    let end = match timeout(TIMEOUT, exchange).await {
        Ok(Ok(reply)) => End::Status(reply.status),
        Ok(Err(ExchangeError { .. })) => End::Cut,
        Err(_) => End::Timeout,
    };
    let kept = matches!(end, End::Status(_)) && connection.is_idle();
    (end, kept.then_some(connection))
}

/// Sends a request with additional `headers` on a new connection and reads its answer slowly. Returns `None` if the node
/// refuses the connection.
pub(crate) async fn read_slowly(
    node: SocketAddr,
    path: &str,
    id: &str,
    headers: &str,
) -> Option<End> {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(PIECE_BYTES as u32).unwrap();
    let mut stream = socket.connect(node).await.ok()?;
    let request = format!(
        "GET {path}x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 4000\r\n{headers}\r\n"
    );
    let read = async {
        stream.write_all(request.as_bytes()).await?;
        read_pieces(&mut stream, PIECE_PAUSE).await
    };
    let end = match timeout(TIMEOUT, read).await {
        Ok(Ok(answer)) => status(&answer).map_or(End::Cut, End::Status),
        Ok(_) => End::Cut,
        Err(_) => End::Timeout,
    };
    Some(end)
}

/// Reads an answer in pieces of [`PIECE_BYTES`], up to its stated length or the end of the connection.
pub(crate) async fn read_pieces(stream: &mut TcpStream, pause: Duration) -> io::Result<Vec<u8>> {
    let mut answer = Vec::new();
    let mut piece = vec![0; PIECE_BYTES];
    loop {
        let received = stream.read(&mut piece).await?;
        answer.extend_from_slice(&piece[..received]);
        if received == 0 || is_whole(&answer) {
            return Ok(answer);
        }
        sleep(pause).await;
    }
}

/// Returns the status of an answer that is whole.
pub(crate) fn status(answer: &[u8]) -> Option<u16> {
    let status = std::str::from_utf8(answer.get(9..12)?).ok()?;
    is_whole(answer).then(|| status.parse().unwrap())
}

/// Returns whether an answer has arrived up to its stated length.
fn is_whole(answer: &[u8]) -> bool {
    let Some(head) = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n") else {
        return false;
    };
    let text = String::from_utf8_lossy(&answer[..head]).to_ascii_lowercase();
    let length = text
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"));
    let length: usize = length.map_or(0, |length| length.trim().parse().unwrap());
    answer.len() >= head + 4 + length
}
