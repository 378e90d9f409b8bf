use std::time::Duration;

use cranberrychute::core::{
    Time,
    retry::{Purpose, RetryBounds, RetryBudget},
};
use proptest::{collection::vec, prelude::*};

use crate::{at, seeds};

const BOUNDS: RetryBounds = RetryBounds {
    ratio: 0.2,
    window: Duration::from_secs(10),
    slack: 56.0,
};
/// Nodes that the slack is split among: eight that are seen and four that are not.
const PLANNED: usize = 12;

/// Makes an extra send if the budget allows it.
fn spend(budget: &mut RetryBudget, now: Time, purpose: Purpose) -> bool {
    let allowed = budget.allows(now, &BOUNDS, PLANNED, purpose);
    if allowed {
        budget.spend(now, &BOUNDS);
    }
    allowed
}

proptest! {
    #![proptest_config(seeds::proptest_config())]

    /// Guards against more extra sends than all nodes together may make, when every node spends all it can: steady
    /// load, bursts, quiet times, restarts that forget what was spent.
    #[test]
    fn all_nodes_together_stay_within_the_bound(
        steps in vec((0..PLANNED, 0..40_u32, 0..400_u64, proptest::bool::weighted(0.002)), 100..300),
    ) {
        let mut budgets: Vec<RetryBudget> = (0..PLANNED).map(|_| RetryBudget::default()).collect();
        let mut now = 0;
        let (mut requests, mut extra) = (Vec::new(), Vec::new());
        let mut restarts = Vec::new();
        for (node, count, pause, restart) in steps {
            now += pause;
            if restart {
                budgets[node] = RetryBudget::default();
                restarts.push(now);
            }
            for _ in 0..count {
                budgets[node].earn(at(now), &BOUNDS);
                requests.push(now);
            }
            while spend(&mut budgets[node], at(now), Purpose::RequiredRetry) {
                extra.push(now);
            }
        }
        let window = BOUNDS.window.as_millis() as u64;
        let count = |times: &[u64], from: u64, to: u64| {
            let upto = |end: u64| times.partition_point(|time| *time <= end);
            (upto(to) - upto(from)) as f64
        };
        for end in extra.iter().copied() {
            let start = end.saturating_sub(window);
            let spent = count(&extra, start, end);
            // A request counts in its window, the one before or the one half a window before.
            let earned = [0, window / 2, window]
                .map(|shift| count(&requests, start.saturating_sub(shift), end.saturating_sub(shift)));
            let earned = earned.into_iter().fold(0.0, f64::max);
            // A restart forgets the slack that was spent.
            let again = count(&restarts, start, end) * (BOUNDS.slack / PLANNED as f64);
            let most = BOUNDS.ratio * earned + BOUNDS.slack + again;
            prop_assert!(spent <= most, "{spent} extra sends up to {end} ms, {most} allowed");
        }
    }
}

/// Guards against a node that has just started and spends the whole slack at once.
#[test]
fn a_new_node_starts_with_its_part_of_the_slack() {
    let mut budget = RetryBudget::default();
    let spent = (0..100)
        .filter(|_| spend(&mut budget, at(0), Purpose::RequiredRetry))
        .count();
    assert_eq!(spent, 4);
}

/// Guards against a budget that is spent for good after one bad time.
#[test]
fn the_budget_returns_after_a_window() {
    let mut budget = RetryBudget::default();
    while spend(&mut budget, at(0), Purpose::RequiredRetry) {}
    assert!(!spend(&mut budget, at(9_000), Purpose::RequiredRetry));
    assert!(spend(&mut budget, at(10_500), Purpose::RequiredRetry));
}

/// Pauses and slow leafs make many late sends before half of the leafs begin to lose answers: the hedges of before
/// must leave enough for the requests that fail otherwise.
#[test]
fn hedges_leave_budget_for_failures() {
    let mut budget = RetryBudget::default();
    for _ in 0..200 {
        budget.earn(at(0), &BOUNDS);
    }
    let mut count = |purpose| {
        (0..)
            .take_while(|_| spend(&mut budget, at(0), purpose))
            .count()
    };
    let (hedges, repairs, rescues) = (
        count(Purpose::OptionalHedge),
        count(Purpose::OptionalRetry),
        count(Purpose::RequiredRetry),
    );
    assert!((20..=24).contains(&hedges), "{hedges} hedges");
    assert!((7..=10).contains(&repairs), "{repairs} repairs");
    assert!((9..=11).contains(&rescues), "{rescues} rescues");
}
