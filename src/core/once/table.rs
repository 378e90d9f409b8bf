use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

use super::{FleetKey, Key, OnceError};
use crate::core::{
    Incarnation, NodeId, Time,
    query::{Answer, RunOutcome},
};

/// Bounds of a [`KeyTable`].
#[derive(Clone, Debug)]
pub struct KeySettings {
    /// Most keys alive at a time.
    pub keys: usize,
    /// Most bytes of stored answers.
    pub bytes: usize,
    /// Bytes reserved for the answer of a request that runs.
    pub reserve: usize,
    /// Time a key lives.
    pub lifetime: Duration,
}

impl Default for KeySettings {
    fn default() -> Self {
        Self {
            keys: 50_000,
            bytes: 32 << 20,
            reserve: 16 << 10,
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
}

/// What to do with a request that carries a key.
#[derive(Clone, Debug, PartialEq)]
pub enum Begin {
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
#[derive(Debug)]
pub struct KeyTable {
    me: NodeId,
    incarnation: Incarnation,
    fleet: FleetKey,
    settings: KeySettings,
    leaving: bool,
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
        }
    }

    /// Issues a key; `wall` only dates its expiry for the caller.
    ///
    /// # Errors
    ///
    /// Returns [`OnceError::Full`] at the bound and [`OnceError::Leaving`] after [`KeyTable::leave`].
    pub fn issue(&mut self, now: Time, wall: SystemTime) -> Result<Key, OnceError> {
        let _ = (now, wall, &self.me, self.incarnation, &self.settings);
        if self.leaving {
            return Err(OnceError::Leaving);
        }
        Err(OnceError::Full)
    }

    /// Returns the text of a key.
    pub fn encode(&self, key: &Key) -> String {
        key.encode(&self.fleet)
    }

    /// Decides about a copy of a request; `body` is the hash of what it asks for.
    pub fn begin(&mut self, now: Time, key: &str, body: [u8; 32]) -> Begin {
        let _ = (now, body);
        match Key::decode(key, &self.fleet) {
            Ok(_) => Begin::Unknown,
            Err(error) => Begin::Error(error),
        }
    }

    /// Records the end of the request that [`KeyTable::begin`] let run and returns the outcome to give.
    pub fn finish(&mut self, now: Time, serial: u64, outcome: OnceOutcome) -> OnceOutcome {
        let _ = (now, serial);
        outcome
    }

    /// Stops issuing keys.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns when the last key expires, for the end of a graceful shutdown.
    pub fn last_expiry(&self) -> Option<Time> {
        None
    }

    /// Returns the number of keys alive.
    pub fn len(&self) -> usize {
        0
    }

    /// Returns whether no key is alive.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
