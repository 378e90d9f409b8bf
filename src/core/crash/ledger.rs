use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::core::{ServiceName, Time, crash::Fingerprint};

/// Time for which a crash counts against a query, and for which a quarantine lasts after the last crash.
const CRASH_TTL: Duration = Duration::from_secs(600);

/// Maximum number of stored crashes; the oldest are removed first. A failure domain of full size has 3,200 leaves,
/// which may all be lost at once.
const MAX_EVENTS: usize = 4_096;

/// Maximum number of fingerprints stored as harmless in each of two generations, which take 1 MB together.
const MAX_HARMLESS: usize = 16_384;

/// Maximum number of active quarantines; the oldest are lifted first.
const MAX_QUARANTINED: usize = 4_096;

/// Maximum number of stored clearances. The oldest are removed first; such a query may have to run alone again.
const MAX_CLEARANCES: usize = 4_096;

/// Maximum number of fingerprints in one crash event. Leaves have few slots; the limit bounds the size of a rumor.
pub const MAX_FINGERPRINTS: usize = 32;

/// Maximum number of events returned by one call of [`CrashLedger::rumors`].
const RUMORS_PER_CALL: usize = 4;

/// Number of times that one event is passed on; above log2 of 2,800 nodes.
const RUMOR_SENDS: u32 = 14;

/// Identifies one crash; drawn at random by the node that observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CrashId(pub u64);

/// A connection reset by a leaf while calls were in flight on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEvent {
    pub id: CrashId,
    /// Age in milliseconds when the event was sent; sent as an age because clocks of two nodes are not comparable.
    pub age_ms: u32,
    /// The distinct queries that were in flight, at most [`MAX_FINGERPRINTS`].
    pub fingerprints: SmallVec<[Fingerprint; 4]>,
    /// Whether the only call in flight was one sent with `alone`. A gateway, which shares leaves with others, sends only one
    /// call of a suspect at a time itself.
    pub alone: bool,
}

impl CrashEvent {
    /// Creates an event for a crash that was just observed.
    pub fn new(
        id: CrashId,
        fingerprints: impl IntoIterator<Item = Fingerprint>,
        alone: bool,
    ) -> Self {
        let mut fingerprints: SmallVec<[Fingerprint; 4]> = fingerprints.into_iter().collect();
        fingerprints.sort_unstable();
        fingerprints.dedup();
        fingerprints.truncate(MAX_FINGERPRINTS);
        Self {
            id,
            age_ms: 0,
            alone: alone && fingerprints.len() == 1,
            fingerprints,
        }
    }
}

/// Assessment of a query, based on the recorded crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Not seen before: must run on one leaf first.
    Fresh,
    /// Has run without a crash.
    Known,
    /// Was in flight at a crash: may run once more, alone on its leaf.
    Suspect,
    /// Crashed leaves at least twice, at least once while it ran alone: must not run.
    Quarantined,
}

#[derive(Debug)]
struct Event {
    id: CrashId,
    time: Time,
    fingerprints: SmallVec<[Fingerprint; 4]>,
    alone: bool,
    sends: u32,
}

/// One crash that counts against a fingerprint.
#[derive(Clone, Copy, Debug)]
struct Crash {
    id: CrashId,
    time: Time,
    alone: bool,
}

/// Records crashes, suspect queries and quarantined queries, bounded in size and time.
///
/// Every query in flight at a crash is a suspect until it runs alone without a crash (cleared), or until another
/// query in flight at the same crash is quarantined, which explains the crash. Suspects are not narrowed to the
/// queries present at several crashes: with two crashing queries beside one popular query, only the popular one
/// would remain a suspect, and each of the other two could cause a third crash.
#[derive(Debug, Default)]
pub struct CrashLedger {
    /// In order of arrival.
    events: VecDeque<Event>,
    ids: HashSet<CrashId>,
    suspects: HashMap<Fingerprint, SmallVec<[Crash; 2]>>,
    /// The end of each quarantine.
    quarantines: HashMap<Fingerprint, Time>,
    quarantine_order: VecDeque<Fingerprint>,
    /// The time of the last run alone without a crash. Earlier crashes do not count against the query.
    cleared: HashMap<Fingerprint, Time>,
    clearance_order: VecDeque<(Fingerprint, Time)>,
    harmless: HashSet<Fingerprint>,
    previous_harmless: HashSet<Fingerprint>,
}

