//! Randomized schedules of crash ledgers on several nodes that run harmless and crashing queries.

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
const CRASH_TTL: Duration = Duration::from_secs(600);
const NODES: usize = 3;
const CRASHING_QUERIES: u128 = 3;
const QUERIES: u128 = 12;

fn fingerprint(number: u128) -> Fingerprint {
    Fingerprint(number)
}

fn event(id: u64, fingerprints: &[u128], alone: bool) -> CrashEvent {
    CrashEvent::new(
        CrashId(id),
        fingerprints.iter().copied().map(fingerprint),
        alone,
    )
}

/// Simulates the ledgers of all nodes. Queries with a number below `CRASHING_QUERIES` crash every leaf that runs
/// them, the others none.
struct Simulation {
    rng: Pcg64,
    now: Time,
    ledgers: Vec<CrashLedger>,
    /// Number of crashes per node and query, for crashes with exactly one crashing query in flight.
    crashes: BTreeMap<(usize, u128), u32>,
    rumors_in_transit: Vec<(usize, CrashEvent)>,
    next_id: u64,
}

impl Simulation {
    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(self.rng.random_range(0..500));
        match self.rng.random_range(0..10) {
            0..6 => self.run(),
            6 => {
                let node = self.rng.random_range(0..NODES);
                for rumor in self.ledgers[node].rumors(self.now, |_| true) {
                    for peer in 0..NODES {
                        // Lost, duplicated and, by the random removal below, reordered.
                        for _ in 0..self.rng.random_range(0..3) {
                            self.rumors_in_transit.push((peer, rumor.clone()));
                        }
                    }
                }
            }
            _ if !self.rumors_in_transit.is_empty() => {
                let at = self.rng.random_range(0..self.rumors_in_transit.len());
                let (peer, rumor) = self.rumors_in_transit.swap_remove(at);
                self.ledgers[peer].record_crash(self.now, rumor);
            }
            _ => {}
        }
        for (node, ledger) in self.ledgers.iter().enumerate() {
            for query in CRASHING_QUERIES..QUERIES {
                let verdict = ledger.verdict(self.now, fingerprint(query));
                assert_ne!(
                    verdict,
                    Verdict::Quarantined,
                    "harmless query {query} is quarantined on node {node}"
                );
            }
        }
    }

    /// Runs queries concurrently on one leaf, or suspects alone, as their verdicts require.
    fn run(&mut self) {
        let node = self.rng.random_range(0..NODES);
        let mut queries = Vec::new();
        let count = self.rng.random_range(1..5);
        for _ in 0..count {
            let query = self.rng.random_range(0..QUERIES);
            match self.ledgers[node].verdict(self.now, fingerprint(query)) {
                Verdict::Quarantined => {}
                Verdict::Suspect => self.finish(node, &[query], true),
                Verdict::Fresh | Verdict::Known => queries.push(query),
            }
        }
        if !queries.is_empty() {
            self.finish(node, &queries, false);
        }
    }

    /// Ends a run of `queries` on one leaf and records its crash or the successes on the ledger of `node`.
    fn finish(&mut self, node: usize, queries: &[u128], alone: bool) {
        let mut crashing: Vec<u128> = queries
            .iter()
            .copied()
            .filter(|q| *q < CRASHING_QUERIES)
            .collect();
        crashing.dedup();
        // A VM may also fail while harmless queries run, but not again while one of them runs alone.
        let vm_fails = !alone && self.rng.random_ratio(1, 30);
        if crashing.is_empty() && !vm_fails {
            for query in queries {
                self.ledgers[node].record_success(self.now, fingerprint(*query), alone);
            }
            return;
        }
        if let [query] = crashing[..] {
            *self.crashes.entry((node, query)).or_default() += 1;
        }
        self.next_id += 1;
        let event = event(self.next_id, queries, alone);
        self.ledgers[node].record_crash(self.now, event);
    }
}

/// Guards against a harmless query in quarantine, and against a crashing query that one node runs more than twice,
/// with rumors lost, duplicated and out of order.
///
/// `SEED=n` runs one schedule, `SCHEDULES=n` the first n.
#[test]
fn random_schedules_quarantine_only_crashing_queries() {
    let mut quarantined = 0;
    for seed in seeds::seeds(600) {
        quarantined += seeds::run_schedule("crash_ledger", seed, || {
            let mut simulation = Simulation {
                rng: Pcg64::seed_from_u64(seed),
                now: START,
                ledgers: (0..NODES).map(|_| CrashLedger::new()).collect(),
                crashes: BTreeMap::new(),
                rumors_in_transit: Vec::new(),
                next_id: 0,
            };
            // 200 steps of up to 0.5 s: no quarantine expires.
            for _ in 0..200 {
                simulation.step();
            }
            for ((node, query), crashes) in &simulation.crashes {
                assert!(
                    *crashes <= 2,
                    "query {query} crashed {crashes} leaves through node {node}"
                );
            }
            let now = simulation.now;
            let ledgers = simulation.ledgers.iter();
            ledgers
                .map(|ledger| ledger.quarantined_count(now))
                .sum::<usize>()
        });
    }
    println!("{quarantined} quarantines");
    assert!(quarantined > 0, "no query was quarantined");
}

