//! Control messages and the CPU of the control cores, against the size of the fleet.
//!
//! The cores of a whole fleet run in this process on a common clock. All nodes run the protocol; CPU is taken
//! from a sample of them.

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
    measure::{Table, add_fit, process_cpu, resident, thread_cpu},
};

const SIZES: [usize; 4] = [60, 300, 1_125, 2_800];
const FULL: usize = 2_800;
const DOMAINS: usize = 15;
const REGIONS: usize = 5;
/// Partitions per failure domain and leaves at full size; smaller fleets get their share.
const PARTITIONS: usize = 280;
const LEAVES: usize = 49_000;
const VOTERS: usize = 5;
/// Time between two turns of the fleet, which is also the time a message takes.
const STEP: Duration = Duration::from_millis(5);
/// Turns between two ticks of a sampled node, which ticks like the real one, and of the others.
const TICK: usize = 10;
const SLOW_TICK: usize = 20;
/// Nodes whose CPU is measured.
const SAMPLED: usize = 16;
/// Threads that run the membership of a fleet.
const THREADS: usize = 6;
/// MAC, and headers of UDP and IPv4, bytes.
const MAC_BYTES: usize = 16;
const HEADER_BYTES: f64 = 28.0;

/// The payload of probes, as `node::control` defines it.
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

