//! Nodes in three failure domains that call one service, in virtual time and without a network.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use cranberrychute::{
    core::{
        Time,
        gather::crossing_hedge_delay,
        placement::{
            CallToken, Candidate, CrossReason, Crossing, CrossingQuery, LeafLoad, LeafStats,
            Outcome, Placement,
        },
    },
    platform::parse_load,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use crate::at;

const TYPICAL: Duration = Duration::from_millis(8);
/// Nodes of each domain.
const NODES: usize = 10;
const SLOTS: usize = 4;
/// Longest queue of a leaf, after which it sheds calls.
const MAX_QUEUE: usize = 8;
/// One-way latency to a leaf in the node's domain and to one in another, microseconds.
const DISTANCE_US: (u64, u64) = (300, 1_200);

/// Multiple of the typical latency after which a call is hedged: one call in twelve.
const HEDGE_RATIO: f64 = 2.0;
/// Maximum number of calls of one query.
const MAX_CALLS: u32 = 4;
/// Weight of an answer in a node's typical latency.
const TYPICAL_WEIGHT: f64 = 0.05;

enum Event {
    Arrival(usize),
    Call(Sent),
    Done(Sent),
    Answer(Sent, Outcome, Option<LeafLoad>),
    /// The query found no leaf with room and tries again, as in the plan of a query.
    Again(usize),
    /// The query is sent to a second leaf if it has no answer.
    Hedge(usize),
}

struct Query {
    node: usize,
    since: Time,
    /// Leaves that were called and have not shed the call.
    tried: Vec<usize>,
    calls: u32,
    is_done: bool,
}

/// A call on its way.
#[derive(Clone, Copy)]
struct Sent {
    node: usize,
    leaf: usize,
    token: CallToken,
    at: Time,
    query: usize,
}

struct Node {
    domain: usize,
    stats: Vec<LeafStats>,
    crossing: Crossing,
    /// Moving average of the latency, which follows the leaves that the node calls.
    typical: Duration,
}

struct Leaf {
    domain: usize,
    /// Multiple of the usual service time.
    slowness: f64,
    running: usize,
    queue: VecDeque<Sent>,
    paused_until: Time,
    evacuated: bool,
    speed: Option<u16>,
    ran: u64,
}

/// What happened to the queries of one domain's nodes.
#[derive(Clone, Debug, Default)]
struct Tally {
    queries: u64,
    crossed: u64,
    late: u64,
    total: Duration,
    /// First calls that left, by domain of their leaf.
    to: [u64; 3],
}

impl Tally {
    fn crossed_share(&self) -> f64 {
        self.crossed as f64 / self.queries.max(1) as f64
    }

    fn late_share(&self) -> f64 {
        self.late as f64 / self.queries.max(1) as f64
    }

    fn mean_ms(&self) -> f64 {
        self.total.as_secs_f64() * 1e3 / self.queries.max(1) as f64
    }
}

struct World {
    now: Time,
    rng: Pcg64,
    nodes: Vec<Node>,
    leaves: Vec<Leaf>,
    /// Queries per second of all nodes of each domain.
    rates: [f64; 3],
    objective: Duration,
    price_per_kb: Duration,
    heap: BinaryHeap<Reverse<(Time, u64)>>,
    events: Vec<Option<Event>>,
    queries: Vec<Query>,
    tally: [Tally; 3],
}

impl World {
    /// Creates domains with ten nodes each, and a leaf in each of `domains`. A leaf serves 500 calls a second.
    fn new(domains: &[usize], rates: [f64; 3], seed: u64) -> Self {
        let leaves = domains.iter().map(|domain| Leaf {
            domain: *domain,
            slowness: 1.0,
            running: 0,
            queue: VecDeque::new(),
            paused_until: at(0),
            evacuated: false,
            speed: None,
            ran: 0,
        });
        let nodes = (0..3 * NODES).map(|node| Node {
            domain: node / NODES,
            stats: domains
                .iter()
                .map(|_| LeafStats::new(at(0), SLOTS as u32))
                .collect(),
            crossing: Crossing::default(),
            typical: TYPICAL,
        });
        let mut world = Self {
            now: at(0),
            rng: Pcg64::seed_from_u64(seed),
            nodes: nodes.collect(),
            leaves: leaves.collect(),
            rates,
            objective: Duration::from_millis(100),
            price_per_kb: Duration::ZERO,
            heap: BinaryHeap::new(),
            events: Vec::new(),
            queries: Vec::new(),
            tally: Default::default(),
        };
        (0..3 * NODES).for_each(|node| world.schedule_arrival(node));
        world
    }

