use std::time::Duration;

use bytes::Bytes;
use cranberrychute::core::{
    Time,
    gather::{
        Completion, Failure, Plan, PlanSettings, RECORD_BYTES, Step, crossing_hedge_delay,
        merge_top,
    },
    placement::Contention,
    retry::Purpose,
};
use proptest::{collection::vec, prelude::*};

use crate::{at, seeds};

const TYPICAL_MS: u64 = 8;
const HEDGE_DELAY_MS: u64 = 20;
const PARTIAL_AT_MS: u64 = 72;
const DEADLINE_MS: u64 = 790;

fn settings(parts: usize, required: usize) -> PlanSettings {
    PlanSettings {
        parts,
        required,
        max_attempts: 2,
        repeatable: true,
        typical: Duration::from_millis(TYPICAL_MS),
        hedge_delay: Duration::from_millis(HEDGE_DELAY_MS),
        partial_at: at(PARTIAL_AT_MS),
        deadline: at(DEADLINE_MS),
    }
}

/// Sends all due parts and returns them.
fn send_due(plan: &mut Plan, now: Time) -> Vec<(usize, Option<Purpose>)> {
    let Step::Send(due) = plan.step(now) else {
        panic!("no part is due: {:?}", plan.step(now));
    };
    for (part, _) in &due {
        plan.record_sent(*part, now);
    }
    due.to_vec()
}

fn record_answers(plan: &mut Plan, parts: impl IntoIterator<Item = usize>) {
    for part in parts {
        plan.record_answer(part);
    }
}

#[test]
fn complete_answer_is_returned_immediately() {
    let mut plan = Plan::new(settings(10, 9), at(0));
    assert_eq!(send_due(&mut plan, at(0)).len(), 10);
    record_answers(&mut plan, 0..10);
    assert_eq!(plan.step(at(9)), Step::Finish(Completion::Answer));
}

/// Guards against missing or excess hedged calls when a leaf pauses: after the hedge delay only its part is sent
/// again, once.
#[test]
fn a_part_without_answer_is_hedged_once() {
    let mut plan = Plan::new(settings(10, 9), at(0));
    send_due(&mut plan, at(0));
    record_answers(&mut plan, 0..9);
    assert_eq!(plan.step(at(10)), Step::Wait(at(HEDGE_DELAY_MS)));
    assert_eq!(
        send_due(&mut plan, at(HEDGE_DELAY_MS)),
        [(9, Some(Purpose::OptionalHedge))]
    );
    assert_eq!(
        plan.step(at(HEDGE_DELAY_MS + 1)),
        Step::Wait(at(PARTIAL_AT_MS))
    );
    record_answers(&mut plan, [9]);
    assert_eq!(plan.step(at(30)), Step::Finish(Completion::Answer));
}

/// Guards against a late answer when one shard does not answer: the other parts are returned at the objective.
#[test]
fn a_partial_answer_is_returned_at_the_objective() {
    let mut plan = Plan::new(settings(10, 9), at(0));
    send_due(&mut plan, at(0));
    record_answers(&mut plan, 0..9);
    send_due(&mut plan, at(HEDGE_DELAY_MS));
    assert_eq!(
        plan.step(at(PARTIAL_AT_MS)),
        Step::Finish(Completion::Answer)
    );
    assert_eq!(plan.answered_count(), 9);
}

/// Guards against a wait for a shard whose leaves are all known to be down.
#[test]
fn a_part_without_an_available_leaf_does_not_delay_the_answer() {
    let mut plan = Plan::new(settings(10, 9), at(0));
    send_due(&mut plan, at(0));
    record_answers(&mut plan, 0..9);
    plan.record_failure(9, at(8), Failure::MayHaveRun);
    let Step::Send(due) = plan.step(at(8)) else {
        panic!("the failed part is not due");
    };
    assert_eq!(due.as_slice(), [(9, Some(Purpose::OptionalRetry))]);
    plan.record_no_leaf(9);
    assert_eq!(plan.step(at(8)), Step::Finish(Completion::Answer));
}

