//! Which queries crash leaves: suspects, one more try alone, quarantine.

mod ledger;

pub use self::ledger::{CrashEvent, CrashId, CrashLedger, Fingerprint, MAX_FINGERPRINTS, Verdict};
