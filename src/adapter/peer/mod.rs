//! Messages between nodes: leaf batches and documents over QUIC, control messages over UDP.

mod control;
mod quic;
mod tls;

pub use self::{
    control::{ControlError, ControlSocket, Incoming},
    quic::{Identity, OnceForward, OnceReply, PeerError, PeerHandler, PeerStep, PeerTransport},
};
