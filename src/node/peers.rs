use std::sync::Arc;

use tokio::sync::mpsc;

use super::Node;
use crate::{
    adapter::peer::{OnceForward, OnceReply, PeerHandler},
    core::{
        NodeId,
        call::{LeafBatch, LeafReply},
        config::{Document, Versions, relay::RelayMessage},
    },
};

/// Serves requests of other nodes: runs leaf calls as the owner of the leaves, and forwarded at-most-once requests as
/// the issuer of their keys.
#[derive(Debug)]
pub(super) struct Peers(pub(super) Arc<Node>);

impl PeerHandler for Peers {
    async fn batch(
        &self,
        _from: NodeId,
        batch: LeafBatch,
        replies: mpsc::Sender<LeafReply>,
        cancels: mpsc::Receiver<u32>,
    ) {
        self.0.run_batch(batch, replies, cancels).await;
    }

    async fn once(&self, from: NodeId, request: OnceForward) -> OnceReply {
        self.0.serve_forwarded(from, request).await
    }

    fn fetch(&self, versions: Versions) -> Vec<Document> {
        let config = self.0.config.lock().expect("no panic while locked");
        config.store.newer_than(&versions)
    }

    async fn relay(&self, from: NodeId, message: RelayMessage) {
        let mut out = Vec::new();
        self.0.relay(&from, message, &mut out);
        self.0.send_all(out).await;
    }
}