    fn push(&mut self, at: Time, event: Event) {
        self.heap.push(Reverse((at, self.events.len() as u64)));
        self.events.push(Some(event));
    }

    fn schedule_arrival(&mut self, node: usize) {
        let rate = self.rates[self.nodes[node].domain] / NODES as f64;
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.push(
            self.now + Duration::from_secs_f64(gap),
            Event::Arrival(node),
        );
    }

    /// Runs for `time` and returns what happened in it.
    fn run(&mut self, time: Duration) -> [Tally; 3] {
        let end = self.now + time;
        self.tally = Default::default();
        while let Some(Reverse((at, _))) = self.heap.peek().copied().filter(|next| next.0.0 < end) {
            let Reverse((_, index)) = self.heap.pop().unwrap();
            self.now = at;
            match self.events[index as usize].take().unwrap() {
                Event::Arrival(node) => {
                    self.schedule_arrival(node);
                    let domain = self.nodes[node].domain;
                    self.tally[domain].queries += 1;
                    self.queries.push(Query {
                        node,
                        since: at,
                        tried: Vec::new(),
                        calls: 0,
                        is_done: false,
                    });
                    self.send(self.queries.len() - 1);
                }
                Event::Again(query) => self.send(query),
                Event::Hedge(query) => {
                    if !self.queries[query].is_done {
                        self.send(query);
                    }
                }
                Event::Call(sent) => self.receive(sent),
                Event::Done(sent) => self.finish(sent),
                Event::Answer(sent, outcome, load) => self.answer(sent, outcome, load),
            }
        }
        self.now = end;
        self.tally.clone()
    }

    fn seconds(&mut self, seconds: u64) -> [Tally; 3] {
        self.run(Duration::from_secs(seconds))
    }

    /// Sends a call of a query.
    fn send(&mut self, query: usize) {
        let now = self.now;
        let Query {
            node,
            since,
            ref tried,
            calls,
            ..
        } = self.queries[query];
        let Node {
            domain,
            ref stats,
            ref mut crossing,
            typical,
        } = self.nodes[node];
        let leaves = &self.leaves;
        let may_try = |leaf: &usize| {
            !tried.contains(leaf) && !leaves[*leaf].evacuated && stats[*leaf].may_try(now)
        };
        let candidates = || {
            let usable = (0..leaves.len()).filter(may_try);
            let usable = usable.filter(|leaf| stats[*leaf].has_room());
            usable.map(|leaf| {
                let candidate = Candidate {
                    stats: &stats[leaf],
                    same_domain: leaves[leaf].domain == domain,
                    outside_subset: false,
                    cold: false,
                    connected: true,
                };
                (leaf, candidate)
            })
        };
        let mut own = (0..leaves.len()).filter(|leaf| leaves[*leaf].domain == domain);
        let crossing_query = CrossingQuery {
            typical,
            time_left: (since + self.objective).since(now),
            price_per_kb: self.price_per_kb,
            is_unpriced: false,
            is_free: calls > 0,
            has_own_leaf: own.any(|leaf| may_try(&leaf)),
        };
        let decision = crossing.place(now, crossing_query, candidates, &mut self.rng);
        let leaf = match decision.placement {
            Placement::Leaf(leaf) | Placement::Crossing(leaf, _) => leaf,
            Placement::Wait if calls > 0 => return,
            Placement::Wait if now.since(since) < 2 * self.objective => {
                self.push(now + Duration::from_millis(4), Event::Again(query));
                return;
            }
            Placement::Wait => {
                self.tally[domain].late += 1;
                return;
            }
        };
        if leaves[leaf].domain != domain && calls == 0 {
            self.tally[domain].crossed += 1;
            self.tally[domain].to[leaves[leaf].domain] += 1;
        }
        if calls == 0 {
            let hedge_delay = typical.mul_f64(HEDGE_RATIO);
            let hedge_delay = crossing_hedge_delay(hedge_delay, crossing_query.time_left);
            self.push(now + hedge_delay, Event::Hedge(query));
        }
        self.queries[query].tried.push(leaf);
        self.queries[query].calls += 1;
        let token = self.nodes[node].stats[leaf].start_call(now);
        let sent = Sent {
            node,
            leaf,
            token,
            at: now,
            query,
        };
        let arrival = now + self.distance(sent);
        self.push(arrival, Event::Call(sent));
    }

