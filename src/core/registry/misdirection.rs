use crate::core::{Instance, Time};

/// A rejection by another leaf than the one to which a call was sent.
#[derive(Clone, Copy, Debug)]
pub struct Misdirection<'a> {
    /// The leaf that the call named.
    pub target: &'a Instance,
    /// The leaf that is at the address, if the rejection names it.
    pub present: Option<&'a str>,
    /// When the call was sent.
    pub sent_at: Time,
}

impl Misdirection<'_> {
    /// Returns whether the rejection shows that a leaf is not at the address, which its entry has named since `known_since`.
    ///
    /// An entry that appeared after the call was sent may be that of a leaf which has taken over the address meanwhile.
    pub fn refutes(&self, leaf: &Instance, known_since: Time) -> bool {
        let is_other = self.present.is_some_and(|present| present != leaf.as_str());
        known_since <= self.sent_at && (leaf == self.target || is_other)
    }
}
