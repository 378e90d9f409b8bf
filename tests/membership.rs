//! Membership under seeded random fault schedules. `SCHEDULES` sets the number of schedules, `SEED` repeats one.

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

/// Time from the end of all faults until all views are correct: after the last messages, which may be delayed by up to
/// 3 s, every node probes every other one, suspects it and waits for a refutation, on the slowest clock.
const SETTLE_TIMEOUT: u64 = 16 * SECOND;

/// Time from the termination of a node until all others count it as dead, without other faults. It may take several
/// probe intervals until any of them probes the node, because each probes in its own random order.
const DETECTION_TIMEOUT: u64 = 12 * SECOND;

/// Number of probes sent.
#[derive(Default)]
struct ProbeCount(u64);

fn vm_list() -> VmList {
    let vms = (0..NODES).map(|node| vm(node, 1, VmState::Live));
    VmList { vms: vms.collect() }
}

fn new_view(index: usize, incarnation: u64, now: Time) -> Membership {
    let settings = MemberSettings::default();
    let mut view = Membership::new(id(index), Incarnation(incarnation), settings, now);
    view.set_vms(now, &vm_list());
    view
}

impl Scenario for ProbeCount {
    type Core = Membership;
    type Message = MemberMessage<()>;
    type Event = ();

    const FAULT_KINDS: u32 = 7;

    fn start(fleet: &mut Fleet<Self>, index: usize, now: Time) -> Membership {
        new_view(index, fleet.rng.random(), now)
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
            return Err(format!("n{index} counts itself as dead"));
        }
        let pings = out
            .iter()
            .filter(|out| matches!(out.message.probe, Probe::Ping { .. }));
        fleet.scenario.0 += pings.count() as u64;
        Ok(())
    }

    fn inject_fault(_: &mut Fleet<Self>, _: usize, _: u32) {}
}

/// Checks that every view shows which nodes are running.
fn check_views(fleet: &Fleet<ProbeCount>) -> Result<(), String> {
    for (index, node) in fleet.nodes.iter().enumerate() {
        for (other, other_node) in fleet.nodes.iter().enumerate() {
            let running = other_node.core.is_some();
            if node
                .core
                .as_ref()
                .is_some_and(|view| view.is_alive(&id(other)) != running)
            {
                let at = fleet.now;
                return Err(format!(
                    "at {at} n{index} has a wrong state for n{other}, running: {running}"
                ));
            }
        }
    }
    Ok(())
}

fn random_faults(rng: Pcg64) -> Result<u64, String> {
    let mut fleet = Fleet::new(rng, NODES, NODES, ProbeCount::default());
    let end = fleet.rng.random_range(5 * SECOND..20 * SECOND);
    let end = fleet.run_faults(SECOND, end)?;
    let dead = fleet.rng.random_range(0..NODES);
    (0..NODES).for_each(|node| fleet.start(node));
    fleet.kill(dead);
    fleet.run_until(end + SETTLE_TIMEOUT)?;
    check_views(&fleet)?;
    let probes_before = fleet.scenario.0;
    for second in 1..=10 {
        fleet.run_until(end + SETTLE_TIMEOUT + second * SECOND)?;
        check_views(&fleet)?;
    }
    let probes = fleet.scenario.0 - probes_before;
    if probes > 10 * 3 * NODES as u64 {
        return Err(format!("{probes} probes in 10 s without faults"));
    }
    fleet.kill((dead + 1) % NODES);
    let killed_at = fleet.now;
    fleet.run_until(killed_at + DETECTION_TIMEOUT)?;
    check_views(&fleet)?;
    Ok(1)
}

/// Guards against dead nodes that count as alive, live nodes that permanently count as dead, dead nodes that late
/// messages revive, and costs that grow with the number of faults.
#[test]
fn views_converge_after_faults() {
    schedules::run("membership", 200, random_faults);
}

/// Guards against an isolated node that does not detect its isolation because it still counts old contacts.
#[test]
fn seen_within_counts_listed_nodes() {
    let (mut first, mut second) = (new_view(0, 1, Time(0)), new_view(1, 2, Time(0)));
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
