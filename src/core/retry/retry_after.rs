use std::time::Duration;

use rand::Rng;

/// Minimum time after which a rejected caller may retry. In this time an overloaded shard completes some requests.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum random extension, as a fraction of the delay, so that callers rejected together do not retry together.
const JITTER: f64 = 1.0;

/// Extension for each step of priority, as a fraction of the delay.
const PRIORITY_STEP: f64 = 0.5;

/// Priority from which on all callers are treated alike. This bounds the delay of the least urgent callers to three
/// times that of the most urgent ones.
const LAST_PRIORITY: u32 = 4;

/// Returns the time after which a rejected caller may retry.
///
/// `earliest` is the time after which a retry may succeed, `priority` the priority of the route, with 0 as the most
/// urgent. Designed for a service that has no leaf for seconds and whose callers are all rejected at the same moment.
pub fn retry_after(earliest: Duration, priority: u32, rng: &mut impl Rng) -> Duration {
    let extension = PRIORITY_STEP * f64::from(priority.min(LAST_PRIORITY));
    earliest
        .max(MIN_RETRY_DELAY)
        .mul_f64(1.0 + extension + rng.random_range(0.0..JITTER))
}
