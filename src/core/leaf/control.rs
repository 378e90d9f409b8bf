use std::time::Duration;

use crate::core::{
    Time,
    call::{LeafStatus, NotRun},
    config::LeafInfo,
    invariant::{Invariant, check},
    leaf::{CallResult, LatencyWindow, LeafSettings, Ticket, TicketId},
};

/// Maximum duration of one leaf call. A lease lasts 2 s, so a longer call could outlast it.
pub const MAX_CALL_TIME: Duration = Duration::from_millis(1_500);

/// Minimum time between the deadline of a call and the end of the lease, so that a call that stops late does not
/// overlap with the next holder's lease.
const LEASE_MARGIN: Duration = Duration::from_millis(100);

/// Allowance for the network delay to the leaf, which counts its deadline from receipt of the call. Must be less
/// than `LEASE_MARGIN`.
const STOP_MARGIN: Duration = Duration::from_millis(50);

/// Divisor of the call time that yields the allowance for clock drift: the leaf measures the time on its own clock.
/// Two clocks whose rates each deviate by up to 10% from true time differ by a factor of up to 1.1 / 0.9 = 1.22, so a
/// quarter of the time is added.
const DRIFT_DIVISOR: u32 = 4;

/// Minimum time until the deadline of a call: `x-deadline-ms` has no fractions.
const MIN_CALL_TIME: Duration = Duration::from_millis(1);

/// Time without a dispatch after which one call may start as a probe, although the time until its deadline is less
/// than the median latency. Without probes, short calls to a leaf that was slow for a while would be rejected
/// permanently.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Multiple of the baseline, the warm median, above which an answer counts as slow, which indicates a cold leaf.
const COLD_LATENCY_FACTOR: u32 = 8;

/// Number of consecutive slow answers after which a leaf is treated as cold.
const SLOW_ANSWER_LIMIT: u32 = 5;

/// Minimum number of samples before the median of a warm leaf is used as the baseline.
const MIN_BASELINE_SAMPLES: usize = 16;

/// Time in the cold state after which the baseline is discarded, so that a leaf that has become permanently slower
/// can warm up.
const BASELINE_TTL: Duration = Duration::from_secs(60);

/// The next action for a leaf.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeafAction {
    /// Send the call now, with this deadline.
    Dispatch { ticket: Ticket, deadline: Time },
    /// Answer the call with a rejection; nothing ran.
    Reject { ticket: Ticket, reason: NotRun },
    /// Nothing to do until `next_due` or another input, whichever is first. `None` means only another input.
    Idle { next_due: Option<Time> },
}

/// The effect of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancelled {
    /// The call was queued and has been removed; nothing ran.
    Dequeued,
    /// The call is in flight. It counts until the leaf has certainly stopped it.
    InFlight,
    /// The call is unknown or already finished.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct InFlightCall {
    id: TicketId,
    /// The deadline sent to the leaf.
    deadline: Time,
    sent: Time,
    /// The cold epoch at dispatch. Answers to calls of earlier epochs do not reflect the current state.
    epoch: u64,
    alone: bool,
    /// Sent although the time until its deadline was less than the median latency.
    probe: bool,
    /// Cancelled or lost with its connection: the call counts until the leaf confirms that it stopped, or until
    /// [`Self::stopped_at`].
    stopping: bool,
}

impl InFlightCall {
    /// Returns the time by which the leaf has certainly stopped, even without a confirmation.
    fn stopped_at(&self) -> Time {
        let drift = self.deadline.since(self.sent) / DRIFT_DIVISOR;
        self.deadline + STOP_MARGIN.max(drift)
    }
}

