use std::{collections::HashMap, mem, time::Duration};

use crate::core::{LeafId, Time, call::LeafStatus};

/// Buckets for each power of two of the latency in microseconds; the error is at most 1/16.
const SUB_BUCKETS: usize = 16;
/// Buckets for latencies up to 2^32 microseconds.
const BUCKETS: usize = 29 * SUB_BUCKETS;
/// Answers a window needs before it ends, so that quantiles of quiet services rest on enough samples.
const WINDOW_SAMPLES: u32 = 200;
/// Answers needed before a quantile is given.
const MIN_SAMPLES: u32 = 50;
/// Windows of age after which a quiet service's latencies are dropped.
const STALE_WINDOWS: u32 = 60;
/// Service time assumed for a leaf or a service without answers, microseconds.
pub(super) const DEFAULT_MEDIAN: u32 = 5_000;
/// Weight of one reply in the share of replies that report a queue.
const BUSY_WEIGHT: f64 = 1.0 / 64.0;
/// Age after which the share of queued replies is not evidence any more.
const BUSY_AGE: Duration = Duration::from_secs(1);

/// Bounds of [`LeafHealth`].
#[derive(Clone, Debug)]
pub struct HealthSettings {
    /// Most leaves remembered.
    pub max_leaves: usize,
    /// Age after which a leaf's status counts as unknown.
    pub status_ttl: Duration,
    /// Least length of a latency window; quantiles cover the last one to two windows.
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

/// What one entry node knows about the leaves of one service: last status per leaf, latency quantiles.
#[derive(Debug)]
pub struct LeafHealth {
    settings: HealthSettings,
    /// Leaves heard of since the last rotation.
    young: HashMap<LeafId, Entry>,
    /// Leaves heard of before; dropped at the next rotation.
    old: HashMap<LeafId, Entry>,
    rotated: Time,
    recent: Window,
    previous: Window,
    busy: f64,
    busy_at: Time,
}

/// A leaf's last status and what was sent to the leaf since.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Entry {
    pub(crate) status: LeafStatus,
    pub(crate) at: Time,
    /// Calls sent by this node that the status does not contain.
    pub(crate) sent: u16,
}

impl Entry {
    /// Returns the calls the leaf can take without queueing, less those sent since the status.
    pub(crate) fn spare(&self) -> u16 {
        self.status.spare.saturating_sub(self.sent)
    }

    /// Returns the time in which one slot works off the reported queue.
    ///
    /// An older report is not believed: calls avoid a leaf with a queue, so nothing renews it. Believed for
    /// `status_ttl`, one burst stopped the hedges to a second replica for 10 s, and p99.9 at 1% stragglers
    /// was 559 ms instead of 33 ms.
    fn drain(&self) -> Duration {
        let median = match self.status.median {
            0 => DEFAULT_MEDIAN,
            median => median,
        };
        let calls = u64::from(self.status.queued) + u64::from(self.sent) + 1;
        Duration::from_micros(calls * u64::from(median))
    }

    /// Returns whether the owner reports more work than the leaf has room for.
    pub(crate) fn is_queued(&self) -> bool {
        self.status.queued > 0
    }
}

impl LeafHealth {
    /// Creates an empty record.
    pub fn new(settings: HealthSettings) -> Self {
        Self {
            settings,
            young: HashMap::new(),
            old: HashMap::new(),
            rotated: Time::default(),
            recent: Window::default(),
            previous: Window::default(),
            busy: 0.0,
            busy_at: Time::default(),
        }
    }

    /// Records the owner's status of a leaf.
    pub fn record_status(&mut self, now: Time, leaf: &LeafId, status: LeafStatus) {
        let queued = if status.queued > 0 { 1.0 } else { 0.0 };
        self.busy += (queued - self.busy) * BUSY_WEIGHT;
        self.busy_at = now;
        let entry = Entry {
            status,
            at: now,
            sent: 0,
        };
        if let Some(known) = self.young.get_mut(leaf) {
            *known = entry;
            return;
        }
        let full = self.young.len() >= (self.settings.max_leaves / 2).max(1);
        if full || now.since(self.rotated) >= self.settings.status_ttl {
            self.old = mem::take(&mut self.young);
            self.rotated = now;
        }
        self.old.remove(leaf);
        self.young.insert(leaf.clone(), entry);
    }

    /// Records the latency of a call that was answered, or the time waited for one that was given up.
    pub fn record_latency(&mut self, now: Time, latency: Duration) {
        let age = now.since(self.recent.start);
        let ended = age >= self.settings.min_window && self.recent.total >= WINDOW_SAMPLES;
        if ended || age >= self.settings.min_window * STALE_WINDOWS {
            self.previous = mem::take(&mut self.recent);
            self.recent.start = now;
        }
        self.recent.add(latency);
    }

    /// Returns the latency below which `quantile` of recent calls were answered, once enough are known.
    pub fn latency_quantile(&self, now: Time, quantile: f64) -> Option<Duration> {
        let stale = now.since(self.recent.start) >= self.settings.min_window * STALE_WINDOWS * 2;
        let total = self.recent.total + self.previous.total;
        if stale || total < MIN_SAMPLES {
            return None;
        }
        let rank = (f64::from(total) * quantile.clamp(0.0, 1.0))
            .ceil()
            .max(1.0) as u32;
        let counts = self.recent.counts.iter().zip(&self.previous.counts);
        let mut seen = 0;
        counts
            .map(|(recent, previous)| recent + previous)
            .position(|count| {
                seen += count;
                seen >= rank
            })
            .map(upper_bound)
    }

    /// Returns the last status of a leaf unless it is too old; an old queue counts as drained.
    pub fn leaf_status(&self, now: Time, leaf: &LeafId) -> Option<LeafStatus> {
        self.entry(now, leaf).map(|entry| entry.status)
    }

    /// Returns the share of recent replies whose owner reported a queue.
    pub fn queued_share(&self, now: Time) -> f64 {
        if now.since(self.busy_at) < BUSY_AGE {
            self.busy
        } else {
            0.0
        }
    }

    /// Returns the number of leaves remembered.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns whether no leaf is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub(crate) fn entry(&self, now: Time, leaf: &LeafId) -> Option<Entry> {
        let entry = self.young.get(leaf).or_else(|| self.old.get(leaf))?;
        let (age, mut entry) = (now.since(entry.at), *entry);
        if age >= entry.drain() {
            (entry.status.queued, entry.sent) = (0, 0);
            entry.status.spare = entry.status.spare.max(1);
        }
        (age < self.settings.status_ttl).then_some(entry)
    }

    /// Counts a call sent to a leaf until its next status.
    pub(crate) fn record_send(&mut self, leaf: &LeafId) {
        let entry = match self.young.get_mut(leaf) {
            Some(entry) => Some(entry),
            None => self.old.get_mut(leaf),
        };
        if let Some(entry) = entry {
            entry.sent = entry.sent.saturating_add(1);
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
struct Window {
    start: Time,
    total: u32,
    counts: Vec<u32>,
}

impl Window {
    fn add(&mut self, latency: Duration) {
        self.total += 1;
        self.counts[bucket(latency)] += 1;
    }
}

impl Default for Window {
    fn default() -> Self {
        Self {
            start: Time::default(),
            total: 0,
            counts: vec![0; BUCKETS],
        }
    }
}

fn bucket(latency: Duration) -> usize {
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