/// The envelope and message of a datagram, as the node encodes them.
#[derive(Serialize)]
enum Control<'a> {
    Member(&'a MemberMessage<Payload>),
    Lease(&'a LeaseMessage<Digest>),
    Relay(&'a RelayMessage),
}

/// Returns the bytes of a datagram without UDP and IP headers.
fn datagram_bytes(from: &NodeId, message: &Control<'_>) -> usize {
    let envelope = (from, Incarnation(u64::MAX / 3), message);
    let size = postcard::experimental::serialized_size(&envelope).expect("encodable");
    MAC_BYTES + size
}

/// What the sampled nodes sent and used.
#[derive(Clone, Copy, Default)]
struct Use {
    messages: f64,
    bytes: f64,
    cpu: f64,
}

impl Use {
    /// Returns messages, bytes with headers and CPU microseconds per node and second.
    fn rates(self, nodes: usize, seconds: f64) -> [f64; 3] {
        let per = 1.0 / nodes as f64 / seconds;
        let bytes = self.bytes + HEADER_BYTES * self.messages;
        [self.messages * per, bytes * per, self.cpu * per]
    }
}

fn node_name(at: usize) -> NodeId {
    format!("entry-{:02}-{:04}", at % DOMAINS, at / DOMAINS).into()
}

fn domain_name(at: usize) -> Domain {
    format!("zone-{:02}", at % DOMAINS).into()
}

/// Returns the list of a fleet in which node `n` is in domain `n % 15` and three domains form a region.
fn vm_list(nodes: impl IntoIterator<Item = usize>) -> VmList {
    let vm = |at: usize| {
        let address =
            |port| SocketAddr::from(([10, (at >> 16) as u8, (at >> 8) as u8, at as u8], port));
        Vm {
            id: node_name(at),
            domain: domain_name(at),
            region: Some(format!("region-{}", at % DOMAINS % REGIONS).into()),
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
    let buckets = (PARTITIONS * fleet).div_ceil(FULL) as u16;
    domains
        .flat_map(|domain| (0..buckets).map(move |bucket| (domain, bucket)))
        .map(|(domain, bucket)| PartitionId {
            domain: domain_name(domain),
            bucket,
        })
        .collect()
}

/// Measures sending and receiving datagrams, with encoding and MAC.
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
    let sender = bind("entry-01-0001").await.expect("loopback");
    let receiver = bind("entry-02-0002").await.expect("loopback");
    let address = receiver.local_addr().expect("bound");
    let mut table = Table::new("datagram", "bytes,datagrams,CPU us to send and receive one");
    let mut points = Vec::new();
    for rumors in [0, 4, 8, 16] {
        let rumor = |at| Rumor {
            node: node_name(at),
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
        let start = process_cpu();
        for _ in 0..COUNT {
            let sent = sender.send(address, message.clone(), Err).await;
            sent.expect("loopback");
            let received = receiver.receive::<MemberMessage<Payload>>().await;
            black_box(received.expect("loopback"));
        }
        let used = (process_cpu() - start) / f64::from(COUNT);
        table.row(bytes, &[f64::from(COUNT), used]);
        points.push((bytes as f64, used));
    }
    let mut table = Table::new("datagram-fit", "series,per datagram,per byte");
    add_fit(&mut table, "CPU us", &points);
}

/// Membership of a whole fleet.
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
    /// One per thread.
    rngs: Vec<Pcg64>,
    spent: Use,
}

impl MemberFleet {
    fn new(size: usize) -> Self {
        let mut rng = Pcg64::seed_from_u64(SEED);
        let names: Vec<NodeId> = (0..size).map(node_name).collect();
        let list = vm_list(0..size);
        let now = Time::from_millis(1_000);
        // Domain 0 is the one that will be lost.
        let samples: HashSet<usize> = index::sample(&mut rng, size, size)
            .into_iter()
            .filter(|at| at % DOMAINS != 0)
            .take(SAMPLED)
            .collect();
        let mut fleet = Self {
            index: names.iter().cloned().zip(0..).collect(),
            names,
            list,
            nodes: Vec::new(),
            up: vec![true; size],
            sampled: (0..size).map(|at| samples.contains(&at)).collect(),
            inbox: Vec::new(),
            payload: Payload::new(),
            now,
            step: 0,
            rngs: (0..THREADS as u64)
                .map(|at| Pcg64::seed_from_u64(SEED + 1 + at))
                .collect(),
            rng,
            spent: Use::default(),
        };
        for at in 0..size {
            let node = fleet.start(at);
            fleet.nodes.push(node);
        }
        fleet
    }

    /// Returns a node that has just started.
    fn start(&mut self, at: usize) -> Membership {
        let incarnation = Incarnation(self.rng.random());
        // Nodes of a fleet do not start in one moment: the first probe comes within a period.
        let phase = Duration::from_millis(self.rng.random_range(0..1_000));
        let mut node = Membership::new(
            self.names[at].clone(),
            incarnation,
            MemberSettings::default(),
            self.now + phase,
        );
        node.set_vms(self.now, &self.list);
        node
    }

    fn send(&mut self, at: usize, out: Vec<Outbound<MemberMessage<Payload>>>) {
        for Outbound { to, message } in out {
            if self.sampled[at] {
                let control = Control::Member(&message);
                self.spent.messages += 1.0;
                self.spent.bytes += datagram_bytes(&self.names[at], &control) as f64;
            }
            self.inbox.push((self.index[&to], at, message));
        }
    }

    fn turn(&mut self) {
        self.now = self.now + STEP;
        self.step += 1;
        let payload = self.payload.clone();
        for (to, from, message) in std::mem::take(&mut self.inbox) {
            if !self.up[to] {
                continue;
            }
            let mut out = Vec::new();
            let start = self.sampled[to].then(thread_cpu);
            let node = &mut self.nodes[to];
            node.receive(self.now, &self.names[from], message, &payload, &mut out);
            if let Some(start) = start {
                self.spent.cpu += thread_cpu() - start;
            }
            self.send(to, out);
        }
        let (now, step) = (self.now, self.step);
        let (up, sampled) = (&self.up, &self.sampled);
        let length = self.nodes.len().div_ceil(THREADS);
        let chunks = self.nodes.chunks_mut(length).zip(&mut self.rngs);
        let work = |first: usize, nodes: &mut [Membership], rng: &mut Pcg64| {
            let (mut cpu, mut sent) = (0.0, Vec::new());
            for (at, node) in (first..).zip(nodes) {
                let every = if sampled[at] { TICK } else { SLOW_TICK };
                if !up[at] || !(step + at).is_multiple_of(every) {
                    continue;
                }
                let mut out = Vec::new();
                let start = sampled[at].then(thread_cpu);
                node.tick(now, rng, &payload, &mut out);
                cpu += start.map_or(0.0, |start| thread_cpu() - start);
                sent.push((at, out));
            }
            (cpu, sent)
        };
        let (cpu, sent): (Vec<f64>, Vec<_>) = thread::scope(|scope| {
            let mut tasks = Vec::new();
            for (number, (nodes, rng)) in chunks.enumerate() {
                let work = &work;
                tasks.push(scope.spawn(move || work(number * length, nodes, rng)));
            }
            let join = |task: thread::ScopedJoinHandle<'_, _>| task.join().expect("no panic");
            tasks.into_iter().map(join).unzip()
        });
        self.spent.cpu += cpu.iter().sum::<f64>();
        for (at, out) in sent.into_iter().flatten() {
            self.send(at, out);
        }
    }

    /// Runs for some time and returns the rates of the sampled nodes.
    fn run(&mut self, time: Duration) -> [f64; 3] {
        self.spent = Use::default();
        for _ in 0..time.as_millis() / STEP.as_millis() {
            self.turn();
        }
        let samples = self.sampled.iter().filter(|sampled| **sampled).count();
        self.spent.rates(samples, time.as_secs_f64())
    }

    /// Returns the share of sampled nodes' views in which `node` is not alive.
    fn known_dead(&self, node: usize) -> f64 {
        let views = self.nodes.iter().zip(&self.sampled).filter(|(_, s)| **s);
        let dead = views
            .clone()
            .filter(|(view, _)| !view.is_alive(&self.names[node]));
        dead.count() as f64 / views.count() as f64
    }
}

/// Measures membership at rest, when a failure domain is lost and when nodes restart.
pub(crate) fn membership() {
    let mut table = Table::new(
        "membership",
        "state/nodes,messages sent per node and s,bytes sent per node and s,core CPU us per node and s",
    );
    let mut glue = Table::new(
        "membership-queries",
        "nodes,alive() us,heard_since() us,role() us,linear address us",
    );
    let mut rest = Vec::new();
    for size in SIZES {
        let mut fleet = MemberFleet::new(size);
        fleet.run(Duration::from_secs(1));
        let rates = fleet.run(Duration::from_secs(3));
        table.row(format!("rest/{size}"), &rates);
        rest.push((size as f64, rates[2]));
        queries(&fleet, size, &mut glue);
        if size == FULL {
            restarts(&mut fleet, &mut table);
        }
        for at in (0..size).step_by(DOMAINS) {
            fleet.up[at] = false;
        }
        let gone: Vec<usize> = (0..size).step_by(DOMAINS).collect();
        for second in [5, 10] {
            let rates = fleet.run(Duration::from_secs(5));
            table.row(
                format!("{} nodes lost {second} s/{size}", gone.len()),
                &rates,
            );
            let sum: f64 = gone.iter().map(|at| fleet.known_dead(*at)).sum();
            let share = 100.0 * sum / gone.len() as f64;
            println!("  known dead after {second} s: {share:.1}%");
        }
    }
    let mut table = Table::new(
        "membership-fit",
        "series,per node and s,per node and s and member",
    );
    add_fit(&mut table, "core CPU us at rest", &rest);
}

/// Measures restarts at a much higher rate than the real one, for a slope that stands out.
fn restarts(fleet: &mut MemberFleet, table: &mut Table) {
    const PER_SECOND: usize = 4;
    const SECONDS: usize = 4;
    let node = |number: usize| DOMAINS * (number + 2);
    let mut sum = [0.0; 3];
    for second in 0..SECONDS {
        for number in second * PER_SECOND..(second + 1) * PER_SECOND {
            fleet.up[node(number)] = false;
            // Two seconds later the node is back with a new incarnation.
            if let Some(back) = number.checked_sub(2 * PER_SECOND) {
                fleet.nodes[node(back)] = fleet.start(node(back));
                fleet.up[node(back)] = true;
            }
        }
        let rates = fleet.run(Duration::from_secs(1));
        for (sum, rate) in sum.iter_mut().zip(rates) {
            *sum += rate / SECONDS as f64;
        }
    }
    table.row(
        format!("{PER_SECOND} restarts a second/{}", fleet.nodes.len()),
        &sum,
    );
}

/// Measures what the node asks its membership on every tick.
fn queries(fleet: &MemberFleet, size: usize, table: &mut Table) {
    const ROUNDS: usize = 20;
    let me = fleet.sampled.iter().position(|s| *s).expect("a sample");
    let (view, name, list) = (&fleet.nodes[me], &fleet.names[me], &fleet.list);
    let time = |work: &dyn Fn()| {
        let start = thread_cpu();
        (0..ROUNDS).for_each(|_| work());
        (thread_cpu() - start) / ROUNDS as f64
    };
    let alive = time(&|| drop(black_box(view.alive_nodes())));
    let heard = time(&|| {
        black_box(view.seen_within(fleet.now, Duration::from_secs(4)));
    });
    let role = time(&|| {
        let live = list.vms.iter().filter(|vm| view.is_alive(&vm.id));
        black_box(read_role(name, live.map(|vm| (&vm.id, &vm.domain))));
    });
    let target = &fleet.names[size / 2];
    let address = time(&|| {
        black_box(list.vms.iter().find(|vm| vm.id == *target));
    });
    table.row(size, &[alive, heard, role, address]);
}

/// Leases of one region. No lease message leaves a region, so the other regions would only repeat it.
struct LeaseFleet {
    names: Vec<NodeId>,
    index: HashMap<NodeId, usize>,
    domains: Vec<usize>,
    members: Membership,
    nodes: Vec<LeaseTable>,
    /// Whether a node runs, and the nodes known to be gone.
    up: Vec<bool>,
    gone: HashSet<NodeId>,
    sampled: Vec<bool>,
    inbox: Vec<(usize, usize, LeaseMessage<Digest>)>,
    now: Time,
    step: usize,
    spent: Use,
    set_cpu: f64,
}

impl LeaseFleet {
    fn new(size: usize) -> Self {
        let now = Time::from_millis(1_000);
        let list = vm_list(0..size);
        let in_region = |at: &usize| (at % DOMAINS).is_multiple_of(REGIONS);
        let region: Vec<usize> = (0..size).filter(in_region).collect();
        let names: Vec<NodeId> = region.iter().map(|at| node_name(*at)).collect();
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
            .filter(|at| !region[*at].is_multiple_of(DOMAINS))
            .take(SAMPLED)
            .collect();
        let all = partitions(size, 0..DOMAINS);
        let own = partitions(size, (0..DOMAINS).filter(in_region));
        let settings = LeaseSettings {
            voters: VOTERS,
            ..LeaseSettings::default()
        };
        let mut fleet = Self {
            index: names.iter().cloned().zip(0..).collect(),
            domains: region.iter().map(|at| at % DOMAINS).collect(),
            members,
            nodes: Vec::new(),
            up: vec![true; names.len()],
            gone: HashSet::new(),
            sampled: (0..names.len()).map(|at| samples.contains(&at)).collect(),
            inbox: Vec::new(),
            now,
            step: 0,
            spent: Use::default(),
            set_cpu: 0.0,
            names,
        };
        for at in 0..fleet.names.len() {
            let name = fleet.names[at].clone();
            let mut node = LeaseTable::new(name, Incarnation(rng.random()), settings.clone(), now);
            node.set_vms(now, 1, &list);
            // Partitions of other regions cost the others nothing but time in this process.
            let set = if fleet.sampled[at] { &all } else { &own };
            node.set_partitions(now, set.clone());
            fleet.nodes.push(node);
        }
        fleet
    }

    /// Gives all nodes a list, and returns the CPU per sampled node in microseconds.
    fn set_list(&mut self, version: u64, list: &VmList) -> f64 {
        self.set_cpu = 0.0;
        for at in 0..self.nodes.len() {
            let start = thread_cpu();
            self.nodes[at].set_vms(self.now, version, list);
            if self.sampled[at] {
                self.set_cpu += thread_cpu() - start;
            }
        }
        self.set_cpu / self.samples() as f64
    }

    fn samples(&self) -> usize {
        self.sampled.iter().filter(|sampled| **sampled).count()
    }

    fn send(&mut self, at: usize, out: Vec<Outbound<LeaseMessage<Digest>>>) {
        for Outbound { to, message } in out {
            if self.sampled[at] {
                let control = Control::Lease(&message);
                self.spent.messages += 1.0;
                self.spent.bytes += datagram_bytes(&self.names[at], &control) as f64;
            }
            // The VM that replaced another one does not run here.
            if let Some(to) = self.index.get(&to) {
                self.inbox.push((*to, at, message));
            }
        }
    }

    fn turn(&mut self) {
        self.now = self.now + STEP;
        self.step += 1;
        let digest = Payload::new().digest;
        for (to, from, message) in std::mem::take(&mut self.inbox) {
            if !self.up[to] {
                continue;
            }
            let mut out = Vec::new();
            let start = self.sampled[to].then(thread_cpu);
            self.nodes[to].receive(self.now, &self.names[from], message, &digest, &mut out);
            if let Some(start) = start {
                self.spent.cpu += thread_cpu() - start;
            }
            self.send(to, out);
        }
        for at in 0..self.nodes.len() {
            let every = if self.sampled[at] { TICK } else { SLOW_TICK };
            if !self.up[at] || !(self.step + at).is_multiple_of(every) {
                continue;
            }
            let mut out = Vec::new();
            let (members, gone) = (&self.members, &self.gone);
            let alive = |node: &NodeId| members.is_alive(node) && !gone.contains(node);
            let start = self.sampled[at].then(thread_cpu);
            self.nodes[at].tick(self.now, &alive, &digest, &mut out);
            if let Some(start) = start {
                self.spent.cpu += thread_cpu() - start;
            }
            self.send(at, out);
        }
    }

    fn run(&mut self, time: Duration) -> [f64; 3] {
        self.spent = Use::default();
        for _ in 0..time.as_millis() / STEP.as_millis() {
            self.turn();
        }
        self.spent.rates(self.samples(), time.as_secs_f64())
    }

    /// Returns how many partitions of a set have a holder.
    fn held(&self, partitions: &BTreeSet<PartitionId>) -> usize {
        let nodes = || self.nodes.iter().zip(&self.up).filter(|(_, up)| **up);
        let held = |partition: &&PartitionId| {
            nodes().any(|(node, _)| node.expiry(self.now, partition).is_some())
        };
        partitions.iter().filter(held).count()
    }
}

/// Measures leases at rest, at a change of the VM list and when a failure domain is lost.
pub(crate) fn lease() {
    let mut table = Table::new(
        "lease",
        "state/nodes,messages sent per node and s,bytes sent per node and s,core CPU us per node and s",
    );
    let mut once = Table::new(
        "lease-once",
        "nodes,partitions,set_vms us,set_partitions us,the same set us,names of 49000 leaves to partitions us",
    );
    let mut rest = Vec::new();
    for size in SIZES {
        let mut fleet = LeaseFleet::new(size);
        let own = partitions(size, (0..DOMAINS).filter(|at| at % REGIONS == 0));
        fleet.run(Duration::from_secs(5));
        let rates = fleet.run(Duration::from_secs(4));
        table.row(format!("rest/{size}"), &rates);
        rest.push((size as f64, rates[2]));
        println!("  {} of {} partitions held", fleet.held(&own), own.len());
        // One VM outside the region's sample is replaced by another one.
        let list = vm_list(
            (0..size)
                .filter(|at| *at != 15)
                .chain([size + 15 - size % 15]),
        );
        let set_vms = fleet.set_list(2, &list);
        let rates = fleet.run(Duration::from_secs(4));
        table.row(format!("list changed/{size}"), &rates);
        let all = partitions(size, 0..DOMAINS);
        let sample = fleet.sampled.iter().position(|s| *s).expect("a sample");
        let node = &mut fleet.nodes[sample];
        let mut set = |partitions: &BTreeSet<PartitionId>| {
            let partitions = partitions.clone();
            let start = thread_cpu();
            node.set_partitions(fleet.now, partitions);
            thread_cpu() - start
        };
        let same = set(&all);
        let mut fewer = all.clone();
        fewer.pop_last();
        set(&fewer);
        let other = set(&all);
        let leaves = leaf_partitions(size);
        once.row(size, &[all.len() as f64, set_vms, other, same, leaves]);
        fleet.run(Duration::from_secs(2));
        for at in 0..fleet.names.len() {
            if fleet.domains[at] == 0 {
                fleet.up[at] = false;
            }
        }
        let rates = fleet.run(Duration::from_secs(4));
        table.row(format!("domain lost, not known/{size}"), &rates);
        let domains = fleet.domains.iter();
        let lost = domains
            .zip(&fleet.names)
            .filter(|(domain, _)| **domain == 0);
        fleet.gone = lost.map(|(_, name)| name.clone()).collect();
        let rates = fleet.run(Duration::from_secs(4));
        table.row(format!("domain lost, known/{size}"), &rates);
        println!("  {} of {} partitions held", fleet.held(&own), own.len());
    }
    let mut table = Table::new(
        "lease-fit",
        "series,per node and s,per node and s and member",
    );
    add_fit(&mut table, "core CPU us at rest", &rest);
}

/// Measures finding the partitions of all leaves, as the node does when a map changes.
fn leaf_partitions(size: usize) -> f64 {
    let buckets = (PARTITIONS * size).div_ceil(FULL) as u16;
    let leaves: Vec<(LeafId, Domain)> = (0..LEAVES)
        .map(|at| (leaf_name(at), domain_name(at)))
        .collect();
    let start = thread_cpu();
    let found: HashSet<PartitionId> = leaves
        .iter()
        .map(|(leaf, domain)| PartitionId::of(leaf, domain, buckets))
        .collect();
    black_box(found.into_iter().collect::<BTreeSet<PartitionId>>());
    thread_cpu() - start
}

fn leaf_name(at: usize) -> LeafId {
    format!("10.{}.{}.{}:9000", at >> 16, at >> 8 & 255, at & 255).into()
}

/// Returns the policy of a service in its n-th version.
fn policy(service: usize, version: u64) -> Document {
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

/// Services of the full size, each with a map of its own.
const SERVICES: usize = 10;

/// Returns the map of a service, in which one leaf differs from version to version.
fn map(service: usize, version: u64) -> Document {
    let leaves: Vec<usize> = (0..LEAVES).filter(|at| at % SERVICES == service).collect();
    let info = |at: usize| {
        let changed = at == leaves[leaves.len() / 2];
        json!({
            "domain": domain_name(at),
            "slots": if changed { 4 + version % 3 } else { 6 },
            "connections": 110,
            "cold_capacity": 1,
        })
    };
    let shard = |shard: usize| {
        let copies = leaves.iter().skip(shard).step_by(500);
        let copies: Vec<LeafId> = copies.map(|at| leaf_name(*at)).collect();
        json!({"shard": shard, "leaves": copies})
    };
    let infos: BTreeMap<LeafId, _> = leaves
        .iter()
        .map(|at| (leaf_name(*at), info(*at)))
        .collect();
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

fn vms(version: u64, list: &VmList) -> Document {
    Document {
        key: "vms".into(),
        version,
        value: Some(serde_json::to_string(list).expect("a list").into()),
    }
}

fn everything() -> Vec<Document> {
    let policies = (0..SERVICES).map(|service| policy(service, 1));
    let maps = (0..SERVICES).map(|service| map(service, 1));
    policies
        .chain(maps)
        .chain([vms(1, &vm_list(0..FULL))])
        .collect()
}

/// Stores and relays of a whole fleet, with policies only.
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
        let base: Vec<Document> = (0..SERVICES).map(|service| policy(service, 1)).collect();
        let node = |name: &NodeId| {
            let mut store = ConfigStore::new();
            store.apply(now, base.clone());
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

    fn send(&mut self, at: usize, out: RelayOutbox) {
        for (to, message) in out {
            self.messages += 1.0;
            self.bytes += datagram_bytes(&self.names[at], &Control::Relay(&message)) as f64;
            if self.index[&to] != at {
                self.inbox.push((self.index[&to], at, message));
            }
        }
    }

    /// Publishes a document to the readers: 4 nodes of each failure domain.
    fn publish(&mut self, document: &Document) {
        for at in 0..(4 * DOMAINS).min(self.nodes.len()) {
            let mut out = Vec::new();
            let (store, relay) = &mut self.nodes[at];
            let applied = store.apply(self.now, vec![document.clone()]);
            relay.forward(&applied, &self.names, &mut self.rng, &mut out);
            self.send(at, out);
        }
    }

    fn turn(&mut self) {
        self.now = self.now + STEP;
        let start = thread_cpu();
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
        self.cpu += thread_cpu() - start;
        for (to, out) in sent {
            self.send(to, out);
        }
        // Each node probes one peer a second; both learn the other's digest.
        for at in 0..self.nodes.len() {
            if !self.rng.random_bool(STEP.as_secs_f64()) {
                continue;
            }
            let peer = self.rng.random_range(0..self.nodes.len());
            for (one, other) in [(at, peer), (peer, at)] {
                let digest = self.nodes[other].0.digest();
                let mut out = Vec::new();
                let (store, relay) = &mut self.nodes[one];
                relay.receive_digest(self.now, &self.names[other], digest, store, &mut out);
                self.send(one, out);
            }
        }
    }

    fn behind(&self) -> usize {
        let digest = self.nodes[0].0.digest();
        let behind = self
            .nodes
            .iter()
            .filter(|(store, _)| store.digest() != digest);
        behind.count()
    }
}

/// Measures the dissemination of changes, and what a change costs a node with the full configuration.
pub(crate) fn relay() {
    let mut table = Table::new(
        "relay",
        "kind/nodes,changes,messages sent per node and change,bytes sent per node and change,core CPU us per node and change,ms until all have it",
    );
    for size in SIZES {
        let mut fleet = RelayFleet::new(size);
        let changes = 10;
        let mut longest = 0;
        for change in 0..changes {
            fleet.publish(&policy(change % SERVICES, change as u64 + 2));
            let mut turns = 0;
            while fleet.behind() > 0 || !fleet.inbox.is_empty() {
                fleet.turn();
                turns += 1;
                assert!(turns < 4_000, "the change does not reach all nodes");
            }
            longest = longest.max(turns);
        }
        let per = 1.0 / size as f64 / changes as f64;
        let bytes = fleet.bytes + HEADER_BYTES * fleet.messages;
        let slowest = f64::from(longest) * STEP.as_secs_f64() * 1e3;
        table.row(
            format!("single/{size}"),
            &[
                changes as f64,
                fleet.messages * per,
                bytes * per,
                fleet.cpu * per,
                slowest,
            ],
        );
    }
    burst(&mut table);
    apply();
}

/// Measures 1,000 changes a minute for a while.
fn burst(table: &mut Table) {
    let mut fleet = RelayFleet::new(FULL);
    let changes = 100;
    for change in 0..changes {
        fleet.publish(&policy(change % SERVICES, change as u64 + 2));
        // 60 ms are 12 turns.
        (0..12).for_each(|_| fleet.turn());
    }
    let mut turns = 0;
    while fleet.behind() > 0 {
        fleet.turn();
        turns += 1;
        assert!(turns < 4_000, "the changes do not reach all nodes");
    }
    let per = 1.0 / FULL as f64 / changes as f64;
    let bytes = fleet.bytes + HEADER_BYTES * fleet.messages;
    let slowest = f64::from(turns) * STEP.as_secs_f64() * 1e3;
    table.row(
        format!("burst/{FULL}"),
        &[
            changes as f64,
            fleet.messages * per,
            bytes * per,
            fleet.cpu * per,
            slowest,
        ],
    );
}

/// Measures what a change costs one node that holds the full configuration.
fn apply() {
    let documents = everything();
    let text: usize = documents
        .iter()
        .map(|document| document.value.as_ref().map_or(0, |value| value.len()))
        .sum();
    println!(
        "  full configuration: {} documents, {text} bytes",
        documents.len()
    );
    let now = Time::from_millis(1_000);
    let peers: Vec<NodeId> = (0..FULL).map(node_name).collect();
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
    let list = vm_list((0..FULL).filter(|at| *at != 15).chain([FULL + 5]));
    let changes = [
        ("policy", policy(3, 2)),
        ("one leaf of a map", map(3, 2)),
        ("one VM", vms(2, &list)),
    ];
    for (label, document) in changes {
        let size = document.value.as_ref().map_or(0, |value| value.len());
        let start = thread_cpu();
        let applied = store.apply(now, vec![document]);
        let apply = thread_cpu() - start;
        assert!(applied.rejected.is_empty(), "{:?}", applied.rejected);
        let mut out = Vec::new();
        let start = thread_cpu();
        relay.forward(&applied, &peers, &mut rng, &mut out);
        let pass = thread_cpu() - start;
        let bytes = datagram_bytes(&peers[0], &Control::Relay(&out[0].1));
        table.row(
            label,
            &[size as f64, apply, pass, out.len() as f64, bytes as f64],
        );
    }
}

/// Measures the resident set of the cores of nodes at full size, each with a configuration of its own.
pub(crate) fn memory() {
    let mut table = Table::new("core-memory", "core/nodes,resident KiB more");
    let list = vm_list(0..FULL);
    let now = Time::from_millis(1_000);
    let all = partitions(FULL, 0..DOMAINS);
    let mut fits = Vec::new();
    // Nothing is freed in between: the next core would take that memory over.
    let mut kept = Vec::new();
    let mut add = |label: &str, build: &dyn Fn(usize) -> Box<dyn std::any::Any>| {
        kept.push(build(0));
        let before = resident();
        let mut points = Vec::new();
        for count in 1..=6 {
            kept.push(build(count));
            let more = resident() - before;
            table.row(format!("{label}/{count}"), &[more]);
            points.push((count as f64, more));
        }
        fits.push((label.to_owned(), points));
    };
    add("membership", &|at| {
        let settings = MemberSettings::default();
        let mut node = Membership::new(node_name(at), Incarnation(1), settings, now);
        // Names of their own, as in a process of its own.
        node.set_vms(now, &vm_list(0..FULL));
        Box::new(node)
    });
    add("leases", &|at| {
        let settings = LeaseSettings {
            voters: VOTERS,
            ..LeaseSettings::default()
        };
        let mut node = LeaseTable::new(node_name(at), Incarnation(1), settings, now);
        node.set_vms(now, 1, &list);
        node.set_partitions(now, all.clone());
        Box::new(node)
    });
    add("configuration", &|_| {
        let mut store = ConfigStore::new();
        store.apply(now, everything());
        Box::new(store)
    });
    let mut table = Table::new("core-memory-fit", "core,KiB,KiB per node");
    for (label, points) in fits {
        add_fit(&mut table, &label, &points);
    }
}
