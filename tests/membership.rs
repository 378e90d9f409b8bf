//! Membership under seeded schedules of faults. `SCHEDULES` sets their number, `SEED` repeats one.

mod schedules;

use std::time::Duration;

use cranberrychute::core::{
    Incarnation, Outbound, Time,
    config::{VmList, VmState},
    member::{MemberMessage, MemberSettings, Membership, Probe},
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use schedules::{Fleet, Input, SECOND, Scenario, id, vm};

const NODES: usize = 9;

/// Time from the end of all faults until all views are right: every node probes every other one, suspects it
/// and waits for a refutation, on the slowest clock, after messages of up to 3 s before.
const SETTLE: u64 = 16 * SECOND;

/// Time from the death of a node until all others know, without other faults. All others may miss the node
/// for several periods, because each probes in its own random order.
const DETECT: u64 = 12 * SECOND;

/// Counts the probes sent.
#[derive(Default)]
struct Probes(u64);

fn list() -> VmList {
    let vms = (0..NODES).map(|node| vm(node, 1, VmState::Live));
    VmList { vms: vms.collect() }
}

fn view(index: usize, incarnation: u64, now: Time) -> Membership {
    let settings = MemberSettings::default();
    let mut view = Membership::new(id(index), Incarnation(incarnation), settings, now);
    view.set_vms(now, &list());
    view
}

impl Scenario for Probes {
    type Core = Membership;
    type Message = MemberMessage<()>;
    type Event = ();

    const FAULT_KINDS: u32 = 7;

    fn start(fleet: &mut Fleet<Self>, index: usize, now: Time) -> Membership {
        view(index, fleet.rng.random(), now)
    }

    fn handle(
        fleet: &mut Fleet<Self>,
        index: usize,
        now: Time,
        input: Input<Self>,
        out: &mut Vec<Outbound<Self::Message>>,
    ) -> Result<(), String> {
        let Some(view) = &mut fleet.nodes[index].core else {
            return Ok(());
        };
        let limit = match input {
            Input::Tick => {
                view.tick(now, &mut fleet.rng, &(), out);
                4
            }
            Input::Message(from, message) => {
                view.receive(now, &id(from), message, &(), out);
                1
            }
            Input::Custom(()) => 0,
        };
        let rumors = out.iter().map(|out| out.message.rumors.len()).max();
        if out.len() > limit || rumors.is_some_and(|rumors| rumors > 8) {
            return Err(format!(
                "n{index} sent {} messages, {rumors:?} rumors",
                out.len()
            ));
        }
        if !view.is_alive(&id(index)) {
            return Err(format!("n{index} takes itself for dead"));
        }
        let pings = out
            .iter()
            .filter(|out| matches!(out.message.probe, Probe::Ping { .. }));
        fleet.scenario.0 += pings.count() as u64;
        Ok(())
    }

    fn inject_fault(_: &mut Fleet<Self>, _: usize, _: u32) {}
}

/// Compares every view with the truth.
fn check(fleet: &Fleet<Probes>) -> Result<(), String> {
    for (index, node) in fleet.nodes.iter().enumerate() {
        for (other, truth) in fleet.nodes.iter().enumerate() {
            let runs = truth.core.is_some();
            if node
                .core
                .as_ref()
                .is_some_and(|view| view.is_alive(&id(other)) != runs)
            {
                let at = fleet.now;
                return Err(format!(
                    "at {at} n{index} is wrong about n{other}, which runs: {runs}"
                ));
            }
        }
    }
    Ok(())
}

fn schedule(rng: Pcg64) -> Result<u64, String> {
    let mut fleet = Fleet::new(rng, NODES, NODES, Probes::default());
    let end = fleet.rng.random_range(5 * SECOND..20 * SECOND);
    let end = fleet.run_faults(SECOND, end)?;
    let dead = fleet.rng.random_range(0..NODES);
    (0..NODES).for_each(|node| fleet.start(node));
    fleet.kill(dead);
    fleet.run_until(end + SETTLE)?;
    check(&fleet)?;
    let before = fleet.scenario.0;
    for second in 1..=10 {
        fleet.run_until(end + SETTLE + second * SECOND)?;
        check(&fleet)?;
    }
    let probes = fleet.scenario.0 - before;
    if probes > 10 * 3 * NODES as u64 {
        return Err(format!("{probes} probes in 10 s without faults"));
    }
    fleet.kill((dead + 1) % NODES);
    let killed = fleet.now;
    fleet.run_until(killed + DETECT)?;
    check(&fleet)?;
    Ok(1)
}

/// Guards against dead nodes that count as alive, live ones that are taken for dead for good, revival by late
/// messages, and cost that grows with the number of faults.
#[test]
fn views_become_right_after_faults() {
    schedules::run("membership", 200, schedule);
}

/// Guards against a node that is cut off and does not notice.
#[test]
fn heard_since_counts_listed_nodes() {
    let (mut first, mut second) = (view(0, 1, Time(0)), view(1, 2, Time(0)));
    let (mut out, mut rng) = (Vec::new(), Pcg64::seed_from_u64(1));
    second.tick(Time(0), &mut rng, &(), &mut out);
    let message = out.pop().unwrap().message;
    let (now, within) = (Time::from_millis(500), Duration::from_secs(4));
    assert_eq!(first.seen_within(now, within), 0);
    first.receive(now, &id(1), message, &(), &mut out);
    first.record_contact(now, &id(2));
    assert_eq!(first.seen_within(now, within), 2);
    assert_eq!(first.seen_within(now + within, within), 2);
    assert_eq!(first.seen_within(Time::from_millis(4_501), within), 0);
}
