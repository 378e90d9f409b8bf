//! Randomized schedules of the load control of one leaf, checked against a model of the calls that run on the leaf.

mod seeds;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use assert_matches::assert_matches;
use cranberrychute::core::{
    Time,
    call::NotRun,
    config::LeafInfo,
    invariant::violation_count,
    leaf::{
        CallResult, Cancelled, LatencyWindow, LeafAction, LeafControl, LeafSettings, Ticket,
        TicketId,
    },
};
use proptest::{collection::vec, prelude::*};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const STEPS: usize = 600;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn info(slots: u16, cold_capacity: u16) -> LeafInfo {
    LeafInfo {
        domain: "a".into(),
        slots,
        connections: 25,
        cold_capacity,
        leaving: false,
    }
}

fn ticket(id: u64, deadline: Time) -> Ticket {
    Ticket {
        id: TicketId(id),
        deadline,
        alone: false,
    }
}

fn answered(instance: u64) -> CallResult {
    CallResult::Answered {
        cold: false,
        instance,
    }
}

/// An event that reaches the leaf or the owner after a delay.
#[derive(Clone, Copy, Debug)]
enum Event {
    CallArrives { id: u64, time_limit: Duration },
    CallEnds(u64),
    Result(u64, CallResult),
    ResetArrives(u64),
    StopConfirmed(u64),
    ConnectionLost,
}