/// The load control of one leaf: cold ramp, slots and queue.
///
/// Owned by the node that holds the lease of the leaf's partition. The owner performs the actions that
/// [`Self::next_action`] returns and reports each result with [`Self::finish`].
#[derive(Debug)]
pub struct LeafControl {
    settings: LeafSettings,
    slots: u16,
    cold_capacity: u16,
    leaving: bool,
    cold: bool,
    /// Calls currently allowed in flight.
    limit: u16,
    /// Successful calls at the current level of the ramp.
    successes: u32,
    /// Levels gained since the leaf was last found cold.
    levels_gained: u16,
    /// Incremented each time the leaf is found cold.
    epoch: u64,
    /// Hash of the leaf's instance id; `None` until an answer to a call of the current epoch.
    instance: Option<u64>,
    /// Sorted by descending deadline: the last call is the next one.
    queue: Vec<Ticket>,
    /// Like `queue`, for calls that must run alone. These go first, so that suspect queries are cleared early.
    alone_queue: Vec<Ticket>,
    in_flight_calls: Vec<InFlightCall>,
    latency: LatencyWindow,
    /// Median latency in the warm state, in microseconds.
    baseline: Option<u32>,
    /// The time at which the cold state began.
    cold_since: Time,
    slow_answers: u32,
    /// The time at which the leaf last answered or its idle timeout last expired.
    last_answer: Time,
    last_dispatch: Time,
    /// The end of the lease at the last update; zero if the lease was not held.
    lease_end: Time,
}

impl LeafControl {
    /// Creates the control of a newly discovered leaf, which is treated as cold.
    pub fn new(info: &LeafInfo, settings: LeafSettings, now: Time) -> Self {
        Self {
            settings,
            slots: info.slots,
            cold_capacity: info.cold_capacity.min(info.slots),
            leaving: info.leaving,
            cold: true,
            limit: info.cold_capacity.min(info.slots),
            successes: 0,
            levels_gained: 0,
            epoch: 0,
            instance: None,
            queue: Vec::new(),
            alone_queue: Vec::new(),
            in_flight_calls: Vec::new(),
            latency: LatencyWindow::default(),
            baseline: None,
            cold_since: now,
            slow_answers: 0,
            last_answer: now,
            last_dispatch: now,
            lease_end: Time(0),
        }
    }

    /// Applies newly published values. Calls in flight continue; [`Self::next_action`] checks queued calls again.
    ///
    /// A leaf that was leaving, or whose failure domain was out of service, is cold when it returns.
    pub fn update(&mut self, now: Time, info: &LeafInfo) {
        let returned = self.leaving && !info.leaving;
        let cold_capacity = info.cold_capacity.min(info.slots);
        let lowered = cold_capacity < self.cold_capacity;
        self.slots = info.slots;
        self.cold_capacity = cold_capacity;
        self.leaving = info.leaving;
        if returned || (lowered && self.cold) {
            self.set_cold(now);
        }
        self.limit = self.limit.clamp(cold_capacity, info.slots);
    }

    /// Queues a call.
    ///
    /// # Errors
    ///
    /// Returns why the call is rejected: the leaf is leaving, the deadline is too close or the queue is full.
    pub fn enqueue(&mut self, now: Time, call: Ticket) -> Result<(), NotRun> {
        self.advance_time(now);
        if self.leaving {
            return Err(NotRun::Leaving);
        }
        if !self.can_start(now, call.deadline) {
            return Err(NotRun::TooLate);
        }
        let (allowed, reason) = if self.cold {
            (self.limit, NotRun::Cold)
        } else {
            (self.slots, NotRun::QueueFull)
        };
        let max_queued = usize::from(allowed) * usize::from(self.settings.queue_factor);
        if self.queued() >= max_queued {
            return Err(reason);
        }
        let queue = if call.alone {
            &mut self.alone_queue
        } else {
            &mut self.queue
        };
        let position = queue.partition_point(|other| other.deadline > call.deadline);
        queue.insert(position, call);
        Ok(())
    }

