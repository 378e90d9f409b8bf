use std::{fmt, sync::Arc};

use serde::Serialize;

/// A validation error of a configuration value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Path of the field within the value, such as `hedge.percent`; empty if the fault concerns the whole value.
    pub field: String,
    pub reason: String,
    /// The values that are allowed instead.
    pub allowed: String,
}

impl Fault {
    pub fn new(
        field: impl Into<String>,
        reason: impl Into<String>,
        allowed: impl Into<String>,
    ) -> Self {
        Self {
            field: field.into(),
            reason: reason.into(),
            allowed: allowed.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        write!(f, "{}; allowed: {}", self.reason, self.allowed)
    }
}

/// A document that failed validation. The previous valid value of its key stays active.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Rejection {
    pub key: Arc<str>,
    pub version: u64,
    pub faults: Vec<Fault>,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} version {} rejected", self.key, self.version)?;
        for fault in &self.faults {
            write!(f, "; {fault}")?;
        }
        Ok(())
    }
}