proptest! {
    #![proptest_config(seeds::proptest_config())]

    /// Guards against verdicts that depend on the order of events or on duplicates, as long as only one query of
    /// each crash also crashes a leaf alone.
    #[test]
    fn verdicts_are_independent_of_event_order(
        others in vec(subsequence((1..8u128).collect::<Vec<_>>(), 0..5), 1..5),
        order in vec(0usize..6, 0..30),
    ) {
        let mut events = vec![event(100, &[0], true)];
        for (id, mut fingerprints) in others.into_iter().enumerate() {
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
        prop_assert_eq!(ledger.verdict(START, fingerprint(0)), Verdict::Quarantined);
        for harmless in 1..8 {
            prop_assert_eq!(ledger.verdict(START, fingerprint(harmless)), Verdict::Fresh);
        }
    }
}

/// Guards against a quarantine that starts after one crash, never ends, or is lifted early by a successful run.
#[test]
fn two_crashes_quarantine_for_ten_minutes() {
    let mut ledger = CrashLedger::new();
    assert!(ledger.record_crash(START, event(1, &[1], true)));
    assert!(
        !ledger.record_crash(START, event(1, &[1], true)),
        "duplicate was recorded"
    );
    assert_eq!(ledger.verdict(START, fingerprint(1)), Verdict::Suspect);
    ledger.record_crash(START, event(2, &[1, 2], false));
    assert_eq!(ledger.verdict(START, fingerprint(1)), Verdict::Quarantined);
    ledger.record_success(START, fingerprint(1), true);
    let last = Time((START + CRASH_TTL).0 - 1);
    assert_eq!(ledger.verdict(last, fingerprint(1)), Verdict::Quarantined);
    assert_ne!(
        ledger.verdict(START + CRASH_TTL, fingerprint(1)),
        Verdict::Quarantined
    );
}

/// Guards against a suspect that is cleared by a run next to other queries, and against a cleared query that a late
/// rumor of an earlier crash makes a suspect again.
#[test]
fn only_run_alone_clears_suspect() {
    let mut ledger = CrashLedger::new();
    ledger.record_crash(START, event(1, &[1, 2], false));
    ledger.record_success(START, fingerprint(1), false);
    assert_eq!(ledger.verdict(START, fingerprint(1)), Verdict::Suspect);
    let later = START + Duration::from_secs(10);
    ledger.record_success(later, fingerprint(1), true);
    assert_eq!(ledger.verdict(later, fingerprint(1)), Verdict::Known);
    assert_eq!(ledger.verdict(later, fingerprint(2)), Verdict::Suspect);
    let mut late = event(2, &[1], false);
    late.age_ms = 11_000;
    ledger.record_crash(later, late);
    assert_eq!(ledger.verdict(later, fingerprint(1)), Verdict::Known);
    ledger.record_crash(later + Duration::from_millis(1), event(3, &[1], false));
    assert_eq!(ledger.verdict(later, fingerprint(1)), Verdict::Suspect);
}

/// Guards against a large number of crashes that lifts a quarantine, and against rumors that exceed their size or
/// are sent without limit.
#[test]
fn events_and_rumors_are_bounded() {
    let mut ledger = CrashLedger::new();
    ledger.record_crash(START, event(1, &[1], false));
    ledger.record_crash(START, event(2, &[1], true));
    let many: Vec<u128> = (100..200).collect();
    assert_eq!(event(3, &many, false).fingerprints.len(), MAX_FINGERPRINTS);
    let mut oversized = event(4, &[7], false);
    oversized.fingerprints = many.into_iter().map(fingerprint).collect();
    assert!(
        !ledger.record_crash(START, oversized),
        "oversized rumor was recorded"
    );
    for id in 10..10_000 {
        ledger.record_crash(START, event(id, &[u128::from(id)], false));
    }
    assert_eq!(ledger.verdict(START, fingerprint(1)), Verdict::Quarantined);
    assert_ne!(
        ledger.verdict(START, fingerprint(10)),
        Verdict::Suspect,
        "oldest event was not removed"
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
        ledger.rumors(START + CRASH_TTL, |_| true).is_empty(),
        "expired event was passed on"
    );
    let mut old = event(51, &[8], false);
    old.age_ms = 600_000;
    assert!(
        !ledger.record_crash(START, old),
        "expired event was recorded"
    );
}

/// Guards against fingerprints that differ between nodes or are equal for different services.
#[test]
fn fingerprints_are_stable_per_service() {
    let one = CrashLedger::fingerprint(&"parts".into(), "jet 0.74");
    assert_eq!(one, CrashLedger::fingerprint(&"parts".into(), "jet 0.74"));
    assert_ne!(one, CrashLedger::fingerprint(&"repairs".into(), "jet 0.74"));
    assert_ne!(one, CrashLedger::fingerprint(&"parts".into(), "jet 0.75"));
}

/// Guards against rumors that are counted as sent although their message had no room for them.
#[test]
fn rumors_that_do_not_fit_are_sent_later() {
    let mut ledger = CrashLedger::new();
    let fingerprint = CrashLedger::fingerprint(&"parts".into(), "brass");
    assert!(ledger.record_crash(START, CrashEvent::new(CrashId(1), [fingerprint], false)));
    for _ in 0..1_000 {
        assert!(ledger.rumors(START, |_| false).is_empty());
    }
    assert_eq!(ledger.rumors(START, |_| true).len(), 1);
}
