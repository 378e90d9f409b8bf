//! Seeded schedules of one leaf's load control against a model that counts what really runs on the leaf.

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

/// What reaches the leaf or the owner later.
#[derive(Clone, Copy, Debug)]
enum Event {
    Arrives { id: u64, told: Duration },
    Ends(u64),
    Result(u64, CallResult),
    ResetArrives(u64),
    Confirmed(u64),
    ConnectionLost,
}

/// The leaf and the way to it, with an account of what the owner was told.
struct World {
    rng: Pcg64,
    /// Faults are this many times rarer.
    calm: u32,
    now: Time,
    control: LeafControl,
    info: LeafInfo,
    events: BTreeMap<(Time, u64), (u64, Event)>,
    serial: u64,
    // The leaf.
    running: BTreeSet<u64>,
    instance: u64,
    /// Calls that a cold leaf still needs before it is warm.
    cold: u32,
    liar: bool,
    slow: bool,
    sheds: bool,
    connection: u64,
    silent: bool,
    lease_end: Option<Time>,
    // The account.
    queued: BTreeMap<u64, Ticket>,
    /// With the time when the control forgets the call and the evidence known at the dispatch.
    sent: BTreeMap<u64, (Ticket, Time, u64)>,
    dispatched: BTreeSet<u64>,
    /// Counts evidence of a cold state.
    evidence: u64,
    /// Good answers to calls sent after the last evidence.
    successes: u32,
    known_instance: Option<u64>,
    warm: bool,
    last_answer: Time,
    lease_seen: Time,
    next_id: u64,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let slots = [1, 2, 6][rng.random_range(0..3)];
        let info = info(slots, rng.random_range(1..=2));
        let now = Time::from_millis(10_000);
        let calm = [1, 5, 50][rng.random_range(0..3)];
        Self {
            calm,
            control: LeafControl::new(&info, LeafSettings::default(), now),
            rng,
            now,
            info,
            events: BTreeMap::new(),
            serial: 0,
            running: BTreeSet::new(),
            instance: 1,
            cold: 20,
            liar: false,
            slow: false,
            sheds: false,
            connection: 0,
            silent: false,
            lease_end: None,
            queued: BTreeMap::new(),
            sent: BTreeMap::new(),
            dispatched: BTreeSet::new(),
            evidence: 0,
            successes: 0,
            known_instance: None,
            warm: false,
            last_answer: now,
            lease_seen: Time(0),
            next_id: 0,
        }
    }

    fn at(&mut self, delay: Duration, event: Event) {
        self.serial += 1;
        let key = (self.now + delay, self.serial);
        self.events.insert(key, (self.connection, event));
    }

    fn latency(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(100..20_000))
    }

    fn cold_evidence(&mut self) {
        self.evidence += 1;
        self.successes = 0;
        self.known_instance = None;
        self.warm = false;
    }

    /// What time and lease imply for the owner, before it acts.
    fn observe(&mut self) {
        if self.now.since(self.last_answer) >= Duration::from_secs(30) {
            self.cold_evidence();
            self.last_answer = self.now;
        }
    }

    /// Calls that the leaf may get at most, counted apart from the control.
    fn bearable(&self) -> usize {
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
        self.observe();
        if self.control.enqueue(self.now, call).is_ok() {
            self.queued.insert(id, call);
        }
        let places = usize::from(self.info.slots) * 4;
        assert!(
            self.control.queued() <= places || self.info.slots < 6,
            "queue is bounded"
        );
    }

    fn pump(&mut self) {
        if let Some(end) = self.lease_end.filter(|end| *end > self.now) {
            if self.lease_seen <= self.now {
                self.cold_evidence();
            }
            self.lease_seen = end;
        } else {
            self.lease_seen = Time(0);
        }
        self.observe();
        loop {
            match self.control.next_action(self.now, self.lease_end) {
                LeafAction::Dispatch { ticket, deadline } => self.dispatch(ticket, deadline),
                LeafAction::Reject { ticket, .. } => {
                    let known = self.queued.remove(&ticket.id.0);
                    assert!(known.is_some(), "refused call was queued");
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
            "dispatched once"
        );
        assert!(!self.info.leaving, "dispatch to a leaving leaf");
        let lease_end = self.lease_end.expect("dispatch without lease");
        assert!(deadline + ms(100) <= lease_end, "call outlives the lease");
        assert!(deadline <= ticket.deadline && deadline <= self.now + ms(1_500));
        assert!(deadline > self.now, "call without time");
        let real = self.real();
        let others = real.len();
        assert!(!ticket.alone || others == 0, "alone beside {others} calls");
        let lonely = real.iter().any(|id| self.sent[id].0.alone);
        assert!(!lonely, "call beside one that runs alone");
        let earlier = self.queued.values().find(|q| {
            q.alone && !ticket.alone || q.alone == ticket.alone && q.deadline < ticket.deadline
        });
        assert!(earlier.is_none(), "{earlier:?} should go before {ticket:?}");
        let bearable = self.bearable();
        assert!(
            others < bearable,
            "{others} in flight of {bearable} bearable"
        );
        // A leaf whose clock is slower than the owner's by up to 22% overruns what it was told.
        let forgotten = deadline + ms(50).max(deadline.since(self.now) / 4);
        self.sent.insert(id, (ticket, forgotten, self.evidence));
        if !(self.silent && self.rng.random()) {
            let told = deadline.since(self.now);
            let delay = self.latency();
            self.at(delay, Event::Arrives { id, told });
        }
    }

    /// The calls that run on the leaf or will, in truth.
    fn real(&self) -> BTreeSet<u64> {
        let coming = self
            .events
            .values()
            .filter_map(|&(connection, event)| match event {
                Event::Arrives { id, .. } if connection == self.connection => Some(id),
                _ => None,
            });
        self.running.iter().copied().chain(coming).collect()
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
                    "dequeued call was queued"
                );
                assert_eq!(self.control.queued(), before - 1, "place is free at once");
            }
            Cancelled::InFlight => {
                let delay = self.latency();
                self.at(delay, Event::ResetArrives(id));
            }
            Cancelled::Unknown => {}
        }
    }

    fn handle(&mut self, connection: u64, event: Event) {
        let current = connection == self.connection;
        match event {
            Event::Arrives { id, told } if current => {
                if self.sheds && self.rng.random() {
                    return self.reply(id, CallResult::Shed);
                }
                self.running.insert(id);
                let factor = if self.cold > 0 { 4 } else { 1 } * if self.slow { 30 } else { 1 };
                let service = Duration::from_micros(self.rng.random_range(1_000..9_000)) * factor;
                self.at(service.min(told), Event::Ends(id));
                if service < told {
                    let mark = self.cold > 0 && !self.liar;
                    self.cold = self.cold.saturating_sub(1);
                    let instance = self.instance;
                    let result = match self.rng.random_range(0..50) {
                        0 => CallResult::BadAnswer,
                        1 => CallResult::WrongSnapshot,
                        _ => CallResult::Answered {
                            cold: mark,
                            instance,
                        },
                    };
                    let delay = service + self.latency();
                    self.at(delay, Event::Result(id, result));
                }
            }
            Event::Ends(id) => {
                self.running.remove(&id);
            }
            // A late answer of an earlier connection may still come in, one of a silent connection does not.
            Event::Result(id, result) if !(current && self.silent) => {
                self.result(id, result);
            }
            Event::ResetArrives(id) if current && !self.silent => {
                // A connection keeps the order: the reset cannot overtake its call.
                self.events.retain(|_, (_, event)| {
                    !matches!(event, Event::Arrives { id: coming, .. } if *coming == id)
                });
                self.running.remove(&id);
                let delay = self.latency();
                self.at(delay, Event::Confirmed(id));
            }
            Event::Confirmed(id) if current => self.result(id, CallResult::Stopped),
            Event::ConnectionLost => {
                self.control.record_disconnect(self.now);
                self.cold_evidence();
            }
            _ => {}
        }
    }

    fn reply(&mut self, id: u64, result: CallResult) {
        let delay = self.latency();
        self.at(delay, Event::Result(id, result));
    }

    fn result(&mut self, id: u64, result: CallResult) {
        self.observe();
        let sent = self.sent.get(&id).copied();
        self.control.finish(self.now, TicketId(id), result);
        let Some((_, forgotten, evidence)) = sent else {
            return;
        };
        if result == CallResult::Lost || self.now >= forgotten {
            return;
        }
        match result {
            CallResult::Stopped | CallResult::NotSent => {}
            CallResult::Shed => self.cold_evidence(),
            CallResult::Answered { cold: true, .. } => self.cold_evidence(),
            CallResult::Answered { instance, .. } if evidence == self.evidence => {
                if self.known_instance.is_some_and(|known| known != instance) {
                    return self.cold_evidence();
                }
                self.known_instance = Some(instance);
                self.successes += 1;
                let full = u32::from(self.info.cold_capacity) + self.successes / 16;
                self.warm |= full >= u32::from(self.info.slots) && self.successes >= 16;
            }
            _ => {}
        }
        if !matches!(result, CallResult::Stopped | CallResult::NotSent) {
            self.last_answer = self.now;
        }
        self.sent.remove(&id);
    }

    /// The calls on the connection are lost to the owner; on the leaf they go on unless it crashed.
    fn lose_connection(&mut self) {
        self.connection += 1;
        self.silent = false;
        let calls: Vec<u64> = self.sent.keys().copied().collect();
        for id in calls {
            self.result(id, CallResult::Lost);
        }
    }

    fn fault(&mut self) {
        match self.rng.random_range(0..13) {
            0 => {
                self.running.clear();
                self.instance += 1;
                self.cold = 20;
                self.lose_connection();
                self.handle(self.connection, Event::ConnectionLost);
            }
            11 => {
                // A restart that no connection shows.
                self.running.clear();
                self.instance += 1;
                self.cold = 20;
            }
            1 => self.cold = 30,
            2 => self.slow = !self.slow,
            3 => self.sheds = !self.sheds,
            4 => self.liar = !self.liar,
            5 => self.silent = true,
            6 if self.silent => self.lose_connection(),
            7 => self.lease_end = None,
            8 => {
                let returned = self.info.leaving;
                self.info.leaving = !returned;
                if returned {
                    self.cold_evidence();
                }
                self.control.update(self.now, &self.info);
            }
            9 | 10 => {
                let capacity = self.rng.random_range(1..=2).min(self.info.slots);
                let slots = self.rng.random_range(1..=6).max(capacity);
                if capacity < self.info.cold_capacity.min(self.info.slots) && !self.warm {
                    self.cold_evidence();
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

    /// The owner's process stands still; the leaf goes on.
    fn pause(&mut self) {
        let until = self.now + ms(self.rng.random_range(0..40_000));
        let mut late = Vec::new();
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= until) {
            let ((at, _), (connection, event)) = entry.remove_entry();
            if matches!(
                event,
                Event::Result(..) | Event::Confirmed(_) | Event::ConnectionLost
            ) {
                late.push((connection, event));
            } else {
                self.now = self.now.max(at);
                self.handle(connection, event);
            }
        }
        self.now = self.now.max(until);
        for (connection, event) in late {
            self.handle(connection, event);
        }
        self.advance(Duration::ZERO);
    }

    fn check(&self) {
        let counted = self.control.in_flight();
        let running = self.running.len();
        assert!(
            running <= counted,
            "{running} calls run, {counted} are counted"
        );
        assert_eq!(violation_count(), 0, "a rule inside the control was broken");
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
            97..100 if self.rng.random_ratio(1, self.calm) => self.fault(),
            _ => {}
        }
        self.pump();
        self.check();
    }

    fn renew(&mut self) {
        let length = self.rng.random_range(1_500..=2_000);
        self.lease_end = Some(self.now + ms(length));
    }

    /// Ends all faults; a control that refuses everything would be safe but useless.
    fn recover(&mut self) {
        (self.slow, self.sheds, self.liar) = (false, false, false);
        self.cold = 0;
        if self.info.leaving {
            self.cold_evidence();
        }
        self.info.leaving = false;
        self.control.update(self.now, &self.info);
        self.lose_connection();
        for _ in 0..2_000 {
            self.renew();
            self.enqueue_call();
            self.pump();
            self.advance(ms(3));
            self.check();
            if !self.control.status().cold && self.control.limit() == self.info.slots {
                break;
            }
        }
        assert!(!self.control.status().cold, "the leaf never became warm");
        assert_eq!(self.control.limit(), self.info.slots);
    }
}

/// Guards against every breach of the limits of one leaf: more calls than it bears, calls to a leaving leaf or
/// without lease, calls beside one that runs alone, calls uncounted while they run.
///
/// `SEED=n` runs one schedule, `SCHEDULES=n` the first n.
#[test]
fn schedules() {
    let (mut calls, mut warm) = (0, 0);
    for seed in seeds::seeds(2_000) {
        calls += seeds::run_schedule("leaf_control", seed, || {
            let mut world = World::new(seed);
            for _ in 0..STEPS {
                world.step();
                warm += usize::from(!world.control.status().cold);
            }
            world.recover();
            world.dispatched.len()
        });
    }
    println!("{calls} calls dispatched, {warm} steps with a warm leaf");
}

proptest! {
    #![proptest_config(seeds::proptest_config())]

    /// Guards against lost or doubled tickets, and against a queue that outgrows its bound, under any order of
    /// operations, also ones that no caller would choose.
    #[test]
    fn tickets_are_accounted_for(ops in vec((0u8..8, 0u64..40, 0u64..400), 1..200)) {
        let mut now = Time::from_millis(1);
        let mut control = LeafControl::new(&info(6, 2), LeafSettings::default(), now);
        let (mut queued, mut flights) = (BTreeSet::new(), BTreeSet::new());
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
                            prop_assert!(flights.insert(ticket.id));
                        }
                        LeafAction::Reject { ticket, .. } => prop_assert!(queued.remove(&ticket.id)),
                        LeafAction::Idle { .. } => break,
                    }
                }
            }
            prop_assert_eq!(control.queued(), queued.len());
            prop_assert!(control.in_flight() <= flights.len());
            prop_assert!(control.in_flight() <= 6 && queued.len() <= 24);
        }
        prop_assert_eq!(violation_count(), 0);
    }

    /// Guards against quantiles that mix in samples which the window has dropped.
    #[test]
    fn quantiles_match_a_sorted_copy(samples in vec(any::<u32>(), 1..400)) {
        let mut window = LatencyWindow::default();
        samples.iter().for_each(|sample| window.record(*sample));
        let mut recent = samples[samples.len().saturating_sub(128)..].to_vec();
        recent.sort_unstable();
        let rank = ((recent.len() - 1) as f64 * 0.95).round() as usize;
        prop_assert_eq!(window.quantile(0.95), recent[rank]);
        prop_assert_eq!(window.quantile(1.0), recent[recent.len() - 1]);
    }
}

