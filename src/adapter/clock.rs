use rustix::time::{ClockId, clock_gettime};

use crate::core::Time;

/// The node's monotonic clock, which also counts the time during which the VM was suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock;

impl Clock {
    /// Reads the clock.
    pub fn now(self) -> Time {
        let spec = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(spec.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(spec.tv_nsec).unwrap_or(0);
        Time(seconds * 1_000_000 + nanos / 1_000)
    }
}
