//! Calls to the leaves: HTTP/2 connections, their supervision and the cancellation of calls.
//!
//! The connections use `h2`, the HTTP/2 layer of hyper, without hyper's client: that client resets a cancelled
//! stream at some later time in a task of its own and has no API for pings, so it gives no way to determine when a
//! cancelled call has stopped on the leaf.

mod connection;
mod leaf;
mod pool;
mod ports;
mod wire;

pub use self::{
    pool::{BatchHandle, LeafPool, LeafState},
    ports::{PoolSettings, Ports, connect_tcp},
};
