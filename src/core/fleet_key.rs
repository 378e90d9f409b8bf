use std::fmt;

/// A secret shared by all nodes of a fleet. Its `Debug` output hides the bytes.
#[derive(Clone, PartialEq, Eq)]
pub struct FleetKey([u8; 32]);

impl FleetKey {
    /// Creates a key from its raw bytes.
    pub fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Derives the subkey for `purpose`, so that a MAC made for one purpose is not valid for another.
    pub fn derive(&self, purpose: &str) -> Self {
        Self(blake3::derive_key(purpose, &self.0))
    }

    /// Returns the MAC of `bytes`. Two MACs compare in constant time.
    pub fn mac(&self, bytes: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, bytes)
    }

    /// Returns a hasher for a MAC over several parts.
    pub fn hasher(&self) -> blake3::Hasher {
        blake3::Hasher::new_keyed(&self.0)
    }
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetKey(hidden)")
    }
}
