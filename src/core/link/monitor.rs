use std::time::Duration;

use smallvec::SmallVec;

use crate::core::{Instance, Time};

/// Number of leaves that have to be silent, or to accept no connection, before the link is checked. A single leaf may be
/// paused or may have ended.
const MIN_LEAVES: usize = 2;

/// Time without an answer of any leaf after which the link is checked. It is longer than the pauses of leaves.
const MIN_SILENCE: Duration = Duration::from_millis(150);

/// Number of leaves that a check asks for a connection if the link seems to be up: enough to show that it is.
const ASKED_WHILE_UP: usize = 2;

/// Number of leaves that the check asks after which the link counts as down. Many leaves may be down while it is up.
const ASKED_TO_DECIDE: usize = 12;

/// Number of leaves that a check asks while the link is down.
const ASKED_WHILE_DOWN: usize = 4;

/// Age of the last answer from which on open connections count as useless while new ones cannot be opened.
const MAX_ANSWER_AGE: Duration = Duration::from_secs(1);

/// Number of checks in a row that no leaf answers before the link counts as down, and that most leaves answer before it
/// counts as up again.
const DECIDING_CHECKS: u32 = 2;

/// Minimum time between checks that show that the link is up.
const UP_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of the checks while the link is down.
const DOWN_INTERVAL: Duration = Duration::from_millis(250);

/// Interval of the checks while the link seems to be back.
const BACK_INTERVAL: Duration = Duration::from_millis(100);

/// Time in which a node opens its connections to the leaves after the link is back.
const WARM_UP_TIME: Duration = Duration::from_millis(700);

/// State of a node's link to the leaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    #[default]
    Up,
    /// No leaf accepts a new connection, but leaves answer over open ones.
    NoNewConnections,
    /// No leaf accepts a connection or answers.
    Lost,
    /// Leaves accept connections again, and the node opens its connections.
    Returning,
}

/// The result of a check of the link: the node tried to open connections to some leaves and to some other nodes.
#[derive(Clone, Copy, Debug)]
pub struct LinkCheck {
    /// Number of leaves that were asked.
    pub asked: usize,
    /// Number of leaves that accepted.
    pub accepted: usize,
    /// Whether another node accepted.
    pub peer_accepted: bool,
}

impl LinkCheck {
    /// Returns whether the check shows anything about the link to the leaves. If the other nodes do not accept either, all
    /// links of this node are down or late.
    fn is_conclusive(&self) -> bool {
        self.accepted > 0 || self.asked > 0 && self.peer_accepted
    }
}

/// Decides whether a node's link to the leaves is up.
///
/// Calls and connections only raise a suspicion. A check decides: the node opens connections to some leaves of different
/// services, of which at least one accepts unless the link is down.
#[derive(Debug, Default)]
pub struct LinkMonitor {
    state: LinkState,
    since: Time,
    /// Some leaves that were called since the last answer of any leaf.
    called: SmallVec<[Instance; MIN_LEAVES]>,
    /// Since when [`MIN_LEAVES`] leaves have been called without an answer of any leaf.
    silent_since: Option<Time>,
    /// Some leaves that have not accepted a connection since another one did.
    unreachable: SmallVec<[Instance; MIN_LEAVES]>,
    answered_at: Option<Time>,
    next_check: Time,
    /// Checks in a row with the result that differs from the state.
    differing: u32,
}

impl LinkMonitor {
    /// Returns the state of the link.
    pub fn state(&self) -> LinkState {
        self.state
    }

    /// Returns since when the link has been in its state.
    pub fn since(&self) -> Time {
        self.since
    }

    /// Records that a call was sent to a leaf.
    pub fn record_call(&mut self, now: Time, leaf: &Instance) {
        if add(&mut self.called, leaf) && self.called.len() == MIN_LEAVES {
            self.silent_since = Some(now);
        }
    }

    /// Records that a leaf answered a call.
    pub fn record_answer(&mut self, now: Time) {
        self.answered_at = Some(now);
        self.called.clear();
        self.silent_since = None;
    }