    fn distance(&self, sent: Sent) -> Duration {
        let near = self.nodes[sent.node].domain == self.leaves[sent.leaf].domain;
        Duration::from_micros(if near { DISTANCE_US.0 } else { DISTANCE_US.1 })
    }

    fn receive(&mut self, sent: Sent) {
        let leaf = &mut self.leaves[sent.leaf];
        if leaf.running < SLOTS {
            leaf.running += 1;
            self.start(sent);
        } else if leaf.queue.len() < MAX_QUEUE {
            leaf.queue.push_back(sent);
        } else {
            let back = self.now + self.distance(sent);
            self.push(back, Event::Answer(sent, Outcome::Shed, None));
        }
    }

    fn start(&mut self, sent: Sent) {
        let leaf = &mut self.leaves[sent.leaf];
        leaf.ran += 1;
        let random = 0.5 - 0.5 * (1.0 - self.rng.random::<f64>()).ln();
        let time = TYPICAL.mul_f64(random * leaf.slowness);
        let begin = self.now.max(leaf.paused_until);
        self.push(begin + time, Event::Done(sent));
    }

    fn finish(&mut self, sent: Sent) {
        let leaf = &mut self.leaves[sent.leaf];
        if self.now < leaf.paused_until {
            let later = leaf.paused_until;
            self.push(later, Event::Done(sent));
            return;
        }
        let load = LeafLoad {
            running: leaf.running as u32,
            waiting: leaf.queue.len() as u32,
            slots: SLOTS as u32,
            speed: leaf.speed,
        };
        match leaf.queue.pop_front() {
            Some(next) => self.start(next),
            None => leaf.running -= 1,
        }
        let back = self.now + self.distance(sent);
        self.push(
            back,
            Event::Answer(sent, Outcome::Answered(Duration::ZERO), Some(load)),
        );
    }

    fn answer(&mut self, sent: Sent, outcome: Outcome, load: Option<LeafLoad>) {
        let now = self.now;
        let node = &mut self.nodes[sent.node];
        let stats = &mut node.stats[sent.leaf];
        if let Some(load) = load {
            stats.record_load(now, load);
        }
        let latency = now.since(sent.at);
        let query = &mut self.queries[sent.query];
        if outcome == Outcome::Shed {
            stats.end_call(now, sent.token, outcome, node.typical);
            query.tried.retain(|leaf| *leaf != sent.leaf);
            if !query.is_done && query.calls < MAX_CALLS {
                self.push(now + Duration::from_millis(5), Event::Hedge(sent.query));
            } else if !query.is_done && query.tried.is_empty() {
                query.is_done = true;
                self.tally[node.domain].late += 1;
            }
            return;
        }
        stats.end_call(now, sent.token, Outcome::Answered(latency), node.typical);
        node.typical = node.typical.mul_f64(1.0 - TYPICAL_WEIGHT) + latency.mul_f64(TYPICAL_WEIGHT);
        if !std::mem::replace(&mut query.is_done, true) {
            let tally = &mut self.tally[node.domain];
            let time = now.since(query.since);
            tally.total += time;
            tally.late += u64::from(time > self.objective);
        }
    }
}

/// Guards against calls that leave a domain whose leaf answers as usual, and against calls that leave it for a leaf that
/// is somewhat faster.
#[test]
fn calls_stay_at_rest_and_with_a_slow_leaf_that_is_fast_enough() {
    let mut world = World::new(&[0, 1, 2], [150.0; 3], 1);
    world.leaves[1].slowness = 1.6;
    world.leaves[2].slowness = 0.8;
    let day = world.seconds(30);
    for (domain, tally) in day.iter().enumerate() {
        assert!(tally.crossed_share() < 0.01, "domain {domain}: {tally:?}");
        assert!(tally.late_share() < 0.005, "domain {domain}: {tally:?}");
    }
}

