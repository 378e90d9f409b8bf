use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{Document, DocumentKind};

/// The position of a value in the order of all values of its key: by version, then by content hash.
///
/// The hash decides only if the platform publishes two values under one version, which can happen after it
/// lost data. All nodes then converge on the same value.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    pub version: u64,
    /// Hash of the value; zero for a deletion.
    pub print: u32,
}

impl Stamp {
    pub fn of(document: &Document) -> Self {
        let value = document.value.as_deref();
        Self {
            version: document.version,
            print: value.map_or(0, |value| xxh3_64(value.as_bytes()) as u32 | 1),
        }
    }
}

/// The stamp of the active value of every key, deletions included.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Versions(pub BTreeMap<Arc<str>, Stamp>);

impl Versions {
    /// Returns the stamp of `key`, or the lowest stamp if the key is unknown.
    pub fn get(&self, key: &str) -> Stamp {
        self.0.get(key).copied().unwrap_or_default()
    }
}

/// A summary of [`Versions`] of about 20 encoded bytes, small enough for every probe and lease message.
///
/// Versions of a key never decrease. A node that is behind another on no key therefore has no smaller total
/// for any kind of document, and a larger total proves that a node is ahead on at least one key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest {
    /// XOR of the hashes of all keys with their stamps.
    pub hash: u64,
    /// Sums of the versions of `domains`, `vms`, all services and all maps.
    pub totals: [u64; 4],
}

/// Result of comparing two configurations by their digests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DigestOrder {
    /// Both hold the same versions.
    Equal,
    /// The first holds newer versions, and no total of the second is larger.
    Ahead,
    /// The second holds newer versions, and no total of the first is larger.
    Behind,
    /// Each holds versions that the other lacks.
    Diverged,
}

impl Digest {
    /// Compares the configuration of this digest with that of `other`.
    pub fn compare(&self, other: &Digest) -> DigestOrder {
        if self.hash == other.hash {
            return DigestOrder::Equal;
        }
        let pairs = || self.totals.iter().zip(&other.totals);
        let ahead = pairs().any(|(own, other)| own > other);
        let behind = pairs().any(|(own, other)| own < other);
        match (ahead, behind) {
            (true, false) => DigestOrder::Ahead,
            (false, true) => DigestOrder::Behind,
            _ => DigestOrder::Diverged,
        }
    }

    /// Returns whether this configuration holds a version that `other` lacks, judged by the digests.
    ///
    /// The result is exact for `domains` and `vms`. For services and maps it is exact unless both sides are
    /// ahead on different keys of the same kind. A lease voter rejects a requester if the voter's own digest
    /// is ahead of the requester's.
    pub fn is_ahead_of(&self, other: &Digest) -> bool {
        matches!(
            self.compare(other),
            DigestOrder::Ahead | DigestOrder::Diverged
        )
    }

    /// Replaces the stamp of `key` and returns the XOR of the old and the new hash.
    pub(super) fn replace(&mut self, key: &str, kind: DocumentKind, old: Stamp, new: Stamp) -> u64 {
        let change = entry_hash(key, old) ^ entry_hash(key, new);
        self.hash ^= change;
        let total = &mut self.totals[kind as usize];
        *total = total.wrapping_sub(old.version).wrapping_add(new.version);
        change
    }
}

/// Returns the hash of a key with its stamp, or zero if the key is unknown.
fn entry_hash(key: &str, stamp: Stamp) -> u64 {
    if stamp.version == 0 {
        return 0;
    }
    xxh3_64_with_seed(key.as_bytes(), stamp.version ^ u64::from(stamp.print) << 32)
}
