//! Simulation of the stores, relays and read pacers of many nodes, with a faulty network and configuration service.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    sync::Arc,
    time::Duration,
};

use cranberrychute::core::{
    Domain, NodeId, ServiceName, Time,
    config::{
        ConfigStore, Digest, Document, Fault, ParsedDocument, Stamp, parse_document,
        relay::{ReadPacer, ReadRequest, Relay, RelayMessage, read_role},
    },
    invariant,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// One millisecond; simulated time is in microseconds.
const MILLISECOND: u64 = 1_000;
const SECOND: u64 = 1_000_000;
const TICK_INTERVAL: u64 = 100 * MILLISECOND;

#[derive(Debug)]
enum Event {
    /// Node and number of the tick.
    Tick(usize, u64),
    /// Receiver, sender and message.
    Relay(usize, usize, RelayMessage),
    /// Receiver, sender, digest of the sender, and whether this is the reply to a probe.
    Probe(usize, usize, Digest, bool),
    /// Node, its run, the request, and the response of the service or `None` if the request failed.
    Response(usize, u64, ReadRequest, Option<(u64, Vec<Document>)>),
    WatchTimeout(usize, u64, ReadRequest),
}

#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) store: ConfigStore,
    pub(crate) relay: Relay,
    pub(crate) pacer: ReadPacer,
    /// Identifies the run of the process; responses to an earlier run are dropped.
    run: u64,
    paused_until: u64,
    /// Nodes of different groups cannot reach each other.
    group: u8,
    /// Highest stamp that the node has held for each key; the stamp of a key must never decrease.
    max_stamps: BTreeMap<Arc<str>, Stamp>,
    /// Versions sent by each peer that replied to this starting node; `None` once the node has synced.
    peer_versions: Option<Vec<BTreeMap<Arc<str>, Stamp>>>,
}

#[derive(Debug, Default)]
pub(crate) struct Service {
    pub(crate) log: Vec<Document>,
    pub(crate) up: bool,
    /// Number of log entries that readers see; less than the length of the log while the service is stale.
    pub(crate) visible: usize,
    watches: Vec<(usize, u64, ReadRequest)>,
    /// Number of requests started in each second.
    pub(crate) reads: BTreeMap<u64, usize>,
}

#[derive(Debug, Default)]
pub(crate) struct Network {
    pub(crate) loss: f64,
    pub(crate) duplicated: f64,
    /// Maximum random delay of a message, in milliseconds.
    pub(crate) delay: u64,
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
    pub probe_bytes: u64,
}

pub(crate) struct Simulation {
    pub(crate) now: u64,
    pub(crate) rng: Pcg64,
    pub(crate) nodes: Vec<Node>,
    pub(crate) ids: Vec<NodeId>,
    pub(crate) domains: Vec<Domain>,
    pub(crate) service: Service,
    pub(crate) network: Network,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    event_slots: Vec<Option<Event>>,
    free_slots: Vec<usize>,
    sequence: u64,
    published: BTreeMap<(Arc<str>, Stamp), (Document, Option<ParsedDocument>)>,
    first_faults: BTreeMap<(Arc<str>, u64), Vec<Fault>>,
}

impl Simulation {
    pub(crate) fn new(seed: u64, count: usize, domains: usize) -> Self {
        let ids: Vec<NodeId> = (0..count).map(|index| format!("n{index}").into()).collect();
        let mut simulation = Self {
            now: SECOND,
            rng: Pcg64::seed_from_u64(seed),
            nodes: Vec::new(),
            ids,
            domains: (0..count)
                .map(|index| format!("d{}", index % domains).into())
                .collect(),
            service: Service {
                up: true,
                ..Service::default()
            },
            network: Network {
                delay: 2,
                ..Network::default()
            },
            events: BinaryHeap::new(),
            event_slots: Vec::new(),
            free_slots: Vec::new(),
            sequence: 0,
            published: BTreeMap::new(),
            first_faults: BTreeMap::new(),
        };
        for index in 0..count {
            let node = simulation.new_node(index);
            simulation.nodes.push(node);
            simulation.set_role(index);
            let delay = simulation.rng.random_range(0..TICK_INTERVAL);
            simulation.schedule(delay, Event::Tick(index, 0));
        }
        simulation
    }

