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
/// Number of nodes among which the slack is split: eight known ones and four that may be running unseen.
const PLANNED_NODES: usize = 12;

/// Makes an extra call if the budget allows it. Returns whether it did.
fn try_spend(budget: &mut RetryBudget, now: Time, purpose: Purpose) -> bool {
    let allowed = budget.allows(now, &BOUNDS, PLANNED_NODES, purpose);
    if allowed {
        budget.spend(now, &BOUNDS);
    }
    allowed
}

proptest! {
    #![proptest_config(seeds::proptest_config())]

    /// Guards against more extra calls than the limit for all nodes together, when every node spends its whole budget
    /// under steady load, bursts, idle times and restarts, which reset what was spent.
    #[test]
    fn all_nodes_together_stay_within_the_limit(
        steps in vec((0..PLANNED_NODES, 0..40_u32, 0..400_u64, proptest::bool::weighted(0.002)), 100..300),
    ) {
        let mut budgets: Vec<RetryBudget> = (0..PLANNED_NODES).map(|_| RetryBudget::default()).collect();
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
            while try_spend(&mut budgets[node], at(now), Purpose::RequiredRetry) {
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
            // A request may count in this window, the previous one or the one that starts half a window earlier.
            let earned = [0, window / 2, window]
                .map(|shift| count(&requests, start.saturating_sub(shift), end.saturating_sub(shift)));
            let earned = earned.into_iter().fold(0.0, f64::max);
            // A restarted node may spend its part of the slack again.
            let restart_slack = count(&restarts, start, end) * (BOUNDS.slack / PLANNED_NODES as f64);
            let limit = BOUNDS.ratio * earned + BOUNDS.slack + restart_slack;
            prop_assert!(spent <= limit, "{spent} extra calls up to {end} ms, {limit} allowed");
        }
    }
}

/// Guards against a newly started node that spends the whole slack at once.
#[test]
fn a_new_node_starts_with_its_part_of_the_slack() {
    let mut budget = RetryBudget::default();
    let spent = (0..100)
        .filter(|_| try_spend(&mut budget, at(0), Purpose::RequiredRetry))
        .count();
    assert_eq!(spent, 4);
}

/// Guards against a budget that stays exhausted after a disturbance.
#[test]
fn the_budget_is_restored_after_a_window() {
    let mut budget = RetryBudget::default();
    while try_spend(&mut budget, at(0), Purpose::RequiredRetry) {}
    assert!(!try_spend(&mut budget, at(9_000), Purpose::RequiredRetry));
    assert!(try_spend(&mut budget, at(10_500), Purpose::RequiredRetry));
}

/// Guards against hedged calls that use up the budget. Pauses and slow leaves cause many hedged calls before half of
/// the leaves begin to lose answers; enough budget must be left for the requests that would otherwise fail.
#[test]
fn hedged_calls_leave_budget_for_retries() {
    let mut budget = RetryBudget::default();
    for _ in 0..200 {
        budget.earn(at(0), &BOUNDS);
    }
    let mut count = |purpose| {
        (0..)
            .take_while(|_| try_spend(&mut budget, at(0), purpose))
            .count()
    };
    let (hedges, optional_retries, required_retries) = (
        count(Purpose::OptionalHedge),
        count(Purpose::OptionalRetry),
        count(Purpose::RequiredRetry),
    );
    assert!((20..=24).contains(&hedges), "{hedges} hedged calls");
    assert!(
        (7..=10).contains(&optional_retries),
        "{optional_retries} optional retries"
    );
    assert!(
        (9..=11).contains(&required_retries),
        "{required_retries} required retries"
    );
}
