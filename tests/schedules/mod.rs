//! Seeded schedules of faults for tests that drive the cores of many nodes through a faulty network.

#![allow(dead_code, reason = "not every test uses all of it")]

use std::{
    collections::{BTreeMap, BTreeSet},
    env,
};

use cranberrychute::core::{
    NodeId, Outbound, Time,
    config::{Vm, VmState},
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

pub(crate) const MS: u64 = 1_000;
pub(crate) const SECOND: u64 = 1_000 * MS;

/// Runs `schedule` for `default` seeds, for as many as `SCHEDULES` says, or for the one in `SEED`.
///
/// Panics with the seeds that failed. Returns the sum of the results.
pub(crate) fn run(name: &str, default: u64, schedule: fn(Pcg64) -> Result<u64, String>) -> u64 {
    let number = |key| env::var(key).ok().map(|text| text.parse().unwrap());
    let seeds: Vec<u64> = match number("SEED") {
        Some(seed) => vec![seed],
        None => (0..number("SCHEDULES").unwrap_or(default)).collect(),
    };
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get().div_ceil(2));
    let outcomes: Vec<(u64, Result<u64, String>)> = std::thread::scope(|scope| {
        let work = |first| {
            let mine = seeds.iter().skip(first).step_by(threads);
            let outcome = |seed: &u64| (*seed, schedule(Pcg64::seed_from_u64(*seed)));
            move || mine.map(outcome).collect::<Vec<_>>()
        };
        let workers: Vec<_> = (0..threads).map(|first| scope.spawn(work(first))).collect();
        let done = workers.into_iter();
        done.flat_map(|worker| worker.join().unwrap()).collect()
    });
    let (mut sum, mut failed) = (0, 0);
    for (seed, outcome) in &outcomes {
        match outcome {
            Ok(count) => sum += count,
            Err(fault) => {
                failed += 1;
                println!("SEED={seed} {name}: {fault}");
            }
        }
    }
    assert_eq!(
        failed,
        0,
        "{name}: {failed} of {} schedules failed",
        outcomes.len()
    );
    sum
}

pub(crate) fn id(node: usize) -> NodeId {
    format!("n{node}").into()
}

pub(crate) fn index(id: &NodeId) -> usize {
    id.as_str()[1..].parse().unwrap()
}

pub(crate) fn vm(node: usize, domains: usize, state: VmState) -> Vm {
    let address = "127.0.0.1:1".parse().unwrap();
    Vm {
        id: id(node),
        domain: format!("d{}", node % domains).into(),
        region: None,
        state,
        caller: address,
        peer: address,
        control: address,
    }
}

/// What a test adds to the common faults.
pub(crate) trait Scenario: Sized {
    type Core;
    type Message: Clone;
    type Event: Clone;

    /// Number of kinds of faults, the common 7 included.
    const FAULT_KINDS: u32;

    /// Starts the core of a node.
    fn start(fleet: &mut Fleet<Self>, index: usize, now: Time) -> Self::Core;

    /// Passes an input to a running node's core.
    fn handle(
        fleet: &mut Fleet<Self>,
        index: usize,
        now: Time,
        input: Input<Self>,
        out: &mut Vec<Outbound<Self::Message>>,
    ) -> Result<(), String>;

    /// Lets one of the faults beyond the common ones happen.
    fn inject_fault(fleet: &mut Fleet<Self>, index: usize, kind: u32);
}

pub(crate) enum Input<S: Scenario> {
    Tick,
    Message(usize, S::Message),
    Custom(S::Event),
}

enum Event<S: Scenario> {
    Tick(usize, u64),
    /// A message that waits in the socket of a paused run is lost with that run.
    Message(usize, usize, Option<u64>, S::Message),
    Custom(usize, u64, S::Event),
    Start(usize),
    Fault,
}

pub(crate) struct Node<C> {
    /// The clock: any origin, and a rate up to 10% from true time.
    origin: u64,
    rate: f64,
    /// Counts the runs of the node's process.
    pub(crate) run: u64,
    pub(crate) core: Option<C>,
    paused: u64,
}

