//! Leases and leaf control together: the load of all nodes on one cold leaf, under seeded random fault schedules.
//!
//! `SCHEDULES` sets the number of schedules, `SEED` repeats one.

mod schedules;

use std::{collections::BTreeMap, time::Duration};

use cranberrychute::core::{
    Incarnation, Outbound, PartitionId, Time,
    config::{LeafInfo, VmList, VmState},
    invariant,
    leaf::{CallResult, LeafAction, LeafControl, LeafSettings, Ticket, TicketId},
    lease::{ConfigDigest, LeaseMessage, LeaseSettings, LeaseTable},
};
use rand::Rng;
use rand_pcg::Pcg64;
use schedules::{Fleet, Input, MS, SECOND, Scenario, id, vm};

const NODES: usize = 5;
const DOMAINS: usize = 3;
/// Number of answers after which the leaf is warm.
const WARMUP_ANSWERS: u32 = 40;
/// Maximum number of calls that a node queues between two ticks.
const MAX_BURST: u32 = 4;

#[derive(Clone)]
struct NoConfig;

impl ConfigDigest for NoConfig {
    fn ahead_of(&self, _: &Self) -> bool {
        false
    }
}

#[derive(Clone)]
enum Event {
    CallEnded(TicketId, CallResult),
    /// The connection to this leaf instance was reset.
    Reset(u64),
}

struct Core {
    table: LeaseTable,
    control: LeafControl,
    /// The leaf instance to which the node is connected.
    connected: Option<u64>,
    ticket_count: u64,
}

struct Call {
    node: usize,
    run: u64,
    ticket: TicketId,
    instance: u64,
    /// Time that the leaf may spend, in microseconds on the leaf's clock.
    budget_us: u64,
}

/// The simulated leaf, in true time.
struct Leaf {
    info: LeafInfo,
    clock_rate: f64,
    instance: u64,
    answers: u32,
    /// Calls on their way to the leaf, by arrival time and serial number.
    arrivals: BTreeMap<(u64, u64), Call>,
    /// Running calls by end time and serial number, and whether each is answered then.
    running: BTreeMap<(u64, u64), (Call, bool)>,
    serial: u64,
    executed: u64,
}

struct ColdLeaf {
    leaf: Leaf,
    partition: PartitionId,
    list: VmList,
}

impl Leaf {
    fn is_cold(&self) -> bool {
        self.answers < WARMUP_ANSWERS
    }

    /// Restarts without notice: running calls end, and the next instance is cold. Returns the node, the run and the
    /// leaf instance of each interrupted call.
    fn restart(&mut self) -> Vec<(usize, u64, u64)> {
        self.instance += 1;
        self.answers = 0;
        let calls = std::mem::take(&mut self.running).into_values();
        calls
            .map(|(call, _)| (call.node, call.run, call.instance))
            .collect()
    }
}

type LeafFleet = Fleet<ColdLeaf>;

impl Scenario for ColdLeaf {
    type Core = Core;
    type Message = LeaseMessage<NoConfig>;
    type Event = Event;

    const FAULT_KINDS: u32 = 9;

    fn start(fleet: &mut LeafFleet, index: usize, now: Time) -> Core {
        let incarnation = Incarnation(fleet.rng.random());
        let mut table = LeaseTable::new(id(index), incarnation, LeaseSettings::default(), now);
        table.set_partitions(now, [fleet.scenario.partition.clone()].into());
        table.set_vms(now, 1, &fleet.scenario.list);
        let control = LeafControl::new(&fleet.scenario.leaf.info, LeafSettings::default(), now);
        Core {
            table,
            control,
            connected: None,
            ticket_count: 0,
        }
    }

    fn handle(
        fleet: &mut LeafFleet,
        index: usize,
        now: Time,
        input: Input<Self>,
        out: &mut Vec<Outbound<Self::Message>>,
    ) -> Result<(), String> {
        advance_leaf(fleet)?;
        let Some(core) = &mut fleet.nodes[index].core else {
            return Ok(());
        };
        match input {
            Input::Tick => {
                core.table.tick(now, &|_| true, &NoConfig, out);
                for partition in core.table.draining() {
                    if core.control.in_flight() == 0 {
                        core.table.release_drained(now, &partition, out);
                    }
                }
                for _ in 0..fleet.rng.random_range(0..=MAX_BURST) {
                    core.ticket_count += 1;
                    let timeout = Duration::from_millis(fleet.rng.random_range(20..3_000));
                    let ticket = Ticket {
                        id: TicketId(core.ticket_count),
                        deadline: now + timeout,
                        alone: false,
                    };
                    let _ = core.control.enqueue(now, ticket);
                }
            }
            Input::Message(from, message) => {
                let _ = core.table.receive(now, &id(from), message, &NoConfig, out);
            }
            Input::Custom(Event::CallEnded(ticket, result)) => {
                core.control.finish(now, ticket, result)
            }
            Input::Custom(Event::Reset(instance)) => {
                if core.connected == Some(instance) {
                    core.connected = None;
                    core.control.record_disconnect(now);
                }
            }
        }
        dispatch(fleet, index, now);
        Ok(())
    }

    fn inject_fault(fleet: &mut LeafFleet, _: usize, _: u32) {
        // Resets reach the nodes after up to 20 ms. Until then, nodes may send on the closed connection.
        for (node, run, instance) in fleet.scenario.leaf.restart() {
            if fleet.nodes[node].run == run {
                fleet.schedule_event(20 * MS, node, Event::Reset(instance));
            }
        }
    }
}