    fn new_node(&self, index: usize) -> Node {
        Node {
            store: ConfigStore::new(),
            relay: Relay::new(self.ids[index].clone()),
            pacer: ReadPacer::new(Time(self.now)),
            run: self.sequence,
            paused_until: 0,
            group: 0,
            max_stamps: BTreeMap::new(),
            peer_versions: Some(Vec::new()),
        }
    }

    fn set_role(&mut self, index: usize) {
        let role = read_role(&self.ids[index], self.ids.iter().zip(&self.domains));
        self.nodes[index]
            .pacer
            .set_role(Time(self.now), role, &mut self.rng);
    }

    /// Replaces a node by an empty one with the same id.
    pub(crate) fn restart(&mut self, index: usize) {
        let group = self.nodes[index].group;
        self.nodes[index] = Node {
            group,
            ..self.new_node(index)
        };
        self.set_role(index);
    }

    pub(crate) fn pause(&mut self, index: usize, millis: u64) {
        self.nodes[index].paused_until = self.now + millis * MILLISECOND;
    }

    pub(crate) fn split(&mut self, groups: u8) {
        for node in &mut self.nodes {
            node.group = self.rng.random_range(0..groups);
        }
    }

    /// Ends all faults of the network and the nodes, but not those of the service.
    pub(crate) fn heal(&mut self) {
        self.split(1);
        self.network = Network {
            delay: 2,
            ..Network::default()
        };
        self.nodes.iter_mut().for_each(|node| node.paused_until = 0);
    }

    /// Publishes a value under the next version of its key, counted from the last entry in the log of the service.
    pub(crate) fn publish(&mut self, key: &str, value: Option<String>) {
        let last = self
            .service
            .log
            .iter()
            .rfind(|document| &*document.key == key);
        let document = Document {
            key: key.into(),
            version: 1 + last.map_or(0, |document| document.version),
            value: value.map(Arc::from),
        };
        let id = (document.key.clone(), Stamp::of(&document));
        let text = document.value.as_deref();
        let parsed = text.map(|text| parse_document(key, text)).transpose();
        if let Ok(parsed) = parsed {
            self.published.insert(id, (document.clone(), parsed));
        }
        self.service.log.push(document);
        if self.service.visible + 1 == self.service.log.len() {
            self.show_all();
        }
    }

    /// Makes all published documents visible to readers, and completes the watches that wait for them.
    pub(crate) fn show_all(&mut self) {
        self.service.visible = self.service.log.len();
        if self.service.up {
            for (index, run, request) in std::mem::take(&mut self.service.watches) {
                self.respond(index, run, request);
            }
        }
    }

    /// Removes the entries published last, as if the service was restored from a backup.
    pub(crate) fn roll_back(&mut self, entries: usize) {
        let remaining = self.service.log.len().saturating_sub(entries).max(1);
        self.service.log.truncate(remaining);
        self.service.visible = self.service.visible.min(remaining);
    }

    pub(crate) fn run_for(&mut self, time: Duration) {
        let end = self.now + time.as_micros() as u64;
        while let Some(&Reverse((due, _, slot))) = self.events.peek()
            && due <= end
        {
            self.events.pop();
            self.now = due;
            self.free_slots.push(slot);
            let event = self.event_slots[slot]
                .take()
                .expect("the slot of a queued event is filled");
            self.handle(event);
        }
        self.now = end;
    }

    /// Runs until all nodes hold the same versions, which must be at least `target`. Returns the time this took in
    /// milliseconds, or `None` if it exceeds `timeout_ms`.
    pub(crate) fn run_until_converged(
        &mut self,
        target: &BTreeMap<Arc<str>, Stamp>,
        timeout_ms: u64,
    ) -> Option<u64> {
        let start = self.now;
        while self.now < start + timeout_ms * MILLISECOND {
            let holds = |node: &Node| {
                target
                    .iter()
                    .all(|(key, stamp)| node.store.stamp(key) >= *stamp)
            };
            let digest = self.nodes[0].store.digest();
            if self
                .nodes
                .iter()
                .all(|node| node.store.digest() == digest && holds(node))
            {
                return Some((self.now - start) / MILLISECOND);
            }
            self.run_for(Duration::from_millis(20));
        }
        None
    }

