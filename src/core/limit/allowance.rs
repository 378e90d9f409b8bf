use std::time::Duration;

use crate::core::{
    Time,
    limit::{Bucket, Share},
};

/// Time for which a node that joins the senders of a leaf waits. Within it, the nodes that it replaces learn of the
/// change, too.
const JOIN_DELAY: Duration = Duration::from_secs(3);

/// The calls that one node may send to a leaf whose rate is limited over all nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Allowance {
    /// Whether a share was set.
    assigned: bool,
    share: Option<Share>,
    bucket: Option<Bucket>,
    /// When this node may send its first call after it joined the senders.
    joined_at: Option<Time>,
}

impl Allowance {
    /// Returns this node's share, `None` if it is not among the leaf's senders.
    pub fn share(&self) -> Option<Share> {
        self.share
    }

    /// Returns whether a share was set.
    pub fn is_assigned(&self) -> bool {
        self.assigned
    }

    /// Sets this node's share.
    pub fn set_share(&mut self, now: Time, share: Option<Share>) {
        if let Some(share) = share {
            let bucket = self.bucket.get_or_insert(Bucket::new(now, share));
            bucket.set_share(now, share);
            if self.assigned && self.share.is_none() {
                self.joined_at = Some(now + JOIN_DELAY);
            }
        }
        self.assigned = true;
        self.share = share;
    }

    /// Returns the earliest time at which this node may call the leaf, `None` if it is not among the leaf's senders.
    pub fn next_call(&mut self, now: Time) -> Option<Time> {
        self.share?;
        let free = self.bucket.as_mut()?.next_call(now);
        Some(self.joined_at.map_or(free, |at| free.max(at)))
    }

    /// Records that a call is sent.
    pub fn take(&mut self) {
        if let Some(bucket) = &mut self.bucket {
            bucket.take();
        }
    }

    /// Records that a call recorded with [`Allowance::take`] was not sent after all.
    pub fn give_back(&mut self) {
        if let Some(bucket) = &mut self.bucket {
            bucket.give_back();
        }
    }
}
