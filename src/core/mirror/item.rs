use std::{cmp::Ordering, fmt, sync::Arc, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::core::{Time, mirror::Position};

/// Formats a value by its size, since it may contain callers' keys.
struct Redacted<'a>(&'a Bytes);

impl fmt::Debug for Redacted<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} bytes", self.0.len())
    }
}

/// The latest change of a key.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    pub key: Arc<str>,
    pub position: Position,
    /// The new value, `None` if the key was deleted.
    pub value: Option<Bytes>,
}

impl fmt::Debug for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Change")
            .field("key", &self.key)
            .field("position", &self.position)
            .field("value", &self.value.as_ref().map(Redacted))
            .finish()
    }
}

impl Change {
    /// Returns the size of the key and value, in bytes.
    pub fn size(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Bytes::len)
    }
}

/// What the values of items say about their age, apart from the store's revisions.
pub trait ItemOrder {
    /// Compares the age of two values of a key, the older one being less. Returns `None` if the values do not show it.
    fn compare(&self, key: &str, a: &[u8], b: &[u8]) -> Option<Ordering>;

    /// Returns for how long the last known state of a key, `present` or deleted, outweighs that of a copy from which the
    /// store was restored, unless the key is written again. Returns `None` if there is no limit.
    fn hold_time(&self, key: &str, present: bool) -> Option<Duration>;

    /// Returns whether the store removes an item by itself if its writer falls silent.
    fn expires(&self, key: &str) -> bool;
}

/// The state of a key.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemState {
    Present(Bytes),
    /// The key was deleted; `last` is its value before.
    Deleted {
        last: Bytes,
    },
}

impl fmt::Debug for ItemState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            Self::Present(_) => "Present",
            Self::Deleted { .. } => "Deleted",
        };
        f.debug_tuple(name)
            .field(&Redacted(self.last_value()))
            .finish()
    }
}

impl ItemState {
    /// Returns the value, `None` if the key was deleted.
    pub fn value(&self) -> Option<&Bytes> {
        match self {
            Self::Present(value) => Some(value),
            Self::Deleted { .. } => None,
        }
    }

    /// Returns the value, the last one if the key was deleted.
    pub(crate) fn last_value(&self) -> &Bytes {
        match self {
            Self::Present(value) => value,
            Self::Deleted { last } => last,
        }
    }
}

/// A state from an earlier era that outweighs that of the copy from which the store was restored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldItem {
    pub key: Arc<str>,
    pub position: Position,
    pub state: ItemState,
    /// Remaining time for which the state is held, milliseconds; `None` if it is held until the key is written.
    pub left_ms: Option<u32>,
}

/// An update for a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Position up to which the receiver is complete after applying the update.
    pub position: Position,
    /// Revision up to which the items of the era may come from a copy.
    pub copied: u64,
    /// Whether `changes` holds all items of the store rather than only recent changes.
    pub full: bool,
    pub changes: Vec<Change>,
    /// All held items.
    pub held: Vec<HeldItem>,
}

/// What a mirror knows about a key.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    /// Position of the last change, or of the deletion.
    pub(super) position: Position,
    pub(super) state: ItemState,
    /// Revision of the last value of a deleted key, if this node has seen it.
    pub(super) written: Option<u64>,
    /// When the key was deleted.
    pub(super) deleted_at: Option<Time>,
    /// Set if the state is from an earlier era than the store's.
    pub(super) hold: Option<Hold>,
}

/// Why a state of an earlier era is kept, and until when.
#[derive(Clone)]
pub(super) struct Hold {
    /// The state of the key in the store, `None` if it is absent.
    pub(super) stored: Option<(Position, Bytes)>,
    pub(super) until: Option<Time>,
}

impl fmt::Debug for Hold {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let stored = self.stored.as_ref();
        let stored = stored.map(|(position, value)| (position, Redacted(value)));
        f.debug_struct("Hold")
            .field("stored", &stored)
            .field("until", &self.until)
            .finish()
    }
}

impl Entry {
    pub(super) fn present(position: Position, value: Bytes) -> Self {
        Self {
            position,
            state: ItemState::Present(value),
            written: None,
            deleted_at: None,
            hold: None,
        }
    }

    /// Returns the entry of this key after its deletion.
    pub(super) fn into_deleted(self, position: Position, now: Time) -> Self {
        let stored = self.stored().map(|(at, _)| at.revision);
        Self {
            position,
            written: stored.or(self.written),
            state: ItemState::Deleted {
                last: self.state.last_value().clone(),
            },
            deleted_at: Some(now),
            hold: None,
        }
    }

    /// Returns the state of the key in the store, `None` if it is absent.
    pub(super) fn stored(&self) -> Option<(Position, &Bytes)> {
        match &self.hold {
            Some(hold) => hold
                .stored
                .as_ref()
                .map(|(position, value)| (*position, value)),
            None => self.state.value().map(|value| (self.position, value)),
        }
    }
}
