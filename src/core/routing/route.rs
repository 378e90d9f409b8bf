use std::{sync::Arc, time::Duration};

use crate::core::ServiceName;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    Idempotent,
    AtMostOnce,
}

/// The shards that a route gathers its answer from.
#[derive(Clone, Debug, PartialEq)]
pub struct Gather {
    /// One service for each shard.
    pub shards: Vec<ServiceName>,
    /// Records in the answer.
    pub top_k: usize,
    /// Least share of the shards in a success, 0 to 1.
    pub min_coverage: f64,
}

impl Gather {
    /// Returns the least number of shards in a success.
    pub fn required_shards(&self) -> usize {
        let total = self.shards.len();
        (0..=total)
            .find(|count| *count as f64 >= self.min_coverage * total as f64 - 1e-9)
            .unwrap_or(total)
            .max(1)
    }
}

/// Where the requests of a route go.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    Service(ServiceName),
    /// Services with the weight of each.
    Split(Vec<(ServiceName, f64)>),
    Gather(Gather),
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: Arc<str>,
    /// Lower case, without a port.
    pub host: Arc<str>,
    /// Begins and ends with a slash.
    pub prefix: Arc<str>,
    pub repeat: Repeat,
    /// Longest time for which a request is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer has its full value.
    pub objective: Duration,
    /// Most leafs that may run one request, for each shard.
    pub max_attempts: u32,
    /// Urgency; 0 is the most urgent.
    pub priority: u32,
    /// Regions whose leafs may run the requests; empty for all.
    pub regions: Vec<Arc<str>>,
    pub target: Target,
}

impl Route {
    /// Returns the services that may run a request of this route.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        let (one, split, shards): (Option<&ServiceName>, &[(ServiceName, f64)], &[ServiceName]) =
            match &self.target {
                Target::Service(service) => (Some(service), &[], &[]),
                Target::Split(parts) => (None, parts, &[]),
                Target::Gather(gather) => (None, &[], &gather.shards),
            };
        one.into_iter()
            .chain(split.iter().map(|(service, _)| service))
            .chain(shards)
    }
}
