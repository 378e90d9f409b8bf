use std::time::Duration;

use cranberrychute::core::retry::retry_after;
use rand::SeedableRng;
use rand_pcg::Pcg64;

/// Returns the sorted retry times of 400 callers that are rejected at the same moment.
fn retry_times(earliest: Duration, priority: u32) -> Vec<Duration> {
    let mut rng = Pcg64::seed_from_u64(1);
    let mut times: Vec<Duration> = (0..400)
        .map(|_| retry_after(earliest, priority, &mut rng))
        .collect();
    times.sort_unstable();
    times
}

/// Guards against callers that retry together, or before a leaf can be available again, and are rejected again.
#[test]
fn retry_times_are_spread_and_not_before_earliest() {
    for earliest in [0, 300, 2_000].map(Duration::from_millis) {
        let times = retry_times(earliest, 0);
        assert!(times[0] >= earliest.max(Duration::from_millis(100)));
        let tenth = earliest.max(Duration::from_millis(100)) / 10;
        let count = times
            .iter()
            .filter(|time| **time < times[0] + tenth)
            .count();
        assert!(
            count < 80,
            "{count} of 400 callers retry within a tenth of the delay"
        );
    }
}

/// Guards against urgent callers that retry after less urgent ones, and against unbounded delays of low priorities.
#[test]
fn urgent_callers_retry_first_and_delays_are_bounded() {
    let earliest = Duration::from_millis(400);
    let median = |priority| retry_times(earliest, priority)[200];
    assert!(median(0) < median(1) && median(1) < median(2));
    assert!(retry_times(earliest, 9)[399] <= earliest * 4);
}