/// Simulates the leaf and its connection, and tracks the state that the owner is expected to derive.
struct Simulation {
    rng: Pcg64,
    /// Divides the rate of faults.
    fault_divisor: u32,
    now: Time,
    control: LeafControl,
    info: LeafInfo,
    /// Events by time and serial number, each with the connection on which it was scheduled.
    events: BTreeMap<(Time, u64), (u64, Event)>,
    serial: u64,
    // State of the leaf.
    running: BTreeSet<u64>,
    instance: u64,
    /// Number of calls until the cold leaf is warm.
    cold_calls_left: u32,
    /// Does not mark its answers as cold.
    hides_cold: bool,
    slow: bool,
    sheds: bool,
    connection: u64,
    silent: bool,
    lease_end: Option<Time>,
    // Expected state of the owner.
    queued: BTreeMap<u64, Ticket>,
    /// Ticket, time at which the control stops tracking the call, and `cold_evidence` at the dispatch.
    sent: BTreeMap<u64, (Ticket, Time, u64)>,
    dispatched: BTreeSet<u64>,
    /// Number of times that the owner found the leaf cold.
    cold_evidence: u64,
    /// Successful answers to calls sent after the leaf was last found cold.
    successes: u32,
    known_instance: Option<u64>,
    warm: bool,
    last_answer: Time,
    known_lease_end: Time,
    next_id: u64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let slots = [1, 2, 6][rng.random_range(0..3)];
        let info = info(slots, rng.random_range(1..=2));
        let now = Time::from_millis(10_000);
        let fault_divisor = [1, 5, 50][rng.random_range(0..3)];
        Self {
            fault_divisor,
            control: LeafControl::new(&info, LeafSettings::default(), now),
            rng,
            now,
            info,
            events: BTreeMap::new(),
            serial: 0,
            running: BTreeSet::new(),
            instance: 1,
            cold_calls_left: 20,
            hides_cold: false,
            slow: false,
            sheds: false,
            connection: 0,
            silent: false,
            lease_end: None,
            queued: BTreeMap::new(),
            sent: BTreeMap::new(),
            dispatched: BTreeSet::new(),
            cold_evidence: 0,
            successes: 0,
            known_instance: None,
            warm: false,
            last_answer: now,
            known_lease_end: Time(0),
            next_id: 0,
        }
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.serial += 1;
        let key = (self.now + delay, self.serial);
        self.events.insert(key, (self.connection, event));
    }

    fn network_delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(100..20_000))
    }

    fn record_cold_evidence(&mut self) {
        self.cold_evidence += 1;
        self.successes = 0;
        self.known_instance = None;
        self.warm = false;
    }

    /// Applies the idle timeout before the owner acts.
    fn apply_idle_timeout(&mut self) {
        if self.now.since(self.last_answer) >= Duration::from_secs(30) {
            self.record_cold_evidence();
            self.last_answer = self.now;
        }
    }

    /// Returns the maximum number of calls in flight, derived independently of the control.
    fn max_in_flight(&self) -> usize {
        if self.warm {
            return usize::from(self.info.slots);
        }
        let level = u32::from(self.info.cold_capacity) + self.successes / 16;
        level.min(u32::from(self.info.slots)) as usize
    }

    fn enqueue_call(&mut self) {
        let id = self.next_id;
        self.next_id += 1;
        let deadline = self.now + Duration::from_micros(self.rng.random_range(0..2_000_000));
        let alone = self.rng.random_ratio(1, 20);
        let mut call = ticket(id, deadline);
        call.alone = alone;
        self.apply_idle_timeout();
        if self.control.enqueue(self.now, call).is_ok() {
            self.queued.insert(id, call);
        }
        let max_queued = usize::from(self.info.slots) * 4;
        assert!(
            self.control.queued() <= max_queued || self.info.slots < 6,
            "queue exceeds its bound"
        );
    }

    fn run_actions(&mut self) {
        if let Some(end) = self.lease_end.filter(|end| *end > self.now) {
            if self.known_lease_end <= self.now {
                self.record_cold_evidence();
            }
            self.known_lease_end = end;
        } else {
            self.known_lease_end = Time(0);
        }
        self.apply_idle_timeout();
        loop {
            match self.control.next_action(self.now, self.lease_end) {
                LeafAction::Dispatch { ticket, deadline } => self.dispatch(ticket, deadline),
                LeafAction::Reject { ticket, .. } => {
                    let known = self.queued.remove(&ticket.id.0);
                    assert!(known.is_some(), "rejected call was not queued");
                }
                LeafAction::Idle { .. } => break,
            }
        }
    }

    fn dispatch(&mut self, ticket: Ticket, deadline: Time) {
        let id = ticket.id.0;
        let known = self.queued.remove(&id);
        assert!(
            known.is_some() && self.dispatched.insert(id),
            "call was not queued or was dispatched twice"
        );
        assert!(!self.info.leaving, "call dispatched to a leaving leaf");
        let lease_end = self.lease_end.expect("call dispatched without a lease");
        assert!(deadline + ms(100) <= lease_end, "call outlasts the lease");
        assert!(deadline <= ticket.deadline && deadline <= self.now + ms(1_500));
        assert!(deadline > self.now, "call dispatched with no time left");
        let calls_on_leaf = self.calls_on_leaf();
        let others = calls_on_leaf.len();
        assert!(
            !ticket.alone || others == 0,
            "`alone` call dispatched with {others} calls in flight"
        );
        let alone_running = calls_on_leaf.iter().any(|id| self.sent[id].0.alone);
        assert!(
            !alone_running,
            "call dispatched while an `alone` call is in flight"
        );
        let earlier = self.queued.values().find(|q| {
            q.alone && !ticket.alone || q.alone == ticket.alone && q.deadline < ticket.deadline
        });
        assert!(
            earlier.is_none(),
            "{earlier:?} should be dispatched before {ticket:?}"
        );
        let max_in_flight = self.max_in_flight();
        assert!(
            others < max_in_flight,
            "{others} calls in flight, but at most {max_in_flight} are allowed"
        );
        // A leaf whose clock is up to 22% slower than the owner's runs past the time limit that it received.
        let stopped_at = deadline + ms(50).max(deadline.since(self.now) / 4);
        self.sent
            .insert(id, (ticket, stopped_at, self.cold_evidence));
        if !(self.silent && self.rng.random()) {
            let time_limit = deadline.since(self.now);
            let delay = self.network_delay();
            self.schedule(delay, Event::CallArrives { id, time_limit });
        }
    }

    /// Returns the calls that run on the leaf or are on their way to it.
    fn calls_on_leaf(&self) -> BTreeSet<u64> {
        let arriving = self
            .events
            .values()
            .filter_map(|&(connection, event)| match event {
                Event::CallArrives { id, .. } if connection == self.connection => Some(id),
                _ => None,
            });
        self.running.iter().copied().chain(arriving).collect()
    }

    fn cancel(&mut self) {
        let nth = self.rng.random_range(0..8);
        let all = self.queued.keys().chain(self.sent.keys());
        let Some(&id) = all.clone().nth(nth) else {
            return;
        };
        let before = self.control.queued();
        match self.control.cancel(self.now, TicketId(id)) {
            Cancelled::Dequeued => {
                assert!(
                    self.queued.remove(&id).is_some(),
                    "dequeued call was not queued"
                );
                assert_eq!(
                    self.control.queued(),
                    before - 1,
                    "cancelled call still occupies the queue"
                );
            }
            Cancelled::InFlight => {
                let delay = self.network_delay();
                self.schedule(delay, Event::ResetArrives(id));
            }
            Cancelled::Unknown => {}
        }
    }

    fn handle(&mut self, connection: u64, event: Event) {
        let current = connection == self.connection;
        match event {
            Event::CallArrives { id, time_limit } if current => {
                if self.sheds && self.rng.random() {
                    return self.schedule_result(id, CallResult::Shed);
                }
                self.running.insert(id);
                let factor =
                    if self.cold_calls_left > 0 { 4 } else { 1 } * if self.slow { 30 } else { 1 };
                let service = Duration::from_micros(self.rng.random_range(1_000..9_000)) * factor;
                self.schedule(service.min(time_limit), Event::CallEnds(id));
                if service < time_limit {
                    let mark = self.cold_calls_left > 0 && !self.hides_cold;
                    self.cold_calls_left = self.cold_calls_left.saturating_sub(1);
                    let instance = self.instance;
                    let result = match self.rng.random_range(0..50) {
                        0 => CallResult::BadAnswer,
                        1 => CallResult::WrongSnapshot,
                        _ => CallResult::Answered {
                            cold: mark,
                            instance,
                        },
                    };
                    let delay = service + self.network_delay();
                    self.schedule(delay, Event::Result(id, result));
                }
            }
            Event::CallEnds(id) => {
                self.running.remove(&id);
            }
            // A late answer on an earlier connection may still arrive, one on a silent connection does not.
            Event::Result(id, result) if !(current && self.silent) => {
                self.record_result(id, result);
            }
            Event::ResetArrives(id) if current && !self.silent => {
                // A connection preserves the order: the reset cannot arrive before its call.
                self.events.retain(|_, (_, event)| {
                    !matches!(event, Event::CallArrives { id: arriving, .. } if *arriving == id)
                });
                self.running.remove(&id);
                let delay = self.network_delay();
                self.schedule(delay, Event::StopConfirmed(id));
            }
            Event::StopConfirmed(id) if current => self.record_result(id, CallResult::Stopped),
            Event::ConnectionLost => {
                self.control.record_disconnect(self.now);
                self.record_cold_evidence();
            }
            _ => {}
        }
    }

    fn schedule_result(&mut self, id: u64, result: CallResult) {
        let delay = self.network_delay();
        self.schedule(delay, Event::Result(id, result));
    }

    fn record_result(&mut self, id: u64, result: CallResult) {
        self.apply_idle_timeout();
        let sent = self.sent.get(&id).copied();
        self.control.finish(self.now, TicketId(id), result);
        let Some((_, stopped_at, cold_evidence)) = sent else {
            return;
        };
        if result == CallResult::Lost || self.now >= stopped_at {
            return;
        }
        match result {
            CallResult::Stopped | CallResult::NotSent => {}
            CallResult::Shed => self.record_cold_evidence(),
            CallResult::Answered { cold: true, .. } => self.record_cold_evidence(),
            CallResult::Answered { instance, .. } if cold_evidence == self.cold_evidence => {
                if self.known_instance.is_some_and(|known| known != instance) {
                    return self.record_cold_evidence();
                }
                self.known_instance = Some(instance);
                self.successes += 1;
                let level = u32::from(self.info.cold_capacity) + self.successes / 16;
                self.warm |= level >= u32::from(self.info.slots) && self.successes >= 16;
            }
            _ => {}
        }
        if !matches!(result, CallResult::Stopped | CallResult::NotSent) {
            self.last_answer = self.now;
        }
        self.sent.remove(&id);
    }

    /// Closes the connection: the owner loses its calls, but the leaf continues to run them unless it crashed.
    fn lose_connection(&mut self) {
        self.connection += 1;
        self.silent = false;
        let calls: Vec<u64> = self.sent.keys().copied().collect();
        for id in calls {
            self.record_result(id, CallResult::Lost);
        }
    }

    fn inject_fault(&mut self) {
        match self.rng.random_range(0..13) {
            0 => {
                self.running.clear();
                self.instance += 1;
                self.cold_calls_left = 20;
                self.lose_connection();
                self.handle(self.connection, Event::ConnectionLost);
            }
            11 => {
                // A restart that is not visible on any connection.
                self.running.clear();
                self.instance += 1;
                self.cold_calls_left = 20;
            }
            1 => self.cold_calls_left = 30,
            2 => self.slow = !self.slow,
            3 => self.sheds = !self.sheds,
            4 => self.hides_cold = !self.hides_cold,
            5 => self.silent = true,
            6 if self.silent => self.lose_connection(),
            7 => self.lease_end = None,
            8 => {
                let returned = self.info.leaving;
                self.info.leaving = !returned;
                if returned {
                    self.record_cold_evidence();
                }
                self.control.update(self.now, &self.info);
            }
            9 | 10 => {
                let capacity = self.rng.random_range(1..=2).min(self.info.slots);
                let slots = self.rng.random_range(1..=6).max(capacity);
                if capacity < self.info.cold_capacity.min(self.info.slots) && !self.warm {
                    self.record_cold_evidence();
                }
                self.info.slots = slots;
                self.info.cold_capacity = capacity;
                self.control.update(self.now, &self.info);
            }
            _ => self.pause(),
        }
    }

    fn advance(&mut self, by: Duration) {
        let until = self.now + by;
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= until) {
            let ((at, _), (connection, event)) = entry.remove_entry();
            self.now = self.now.max(at);
            self.handle(connection, event);
            self.check();
        }
        self.now = self.now.max(until);
        if self.lease_end.is_some_and(|end| end <= self.now) {
            self.lease_end = None;
        }
    }

    /// Pauses the owner's process while the leaf continues to run.
    fn pause(&mut self) {
        let until = self.now + ms(self.rng.random_range(0..40_000));
        let mut delayed = Vec::new();
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= until) {
            let ((at, _), (connection, event)) = entry.remove_entry();
            if matches!(
                event,
                Event::Result(..) | Event::StopConfirmed(_) | Event::ConnectionLost
            ) {
                delayed.push((connection, event));
            } else {
                self.now = self.now.max(at);
                self.handle(connection, event);
            }
        }
        self.now = self.now.max(until);
        for (connection, event) in delayed {
            self.handle(connection, event);
        }
        self.advance(Duration::ZERO);
    }

    fn check(&self) {
        let counted = self.control.in_flight();
        let running = self.running.len();
        assert!(
            running <= counted,
            "{running} calls run on the leaf, {counted} are counted as in flight"
        );
        assert_eq!(violation_count(), 0, "the control violated an invariant");
    }

    fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..45 => self.enqueue_call(),
            45..85 => {
                let by = Duration::from_micros(self.rng.random_range(0..80_000));
                self.advance(by);
            }
            85..90 => self.cancel(),
            90..97 => self.renew(),
            97..100 if self.rng.random_ratio(1, self.fault_divisor) => self.inject_fault(),
            _ => {}
        }
        self.run_actions();
        self.check();
    }

    fn renew(&mut self) {
        let length = self.rng.random_range(1_500..=2_000);
        self.lease_end = Some(self.now + ms(length));
    }

    /// Ends all faults and checks that the leaf becomes warm. Detects a control that stays safe by rejecting every
    /// call.
    fn recover(&mut self) {
        (self.slow, self.sheds, self.hides_cold) = (false, false, false);
        self.cold_calls_left = 0;
        if self.info.leaving {
            self.record_cold_evidence();
        }
        self.info.leaving = false;
        self.control.update(self.now, &self.info);
        self.lose_connection();
        for _ in 0..2_000 {
            self.renew();
            self.enqueue_call();
            self.run_actions();
            self.advance(ms(3));
            self.check();
            if !self.control.status().cold && self.control.limit() == self.info.slots {
                break;
            }
        }
        assert!(
            !self.control.status().cold,
            "leaf did not become warm within 2,000 calls"
        );
        assert_eq!(self.control.limit(), self.info.slots);
    }
}

