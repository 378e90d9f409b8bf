use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::core::{
    Time,
    mirror::{
        Change, HeldItem, ItemOrder, ItemState, Position, Update,
        item::{Entry, Hold},
    },
};

/// Maximum number of changes kept for peers that are slightly behind. Peers further behind get all items.
const MAX_HISTORY: usize = 1_024;

/// Time for which deletions are remembered, in case the store is restored from a copy that has the deleted items. It is
/// several times the age of such a copy.
const DELETION_MEMORY: Duration = Duration::from_secs(60);

/// What applying a change did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Applied {
    /// The change was known or outdated.
    Outdated,
    /// The change is new, but the state of an earlier era still outweighs it.
    Outweighed,
    /// The state of the key changed.
    Changed,
}

/// Which of two states of a key counts after a restore.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Winner {
    Store,
    /// The known state, for this time or until the key is written again.
    Known(Option<Duration>),
}

impl Winner {
    /// Returns the time for which the known state is held, `None` if there is no limit.
    fn hold_time(self) -> Option<Duration> {
        match self {
            Self::Store => None,
            Self::Known(time) => time,
        }
    }
}

/// What a mirror knows about the era before a restore.
#[derive(Debug)]
struct Before {
    position: Position,
    floor: u64,
    /// The changes of that era after `floor`.
    history: VecDeque<Change>,
}

impl Before {
    /// Returns whether all changes at a revision are known.
    fn is_complete_at(&self, revision: u64) -> bool {
        self.floor < revision && revision <= self.position.revision
    }

    /// Returns whether the copy may have this value of a key, written at this revision. `known` is the state of the key at
    /// the end of the era.
    fn may_have(&self, key: &Arc<str>, known: &Entry, revision: u64, value: &Bytes) -> bool {
        let last_write = match &known.state {
            ItemState::Present(_) => known.position.revision,
            ItemState::Deleted { .. } => known.written.unwrap_or(known.position.revision),
        };
        if !self.is_complete_at(revision) {
            return revision <= last_write;
        }
        let is_known = revision == last_write && known.state.last_value() == value;
        let in_history = |change: &Change| {
            change.position.revision == revision
                && change.key == *key
                && change.value.as_ref() == Some(value)
        };
        is_known || self.history.iter().any(in_history)
    }

    /// Returns the highest revision that the copy is known to include: that of the latest item which the store has had
    /// since before the restore.
    fn included(&self, entries: &BTreeMap<Arc<str>, Entry>, items: &[Change]) -> u64 {
        let is_old = |item: &&Change| {
            entries.get(&item.key).is_some_and(|known| {
                let position = Position::new(self.position.era, item.position.revision);
                known.position == position && known.state.value() == item.value.as_ref()
            })
        };
        let revisions = items.iter().filter(is_old);
        let revisions = revisions.map(|item| item.position.revision);
        revisions.max().unwrap_or(0)
    }
}

/// A node's copy of the store's items.
#[derive(Debug, Default)]
pub struct Mirror<O> {
    order: O,
    entries: BTreeMap<Arc<str>, Entry>,
    /// Keys of the entries that are held.
    held: BTreeSet<Arc<str>>,
    /// Keys whose hold in this era is over. Peers whose hold ends later do not bring it back.
    released: BTreeSet<Arc<str>>,
    /// Changes of the era after `floor`, oldest first.
    history: VecDeque<Change>,
    floor: u64,
    position: Position,
    /// Revision up to which the items of the era may come from a copy: that of the first read in the era.
    copied: u64,
}

impl<O: ItemOrder> Mirror<O> {
    /// Returns the position up to which the mirror is complete.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the number of held items.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// Returns a digest of the held items, 0 if there are none.
    pub fn held_digest(&self) -> u64 {
        self.held.iter().fold(0, |digest, key| {
            let Position { era, revision } = self.entries[key].position;
            digest ^ xxh3_64_with_seed(key.as_bytes(), era.rotate_left(32) ^ revision)
        })
    }

    /// Replaces the content with all items of the store, read at `position` or later. Returns the changes.
    ///
    /// Missing items are removed unless their revision is above that of `position`.
    pub fn replace(&mut self, now: Time, items: Vec<Change>, position: Position) -> Vec<Change> {
        if position < self.position {
            return Vec::new();
        }
        let is_start = self.position.is_start();
        if is_start {
            self.position.era = position.era;
            self.copied = position.revision;
        }
        if position.era > self.position.era {
            return self.enter_era(now, items, position, position.revision);
        }
        let present: BTreeSet<&Arc<str>> = items.iter().map(|item| &item.key).collect();
        let is_missing = |(key, entry): &(&Arc<str>, &Entry)| {
            let stored = entry.stored().map(|(stored, _)| stored.revision);
            stored.is_some_and(|stored| stored <= position.revision) && !present.contains(key)
        };
        let mut changed: Vec<Change> = self
            .entries
            .iter()
            .filter(is_missing)
            .map(|(key, _)| Change {
                key: key.clone(),
                position,
                value: None,
            })
            .collect();
        changed.extend(items);
        changed.retain(|change| self.apply(now, change) == Applied::Changed);
        // The changes that led to this revision are unknown, so peers that are behind it need all items.
        self.history.clear();
        self.floor = position.revision;
        self.position = position;
        changed
    }

