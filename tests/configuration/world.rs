//! Stores, relays and read pacers of several nodes, with a network and a configuration service that fail.

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

const MILLI: u64 = 1_000;
const SECOND: u64 = 1_000_000;
const TICK: u64 = 100 * MILLI;

#[derive(Debug)]
enum Event {
    Tick(usize, u64),
    Relay(usize, usize, RelayMessage),
    /// A probe or its answer, with the digest of the sender.
    Probe(usize, usize, Digest, bool),
    /// The end of a request to the service.
    Answer(usize, u64, ReadRequest, Option<(u64, Vec<Document>)>),
    WatchEnds(usize, u64, ReadRequest),
}

#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) store: ConfigStore,
    pub(crate) relay: Relay,
    pub(crate) pacer: ReadPacer,
    run: u64,
    resumes: u64,
    group: u8,
    /// What the node has held; none of it may go down.
    held: BTreeMap<Arc<str>, Stamp>,
    /// What each peer held that told this starting node its versions; nothing once the node has caught up.
    floors: Option<Vec<BTreeMap<Arc<str>, Stamp>>>,
}

#[derive(Debug, Default)]
pub(crate) struct Service {
    pub(crate) log: Vec<Document>,
    pub(crate) up: bool,
    /// Entries that readers see; fewer than all while the service is stale.
    pub(crate) visible: usize,
    waiting: Vec<(usize, u64, ReadRequest)>,
    /// Requests started, by second.
    pub(crate) reads: BTreeMap<u64, usize>,
}

#[derive(Debug, Default)]
pub(crate) struct Network {
    pub(crate) loss: f64,
    pub(crate) twice: f64,
    pub(crate) delay: u64,
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
    pub probe_bytes: u64,
}

pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) rng: Pcg64,
    pub(crate) nodes: Vec<Node>,
    pub(crate) names: Vec<NodeId>,
    pub(crate) domains: Vec<Domain>,
    pub(crate) service: Service,
    pub(crate) network: Network,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    bodies: Vec<Option<Event>>,
    free: Vec<usize>,
    serial: u64,
    published: BTreeMap<(Arc<str>, Stamp), (Document, Option<ParsedDocument>)>,
    verdicts: BTreeMap<(Arc<str>, u64), Vec<Fault>>,
}

impl World {
    pub(crate) fn new(seed: u64, count: usize, domains: usize) -> Self {
        let names: Vec<NodeId> = (0..count).map(|at| format!("n{at}").into()).collect();
        let mut world = Self {
            now: SECOND,
            rng: Pcg64::seed_from_u64(seed),
            nodes: Vec::new(),
            names,
            domains: (0..count)
                .map(|at| format!("d{}", at % domains).into())
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
            bodies: Vec::new(),
            free: Vec::new(),
            serial: 0,
            published: BTreeMap::new(),
            verdicts: BTreeMap::new(),
        };
        for at in 0..count {
            let node = world.fresh(at);
            world.nodes.push(node);
            world.set_role(at);
            let first = world.rng.random_range(0..TICK);
            world.after(first, Event::Tick(at, 0));
        }
        world
    }

    fn fresh(&self, at: usize) -> Node {
        Node {
            store: ConfigStore::new(),
            relay: Relay::new(self.names[at].clone()),
            pacer: ReadPacer::new(Time(self.now)),
            run: self.serial,
            resumes: 0,
            group: 0,
            held: BTreeMap::new(),
            floors: Some(Vec::new()),
        }
    }

    fn set_role(&mut self, at: usize) {
        let role = read_role(&self.names[at], self.names.iter().zip(&self.domains));
        self.nodes[at]
            .pacer
            .set_role(Time(self.now), role, &mut self.rng);
    }

    /// Replaces a node by an empty one of the same name.
    pub(crate) fn restart(&mut self, at: usize) {
        let group = self.nodes[at].group;
        self.nodes[at] = Node {
            group,
            ..self.fresh(at)
        };
        self.set_role(at);
    }

    pub(crate) fn pause(&mut self, at: usize, millis: u64) {
        self.nodes[at].resumes = self.now + millis * MILLI;
    }

    pub(crate) fn split(&mut self, groups: u8) {
        for node in &mut self.nodes {
            node.group = self.rng.random_range(0..groups);
        }
    }

    /// Ends all faults but that of the service.
    pub(crate) fn heal(&mut self) {
        self.split(1);
        self.network = Network {
            delay: 2,
            ..Network::default()
        };
        self.nodes.iter_mut().for_each(|node| node.resumes = 0);
    }

