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

/// Highest version of a document. It leaves room to add up the versions of all keys in 64 bits, and for
/// versions that count microseconds since 1970.
pub const MAX_VERSION: u64 = 1 << 51;
/// Most keys of a store, deleted ones included; deletions stay, because an older value could return otherwise.
pub const MAX_KEYS: usize = 4_096;
/// Most bytes of all values of a store. It keeps text and parsed form within the 128 MB of a node.
pub const MAX_STORE_BYTES: usize = 32 << 20;
/// Longest key of which a rejection is remembered in full; valid keys are shorter.
const MAX_KEY_BYTES: usize = 256;
/// Most keys with a remembered rejection. Beyond, a rejection is reported at each read.
const MAX_REJECTED: usize = 256;
/// Number of groups of keys whose hashes two nodes compare to find the keys in which they differ.
pub(super) const BUCKETS: usize = 32;

/// The result of applying documents to a [`ConfigStore`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ApplyResult {
    /// Documents that came into force now, for the relay.
    pub changed: Vec<Document>,
    /// The documents that they replaced, in the same order.
    pub replaced: Vec<Option<Document>>,
    /// Documents rejected now; a version is reported once.
    pub rejected: Vec<Rejection>,
}

/// The configuration in force on a node: per key the highest valid value it has seen, by [`Stamp`].
///
/// The result does not depend on the order in which values arrive, so nodes that have seen the same values
/// hold the same configuration.
#[derive(Debug, Default)]
pub struct ConfigStore {
    entries: BTreeMap<Arc<str>, InForce>,
    rejected: BTreeMap<Arc<str>, Rejected>,
    view: Arc<ConfigView>,
    digest: Digest,
    buckets: [u32; BUCKETS],
    bytes: usize,
    changed: Time,
}

#[derive(Debug)]
struct Rejected {
    stamp: Stamp,
    rejection: Rejection,
    /// Refused because the store is full: the value may come into force once there is room.
    full: bool,
}

/// Why a document does not come into force.
enum Refusal {
    Invalid(Vec<Fault>),
    Full(Fault),
}

#[derive(Debug)]
struct InForce {
    document: Document,
    stamp: Stamp,
    /// Only maps are kept here too: the view holds the combination of their parts.
    part: Option<Arc<MapPart>>,
}

