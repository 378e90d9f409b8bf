//! All processes are killed while the store holds an entry of another writer whose key has a space.

use std::{
    thread,
    time::{Duration, Instant},
};

use super::site::Site;
use crate::{
    caller::Sent,
    report::{Report, Verdict},
};

/// Number of leafs: more than one page of the store.
const LEAFS: usize = 60;
/// Place of the other entry in the order of keys: the last one of the first page.
const LAST_OF_PAGE: usize = 49;
/// Time after which the killed processes are started again.
const DOWN_TIME: Duration = Duration::from_millis(500);
/// `recovery_s` of the settings.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

pub fn play(trouble: bool, report: &mut Report) -> Result<Verdict, String> {
    let mut site = Site::start(LEAFS, report)?;
    let callers = site.start_callers(site.nodes());
    thread::sleep(Duration::from_secs(3));
    if trouble {
        let before = site.leafs[LAST_OF_PAGE - 1].id().to_owned();
        let key = format!("servers/{before} (copy)");
        site.store.put(&key, r#"{"note":"entry before the move"}"#);
        report.note(format!("another writer's entry is in the store: {key:?}"));
    }
    thread::sleep(Duration::from_secs(5));
    let killed_at = Instant::now();
    for node in site.nodes() {
        site.fleet.kill(node);
    }
    report.note("the processes of all nodes are killed");
    thread::sleep(DOWN_TIME);
    site.fleet.start_all()?;
    let started_at = Instant::now();
    report.note("the processes of all nodes are started");
    thread::sleep(RECOVERY_TIME + Duration::from_secs(6));
    for node in site.nodes() {
        let ready = site.fleet.is_ready(node);
        let calls = site.store.calls(node);
        let lines = site.fleet.log_lines(node, "store lost");
        let line = lines.last().cloned().unwrap_or_default();
        report.add(format!(
            "node {node}: ready {ready}, calls to the store in all {calls}, last loss of the store: {line}"
        ));
        if site.fleet.has_ended(node) {
            report.add(format!("node {node} has ended by itself"));
        }
    }
    let sent = callers.finish();
    let served = |orders: &[&Sent]| {
        let answered = orders.iter().filter(|order| order.outcome() == Ok(200));
        (answered.count(), orders.len())
    };
    let before: Vec<&Sent> = sent
        .iter()
        .filter(|order| order.ended < killed_at)
        .collect();
    let after: Vec<&Sent> = sent
        .iter()
        .filter(|order| order.at > started_at + RECOVERY_TIME)
        .collect();
    let (served_before, sent_before) = served(&before);
    let (served_after, sent_after) = served(&after);
    report.add(format!(
        "before the fault: {served_before} of {sent_before} orders served"
    ));
    report.add(format!(
        "sent later than recovery_s (12) after the start: {served_after} of {sent_after} orders served"
    ));
    if 4 * served_before < sent_before || sent_before == 0 {
        return Err("less than a quarter was served before the fault".to_owned());
    }
    Ok(match 4 * served_after < sent_after || sent_after == 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
