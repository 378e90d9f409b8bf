//! Leaves that tests write by hand, since they send bytes that no HTTP library sends.

use std::{net::SocketAddr, sync::Arc};

use serde_json::json;
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
};

use crate::site::{Node, Site, wait_until};

/// Starts a leaf that answers one request on each connection with the bytes that `answer` returns for its id.
pub(crate) async fn start_leaf(
    answer: impl Fn(&str) -> Vec<u8> + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let answer = Arc::new(answer);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = answer.clone();
            tokio::spawn(async move {
                let mut stream = BufReader::new(stream);
                if let Some(id) = read_request(&mut stream).await {
                    let _ = stream.write_all(&answer(&id)).await;
                }
            });
        }
    });
    address
}

/// Reads a request and returns its id, `None` if the connection has ended.
pub(crate) async fn read_request(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let (mut id, mut length) = (None, 0);
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("request-id:") {
            id = Some(value.trim().to_owned());
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap();
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(id.unwrap_or_default())
}

/// Starts a site whose first service has only the leaf at `address`, and waits until its nodes use the leaf. The leaf answers
/// requests with the id `probe` with 200. Each node has `connections` connections to it.
pub(crate) async fn start_site(
    address: SocketAddr,
    leaf: &str,
    nodes: usize,
    connections: usize,
) -> (Site, Vec<Node>) {
    let site = Site::start(1, nodes).await;
    for leaf in &site.shards[0] {
        site.store.delete(&leaf.key());
    }
    let entry = json!({
        "service": "s0", "address": address, "zone": "a", "config_version": "v1", "slots": 8,
        "state": "ready", "warmup_left_ms": 0, "sequence": 1,
    });
    site.store.put(&format!("servers/{leaf}"), &entry);
    let mut config = site.config(8);
    config["services"][0]["max_connections"] = json!(nodes * connections);
    site.store.put("op/config", &config);
    let nodes = site.nodes().await;
    for node in &nodes {
        wait_until("the node uses the leaf", async || {
            node.query("/one/x", "probe").await.status == 200
        })
        .await;
    }
    (site, nodes)
}
