//! Decisions for one leaf, taken by the node that holds the lease of its partition.

mod control;
mod latency;

pub use self::{
    control::{Cancelled, LeafAction, LeafControl, MAX_CALL_TIME},
    latency::LatencyWindow,
};

use std::time::Duration;

use crate::core::Time;

/// Names one call within a [`LeafControl`]; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(pub u64);

/// A call that waits for its dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    pub id: TicketId,
    /// End of the query's time for this call.
    pub deadline: Time,
    /// Must run with no other call in flight on the leaf.
    pub alone: bool,
}

/// How a dispatched call ended, as far as the leaf's load is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// A usable answer arrived.
    Answered {
        /// The leaf marked itself as cold.
        cold: bool,
        /// Hash of the instance id in the answer.
        instance: u64,
    },
    /// The leaf refused explicitly; nothing ran.
    Shed,
    /// The leaf does not serve the snapshot; nothing ran.
    WrongSnapshot,
    /// The leaf finished the call with an unusable answer.
    BadAnswer,
    /// No byte of the call reached the socket.
    NotSent,
    /// A cancelled call is certain to have stopped on the leaf.
    Stopped,
    /// The connection broke or went silent: the call counts as in flight until the deadline told to the leaf.
    Lost,
}

/// Limits that are the same for all leaves; tests shorten them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeafSettings {
    /// Successes at one level of the cold ramp before the limit grows.
    pub ramp_successes: u32,
    /// Time without an answer after which a leaf is treated as cold.
    pub idle_timeout: Duration,
    /// Queue places per slot.
    pub queue_factor: u16,
}

impl Default for LeafSettings {
    fn default() -> Self {
        Self {
            ramp_successes: 16,
            idle_timeout: Duration::from_secs(30),
            queue_factor: 4,
        }
    }
}