/// Guards against a share of calls that swings between all and nothing while a domain lacks capacity, and against a
/// crowded domain that takes the capacity of the others' own callers.
#[test]
fn a_steady_shortage_moves_a_steady_share_of_the_calls() {
    let calm = World::new(&[0, 1, 2], [150.0; 3], 2).seconds(40)[1].clone();
    let mut world = World::new(&[0, 1, 2], [700.0, 150.0, 150.0], 2);
    world.seconds(10);
    let node_shares = |world: &World| -> Vec<f64> {
        let nodes = world.nodes[..NODES].iter();
        nodes.map(|node| node.crossing.share()).collect()
    };
    let mut shares = Vec::new();
    for _ in 0..30 {
        let mut crossed = 0.0;
        for _ in 0..4 {
            let before = node_shares(&world);
            crossed += world.run(Duration::from_millis(250))[0].crossed_share() / 4.0;
            let after = node_shares(&world);
            let mut changes = before
                .iter()
                .zip(&after)
                .map(|(from, to)| (to - from).abs());
            assert!(changes.all(|change| change < 0.45), "{before:?} {after:?}");
        }
        shares.push(crossed);
    }
    println!("shares {shares:.2?}");
    let mean = shares.iter().sum::<f64>() / shares.len() as f64;
    let swings = shares
        .windows(2)
        .filter(|pair| (pair[1] - pair[0]).abs() > 0.2);
    assert!((0.25..0.65).contains(&mean), "{mean}: {shares:.2?}");
    assert!(swings.count() <= 1, "{shares:.2?}");
    assert!(
        shares.iter().all(|share| (mean - share).abs() < 0.25),
        "{shares:.2?}"
    );
    let day = world.seconds(20);
    println!(
        "calm {:.2} day {day:?} means {:.2?}",
        calm.mean_ms(),
        day.clone().map(|t| t.mean_ms())
    );
    assert!(day[0].late_share() < 0.02, "{day:?}");
    for tally in &day[1..] {
        assert!(tally.mean_ms() < calm.mean_ms() * 1.25, "{calm:?} {day:?}");
        assert!(tally.crossed_share() < 0.02, "{day:?}");
    }
    // The shortage ends.
    world.rates[0] = 150.0;
    world.seconds(20);
    let after = world.seconds(10);
    println!("after {after:?}");
    assert!(after[0].crossed_share() < 0.01, "{after:?}");
}

/// Guards against two domains without capacity that send each other their calls.
#[test]
fn two_domains_that_lack_capacity_do_not_exchange_calls() {
    let mut world = World::new(&[0, 1, 2], [650.0, 650.0, 100.0], 3);
    world.seconds(10);
    let day = world.seconds(20);
    println!("both short {day:?}");
    for (domain, other) in [(0, 1), (1, 0)] {
        let exchanged = day[domain].to[other] as f64 / day[domain].queries as f64;
        assert!(exchanged < 0.1, "domain {domain}: {exchanged} {day:?}");
    }
    assert!(day[2].crossed_share() < 0.05, "{day:?}");
}

/// Guards against a pause of one leaf after which calls stay away, and against calls of other domains that move.
#[test]
fn a_pause_moves_only_the_calls_that_it_affects() {
    let mut world = World::new(&[0, 1, 2], [150.0; 3], 4);
    world.seconds(10);
    world.leaves[0].paused_until = world.now + Duration::from_millis(150);
    let pause = world.run(Duration::from_millis(150));
    let after = world.seconds(2);
    println!("pause {pause:?} after {after:?}");
    assert!(pause[0].crossed > 0, "{pause:?}");
    assert!(pause[1].crossed + pause[2].crossed <= 1, "{pause:?}");
    let all: u64 = after.iter().map(|tally| tally.crossed).sum();
    assert!(all <= 15, "{after:?}");
}

