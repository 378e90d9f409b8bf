//! SWIM-style membership: which nodes are alive, at a constant cost per node.
//!
//! Membership is only a hint. It decides which nodes request leases and where messages are sent, never which node may
//! act on a partition.

mod membership;
mod message;
mod rumors;
mod settings;
mod state;

pub use self::{
    membership::Membership,
    message::{Liveness, MemberMessage, Probe, Rumor},
    settings::MemberSettings,
};
