use std::time::Duration;

use crate::core::{LeafId, Time, call::LeafStatus};

/// Bounds of [`LeafHealth`].
#[derive(Clone, Debug)]
pub struct HealthSettings {
    /// Most leaves remembered.
    pub leaves: usize,
    /// Age after which a leaf's status counts as unknown.
    pub status_age: Duration,
    /// Length of one latency window; quantiles cover one to two of them.
    pub window: Duration,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            leaves: 100_000,
            status_age: Duration::from_secs(10),
            window: Duration::from_secs(10),
        }
    }
}

/// What one entry node knows about the leaves of one service: last status per leaf, latency quantiles.
#[derive(Debug)]
pub struct LeafHealth {
    settings: HealthSettings,
}

impl LeafHealth {
    /// Creates an empty record.
    pub fn new(settings: HealthSettings) -> Self {
        Self { settings }
    }

    /// Records the owner's status of a leaf.
    pub fn status(&mut self, _now: Time, _leaf: &LeafId, _status: LeafStatus) {}

    /// Records the latency of a call that was answered.
    pub fn latency(&mut self, _now: Time, _latency: Duration) {}

    /// Returns the latency below which `quantile` of recent calls were answered, once enough are known.
    pub fn quantile(&self, _now: Time, _quantile: f64) -> Option<Duration> {
        None
    }

    /// Returns the last status of a leaf unless it is too old.
    pub fn leaf(&self, _now: Time, _leaf: &LeafId) -> Option<LeafStatus> {
        let _ = &self.settings;
        None
    }
}
