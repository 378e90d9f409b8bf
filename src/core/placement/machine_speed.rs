use std::time::Duration;

use crate::core::Time;

/// Range to which the reported factor is clamped.
const FACTOR_RANGE: (f64, f64) = (0.5, 3.0);
/// Maximum weight of a reported factor in the expected latency. With it, a false report changes the expected latency of
/// a leaf to between 0.75 and 2 times its measured one.
const MAX_WEIGHT: f64 = 0.5;
/// Time in which the weight of a report halves. The figure changes many times a second.
const HALF_LIFE: Duration = Duration::from_millis(100);
/// Age from which a report is ignored.
const MAX_AGE: Duration = Duration::from_millis(500);
/// Advantage of the figures of a leaf that has not been checked yet. It gives them half of [`MAX_WEIGHT`].
const INITIAL_ADVANTAGE: f64 = 0.1;
/// Advantage from which figures are trusted fully. Service times vary so much that true figures rarely gain more.
const TRUSTED_ADVANTAGE: f64 = 0.2;
/// Weight of an answer in the advantage. Two answers that contradict a false figure by a factor of 2 end its influence.
const ADVANTAGE_WEIGHT: f64 = 0.1;
/// Weight of an answer in the usual latency.
const USUAL_WEIGHT: f64 = 0.1;

/// How long work takes on a leaf's machine, as reported by the leaf and checked against measured latencies.
///
/// Designed for leaves that share machines, whose speed changes within tens of milliseconds, and for leaves that report
/// false figures. A figure counts as far as earlier figures agreed with the latencies measured at that time.
#[derive(Clone, Copy, Debug)]
pub(super) struct MachineSpeed {
    report: Option<Report>,
    /// By how much the figures predict latencies better than earlier latencies do: the moving average of the difference
    /// between the logarithms of the errors.
    advantage: f64,
    /// Relative latency that the leaf has while its figure is 100.
    usual: f64,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    factor: f64,
    at: Time,
    /// A latency has been compared with it.
    checked: bool,
}

impl Default for MachineSpeed {
    fn default() -> Self {
        Self {
            report: None,
            advantage: INITIAL_ADVANTAGE,
            usual: 1.0,
        }
    }
}

impl MachineSpeed {
    /// Records a figure in percent of the usual time.
    pub(super) fn record_report(&mut self, now: Time, percent: u16) {
        let factor = f64::from(percent) / 100.0;
        self.report = Some(Report {
            factor: factor.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1),
            at: now,
            checked: false,
        });
    }

    /// Records the relative latency of an answer, and the one that was expected from earlier answers. The figure that came
    /// with the answer, if any, was recorded just before.
    pub(super) fn record_latency(&mut self, ratio: f64, expected: f64) {
        let report = self.report.as_mut().filter(|report| !report.checked);
        let factor = report.map_or(1.0, |report| {
            report.checked = true;
            let error = |predicted: f64| (ratio / predicted).ln().abs();
            let difference = error(expected) - error(self.usual * report.factor);
            self.advantage += (difference - self.advantage) * ADVANTAGE_WEIGHT;
            report.factor
        });
        self.usual += (ratio / factor - self.usual) * USUAL_WEIGHT;
    }

    /// Returns a measured relative latency, corrected by the reported figure.
    pub(super) fn correct(&self, now: Time, measured: f64) -> f64 {
        let Some(report) = self.report else {
            return measured;
        };
        let age = now.since(report.at);
        if age >= MAX_AGE {
            return measured;
        }
        let decay = (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        let trust = (self.advantage / TRUSTED_ADVANTAGE).clamp(0.0, 1.0);
        let weight = MAX_WEIGHT * trust * decay;
        // Measured latencies already contain a part of what the figure says, so it applies to the usual latency.
        let change = self.usual * report.factor / measured;
        measured * (1.0 + weight * (change.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1) - 1.0))
    }
}
