//! Membership under seeded schedules of faults. `SCHEDULES` sets their number, `SEED` repeats one.

mod schedules;

use cranberrychute::core::{
    Incarnation, NodeId, Outbound, Time,
    config::{Vm, VmList, VmState},
    member::{MemberMessage, MemberSettings, Membership, Probe},
};
use rand::Rng;
use rand_pcg::Pcg64;
use schedules::{Clock, MS, Queue, SECOND, Weather};

const NODES: usize = 9;

/// Time from the end of all faults until all views are right: every node probes every other one, suspects it
/// and waits for a refutation, on the slowest clock, after messages of up to 3 s before.
const SETTLE: u64 = 16 * SECOND;

/// Time from the death of a node until all others know, without other faults.
const DETECT: u64 = 12 * SECOND;

type Message = MemberMessage<()>;

#[derive(Clone, Debug)]
enum Event {
    Tick(usize, u64),
    Deliver {
        from: usize,
        to: usize,
        message: Box<Message>,
    },
    Start(usize),
    Fault,
}

#[derive(Debug)]
struct Node {
    clock: Clock,
    run: u64,
    view: Option<Membership>,
    paused: u64,
}

#[derive(Debug)]
struct Fleet<'a> {
    rng: &'a mut Pcg64,
    queue: Queue<Event>,
    weather: Weather,
    nodes: Vec<Node>,
    pings: u64,
    calm: bool,
}

fn id(node: usize) -> NodeId {
    format!("n{node}").into()
}

fn list() -> VmList {
    let address = "127.0.0.1:1".parse().unwrap();
    let vm = |node| Vm {
        id: id(node),
        domain: "d0".into(),
        region: None,
        state: VmState::Live,
        caller: address,
        peer: address,
        control: address,
    };
    VmList {
        vms: (0..NODES).map(vm).collect(),
    }
}

impl<'a> Fleet<'a> {
    fn new(rng: &'a mut Pcg64) -> Self {
        let nodes = (0..NODES).map(|_| Node {
            clock: Clock::new(rng),
            run: 0,
            view: None,
            paused: 0,
        });
        let mut fleet = Self {
            nodes: nodes.collect(),
            queue: Queue::new(),
            weather: Weather::calm(),
            pings: 0,
            calm: false,
            rng,
        };
        for node in 0..NODES {
            fleet.start(node);
        }
        fleet
    }

    fn start(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.view.is_some() {
            return;
        }
        node.run += 1;
        let now = node.clock.read(self.queue.now);
        let incarnation = Incarnation(self.rng.random());
        let mut view = Membership::new(id(index), incarnation, MemberSettings::default(), now);
        view.set_vms(now, &list());
        node.view = Some(view);
        node.paused = 0;
        let delay = self.rng.random_range(0..100 * MS);
        self.queue.after(delay, Event::Tick(index, node.run));
    }

    fn kill(&mut self, index: usize) {
        self.nodes[index].view = None;
        self.nodes[index].run += 1;
    }

    fn run_until(&mut self, end: u64) -> Result<(), String> {
        while self.queue.now < end {
            let event = self.queue.next().ok_or("no events left")?;
            self.step(event)?;
        }
        Ok(())
    }

    fn step(&mut self, event: Event) -> Result<(), String> {
        let index = match event {
            Event::Fault => {
                self.fault();
                return Ok(());
            }
            Event::Start(node) => {
                self.start(node);
                return Ok(());
            }
            Event::Tick(node, run) if self.nodes[node].run != run => return Ok(()),
            Event::Tick(node, _) => node,
            Event::Deliver { to, .. } => to,
        };
        let at = self.queue.now;
        let node = &mut self.nodes[index];
        if node.paused > at {
            if matches!(event, Event::Tick(..)) || self.rng.random_bool(0.5) {
                self.queue.after(node.paused - at, event);
            }
            return Ok(());
        }
        let Some(view) = &mut node.view else {
            return Ok(());
        };
        let now = node.clock.read(at);
        let mut out = Vec::new();
        match event {
            Event::Tick(_, run) => {
                view.tick(now, self.rng, &(), &mut out);
                let delay = self.rng.random_range(80 * MS..120 * MS);
                self.queue.after(delay, Event::Tick(index, run));
            }
            Event::Deliver { from, message, .. } => {
                view.receive(now, &id(from), *message, &(), &mut out);
                if out.len() > 1 {
                    return Err(format!("n{index} sent {} messages for one", out.len()));
                }
            }
            Event::Start(_) | Event::Fault => {}
        }
        if !view.is_alive(&id(index)) {
            return Err(format!("n{index} takes itself for dead"));
        }
        let rumors = MemberSettings::default().rumors;
        for Outbound { to, message } in out {
            if message.rumors.len() > rumors {
                return Err(format!(
                    "n{index} sent {} rumors in a message",
                    message.rumors.len()
                ));
            }
            self.pings += u64::from(matches!(message.probe, Probe::Ping { .. }));
            let to = to.as_str()[1..].parse().unwrap();
            let event = Event::Deliver {
                from: index,
                to,
                message: Box::new(message),
            };
            self.queue.send(self.rng, &self.weather, index, to, event);
        }
        Ok(())
    }

