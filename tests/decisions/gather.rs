use std::time::Duration;

use bytes::Bytes;
use cranberrychute::core::{
    Time,
    gather::{Completion, Failure, Plan, PlanSettings, RECORD_BYTES, Step, merge_top},
    placement::Contention,
    retry::Purpose,
};
use proptest::{collection::vec, prelude::*};

use crate::{at, seeds};

const USUAL: u64 = 8;
const HEDGE: u64 = 20;
const ANSWER: u64 = 72;
const END: u64 = 790;

fn settings(parts: usize, required: usize) -> PlanSettings {
    PlanSettings {
        parts,
        required,
        max_attempts: 2,
        repeatable: true,
        typical: Duration::from_millis(USUAL),
        hedge_delay: Duration::from_millis(HEDGE),
        partial_at: at(ANSWER),
        deadline: at(END),
    }
}

/// Sends all parts that are due and returns them.
fn send(plan: &mut Plan, now: Time) -> Vec<(usize, Option<Purpose>)> {
    let Step::Send(due) = plan.step(now) else {
        panic!("nothing is due: {:?}", plan.step(now));
    };
    for (part, _) in &due {
        plan.record_sent(*part, now);
    }
    due.to_vec()
}

fn answer(plan: &mut Plan, parts: impl IntoIterator<Item = usize>) {
    for part in parts {
        plan.record_answer(part);
    }
}

#[test]
fn complete_answer_goes_out_at_once() {
    let mut plan = Plan::new(settings(10, 9), at(0));
    assert_eq!(send(&mut plan, at(0)).len(), 10);
    answer(&mut plan, 0..10);
    assert_eq!(plan.step(at(9)), Step::Finish(Completion::Answer));
}

/// A leaf pauses: its part is asked for again after the usual time, and only this part.
#[test]
fn a_part_without_answer_is_asked_for_again_once() {
    let mut plan = Plan::new(settings(10, 9), at(0));
    send(&mut plan, at(0));
    answer(&mut plan, 0..9);
    assert_eq!(plan.step(at(10)), Step::Wait(at(HEDGE)));
    assert_eq!(
        send(&mut plan, at(HEDGE)),
        [(9, Some(Purpose::OptionalHedge))]
    );
    assert_eq!(plan.step(at(HEDGE + 1)), Step::Wait(at(ANSWER)));
    answer(&mut plan, [9]);
    assert_eq!(plan.step(at(30)), Step::Finish(Completion::Answer));
}

/// A shard is dark: the answer goes out in time without it.
#[test]
fn the_answer_goes_out_at_the_objective_with_enough_parts() {
    let mut plan = Plan::new(settings(10, 9), at(0));
    send(&mut plan, at(0));
    answer(&mut plan, 0..9);
    send(&mut plan, at(HEDGE));
    assert_eq!(plan.step(at(ANSWER)), Step::Finish(Completion::Answer));
    assert_eq!(plan.answered_count(), 9);
}

/// A shard is known to be down: nobody waits for it.
#[test]
fn a_part_without_a_working_leaf_holds_nothing_up() {
    let mut plan = Plan::new(settings(10, 9), at(0));
    send(&mut plan, at(0));
    answer(&mut plan, 0..9);
    plan.record_failure(9, at(8), Failure::MayHaveRun);
    let Step::Send(due) = plan.step(at(8)) else {
        panic!("the part is not due");
    };
    assert_eq!(due.as_slice(), [(9, Some(Purpose::OptionalRetry))]);
    plan.record_no_leaf(9);
    assert_eq!(plan.step(at(8)), Step::Finish(Completion::Answer));
}

/// Two shards are down and only one may be missing: the caller is not kept until its deadline.
#[test]
fn a_request_that_cannot_be_served_ends_at_once() {
    let mut plan = Plan::new(settings(10, 9), at(0));
    plan.record_no_leaf(0);
    plan.record_no_leaf(1);
    assert_eq!(plan.step(at(0)), Step::Finish(Completion::Unreachable));
    assert!(!plan.may_have_run());
}

/// Too few parts at the objective: the rest is waited for, and the answer goes out with the last one needed.
#[test]
fn a_late_answer_goes_out_as_soon_as_it_has_enough_parts() {
    let mut plan = Plan::new(settings(10, 9), at(0));
    send(&mut plan, at(0));
    answer(&mut plan, 0..8);
    send(&mut plan, at(HEDGE));
    assert_eq!(plan.step(at(ANSWER)), Step::Wait(at(END)));
    answer(&mut plan, [8]);
    assert_eq!(plan.step(at(ANSWER + 40)), Step::Finish(Completion::Answer));
}