/// Guards against violations of the limits of one leaf: too many calls, calls to a leaving leaf or without a lease,
/// calls next to an `alone` call, and running calls that are not counted as in flight.
///
/// `SEED=n` runs one schedule, `SCHEDULES=n` the first n.
#[test]
fn random_schedules_respect_leaf_limits() {
    let (mut calls, mut warm) = (0, 0);
    for seed in seeds::seeds(2_000) {
        calls += seeds::run_schedule("leaf_control", seed, || {
            let mut simulation = Simulation::new(seed);
            for _ in 0..STEPS {
                simulation.step();
                warm += usize::from(!simulation.control.status().cold);
            }
            simulation.recover();
            simulation.dispatched.len()
        });
    }
    println!("{calls} calls dispatched, {warm} steps with a warm leaf");
}

proptest! {
    #![proptest_config(seeds::proptest_config())]

    /// Guards against lost or duplicated tickets and against a queue that exceeds its bound, under any order of
    /// operations, including orders that the owner does not use.
    #[test]
    fn tickets_are_neither_lost_nor_duplicated(ops in vec((0u8..8, 0u64..40, 0u64..400), 1..200)) {
        let mut now = Time::from_millis(1);
        let mut control = LeafControl::new(&info(6, 2), LeafSettings::default(), now);
        let (mut queued, mut in_flight) = (BTreeSet::new(), BTreeSet::new());
        for (serial, (op, id, millis)) in ops.into_iter().enumerate() {
            let id = TicketId(id);
            match op {
                0 | 1 => {
                    let call = Ticket { alone: millis % 7 == 0, ..ticket(serial as u64 + 100, now + ms(millis)) };
                    if control.enqueue(now, call).is_ok() {
                        queued.insert(call.id);
                    }
                }
                2 => now = now + ms(millis),
                3 => { control.cancel(now, id); }
                4 => control.finish(now, id, answered(millis % 3)),
                5 => control.record_disconnect(now),
                6 => {
                    let mut info = info((millis % 7) as u16, (millis % 3) as u16);
                    info.leaving = millis % 5 == 0;
                    control.update(now, &info);
                }
                _ => loop {
                    let lease = (millis % 9 != 0).then_some(now + ms(1_000));
                    match control.next_action(now, lease) {
                        LeafAction::Dispatch { ticket, .. } => {
                            prop_assert!(queued.remove(&ticket.id));
                            prop_assert!(in_flight.insert(ticket.id));
                        }
                        LeafAction::Reject { ticket, .. } => prop_assert!(queued.remove(&ticket.id)),
                        LeafAction::Idle { .. } => break,
                    }
                }
            }
            prop_assert_eq!(control.queued(), queued.len());
            prop_assert!(control.in_flight() <= in_flight.len());
            prop_assert!(control.in_flight() <= 6 && queued.len() <= 24);
        }
        prop_assert_eq!(violation_count(), 0);
    }

    /// Guards against quantiles that include samples no longer in the window.
    #[test]
    fn quantiles_match_sorted_samples(samples in vec(any::<u32>(), 1..400)) {
        let mut window = LatencyWindow::default();
        samples.iter().for_each(|sample| window.record(*sample));
        let mut recent = samples[samples.len().saturating_sub(128)..].to_vec();
        recent.sort_unstable();
        let rank = ((recent.len() - 1) as f64 * 0.95).round() as usize;
        prop_assert_eq!(window.quantile(0.95), recent[rank]);
        prop_assert_eq!(window.quantile(1.0), recent[recent.len() - 1]);
    }
}

