use std::time::Duration;

/// Weight of a delay above the estimate.
const RISE_WEIGHT: f64 = 0.25;

/// Weight of a delay below the estimate. It is smaller, so that the estimate stays near the longer delays.
const FALL_WEIGHT: f64 = 0.05;

/// Estimates the delay between the planned and the actual sending time of an answer on this node.
///
/// The delay depends on the size and load of the VM. On a tenth of a core, assembling an answer and the other work
/// that is due at that moment take longer than all network round trips of the request.
#[derive(Clone, Copy, Debug, Default)]
pub struct SendDelay {
    expected: Duration,
}

impl SendDelay {
    /// Records that an answer was sent `delay` after its planned time.
    pub fn record(&mut self, delay: Duration) {
        let (delay, expected) = (delay.as_secs_f64(), self.expected.as_secs_f64());
        let weight = if delay > expected {
            RISE_WEIGHT
        } else {
            FALL_WEIGHT
        };
        self.expected = Duration::from_secs_f64(expected + (delay - expected) * weight);
    }

    /// Returns the expected delay of the next answer.
    pub fn expected(&self) -> Duration {
        self.expected
    }
}
