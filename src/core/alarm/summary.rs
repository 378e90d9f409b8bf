use serde::{Deserialize, Serialize};

use super::Cause;

/// Time without a sight after which a cause counts as healed, milliseconds. A sight reaches all of 2,800 nodes in
/// about 15 s, so that a cause which persists stays active everywhere.
pub(super) const CLEAR_MS: u32 = 60_000;
/// Smallest difference at which another node's last sight is newer. Without it the age would shrink by the
/// transit time at each hop, and a healed cause would stay active.
const SEEN_TOLERANCE_MS: u32 = 2_000;
/// The same for the time of sending, which differs by hours between two alarms for one cause.
const SENT_TOLERANCE_MS: u32 = 30_000;

/// What a node knows about one cause, as it is sent to others. At most 90 bytes encoded with postcard.
///
/// Times are ages, because the clocks of two nodes are not comparable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AlarmSummary {
    pub cause: Cause,
    /// Age of the first sight, milliseconds.
    pub since: u32,
    /// Age of the last sight by any node, milliseconds.
    pub seen: u32,
    /// Largest share of bad answers seen by a node, in thousandths.
    pub share: u16,
    /// Age of the last alarm or report that was delivered, milliseconds.
    pub sent: Option<u32>,
    /// Quiet hours hold an alarm back.
    pub held: bool,
}

impl AlarmSummary {
    /// Returns whether some node sees the cause now.
    pub(super) fn is_active(&self) -> bool {
        self.seen < CLEAR_MS
    }

    /// Adds what `other` knows about the same cause at the same moment. The order of merges does not matter but
    /// for the tolerances.
    pub fn merge(&mut self, other: &Self) {
        debug_assert_eq!(self.cause, other.cause, "one entry per cause");
        let (fresh, stale) = match other.seen < self.seen {
            true => (other, &*self),
            false => (&*self, other),
        };
        let again = fresh.is_active() && !stale.is_active() && !stale.held;
        let (since, share) = match again {
            true => (fresh.since, fresh.share),
            false => (fresh.since.max(stale.since), fresh.share.max(stale.share)),
        };
        let newer = |a: Option<u32>, b: Option<u32>| match (a, b) {
            (Some(a), Some(b)) => a.saturating_add(SENT_TOLERANCE_MS) < b,
            (Some(_), None) => true,
            (None, _) => false,
        };
        // Whoever knows of a later delivery also knows what was held back after it.
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