/// Returns a warm control and the time after its last answer.
fn warm_control(slots: u16) -> (LeafControl, Time) {
    let mut now = Time::from_millis(1);
    let mut control = LeafControl::new(&info(slots, 1), LeafSettings::default(), now);
    for id in 0..1_000 {
        control
            .enqueue(now, ticket(id, now + ms(500)))
            .expect("queue has room");
        assert_matches!(
            control.next_action(now, Some(now + ms(2_000))),
            LeafAction::Dispatch { .. }
        );
        now = now + ms(10);
        control.finish(now, TicketId(id), answered(1));
        if !control.status().cold {
            break;
        }
    }
    assert!(
        !control.status().cold,
        "not warm after 16 answers per level"
    );
    (control, now)
}

/// Guards against a control that ignores one kind of evidence of a cold state: a cold mark, a new instance, a
/// rejection by the leaf, a lost connection or the idle timeout.
#[test]
fn evidence_of_cold_state_lowers_limit() {
    let evidence: [fn(&mut LeafControl, Time) -> Time; 5] = [
        |control, now| {
            let cold = CallResult::Answered {
                cold: true,
                instance: 1,
            };
            control.finish(now, TicketId(2_000), cold);
            now
        },
        |control, now| {
            control.finish(now, TicketId(2_000), answered(2));
            now
        },
        |control, now| {
            control.finish(now, TicketId(2_000), CallResult::Shed);
            now
        },
        |control, now| {
            control.record_disconnect(now);
            now
        },
        |_, now| now + Duration::from_secs(30),
    ];
    for (nth, apply) in evidence.iter().enumerate() {
        let (mut control, now) = warm_control(6);
        control
            .enqueue(now, ticket(2_000, now + ms(500)))
            .expect("queue has room");
        assert_matches!(
            control.next_action(now, Some(now + ms(2_000))),
            LeafAction::Dispatch { .. }
        );
        let now = apply(&mut control, now + ms(5));
        control.next_action(now, Some(now + ms(2_000)));
        let status = control.status();
        assert!(
            status.cold && control.limit() == 1,
            "evidence {nth} was ignored"
        );
    }
}