    /// Applies changes that complete the mirror up to `position`. Returns those that changed its state.
    ///
    /// Changes of another era than the mirror's are ignored.
    pub fn advance(
        &mut self,
        now: Time,
        mut changes: Vec<Change>,
        position: Position,
    ) -> Vec<Change> {
        if self.position.is_start() {
            self.position.era = position.era;
        }
        if position.era != self.position.era {
            return Vec::new();
        }
        changes.sort_by_key(|change| change.position);
        let known = self.position;
        changes.retain(|change| {
            let applied = self.apply(now, change);
            // A change after the mirror's position may have been known from a page that was read later than the first
            // one, but peers at that position have not seen it.
            if change.position > known || applied != Applied::Outdated {
                self.record(change.clone());
            }
            applied == Applied::Changed
        });
        self.position = self.position.max(position);
        changes
    }

    /// Returns the update for a peer that is complete up to `after`.
    pub fn update_since(&self, now: Time, after: Position) -> Update {
        let full =
            after.era != self.position.era || after.revision < self.floor || after.revision == 0;
        let changes = if full {
            self.stored_items().collect()
        } else {
            let newer = |change: &&Change| change.position > after;
            self.history.iter().filter(newer).cloned().collect()
        };
        Update {
            position: self.position,
            copied: self.copied,
            full,
            changes,
            held: self
                .held
                .iter()
                .map(|key| self.held_item(now, key))
                .collect(),
        }
    }

    /// Applies an update of a peer. Returns the changes.
    pub fn merge(&mut self, now: Time, update: Update) -> Vec<Change> {
        let Update {
            position,
            copied,
            full,
            changes: items,
            held,
        } = update;
        let was_start = self.position.is_start();
        let enters_era = position.era > self.position.era && !was_start;
        let mut changed = match full {
            _ if position <= self.position => Vec::new(),
            true if enters_era => self.enter_era(now, items, position, copied),
            true => self.replace(now, items, position),
            false => self.advance(now, items, position),
        };
        if position.era == self.position.era {
            self.copied = self.copied.min(copied);
            for item in held {
                changed.extend(self.adopt(now, item));
            }
        }
        changed
    }

    /// Ends holds whose time is over, and forgets old deletions. Returns the changes.
    pub fn expire(&mut self, now: Time) -> Vec<Change> {
        let is_over = |entry: &Entry| {
            let until = entry.hold.as_ref().and_then(|hold| hold.until);
            until.is_some_and(|until| until <= now)
        };
        let over: Vec<Arc<str>> = self
            .held
            .iter()
            .filter(|key| is_over(&self.entries[*key]))
            .cloned()
            .collect();
        let changed = over.into_iter().filter_map(|key| self.release(now, &key));
        let changed = changed.collect();
        self.entries.retain(|_, entry| {
            let is_old = |at: Time| now.since(at) >= DELETION_MEMORY;
            entry.hold.is_some() || !entry.deleted_at.is_some_and(is_old)
        });
        changed
    }

