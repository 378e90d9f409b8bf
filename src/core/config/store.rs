use std::{
    collections::{BTreeMap, BTreeSet, btree_map::Entry},
    ops::Bound,
    sync::Arc,
};

use smallvec::SmallVec;

use super::{
    ConfigView, Digest, Document, DocumentKind, DomainList, Fault, LeafInfo, MapPart,
    ParsedDocument, Rejection, ServiceMap, Shard, Snapshot, SnapshotState, Stamp, Versions,
    document_kind, parse::check_deletion, parse_document, table::truncate,
};
use crate::core::{
    LeafId, ServiceName, ShardId, SnapshotId, Time,
    invariant::{self, Invariant},
};

/// Maximum version of a document. The sum of the versions of all keys fits into 64 bits, and versions may count
/// microseconds since 1970.
pub const MAX_VERSION: u64 = 1 << 51;
/// Maximum number of keys in a store, deleted keys included. Deletions are kept, because otherwise an older value
/// could reappear.
pub const MAX_KEYS: usize = 4_096;
/// Maximum size of all documents in a store, in bytes. It keeps their text and parsed form within the memory
/// budget of 128 MB of a node.
pub const MAX_STORE_BYTES: usize = 32 << 20;
/// Maximum length of a key that is stored untruncated with a rejection, in bytes. Valid keys are shorter.
const MAX_KEY_BYTES: usize = 256;
/// Maximum number of keys with a stored rejection. Rejections of further keys are reported at each read.
const MAX_REJECTED_KEYS: usize = 256;
/// Number of buckets of keys. Two nodes compare the hashes of the buckets to find the keys in which they differ.
pub(super) const BUCKETS: usize = 32;

/// The result of applying documents to a [`ConfigStore`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ApplyResult {
    /// Documents that became active, for the relay to forward.
    pub changed: Vec<Document>,
    /// Documents that `changed` replaced, in the same order.
    pub replaced: Vec<Option<Document>>,
    /// Newly rejected documents; each version is reported once.
    pub rejected: Vec<Rejection>,
}

/// The active configuration of a node: the valid value of each key with the highest [`Stamp`] received.
///
/// The result does not depend on the order in which values arrive, so nodes that have received the same values
/// hold the same configuration.
#[derive(Debug, Default)]
pub struct ConfigStore {
    entries: BTreeMap<Arc<str>, ActiveDocument>,
    rejected: BTreeMap<Arc<str>, RejectedDocument>,
    view: Arc<ConfigView>,
    digest: Digest,
    buckets: [u32; BUCKETS],
    bytes: usize,
    changed_at: Time,
}

#[derive(Debug)]
struct RejectedDocument {
    stamp: Stamp,
    rejection: Rejection,
    /// Rejected because the store was full; the value may become active once there is room.
    store_full: bool,
}

/// Why a document cannot become active.
enum ApplyError {
    Invalid(Vec<Fault>),
    StoreFull(Fault),
}

#[derive(Debug)]
struct ActiveDocument {
    document: Document,
    stamp: Stamp,
    /// Set for maps only: the view holds the merged map, so its parts are kept here.
    part: Option<Arc<MapPart>>,
}

