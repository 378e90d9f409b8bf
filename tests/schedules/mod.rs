//! Deterministic simulation of the cores of many nodes, with process and network faults drawn from a seed.

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

/// One millisecond; simulated time is in microseconds.
pub(crate) const MS: u64 = 1_000;
pub(crate) const SECOND: u64 = 1_000 * MS;

/// Runs `schedule` for the first `default` seeds, for the first `SCHEDULES` seeds if that variable is set, or only
/// for the seed `SEED`. Returns the sum of the results.
///
/// # Panics
///
/// Panics if a schedule fails, after it has printed the seeds that failed.
pub(crate) fn run(name: &str, default: u64, schedule: fn(Pcg64) -> Result<u64, String>) -> u64 {
    let number = |key| env::var(key).ok().map(|text| text.parse().unwrap());
    let seeds: Vec<u64> = match number("SEED") {
        Some(seed) => vec![seed],
        None => (0..number("SCHEDULES").unwrap_or(default)).collect(),
    };
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get().div_ceil(2));
    let outcomes: Vec<(u64, Result<u64, String>)> = std::thread::scope(|scope| {
        let work = |first| {
            let assigned = seeds.iter().skip(first).step_by(threads);
            let outcome = |seed: &u64| (*seed, schedule(Pcg64::seed_from_u64(*seed)));
            move || assigned.map(outcome).collect::<Vec<_>>()
        };
        let workers: Vec<_> = (0..threads).map(|first| scope.spawn(work(first))).collect();
        let joined = workers.into_iter();
        joined.flat_map(|worker| worker.join().unwrap()).collect()
    });
    let (mut sum, mut failed) = (0, 0);
    for (seed, outcome) in &outcomes {
        match outcome {
            Ok(count) => sum += count,
            Err(error) => {
                failed += 1;
                println!("SEED={seed} {name}: {error}");
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

/// The part of a simulation that is specific to a test: the core, its messages and events, and further faults.
pub(crate) trait Scenario: Sized {
    type Core;
    type Message: Clone;
    type Event: Clone;

    /// Number of kinds of faults, including the 7 common ones.
    const FAULT_KINDS: u32;

    /// Starts the core of a node.
    fn start(fleet: &mut Fleet<Self>, index: usize, now: Time) -> Self::Core;

    /// Passes an input to the core of a running node.
    fn handle(
        fleet: &mut Fleet<Self>,
        index: usize,
        now: Time,
        input: Input<Self>,
        out: &mut Vec<Outbound<Self::Message>>,
    ) -> Result<(), String>;

    /// Injects a fault that is specific to the scenario; `kind` is 7 or higher.
    fn inject_fault(fleet: &mut Fleet<Self>, index: usize, kind: u32);
}

pub(crate) enum Input<S: Scenario> {
    Tick,
    /// Sender and message.
    Message(usize, S::Message),
    Custom(S::Event),
}

enum Event<S: Scenario> {
    /// Node and its run.
    Tick(usize, u64),
    /// Sender, receiver, run and message. The run is set for a message that waits in the socket of a paused process;
    /// the message is lost if that process ends.
    Message(usize, usize, Option<u64>, S::Message),
    /// Node, its run and the event.
    Custom(usize, u64, S::Event),
    Start(usize),
    Fault,
}

pub(crate) struct Node<C> {
    /// The local clock has an arbitrary origin and a rate that deviates by up to 10% from true time.
    clock_origin: u64,
    clock_rate: f64,
    /// Identifies the run of the node's process; incremented at each start and kill.
    pub(crate) run: u64,
    pub(crate) core: Option<C>,
    paused_until: u64,
}

impl<C> Node<C> {
    pub(crate) fn local_time(&self, at: u64) -> Time {
        Time(self.clock_origin + (at as f64 * self.clock_rate) as u64)
    }

    /// Returns the true time at which the local clock shows `time`.
    pub(crate) fn true_time(&self, time: Time) -> u64 {
        ((time.0 - self.clock_origin) as f64 / self.clock_rate) as u64
    }
}

/// The nodes, the network between them and the pending events, in true time.
pub(crate) struct Fleet<S: Scenario> {
    pub(crate) rng: Pcg64,
    pub(crate) now: u64,
    pub(crate) nodes: Vec<Node<S::Core>>,
    pub(crate) scenario: S,
    events: BTreeMap<(u64, u64), Event<S>>,
    sequence: u64,
    faults_ended: bool,
    loss: f64,
    duplicated: f64,
    /// Share of messages delayed by up to 3 s, which reorders them.
    delayed: f64,
    /// Nodes that can reach only each other.
    pub(crate) split_off: BTreeSet<usize>,
    /// Nodes that can send but receive nothing.
    send_only: BTreeSet<usize>,
}

impl<S: Scenario> Fleet<S> {
    /// Starts the first `running` of `size` nodes.
    pub(crate) fn new(mut rng: Pcg64, size: usize, running: usize, scenario: S) -> Self {
        let nodes = (0..size).map(|_| Node {
            clock_origin: rng.random_range(0..1 << 40),
            clock_rate: rng.random_range(0.9..=1.1),
            run: 0,
            core: None,
            paused_until: 0,
        });
        let mut fleet = Self {
            nodes: nodes.collect(),
            rng,
            now: 0,
            scenario,
            events: BTreeMap::new(),
            sequence: 0,
            faults_ended: false,
            loss: 0.0,
            duplicated: 0.0,
            delayed: 0.0,
            split_off: BTreeSet::new(),
            send_only: BTreeSet::new(),
        };
        (0..running).for_each(|node| fleet.start(node));
        fleet
    }

    /// Injects faults from `from` until `until`, and then runs until the last paused node has resumed. Returns the
    /// time reached.
    pub(crate) fn run_faults(&mut self, from: u64, until: u64) -> Result<u64, String> {
        self.schedule(from, Event::Fault);
        self.run_until(until)?;
        self.faults_ended = true;
        self.clear_network_faults();
        let resume_at = self.nodes.iter().map(|node| node.paused_until).max();
        self.run_until(resume_at.unwrap_or_default())?;
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
        self.nodes[index].paused_until = 0;
        if self.rng.random_bool(0.5) {
            self.nodes[index].clock_origin = self.rng.random_range(0..1 << 40);
        }
        self.nodes[index].run += 1;
        let now = self.nodes[index].local_time(self.now);
        let core = S::start(self, index, now);
        self.nodes[index].core = Some(core);
        let run = self.nodes[index].run;
        self.schedule(100 * MS, Event::Tick(index, run));
    }

    pub(crate) fn schedule_start(&mut self, max_delay: u64, index: usize) {
        let delay = self.rng.random_range(0..max_delay);
        self.schedule(delay, Event::Start(index));
    }

    pub(crate) fn kill(&mut self, index: usize) {
        self.nodes[index].core = None;
        self.nodes[index].run += 1;
    }

    /// Schedules an event for the current run of a node, after a random delay below `max_delay`.
    pub(crate) fn schedule_event(&mut self, max_delay: u64, index: usize, event: S::Event) {
        let delay = self.rng.random_range(MS..max_delay);
        let run = self.nodes[index].run;
        self.schedule(delay, Event::Custom(index, run, event));
    }

    /// Returns whether the network delivers a message between two nodes now; the loss is drawn at random.
    pub(crate) fn delivers(&mut self, from: usize, to: usize) -> bool {
        self.split_off.contains(&from) == self.split_off.contains(&to)
            && !self.send_only.contains(&to)
            && !self.rng.random_bool(self.loss)
    }

    fn schedule(&mut self, delay: u64, event: Event<S>) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    fn step(&mut self, event: Event<S>) -> Result<(), String> {
        let target = match &event {
            Event::Start(_) | Event::Fault if self.faults_ended => return Ok(()),
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
        if node.paused_until > self.now {
            let (delay, current) = (node.paused_until - self.now, node.run);
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
        for _ in 0..1 + u32::from(self.rng.random_bool(self.duplicated)) {
            if self.delivers(from, to) {
                let delayed = self.rng.random_bool(self.delayed);
                let max_delay = if delayed { 3 * SECOND } else { 3 * MS };
                let delay = self.rng.random_range(MS..=max_delay);
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
                let max_pause = if long { 15 * SECOND } else { 4 * SECOND };
                self.nodes[index].paused_until =
                    self.now + self.rng.random_range(100 * MS..max_pause);
            }
            4 | 5 => {
                let rng = &mut self.rng;
                let mut share = |max| f64::from(rng.random_bool(0.5)) * rng.random_range(0.0..max);
                (self.loss, self.duplicated, self.delayed) = (share(0.5), share(0.3), share(0.3));
                let probability = f64::from(self.rng.random_bool(0.3)) * 0.4;
                let nodes = 0..self.nodes.len();
                self.split_off = nodes
                    .filter(|_| self.rng.random_bool(probability))
                    .collect();
                let probability = f64::from(self.rng.random_bool(0.3)) * 0.3;
                let nodes = 0..self.nodes.len();
                self.send_only = nodes
                    .filter(|_| self.rng.random_bool(probability))
                    .collect();
            }
            6 => self.clear_network_faults(),
            kind => S::inject_fault(self, index, kind),
        }
        let delay = self.rng.random_range(100 * MS..1_500 * MS);
        self.schedule(delay, Event::Fault);
    }

    fn clear_network_faults(&mut self) {
        (self.loss, self.duplicated, self.delayed) = (0.0, 0.0, 0.0);
        self.split_off.clear();
        self.send_only.clear();
    }
}