    /// Returns the next action for this leaf; to be called until it returns [`LeafAction::Idle`].
    ///
    /// `lease_end` is the current end of the lease, `None` if the lease is not held.
    pub fn next_action(&mut self, now: Time, lease_end: Option<Time>) -> LeafAction {
        self.update_lease(now, lease_end);
        for alone in [true, false] {
            let Some(&ticket) = self.queue_mut(alone).last() else {
                continue;
            };
            if let Some(reason) = self.rejection_reason(now, ticket, lease_end) {
                self.queue_mut(alone).pop();
                return LeafAction::Reject { ticket, reason };
            }
            if self.has_room(alone) {
                self.queue_mut(alone).pop();
                return self.dispatch(now, ticket, lease_end);
            }
            if alone {
                // Other calls wait while an `alone` call is queued, otherwise the leaf might never become empty.
                break;
            }
        }
        LeafAction::Idle {
            next_due: self.next_due(),
        }
    }

    /// Removes and returns the next queued call if it can no longer run; used while no connection is available.
    pub fn next_rejection(
        &mut self,
        now: Time,
        lease_end: Option<Time>,
    ) -> Option<(Ticket, NotRun)> {
        self.update_lease(now, lease_end);
        [true, false].into_iter().find_map(|alone| {
            let &ticket = self.queue_mut(alone).last()?;
            let reason = self.rejection_reason(now, ticket, lease_end)?;
            self.queue_mut(alone).pop();
            Some((ticket, reason))
        })
    }

    /// Records the result of a dispatched call. Results of calls that are no longer tracked are ignored.
    pub fn finish(&mut self, now: Time, ticket: TicketId, result: CallResult) {
        self.advance_time(now);
        let Some(at) = self
            .in_flight_calls
            .iter()
            .position(|call| call.id == ticket)
        else {
            return;
        };
        if result == CallResult::Lost {
            self.in_flight_calls[at].stopping = true;
            return;
        }
        let call = self.in_flight_calls.swap_remove(at);
        let micros = micros(now, call.sent);
        match result {
            CallResult::Answered { cold, instance } => {
                self.last_answer = now;
                self.record_answer(now, &call, micros, cold, instance);
            }
            CallResult::Shed => {
                self.last_answer = now;
                self.set_cold(now);
            }
            CallResult::WrongSnapshot => self.last_answer = now,
            CallResult::BadAnswer => {
                self.last_answer = now;
                self.successes = 0;
            }
            CallResult::Stopped => self.record_censored(micros),
            CallResult::NotSent | CallResult::Lost => {}
        }
    }

    /// Cancels a call. A queued call is removed from the queue immediately.
    pub fn cancel(&mut self, now: Time, ticket: TicketId) -> Cancelled {
        self.advance_time(now);
        for queue in [&mut self.queue, &mut self.alone_queue] {
            if let Some(at) = queue.iter().position(|t| t.id == ticket) {
                queue.remove(at);
                return Cancelled::Dequeued;
            }
        }
        match self
            .in_flight_calls
            .iter_mut()
            .find(|call| call.id == ticket)
        {
            Some(call) => {
                call.stopping = true;
                Cancelled::InFlight
            }
            None => Cancelled::Unknown,
        }
    }

    /// Removes and returns all queued calls, which the owner must reject.
    pub fn take_queue(&mut self) -> Vec<Ticket> {
        let mut all = std::mem::take(&mut self.queue);
        all.append(&mut self.alone_queue);
        all
    }

    /// Records that the leaf reset a connection or refused a new one. It may have restarted and is treated as cold.
    pub fn record_disconnect(&mut self, now: Time) {
        self.set_cold(now);
    }

    /// Returns the status that other nodes use to choose between replicas.
    pub fn status(&self) -> LeafStatus {
        let used = self.in_flight_calls.len() + self.queued();
        let spare = if self.leaving || !self.alone_queue.is_empty() {
            0
        } else {
            usize::from(self.limit).saturating_sub(used)
        };
        LeafStatus {
            cold: self.cold,
            spare: spare.try_into().unwrap_or(u16::MAX),
            queued: self.queued().try_into().unwrap_or(u16::MAX),
            median: self.latency.median(),
        }
    }

    /// Returns the recent service times.
    pub fn latency(&self) -> &LatencyWindow {
        &self.latency
    }