impl CrashLedger {
    /// Creates an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the fingerprint of a query, the same on every node.
    pub fn fingerprint(service: &ServiceName, text: &str) -> Fingerprint {
        let seed = xxhash_rust::xxh3::xxh3_64(service.as_str().as_bytes());
        Fingerprint(xxhash_rust::xxh3::xxh3_128_with_seed(text.as_bytes(), seed))
    }

    /// Returns the assessment of a query.
    pub fn verdict(&self, now: Time, fingerprint: Fingerprint) -> Verdict {
        if self.is_quarantined(now, fingerprint) {
            return Verdict::Quarantined;
        }
        if self.is_suspect(now, fingerprint) {
            return Verdict::Suspect;
        }
        if self.harmless.contains(&fingerprint) || self.previous_harmless.contains(&fingerprint) {
            Verdict::Known
        } else {
            Verdict::Fresh
        }
    }

    /// Records that a query ran without a crash.
    ///
    /// Only a run that was sent with `alone` clears a suspect: a run that started before the crash, or on a leaf
    /// whose shard does not trigger the fault, proves nothing. No run ends a quarantine early.
    pub fn record_success(&mut self, now: Time, fingerprint: Fingerprint, alone: bool) {
        if alone
            && !self.is_quarantined(now, fingerprint)
            && self.suspects.remove(&fingerprint).is_some()
        {
            self.add_clearance(now, fingerprint);
        }
        if !self.harmless.contains(&fingerprint) {
            if self.harmless.len() >= MAX_HARMLESS {
                self.previous_harmless = std::mem::take(&mut self.harmless);
            }
            self.harmless.insert(fingerprint);
        }
    }

    /// Records a crash observed by this node or by a peer. Duplicates and reordered events do no harm.
    ///
    /// Returns whether the event was recorded: `false` for a duplicate and for an expired or invalid event.
    pub fn record_crash(&mut self, now: Time, event: CrashEvent) -> bool {
        self.expire(now);
        let age = u64::from(event.age_ms) * 1_000;
        let time = Time(now.0.saturating_sub(age));
        let valid = (1..=MAX_FINGERPRINTS).contains(&event.fingerprints.len())
            && (!event.alone || event.fingerprints.len() == 1);
        if !valid || age >= CRASH_TTL.as_micros() as u64 || !self.ids.insert(event.id) {
            return false;
        }
        let event = Event {
            id: event.id,
            time,
            fingerprints: event.fingerprints,
            alone: event.alone,
            sends: 0,
        };
        let explained = event
            .fingerprints
            .iter()
            .any(|other| self.is_quarantined(time, *other));
        for fingerprint in &event.fingerprints {
            let cleared = self
                .cleared
                .get(fingerprint)
                .is_some_and(|&cleared| time <= cleared);
            let explained = explained && !self.is_quarantined(time, *fingerprint);
            if !cleared && !explained {
                self.suspects.entry(*fingerprint).or_default().push(Crash {
                    id: event.id,
                    time,
                    alone: event.alone,
                });
            }
        }
        let fingerprints = event.fingerprints.clone();
        self.events.push_back(event);
        for fingerprint in fingerprints {
            self.update_quarantine(now, fingerprint);
        }
        if self.events.len() > MAX_EVENTS
            && let Some(event) = self.events.pop_front()
        {
            self.remove_event(&event);
        }
        true
    }

    /// Returns crashes to pass on to a peer, the least often sent first, each a bounded number of times. Those of
    /// quarantined queries are passed on as long as the quarantine lasts, for nodes that start in the meantime.
    ///
    /// Stops at the first one that `fits` rejects because the message has no room; only returned events count as
    /// sent.
    pub fn rumors(
        &mut self,
        now: Time,
        mut fits: impl FnMut(&CrashEvent) -> bool,
    ) -> Vec<CrashEvent> {
        self.expire(now);
        let quarantines = &self.quarantines;
        let is_quarantined = |event: &Event| {
            let mut ends = event
                .fingerprints
                .iter()
                .filter_map(|it| quarantines.get(it));
            ends.any(|end| now < *end)
        };
        let mut due: Vec<&mut Event> = self
            .events
            .iter_mut()
            .rev()
            .filter(|event| event.sends < RUMOR_SENDS || is_quarantined(event))
            .collect();
        due.sort_by_key(|event| event.sends);
        let mut rumors = Vec::new();
        for event in due.into_iter().take(RUMORS_PER_CALL) {
            let age = now.since(event.time).as_millis();
            let rumor = CrashEvent {
                id: event.id,
                age_ms: age.try_into().unwrap_or(u32::MAX),
                fingerprints: event.fingerprints.clone(),
                alone: event.alone,
            };
            if !fits(&rumor) {
                break;
            }
            event.sends = event.sends.saturating_add(1);
            rumors.push(rumor);
        }
        rumors
    }

