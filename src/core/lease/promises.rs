use std::{collections::BTreeMap, time::Duration};

use crate::core::{
    Incarnation, NodeId, PartitionId, Time,
    invariant::{Invariant, check},
};

/// The promises made by this node as a voter. They are kept in memory only.
#[derive(Debug, Default)]
pub(crate) struct Promises {
    promises: BTreeMap<PartitionId, Promise>,
}

#[derive(Debug)]
struct Promise {
    holder: NodeId,
    incarnation: Incarnation,
    round: u64,
    expiry: Time,
    /// When the entry is removed. A released promise is kept for a while: without it, a request sent before the
    /// release but received after it would be granted and block the partition.
    remove_at: Time,
    released: bool,
}

impl Promises {
    /// Promises a partition to `holder` for `duration`.
    ///
    /// # Errors
    ///
    /// Returns the node that the partition is already promised to, or `holder` itself if it has released the partition
    /// in the same round or a later one.
    pub(crate) fn promise(
        &mut self,
        now: Time,
        partition: &PartitionId,
        holder: &NodeId,
        (incarnation, round): (Incarnation, u64),
        duration: Duration,
    ) -> Result<(), NodeId> {
        let old = self.promises.get(partition);
        let same_holder = |old: &Promise| old.holder == *holder && old.incarnation == incarnation;
        if let Some(old) = old {
            let stale = same_holder(old) && old.released && round <= old.round;
            if stale || (!same_holder(old) && now < old.expiry) {
                return Err(old.holder.clone());
            }
        }
        let free = old.is_none_or(|old| same_holder(old) || old.expiry <= now);
        if !check(Invariant::OnePromise, free, || {
            format!("{partition} is already promised to a node other than {holder}")
        }) {
            return Err(holder.clone());
        }
        let previous = old.filter(|old| same_holder(old));
        let expiry = previous.map_or(now, |old| old.expiry).max(now + duration);
        let promise = Promise {
            holder: holder.clone(),
            incarnation,
            round: previous.map_or(round, |old| old.round.max(round)),
            expiry,
            remove_at: expiry + duration,
            released: false,
        };
        self.promises.insert(partition.clone(), promise);
        Ok(())
    }

    /// Ends a promise unless it was renewed in a later round.
    pub(crate) fn release(
        &mut self,
        now: Time,
        partition: &PartitionId,
        holder: &NodeId,
        (incarnation, round): (Incarnation, u64),
    ) {
        if let Some(promise) = self.promises.get_mut(partition)
            && promise.holder == *holder
            && promise.incarnation == incarnation
            && promise.round <= round
        {
            promise.round = round;
            promise.expiry = now;
            promise.released = true;
        }
    }

    pub(crate) fn expire(&mut self, now: Time) {
        self.promises.retain(|_, promise| now < promise.remove_at);
    }
}
