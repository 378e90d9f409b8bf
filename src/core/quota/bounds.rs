use std::time::Duration;

use super::MAX_HOLDERS;
use crate::core::account::RateLimit;

/// Part of the overshoot by which buckets are refilled faster than the limit, so that demand just under the limit is not
/// rejected while some tokens expire unused.
const REFILL_PART: f64 = 0.2;

/// Maximum time for which a borrowed token is valid: an ask interval and the round trip of a message to a busy node. Longer
/// loans leave fewer tokens for the buckets: with 500 ms, demand spread over all of 91 nodes was rejected twice as often.
const MAX_LOAN: Duration = Duration::from_millis(300);

/// The users' bound on the requests of an account over all nodes: `(rate * window + burst) * (1 + overshoot) + slack` in
/// any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    pub window: Duration,
    pub overshoot: f64,
    /// Number of requests beyond that.
    pub slack: f64,
}

impl QuotaBounds {
    /// Returns the number of requests that may be admitted in a window.
    pub fn requests(&self, limit: RateLimit) -> f64 {
        let in_window = limit.per_s * self.window.as_secs_f64();
        (in_window + limit.burst) * (1.0 + self.overshoot) + self.slack
    }

    /// Returns the rate at which all holders together refill their buckets, tokens per second.
    pub fn refill(&self, limit: RateLimit) -> f64 {
        limit.per_s * (1.0 + self.overshoot * REFILL_PART)
    }

    /// Returns how long a borrowed token is valid after it was asked for.
    ///
    /// At most half of what the window leaves after the refill goes to loans; the other half is kept in the buckets.
    pub fn loan_time(&self) -> Duration {
        let margin = self.overshoot * (1.0 - REFILL_PART);
        let time = self.window.as_secs_f64() * margin / 2.0 / (1.0 + self.overshoot * REFILL_PART);
        MAX_LOAN.min(Duration::from_secs_f64(time))
    }

    /// Returns the maximum number of holders. Each keeps at least one whole token if the limit allows for it, so that the
    /// first request of a caller that moves there finds one.
    pub(super) fn holders(&self, limit: RateLimit) -> usize {
        (self.stock(limit) as usize).clamp(1, MAX_HOLDERS)
    }

    /// Returns the number of tokens that all holders together keep at most.
    ///
    /// In any window, the requests are at most the tokens kept or on loan when it begins and the refill during the window.
    /// The tokens on loan left a holder's bucket at most one loan time before.
    pub fn stock(&self, limit: RateLimit) -> f64 {
        let time = self.window + self.loan_time();
        (self.requests(limit) - self.refill(limit) * time.as_secs_f64()).max(0.0)
    }
}
