//! Client accounts: whose requests a deployment serves, and under which terms.

mod accounts;
mod identity;

use std::{ops::RangeInclusive, sync::Arc};

pub use self::{
    accounts::{AccountError, Accounts, AccountsBuilder, MAX_KEY_BYTES},
    identity::Identity,
};

/// Values that a rate, per second, and a burst may have. The maximum is far above any deployment's load and keeps sums finite.
const LIMIT_RANGE: RangeInclusive<f64> = 0.0..=1e9;

/// The rate limit of an account, over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Requests per second.
    pub per_s: f64,
    /// Requests beyond the rate that may come at once.
    pub burst: f64,
}

impl RateLimit {
    /// Returns the limit with this rate and burst, `None` if the rate is 0, which means no limit.
    ///
    /// # Errors
    ///
    /// Fails if a value is negative, not finite or above 1e9.
    pub fn from_rate(per_s: f64, burst: f64) -> Result<Option<Self>, LimitError> {
        if !LIMIT_RANGE.contains(&per_s) {
            return Err(LimitError::Rate);
        }
        if !LIMIT_RANGE.contains(&burst) {
            return Err(LimitError::Burst);
        }
        Ok((per_s > 0.0).then_some(Self { per_s, burst }))
    }
}

/// The value of a rate limit that is out of range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LimitError {
    #[error("the rate must be from 0 to 1e9 per second")]
    Rate,
    #[error("the burst must be from 0 to 1e9")]
    Burst,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    pub name: Arc<str>,
    /// Replaces the priority of the route.
    pub priority: Option<u32>,
    /// `None` if the account has no limit.
    pub limit: Option<RateLimit>,
}
