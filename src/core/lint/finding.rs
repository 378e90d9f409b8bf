use std::fmt;

use serde::Serialize;

/// How serious a finding is, the most serious first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// Nodes reject the configuration, or may not use it.
    Error,
    /// Nodes accept the entry, but it has no effect or contradicts another one.
    Warning,
    /// A difference from the active version.
    Change,
}

impl fmt::Display for Severity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Error => "error",
            Self::Warning => "warning",
            Self::Change => "change",
        })
    }
}

/// A result of a check.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Finding {
    pub severity: Severity,
    /// The entry of the configuration, for example `route search`.
    pub entry: String,
    pub text: String,
}

impl Finding {
    /// Creates an error.
    pub fn error(entry: impl Into<String>, text: impl Into<String>) -> Self {
        Self::new(Severity::Error, entry, text)
    }

    pub(super) fn new(
        severity: Severity,
        entry: impl Into<String>,
        text: impl Into<String>,
    ) -> Self {
        Self {
            severity,
            entry: entry.into(),
            text: text.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.severity, self.entry, self.text)
    }
}
