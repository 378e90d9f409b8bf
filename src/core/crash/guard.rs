use std::{collections::HashSet, time::Duration};

use crate::core::{
    Time,
    crash::{CrashEvent, CrashLedger, Fingerprint, Verdict},
};

/// Interval at which a request waits for the end of a trial of the same content.
const TRIAL_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How a call of a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    Normal,
    /// As the only call of requests with this content, because a leaf ended while it ran one.
    Trial,
    /// Not before this time, because a trial of the content is in progress.
    Wait(Time),
    /// Not at all before this time, because the content has crashed several leaves.
    Reject(Time),
}

/// Decides how requests are run whose content may crash leaves.
///
/// Designed for a request that ends each leaf that runs it and comes again and again, at any node. A content that was
/// running on a leaf that ended is a suspect. One call of it runs at a time, and an answer clears it. If its leaf ends
/// as well, all nodes reject the content.
#[derive(Debug, Default)]
pub struct CrashGuard {
    ledger: CrashLedger,
    /// Contents of which a call is on trial.
    trials: HashSet<Fingerprint>,
}

impl CrashGuard {
    /// Decides on a call of a request with this content.
    pub fn admit(&self, now: Time, content: Fingerprint) -> Admission {
        match self.ledger.verdict(now, content) {
            Verdict::Fresh | Verdict::Known => Admission::Normal,
            Verdict::Quarantined => {
                Admission::Reject(self.ledger.quarantined_until(content).unwrap_or(now))
            }
            Verdict::Suspect if self.trials.contains(&content) => {
                Admission::Wait(now + TRIAL_POLL_INTERVAL)
            }
            Verdict::Suspect => Admission::Trial,
        }
    }

    /// Records that a call was sent as a trial.
    pub fn start_trial(&mut self, content: Fingerprint) {
        self.trials.insert(content);
    }

    /// Records the end of a trial. If its leaf did not answer, the content stays a suspect.
    pub fn end_trial(&mut self, now: Time, content: Fingerprint, answered: bool) {
        self.trials.remove(&content);
        if answered {
            self.ledger.record_success(now, content, true);
        }
    }

    /// Records a crash that this node or another one observed. Returns whether it is new.
    pub fn record_crash(&mut self, now: Time, event: CrashEvent) -> bool {
        self.ledger.record_crash(now, event)
    }

    /// Returns crashes to pass on in one message.
    pub fn rumors(&mut self, now: Time, max: usize) -> Vec<CrashEvent> {
        let mut left = max;
        self.ledger.rumors(now, |_| {
            let fits = left > 0;
            left = left.saturating_sub(1);
            fits
        })
    }

    /// Returns the number of contents that are rejected.
    pub fn rejected_count(&self, now: Time) -> usize {
        self.ledger.quarantined_count(now)
    }
}
