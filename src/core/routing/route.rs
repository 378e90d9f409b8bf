use std::{sync::Arc, time::Duration};

use crate::core::{ServiceName, account::Account};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    Idempotent,
    AtMostOnce,
}

/// The shards whose answers are merged into the answer of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Gather {
    /// One service for each shard.
    pub shards: Vec<ServiceName>,
    /// Maximum number of records in the answer.
    pub top_k: usize,
    /// Minimum share of shards in a successful answer, from 0 to 1.
    pub min_coverage: f64,
}

impl Gather {
    /// Returns the minimum number of shards in a successful answer.
    pub fn required_shards(&self) -> usize {
        let total = self.shards.len();
        (0..=total)
            .find(|count| *count as f64 >= self.min_coverage * total as f64 - 1e-9)
            .unwrap_or(total)
            .max(1)
    }
}

/// The target of a route.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    Service(ServiceName),
    /// Services with their weights.
    Split(Vec<(ServiceName, f64)>),
    Gather(Gather),
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: Arc<str>,
    /// Host name in lower case, without a port.
    pub host: Arc<str>,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: Arc<str>,
    pub repeat: Repeat,
    /// Maximum time until a request is answered.
    pub timeout: Duration,
    /// Latency objective: an answer has its full value only within this time.
    pub objective: Duration,
    /// Maximum number of leaves that may run one request, for each shard.
    pub max_attempts: u32,
    /// Priority of requests whose account has none; 0 is the most urgent.
    pub priority: u32,
    /// Regions whose leaves may run the requests. Empty means all regions.
    pub regions: Vec<Arc<str>>,
    /// Requests need no key, and the account of one that has a key is not determined.
    pub anonymous: bool,
    pub target: Target,
}

impl Route {
    /// Returns the priority of a request that an account has sent: the account's, which takes precedence, or the route's.
    pub fn priority_for(&self, account: Option<&Account>) -> u32 {
        account
            .and_then(|account| account.priority)
            .unwrap_or(self.priority)
    }

    /// Returns the services that may run a request of this route.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        let (single, split, shards): (Option<&ServiceName>, &[(ServiceName, f64)], &[ServiceName]) =
            match &self.target {
                Target::Service(service) => (Some(service), &[], &[]),
                Target::Split(parts) => (None, parts, &[]),
                Target::Gather(gather) => (None, &[], &gather.shards),
            };
        single
            .into_iter()
            .chain(split.iter().map(|(service, _)| service))
            .chain(shards)
    }
}
