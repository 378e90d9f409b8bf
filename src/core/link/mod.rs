//! A node's link to the leaves, and what the node does while it is down.
//!
//! Designed for nodes that lose their way to all leaves for seconds while callers, the store and the other nodes still
//! reach them. Such a node blames no leaf, tells the other nodes, and hands its requests to one of them.

mod helpers;
mod monitor;

pub use self::{
    helpers::{Handover, Helper, HelperLoad},
    monitor::{LinkCheck, LinkMonitor, LinkState},
};