    /// Starts a new era with the items of the restored store.
    fn enter_era(
        &mut self,
        now: Time,
        items: Vec<Change>,
        position: Position,
        copied: u64,
    ) -> Vec<Change> {
        let before = Before {
            position: self.position,
            floor: self.floor,
            history: std::mem::take(&mut self.history),
        };
        let included = before.included(&self.entries, &items);
        // The copy may have changes of eras in between that this node has not seen.
        let follows = position.era == before.position.era + 1;
        self.floor = position.revision;
        self.position = position;
        self.copied = copied;
        self.held.clear();
        self.released.clear();
        let mut stored: BTreeMap<Arc<str>, (Position, Bytes)> = items
            .into_iter()
            .filter_map(|item| Some((item.key, (item.position, item.value?))))
            .collect();
        let mut changed = Vec::new();
        for (key, known) in std::mem::take(&mut self.entries) {
            let stored = stored.remove(&key);
            let changed_since = match &stored {
                Some((at, value)) => !before.may_have(&key, &known, at.revision, value),
                None => {
                    !self.order.expires(&key)
                        && known.position.era == before.position.era
                        && known.position.revision <= included
                }
            };
            if let Some((at, _)) = &stored
                && changed_since
                && follows
                && before.is_complete_at(at.revision)
            {
                self.copied = self.copied.min(at.revision - 1);
            }
            let stored_value = stored.as_ref().map(|(_, value)| value);
            let winner = self.winner(&key, &known.state, stored_value, changed_since);
            match (winner, stored) {
                (Winner::Store, Some((position, value))) => {
                    if known.state.value() != Some(&value) {
                        changed.push(Change {
                            key: key.clone(),
                            position,
                            value: Some(value.clone()),
                        });
                    }
                    self.entries.insert(key, Entry::present(position, value));
                }
                (Winner::Store, None) => {
                    changed.push(Change {
                        key: key.clone(),
                        position,
                        value: None,
                    });
                    self.entries.insert(key, known.into_deleted(position, now));
                }
                (winner @ Winner::Known(_), stored) => {
                    let until = winner.hold_time().map(|time| now + time);
                    let hold = Some(Hold { stored, until });
                    self.held.insert(key.clone());
                    self.entries.insert(key, Entry { hold, ..known });
                }
            }
        }
        for (key, (position, value)) in stored {
            changed.push(Change {
                key: key.clone(),
                position,
                value: Some(value.clone()),
            });
            self.entries.insert(key, Entry::present(position, value));
        }
        changed
    }

    /// Returns whether a state known from an earlier era outweighs the one that the store has after a restore.
    /// `changed_since` is set if the store's state is known to be later than its return.
    fn winner(
        &self,
        key: &str,
        known: &ItemState,
        stored: Option<&Bytes>,
        changed_since: bool,
    ) -> Winner {
        let order = |value: &Bytes| self.order.compare(key, value, known.last_value());
        let present = known.value().is_some();
        let held = Winner::Known(self.order.hold_time(key, present));
        match (known, stored.map(order)) {
            (ItemState::Present(_), None) | (_, Some(None)) if changed_since => Winner::Store,
            (ItemState::Present(_), Some(Some(Ordering::Less))) => Winner::Known(None),
            (ItemState::Present(_), Some(_)) => Winner::Store,
            (ItemState::Deleted { .. }, Some(Some(Ordering::Greater))) => Winner::Store,
            // A deletion is held also if the store agrees, against peers that have not seen it.
            (ItemState::Deleted { .. }, Some(_)) | (_, None) => held,
        }
    }

    /// Returns whether a held item of a peer is later than the one that this mirror holds.
    ///
    /// Positions of different eras do not show it: the state at a later one may come from a copy.
    fn is_later(&self, item: &HeldItem, mine: &Entry) -> bool {
        let (theirs, own) = (&item.state, &mine.state);
        let order = self
            .order
            .compare(&item.key, theirs.last_value(), own.last_value());
        match order {
            Some(Ordering::Equal) => theirs.value().is_none() && own.value().is_some(),
            Some(order) => order == Ordering::Greater,
            None => item.position > mine.position,
        }
    }

    /// Takes over an item that a peer holds, unless this mirror knows better. Returns the change.
    fn adopt(&mut self, now: Time, item: HeldItem) -> Option<Change> {
        if item.position.era >= self.position.era || self.released.contains(&item.key) {
            return None;
        }
        let mine = self.entries.get(&item.key);
        let stored = match mine {
            Some(mine) if mine.hold.is_some() && !self.is_later(&item, mine) => return None,
            // The key was deleted in this era, or its hold is over.
            Some(mine) if mine.hold.is_none() && mine.state.value().is_none() => return None,
            Some(mine) => mine.stored().map(|(at, value)| (at, value.clone())),
            None => None,
        };
        // Any revision above that of the deletion was given out after it, in whichever era.
        let changed_since = item.state.value().is_none()
            && stored
                .as_ref()
                .is_some_and(|(at, _)| at.revision > item.position.revision);
        let stored_value = stored.as_ref().map(|(_, value)| value);
        let winner = self.winner(&item.key, &item.state, stored_value, changed_since);
        let Winner::Known(time) = winner else {
            return None;
        };
        let was_written = stored
            .as_ref()
            .is_some_and(|(at, _)| at.revision > self.copied);
        if was_written && time.is_some() {
            return None;
        }
        let left = item.left_ms.map(|left| Duration::from_millis(left.into()));
        let until = time.map(|time| now + left.map_or(time, |left| left.min(time)));
        let value = item.state.value().cloned();
        let changes = mine.and_then(|mine| mine.state.value()) != value.as_ref();
        self.held.insert(item.key.clone());
        let entry = Entry {
            position: item.position,
            written: mine.and_then(|mine| mine.written),
            deleted_at: value.is_none().then_some(now),
            state: item.state,
            hold: Some(Hold { stored, until }),
        };
        self.entries.insert(item.key.clone(), entry);
        changes.then_some(Change {
            key: item.key,
            position: item.position,
            value,
        })
    }

