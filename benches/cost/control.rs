//! Control messages and CPU of the control cores by size of the fleet.
//!
//! The cores of all nodes (for leases, of all nodes of one region) run in this process in simulated time. Membership
//! and lease figures come from a sample of the nodes.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    hint::black_box,
    net::SocketAddr,
    thread,
    time::Duration,
};

use cranberrychute::{
    adapter::peer::ControlSocket,
    core::{
        Domain, FleetKey, Incarnation, LeafId, NodeId, Outbound, PartitionId, Time,
        config::{
            ConfigStore, Digest, Document, Vm, VmList, VmState,
            relay::{Relay, RelayMessage, RelayOutbox, read_role},
        },
        crash::CrashEvent,
        lease::{LeaseMessage, LeaseSettings, LeaseTable},
        member::{Liveness, MemberMessage, MemberSettings, Membership, Probe, Rumor},
    },
};
use rand::{Rng, SeedableRng, seq::index};
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};
use serde_json::json;
use smallvec::SmallVec;

use crate::{
    data::SEED,
    measure::{Table, add_fit, process_cpu_us, resident_kib, thread_cpu_us},
};

const FLEET_SIZES: [usize; 4] = [60, 300, 1_125, 2_800];
const FULL_SIZE: usize = 2_800;
const DOMAINS: usize = 15;
const REGIONS: usize = 5;
/// Partitions per failure domain at full size; smaller fleets have proportionally fewer.
const PARTITIONS_PER_DOMAIN: usize = 280;
/// Leaves at full size.
const LEAVES: usize = 49_000;
const VOTERS: usize = 5;
/// Interval between simulation steps, which is also the network latency of a message.
const STEP_INTERVAL: Duration = Duration::from_millis(5);
/// Steps between ticks of a sampled node, which correspond to the tick interval of a real node.
const TICK_STEPS: usize = 10;
/// Steps between ticks of the other nodes.
const SLOW_TICK_STEPS: usize = 20;
/// Number of nodes whose messages and CPU are measured.
const SAMPLED_NODES: usize = 16;
/// Threads that run the membership simulation.
const THREADS: usize = 6;
const MAC_BYTES: usize = 16;
/// Size of the UDP and IPv4 headers of a datagram.
const HEADER_BYTES: f64 = 28.0;

/// Payload of membership probes, like the private type in `node::control` but without alarm summaries.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Payload {
    digest: Digest,
    crashes: SmallVec<[CrashEvent; 4]>,
    leaving: bool,
}

impl Payload {
    fn new() -> Self {
        let digest = Digest {
            hash: 0x9e37_79b9_7f4a_7c15,
            totals: [12, 48_000, 3_400, 410_000],
        };
        Self {
            digest,
            crashes: SmallVec::new(),
            leaving: false,
        }
    }
}

