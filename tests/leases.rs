//! Leases under seeded random fault schedules. `SCHEDULES` sets the number of schedules, `SEED` repeats one.

mod schedules;

use std::collections::BTreeMap;

use cranberrychute::core::{
    Domain, Incarnation, NodeId, Outbound, PartitionId, Time,
    config::{VmList, VmState},
    invariant,
    lease::{Claim, ConfigDigest, LeaseMessage, LeaseSettings, LeaseTable, Verdict, VoteRequest},
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use schedules::{Fleet, Input, MS, SECOND, Scenario, id, vm};

/// Time from the end of all faults until every partition has a holder: 2 s to receive the list, the joint period on the
/// slowest clock for voters that have just started, a promise, and a few rounds with a back-off between them.
const SETTLE_TIMEOUT: u64 = 20 * SECOND;

/// Time after `SETTLE_TIMEOUT` until the preferred nodes hold all partitions: the handover delay on the slowest clock,
/// the time to drain the lease, and a few rounds.
const HANDOVER_TIMEOUT: u64 = 16 * SECOND;

/// Number of nodes that can be listed or running.
const MAX_NODES: usize = 10;
const DOMAINS: usize = 3;

#[derive(Clone)]
struct Version(u64);

impl ConfigDigest for Version {
    fn ahead_of(&self, other: &Self) -> bool {
        self.0 > other.0
    }
}

#[derive(Clone)]
enum Event {
    /// The node polls the platform for documents.
    Poll,
    /// Documents arrive from another node.
    Receive { list: usize, config: u64 },
    /// The last in-flight call of a partition that is being handed over has ended.
    Drained(PartitionId),
}

struct Core {
    table: LeaseTable,
    /// Versions of the list and of the configuration that the node has.
    list: usize,
    config: u64,
    /// True time of receipt and version of each configuration that the node has received.
    received_configs: Vec<(u64, u64)>,
    /// Nodes that this node considers dead.
    dead: Vec<NodeId>,
    /// Local time at which the node last ran.
    last_run: Time,
    /// Local time before which the node must not grant votes.
    muted_until: Time,
    draining: Vec<PartitionId>,
}

struct Leases {
    settings: LeaseSettings,
    partitions: Vec<PartitionId>,
    /// Published lists, the newest last, and the version of the newest configuration.
    lists: Vec<VmList>,
    config: u64,
    platform_up: bool,
    /// For each partition and process run, the true time until which its calls may reach the leaves.
    busy_until: BTreeMap<PartitionId, BTreeMap<(usize, u64), u64>>,
    /// Number of leases that were acquired.
    acquired: u64,
}

impl Leases {
    fn list(&self) -> &VmList {
        &self.lists[self.lists.len() - 1]
    }

    fn is_listed(&self, node: usize) -> bool {
        self.list().vms.iter().any(|vm| vm.id == id(node))
    }
}

impl Scenario for Leases {
    type Core = Core;
    type Message = LeaseMessage<Version>;
    type Event = Event;

    const FAULT_KINDS: u32 = 10;

    fn start(fleet: &mut Fleet<Self>, index: usize, now: Time) -> Core {
        fleet.schedule_event(2 * SECOND, index, Event::Poll);
        let settings = fleet.scenario.settings.clone();
        let muted_until = now + settings.mute_period;
        let incarnation = Incarnation(fleet.rng.random());
        let mut table = LeaseTable::new(id(index), incarnation, settings, now);
        table.set_partitions(now, fleet.scenario.partitions.iter().cloned().collect());
        Core {
            table,
            list: 0,
            config: 0,
            received_configs: Vec::new(),
            dead: Vec::new(),
            last_run: now,
            muted_until,
            draining: Vec::new(),
        }
    }

    fn handle(
        fleet: &mut Fleet<Self>,
        index: usize,
        now: Time,
        input: Input<Self>,
        out: &mut Vec<Outbound<Self::Message>>,
    ) -> Result<(), String> {
        let run = fleet.nodes[index].run;
        let Some(core) = &mut fleet.nodes[index].core else {
            return Ok(());
        };
        let local = Version(core.config);
        if !matches!(input, Input::Custom(_)) {
            if now.since(core.last_run) > fleet.scenario.settings.pause_threshold {
                core.muted_until = now + fleet.scenario.settings.mute_period;
            }
            core.last_run = now;
        }
        match input {
            Input::Tick => {
                let dead = &core.dead;
                core.table.tick(now, &|id| !dead.contains(id), &local, out);
            }
            Input::Message(from, message) => {
                let comparison = core.table.receive(now, &id(from), message, &local, out);
                send_documents(fleet, comparison.peer_ahead, from, index);
                send_documents(fleet, comparison.peer_behind, index, from);
            }
            Input::Custom(Event::Poll) => {
                if fleet.scenario.platform_up && !fleet.split_off.contains(&index) {
                    let (list, config) = (fleet.scenario.lists.len(), fleet.scenario.config);
                    apply_documents(fleet, index, list, config);
                }
                fleet.schedule_event(2 * SECOND, index, Event::Poll);
            }
            Input::Custom(Event::Receive { list, config }) => {
                apply_documents(fleet, index, list, config)
            }
            Input::Custom(Event::Drained(partition)) => {
                core.table.release_drained(now, &partition, out);
                core.draining.retain(|draining| *draining != partition);
                if let Some(runs) = fleet.scenario.busy_until.get_mut(&partition) {
                    runs.remove(&(index, run));
                }
            }
        }
        check_leases(fleet, index, now, out)
    }

    fn inject_fault(fleet: &mut Fleet<Self>, index: usize, kind: u32) {
        match kind {
            7 => change_list(fleet, index),
            8 => fleet.scenario.config += 1,
            _ => {
                fleet.scenario.platform_up = !fleet.scenario.platform_up;
                let dead = (0..MAX_NODES)
                    .filter(|_| fleet.rng.random_bool(0.2))
                    .map(id);
                let dead = dead.collect();
                if let Some(core) = &mut fleet.nodes[index].core {
                    core.dead = dead;
                }
            }
        }
    }
}

/// Sends documents from one node to another if `needed` and the network delivers them.
fn send_documents(fleet: &mut Fleet<Leases>, needed: bool, from: usize, to: usize) {
    if needed
        && fleet.delivers(from, to)
        && let Some(Core { list, config, .. }) = &fleet.nodes[from].core
    {
        let (list, config) = (*list, *config);
        fleet.schedule_event(5 * MS, to, Event::Receive { list, config });
    }
}

fn apply_documents(fleet: &mut Fleet<Leases>, index: usize, list: usize, config: u64) {
    let now = fleet.nodes[index].local_time(fleet.now);
    let Some(core) = &mut fleet.nodes[index].core else {
        return;
    };
    if config > core.config {
        core.config = config;
        core.received_configs.push((fleet.now, config));
    }
    if list > core.list {
        core.list = list;
        core.table
            .set_vms(now, list as u64, &fleet.scenario.lists[list - 1]);
    }
}

/// Publishes a list with one VM added, removed or in another state.
fn change_list(fleet: &mut Fleet<Leases>, index: usize) {
    let mut list = fleet.scenario.list().clone();
    match list.vms.iter().position(|vm| vm.id == id(index)) {
        None => {
            list.vms.push(vm(index, DOMAINS, VmState::Live));
            fleet.schedule_start(3 * SECOND, index);
        }
        Some(_) if list.vms.len() <= 3 => return,
        Some(position) if fleet.rng.random_bool(0.3) => list.vms[position].state = VmState::Leaving,
        Some(position) => {
            list.vms.remove(position);
            if fleet.rng.random_bool(0.7) {
                fleet.kill(index);
            }
        }
    }
    fleet.scenario.lists.push(list);
}

/// Checks the leases and votes after one node has handled an input.
fn check_leases(
    fleet: &mut Fleet<Leases>,
    index: usize,
    now: Time,
    out: &[Outbound<LeaseMessage<Version>>],
) -> Result<(), String> {
    let node = &fleet.nodes[index];
    let Some(core) = &node.core else {
        return Ok(());
    };
    let granted = out.iter().any(|out| {
        let LeaseMessage::Reply(reply) = &out.message else {
            return false;
        };
        let mut votes = reply.votes.iter();
        votes.any(|vote| matches!(vote.verdict, Verdict::Granted { .. }))
    });
    if granted && now < core.muted_until {
        return Err(format!("n{index} granted a vote while muted"));
    }
    let draining = core.table.draining().into_iter();
    let new_draining: Vec<_> = draining
        .filter(|partition| !core.draining.contains(partition))
        .collect();
    let (own_run, true_now, scenario) = ((index, node.run), fleet.now, &mut fleet.scenario);
    let held = scenario.partitions.iter();
    let held = held.filter_map(|partition| Some((partition, core.table.expiry(now, partition)?)));
    let held: Vec<(&PartitionId, Time)> = held.collect();
    let holds = !held.is_empty();
    for (partition, expiry) in held {
        if expiry > now + scenario.settings.lease_duration {
            return Err(format!(
                "n{index} holds {partition} for longer than requested"
            ));
        }
        let runs = scenario.busy_until.entry(partition.clone()).or_default();
        runs.retain(|_, until| *until > true_now);
        if let Some(((other, run), until)) = runs.iter().find(|(other, _)| **other != own_run) {
            return Err(format!(
                "at {true_now} n{index} (list {}) holds {partition}, also held by n{other} in run {run} until {until}",
                core.list
            ));
        }
        scenario.acquired += u64::from(!runs.contains_key(&own_run));
        let until = runs.entry(own_run).or_default();
        *until = (*until).max(node.true_time(expiry));
    }
    for partition in new_draining {
        if let Some(core) = &mut fleet.nodes[index].core {
            core.draining.push(partition.clone());
        }
        fleet.schedule_event(3 * SECOND, index, Event::Drained(partition));
    }
    if holds && is_outdated(fleet, index) {
        return Err(format!(
            "at {true_now} n{index} holds a lease on an outdated configuration"
        ));
    }
    Ok(())
}

/// Returns whether a majority has had a newer configuration than a node for longer than a lease. Applies only to nodes
/// that have the newest list, and to fleets in which all listed nodes are voters.
fn is_outdated(fleet: &Fleet<Leases>, index: usize) -> bool {
    let Leases {
        settings, lists, ..
    } = &fleet.scenario;
    let list = &fleet.scenario.list().vms;
    let Some(core) = &fleet.nodes[index].core else {
        return false;
    };
    // The length of a lease on the slowest clock, in true time.
    let lease = (settings.lease_duration.as_micros() as f64 / 0.9) as u64;
    let has_newer = |node: usize| {
        fleet.nodes[node].core.as_ref().is_some_and(|other| {
            let mut configs = other.received_configs.iter();
            configs.any(|(received, config)| received + lease < fleet.now && *config > core.config)
        })
    };
    let newer_count = list
        .iter()
        .filter(|vm| has_newer(schedules::index(&vm.id)))
        .count();
    core.list == lists.len() && list.len() <= settings.voters && 2 * newer_count > list.len()
}

fn holder(fleet: &Fleet<Leases>, partition: &PartitionId) -> Result<usize, String> {
    let holds = |index: &usize| {
        let node = &fleet.nodes[*index];
        let now = node.local_time(fleet.now);
        let core = node.core.as_ref();
        core.is_some_and(|core| core.table.expiry(now, partition).is_some())
    };
    (0..MAX_NODES)
        .find(holds)
        .ok_or(format!("{partition} has no holder after the faults"))
}

fn new_fleet(mut rng: Pcg64) -> Fleet<Leases> {
    let size = rng.random_range(3..=8);
    let vms = (0..size).map(|node| vm(node, DOMAINS, VmState::Live));
    let partition = |domain| PartitionId {
        domain: Domain::from(format!("d{domain}")),
        bucket: 0,
    };
    let scenario = Leases {
        settings: LeaseSettings {
            voters: [3, 5, 9][rng.random_range(0..3)],
            ..LeaseSettings::default()
        },
        partitions: (0..DOMAINS).map(partition).collect(),
        lists: vec![VmList { vms: vms.collect() }],
        config: 1,
        platform_up: true,
        busy_until: BTreeMap::new(),
        acquired: 0,
    };
    Fleet::new(rng, MAX_NODES, size, scenario)
}

/// Ends all faults and checks that every partition gets a holder and is later handed over to the preferred one.
fn check_recovery(mut fleet: Fleet<Leases>) -> Result<u64, String> {
    let end = fleet.now;
    // All listed nodes run and are reachable, all others are stopped.
    fleet.split_off.clear();
    fleet.scenario.platform_up = true;
    let mut list = fleet.scenario.list().clone();
    list.vms.iter_mut().for_each(|vm| vm.state = VmState::Live);
    fleet.scenario.lists.push(list);
    for index in 0..MAX_NODES {
        match fleet.scenario.is_listed(index) {
            true => fleet.start(index),
            false => fleet.kill(index),
        }
        if let Some(core) = &mut fleet.nodes[index].core {
            core.dead.clear();
        }
    }
    fleet.run_until(end + SETTLE_TIMEOUT)?;
    for partition in &fleet.scenario.partitions {
        holder(&fleet, partition)?;
    }
    fleet.run_until(end + SETTLE_TIMEOUT + HANDOVER_TIMEOUT)?;
    for partition in &fleet.scenario.partitions {
        let holder = id(holder(&fleet, partition)?);
        for node in &fleet.nodes {
            let now = node.local_time(fleet.now);
            let hint = node
                .core
                .as_ref()
                .map(|core| core.table.holder_hint(now, partition));
            if hint
                .as_ref()
                .is_some_and(|hint| *hint != Some(holder.clone()))
            {
                return Err(format!(
                    "{holder} holds {partition}, but the hint of another node is {hint:?}"
                ));
            }
        }
    }
    Ok(fleet.scenario.acquired)
}

fn random_faults(rng: Pcg64) -> Result<u64, String> {
    let mut fleet = new_fleet(rng);
    let end = 5 * SECOND + fleet.rng.random_range(5 * SECOND..25 * SECOND);
    fleet.run_faults(5 * SECOND, end)?;
    check_recovery(fleet)
}

/// Splits the network in two for longer than the joint period. Meanwhile, a VM that still runs is removed from the list
/// and others are added.
fn long_partition(rng: Pcg64) -> Result<u64, String> {
    let mut fleet = new_fleet(rng);
    fleet.run_until(8 * SECOND)?;
    let split_off = (0..MAX_NODES).filter(|_| fleet.rng.random_bool(0.5));
    fleet.split_off = split_off.collect();
    let removed = fleet.rng.random_range(0..3);
    for change in 0..4 {
        let mut list = fleet.scenario.list().clone();
        match change {
            0 if list.vms.len() > 3 => drop(list.vms.remove(removed)),
            _ => {
                let added = fleet.rng.random_range(3..MAX_NODES);
                if !fleet.scenario.is_listed(added) {
                    list.vms.push(vm(added, DOMAINS, VmState::Live));
                    fleet.start(added);
                }
            }
        }
        fleet.scenario.lists.push(list);
        let index = fleet.rng.random_range(0..MAX_NODES);
        let dead = (0..MAX_NODES)
            .filter(|_| fleet.rng.random_bool(0.3))
            .map(id);
        let dead = dead.collect();
        if let Some(core) = &mut fleet.nodes[index].core {
            core.dead = dead;
        }
        let next = fleet.now + fleet.rng.random_range(SECOND..9 * SECOND);
        fleet.run_until(next)?;
    }
    fleet.run_until(35 * SECOND)?;
    check_recovery(fleet)
}

/// Guards against two holders at the same time, leases on an outdated configuration, votes granted too early after a
/// restart or a pause, and partitions that stay without a holder.
#[test]
fn one_holder_at_most_under_faults() {
    let acquired = schedules::run("leases", 80, random_faults);
    assert!(acquired > 0, "no lease was acquired");
    assert_eq!(invariant::violation_count(), 0);
}

/// Guards against a second holder after the joint period: majorities of the old and the new voters need not overlap, so
/// each side of a network partition could grant a lease to its own holder.
#[test]
fn one_holder_at_most_in_a_long_partition() {
    schedules::run("long partition", 40, long_partition);
    assert_eq!(invariant::violation_count(), 0);
}

/// Guards against a second holder whose voters share no node with those of the first one and have forgotten the list
/// under which it still renews its lease.
#[test]
fn voters_remember_replaced_lists_in_a_long_partition() {
    long_partition(Pcg64::seed_from_u64(1392)).unwrap();
}

/// Guards against a late release that ends a promise renewed in the meantime, and against votes for a node with an
/// outdated list.
#[test]
fn late_release_and_outdated_list_are_rejected() {
    let now = Time::from_millis(5_000);
    let mut table = LeaseTable::new(id(0), Incarnation(1), LeaseSettings::default(), Time(0));
    let vms = (0..3).map(|node| vm(node, 1, VmState::Live)).collect();
    table.set_vms(Time(0), 2, &VmList { vms });
    let partition = PartitionId {
        domain: "d0".into(),
        bucket: 0,
    };
    let mut send = |now, from, message| {
        let mut out = Vec::new();
        table.receive(now, &id(from), message, &Version(1), &mut out);
        match out.pop().map(|out| out.message) {
            Some(LeaseMessage::Reply(mut reply)) => reply.votes.pop().map(|vote| vote.verdict),
            _ => None,
        }
    };
    let request = |round, epoch, sets| {
        let partition = partition.clone();
        LeaseMessage::Request(VoteRequest {
            incarnation: Incarnation(1),
            round,
            epoch,
            digest: Version(1),
            claims: vec![Claim { partition, sets }],
        })
    };
    let release = |round| LeaseMessage::Release {
        incarnation: Incarnation(1),
        round,
        partitions: vec![partition.clone()],
    };
    // Without messages in between, the table would treat the gap of 5 s as a pause.
    for second in 1..5 {
        send(Time::from_millis(1_000 * second), 1, release(0));
    }
    let Some(Verdict::Sets(sets)) = send(now, 1, request(1, 2, Vec::new().into())) else {
        panic!("a claim without sets was not answered with the voter's active sets");
    };
    let granted = Some(Verdict::Granted { settled: false });
    assert_eq!(
        send(now, 1, request(1, 1, sets.clone())),
        Some(Verdict::ListBehind)
    );
    assert_eq!(send(now, 1, request(2, 2, sets.clone())), granted);
    assert_eq!(send(now, 1, request(3, 2, sets.clone())), granted);
    send(now, 1, release(2));
    let held = Some(Verdict::Held { by: id(1) });
    assert_eq!(send(now, 2, request(1, 2, sets.clone())), held);
    send(now, 1, release(3));
    assert_eq!(send(now, 2, request(2, 2, sets)), granted);
}
