//! The process that callers connect to on the users' platform: takes requests, sends them to leafs and answers.
//!
//! One thread runs everything, since a node has a fraction of one core. Decisions are made in [`crate::core`]; this
//! module carries them out.

mod calls;
mod directory;
mod dispatch;
mod ingress;
mod logging;
mod members;
mod mirror;
mod routes;
mod settings;
mod state;
mod stop;
mod sync;
mod upstreams;

pub use self::{
    logging::start_logging,
    settings::{Bounds, Listen, Settings},
    state::run,
};
