use std::time::Duration;

/// Times and sizes of the membership protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberSettings {
    /// Time between two probes.
    pub period: Duration,
    /// Time after which a probe without an answer is repeated through other nodes. After twice this time the
    /// node is suspected. At most half the period.
    pub timeout: Duration,
    /// Number of nodes asked to probe on this node's behalf.
    pub relays: usize,
    /// Time a suspected node has to refute.
    pub suspicion: Duration,
    /// Rumors in one message.
    pub rumors: usize,
    /// Rumors kept for sending, and probes kept on behalf of others.
    pub queue: usize,
    /// Gap between two ticks above which the node is taken to have been paused.
    pub pause: Duration,
    /// Time after which a node that is not on the VM list is forgotten unless it was heard.
    pub forget: Duration,
    /// Most nodes that are learnt from rumors, for deployments without a VM list. 0 where there is one.
    pub learn: usize,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(1),
            timeout: Duration::from_millis(300),
            relays: 3,
            suspicion: Duration::from_secs(2),
            rumors: 8,
            queue: 256,
            pause: Duration::from_secs(1),
            forget: Duration::from_secs(30),
            learn: 0,
        }
    }
}
