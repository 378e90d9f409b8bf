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
/// Trust in the figures of a leaf that has not been checked yet, as a share.
const INITIAL_TRUST: f64 = 0.5;
/// Factor on the trust after an answer that the figure predicts worse than the usual latency does.
const DISTRUST_FACTOR: f64 = 0.5;
/// Part of the missing trust that is gained by an answer that the figure predicts better.
const TRUST_GAIN: f64 = 0.1;
/// Difference of prediction errors below which an answer says nothing about the figure.
const MIN_DIFFERENCE: f64 = 0.05;
/// Weight of an answer in the usual latency.
const USUAL_WEIGHT: f64 = 0.1;

/// How long work takes on a leaf's machine, as reported by the leaf and checked against measured latencies.
///
/// Designed for leaves that share machines, whose speed changes within tens of milliseconds, and for leaves that report
/// false figures. A figure counts as far as earlier figures agreed with the latencies measured at that time.
#[derive(Clone, Copy, Debug)]
pub(super) struct MachineSpeed {
    report: Option<Report>,
    /// Share from 0 to 1.
    trust: f64,
    /// Relative latency that the leaf usually has.
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
            trust: INITIAL_TRUST,
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

    /// Records the relative latency of an answer. The figure that came with it, if any, was recorded just before.
    pub(super) fn record_latency(&mut self, ratio: f64) {
        if let Some(report) = self.report.as_mut().filter(|report| !report.checked) {
            report.checked = true;
            let error = |predicted: f64| (ratio / predicted).ln().abs();
            let difference = error(self.usual * report.factor) - error(self.usual);
            if difference > MIN_DIFFERENCE {
                self.trust *= DISTRUST_FACTOR;
            } else if difference < -MIN_DIFFERENCE {
                self.trust += (1.0 - self.trust) * TRUST_GAIN;
            }
        }
        self.usual += (ratio - self.usual) * USUAL_WEIGHT;
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
        let weight = MAX_WEIGHT * self.trust * decay;
        // Measured latencies already contain a part of what the figure says, so it applies to the usual latency.
        let change = self.usual * report.factor / measured;
        measured * (1.0 + weight * (change.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1) - 1.0))
    }
}
