//! The leaves that are registered in the platform's store.

mod misdirection;

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use crate::core::{Domain, Instance, ServiceName, Time};

pub use self::misdirection::Misdirection;

/// Time after a long outage of the store for which removals are held back, so that leaves whose entries expired during
/// the outage can register again. The platform states about two seconds; the rest covers the propagation of changes.
const REMOVAL_GRACE: Duration = Duration::from_millis(2_600);

/// Minimum duration of an outage, from its first failed call, after which entries of working leaves may have expired
/// because the leaves could not renew them.
const MIN_OUTAGE: Duration = Duration::from_millis(1_000);

/// The entry that a leaf publishes about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeafRecord {
    pub instance: Instance,
    pub service: ServiceName,
    pub address: SocketAddr,
    pub domain: Domain,
    /// Number of requests that the leaf runs concurrently.
    pub slots: u32,
    /// The leaf accepts no new requests.
    pub leaving: bool,
    /// Remaining warm-up time when the record was published.
    pub warmup_left: Duration,
    /// Start time of the process in Unix milliseconds. Distinguishes incarnations with the same id.
    pub start_ms: Option<u64>,
}

/// A change of a registered leaf.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeafChange {
    /// The leaf was added, or its record changed.
    Updated(Arc<LeafRecord>),
    Removed(Instance),
}

/// The registered leaves, including those whose removal is held back.
#[derive(Debug, Default)]
pub struct Registry {
    leaves: HashMap<Instance, Arc<LeafRecord>>,
    /// When removals that may stem from expired entries of working leaves take effect.
    pending_removals: HashMap<Instance, Time>,
    /// Time of the first unanswered call, while the store does not answer.
    lost_since: Option<Time>,
    /// End of the time for which removals are held back.
    grace_until: Option<Time>,
}

impl Registry {
    /// Records an unanswered call to the store, which may not have answered since `since`. Returns whether it is the
    /// first one of an outage.
    pub fn record_failure(&mut self, since: Time) -> bool {
        let first = self.lost_since.is_none();
        self.lost_since.get_or_insert(since);
        first
    }

    /// Records an answer of the store to this node, or to another node that keeps this one up to date. Returns whether
    /// it ends an outage.
    ///
    /// After an outage longer than `MIN_OUTAGE`, removals are held back for `REMOVAL_GRACE`.
    pub fn record_answer(&mut self, now: Time) -> bool {
        let lost_since = self.lost_since.take();
        if lost_since.is_some_and(|since| now.since(since) > MIN_OUTAGE) {
            self.grace_until = Some(now + REMOVAL_GRACE);
        }
        lost_since.is_some()
    }

    /// Returns whether the store does not answer at present.
    pub fn is_store_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    /// Returns the remaining time for which removals are held back.
    pub fn grace_left(&self, now: Time) -> Duration {
        self.grace_until
            .map_or(Duration::ZERO, |until| until.since(now))
    }

    /// Holds back removals after the store has lost entries.
    pub fn hold_removals(&mut self, now: Time) {
        self.extend_grace(now, REMOVAL_GRACE);
    }

    /// Holds back removals for `grace`, up to the node's own grace period, after another node reported an outage that
    /// this node may have missed.
    pub fn extend_grace(&mut self, now: Time, grace: Duration) {
        let until = now + grace.min(REMOVAL_GRACE);
        self.grace_until = self.grace_until.max(Some(until));
    }

    /// Adds or updates a record. Returns the change, if any.
    pub fn put(&mut self, record: LeafRecord) -> Option<LeafChange> {
        self.pending_removals.remove(&record.instance);
        let known = self.leaves.get(&record.instance);
        if known.is_some_and(|known| **known == record) {
            return None;
        }
        let record = Arc::new(record);
        self.leaves.insert(record.instance.clone(), record.clone());
        Some(LeafChange::Updated(record))
    }

    /// Removes a record. Returns the change if it takes effect immediately rather than being held back.
    pub fn remove(&mut self, now: Time, instance: &Instance) -> Option<LeafChange> {
        let known = self.leaves.get(instance)?;
        match self.grace_until.filter(|until| now < *until) {
            // The removal of a leaf that announced its shutdown is never held back.
            Some(until) if !known.leaving => {
                self.pending_removals.insert(instance.clone(), until);
                None
            }
            _ => self.remove_now(instance),
        }
    }

    /// Applies the removals that are due, and returns them.
    pub fn tick(&mut self, now: Time) -> Vec<LeafChange> {
        let due: Vec<Instance> = self
            .pending_removals
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(instance, _)| instance.clone())
            .collect();
        due.iter()
            .filter_map(|leaf| self.remove_now(leaf))
            .collect()
    }

    /// Returns the number of registered leaves.
    pub fn len(&self) -> usize {
        self.leaves.len()
    }

    /// Returns whether no leaf is registered.
    pub fn is_empty(&self) -> bool {
        self.leaves.is_empty()
    }

    fn remove_now(&mut self, instance: &Instance) -> Option<LeafChange> {
        self.pending_removals.remove(instance);
        let removed = self.leaves.remove(instance)?;
        Some(LeafChange::Removed(removed.instance.clone()))
    }
}