    fn fault(&mut self) {
        if self.calm {
            return;
        }
        let index = self.rng.random_range(0..NODES);
        match self.rng.random_range(0..6) {
            0 | 1 => {
                self.kill(index);
                let delay = self.rng.random_range(0..5 * SECOND);
                self.queue.after(delay, Event::Start(index));
            }
            2 | 3 => {
                let pause = self.rng.random_range(100 * MS..8 * SECOND);
                self.nodes[index].paused = self.queue.now + pause;
            }
            4 => self.weather = Weather::rough(self.rng, NODES),
            _ => self.weather = Weather::calm(),
        }
        let delay = self.rng.random_range(100 * MS..1_500 * MS);
        self.queue.after(delay, Event::Fault);
    }

    /// Compares every view with the truth.
    fn check(&self) -> Result<(), String> {
        for (index, node) in self.nodes.iter().enumerate() {
            let Some(view) = &node.view else {
                continue;
            };
            for (other, truth) in self.nodes.iter().enumerate() {
                if view.is_alive(&id(other)) != truth.view.is_some() {
                    let runs = truth.view.is_some();
                    return Err(format!(
                        "at {} n{index} is wrong about n{other}, which runs: {runs}",
                        self.queue.now
                    ));
                }
            }
        }
        Ok(())
    }
}

fn schedule(_: u64, rng: &mut Pcg64) -> Result<u64, String> {
    let mut fleet = Fleet::new(rng);
    fleet.queue.after(SECOND, Event::Fault);
    let faults = fleet.rng.random_range(5 * SECOND..20 * SECOND);
    fleet.run_until(faults)?;
    fleet.calm = true;
    fleet.weather = Weather::calm();
    let dead = fleet.rng.random_range(0..NODES);
    for index in 0..NODES {
        fleet.nodes[index].paused = 0;
        match index == dead {
            true => fleet.kill(index),
            false => fleet.start(index),
        }
    }
    // Starts that the faults left behind must not revive the node that stays dead.
    fleet.nodes[dead].view = None;
    let settled = fleet.queue.now + SETTLE;
    while fleet.queue.now < settled {
        let event = fleet.queue.next().ok_or("no events left")?;
        if !matches!(event, Event::Start(node) if node == dead) {
            fleet.step(event)?;
        }
    }
    fleet.check()?;
    // Calm: the views stay right while nothing happens, then all learn of one more death.
    let pings = fleet.pings;
    for _ in 0..10 {
        let second = fleet.queue.now + SECOND;
        fleet.run_until(second)?;
        fleet.check()?;
    }
    let pings = fleet.pings - pings;
    if pings > 10 * 3 * NODES as u64 {
        return Err(format!("{pings} pings in 10 s of calm"));
    }
    fleet.kill((dead + 1) % NODES);
    let detected = fleet.queue.now + DETECT;
    fleet.run_until(detected)?;
    fleet.check()?;
    Ok(1)
}

/// Guards against dead nodes that count as alive, live ones that are taken for dead for good, revival by late
/// messages, and cost that grows with the number of faults.
#[test]
fn views_become_right_after_faults() {
    schedules::run("membership", 200, schedule);
}

/// Guards against a node that is cut off and does not notice.
#[test]
fn heard_since_counts_listed_nodes() {
    let (a, b, c) = (id(0), id(1), id(2));
    let settings = MemberSettings::default();
    let mut view = Membership::new(a, Incarnation(1), settings.clone(), Time(0));
    view.set_vms(Time(0), &list());
    let mut other = Membership::new(b.clone(), Incarnation(2), settings, Time(0));
    other.set_vms(Time(0), &list());
    let mut out = Vec::new();
    let mut rng = rand_pcg::Pcg64::new(1, 1);
    other.tick(Time(0), &mut rng, &(), &mut out);
    let message = out.pop().unwrap().message;
    let (now, within) = (Time::from_millis(500), std::time::Duration::from_secs(4));
    assert_eq!(view.heard_since(now, within), 0);
    view.receive(now, &b, message, &(), &mut out);
    view.heard(now, &c);
    assert_eq!(view.heard_since(now, within), 2);
    assert_eq!(view.heard_since(now + within, within), 2);
    assert_eq!(view.heard_since(Time::from_millis(4_501), within), 0);
}
