//! Seeded schedules of crash ledgers on several nodes that run harmless and crashing queries.

mod seeds;

use std::{collections::BTreeMap, time::Duration};

use cranberrychute::core::{
    Time,
    crash::{CrashEvent, CrashId, CrashLedger, Fingerprint, MAX_FINGERPRINTS, Verdict},
};
use proptest::{collection::vec, prelude::*, sample::subsequence};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const START: Time = Time(1_000_000_000_000);
const LIFETIME: Duration = Duration::from_secs(600);
const NODES: usize = 3;
const CRASHERS: u128 = 3;
const QUERIES: u128 = 12;

fn print(number: u128) -> Fingerprint {
    Fingerprint(number)
}

fn event(id: u64, fingerprints: &[u128], alone: bool) -> CrashEvent {
    CrashEvent::new(CrashId(id), fingerprints.iter().copied().map(print), alone)
}

/// Queries below `CRASHERS` crash every leaf they run on, the others none.
struct World {
    rng: Pcg64,
    now: Time,
    ledgers: Vec<CrashLedger>,
    /// Crashes by the node that issued the run and the only crasher in flight.
    crashes: BTreeMap<(usize, u128), u32>,
    gossip: Vec<(usize, CrashEvent)>,
    next_id: u64,
}

impl World {
    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(self.rng.random_range(0..500));
        match self.rng.random_range(0..10) {
            0..6 => self.run(),
            6 => {
                let node = self.rng.random_range(0..NODES);
                for rumor in self.ledgers[node].rumors(self.now, |_| true) {
                    for peer in 0..NODES {
                        // Lost, doubled and, with the random removal below, reordered.
                        for _ in 0..self.rng.random_range(0..3) {
                            self.gossip.push((peer, rumor.clone()));
                        }
                    }
                }
            }
            _ if !self.gossip.is_empty() => {
                let at = self.rng.random_range(0..self.gossip.len());
                let (peer, rumor) = self.gossip.swap_remove(at);
                self.ledgers[peer].record_crash(self.now, rumor);
            }
            _ => {}
        }
        for (node, ledger) in self.ledgers.iter().enumerate() {
            for query in CRASHERS..QUERIES {
                let verdict = ledger.verdict(self.now, print(query));
                assert_ne!(
                    verdict,
                    Verdict::Quarantined,
                    "harmless {query} on node {node}"
                );
            }
        }
    }

    /// Runs some queries at the same time on one leaf, or one alone, as the verdicts ask.
    fn run(&mut self) {
        let node = self.rng.random_range(0..NODES);
        let mut flight = Vec::new();
        let count = self.rng.random_range(1..5);
        for _ in 0..count {
            let query = self.rng.random_range(0..QUERIES);
            match self.ledgers[node].verdict(self.now, print(query)) {
                Verdict::Quarantined => {}
                Verdict::Suspect => self.finish(node, &[query], true),
                Verdict::Fresh | Verdict::Known => flight.push(query),
            }
        }
        if !flight.is_empty() {
            self.finish(node, &flight, false);
        }
    }

    fn finish(&mut self, node: usize, flight: &[u128], alone: bool) {
        let mut crashers: Vec<u128> = flight.iter().copied().filter(|q| *q < CRASHERS).collect();
        crashers.dedup();
        // A machine may also die under harmless queries, though not again while one of them runs alone.
        let dies = !alone && self.rng.random_ratio(1, 30);
        if crashers.is_empty() && !dies {
            for query in flight {
                self.ledgers[node].record_success(self.now, print(*query), alone);
            }
            return;
        }
        if let [crasher] = crashers[..] {
            *self.crashes.entry((node, crasher)).or_default() += 1;
        }
        self.next_id += 1;
        let event = event(self.next_id, flight, alone);
        self.ledgers[node].record_crash(self.now, event);
    }
}

/// Guards against a harmless query in quarantine, and against a crasher that gets more than two runs from one
/// node, with rumors lost, doubled and out of order.
///
/// `SEED=n` runs one schedule, `SCHEDULES=n` the first n.
#[test]
fn schedules() {
    let mut quarantined = 0;
    for seed in seeds::seeds(600) {
        quarantined += seeds::run_schedule("crash_ledger", seed, || {
            let mut world = World {
                rng: Pcg64::seed_from_u64(seed),
                now: START,
                ledgers: (0..NODES).map(|_| CrashLedger::new()).collect(),
                crashes: BTreeMap::new(),
                gossip: Vec::new(),
                next_id: 0,
            };
            // 200 steps of up to 0.5 s: no quarantine ends in between.
            for _ in 0..200 {
                world.step();
            }
            for ((node, crasher), crashes) in &world.crashes {
                assert!(
                    *crashes <= 2,
                    "{crasher} crashed {crashes} leaves through node {node}"
                );
            }
            let now = world.now;
            let ledgers = world.ledgers.iter();
            ledgers
                .map(|ledger| ledger.quarantined_count(now))
                .sum::<usize>()
        });
    }
    println!("{quarantined} quarantines");
    assert!(quarantined > 0, "no crasher was ever quarantined");
}

