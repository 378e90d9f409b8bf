//! Which leaf gets a call.
//!
//! Each node decides by itself, from its own calls and from the load that leafs report with their answers. Load
//! pattern answered here: leafs of unequal speed that pause for a moment each at its own time, some of them slow,
//! failing, shedding or silent for seconds.

mod contention;
mod idle_limit;
mod leaf_stats;
mod pick;
mod share;

pub use self::{
    contention::Contention,
    idle_limit::{IdleLimit, MIN_IDLE_TIME},
    leaf_stats::{CallToken, LeafLoad, LeafStats, Outcome},
    pick::{Candidate, pick},
    share::{
        ConnectionShare, STALE_CONNECTION_TIME, cold_share, connecting_nodes, connection_share,
        planned_nodes,
    },
};
