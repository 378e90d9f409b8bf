use std::time::Duration;

use rand::Rng;

/// Least time after which a refused caller may come back: a shard with room for a part of the requests works off some
/// within it.
const LEAST: Duration = Duration::from_millis(100);

/// Share of that time over which callers are spread, so that those who were refused together do not return together.
const SPREAD: f64 = 1.0;

/// Share of that time by which each rank returns after the one above it.
const RANK_GAP: f64 = 0.5;

/// Rank from which on callers are treated alike: the least urgent ones wait three times as long, not for good.
const LAST_RANK: u32 = 4;

/// Returns when a refused caller may come back. `earliest` is the time after which something may have changed, `rank`
/// the urgency of the route, 0 for the most urgent.
///
/// Load pattern answered here: a service has no leaf for seconds, and all callers are refused at the same moment.
pub fn retry_after(earliest: Duration, rank: u32, rng: &mut impl Rng) -> Duration {
    let order = RANK_GAP * f64::from(rank.min(LAST_RANK));
    earliest
        .max(LEAST)
        .mul_f64(1.0 + order + rng.random_range(0.0..SPREAD))
}
