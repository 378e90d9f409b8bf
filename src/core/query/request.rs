use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::core::{RequestId, ServiceName, Time, crash::Verdict};

/// One parsed request of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    pub request: RequestId,
    pub service: ServiceName,
    pub text: Arc<str>,
    /// Number of hits requested.
    pub top: u16,
    /// Time allowed by the caller, from the start of the plan; the policy's `deadline_ms` if absent.
    pub deadline: Option<Duration>,
}

/// Why a query is rejected before any leaf call is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
pub enum QueryError {
    #[error("service {0:?} has no snapshot that serves; publish a map with a serving snapshot")]
    NoSnapshot(ServiceName),
    #[error("top is {top}, the service allows 1 to {most}; ask for fewer hits")]
    Top { top: u16, most: u16 },
    #[error("the deadline is zero; give the query time to run")]
    NoTime,
    #[error(
        "this query crashed leaves and is quarantined; an earlier copy may have run, don't repeat it"
    )]
    Quarantined,
}

impl QueryError {
    /// Returns whether the rejection guarantees that the query has not run.
    pub fn not_run(&self) -> bool {
        !matches!(self, QueryError::Quarantined)
    }
}

/// Read access of a plan to the crash ledger.
pub trait CrashView {
    /// Returns the verdict on query `text` of `service`.
    fn verdict(&self, now: Time, service: &ServiceName, text: &str) -> Verdict;
}
