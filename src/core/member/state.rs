use smallvec::SmallVec;

use crate::core::{
    Incarnation, NodeId, Time,
    member::{Liveness, Rumor},
};

/// Number of past incarnations of a node that are remembered, so that their late messages do not revive them.
const MAX_PAST_INCARNATIONS: usize = 4;

/// The state of another node, as known to this node.
#[derive(Debug)]
pub(crate) struct Member {
    /// `None` until a message from or about the node arrives.
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) refutation: u32,
    pub(crate) liveness: Liveness,
    /// When `liveness` last changed.
    pub(crate) liveness_since: Time,
    /// Time of the last contact with the node, direct or through another node.
    pub(crate) last_seen: Option<Time>,
    pub(crate) listed: bool,
    past_incarnations: SmallVec<[Incarnation; MAX_PAST_INCARNATIONS]>,
}

impl Member {
    pub(crate) fn new(now: Time, listed: bool) -> Self {
        Self {
            incarnation: None,
            refutation: 0,
            liveness: Liveness::Alive,
            liveness_since: now,
            last_seen: None,
            listed,
            past_incarnations: SmallVec::new(),
        }
    }

    /// Applies what the node reports about itself. Returns whether other nodes must be notified of a change.
    ///
    /// A suspected or dead node becomes alive only with a new incarnation or a higher refutation number, because the
    /// message may have been sent before the suspicion arose. Incarnations have no order and messages may be late, so
    /// an incarnation that counts as alive is replaced only if the message is proven to be recent.
    pub(crate) fn update_from_self(
        &mut self,
        now: Time,
        incarnation: Incarnation,
        refutation: u32,
        proven_recent: bool,
    ) -> bool {
        if self.incarnation == Some(incarnation) {
            self.last_seen = Some(now);
            let changed = refutation > self.refutation;
            if changed {
                self.refutation = refutation;
                self.set_liveness(now, Liveness::Alive);
            }
            return changed;
        }
        let unknown = !self.past_incarnations.contains(&incarnation);
        let replaceable = self.incarnation.is_none() || self.liveness != Liveness::Alive;
        let changed = proven_recent || (unknown && replaceable);
        if changed {
            self.last_seen = Some(now);
            self.set_incarnation(now, incarnation, refutation, Liveness::Alive);
        }
        changed
    }

    /// Applies what another node reports about the node. Returns whether the state changed.
    pub(crate) fn apply_rumor(&mut self, now: Time, rumor: &Rumor) -> bool {
        if self.past_incarnations.contains(&rumor.incarnation) {
            return false;
        }
        if self.incarnation == Some(rumor.incarnation) {
            let changed = (rumor.refutation, rumor.liveness) > (self.refutation, self.liveness);
            if changed {
                self.refutation = rumor.refutation;
                self.set_liveness(now, rumor.liveness);
            }
            return changed;
        }
        let changed = self.incarnation.is_none()
            || (rumor.liveness == Liveness::Alive && self.liveness != Liveness::Alive);
        if changed {
            self.set_incarnation(now, rumor.incarnation, rumor.refutation, rumor.liveness);
        }
        changed
    }

    /// Returns whether an incarnation is neither the current one nor a remembered past one.
    pub(crate) fn is_unknown(&self, incarnation: Incarnation) -> bool {
        self.incarnation != Some(incarnation) && !self.past_incarnations.contains(&incarnation)
    }

    pub(crate) fn set_liveness(&mut self, now: Time, liveness: Liveness) {
        if self.liveness != liveness {
            self.liveness = liveness;
            self.liveness_since = now;
        }
    }

    /// Returns a rumor with the state of the node, or `None` if its incarnation is not known yet.
    pub(crate) fn as_rumor(&self, node: &NodeId) -> Option<Rumor> {
        Some(Rumor {
            node: node.clone(),
            incarnation: self.incarnation?,
            refutation: self.refutation,
            liveness: self.liveness,
        })
    }

    fn set_incarnation(
        &mut self,
        now: Time,
        incarnation: Incarnation,
        refutation: u32,
        liveness: Liveness,
    ) {
        self.past_incarnations.retain(|past| *past != incarnation);
        if let Some(previous) = self.incarnation.replace(incarnation) {
            if self.past_incarnations.len() == MAX_PAST_INCARNATIONS {
                self.past_incarnations.remove(0);
            }
            self.past_incarnations.push(previous);
        }
        self.refutation = refutation;
        self.set_liveness(now, liveness);
    }
}
