//! Leases under seeded schedules of faults. `SCHEDULES` sets their number, `SEED` repeats one.

mod schedules;

use std::collections::BTreeMap;

use cranberrychute::core::{
    Domain, Incarnation, NodeId, Outbound, PartitionId, Time,
    config::{VmList, VmState},
    invariant,
    lease::{Claim, ConfigDigest, LeaseMessage, LeaseSettings, LeaseTable, Verdict, VoteRequest},
};
use rand::Rng;
use rand_pcg::Pcg64;
use schedules::{Fleet, Input, MS, SECOND, Scenario, id, vm};

/// Time from the end of all faults until every partition has a holder: 2 s to learn the list, the joint period on
/// the slowest clock for voters that have just started, a promise, and a few rounds and a pause between them.
const SETTLE: u64 = 20 * SECOND;

/// Time from then on until the preferred nodes hold all partitions: the handover period on the slowest clock,
/// the drained lease and a few rounds.
const HAND_OVER: u64 = 16 * SECOND;

const POOL: usize = 10;
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
    /// The node asks the platform.
    Poll,
    /// Another node's documents arrive.
    Learn { list: usize, config: u64 },
    /// The last call in flight of a partition that is handed over has ended.
    Drained(PartitionId),
}

struct Core {
    table: LeaseTable,
    list: usize,
    config: u64,
    /// When each configuration was learnt.
    learnt: Vec<(u64, u64)>,
    /// Nodes taken for dead.
    dead: Vec<NodeId>,
    /// On its own clock: when the node last ran, and until when it must not grant.
    last: Time,
    muted: Time,
    draining: Vec<PartitionId>,
}

struct Leases {
    settings: LeaseSettings,
    partitions: Vec<PartitionId>,
    /// Published lists, the newest last, and the newest configuration.
    lists: Vec<VmList>,
    config: u64,
    platform: bool,
    /// Until when calls of each run may reach a partition's leaves, in true time.
    busy: BTreeMap<PartitionId, BTreeMap<(usize, u64), u64>>,
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
        let muted = now + settings.mute_period;
        let incarnation = Incarnation(fleet.rng.random());
        let mut table = LeaseTable::new(id(index), incarnation, settings, now);
        table.set_partitions(now, fleet.scenario.partitions.iter().cloned().collect());
        Core {
            table,
            list: 0,
            config: 0,
            learnt: Vec::new(),
            dead: Vec::new(),
            last: now,
            muted,
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
        let mine = Version(core.config);
        if !matches!(input, Input::Custom(_)) {
            if now.since(core.last) > fleet.scenario.settings.pause_threshold {
                core.muted = now + fleet.scenario.settings.mute_period;
            }
            core.last = now;
        }
        match input {
            Input::Tick => {
                let dead = &core.dead;
                core.table.tick(now, &|id| !dead.contains(id), &mine, out);
            }
            Input::Message(from, message) => {
                let received = core.table.receive(now, &id(from), message, &mine, out);
                exchange(fleet, received.peer_ahead, from, index);
                exchange(fleet, received.peer_behind, index, from);
            }
            Input::Custom(Event::Poll) => {
                if fleet.scenario.platform && !fleet.split_off.contains(&index) {
                    let (list, config) = (fleet.scenario.lists.len(), fleet.scenario.config);
                    learn(fleet, index, list, config);
                }
                fleet.schedule_event(2 * SECOND, index, Event::Poll);
            }
            Input::Custom(Event::Learn { list, config }) => learn(fleet, index, list, config),
            Input::Custom(Event::Drained(partition)) => {
                core.table.release_drained(now, &partition, out);
                core.draining.retain(|draining| *draining != partition);
                if let Some(runs) = fleet.scenario.busy.get_mut(&partition) {
                    runs.remove(&(index, run));
                }
            }
        }
        inspect(fleet, index, now, out)
    }

    fn inject_fault(fleet: &mut Fleet<Self>, index: usize, kind: u32) {
        match kind {
            7 => change_list(fleet, index),
            8 => fleet.scenario.config += 1,
            _ => {
                fleet.scenario.platform = !fleet.scenario.platform;
                let dead = (0..POOL).filter(|_| fleet.rng.random_bool(0.2)).map(id);
                let dead = dead.collect();
                if let Some(core) = &mut fleet.nodes[index].core {
                    core.dead = dead;
                }
            }
        }
    }
}

