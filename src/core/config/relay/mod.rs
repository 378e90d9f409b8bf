//! Dissemination of documents between nodes, and the reads of the configuration service.

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

/// Number of random peers to which a node passes a new document on. 4 reach 98% of the nodes; comparisons of
/// digests reach the rest.
pub const FANOUT: usize = 4;
/// Longest value or patch that is pushed; longer ones are announced and pulled, so that each node receives
/// them once.
pub const MAX_PUSH_BYTES: usize = 1_024;
/// Time after which a pull that was not answered goes to another node that offered the document.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);
/// Least time between two comparisons that a node starts.
const COMPARE_INTERVAL: Duration = Duration::from_millis(250);
/// Bytes of documents in one answer; the rest is pulled next.
const MAX_REPLY_BYTES: usize = 1 << 20;
/// Nodes remembered per document that offer it.
const MAX_SOURCES: usize = 4;
/// Values below this length are not worth a patch, bytes.
const MIN_PATCHED: usize = 256;
/// Bytes of all patches kept.
const MAX_PATCHES_BYTES: usize = 4 << 20;

/// A message between the relays of two nodes.
///
/// Messages above one datagram go over a stream; [`RelayMessage::size`] estimates the length.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RelayMessage {
    /// New documents that are small, or small changes of large ones.
    Push(Vec<Update>),
    /// Stamps of documents that the sender offers.
    Announce(Versions),
    /// Asks for the listed documents, as far as they are newer than the given stamps.
    Pull(Versions),
    /// The answer to a pull. An empty one says that the sender has nothing newer.
    Documents(Vec<Update>),
    /// The sender's digest, for a peer that is behind.
    Hello(Digest),
    /// Hashes of all buckets of keys, to find where two nodes differ.
    Compare(Box<[u32; store::BUCKETS]>),
    /// The answer to a comparison: the sender's stamps in the buckets that differ, which `mask` names.
    Offer { mask: u32, versions: Versions },
}

/// A document on its way to another node.
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
    /// Estimates the encoded length, bytes. The estimate is not too low.
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

/// Messages of a relay with the nodes they go to.
pub type RelayOutbox = Vec<(NodeId, RelayMessage)>;

/// Disseminates documents between nodes: push, announcement and pull, repair by digests.
#[derive(Debug)]
pub struct Relay {
    me: NodeId,
    pulls: BTreeMap<Arc<str>, Wanted>,
    patches: BTreeMap<Arc<str>, Patch>,
    patch_bytes: usize,
    compared: Option<Time>,
    sync: Sync,
}

/// A document that other nodes offer and that this node lacks.
#[derive(Debug)]
struct Wanted {
    stamp: Stamp,
    asked: Time,
    from: NodeId,
    others: SmallVec<[NodeId; MAX_SOURCES]>,
}

/// How far a node has come since its start in catching up with one peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sync {
    /// No peer has told its versions yet.
    Waiting,
    /// What a peer holds is being pulled.
    Pulling,
    Done,
}

impl Relay {
    /// Creates the relay of node `me`, which first catches up with a peer.
    pub fn new(me: NodeId) -> Self {
        Self {
            me,
            pulls: BTreeMap::new(),
            patches: BTreeMap::new(),
            patch_bytes: 0,
            compared: None,
            sync: Sync::Waiting,
        }
    }

    /// Returns whether the node holds all that one peer held after the node had started.
    pub fn is_synced(&self) -> bool {
        self.sync == Sync::Done
    }

