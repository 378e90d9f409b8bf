use std::time::Duration;

use cranberrychute::core::retry::retry_after;
use rand::SeedableRng;
use rand_pcg::Pcg64;

/// Returns when each of 400 callers that are refused at the same moment comes back, sorted.
fn returns(earliest: Duration, rank: u32) -> Vec<Duration> {
    let mut rng = Pcg64::seed_from_u64(1);
    let mut times: Vec<Duration> = (0..400)
        .map(|_| retry_after(earliest, rank, &mut rng))
        .collect();
    times.sort_unstable();
    times
}

/// Guards against callers that return together, or before anything can have changed, and are refused again.
#[test]
fn refused_callers_return_spread_and_not_before_a_leaf_may_be_back() {
    for earliest in [0, 300, 2_000].map(Duration::from_millis) {
        let times = returns(earliest, 0);
        assert!(times[0] >= earliest.max(Duration::from_millis(100)));
        let tenth = earliest.max(Duration::from_millis(100)) / 10;
        let crowd = times
            .iter()
            .filter(|time| **time < times[0] + tenth)
            .count();
        assert!(crowd < 80, "{crowd} of 400 within a tenth of the time");
    }
}

/// Guards against urgent callers that queue behind less urgent ones, and against kinds that never return.
#[test]
fn urgent_callers_return_first_and_none_is_put_off_for_good() {
    let earliest = Duration::from_millis(400);
    let median = |rank| returns(earliest, rank)[200];
    assert!(median(0) < median(1) && median(1) < median(2));
    assert!(returns(earliest, 9)[399] <= earliest * 4);
}
