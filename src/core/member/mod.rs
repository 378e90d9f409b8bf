//! Membership in the style of SWIM: which nodes are alive, at a constant cost per node.
//!
//! Membership is a hint. It decides who asks for a lease and where messages go, never who may act.

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
