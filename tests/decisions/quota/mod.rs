//! Quotas over all nodes: the bound in every window, and the requests that are rejected although within the limit.

mod fleet;

use std::{collections::HashSet, thread};

use cranberrychute::core::{
    NodeId,
    account::RateLimit,
    quota::{Ask, AskEntry, MAX_ENTRIES, Quotas, Report},
};

use self::fleet::{BOUNDS, Fault, Fleet, account, most_in_window};
use crate::{at, seeds::seeds};

/// Time before the callers come, in which nodes learn the fleet and buckets fill, seconds.
const WARM_UP: f64 = 30.0;

/// Number of threads that run cases.
const THREADS: usize = 3;

struct Case {
    name: &'static str,
    nodes: usize,
    serving: usize,
    limit: RateLimit,
    /// Duration of the demand, seconds.
    time: f64,
    fault: Fault,
    loss: f64,
    /// Requests per second at a node, as a multiple of the limit, by the time since the demand began.
    demand: fn(f64, usize) -> f64,
    /// Maximum share of rejected requests.
    max_rejected: f64,
    /// Minimum of the admitted requests, as a part of those that one bucket for all nodes would admit.
    min_owed: f64,
}

const fn rate(per_s: f64, burst: f64) -> RateLimit {
    RateLimit { per_s, burst }
}

fn one_node(_: f64, node: usize) -> f64 {
    if node == 3 { 0.95 } else { 0.0 }
}

fn three_nodes(_: f64, node: usize) -> f64 {
    if node < 3 { 0.95 / 3.0 } else { 0.0 }
}

fn twenty_nodes(_: f64, node: usize) -> f64 {
    if node < 20 { 0.95 / 20.0 } else { 0.0 }
}

/// One node after the other, for 2 s each.
fn moving(time: f64, node: usize) -> f64 {
    let place = (time / 2.0) as usize * 7 % 20;
    if node == place { 0.95 } else { 0.0 }
}

/// From one node to all of 20 and back, every 3 s.
fn spreading(time: f64, node: usize) -> f64 {
    if ((time / 3.0) as usize).is_multiple_of(2) {
        one_node(time, node)
    } else {
        twenty_nodes(time, node)
    }
}

/// Between 0.7 and 1.2 of the limit, 0.95 on the whole.
fn fluctuating(time: f64, node: usize) -> f64 {
    twenty_nodes(time, node) * (1.0 + 0.26 * (time * 3.0).sin())
}

fn idle_then_hot_one(time: f64, node: usize) -> f64 {
    one_node(time, node) * 8.0 / 0.95
}

fn idle_then_hot_all(time: f64, node: usize) -> f64 {
    twenty_nodes(time, node) * 8.0 / 0.95
}

/// On and off, so that buckets are full when the demand comes back.
fn pulsing(time: f64, node: usize) -> f64 {
    if ((time / 4.0) as usize).is_multiple_of(2) {
        idle_then_hot_all(time, node)
    } else {
        0.0
    }
}

fn moving_hot(time: f64, node: usize) -> f64 {
    moving(time, node) * 8.0
}

fn hot_both_sides(time: f64, node: usize) -> f64 {
    // Quiet on one side and then on the other while cut off, then hot on both.
    let quiet = time < 7.0 && (time < 4.0) == node.is_multiple_of(3);
    if quiet {
        0.0
    } else {
        idle_then_hot_all(time, node)
    }
}

