use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::core::account::RateLimit;

/// Maximum number of accounts in a message. An entry takes at most 38 bytes, so that a message takes at most 1,130 of the
/// 1,200 bytes of a datagram.
pub const MAX_ENTRIES: usize = 28;

/// Returns the id of an account in messages.
pub fn account_id(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// A message about quotas between two nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Report {
    Ask(Ask),
    Grant(Grant),
    Return(Return),
}

/// Reports a node's demand and asks a holder for tokens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// Time of the asking node, microseconds; differs between its messages.
    pub stamp: u64,
    /// Whether the holder also lends the tokens that it keeps for requests of its own callers.
    pub deep: bool,
    pub entries: Vec<AskEntry>,
}

/// The part of an [`Ask`] about one account.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AskEntry {
    pub account: u64,
    pub per_s: f64,
    pub burst: f64,
    /// Requests per second at the asking node.
    pub demand: f32,
    /// Tokens asked for.
    pub tokens: f32,
    /// Tokens that the asking node lacks to a whole one.
    pub missing: f32,
}

impl AskEntry {
    /// Returns the limit, `None` if its numbers make no sense.
    pub(super) fn limit(&self) -> Option<RateLimit> {
        let is_valid = |number: f64| number.is_finite() && number >= 0.0;
        let numbers = [
            self.per_s,
            self.burst,
            self.demand.into(),
            self.tokens.into(),
            self.missing.into(),
        ];
        numbers.into_iter().all(is_valid).then_some(RateLimit {
            per_s: self.per_s,
            burst: self.burst,
        })
    }
}

/// Tokens that a holder lends in response to an [`Ask`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Stamp of the message that asked for them.
    pub stamp: u64,
    /// Stamp of this message; differs between a holder's messages.
    pub lent: u64,
    pub entries: Vec<GrantEntry>,
}

/// Tokens of a [`Grant`] that are not needed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Return {
    /// Stamp of the message that lent them.
    pub lent: u64,
    pub entries: Vec<GrantEntry>,
}

/// The part of a [`Grant`] or a [`Return`] about one account.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantEntry {
    pub account: u64,
    pub tokens: f32,
}
