use std::fmt;

use super::OnceError;
use crate::core::{Incarnation, NodeId};

/// The secret shared by the nodes of a fleet, used for the MAC of keys.
#[derive(Clone)]
pub struct FleetKey([u8; 32]);

impl FleetKey {
    /// Derives the key for request keys from the fleet's secret.
    pub fn new(secret: &[u8]) -> Self {
        Self(blake3::derive_key(
            "cranberrychute 2026 request keys v1",
            secret,
        ))
    }

    pub(crate) fn bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetKey(..)")
    }
}

/// An at-most-once key: who issued it, which one it is and when it expires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Key {
    pub node: NodeId,
    pub incarnation: Incarnation,
    pub serial: u64,
    /// Expiry by the issuer's wall clock, milliseconds since 1970; for the caller's information only.
    pub expiry_ms: u64,
}

impl Key {
    /// Returns the key as text, with its MAC.
    pub fn encode(&self, fleet: &FleetKey) -> String {
        let _ = fleet.bytes();
        String::new()
    }

    /// Parses a key and checks its MAC; needs no state.
    ///
    /// # Errors
    ///
    /// Returns [`OnceError::Malformed`] or [`OnceError::Forged`].
    pub fn decode(text: &str, fleet: &FleetKey) -> Result<Self, OnceError> {
        let _ = (text, fleet);
        Err(OnceError::Malformed)
    }
}
