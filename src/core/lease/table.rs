use std::collections::BTreeSet;

use crate::core::{
    Incarnation, NodeId, Outbound, PartitionId, Time,
    config::VmList,
    lease::{ConfigDigest, LeaseMessage, LeaseSettings},
};

/// What a received message says about the sender's configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Received {
    /// Neither side is ahead, or the message carries no digest.
    Level,
    /// The sender has newer documents: fetch them from it.
    PeerAhead,
    /// The sender lacks documents: send them to it.
    PeerBehind,
}

/// The leases a node holds or wants, and the promises it made as a voter.
#[derive(Debug)]
pub struct LeaseTable {
    me: NodeId,
    incarnation: Incarnation,
    settings: LeaseSettings,
}

impl LeaseTable {
    /// Creates a table without leases. As a voter it is mute until the settings' mute period has passed.
    pub fn new(me: NodeId, incarnation: Incarnation, settings: LeaseSettings, now: Time) -> Self {
        let _ = now;
        Self {
            me,
            incarnation,
            settings,
        }
    }

    /// Takes a VM list. A version that is not newer than the one in force is ignored.
    pub fn set_vms(&mut self, now: Time, version: u64, vms: &VmList) {
        let _ = (now, version, vms);
    }

    /// Sets the partitions that have leaves.
    pub fn set_partitions(&mut self, now: Time, partitions: BTreeSet<PartitionId>) {
        let _ = (now, partitions);
    }

    /// Requests and renews leases when it is time to. Call it at least every 100 ms; a longer gap than the
    /// settings' pause counts as a pause of the process.
    pub fn tick<D: ConfigDigest>(
        &mut self,
        now: Time,
        alive: &impl Fn(&NodeId) -> bool,
        digest: &D,
        out: &mut Vec<Outbound<LeaseMessage<D>>>,
    ) {
        let _ = (now, alive, digest, out);
    }

    /// Handles a message from another node. `mine` is the digest of the configuration in force here.
    pub fn receive<D: ConfigDigest>(
        &mut self,
        now: Time,
        from: &NodeId,
        message: LeaseMessage<D>,
        mine: &D,
        out: &mut Vec<Outbound<LeaseMessage<D>>>,
    ) -> Received {
        let _ = (now, from, message, mine, out);
        Received::Level
    }

    /// Returns until when leaf calls of a partition may run, if new ones may be dispatched now.
    pub fn expiry(&self, now: Time, partition: &PartitionId) -> Option<Time> {
        let _ = (now, partition, &self.settings, self.incarnation);
        None
    }

    /// Returns the node that probably holds a partition.
    pub fn holder_hint(&self, now: Time, partition: &PartitionId) -> Option<NodeId> {
        let _ = (now, partition);
        Some(self.me.clone())
    }

    /// Records the holder that another node named, for [`LeaseTable::holder_hint`].
    pub fn learn_holder(&mut self, now: Time, partition: &PartitionId, holder: &NodeId) {
        let _ = (now, partition, holder);
    }

    /// Returns the partitions being handed over: no call may be dispatched, and [`LeaseTable::drained`] is
    /// to be called once none is in flight.
    pub fn draining(&self) -> Vec<PartitionId> {
        Vec::new()
    }

    /// Releases a partition being handed over. The caller has no leaf call of it in flight.
    pub fn drained<D: ConfigDigest>(
        &mut self,
        now: Time,
        partition: &PartitionId,
        out: &mut Vec<Outbound<LeaseMessage<D>>>,
    ) {
        let _ = (now, partition, out);
    }

    /// Starts to hand over all partitions and acquires none any more, because the node leaves.
    pub fn leave(&mut self, now: Time) {
        let _ = now;
    }

    /// Releases all partitions and acquires none any more. The caller has no leaf call in flight.
    pub fn release_all<D: ConfigDigest>(
        &mut self,
        now: Time,
        out: &mut Vec<Outbound<LeaseMessage<D>>>,
    ) {
        let _ = (now, out);
    }
}
