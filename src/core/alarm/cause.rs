use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::core::ServiceName;

/// Maximum length of a configuration key in a cause, which bounds the size of a summary. Longer keys with a common
/// prefix of this length share a cause.
const MAX_KEY_BYTES: usize = 64;

/// The cause of an alarm; the fleet sends at most one alarm per cause.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Cause {
    /// Answers of a service exceed the latency objective.
    Latency(ServiceName),
    /// Answers of a service miss the coverage objective, or queries are rejected or lost through a fault of the system.
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

    /// Returns the service that the cause belongs to, or `None` if it concerns several services.
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
