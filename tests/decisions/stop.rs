//! When a stopping node ends its intake, its requests in progress and its process.

use std::time::Duration;

use cranberrychute::core::{StopPhase, StopPlan, Unfinished, lag::LoopLag};
use proptest::prelude::*;

use crate::at;

/// Time for which callers may use the address of a node that is stopping.
const CACHED: Duration = Duration::from_millis(3_300);

/// Plays a stop that starts at 1 s and is checked every 10 ms. `requests` returns the number of requests in progress at a
/// time after the start; each has a connection. Returns when each phase began.
fn play(grace: Duration, requests: impl Fn(u64, StopPhase) -> usize) -> Vec<(u64, StopPhase)> {
    play_plan(StopPlan::new(at(1_000), grace, CACHED), requests)
}

fn play_plan(
    mut plan: StopPlan,
    requests: impl Fn(u64, StopPhase) -> usize,
) -> Vec<(u64, StopPhase)> {
    let mut phase = StopPhase::Running;
    let mut phases = Vec::new();
    for elapsed in (0..60_000).step_by(10) {
        let requests = requests(elapsed, phase);
        let unfinished = Unfinished {
            requests,
            connections: requests,
        };
        let next = plan.next(at(1_000 + elapsed), phase, unfinished);
        if next != phase {
            phases.push((elapsed, next));
            phase = next;
        }
    }
    assert_eq!(phase, StopPhase::Done, "{phases:?}");
    phases
}

/// Guards against a node that accepts requests until it exits, since steady load leaves no moment without one.
#[test]
fn the_intake_ends_under_steady_load_and_requests_in_progress_finish() {
    // Requests take 120 ms and come without a gap until the intake ends.
    let phases = play(Duration::from_secs(6), |elapsed, phase| match phase {
        StopPhase::Running | StopPhase::Withdrawn => 6,
        _ => usize::from(elapsed < 4_000 + 120) * 5,
    });
    assert_eq!(
        phases,
        [
            (0, StopPhase::Withdrawn),
            (4_000, StopPhase::Draining),
            (4_120, StopPhase::Done),
        ]
    );
}

/// Guards against callers that are refused while the process waits for one slow request, although a moment without requests
/// would have come.
#[test]
fn the_intake_ends_in_a_moment_without_requests() {
    // Requests of 60 ms come every 100 ms.
    let phases = play(Duration::from_secs(6), |elapsed, phase| match phase {
        StopPhase::Running | StopPhase::Withdrawn => usize::from(elapsed % 100 < 60),
        _ => 0,
    });
    assert_eq!(
        phases[1..],
        [(3_360, StopPhase::Draining), (3_370, StopPhase::Done)]
    );
}

/// Guards against an exit with answers that are not written yet: their requests have ended, their connections have not.
#[test]
fn connections_are_waited_for_after_their_requests() {
    let mut plan = StopPlan::new(at(0), Duration::from_secs(6), CACHED);
    let unfinished = |connections| Unfinished {
        requests: 0,
        connections,
    };
    let mut next =
        |at_ms, connections| plan.next(at(at_ms), StopPhase::Draining, unfinished(connections));
    assert_eq!(next(3_500, 2), StopPhase::Draining);
    assert_eq!(next(3_500, 0), StopPhase::Done);
    assert_eq!(next(5_750, 2), StopPhase::Done);
}

/// Guards against requests that are cut at the exit because they take longer than the rest of the grace period.
#[test]
fn requests_that_do_not_finish_are_ended_before_the_exit() {
    let phases = play(Duration::from_secs(6), |elapsed, _| {
        usize::from(elapsed < 5_510)
    });
    assert_eq!(
        phases[2..],
        [(5_500, StopPhase::Aborting), (5_510, StopPhase::Done)]
    );
    // A caller that reads slowly is given up at the end.
    let phases = play(Duration::from_secs(6), |_, _| 1);
    assert_eq!(phases.last(), Some(&(5_750, StopPhase::Done)));
}

/// Guards against an exit with connections that wait to be accepted.
#[test]
fn an_unused_node_ends_its_intake_before_it_exits() {
    let phases = play(Duration::from_secs(6), |_, _| 0);
    assert_eq!(
        phases[1..],
        [(3_300, StopPhase::Draining), (3_310, StopPhase::Done)]
    );
}

