//! Calls to the leaves: HTTP/2 connections, their supervision, cancellation.
//!
//! The connections use `h2`, the HTTP/2 layer of hyper, without hyper's client on top: that client resets a
//! cancelled stream at some later time in a task of its own and offers no ping, so it cannot tell when a cancelled
//! call has stopped on the leaf.

mod connection;
mod leaf;
mod pool;
mod ports;
mod wire;

pub use self::{
    pool::{BatchHandle, LeafPool, LeafState},
    ports::{PoolSettings, Ports, connect_tcp},
};
