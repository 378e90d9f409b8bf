use std::fmt;

use serde::{Deserialize, Serialize};

/// A point in the history of the store. Positions are ordered by era, then by revision.
///
/// A restore from a copy starts a new era: the store loses its latest changes and gives their revisions out again, so
/// revisions of different eras cannot be compared.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    pub era: u64,
    pub revision: u64,
}

impl Position {
    /// Creates a position.
    pub fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Returns whether this is the position of a mirror that has read nothing yet.
    pub fn is_start(self) -> bool {
        self == Self::default()
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.revision)
    }
}
