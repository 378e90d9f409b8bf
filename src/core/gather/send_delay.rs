use std::time::Duration;

/// Weight of an answer that left later than expected.
const RISE: f64 = 0.25;

/// Weight of one that left sooner: smaller, so that the expectation lies near the later ones.
const FALL: f64 = 0.05;

/// How long after the time planned for it an answer leaves, since its node is busy.
///
/// Load pattern answered here: VMs of unequal size. On a tenth of a core, putting an answer together and whatever else
/// is due at that moment takes longer than all ways through the network.
#[derive(Clone, Copy, Debug, Default)]
pub struct SendDelay {
    expected: Duration,
}

impl SendDelay {
    /// Records that an answer left this long after its time.
    pub fn record(&mut self, late: Duration) {
        let (late, expected) = (late.as_secs_f64(), self.expected.as_secs_f64());
        let weight = if late > expected { RISE } else { FALL };
        self.expected = Duration::from_secs_f64(expected + (late - expected) * weight);
    }

    /// Returns how late an answer has to be expected.
    pub fn expected(&self) -> Duration {
        self.expected
    }
}
