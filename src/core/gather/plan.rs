use std::time::Duration;

use smallvec::SmallVec;

use crate::core::{Time, retry::Purpose};

/// Time after which a part without a usable leaf is tried again.
const ROOM_RETRY: Duration = Duration::from_millis(4);

/// The same for a request that is late.
const LATE_ROOM_RETRY: Duration = Duration::from_millis(20);

/// Time after which a part that a leaf shed is sent again, for each time it was shed: a leaf with two slots has
/// worked off a call or two.
const SHED_RETRY: Duration = Duration::from_millis(5);

/// Time after which a send that the budget did not allow is considered again.
const UNPAID_RETRY: Duration = Duration::from_millis(10);

/// Tries of one part that end before anything is sent, such as refused connections.
const UNSENT_TRIES: u8 = 4;

/// What bounds one request.
#[derive(Clone, Copy, Debug)]
pub struct PlanSettings {
    /// Number of parts.
    pub parts: usize,
    /// Least number of parts in a success.
    pub required: usize,
    /// Leafs that may run the request, for each part.
    pub max_attempts: u32,
    /// The request may run more than once.
    pub repeatable: bool,
    /// Usual time of a call.
    pub typical: Duration,
    /// Time after a send without an answer at which a second leaf is asked.
    pub hedge_delay: Duration,
    /// When the answer goes out with the parts that are there.
    pub partial_at: Time,
    /// When the request ends in any case.
    pub deadline: Time,
}

/// What happened to a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was sent, or the leaf says that it ran nothing.
    NotRun,
    /// The leaf has no room and ran nothing. It may be asked again a little later.
    Shed,
    /// The leaf may have run the request.
    MayHaveRun,
}

/// How a request ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// Answer with the parts that are there.
    Answer,
    /// Too few parts can still come.
    Unreachable,
    /// The time is over.
    Timeout,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send these parts now. Those with a purpose were sent before.
    Send(SmallVec<[(usize, Option<Purpose>); 8]>),
    /// Nothing to do before this time unless a call ends.
    Wait(Time),
    Finish(Completion),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    Done,
    Lost,
}

#[derive(Clone, Copy, Debug)]
struct Part {
    state: State,
    /// Sends in progress.
    open: u8,
    /// Leafs that may have run it, those in progress included.
    ran: u8,
    /// Sends so far.
    sent: u8,
    /// Tries that ended before anything ran.
    unsent: u8,
    /// When it is sent next.
    next: Time,
}

impl Part {
    /// Returns what another send would be for. `fails` tells whether the request fails if a part stays missing,
    /// `late` whether it has missed its objective.
    fn purpose(&self, fails: bool, late: bool) -> Option<Purpose> {
        let purpose = match (self.open > 0, fails) {
            _ if late => Purpose::Late,
            (false, true) => Purpose::RequiredRetry,
            (false, false) => Purpose::OptionalRetry,
            (true, true) => Purpose::RequiredHedge,
            (true, false) => Purpose::OptionalHedge,
        };
        (self.sent > 0).then_some(purpose)
    }
}

/// The parts of one request.
#[derive(Debug)]
pub struct Plan {
    settings: PlanSettings,
    parts: SmallVec<[Part; 16]>,
}

impl Plan {
    /// Starts a request at `now`.
    pub fn new(settings: PlanSettings, now: Time) -> Self {
        let part = Part {
            state: State::Open,
            open: 0,
            ran: 0,
            sent: 0,
            unsent: 0,
            next: now,
        };
        Self {
            settings,
            parts: (0..settings.parts).map(|_| part).collect(),
        }
    }

    /// Returns what bounds the request.
    pub fn settings(&self) -> &PlanSettings {
        &self.settings
    }

    /// Returns what to do at `now`.
    pub fn step(&self, now: Time) -> Step {
        let Settled { done, open } = self.settled();
        let required = self.settings.required;
        if done == self.parts.len() || (open == 0 && done >= required) {
            return Step::Finish(Completion::Answer);
        }
        if done + open < required {
            return Step::Finish(Completion::Unreachable);
        }
        if now >= self.settings.deadline {
            let end = if done >= required {
                Completion::Answer
            } else {
                Completion::Timeout
            };
            return Step::Finish(end);
        }
        if done >= required && now >= self.settings.partial_at {
            return Step::Finish(Completion::Answer);
        }
        let late = self.is_late(now);
        let fails = self.parts.len() - done > self.parts.len() - required;
        let due: SmallVec<[(usize, Option<Purpose>); 8]> = self
            .parts
            .iter()
            .enumerate()
            .filter(|(_, part)| self.may_send(part) && now >= part.next)
            .map(|(index, part)| (index, part.purpose(fails, late)))
            .collect();
        if !due.is_empty() {
            return Step::Send(due);
        }
        let next = self.parts.iter().filter(|part| self.may_send(part));
        let mut until = next
            .map(|part| part.next)
            .min()
            .unwrap_or(self.settings.deadline);
        if now < self.settings.partial_at {
            until = until.min(self.settings.partial_at);
        }
        Step::Wait(until.min(self.settings.deadline))
    }

