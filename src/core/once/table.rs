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

/// Bytes accounted for a key and its state without the answer.
const KEY_BYTES: usize = 128;

/// Limits of a [`KeyTable`].
#[derive(Clone, Debug)]
pub struct KeySettings {
    /// Maximum number of unexpired keys.
    pub max_keys: usize,
    /// Maximum size of keys and stored answers, in bytes.
    pub max_bytes: usize,
    /// Bytes reserved for the answer to a request that has not finished.
    pub answer_reserve: usize,
    /// Time from issue to expiry of a key.
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

/// The outcome of an at-most-once request, the same for every copy of it.
#[derive(Clone, Debug, PartialEq)]
pub struct OnceOutcome {
    pub run: RunOutcome,
    /// The answer; `None` if the request was rejected before a plan started.
    pub answer: Option<Arc<Answer>>,
    /// The reason why there is no answer.
    pub reason: Option<Arc<str>>,
}

impl OnceOutcome {
    /// Creates the outcome of a request with an answer, which states what ran.
    pub fn answered(answer: Arc<Answer>) -> Self {
        Self {
            run: answer.outcome,
            answer: Some(answer),
            reason: None,
        }
    }

    /// Creates the outcome of a request that did not run and never will.
    pub fn not_run(reason: &str) -> Self {
        Self {
            run: RunOutcome::NotRun,
            answer: None,
            reason: Some(reason.into()),
        }
    }

    /// Creates the outcome of a request that may have run.
    pub fn unknown(reason: &str) -> Self {
        Self {
            run: RunOutcome::Unknown,
            answer: None,
            reason: Some(reason.into()),
        }
    }

