//! A node's copy of what the platform publishes, and how nodes bring each other up to date.
//!
//! Every item carries the platform's revision of its last change. A copy is complete up to a revision; an older
//! page or change, from the platform or from a peer, never replaces a newer one.

mod pause_guard;
mod readers;

pub use self::{
    pause_guard::PauseGuard,
    readers::{
        Freshness, MAX_FIRST_READ_DELAY, MAX_MIRROR_AGE, READER_COUNT, reader_rank, reads_store,
        retry_delay,
    },
};

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Changes kept for peers that are a little behind. Peers further behind get the whole copy.
const HISTORY: usize = 1_024;

/// The last change of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    pub key: Arc<str>,
    pub revision: u64,
    /// None when the key was deleted.
    pub value: Option<Bytes>,
}

impl Change {
    /// Returns the size of key and value, bytes.
    pub fn size(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Bytes::len)
    }
}

/// What a node sends to a peer that is behind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Revision up to which the receiver is complete afterwards.
    pub revision: u64,
    /// Whether `changes` is everything that exists, not only what changed.
    pub full: bool,
    pub changes: Vec<Change>,
}

/// A copy of the published items.
#[derive(Debug, Default)]
pub struct Mirror {
    items: BTreeMap<Arc<str>, (u64, Bytes)>,
    /// Changes after `floor`, oldest first.
    history: VecDeque<Change>,
    floor: u64,
    revision: u64,
}

impl Mirror {
    /// Returns the revision up to which the copy is complete; 0 before the first one.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes all items of the platform as of `revision` or later, and returns what changed.
    ///
    /// Items that are missing were deleted, unless they are newer than `revision`.
    pub fn replace(&mut self, items: Vec<Change>, revision: u64) -> Vec<Change> {
        if revision < self.revision {
            return Vec::new();
        }
        let present: BTreeSet<&Arc<str>> = items.iter().map(|item| &item.key).collect();
        let gone: Vec<Change> = self
            .items
            .iter()
            .filter(|(key, (at, _))| *at <= revision && !present.contains(key))
            .map(|(key, _)| Change {
                key: key.clone(),
                revision,
                value: None,
            })
            .collect();
        let mut changed = gone;
        changed.extend(items);
        changed.retain(|change| self.put(change));
        // The changes in between are unknown, so peers behind this revision need everything.
        self.history.clear();
        self.floor = revision;
        self.revision = revision;
        changed
    }

    /// Takes changes that make the copy complete up to `revision`, and returns those that were news.
    pub fn advance(&mut self, mut changes: Vec<Change>, revision: u64) -> Vec<Change> {
        changes.sort_by_key(|change| change.revision);
        changes.retain(|change| self.put(change));
        for change in &changes {
            self.history.push_back(change.clone());
            if self.history.len() > HISTORY
                && let Some(dropped) = self.history.pop_front()
            {
                self.floor = self.floor.max(dropped.revision);
            }
        }
        self.revision = self.revision.max(revision);
        changes
    }

    /// Returns what a peer that is complete up to `after` lacks.
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
            let newer = self.history.iter().filter(|c| c.revision > after);
            newer.cloned().collect()
        };
        Update {
            revision: self.revision,
            full,
            changes,
        }
    }

    /// Takes a peer's update and returns what changed.
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

    /// Applies one change if it is newer than what is known of its key.
    fn put(&mut self, change: &Change) -> bool {
        let known = self.items.get(&change.key).map(|(revision, _)| *revision);
        // A deletion below the copy's own revision was seen or superseded already.
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
