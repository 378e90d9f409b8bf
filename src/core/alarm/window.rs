use std::time::Duration;

use crate::core::{Time, config::AlarmPolicy};

/// Length of one bucket.
const BUCKET: Duration = Duration::from_secs(10);
/// Buckets of the window over which an objective is judged: 5 minutes.
const WINDOW: u64 = 30;
/// Buckets of the confirmation window: 1 minute, so that a past incident stops burning within that time.
const CONFIRMATION: u64 = 6;
/// Burn rate above which an objective fails: the share of bad answers over the share the objective allows.
const MAX_BURN: f64 = 10.0;
/// Share of bad answers that fails any objective. One of 0.9 or less cannot burn 10 times faster.
const MAX_BAD_SHARE: f64 = 0.95;
/// Bad answers in 5 minutes below which nothing is judged; of a few answers a single one is already a large share.
const MIN_BAD: u64 = 5;

/// One answer to a real caller.
#[derive(Clone, Copy, Debug)]
pub enum Sample {
    /// The query was answered.
    Answered {
        elapsed: Duration,
        /// The covered share, 0 to 1.
        coverage: f64,
        /// The deadline the caller asked for.
        deadline: Option<Duration>,
    },
    /// The query was refused or lost through the system's fault.
    Failed,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    epoch: u64,
    total: u64,
    late: u64,
    short: u64,
}

/// The answers of one service in the last 5 minutes.
#[derive(Debug, Default)]
pub(super) struct Window {
    buckets: [Bucket; WINDOW as usize],
}

/// The share of bad answers per objective, where it burns too fast.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Burning {
    pub(super) latency: Option<f64>,
    pub(super) coverage: Option<f64>,
}

fn epoch(now: Time) -> u64 {
    // The first epoch is 1, so that an empty bucket is never current.
    now.0 / BUCKET.as_micros() as u64 + 1
}

impl Window {
    /// Records an answer. One to a caller that gave the query less time than is promised is not counted.
    pub(super) fn record(&mut self, now: Time, policy: &AlarmPolicy, sample: Sample) {
        let promised = Duration::from_millis(policy.latency_ms.into());
        let (late, short) = match sample {
            Sample::Answered {
                deadline: Some(deadline),
                ..
            } if deadline < promised => return,
            Sample::Answered {
                elapsed, coverage, ..
            } => (elapsed > promised, coverage < policy.coverage),
            Sample::Failed => (false, true),
        };
        let epoch = epoch(now);
        let bucket = &mut self.buckets[(epoch % WINDOW) as usize];
        if bucket.epoch != epoch {
            *bucket = Bucket {
                epoch,
                ..Bucket::default()
            };
        }
        bucket.total += 1;
        bucket.late += u64::from(late);
        bucket.short += u64::from(short);
    }

    /// Judges both objectives over both windows.
    pub(super) fn burning(&self, now: Time, policy: &AlarmPolicy) -> Burning {
        let (all, recent) = (self.sum(now, WINDOW), self.sum(now, CONFIRMATION));
        let allowed = 1.0 - policy.objective;
        let limit = (MAX_BURN * allowed).min(MAX_BAD_SHARE);
        let judge = |bad: fn(&Bucket) -> u64| {
            let share = |bucket: &Bucket| bad(bucket) as f64 / bucket.total.max(1) as f64;
            let burns = bad(&all) >= MIN_BAD && share(&all) > limit && share(&recent) > limit;
            burns.then(|| share(&all))
        };
        Burning {
            latency: judge(|bucket| bucket.late),
            coverage: judge(|bucket| bucket.short),
        }
    }

    fn sum(&self, now: Time, buckets: u64) -> Bucket {
        let current = epoch(now);
        let recent = |bucket: &&Bucket| bucket.epoch + buckets > current;
        let mut sum = Bucket::default();
        for bucket in self.buckets.iter().filter(recent) {
            sum.total += bucket.total;
            sum.late += bucket.late;
            sum.short += bucket.short;
        }
        sum
    }
}
