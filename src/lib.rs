//! A query tier between callers and back ends that hold many shards.
//!
//! [`core`] contains the decision logic and does no I/O. [`adapter`] does the I/O, and [`node`] combines both into the
//! process that runs on an entry VM. [`gateway`] is the process for the users' platform. Names that are specific to
//! that platform occur only in [`platform`], a separate folder next to `src`. `docs/design.md` explains the structure.

pub mod adapter;
pub mod build;
pub mod cli;
pub mod client;
pub mod core;
pub mod gateway;
pub mod node;
#[path = "../platform/mod.rs"]
pub mod platform;
pub mod questionnaire;
