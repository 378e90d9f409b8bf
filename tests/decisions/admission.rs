use crate::overload::{Kind, Repeat, Scenario, Tally, Trace};

/// Maximum time to a rejection, as a share of the objective. A poll may be one interval of the model late.
const MAX_REJECTION_SHARE: f64 = 0.27;

/// Returns large queries (objective 150 ms) and urgent ones (50 ms), a quarter of all, whose sum is `factor` times the
/// capacity during the surge and 0.4 times before and after it.
fn two_kinds(factor: f64) -> Scenario {
    let mut scenario = Scenario::new(Vec::new());
    let capacity = scenario.capacity();
    let mut large = Kind::new(capacity * 0.3, 150, 2);
    large.surge = capacity * factor * 0.75;
    let mut urgent = Kind::new(capacity * 0.1, 50, 0);
    urgent.surge = capacity * factor * 0.25;
    scenario.kinds = vec![large, urgent];
    scenario
}

/// Runs a scenario without and with admission.
fn compare(name: &str, scenario: &Scenario) -> [(Vec<Tally>, Trace); 2] {
    [false, true].map(|admission| {
        let scenario = Scenario {
            admission,
            ..scenario.clone()
        };
        let (tallies, trace) = scenario.run();
        println!("{name}, admission {admission}: {trace:?}");
        tallies.iter().for_each(|tally| println!("  {tally}"));
        (tallies, trace)
    })
}

fn in_time(tallies: &[Tally]) -> u32 {
    tallies.iter().map(|tally| tally.in_time).sum()
}

fn share(tally: &Tally) -> f64 {
    f64::from(tally.in_time) / f64::from(tally.sent)
}

/// Guards against gathers that hold slots which others need, so that most callers are answered late or not at all.
#[test]
fn more_queries_are_in_time_under_overload() {
    // Demand, minimum gain over no admission, minimum share of urgent queries in time.
    for (factor, gain, urgent) in [(1.7, 1.5, 0.75), (4.0, 2.0, 0.5)] {
        for seed in 1..=2 {
            let scenario = Scenario {
                seed,
                ..two_kinds(factor)
            };
            let [(before, _), (after, _)] = compare(&format!("demand x{factor}"), &scenario);
            let gained = f64::from(in_time(&after)) / f64::from(in_time(&before));
            assert!(gained >= gain, "{gained} times as many in time");
            assert!(share(&after[1]) >= urgent, "urgent: {}", share(&after[1]));
            for tally in &after {
                assert!(tally.longest_rejection <= MAX_REJECTION_SHARE);
            }
            if factor > 2.0 {
                assert!(after[1].mean_told_ms() < after[0].mean_told_ms());
            }
        }
    }
}

/// Guards against rejections where the leaves have room: below the capacity, while leaves pause for 150 ms, and with one leaf
/// of three slow or hung.
#[test]
fn nothing_waits_without_overload() {
    let mut pauses = two_kinds(0.6);
    pauses.pause_every_ms = Some(3_600);
    pauses.leaves = 3;
    let mut slow = two_kinds(0.4);
    slow.slow = 1;
    slow.leaves = 3;
    let mut hung = two_kinds(0.4);
    hung.hung = 1;
    hung.leaves = 3;
    for (name, scenario) in [
        ("half", two_kinds(0.5)),
        ("below the capacity", two_kinds(0.8)),
        ("pauses", pauses),
        ("a slow leaf", slow),
        ("a hung leaf", hung),
    ] {
        let [(before, _), (after, trace)] = compare(name, &scenario);
        assert_eq!(trace.limited_at_ms, None, "{name}");
        assert_eq!(trace.most_queued, 0, "{name}");
        assert_eq!(before, after, "{name}");
    }
}

#[test]
fn half_of_the_leaves_slow_under_a_burst() {
    let mut scenario = two_kinds(1.0);
    scenario.slow = 1;
    let [(before, _), (after, _)] = compare("half of the leaves slow", &scenario);
    assert!(f64::from(in_time(&after)) >= 1.3 * f64::from(in_time(&before)));
    assert!(share(&after[1]) >= 2.0 * share(&before[1]));
}

