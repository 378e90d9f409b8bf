use std::time::Duration;

use crate::core::{NodeId, Time, rendezvous::score};

/// Nodes that read the platform's store while all is well. Either may die, freeze or be refused without a delay for
/// the others; more would only add calls.
pub const READER_COUNT: usize = 2;

/// Age of a node's copy at which it no longer relies on the readers. A reader hears from the store once a second and
/// tells what it has every 400 ms; the rest is the store's and the network's time.
pub const MAX_MIRROR_AGE: Duration = Duration::from_millis(1_600);

/// Time after which twice as many nodes read as long as copies stay overdue. With it 100 nodes all read 0.6 s later,
/// within the users' least bound of 3 s for a configuration.
const WIDEN: Duration = Duration::from_millis(80);

/// Longest delay of the first read of a node that knows nothing: nodes that start together learn from the first.
pub const MAX_FIRST_READ_DELAY: Duration = Duration::from_millis(120);

/// Pause of one node after a call that the store did not answer, with few nodes.
const RETRY: Duration = Duration::from_millis(250);

/// Nodes up to which each one makes that pause. More of them share its rate: the first that reaches the store tells the
/// others.
const RETRY_NODES: usize = 8;

/// Key of the order in which nodes become readers.
const ORDER: &str = "reader";

/// How long ago a node's copy was known to be complete, by the word of other nodes.
///
/// Situation answered here: a node that does not read the store itself must notice within its bound that the readers
/// are dead, cut off or refused by the store, without agreeing with anyone on who they are.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    complete: Option<Time>,
}

impl Freshness {
    /// Records that this node's copy has all that one had which was complete `age` ago.
    pub fn confirm(&mut self, now: Time, age: Duration) {
        let micros = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        self.complete = self.complete.max(now.0.checked_sub(micros).map(Time));
    }

    /// Returns for how long the copy may have been incomplete, for good as long as nobody has confirmed it.
    pub fn age(&self, now: Time) -> Duration {
        self.complete
            .map_or(Duration::MAX, |complete| now.since(complete))
    }
}

/// Returns the place of `me` in the order in which `nodes` become readers, from 0.
pub fn reader_rank<'a>(me: &NodeId, nodes: impl Iterator<Item = &'a NodeId>) -> usize {
    let place = |node: &NodeId| score(ORDER, node.as_str());
    let mine = place(me);
    nodes.filter(|node| place(node) > mine).count()
}

/// Returns whether a node reads the store itself, by its rank and the age of its copy as other nodes tell it.
pub fn reads_store(rank: usize, age: Duration) -> bool {
    let rounds = age
        .checked_sub(MAX_MIRROR_AGE)
        .map_or(0, |over| 1 + over.as_millis() / WIDEN.as_millis());
    let doublings = rounds.min(usize::BITS as u128 / 2) as u32;
    rank < READER_COUNT << doublings
}

/// Returns the shortest pause after a call that the store did not answer, for each of `nodes` live nodes.
pub fn retry_delay(nodes: usize) -> Duration {
    RETRY.mul_f64((nodes as f64 / RETRY_NODES as f64).max(1.0))
}
