//! Callers that send requests without a break, each on a connection of its own that it keeps open.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use cranberrychute::adapter::http1::{Connection, ExchangeError};
use tokio::{
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::site::{HOST, Site};

/// Time that a caller waits for an answer.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Pause of a caller that no node accepts.
const REFUSED_PAUSE: Duration = Duration::from_millis(50);

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    Status(u16),
    /// The connection ended before the whole answer.
    Cut,
    Timeout,
}

/// A request that has ended.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) id: String,
    pub(crate) node: SocketAddr,
    pub(crate) end: End,
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
                    let Some(open) = connect(&mut nodes, connection.take()).await else {
                        sleep(REFUSED_PAUSE).await;
                        continue;
                    };
                    let id = format!("{path}{caller}-{request}");
                    let (end, kept) = send(open, path, &id).await;
                    connection = kept;
                    let node = nodes[0];
                    ended.lock().unwrap().push(Request { id, node, end });
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

async fn connect(nodes: &mut [SocketAddr], kept: Option<Connection>) -> Option<Connection> {
    if kept.is_some() {
        return kept;
    }
    for _ in 0..nodes.len() {
        if let Ok(opened) = Connection::open(nodes[0]).await {
            return Some(opened);
        }
        nodes.rotate_left(1);
    }
    None
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
    let exchange = connection.exchange(request.as_bytes(), 1 << 20, |_| true);
    let end = match timeout(TIMEOUT, exchange).await {
        Ok(Ok(reply)) => End::Status(reply.status),
        Ok(Err(ExchangeError { .. })) => End::Cut,
        Err(_) => End::Timeout,
    };
    let kept = matches!(end, End::Status(_)) && connection.is_idle();
    (end, kept.then_some(connection))
}