impl ConfigStore {
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges documents by version. Newer documents become active and older ones are ignored. A document that is
    /// not valid is rejected as a whole, and the previous value stays active.
    pub fn apply(&mut self, now: Time, documents: Vec<Document>) -> ApplyResult {
        let mut applied = ApplyResult::default();
        let mut services = BTreeSet::new();
        let mut view = None;
        for document in documents {
            let stamp = Stamp::of(&document);
            let store_full = self
                .rejected
                .get(&document.key)
                .is_some_and(|rejected| rejected.store_full);
            let newer = stamp > self.stamp(&document.key);
            if !newer || !store_full && !self.accepts(&document.key, stamp) {
                continue;
            }
            let parsed = match self.validate(&document) {
                Ok(parsed) => parsed,
                Err(error) => {
                    applied
                        .rejected
                        .extend(self.reject(&document, stamp, error));
                    continue;
                }
            };
            let Ok((kind, service)) = document_kind(&document.key) else {
                continue;
            };
            let Some(old) = self.replace(&document, kind, stamp, &parsed) else {
                continue;
            };
            let view = view.get_or_insert_with(|| (*self.view).clone());
            match (kind, service) {
                (DocumentKind::Map, Some(service)) => drop(services.insert(service)),
                (_, service) => update_view(view, service, &document, parsed),
            }
            applied.changed.push(document);
            applied.replaced.push(old);
        }
        if let Some(mut view) = view {
            for service in services {
                match self.merge_map(&service) {
                    Some(map) => drop(view.maps.insert(service, map)),
                    None => drop(view.maps.remove(&service)),
                }
            }
            self.view = Arc::new(view);
            self.changed_at = now;
        }
        applied
    }

    /// Returns the active documents in parsed form.
    pub fn view(&self) -> Arc<ConfigView> {
        self.view.clone()
    }

    /// Returns the digest of the active versions.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the time at which a document last became active.
    pub fn changed_at(&self) -> Time {
        self.changed_at
    }

    /// Returns the active documents that are newer than those in `versions`.
    pub fn newer_than(&self, versions: &Versions) -> Vec<Document> {
        let entries = self.entries.values();
        let newer = entries.filter(|entry| entry.stamp > versions.get(&entry.document.key));
        newer.map(|entry| entry.document.clone()).collect()
    }

    /// Returns the stamp of the active value of every key.
    pub fn versions(&self) -> Versions {
        let pairs = self
            .entries
            .iter()
            .map(|(key, entry)| (key.clone(), entry.stamp));
        Versions(pairs.collect())
    }

    /// Returns the active document of `key`, which may be a deletion.
    pub fn get(&self, key: &str) -> Option<&Document> {
        self.entries.get(key).map(|entry| &entry.document)
    }

    /// Returns the stamp of the active value of `key`, or the lowest stamp if there is none.
    pub fn stamp(&self, key: &str) -> Stamp {
        self.entries
            .get(key)
            .map_or_else(Stamp::default, |entry| entry.stamp)
    }

    /// Returns the rejections of values that are newer than the active ones, at most one per key.
    pub fn rejections(&self) -> impl Iterator<Item = &Rejection> {
        self.rejected.values().map(|rejected| &rejected.rejection)
    }

    /// Returns whether a value with this stamp could become active: it is newer than the active value and was
    /// not rejected before.
    pub fn accepts(&self, key: &str, stamp: Stamp) -> bool {
        let rejected = self.rejected.get(key).map(|rejected| rejected.stamp);
        stamp > self.stamp(key) && rejected != Some(stamp)
    }

    /// Returns the hash of each bucket of keys.
    pub(super) fn buckets(&self) -> [u32; BUCKETS] {
        self.buckets
    }

    /// Returns the stamps of the keys in the buckets whose bits are set in `mask`.
    pub(super) fn versions_in(&self, mask: u32) -> Versions {
        let entries = self.entries.iter();
        let within = entries.filter(|(key, _)| mask >> bucket_of(key) & 1 == 1);
        Versions(
            within
                .map(|(key, entry)| (key.clone(), entry.stamp))
                .collect(),
        )
    }

