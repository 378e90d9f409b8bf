/// Number of samples kept per leaf. 128 samples give a usable p95 and take 512 bytes.
const WINDOW_SAMPLES: usize = 128;

/// Number of samples between recomputations of the median, which spreads the cost of the selection.
const MEDIAN_INTERVAL: u8 = 8;

/// The most recent service times of one leaf, in microseconds.
#[derive(Clone, Debug, Default)]
pub struct LatencyWindow {
    samples: Vec<u32>,
    next_index: usize,
    median: u32,
    /// Samples added since the median was last computed.
    since_median: u8,
}

impl LatencyWindow {
    /// Adds a sample, replacing the oldest one when the window is full.
    pub fn record(&mut self, micros: u32) {
        if self.samples.len() < WINDOW_SAMPLES {
            self.samples.push(micros);
        } else {
            self.samples[self.next_index] = micros;
            self.next_index = (self.next_index + 1) % WINDOW_SAMPLES;
        }
        self.since_median += 1;
        if self.since_median >= MEDIAN_INTERVAL || self.samples.len() < WINDOW_SAMPLES / 8 {
            self.since_median = 0;
            self.median = self.quantile(0.5);
        }
    }

    /// Returns the median in microseconds, or zero if there is no sample.
    ///
    /// The value is updated on every eighth sample, and on every sample while there are fewer than 16.
    pub fn median(&self) -> u32 {
        self.median
    }

    /// Returns the number of samples in the window.
    pub fn len(&self) -> usize {
        self.samples.len()
    }

    /// Returns whether the window is empty.
    pub fn is_empty(&self) -> bool {
        self.samples.is_empty()
    }

    /// Returns the sample at `quantile` (0 to 1) in microseconds, or zero if there is no sample.
    pub fn quantile(&self, quantile: f64) -> u32 {
        if self.samples.is_empty() {
            return 0;
        }
        let mut scratch = [0; WINDOW_SAMPLES];
        let scratch = &mut scratch[..self.samples.len()];
        scratch.copy_from_slice(&self.samples);
        let last = scratch.len() - 1;
        let rank = (quantile.clamp(0.0, 1.0) * last as f64).round() as usize;
        *scratch.select_nth_unstable(rank.min(last)).1
    }
}
