//! Decision logic: no I/O, no clock, no global randomness.
//!
//! Every type here takes the current [`Time`], randomness and messages as inputs and returns what to do.
//! The node, the randomized tests and the benches drive the same code.

pub mod address;
pub mod alarm;
pub mod call;
pub mod config;
pub mod crash;
mod fleet_key;
mod ids;
pub mod invariant;
pub mod leaf;
pub mod lease;
pub mod member;
pub mod once;
mod outbound;
pub mod query;
mod rendezvous;
mod time;

pub use self::{
    fleet_key::FleetKey,
    ids::{
        Domain, Incarnation, LeafId, NodeId, PartitionId, RequestId, ServiceName, ShardId,
        SnapshotId,
    },
    outbound::Outbound,
    rendezvous::{rank, score},
    time::{PauseDetector, Time},
};
