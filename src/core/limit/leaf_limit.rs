use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::{
    Instance, Time,
    limit::{Allowance, Naming, Share},
};

/// Time without news of a leaf's limit after which nodes that are not among its senders call it.
const CONFIRM_DELAY: Duration = Duration::from_secs(20);

/// Time for each node over which those calls are spread. The first answer reaches all nodes within a few seconds, so
/// most of the calls are not needed.
const CONFIRM_SPREAD: Duration = Duration::from_secs(2);

/// Time for which an observation is passed on to other nodes.
const REPORT_TTL: Duration = Duration::from_secs(10);

/// What a node tells others about a leaf's limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    pub leaf: Instance,
    /// Start time of the leaf in Unix milliseconds, which distinguishes incarnations with the same id.
    pub start_ms: Option<u64>,
    /// Requests per second, `None` if the leaf no longer names a limit.
    pub limit: Option<f64>,
    /// Time since the answer of the leaf, milliseconds.
    pub age_ms: u32,
}

/// The rate limit of one leaf as known to this node, and this node's calls within it.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeafLimit {
    limit: Option<f64>,
    /// When an answer of the leaf, to this node or another one, last showed the limit or its absence.
    observed_at: Option<Time>,
    /// When the limit last changed.
    changed_at: Option<Time>,
    allowance: Allowance,
    /// When this node, not being among the senders, last called the leaf.
    confirmed_at: Option<Time>,
    /// How long this node waits for news of the limit before it calls the leaf, not being among the senders.
    confirm_delay: Duration,
}

impl LeafLimit {
    /// Returns the limit in requests per second, `None` if the leaf names none.
    pub fn limit(&self) -> Option<f64> {
        self.limit
    }

    /// Returns this node's share of the limit, `None` if it is not among the leaf's senders.
    pub fn share(&self) -> Option<Share> {
        self.allowance.share()
    }

    /// Records what the answer to a call that was sent at `sent` says. Returns whether the limit changed.
    ///
    /// An answer without a limit ends it only if the call was sent after the limit was last seen, since answers may
    /// overtake each other.
    pub fn record(&mut self, now: Time, sent: Time, naming: Naming) -> bool {
        match naming {
            Naming::Limited(limit) => self.observe(now, Some(limit)),
            Naming::Unlimited if self.observed_at.is_none_or(|at| sent >= at) => {
                self.observe(now, None)
            }
            Naming::Unlimited => false,
            Naming::Unreadable => self
                .limit
                .is_some_and(|limit| self.observe(now, Some(limit))),
        }
    }

    /// Records what another node observed `age` ago. Returns whether the limit changed.
    pub fn record_report(&mut self, now: Time, limit: Option<f64>, age: Duration) -> bool {
        let observed = Time(now.0.saturating_sub(age.as_micros() as u64));
        let readable = limit.is_none_or(|limit| limit.is_finite() && limit >= 0.0);
        let newer = self.observed_at.is_none_or(|at| observed > at);
        readable && newer && age < REPORT_TTL && self.observe(observed, limit)
    }

    /// Returns the limit for other nodes and the time since it was observed, `None` if there is nothing to report.
    pub fn report(&self, now: Time) -> Option<(Option<f64>, Duration)> {
        let age = now.since(self.observed_at?);
        let recent = match self.limit {
            Some(_) => age,
            None => now.since(self.changed_at?),
        };
        (recent < REPORT_TTL).then_some((self.limit, age))
    }

    /// Sets this node's share among `nodes` nodes. `fraction`, from 0 to 1, differs between nodes.
    pub fn set_share(&mut self, now: Time, share: Option<Share>, nodes: usize, fraction: f64) {
        self.confirm_delay = CONFIRM_DELAY + CONFIRM_SPREAD.mul_f64(nodes as f64 * fraction);
        self.allowance.set_share(now, share);
    }

    /// Returns the earliest time at which this node may call the leaf; `None` if the leaf names no limit.
    pub fn next_call(&mut self, now: Time) -> Option<Time> {
        self.limit?;
        let last = self.observed_at.max(self.confirmed_at).unwrap_or(now);
        let confirm_at = now.max(last + self.confirm_delay);
        Some(self.allowance.next_call(now).unwrap_or(confirm_at))
    }

    /// Records that a call is sent.
    pub fn take(&mut self, now: Time) {
        if self.limit.is_none() {
            return;
        }
        if self.allowance.share().is_some() {
            self.allowance.take();
        } else {
            self.confirmed_at = Some(now);
        }
    }

    /// Records that a call recorded with [`LeafLimit::take`] was not sent after all.
    pub fn give_back(&mut self) {
        self.allowance.give_back();
    }

    fn observe(&mut self, observed: Time, limit: Option<f64>) -> bool {
        self.observed_at = Some(observed);
        let changed = std::mem::replace(&mut self.limit, limit) != limit;
        if changed {
            self.changed_at = Some(observed);
        }
        changed
    }
}
