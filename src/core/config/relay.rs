use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rand::Rng;
use serde::{Deserialize, Serialize};

use super::{Applied, ConfigStore, Digest, Document, Versions};
use crate::core::{Domain, NodeId, Time};

/// A message between the relays of two nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RelayMessage {
    /// Documents in full, pushed when small or sent as the answer to [`RelayMessage::Pull`].
    Documents(Vec<Document>),
    /// Versions that the sender has in force and offers.
    Announce(Versions),
    /// Asks for documents newer than the given versions, of the listed keys only.
    Pull(Versions),
    /// All versions of the sender; the answer is the documents it lacks and a pull of those it is ahead on.
    Compare(Versions),
    /// The sender's digest, for a peer that may be behind or ahead.
    Hello(Digest),
}

/// Disseminates documents between nodes: push, announce and pull, repair by digests.
#[derive(Debug)]
pub struct Relay {
    me: NodeId,
    pulls: BTreeMap<Arc<str>, Time>,
}

impl Relay {
    /// Creates the relay of node `me`.
    pub fn new(me: NodeId) -> Self {
        Self {
            me,
            pulls: BTreeMap::new(),
        }
    }

    /// Passes documents that came into force on to random peers. Call it with the result of every
    /// [`ConfigStore::apply`] on documents from the service.
    pub fn learned(
        &mut self,
        _now: Time,
        _changed: &[Document],
        _peers: &[NodeId],
        _rng: &mut impl Rng,
        _out: &mut Vec<(NodeId, RelayMessage)>,
    ) {
        debug_assert!(!self.me.as_str().is_empty());
        self.pulls.clear();
    }

    /// Handles a message: applies documents to `store`, relays what is new and answers pulls.
    #[allow(clippy::too_many_arguments)]
    pub fn receive(
        &mut self,
        _now: Time,
        _from: &NodeId,
        _message: RelayMessage,
        _store: &mut ConfigStore,
        _peers: &[NodeId],
        _rng: &mut impl Rng,
        _out: &mut Vec<(NodeId, RelayMessage)>,
    ) -> Applied {
        Applied::default()
    }

    /// Handles the digest that a probe, an answer to one or a lease message carried.
    pub fn digest_seen(
        &mut self,
        _now: Time,
        _from: &NodeId,
        _digest: Digest,
        _store: &ConfigStore,
        _out: &mut Vec<(NodeId, RelayMessage)>,
    ) {
    }
}

/// Returns whether `me` reads and watches the service at the full rate.
pub fn is_reader<'a>(
    me: &NodeId,
    live: impl IntoIterator<Item = (&'a NodeId, &'a Domain)>,
) -> bool {
    live.into_iter().any(|(node, _)| node == me)
}

/// What a node does next towards the configuration service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadStep {
    /// Read everything now (`after=0`).
    ReadAll,
    /// Watch from this revision, for at most this long.
    Watch { after: u64, wait: Duration },
    /// Nothing before this time.
    Idle(Time),
}

/// Paces the reads of one node: re-reads, watches, retries.
#[derive(Debug)]
pub struct ReadPacer {
    contact: Option<Time>,
}

impl ReadPacer {
    /// Creates the pacer of a node that starts now.
    pub fn new(_now: Time) -> Self {
        Self { contact: None }
    }

    /// Returns the time of the last answer of the service.
    pub fn last_contact(&self) -> Option<Time> {
        self.contact
    }
}

/// Returns whether a node must stop taking new queries because it cannot know what operators have changed:
/// neither the service nor a majority of the listed nodes was heard within the last 4 s.
///
/// `heard` counts the listed nodes heard within 4 s, without this node; `listed` counts all listed nodes.
pub fn isolated(now: Time, contact: Option<Time>, heard: usize, listed: usize) -> bool {
    let served = contact.is_some_and(|at| now.since(at) < ISOLATION_LIMIT);
    !served && (listed == 0 || (heard + 1) * 2 <= listed)
}

/// Time without the service and without a majority after which a node counts as isolated.
pub const ISOLATION_LIMIT: Duration = Duration::from_secs(4);
