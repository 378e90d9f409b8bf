use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use tokio::sync::{Mutex, Notify};

use crate::core::{
    Time,
    mirror::{Freshness, PauseGuard},
};

/// How current this node's copy of the store's items is, and the signals between the tasks that keep it so.
#[derive(Debug)]
pub(super) struct SyncState {
    /// Whether this node reads the store, and the store answered its last call.
    pub(super) reading: Cell<bool>,
    /// When the store last answered this node.
    pub(super) answered: Cell<Option<Time>>,
    /// What other nodes say of how current the copy is.
    pub(super) currency: RefCell<Freshness>,
    /// Whether this process was paused and has learnt nothing since.
    pub(super) wake: Cell<PauseGuard>,
    /// This node lacks more than another node can pass on, and reads the store once.
    pub(super) catch_up: Cell<bool>,
    /// Signals that `catch_up` is set.
    pub(super) too_much: Notify,
    /// Signals that another node's copy is ahead.
    pub(super) behind: Notify,
    /// Signals that this node's own reads brought changes, or that they work again.
    pub(super) fresh: Notify,
    /// Held while changes are put into force.
    pub(super) order: Mutex<()>,
}

impl SyncState {
    pub(super) fn new(now: Time) -> Self {
        Self {
            reading: Cell::new(false),
            answered: Cell::new(None),
            currency: RefCell::default(),
            wake: Cell::new(PauseGuard::new(now)),
            catch_up: Cell::new(false),
            too_much: Notify::new(),
            behind: Notify::new(),
            fresh: Notify::new(),
            order: Mutex::default(),
        }
    }

    /// Returns how long ago the copy was known to be complete.
    pub(super) fn age(&self, now: Time) -> Duration {
        let told = self.currency.borrow().age(now);
        let read = self.answered.get().map(|at| now.since(at));
        read.map_or(told, |read| read.min(told))
    }

    /// Returns whether the node still acts on what it knew before a pause.
    pub(super) fn is_outdated(&self, now: Time) -> bool {
        self.wake.get().is_outdated(now, self.age(now))
    }

    /// Records a regular tick of the process.
    pub(super) fn tick(&self, now: Time) {
        let mut wake = self.wake.get();
        wake.tick(now);
        self.wake.set(wake);
    }
}
