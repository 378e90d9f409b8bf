use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

/// The version in force of every key, deletions included.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Versions(pub BTreeMap<Arc<str>, u64>);

/// A summary of [`Versions`] of about 20 encoded bytes, small enough for every probe and lease message.
///
/// Versions of a key never decrease, so a node that is nowhere behind another has no smaller total for any
/// kind of document. A larger total therefore proves that a node is ahead on at least one key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest {
    /// XOR of the hashes of all (key, version) pairs.
    pub hash: u64,
    /// Sum of the versions of `domains`, `vms`, all services and all maps.
    pub totals: [u64; 4],
}

/// How one configuration relates to another, judged by their digests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Both hold the same versions.
    Same,
    /// The first holds newer versions; no total of the second is larger.
    Ahead,
    /// The second holds newer versions; no total of the first is larger.
    Behind,
    /// Both hold versions that the other lacks.
    Different,
}

impl Digest {
    /// Compares this configuration with `other`.
    pub fn standing(&self, other: &Digest) -> Standing {
        if self.hash == other.hash {
            return Standing::Same;
        }
        let pairs = || self.totals.iter().zip(&other.totals);
        match (pairs().any(|(a, b)| a > b), pairs().any(|(a, b)| a < b)) {
            (true, false) => Standing::Ahead,
            (false, true) => Standing::Behind,
            _ => Standing::Different,
        }
    }

    /// Returns whether this configuration holds a version that `other` lacks, as far as digests tell.
    ///
    /// A lease voter refuses a requester that its own digest is ahead of.
    pub fn is_ahead_of(&self, other: &Digest) -> bool {
        matches!(self.standing(other), Standing::Ahead | Standing::Different)
    }
}
