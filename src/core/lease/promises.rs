use std::{collections::BTreeMap, time::Duration};

use crate::core::{
    Incarnation, NodeId, PartitionId, Time,
    invariant::{Invariant, check},
};

/// The promises of one voter, in memory only.
#[derive(Debug, Default)]
pub(crate) struct Promises {
    promises: BTreeMap<PartitionId, Promise>,
}

#[derive(Debug)]
struct Promise {
    holder: NodeId,
    incarnation: Incarnation,
    round: u64,
    until: Time,
    /// When the entry is dropped. A released one is kept for a while, because a request sent before the
    /// release may still arrive and would block the partition.
    forget: Time,
    released: bool,
}

impl Promises {
    /// Promises a partition for `length`, or returns the node it is promised to.
    pub(crate) fn promise(
        &mut self,
        now: Time,
        partition: &PartitionId,
        holder: &NodeId,
        (incarnation, round): (Incarnation, u64),
        length: Duration,
    ) -> Result<(), NodeId> {
        let old = self.promises.get(partition);
        let same = |old: &Promise| old.holder == *holder && old.incarnation == incarnation;
        if let Some(old) = old {
            let stale = same(old) && old.released && round <= old.round;
            if stale || (!same(old) && now < old.until) {
                return Err(old.holder.clone());
            }
        }
        let free = old.is_none_or(|old| same(old) || old.until <= now);
        if !check(Invariant::OnePromise, free, || {
            format!("{partition} is promised to another node than {holder}")
        }) {
            return Err(holder.clone());
        }
        let previous = old.filter(|old| same(old));
        let until = previous.map_or(now, |old| old.until).max(now + length);
        let promise = Promise {
            holder: holder.clone(),
            incarnation,
            round: previous.map_or(round, |old| old.round.max(round)),
            until,
            forget: until + length,
            released: false,
        };
        self.promises.insert(partition.clone(), promise);
        Ok(())
    }

    /// Ends a promise, unless it was renewed in a later round.
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
            promise.until = now;
            promise.released = true;
        }
    }

    pub(crate) fn expire(&mut self, now: Time) {
        self.promises.retain(|_, promise| now < promise.forget);
    }
}
