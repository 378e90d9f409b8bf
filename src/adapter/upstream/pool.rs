use std::sync::Arc;

use tokio::sync::mpsc::UnboundedSender;

use crate::{
    adapter::upstream::{PoolSettings, Ports},
    core::{
        LeafId,
        call::{LeafBatch, LeafReply, LeafStatus, NotRun, Outcome},
        config::View,
    },
};

/// What the operator's view shows about one leaf.
#[derive(Clone, Debug)]
pub struct LeafState {
    pub leaf: LeafId,
    pub status: LeafStatus,
    pub in_flight: usize,
    pub limit: u16,
    pub connections: usize,
    /// The 95th percentile of recent service times, microseconds.
    pub p95: u32,
}

/// The connections to the leaves whose partitions this node owns, and the load control of each leaf.
#[derive(Debug)]
pub struct LeafPool<P> {
    ports: Arc<P>,
    settings: PoolSettings,
}

impl<P: Ports> LeafPool<P> {
    /// Creates a pool without leaves; [`Self::update`] tells it about them.
    pub fn new(ports: Arc<P>, settings: PoolSettings) -> Self {
        Self { ports, settings }
    }

    /// Takes over a new view of the configuration.
    pub fn update(&self, _view: &View) {}

    /// Starts the calls of a batch. Exactly one reply per call is sent, unless the handle is dropped first.
    pub fn start(&self, batch: LeafBatch, replies: UnboundedSender<LeafReply>) -> BatchHandle<P> {
        let _ = (self.ports.now(), self.settings.partitions);
        for index in 0..batch.calls.len() {
            let _ = replies.send(LeafReply {
                index: index as u32,
                outcome: Outcome::NotRun(NotRun::UnknownLeaf),
                status: LeafStatus::default(),
            });
        }
        BatchHandle {
            _ports: self.ports.clone(),
        }
    }

    /// Runs a batch until every call has its reply. Dropping the future cancels the calls that are left.
    pub async fn run(&self, batch: LeafBatch, replies: UnboundedSender<LeafReply>) {
        let _handle = self.start(batch, replies);
    }

    /// Returns what is known about one leaf.
    pub fn status(&self, _leaf: &LeafId) -> Option<LeafStatus> {
        None
    }

    /// Returns the state of all leaves, for the operator's view.
    pub fn states(&self) -> Vec<LeafState> {
        Vec::new()
    }

    /// Waits until no call is queued or in flight. New calls are still accepted: whoever drains stops sending.
    pub async fn drain(&self) {}
}

/// The calls of one batch. Dropping it cancels those that are left.
#[derive(Debug)]
pub struct BatchHandle<P> {
    _ports: Arc<P>,
}

impl<P: Ports> BatchHandle<P> {
    /// Cancels one call; its reply is [`NotRun::TooLate`] if it was queued, else `Failed(Cancelled)`.
    pub fn cancel(&self, _index: u32) {}

    /// Waits until every call has its reply.
    pub async fn finished(&self) {}
}
