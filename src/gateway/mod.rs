//! The gateway process of the users' platform: accepts requests of callers, sends them to leaves and returns the
//! answers.
//!
//! Everything runs on one thread, since a node has a fraction of one core. Decisions are made in [`crate::core`]; this
//! module performs the I/O.

mod admission;
mod authentication;
mod calls;
mod claims;
mod connections;
mod crashes;
mod crossing;
mod directory;
mod dispatch;
mod entry;
mod handover;
mod inbound;
mod ingress;
mod leaf;
mod limits;
mod link;
mod logging;
mod members;
mod mirror;
mod quota;
mod routes;
mod settings;
mod state;
mod stop;
mod sync;
mod upstreams;

pub use self::{
    logging::{LogFlush, start_logging},
    settings::{Bounds, Listen, Settings},
    state::run,
};
