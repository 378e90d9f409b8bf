//! A leaf says that it leaves while a node that has just been started reads the store page by page.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::site::Site;
use crate::{
    report::{Report, Verdict},
    store::Store,
};

/// Number of leafs, one in each zone.
const LEAFS: usize = 4;
/// `drain_ms` of the settings.
const DRAIN_TIME: Duration = Duration::from_millis(3_000);
/// Time for which the leaf serves beyond `drain_ms`.
const LINGER_TIME: Duration = Duration::from_millis(3_000);
/// Time after its kill at which the first process is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Time for which the other killed machine has no power. The sheets' `node_kill` lasts 3.5 s.
const POWER_OFF_TIME: Duration = Duration::from_millis(3_500);

pub fn play(trouble: bool, report: &mut Report) -> Result<Verdict, String> {
    let mut site = Site::start(LEAFS, report)?;
    let readers = wait_for_readers(&site.store)?;
    report.note(format!(
        "the nodes {readers:?} watch the store, the others rely on them"
    ));
    // Callers ask the directories of nodes that run all the while.
    let callers = site.start_callers(site.nodes().filter(|node| !readers.contains(node)));
    thread::sleep(Duration::from_secs(5));

    // A leaf in a zone of which no node is killed: nodes send orders to the leafs of their own zone first.
    let zone = (0..LEAFS).find(|zone| readers.iter().all(|node| node % LEAFS != *zone));
    let leaving = site.leafs[zone.ok_or("the readers are in all zones")?].clone();
    let left_at: Arc<Mutex<Option<Instant>>> = Arc::default();
    if trouble {
        for node in &readers {
            site.fleet.kill(*node);
        }
        let killed_at = Instant::now();
        report.note(format!("the processes of the nodes {readers:?} are killed"));
        let armed = AtomicBool::new(true);
        let (leaf, at, starting) = (leaving.clone(), left_at.clone(), readers[0]);
        // The leaf writes its entry after the new process has read the first page and before it reads the next one.
        site.store.set_hook(move |reader, prefix| {
            let is_due = reader == starting && prefix.starts_with("op/");
            if is_due && armed.swap(false, Ordering::SeqCst) {
                *at.lock().expect("no thread panics") = Some(leaf.publish("draining"));
            }
        });
        thread::sleep(RESTART_DELAY);
        site.fleet.start(readers[0])?;
        report.note(format!("the process of node {} is started", readers[0]));
        thread::sleep(POWER_OFF_TIME.saturating_sub(killed_at.elapsed()));
        site.fleet.start(readers[1])?;
        report.note(format!("the process of node {} is started", readers[1]));
    } else {
        thread::sleep(RESTART_DELAY);
        *left_at.lock().expect("no thread panics") = Some(leaving.publish("draining"));
        thread::sleep(POWER_OFF_TIME);
    }
    let left_at = left_at.lock().expect("no thread panics").take();
    let left_at = left_at.ok_or("the started process did not read the store")?;
    let name = leaving.id().to_owned();
    report.note_at(
        left_at,
        format!("the store has accepted that the leaf {name} is draining"),
    );
    let exit_at = left_at + DRAIN_TIME + LINGER_TIME;
    thread::sleep(exit_at.saturating_duration_since(Instant::now()));
    leaving.exit();
    report.note(format!("the leaf {name} has ended, and its entry is gone"));
    thread::sleep(Duration::from_secs(2));
    let sent = callers.finish();

    let runs = site.runs.lock().expect("no leaf panics").clone();
    let by_id: HashMap<&str, _> = sent.iter().map(|sent| (sent.id.as_str(), sent)).collect();
    let mut late = 0;
    let mut cut = 0;
    for run in runs
        .iter()
        .filter(|run| run.leaf == name && run.at > left_at + DRAIN_TIME)
    {
        let Some(sent) = by_id.get(run.id.as_str()) else {
            return Err(format!("no caller knows the request {}", run.id));
        };
        let node = site.fleet.node_at(sent.node).ok_or("unknown node")?;
        // Nodes that were killed are not in touch for `stable_window_ms`; their requests are left out altogether.
        if readers.contains(&node) {
            continue;
        }
        late += 1;
        let after = run.at.duration_since(left_at).as_millis();
        let lost = !run.answered;
        cut += usize::from(lost);
        report.note_at(
            run.at,
            format!(
                "order {} of a caller at node {node} reaches the leaf {name}, {after} ms after the acknowledgement; answered: {:?}{}",
                run.id,
                sent.outcome(),
                if lost { ", cut when the leaf ended" } else { "" }
            ),
        );
    }
    let answered = sent.iter().filter(|sent| sent.outcome() == Ok(200)).count();
    let slowest = sent
        .iter()
        .map(|sent| sent.ended - sent.at)
        .max()
        .unwrap_or_default();
    report.add(format!(
        "{} orders sent, {answered} answered with 200, slowest {} ms; {} runs in all",
        sent.len(),
        slowest.as_millis(),
        runs.len()
    ));
    report.add(format!(
        "{late} orders reached the leaf later than drain_ms (3,000) after the acknowledgement through nodes that ran all the while; {cut} of them were cut"
    ));
    for node in site.nodes().filter(|node| !readers.contains(node)) {
        let lines = site.fleet.log_lines(node, "caught up from another node");
        report.add(format!("node {node}, log: {}", lines.join(" | ")));
        if site.fleet.has_ended(node) {
            report.add(format!("node {node} has ended by itself"));
        }
    }
    Ok(match late {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}

/// Waits until the fleet has settled: for some seconds the same two nodes watch the store. Returns them.
fn wait_for_readers(store: &Store) -> Result<Vec<usize>, String> {
    let end = Instant::now() + Duration::from_secs(30);
    let mut since = Instant::now();
    let mut readers = Vec::new();
    while Instant::now() < end {
        let watching = store.watchers();
        // A watch ends each second, and the next one begins.
        let is_part = watching.iter().all(|node| readers.contains(node));
        if !is_part || readers.len() != 2 {
            readers = watching;
            since = Instant::now();
        }
        if since.elapsed() > Duration::from_secs(4) {
            return Ok(readers);
        }
        thread::sleep(Duration::from_millis(20));
    }
    Err("there were never just two readers of the store".to_owned())
}