    /// Records that a part was sent.
    pub fn record_sent(&mut self, part: usize, now: Time) {
        let hedge = self.settings.hedge_delay;
        let repeatable = self.settings.repeatable;
        let part = &mut self.parts[part];
        part.open += 1;
        part.ran += 1;
        part.sent = part.sent.saturating_add(1);
        part.next = if repeatable {
            now + hedge
        } else {
            Time(u64::MAX)
        };
    }

    /// Takes back a send that was not made in the end.
    pub fn revert_sent(&mut self, part: usize) {
        let part = &mut self.parts[part];
        part.open -= 1;
        part.ran -= 1;
        part.sent -= 1;
    }

    /// Records that a part that was due has no leaf to go to now.
    pub fn record_no_room(&mut self, part: usize, now: Time) {
        let late = self.is_late(now);
        self.parts[part].next = now + if late { LATE_ROOM_RETRY } else { ROOM_RETRY };
    }

    /// Records that a part that was due has no leaf that works. It is lost unless a send is in progress.
    pub fn record_no_leaf(&mut self, part: usize) {
        let part = &mut self.parts[part];
        part.next = Time(u64::MAX);
        if part.open == 0 && part.state == State::Open {
            part.state = State::Lost;
        }
    }

    /// Records that the budget does not allow another send. The part is lost unless a send is in progress.
    pub fn record_no_budget(&mut self, part: usize, now: Time) {
        self.record_no_leaf(part);
        // Another part's failure may make this one needed.
        self.parts[part].next = now + UNPAID_RETRY;
    }

    /// Records the answer of a part. Returns whether it is the first.
    pub fn record_answer(&mut self, part: usize) -> bool {
        let part = &mut self.parts[part];
        part.open = part.open.saturating_sub(1);
        let first = part.state != State::Done;
        part.state = State::Done;
        first
    }

    /// Records the failure of a send.
    pub fn record_failure(&mut self, part: usize, now: Time, failure: Failure) {
        let (attempts, repeatable) = (self.settings.max_attempts, self.settings.repeatable);
        let part = &mut self.parts[part];
        part.open = part.open.saturating_sub(1);
        let mut next = now;
        let again = match failure {
            Failure::NotRun | Failure::Shed => {
                part.ran = part.ran.saturating_sub(1);
                part.unsent += 1;
                if failure == Failure::Shed {
                    next = now + SHED_RETRY * u32::from(part.unsent);
                }
                part.unsent < UNSENT_TRIES
            }
            Failure::MayHaveRun => repeatable,
        };
        if part.state != State::Open {
            return;
        }
        if again && u32::from(part.ran) < attempts {
            part.next = if part.open == 0 {
                next
            } else {
                part.next.min(next)
            };
        } else if part.open == 0 {
            part.state = State::Lost;
        } else {
            part.next = Time(u64::MAX);
        }
    }

    /// Returns whether a call that is sent now usually ends after the objective.
    pub fn is_late(&self, now: Time) -> bool {
        now + self.settings.typical > self.settings.partial_at
    }

    /// Returns whether any leaf may have run a part.
    pub fn may_have_run(&self) -> bool {
        self.parts.iter().any(|part| part.ran > 0)
    }

    /// Returns whether a part is answered.
    pub fn is_answered(&self, part: usize) -> bool {
        self.parts[part].state == State::Done
    }

    /// Returns the number of answered parts.
    pub fn answered_count(&self) -> usize {
        self.settled().done
    }

    fn may_send(&self, part: &Part) -> bool {
        part.state == State::Open
            && u32::from(part.ran) < self.settings.max_attempts
            && (part.open == 0 || self.settings.repeatable)
    }

    fn settled(&self) -> Settled {
        let count = |state| self.parts.iter().filter(|part| part.state == state).count();
        Settled {
            done: count(State::Done),
            open: count(State::Open),
        }
    }
}

struct Settled {
    done: usize,
    open: usize,
}