impl<C> Node<C> {
    pub(crate) fn local_time(&self, at: u64) -> Time {
        Time(self.origin + (at as f64 * self.rate) as u64)
    }

    /// Returns the true time at which the clock shows `time`.
    pub(crate) fn true_time(&self, time: Time) -> u64 {
        ((time.0 - self.origin) as f64 / self.rate) as u64
    }
}

/// Nodes, the network between them, and what is yet to happen, in true time.
pub(crate) struct Fleet<S: Scenario> {
    pub(crate) rng: Pcg64,
    pub(crate) now: u64,
    pub(crate) nodes: Vec<Node<S::Core>>,
    pub(crate) scenario: S,
    events: BTreeMap<(u64, u64), Event<S>>,
    serial: u64,
    calm: bool,
    loss: f64,
    duplicate: f64,
    /// Share of messages delayed by up to 3 s, which reorders them.
    late: f64,
    /// Nodes that reach only one another.
    pub(crate) split_off: BTreeSet<usize>,
    /// Nodes that send but receive nothing.
    deaf: BTreeSet<usize>,
}

impl<S: Scenario> Fleet<S> {
    /// Starts the first `running` of `size` nodes.
    pub(crate) fn new(mut rng: Pcg64, size: usize, running: usize, scenario: S) -> Self {
        let nodes = (0..size).map(|_| Node {
            origin: rng.random_range(0..1 << 40),
            rate: rng.random_range(0.9..=1.1),
            run: 0,
            core: None,
            paused: 0,
        });
        let mut fleet = Self {
            nodes: nodes.collect(),
            rng,
            now: 0,
            scenario,
            events: BTreeMap::new(),
            serial: 0,
            calm: false,
            loss: 0.0,
            duplicate: 0.0,
            late: 0.0,
            split_off: BTreeSet::new(),
            deaf: BTreeSet::new(),
        };
        (0..running).for_each(|node| fleet.start(node));
        fleet
    }

    /// Lets faults happen from `from` until `until`, and returns when the last paused node has resumed.
    pub(crate) fn run_faults(&mut self, from: u64, until: u64) -> Result<u64, String> {
        self.schedule(from, Event::Fault);
        self.run_until(until)?;
        self.calm = true;
        self.calm_network();
        let resumed = self.nodes.iter().map(|node| node.paused).max();
        self.run_until(resumed.unwrap_or_default())?;
        Ok(self.now)
    }

    pub(crate) fn run_until(&mut self, end: u64) -> Result<(), String> {
        while self.now < end {
            let ((at, _), event) = self.events.pop_first().ok_or("no events left")?;
            self.now = at;
            self.step(event)?;
        }
        Ok(())
    }

    pub(crate) fn start(&mut self, index: usize) {
        if self.nodes[index].core.is_some() {
            return;
        }
        self.nodes[index].paused = 0;
        if self.rng.random_bool(0.5) {
            self.nodes[index].origin = self.rng.random_range(0..1 << 40);
        }
        self.nodes[index].run += 1;
        let now = self.nodes[index].local_time(self.now);
        let core = S::start(self, index, now);
        self.nodes[index].core = Some(core);
        let run = self.nodes[index].run;
        self.schedule(100 * MS, Event::Tick(index, run));
    }

    pub(crate) fn schedule_start(&mut self, most: u64, index: usize) {
        let delay = self.rng.random_range(0..most);
        self.schedule(delay, Event::Start(index));
    }

    pub(crate) fn kill(&mut self, index: usize) {
        self.nodes[index].core = None;
        self.nodes[index].run += 1;
    }

    /// Passes an event to this run of a node after at most `most`.
    pub(crate) fn schedule_event(&mut self, most: u64, index: usize, event: S::Event) {
        let delay = self.rng.random_range(MS..most);
        let run = self.nodes[index].run;
        self.schedule(delay, Event::Custom(index, run, event));
    }

    /// Returns whether a message between two nodes would pass now.
    pub(crate) fn delivers(&mut self, from: usize, to: usize) -> bool {
        self.split_off.contains(&from) == self.split_off.contains(&to)
            && !self.deaf.contains(&to)
            && !self.rng.random_bool(self.loss)
    }