    fn size_bytes(&self) -> usize {
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
    /// Run the request and report its outcome with [`KeyTable::finish`].
    Run { serial: u64 },
    /// Wait for the running copy of the request and return its outcome.
    Attach { serial: u64 },
    /// Return this stored outcome.
    Replay(OnceOutcome),
    /// Forward the request to the node that issued the key.
    Forward {
        node: NodeId,
        incarnation: Incarnation,
    },
    /// The incarnation that issued the key has ended: the outcome is unknown and the request must not run.
    Unknown,
    /// Reject the request.
    Error(OnceError),
}

/// The keys issued by one incarnation of a node.
///
/// Serial numbers are issued and expire in order. The unexpired keys are therefore a contiguous range of serial
/// numbers, and an expired key is recognized without stored state.
#[derive(Debug)]
pub struct KeyTable {
    me: NodeId,
    incarnation: Incarnation,
    fleet_key: FleetKey,
    settings: KeySettings,
    issuing_stopped: bool,
    /// Serial number of the first entry.
    first_serial: u64,
    entries: VecDeque<Entry>,
    bytes: usize,
}

#[derive(Debug)]
struct Entry {
    expiry: Time,
    body_hash: [u8; 32],
    state: State,
    bytes: usize,
}

#[derive(Debug)]
enum State {
    Issued,
    Running,
    Finished(OnceOutcome),
}

impl KeyTable {
    /// Creates an empty table.
    pub fn new(
        me: NodeId,
        incarnation: Incarnation,
        fleet_key: FleetKey,
        settings: KeySettings,
    ) -> Self {
        Self {
            me,
            incarnation,
            fleet_key,
            settings,
            issuing_stopped: false,
            first_serial: 0,
            entries: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Issues a key. `wall` only serves to tell the caller when the key expires.
    ///
    /// # Errors
    ///
    /// Returns [`OnceError::Full`] if a limit is reached and [`OnceError::Leaving`] after [`KeyTable::stop_issuing`].
    pub fn issue(&mut self, now: Time, wall: SystemTime) -> Result<Key, OnceError> {
        if self.issuing_stopped {
            return Err(OnceError::Leaving);
        }
        self.expire(now);
        let bytes = KEY_BYTES + self.settings.answer_reserve;
        let full = self.entries.len() >= self.settings.max_keys;
        if full || self.bytes + bytes > self.settings.max_bytes {
            return Err(OnceError::Full);
        }
        let serial = self.first_serial + self.entries.len() as u64;
        // The clock is monotonic; taking the maximum keeps the expiries in order even if a reading goes backwards.
        let expiry = now + self.settings.lifetime;
        let last_expiry = self.entries.back().map_or(expiry, |entry| entry.expiry);
        self.entries.push_back(Entry {
            expiry: expiry.max(last_expiry),
            body_hash: [0; 32],
            state: State::Issued,
            bytes,
        });
        self.bytes += bytes;
        let wall_expiry = wall + self.settings.lifetime;
        let since_epoch = wall_expiry.duration_since(UNIX_EPOCH).unwrap_or_default();
        Ok(Key {
            node: self.me.clone(),
            incarnation: self.incarnation,
            serial,
            expiry_ms: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
        })
    }

    /// Encodes a key as text.
    pub fn encode(&self, key: &Key) -> String {
        key.encode(&self.fleet_key)
    }

    /// Decides what to do with a copy of a request whose body has the hash `body_hash`.
    ///
    /// Returns [`OnceAction::Run`] at most once per key.
    pub fn begin(&mut self, now: Time, key: &str, body_hash: [u8; 32]) -> OnceAction {
        let key = match Key::decode(key, &self.fleet_key) {
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
        let Some(position) = serial.checked_sub(self.first_serial) else {
            return OnceAction::Error(OnceError::Expired);
        };
        let entry = usize::try_from(position).map(|position| self.entries.get_mut(position));
        let Ok(Some(entry)) = entry else {
            return OnceAction::Error(OnceError::Forged);
        };
        match &entry.state {
            // Answers larger than `answer_reserve` have used up the memory limit.
            State::Issued if self.bytes > self.settings.max_bytes => {
                let outcome = OnceOutcome::not_run("the node has no memory left for the answer");
                entry.body_hash = body_hash;
                entry.state = State::Finished(outcome.clone());
                OnceAction::Replay(outcome)
            }
            State::Issued => {
                entry.body_hash = body_hash;
                entry.state = State::Running;
                OnceAction::Run { serial }
            }
            _ if entry.body_hash != body_hash => OnceAction::Error(OnceError::BodyMismatch),
            State::Running => OnceAction::Attach { serial },
            State::Finished(outcome) => OnceAction::Replay(outcome.clone()),
        }
    }

    /// Records the outcome of a request started by [`OnceAction::Run`] and returns the outcome to send to callers.
    ///
    /// The first outcome is kept: a later one does not replace it, and is counted as a violation if it contradicts
    /// a "not run".
    pub fn finish(&mut self, now: Time, serial: u64, outcome: OnceOutcome) -> OnceOutcome {
        self.expire(now);
        let Some(position) = serial.checked_sub(self.first_serial) else {
            // The key expired while the request ran: no copy can request the outcome any more.
            return outcome;
        };
        let entry = usize::try_from(position).map(|position| self.entries.get_mut(position));
        let Ok(Some(entry)) = entry else {
            let _ = check(Invariant::AtMostOnce, false, || {
                format!("request {serial} finished, but its key was not issued")
            });
            return outcome;
        };
        let ran = outcome.run != RunOutcome::NotRun;
        match &entry.state {
            State::Running => {}
            State::Issued => {
                let _ = check(Invariant::AtMostOnce, !ran, || {
                    format!("request {serial} finished, but was not started")
                });
            }
            State::Finished(first) => {
                let rejected = first.run == RunOutcome::NotRun;
                let _ = check(Invariant::NotRunFinal, !(rejected && ran), || {
                    format!("request {serial} was rejected as \"not run\" and ran")
                });
                return first.clone();
            }
        }
        let bytes = KEY_BYTES + outcome.size_bytes();
        self.bytes = self.bytes - mem::replace(&mut entry.bytes, bytes) + bytes;
        entry.state = State::Finished(outcome.clone());
        outcome
    }

    /// Stops issuing keys.
    pub fn stop_issuing(&mut self) {
        self.issuing_stopped = true;
    }

    /// Returns the expiry of the last key, which a graceful shutdown waits for.
    pub fn last_expiry(&self) -> Option<Time> {
        self.entries.back().map(|entry| entry.expiry)
    }

    /// Returns the number of unexpired keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no unexpired keys.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the bytes accounted for keys and stored answers.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Removes the expired keys.
    fn expire(&mut self, now: Time) {
        while let Some(entry) = self.entries.pop_front_if(|entry| now >= entry.expiry) {
            self.bytes -= entry.bytes;
            self.first_serial += 1;
        }
    }
}
