//! Invariants that are checked at run time, also in release builds.

use std::sync::atomic::{AtomicU64, Ordering};

/// A rule that must hold at all times. `docs/design.md` section 1 numbers them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// Every answer comes from one snapshot.
    OneSnapshot,
    /// The reported coverage matches the answer.
    TrueCoverage,
    /// A cold leaf never receives more calls than its capacity.
    ColdCapacity,
    /// A failure domain that was taken out of service receives no new work.
    DomainOut,
    /// Each caller receives the answer to its own request.
    OwnAnswer,
    /// A rejection that says "not run" is final.
    NotRunFinal,
    /// An at-most-once request is dispatched at most once.
    AtMostOnce,
    /// A leaving upstream receives no new work.
    LeafLeaving,
    /// No call is dispatched to a leaf without the lease of its partition, or with a deadline after the end of the
    /// lease.
    LeaseHeld,
    /// A planned shutdown aborts no request in progress.
    GracefulStop,
    /// The active configuration never reverts to an older version.
    ConfigForward,
    /// A lease is held only with a majority of every active voter set.
    LeaseQuorum,
    /// A lease ends no later than requested.
    LeaseLength,
    /// A voter promises a partition to one holder at a time.
    OnePromise,
}

impl Invariant {
    /// Returns the label used in metrics and logs.
    pub fn label(self) -> &'static str {
        match self {
            Invariant::OneSnapshot => "one_snapshot",
            Invariant::TrueCoverage => "true_coverage",
            Invariant::ColdCapacity => "cold_capacity",
            Invariant::DomainOut => "domain_out",
            Invariant::OwnAnswer => "own_answer",
            Invariant::NotRunFinal => "not_run_final",
            Invariant::AtMostOnce => "at_most_once",
            Invariant::LeafLeaving => "leaf_leaving",
            Invariant::LeaseHeld => "lease_held",
            Invariant::GracefulStop => "graceful_stop",
            Invariant::ConfigForward => "config_forward",
            Invariant::LeaseQuorum => "lease_quorum",
            Invariant::LeaseLength => "lease_length",
            Invariant::OnePromise => "one_promise",
        }
    }
}

static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// Returns the number of violations since the process started.
pub fn violation_count() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}

/// Returns `holds`, and counts and logs a violation if it is false.
///
/// On `false`, the calling code must not perform the operation.
#[must_use]
pub fn check(invariant: Invariant, holds: bool, detail: impl FnOnce() -> String) -> bool {
    if !holds {
        VIOLATIONS.fetch_add(1, Ordering::Relaxed);
        let label = invariant.label();
        metrics::counter!("cranberrychute_invariant_violations_total", "invariant" => label)
            .increment(1);
        log::error!(invariant = label; "invariant violated, operation refused: {}", detail());
    }
    holds
}
