use std::time::Duration;

use crate::core::{Time, config::AlarmPolicy};

const BUCKET_LENGTH: Duration = Duration::from_secs(10);
/// Length of the evaluation window: 5 minutes.
const WINDOW_BUCKETS: u64 = 30;
/// Length of the confirmation window: 1 minute, so an objective stops burning within 1 minute after an incident.
const CONFIRMATION_BUCKETS: u64 = 6;
/// Burn rate above which an objective fails: the share of bad answers divided by the share that the objective allows.
const MAX_BURN_RATE: f64 = 10.0;
/// Share of bad answers above which any objective fails. Objectives of 0.9 or less cannot reach a burn rate above 10.
const MAX_BAD_SHARE: f64 = 0.95;
/// Minimum bad answers in 5 minutes for an objective to fail; with few answers a single bad one is a large share.
const MIN_BAD_ANSWERS: u64 = 5;

/// The result of a caller's query.
#[derive(Clone, Copy, Debug)]
pub enum Sample {
    /// The query was answered.
    Answered {
        elapsed: Duration,
        /// The covered share, 0 to 1.
        coverage: f64,
        /// The deadline requested by the caller.
        deadline: Option<Duration>,
    },
    /// The query was rejected or lost through a fault of the system.
    Failed,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    epoch: u64,
    total: u64,
    late: u64,
    uncovered: u64,
}

/// Results of one service's queries in the last 5 minutes.
#[derive(Debug, Default)]
pub(super) struct Window {
    buckets: [Bucket; WINDOW_BUCKETS as usize],
}

/// The share of bad answers of each objective that exceeds the maximum burn rate.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct BurningShares {
    pub(super) latency: Option<f64>,
    pub(super) coverage: Option<f64>,
}

fn epoch(now: Time) -> u64 {
    // Epochs start at 1, so that an empty bucket is never current.
    now.0 / BUCKET_LENGTH.as_micros() as u64 + 1
}

impl Window {
    /// Records a result. Answers to queries with a deadline below the latency objective are not counted.
    pub(super) fn record(&mut self, now: Time, policy: &AlarmPolicy, sample: Sample) {
        let target = Duration::from_millis(policy.latency_ms.into());
        let (late, uncovered) = match sample {
            Sample::Answered {
                deadline: Some(deadline),
                ..
            } if deadline < target => return,
            Sample::Answered {
                elapsed, coverage, ..
            } => (elapsed > target, coverage < policy.coverage),
            Sample::Failed => (false, true),
        };
        let epoch = epoch(now);
        let bucket = &mut self.buckets[(epoch % WINDOW_BUCKETS) as usize];
        if bucket.epoch != epoch {
            *bucket = Bucket {
                epoch,
                ..Bucket::default()
            };
        }
        bucket.total += 1;
        bucket.late += u64::from(late);
        bucket.uncovered += u64::from(uncovered);
    }

    /// Evaluates both objectives over both windows.
    pub(super) fn burning(&self, now: Time, policy: &AlarmPolicy) -> BurningShares {
        let (all, recent) = (
            self.sum(now, WINDOW_BUCKETS),
            self.sum(now, CONFIRMATION_BUCKETS),
        );
        let allowed = 1.0 - policy.objective;
        let limit = (MAX_BURN_RATE * allowed).min(MAX_BAD_SHARE);
        let evaluate = |bad: fn(&Bucket) -> u64| {
            let share = |bucket: &Bucket| bad(bucket) as f64 / bucket.total.max(1) as f64;
            let burns =
                bad(&all) >= MIN_BAD_ANSWERS && share(&all) > limit && share(&recent) > limit;
            burns.then(|| share(&all))
        };
        BurningShares {
            latency: evaluate(|bucket| bucket.late),
            coverage: evaluate(|bucket| bucket.uncovered),
        }
    }

    fn sum(&self, now: Time, buckets: u64) -> Bucket {
        let current = epoch(now);
        let recent = |bucket: &&Bucket| bucket.epoch + buckets > current;
        let mut sum = Bucket::default();
        for bucket in self.buckets.iter().filter(recent) {
            sum.total += bucket.total;
            sum.late += bucket.late;
            sum.uncovered += bucket.uncovered;
        }
        sum
    }
}
