//! Decision logic: no I/O, no clock, no global randomness.
//!
//! Every type here takes the current [`Time`], randomness and messages as inputs and returns what to do.
//! The node, the randomized tests and the benches drive the same code.

pub mod account;
pub mod address;
pub mod admission;
pub mod alarm;
pub mod call;
pub mod config;
pub mod crash;
pub mod entry;
mod fleet_key;
pub mod gather;
mod ids;
pub mod invariant;
pub mod lag;
pub mod leaf;
pub mod lease;
pub mod limit;
pub mod link;
pub mod lint;
pub mod member;
pub mod mirror;
pub mod once;
mod outbound;
pub mod placement;
pub mod query;
pub mod quota;
pub mod registry;
mod rendezvous;
pub mod retry;
pub mod routing;
mod stop;
mod time;

pub use self::{
    fleet_key::FleetKey,
    ids::{
        Domain, Incarnation, Instance, LeafId, NodeId, PartitionId, RequestId, ServiceName,
        ShardId, SnapshotId,
    },
    outbound::Outbound,
    rendezvous::{rank, score},
    stop::{StopPhase, StopPlan, Unfinished},
    time::{PauseDetector, Time},
};