fn cases() -> Vec<Case> {
    let base = || Case {
        name: "",
        nodes: 91,
        serving: 20,
        limit: rate(200.0, 20.0),
        time: 20.0,
        fault: Fault::None,
        loss: 0.01,
        demand: one_node,
        max_rejected: 1.0,
        min_owed: 0.0,
    };
    vec![
        Case {
            name: "under the limit, one node of 6",
            nodes: 6,
            serving: 6,
            demand: one_node,
            max_rejected: 0.005,
            min_owed: 0.99,
            ..base()
        },
        Case {
            name: "under the limit, one node",
            demand: one_node,
            max_rejected: 0.005,
            min_owed: 0.99,
            ..base()
        },
        Case {
            name: "under the limit, three nodes",
            demand: three_nodes,
            max_rejected: 0.005,
            min_owed: 0.99,
            ..base()
        },
        Case {
            name: "under the limit, twenty nodes",
            demand: twenty_nodes,
            max_rejected: 0.005,
            min_owed: 0.99,
            ..base()
        },
        Case {
            name: "under the limit, moving",
            demand: moving,
            max_rejected: 0.01,
            min_owed: 0.99,
            ..base()
        },
        Case {
            name: "under the limit, spreading",
            demand: spreading,
            max_rejected: 0.005,
            min_owed: 0.99,
            ..base()
        },
        Case {
            name: "fluctuating",
            demand: fluctuating,
            max_rejected: 0.005,
            min_owed: 0.99,
            ..base()
        },
        Case {
            name: "fluctuating, large, many lost",
            limit: rate(1_000.0, 0.0),
            loss: 0.1,
            demand: fluctuating,
            max_rejected: 0.005,
            min_owed: 0.99,
            ..base()
        },
        Case {
            name: "large, moving",
            limit: rate(1_000.0, 0.0),
            demand: moving,
            max_rejected: 0.01,
            min_owed: 0.99,
            ..base()
        },
        // Requests at random times exceed these limits at times: one bucket for all nodes would reject more.
        Case {
            name: "small, one node",
            nodes: 20,
            limit: rate(2.0, 2.0),
            time: 300.0,
            demand: one_node,
            max_rejected: 0.1,
            min_owed: 1.0,
            ..base()
        },
        Case {
            name: "small, moving",
            nodes: 20,
            limit: rate(2.0, 2.0),
            time: 300.0,
            demand: moving,
            max_rejected: 0.15,
            min_owed: 1.0,
            ..base()
        },
        Case {
            name: "small, twenty nodes",
            nodes: 20,
            limit: rate(2.0, 2.0),
            time: 300.0,
            demand: twenty_nodes,
            max_rejected: 0.2,
            min_owed: 1.0,
            ..base()
        },
        Case {
            name: "small, one node, 0.6 of the limit",
            nodes: 20,
            limit: rate(2.0, 2.0),
            time: 300.0,
            demand: |time, node| one_node(time, node) * 0.6 / 0.95,
            max_rejected: 0.03,
            min_owed: 0.99,
            ..base()
        },
        Case {
            name: "small, twenty nodes, 0.6 of the limit",
            nodes: 20,
            limit: rate(2.0, 2.0),
            time: 300.0,
            demand: |time, node| twenty_nodes(time, node) * 0.6 / 0.95,
            max_rejected: 0.08,
            min_owed: 0.99,
            ..base()
        },
        Case {
            name: "small, moving, 0.6 of the limit",
            nodes: 20,
            limit: rate(2.0, 2.0),
            time: 300.0,
            demand: |time, node| moving(time, node) * 0.6 / 0.95,
            max_rejected: 0.06,
            min_owed: 0.99,
            ..base()
        },
        Case {
            name: "all nodes serve, one node",
            serving: 91,
            max_rejected: 0.005,
            min_owed: 0.99,
            ..base()
        },
        // With two requests per second and node, the tokens do not suffice for a whole one at each node at all times.
        Case {
            name: "all nodes serve, all used",
            serving: 91,
            demand: |_, _| 0.95 / 91.0,
            max_rejected: 0.05,
            min_owed: 0.96,
            ..base()
        },
        Case {
            name: "all nodes serve, hot",
            serving: 91,
            demand: |_, _| 8.0 / 91.0,
            min_owed: 0.98,
            ..base()
        },
        Case {
            name: "hot, one node",
            demand: idle_then_hot_one,
            min_owed: 0.98,
            ..base()
        },
        Case {
            name: "hot, twenty nodes",
            demand: idle_then_hot_all,
            min_owed: 0.98,
            ..base()
        },
        Case {
            name: "hot, pulsing",
            demand: pulsing,
            min_owed: 0.98,
            ..base()
        },
        Case {
            name: "hot, moving",
            demand: moving_hot,
            min_owed: 0.98,
            ..base()
        },
        Case {
            name: "hot, small, twenty nodes",
            limit: rate(1.0, 0.0),
            demand: idle_then_hot_all,
            min_owed: 0.98,
            ..base()
        },
        Case {
            name: "limit far below the demand",
            limit: rate(5.0, 5.0),
            demand: |t, n| 40.0 * twenty_nodes(t, n),
            min_owed: 0.98,
            ..base()
        },
        Case {
            name: "cut, under the limit",
            fault: Fault::Cut(35.0, 50.0),
            demand: twenty_nodes,
            max_rejected: 0.08,
            min_owed: 0.92,
            ..base()
        },
        Case {
            name: "cut, hot on both sides",
            fault: Fault::Cut(32.0, 45.0),
            demand: hot_both_sides,
            min_owed: 0.8,
            ..base()
        },
        Case {
            name: "cut for long, hot",
            time: 45.0,
            fault: Fault::Cut(32.0, 72.0),
            demand: idle_then_hot_all,
            min_owed: 0.95,
            ..base()
        },
        Case {
            name: "all killed, hot",
            fault: Fault::Kill(35.0, 36.0),
            demand: idle_then_hot_all,
            min_owed: 0.85,
            ..base()
        },
        Case {
            name: "all killed, small and hot",
            limit: rate(1.0, 0.0),
            fault: Fault::Kill(35.0, 36.0),
            demand: idle_then_hot_all,
            min_owed: 0.4,
            ..base()
        },
        Case {
            name: "one frozen, hot",
            fault: Fault::Freeze(3, 34.0, 42.0),
            demand: idle_then_hot_all,
            min_owed: 0.95,
            ..base()
        },
        Case {
            name: "one frozen briefly, hot",
            fault: Fault::Freeze(3, 34.0, 36.5),
            demand: idle_then_hot_one,
            min_owed: 0.95,
            ..base()
        },
        // The requests that waited in its sockets come at once.
        Case {
            name: "one frozen, under the limit",
            fault: Fault::Freeze(5, 34.0, 40.0),
            demand: twenty_nodes,
            max_rejected: 0.03,
            min_owed: 0.98,
            ..base()
        },
    ]
}

