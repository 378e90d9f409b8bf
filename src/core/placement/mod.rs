//! Selection of the leaf for a call.
//!
//! Each node selects leaves independently, from its own calls and from the load that leaves report with their
//! answers. Designed for leaves of different speed that pause briefly at independent times, and some of which are
//! slow, fail, shed calls or do not answer for seconds.

mod connection;
mod contention;
mod idle_limit;
mod leaf_stats;
mod pick;
mod share;

pub use self::{
    connection::{CarriedRequests, ConnectionChoice, RequestKey, choose_connection},
    contention::Contention,
    idle_limit::{IdleLimit, MIN_IDLE_TIME},
    leaf_stats::{CallToken, LeafLoad, LeafStats, Outcome},
    pick::{Candidate, pick},
    share::{
        ConnectionShare, STALE_CONNECTION_TIME, connecting_nodes, connection_share, planned_nodes,
    },
};