    /// Records that a leaf accepted a connection.
    pub fn record_accepted(&mut self) {
        self.unreachable.clear();
    }

    /// Records that a leaf refused a connection or did not accept it in time.
    pub fn record_unreachable(&mut self, leaf: &Instance) {
        add(&mut self.unreachable, leaf);
    }

    fn is_silent(&self, now: Time) -> bool {
        self.silent_since
            .is_some_and(|at| now.since(at) >= MIN_SILENCE)
    }

    /// Returns the number of leaves that the next check asks.
    pub fn leaves_to_ask(&self) -> usize {
        match (self.state, self.differing) {
            (LinkState::Up, 0) => ASKED_WHILE_UP,
            (LinkState::Up, _) => ASKED_TO_DECIDE,
            _ => ASKED_WHILE_DOWN,
        }
    }

    /// Returns the time until the next check that is due without any new event, `None` if there is none.
    pub fn next_check(&self, now: Time) -> Option<Duration> {
        let is_pending = self.state != LinkState::Up || self.differing > 0;
        is_pending.then(|| self.next_check.since(now))
    }

    /// Returns whether the link must be checked now.
    pub fn is_check_due(&self, now: Time) -> bool {
        let suspected =
            self.is_silent(now) || self.unreachable.len() == MIN_LEAVES || self.differing > 0;
        now >= self.next_check && (suspected || self.state != LinkState::Up)
    }

    /// Records the result of a check. Returns whether the state changed.
    pub fn record_check(&mut self, now: Time, check: LinkCheck) -> bool {
        let previous = self.state;
        let LinkCheck {
            asked, accepted, ..
        } = check;
        match (accepted, self.state) {
            _ if !check.is_conclusive() => self.next_check = now + DOWN_INTERVAL,
            (0, LinkState::Up) => {
                self.next_check = now;
                if self.count_differing() {
                    self.set_down(now);
                }
            }
            (0, _) => self.set_down(now),
            (_, LinkState::Up) => {
                self.forget_suspicion();
                self.next_check = now + UP_INTERVAL;
            }
            (_, LinkState::Returning) => {
                self.forget_suspicion();
                self.next_check = now + DOWN_INTERVAL;
                if now.since(self.since) >= WARM_UP_TIME {
                    self.set_state(now, LinkState::Up);
                }
            }
            (_, LinkState::Lost | LinkState::NoNewConnections) if 2 * accepted >= asked => {
                self.next_check = now + BACK_INTERVAL;
                if self.count_differing() {
                    self.forget_suspicion();
                    self.set_state(now, LinkState::Returning);
                }
            }
            (_, LinkState::Lost | LinkState::NoNewConnections) => {
                self.differing = 0;
                self.next_check = now + DOWN_INTERVAL;
            }
        }
        self.state != previous
    }

    /// Counts a check that differs from the state. Returns whether there were enough.
    fn count_differing(&mut self) -> bool {
        self.differing += 1;
        self.differing >= DECIDING_CHECKS
    }

    /// Records that no leaf accepts a connection.
    fn set_down(&mut self, now: Time) {
        self.next_check = now + DOWN_INTERVAL;
        let answers = self
            .answered_at
            .is_some_and(|at| now.since(at) < MAX_ANSWER_AGE)
            && !self.is_silent(now);
        self.set_state(
            now,
            match answers {
                true => LinkState::NoNewConnections,
                false => LinkState::Lost,
            },
        );
    }

    fn set_state(&mut self, now: Time, state: LinkState) {
        self.differing = 0;
        if self.state != state {
            self.state = state;
            self.since = now;
        }
    }

    fn forget_suspicion(&mut self) {
        self.called.clear();
        self.silent_since = None;
        self.unreachable.clear();
        self.differing = 0;
    }
}

/// Adds a leaf to a short list unless it is full or has the leaf. Returns whether it was added.
fn add(leaves: &mut SmallVec<[Instance; MIN_LEAVES]>, leaf: &Instance) -> bool {
    let is_new = leaves.len() < MIN_LEAVES && !leaves.contains(leaf);
    if is_new {
        leaves.push(leaf.clone());
    }
    is_new
}
