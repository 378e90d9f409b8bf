//! Calls to the leaves: HTTP/2 connections, their supervision, cancellation.

mod pool;
mod ports;

pub use self::{
    pool::{BatchHandle, LeafPool, LeafState},
    ports::{PoolSettings, Ports, connect_tcp},
};
