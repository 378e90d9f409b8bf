//! A query tier between callers and back ends that hold many shards.
//!
//! [`core`] holds the decisions and does no I/O, [`adapter`] meets the outside, [`node`] wires both into
//! the process that runs on an entry VM. [`gateway`] is the process for the users' platform, whose names only
//! [`platform`], a folder of its own beside `src`, knows. `docs/design.md` explains the structure.

pub mod adapter;
pub mod cli;
pub mod client;
pub mod core;
pub mod gateway;
pub mod node;
#[path = "../platform/mod.rs"]
pub mod platform;
pub mod questionnaire;