    /// Returns the newest valid stamp of each key that a node holds or that the service shows while it is up.
    pub(crate) fn newest(&self) -> BTreeMap<Arc<str>, Stamp> {
        let shown = if self.service.up {
            self.service.visible
        } else {
            0
        };
        let mut last = BTreeMap::new();
        for document in &self.service.log[..shown] {
            last.insert(document.key.clone(), document);
        }
        // Readers never receive a valid value that an invalid one replaced before they read it.
        let shown = last
            .into_iter()
            .map(|(key, document)| (key, Stamp::of(document)));
        let shown = shown.filter(|id| self.published.contains_key(id));
        let mut newest = BTreeMap::new();
        let held = self.nodes.iter().flat_map(|node| node.store.versions().0);
        for (key, stamp) in shown.chain(held) {
            let entry: &mut Stamp = newest.entry(key).or_default();
            *entry = stamp.max(*entry);
        }
        newest
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.event_slots.push(None);
            self.event_slots.len() - 1
        });
        self.event_slots[slot] = Some(event);
        self.events
            .push(Reverse((self.now + delay, self.sequence, slot)));
    }

    fn handle(&mut self, event: Event) {
        let index = match &event {
            Event::Tick(index, _) | Event::Relay(index, ..) | Event::Probe(index, ..) => *index,
            Event::Response(index, ..) | Event::WatchTimeout(index, ..) => *index,
        };
        let paused_until = self.nodes[index].paused_until;
        if paused_until > self.now {
            return self.schedule(paused_until - self.now, event);
        }
        let now = Time(self.now);
        let mut out = Vec::new();
        let mut applied = Default::default();
        let node = &mut self.nodes[index];
        match event {
            Event::Tick(index, count) => {
                node.relay
                    .tick(now, &node.store, &self.ids, &mut self.rng, &mut out);
                if count % 10 == 0 {
                    let peer = self.rng.random_range(0..self.ids.len());
                    self.probe(index, peer, false);
                }
                self.schedule(TICK_INTERVAL, Event::Tick(index, count + 1));
            }
            Event::Relay(index, from, message) => {
                let hello = match &message {
                    RelayMessage::Hello(digest) => Some(*digest),
                    _ => None,
                };
                if let (RelayMessage::Offer { mask, versions }, Some(peer_versions)) =
                    (&message, &mut node.peer_versions)
                    && (*mask == 0 || !versions.0.is_empty())
                {
                    peer_versions.push(versions.0.clone());
                }
                applied = node.relay.receive(
                    now,
                    &self.ids[from],
                    message,
                    &mut node.store,
                    &self.ids,
                    &mut self.rng,
                    &mut out,
                );
                if node.relay.is_synced()
                    && let Some(peer_versions) = node.peer_versions.take()
                {
                    let holds = |(key, stamp): (&Arc<str>, &Stamp)| node.store.stamp(key) >= *stamp;
                    let up_to_date = hello == Some(node.store.digest())
                        || peer_versions
                            .iter()
                            .any(|versions| versions.iter().all(holds));
                    assert!(
                        up_to_date,
                        "n{index} synced with older versions than its peers: {peer_versions:?}"
                    );
                }
            }
            Event::Probe(index, from, digest, is_reply) => {
                node.relay
                    .receive_digest(now, &self.ids[from], digest, &node.store, &mut out);
                if node.relay.is_synced() {
                    node.peer_versions = None;
                }
                if !is_reply {
                    self.probe(index, from, true);
                }
            }
            Event::Response(index, run, request, result) if run == self.nodes[index].run => {
                let node = &mut self.nodes[index];
                let revision = result.as_ref().map(|(revision, _)| *revision);
                node.pacer
                    .record_result(now, request, revision, &mut self.rng);
                if let Some((_, documents)) = result {
                    applied = node.store.apply(now, documents);
                    node.relay
                        .forward(&applied, &self.ids, &mut self.rng, &mut out);
                }
            }
            Event::Response(..) => {}
            Event::WatchTimeout(index, run, request) => {
                let watches = &mut self.service.watches;
                if let Some(found) = watches
                    .iter()
                    .position(|watch| *watch == (index, run, request))
                {
                    watches.swap_remove(found);
                    self.respond(index, run, request);
                }
            }
        }
        for rejection in applied.rejected {
            let id = (rejection.key, rejection.version);
            let first = self
                .first_faults
                .entry(id)
                .or_insert_with(|| rejection.faults.clone());
            assert_eq!(
                *first, rejection.faults,
                "n{index} reports different faults than the node that first rejected the value"
            );
        }
        if !applied.changed.is_empty() {
            self.check_node(index);
        }
        for (to, message) in out {
            let to: usize = to.as_str()[1..].parse().expect("node ids are numbered");
            self.network.messages += 1;
            self.network.bytes += message.size() as u64;
            self.send(index, to, Event::Relay(to, index, message));
        }
        while let Some(request) = self.nodes[index].pacer.next_request(now) {
            *self.service.reads.entry(self.now / SECOND).or_default() += 1;
            self.send_request(index, request);
        }
    }

    /// Checks that no key has reverted, and that each active document was published, is valid and is in the view.
    fn check_node(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        assert_eq!(
            invariant::violation_count(),
            0,
            "n{index} violated an invariant"
        );
        for (key, stamp) in node.store.versions().0 {
            let document = node.store.get(&key).expect("every version has a document");
            let published = self.published.get(&(key.clone(), stamp));
            let (original, parsed) =
                published.expect("every active document was published and is valid");
            assert_eq!(document, original);
            let max_stamp = node.max_stamps.entry(key.clone()).or_default();
            assert!(
                stamp >= *max_stamp,
                "n{index}: {key} reverted from {max_stamp:?} to {stamp:?}"
            );
            *max_stamp = stamp;
            if let Some(name) = key.strip_prefix("service/") {
                let view = node.store.view();
                let shown = view.services.get(&ServiceName::from(name)).cloned();
                let policy = shown.map(|policy| ParsedDocument::Service(name.into(), policy));
                assert_eq!(
                    &policy, parsed,
                    "the view of n{index} does not contain the active value"
                );
            }
        }
        let lost = node
            .max_stamps
            .iter()
            .find(|(key, stamp)| node.store.stamp(key) < **stamp);
        assert_eq!(lost, None, "n{index} lost a key");
    }

    fn probe(&mut self, from: usize, to: usize, is_reply: bool) {
        if from != to {
            let digest = self.nodes[from].store.digest();
            self.network.probe_bytes += postcard::to_allocvec(&digest)
                .expect("digest can be encoded")
                .len() as u64;
            self.send(from, to, Event::Probe(to, from, digest, is_reply));
        }
    }

    fn send(&mut self, from: usize, to: usize, event: Event) {
        if self.nodes[from].group != self.nodes[to].group {
            return;
        }
        let duplicated = self.rng.random_bool(self.network.duplicated);
        if duplicated && let Event::Relay(to, from, message) = &event {
            self.deliver(Event::Relay(*to, *from, message.clone()));
        }
        self.deliver(event);
    }

    fn deliver(&mut self, event: Event) {
        if !self.rng.random_bool(self.network.loss) {
            let delay = self.rng.random_range(1..=self.network.delay * MILLISECOND);
            self.schedule(MILLISECOND + delay, event);
        }
    }

    fn send_request(&mut self, index: usize, request: ReadRequest) {
        let run = self.nodes[index].run;
        let revision = self.service.visible as u64;
        match request {
            _ if !self.service.up => {
                self.schedule(SECOND, Event::Response(index, run, request, None))
            }
            ReadRequest::Watch { after, wait } if after >= revision => {
                self.service.watches.push((index, run, request));
                self.schedule(
                    wait.as_micros() as u64,
                    Event::WatchTimeout(index, run, request),
                );
            }
            _ => self.respond(index, run, request),
        }
    }

    fn respond(&mut self, index: usize, run: u64, request: ReadRequest) {
        let (ReadRequest::Read { after } | ReadRequest::Watch { after, .. }) = request;
        let shown = &self.service.log[..self.service.visible];
        let mut newest = BTreeMap::new();
        for document in shown.iter().skip(after as usize) {
            newest.insert(document.key.clone(), document.clone());
        }
        let documents = newest.into_values().collect();
        let result = self
            .service
            .up
            .then_some((self.service.visible as u64, documents));
        let delay = self.rng.random_range(1..4) * MILLISECOND;
        self.schedule(delay, Event::Response(index, run, request, result));
    }
}
