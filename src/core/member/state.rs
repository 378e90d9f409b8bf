use smallvec::SmallVec;

use crate::core::{
    Incarnation, NodeId, Time,
    member::{Liveness, Rumor},
};

/// Earlier incarnations of a node that are remembered, so that late messages of theirs do not revive them.
const RETIRED: usize = 4;

/// What a node knows about another one.
#[derive(Debug)]
pub(crate) struct Member {
    /// None before anything was heard of the node.
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) refutation: u32,
    pub(crate) liveness: Liveness,
    /// When `liveness` last changed.
    pub(crate) since: Time,
    /// When the node was last heard, directly or through another one.
    pub(crate) heard: Option<Time>,
    pub(crate) listed: bool,
    retired: SmallVec<[Incarnation; RETIRED]>,
}

impl Member {
    pub(crate) fn new(now: Time, listed: bool) -> Self {
        Self {
            incarnation: None,
            refutation: 0,
            liveness: Liveness::Alive,
            since: now,
            heard: None,
            listed,
            retired: SmallVec::new(),
        }
    }

    /// Takes what the node says about itself. Returns whether that is news to others.
    ///
    /// A suspected or dead node becomes alive only with a new incarnation or a higher refutation, since the
    /// message may have been sent before the suspicion arose. Incarnations have no order and messages may be
    /// late, so one that is taken for alive is replaced only if the message is `proven` to be recent.
    pub(crate) fn speak(
        &mut self,
        now: Time,
        incarnation: Incarnation,
        refutation: u32,
        proven: bool,
    ) -> bool {
        if self.incarnation == Some(incarnation) {
            self.heard = Some(now);
            let news = refutation > self.refutation;
            if news {
                self.refutation = refutation;
                self.turn(now, Liveness::Alive);
            }
            return news;
        }
        let unknown = !self.retired.contains(&incarnation);
        let vacant = self.incarnation.is_none() || self.liveness != Liveness::Alive;
        let news = proven || (unknown && vacant);
        if news {
            self.heard = Some(now);
            self.adopt(now, incarnation, refutation, Liveness::Alive);
        }
        news
    }

    /// Takes what another node says about the node. Returns whether that is news.
    pub(crate) fn rumor(&mut self, now: Time, rumor: &Rumor) -> bool {
        if self.retired.contains(&rumor.incarnation) {
            return false;
        }
        if self.incarnation == Some(rumor.incarnation) {
            let news = (rumor.refutation, rumor.liveness) > (self.refutation, self.liveness);
            if news {
                self.refutation = rumor.refutation;
                self.turn(now, rumor.liveness);
            }
            return news;
        }
        let news = self.incarnation.is_none()
            || (rumor.liveness == Liveness::Alive && self.liveness != Liveness::Alive);
        if news {
            self.adopt(now, rumor.incarnation, rumor.refutation, rumor.liveness);
        }
        news
    }

    /// Returns whether an incarnation is neither the one taken for current nor known to be older.
    pub(crate) fn is_unknown(&self, incarnation: Incarnation) -> bool {
        self.incarnation != Some(incarnation) && !self.retired.contains(&incarnation)
    }

    pub(crate) fn turn(&mut self, now: Time, liveness: Liveness) {
        if self.liveness != liveness {
            self.liveness = liveness;
            self.since = now;
        }
    }

    /// Returns what to tell others about the node, nothing before it was heard of.
    pub(crate) fn as_rumor(&self, node: &NodeId) -> Option<Rumor> {
        Some(Rumor {
            node: node.clone(),
            incarnation: self.incarnation?,
            refutation: self.refutation,
            liveness: self.liveness,
        })
    }

    fn adopt(&mut self, now: Time, incarnation: Incarnation, refutation: u32, liveness: Liveness) {
        self.retired.retain(|retired| *retired != incarnation);
        if let Some(previous) = self.incarnation.replace(incarnation) {
            if self.retired.len() == RETIRED {
                self.retired.remove(0);
            }
            self.retired.push(previous);
        }
        self.refutation = refutation;
        self.turn(now, liveness);
    }
}