/// Message of a control datagram: the measured variants of the private type in `node::control`.
#[derive(Serialize)]
enum Control<'a> {
    Member(&'a MemberMessage<Payload>),
    Lease(&'a LeaseMessage<Digest>),
    Relay(&'a RelayMessage),
}

/// Returns the size of a datagram in bytes, without UDP and IP headers.
fn datagram_bytes(from: &NodeId, message: &Control<'_>) -> usize {
    let envelope = (from, Incarnation(u64::MAX / 3), message);
    let size = postcard::experimental::serialized_size(&envelope).expect("message is encodable");
    MAC_BYTES + size
}

/// Messages and bytes sent and CPU microseconds used by the sampled nodes.
#[derive(Clone, Copy, Default)]
struct Usage {
    messages: f64,
    bytes: f64,
    cpu: f64,
}

impl Usage {
    /// Returns messages, bytes with headers and CPU microseconds per node and second.
    fn rates(self, nodes: usize, seconds: f64) -> [f64; 3] {
        let scale = 1.0 / nodes as f64 / seconds;
        let bytes = self.bytes + HEADER_BYTES * self.messages;
        [self.messages * scale, bytes * scale, self.cpu * scale]
    }
}

fn node_name(i: usize) -> NodeId {
    format!("entry-{:02}-{:04}", i % DOMAINS, i / DOMAINS).into()
}

fn domain_name(i: usize) -> Domain {
    format!("zone-{:02}", i % DOMAINS).into()
}

/// Returns the VM list of a fleet: node `n` is in domain `n % 15`, and three domains form a region.
fn vm_list(nodes: impl IntoIterator<Item = usize>) -> VmList {
    let vm = |i: usize| {
        let address =
            |port| SocketAddr::from(([10, (i >> 16) as u8, (i >> 8) as u8, i as u8], port));
        Vm {
            id: node_name(i),
            domain: domain_name(i),
            region: Some(format!("region-{}", i % DOMAINS % REGIONS).into()),
            state: VmState::Live,
            caller: address(8_080),
            peer: address(8_081),
            control: address(8_082),
        }
    };
    VmList {
        vms: nodes.into_iter().map(vm).collect(),
    }
}

fn partitions(fleet: usize, domains: impl Iterator<Item = usize>) -> BTreeSet<PartitionId> {
    let buckets = (PARTITIONS_PER_DOMAIN * fleet).div_ceil(FULL_SIZE) as u16;
    domains
        .flat_map(|domain| (0..buckets).map(move |bucket| (domain, bucket)))
        .map(|(domain, bucket)| PartitionId {
            domain: domain_name(domain),
            bucket,
        })
        .collect()
}

/// Measures the CPU of sending and receiving datagrams, including encoding and MAC.
pub(crate) async fn datagram() {
    const COUNT: u32 = 4_000;
    let key = FleetKey::new([7; 32]);
    let bind = |name: &str| {
        ControlSocket::bind(
            SocketAddr::from(([127, 0, 0, 1], 0)),
            NodeId::from(name),
            Incarnation(u64::MAX / 3),
            &key,
        )
    };
    let sender = bind("entry-01-0001").await.expect("bind to loopback");
    let receiver = bind("entry-02-0002").await.expect("bind to loopback");
    let address = receiver.local_addr().expect("socket is bound");
    let mut table = Table::new("datagram", "bytes,datagrams,CPU us to send and receive one");
    let mut points = Vec::new();
    for rumors in [0, 4, 8, 16] {
        let rumor = |i| Rumor {
            node: node_name(i),
            incarnation: Incarnation(u64::MAX / 3),
            refutation: 1,
            liveness: Liveness::Suspect,
        };
        let message = MemberMessage {
            incarnation: Incarnation(u64::MAX / 3),
            refutation: 0,
            probe: Probe::Ping { seq: 90_000 },
            rumors: (0..rumors).map(rumor).collect(),
            payload: Payload::new(),
        };
        let from = NodeId::from("entry-01-0001");
        let bytes = datagram_bytes(&from, &Control::Member(&message));
        let start = process_cpu_us();
        for _ in 0..COUNT {
            let sent = sender.send(address, message.clone(), Err).await;
            sent.expect("send over loopback");
            let received = receiver.receive::<MemberMessage<Payload>>().await;
            black_box(received.expect("receive over loopback"));
        }
        let used = (process_cpu_us() - start) / f64::from(COUNT);
        table.row(bytes, &[f64::from(COUNT), used]);
        points.push((bytes as f64, used));
    }
    let mut table = Table::new("datagram-fit", "series,per datagram,per byte");
    add_fit(&mut table, "CPU us", &points);
}

/// Simulated membership of all nodes of a fleet.
struct MemberFleet {
    names: Vec<NodeId>,
    index: HashMap<NodeId, usize>,
    list: VmList,
    nodes: Vec<Membership>,
    up: Vec<bool>,
    sampled: Vec<bool>,
    inbox: Vec<(usize, usize, MemberMessage<Payload>)>,
    payload: Payload,
    now: Time,
    step: usize,
    rng: Pcg64,
    /// Random generators, one per thread.
    rngs: Vec<Pcg64>,
    usage: Usage,
}

impl MemberFleet {
    fn new(size: usize) -> Self {
        let mut rng = Pcg64::seed_from_u64(SEED);
        let names: Vec<NodeId> = (0..size).map(node_name).collect();
        let list = vm_list(0..size);
        let now = Time::from_millis(1_000);
        // No samples from domain 0, which fails later.
        let samples: HashSet<usize> = index::sample(&mut rng, size, size)
            .into_iter()
            .filter(|i| i % DOMAINS != 0)
            .take(SAMPLED_NODES)
            .collect();
        let mut fleet = Self {
            index: names.iter().cloned().zip(0..).collect(),
            names,
            list,
            nodes: Vec::new(),
            up: vec![true; size],
            sampled: (0..size).map(|i| samples.contains(&i)).collect(),
            inbox: Vec::new(),
            payload: Payload::new(),
            now,
            step: 0,
            rngs: (0..THREADS as u64)
                .map(|i| Pcg64::seed_from_u64(SEED + 1 + i))
                .collect(),
            rng,
            usage: Usage::default(),
        };
        for i in 0..size {
            let node = fleet.start(i);
            fleet.nodes.push(node);
        }
        fleet
    }

    /// Returns the membership of a newly started node.
    fn start(&mut self, i: usize) -> Membership {
        let incarnation = Incarnation(self.rng.random());
        // Real nodes do not start simultaneously: the first probe is due at a random time within a probe interval.
        let phase = Duration::from_millis(self.rng.random_range(0..1_000));
        let mut node = Membership::new(
            self.names[i].clone(),
            incarnation,
            MemberSettings::default(),
            self.now + phase,
        );
        node.set_vms(self.now, &self.list);
        node
    }

    fn send(&mut self, i: usize, out: Vec<Outbound<MemberMessage<Payload>>>) {
        for Outbound { to, message } in out {
            if self.sampled[i] {
                let control = Control::Member(&message);
                self.usage.messages += 1.0;
                self.usage.bytes += datagram_bytes(&self.names[i], &control) as f64;
            }
            self.inbox.push((self.index[&to], i, message));
        }
    }

    fn advance(&mut self) {
        self.now = self.now + STEP_INTERVAL;
        self.step += 1;
        let payload = self.payload.clone();
        for (to, from, message) in std::mem::take(&mut self.inbox) {
            if !self.up[to] {
                continue;
            }
            let mut out = Vec::new();
            let start = self.sampled[to].then(thread_cpu_us);
            let node = &mut self.nodes[to];
            node.receive(self.now, &self.names[from], message, &payload, &mut out);
            if let Some(start) = start {
                self.usage.cpu += thread_cpu_us() - start;
            }
            self.send(to, out);
        }
        let (now, step) = (self.now, self.step);
        let (up, sampled) = (&self.up, &self.sampled);
        let length = self.nodes.len().div_ceil(THREADS);
        let chunks = self.nodes.chunks_mut(length).zip(&mut self.rngs);
        let work = |first: usize, nodes: &mut [Membership], rng: &mut Pcg64| {
            let (mut cpu, mut sent) = (0.0, Vec::new());
            for (i, node) in (first..).zip(nodes) {
                let interval = if sampled[i] {
                    TICK_STEPS
                } else {
                    SLOW_TICK_STEPS
                };
                if !up[i] || !(step + i).is_multiple_of(interval) {
                    continue;
                }
                let mut out = Vec::new();
                let start = sampled[i].then(thread_cpu_us);
                node.tick(now, rng, &payload, &mut out);
                cpu += start.map_or(0.0, |start| thread_cpu_us() - start);
                sent.push((i, out));
            }
            (cpu, sent)
        };
        let (cpu, sent): (Vec<f64>, Vec<_>) = thread::scope(|scope| {
            let mut tasks = Vec::new();
            for (chunk, (nodes, rng)) in chunks.enumerate() {
                let work = &work;
                tasks.push(scope.spawn(move || work(chunk * length, nodes, rng)));
            }
            let join = |task: thread::ScopedJoinHandle<'_, _>| task.join().expect("no panic");
            tasks.into_iter().map(join).unzip()
        });
        self.usage.cpu += cpu.iter().sum::<f64>();
        for (i, out) in sent.into_iter().flatten() {
            self.send(i, out);
        }
    }

    /// Runs the simulation for `time` and returns the rates of the sampled nodes.
    fn run(&mut self, time: Duration) -> [f64; 3] {
        self.usage = Usage::default();
        for _ in 0..time.as_millis() / STEP_INTERVAL.as_millis() {
            self.advance();
        }
        let samples = self.sampled.iter().filter(|sampled| **sampled).count();
        self.usage.rates(samples, time.as_secs_f64())
    }

    /// Returns the share of sampled nodes that do not consider `node` alive.
    fn dead_view_share(&self, node: usize) -> f64 {
        let views = self.nodes.iter().zip(&self.sampled).filter(|(_, s)| **s);
        let dead = views
            .clone()
            .filter(|(view, _)| !view.is_alive(&self.names[node]));
        dead.count() as f64 / views.count() as f64
    }
}

/// Measures membership in steady state, during the loss of a failure domain and during restarts.
pub(crate) fn membership() {
    let mut table = Table::new(
        "membership",
        "state/nodes,messages sent per node and s,bytes sent per node and s,core CPU us per node and s",
    );
    let mut query_table = Table::new(
        "membership-queries",
        "nodes,alive() us,heard_since() us,role() us,linear address us",
    );
    let mut idle_cpu = Vec::new();
    for size in FLEET_SIZES {
        let mut fleet = MemberFleet::new(size);
        fleet.run(Duration::from_secs(1));
        let rates = fleet.run(Duration::from_secs(3));
        table.row(format!("rest/{size}"), &rates);
        idle_cpu.push((size as f64, rates[2]));
        queries(&fleet, size, &mut query_table);
        if size == FULL_SIZE {
            restarts(&mut fleet, &mut table);
        }
        for i in (0..size).step_by(DOMAINS) {
            fleet.up[i] = false;
        }
        let failed: Vec<usize> = (0..size).step_by(DOMAINS).collect();
        for second in [5, 10] {
            let rates = fleet.run(Duration::from_secs(5));
            table.row(
                format!("{} nodes lost {second} s/{size}", failed.len()),
                &rates,
            );
            let sum: f64 = failed.iter().map(|i| fleet.dead_view_share(*i)).sum();
            let percent = 100.0 * sum / failed.len() as f64;
            println!("  views without the lost nodes after {second} s: {percent:.1}%");
        }
    }
    let mut table = Table::new(
        "membership-fit",
        "series,per node and s,per node and s and member",
    );
    add_fit(&mut table, "core CPU us at rest", &idle_cpu);
}

/// Measures restarts. The rate is much higher than in production, so that the effect exceeds the noise.
fn restarts(fleet: &mut MemberFleet, table: &mut Table) {
    const RESTARTS_PER_SECOND: usize = 4;
    const SECONDS: usize = 4;
    // Restarts nodes of domain 0, none of which is sampled.
    let node = |restart: usize| DOMAINS * (restart + 2);
    let mut sum = [0.0; 3];
    for second in 0..SECONDS {
        for restart in second * RESTARTS_PER_SECOND..(second + 1) * RESTARTS_PER_SECOND {
            fleet.up[node(restart)] = false;
            // The node stopped two seconds earlier returns with a new incarnation.
            if let Some(returning) = restart.checked_sub(2 * RESTARTS_PER_SECOND) {
                fleet.nodes[node(returning)] = fleet.start(node(returning));
                fleet.up[node(returning)] = true;
            }
        }
        let rates = fleet.run(Duration::from_secs(1));
        for (sum, rate) in sum.iter_mut().zip(rates) {
            *sum += rate / SECONDS as f64;
        }
    }
    table.row(
        format!(
            "{RESTARTS_PER_SECOND} restarts a second/{}",
            fleet.nodes.len()
        ),
        &sum,
    );
}

/// Measures the membership queries that a node runs on each tick.
fn queries(fleet: &MemberFleet, size: usize, table: &mut Table) {
    const ROUNDS: usize = 20;
    let observer = fleet
        .sampled
        .iter()
        .position(|s| *s)
        .expect("at least one node is sampled");
    let (view, name, list) = (&fleet.nodes[observer], &fleet.names[observer], &fleet.list);
    let time = |work: &dyn Fn()| {
        let start = thread_cpu_us();
        (0..ROUNDS).for_each(|_| work());
        (thread_cpu_us() - start) / ROUNDS as f64
    };
    let alive = time(&|| drop(black_box(view.alive_nodes())));
    let seen = time(&|| {
        black_box(view.seen_within(fleet.now, Duration::from_secs(4)));
    });
    let role = time(&|| {
        let alive_vms = list.vms.iter().filter(|vm| view.is_alive(&vm.id));
        black_box(read_role(name, alive_vms.map(|vm| (&vm.id, &vm.domain))));
    });
    let target = &fleet.names[size / 2];
    let address = time(&|| {
        black_box(list.vms.iter().find(|vm| vm.id == *target));
    });
    table.row(size, &[alive, seen, role, address]);
}

/// Simulated leases of one region. Lease messages stay within a region, so simulating one is sufficient.
struct LeaseFleet {
    names: Vec<NodeId>,
    index: HashMap<NodeId, usize>,
    domains: Vec<usize>,
    members: Membership,
    nodes: Vec<LeaseTable>,
    /// Whether each node is running.
    up: Vec<bool>,
    /// Nodes that membership reports as not alive.
    failed: HashSet<NodeId>,
    sampled: Vec<bool>,
    inbox: Vec<(usize, usize, LeaseMessage<Digest>)>,
    now: Time,
    step: usize,
    usage: Usage,
    /// CPU that the sampled nodes used to apply the last VM list, in microseconds.
    set_cpu: f64,
}

impl LeaseFleet {
    fn new(size: usize) -> Self {
        let now = Time::from_millis(1_000);
        let list = vm_list(0..size);
        let in_region = |i: &usize| (i % DOMAINS).is_multiple_of(REGIONS);
        let region: Vec<usize> = (0..size).filter(in_region).collect();
        let names: Vec<NodeId> = region.iter().map(|i| node_name(*i)).collect();
        let mut members = Membership::new(
            "observer".into(),
            Incarnation(1),
            MemberSettings::default(),
            now,
        );
        members.set_vms(now, &list);
        let mut rng = Pcg64::seed_from_u64(SEED);
        let samples: HashSet<usize> = index::sample(&mut rng, region.len(), region.len())
            .into_iter()
            .filter(|i| !region[*i].is_multiple_of(DOMAINS))
            .take(SAMPLED_NODES)
            .collect();
        let all = partitions(size, 0..DOMAINS);
        let regional = partitions(size, (0..DOMAINS).filter(in_region));
        let settings = LeaseSettings {
            voters: VOTERS,
            ..LeaseSettings::default()
        };
        let mut fleet = Self {
            index: names.iter().cloned().zip(0..).collect(),
            domains: region.iter().map(|i| i % DOMAINS).collect(),
            members,
            nodes: Vec::new(),
            up: vec![true; names.len()],
            failed: HashSet::new(),
            sampled: (0..names.len()).map(|i| samples.contains(&i)).collect(),
            inbox: Vec::new(),
            now,
            step: 0,
            usage: Usage::default(),
            set_cpu: 0.0,
            names,
        };
        for i in 0..fleet.names.len() {
            let name = fleet.names[i].clone();
            let mut node = LeaseTable::new(name, Incarnation(rng.random()), settings.clone(), now);
            node.set_vms(now, 1, &list);
            // Partitions of other regions affect only the CPU of a node, so nodes that are not sampled get none.
            let set = if fleet.sampled[i] { &all } else { &regional };
            node.set_partitions(now, set.clone());
            fleet.nodes.push(node);
        }
        fleet
    }

    /// Sets the VM list of all nodes and returns the CPU per sampled node in microseconds.
    fn set_list(&mut self, version: u64, list: &VmList) -> f64 {
        self.set_cpu = 0.0;
        for i in 0..self.nodes.len() {
            let start = thread_cpu_us();
            self.nodes[i].set_vms(self.now, version, list);
            if self.sampled[i] {
                self.set_cpu += thread_cpu_us() - start;
            }
        }
        self.set_cpu / self.sample_count() as f64
    }

    fn sample_count(&self) -> usize {
        self.sampled.iter().filter(|sampled| **sampled).count()
    }

    fn send(&mut self, i: usize, out: Vec<Outbound<LeaseMessage<Digest>>>) {
        for Outbound { to, message } in out {
            if self.sampled[i] {
                let control = Control::Lease(&message);
                self.usage.messages += 1.0;
                self.usage.bytes += datagram_bytes(&self.names[i], &control) as f64;
            }
            // A VM added by a later VM list is not simulated.
            if let Some(to) = self.index.get(&to) {
                self.inbox.push((*to, i, message));
            }
        }
    }

    fn advance(&mut self) {
        self.now = self.now + STEP_INTERVAL;
        self.step += 1;
        let digest = Payload::new().digest;
        for (to, from, message) in std::mem::take(&mut self.inbox) {
            if !self.up[to] {
                continue;
            }
            let mut out = Vec::new();
            let start = self.sampled[to].then(thread_cpu_us);
            self.nodes[to].receive(self.now, &self.names[from], message, &digest, &mut out);
            if let Some(start) = start {
                self.usage.cpu += thread_cpu_us() - start;
            }
            self.send(to, out);
        }
        for i in 0..self.nodes.len() {
            let interval = if self.sampled[i] {
                TICK_STEPS
            } else {
                SLOW_TICK_STEPS
            };
            if !self.up[i] || !(self.step + i).is_multiple_of(interval) {
                continue;
            }
            let mut out = Vec::new();
            let (members, failed) = (&self.members, &self.failed);
            let alive = |node: &NodeId| members.is_alive(node) && !failed.contains(node);
            let start = self.sampled[i].then(thread_cpu_us);
            self.nodes[i].tick(self.now, &alive, &digest, &mut out);
            if let Some(start) = start {
                self.usage.cpu += thread_cpu_us() - start;
            }
            self.send(i, out);
        }
    }

    fn run(&mut self, time: Duration) -> [f64; 3] {
        self.usage = Usage::default();
        for _ in 0..time.as_millis() / STEP_INTERVAL.as_millis() {
            self.advance();
        }
        self.usage.rates(self.sample_count(), time.as_secs_f64())
    }

    /// Returns the number of the given partitions whose lease is held.
    fn held_count(&self, partitions: &BTreeSet<PartitionId>) -> usize {
        let nodes = || self.nodes.iter().zip(&self.up).filter(|(_, up)| **up);
        let is_held = |partition: &&PartitionId| {
            nodes().any(|(node, _)| node.expiry(self.now, partition).is_some())
        };
        partitions.iter().filter(is_held).count()
    }
}

/// Measures leases in steady state, after a change of the VM list and during the loss of a failure domain.
pub(crate) fn lease() {
    let mut table = Table::new(
        "lease",
        "state/nodes,messages sent per node and s,bytes sent per node and s,core CPU us per node and s",
    );
    let mut update_table = Table::new(
        "lease-once",
        "nodes,partitions,set_vms us,set_partitions us,the same set us,names of 49000 leaves to partitions us",
    );
    let mut idle_cpu = Vec::new();
    for size in FLEET_SIZES {
        let mut fleet = LeaseFleet::new(size);
        let regional = partitions(size, (0..DOMAINS).filter(|i| i % REGIONS == 0));
        fleet.run(Duration::from_secs(5));
        let rates = fleet.run(Duration::from_secs(4));
        table.row(format!("rest/{size}"), &rates);
        idle_cpu.push((size as f64, rates[2]));
        println!(
            "  {} of {} partitions held",
            fleet.held_count(&regional),
            regional.len()
        );
        // Replaces one VM that is not sampled.
        let list = vm_list(
            (0..size)
                .filter(|i| *i != 15)
                .chain([size + 15 - size % 15]),
        );
        let set_vms = fleet.set_list(2, &list);
        let rates = fleet.run(Duration::from_secs(4));
        table.row(format!("list changed/{size}"), &rates);
        let all = partitions(size, 0..DOMAINS);
        let sample = fleet
            .sampled
            .iter()
            .position(|s| *s)
            .expect("at least one node is sampled");
        let node = &mut fleet.nodes[sample];
        let mut time_update = |partitions: &BTreeSet<PartitionId>| {
            let partitions = partitions.clone();
            let start = thread_cpu_us();
            node.set_partitions(fleet.now, partitions);
            thread_cpu_us() - start
        };
        let unchanged = time_update(&all);
        let mut reduced = all.clone();
        reduced.pop_last();
        time_update(&reduced);
        let changed = time_update(&all);
        let leaf_cpu = leaf_partition_cpu(size);
        update_table.row(
            size,
            &[all.len() as f64, set_vms, changed, unchanged, leaf_cpu],
        );
        fleet.run(Duration::from_secs(2));
        for i in 0..fleet.names.len() {
            if fleet.domains[i] == 0 {
                fleet.up[i] = false;
            }
        }
        let rates = fleet.run(Duration::from_secs(4));
        table.row(format!("domain lost, not known/{size}"), &rates);
        let domains = fleet.domains.iter();
        let lost = domains
            .zip(&fleet.names)
            .filter(|(domain, _)| **domain == 0);
        fleet.failed = lost.map(|(_, name)| name.clone()).collect();
        let rates = fleet.run(Duration::from_secs(4));
        table.row(format!("domain lost, known/{size}"), &rates);
        println!(
            "  {} of {} partitions held",
            fleet.held_count(&regional),
            regional.len()
        );
    }
    let mut table = Table::new(
        "lease-fit",
        "series,per node and s,per node and s and member",
    );
    add_fit(&mut table, "core CPU us at rest", &idle_cpu);
}

/// Returns the CPU microseconds to compute the partitions of all leaves, which a node does when a service map changes.
fn leaf_partition_cpu(size: usize) -> f64 {
    let buckets = (PARTITIONS_PER_DOMAIN * size).div_ceil(FULL_SIZE) as u16;
    let leaves: Vec<(LeafId, Domain)> = (0..LEAVES)
        .map(|i| (leaf_name(i), domain_name(i)))
        .collect();
    let start = thread_cpu_us();
    let found: HashSet<PartitionId> = leaves
        .iter()
        .map(|(leaf, domain)| PartitionId::of(leaf, domain, buckets))
        .collect();
    black_box(found.into_iter().collect::<BTreeSet<PartitionId>>());
    thread_cpu_us() - start
}

fn leaf_name(i: usize) -> LeafId {
    format!("10.{}.{}.{}:9000", i >> 16, i >> 8 & 255, i & 255).into()
}

/// Returns a version of the policy of a service.
fn service_policy(service: usize, version: u64) -> Document {
    let value = format!(
        "deadline_ms = {}\nmax_deadline_ms = 2000\npartial_after_ms = 120\nmin_coverage = 0.98\nmax_top = 100\n\n\
         [hedge]\nquantile = 0.95\npercent = 2.0\n\n[alarm]\nlatency_ms = 140\nobjective = 0.99\ncoverage = 0.99\n",
        200 + version % 100
    );
    Document {
        key: format!("service/parts-{service:03}").into(),
        version,
        value: Some(value.into()),
    }
}

/// Services at full size, each with its own map.
const SERVICES: usize = 10;

/// Returns a version of the map of a service. Versions differ in the slots of one leaf.
fn service_map(service: usize, version: u64) -> Document {
    let leaves: Vec<usize> = (0..LEAVES).filter(|i| i % SERVICES == service).collect();
    let info = |i: usize| {
        let changed = i == leaves[leaves.len() / 2];
        json!({
            "domain": domain_name(i),
            "slots": if changed { 4 + version % 3 } else { 6 },
            "connections": 110,
            "cold_capacity": 1,
        })
    };
    let shard = |shard: usize| {
        let replicas = leaves.iter().skip(shard).step_by(500);
        let replicas: Vec<LeafId> = replicas.map(|i| leaf_name(*i)).collect();
        json!({"shard": shard, "leaves": replicas})
    };
    let infos: BTreeMap<LeafId, _> = leaves.iter().map(|i| (leaf_name(*i), info(*i))).collect();
    let value = json!({
        "snapshots": [{"id": 1, "state": "serving", "shards": (0..500).map(shard).collect::<Vec<_>>()}],
        "leaves": infos,
    });
    Document {
        key: format!("map/parts-{service:03}").into(),
        version,
        value: Some(value.to_string().into()),
    }
}

fn vm_document(version: u64, list: &VmList) -> Document {
    Document {
        key: "vms".into(),
        version,
        value: Some(
            serde_json::to_string(list)
                .expect("VM list serializes")
                .into(),
        ),
    }
}

fn full_configuration() -> Vec<Document> {
    let policies = (0..SERVICES).map(|service| service_policy(service, 1));
    let maps = (0..SERVICES).map(|service| service_map(service, 1));
    policies
        .chain(maps)
        .chain([vm_document(1, &vm_list(0..FULL_SIZE))])
        .collect()
}

/// Simulated configuration stores and relays of all nodes. The stores contain policies only.
struct RelayFleet {
    names: Vec<NodeId>,
    index: HashMap<NodeId, usize>,
    nodes: Vec<(ConfigStore, Relay)>,
    inbox: Vec<(usize, usize, RelayMessage)>,
    now: Time,
    rng: Pcg64,
    messages: f64,
    bytes: f64,
    cpu: f64,
}

impl RelayFleet {
    fn new(size: usize) -> Self {
        let names: Vec<NodeId> = (0..size).map(node_name).collect();
        let now = Time::from_millis(1_000);
        let initial: Vec<Document> = (0..SERVICES)
            .map(|service| service_policy(service, 1))
            .collect();
        let node = |name: &NodeId| {
            let mut store = ConfigStore::new();
            store.apply(now, initial.clone());
            let mut relay = Relay::new(name.clone());
            let (digest, mut out) = (store.digest(), Vec::new());
            relay.receive_digest(now, &names[0], digest, &store, &mut out);
            assert!(relay.is_synced());
            (store, relay)
        };
        Self {
            nodes: names.iter().map(node).collect(),
            index: names.iter().cloned().zip(0..).collect(),
            names,
            inbox: Vec::new(),
            now,
            rng: Pcg64::seed_from_u64(SEED),
            messages: 0.0,
            bytes: 0.0,
            cpu: 0.0,
        }
    }

    fn send(&mut self, i: usize, out: RelayOutbox) {
        for (to, message) in out {
            self.messages += 1.0;
            self.bytes += datagram_bytes(&self.names[i], &Control::Relay(&message)) as f64;
            if self.index[&to] != i {
                self.inbox.push((self.index[&to], i, message));
            }
        }
    }

    /// Applies a document on the readers (4 nodes per failure domain), which forward it.
    fn publish(&mut self, document: &Document) {
        for i in 0..(4 * DOMAINS).min(self.nodes.len()) {
            let mut out = Vec::new();
            let (store, relay) = &mut self.nodes[i];
            let applied = store.apply(self.now, vec![document.clone()]);
            relay.forward(&applied, &self.names, &mut self.rng, &mut out);
            self.send(i, out);
        }
    }

    fn advance(&mut self) {
        self.now = self.now + STEP_INTERVAL;
        let start = thread_cpu_us();
        let mut sent = Vec::new();
        for (to, from, message) in std::mem::take(&mut self.inbox) {
            let mut out = Vec::new();
            let (store, relay) = &mut self.nodes[to];
            relay.receive(
                self.now,
                &self.names[from],
                message,
                store,
                &self.names,
                &mut self.rng,
                &mut out,
            );
            sent.push((to, out));
        }
        self.cpu += thread_cpu_us() - start;
        for (to, out) in sent {
            self.send(to, out);
        }
        // Each node probes one peer per second on average; both receive the digest of the other.
        for i in 0..self.nodes.len() {
            if !self.rng.random_bool(STEP_INTERVAL.as_secs_f64()) {
                continue;
            }
            let peer = self.rng.random_range(0..self.nodes.len());
            for (receiver, sender) in [(i, peer), (peer, i)] {
                let digest = self.nodes[sender].0.digest();
                let mut out = Vec::new();
                let (store, relay) = &mut self.nodes[receiver];
                relay.receive_digest(self.now, &self.names[sender], digest, store, &mut out);
                self.send(receiver, out);
            }
        }
    }

    /// Returns the number of nodes whose digest differs from that of node 0, which is a reader.
    fn outdated_count(&self) -> usize {
        let digest = self.nodes[0].0.digest();
        let outdated = self
            .nodes
            .iter()
            .filter(|(store, _)| store.digest() != digest);
        outdated.count()
    }
}

/// Measures the propagation of changes and the cost of a change for a node with the full configuration.
pub(crate) fn relay() {
    let mut table = Table::new(
        "relay",
        "kind/nodes,changes,messages sent per node and change,bytes sent per node and change,core CPU us per node and change,ms until all have it",
    );
    for size in FLEET_SIZES {
        let mut fleet = RelayFleet::new(size);
        let changes = 10;
        let mut max_steps = 0;
        for change in 0..changes {
            fleet.publish(&service_policy(change % SERVICES, change as u64 + 2));
            let mut steps = 0;
            while fleet.outdated_count() > 0 || !fleet.inbox.is_empty() {
                fleet.advance();
                steps += 1;
                assert!(
                    steps < 4_000,
                    "a change did not reach all nodes within 4,000 steps"
                );
            }
            max_steps = max_steps.max(steps);
        }
        let scale = 1.0 / size as f64 / changes as f64;
        let bytes = fleet.bytes + HEADER_BYTES * fleet.messages;
        let max_delay_ms = f64::from(max_steps) * STEP_INTERVAL.as_secs_f64() * 1e3;
        table.row(
            format!("single/{size}"),
            &[
                changes as f64,
                fleet.messages * scale,
                bytes * scale,
                fleet.cpu * scale,
                max_delay_ms,
            ],
        );
    }
    burst(&mut table);
    apply();
}

/// Measures a burst of 100 changes at 1,000 changes per minute.
fn burst(table: &mut Table) {
    let mut fleet = RelayFleet::new(FULL_SIZE);
    let changes = 100;
    for change in 0..changes {
        fleet.publish(&service_policy(change % SERVICES, change as u64 + 2));
        // 1,000 changes per minute are one per 60 ms, which is 12 steps.
        (0..12).for_each(|_| fleet.advance());
    }
    let mut steps = 0;
    while fleet.outdated_count() > 0 {
        fleet.advance();
        steps += 1;
        assert!(
            steps < 4_000,
            "changes did not reach all nodes within 4,000 steps"
        );
    }
    let scale = 1.0 / FULL_SIZE as f64 / changes as f64;
    let bytes = fleet.bytes + HEADER_BYTES * fleet.messages;
    let delay_ms = f64::from(steps) * STEP_INTERVAL.as_secs_f64() * 1e3;
    table.row(
        format!("burst/{FULL_SIZE}"),
        &[
            changes as f64,
            fleet.messages * scale,
            bytes * scale,
            fleet.cpu * scale,
            delay_ms,
        ],
    );
}

/// Measures the cost of a change for one node that holds the full configuration.
fn apply() {
    let documents = full_configuration();
    let total_bytes: usize = documents
        .iter()
        .map(|document| document.value.as_ref().map_or(0, |value| value.len()))
        .sum();
    println!(
        "  full configuration: {} documents, {total_bytes} bytes",
        documents.len()
    );
    let now = Time::from_millis(1_000);
    let peers: Vec<NodeId> = (0..FULL_SIZE).map(node_name).collect();
    let mut rng = Pcg64::seed_from_u64(SEED);
    let mut store = ConfigStore::new();
    let applied = store.apply(now, documents);
    assert!(applied.rejected.is_empty(), "{:?}", applied.rejected);
    let mut relay = Relay::new(node_name(0));
    relay.receive_digest(now, &node_name(1), store.digest(), &store, &mut Vec::new());
    let mut table = Table::new(
        "apply",
        "change,value bytes,CPU us to apply,CPU us to pass on,messages,bytes of one message",
    );
    let list = vm_list((0..FULL_SIZE).filter(|i| *i != 15).chain([FULL_SIZE + 5]));
    let changes = [
        ("policy", service_policy(3, 2)),
        ("one leaf of a map", service_map(3, 2)),
        ("one VM", vm_document(2, &list)),
    ];
    for (label, document) in changes {
        let size = document.value.as_ref().map_or(0, |value| value.len());
        let start = thread_cpu_us();
        let applied = store.apply(now, vec![document]);
        let apply = thread_cpu_us() - start;
        assert!(applied.rejected.is_empty(), "{:?}", applied.rejected);
        let mut out = Vec::new();
        let start = thread_cpu_us();
        relay.forward(&applied, &peers, &mut rng, &mut out);
        let forward = thread_cpu_us() - start;
        let bytes = datagram_bytes(&peers[0], &Control::Relay(&out[0].1));
        table.row(
            label,
            &[size as f64, apply, forward, out.len() as f64, bytes as f64],
        );
    }
}

/// Measures the memory of the control cores at full size.
///
/// Each core has its own configuration, but the lease cores share the names of one VM list and set of partitions.
pub(crate) fn memory() {
    let mut table = Table::new("core-memory", "core/nodes,resident KiB more");
    let list = vm_list(0..FULL_SIZE);
    let now = Time::from_millis(1_000);
    let all = partitions(FULL_SIZE, 0..DOMAINS);
    let mut fits = Vec::new();
    // Keeps all cores allocated: freed memory would be reused and hide the growth.
    let mut retained = Vec::new();
    let mut measure_core = |label: &str, build: &dyn Fn(usize) -> Box<dyn std::any::Any>| {
        retained.push(build(0));
        let before = resident_kib();
        let mut points = Vec::new();
        for count in 1..=6 {
            retained.push(build(count));
            let growth = resident_kib() - before;
            table.row(format!("{label}/{count}"), &[growth]);
            points.push((count as f64, growth));
        }
        fits.push((label.to_owned(), points));
    };
    measure_core("membership", &|i| {
        let settings = MemberSettings::default();
        let mut node = Membership::new(node_name(i), Incarnation(1), settings, now);
        // Builds a separate list, because nodes in separate processes share no names.
        node.set_vms(now, &vm_list(0..FULL_SIZE));
        Box::new(node)
    });
    measure_core("leases", &|i| {
        let settings = LeaseSettings {
            voters: VOTERS,
            ..LeaseSettings::default()
        };
        let mut node = LeaseTable::new(node_name(i), Incarnation(1), settings, now);
        node.set_vms(now, 1, &list);
        node.set_partitions(now, all.clone());
        Box::new(node)
    });
    measure_core("configuration", &|_| {
        let mut store = ConfigStore::new();
        store.apply(now, full_configuration());
        Box::new(store)
    });
    let mut table = Table::new("core-memory-fit", "core,KiB,KiB per node");
    for (label, points) in fits {
        add_fit(&mut table, &label, &points);
    }
}
