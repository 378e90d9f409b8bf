use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::core::ServiceName;

/// Longest configuration key kept, bytes; it bounds the size of a summary. Keys that begin alike share a cause.
const MAX_KEY_BYTES: usize = 64;

/// What an alarm is about. There is at most one alarm per cause over the fleet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Cause {
    /// Answers of a service take longer than promised.
    Latency(ServiceName),
    /// Answers of a service cover less than promised, or queries are refused through the system's fault.
    Coverage(ServiceName),
    /// The value of a configuration key was rejected.
    ConfigRejected(Arc<str>),
    /// An invariant was violated.
    Invariant,
}

impl Cause {
    /// Returns the cause for a rejected configuration key.
    pub fn config_rejected(key: &str) -> Self {
        let mut end = key.len().min(MAX_KEY_BYTES);
        while !key.is_char_boundary(end) {
            end -= 1;
        }
        Cause::ConfigRejected(key[..end].into())
    }

    /// Returns the service that the cause belongs to, if it is one service's.
    pub(super) fn service(&self) -> Option<ServiceName> {
        match self {
            Cause::Latency(service) | Cause::Coverage(service) => Some(service.clone()),
            Cause::ConfigRejected(key) => {
                let mut parts = key.split('/');
                let kind = parts.next()?;
                let name = parts.next()?;
                matches!(kind, "service" | "map").then(|| name.into())
            }
            Cause::Invariant => None,
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Latency(service) => write!(f, "latency/{service}"),
            Cause::Coverage(service) => write!(f, "coverage/{service}"),
            Cause::ConfigRejected(key) => write!(f, "configuration/{key}"),
            Cause::Invariant => write!(f, "invariant"),
        }
    }
}
