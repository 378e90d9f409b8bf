//! The process that callers connect to on the users' platform: takes requests, sends them to leafs and answers.
//!
//! One thread runs everything, since a node has a fraction of one core. Decisions are made in [`crate::core`]; this
//! module carries them out.

mod calls;
mod directory;
mod dispatch;
mod feed;
mod fleet;
mod ingress;
mod journal;
mod members;
mod news;
mod routes;
mod settings;
mod state;
mod stop;

pub use self::{
    journal::start_logging,
    settings::{Bounds, Listen, Settings},
    state::run,
};