    fn validate(&self, document: &Document) -> Result<Option<ParsedDocument>, ApplyError> {
        let version = document.version;
        if !(1..=MAX_VERSION).contains(&version) {
            let allowed = format!("1 to {MAX_VERSION}");
            let fault = Fault::new("version", format!("is {version}"), allowed);
            return Err(ApplyError::Invalid(vec![fault]));
        }
        let parsed = match &document.value {
            Some(text) => parse_document(&document.key, text).map(Some),
            None => check_deletion(&document.key).map(|()| None),
        };
        let parsed = parsed.map_err(ApplyError::Invalid)?;
        let old = self.entries.get(&document.key);
        if old.is_none() && self.entries.len() >= MAX_KEYS {
            let allowed = format!("at most {MAX_KEYS} keys, deleted ones included");
            return Err(ApplyError::StoreFull(Fault::new(
                "key",
                "one key too many",
                allowed,
            )));
        }
        let bytes = self.bytes - old.map_or(0, |old| document_size(&old.document))
            + document_size(document);
        if bytes > MAX_STORE_BYTES {
            let reason = format!("brings all values to {bytes} bytes");
            let allowed = format!("at most {MAX_STORE_BYTES} bytes in all values");
            return Err(ApplyError::StoreFull(Fault::new("", reason, allowed)));
        }
        Ok(parsed)
    }

    /// Stores a rejection, and returns it unless it has been reported before.
    fn reject(
        &mut self,
        document: &Document,
        stamp: Stamp,
        error: ApplyError,
    ) -> Option<Rejection> {
        let (faults, store_full) = match error {
            ApplyError::Invalid(faults) => (faults, false),
            ApplyError::StoreFull(fault) => (vec![fault], true),
        };
        let key = match document.key.len() > MAX_KEY_BYTES {
            true => truncate(&document.key).into(),
            false => document.key.clone(),
        };
        let has_room = self.rejected.len() < MAX_REJECTED_KEYS;
        let rejection = Rejection {
            key: key.clone(),
            version: document.version,
            faults,
        };
        let rejected = RejectedDocument {
            stamp,
            rejection: rejection.clone(),
            store_full,
        };
        match self.rejected.entry(key) {
            // This version or a newer one has been reported before.
            Entry::Occupied(entry) if entry.get().stamp >= stamp => return None,
            Entry::Occupied(mut entry) => drop(entry.insert(rejected)),
            Entry::Vacant(entry) if has_room => drop(entry.insert(rejected)),
            Entry::Vacant(_) => {}
        }
        Some(rejection)
    }

    /// Activates a valid document and returns the one it replaced. Returns `None` if the document is not newer.
    fn replace(
        &mut self,
        document: &Document,
        kind: DocumentKind,
        stamp: Stamp,
        parsed: &Option<ParsedDocument>,
    ) -> Option<Option<Document>> {
        let key = &document.key;
        let old = self.stamp(key);
        let newer = invariant::check(Invariant::ConfigForward, stamp > old, || {
            format!(
                "{key}: version {} after version {}",
                stamp.version, old.version
            )
        });
        if !newer {
            return None;
        }
        let part = match parsed {
            Some(ParsedDocument::Map(_, part)) => Some(part.clone()),
            _ => None,
        };
        let change = self.digest.replace(key, kind, old, stamp);
        self.buckets[bucket_of(key)] ^= (change ^ change >> 32) as u32;
        self.bytes += document_size(document);
        if self
            .rejected
            .get(key)
            .is_some_and(|rejected| rejected.stamp <= stamp)
        {
            self.rejected.remove(key);
        }
        let entry = ActiveDocument {
            document: document.clone(),
            stamp,
            part,
        };
        let old = self
            .entries
            .insert(key.clone(), entry)
            .map(|old| old.document);
        self.bytes -= old.as_ref().map_or(0, document_size);
        Some(old)
    }

    /// Merges the parts of the map of `service`, without the snapshots of which a shard is missing.
    fn merge_map(&self, service: &ServiceName) -> Option<Arc<ServiceMap>> {
        let key = format!("map/{service}");
        let prefix = format!("{key}/");
        let range = (Bound::Excluded(prefix.as_str()), Bound::Unbounded);
        let others = self.entries.range::<str, _>(range);
        let others = others
            .take_while(|(key, _)| key.starts_with(&prefix))
            .map(|(_, entry)| entry);
        let first = self.entries.get(key.as_str());
        let parts = first
            .into_iter()
            .chain(others)
            .filter_map(|entry| entry.part.as_ref());
        let parts: Vec<_> = parts.collect();
        match parts[..] {
            [] => None,
            [part] if part.is_complete() => Some(part.map.clone()),
            _ => Some(Arc::new(merge_parts(&parts))),
        }
    }
}

