//! Distribution of documents between nodes, and pacing of reads from the configuration service.

mod pacer;
mod patch;

use std::{
    collections::{BTreeMap, btree_map::Entry},
    sync::Arc,
    time::Duration,
};

use rand::{Rng, seq::index};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::{
    ApplyResult, ConfigStore, Digest, DigestOrder, Document, MAX_KEYS, Stamp, Versions, store,
};
use crate::core::{NodeId, Time};

pub use self::{
    pacer::{
        ISOLATION_TIMEOUT, ReadPacer, ReadRequest, ReadRole, is_isolated, is_reader,
        may_become_ready, read_role,
    },
    patch::Patch,
};

/// Number of random peers to which a node forwards a new document. With 4, pushes reach 98% of the nodes;
/// the rest is repaired by comparisons of digests.
pub const FANOUT: usize = 4;
/// Maximum size of a pushed document or patch, in bytes. Larger ones are announced and pulled, so that each node
/// receives them once.
pub const MAX_PUSH_BYTES: usize = 1_024;
/// Time after which an unanswered pull is sent to another node that offered the document.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum time between two comparisons started by a node.
const MIN_COMPARE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum size of the documents in one reply, in bytes; the rest is pulled next.
const MAX_REPLY_BYTES: usize = 1 << 20;
/// Maximum number of alternative sources stored per pending pull.
const MAX_OTHER_SOURCES: usize = 4;
/// Minimum length of a value for which a patch is computed, in bytes.
const MIN_PATCHED_BYTES: usize = 256;
/// Maximum size of all stored patches, in bytes.
const MAX_STORED_PATCH_BYTES: usize = 4 << 20;

/// A message between the relays of two nodes.
///
/// Messages that exceed one datagram are sent over a stream; [`RelayMessage::size`] estimates the length.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RelayMessage {
    /// Small new documents, or small patches to large ones.
    Push(Vec<Update>),
    /// Stamps of documents that the receiver may pull from the sender.
    Announce(Versions),
    /// Requests those of the listed documents that are newer than the given stamps.
    Pull(Versions),
    /// The reply to a pull; empty if the sender has nothing newer.
    Documents(Vec<Update>),
    /// Digest of the sender, sent to a peer that is behind.
    Hello(Digest),
    /// Hashes of all buckets of keys, to find the buckets in which two nodes differ.
    Compare(Box<[u32; store::BUCKETS]>),
    /// The reply to a comparison: the sender's stamps in the buckets that differ, which are set in `mask`.
    Offer { mask: u32, versions: Versions },
}

/// A document as sent to another node: the full value, or a patch to the value that the
/// receiver holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Update {
    Full(Document),
    Patch(Patch),
}

impl Update {
    fn key(&self) -> &Arc<str> {
        match self {
            Update::Full(document) => &document.key,
            Update::Patch(patch) => &patch.key,
        }
    }

    fn stamp(&self) -> Stamp {
        match self {
            Update::Full(document) => Stamp::of(document),
            Update::Patch(patch) => patch.to,
        }
    }

    fn size(&self) -> usize {
        match self {
            Update::Full(document) => {
                document.key.len() + 16 + document.value.as_ref().map_or(0, |text| text.len())
            }
            Update::Patch(patch) => 1 + patch.size(),
        }
    }
}

impl RelayMessage {
    /// Estimates the encoded length, in bytes. The estimate is never too low.
    pub fn size(&self) -> usize {
        match self {
            RelayMessage::Push(updates) | RelayMessage::Documents(updates) => {
                4 + updates.iter().map(Update::size).sum::<usize>()
            }
            RelayMessage::Announce(versions)
            | RelayMessage::Pull(versions)
            | RelayMessage::Offer { versions, .. } => {
                10 + versions.0.keys().map(|key| key.len() + 15).sum::<usize>()
            }
            RelayMessage::Hello(_) => 51,
            RelayMessage::Compare(_) => 1 + 5 * store::BUCKETS,
        }
    }
}

/// Messages of a relay with their receivers.
pub type RelayOutbox = Vec<(NodeId, RelayMessage)>;

/// Distributes documents between nodes by push, by announcement and pull, and by anti-entropy repair with digests.
#[derive(Debug)]
pub struct Relay {
    own_id: NodeId,
    pulls: BTreeMap<Arc<str>, PendingPull>,
    patches: BTreeMap<Arc<str>, Patch>,
    patch_bytes: usize,
    last_compare: Option<Time>,
    phase: SyncPhase,
}

/// A pull of a document that other nodes offer and that this node lacks.
#[derive(Debug)]
struct PendingPull {
    stamp: Stamp,
    sent_at: Time,
    source: NodeId,
    other_sources: SmallVec<[NodeId; MAX_OTHER_SOURCES]>,
}

