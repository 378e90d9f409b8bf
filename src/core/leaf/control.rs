use std::time::Duration;

use crate::core::{
    Time,
    call::{LeafStatus, NotRun},
    config::LeafInfo,
    invariant::{Invariant, check},
    leaf::{CallResult, LatencyWindow, LeafSettings, Ticket, TicketId},
};

/// Longest time of one leaf call. A lease lasts 2 s, so a longer call could outlive it.
pub const MAX_CALL_TIME: Duration = Duration::from_millis(1_500);

/// Calls end this long before the lease, so that a late stop does not reach into the successor's lease.
const LEASE_MARGIN: Duration = Duration::from_millis(100);

/// The leaf counts its deadline from receipt; the way there is added. Must stay below `LEASE_MARGIN`.
const STOP_MARGIN: Duration = Duration::from_millis(50);

/// The leaf measures the time it was told on its own clock. Clocks whose rates differ by up to 10% from true time
/// differ by 1.1 / 0.9 = 1.22, so a quarter of the time is added.
const DRIFT_DIVISOR: u32 = 4;

/// Shortest time worth a call: `x-deadline-ms` has no fractions.
const MIN_CALL: Duration = Duration::from_millis(1);

/// A leaf that got no call for this long gets one whose time is below the median: without it, a leaf that was
/// slow for a while would be refused all short calls for good.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Latency above this multiple of the warm median is evidence of a cold state.
const COLD_FACTOR: u32 = 8;

/// Consecutive slow answers that make a leaf cold.
const SLOW_ANSWERS: u32 = 5;

/// Samples needed before the median counts as the warm one.
const BASELINE_SAMPLES: usize = 16;

/// The warm median is forgotten after this long in a cold state; a leaf that is slower for good warms up then.
const BASELINE_LIFETIME: Duration = Duration::from_secs(60);

/// What to do next for a leaf.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeafAction {
    /// Send the call now and tell the leaf this deadline.
    Dispatch { ticket: Ticket, deadline: Time },
    /// Answer the call with a refusal; nothing ran.
    Reject { ticket: Ticket, reason: NotRun },
    /// Nothing to do before this time, unless something happens.
    Idle { next_due: Option<Time> },
}

/// What a cancellation met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancelled {
    /// The call was queued and is gone; nothing ran.
    Dequeued,
    /// The call is in flight and counts until it is certain that the leaf stopped.
    InFlight,
    /// The call is not known (any more).
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct Flight {
    id: TicketId,
    /// The deadline told to the leaf.
    deadline: Time,
    sent: Time,
    /// The cold epoch at dispatch. Answers of earlier epochs say nothing about the present state.
    epoch: u64,
    alone: bool,
    /// Sent although its time is below the median.
    probe: bool,
    /// No result is expected any more; only certainty that the leaf stopped, or its deadline.
    stopping: bool,
}

impl Flight {
    /// Returns the time from which the leaf has certainly stopped, without a word from it.
    fn stopped_by(&self) -> Time {
        let drift = self.deadline.since(self.sent) / DRIFT_DIVISOR;
        self.deadline + STOP_MARGIN.max(drift)
    }
}

/// The load control of one leaf: cold ramp, slots, queue.
///
/// Owned by the node that holds the lease of the leaf's partition. The caller performs what [`Self::next_action`]
/// returns and reports each result with [`Self::finish`].
#[derive(Debug)]
pub struct LeafControl {
    settings: LeafSettings,
    slots: u16,
    cold_capacity: u16,
    leaving: bool,
    cold: bool,
    /// Calls allowed in flight now.
    limit: u16,
    /// Successes at the present level of the ramp.
    successes: u32,
    /// Levels gained since the last evidence of a cold state.
    levels: u16,
    epoch: u64,
    instance: Option<u64>,
    /// Sorted by descending deadline: the last one is the next one.
    queue: Vec<Ticket>,
    /// As `queue`, for calls that run alone. These go first: the sooner a suspect is cleared, the better.
    alone: Vec<Ticket>,
    flights: Vec<Flight>,
    latency: LatencyWindow,
    /// Median of the warm state, with the time when the leaf turned cold.
    baseline: Option<u32>,
    cold_since: Time,
    slow: u32,
    /// When the leaf last answered, or was last found idle for too long.
    last_answer: Time,
    last_dispatch: Time,
    /// The end of the lease as last seen; zero without one.
    lease_end: Time,
}