proptest! {
    #![proptest_config(seeds::proptest_config())]

    /// Guards against verdicts that depend on the order or the number of arrivals of an event, as far as only one
    /// query of each crash ever crashes alone.
    #[test]
    fn order_and_duplicates_are_harmless(
        beside in vec(subsequence((1..8u128).collect::<Vec<_>>(), 0..5), 1..5),
        order in vec(0usize..6, 0..30),
    ) {
        let mut events = vec![event(100, &[0], true)];
        for (id, mut fingerprints) in beside.into_iter().enumerate() {
            fingerprints.push(0);
            events.push(event(id as u64, &fingerprints, false));
        }
        let mut ledger = CrashLedger::new();
        for at in order {
            if let Some(event) = events.get(at) {
                ledger.record_crash(START, event.clone());
            }
        }
        for event in &events {
            ledger.record_crash(START, event.clone());
        }
        prop_assert_eq!(ledger.verdict(START, print(0)), Verdict::Quarantined);
        for innocent in 1..8 {
            prop_assert_eq!(ledger.verdict(START, print(innocent)), Verdict::Fresh);
        }
    }
}

/// Guards against a quarantine after one crash, one that never ends, and one that a success lifts early.
#[test]
fn two_crashes_quarantine_for_ten_minutes() {
    let mut ledger = CrashLedger::new();
    assert!(ledger.record_crash(START, event(1, &[1], true)));
    assert!(
        !ledger.record_crash(START, event(1, &[1], true)),
        "a duplicate is not new"
    );
    assert_eq!(ledger.verdict(START, print(1)), Verdict::Suspect);
    ledger.record_crash(START, event(2, &[1, 2], false));
    assert_eq!(ledger.verdict(START, print(1)), Verdict::Quarantined);
    ledger.record_success(START, print(1), true);
    let last = Time((START + LIFETIME).0 - 1);
    assert_eq!(ledger.verdict(last, print(1)), Verdict::Quarantined);
    assert_ne!(
        ledger.verdict(START + LIFETIME, print(1)),
        Verdict::Quarantined
    );
}

/// Guards against a suspect cleared by a run that proves nothing, and one that a late rumor accuses again.
#[test]
fn only_a_run_alone_clears() {
    let mut ledger = CrashLedger::new();
    ledger.record_crash(START, event(1, &[1, 2], false));
    ledger.record_success(START, print(1), false);
    assert_eq!(ledger.verdict(START, print(1)), Verdict::Suspect);
    let later = START + Duration::from_secs(10);
    ledger.record_success(later, print(1), true);
    assert_eq!(ledger.verdict(later, print(1)), Verdict::Known);
    assert_eq!(ledger.verdict(later, print(2)), Verdict::Suspect);
    let mut late = event(2, &[1], false);
    late.age_ms = 11_000;
    ledger.record_crash(later, late);
    assert_eq!(ledger.verdict(later, print(1)), Verdict::Known);
    ledger.record_crash(later + Duration::from_millis(1), event(3, &[1], false));
    assert_eq!(ledger.verdict(later, print(1)), Verdict::Suspect);
}

/// Guards against a flood of crashes that lifts a quarantine, and rumors without end or beyond their bounds.
#[test]
fn floods_are_bounded() {
    let mut ledger = CrashLedger::new();
    ledger.record_crash(START, event(1, &[1], false));
    ledger.record_crash(START, event(2, &[1], true));
    let crowd: Vec<u128> = (100..200).collect();
    assert_eq!(event(3, &crowd, false).fingerprints.len(), MAX_FINGERPRINTS);
    let mut oversized = event(4, &[7], false);
    oversized.fingerprints = crowd.into_iter().map(print).collect();
    assert!(
        !ledger.record_crash(START, oversized),
        "an oversized rumor is refused"
    );
    for id in 10..10_000 {
        ledger.record_crash(START, event(id, &[u128::from(id)], false));
    }
    assert_eq!(ledger.verdict(START, print(1)), Verdict::Quarantined);
    assert_ne!(
        ledger.verdict(START, print(10)),
        Verdict::Suspect,
        "the oldest is forgotten"
    );

    let mut ledger = CrashLedger::new();
    (0..20).for_each(|id| assert!(ledger.record_crash(START, event(id, &[9], false))));
    let mut sends = BTreeMap::<CrashId, u32>::new();
    loop {
        let rumors = ledger.rumors(START, |_| true);
        if rumors.is_empty() {
            break;
        }
        assert!(rumors.len() <= 4);
        rumors
            .iter()
            .for_each(|rumor| *sends.entry(rumor.id).or_default() += 1);
    }
    assert!(
        sends.len() == 20 && sends.values().all(|count| *count == 14),
        "{sends:?}"
    );
    ledger.record_crash(START, event(50, &[9], false));
    assert!(
        ledger.rumors(START + LIFETIME, |_| true).is_empty(),
        "expired events are not passed on"
    );
    let mut old = event(51, &[8], false);
    old.age_ms = 600_000;
    assert!(
        !ledger.record_crash(START, old),
        "an expired event is refused"
    );
}

/// Guards against fingerprints that differ between nodes or mix up services.
#[test]
fn fingerprints_are_stable() {
    let one = CrashLedger::fingerprint(&"parts".into(), "jet 0.74");
    assert_eq!(one, CrashLedger::fingerprint(&"parts".into(), "jet 0.74"));
    assert_ne!(one, CrashLedger::fingerprint(&"repairs".into(), "jet 0.74"));
    assert_ne!(one, CrashLedger::fingerprint(&"parts".into(), "jet 0.75"));
}

/// Guards against rumors that count as sent although their message had no room for them.
#[test]
fn rumors_without_room_are_sent_later() {
    let mut ledger = CrashLedger::new();
    let print = CrashLedger::fingerprint(&"parts".into(), "brass");
    assert!(ledger.record_crash(START, CrashEvent::new(CrashId(1), [print], false)));
    for _ in 0..1_000 {
        assert!(ledger.rumors(START, |_| false).is_empty());
    }
    assert_eq!(ledger.rumors(START, |_| true).len(), 1);
}
