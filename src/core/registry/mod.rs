//! The leafs that may be used, from what they publish about themselves.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use crate::core::{Domain, Instance, ServiceName, Time};

/// Time after the platform's return in which entries that lapsed meanwhile come back. The platform states about
/// two seconds; the rest covers the way of the news.
const LAPSE_GRACE: Duration = Duration::from_millis(2_600);

/// Length of an outage, from its first failed call, in which entries may lapse without their leafs' fault: leafs miss
/// a report.
const OUTAGE: Duration = Duration::from_millis(1_000);

/// What a leaf publishes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeafRecord {
    pub instance: Instance,
    pub service: ServiceName,
    pub address: SocketAddr,
    pub domain: Domain,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// It takes no new work.
    pub leaving: bool,
    /// How long it stays cold, as of the record.
    pub warmup_left: Duration,
    /// Start of the process, Unix milliseconds: tells two runs under one id apart.
    pub start_ms: Option<u64>,
}

/// What became of a leaf.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeafChange {
    Updated(Arc<LeafRecord>),
    Removed(Instance),
}

/// The published leafs, with removals that are not yet believed.
#[derive(Debug, Default)]
pub struct Registry {
    leafs: HashMap<Instance, Arc<LeafRecord>>,
    /// When removals that may only be lapsed entries take effect.
    removals: HashMap<Instance, Time>,
    /// Since when the platform has not answered.
    lost: Option<Time>,
    /// Until when removals are held back.
    grace: Option<Time>,
}

impl Registry {
    /// Records that the platform did not answer. Returns whether it did before.
    pub fn record_failure(&mut self, now: Time) -> bool {
        let first = self.lost.is_none();
        self.lost.get_or_insert(now);
        first
    }

    /// Records an answer of the platform. After an outage, removals are held back for a while. Returns whether the
    /// platform did not answer before.
    pub fn record_answer(&mut self, now: Time) -> bool {
        let lost = self.lost.take();
        if lost.is_some_and(|since| now.since(since) > OUTAGE) {
            self.grace = Some(now + LAPSE_GRACE);
        }
        lost.is_some()
    }

    /// Returns whether the platform does not answer.
    pub fn is_store_lost(&self) -> bool {
        self.lost.is_some()
    }

    /// Returns for how long removals are still held back.
    pub fn grace_left(&self, now: Time) -> Duration {
        self.grace.map_or(Duration::ZERO, |until| until.since(now))
    }

    /// Holds removals back for `grace`: another node noticed an outage, which this one may have missed.
    pub fn extend_grace(&mut self, now: Time, grace: Duration) {
        let until = now + grace.min(LAPSE_GRACE);
        self.grace = self.grace.max(Some(until));
    }

    /// Takes a record. Returns the change, if any.
    pub fn put(&mut self, record: LeafRecord) -> Option<LeafChange> {
        self.removals.remove(&record.instance);
        let known = self.leafs.get(&record.instance);
        if known.is_some_and(|known| **known == record) {
            return None;
        }
        let record = Arc::new(record);
        self.leafs.insert(record.instance.clone(), record.clone());
        Some(LeafChange::Updated(record))
    }

    /// Takes the removal of a record. Returns the change if it takes effect at once.
    pub fn remove(&mut self, now: Time, instance: &Instance) -> Option<LeafChange> {
        let known = self.leafs.get(instance)?;
        match self.grace.filter(|until| now < *until) {
            // A leaf that was leaving has left.
            Some(until) if !known.leaving => {
                self.removals.insert(instance.clone(), until);
                None
            }
            _ => self.drop_leaf(instance),
        }
    }

    /// Returns the removals that take effect now.
    pub fn tick(&mut self, now: Time) -> Vec<LeafChange> {
        let due: Vec<Instance> = self
            .removals
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(instance, _)| instance.clone())
            .collect();
        due.iter().filter_map(|leaf| self.drop_leaf(leaf)).collect()
    }

    /// Returns the number of leafs.
    pub fn len(&self) -> usize {
        self.leafs.len()
    }

    /// Returns whether no leaf is known.
    pub fn is_empty(&self) -> bool {
        self.leafs.is_empty()
    }

    fn drop_leaf(&mut self, instance: &Instance) -> Option<LeafChange> {
        self.removals.remove(instance);
        let gone = self.leafs.remove(instance)?;
        Some(LeafChange::Removed(gone.instance.clone()))
    }
}
