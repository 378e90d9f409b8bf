//! Which leaf gets a call.
//!
//! Each node decides by itself, from its own calls and from the load that leafs report with their answers. Load
//! pattern answered here: leafs of unequal speed that pause for a moment each at its own time, some of them slow,
//! failing, shedding or silent for seconds.

mod contention;
mod gauge;
mod pick;
mod rest;
mod share;

pub use self::{
    contention::Contention,
    gauge::{CallToken, Gauge, LeafLoad, Outcome},
    pick::{Candidate, pick},
    rest::{LEAST_REST, RestLimit},
    share::{
        ConnectionShare, OLD_CONNECTIONS, cold_share, connected_nodes, connection_share,
        planned_nodes,
    },
};