/// Guards against a request that runs until its deadline although it cannot succeed: two shards are down and only one
/// may be missing.
#[test]
fn a_request_that_cannot_succeed_ends_immediately() {
    let mut plan = Plan::new(settings(10, 9), at(0));
    plan.record_no_leaf(0);
    plan.record_no_leaf(1);
    assert_eq!(plan.step(at(0)), Step::Finish(Completion::Unreachable));
    assert!(!plan.may_have_run());
}

/// Guards against a failure or a further delay when too few parts have arrived at the objective: the answer is
/// returned as soon as the last required part arrives.
#[test]
fn a_late_answer_is_returned_with_the_last_required_part() {
    let mut plan = Plan::new(settings(10, 9), at(0));
    send_due(&mut plan, at(0));
    record_answers(&mut plan, 0..8);
    send_due(&mut plan, at(HEDGE_DELAY_MS));
    assert_eq!(plan.step(at(PARTIAL_AT_MS)), Step::Wait(at(DEADLINE_MS)));
    record_answers(&mut plan, [8]);
    assert_eq!(
        plan.step(at(PARTIAL_AT_MS + 40)),
        Step::Finish(Completion::Answer)
    );
}

#[test]
fn the_request_ends_at_its_deadline() {
    let mut plan = Plan::new(settings(10, 9), at(0));
    send_due(&mut plan, at(0));
    send_due(&mut plan, at(HEDGE_DELAY_MS));
    assert_eq!(
        plan.step(at(DEADLINE_MS)),
        Step::Finish(Completion::Timeout)
    );
    assert!(plan.may_have_run());
}

/// Guards against an at-most-once request that runs twice.
#[test]
fn at_most_once_is_not_sent_again_after_it_may_have_run() {
    let settings = PlanSettings {
        repeatable: false,
        ..settings(1, 1)
    };
    let mut plan = Plan::new(settings, at(0));
    send_due(&mut plan, at(0));
    assert_eq!(plan.step(at(HEDGE_DELAY_MS)), Step::Wait(at(PARTIAL_AT_MS)));
    plan.record_failure(0, at(100), Failure::MayHaveRun);
    assert_eq!(plan.step(at(100)), Step::Finish(Completion::Unreachable));
    assert!(plan.may_have_run());
}

/// Guards against an at-most-once request that fails although another leaf could run it: a rejected call is sent to
/// another leaf. If all leaves reject it, the request is reported as not run.
#[test]
fn at_most_once_is_sent_again_after_a_rejection() {
    let settings = PlanSettings {
        repeatable: false,
        ..settings(1, 1)
    };
    let mut plan = Plan::new(settings, at(0));
    send_due(&mut plan, at(0));
    plan.record_failure(0, at(5), Failure::NotRun);
    assert_eq!(
        send_due(&mut plan, at(5)),
        [(0, Some(Purpose::RequiredRetry))]
    );
    plan.record_failure(0, at(9), Failure::Shed);
    assert!(!plan.may_have_run());
    plan.record_no_leaf(0);
    assert_eq!(plan.step(at(9)), Step::Finish(Completion::Unreachable));
}

#[derive(Clone, Debug)]
enum Event {
    Answer(usize),
    Fail(usize, bool),
    NoRoom,
    NoLeaf,
    Advance(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..6_usize).prop_map(Event::Answer),
        (0..6_usize, any::<bool>()).prop_map(|(part, run)| Event::Fail(part, run)),
        Just(Event::NoRoom),
        Just(Event::NoLeaf),
        (1..60_u64).prop_map(Event::Advance),
    ]
}

