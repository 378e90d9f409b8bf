use std::{collections::HashMap, mem, time::Duration};

use crate::core::{LeafId, Time, call::LeafStatus};

/// Buckets per power of two of the latency in microseconds; the relative error is at most 1/16.
const SUB_BUCKETS: usize = 16;
/// Number of buckets, for latencies up to 2^32 microseconds.
const BUCKETS: usize = 29 * SUB_BUCKETS;
/// Minimum samples before a window ends, so that quantiles of services with little traffic have enough samples.
/// [`MAX_AGE_WINDOWS`] limits the time this takes.
const MIN_WINDOW_SAMPLES: u32 = 200;
/// Minimum samples for a quantile.
const MIN_QUANTILE_SAMPLES: u32 = 50;
/// Age, in minimum window lengths, at which a window ends even with too few samples. Latencies are ignored when the
/// current window reaches twice this age.
const MAX_AGE_WINDOWS: u32 = 60;
/// Median service time assumed for a leaf or a service without answers, microseconds.
pub(super) const DEFAULT_MEDIAN_US: u32 = 5_000;
/// Weight of one reply in the moving average of replies that report a queue.
const QUEUED_REPLY_WEIGHT: f64 = 1.0 / 64.0;
/// Age after which the share of queued replies is ignored.
const QUEUED_SHARE_TTL: Duration = Duration::from_secs(1);

/// Limits of [`LeafHealth`].
#[derive(Clone, Debug)]
pub struct HealthSettings {
    /// Maximum number of leaves tracked.
    pub max_leaves: usize,
    /// Age after which the status of a leaf counts as unknown.
    pub status_ttl: Duration,
    /// Minimum length of a latency window; quantiles cover the last one to two windows.
    pub min_window: Duration,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            max_leaves: 100_000,
            status_ttl: Duration::from_secs(10),
            min_window: Duration::from_secs(10),
        }
    }
}

/// Health of the leaves of one service as observed by an entry node: last status per leaf and latency quantiles.
#[derive(Debug)]
pub struct LeafHealth {
    settings: HealthSettings,
    /// Leaves with a status received since the last rotation.
    recent_leaves: HashMap<LeafId, Entry>,
    /// Leaves whose last status is older; dropped at the next rotation.
    older_leaves: HashMap<LeafId, Entry>,
    rotated_at: Time,
    window: LatencyHistogram,
    previous_window: LatencyHistogram,
    /// Moving average of the replies whose owner reported a queue, 0 to 1.
    queued_share: f64,
    queued_share_at: Time,
}

/// The last status of a leaf and the number of calls sent to it since.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Entry {
    pub(crate) status: LeafStatus,
    pub(crate) received_at: Time,
    /// Calls sent by this node since the status was received.
    pub(crate) calls_sent: u16,
}

impl Entry {
    /// Returns the calls the leaf can take without queueing, minus those sent since the status.
    pub(crate) fn spare(&self) -> u16 {
        self.status.spare.saturating_sub(self.calls_sent)
    }

    /// Returns the time one slot needs to process the reported queue, after which the report is ignored.
    ///
    /// Calls avoid a leaf with a queue, so no reply updates the report. When reports stayed valid for
    /// `status_ttl`, one burst stopped hedges to a second replica for 10 s, and p99.9 at 1% stragglers was 559 ms
    /// instead of 33 ms.
    fn drain_time(&self) -> Duration {
        let median = match self.status.median {
            0 => DEFAULT_MEDIAN_US,
            median => median,
        };
        let calls = u64::from(self.status.queued) + u64::from(self.calls_sent) + 1;
        Duration::from_micros(calls * u64::from(median))
    }

    /// Returns whether the owner reports queued calls for the leaf.
    pub(crate) fn is_queued(&self) -> bool {
        self.status.queued > 0
    }
}

impl LeafHealth {
    /// Creates a record without leaves or latencies.
    pub fn new(settings: HealthSettings) -> Self {
        Self {
            settings,
            recent_leaves: HashMap::new(),
            older_leaves: HashMap::new(),
            rotated_at: Time::default(),
            window: LatencyHistogram::default(),
            previous_window: LatencyHistogram::default(),
            queued_share: 0.0,
            queued_share_at: Time::default(),
        }
    }

    /// Records the status of a leaf reported by its owner.
    pub fn record_status(&mut self, now: Time, leaf: &LeafId, status: LeafStatus) {
        let queued = if status.queued > 0 { 1.0 } else { 0.0 };
        self.queued_share += (queued - self.queued_share) * QUEUED_REPLY_WEIGHT;
        self.queued_share_at = now;
        let entry = Entry {
            status,
            received_at: now,
            calls_sent: 0,
        };
        if let Some(existing) = self.recent_leaves.get_mut(leaf) {
            *existing = entry;
            return;
        }
        let full = self.recent_leaves.len() >= (self.settings.max_leaves / 2).max(1);
        if full || now.since(self.rotated_at) >= self.settings.status_ttl {
            self.older_leaves = mem::take(&mut self.recent_leaves);
            self.rotated_at = now;
        }
        self.older_leaves.remove(leaf);
        self.recent_leaves.insert(leaf.clone(), entry);
    }

