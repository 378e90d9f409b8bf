//! Client library for callers.
//!
//! [`Client`] discovers the nodes through any seed address and fails over between them within one deadline. Requests
//! that must run at most once are sent under a key.

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
