//! Messages between nodes: leaf batches and documents over QUIC, control messages over UDP.

mod quic;

pub use self::quic::{
    Identity, OnceForward, OnceReply, PeerError, PeerHandler, PeerStep, PeerTransport,
};