/// Merges the parts of a map, without the snapshots of which a shard is missing. Where parts disagree, the
/// more conservative value is used.
fn merge_parts(parts: &[&Arc<MapPart>]) -> ServiceMap {
    let mut leaves = BTreeMap::<LeafId, LeafInfo>::new();
    for (id, info) in parts.iter().flat_map(|part| &part.map.leaves) {
        let merged = leaves.entry(id.clone()).or_insert_with(|| info.clone());
        merged.slots = merged.slots.min(info.slots);
        merged.connections = merged.connections.min(info.connections);
        merged.cold_capacity = merged.cold_capacity.min(info.cold_capacity);
        merged.leaving |= info.leaving;
    }
    let mut snapshots = BTreeMap::<SnapshotId, MergedSnapshot>::new();
    for part in parts {
        for (snapshot, &total) in part.map.snapshots.iter().zip(&part.totals) {
            let merged = snapshots
                .entry(snapshot.id)
                .or_insert_with(|| MergedSnapshot {
                    state: snapshot.state,
                    total,
                    shards: BTreeMap::new(),
                });
            merged.total = merged.total.max(total);
            merged.state = match (merged.state, snapshot.state) {
                (SnapshotState::Serving, other) | (other, SnapshotState::Serving) => other,
                (SnapshotState::Retiring, SnapshotState::Retiring) => SnapshotState::Retiring,
                _ => SnapshotState::Loading,
            };
            for Shard { shard, leaves } in &snapshot.shards {
                let replicas = merged.shards.entry(*shard).or_default();
                replicas.extend(
                    leaves
                        .iter()
                        .filter(|leaf| !replicas.contains(leaf))
                        .cloned()
                        .collect::<Vec<_>>(),
                );
            }
        }
    }
    let complete = snapshots
        .into_iter()
        .filter(|(_, merged)| merged.shards.len() >= merged.total as usize);
    let snapshots = complete.map(|(id, merged)| Snapshot {
        id,
        state: merged.state,
        shards: merged
            .shards
            .into_iter()
            .map(|(shard, leaves)| Shard { shard, leaves })
            .collect(),
    });
    ServiceMap {
        snapshots: snapshots.collect(),
        leaves,
    }
}

/// A snapshot that is being merged from its parts.
struct MergedSnapshot {
    state: SnapshotState,
    total: u32,
    shards: BTreeMap<ShardId, SmallVec<[LeafId; 4]>>,
}

/// Updates the view with a document that is not a map.
fn update_view(
    view: &mut ConfigView,
    service: Option<ServiceName>,
    document: &Document,
    parsed: Option<ParsedDocument>,
) {
    match (parsed, service) {
        (Some(ParsedDocument::Service(name, policy)), _) => {
            drop(view.services.insert(name, policy))
        }
        (Some(ParsedDocument::Domains(domains)), _) => view.domains = domains,
        (Some(ParsedDocument::Vms(vms)), _) => {
            view.vms = vms;
            view.vms_version = document.version;
        }
        (Some(ParsedDocument::Map(..)), _) => {
            debug_assert!(false, "maps are merged from their parts")
        }
        (None, Some(name)) => drop(view.services.remove(&name)),
        (None, None) => view.domains = DomainList::default(),
    }
}

fn document_size(document: &Document) -> usize {
    document.key.len() + document.value.as_ref().map_or(0, |value| value.len())
}

fn bucket_of(key: &str) -> usize {
    (xxhash_rust::xxh3::xxh3_64(key.as_bytes()) % BUCKETS as u64) as usize
}
