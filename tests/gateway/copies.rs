//! A leaf sends second copies of its rejections, late: right before its answer to the next request on the connection.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use futures::future::join_all;
use tokio::{
    io::{AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::{
    raw_leaf::{self, read_request},
    site::{Node, Site, wait_until},
};

const LEAF: &str = "i-copies";
/// Beginning of the ids of requests that the leaf rejects once before it runs them.
const REJECTED: &str = "rejected";
/// Beginning of the ids of requests that the leaf rejects until they are allowed.
const REFUSED: &str = "refused";
/// Beginning of the ids of requests that the leaf rejects, with answers that do not echo the id.
const NAMELESS: &str = "nameless";
/// Beginning of the ids of requests that the leaf rejects once, with a copy that comes in pieces.
const PIECES: &str = "rejected-pieces";

/// What a leaf has seen of each request.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    arrivals: u32,
    runs: u32,
    allowed: bool,
}

type Requests = Arc<Mutex<HashMap<String, Seen>>>;

/// Starts a leaf that rejects some requests and copies each rejection.
async fn start_leaf() -> (SocketAddr, Requests) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Requests::default();
    let seen = requests.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, seen.clone()));
        }
    });
    (address, requests)
}

async fn serve(stream: TcpStream, requests: Requests) {
    let mut stream = BufReader::new(stream);
    let mut copy = None::<String>;
    while let Some(id) = read_request(&mut stream).await {
        if let Some(copy) = copy.take() {
            let middle = if copy.contains(PIECES) {
                copy.len() / 2
            } else {
                0
            };
            for piece in [&copy[..middle], &copy[middle..]] {
                let _ = stream.write_all(piece.as_bytes()).await;
                // The copy arrives by itself, as one that is sent late does.
                sleep(Duration::from_millis(5)).await;
            }
        }
        let runs = {
            let mut requests = requests.lock().unwrap();
            let seen = requests.entry(id.clone()).or_default();
            seen.arrivals += 1;
            let is_refused = id.starts_with(REFUSED) || id.starts_with(NAMELESS);
            let is_rejected =
                id.starts_with(REJECTED) && seen.arrivals == 1 || is_refused && !seen.allowed;
            let runs = !is_rejected;
            seen.runs += u32::from(runs);
            runs
        };
        let reply = if runs {
            sleep(Duration::from_millis(10)).await;
            format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {LEAF}.{id}\r\nContent-Length: 2\r\n\r\nok"
            )
        } else if id.starts_with(NAMELESS) {
            "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".to_owned()
        } else {
            format!(
                "HTTP/1.1 503 Busy\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
        };
        copy = (!runs).then(|| reply.clone());
        if stream.write_all(reply.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Starts a site whose only leaf sends copies of its rejections. Each node has one connection to it, so that a request that is
/// sent again finds the one that has carried it.
async fn start_site(nodes: usize) -> (Site, Vec<Node>, Requests) {
    let (address, requests) = start_leaf().await;
    let (site, nodes) = raw_leaf::start_site(address, LEAF, nodes, 1).await;
    (site, nodes, requests)
}

/// Guards against the copy of a rejection that is taken as the answer to the same order sent again: the order then runs
/// twice, or is answered as not run although it has run.
#[tokio::test]
async fn a_late_copy_of_a_rejection_is_no_answer_to_the_order_sent_again() {
    let (site, mut nodes, requests) = start_site(2).await;
    nodes[1].kill();
    nodes[1] = site.node(1);
    wait_until("the node is back", async || nodes[1].is_ready().await).await;
    let mut statuses = HashMap::new();
    for round in 0..10 {
        let sends = nodes.iter().enumerate().map(async |(index, node)| {
            let kind = [REJECTED, PIECES][round % 2];
            let id = format!("{kind}-{round}-{index}");
            let reply = node.send_order("/order/x", &id).await;
            (id, reply.status)
        });
        statuses.extend(join_all(sends).await);
    }
    sleep(Duration::from_millis(100)).await;
    let requests = requests.lock().unwrap();
    for (id, status) in &statuses {
        let runs = requests[id].runs;
        assert!(runs <= 1, "{id} ran {runs} times");
        assert!(
            runs == 0 || !matches!(status, 429 | 503),
            "{id} has run and was answered {status}"
        );
    }
    let served = statuses.values().filter(|status| **status == 200).count();
    assert!(
        served > statuses.len() / 2,
        "{served} of {}",
        statuses.len()
    );
}

/// Guards against the copy of a rejection that is taken as the answer to a later order of the caller with the same id, sent
/// after the first one was answered as not run.
#[tokio::test]
async fn a_late_copy_of_a_rejection_is_no_answer_to_an_order_with_the_same_id() {
    let (_site, nodes, requests) = start_site(1).await;
    let mut served = 0;
    for round in 0..10 {
        let id = format!("{REFUSED}-{round}");
        let first = nodes[0].send_order("/order/x", &id).await.status;
        assert_eq!(first, 503, "the leaf rejects every call of {id}");
        requests.lock().unwrap().get_mut(&id).unwrap().allowed = true;
        let second = nodes[0].send_order("/order/x", &id).await.status;
        sleep(Duration::from_millis(50)).await;
        let runs = requests.lock().unwrap()[&id].runs;
        assert!(runs <= 1, "{id} ran {runs} times");
        assert!(
            runs == 0 || !matches!(second, 429 | 503),
            "{id} has run and was answered {second}"
        );
        served += u32::from(second == 200);
    }
    assert_eq!(served, 10);
}

/// Guards against the copy of a rejection without an id that is taken as the answer to the next order on its connection, which
/// then runs twice.
#[tokio::test]
async fn a_rejection_without_an_id_does_not_show_that_an_order_has_not_run() {
    let (_site, nodes, requests) = start_site(1).await;
    for round in 0..10 {
        let first = format!("{NAMELESS}-{round}");
        let second = format!("next-{round}");
        for id in [&first, &second] {
            let status = nodes[0].send_order("/order/x", id).await.status;
            sleep(Duration::from_millis(30)).await;
            let runs = requests.lock().unwrap()[id].runs;
            assert!(runs <= 1, "{id} ran {runs} times");
            assert!(
                runs == 0 || !matches!(status, 429 | 503),
                "{id} has run and was answered {status}"
            );
        }
    }
}