/// Guards against a leaf that is treated as warm although its latency exceeds 8 times its median.
#[test]
fn five_slow_answers_make_leaf_cold() {
    let (mut control, mut now) = warm_control(2);
    for id in 2_000..2_005 {
        assert!(!control.status().cold, "cold before the fifth slow answer");
        control
            .enqueue(now, ticket(id, now + ms(500)))
            .expect("queue has room");
        assert_matches!(
            control.next_action(now, Some(now + ms(2_000))),
            LeafAction::Dispatch { .. }
        );
        now = now + ms(90);
        control.finish(now, TicketId(id), answered(1));
    }
    assert!(control.status().cold);
}

/// Guards against calls that start although they cannot end before their deadline, and against short calls that are
/// rejected permanently because the leaf was slow once.
#[test]
fn short_calls_are_rejected_except_probes() {
    let (mut control, now) = warm_control(2);
    let short = ticket(2_000, now + ms(5));
    assert_eq!(control.enqueue(now, short), Err(NotRun::TooLate));
    let later = now + Duration::from_secs(1);
    let probe = ticket(2_001, later + ms(5));
    assert_eq!(control.enqueue(later, probe), Ok(()));
    assert_matches!(
        control.next_action(later, Some(later + ms(2_000))),
        LeafAction::Dispatch { .. }
    );
    control.finish(later + ms(2), probe.id, answered(1));
    let next = ticket(2_002, later + ms(7));
    assert_eq!(control.enqueue(later + ms(2), next), Ok(()));
}