impl LeafControl {
    /// Creates the control of a leaf that is met for the first time, hence cold.
    pub fn new(info: &LeafInfo, settings: LeafSettings, now: Time) -> Self {
        Self {
            settings,
            slots: info.slots,
            cold_capacity: info.cold_capacity.min(info.slots),
            leaving: info.leaving,
            cold: true,
            limit: info.cold_capacity.min(info.slots),
            successes: 0,
            levels: 0,
            epoch: 0,
            instance: None,
            queue: Vec::new(),
            alone: Vec::new(),
            flights: Vec::new(),
            latency: LatencyWindow::default(),
            baseline: None,
            cold_since: now,
            slow: 0,
            last_answer: now,
            last_dispatch: now,
            lease_end: Time(0),
        }
    }

    /// Takes over newly published values. Calls in flight stay; queued ones are judged anew by [`Self::next_action`].
    ///
    /// A leaf that was leaving, or whose failure domain was out, returns as a cold one.
    pub fn update(&mut self, now: Time, info: &LeafInfo) {
        let returned = self.leaving && !info.leaving;
        let cold_capacity = info.cold_capacity.min(info.slots);
        let lowered = cold_capacity < self.cold_capacity;
        self.slots = info.slots;
        self.cold_capacity = cold_capacity;
        self.leaving = info.leaving;
        if returned || (lowered && self.cold) {
            self.turn_cold(now);
        }
        self.limit = self.limit.clamp(cold_capacity, info.slots);
    }

    /// Queues a call.
    ///
    /// # Errors
    ///
    /// Says why the call is refused: the leaf is leaving, the time is too short or the queue is full.
    pub fn enqueue(&mut self, now: Time, call: Ticket) -> Result<(), NotRun> {
        self.expire(now);
        if self.leaving {
            return Err(NotRun::Leaving);
        }
        if !self.can_start(now, call.deadline) {
            return Err(NotRun::TooLate);
        }
        let (level, reason) = if self.cold {
            (self.limit, NotRun::Cold)
        } else {
            (self.slots, NotRun::QueueFull)
        };
        let places = usize::from(level) * usize::from(self.settings.queue_factor);
        if self.queued() >= places {
            return Err(reason);
        }
        let queue = if call.alone {
            &mut self.alone
        } else {
            &mut self.queue
        };
        let at = queue.partition_point(|other| other.deadline > call.deadline);
        queue.insert(at, call);
        Ok(())
    }

    /// Returns the next act for this leaf; to be called until it is [`LeafAction::Idle`].
    ///
    /// `lease_end` is the end of the lease as known right now, nothing if it is not held.
    pub fn next_action(&mut self, now: Time, lease_end: Option<Time>) -> LeafAction {
        self.observe(now, lease_end);
        for alone in [true, false] {
            let Some(&ticket) = self.line(alone).last() else {
                continue;
            };
            if let Some(reason) = self.refusal(now, ticket, lease_end) {
                self.line(alone).pop();
                return LeafAction::Reject { ticket, reason };
            }
            if self.has_room(alone) {
                self.line(alone).pop();
                return self.dispatch(now, ticket, lease_end);
            }
            if alone {
                // Calls behind a waiting `alone` one are held back, else it would never find the leaf empty.
                break;
            }
        }
        LeafAction::Idle {
            next_due: self.next_due(),
        }
    }

    /// Returns the next queued call that cannot run any more, for times when no connection is available.
    pub fn next_rejection(
        &mut self,
        now: Time,
        lease_end: Option<Time>,
    ) -> Option<(Ticket, NotRun)> {
        self.observe(now, lease_end);
        [true, false].into_iter().find_map(|alone| {
            let &ticket = self.line(alone).last()?;
            let reason = self.refusal(now, ticket, lease_end)?;
            self.line(alone).pop();
            Some((ticket, reason))
        })
    }