    /// Returns the number of calls that may be running on the leaf.
    pub fn in_flight(&self) -> usize {
        self.in_flight_calls.len()
    }

    /// Returns the number of queued calls.
    pub fn queued(&self) -> usize {
        self.queue.len() + self.alone_queue.len()
    }

    /// Returns the number of calls currently allowed in flight.
    pub fn limit(&self) -> u16 {
        self.limit
    }

    fn queue_mut(&mut self, alone: bool) -> &mut Vec<Ticket> {
        if alone {
            &mut self.alone_queue
        } else {
            &mut self.queue
        }
    }

    fn rejection_reason(
        &self,
        now: Time,
        ticket: Ticket,
        lease_end: Option<Time>,
    ) -> Option<NotRun> {
        if self.leaving {
            return Some(NotRun::Leaving);
        }
        let end = lease_end.filter(|end| now < *end);
        let Some(end) = end else {
            return Some(NotRun::NotOwner { holder: None });
        };
        let deadline = call_deadline(now, ticket.deadline, end);
        (!self.can_start(now, deadline)).then_some(NotRun::TooLate)
    }

    fn has_room(&self, alone: bool) -> bool {
        if alone {
            return self.in_flight_calls.is_empty() && self.limit > 0;
        }
        self.in_flight_calls.len() < usize::from(self.limit)
            && !self.in_flight_calls.iter().any(|call| call.alone)
    }

    fn can_start(&self, now: Time, deadline: Time) -> bool {
        let left = deadline.since(now);
        let probe =
            self.in_flight_calls.is_empty() && now.since(self.last_dispatch) >= PROBE_INTERVAL;
        left >= MIN_CALL_TIME && (left >= self.median() || probe)
    }

    fn median(&self) -> Duration {
        Duration::from_micros(u64::from(self.latency.median()))
    }

    /// Checks the dispatch invariants, independently of the code that chose the call, and records the call as in
    /// flight. If an invariant does not hold, the call is rejected instead.
    fn dispatch(&mut self, now: Time, ticket: Ticket, lease_end: Option<Time>) -> LeafAction {
        let deadline = call_deadline(now, ticket.deadline, lease_end.unwrap_or_default());
        let capacity = self.cold_capacity.saturating_add(self.levels_gained);
        let count = self.in_flight_calls.len();
        let within_capacity = !self.cold || count < usize::from(capacity);
        let covered = lease_end.is_some_and(|end| now < end && deadline + LEASE_MARGIN <= end);
        let rejection = if !check(Invariant::ColdCapacity, within_capacity, || {
            format!("{count} calls in flight on a cold leaf with a capacity of {capacity}")
        }) {
            Some(NotRun::Cold)
        } else if !check(Invariant::LeafLeaving, !self.leaving, || {
            "call dispatched to a leaving leaf".to_owned()
        }) {
            Some(NotRun::Leaving)
        } else if !check(Invariant::LeaseHeld, covered, || {
            format!("call with deadline {deadline:?} and lease end {lease_end:?}")
        }) {
            Some(NotRun::NotOwner { holder: None })
        } else {
            None
        };
        if let Some(reason) = rejection {
            return LeafAction::Reject { ticket, reason };
        }
        self.last_dispatch = now;
        self.in_flight_calls.push(InFlightCall {
            id: ticket.id,
            deadline,
            sent: now,
            epoch: self.epoch,
            alone: ticket.alone,
            probe: deadline.since(now) < self.median(),
            stopping: false,
        });
        LeafAction::Dispatch { ticket, deadline }
    }

