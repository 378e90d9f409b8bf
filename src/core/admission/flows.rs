use std::{collections::HashMap, time::Duration};

use crate::core::{Time, admission::Flow, crash::Fingerprint};

/// Half-life of the capacity that a flow has received. It spans several objectives, so that a flow that was just served
/// gives way, and a burst is forgotten within seconds.
const USAGE_HALF_LIFE: Duration = Duration::from_secs(1);
/// Time without a query after which a flow no longer counts. It is longer than most retry times.
const FLOW_TTL: Duration = Duration::from_secs(3);
/// Maximum number of flows with a record of their own, which bounds memory to some hundred KB. Further ones share one.
const MAX_FLOWS: usize = 2_048;
/// Share of the retry time after which a return is on time, for callers whose clocks round down.
const EARLY_SHARE: f64 = 0.9;
/// Time from which a repeat counts as a new query. It covers the network latency and the delay of a timer.
const RETURN_WINDOW: Duration = Duration::from_millis(500);
/// Maximum number of queries whose repeats are known.
const MAX_PROMISES: usize = 4_096;
/// Interval at which the mean usage is recomputed.
const MEAN_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    usage: f64,
    updated_at: Time,
    seen_at: Time,
}

/// Whether a query was rejected before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Turn {
    /// It returns when it was told.
    Returned,
    New,
    /// It returns before this time, which it was told.
    Early(Time),
}

impl Record {
    fn usage(&self, now: Time) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.usage * (-age / USAGE_HALF_LIFE.as_secs_f64()).exp2()
    }
}

/// The capacity that the flows of a pool have recently received, while its limit is on.
#[derive(Debug, Default)]
pub(super) struct Flows {
    records: HashMap<Flow, Record>,
    /// When rejected queries were told to return, by content.
    promises: HashMap<(Flow, Fingerprint), Time>,
    /// Mean usage of the flows that keep sending, and when it was computed.
    mean: f64,
    mean_at: Time,
}

impl Flows {
    /// Returns the flow under which a query is counted.
    pub(super) fn key(&self, flow: &Flow) -> Flow {
        if self.records.len() < MAX_FLOWS || self.records.contains_key(flow) {
            flow.clone()
        } else {
            Flow::OtherNode
        }
    }

    /// Records a query of a flow.
    pub(super) fn record_query(&mut self, now: Time, flow: &Flow, content: Fingerprint) -> Turn {
        let record = self.records.entry(flow.clone()).or_default();
        record.seen_at = now;
        let key = (flow.clone(), content);
        match self.promises.get(&key).copied() {
            Some(at) if now < at => Turn::Early(at),
            Some(at) => {
                self.promises.remove(&key);
                if now < at + RETURN_WINDOW {
                    Turn::Returned
                } else {
                    Turn::New
                }
            }
            None => Turn::New,
        }
    }

    /// Records that a query of a flow was admitted.
    pub(super) fn record_admitted(&mut self, now: Time, flow: &Flow, cost: f64) {
        let record = self.records.entry(flow.clone()).or_default();
        record.usage = record.usage(now) + cost;
        record.updated_at = now;
    }

    /// Records that a query of a flow was rejected with this retry time.
    pub(super) fn record_rejected(
        &mut self,
        now: Time,
        flow: &Flow,
        content: Fingerprint,
        retry_after: Duration,
    ) {
        if self.promises.len() < MAX_PROMISES {
            let at = now + retry_after.mul_f64(EARLY_SHARE);
            self.promises.insert((flow.clone(), content), at);
        }
    }

    /// Returns how far the recent usage of a flow exceeds the mean: 0 up to the mean, and 1 more for each doubling.
    pub(super) fn excess(&mut self, now: Time, flow: &Flow) -> u32 {
        if now.since(self.mean_at) >= MEAN_INTERVAL {
            self.update_mean(now);
        }
        let usage = self.records.get(flow).map_or(0.0, |known| known.usage(now));
        if usage <= self.mean {
            return 0;
        }
        1 + (usage / self.mean.max(1e-9)).log2().clamp(0.0, 30.0) as u32
    }

    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    fn update_mean(&mut self, now: Time) {
        self.records
            .retain(|_, record| now.since(record.seen_at) < FLOW_TTL);
        if self.promises.len() > MAX_PROMISES / 2 {
            self.promises.retain(|_, at| now < *at + RETURN_WINDOW);
        }
        let sum: f64 = self.records.values().map(|known| known.usage(now)).sum();
        self.mean = sum / self.records.len().max(1) as f64;
        self.mean_at = now;
    }
}