    /// Records the result of a dispatched call; one that is not known any more is ignored.
    pub fn finish(&mut self, now: Time, ticket: TicketId, result: CallResult) {
        self.expire(now);
        let Some(at) = self.flights.iter().position(|f| f.id == ticket) else {
            return;
        };
        if result == CallResult::Lost {
            self.flights[at].stopping = true;
            return;
        }
        let flight = self.flights.swap_remove(at);
        let micros = micros(now, flight.sent);
        match result {
            CallResult::Answered { cold, instance } => {
                self.last_answer = now;
                self.answered(now, &flight, micros, cold, instance);
            }
            CallResult::Shed => {
                self.last_answer = now;
                self.turn_cold(now);
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

    /// Cancels a call. A queued one frees its place at once.
    pub fn cancel(&mut self, now: Time, ticket: TicketId) -> Cancelled {
        self.expire(now);
        for queue in [&mut self.queue, &mut self.alone] {
            if let Some(at) = queue.iter().position(|t| t.id == ticket) {
                queue.remove(at);
                return Cancelled::Dequeued;
            }
        }
        match self.flights.iter_mut().find(|f| f.id == ticket) {
            Some(flight) => {
                flight.stopping = true;
                Cancelled::InFlight
            }
            None => Cancelled::Unknown,
        }
    }

    /// Removes and returns all queued calls, to be refused by the caller.
    pub fn take_queue(&mut self) -> Vec<Ticket> {
        let mut all = std::mem::take(&mut self.queue);
        all.append(&mut self.alone);
        all
    }

    /// Records that the leaf reset a connection or refused a new one: it may have restarted, hence is cold.
    pub fn record_disconnect(&mut self, now: Time) {
        self.turn_cold(now);
    }

    /// Returns what other nodes need to know to choose between replicas.
    pub fn status(&self) -> LeafStatus {
        let used = self.flights.len() + self.queued();
        let spare = if self.leaving || !self.alone.is_empty() {
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

    /// Returns the calls that may be running on the leaf.
    pub fn in_flight(&self) -> usize {
        self.flights.len()
    }

    /// Returns the number of queued calls.
    pub fn queued(&self) -> usize {
        self.queue.len() + self.alone.len()
    }

    /// Returns the calls allowed in flight now.
    pub fn limit(&self) -> u16 {
        self.limit
    }

    fn line(&mut self, alone: bool) -> &mut Vec<Ticket> {
        if alone {
            &mut self.alone
        } else {
            &mut self.queue
        }
    }

    fn refusal(&self, now: Time, ticket: Ticket, lease_end: Option<Time>) -> Option<NotRun> {
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
            return self.flights.is_empty() && self.limit > 0;
        }
        self.flights.len() < usize::from(self.limit) && !self.flights.iter().any(|f| f.alone)
    }

    fn can_start(&self, now: Time, deadline: Time) -> bool {
        let left = deadline.since(now);
        let probe = self.flights.is_empty() && now.since(self.last_dispatch) >= PROBE_INTERVAL;
        left >= MIN_CALL && (left >= self.median() || probe)
    }

    fn median(&self) -> Duration {
        Duration::from_micros(u64::from(self.latency.median()))
    }

    /// Asserts the rules of a dispatch apart from the code that decides, and records the call as in flight.
    fn dispatch(&mut self, now: Time, ticket: Ticket, lease_end: Option<Time>) -> LeafAction {
        let deadline = call_deadline(now, ticket.deadline, lease_end.unwrap_or_default());
        let bearable = self.cold_capacity.saturating_add(self.levels);
        let count = self.flights.len();
        let bears = !self.cold || count < usize::from(bearable);
        let leased = lease_end.is_some_and(|end| now < end && deadline + LEASE_MARGIN <= end);
        let refusal = if !check(Invariant::ColdCapacity, bears, || {
            format!("{count} calls in flight on a cold leaf that bears {bearable}")
        }) {
            Some(NotRun::Cold)
        } else if !check(Invariant::LeafLeaving, !self.leaving, || {
            "dispatch to a leaving leaf".to_owned()
        }) {
            Some(NotRun::Leaving)
        } else if !check(Invariant::LeaseHeld, leased, || {
            format!("call until {deadline:?} with a lease until {lease_end:?}")
        }) {
            Some(NotRun::NotOwner { holder: None })
        } else {
            None
        };
        if let Some(reason) = refusal {
            return LeafAction::Reject { ticket, reason };
        }
        self.last_dispatch = now;
        self.flights.push(Flight {
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

    fn answered(&mut self, now: Time, flight: &Flight, micros: u32, cold: bool, instance: u64) {
        if flight.epoch != self.epoch {
            // Sent before the last evidence of a cold state: neither trust nor a new instance follows from it,
            // but a cold mark does no harm.
            if cold {
                self.turn_cold(now);
            }
            return;
        }
        if flight.probe {
            // The leaf is faster than the window says; waiting until that has turned over would take too long.
            self.latency = LatencyWindow::default();
        }
        self.latency.record(micros);
        let replaced = self.instance.is_some_and(|known| known != instance);
        self.instance = Some(instance);
        if replaced || cold {
            self.turn_cold(now);
            return;
        }
        let slow = self
            .baseline
            .is_some_and(|median| micros > median.saturating_mul(COLD_FACTOR));
        if slow {
            self.slow += 1;
            if !self.cold && self.slow >= SLOW_ANSWERS {
                self.turn_cold(now);
            }
            return;
        }
        self.slow = 0;
        if self.cold || self.limit < self.slots {
            self.ramp();
        }
        if !self.cold && self.latency.len() >= BASELINE_SAMPLES {
            self.baseline = Some(self.latency.median());
        }
    }

    fn ramp(&mut self) {
        self.successes += 1;
        if self.successes < self.settings.ramp_successes {
            return;
        }
        self.successes = 0;
        if self.limit < self.slots {
            self.limit += 1;
            self.levels = self.levels.saturating_add(1);
        }
        if self.limit >= self.slots {
            self.cold = false;
        }
    }

    fn turn_cold(&mut self, now: Time) {
        if !self.cold {
            self.cold_since = now;
        }
        self.cold = true;
        self.limit = self.cold_capacity;
        self.successes = 0;
        self.levels = 0;
        self.slow = 0;
        self.epoch += 1;
        self.instance = None;
    }

    /// Notes the lease. After a gap another node may have called the leaf, which is cold for this one then.
    fn observe(&mut self, now: Time, lease_end: Option<Time>) {
        self.expire(now);
        match lease_end {
            Some(end) if now < end => {
                if self.lease_end <= now {
                    self.turn_cold(now);
                }
                self.lease_end = end;
            }
            _ => self.lease_end = Time(0),
        }
    }

    /// Applies what follows from the time alone.
    fn expire(&mut self, now: Time) {
        let mut at = 0;
        while let Some(flight) = self.flights.get(at) {
            if now < flight.stopped_by() {
                at += 1;
                continue;
            }
            let flight = self.flights.swap_remove(at);
            self.record_censored(micros(flight.deadline, flight.sent));
        }
        if now.since(self.last_answer) >= self.settings.idle_timeout {
            self.turn_cold(now);
            self.last_answer = now;
        }
        if self.cold && now.since(self.cold_since) >= BASELINE_LIFETIME {
            self.baseline = None;
        }
    }

    /// Records the time that a call took at least. Below the median it says nothing.
    fn record_censored(&mut self, micros: u32) {
        if micros > self.latency.median() {
            self.latency.record(micros);
        }
    }

    /// Returns when the passing of time alone changes what [`Self::next_action`] returns.
    pub fn next_due(&self) -> Option<Time> {
        let reserve = self.median().max(MIN_CALL).as_micros() as u64;
        let late = [&self.queue, &self.alone]
            .into_iter()
            .filter_map(|queue| queue.last())
            .map(|ticket| Time(ticket.deadline.0.saturating_sub(reserve) + 1));
        let stopped = self.flights.iter().map(Flight::stopped_by);
        late.chain(stopped).min()
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