/// Progress of the initial sync of a node with one peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SyncPhase {
    /// No peer has sent its versions yet.
    Waiting,
    /// Documents of a peer are being pulled.
    Pulling,
    Done,
}

impl Relay {
    /// Creates the relay of the node `own_id`, which first syncs with one peer.
    pub fn new(own_id: NodeId) -> Self {
        Self {
            own_id,
            pulls: BTreeMap::new(),
            patches: BTreeMap::new(),
            patch_bytes: 0,
            last_compare: None,
            phase: SyncPhase::Waiting,
        }
    }

    /// Returns whether the node holds everything that one peer held after the start of the node.
    pub fn is_synced(&self) -> bool {
        self.phase == SyncPhase::Done
    }

    /// Forwards newly active documents to random live peers, once. Must be called with the result of every
    /// [`ConfigStore::apply`] of documents from the service; [`Relay::receive`] calls it for those from peers.
    ///
    /// A node that has not synced with a peer yet forwards nothing, because the documents it receives are rarely
    /// new to its peers.
    pub fn forward(
        &mut self,
        applied: &ApplyResult,
        peers: &[NodeId],
        rng: &mut impl Rng,
        out: &mut RelayOutbox,
    ) {
        let mut pushes: Vec<Vec<Update>> = Vec::new();
        let mut announced = Versions::default();
        let mut remaining = 0;
        for (document, old) in applied.changed.iter().zip(&applied.replaced) {
            self.record_patch(document, old.as_ref());
            let update = self.update_from(document, old.as_ref().map(Stamp::of));
            let size = update.size();
            if size > MAX_PUSH_BYTES {
                announced
                    .0
                    .insert(document.key.clone(), Stamp::of(document));
                continue;
            }
            match pushes.last_mut().filter(|_| size <= remaining) {
                Some(push) => push.push(update),
                None => {
                    pushes.push(vec![update]);
                    remaining = MAX_PUSH_BYTES;
                }
            }
            remaining = remaining.saturating_sub(size);
        }
        if !self.is_synced() {
            return;
        }
        for peer in self.sample_peers(peers, rng) {
            let pushes = pushes.iter().cloned().map(RelayMessage::Push);
            out.extend(pushes.map(|push| (peer.clone(), push)));
            if !announced.0.is_empty() {
                out.push((peer.clone(), RelayMessage::Announce(announced.clone())));
            }
        }
    }