/// Guards against calls that stay with a leaf that answers too late, and against calls that never return to it.
#[test]
fn calls_leave_a_leaf_that_is_too_slow_and_return() {
    let mut world = World::new(&[0, 1, 2], [60.0, 100.0, 100.0], 5);
    world.leaves[0].slowness = 8.0;
    world.seconds(8);
    let slow = world.seconds(10);
    println!("slow {slow:?}");
    assert!(slow[0].crossed_share() > 0.75, "{slow:?}");
    world.leaves[0].slowness = 1.0;
    world.seconds(15);
    let recovered = world.seconds(10);
    println!("recovered {recovered:?}");
    assert!(recovered[0].crossed_share() < 0.01, "{recovered:?}");
}

/// Guards against nodes that call each leaf every two seconds and do not learn that their own domain has become slow.
#[test]
fn calls_leave_a_slow_domain_if_there_are_few() {
    let mut world = World::new(&[0, 1, 2], [5.0; 3], 11);
    world.seconds(60);
    world.leaves[0].slowness = 8.0;
    world.seconds(20);
    let slow = world.seconds(120);
    println!("sparse {slow:?}");
    assert!(slow[0].crossed_share() > 0.4, "{slow:?}");
    assert!(slow[1].crossed_share() < 0.01, "{slow:?}");
    world.leaves[0].slowness = 1.0;
    world.seconds(30);
    let recovered = world.seconds(30);
    println!("sparse recovered {recovered:?}");
    assert!(recovered[0].crossed_share() < 0.05, "{recovered:?}");
}

/// Guards against nodes without a leaf in their domain that find none, or use only one of the others.
#[test]
fn a_domain_without_leaves_uses_all_others() {
    for evacuated in [false, true] {
        let domains: &[usize] = if evacuated { &[0, 1, 2] } else { &[1, 2] };
        let mut world = World::new(domains, [200.0, 100.0, 100.0], 6);
        world.leaves[0].evacuated = evacuated;
        let day = world.seconds(20);
        assert_eq!(day[0].crossed, day[0].queries);
        assert!(day[0].late_share() < 0.005, "{day:?}");
        let share = day[0].to[1] as f64 / day[0].queries as f64;
        assert!((0.35..0.65).contains(&share), "{day:?}");
        assert!(day[1].crossed_share() < 0.02, "{day:?}");
    }
}

/// Guards against a leaf that draws calls, or sends them away, by a false figure about its machine.
#[test]
fn a_false_figure_neither_draws_nor_drives_away_calls() {
    for speed in [1, 10_000] {
        // All callers are in a domain without leaves, so the choice is by expected latency.
        let mut world = World::new(&[1, 2], [300.0, 1.0, 1.0], 7);
        world.leaves[0].speed = Some(speed);
        let shares: Vec<f64> = (0..5)
            .map(|_| {
                let second = world.seconds(1)[0].clone();
                second.to[1] as f64 / second.queries as f64
            })
            .collect();
        println!("speed {speed}: {shares:.2?}");
        assert!((0.35..0.65).contains(&shares[0]), "{speed}: {shares:?}");
        let later = shares[1..].iter().sum::<f64>() / 4.0;
        assert!((0.43..0.57).contains(&later), "{speed}: {shares:?}");
    }
}

/// Guards against a true figure that is ignored although a machine's speed changes faster than latencies show it.
#[test]
fn a_true_figure_lowers_the_latency() {
    let mean_ms = |reports: bool, seed: u64| {
        let mut world = World::new(&[1, 2], [400.0, 1.0, 1.0], seed);
        let mut total = 0.0;
        for round in 0..60 {
            for (leaf, slowness) in [(0, 2.5), (1, 1.0)] {
                let slowness = if round % 2 == 0 {
                    slowness
                } else {
                    3.5 - slowness
                };
                world.leaves[leaf].slowness = slowness;
                world.leaves[leaf].speed = reports.then_some((slowness * 100.0) as u16);
            }
            total += world.run(Duration::from_millis(300))[0].mean_ms();
        }
        total / 60.0
    };
    let mean_of = |reports| (0..6).map(|seed| mean_ms(reports, seed)).sum::<f64>() / 6.0;
    let (without, with) = (mean_of(false), mean_of(true));
    println!("without {without:.2} ms, with {with:.2} ms");
    assert!(
        with < without * 0.985,
        "{without} ms without, {with} ms with"
    );
}

