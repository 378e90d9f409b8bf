//! Detection of requests that crash leaves.
//!
//! A request that was in flight at a crash is a suspect and runs once more, alone. If it crashes that leaf too, it is
//! quarantined.

mod evidence;
mod fingerprint;
mod guard;
mod ledger;

pub use self::{
    evidence::{Reachability, has_ended},
    fingerprint::Fingerprint,
    guard::{Admission, CrashGuard},
    ledger::{CrashEvent, CrashId, CrashLedger, MAX_FINGERPRINTS, Verdict},
};
