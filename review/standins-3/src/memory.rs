//! Storms of configurations on a large configuration. The process of a node that exceeds its memory is killed and started
//! again, as the users' platform does.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use anyhow::ensure;
use cranberrychute_emulator::{GatewayLeaf, Store};
use tokio::time::{Instant, interval, sleep, sleep_until};

use crate::{
    Verdict,
    client::get,
    deployment::{ADDED_ROUTES, HOST, VALUE_LIMIT, ZONES, configuration, start_leaves},
    record::Record,
    site::{Node, SMALL, Site, store_addresses},
};

/// `memory_mb` of the settings.
const MEMORY_LIMIT: u64 = 260 << 20;
/// `config_storm` of the site: a change each `STORM_GAP`, `STORM_CHANGES` of them in its 2 s.
const STORM_GAP: Duration = Duration::from_millis(80);
const STORM_CHANGES: u32 = 25;
/// Time between the end of a storm and the next one.
const STORM_PAUSE: Duration = Duration::from_millis(250);
/// End of the run, counted from its start.
const RUN_TIME: Duration = Duration::from_secs(112);
/// Ends of a process in a day, and machines on which they happen, that break the rule.
const ENDS: u32 = 3;
const MACHINES: usize = 2;
/// Delay after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// The processes of the nodes, as the platform sees them.
struct Machines {
    site: Site,
    nodes: Vec<Node>,
    ends: Vec<u32>,
    restart_at: Vec<Option<Instant>>,
    peak: Vec<u64>,
}

impl Machines {
    /// Kills processes that exceed their memory, and starts ended ones again after a delay.
    fn check(&mut self, store: &Store, record: &mut Record) -> anyhow::Result<()> {
        for index in 0..self.nodes.len() {
            let now = Instant::now();
            if let Some(at) = self.restart_at[index] {
                if now >= at {
                    self.nodes[index] = self.site.start(index, store.address(index))?;
                    self.restart_at[index] = None;
                }
                continue;
            }
            let node = &mut self.nodes[index];
            let memory = node.memory().unwrap_or(0);
            self.peak[index] = self.peak[index].max(memory);
            let ended = node.has_ended();
            if memory <= MEMORY_LIMIT && !ended {
                continue;
            }
            node.kill();
            self.ends[index] += 1;
            self.restart_at[index] = Some(now + RESTART_DELAY);
            let reason = if ended {
                "ended by itself"
            } else {
                "exceeded memory_mb and was killed"
            };
            let (ends, megabytes) = (self.ends[index], memory >> 20);
            record.line(
                true,
                &format!("process of machine {index} {reason}: {megabytes} MB, end number {ends}"),
            );
        }
        Ok(())
    }

    fn is_broken(&self) -> bool {
        self.ends.iter().filter(|ends| **ends >= ENDS).count() >= MACHINES
    }
}

pub async fn run(case: &str, trouble: bool) -> anyhow::Result<Verdict> {
    let mut record = Record::create(case)?;
    let end = Instant::now() + RUN_TIME;
    let store = Store::start(ZONES.len()).await?;
    let leaves = start_leaves(&store).await?;
    let mut version = 7;
    let mut routes = 10;
    store.put("op/config", &configuration(version, routes, 800, None));
    let site = Site::new(&ZONES, SMALL)?;
    let nodes = site.start_all(&store_addresses(&store)).await?;
    let count = nodes.len();
    let mut machines = Machines {
        site,
        nodes,
        ends: vec![0; count],
        restart_at: vec![None; count],
        peak: vec![0; count],
    };
    // Callers, each of which sends to one machine at a steady rate and counts what it gets.
    let answers: Vec<Answers> = (0..count).map(|_| Answers::default()).collect();
    let callers = machines.nodes.iter().zip(&answers);
    let callers: Vec<_> = callers
        .map(|(node, answers)| tokio::spawn(call(node.callers(), end, answers.clone())))
        .collect();

    // `big_config`: the configuration grows by routes, up to what the store takes.
    loop {
        let next = configuration(version + 3, routes + ADDED_ROUTES, 800, None);
        let size = next.to_string().len();
        if size > VALUE_LIMIT {
            break;
        }
        version += 3;
        routes += ADDED_ROUTES;
        store.put("op/config", &next);
        record.line(
            false,
            &format!("operator writes version {version}: {routes} routes, {size} bytes"),
        );
        machines.check(&store, &mut record)?;
        sleep(Duration::from_millis(300)).await;
    }
    record.line(
        true,
        &format!("the configuration has {routes} routes, version {version}"),
    );

    let mut checks = interval(Duration::from_millis(20));
    let mut next_change = Instant::now() + Duration::from_secs(2);
    let (mut changes, mut reported) = (0_u32, Instant::now());
    while Instant::now() < end && !machines.is_broken() {
        tokio::select! {
            () = sleep_until(next_change), if trouble => {
                version += 3;
                changes += 1;
                // `config_change` with how = "timeout".
                let next = configuration(version, routes, 800 + u64::from(changes % 2) * 100, None);
                store.put("op/config", &next);
                record.line(false, &format!("operator writes version {version}"));
                next_change += STORM_GAP;
                if changes.is_multiple_of(STORM_CHANGES) {
                    next_change += STORM_PAUSE;
                }
            }
            _ = checks.tick() => machines.check(&store, &mut record)?,
        }
        if reported.elapsed() >= Duration::from_secs(5) {
            reported = Instant::now();
            let memory: Vec<u64> = machines
                .nodes
                .iter()
                .map(|node| node.memory().unwrap_or(0) >> 20)
                .collect();
            record.line(
                true,
                &format!(
                    "{changes} changes, memory of the processes {memory:?} MB, ends {:?}",
                    machines.ends
                ),
            );
        }
    }
    callers.iter().for_each(|caller| caller.abort());
    for (machine, answers) in answers.iter().enumerate() {
        let answers = answers.lock().expect("not poisoned").clone();
        record.line(true, &format!("requests to machine {machine} by the status of the answer, 0 if there was none: {answers:?}"));
    }
    let runs: Vec<u64> = leaves.iter().map(GatewayLeaf::request_count).collect();
    record.line(true, &format!("requests at the leafs: {runs:?}"));
    let peak: Vec<u64> = machines.peak.iter().map(|bytes| bytes >> 20).collect();
    record.line(true, &format!("{changes} changes of a configuration with {routes} routes; peak memory {peak:?} MB, ends {:?}", machines.ends));
    ensure!(!trouble || changes > 0, "no change was made");
    Ok(match machines.is_broken() {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// What the requests to one machine got: their number by status, 0 if there was no answer.
type Answers = Arc<Mutex<BTreeMap<u16, u64>>>;

/// Sends 20 requests a second to one machine.
async fn call(address: SocketAddr, end: Instant, answers: Answers) {
    let mut ticks = interval(Duration::from_millis(50));
    let mut number = 0_u64;
    while Instant::now() < end {
        ticks.tick().await;
        number += 1;
        let id = format!("{number:016x}");
        let limit = Duration::from_secs(1);
        let answer = get(address, "/rany1/2f", HOST, &id, Some(800), limit).await;
        let status = answer.map_or(0, |answer| answer.status);
        *answers
            .lock()
            .expect("not poisoned")
            .entry(status)
            .or_default() += 1;
    }
}
