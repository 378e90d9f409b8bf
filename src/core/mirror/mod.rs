//! A node's mirror of the store's items, and its synchronization with other nodes.
//!
//! Every item carries the store's revision of its last change. A mirror is complete up to a revision. An older page
//! or change, from the store or from a peer, never replaces a newer one.

mod pause_guard;
mod readers;

pub use self::{
    pause_guard::PauseGuard,
    readers::{
        Freshness, MAX_FIRST_READ_DELAY, MAX_MIRROR_AGE, READER_COUNT, ReadPlan, reader_rank,
        reads_store, retry_delay,
    },
};

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Maximum number of changes kept for peers that are slightly behind. Peers further behind get all items.
const MAX_HISTORY: usize = 1_024;

/// The latest change of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    pub key: Arc<str>,
    pub revision: u64,
    /// The new value, `None` if the key was deleted.
    pub value: Option<Bytes>,
}

impl Change {
    /// Returns the size of the key and value, in bytes.
    pub fn size(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Bytes::len)
    }
}

/// An update for a peer that is behind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Revision up to which the receiver is complete after applying the update.
    pub revision: u64,
    /// Whether `changes` holds all items rather than only recent changes.
    pub full: bool,
    pub changes: Vec<Change>,
}

/// A node's copy of the store's items.
#[derive(Debug, Default)]
pub struct Mirror {
    items: BTreeMap<Arc<str>, (u64, Bytes)>,
    /// Changes after `floor`, oldest first.
    history: VecDeque<Change>,
    floor: u64,
    revision: u64,
}

impl Mirror {
    /// Returns the revision up to which the mirror is complete, 0 if nothing has been read yet.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Replaces the content with all items of the store, read at `revision` or later. Returns the changes.
    ///
    /// Missing items are removed unless their revision is above `revision`.
    pub fn replace(&mut self, items: Vec<Change>, revision: u64) -> Vec<Change> {
        if revision < self.revision {
            return Vec::new();
        }
        let present: BTreeSet<&Arc<str>> = items.iter().map(|item| &item.key).collect();
        let deleted: Vec<Change> = self
            .items
            .iter()
            .filter(|(key, (item_revision, _))| {
                *item_revision <= revision && !present.contains(key)
            })
            .map(|(key, _)| Change {
                key: key.clone(),
                revision,
                value: None,
            })
            .collect();
        let mut changed = deleted;
        changed.extend(items);
        changed.retain(|change| self.apply(change));
        // The changes that led to this revision are unknown, so peers that are behind it need all items.
        self.history.clear();
        self.floor = revision;
        self.revision = revision;
        changed
    }

    /// Applies changes that complete the mirror up to `revision`. Returns those that were new.
    pub fn advance(&mut self, mut changes: Vec<Change>, revision: u64) -> Vec<Change> {
        changes.sort_by_key(|change| change.revision);
        changes.retain(|change| self.apply(change));
        for change in &changes {
            self.history.push_back(change.clone());
            if self.history.len() > MAX_HISTORY
                && let Some(dropped) = self.history.pop_front()
            {
                self.floor = self.floor.max(dropped.revision);
            }
        }
        self.revision = self.revision.max(revision);
        changes
    }

    /// Returns the update for a peer that is complete up to `after`.
    pub fn update_since(&self, after: u64) -> Update {
        let full = after < self.floor || after == 0;
        let changes = if full {
            let items = self.items.iter();
            items
                .map(|(key, (revision, value))| Change {
                    key: key.clone(),
                    revision: *revision,
                    value: Some(value.clone()),
                })
                .collect()
        } else {
            let newer = self.history.iter().filter(|change| change.revision > after);
            newer.cloned().collect()
        };
        Update {
            revision: self.revision,
            full,
            changes,
        }
    }

    /// Applies an update of a peer. Returns the changes.
    pub fn merge(&mut self, update: Update) -> Vec<Change> {
        if update.revision <= self.revision {
            return Vec::new();
        }
        if update.full {
            self.replace(update.changes, update.revision)
        } else {
            self.advance(update.changes, update.revision)
        }
    }

    /// Applies a change if it is newer than the known state of its key. Returns whether it was applied.
    fn apply(&mut self, change: &Change) -> bool {
        let known = self.items.get(&change.key).map(|(revision, _)| *revision);
        // For an unknown key, a change up to the mirror's revision is outdated: the mirror has seen its later
        // deletion.
        let stale = match known {
            Some(revision) => change.revision <= revision && change.value.is_some(),
            None => change.value.is_none() || change.revision <= self.revision && self.revision > 0,
        };
        if stale {
            return false;
        }
        match &change.value {
            Some(value) => {
                let item = (change.revision, value.clone());
                self.items.insert(change.key.clone(), item);
            }
            None if known.is_some_and(|revision| revision > change.revision) => return false,
            None => {
                self.items.remove(&change.key);
            }
        }
        true
    }
}