proptest! {
    #![proptest_config(seeds::proptest_config())]

    /// Guards against more runs of a part than allowed, an answer with too few parts, a false "not run" and a request
    /// that never ends, for any order in which calls end.
    #[test]
    fn plans_keep_their_limits(events in vec(event(), 0..80), repeatable: bool) {
        let settings = PlanSettings { repeatable, ..settings(6, 5) };
        let mut plan = Plan::new(settings, at(0));
        let (mut in_flight, mut ran) = ([0_u32; 6], [0_u32; 6]);
        let mut events = events.into_iter();
        let mut now = 0;
        let completion = loop {
            match plan.step(at(now)) {
                Step::Finish(completion) => break completion,
                Step::Send(due) => match events.next() {
                    Some(Event::NoLeaf) => plan.record_no_leaf(due[0].0),
                    Some(Event::NoRoom) => plan.record_no_room(due[0].0, at(now)),
                    _ => for (part, _) in due {
                        plan.record_sent(part, at(now));
                        in_flight[part] += 1;
                        ran[part] += 1;
                        prop_assert!(ran[part] <= 2, "part {part} may run {} times", ran[part]);
                        prop_assert!(repeatable || in_flight[part] <= 1);
                    },
                },
                Step::Wait(until) => {
                    prop_assert!(until > at(now), "the plan waits for a time in the past");
                    match events.next() {
                        Some(Event::Answer(part)) if in_flight[part] > 0 => {
                            in_flight[part] -= 1;
                            plan.record_answer(part);
                        }
                        Some(Event::Fail(part, run)) if in_flight[part] > 0 => {
                            in_flight[part] -= 1;
                            if !run {
                                ran[part] -= 1;
                            }
                            let failure = if run { Failure::MayHaveRun } else { Failure::NotRun };
                            plan.record_failure(part, at(now), failure);
                        }
                        Some(Event::Advance(time)) => now += time.min(until.since(at(now)).as_millis() as u64),
                        _ => now += until.since(at(now)).as_millis() as u64,
                    }
                }
            }
        };
        prop_assert!(now <= DEADLINE_MS);
        match completion {
            Completion::Answer => prop_assert!(plan.answered_count() >= 5),
            Completion::Unreachable | Completion::Timeout => prop_assert!(plan.answered_count() < 5),
        }
        prop_assert_eq!(plan.may_have_run(), ran.iter().any(|ran| *ran > 0));
    }

    /// Guards against records that are lost, out of order or built from the trailing bytes of a part.
    #[test]
    fn merge_returns_the_greatest_records_in_order(parts in vec(vec(0..4_u8, 0..200), 0..6), top in 0..30_usize) {
        let parts: Vec<Bytes> = parts.into_iter().map(Bytes::from).collect();
        let mut all: Vec<&[u8]> = parts
            .iter()
            .flat_map(|part| part.chunks_exact(RECORD_BYTES))
            .collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.truncate(top);
        prop_assert_eq!(merge_top(parts.iter(), top), all.concat());
    }
}

/// Guards against a retry budget that is spent on optional parts while requests fail for lack of a required one.
#[test]
fn extra_calls_for_required_parts_have_a_required_purpose() {
    let mut plan = Plan::new(settings(10, 9), at(0));
    send_due(&mut plan, at(0));
    record_answers(&mut plan, 0..8);
    plan.record_failure(8, at(5), Failure::MayHaveRun);
    assert_eq!(
        send_due(&mut plan, at(5)),
        [(8, Some(Purpose::RequiredRetry))]
    );
    assert_eq!(
        send_due(&mut plan, at(HEDGE_DELAY_MS)),
        [(9, Some(Purpose::RequiredHedge))]
    );
}

/// Guards against a part that is given up because the budget allows no extra call: its first call is still awaited,
/// and the extra call is considered again later.
#[test]
fn a_late_part_without_budget_is_still_awaited() {
    let mut plan = Plan::new(settings(10, 9), at(0));
    send_due(&mut plan, at(0));
    record_answers(&mut plan, 0..9);
    plan.record_no_budget(9, at(HEDGE_DELAY_MS));
    assert_eq!(
        plan.step(at(HEDGE_DELAY_MS)),
        Step::Wait(at(HEDGE_DELAY_MS + 10))
    );
    assert_eq!(
        send_due(&mut plan, at(HEDGE_DELAY_MS + 10)),
        [(9, Some(Purpose::OptionalHedge))]
    );
}

/// Guards against immediate and unlimited resends while all leaves of a shard are at capacity for a moment.
#[test]
fn a_shed_part_is_sent_again_after_a_delay() {
    let mut plan = Plan::new(settings(1, 1), at(0));
    let mut send_times = Vec::new();
    let mut now = 0;
    let completion = loop {
        match plan.step(at(now)) {
            Step::Send(_) => {
                send_due(&mut plan, at(now));
                send_times.push(now);
                plan.record_failure(0, at(now), Failure::Shed);
            }
            Step::Wait(until) => now = until.since(at(0)).as_millis() as u64,
            Step::Finish(completion) => break completion,
        }
    };
    assert_eq!(send_times, [0, 5, 15, 30]);
    assert_eq!(completion, Completion::Unreachable);
    assert!(!plan.may_have_run());
}

