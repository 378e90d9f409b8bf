use base64::{Engine, prelude::BASE64_URL_SAFE_NO_PAD};

use super::OnceError;
use crate::core::{FleetKey, Incarnation, NodeId};

/// Separates the MACs of request keys from other uses of the fleet key.
const PURPOSE: &str = "cranberrychute 2026 request keys v1";
/// First byte of a key, the version of its layout.
const VERSION: u8 = 1;
/// Bytes of the MAC. 128 bits can't be guessed within the 30 s that a key lives.
const MAC_BYTES: usize = 16;
/// Version, incarnation, serial and expiry.
const FIXED_BYTES: usize = 1 + 3 * 8;
/// Longest key text accepted, so that a hostile one costs nothing to refuse.
const MOST_TEXT: usize = 512;

/// An at-most-once key: who issued it, which one it is and when it expires.
///
/// As text it is base64url of a version byte, the incarnation, the serial number and the expiry (big
/// endian), the name of the node, and a keyed BLAKE3 MAC over all of it.
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
        let name = self.node.as_str().as_bytes();
        let mut bytes = Vec::with_capacity(FIXED_BYTES + name.len() + MAC_BYTES);
        bytes.push(VERSION);
        for number in [self.incarnation.0, self.serial, self.expiry_ms] {
            bytes.extend_from_slice(&number.to_be_bytes());
        }
        bytes.extend_from_slice(name);
        let mac = fleet.derive(PURPOSE).mac(&bytes);
        bytes.extend_from_slice(&mac.as_bytes()[..MAC_BYTES]);
        BASE64_URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Parses a key and checks its MAC; needs no state.
    ///
    /// # Errors
    ///
    /// Returns [`OnceError::Malformed`] for a text that is no key at all and [`OnceError::Forged`] for one
    /// whose MAC is not the fleet's.
    pub fn decode(text: &str, fleet: &FleetKey) -> Result<Self, OnceError> {
        if text.len() > MOST_TEXT {
            return Err(OnceError::Malformed);
        }
        let bytes = BASE64_URL_SAFE_NO_PAD
            .decode(text)
            .map_err(|_| OnceError::Malformed)?;
        if bytes.len() <= FIXED_BYTES + MAC_BYTES || bytes[0] != VERSION {
            return Err(OnceError::Malformed);
        }
        let (body, mac) = bytes.split_at(bytes.len() - MAC_BYTES);
        if !same(
            &fleet.derive(PURPOSE).mac(body).as_bytes()[..MAC_BYTES],
            mac,
        ) {
            return Err(OnceError::Forged);
        }
        let number = |at: usize| {
            let mut number = [0; 8];
            number.copy_from_slice(&body[at..at + 8]);
            u64::from_be_bytes(number)
        };
        let name = str::from_utf8(&body[FIXED_BYTES..]).map_err(|_| OnceError::Malformed)?;
        Ok(Self {
            node: name.into(),
            incarnation: Incarnation(number(1)),
            serial: number(9),
            expiry_ms: number(17),
        })
    }
}

/// Compares in a time that does not depend on where the first difference is.
fn same(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |all, (a, b)| all | (a ^ b)) == 0
}