/// Sends documents from one node to another where the transport allows it.
fn exchange(fleet: &mut Fleet<Leases>, wanted: bool, from: usize, to: usize) {
    if wanted
        && fleet.delivers(from, to)
        && let Some(Core { list, config, .. }) = &fleet.nodes[from].core
    {
        let (list, config) = (*list, *config);
        fleet.schedule_event(5 * MS, to, Event::Learn { list, config });
    }
}

fn learn(fleet: &mut Fleet<Leases>, index: usize, list: usize, config: u64) {
    let now = fleet.nodes[index].local_time(fleet.now);
    let Some(core) = &mut fleet.nodes[index].core else {
        return;
    };
    if config > core.config {
        core.config = config;
        core.learnt.push((fleet.now, config));
    }
    if list > core.list {
        core.list = list;
        core.table
            .set_vms(now, list as u64, &fleet.scenario.lists[list - 1]);
    }
}

/// Publishes a list with one VM more, less or in another state.
fn change_list(fleet: &mut Fleet<Leases>, index: usize) {
    let mut list = fleet.scenario.list().clone();
    match list.vms.iter().position(|vm| vm.id == id(index)) {
        None => {
            list.vms.push(vm(index, DOMAINS, VmState::Live));
            fleet.schedule_start(3 * SECOND, index);
        }
        Some(_) if list.vms.len() <= 3 => return,
        Some(place) if fleet.rng.random_bool(0.3) => list.vms[place].state = VmState::Leaving,
        Some(place) => {
            list.vms.remove(place);
            if fleet.rng.random_bool(0.7) {
                fleet.kill(index);
            }
        }
    }
    fleet.scenario.lists.push(list);
}

/// Checks the leases and votes after a step of one node.
fn inspect(
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
    if granted && now < core.muted {
        return Err(format!("n{index} granted while muted"));
    }
    let drain = core.table.draining().into_iter();
    let drain: Vec<_> = drain
        .filter(|partition| !core.draining.contains(partition))
        .collect();
    let (me, at, scenario) = ((index, node.run), fleet.now, &mut fleet.scenario);
    let held = scenario.partitions.iter();
    let held = held.filter_map(|partition| Some((partition, core.table.expiry(now, partition)?)));
    let held: Vec<(&PartitionId, Time)> = held.collect();
    let holds = !held.is_empty();
    for (partition, expiry) in held {
        if expiry > now + scenario.settings.lease_duration {
            return Err(format!(
                "n{index} holds {partition} for longer than it asked"
            ));
        }
        let runs = scenario.busy.entry(partition.clone()).or_default();
        runs.retain(|_, until| *until > at);
        if let Some(((other, run), until)) = runs.iter().find(|(other, _)| **other != me) {
            return Err(format!(
                "at {at} n{index} (list {}) holds {partition}, which n{other} run {run} holds until {until}",
                core.list
            ));
        }
        scenario.acquired += u64::from(!runs.contains_key(&me));
        let until = runs.entry(me).or_default();
        *until = (*until).max(node.true_time(expiry));
    }
    for partition in drain {
        if let Some(core) = &mut fleet.nodes[index].core {
            core.draining.push(partition.clone());
        }
        fleet.schedule_event(3 * SECOND, index, Event::Drained(partition));
    }
    if holds && is_outdated(fleet, index) {
        return Err(format!(
            "at {at} n{index} holds a lease on an outdated configuration"
        ));
    }
    Ok(())
}

/// Returns whether a majority has known a newer configuration than a node for longer than a lease. Looks only at
/// nodes that have the newest list, and at fleets where all listed nodes are voters.
fn is_outdated(fleet: &Fleet<Leases>, index: usize) -> bool {
    let Leases {
        settings, lists, ..
    } = &fleet.scenario;
    let list = &fleet.scenario.list().vms;
    let Some(core) = &fleet.nodes[index].core else {
        return false;
    };
    let lease = (settings.lease_duration.as_micros() as f64 / 0.9) as u64;
    let knows = |node: usize| {
        fleet.nodes[node].core.as_ref().is_some_and(|other| {
            let mut learnt = other.learnt.iter();
            learnt.any(|(since, config)| since + lease < fleet.now && *config > core.config)
        })
    };
    let know = list
        .iter()
        .filter(|vm| knows(schedules::index(&vm.id)))
        .count();
    core.list == lists.len() && list.len() <= settings.voters && 2 * know > list.len()
}

