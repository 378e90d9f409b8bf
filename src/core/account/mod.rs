//! Client accounts: whose requests a deployment serves, and under which terms.

use std::sync::Arc;

/// The rate limit of an account, over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Requests per second.
    pub per_s: f64,
    /// Requests beyond the rate that may come at once.
    pub burst: f64,
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