    fn schedule(&mut self, delay: u64, event: Event<S>) {
        self.serial += 1;
        self.events.insert((self.now + delay, self.serial), event);
    }

    fn step(&mut self, event: Event<S>) -> Result<(), String> {
        let target = match &event {
            Event::Start(_) | Event::Fault if self.calm => return Ok(()),
            Event::Start(node) => {
                self.start(*node);
                return Ok(());
            }
            Event::Fault => {
                self.inject_fault();
                return Ok(());
            }
            Event::Tick(node, run) | Event::Custom(node, run, _) => (*node, Some(*run)),
            Event::Message(_, node, run, _) => (*node, *run),
        };
        let (index, run) = target;
        let node = &self.nodes[index];
        if node.core.is_none() || run.is_some_and(|run| run != node.run) {
            return Ok(());
        }
        if node.paused > self.now {
            let (delay, current) = (node.paused - self.now, node.run);
            match event {
                Event::Message(from, to, _, message) => {
                    if self.rng.random_bool(0.5) {
                        let event = Event::Message(from, to, Some(current), message);
                        self.schedule(delay, event);
                    }
                }
                event => self.schedule(delay, event),
            }
            return Ok(());
        }
        let now = node.local_time(self.now);
        let input = match event {
            Event::Tick(_, run) => {
                let delay = self.rng.random_range(80 * MS..120 * MS);
                self.schedule(delay, Event::Tick(index, run));
                Input::Tick
            }
            Event::Message(from, _, _, message) => Input::Message(from, message),
            Event::Custom(_, _, event) => Input::Custom(event),
            Event::Start(_) | Event::Fault => return Ok(()),
        };
        let mut out = Vec::new();
        S::handle(self, index, now, input, &mut out)?;
        for Outbound { to, message } in out {
            self.send(index, self::index(&to), message);
        }
        Ok(())
    }

    fn send(&mut self, from: usize, to: usize, message: S::Message) {
        for _ in 0..1 + u32::from(self.rng.random_bool(self.duplicate)) {
            if self.delivers(from, to) {
                let late = self.rng.random_bool(self.late);
                let most = if late { 3 * SECOND } else { 3 * MS };
                let delay = self.rng.random_range(MS..=most);
                self.schedule(delay, Event::Message(from, to, None, message.clone()));
            }
        }
    }

    fn inject_fault(&mut self) {
        let index = self.rng.random_range(0..self.nodes.len());
        match self.rng.random_range(0..S::FAULT_KINDS) {
            0 | 1 => {
                self.kill(index);
                self.schedule_start(5 * SECOND, index);
            }
            2 | 3 => {
                let long = self.rng.random_bool(0.2);
                let most = if long { 15 * SECOND } else { 4 * SECOND };
                self.nodes[index].paused = self.now + self.rng.random_range(100 * MS..most);
            }
            4 | 5 => {
                let rng = &mut self.rng;
                let mut share =
                    |most| f64::from(rng.random_bool(0.5)) * rng.random_range(0.0..most);
                (self.loss, self.duplicate, self.late) = (share(0.5), share(0.3), share(0.3));
                let cut = f64::from(self.rng.random_bool(0.3)) * 0.4;
                let nodes = 0..self.nodes.len();
                self.split_off = nodes.filter(|_| self.rng.random_bool(cut)).collect();
                let cut = f64::from(self.rng.random_bool(0.3)) * 0.3;
                let nodes = 0..self.nodes.len();
                self.deaf = nodes.filter(|_| self.rng.random_bool(cut)).collect();
            }
            6 => self.calm_network(),
            kind => S::inject_fault(self, index, kind),
        }
        let delay = self.rng.random_range(100 * MS..1_500 * MS);
        self.schedule(delay, Event::Fault);
    }

    fn calm_network(&mut self) {
        (self.loss, self.duplicate, self.late) = (0.0, 0.0, 0.0);
        self.split_off.clear();
        self.deaf.clear();
    }
}
