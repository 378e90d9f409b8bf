//! Nodes with quotas in virtual time, and the messages between them.

use std::{
    collections::{BTreeMap, HashSet},
    iter,
    ops::Range,
    sync::Arc,
    time::Duration,
};

use cranberrychute::core::{
    NodeId, Time,
    account::{Account, RateLimit},
    quota::{Outgoing, QuotaBounds, Quotas, Report},
};
use rand::{Rng, SeedableRng, seq::SliceRandom};
use rand_pcg::Pcg64;

pub(super) const BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(5),
    overshoot: 0.25,
    slack: 20.0,
};

/// Step of the simulation, milliseconds.
const STEP_MS: u64 = 2;
/// Intervals of the gateway, milliseconds.
const NODES_INTERVAL_MS: u64 = 166;
const ASK_INTERVAL_MS: u64 = 200;
/// Latency of a message, milliseconds.
const LATENCY_MS: Range<u64> = 1..12;
/// Time until a node that is out of reach counts as dead, and until a reachable one is known, milliseconds.
const DETECT_MS: Range<u64> = 2_000..3_000;
const JOIN_MS: Range<u64> = 300..2_000;

/// What goes wrong, at times in seconds.
#[derive(Clone, Copy, Debug)]
pub(super) enum Fault {
    None,
    /// Every third node is cut off from the others.
    Cut(f64, f64),
    /// All processes end and start again with empty memory.
    Kill(f64, f64),
    /// One node stands still. Requests and messages wait in its sockets.
    Freeze(usize, f64, f64),
}

struct Node {
    id: NodeId,
    quotas: Quotas,
    /// Offset of the node's clock, milliseconds.
    clock_ms: u64,
    detect_ms: u64,
    join_ms: u64,
    runs: bool,
    frozen: bool,
    /// Accounts of the requests that wait.
    waiting: Vec<usize>,
}

pub(super) struct Fleet {
    nodes: Vec<Node>,
    serving: usize,
    /// Whether nodes reach each other, and since when.
    links: Vec<Vec<(bool, u64)>>,
    messages: BTreeMap<(u64, u64), (usize, usize, Report)>,
    sequence: u64,
    rng: Pcg64,
    fault: Fault,
    loss: f64,
    pub(super) now_ms: u64,
    /// Times of admitted and of rejected requests, milliseconds, and the number of requests, by account.
    pub(super) admitted: Vec<Vec<u64>>,
    pub(super) requests: Vec<usize>,
    pub(super) rejected: Vec<Vec<u64>>,
    pub(super) sent_messages: usize,
}

pub(super) fn account(index: usize, limit: RateLimit) -> Account {
    Account {
        name: Arc::from(format!("account-{index}")),
        priority: None,
        limit: Some(limit),
    }
}