    /// Records the latency of an answered call, or the time waited for an abandoned one.
    pub fn record_latency(&mut self, now: Time, latency: Duration) {
        let age = now.since(self.window.start);
        let ended = age >= self.settings.min_window && self.window.total >= MIN_WINDOW_SAMPLES;
        if ended || age >= self.settings.min_window * MAX_AGE_WINDOWS {
            self.previous_window = mem::take(&mut self.window);
            self.window.start = now;
        }
        self.window.add(latency);
    }

    /// Returns the given quantile of recent latencies, or `None` without enough recent samples.
    pub fn latency_quantile(&self, now: Time, quantile: f64) -> Option<Duration> {
        let stale = now.since(self.window.start) >= self.settings.min_window * MAX_AGE_WINDOWS * 2;
        let total = self.window.total + self.previous_window.total;
        if stale || total < MIN_QUANTILE_SAMPLES {
            return None;
        }
        let rank = (f64::from(total) * quantile.clamp(0.0, 1.0))
            .ceil()
            .max(1.0) as u32;
        let counts = self.window.counts.iter().zip(&self.previous_window.counts);
        let mut seen = 0;
        counts
            .map(|(recent, previous)| recent + previous)
            .position(|count| {
                seen += count;
                seen >= rank
            })
            .map(upper_bound)
    }

    /// Returns the last status of a leaf unless it has expired; an outdated queue is reported as empty.
    pub fn leaf_status(&self, now: Time, leaf: &LeafId) -> Option<LeafStatus> {
        self.entry(now, leaf).map(|entry| entry.status)
    }

    /// Returns the share of recent replies whose owner reported a queue, 0 to 1.
    pub fn queued_share(&self, now: Time) -> f64 {
        if now.since(self.queued_share_at) < QUEUED_SHARE_TTL {
            self.queued_share
        } else {
            0.0
        }
    }

    /// Returns the number of leaves tracked.
    pub fn len(&self) -> usize {
        self.recent_leaves.len() + self.older_leaves.len()
    }

    /// Returns whether no leaf is tracked.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub(crate) fn entry(&self, now: Time, leaf: &LeafId) -> Option<Entry> {
        let entry = self
            .recent_leaves
            .get(leaf)
            .or_else(|| self.older_leaves.get(leaf))?;
        let (age, mut entry) = (now.since(entry.received_at), *entry);
        if age >= entry.drain_time() {
            (entry.status.queued, entry.calls_sent) = (0, 0);
            entry.status.spare = entry.status.spare.max(1);
        }
        (age < self.settings.status_ttl).then_some(entry)
    }

    /// Counts a call sent to a leaf; its next status resets the count.
    pub(crate) fn record_send(&mut self, leaf: &LeafId) {
        let entry = match self.recent_leaves.get_mut(leaf) {
            Some(entry) => Some(entry),
            None => self.older_leaves.get_mut(leaf),
        };
        if let Some(entry) = entry {
            entry.calls_sent = entry.calls_sent.saturating_add(1);
        }
    }
}

impl Default for LeafHealth {
    fn default() -> Self {
        Self::new(HealthSettings::default())
    }
}

/// A histogram of latencies with buckets of constant relative width.
#[derive(Debug)]
struct LatencyHistogram {
    /// Start of the window that the histogram covers.
    start: Time,
    total: u32,
    counts: Vec<u32>,
}

impl LatencyHistogram {
    fn add(&mut self, latency: Duration) {
        self.total += 1;
        self.counts[bucket_index(latency)] += 1;
    }
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self {
            start: Time::default(),
            total: 0,
            counts: vec![0; BUCKETS],
        }
    }
}

fn bucket_index(latency: Duration) -> usize {
    let micros = u32::try_from(latency.as_micros()).unwrap_or(u32::MAX) as usize;
    if micros < SUB_BUCKETS {
        return micros;
    }
    let shift = (micros.ilog2() - SUB_BUCKETS.ilog2()) as usize;
    (shift * SUB_BUCKETS + (micros >> shift)).min(BUCKETS - 1)
}

fn upper_bound(bucket: usize) -> Duration {
    if bucket < SUB_BUCKETS {
        return Duration::from_micros(bucket as u64);
    }
    let shift = bucket / SUB_BUCKETS - 1;
    let first = (bucket % SUB_BUCKETS + SUB_BUCKETS) as u64;
    Duration::from_micros(((first + 1) << shift) - 1)
}
