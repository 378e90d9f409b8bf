use std::time::Duration;

/// Factor on the delay of hedges that cross failure domains, if the time left allows it. In virtual time, a quarter fewer
/// calls cross with it, and no more are late.
const CROSSING_FACTOR: f64 = 1.4;

/// Share of the time left until the objective up to which the factor applies. A second hedge has the same time again, since
/// the leaf that gets the first one may be paused as well.
const MAX_SHARE: f64 = 0.25;

/// Returns the time without an answer after which a call is hedged if the hedge crosses failure domains. It is never
/// shorter than `hedge_delay`, the delay of a hedge that stays in the domain.
pub fn crossing_hedge_delay(hedge_delay: Duration, time_left: Duration) -> Duration {
    let later = hedge_delay.mul_f64(CROSSING_FACTOR);
    hedge_delay.max(later.min(time_left.mul_f64(MAX_SHARE)))
}
