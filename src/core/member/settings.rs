use std::time::Duration;

/// Times and sizes of the membership protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberSettings {
    /// Time between two probes.
    pub probe_interval: Duration,
    /// Time after which a probe without an answer is repeated through other nodes. After twice this time the
    /// node is suspected. At most half the period.
    pub probe_timeout: Duration,
    /// Number of nodes asked to probe on this node's behalf.
    pub relays: usize,
    /// Time a suspected node has to refute.
    pub suspicion_timeout: Duration,
    /// Rumors in one message.
    pub max_rumors: usize,
    /// Rumors kept for sending, and probes kept on behalf of others.
    pub max_queued: usize,
    /// Gap between two ticks above which the node is taken to have been paused.
    pub pause_threshold: Duration,
    /// Time after which a node that is not on the VM list is forgotten unless it was heard.
    pub unlisted_retention: Duration,
    /// Most nodes that are learnt from rumors, for deployments without a VM list. 0 where there is one.
    pub max_learned: usize,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(300),
            relays: 3,
            suspicion_timeout: Duration::from_secs(2),
            max_rumors: 8,
            max_queued: 256,
            pause_threshold: Duration::from_secs(1),
            unlisted_retention: Duration::from_secs(30),
            max_learned: 0,
        }
    }
}
