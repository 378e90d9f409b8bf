use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies the content of a request, so that it is recognised when it comes again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Returns the fingerprint of a request with these fields, the same on every node.
    ///
    /// The hash is collision-resistant, because callers choose the fields and a collision would affect another caller.
    pub fn of_fields<'a>(fields: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hasher = blake3::Hasher::new();
        for field in fields {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        let mut bytes = [0; 16];
        hasher.finalize_xof().fill(&mut bytes);
        Self(u128::from_le_bytes(bytes))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
