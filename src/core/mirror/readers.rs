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

/// Delay of a node after a call that the store did not answer, with up to [`UNSCALED_NODES`] nodes.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Number of nodes up to which the retry delay is not increased. Larger fleets do not exceed the retry rate of this
/// many nodes, since the first node that reaches the store updates the others.
const UNSCALED_NODES: usize = 8;

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

/// Returns the minimum delay after a call that the store did not answer, for each of `nodes` live nodes.
pub fn retry_delay(nodes: usize) -> Duration {
    MIN_RETRY_DELAY.mul_f64((nodes as f64 / UNSCALED_NODES as f64).max(1.0))
}
