//! Rolls of planned stops, and reloads, kills and pauses of real processes in series that overlap, by seed, while the
//! configuration changes and leaves are slow. `SCHEDULES` sets the number of schedules, `SEED` repeats one, `NODES` sets the
//! number of nodes.

use std::{net::SocketAddr, os::unix::process::ExitStatusExt, process::ExitStatus, time::Duration};

use cranberrychute_emulator::{Access, LeafMode, Work};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64;
use rustix::process::Signal;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::{
    load::{Kind, Load, ORDERS, Reading, Request},
    seeds,
    site::{GRACE, Node, Site},
    stop_report::{Lifetime, Report, Tally},
};

/// Time in which signals are sent.
const LENGTH: Duration = Duration::from_secs(11);
/// Number of requests that a schedule must have checked at least; half as many must have been served.
const MIN_CHECKED: usize = 200;
/// Time after a pause for which its node may still be late.
const PAUSE_MARGIN: Duration = Duration::from_secs(1);
/// Time after its start in which a process may still end by SIGTERM, as it has not installed its handler yet.
const MAX_START_TIME: Duration = Duration::from_millis(1_000);
const SHARDS: usize = 3;
/// Execution times of most leaves, and of those that often use up the time on their route.
const USUAL: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(360));
const SLOW: (Duration, Duration) = (Duration::from_millis(900), Duration::from_secs(9));
/// Timeouts of routes, between which configurations change.
const TIMEOUTS_MS: [u64; 2] = [400, 1_100];

/// What happens in a schedule beside planned stops.
#[derive(Debug)]
struct Plan {
    /// Node after node is stopped, instead of random ones.
    rolls: bool,
    changes_config: bool,
    /// The store is away for a while.
    loses_store: bool,
    /// Nodes are killed and paused.
    disturbs: bool,
}

impl Plan {
    fn new(seed: u64) -> Self {
        let rolls = seed.is_multiple_of(2);
        Self {
            rolls,
            changes_config: seed % 4 != 1,
            loses_store: seed % 3 == 2,
            disturbs: !rolls || seed % 8 == 6,
        }
    }
}

/// What the schedule does with a node.
#[derive(Debug)]
enum State {
    Running,
    /// Stopped by SIGTERM at this time.
    Stopping(Instant),
    /// Gone, and started again at this time.
    Down(Instant),
}

/// A node, its state, and what was done to it.
struct Member {
    node: Node,
    index: usize,
    state: State,
    /// When the node is stopped again shortly after its start.
    stop_again: Option<Instant>,
    /// Until when the node is paused.
    paused: Option<Instant>,
    lifetimes: Vec<Lifetime>,
    disturbed: Vec<(Instant, Instant)>,
}

impl Member {
    fn new(node: Node, index: usize) -> Self {
        Self {
            node,
            index,
            state: State::Running,
            stop_again: None,
            paused: None,
            lifetimes: vec![Lifetime::new()],
            disturbed: Vec::new(),
        }
    }

    fn is_running(&self) -> bool {
        matches!(self.state, State::Running) && self.paused.is_none()
    }

    fn lifetime(&mut self) -> &mut Lifetime {
        self.lifetimes.last_mut().unwrap()
    }

    fn stop(&mut self) {
        let now = Instant::now();
        // A process that has ended unnoticed is found by the next check of its state.
        if self.node.exit_status().is_some() {
            return;
        }
        self.node.signal(Signal::TERM);
        self.lifetime().stopped = Some(now);
        self.state = State::Stopping(now);
        self.stop_again = None;
    }

    fn pause(&mut self, rng: &mut Pcg64) {
        let now = Instant::now();
        self.node.signal(Signal::STOP);
        let until = now + Duration::from_millis(rng.random_range(100..1_500));
        self.disturbed.push((now, until + PAUSE_MARGIN));
        self.paused = Some(until);
    }

    fn kill(&mut self, rng: &mut Pcg64) {
        let now = Instant::now();
        self.node.kill();
        self.disturbed.push((now, now));
        self.leave(now, rng);
    }

    /// Plans the next start of a node that is gone.
    fn leave(&mut self, now: Instant, rng: &mut Pcg64) {
        self.lifetime().ended = Some(now);
        self.paused = None;
        self.state = State::Down(now + Duration::from_millis(rng.random_range(50..900)));
    }

    /// Sends a random signal to a node that runs.
    fn disturb(&mut self, plan: &Plan, rng: &mut Pcg64) {
        match rng.random_range(0..if plan.disturbs { 10 } else { 8 }) {
            0..5 => self.stop(),
            5..8 => self.node.signal(Signal::HUP),
            8 => self.kill(rng),
            _ => self.pause(rng),
        }
    }