    /// Publishes a value under the next version of its key, as far as the service remembers it.
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

    /// Lets readers see all that was published, and ends the watches that wait for it.
    pub(crate) fn show_all(&mut self) {
        self.service.visible = self.service.log.len();
        if self.service.up {
            for (at, run, step) in std::mem::take(&mut self.service.waiting) {
                self.answer(at, run, step);
            }
        }
    }

    /// Loses what was published last, as a service that was restored from a backup does.
    pub(crate) fn roll_back(&mut self, entries: usize) {
        let left = self.service.log.len().saturating_sub(entries).max(1);
        self.service.log.truncate(left);
        self.service.visible = self.service.visible.min(left);
    }

    pub(crate) fn run_for(&mut self, time: Duration) {
        let end = self.now + time.as_micros() as u64;
        while let Some(&Reverse((at, _, slot))) = self.events.peek()
            && at <= end
        {
            self.events.pop();
            self.now = at;
            self.free.push(slot);
            let event = self.bodies[slot].take().expect("every event has a body");
            self.handle(event);
        }
        self.now = end;
    }

    /// Runs until all nodes hold the same and at least `target`; returns the milliseconds this took.
    pub(crate) fn run_until_all(
        &mut self,
        target: &BTreeMap<Arc<str>, Stamp>,
        limit: u64,
    ) -> Option<u64> {
        let start = self.now;
        while self.now < start + limit * MILLI {
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
                return Some((self.now - start) / MILLI);
            }
            self.run_for(Duration::from_millis(20));
        }
        None
    }

    /// Returns the newest valid value of each key that a node holds or, if it is up, the service shows.
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
        // Readers never learn of a valid value that an invalid one has replaced before they read it.
        let shown = last
            .into_iter()
            .map(|(key, document)| (key, Stamp::of(document)));
        let shown = shown.filter(|id| self.published.contains_key(id));
        let mut newest = BTreeMap::new();
        let held = self.nodes.iter().flat_map(|node| node.store.versions().0);
        for (key, stamp) in shown.chain(held) {
            let known: &mut Stamp = newest.entry(key).or_default();
            *known = stamp.max(*known);
        }
        newest
    }

    fn after(&mut self, delay: u64, event: Event) {
        self.serial += 1;
        let slot = self.free.pop().unwrap_or_else(|| {
            self.bodies.push(None);
            self.bodies.len() - 1
        });
        self.bodies[slot] = Some(event);
        self.events
            .push(Reverse((self.now + delay, self.serial, slot)));
    }

    fn handle(&mut self, event: Event) {
        let at = match &event {
            Event::Tick(at, _) | Event::Relay(at, ..) | Event::Probe(at, ..) => *at,
            Event::Answer(at, ..) | Event::WatchEnds(at, ..) => *at,
        };
        let resumes = self.nodes[at].resumes;
        if resumes > self.now {
            return self.after(resumes - self.now, event);
        }
        let now = Time(self.now);
        let mut out = Vec::new();
        let mut applied = Default::default();
        let node = &mut self.nodes[at];
        match event {
            Event::Tick(at, count) => {
                node.relay
                    .tick(now, &node.store, &self.names, &mut self.rng, &mut out);
                if count % 10 == 0 {
                    let peer = self.rng.random_range(0..self.names.len());
                    self.probe(at, peer, false);
                }
                self.after(TICK, Event::Tick(at, count + 1));
            }
            Event::Relay(at, from, message) => {
                let hello = match &message {
                    RelayMessage::Hello(digest) => Some(*digest),
                    _ => None,
                };
                if let (RelayMessage::Offer { mask, versions }, Some(floors)) =
                    (&message, &mut node.floors)
                    && (*mask == 0 || !versions.0.is_empty())
                {
                    floors.push(versions.0.clone());
                }
                applied = node.relay.receive(
                    now,
                    &self.names[from],
                    message,
                    &mut node.store,
                    &self.names,
                    &mut self.rng,
                    &mut out,
                );
                if node.relay.is_synced()
                    && let Some(floors) = node.floors.take()
                {
                    let holds = |(key, stamp): (&Arc<str>, &Stamp)| node.store.stamp(key) >= *stamp;
                    let caught_up = hello == Some(node.store.digest())
                        || floors.iter().any(|floor| floor.iter().all(holds));
                    assert!(caught_up, "n{at} started below its peers: {floors:?}");
                }
            }
            Event::Probe(at, from, digest, ack) => {
                node.relay
                    .receive_digest(now, &self.names[from], digest, &node.store, &mut out);
                if node.relay.is_synced() {
                    node.floors = None;
                }
                if !ack {
                    self.probe(at, from, true);
                }
            }
            Event::Answer(at, run, step, result) if run == self.nodes[at].run => {
                let node = &mut self.nodes[at];
                let revision = result.as_ref().map(|(revision, _)| *revision);
                node.pacer.record_result(now, step, revision, &mut self.rng);
                if let Some((_, documents)) = result {
                    applied = node.store.apply(now, documents);
                    node.relay
                        .forward(&applied, &self.names, &mut self.rng, &mut out);
                }
            }
            Event::Answer(..) => {}
            Event::WatchEnds(at, run, step) => {
                let waits = &mut self.service.waiting;
                if let Some(found) = waits.iter().position(|wait| *wait == (at, run, step)) {
                    waits.swap_remove(found);
                    self.answer(at, run, step);
                }
            }
        }
        for rejection in applied.rejected {
            let id = (rejection.key, rejection.version);
            let first = self
                .verdicts
                .entry(id)
                .or_insert_with(|| rejection.faults.clone());
            assert_eq!(*first, rejection.faults, "n{at} judges differently");
        }
        if !applied.changed.is_empty() {
            self.check_node(at);
        }
        for (to, message) in out {
            let to: usize = to.as_str()[1..].parse().expect("names are numbered");
            self.network.messages += 1;
            self.network.bytes += message.size() as u64;
            self.send(at, to, Event::Relay(to, at, message));
        }
        while let Some(step) = self.nodes[at].pacer.next_request(now) {
            *self.service.reads.entry(self.now / SECOND).or_default() += 1;
            self.ask(at, step);
        }
    }

    /// Checks that nothing went back and that what is in force was published, is valid and is in the view.
    fn check_node(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        assert_eq!(invariant::violations(), 0, "n{at} violated an invariant");
        for (key, stamp) in node.store.versions().0 {
            let document = node.store.get(&key).expect("versions are of documents");
            let published = self.published.get(&(key.clone(), stamp));
            let (original, parsed) =
                published.expect("what is in force was published and is valid");
            assert_eq!(document, original);
            let held = node.held.entry(key.clone()).or_default();
            assert!(
                stamp >= *held,
                "n{at}: {key} went from {held:?} back to {stamp:?}"
            );
            *held = stamp;
            if let Some(name) = key.strip_prefix("service/") {
                let view = node.store.view();
                let shown = view.services.get(&ServiceName::from(name)).cloned();
                let policy = shown.map(|policy| ParsedDocument::Service(name.into(), policy));
                assert_eq!(
                    &policy, parsed,
                    "n{at} shows another value than the one in force"
                );
            }
        }
        let gone = node
            .held
            .iter()
            .find(|(key, stamp)| node.store.stamp(key) < **stamp);
        assert_eq!(gone, None, "n{at} lost a key");
    }

    fn probe(&mut self, from: usize, to: usize, ack: bool) {
        if from != to {
            let digest = self.nodes[from].store.digest();
            self.network.probe_bytes +=
                postcard::to_allocvec(&digest).expect("encodes").len() as u64;
            self.send(from, to, Event::Probe(to, from, digest, ack));
        }
    }

    fn send(&mut self, from: usize, to: usize, event: Event) {
        if self.nodes[from].group != self.nodes[to].group {
            return;
        }
        let twice = self.rng.random_bool(self.network.twice);
        if twice && let Event::Relay(to, from, message) = &event {
            self.deliver(Event::Relay(*to, *from, message.clone()));
        }
        self.deliver(event);
    }

    fn deliver(&mut self, event: Event) {
        if !self.rng.random_bool(self.network.loss) {
            let delay = self.rng.random_range(1..=self.network.delay * MILLI);
            self.after(MILLI + delay, event);
        }
    }

    fn ask(&mut self, at: usize, step: ReadRequest) {
        let run = self.nodes[at].run;
        let revision = self.service.visible as u64;
        match step {
            _ if !self.service.up => self.after(SECOND, Event::Answer(at, run, step, None)),
            ReadRequest::Watch { after, wait } if after >= revision => {
                self.service.waiting.push((at, run, step));
                self.after(wait.as_micros() as u64, Event::WatchEnds(at, run, step));
            }
            _ => self.answer(at, run, step),
        }
    }

    fn answer(&mut self, at: usize, run: u64, step: ReadRequest) {
        let (ReadRequest::Read { after } | ReadRequest::Watch { after, .. }) = step;
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
        let delay = self.rng.random_range(1..4) * MILLI;
        self.after(delay, Event::Answer(at, run, step, result));
    }
}
