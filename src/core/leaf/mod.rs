//! Load control of one leaf by the node that holds the lease of the leaf's partition.

mod control;
mod latency;

pub use self::{
    control::{Cancelled, LeafAction, LeafControl, MAX_CALL_TIME},
    latency::LatencyWindow,
};

use std::time::Duration;

use crate::core::Time;

/// Identifies one call within a [`LeafControl`]; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(pub u64);

/// A call that waits to be dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    pub id: TicketId,
    /// Time by which the query needs the result of this call.
    pub deadline: Time,
    /// Must run with no other call in flight on the leaf.
    pub alone: bool,
}

/// The result of a dispatched call, as needed for the load control of the leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// A usable answer arrived.
    Answered {
        /// The leaf marked itself as cold.
        cold: bool,
        /// Hash of the instance id in the answer.
        instance: u64,
    },
    /// The leaf rejected the call explicitly; nothing ran.
    Shed,
    /// The leaf does not serve the snapshot; nothing ran.
    WrongSnapshot,
    /// The leaf finished the call with an invalid answer.
    BadAnswer,
    /// No byte of the call was written to the socket.
    NotSent,
    /// The call was cancelled and has certainly stopped on the leaf.
    Stopped,
    /// The connection broke or stopped responding. The call counts as in flight until the leaf has certainly
    /// stopped it.
    Lost,
}

/// Settings of a [`LeafControl`], the same for all leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeafSettings {
    /// Successful calls at one level of the cold ramp before the limit increases.
    pub ramp_successes: u32,
    /// Time without an answer after which a leaf is treated as cold.
    pub idle_timeout: Duration,
    /// Queued calls allowed per slot.
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