    /// Passes documents that came into force on to random live peers, once. Call it with the result of every
    /// [`ConfigStore::apply`] of documents from the service; [`Relay::receive`] does it for those from peers.
    ///
    /// A node that has not caught up with a peer yet passes nothing on: what it learns is hardly new.
    pub fn forward(
        &mut self,
        applied: &ApplyResult,
        peers: &[NodeId],
        rng: &mut impl Rng,
        out: &mut RelayOutbox,
    ) {
        let mut pushes: Vec<Vec<Update>> = Vec::new();
        let mut offered = Versions::default();
        let mut room = 0;
        for (document, old) in applied.changed.iter().zip(&applied.replaced) {
            self.remember_patch(document, old.as_ref());
            let update = self.update_to(document, old.as_ref().map(Stamp::of));
            let size = update.size();
            if size > MAX_PUSH_BYTES {
                offered.0.insert(document.key.clone(), Stamp::of(document));
                continue;
            }
            match pushes.last_mut().filter(|_| size <= room) {
                Some(push) => push.push(update),
                None => {
                    pushes.push(vec![update]);
                    room = MAX_PUSH_BYTES;
                }
            }
            room = room.saturating_sub(size);
        }
        if !self.is_synced() {
            return;
        }
        for peer in self.pick(peers, rng) {
            let pushes = pushes.iter().cloned().map(RelayMessage::Push);
            out.extend(pushes.map(|push| (peer.clone(), push)));
            if !offered.0.is_empty() {
                out.push((peer.clone(), RelayMessage::Announce(offered.clone())));
            }
        }
    }

