use base64::{Engine, prelude::BASE64_URL_SAFE_NO_PAD};

use super::OnceError;
use crate::core::{FleetKey, Incarnation, NodeId};

/// Key derivation context: separates the MACs of request keys from other uses of the fleet key.
const KEY_CONTEXT: &str = "cranberrychute 2026 request keys v1";
/// Version of the key layout, the first byte of a key.
const LAYOUT_VERSION: u8 = 1;
/// Length of the MAC in bytes. 128 bits cannot be guessed within the 30 s lifetime of a key.
const MAC_BYTES: usize = 16;
/// Length of the fixed fields in bytes: version, incarnation, serial number and expiry.
const FIXED_BYTES: usize = 1 + 3 * 8;
/// Maximum length of an accepted key text in bytes, so that an oversized key is rejected before it is decoded.
const MAX_TEXT_BYTES: usize = 512;

/// An at-most-once key: the node that issued it, its serial number and its expiry.
///
/// The text form is the base64url encoding of a version byte, the incarnation, the serial number and the expiry
/// (big-endian), the name of the node, and a keyed BLAKE3 MAC over all of these.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Key {
    pub node: NodeId,
    pub incarnation: Incarnation,
    pub serial: u64,
    /// Expiry on the issuer's wall clock, in milliseconds since 1970; only informs the caller.
    pub expiry_ms: u64,
}

impl Key {
    /// Encodes the key as text, with its MAC.
    pub fn encode(&self, fleet_key: &FleetKey) -> String {
        let name = self.node.as_str().as_bytes();
        let mut bytes = Vec::with_capacity(FIXED_BYTES + name.len() + MAC_BYTES);
        bytes.push(LAYOUT_VERSION);
        for number in [self.incarnation.0, self.serial, self.expiry_ms] {
            bytes.extend_from_slice(&number.to_be_bytes());
        }
        bytes.extend_from_slice(name);
        let mac = fleet_key.derive(KEY_CONTEXT).mac(&bytes);
        bytes.extend_from_slice(&mac.as_bytes()[..MAC_BYTES]);
        BASE64_URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Parses a key and verifies its MAC, without any stored state.
    ///
    /// # Errors
    ///
    /// Returns [`OnceError::Malformed`] if `text` is not a key and [`OnceError::Forged`] if its MAC was not made
    /// with the fleet key.
    pub fn decode(text: &str, fleet_key: &FleetKey) -> Result<Self, OnceError> {
        if text.len() > MAX_TEXT_BYTES {
            return Err(OnceError::Malformed);
        }
        let bytes = BASE64_URL_SAFE_NO_PAD
            .decode(text)
            .map_err(|_| OnceError::Malformed)?;
        if bytes.len() <= FIXED_BYTES + MAC_BYTES || bytes[0] != LAYOUT_VERSION {
            return Err(OnceError::Malformed);
        }
        let (body, mac) = bytes.split_at(bytes.len() - MAC_BYTES);
        if !constant_time_eq(
            &fleet_key.derive(KEY_CONTEXT).mac(body).as_bytes()[..MAC_BYTES],
            mac,
        ) {
            return Err(OnceError::Forged);
        }
        let read_u64 = |at: usize| {
            let mut bytes = [0; 8];
            bytes.copy_from_slice(&body[at..at + 8]);
            u64::from_be_bytes(bytes)
        };
        let name = str::from_utf8(&body[FIXED_BYTES..]).map_err(|_| OnceError::Malformed)?;
        Ok(Self {
            node: name.into(),
            incarnation: Incarnation(read_u64(1)),
            serial: read_u64(9),
            expiry_ms: read_u64(17),
        })
    }
}

/// Compares two MACs in a time that does not depend on the position of the first difference.
fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |diff, (a, b)| diff | (a ^ b)) == 0
}