    /// Ends the hold of a key, whose state is then that in the store. Returns the change.
    fn release(&mut self, now: Time, key: &Arc<str>) -> Option<Change> {
        let position = self.position;
        self.held.remove(key);
        self.released.insert(key.clone());
        let entry = self.entries.get_mut(key)?;
        let stored = entry.hold.take()?.stored;
        let previous = entry.state.clone();
        *entry = match stored {
            Some((position, value)) => Entry::present(position, value),
            None => entry.clone().into_deleted(position, now),
        };
        (entry.state.value() != previous.value()).then(|| Change {
            key: key.clone(),
            position: entry.position,
            value: entry.state.value().cloned(),
        })
    }

    /// Returns the store's items as known to this mirror, without those that it only holds.
    fn stored_items(&self) -> impl Iterator<Item = Change> {
        self.entries.iter().filter_map(|(key, entry)| {
            let (position, value) = entry.stored()?;
            Some(Change {
                key: key.clone(),
                position,
                value: Some(value.clone()),
            })
        })
    }

    fn held_item(&self, now: Time, key: &Arc<str>) -> HeldItem {
        let entry = &self.entries[key];
        let until = entry.hold.as_ref().and_then(|hold| hold.until);
        let left = until.map(|until| until.since(now).as_millis());
        HeldItem {
            key: key.clone(),
            position: entry.position,
            state: entry.state.clone(),
            left_ms: left.map(|left| u32::try_from(left).unwrap_or(u32::MAX)),
        }
    }

    fn record(&mut self, change: Change) {
        self.history.push_back(change);
        if self.history.len() > MAX_HISTORY
            && let Some(dropped) = self.history.pop_front()
        {
            self.floor = self.floor.max(dropped.position.revision);
        }
    }

    /// Applies a change of the mirror's era if it is newer than the known state of its key.
    fn apply(&mut self, now: Time, change: &Change) -> Applied {
        let Change {
            key,
            position,
            value,
        } = change;
        let Some(entry) = self.entries.get_mut(key) else {
            return self.apply_unknown(change);
        };
        if entry.hold.is_some() {
            return self.apply_held(now, change);
        }
        match (entry.state.value().is_some(), value) {
            (false, _) => self.apply_unknown(change),
            (true, Some(_)) if *position <= entry.position => Applied::Outdated,
            (true, None) if *position < entry.position => Applied::Outdated,
            (true, Some(value)) => {
                *entry = Entry::present(*position, value.clone());
                Applied::Changed
            }
            (true, None) => {
                *entry = entry.clone().into_deleted(*position, now);
                Applied::Changed
            }
        }
    }

    /// Applies a change of a key that is absent. One up to the mirror's position is outdated: the mirror has seen its
    /// later deletion.
    fn apply_unknown(&mut self, change: &Change) -> Applied {
        let is_known = change.position <= self.position && self.position.revision > 0;
        match &change.value {
            Some(value) if !is_known => {
                let entry = Entry::present(change.position, value.clone());
                self.entries.insert(change.key.clone(), entry);
                Applied::Changed
            }
            _ => Applied::Outdated,
        }
    }

    /// Applies a change of a key whose state of an earlier era is held.
    fn apply_held(&mut self, now: Time, change: &Change) -> Applied {
        let Some(entry) = self.entries.get_mut(&change.key) else {
            return Applied::Outdated;
        };
        let stored = entry.stored().map(|(position, _)| position);
        if stored.is_some_and(|stored| change.position <= stored && change.value.is_some()) {
            return Applied::Outdated;
        }
        let outweighed = change.value.as_ref().is_some_and(|value| {
            let order = self
                .order
                .compare(&change.key, value, entry.state.last_value());
            order == Some(Ordering::Less) || change.position.revision <= self.copied
        });
        if let Some(hold) = entry.hold.as_mut().filter(|_| outweighed) {
            hold.stored = change.value.clone().map(|value| (change.position, value));
            return Applied::Outweighed;
        }
        let previous = entry.state.clone();
        *entry = match &change.value {
            Some(value) => Entry::present(change.position, value.clone()),
            None => entry.clone().into_deleted(change.position, now),
        };
        self.held.remove(&change.key);
        if entry.state.value() == previous.value() {
            Applied::Outweighed
        } else {
            Applied::Changed
        }
    }
}