#[test]
fn the_request_ends_with_its_time() {
    let mut plan = Plan::new(settings(10, 9), at(0));
    send(&mut plan, at(0));
    send(&mut plan, at(HEDGE));
    assert_eq!(plan.step(at(END)), Step::Finish(Completion::Timeout));
    assert!(plan.may_have_run());
}

/// Guards against a request that runs twice though it must not.
#[test]
fn at_most_once_is_not_sent_again_after_it_may_have_run() {
    let settings = PlanSettings {
        repeatable: false,
        ..settings(1, 1)
    };
    let mut plan = Plan::new(settings, at(0));
    send(&mut plan, at(0));
    assert_eq!(plan.step(at(HEDGE)), Step::Wait(at(ANSWER)));
    plan.record_failure(0, at(100), Failure::MayHaveRun);
    assert_eq!(plan.step(at(100)), Step::Finish(Completion::Unreachable));
    assert!(plan.may_have_run());
}

/// A leaf sheds: the request goes to another one, and if all refuse, "not run" is true.
#[test]
fn at_most_once_goes_on_after_a_refusal() {
    let settings = PlanSettings {
        repeatable: false,
        ..settings(1, 1)
    };
    let mut plan = Plan::new(settings, at(0));
    send(&mut plan, at(0));
    plan.record_failure(0, at(5), Failure::NotRun);
    assert_eq!(send(&mut plan, at(5)), [(0, Some(Purpose::RequiredRetry))]);
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
    Pass(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..6_usize).prop_map(Event::Answer),
        (0..6_usize, any::<bool>()).prop_map(|(part, run)| Event::Fail(part, run)),
        Just(Event::NoRoom),
        Just(Event::NoLeaf),
        (1..60_u64).prop_map(Event::Pass),
    ]
}

