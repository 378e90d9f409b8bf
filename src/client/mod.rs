//! The library for callers.
//!
//! [`Client`] finds the nodes from any seed address, fails over between them within one deadline, and sends
//! requests that must run at most once under a key.

mod answer;
mod builder;
mod directory;
mod error;
mod http;
mod requests;

pub use self::{
    answer::{Answer, Coverage, MissingShard, OnceAnswer},
    builder::ClientBuilder,
    error::{ClientError, ErrorKind, Step},
    requests::{Client, Key, Query},
};