/// Guards against requests that are cut since the process was paused from the intake's end until it has to exit.
#[test]
fn requests_are_answered_however_late_their_end_is_noticed() {
    let mut plan = StopPlan::new(at(0), Duration::from_secs(6), CACHED);
    let unfinished = Unfinished {
        requests: 2,
        connections: 2,
    };
    let mut next = |at_ms, phase| plan.next(at(at_ms), phase, unfinished);
    assert_eq!(next(5_900, StopPhase::Withdrawn), StopPhase::Draining);
    assert_eq!(next(5_910, StopPhase::Draining), StopPhase::Aborting);
    assert_eq!(next(5_920, StopPhase::Aborting), StopPhase::Done);
    // Many answers are not written within one interval of the checks.
    let mut plan = StopPlan::new(at(0), Duration::from_secs(6), CACHED);
    let mut next = |at_ms, phase| plan.next(at(at_ms), phase, unfinished);
    assert_eq!(next(5_760, StopPhase::Draining), StopPhase::Aborting);
    assert_eq!(next(5_890, StopPhase::Aborting), StopPhase::Aborting);
    assert_eq!(next(5_900, StopPhase::Aborting), StopPhase::Done);
}

/// Guards against a process that skips the steps of its stop because it has been paused for longer than the grace period:
/// the signal may have been sent at the end of the pause.
#[test]
fn requests_are_answered_after_a_pause_longer_than_the_grace_period() {
    let grace = Duration::from_secs(6);
    let plan = StopPlan::after_delay(at(1_000), Duration::from_secs(20), grace, CACHED);
    let phases = play_plan(plan, |_, phase| usize::from(phase < StopPhase::Done));
    assert_eq!(
        phases,
        [
            (0, StopPhase::Withdrawn),
            (10, StopPhase::Draining),
            (20, StopPhase::Aborting),
            (270, StopPhase::Done),
        ]
    );
}

proptest! {
    /// Requests in progress are answered before SIGKILL, wherever in a stall the signal was sent, and no sooner than the
    /// stall may have begun.
    #[test]
    fn a_stop_signaled_during_a_stall_ends_within_the_grace_period(
        stall_from in 0_u64..165,
        stall in 0_u64..4_800,
        sent_after in 0.0..1.0,
        timer_first in any::<bool>(),
        has_fired in any::<bool>(),
    ) {
        const INTERVAL: u64 = 165;
        let grace = Duration::from_secs(6);
        let mut lag = LoopLag::default();
        if has_fired {
            lag.schedule(at(1_000 - INTERVAL));
            lag.record(at(1_000 - INTERVAL + 1));
            lag.schedule(at(1_000));
            lag.record(at(1_000));
        }
        lag.schedule(at(1_000 + INTERVAL));
        let handled = 1_000 + stall_from + stall;
        let sent = 1_000 + stall_from + (stall as f64 * sent_after) as u64;
        if timer_first && handled >= 1_000 + INTERVAL {
            lag.record(at(handled));
            lag.schedule(at(handled + 10));
        }
        let late = lag.signal_delay(at(handled), Duration::from_millis(INTERVAL));
        let late_ms = late.as_millis() as u64;
        // A stall that ends before the timer is due is not noticed.
        prop_assert!(late_ms + INTERVAL + 5 >= handled - sent);
        prop_assert!(late_ms <= stall + 2 * INTERVAL);
        let mut plan = StopPlan::after_delay(at(handled), late, grace, CACHED);
        let mut phase = StopPhase::Running;
        for now in (handled..handled + 8_000).step_by(10) {
            let requests = usize::from(phase < StopPhase::Aborting);
            let unfinished = Unfinished { requests, connections: 1 };
            let next = plan.next(at(now), phase, unfinished);
            if next == StopPhase::Aborting && phase != next {
                prop_assert!(now - sent <= 6_000 - 300, "{now} {sent} {late_ms}");
            }
            if next == StopPhase::Done {
                prop_assert!(now - sent < 6_000, "{now} {sent} {late_ms}");
                prop_assert_eq!(phase, StopPhase::Aborting);
                return Ok(());
            }
            phase = next;
        }
        prop_assert!(false, "no exit");
    }
    /// The phases come in order and the process exits within any grace period.
    #[test]
    fn a_stop_ends_within_the_grace_period(
        grace_ms in 300_u64..40_000,
        work_ms in 0_u64..50_000,
    ) {
        let grace = Duration::from_millis(grace_ms);
        let phases = play(grace, |elapsed, _| usize::from(elapsed < work_ms));
        prop_assert!(phases.is_sorted_by_key(|(_, phase)| *phase));
        let at = |phase| phases.iter().find(|(_, it)| *it == phase).map(|(at, _)| *at);
        let (draining, done) = (at(StopPhase::Draining).unwrap(), at(StopPhase::Done).unwrap());
        prop_assert!(done < grace_ms || grace_ms < 300);
        prop_assert!(draining <= 4_310 && draining < done);
        if let Some(aborting) = at(StopPhase::Aborting) {
            prop_assert!(grace_ms < 2_500 || aborting - draining >= 1_490);
        }
    }
}