/// Returns the number of requests that one bucket for all nodes would admit.
fn owed(fleet: &Fleet, limit: RateLimit) -> usize {
    let mut times = [&fleet.admitted[0][..], &fleet.rejected[0]].concat();
    times.sort_unstable();
    let (mut tokens, mut refilled) = (limit.burst.max(1.0), 0);
    let is_admitted = |time: &u64| {
        tokens = (tokens + (time - refilled) as f64 / 1e3 * limit.per_s).min(limit.burst.max(1.0));
        refilled = *time;
        let admitted = tokens >= 1.0;
        tokens -= if admitted { 1.0 } else { 0.0 };
        admitted
    };
    times.iter().copied().filter(is_admitted).count()
}

/// Guards against admitting more than the bound in any window, whatever nodes know of each other, and against rejecting
/// requests of an account that is within its limit.
#[test]
fn quota_holds_over_all_nodes_and_is_granted() {
    let run = |seed: u64, part: usize| {
        let mut failures = Vec::new();
        for case in cases().into_iter().skip(part).step_by(THREADS) {
            let mut fleet = Fleet::new(seed, case.nodes, case.serving, case.fault, case.loss);
            let accounts = [account(0, case.limit)];
            fleet.run(WARM_UP + case.time, &accounts, |time, node, _| {
                let is_on = time >= WARM_UP;
                let part = if is_on {
                    (case.demand)(time - WARM_UP, node)
                } else {
                    0.0
                };
                part * case.limit.per_s
            });
            let most = most_in_window(&fleet.admitted[0], 0..u64::MAX);
            let allowed = BOUNDS.requests(case.limit);
            let rejected = fleet.rejected[0].len() as f64 / fleet.requests[0].max(1) as f64;
            let owed = fleet.admitted[0].len() as f64 / owed(&fleet, case.limit) as f64;
            let line = format!(
                "seed {seed}: {}: {most} of {allowed:.0} in a window, {:.2}% of {} rejected, {owed:.3} of the owed ones admitted, {:.0} messages a second",
                case.name,
                rejected * 100.0,
                fleet.requests[0],
                fleet.sent_messages as f64 / case.time,
            );
            println!("{line}");
            if most as f64 > allowed || rejected > case.max_rejected || owed < case.min_owed {
                failures.push(line);
            }
        }
        failures
    };
    let run = &run;
    for seed in seeds(2) {
        let failures: Vec<String> = thread::scope(|scope| {
            let parts: Vec<_> = (0..THREADS)
                .map(|part| scope.spawn(move || run(seed, part)))
                .collect();
            parts
                .into_iter()
                .flat_map(|part| part.join().expect("no panic"))
                .collect()
        });
        assert!(failures.is_empty(), "{failures:#?}");
    }
}

/// Guards against accounts that take each other's tokens, and against asking for more of them than fit a message.
#[test]
fn quota_of_many_small_accounts_holds_for_each() {
    for seed in seeds(1) {
        let limits = (0..88).map(|index| rate(1.0 + f64::from(index % 4), 3.0));
        let accounts: Vec<_> = limits
            .enumerate()
            .map(|(index, limit)| account(index, limit))
            .collect();
        let mut fleet = Fleet::new(seed, 20, 20, Fault::None, 0.01);
        let limit = |slot: usize| accounts[slot].limit.expect("limited");
        fleet.run(60.0, &accounts, |time, node, slot| {
            // Every fourth account sends 8 times its limit from all nodes, the others 0.6 of it from one node.
            let part = match slot % 4 {
                0 => 8.0 / 20.0,
                _ if node == slot % 20 => 0.6,
                _ => 0.0,
            };
            if time < WARM_UP {
                0.0
            } else {
                part * limit(slot).per_s
            }
        });
        let mut rejected = (0, 0);
        for slot in 0..accounts.len() {
            let most = most_in_window(&fleet.admitted[slot], 0..u64::MAX);
            assert!(
                most as f64 <= BOUNDS.requests(limit(slot)),
                "seed {seed}, account {slot}: {most}"
            );
            if slot % 4 != 0 {
                rejected.0 += fleet.rejected[slot].len();
                rejected.1 += fleet.requests[slot];
            }
        }
        let share = rejected.0 as f64 / rejected.1 as f64;
        println!(
            "seed {seed}: {:.2}% rejected of those within the limit, {} messages a second",
            share * 100.0,
            fleet.sent_messages / 30
        );
        assert!(share < 0.02, "seed {seed}: {share}");
    }
}

