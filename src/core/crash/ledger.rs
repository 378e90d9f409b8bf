use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::core::{ServiceName, Time};

/// How long a crash counts, and how long a quarantine lasts after the last crash.
const LIFETIME: Duration = Duration::from_secs(600);

/// Crashes remembered. At full size a lost failure domain is 3,200 leaves; older crashes are forgotten first.
const MAX_EVENTS: usize = 4_096;

/// Fingerprints remembered as harmless, in each of two generations: 1 MB for both.
const MAX_KNOWN: usize = 16_384;

/// Quarantines in force; the oldest are lifted first.
const MAX_QUARANTINED: usize = 4_096;

/// Clearances remembered; the oldest are forgotten first, which costs one more try alone.
const MAX_CLEARED: usize = 4_096;

/// Most fingerprints of one crash. Leaves have few slots; the cap bounds the size of a rumor.
pub const MAX_FINGERPRINTS: usize = 32;

/// Events returned by one call of [`CrashLedger::rumors`].
const RUMORS_PER_CALL: usize = 4;

/// Times that one event is passed on: above log2 of 2,800 nodes.
const RUMOR_SENDS: u8 = 14;

/// Identifies the text of a query to one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u128);

/// Identifies one crash; drawn at random by the node that saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CrashId(pub u64);

/// A connection to a leaf was reset while calls were in flight on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEvent {
    pub id: CrashId,
    /// Age in milliseconds when the event was passed on; clocks of two nodes are not comparable.
    pub age_ms: u32,
    /// The distinct queries that were in flight, at most [`MAX_FINGERPRINTS`].
    pub fingerprints: SmallVec<[Fingerprint; 4]>,
    /// The only call in flight was one sent with `alone`.
    pub alone: bool,
}

impl CrashEvent {
    /// Creates an event that happened just now.
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

/// What is known about a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Never seen: to be tried on one leaf first.
    Fresh,
    /// Ran without harm.
    Known,
    /// Was in flight at a crash: gets one more try, alone on its leaf.
    Suspect,
    /// Crashed a leaf once more while it ran alone: not to be run.
    Quarantined,
}

#[derive(Debug)]
struct Event {
    id: CrashId,
    at: Time,
    fingerprints: SmallVec<[Fingerprint; 4]>,
    alone: bool,
    sends: u8,
}

/// One crash that counts against a fingerprint.
#[derive(Clone, Copy, Debug)]
struct Crash {
    id: CrashId,
    at: Time,
    alone: bool,
}

/// Remembers crashes, suspects and quarantined queries; bounded and expiring.
///
/// All queries in flight at a crash are suspects until one of these happens: they run alone without harm
/// (cleared), or a query that was in flight at the same crash is quarantined, which explains the crash. Narrowing
/// the suspects to those present at several crashes was rejected: two crashers beside one popular query would
/// leave only the popular one suspect, and each of them a third crash.
#[derive(Debug, Default)]
pub struct CrashLedger {
    /// In order of arrival.
    events: VecDeque<Event>,
    ids: HashSet<CrashId>,
    suspects: HashMap<Fingerprint, SmallVec<[Crash; 2]>>,
    /// End of each quarantine.
    quarantine: HashMap<Fingerprint, Time>,
    quarantine_order: VecDeque<Fingerprint>,
    /// When a fingerprint last ran alone without harm. Earlier crashes do not count against it.
    cleared: HashMap<Fingerprint, Time>,
    clear_order: VecDeque<(Fingerprint, Time)>,
    known: HashSet<Fingerprint>,
    known_before: HashSet<Fingerprint>,
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

    /// Returns what is known about a query.
    pub fn verdict(&self, now: Time, print: Fingerprint) -> Verdict {
        if self.is_quarantined(now, print) {
            return Verdict::Quarantined;
        }
        if self.is_suspect(now, print) {
            return Verdict::Suspect;
        }
        if self.known.contains(&print) || self.known_before.contains(&print) {
            Verdict::Known
        } else {
            Verdict::Fresh
        }
    }

    /// Records that a query ran without harm.
    ///
    /// Only a run that was sent with `alone` clears a suspect: a run that started before the crash, or on a leaf
    /// whose shard does not trigger the fault, proves nothing. A quarantine always lasts its time.
    pub fn record_success(&mut self, now: Time, print: Fingerprint, alone: bool) {
        if alone && !self.is_quarantined(now, print) && self.suspects.remove(&print).is_some() {
            self.clear(now, print);
        }
        if !self.known.contains(&print) {
            if self.known.len() >= MAX_KNOWN {
                self.known_before = std::mem::take(&mut self.known);
            }
            self.known.insert(print);
        }
    }

    /// Records a crash seen here or by a peer. Duplicates and reordered events are harmless.
    ///
    /// Returns whether the event was new.
    pub fn record_crash(&mut self, now: Time, event: CrashEvent) -> bool {
        self.expire(now);
        let age = u64::from(event.age_ms) * 1_000;
        let at = Time(now.0.saturating_sub(age));
        let valid = (1..=MAX_FINGERPRINTS).contains(&event.fingerprints.len())
            && (!event.alone || event.fingerprints.len() == 1);
        if !valid || age >= LIFETIME.as_micros() as u64 || !self.ids.insert(event.id) {
            return false;
        }
        let event = Event {
            id: event.id,
            at,
            fingerprints: event.fingerprints,
            alone: event.alone,
            sends: 0,
        };
        let explained = event
            .fingerprints
            .iter()
            .any(|p| self.is_quarantined(at, *p));
        for print in &event.fingerprints {
            let cleared = self.cleared.get(print).is_some_and(|&time| at <= time);
            let explained = explained && !self.is_quarantined(at, *print);
            if !cleared && !explained {
                self.suspects.entry(*print).or_default().push(Crash {
                    id: event.id,
                    at,
                    alone: event.alone,
                });
            }
        }
        let fingerprints = event.fingerprints.clone();
        self.events.push_back(event);
        for print in fingerprints {
            self.judge(now, print);
        }
        if self.events.len() > MAX_EVENTS
            && let Some(event) = self.events.pop_front()
        {
            self.forget(&event);
        }
        true
    }

