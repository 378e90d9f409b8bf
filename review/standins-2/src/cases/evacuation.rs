//! A zone is evacuated again just after the store has come back from a copy and has discarded its history before.

use std::{
    thread,
    time::{Duration, Instant},
};

use super::site::Site;
use crate::report::{Report, Verdict};

const LEAFS: usize = 4;
/// `evacuate_ms` of the settings.
const EVACUATION_TIME: Duration = Duration::from_millis(5_000);
/// Time for which the store is away.
const AWAY_TIME: Duration = Duration::from_millis(1_000);
/// Time between the return of the store and the operator's write.
const WRITE_DELAY: Duration = Duration::from_millis(100);

pub fn play(trouble: bool, report: &mut Report) -> Result<Verdict, String> {
    let mut site = Site::start(LEAFS, report)?;
    site.store.name_era();
    let callers = site.start_callers(site.nodes());
    let zone = site.leafs[1].zone().to_owned();
    let key = format!("op/evacuate/{zone}");
    thread::sleep(Duration::from_secs(6));
    let copy = site.store.copy();
    report.note("the store is copied");
    thread::sleep(Duration::from_millis(500));
    report.note_at(site.store.put(&key, "{}"), format!("{zone} is evacuated"));
    thread::sleep(Duration::from_millis(2_000));
    report.note_at(
        site.store.delete(&key),
        format!("the evacuation of {zone} is taken back"),
    );
    thread::sleep(Duration::from_millis(500));
    if trouble {
        site.store.discard_history();
        report.note("the store discards its history");
    }
    thread::sleep(Duration::from_millis(800));
    if trouble {
        site.store.go_away();
        report.note("the store is away");
    }
    thread::sleep(AWAY_TIME);
    if trouble {
        let back_at = site.store.come_back(&copy);
        report.note_at(back_at, "the store is back from the copy");
    }
    thread::sleep(WRITE_DELAY);
    let evacuated_at = site.store.put(&key, "{}");
    report.note_at(
        evacuated_at,
        format!("the store has accepted that {zone} is evacuated again"),
    );
    thread::sleep(EVACUATION_TIME + Duration::from_secs(8));
    let end = Instant::now();
    let sent = callers.finish();

    let runs = site.runs.lock().expect("no leaf panics").clone();
    let is_in_zone = |leaf: &str| {
        let found = site.leafs.iter().find(|other| other.id() == leaf);
        found.is_some_and(|leaf| leaf.zone() == zone)
    };
    let late_from = evacuated_at + EVACUATION_TIME;
    let late: Vec<_> = runs
        .iter()
        .filter(|run| run.at > late_from && run.at < end && is_in_zone(&run.leaf))
        .collect();
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        report.note_at(
            first.at,
            format!("order {} is the first late one in {zone}", first.id),
        );
        report.note_at(
            last.at,
            format!("order {} is the last late one in {zone}", last.id),
        );
    }
    report.add(format!(
        "{} orders sent, {} runs; {} orders reached {zone} later than evacuate_ms (5,000) after the acknowledgement",
        sent.len(),
        runs.len(),
        late.len()
    ));
    for node in site.nodes() {
        if site.fleet.has_ended(node) {
            report.add(format!("node {node} has ended by itself"));
        }
    }
    Ok(match late.len() {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}