    /// Follows the state of the node: its exit after SIGTERM, the end of a pause, the next start.
    fn advance(&mut self, site: &Site, plan: &Plan, rng: &mut Pcg64, report: &mut Report) {
        let now = Instant::now();
        if self.paused.is_some_and(|until| now >= until) {
            self.node.signal(Signal::CONT);
            self.paused = None;
        }
        match self.state {
            State::Running if self.stop_again.is_some_and(|at| now >= at) => self.stop(),
            State::Stopping(since) => self.follow_stop(since, plan, rng, report),
            State::Down(until) if now >= until => {
                self.node = site.node(self.index);
                self.lifetimes.push(Lifetime::new());
                self.state = State::Running;
                let delay = Duration::from_millis(rng.random_range(0..1_500));
                self.stop_again = rng.random_bool(0.25).then_some(now + delay);
            }
            State::Running => {
                if let Some(status) = self.node.exit_status() {
                    let early = self.is_early(status, now);
                    self.check_exit(early, status, report);
                    self.leave(now, rng);
                }
            }
            State::Down(_) => {}
        }
    }

    /// Returns whether a signal that was sent until `until` has ended a process that has not installed its handlers yet.
    fn is_early(&mut self, status: ExitStatus, until: Instant) -> bool {
        let signals = [Signal::TERM, Signal::HUP].map(Signal::as_raw);
        let by_signal = status
            .signal()
            .is_some_and(|signal| signals.contains(&signal));
        by_signal && until - self.lifetime().started < MAX_START_TIME
    }

    fn check_exit(&mut self, holds: bool, status: ExitStatus, report: &mut Report) {
        let lived = self.lifetime().started.elapsed();
        report.check("exit", holds, || {
            format!("node-{} ended with {status} after {lived:?}", self.index)
        });
    }

    fn follow_stop(&mut self, since: Instant, plan: &Plan, rng: &mut Pcg64, report: &mut Report) {
        let now = Instant::now();
        let was_paused = self.disturbed.last().is_some_and(|(_, to)| *to > since);
        if let Some(status) = self.node.exit_status() {
            let early = self.is_early(status, since);
            self.check_exit(status.success() || early, status, report);
            if was_paused {
                report.paused_exits += 1;
            } else if !early {
                report.exits.push(now - since);
            }
            self.leave(now, rng);
        } else if now - since >= GRACE {
            report.check("exit", was_paused, || {
                format!("node-{} was killed after its grace period", self.index)
            });
            self.node.kill();
            self.disturbed.extend(was_paused.then_some((now, now)));
            self.leave(now, rng);
        } else if rng.random_bool(0.002) && self.paused.is_none() {
            match rng.random_range(0..if plan.disturbs { 3 } else { 2 }) {
                0 => self.node.signal(Signal::TERM),
                1 => self.node.signal(Signal::HUP),
                _ => self.pause(rng),
            }
        }
    }

    fn was_disturbed(&self, request: &Request) -> bool {
        let overlaps =
            |(from, to): &(Instant, Instant)| request.sent <= *to && request.ended >= *from;
        self.disturbed.iter().any(overlaps)
    }
}

/// Guards against requests that are cut, run twice, are called not run although they have run, or get another answer, while
/// nodes stop, reload, die and pause in series that overlap. Callers keep to a node and its connections until it is gone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stops_in_series_cut_no_request() {
    let mut total = Tally::default();
    let mut faults = Vec::new();
    for seed in seeds::seeds(2) {
        let report = run_schedule(seed).await;
        println!("seed {seed}: {report}");
        report.assert_enough(MIN_CHECKED);
        total.add(&report.tally);
        faults.extend(
            report
                .faults
                .iter()
                .map(|fault| format!("seed {seed}: {fault}")),
        );
    }
    assert!(faults.is_empty(), "{} faults: {faults:#?}", faults.len());
    total.assert_all_ran();
}

