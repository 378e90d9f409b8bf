//! Detection of queries that crash leaves.
//!
//! A query that was in flight at a crash is a suspect and runs once more, alone on its leaf. If it crashes that leaf
//! too, it is quarantined.

mod fingerprint;
mod ledger;

pub use self::{
    fingerprint::Fingerprint,
    ledger::{CrashEvent, CrashId, CrashLedger, MAX_FINGERPRINTS, Verdict},
};
