use std::{collections::BTreeMap, sync::Arc};

use super::{Digest, Document, Rejection, Versions, View};
use crate::core::Time;

/// The result of applying documents to a [`ConfigStore`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Applied {
    /// Documents that came into force now, for the relay.
    pub changed: Vec<Document>,
    /// Documents rejected now; a version is reported once.
    pub rejected: Vec<Rejection>,
}

/// The configuration in force on a node: per key the highest valid version it has seen.
#[derive(Debug, Default)]
pub struct ConfigStore {
    entries: BTreeMap<Arc<str>, Document>,
    view: Arc<View>,
    digest: Digest,
}

impl ConfigStore {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges documents by version. Older ones are ignored, invalid ones rejected as a whole.
    pub fn apply(&mut self, _now: Time, _documents: Vec<Document>) -> Applied {
        Applied::default()
    }

    /// Returns the parsed documents in force.
    pub fn view(&self) -> Arc<View> {
        self.view.clone()
    }

    /// Returns the digest of the versions in force.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the documents in force whose version is above the one in `versions`.
    pub fn newer_than(&self, versions: &Versions) -> Vec<Document> {
        let known = |key: &Arc<str>| versions.0.get(key).copied().unwrap_or(0);
        let newer = self
            .entries
            .values()
            .filter(|entry| entry.version > known(&entry.key));
        newer.cloned().collect()
    }

    /// Returns the version in force of every key.
    pub fn versions(&self) -> Versions {
        Versions(
            self.entries
                .iter()
                .map(|(key, entry)| (key.clone(), entry.version))
                .collect(),
        )
    }

    /// Returns the document in force for `key`.
    pub fn get(&self, key: &str) -> Option<&Document> {
        self.entries.get(key)
    }

    /// Returns the rejected versions above the one in force, at most one per key.
    pub fn rejections(&self) -> Vec<Rejection> {
        Vec::new()
    }
}