async fn run_schedule(seed: u64) -> Report {
    let mut rng = Pcg64::seed_from_u64(seed);
    let plan = Plan::new(seed);
    let nodes = seeds::env_number("NODES").unwrap_or(8) as usize;
    let mut site = Site::start(SHARDS, nodes).await;
    for leaf in site.shards.iter().flatten() {
        leaf.set_work(work(USUAL));
    }
    (0..SHARDS).for_each(|shard| site.publish(shard, "ready"));
    let mut version = 8;
    put_config(&site, version, TIMEOUTS_MS[0]);
    let members = site.nodes().await;
    let addresses: Vec<SocketAddr> = members.iter().map(Node::callers).collect();
    let loads = start_loads(&addresses);
    let mut members: Vec<Member> = (0..)
        .zip(members)
        .map(|(i, node)| Member::new(node, i))
        .collect();
    let mut report = Report::default();
    let start = Instant::now();
    let end = start + LENGTH;
    let after = |rng: &mut Pcg64, ms| Instant::now() + Duration::from_millis(rng.random_range(ms));
    let (mut next_signal, mut next_leaf) = (after(&mut rng, 500..501), after(&mut rng, 0..500));
    let mut next_config = after(&mut rng, 100..700);
    let mut leaf_changes = 0;
    let outage = plan.loses_store.then(|| after(&mut rng, 2_000..6_000));
    let outage_end = outage.map(|at| at + Duration::from_millis(rng.random_range(1_000..3_000)));
    let gap_ms = if plan.rolls {
        LENGTH.as_millis() as u64 / nodes as u64
    } else {
        480 * 8 / nodes.max(8) as u64
    };
    let (mut rolled, mut access) = (rng.random_range(0..nodes), Access::Served);
    loop {
        let now = Instant::now();
        for member in &mut members {
            member.advance(&site, &plan, &mut rng, &mut report);
        }
        if now >= next_signal && now < end {
            next_signal = after(&mut rng, gap_ms / 5..gap_ms * 9 / 5);
            rolled = (rolled + 1) % nodes;
            let running: Vec<usize> = (0..nodes)
                .filter(|index| members[*index].is_running())
                .collect();
            let index = if plan.rolls {
                Some(rolled).filter(|index| running.contains(index))
            } else {
                running.choose(&mut rng).copied()
            };
            match index {
                Some(index) if plan.rolls && !plan.disturbs => members[index].stop(),
                Some(index) => members[index].disturb(&plan, &mut rng),
                None => {}
            }
        }
        if now >= next_leaf {
            next_leaf = after(&mut rng, 200..900);
            change_leaves(&site, leaf_changes, &mut rng);
            leaf_changes += 1;
        }
        if now >= next_config && plan.changes_config {
            next_config = after(&mut rng, 100..700);
            version += rng.random_range(1..5);
            put_config(&site, version, TIMEOUTS_MS[rng.random_range(0..2)]);
        }
        let is_away = outage.is_some_and(|at| now >= at) && outage_end.is_some_and(|at| now < at);
        let wanted = match access {
            Access::Served if is_away => {
                [Access::Unavailable, Access::Silent, Access::Disconnect][rng.random_range(0..3)]
            }
            _ if !is_away => Access::Served,
            other => other,
        };
        if wanted != access {
            access = wanted;
            site.store.set_all_access(access);
        }
        if now >= end && members.iter().all(Member::is_running) {
            break;
        }
        sleep(Duration::from_millis(5)).await;
    }
    let mut requests = Vec::new();
    for load in loads {
        requests.extend(load.finish().await);
    }
    for member in &members {
        let log = member.node.log();
        report.check("panic", !log.contains("panicked at"), || {
            format!("at node-{}", member.index)
        });
    }
    for request in &requests {
        let member = members
            .iter()
            .find(|member| member.node.callers() == request.node)
            .unwrap();
        let disturbed = member.was_disturbed(request);
        let ran = site.run_count(&request.id);
        report.judge(request, ran, &member.lifetimes, member.index, disturbed);
    }
    if !report.faults.is_empty() {
        site.folder.disable_cleanup(true);
        println!(
            "seed {seed}: logs are kept in {}",
            site.folder.path().display()
        );
    }
    report
}

fn work((mean, longest): (Duration, Duration)) -> Work {
    Work {
        mean,
        longest,
        sizes: 6 << 10..36 << 10,
        slots: 64,
    }
}

/// Makes one leaf slow or fast again. Each fifth time both leaves that run orders reject everything until the next change.
fn change_leaves(site: &Site, changes: u32, rng: &mut Pcg64) {
    let leaf = &site.shards[rng.random_range(0..SHARDS)][rng.random_range(0..2)];
    leaf.set_work(work(if rng.random_bool(0.4) { SLOW } else { USUAL }));
    for leaf in &site.shards[0] {
        leaf.set_mode(match changes % 5 {
            0 => LeafMode::Reject,
            _ => LeafMode::Normal,
        });
    }
}

/// Writes a configuration with this timeout on all routes, with one more route in every other version.
fn put_config(site: &Site, version: u64, timeout_ms: u64) {
    let mut config = site.config(version);
    let routes = config["routes"].as_array_mut().unwrap();
    if version.is_multiple_of(2) {
        let mut added = routes[1].clone();
        added["name"] = json!("added");
        added["prefix"] = json!("/added/");
        routes.push(added);
    }
    for route in routes {
        route["timeout_ms"] = json!(timeout_ms);
    }
    for service in config["services"].as_array_mut().unwrap() {
        service["max_connections"] = json!(1_000);
    }
    site.store.put("op/config", &config);
}

/// Starts callers without long pauses, callers that are idle for seconds, and callers that read slowly.
fn start_loads(nodes: &[SocketAddr]) -> Vec<Load> {
    // More callers than for 16 nodes would need more than the one processor that they and the leaves have here.
    let scale = nodes.len().min(16);
    let kind = |path, pauses_ms: [u64; 2], reading| Kind {
        path,
        pauses: Duration::from_millis(pauses_ms[0])..Duration::from_millis(pauses_ms[1]),
        reading,
    };
    let kinds = [
        (kind("/split/", [5, 60], Reading::AtOnce), 3),
        (kind(ORDERS, [5, 60], Reading::AtOnce), 2),
        (kind("/all/", [100, 300], Reading::AtOnce), 1),
        (kind("/added/", [100, 500], Reading::AtOnce), 1),
        (kind("/one/", [200, 4_000], Reading::AtOnce), 2),
        (kind(ORDERS, [200, 4_000], Reading::AtOnce), 1),
        (kind("/split/", [20, 100], Reading::VerySlowly), 1),
    ];
    let start = |(kind, callers): &(Kind, usize)| kind.start(nodes, callers * scale);
    kinds.iter().map(start).collect()
}
