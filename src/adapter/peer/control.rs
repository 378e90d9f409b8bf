use std::{
    io,
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::net::UdpSocket;

use crate::core::{FleetKey, Incarnation, NodeId};

/// Maximum size of a datagram, bytes. With all headers it fits the minimum path MTU of IPv6, 1,280 bytes.
const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Length of the MAC at the start of each datagram, bytes. 128 bits cannot be guessed over the network.
const MAC_BYTES: usize = 16;

/// Key derivation context, which separates these messages from other uses of the fleet key.
const KEY_CONTEXT: &str = "cranberrychute 2026 control message";

/// Why a control message was not sent.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The message exceeds one datagram and cannot be split further.
    #[error("control message to {to} takes {size} bytes but at most {limit} fit in a datagram")]
    TooLarge {
        to: SocketAddr,
        size: usize,
        limit: usize,
    },
    /// The message cannot be encoded.
    #[error("control message to {to} cannot be encoded")]
    Encode {
        to: SocketAddr,
        source: postcard::Error,
    },
    /// The socket failed.
    #[error("control message to {to} could not be sent")]
    Send { to: SocketAddr, source: io::Error },
}

/// A received control message with a valid MAC.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Incoming<M> {
    pub from: NodeId,
    pub incarnation: Incarnation,
    pub address: SocketAddr,
    pub message: M,
}

#[derive(Serialize, Deserialize)]
struct Envelope<M> {
    from: NodeId,
    incarnation: Incarnation,
    message: M,
}

/// The UDP socket for control messages.
#[derive(Debug)]
pub struct ControlSocket {
    socket: UdpSocket,
    node: NodeId,
    incarnation: Incarnation,
    key: FleetKey,
    dropped: AtomicU64,
}

impl ControlSocket {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        node: NodeId,
        incarnation: Incarnation,
        key: &FleetKey,
    ) -> io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::bind(address).await?,
            node,
            incarnation,
            key: key.derive(KEY_CONTEXT),
            dropped: AtomicU64::new(0),
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

    /// Sends a message in one datagram. A message that is too large is divided by `split`, such as
    /// [`LeaseMessage::split`](crate::core::lease::LeaseMessage::split), and sent in several datagrams. Pass `Err`
    /// for messages that cannot be split.
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
        let mut parts = vec![message];
        while let Some(part) = parts.pop() {
            let (part, datagram) = self.encode(to, part)?;
            if datagram.len() > MAX_DATAGRAM_BYTES {
                let (first, second) = split(part).map_err(|_| ControlError::TooLarge {
                    to,
                    size: datagram.len(),
                    limit: MAX_DATAGRAM_BYTES,
                })?;
                parts.extend([second, first]);
                continue;
            }
            let sent = self.socket.send_to(&datagram, to).await;
            sent.map_err(|source| ControlError::Send { to, source })?;
        }
        Ok(())
    }

    /// Waits for the next message with a valid MAC. Other datagrams are dropped and counted in
    /// `cranberrychute_control_dropped_total{reason=...}`. Cancelling the call loses no message.
    ///
    /// # Errors
    ///
    /// Fails if the socket fails.
    pub async fn receive<M: DeserializeOwned>(&self) -> io::Result<Incoming<M>> {
        // One byte more than the limit, so that an oversized datagram is detected.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let (length, address) = self.socket.recv_from(&mut buffer).await?;
            match self.decode(&buffer[..length]) {
                Ok(Envelope {
                    from,
                    incarnation,
                    message,
                }) => {
                    return Ok(Incoming {
                        from,
                        incarnation,
                        address,
                        message,
                    });
                }
                Err(reason) => {
                    self.dropped.fetch_add(1, Ordering::Relaxed);
                    metrics::counter!("cranberrychute_control_dropped_total", "reason" => reason)
                        .increment(1);
                    log::debug!(address:% = address, reason; "control datagram dropped");
                }
            }
        }
    }

    /// Returns the number of datagrams dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn encode<M: Serialize>(
        &self,
        to: SocketAddr,
        message: M,
    ) -> Result<(M, Vec<u8>), ControlError> {
        let envelope = Envelope {
            from: self.node.clone(),
            incarnation: self.incarnation,
            message,
        };
        let datagram = vec![0; MAC_BYTES];
        let mut datagram = postcard::to_extend(&envelope, datagram)
            .map_err(|source| ControlError::Encode { to, source })?;
        let (mac, body) = datagram.split_at_mut(MAC_BYTES);
        mac.copy_from_slice(&self.mac(body));
        Ok((envelope.message, datagram))
    }

    fn decode<M: DeserializeOwned>(&self, datagram: &[u8]) -> Result<Envelope<M>, &'static str> {
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return Err("too_long");
        }
        let (mac, body) = datagram
            .split_first_chunk::<MAC_BYTES>()
            .ok_or("too_short")?;
        if !constant_time_eq(mac, &self.mac(body)) {
            return Err("mac");
        }
        match postcard::take_from_bytes(body) {
            Ok((envelope, [])) => Ok(envelope),
            Ok(_) | Err(_) => Err("encoding"),
        }
    }

    fn mac(&self, body: &[u8]) -> [u8; MAC_BYTES] {
        let mac = self.key.mac(body);
        std::array::from_fn(|index| mac.as_bytes()[index])
    }
}

/// Compares in constant time, so that the duration does not reveal the position of the first difference.
fn constant_time_eq(a: &[u8; MAC_BYTES], b: &[u8; MAC_BYTES]) -> bool {
    std::hint::black_box(a.iter().zip(b).fold(0, |all, (a, b)| all | (a ^ b))) == 0
}
