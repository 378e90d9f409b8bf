use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The reason why a key is not issued or not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
pub enum OnceError {
    #[error("the node's key table is full; ask another node for a key")]
    Full,
    #[error("the node is leaving and issues no keys; ask another node for a key")]
    Leaving,
    #[error("the key is malformed; pass it exactly as it was issued")]
    Malformed,
    #[error("the key was not issued by this fleet; obtain a key with POST /v1/keys")]
    Forged,
    #[error("the key has expired; a request sent with it earlier may have run")]
    Expired,
    #[error("the key was used with another body; use one key for each request")]
    BodyMismatch,
}

impl OnceError {
    /// Returns whether the rejection may say "not run".
    ///
    /// This holds only if no key was issued: an earlier copy of a request with an unusable key may have run.
    pub fn not_run(self) -> bool {
        matches!(self, OnceError::Full | OnceError::Leaving)
    }
}