    /// Handles a message: applies documents to `store`, forwards new ones, and replies to pulls and comparisons.
    #[expect(
        clippy::too_many_arguments,
        reason = "the node owns them separately from the relay"
    )]
    pub fn receive(
        &mut self,
        now: Time,
        from: &NodeId,
        message: RelayMessage,
        store: &mut ConfigStore,
        peers: &[NodeId],
        rng: &mut impl Rng,
        out: &mut RelayOutbox,
    ) -> ApplyResult {
        let mut applied = ApplyResult::default();
        match message {
            RelayMessage::Push(updates) => {
                applied = self.apply_updates(now, from, updates, store, out);
                self.forward(&applied, peers, rng, out);
            }
            RelayMessage::Documents(updates) => {
                let nonempty = !updates.is_empty();
                for update in &updates {
                    // A reply to an earlier pull may contain an older version than the one now pending.
                    let pull = self.pulls.get(update.key());
                    if pull.is_some_and(|pull| pull.stamp <= update.stamp()) {
                        self.pulls.remove(update.key());
                    }
                }
                applied = self.apply_updates(now, from, updates, store, out);
                self.forward(&applied, peers, rng, out);
                self.pull_remaining(now, from, nonempty, store, out);
            }
            RelayMessage::Announce(versions) => self.pull_newer(now, from, versions, store, out),
            RelayMessage::Pull(versions) => {
                let documents = self.reply_to_pull(store, &versions);
                out.push((from.clone(), RelayMessage::Documents(documents)));
            }
            RelayMessage::Hello(digest) => self.receive_digest(now, from, digest, store, out),
            RelayMessage::Compare(hashes) => {
                let pairs = store.buckets().into_iter().zip(*hashes).enumerate();
                let mask = pairs
                    .map(|(index, (own, other))| u32::from(own != other) << index)
                    .sum();
                let versions = store.versions_in(mask);
                out.push((from.clone(), RelayMessage::Offer { mask, versions }));
            }
            RelayMessage::Offer { mask, versions } => {
                let own = store.versions_in(mask).0.into_iter();
                let newer = Versions(
                    own.filter(|(key, stamp)| *stamp > versions.get(key))
                        .collect(),
                );
                if !newer.0.is_empty() {
                    out.push((from.clone(), RelayMessage::Announce(newer)));
                }
                let same = mask == 0 && store.digest() != Digest::default();
                let peer_answered = same || !versions.0.is_empty();
                self.pull_newer(now, from, versions, store, out);
                if self.phase == SyncPhase::Waiting && peer_answered {
                    self.phase = SyncPhase::Pulling;
                }
            }
        }
        if self.phase == SyncPhase::Pulling && self.pulls.is_empty() {
            self.phase = SyncPhase::Done;
        }
        applied
    }

    /// Handles the digest of a probe, a reply to a probe or a lease message, and starts a repair if the two nodes
    /// differ.
    pub fn receive_digest(
        &mut self,
        now: Time,
        from: &NodeId,
        digest: Digest,
        store: &ConfigStore,
        out: &mut RelayOutbox,
    ) {
        match store.digest().compare(&digest) {
            DigestOrder::Equal => {
                // Equal digests of two empty stores do not complete the sync.
                if self.phase == SyncPhase::Waiting && digest != Digest::default() {
                    self.phase = SyncPhase::Done;
                }
            }
            DigestOrder::Ahead => out.push((from.clone(), RelayMessage::Hello(store.digest()))),
            DigestOrder::Behind | DigestOrder::Diverged => self.compare(now, from, store, out),
        }
    }

    /// Retries unanswered pulls at other nodes that offered the same document. Until the first sync with a peer, also
    /// requests the versions of random peers. Must be called every 100 ms.
    pub fn tick(
        &mut self,
        now: Time,
        store: &ConfigStore,
        peers: &[NodeId],
        rng: &mut impl Rng,
        out: &mut RelayOutbox,
    ) {
        let mut retries = BTreeMap::<NodeId, Versions>::new();
        let before = self.pulls.len();
        self.pulls.retain(|key, pull| {
            if now.since(pull.sent_at) < PULL_TIMEOUT {
                return true;
            }
            // If there is no other source, the next comparison finds the document again.
            let Some(next) = pull.other_sources.pop() else {
                return false;
            };
            pull.source = next.clone();
            pull.sent_at = now;
            retries
                .entry(next)
                .or_default()
                .0
                .insert(key.clone(), store.stamp(key));
            true
        });
        out.extend(
            retries
                .into_iter()
                .map(|(peer, keys)| (peer, RelayMessage::Pull(keys))),
        );
        if self.phase == SyncPhase::Pulling && self.pulls.len() < before {
            self.phase = SyncPhase::Waiting;
        }
        if self.phase == SyncPhase::Waiting {
            for peer in self.sample_peers(peers, rng).into_iter().take(1) {
                self.compare(now, &peer, store, out);
            }
        }
    }

    /// Returns up to [`FANOUT`] random peers, without this node.
    fn sample_peers(&self, peers: &[NodeId], rng: &mut impl Rng) -> SmallVec<[NodeId; FANOUT]> {
        let indexes = index::sample(rng, peers.len(), FANOUT.min(peers.len())).into_iter();
        indexes
            .map(|index| peers[index].clone())
            .filter(|peer| *peer != self.own_id)
            .collect()
    }

    /// Starts a comparison with a peer, unless one was started within [`MIN_COMPARE_INTERVAL`].
    fn compare(&mut self, now: Time, peer: &NodeId, store: &ConfigStore, out: &mut RelayOutbox) {
        if self
            .last_compare
            .is_none_or(|at| now.since(at) >= MIN_COMPARE_INTERVAL)
        {
            self.last_compare = Some(now);
            out.push((
                peer.clone(),
                RelayMessage::Compare(Box::new(store.buckets())),
            ));
        }
    }

    /// Applies documents and patches from a peer, and pulls the documents whose patch does not apply.
    fn apply_updates(
        &mut self,
        now: Time,
        from: &NodeId,
        updates: Vec<Update>,
        store: &mut ConfigStore,
        out: &mut RelayOutbox,
    ) -> ApplyResult {
        let mut documents = Vec::with_capacity(updates.len());
        let mut unpatched = Versions::default();
        for update in updates {
            match update {
                Update::Full(document) => documents.push(document),
                Update::Patch(patch) if store.accepts(&patch.key, patch.to) => {
                    match store.get(&patch.key).and_then(|old| patch.apply(old)) {
                        Some(document) => {
                            documents.push(document);
                            self.store_patch(patch);
                        }
                        None => drop(unpatched.0.insert(patch.key, patch.to)),
                    }
                }
                Update::Patch(_) => {}
            }
        }
        let applied = store.apply(now, documents);
        self.pulls
            .retain(|key, pull| store.accepts(key, pull.stamp));
        self.request_documents(now, from, unpatched, |_| Stamp::default(), store, out);
        applied
    }

    /// Pulls the documents that a peer offers and this node lacks, unless a pull from another node is pending.
    fn pull_newer(
        &mut self,
        now: Time,
        from: &NodeId,
        versions: Versions,
        store: &ConfigStore,
        out: &mut RelayOutbox,
    ) {
        self.request_documents(now, from, versions, |key| store.stamp(key), store, out);
    }

    /// As [`Relay::pull_newer`], where `base` returns the stamp of the value to which a patch may apply.
    fn request_documents(
        &mut self,
        now: Time,
        from: &NodeId,
        versions: Versions,
        base: impl Fn(&str) -> Stamp,
        store: &ConfigStore,
        out: &mut RelayOutbox,
    ) {
        let mut requested = Versions::default();
        for (key, stamp) in versions.0 {
            if !store.accepts(&key, stamp) {
                continue;
            }
            let has_room = self.pulls.len() < MAX_KEYS;
            match self.pulls.entry(key) {
                Entry::Occupied(mut entry) => {
                    let pull = entry.get_mut();
                    if stamp > pull.stamp {
                        pull.other_sources.clear();
                        pull.stamp = stamp;
                    }
                    if now.since(pull.sent_at) >= PULL_TIMEOUT {
                        pull.sent_at = now;
                        pull.source = from.clone();
                        requested.0.insert(entry.key().clone(), base(entry.key()));
                    } else if stamp == pull.stamp && pull.other_sources.len() < MAX_OTHER_SOURCES {
                        pull.other_sources.push(from.clone());
                    }
                }
                Entry::Vacant(entry) if has_room => {
                    requested.0.insert(entry.key().clone(), base(entry.key()));
                    entry.insert(PendingPull {
                        stamp,
                        sent_at: now,
                        source: from.clone(),
                        other_sources: SmallVec::new(),
                    });
                }
                Entry::Vacant(_) => {}
            }
        }
        if !requested.0.is_empty() {
            out.push((from.clone(), RelayMessage::Pull(requested)));
        }
    }

    /// Pulls the documents that did not fit into a reply. An empty reply makes all pulls from that peer time out, so
    /// that they are retried at another source.
    fn pull_remaining(
        &mut self,
        now: Time,
        from: &NodeId,
        nonempty: bool,
        store: &ConfigStore,
        out: &mut RelayOutbox,
    ) {
        let mut remaining = Versions::default();
        for (key, pull) in self
            .pulls
            .iter_mut()
            .filter(|(_, pull)| pull.source == *from)
        {
            if nonempty {
                pull.sent_at = now;
                remaining.0.insert(key.clone(), store.stamp(key));
            } else {
                pull.sent_at = Time(0);
            }
        }
        if !remaining.0.is_empty() {
            out.push((from.clone(), RelayMessage::Pull(remaining)));
        }
    }

    /// Returns the reply to a pull: at most [`MAX_REPLY_BYTES`], but at least one document if any is newer.
    fn reply_to_pull(&self, store: &ConfigStore, versions: &Versions) -> Vec<Update> {
        let mut bytes = 0;
        let newer = versions
            .0
            .iter()
            .filter(|(key, stamp)| store.stamp(key) > **stamp);
        let updates = newer.filter_map(|(key, stamp)| {
            store
                .get(key)
                .map(|document| self.update_from(document, Some(*stamp)))
        });
        updates
            .take_while(|update| {
                let first = bytes == 0;
                bytes += update.size();
                first || bytes <= MAX_REPLY_BYTES
            })
            .collect()
    }

    /// Returns a document as a patch if one applies to `old`, which the receiver holds, and in full otherwise.
    fn update_from(&self, document: &Document, old: Option<Stamp>) -> Update {
        let patch = self.patches.get(&document.key);
        match patch.filter(|patch| Some(patch.from) == old && patch.to == Stamp::of(document)) {
            Some(patch) => Update::Patch(patch.clone()),
            None => Update::Full(document.clone()),
        }
    }

    /// Computes and stores the patch to a new document, unless the document was received as a patch.
    fn record_patch(&mut self, document: &Document, old: Option<&Document>) {
        let long = document
            .value
            .as_ref()
            .is_some_and(|text| text.len() >= MIN_PATCHED_BYTES);
        let stored = self.patches.get(&document.key).map(|patch| patch.to);
        if stored == Some(Stamp::of(document)) {
            return;
        }
        match old
            .filter(|_| long)
            .and_then(|old| Patch::between(old, document))
        {
            Some(patch) => self.store_patch(patch),
            None => self.remove_patch(&document.key),
        }
    }

    fn store_patch(&mut self, patch: Patch) {
        self.remove_patch(&patch.key);
        if self.patch_bytes + patch.size() > MAX_STORED_PATCH_BYTES {
            self.patches.clear();
            self.patch_bytes = 0;
        }
        self.patch_bytes += patch.size();
        self.patches.insert(patch.key.clone(), patch);
    }

    fn remove_patch(&mut self, key: &str) {
        if let Some(patch) = self.patches.remove(key) {
            self.patch_bytes -= patch.size();
        }
    }
}
