use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use tokio::sync::{Mutex, Notify};

use crate::core::{
    Time,
    mirror::{Freshness, PauseGuard},
};

/// Age of this node's mirror of the store, and the signals between the tasks that keep it in sync.
#[derive(Debug)]
pub(super) struct SyncState {
    /// Whether this node reads the store and its last call succeeded.
    pub(super) reading: Cell<bool>,
    /// When the store last answered this node.
    pub(super) last_answer: Cell<Option<Time>>,
    /// Freshness of the mirror as reported by other nodes.
    pub(super) freshness: RefCell<Freshness>,
    /// Whether this process was paused and has received no update since.
    pub(super) pause_guard: Cell<PauseGuard>,
    /// The missing changes are too large for another node to send, so this node reads the store once.
    pub(super) catch_up: Cell<bool>,
    /// Signals that `catch_up` is set.
    pub(super) catch_up_needed: Notify,
    /// Signals that another node's mirror is ahead.
    pub(super) peer_ahead: Notify,
    /// Signals that this node's own reads returned changes or succeed again.
    pub(super) read_update: Notify,
    /// Held while changes are applied.
    pub(super) apply_lock: Mutex<()>,
}

impl SyncState {
    pub(super) fn new(now: Time) -> Self {
        Self {
            reading: Cell::new(false),
            last_answer: Cell::new(None),
            freshness: RefCell::default(),
            pause_guard: Cell::new(PauseGuard::new(now)),
            catch_up: Cell::new(false),
            catch_up_needed: Notify::new(),
            peer_ahead: Notify::new(),
            read_update: Notify::new(),
            apply_lock: Mutex::default(),
        }
    }

    /// Returns how long ago the mirror was known to be complete.
    pub(super) fn age(&self, now: Time) -> Duration {
        let reported = self.freshness.borrow().age(now);
        let read = self.last_answer.get().map(|at| now.since(at));
        read.map_or(reported, |read| read.min(reported))
    }

    /// Returns whether the node still relies on state from before a pause.
    pub(super) fn is_outdated(&self, now: Time) -> bool {
        self.pause_guard.get().is_outdated(now, self.age(now))
    }

    /// Records a regular tick of the process.
    pub(super) fn tick(&self, now: Time) {
        let mut guard = self.pause_guard.get();
        guard.tick(now);
        self.pause_guard.set(guard);
    }
}