/// Sends the calls that the node's leaf control allows.
fn dispatch(fleet: &mut LeafFleet, index: usize, now: Time) {
    let run = fleet.nodes[index].run;
    let Some(core) = &mut fleet.nodes[index].core else {
        return;
    };
    let ColdLeaf {
        leaf, partition, ..
    } = &mut fleet.scenario;
    loop {
        match core
            .control
            .next_action(now, core.table.expiry(now, partition))
        {
            LeafAction::Idle { .. } => return,
            LeafAction::Reject { .. } => {}
            LeafAction::Dispatch { ticket, deadline } => {
                let instance = *core.connected.get_or_insert(leaf.instance);
                let budget_us = deadline.since(now).as_micros() as u64;
                let call = Call {
                    node: index,
                    run,
                    ticket: ticket.id,
                    instance,
                    budget_us,
                };
                leaf.serial += 1;
                let at = fleet.now + fleet.rng.random_range(MS / 2..5 * MS);
                leaf.arrivals.insert((at, leaf.serial), call);
            }
        }
    }
}

/// Processes arrivals and ends of calls up to the current time, in order of time.
fn advance_leaf(fleet: &mut LeafFleet) -> Result<(), String> {
    loop {
        let leaf = &mut fleet.scenario.leaf;
        let arrival = leaf.arrivals.keys().next().copied();
        let end = leaf.running.keys().next().copied();
        let Some(next) = arrival
            .into_iter()
            .chain(end)
            .min()
            .filter(|next| next.0 <= fleet.now)
        else {
            return Ok(());
        };
        if Some(next) == end {
            let Some((call, answered)) = leaf.running.remove(&next) else {
                return Ok(());
            };
            leaf.answers += u32::from(answered);
            let result = match answered {
                true => CallResult::Answered {
                    cold: leaf.is_cold(),
                    instance: leaf.instance,
                },
                // The leaf stops at the deadline it was given and does not notify the node.
                false => CallResult::Lost,
            };
            send_event(fleet, &call, Event::CallEnded(call.ticket, result));
        } else if let Some(call) = leaf.arrivals.remove(&next) {
            start_call(fleet, next, call)?;
        }
    }
}

fn start_call(fleet: &mut LeafFleet, at: (u64, u64), call: Call) -> Result<(), String> {
    let leaf = &mut fleet.scenario.leaf;
    if call.instance != leaf.instance {
        send_event(
            fleet,
            &call,
            Event::CallEnded(call.ticket, CallResult::Lost),
        );
        send_event(fleet, &call, Event::Reset(call.instance));
        return Ok(());
    }
    let running = leaf.running.len() + 1;
    let capacity = if leaf.is_cold() {
        leaf.info.cold_capacity
    } else {
        leaf.info.slots
    };
    if running > usize::from(capacity) {
        let others: Vec<usize> = leaf.running.values().map(|(call, _)| call.node).collect();
        return Err(format!(
            "at {} a call of n{} is number {running} on a leaf with capacity {capacity}; the others are from {others:?}",
            at.0, call.node
        ));
    }
    leaf.executed += 1;
    let slow = fleet.rng.random_bool(0.05);
    let service_time = fleet
        .rng
        .random_range(MS..if slow { 3 * SECOND } else { 30 * MS });
    let limit = (call.budget_us as f64 / leaf.clock_rate) as u64;
    leaf.running.insert(
        (at.0 + service_time.min(limit), at.1),
        (call, service_time < limit),
    );
    Ok(())
}

fn send_event(fleet: &mut LeafFleet, call: &Call, event: Event) {
    if fleet.nodes[call.node].run == call.run {
        fleet.schedule_event(5 * MS, call.node, event);
    }
}

fn random_faults(mut rng: Pcg64) -> Result<u64, String> {
    let list = VmList {
        vms: (0..NODES)
            .map(|node| vm(node, DOMAINS, VmState::Live))
            .collect(),
    };
    let cold_capacity = rng.random_range(1..=2);
    let info = LeafInfo {
        domain: "d0".into(),
        slots: rng.random_range(cold_capacity..=6),
        connections: 25,
        cold_capacity,
        leaving: false,
    };
    let leaf = Leaf {
        info,
        clock_rate: rng.random_range(0.9..=1.1),
        instance: 1,
        answers: 0,
        arrivals: BTreeMap::new(),
        running: BTreeMap::new(),
        serial: 0,
        executed: 0,
    };
    let partition = PartitionId {
        domain: "d0".into(),
        bucket: 0,
    };
    let mut fleet = Fleet::new(
        rng,
        NODES,
        NODES,
        ColdLeaf {
            leaf,
            partition,
            list,
        },
    );
    fleet.run_faults(4 * SECOND, 30 * SECOND)?;
    (0..NODES).for_each(|node| fleet.start(node));
    let executed_before = fleet.scenario.leaf.executed;
    fleet.run_until(fleet.now + 20 * SECOND)?;
    match fleet.scenario.leaf.executed - executed_before {
        0 => Err("the leaf got no call after the faults ended".to_owned()),
        calls => Ok(calls),
    }
}

/// Guards against more calls on a cold leaf than its capacity, summed over a lease holder and its successor, under
/// kills, pauses, network partitions, lost and late lease messages, drifting clocks and restarts of the leaf.
#[test]
fn a_cold_leaf_is_never_overloaded_by_the_fleet() {
    let calls = schedules::run("fleet", 150, random_faults);
    assert!(calls > 0, "no call was executed");
    assert_eq!(invariant::violation_count(), 0);
}
