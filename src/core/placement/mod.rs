//! Selection of the leaf for a call.
//!
//! Each node selects leaves independently, from its own calls and from the load that leaves report with their
//! answers. Designed for leaves of different speed that pause briefly at independent times, and some of which are
//! slow, fail, shed calls or do not answer for seconds.

mod connection;
mod contention;
mod crossing;
mod idle_limit;
mod leaf_stats;
mod machine_speed;
mod pick;
mod share;

pub use self::{
    connection::{CarriedRequests, ConnectionChoice, RequestKey, choose_connection},
    contention::Contention,
    crossing::{CrossReason, Crossing, CrossingQuery, Decision, Placement, ShareChange},
    idle_limit::{IdleLimit, MIN_IDLE_TIME},
    leaf_stats::{CallToken, Estimate, LeafLoad, LeafStats, Outcome},
    pick::{Candidate, Choice, pick},
    share::{
        ConnectionShare, STALE_CONNECTION_TIME, connecting_nodes, connection_share,
        own_domain_first, planned_nodes,
    },
};
