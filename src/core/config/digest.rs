use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{Document, DocumentKind};

/// The place of a value in the order of all values of its key: by version, then by content.
///
/// The content decides only if the platform publishes two values under one version, as it may after it lost
/// data. All nodes then settle on the same one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    pub version: u64,
    /// Hash of the value; zero for a deletion.
    pub print: u32,
}

impl Stamp {
    /// Returns the stamp of a document.
    pub fn of(document: &Document) -> Self {
        let value = document.value.as_deref();
        Self {
            version: document.version,
            print: value.map_or(0, |value| xxh3_64(value.as_bytes()) as u32 | 1),
        }
    }
}

/// The stamp in force of every key, deletions included.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Versions(pub BTreeMap<Arc<str>, Stamp>);

impl Versions {
    /// Returns the stamp of a key, the lowest one if it is not known.
    pub fn get(&self, key: &str) -> Stamp {
        self.0.get(key).copied().unwrap_or_default()
    }
}

/// A summary of [`Versions`] of about 20 encoded bytes, small enough for every probe and lease message.
///
/// Versions of a key never decrease, so a node that is nowhere behind another has no smaller total for any
/// kind of document. A larger total therefore proves that a node is ahead on at least one key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest {
    /// XOR of the hashes of all keys with their stamps.
    pub hash: u64,
    /// Sums of the versions of `domains`, `vms`, all services and all maps.
    pub totals: [u64; 4],
}

/// How one configuration relates to another, judged by their digests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DigestOrder {
    /// Both hold the same versions.
    Equal,
    /// The first holds newer versions, and no total of the second is larger.
    Ahead,
    /// The second holds newer versions, and no total of the first is larger.
    Behind,
    /// Both hold versions that the other lacks.
    Diverged,
}

impl Digest {
    /// Compares this configuration with `other`.
    pub fn compare(&self, other: &Digest) -> DigestOrder {
        if self.hash == other.hash {
            return DigestOrder::Equal;
        }
        let pairs = || self.totals.iter().zip(&other.totals);
        let ahead = pairs().any(|(mine, theirs)| mine > theirs);
        let behind = pairs().any(|(mine, theirs)| mine < theirs);
        match (ahead, behind) {
            (true, false) => DigestOrder::Ahead,
            (false, true) => DigestOrder::Behind,
            _ => DigestOrder::Diverged,
        }
    }

    /// Returns whether this configuration holds a version that `other` lacks, as far as digests tell.
    ///
    /// It is exact for `domains` and `vms`, and for services and maps unless both sides are ahead on
    /// different keys of the same kind. A lease voter refuses a requester that its own digest is ahead of.
    pub fn is_ahead_of(&self, other: &Digest) -> bool {
        matches!(
            self.compare(other),
            DigestOrder::Ahead | DigestOrder::Diverged
        )
    }

    /// Replaces the stamp of a key, and returns the change of the hash.
    pub(super) fn replace(&mut self, key: &str, kind: DocumentKind, old: Stamp, new: Stamp) -> u64 {
        let change = entry_hash(key, old) ^ entry_hash(key, new);
        self.hash ^= change;
        let total = &mut self.totals[kind as usize];
        *total = total.wrapping_sub(old.version).wrapping_add(new.version);
        change
    }
}

/// Returns the hash of a key at a stamp; zero for a key that is not known.
fn entry_hash(key: &str, stamp: Stamp) -> u64 {
    if stamp.version == 0 {
        return 0;
    }
    xxh3_64_with_seed(key.as_bytes(), stamp.version ^ u64::from(stamp.print) << 32)
}