/// Guards against a caller that gets capacity by sending more than the others.
#[test]
fn one_flow_does_not_crowd_out_the_others() {
    let mut scenario = two_kinds(1.7);
    scenario.kinds[0].surge /= 10.0;
    let mut heavy = scenario.kinds[0].clone();
    heavy.surge *= 9.0;
    heavy.flows = 1;
    scenario.kinds.push(heavy);
    let [_, (after, _)] = compare("one flow sends 72 times as much as another", &scenario);
    assert!(share(&after[0]) >= 0.93, "others: {}", share(&after[0]));
    assert!(share(&after[2]) >= 0.3, "heavy: {}", share(&after[2]));
}

/// Guards against callers that gain by repeating at once, and against retry times that are not true.
#[test]
fn callers_that_return_as_told_are_served_as_well_as_those_that_repeat_at_once() {
    let mut scenario = two_kinds(1.7);
    scenario.kinds[0].surge /= 2.0;
    scenario.kinds[0].timeout_ms = 3_000;
    scenario.kinds[0].repeat = Repeat::AsTold;
    let mut at_once = scenario.kinds[0].clone();
    at_once.repeat = Repeat::AtOnce;
    scenario.kinds.push(at_once);
    let [_, (after, _)] = compare("repeats as told and at once", &scenario);
    assert!(share(&after[0]) >= share(&after[2]) - 0.02);
    assert!(share(&after[0]) >= 0.8, "as told: {}", share(&after[0]));
    assert!(share(&after[1]) >= 0.7, "urgent: {}", share(&after[1]));
}

/// Guards against a priority that gets nothing while a more urgent one alone exceeds the capacity: a tenth of the capacity
/// is reserved for flows that received little.
#[test]
fn the_least_urgent_flows_get_their_minimum_share() {
    let mut scenario = two_kinds(1.0);
    let capacity = scenario.capacity();
    scenario.kinds[0].surge = capacity;
    scenario.kinds[1].surge = 3.0 * capacity;
    scenario.kinds[1].objective_ms = 150;
    let [_, (after, _)] = compare("urgent queries flood", &scenario);
    // The seconds of the surge after the limit was switched on.
    let served: u32 = (2..5).map(|second| after[0].by_second[&second].1).sum();
    let minimum = 0.07 * capacity * 3.0;
    assert!(f64::from(served) >= minimum, "{served} of {minimum}");
}

/// Guards against a limit that outlasts the overload.
#[test]
fn service_recovers_after_the_overload() {
    let mut scenario = two_kinds(4.0);
    scenario.surge_ms = (1_000, 3_000);
    scenario.duration_ms = 9_000;
    let [_, (after, trace)] = compare("two seconds of overload", &scenario);
    for tally in &after {
        for second in 4..9 {
            let (sent, in_time) = tally.by_second[&second];
            assert!(
                f64::from(in_time) >= 0.99 * f64::from(sent),
                "{in_time} of {sent} in second {second}"
            );
        }
    }
    assert!(trace.limited_at_ms.is_some());
    assert_eq!(trace.last_limit, None, "the limit is still on");
}

/// Guards against places that callers keep after they have left.
#[test]
fn callers_that_leave_free_their_places() {
    let mut scenario = two_kinds(1.7);
    scenario.kinds[0].leaves = 0.5;
    let [(before, _), (after, trace)] = compare("half of the callers leave", &scenario);
    assert_eq!(trace.held, 0);
    assert_eq!(trace.last_queued, 0);
    assert_eq!(trace.last_in_flight, 0);
    assert!(in_time(&after) >= in_time(&before));
}

/// Guards against a limit that costs more than it gains near the capacity, where pauses of leaves leave no room for a moment.
#[test]
fn little_is_lost_near_the_capacity() {
    for leaves in [2, 3] {
        let mut scenario = two_kinds(0.85);
        scenario.leaves = leaves;
        for kind in &mut scenario.kinds {
            kind.rate *= leaves as f64 / 2.0;
            kind.surge *= leaves as f64 / 2.0;
        }
        scenario.pause_every_ms = Some(3_600);
        let [(before, _), (after, _)] = compare("pauses near the capacity", &scenario);
        let kept = f64::from(in_time(&after)) / f64::from(in_time(&before));
        assert!(kept >= 0.96, "{kept} of the queries in time");
    }
}