/// A warm control and the time after its last answer.
fn warm(slots: u16) -> (LeafControl, Time) {
    let mut now = Time::from_millis(1);
    let mut control = LeafControl::new(&info(slots, 1), LeafSettings::default(), now);
    for id in 0..1_000 {
        control
            .enqueue(now, ticket(id, now + ms(500)))
            .expect("room");
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
    assert!(!control.status().cold, "warm after 16 answers per level");
    (control, now)
}

/// Guards against each kind of evidence of a cold state being ignored.
#[test]
fn evidence_makes_cold() {
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
        let (mut control, now) = warm(6);
        control
            .enqueue(now, ticket(2_000, now + ms(500)))
            .expect("room");
        assert_matches!(
            control.next_action(now, Some(now + ms(2_000))),
            LeafAction::Dispatch { .. }
        );
        let now = apply(&mut control, now + ms(5));
        control.next_action(now, Some(now + ms(2_000)));
        let status = control.status();
        assert!(
            status.cold && control.limit() == 1,
            "evidence {nth} is ignored"
        );
    }
}

/// Guards against a leaf that slows down to more than 8 times its median being taken for warm.
#[test]
fn five_slow_answers_make_cold() {
    let (mut control, mut now) = warm(2);
    for id in 2_000..2_005 {
        assert!(!control.status().cold, "cold before the fifth slow answer");
        control
            .enqueue(now, ticket(id, now + ms(500)))
            .expect("room");
        assert_matches!(
            control.next_action(now, Some(now + ms(2_000))),
            LeafAction::Dispatch { .. }
        );
        now = now + ms(90);
        control.finish(now, TicketId(id), answered(1));
    }
    assert!(control.status().cold);
}

/// Guards against calls that start although they cannot end in time, and against a leaf that is refused short
/// calls for ever after it was slow once.
#[test]
fn too_short_calls_are_refused_but_probed() {
    let (mut control, now) = warm(2);
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
