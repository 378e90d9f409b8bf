use std::time::Duration;

use crate::core::{NodeId, Time, rendezvous::score};

/// Number of nodes that read the platform's store in normal operation.
///
/// With two, either may crash, pause or be rejected by the store without a delay for the other nodes. More would only
/// add calls to the store.
pub const READER_COUNT: usize = 2;

/// Age of a node's mirror at which the node no longer relies on the readers.
///
/// A reader gets a response from the store at least once a second and announces its revision every 400 ms; the rest
/// covers delays of the store and the network.
pub const MAX_MIRROR_AGE: Duration = Duration::from_millis(1_600);

/// Interval at which the number of readers doubles while mirrors are older than [`MAX_MIRROR_AGE`].
///
/// With 100 nodes, all of them read the store 0.6 s later, within the users' strictest limit of 3 s for a
/// configuration change.
const DOUBLING_INTERVAL: Duration = Duration::from_millis(80);

/// Maximum delay of the first read of a node with an empty mirror. Of nodes that start together, the first one to
/// read the store updates the others.
pub const MAX_FIRST_READ_DELAY: Duration = Duration::from_millis(120);

/// Delay after a call that the store did not answer, for the first [`PROMPT_NODES`] nodes in the order of readers.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Number of nodes that retry at the minimum delay. The delay of the others grows with their rank, since the first node
/// that reaches the store updates the others.
const PROMPT_NODES: usize = 8;

/// Maximum delay after a call that the store did not answer. The store may reject all nodes of a lower rank.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(4);

/// Minimum interval between reads of all items because of compacted history.
const COMPACTION_INTERVAL: Duration = Duration::from_millis(250);

/// Rendezvous hashing key that orders the nodes as readers.
const RANK_KEY: &str = "reader";

/// Tracks when a node's mirror was last known to be complete, as reported by other nodes.
///
/// A node that does not read the store itself must detect within its time limit that the readers have crashed, are
/// partitioned or are rejected by the store, without any agreement on which nodes they are.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    complete_at: Option<Time>,
}

impl Freshness {
    /// Records that the mirror has all changes of another one that was complete `age` ago.
    pub fn confirm(&mut self, now: Time, age: Duration) {
        let micros = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        self.complete_at = self.complete_at.max(now.0.checked_sub(micros).map(Time));
    }

    /// Returns the time for which the mirror may have been incomplete, [`Duration::MAX`] if no node has confirmed it
    /// yet.
    pub fn age(&self, now: Time) -> Duration {
        self.complete_at.map_or(Duration::MAX, |at| now.since(at))
    }
}

/// Returns the rank of `me` in the order in which `nodes` become readers, starting at 0.
pub fn reader_rank<'a>(me: &NodeId, nodes: impl Iterator<Item = &'a NodeId>) -> usize {
    let node_score = |node: &NodeId| score(RANK_KEY, node.as_str());
    let own_score = node_score(me);
    nodes.filter(|node| node_score(node) > own_score).count()
}

/// Returns whether a node of this `rank` reads the store itself, given the `age` of its mirror as reported by other
/// nodes.
pub fn reads_store(rank: usize, age: Duration) -> bool {
    let doublings = age.checked_sub(MAX_MIRROR_AGE).map_or(0, |over| {
        1 + over.as_millis() / DOUBLING_INTERVAL.as_millis()
    });
    let doublings = doublings.min(usize::BITS as u128 / 2) as u32;
    rank < READER_COUNT << doublings
}

/// Returns the minimum delay after a call that the store did not answer, for a node of this `rank`.
pub fn retry_delay(rank: usize) -> Duration {
    let factor = (rank as f64 / PROMPT_NODES as f64).max(1.0);
    MIN_RETRY_DELAY.mul_f64(factor).min(MAX_RETRY_DELAY)
}

/// Decides which call a node that reads the store makes next, and when.
///
/// Designed for events that reach all readers at once: the store discards its history, is unavailable, rejects some
/// nodes, or its answers are lost. No delay grows with the number of nodes, and the rate of all calls together stays a
/// small part of what the store answers.
#[derive(Clone, Copy, Debug)]
pub struct ReadPlan {
    reads_all: bool,
    compacted_at: Option<Time>,
}

impl ReadPlan {
    /// Starts with a read of all items.
    pub fn new() -> Self {
        Self {
            reads_all: true,
            compacted_at: None,
        }
    }

    /// Returns whether the next call reads all items rather than waiting for changes.
    pub fn reads_all(&self) -> bool {
        self.reads_all
    }

    /// Sets whether the next call reads all items, for a node that becomes a reader again.
    pub fn restart(&mut self, reads_all: bool) {
        self.reads_all = reads_all;
    }

    /// Records that the store answered.
    pub fn record_answer(&mut self) {
        self.reads_all = false;
    }

    /// Records that the store no longer has the requested history. Returns the delay until all items are read.
    ///
    /// The store is available, so there is no reason to wait, unless it discards its history again and again.
    pub fn record_compaction(&mut self, now: Time) -> Duration {
        self.reads_all = true;
        let earliest = self.compacted_at.map(|at| at + COMPACTION_INTERVAL);
        self.compacted_at = Some(now);
        earliest.map_or(Duration::ZERO, |at| at.since(now))
    }

    /// Records that the store did not answer a node of this `rank`. Returns the delay until the next call; `factor`
    /// is a random number of at least 1 that spreads the calls of different nodes.
    pub fn record_failure(&mut self, rank: usize, factor: f64) -> Duration {
        retry_delay(rank).mul_f64(factor)
    }
}

impl Default for ReadPlan {
    fn default() -> Self {
        Self::new()
    }
}