fn holder(fleet: &Fleet<Leases>, partition: &PartitionId) -> Result<usize, String> {
    let holds = |index: &usize| {
        let node = &fleet.nodes[*index];
        let now = node.local_time(fleet.now);
        let core = node.core.as_ref();
        core.is_some_and(|core| core.table.expiry(now, partition).is_some())
    };
    (0..POOL)
        .find(holds)
        .ok_or(format!("{partition} has no holder after the faults"))
}

fn fleet(mut rng: Pcg64) -> Fleet<Leases> {
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
        platform: true,
        busy: BTreeMap::new(),
        acquired: 0,
    };
    Fleet::new(rng, POOL, size, scenario)
}

/// Ends all faults and checks that every partition gets a holder, and at last the preferred one.
fn settle(mut fleet: Fleet<Leases>) -> Result<u64, String> {
    let end = fleet.now;
    // Every listed node runs and is reached, every other one is gone.
    fleet.split_off.clear();
    fleet.scenario.platform = true;
    let mut list = fleet.scenario.list().clone();
    list.vms.iter_mut().for_each(|vm| vm.state = VmState::Live);
    fleet.scenario.lists.push(list);
    for index in 0..POOL {
        match fleet.scenario.is_listed(index) {
            true => fleet.start(index),
            false => fleet.kill(index),
        }
        if let Some(core) = &mut fleet.nodes[index].core {
            core.dead.clear();
        }
    }
    fleet.run_until(end + SETTLE)?;
    for partition in &fleet.scenario.partitions {
        holder(&fleet, partition)?;
    }
    fleet.run_until(end + SETTLE + HAND_OVER)?;
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
                    "{holder} holds {partition}, another node says {hint:?}"
                ));
            }
        }
    }
    Ok(fleet.scenario.acquired)
}

fn any_faults(rng: Pcg64) -> Result<u64, String> {
    let mut fleet = fleet(rng);
    let end = 5 * SECOND + fleet.rng.random_range(5 * SECOND..25 * SECOND);
    fleet.run_faults(5 * SECOND, end)?;
    settle(fleet)
}

/// Cuts the fleet in two for longer than the joint period. One VM is declared gone although it runs, and others
/// are added.
fn long_partition(rng: Pcg64) -> Result<u64, String> {
    let mut fleet = fleet(rng);
    fleet.run_until(8 * SECOND)?;
    let island = (0..POOL).filter(|_| fleet.rng.random_bool(0.5));
    fleet.split_off = island.collect();
    let removed = fleet.rng.random_range(0..3);
    for change in 0..4 {
        let mut list = fleet.scenario.list().clone();
        match change {
            0 if list.vms.len() > 3 => drop(list.vms.remove(removed)),
            _ => {
                let added = fleet.rng.random_range(3..POOL);
                if !fleet.scenario.is_listed(added) {
                    list.vms.push(vm(added, DOMAINS, VmState::Live));
                    fleet.start(added);
                }
            }
        }
        fleet.scenario.lists.push(list);
        let index = fleet.rng.random_range(0..POOL);
        let dead = (0..POOL).filter(|_| fleet.rng.random_bool(0.3)).map(id);
        let dead = dead.collect();
        if let Some(core) = &mut fleet.nodes[index].core {
            core.dead = dead;
        }
        let next = fleet.now + fleet.rng.random_range(SECOND..9 * SECOND);
        fleet.run_until(next)?;
    }
    fleet.run_until(35 * SECOND)?;
    settle(fleet)
}

/// Guards against two holders at once, leases on outdated configuration, grants that a restart or a pause
/// should prevent, and partitions that stay without a holder.
#[test]
fn one_holder_at_most_under_faults() {
    let acquired = schedules::run("leases", 80, any_faults);
    assert!(acquired > 0, "no lease was ever acquired");
    assert_eq!(invariant::violations(), 0);
}

/// Guards against a second holder when the voters of the old and the new list need not overlap and the joint
/// period is over.
#[test]
fn one_holder_at_most_in_a_long_partition() {
    schedules::run("long partition", 40, long_partition);
    assert_eq!(invariant::violations(), 0);
}

/// Guards against a release that arrives late and frees a promise renewed since, and against votes for a node
/// with an outdated list.
#[test]
fn late_release_and_old_list_are_refused() {
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
    // The table would take a first message after 5 s for the end of a pause.
    for second in 1..5 {
        send(Time::from_millis(1_000 * second), 1, release(0));
    }
    let Some(Verdict::Sets(sets)) = send(now, 1, request(1, 2, Vec::new().into())) else {
        panic!("a claim without sets was not answered with the voter's own");
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