proptest! {
    #![proptest_config(seeds::proptest_config())]

    /// Guards against more runs of a part than allowed, an answer with too few parts, a refusal that is not true
    /// and a request that never ends, whatever order calls end in.
    #[test]
    fn plans_keep_their_bounds(events in vec(event(), 0..80), repeatable: bool) {
        let settings = PlanSettings { repeatable, ..settings(6, 5) };
        let mut plan = Plan::new(settings, at(0));
        let (mut open, mut ran) = ([0_u32; 6], [0_u32; 6]);
        let mut events = events.into_iter();
        let mut now = 0;
        let end = loop {
            match plan.step(at(now)) {
                Step::Finish(end) => break end,
                Step::Send(due) => match events.next() {
                    Some(Event::NoLeaf) => plan.record_no_leaf(due[0].0),
                    Some(Event::NoRoom) => plan.record_no_room(due[0].0, at(now)),
                    _ => for (part, _) in due {
                        plan.record_sent(part, at(now));
                        open[part] += 1;
                        ran[part] += 1;
                        prop_assert!(ran[part] <= 2, "part {part} runs {} times", ran[part]);
                        prop_assert!(repeatable || open[part] <= 1);
                    },
                },
                Step::Wait(until) => {
                    prop_assert!(until > at(now), "waits for a time that is over");
                    match events.next() {
                        Some(Event::Answer(part)) if open[part] > 0 => {
                            open[part] -= 1;
                            plan.record_answer(part);
                        }
                        Some(Event::Fail(part, run)) if open[part] > 0 => {
                            open[part] -= 1;
                            if !run {
                                ran[part] -= 1;
                            }
                            let failure = if run { Failure::MayHaveRun } else { Failure::NotRun };
                            plan.record_failure(part, at(now), failure);
                        }
                        Some(Event::Pass(time)) => now += time.min(until.since(at(now)).as_millis() as u64),
                        _ => now += until.since(at(now)).as_millis() as u64,
                    }
                }
            }
        };
        prop_assert!(now <= END);
        match end {
            Completion::Answer => prop_assert!(plan.answered_count() >= 5),
            Completion::Unreachable | Completion::Timeout => prop_assert!(plan.answered_count() < 5),
        }
        prop_assert_eq!(plan.may_have_run(), ran.iter().any(|ran| *ran > 0));
    }

    /// Guards against records that are lost, out of order or made of the rest of a part.
    #[test]
    fn merge_is_the_sorted_prefix(parts in vec(vec(0..4_u8, 0..200), 0..6), top in 0..30_usize) {
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

/// Guards against a budget that is spent on parts that may be missing while requests fail for want of one.
#[test]
fn sends_say_what_they_are_for() {
    let mut plan = Plan::new(settings(10, 9), at(0));
    send(&mut plan, at(0));
    answer(&mut plan, 0..8);
    plan.record_failure(8, at(5), Failure::MayHaveRun);
    assert_eq!(send(&mut plan, at(5)), [(8, Some(Purpose::RequiredRetry))]);
    assert_eq!(
        send(&mut plan, at(HEDGE)),
        [(9, Some(Purpose::RequiredHedge))]
    );
}

/// The budget allows no second send: the first one is still waited for, and asked about again.
#[test]
fn a_late_part_without_budget_is_still_waited_for() {
    let mut plan = Plan::new(settings(10, 9), at(0));
    send(&mut plan, at(0));
    answer(&mut plan, 0..9);
    plan.record_no_budget(9, at(HEDGE));
    assert_eq!(plan.step(at(HEDGE)), Step::Wait(at(HEDGE + 10)));
    assert_eq!(
        send(&mut plan, at(HEDGE + 10)),
        [(9, Some(Purpose::OptionalHedge))]
    );
}

/// All leafs of a shard are full for a moment: the part is sent again a little later, not at once and not for ever.
#[test]
fn a_part_that_was_shed_is_sent_again_after_a_pause() {
    let mut plan = Plan::new(settings(1, 1), at(0));
    let mut sends = Vec::new();
    let mut now = 0;
    let end = loop {
        match plan.step(at(now)) {
            Step::Send(_) => {
                send(&mut plan, at(now));
                sends.push(now);
                plan.record_failure(0, at(now), Failure::Shed);
            }
            Step::Wait(until) => now = until.since(at(0)).as_millis() as u64,
            Step::Finish(end) => break end,
        }
    };
    assert_eq!(sends, [0, 5, 15, 30]);
    assert_eq!(end, Completion::Unreachable);
    assert!(!plan.may_have_run());
}

/// Guards against parts that run for a request that cannot be served any more, and against "may have run" for them.
#[test]
fn sends_that_are_taken_back_did_not_run() {
    let mut plan = Plan::new(settings(3, 3), at(0));
    plan.record_sent(0, at(0));
    plan.record_sent(1, at(0));
    plan.record_no_leaf(2);
    assert_eq!(plan.step(at(0)), Step::Finish(Completion::Unreachable));
    plan.revert_sent(0);
    plan.revert_sent(1);
    assert!(!plan.may_have_run());
}

/// Overload: one leaf is left of a shard and has room for a quarter of the requests. Requests that have missed their
/// objective must not take the places from those that can still meet it.
#[test]
fn free_places_go_to_requests_that_are_not_late() {
    const SERVICE: u64 = 21;
    const GAP: u64 = 5;
    let mut contention = Contention::default();
    let mut running: Vec<(usize, u64)> = Vec::new();
    let mut plans: Vec<(u64, Plan)> = Vec::new();
    let (mut in_time, mut late) = (0, 0);
    for now in 0..4_000 {
        if now % GAP == 0 {
            let plan = PlanSettings {
                typical: Duration::from_millis(SERVICE),
                partial_at: at(now + ANSWER),
                deadline: at(now + END),
                max_attempts: 1,
                ..settings(1, 1)
            };
            plans.push((now, Plan::new(plan, at(now))));
        }
        if let Some(done) = running.iter().position(|(_, end)| *end == now) {
            let (index, _) = running.remove(done);
            plans[index].1.record_answer(0);
            let taken = now - plans[index].0;
            *(if taken <= ANSWER {
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
                running.push((index, now + SERVICE));
            } else {
                plan.record_no_room(0, at(now));
                if !late {
                    contention.record_no_room(at(now));
                }
            }
        }
    }
    let served = in_time + late;
    assert!(served >= 190, "the leaf is idle: {served} served");
    assert!(in_time * 10 >= served * 8, "{in_time} of {served} in time");
}

/// Guards against budget that is spent on requests that are late anyway.
#[test]
fn sends_after_the_objective_are_the_least_urgent() {
    let mut plan = Plan::new(settings(1, 1), at(0));
    send(&mut plan, at(0));
    plan.record_failure(0, at(ANSWER + 5), Failure::MayHaveRun);
    assert_eq!(send(&mut plan, at(ANSWER + 5)), [(0, Some(Purpose::Late))]);
}