/// Guards against calls that are sent for a request that can no longer succeed, and against reporting such unsent
/// calls as "may have run".
#[test]
fn reverted_sends_did_not_run() {
    let mut plan = Plan::new(settings(3, 3), at(0));
    plan.record_sent(0, at(0));
    plan.record_sent(1, at(0));
    plan.record_no_leaf(2);
    assert_eq!(plan.step(at(0)), Step::Finish(Completion::Unreachable));
    plan.revert_sent(0);
    plan.revert_sent(1);
    assert!(!plan.may_have_run());
}

/// Guards against late requests that take capacity from requests that can still meet their objective. The shard has
/// one leaf left, which has capacity for a quarter of the requests.
#[test]
fn free_capacity_goes_to_requests_that_are_not_late() {
    const SERVICE_TIME_MS: u64 = 21;
    const ARRIVAL_INTERVAL_MS: u64 = 5;
    let mut contention = Contention::default();
    let mut running: Vec<(usize, u64)> = Vec::new();
    let mut plans: Vec<(u64, Plan)> = Vec::new();
    let (mut in_time, mut late) = (0, 0);
    for now in 0..4_000 {
        if now % ARRIVAL_INTERVAL_MS == 0 {
            let plan = PlanSettings {
                typical: Duration::from_millis(SERVICE_TIME_MS),
                partial_at: at(now + PARTIAL_AT_MS),
                deadline: at(now + DEADLINE_MS),
                max_attempts: 1,
                ..settings(1, 1)
            };
            plans.push((now, Plan::new(plan, at(now))));
        }
        if let Some(position) = running.iter().position(|(_, end)| *end == now) {
            let (index, _) = running.remove(position);
            plans[index].1.record_answer(0);
            let latency = now - plans[index].0;
            *(if latency <= PARTIAL_AT_MS {
                &mut in_time
            } else {
                &mut late
            }) += 1;
        }
        for (index, (_, plan)) in plans.iter_mut().enumerate() {
            if !matches!(plan.step(at(now)), Step::Send(_)) {
                continue;
            }
            let late = plan.is_late(at(now));
            if late && !contention.admits_late(at(now)) {
                plan.record_no_room(0, at(now));
            } else if running.is_empty() {
                plan.record_sent(0, at(now));
                running.push((index, now + SERVICE_TIME_MS));
            } else {
                plan.record_no_room(0, at(now));
                if !late {
                    contention.record_no_room(at(now));
                }
            }
        }
    }
    let served = in_time + late;
    assert!(
        served >= 190,
        "the leaf is underused: {served} requests served"
    );
    assert!(
        in_time * 10 >= served * 8,
        "{in_time} of {served} requests met their objective"
    );
}

/// Guards against a retry budget that is spent on requests that can no longer meet their objective.
#[test]
fn extra_calls_after_the_objective_have_the_purpose_late() {
    let mut plan = Plan::new(settings(1, 1), at(0));
    send_due(&mut plan, at(0));
    plan.record_failure(0, at(PARTIAL_AT_MS + 5), Failure::MayHaveRun);
    assert_eq!(
        send_due(&mut plan, at(PARTIAL_AT_MS + 5)),
        [(0, Some(Purpose::Late))]
    );
}

/// Guards against hedges that cross failure domains so late that a query with a short objective misses it, and against ones
/// that are as early as hedges in the domain although there is time.
#[test]
fn hedges_that_cross_domains_wait_longer_if_there_is_time() {
    let cases = [
        (0, 20),
        (39, 20),
        (80, 20),
        (96, 24),
        (112, 28),
        (1_000, 28),
    ];
    for (time_left, expected) in cases {
        let time_left = Duration::from_millis(time_left);
        let delay = crossing_hedge_delay(Duration::from_millis(20), time_left);
        assert_eq!(delay, Duration::from_millis(expected), "{time_left:?}");
    }
}