    /// Returns the end of a query's quarantine, `None` if there was none.
    pub fn quarantined_until(&self, fingerprint: Fingerprint) -> Option<Time> {
        self.quarantines.get(&fingerprint).copied()
    }

    /// Returns the number of quarantined queries.
    pub fn quarantined_count(&self, now: Time) -> usize {
        self.quarantines.values().filter(|end| now < **end).count()
    }

    fn is_quarantined(&self, now: Time, fingerprint: Fingerprint) -> bool {
        self.quarantines
            .get(&fingerprint)
            .is_some_and(|end| now < *end)
    }

    fn is_suspect(&self, now: Time, fingerprint: Fingerprint) -> bool {
        self.suspects
            .get(&fingerprint)
            .is_some_and(|crashes| crashes.iter().any(|crash| now < crash.time + CRASH_TTL))
    }

    /// Quarantines a query that crashed a leaf alone and at least once more.
    ///
    /// Each of these crashes is then explained and no longer counts against the other queries in flight.
    fn update_quarantine(&mut self, now: Time, fingerprint: Fingerprint) {
        let Some(crashes) = self.suspects.get(&fingerprint) else {
            return;
        };
        let recent = || crashes.iter().filter(|crash| now < crash.time + CRASH_TTL);
        if !recent().any(|crash| crash.alone) || recent().count() < 2 {
            return;
        }
        let Some(last) = recent().map(|crash| crash.time).max() else {
            return;
        };
        let ids: HashSet<CrashId> = recent().map(|crash| crash.id).collect();
        if self
            .quarantines
            .insert(fingerprint, last + CRASH_TTL)
            .is_none()
        {
            self.quarantine_order.push_back(fingerprint);
            if self.quarantine_order.len() > MAX_QUARANTINED {
                self.lift_oldest_quarantine();
            }
        }
        let others: SmallVec<[Fingerprint; 8]> = self
            .events
            .iter()
            .filter(|event| ids.contains(&event.id))
            .flat_map(|event| event.fingerprints.iter().copied())
            .filter(|other| *other != fingerprint && !self.is_quarantined(now, *other))
            .collect();
        for other in others {
            self.remove_crashes(other, |id| ids.contains(&id));
        }
    }

    fn remove_crashes(&mut self, fingerprint: Fingerprint, matches: impl Fn(CrashId) -> bool) {
        if let Some(crashes) = self.suspects.get_mut(&fingerprint) {
            crashes.retain(|crash| !matches(crash.id));
            if crashes.is_empty() {
                self.suspects.remove(&fingerprint);
            }
        }
    }

    fn lift_oldest_quarantine(&mut self) {
        if let Some(fingerprint) = self.quarantine_order.pop_front() {
            self.quarantines.remove(&fingerprint);
        }
    }

    fn add_clearance(&mut self, now: Time, fingerprint: Fingerprint) {
        self.cleared.insert(fingerprint, now);
        self.clearance_order.push_back((fingerprint, now));
        if self.clearance_order.len() > MAX_CLEARANCES {
            self.remove_oldest_clearance();
        }
    }

    fn remove_oldest_clearance(&mut self) {
        if let Some((fingerprint, time)) = self.clearance_order.pop_front()
            && self.cleared.get(&fingerprint) == Some(&time)
        {
            self.cleared.remove(&fingerprint);
        }
    }

    fn expire(&mut self, now: Time) {
        let expired = |time: Time| now >= time + CRASH_TTL;
        while self.clearance_order.front().is_some_and(|c| expired(c.1)) {
            self.remove_oldest_clearance();
        }
        while let Some(fingerprint) = self.quarantine_order.front()
            && !self.is_quarantined(now, *fingerprint)
        {
            self.lift_oldest_quarantine();
        }
        // Events arrive almost in order of time. An expired one that arrived after a younger one is removed later.
        while self.events.front().is_some_and(|event| expired(event.time)) {
            if let Some(event) = self.events.pop_front() {
                self.remove_event(&event);
            }
        }
    }

    fn remove_event(&mut self, event: &Event) {
        self.ids.remove(&event.id);
        for fingerprint in &event.fingerprints {
            self.remove_crashes(*fingerprint, |id| id == event.id);
        }
    }
}