    /// Returns crashes to pass on to a peer: the least often sent first, each a bounded number of times.
    ///
    /// Ends at the first one that does not fit into the message; only those returned count as sent.
    pub fn rumors(
        &mut self,
        now: Time,
        mut fits: impl FnMut(&CrashEvent) -> bool,
    ) -> Vec<CrashEvent> {
        self.expire(now);
        let mut due: Vec<&mut Event> = self
            .events
            .iter_mut()
            .rev()
            .filter(|event| event.sends < RUMOR_SENDS)
            .collect();
        due.sort_by_key(|event| event.sends);
        let mut rumors = Vec::new();
        for event in due.into_iter().take(RUMORS_PER_CALL) {
            let age = now.since(event.at).as_millis();
            let rumor = CrashEvent {
                id: event.id,
                age_ms: age.try_into().unwrap_or(u32::MAX),
                fingerprints: event.fingerprints.clone(),
                alone: event.alone,
            };
            if !fits(&rumor) {
                break;
            }
            event.sends += 1;
            rumors.push(rumor);
        }
        rumors
    }

    /// Returns the number of quarantined queries, for the operator's view.
    pub fn quarantined_count(&self, now: Time) -> usize {
        self.quarantine.values().filter(|end| now < **end).count()
    }

    fn is_quarantined(&self, now: Time, print: Fingerprint) -> bool {
        self.quarantine.get(&print).is_some_and(|end| now < *end)
    }

    fn is_suspect(&self, now: Time, print: Fingerprint) -> bool {
        self.suspects
            .get(&print)
            .is_some_and(|crashes| crashes.iter().any(|c| now < c.at + LIFETIME))
    }

    /// Quarantines a fingerprint that crashed alone and at least once more. Each of these crashes is then
    /// explained, so it no longer counts against the other queries in flight.
    fn judge(&mut self, now: Time, print: Fingerprint) {
        let Some(crashes) = self.suspects.get(&print) else {
            return;
        };
        let recent = || crashes.iter().filter(|crash| now < crash.at + LIFETIME);
        if !recent().any(|crash| crash.alone) || recent().count() < 2 {
            return;
        }
        let Some(last) = recent().map(|crash| crash.at).max() else {
            return;
        };
        let ids: HashSet<CrashId> = recent().map(|crash| crash.id).collect();
        if self.quarantine.insert(print, last + LIFETIME).is_none() {
            self.quarantine_order.push_back(print);
            if self.quarantine_order.len() > MAX_QUARANTINED {
                self.lift_oldest();
            }
        }
        let others: SmallVec<[Fingerprint; 8]> = self
            .events
            .iter()
            .filter(|event| ids.contains(&event.id))
            .flat_map(|event| event.fingerprints.iter().copied())
            .filter(|other| *other != print && !self.is_quarantined(now, *other))
            .collect();
        for other in others {
            self.drop_crashes(other, |id| ids.contains(&id));
        }
    }

    fn drop_crashes(&mut self, print: Fingerprint, gone: impl Fn(CrashId) -> bool) {
        if let Some(crashes) = self.suspects.get_mut(&print) {
            crashes.retain(|crash| !gone(crash.id));
            if crashes.is_empty() {
                self.suspects.remove(&print);
            }
        }
    }

    fn lift_oldest(&mut self) {
        if let Some(print) = self.quarantine_order.pop_front() {
            self.quarantine.remove(&print);
        }
    }

    fn clear(&mut self, now: Time, print: Fingerprint) {
        self.cleared.insert(print, now);
        self.clear_order.push_back((print, now));
        if self.clear_order.len() > MAX_CLEARED {
            self.drop_clearance();
        }
    }

    fn drop_clearance(&mut self) {
        if let Some((print, at)) = self.clear_order.pop_front()
            && self.cleared.get(&print) == Some(&at)
        {
            self.cleared.remove(&print);
        }
    }

    fn expire(&mut self, now: Time) {
        let expired = |at: Time| now >= at + LIFETIME;
        while self.clear_order.front().is_some_and(|c| expired(c.1)) {
            self.drop_clearance();
        }
        while let Some(print) = self.quarantine_order.front()
            && !self.is_quarantined(now, *print)
        {
            self.lift_oldest();
        }
        // Events arrive almost in order of time: one that is held up behind a younger one stays a little longer.
        while self.events.front().is_some_and(|event| expired(event.at)) {
            if let Some(event) = self.events.pop_front() {
                self.forget(&event);
            }
        }
    }

    fn forget(&mut self, event: &Event) {
        self.ids.remove(&event.id);
        for print in &event.fingerprints {
            self.drop_crashes(*print, |id| id == event.id);
        }
    }
}