impl ConfigStore {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges documents by version: newer ones come into force, older ones are ignored, and values that are
    /// not valid are rejected as a whole, while the previous value stays in force.
    pub fn apply(&mut self, now: Time, documents: Vec<Document>) -> ApplyResult {
        let mut applied = ApplyResult::default();
        let mut services = BTreeSet::new();
        let mut view = None;
        for document in documents {
            let stamp = Stamp::of(&document);
            let full = self
                .rejected
                .get(&document.key)
                .is_some_and(|known| known.full);
            let newer = stamp > self.stamp(&document.key);
            if !newer || !full && !self.accepts(&document.key, stamp) {
                continue;
            }
            let parsed = match self.judge(&document) {
                Ok(parsed) => parsed,
                Err(refusal) => {
                    applied
                        .rejected
                        .extend(self.reject(&document, stamp, refusal));
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
                (_, service) => install(view, service, &document, parsed),
            }
            applied.changed.push(document);
            applied.replaced.push(old);
        }
        if let Some(mut view) = view {
            for service in services {
                match self.combine(&service) {
                    Some(map) => drop(view.maps.insert(service, map)),
                    None => drop(view.maps.remove(&service)),
                }
            }
            self.view = Arc::new(view);
            self.changed = now;
        }
        applied
    }

    /// Returns the parsed documents in force.
    pub fn view(&self) -> Arc<ConfigView> {
        self.view.clone()
    }

    /// Returns the digest of the versions in force.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns when a document last came into force.
    pub fn changed_at(&self) -> Time {
        self.changed
    }

    /// Returns the documents in force that are newer than those in `versions`.
    pub fn newer_than(&self, versions: &Versions) -> Vec<Document> {
        let entries = self.entries.values();
        let newer = entries.filter(|entry| entry.stamp > versions.get(&entry.document.key));
        newer.map(|entry| entry.document.clone()).collect()
    }

    /// Returns the stamp in force of every key.
    pub fn versions(&self) -> Versions {
        let pairs = self
            .entries
            .iter()
            .map(|(key, entry)| (key.clone(), entry.stamp));
        Versions(pairs.collect())
    }

    /// Returns the document in force for `key`, which may be a deletion.
    pub fn get(&self, key: &str) -> Option<&Document> {
        self.entries.get(key).map(|entry| &entry.document)
    }

    /// Returns the stamp in force for `key`, the lowest one if there is none.
    pub fn stamp(&self, key: &str) -> Stamp {
        self.entries
            .get(key)
            .map_or_else(Stamp::default, |entry| entry.stamp)
    }

    /// Returns the rejected values that are newer than those in force, at most one per key.
    pub fn rejections(&self) -> impl Iterator<Item = &Rejection> {
        self.rejected.values().map(|known| &known.rejection)
    }

    /// Returns whether a value with this stamp could come into force: it is newer than the one in force and
    /// was not rejected before.
    pub fn accepts(&self, key: &str, stamp: Stamp) -> bool {
        let known = self.rejected.get(key).map(|known| known.stamp);
        stamp > self.stamp(key) && known != Some(stamp)
    }

    /// Returns the hash of each bucket of keys.
    pub(super) fn buckets(&self) -> [u32; BUCKETS] {
        self.buckets
    }

    /// Returns the stamps of the keys in the buckets of which `mask` has the bit set.
    pub(super) fn versions_in(&self, mask: u32) -> Versions {
        let entries = self.entries.iter();
        let within = entries.filter(|(key, _)| mask >> bucket_of(key) & 1 == 1);
        Versions(
            within
                .map(|(key, entry)| (key.clone(), entry.stamp))
                .collect(),
        )
    }

    fn judge(&self, document: &Document) -> Result<Option<ParsedDocument>, Refusal> {
        let version = document.version;
        if !(1..=MAX_VERSION).contains(&version) {
            let allowed = format!("1 to {MAX_VERSION}");
            let fault = Fault::new("version", format!("is {version}"), allowed);
            return Err(Refusal::Invalid(vec![fault]));
        }
        let parsed = match &document.value {
            Some(text) => parse_document(&document.key, text).map(Some),
            None => check_deletion(&document.key).map(|()| None),
        };
        let parsed = parsed.map_err(Refusal::Invalid)?;
        let old = self.entries.get(&document.key);
        if old.is_none() && self.entries.len() >= MAX_KEYS {
            let allowed = format!("at most {MAX_KEYS} keys, deleted ones included");
            return Err(Refusal::Full(Fault::new(
                "key",
                "one key too many",
                allowed,
            )));
        }
        let bytes = self.bytes - old.map_or(0, |old| length(&old.document)) + length(document);
        if bytes > MAX_STORE_BYTES {
            let reason = format!("brings all values to {bytes} bytes");
            let allowed = format!("at most {MAX_STORE_BYTES} bytes in all values");
            return Err(Refusal::Full(Fault::new("", reason, allowed)));
        }
        Ok(parsed)
    }

    /// Remembers a rejection, and returns it unless it was reported before.
    fn reject(&mut self, document: &Document, stamp: Stamp, refusal: Refusal) -> Option<Rejection> {
        let (faults, full) = match refusal {
            Refusal::Invalid(faults) => (faults, false),
            Refusal::Full(fault) => (vec![fault], true),
        };
        let key = match document.key.len() > MAX_KEY_BYTES {
            true => truncate(&document.key).into(),
            false => document.key.clone(),
        };
        let room = self.rejected.len() < MAX_REJECTED;
        let rejection = Rejection {
            key: key.clone(),
            version: document.version,
            faults,
        };
        let known = Rejected {
            stamp,
            rejection: rejection.clone(),
            full,
        };
        match self.rejected.entry(key) {
            // Reported before, or older than what was reported.
            Entry::Occupied(entry) if entry.get().stamp >= stamp => return None,
            Entry::Occupied(mut entry) => drop(entry.insert(known)),
            Entry::Vacant(entry) if room => drop(entry.insert(known)),
            Entry::Vacant(_) => {}
        }
        Some(rejection)
    }

    /// Puts a valid document in force and returns the one it replaced. Refuses one that is not newer.
    fn replace(
        &mut self,
        document: &Document,
        kind: DocumentKind,
        stamp: Stamp,
        parsed: &Option<ParsedDocument>,
    ) -> Option<Option<Document>> {
        let key = &document.key;
        let old = self.stamp(key);
        let forward = invariant::check(Invariant::ConfigForward, stamp > old, || {
            format!(
                "{key}: version {} after version {}",
                stamp.version, old.version
            )
        });
        if !forward {
            return None;
        }
        let part = match parsed {
            Some(ParsedDocument::Map(_, part)) => Some(part.clone()),
            _ => None,
        };
        let change = self.digest.replace(key, kind, old, stamp);
        self.buckets[bucket_of(key)] ^= (change ^ change >> 32) as u32;
        self.bytes += length(document);
        if self
            .rejected
            .get(key)
            .is_some_and(|known| known.stamp <= stamp)
        {
            self.rejected.remove(key);
        }
        let entry = InForce {
            document: document.clone(),
            stamp,
            part,
        };
        let old = self
            .entries
            .insert(key.clone(), entry)
            .map(|old| old.document);
        self.bytes -= old.as_ref().map_or(0, length);
        Some(old)
    }

    /// Combines the parts of a map. Snapshots of which a shard is missing are left out.
    fn combine(&self, service: &ServiceName) -> Option<Arc<ServiceMap>> {
        let whole = format!("map/{service}");
        let prefix = format!("{whole}/");
        let range = (Bound::Excluded(prefix.as_str()), Bound::Unbounded);
        let others = self.entries.range::<str, _>(range);
        let others = others
            .take_while(|(key, _)| key.starts_with(&prefix))
            .map(|(_, entry)| entry);
        let first = self.entries.get(whole.as_str());
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
/// more cautious value wins.
fn merge_parts(parts: &[&Arc<MapPart>]) -> ServiceMap {
    let mut leaves = BTreeMap::<LeafId, LeafInfo>::new();
    for (id, info) in parts.iter().flat_map(|part| &part.map.leaves) {
        let known = leaves.entry(id.clone()).or_insert_with(|| info.clone());
        known.slots = known.slots.min(info.slots);
        known.connections = known.connections.min(info.connections);
        known.cold_capacity = known.cold_capacity.min(info.cold_capacity);
        known.leaving |= info.leaving;
    }
    let mut snapshots = BTreeMap::<SnapshotId, Merged>::new();
    for part in parts {
        for (snapshot, &total) in part.map.snapshots.iter().zip(&part.totals) {
            let merged = snapshots.entry(snapshot.id).or_insert_with(|| Merged {
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
                let known = merged.shards.entry(*shard).or_default();
                known.extend(
                    leaves
                        .iter()
                        .filter(|leaf| !known.contains(leaf))
                        .cloned()
                        .collect::<Vec<_>>(),
                );
            }
        }
    }
    let whole = snapshots
        .into_iter()
        .filter(|(_, merged)| merged.shards.len() >= merged.total as usize);
    let snapshots = whole.map(|(id, merged)| Snapshot {
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

/// One snapshot while its parts are merged.
struct Merged {
    state: SnapshotState,
    total: u32,
    shards: BTreeMap<ShardId, SmallVec<[LeafId; 4]>>,
}

/// Brings a document other than a map into the view.
fn install(
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
            debug_assert!(false, "maps are combined from their parts")
        }
        (None, Some(name)) => drop(view.services.remove(&name)),
        (None, None) => view.domains = DomainList::default(),
    }
}

fn length(document: &Document) -> usize {
    document.key.len() + document.value.as_ref().map_or(0, |value| value.len())
}

fn bucket_of(key: &str) -> usize {
    (xxhash_rust::xxh3::xxh3_64(key.as_bytes()) % BUCKETS as u64) as usize
}
