use serde::{Deserialize, Serialize};

use super::Cause;

/// Time without an observation after which a cause counts as healed. An observation spreads to all of 2,800 nodes in
/// about 15 s, so a persistent cause stays active on every node.
pub(super) const CLEAR_TIMEOUT_MS: u32 = 60_000;
/// Minimum age difference for the last observation of another node to count as newer. Without it the age would shrink
/// by the transit time with each hop, and a healed cause would stay active.
const SEEN_TOLERANCE_MS: u32 = 2_000;
/// Minimum age difference for a delivery to count as later; two alarms for one cause are hours apart.
const SENT_TOLERANCE_MS: u32 = 30_000;

/// The state of a cause as gossiped between nodes; at most 90 bytes when encoded with postcard.
///
/// Times are sent as ages because the clocks of different nodes are not comparable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AlarmSummary {
    pub cause: Cause,
    /// Age of the first observation, milliseconds.
    pub since: u32,
    /// Age of the last observation by any node, milliseconds.
    pub seen: u32,
    /// Largest share of bad answers observed by a single node, in thousandths.
    pub share: u16,
    /// Age of the last delivered alarm or report, milliseconds.
    pub sent: Option<u32>,
    /// An alarm is held back until the end of the quiet hours.
    pub held: bool,
}

impl AlarmSummary {
    /// Returns whether some node has observed the cause recently.
    pub(super) fn is_active(&self) -> bool {
        self.seen < CLEAR_TIMEOUT_MS
    }

    /// Merges another summary of the same cause whose ages refer to the same point in time. Apart from the tolerances,
    /// the order of merges does not matter.
    pub fn merge(&mut self, other: &Self) {
        debug_assert_eq!(self.cause, other.cause, "summaries of different causes");
        let (later, earlier) = match other.seen < self.seen {
            true => (other, &*self),
            false => (&*self, other),
        };
        let recurred = later.is_active() && !earlier.is_active() && !earlier.held;
        let (since, share) = match recurred {
            true => (later.since, later.share),
            false => (
                later.since.max(earlier.since),
                later.share.max(earlier.share),
            ),
        };
        let newer = |a: Option<u32>, b: Option<u32>| match (a, b) {
            (Some(a), Some(b)) => a.saturating_add(SENT_TOLERANCE_MS) < b,
            (Some(_), None) => true,
            (None, _) => false,
        };
        // The summary with the later delivery also has the more recent `held` state.
        if newer(other.sent, self.sent) {
            (self.sent, self.held) = (other.sent, other.held);
        } else if !newer(self.sent, other.sent) {
            self.held |= other.held;
        }
        if other.seen.saturating_add(SEEN_TOLERANCE_MS) < self.seen {
            self.seen = other.seen;
        }
        (self.since, self.share) = (since, share);
    }
}