/// Guards against a malformed fourth figure that is used, or that takes the first three with it.
#[test]
fn a_figure_that_makes_no_sense_is_ignored() {
    let figures = [
        ("", None),
        (",", None),
        (",x", None),
        (",-1", None),
        (",0", None),
        (",0.4", None),
        (",nan", None),
        (",inf", None),
        (",-inf", None),
        (",1e308", None),
        (",10001", None),
        (",99999999999999999999", None),
        (",1", Some(1)),
        (",100", Some(100)),
        (", 149.6 ", Some(150)),
        (",1e2", Some(100)),
        (",10000", Some(10_000)),
        (",120,7", Some(120)),
    ];
    for (figure, speed) in figures {
        let expected = LeafLoad {
            running: 1,
            waiting: 2,
            slots: 3,
            speed,
        };
        let load = parse_load(&format!("1,2, 3{figure}"));
        assert_eq!(load, Some(expected), "{figure:?}");
    }
    for text in ["", "1", "1,2", "1,2,", "1,2,x", "1,-2,3,100"] {
        assert_eq!(parse_load(text), None, "{text:?}");
    }
}

/// Guards against a price that changes nothing: with it, only calls with a larger gain leave.
#[test]
fn a_price_of_traffic_keeps_calls_with_a_small_gain() {
    let crossed = |price| {
        let mut world = World::new(&[0, 1, 2], [60.0, 100.0, 100.0], 8);
        world.price_per_kb = Duration::from_millis(price);
        world.leaves[0].slowness = 8.0;
        world.seconds(5);
        world.seconds(20)[0].crossed_share()
    };
    let shares = [0, 40, 400].map(crossed);
    println!("price {shares:.2?}");
    assert!(shares[0] > 0.5 && shares[2] < 0.01, "{shares:?}");
    assert!(shares[1] < shares[0], "{shares:?}");
}

/// Guards against calls that stay with a leaf that is ejected, stalled, failing or full, and against calls that leave a healthy
/// one.
#[test]
fn calls_leave_a_leaf_that_cannot_serve_them() {
    let decide = |prepare: &dyn Fn(&mut LeafStats), has_room: bool| {
        let mut stats = [LeafStats::new(at(0), 2), LeafStats::new(at(0), 2)];
        prepare(&mut stats[0]);
        let now = at(60);
        let query = CrossingQuery {
            typical: TYPICAL,
            time_left: Duration::from_millis(80),
            price_per_kb: Duration::ZERO,
            is_unpriced: false,
            is_free: false,
            has_own_leaf: stats[0].may_try(now),
        };
        let candidates = || {
            let usable = stats.iter().enumerate();
            let usable =
                usable.filter(|(index, stats)| stats.may_try(now) && (*index > 0 || has_room));
            usable.map(|(index, stats)| {
                let candidate = Candidate {
                    stats,
                    same_domain: index == 0,
                    outside_subset: false,
                    cold: false,
                    connected: true,
                };
                (index, candidate)
            })
        };
        let mut rng = Pcg64::seed_from_u64(9);
        Crossing::default()
            .place(now, query, candidates, &mut rng)
            .placement
    };
    let fail = |stats: &mut LeafStats, outcome: Outcome, count: u64| {
        for time in 0..count {
            let token = stats.start_call(at(50 + time));
            stats.end_call(at(51 + time), token, outcome, TYPICAL);
        }
    };
    let crossing = |reason| Placement::Crossing(1, reason);
    assert_eq!(decide(&|_| {}, true), Placement::Leaf(0));
    assert_eq!(decide(&|_| {}, false), crossing(CrossReason::Full));
    let refused = |stats: &mut LeafStats| fail(stats, Outcome::Refused, 1);
    assert_eq!(decide(&refused, true), crossing(CrossReason::NoLeaf));
    let failing = |stats: &mut LeafStats| fail(stats, Outcome::Failed, 6);
    assert_eq!(decide(&failing, true), crossing(CrossReason::Failing));
    let stalled = |stats: &mut LeafStats| _ = stats.start_call(at(0));
    assert_eq!(decide(&stalled, true), crossing(CrossReason::Stalled));
    let waiting = |stats: &mut LeafStats| _ = stats.start_call(at(50));
    assert_eq!(decide(&waiting, true), Placement::Leaf(0));
}
