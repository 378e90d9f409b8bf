//! Exchanges between the peer transports of two nodes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cranberrychute::{
    adapter::peer::{Identity, OnceForward, OnceReply, PeerHandler, PeerTransport},
    core::{
        FleetKey, Incarnation, NodeId, RequestId, ServiceName,
        call::{LeafBatch, LeafReply},
        config::{Document, Versions, relay::RelayMessage},
    },
};
use tokio::{
    sync::{Notify, mpsc},
    time::{sleep, timeout},
};

/// Size of an answer that takes several round trips to write.
const ANSWER_BYTES: usize = 2 << 20;
/// Time in which an answer must arrive. It only stops a test that would hang.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Answers at-most-once requests with [`ANSWER_BYTES`] bytes.
struct Issuer {
    answered: Notify,
}

impl PeerHandler for Issuer {
    async fn batch(
        &self,
        _: NodeId,
        _: LeafBatch,
        _: mpsc::Sender<LeafReply>,
        _: mpsc::Receiver<u32>,
    ) {
    }

    async fn once(&self, _: NodeId, _: OnceForward) -> OnceReply {
        self.answered.notify_one();
        OnceReply {
            status: 200,
            body: vec![7; ANSWER_BYTES].into(),
        }
    }

    fn fetch(&self, _: Versions) -> Vec<Document> {
        Vec::new()
    }

    async fn relay(&self, _: NodeId, _: RelayMessage) {}
}

fn bind(node: &str) -> Arc<PeerTransport> {
    let identity = Identity {
        node: NodeId::from(node),
        incarnation: Incarnation(1),
        key: FleetKey::new([1; 32]),
    };
    PeerTransport::bind(SocketAddr::from(([127, 0, 0, 1], 0)), identity).unwrap()
}

/// Guards against a transport that closes its connections while peers still receive answers.
#[tokio::test(flavor = "multi_thread")]
async fn closing_waits_until_peers_have_their_answers() {
    for delay in [0, 1, 5] {
        let (issuer, entry) = (bind("issuer"), bind("entry"));
        let handler = Arc::new(Issuer {
            answered: Notify::new(),
        });
        tokio::spawn(issuer.clone().serve(handler.clone()));
        let address = issuer.local_addr().unwrap();
        let forward = OnceForward {
            request: RequestId::from("r"),
            service: ServiceName::from("parts"),
            key: "key".into(),
            body: b"{}".as_slice().into(),
            budget: 1_000_000,
            trace: None,
        };
        let closing = async {
            handler.answered.notified().await;
            sleep(Duration::from_millis(delay)).await;
            issuer.close().await;
        };
        let node = NodeId::from("issuer");
        let exchange = timeout(ANSWER_TIMEOUT, entry.once(&node, address, forward));
        let (reply, ()) = tokio::join!(exchange, closing);
        let reply = reply.unwrap();
        assert!(
            reply
                .as_ref()
                .is_ok_and(|reply| reply.body.len() == ANSWER_BYTES),
            "closed {delay} ms after the answer: {}",
            reply.unwrap_err()
        );
    }
}