impl Fleet {
    pub(super) fn new(seed: u64, count: usize, serving: usize, fault: Fault, loss: f64) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let nodes = (0..count)
            .map(|index| {
                let id = NodeId::from(format!("10.0.{}.{}:7740", index / 250, index % 250));
                let clock_ms = rng.random_range(0..10_000_000);
                Node {
                    quotas: Quotas::new(Time::from_millis(clock_ms), id.clone(), BOUNDS),
                    id,
                    clock_ms,
                    detect_ms: rng.random_range(DETECT_MS),
                    join_ms: rng.random_range(JOIN_MS),
                    runs: true,
                    frozen: false,
                    waiting: Vec::new(),
                }
            })
            .collect();
        Self {
            nodes,
            serving,
            links: vec![vec![(true, 0); count]; count],
            messages: BTreeMap::new(),
            sequence: 0,
            rng,
            fault,
            loss,
            now_ms: 0,
            admitted: Vec::new(),
            requests: Vec::new(),
            rejected: Vec::new(),
            sent_messages: 0,
        }
    }

    pub(super) fn seconds(&self) -> f64 {
        self.now_ms as f64 / 1e3
    }

    /// Runs until `end` seconds. `demand` returns the requests per second at a node for each account at a time.
    pub(super) fn run(
        &mut self,
        end: f64,
        accounts: &[Account],
        demand: impl Fn(f64, usize, usize) -> f64,
    ) {
        self.admitted.resize(accounts.len(), Vec::new());
        self.rejected.resize(accounts.len(), Vec::new());
        self.requests.resize(accounts.len(), 0);
        while self.seconds() < end {
            self.now_ms += STEP_MS;
            self.apply_fault();
            self.deliver();
            let mut order: Vec<usize> = (0..self.nodes.len()).collect();
            order.shuffle(&mut self.rng);
            for index in order {
                for (slot, account) in accounts.iter().enumerate() {
                    let rate = demand(self.seconds(), index, slot);
                    let count = self.poisson(rate * STEP_MS as f64 / 1e3);
                    // Connections to a process that has ended are refused. One that stands still accepts them later.
                    match &mut self.nodes[index] {
                        node if node.frozen => node.waiting.extend(iter::repeat_n(slot, count)),
                        node if node.runs => (0..count).for_each(|_| {
                            self.request(index, slot, account);
                        }),
                        _ => {}
                    }
                }
                self.step(index, accounts);
            }
        }
    }

    /// Sends a request of an account to a node. Returns the time after which to retry if it is rejected.
    pub(super) fn request(
        &mut self,
        index: usize,
        slot: usize,
        account: &Account,
    ) -> Option<Duration> {
        let node = &mut self.nodes[index];
        let now = Time::from_millis(node.clock_ms + self.now_ms);
        self.requests[slot] += 1;
        match node.quotas.admit(now, account) {
            Ok(()) => {
                self.admitted[slot].push(self.now_ms);
                None
            }
            Err(denial) => {
                self.rejected[slot].push(self.now_ms);
                Some(denial.retry_after)
            }
        }
    }

    fn step(&mut self, index: usize, accounts: &[Account]) {
        if !self.nodes[index].runs || self.nodes[index].frozen {
            return;
        }
        for slot in std::mem::take(&mut self.nodes[index].waiting) {
            self.request(index, slot, &accounts[slot]);
        }
        let phase = self.now_ms + 2 * (index as u64 * 37 % 100);
        let now = Time::from_millis(self.nodes[index].clock_ms + self.now_ms);
        if phase.is_multiple_of(NODES_INTERVAL_MS) || self.now_ms == STEP_MS {
            let alive = self.alive(index);
            let serving = &alive[..self.serving.min(alive.len())];
            let quotas = &mut self.nodes[index].quotas;
            quotas.set_nodes(now, serving, &alive, &HashSet::new());
        }
        if phase.is_multiple_of(ASK_INTERVAL_MS) || self.nodes[index].quotas.is_urgent() {
            let Outgoing { asks, returns } = self.nodes[index].quotas.report(now);
            for (node, returned) in returns {
                let to = self.position(&node);
                self.send(index, to, Report::Return(returned));
            }
            for outgoing in asks {
                let holders = self.nodes[index].quotas.holders(outgoing.among);
                let mut holders: Vec<NodeId> = holders.cloned().collect();
                holders.shuffle(&mut self.rng);
                for (position, holder) in holders.iter().take(outgoing.asked).enumerate() {
                    let mut ask = outgoing.ask.clone();
                    ask.deep = position == 0;
                    let to = self.position(holder);
                    self.send(index, to, Report::Ask(ask));
                }
            }
        }
    }

    fn position(&self, id: &NodeId) -> usize {
        let position = self.nodes.iter().position(|node| node.id == *id);
        position.expect("a known node")
    }

    fn send(&mut self, from: usize, to: usize, report: Report) {
        self.sent_messages += 1;
        if self.rng.random_bool(self.loss) {
            return;
        }
        // Some messages arrive twice.
        for _ in 0..1 + usize::from(self.rng.random_bool(0.01)) {
            let at = self.now_ms + self.rng.random_range(LATENCY_MS);
            self.sequence += 1;
            self.messages
                .insert((at, self.sequence), (from, to, report.clone()));
        }
    }

    fn deliver(&mut self) {
        let later = self.messages.split_off(&(self.now_ms + 1, 0));
        for (key, (from, to, report)) in std::mem::replace(&mut self.messages, later) {
            if self.is_cut(from, to) || !self.nodes[to].runs {
                continue;
            }
            if self.nodes[to].frozen {
                self.messages
                    .insert((self.now_ms + STEP_MS, key.1), (from, to, report));
                continue;
            }
            let now = Time::from_millis(self.nodes[to].clock_ms + self.now_ms);
            let sender = self.nodes[from].id.clone();
            let response = self.nodes[to].quotas.record_report(now, &sender, &report);
            if let Some(response) = response {
                self.send(to, from, response);
            }
        }
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        matches!(self.fault, Fault::Cut(from, to) if (from..to).contains(&self.seconds()))
            && a.is_multiple_of(3) != b.is_multiple_of(3)
    }

    fn apply_fault(&mut self) {
        let now = self.seconds();
        match self.fault {
            Fault::Kill(from, to) => {
                let runs = !(from..to).contains(&now);
                for node in &mut self.nodes {
                    if runs && !node.runs {
                        let start = Time::from_millis(node.clock_ms + self.now_ms);
                        node.quotas = Quotas::new(start, node.id.clone(), BOUNDS);
                    }
                    node.runs = runs;
                }
            }
            Fault::Freeze(index, from, to) => {
                self.nodes[index].frozen = (from..to).contains(&now);
            }
            Fault::None | Fault::Cut(..) => {}
        }
        if !self.now_ms.is_multiple_of(50) {
            return;
        }
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                let is_up = |node: &Node| node.runs && !node.frozen;
                let up = is_up(&self.nodes[a]) && is_up(&self.nodes[b]) && !self.is_cut(a, b);
                if self.links[a][b].0 != up {
                    self.links[a][b] = (up, self.now_ms);
                }
            }
        }
    }

    /// Returns the nodes that a node considers alive, itself included.
    fn alive(&self, index: usize) -> Vec<NodeId> {
        let own = &self.nodes[index];
        let is_seen = |other: usize| {
            let (up, since) = self.links[index][other];
            let elapsed = self.now_ms - since;
            other == index
                || if up {
                    elapsed >= own.join_ms
                } else {
                    since > 0 && elapsed < own.detect_ms
                }
        };
        let seen = (0..self.nodes.len()).filter(|other| is_seen(*other));
        seen.map(|other| self.nodes[other].id.clone()).collect()
    }

    fn poisson(&mut self, mean: f64) -> usize {
        let mut product = self.rng.random::<f64>();
        let mut count = 0;
        while product > (-mean).exp() {
            product *= self.rng.random::<f64>();
            count += 1;
        }
        count
    }
}

/// Returns the largest number of requests in any window that begins in a range of times, milliseconds.
pub(super) fn most_in_window(admitted: &[u64], starts: Range<u64>) -> usize {
    let window = BOUNDS.window.as_millis() as u64;
    let within = |(index, start): (usize, &u64)| {
        admitted[index..].partition_point(|time| *time < start + window)
    };
    let starting = admitted.iter().enumerate();
    starting
        .filter(|(_, time)| starts.contains(time))
        .map(within)
        .max()
        .unwrap_or(0)
}