    /// Handles a message: applies documents to `store`, passes new ones on, and answers pulls and comparisons.
    #[expect(
        clippy::too_many_arguments,
        reason = "the node owns all of them apart from the relay"
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
                applied = self.take(now, from, updates, store, out);
                self.forward(&applied, peers, rng, out);
            }
            RelayMessage::Documents(updates) => {
                let some = !updates.is_empty();
                for update in &updates {
                    // An answer to an earlier pull may bring less than what is wanted by now.
                    let wanted = self.pulls.get(update.key());
                    if wanted.is_some_and(|wanted| wanted.stamp <= update.stamp()) {
                        self.pulls.remove(update.key());
                    }
                }
                applied = self.take(now, from, updates, store, out);
                self.forward(&applied, peers, rng, out);
                self.pull_rest(now, from, some, store, out);
            }
            RelayMessage::Announce(versions) => self.offered(now, from, versions, store, out),
            RelayMessage::Pull(versions) => {
                let documents = self.answer(store, &versions);
                out.push((from.clone(), RelayMessage::Documents(documents)));
            }
            RelayMessage::Hello(digest) => self.receive_digest(now, from, digest, store, out),
            RelayMessage::Compare(theirs) => {
                let pairs = store.buckets().into_iter().zip(*theirs).enumerate();
                let mask = pairs
                    .map(|(at, (mine, other))| u32::from(mine != other) << at)
                    .sum();
                let versions = store.versions_in(mask);
                out.push((from.clone(), RelayMessage::Offer { mask, versions }));
            }
            RelayMessage::Offer { mask, versions } => {
                let mine = store.versions_in(mask).0.into_iter();
                let newer = Versions(
                    mine.filter(|(key, mine)| *mine > versions.get(key))
                        .collect(),
                );
                if !newer.0.is_empty() {
                    out.push((from.clone(), RelayMessage::Announce(newer)));
                }
                let same = mask == 0 && store.digest() != Digest::default();
                let told = same || !versions.0.is_empty();
                self.offered(now, from, versions, store, out);
                if self.sync == Sync::Waiting && told {
                    self.sync = Sync::Pulling;
                }
            }
        }
        if self.sync == Sync::Pulling && self.pulls.is_empty() {
            self.sync = Sync::Done;
        }
        applied
    }

    /// Handles the digest that a probe, an answer to one or a lease message carried, and starts the repair if
    /// the two nodes differ.
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
                // Two nodes that both know nothing have not caught up.
                if self.sync == Sync::Waiting && digest != Digest::default() {
                    self.sync = Sync::Done;
                }
            }
            DigestOrder::Ahead => out.push((from.clone(), RelayMessage::Hello(store.digest()))),
            DigestOrder::Behind | DigestOrder::Diverged => self.compare(now, from, store, out),
        }
    }

    /// Sends pulls that were not answered to other nodes that offered the same document, and asks random peers
    /// for their versions until one has answered. Call it every 100 ms.
    pub fn tick(
        &mut self,
        now: Time,
        store: &ConfigStore,
        peers: &[NodeId],
        rng: &mut impl Rng,
        out: &mut RelayOutbox,
    ) {
        let mut again = BTreeMap::<NodeId, Versions>::new();
        let before = self.pulls.len();
        self.pulls.retain(|key, wanted| {
            if now.since(wanted.asked) < PULL_TIMEOUT {
                return true;
            }
            // Without another source the next comparison finds the document again.
            let Some(next) = wanted.others.pop() else {
                return false;
            };
            wanted.from = next.clone();
            wanted.asked = now;
            again
                .entry(next)
                .or_default()
                .0
                .insert(key.clone(), store.stamp(key));
            true
        });
        out.extend(
            again
                .into_iter()
                .map(|(peer, keys)| (peer, RelayMessage::Pull(keys))),
        );
        if self.sync == Sync::Pulling && self.pulls.len() < before {
            self.sync = Sync::Waiting;
        }
        if self.sync == Sync::Waiting {
            for peer in self.pick(peers, rng).into_iter().take(1) {
                self.compare(now, &peer, store, out);
            }
        }
    }

    /// Returns up to [`FANOUT`] random peers.
    fn pick(&self, peers: &[NodeId], rng: &mut impl Rng) -> SmallVec<[NodeId; FANOUT]> {
        let picked = index::sample(rng, peers.len(), FANOUT.min(peers.len())).into_iter();
        picked
            .map(|at| peers[at].clone())
            .filter(|peer| *peer != self.me)
            .collect()
    }

    /// Starts a comparison with a peer, unless one was started just now.
    fn compare(&mut self, now: Time, peer: &NodeId, store: &ConfigStore, out: &mut RelayOutbox) {
        if self
            .compared
            .is_none_or(|at| now.since(at) >= COMPARE_INTERVAL)
        {
            self.compared = Some(now);
            out.push((
                peer.clone(),
                RelayMessage::Compare(Box::new(store.buckets())),
            ));
        }
    }

    /// Applies documents and patches from a peer. Pulls those whose patch does not fit.
    fn take(
        &mut self,
        now: Time,
        from: &NodeId,
        updates: Vec<Update>,
        store: &mut ConfigStore,
        out: &mut RelayOutbox,
    ) -> ApplyResult {
        let mut documents = Vec::with_capacity(updates.len());
        let mut missed = Versions::default();
        for update in updates {
            match update {
                Update::Full(document) => documents.push(document),
                Update::Patch(patch) if store.accepts(&patch.key, patch.to) => {
                    match store.get(&patch.key).and_then(|old| patch.apply(old)) {
                        Some(document) => {
                            documents.push(document);
                            self.keep(patch);
                        }
                        None => drop(missed.0.insert(patch.key, patch.to)),
                    }
                }
                Update::Patch(_) => {}
            }
        }
        let applied = store.apply(now, documents);
        self.pulls
            .retain(|key, wanted| store.accepts(key, wanted.stamp));
        self.request(now, from, missed, |_| Stamp::default(), store, out);
        applied
    }

    /// Pulls what a peer offers and this node lacks, unless another node was asked for it just now.
    fn offered(
        &mut self,
        now: Time,
        from: &NodeId,
        versions: Versions,
        store: &ConfigStore,
        out: &mut RelayOutbox,
    ) {
        self.request(now, from, versions, |key| store.stamp(key), store, out);
    }

    /// As [`Relay::offered`], where `known` tells which value a patch may start from.
    fn request(
        &mut self,
        now: Time,
        from: &NodeId,
        versions: Versions,
        known: impl Fn(&str) -> Stamp,
        store: &ConfigStore,
        out: &mut RelayOutbox,
    ) {
        let mut ask = Versions::default();
        for (key, stamp) in versions.0 {
            if !store.accepts(&key, stamp) {
                continue;
            }
            let room = self.pulls.len() < MAX_KEYS;
            match self.pulls.entry(key) {
                Entry::Occupied(mut entry) => {
                    let wanted = entry.get_mut();
                    if stamp > wanted.stamp {
                        wanted.others.clear();
                        wanted.stamp = stamp;
                    }
                    if now.since(wanted.asked) >= PULL_TIMEOUT {
                        wanted.asked = now;
                        wanted.from = from.clone();
                        ask.0.insert(entry.key().clone(), known(entry.key()));
                    } else if stamp == wanted.stamp && wanted.others.len() < MAX_SOURCES {
                        wanted.others.push(from.clone());
                    }
                }
                Entry::Vacant(entry) if room => {
                    ask.0.insert(entry.key().clone(), known(entry.key()));
                    entry.insert(Wanted {
                        stamp,
                        asked: now,
                        from: from.clone(),
                        others: SmallVec::new(),
                    });
                }
                Entry::Vacant(_) => {}
            }
        }
        if !ask.0.is_empty() {
            out.push((from.clone(), RelayMessage::Pull(ask)));
        }
    }

    /// After an answer to a pull: pulls what did not fit into it. An empty answer makes all pulls from that
    /// peer due for another source.
    fn pull_rest(
        &mut self,
        now: Time,
        from: &NodeId,
        some: bool,
        store: &ConfigStore,
        out: &mut RelayOutbox,
    ) {
        let mut rest = Versions::default();
        for (key, wanted) in self
            .pulls
            .iter_mut()
            .filter(|(_, wanted)| wanted.from == *from)
        {
            if some {
                wanted.asked = now;
                rest.0.insert(key.clone(), store.stamp(key));
            } else {
                wanted.asked = Time(0);
            }
        }
        if !rest.0.is_empty() {
            out.push((from.clone(), RelayMessage::Pull(rest)));
        }
    }

    /// Returns what answers a pull, bounded in bytes but at least one document.
    fn answer(&self, store: &ConfigStore, versions: &Versions) -> Vec<Update> {
        let mut bytes = 0;
        let newer = versions
            .0
            .iter()
            .filter(|(key, stamp)| store.stamp(key) > **stamp);
        let updates = newer.filter_map(|(key, stamp)| {
            store
                .get(key)
                .map(|document| self.update_to(document, Some(*stamp)))
        });
        updates
            .take_while(|update| {
                let first = bytes == 0;
                bytes += update.size();
                first || bytes <= MAX_REPLY_BYTES
            })
            .collect()
    }

    /// Returns the shortest form in which a document can be sent to a node that holds `old`.
    fn update_to(&self, document: &Document, old: Option<Stamp>) -> Update {
        let patch = self.patches.get(&document.key);
        match patch.filter(|patch| Some(patch.from) == old && patch.to == Stamp::of(document)) {
            Some(patch) => Update::Patch(patch.clone()),
            None => Update::Full(document.clone()),
        }
    }

    /// Computes the patch that leads to a new document, unless it came as a patch.
    fn remember_patch(&mut self, document: &Document, old: Option<&Document>) {
        let long = document
            .value
            .as_ref()
            .is_some_and(|text| text.len() >= MIN_PATCHED);
        let known = self.patches.get(&document.key).map(|patch| patch.to);
        if known == Some(Stamp::of(document)) {
            return;
        }
        match old
            .filter(|_| long)
            .and_then(|old| Patch::between(old, document))
        {
            Some(patch) => self.keep(patch),
            None => self.forget(&document.key),
        }
    }

    fn keep(&mut self, patch: Patch) {
        self.forget(&patch.key);
        if self.patch_bytes + patch.size() > MAX_PATCHES_BYTES {
            self.patches.clear();
            self.patch_bytes = 0;
        }
        self.patch_bytes += patch.size();
        self.patches.insert(patch.key.clone(), patch);
    }

    fn forget(&mut self, key: &str) {
        if let Some(patch) = self.patches.remove(key) {
            self.patch_bytes -= patch.size();
        }
    }
}