/// Guards against tokens of the old limit that are used after it was lowered.
#[test]
fn lowered_limit_holds_one_window_later() {
    for seed in seeds(2) {
        let (old, new) = (rate(400.0, 100.0), rate(10.0, 5.0));
        let mut fleet = Fleet::new(seed, 91, 20, Fault::None, 0.01);
        let demand = |time: f64, node: usize, _| {
            if time < WARM_UP {
                0.0
            } else {
                twenty_nodes(time, node) * 400.0
            }
        };
        fleet.run(40.0, &[account(0, old)], demand);
        fleet.run(60.0, &[account(0, new)], demand);
        let most = most_in_window(&fleet.admitted[0], 40_002..u64::MAX);
        println!(
            "seed {seed}: {most} of {:.0} in a window after the change",
            BOUNDS.requests(new)
        );
        assert!(most as f64 <= BOUNDS.requests(new), "seed {seed}: {most}");
    }
}

/// Guards against rejected callers that return too early, or all at once.
#[test]
fn rejected_callers_are_admitted_when_they_return() {
    for seed in seeds(2) {
        let limited = [account(0, rate(20.0, 20.0))];
        let mut fleet = Fleet::new(seed, 91, 20, Fault::None, 0.01);
        fleet.run(WARM_UP, &limited, |_, _, _| 0.0);
        let mut returning: Vec<f64> = (0..200)
            .filter_map(|_| fleet.request(3, 0, &limited[0]))
            .map(|delay| WARM_UP + delay.as_secs_f64())
            .collect();
        returning.sort_unstable_by(f64::total_cmp);
        let within = |start: f64| {
            returning
                .iter()
                .filter(|time| (start..start + 1.0).contains(*time))
                .count()
        };
        let most = returning
            .iter()
            .map(|start| within(*start))
            .max()
            .unwrap_or(0);
        let mut again = 0;
        for time in &returning {
            fleet.run(*time, &limited, |_, _, _| 0.0);
            again += usize::from(fleet.request(3, 0, &limited[0]).is_some());
        }
        println!(
            "seed {seed}: {} rejected, {most} of them return in a second, {again} are rejected again",
            returning.len()
        );
        assert!(most <= 40, "seed {seed}: {most}");
        assert!(again * 20 <= returning.len(), "seed {seed}: {again}");
    }
}

/// Guards against requests that did not run and still count.
#[test]
fn refunded_requests_do_not_count() {
    let limited = account(0, rate(1.0, 0.0));
    let id = NodeId::from("10.0.0.1:7740");
    let mut quotas = Quotas::new(at(0), id.clone(), BOUNDS);
    for millis in (0..30_000).step_by(500) {
        quotas.set_nodes(
            at(millis),
            std::slice::from_ref(&id),
            std::slice::from_ref(&id),
            &HashSet::new(),
        );
    }
    for _ in 0..200 {
        assert_eq!(quotas.admit(at(30_000), &limited), Ok(()));
        quotas.give_back(at(30_000), &limited);
    }
    let admitted = (0..200)
        .filter(|_| quotas.admit(at(30_000), &limited).is_ok())
        .count();
    assert!((15..=26).contains(&admitted), "{admitted}");
}

/// Guards against messages that do not fit a datagram of 1,200 bytes with their envelope of up to 66.
#[test]
fn quota_messages_fit_a_datagram() {
    let entry = AskEntry {
        account: u64::MAX,
        per_s: f64::MAX,
        burst: f64::MAX,
        demand: f32::MAX,
        tokens: f32::MAX,
        missing: f32::MAX,
    };
    let ask = Report::Ask(Ask {
        stamp: u64::MAX,
        deep: true,
        entries: vec![entry; MAX_ENTRIES],
    });
    let size = postcard::to_stdvec(&ask).expect("encodable").len();
    assert!(size <= 1_134, "{size}");
}