    fn record_answer(
        &mut self,
        now: Time,
        call: &InFlightCall,
        micros: u32,
        cold: bool,
        instance: u64,
    ) {
        if call.epoch != self.epoch {
            // The call was sent before the leaf was last found cold: the answer counts neither as a success nor as
            // a sign of a new instance. A cold mark is still applied.
            if cold {
                self.set_cold(now);
            }
            return;
        }
        if call.probe {
            // The leaf has become faster than the window shows; replacing all samples one by one would take too long.
            self.latency = LatencyWindow::default();
        }
        self.latency.record(micros);
        let restarted = self.instance.is_some_and(|known| known != instance);
        self.instance = Some(instance);
        if restarted || cold {
            self.set_cold(now);
            return;
        }
        let slow = self
            .baseline
            .is_some_and(|baseline| micros > baseline.saturating_mul(COLD_LATENCY_FACTOR));
        if slow {
            self.slow_answers += 1;
            if !self.cold && self.slow_answers >= SLOW_ANSWER_LIMIT {
                self.set_cold(now);
            }
            return;
        }
        self.slow_answers = 0;
        if self.cold || self.limit < self.slots {
            self.advance_ramp();
        }
        if !self.cold && self.latency.len() >= MIN_BASELINE_SAMPLES {
            self.baseline = Some(self.latency.median());
        }
    }

    fn advance_ramp(&mut self) {
        self.successes += 1;
        if self.successes < self.settings.ramp_successes {
            return;
        }
        self.successes = 0;
        if self.limit < self.slots {
            self.limit += 1;
            self.levels_gained = self.levels_gained.saturating_add(1);
        }
        if self.limit >= self.slots {
            self.cold = false;
        }
    }

    fn set_cold(&mut self, now: Time) {
        if !self.cold {
            self.cold_since = now;
        }
        self.cold = true;
        self.limit = self.cold_capacity;
        self.successes = 0;
        self.levels_gained = 0;
        self.slow_answers = 0;
        self.epoch += 1;
        self.instance = None;
    }

    /// Updates the lease. After a gap in the lease the leaf is treated as cold: another node may have called it.
    fn update_lease(&mut self, now: Time, lease_end: Option<Time>) {
        self.advance_time(now);
        match lease_end {
            Some(end) if now < end => {
                if self.lease_end <= now {
                    self.set_cold(now);
                }
                self.lease_end = end;
            }
            _ => self.lease_end = Time(0),
        }
    }

    /// Applies changes that depend only on the time: stopped calls, the idle timeout and the baseline expiry.
    fn advance_time(&mut self, now: Time) {
        let mut at = 0;
        while let Some(call) = self.in_flight_calls.get(at) {
            if now < call.stopped_at() {
                at += 1;
                continue;
            }
            let call = self.in_flight_calls.swap_remove(at);
            self.record_censored(micros(call.deadline, call.sent));
        }
        if now.since(self.last_answer) >= self.settings.idle_timeout {
            self.set_cold(now);
            self.last_answer = now;
        }
        if self.cold && now.since(self.cold_since) >= BASELINE_TTL {
            self.baseline = None;
        }
    }

    /// Records a lower bound of a call's latency. A bound below the median carries no information.
    fn record_censored(&mut self, micros: u32) {
        if micros > self.latency.median() {
            self.latency.record(micros);
        }
    }

    /// Returns the earliest time at which the result of [`Self::next_action`] changes without further input.
    pub fn next_due(&self) -> Option<Time> {
        let min_time = self.median().max(MIN_CALL_TIME).as_micros() as u64;
        let expiry = [&self.queue, &self.alone_queue]
            .into_iter()
            .filter_map(|queue| queue.last())
            .map(|ticket| Time(ticket.deadline.0.saturating_sub(min_time) + 1));
        let stopped = self.in_flight_calls.iter().map(InFlightCall::stopped_at);
        expiry.chain(stopped).min()
    }
}

fn call_deadline(now: Time, deadline: Time, lease_end: Time) -> Time {
    let margin = LEASE_MARGIN.as_micros() as u64;
    let lease = Time(lease_end.0.saturating_sub(margin));
    deadline.min(now + MAX_CALL_TIME).min(lease)
}

fn micros(now: Time, earlier: Time) -> u32 {
    now.since(earlier)
        .as_micros()
        .try_into()
        .unwrap_or(u32::MAX)
}
