use std::{
    collections::VecDeque,
    mem,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use super::{Key, OnceError};
use crate::core::{
    FleetKey, Incarnation, NodeId, Time,
    invariant::{Invariant, check},
    query::{Answer, RunOutcome},
};

/// Bytes counted for a key and its state without the answer.
const KEY_BYTES: usize = 128;

/// Bounds of a [`KeyTable`].
#[derive(Clone, Debug)]
pub struct KeySettings {
    /// Most keys alive at a time.
    pub max_keys: usize,
    /// Most bytes of keys and stored answers.
    pub max_bytes: usize,
    /// Bytes reserved for the answer of a key that was issued or runs.
    pub answer_reserve: usize,
    /// Time a key lives.
    pub lifetime: Duration,
}

impl Default for KeySettings {
    fn default() -> Self {
        Self {
            max_keys: 50_000,
            max_bytes: 32 << 20,
            answer_reserve: 4 << 10,
            lifetime: Duration::from_secs(30),
        }
    }
}

/// How an at-most-once request ended; the same for every copy of it.
#[derive(Clone, Debug, PartialEq)]
pub struct OnceOutcome {
    pub run: RunOutcome,
    /// The answer, absent when the request was refused before a plan started.
    pub answer: Option<Arc<Answer>>,
    /// Why there is no answer.
    pub reason: Option<Arc<str>>,
}

impl OnceOutcome {
    /// The request has an answer, which says what ran.
    pub fn answered(answer: Arc<Answer>) -> Self {
        Self {
            run: answer.outcome,
            answer: Some(answer),
            reason: None,
        }
    }

    /// Nothing ran and nothing will.
    pub fn not_run(reason: &str) -> Self {
        Self {
            run: RunOutcome::NotRun,
            answer: None,
            reason: Some(reason.into()),
        }
    }

    /// The request may have run.
    pub fn unknown(reason: &str) -> Self {
        Self {
            run: RunOutcome::Unknown,
            answer: None,
            reason: Some(reason.into()),
        }
    }

    fn bytes(&self) -> usize {
        let answer = self.answer.as_ref().map_or(0, |answer| {
            let hits = answer.hits.iter();
            let hits: usize = hits.map(|hit| hit.id.len() + hit.text.len() + 64).sum();
            hits + answer.missing.len() * 64 + 128
        });
        answer + self.reason.as_ref().map_or(0, |reason| reason.len())
    }
}

/// What to do with a request that carries a key.
#[derive(Clone, Debug, PartialEq)]
pub enum OnceAction {
    /// Run it now and report the end with [`KeyTable::finish`].
    Run { serial: u64 },
    /// Wait for the copy that runs and give its outcome.
    Attach { serial: u64 },
    /// Give this outcome.
    Replay(OnceOutcome),
    /// Forward it to the node that issued the key.
    Forward {
        node: NodeId,
        incarnation: Incarnation,
    },
    /// The issuing incarnation is gone: the outcome is unknown, the request is never run.
    Unknown,
    /// Refuse it.
    Error(OnceError),
}

/// The keys issued by one incarnation of a node.
///
/// Serial numbers are issued in order and expire in order, so the keys alive are one range of numbers and an
/// expired key is recognized without state.
#[derive(Debug)]
pub struct KeyTable {
    me: NodeId,
    incarnation: Incarnation,
    fleet: FleetKey,
    settings: KeySettings,
    leaving: bool,
    /// Serial number of the first entry.
    first: u64,
    entries: VecDeque<Entry>,
    bytes: usize,
}

#[derive(Debug)]
struct Entry {
    expiry: Time,
    body: [u8; 32],
    state: State,
    bytes: usize,
}

#[derive(Debug)]
enum State {
    Issued,
    Running,
    Ended(OnceOutcome),
}

impl KeyTable {
    /// Creates an empty table.
    pub fn new(
        me: NodeId,
        incarnation: Incarnation,
        fleet: FleetKey,
        settings: KeySettings,
    ) -> Self {
        Self {
            me,
            incarnation,
            fleet,
            settings,
            leaving: false,
            first: 0,
            entries: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Issues a key; `wall` only dates its expiry for the caller.
    ///
    /// # Errors
    ///
    /// Returns [`OnceError::Full`] at the bound and [`OnceError::Leaving`] after [`KeyTable::stop_issuing`].
    pub fn issue(&mut self, now: Time, wall: SystemTime) -> Result<Key, OnceError> {
        if self.leaving {
            return Err(OnceError::Leaving);
        }
        self.expire(now);
        let bytes = KEY_BYTES + self.settings.answer_reserve;
        let full = self.entries.len() >= self.settings.max_keys;
        if full || self.bytes + bytes > self.settings.max_bytes {
            return Err(OnceError::Full);
        }
        let serial = self.first + self.entries.len() as u64;
        // The clock is monotonic; the maximum keeps expiries in order even if a reading were not.
        let expiry = now + self.settings.lifetime;
        let last = self.entries.back().map_or(expiry, |entry| entry.expiry);
        self.entries.push_back(Entry {
            expiry: expiry.max(last),
            body: [0; 32],
            state: State::Issued,
            bytes,
        });
        self.bytes += bytes;
        let ends = wall + self.settings.lifetime;
        let since = ends.duration_since(UNIX_EPOCH).unwrap_or_default();
        Ok(Key {
            node: self.me.clone(),
            incarnation: self.incarnation,
            serial,
            expiry_ms: u64::try_from(since.as_millis()).unwrap_or(u64::MAX),
        })
    }

    /// Returns the text of a key.
    pub fn encode(&self, key: &Key) -> String {
        key.encode(&self.fleet)
    }

    /// Decides about a copy of a request; `body` is the hash of what it asks for.
    ///
    /// Gives [`OnceAction::Run`] at most once for each key.
    pub fn begin(&mut self, now: Time, key: &str, body: [u8; 32]) -> OnceAction {
        let key = match Key::decode(key, &self.fleet) {
            Ok(key) => key,
            Err(error) => return OnceAction::Error(error),
        };
        if key.node != self.me {
            return OnceAction::Forward {
                node: key.node,
                incarnation: key.incarnation,
            };
        }
        if key.incarnation != self.incarnation {
            return OnceAction::Unknown;
        }
        let serial = key.serial;
        self.expire(now);
        let Some(position) = serial.checked_sub(self.first) else {
            return OnceAction::Error(OnceError::Expired);
        };
        let entry = usize::try_from(position).map(|position| self.entries.get_mut(position));
        let Ok(Some(entry)) = entry else {
            return OnceAction::Error(OnceError::Forged);
        };
        match &entry.state {
            // Answers larger than their reserve have used up the memory.
            State::Issued if self.bytes > self.settings.max_bytes => {
                let outcome = OnceOutcome::not_run("the node has no memory left for the answer");
                entry.body = body;
                entry.state = State::Ended(outcome.clone());
                OnceAction::Replay(outcome)
            }
            State::Issued => {
                entry.body = body;
                entry.state = State::Running;
                OnceAction::Run { serial }
            }
            _ if entry.body != body => OnceAction::Error(OnceError::BodyMismatch),
            State::Running => OnceAction::Attach { serial },
            State::Ended(outcome) => OnceAction::Replay(outcome.clone()),
        }
    }

    /// Records the end of the request that [`KeyTable::begin`] let run and returns the outcome to give.
    ///
    /// The first end stays: a later one is a fault, is counted as a violation and does not replace it.
    pub fn finish(&mut self, now: Time, serial: u64, outcome: OnceOutcome) -> OnceOutcome {
        self.expire(now);
        let Some(position) = serial.checked_sub(self.first) else {
            // Expired while it ran: no copy can ask for the outcome any more.
            return outcome;
        };
        let entry = usize::try_from(position).map(|position| self.entries.get_mut(position));
        let Ok(Some(entry)) = entry else {
            let _ = check(Invariant::AtMostOnce, false, || {
                format!("end of request {serial}, whose key was not issued")
            });
            return outcome;
        };
        let ran = outcome.run != RunOutcome::NotRun;
        match &entry.state {
            State::Running => {}
            State::Issued => {
                let _ = check(Invariant::AtMostOnce, !ran, || {
                    format!("end of request {serial}, which did not begin")
                });
            }
            State::Ended(ended) => {
                let refused = ended.run == RunOutcome::NotRun;
                let _ = check(Invariant::NotRunFinal, !(refused && ran), || {
                    format!("request {serial} was refused as \"not run\" and ran")
                });
                return ended.clone();
            }
        }
        let bytes = KEY_BYTES + outcome.bytes();
        self.bytes = self.bytes - mem::replace(&mut entry.bytes, bytes) + bytes;
        entry.state = State::Ended(outcome.clone());
        outcome
    }

    /// Stops issuing keys.
    pub fn stop_issuing(&mut self) {
        self.leaving = true;
    }

    /// Returns when the last key expires, for the end of a graceful shutdown.
    pub fn last_expiry(&self) -> Option<Time> {
        self.entries.back().map(|entry| entry.expiry)
    }

    /// Returns the number of keys alive.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is alive.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the bytes counted for keys and stored answers.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Forgets the keys that have expired.
    fn expire(&mut self, now: Time) {
        while let Some(entry) = self.entries.pop_front_if(|entry| now >= entry.expiry) {
            self.bytes -= entry.bytes;
            self.first += 1;
        }
    }
}
