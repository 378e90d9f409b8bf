use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use rand::{Rng, seq::IteratorRandom};
use serde::{Deserialize, Serialize};

use crate::core::{Domain, NodeId, Time, score};

/// Maximum number of nodes whose reports are kept: the strongest ones.
pub const MAX_ENTRIES: usize = 32;

/// Time after which a report expires unless a newer one replaces it. Reports of a fleet of 300 nodes reach all of them
/// within about 4 s.
const REPORT_TTL: Duration = Duration::from_secs(12);

/// Time for which a node that reported that it stops counts as such, whatever other nodes pass on. Reports gain some age
/// on their way that is not accounted for.
const STOP_HOLD_TIME: Duration = Duration::from_secs(2);

/// Minimum ratio of a capacity to the highest one for a report to be passed on.
const PASSED_ON_RATIO: u32 = 2;

/// Rendezvous hashing key that orders nodes of the same capacity.
const RANK_KEY: &str = "entry";

/// Whether a node serves callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryState {
    /// The node has no configuration yet, or does not trust its state after a pause.
    Starting,
    Ready,
    /// The node reaches no leaves, and hands requests to nodes that do.
    CutOff,
    Stopping,
}

/// What a node reports about itself as a server of callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryReport {
    pub domain: Domain,
    /// Processor capacity in thousandths of a core.
    pub capacity: u32,
    pub state: EntryState,
    /// How late the node's timers are on average, milliseconds.
    pub lag_ms: u16,
}

/// The latest reports of the strongest nodes.
#[derive(Debug, Default)]
pub struct EntryTable {
    /// The reports, and when each node made its own.
    reports: BTreeMap<NodeId, (EntryReport, Time)>,
}

impl EntryTable {
    /// Records a report that `node` made `age` ago. Older ones than the known one are ignored.
    pub fn record(&mut self, now: Time, node: &NodeId, report: EntryReport, age: Duration) {
        let made = Time(now.0.saturating_sub(age.as_micros() as u64));
        let is_outdated = |(known, at): &(EntryReport, Time)| {
            let own_word = age.is_zero();
            let returns = known.state == EntryState::Stopping && report.state != known.state;
            *at >= made || returns && !own_word && made < *at + STOP_HOLD_TIME
        };
        if age >= REPORT_TTL || self.reports.get(node).is_some_and(is_outdated) {
            return;
        }
        self.reports.insert(node.clone(), (report, made));
        if self.reports.len() > MAX_ENTRIES {
            let rank = |(node, (report, _)): &(&NodeId, &(EntryReport, Time))| {
                (report.capacity, Reverse(score(RANK_KEY, node.as_str())))
            };
            let weakest = self.reports.iter().min_by_key(rank);
            if let Some(weakest) = weakest.map(|(node, _)| node.clone()) {
                self.reports.remove(&weakest);
            }
        }
    }

    /// Removes expired reports and those of nodes that are not `alive`.
    pub fn expire(&mut self, now: Time, alive: impl Fn(&NodeId) -> bool) {
        self.reports
            .retain(|node, (_, made)| now.since(*made) < REPORT_TTL && alive(node));
    }

    /// Returns up to `count` random reports of strong nodes for another node, each with its age.
    pub fn sample(
        &self,
        now: Time,
        count: usize,
        rng: &mut impl Rng,
    ) -> impl Iterator<Item = (&NodeId, &EntryReport, Duration)> {
        let highest = self.iter().map(|(_, report)| report.capacity).max();
        let min_capacity = highest.unwrap_or(0) / PASSED_ON_RATIO;
        let strong = self
            .reports
            .iter()
            .filter(|(_, (report, _))| report.capacity >= min_capacity);
        let chosen = strong.choose_multiple(rng, count);
        chosen
            .into_iter()
            .map(move |(node, (report, made))| (node, report, now.since(*made)))
    }

    /// Returns the reports in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&NodeId, &EntryReport)> {
        self.reports
            .iter()
            .map(|(node, (report, _))| (node, report))
    }
}
