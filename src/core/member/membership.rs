use std::time::Duration;

use rand::Rng;

use crate::core::{
    Incarnation, NodeId, Outbound, Time,
    config::VmList,
    member::{MemberMessage, MemberSettings},
};

/// One node's view of which nodes are alive.
#[derive(Debug)]
pub struct Membership {
    me: NodeId,
    incarnation: Incarnation,
    settings: MemberSettings,
}

impl Membership {
    /// Creates a view that knows only this node.
    pub fn new(me: NodeId, incarnation: Incarnation, settings: MemberSettings, now: Time) -> Self {
        let _ = now;
        Self {
            me,
            incarnation,
            settings,
        }
    }

    /// Takes the nodes of the VM list. Nodes that are new in it count as alive until probed.
    pub fn set_vms(&mut self, now: Time, vms: &VmList) {
        let _ = (now, vms);
    }

    /// Probes when it is time to and ends suspicions. Call it at least every 100 ms. Every message sent
    /// carries a copy of `payload`.
    pub fn tick<P: Clone>(
        &mut self,
        now: Time,
        rng: &mut impl Rng,
        payload: &P,
        out: &mut Vec<Outbound<MemberMessage<P>>>,
    ) {
        let _ = (now, rng, payload, out, &self.settings, self.incarnation);
    }

    /// Handles a message. Its payload is the caller's to read first.
    pub fn receive<P: Clone>(
        &mut self,
        now: Time,
        from: &NodeId,
        message: MemberMessage<P>,
        payload: &P,
        out: &mut Vec<Outbound<MemberMessage<P>>>,
    ) {
        let _ = (now, from, message, payload, out);
    }

    /// Returns whether a node counts as alive. A suspected node does.
    pub fn is_alive(&self, node: &NodeId) -> bool {
        *node == self.me
    }

    /// Returns the live nodes, this one included, by name.
    pub fn alive(&self) -> Vec<NodeId> {
        vec![self.me.clone()]
    }

    /// Returns how many other listed nodes were heard, directly or through another node, within a time.
    pub fn heard_since(&self, now: Time, within: Duration) -> usize {
        let _ = (now, within);
        0
    }
}
