use std::time::Duration;

use smallvec::SmallVec;

use crate::core::{Time, retry::Purpose};

/// Delay before a part that found no leaf with free capacity is tried again.
const NO_ROOM_DELAY: Duration = Duration::from_millis(4);

/// The same delay for a request that can no longer meet its objective.
const LATE_NO_ROOM_DELAY: Duration = Duration::from_millis(20);

/// Delay before a part that a leaf shed is sent again, multiplied by the number of attempts that did not run. In this
/// time a leaf with two slots finishes one or two calls.
const SHED_DELAY: Duration = Duration::from_millis(5);

/// Delay before an extra call that the retry budget rejected is considered again.
const NO_BUDGET_DELAY: Duration = Duration::from_millis(10);

/// Maximum number of attempts of one part that end without running, such as refused connections and shed calls.
const MAX_NOT_RUN: u32 = 4;

/// Settings of the plan of one request.
#[derive(Clone, Copy, Debug)]
pub struct PlanSettings {
    /// Number of parts.
    pub parts: usize,
    /// Minimum number of answered parts for a successful answer.
    pub required: usize,
    /// Maximum number of leaves that may run the request, for each part.
    pub max_attempts: u32,
    /// The request may run more than once.
    pub repeatable: bool,
    /// Typical latency of a leaf call.
    pub typical: Duration,
    /// Time without an answer after which a part is also sent to a second leaf.
    pub hedge_delay: Duration,
    /// When the parts received so far are returned, if those are enough, so that the answer meets its latency
    /// objective.
    pub partial_at: Time,
    /// When the request ends regardless of the parts received.
    pub deadline: Time,
}

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The call was not sent, or the leaf reported that it did not run it.
    NotRun,
    /// The leaf had no free capacity and did not run the call. It may be called again after a short delay.
    Shed,
    /// The leaf may have run the request.
    MayHaveRun,
}

/// How a request completes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// Return the parts received so far.
    Answer,
    /// The required number of parts can no longer be reached.
    Unreachable,
    /// The deadline has passed.
    Timeout,
}

/// The next action for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send these parts now. A part with a purpose was sent before.
    Send(SmallVec<[(usize, Option<Purpose>); 8]>),
    /// Wait until this time or the end of a call.
    Wait(Time),
    Finish(Completion),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Pending,
    Answered,
    Failed,
}

#[derive(Clone, Copy, Debug)]
struct Part {
    state: State,
    /// Calls in progress.
    in_flight: u32,
    /// Leaves that may have run the part, including calls in progress.
    may_have_run: u32,
    /// Calls sent so far.
    sent: u32,
    /// Attempts that ended without running.
    not_run: u32,
    /// When the part is due to be sent next.
    next_send: Time,
}

impl Part {
    /// Returns the purpose of another call, `None` for the first one.
    ///
    /// `below_required` is set if the request fails unless more parts are answered, `late` if it can no longer meet
    /// its objective.
    fn purpose(&self, below_required: bool, late: bool) -> Option<Purpose> {
        let purpose = match (self.in_flight > 0, below_required) {
            _ if late => Purpose::Late,
            (false, true) => Purpose::RequiredRetry,
            (false, false) => Purpose::OptionalRetry,
            (true, true) => Purpose::RequiredHedge,
            (true, false) => Purpose::OptionalHedge,
        };
        (self.sent > 0).then_some(purpose)
    }
}

/// Plans the calls of one request.
#[derive(Debug)]
pub struct Plan {
    settings: PlanSettings,
    parts: SmallVec<[Part; 16]>,
}

impl Plan {
    /// Starts a request at `now`.
    pub fn new(settings: PlanSettings, now: Time) -> Self {
        let part = Part {
            state: State::Pending,
            in_flight: 0,
            may_have_run: 0,
            sent: 0,
            not_run: 0,
            next_send: now,
        };
        Self {
            settings,
            parts: (0..settings.parts).map(|_| part).collect(),
        }
    }

    /// Returns the settings of the plan.
    pub fn settings(&self) -> &PlanSettings {
        &self.settings
    }

    /// Ends the request at `now` if it has not ended before.
    pub fn end_at(&mut self, now: Time) {
        self.settings.deadline = self.settings.deadline.min(now);
    }

    /// Returns the next action at `now`.
    pub fn step(&self, now: Time) -> Step {
        let PartCounts { answered, pending } = self.counts();
        let required = self.settings.required;
        if answered == self.parts.len() || (pending == 0 && answered >= required) {
            return Step::Finish(Completion::Answer);
        }
        if answered + pending < required {
            return Step::Finish(Completion::Unreachable);
        }
        if now >= self.settings.deadline {
            let completion = if answered >= required {
                Completion::Answer
            } else {
                Completion::Timeout
            };
            return Step::Finish(completion);
        }
        if answered >= required && now >= self.settings.partial_at {
            return Step::Finish(Completion::Answer);
        }
        let late = self.is_late(now);
        let below_required = self.parts.len() - answered > self.parts.len() - required;
        let due: SmallVec<[(usize, Option<Purpose>); 8]> = self
            .parts
            .iter()
            .enumerate()
            .filter(|(_, part)| self.may_send(part) && now >= part.next_send)
            .map(|(index, part)| (index, part.purpose(below_required, late)))
            .collect();
        if !due.is_empty() {
            return Step::Send(due);
        }
        let sendable = self.parts.iter().filter(|part| self.may_send(part));
        let mut until = sendable
            .map(|part| part.next_send)
            .min()
            .unwrap_or(self.settings.deadline);
        if now < self.settings.partial_at {
            until = until.min(self.settings.partial_at);
        }
        Step::Wait(until.min(self.settings.deadline))
    }

    /// Records that a part was sent.
    pub fn record_sent(&mut self, part: usize, now: Time) {
        let hedge_delay = self.settings.hedge_delay;
        let repeatable = self.settings.repeatable;
        let part = &mut self.parts[part];
        part.in_flight += 1;
        part.may_have_run += 1;
        part.sent += 1;
        part.next_send = if repeatable {
            now + hedge_delay
        } else {
            Time(u64::MAX)
        };
    }

    /// Reverts [`Plan::record_sent`] for a call that was not made.
    pub fn revert_sent(&mut self, part: usize) {
        let part = &mut self.parts[part];
        part.in_flight -= 1;
        part.may_have_run -= 1;
        part.sent -= 1;
    }

    /// Records that no leaf has free capacity for a due part at present.
    pub fn record_no_room(&mut self, part: usize, now: Time) {
        let late = self.is_late(now);
        self.parts[part].next_send = now
            + if late {
                LATE_NO_ROOM_DELAY
            } else {
                NO_ROOM_DELAY
            };
    }

    /// Records that a leaf for a due part has capacity again at `until`.
    pub fn record_full_until(&mut self, part: usize, until: Time) {
        self.parts[part].next_send = until;
    }

    /// Records that no leaf for a due part is available. The part fails unless a call is in progress.
    pub fn record_no_leaf(&mut self, part: usize) {
        let part = &mut self.parts[part];
        part.next_send = Time(u64::MAX);
        if part.in_flight == 0 && part.state == State::Pending {
            part.state = State::Failed;
        }
    }

    /// Records that the retry budget does not allow another call. The part fails unless a call is in progress.
    pub fn record_no_budget(&mut self, part: usize, now: Time) {
        self.record_no_leaf(part);
        // The failure of another part may make this one required.
        self.parts[part].next_send = now + NO_BUDGET_DELAY;
    }

    /// Records an answer for a part. Returns whether it is the first one.
    pub fn record_answer(&mut self, part: usize) -> bool {
        let part = &mut self.parts[part];
        part.in_flight = part.in_flight.saturating_sub(1);
        let first = part.state != State::Answered;
        part.state = State::Answered;
        first
    }

    /// Records the failure of a call.
    pub fn record_failure(&mut self, part: usize, now: Time, failure: Failure) {
        let (max_attempts, repeatable) = (self.settings.max_attempts, self.settings.repeatable);
        let part = &mut self.parts[part];
        part.in_flight = part.in_flight.saturating_sub(1);
        let mut next_send = now;
        let may_resend = match failure {
            Failure::NotRun | Failure::Shed => {
                part.may_have_run = part.may_have_run.saturating_sub(1);
                part.not_run += 1;
                if failure == Failure::Shed {
                    next_send = now + SHED_DELAY * part.not_run;
                }
                part.not_run < MAX_NOT_RUN
            }
            Failure::MayHaveRun => repeatable,
        };
        if part.state != State::Pending {
            return;
        }
        if may_resend && part.may_have_run < max_attempts {
            part.next_send = if part.in_flight == 0 {
                next_send
            } else {
                part.next_send.min(next_send)
            };
        } else if part.in_flight == 0 {
            part.state = State::Failed;
        } else {
            part.next_send = Time(u64::MAX);
        }
    }

    /// Returns whether a call sent now would typically end too late for the objective, that is after `partial_at`.
    pub fn is_late(&self, now: Time) -> bool {
        now + self.settings.typical > self.settings.partial_at
    }

    /// Returns whether any leaf may have run a part.
    pub fn may_have_run(&self) -> bool {
        self.parts.iter().any(|part| part.may_have_run > 0)
    }

    /// Returns whether a part has been answered.
    pub fn is_answered(&self, part: usize) -> bool {
        self.parts[part].state == State::Answered
    }

    /// Returns the number of answered parts.
    pub fn answered_count(&self) -> usize {
        self.counts().answered
    }

    fn may_send(&self, part: &Part) -> bool {
        part.state == State::Pending
            && part.may_have_run < self.settings.max_attempts
            && (part.in_flight == 0 || self.settings.repeatable)
    }

    fn counts(&self) -> PartCounts {
        let count = |state| self.parts.iter().filter(|part| part.state == state).count();
        PartCounts {
            answered: count(State::Answered),
            pending: count(State::Pending),
        }
    }
}

struct PartCounts {
    answered: usize,
    pending: usize,
}
