use std::time::Duration;

/// Timing and size parameters of the membership protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberSettings {
    /// Interval between probes.
    pub probe_interval: Duration,
    /// Time after which an unanswered probe is repeated through other nodes. After twice this time, the node is
    /// suspected. Must be at most half of `probe_interval`.
    pub probe_timeout: Duration,
    /// Number of nodes that are asked to probe on this node's behalf.
    pub relays: usize,
    /// Time that a suspected node has to refute the suspicion before it counts as dead.
    pub suspicion_timeout: Duration,
    /// Maximum number of rumors in a message.
    pub max_rumors: usize,
    /// Maximum number of rumors queued for sending, and of probes in progress on behalf of other nodes.
    pub max_queued: usize,
    /// Time without a tick or a received message above which the process is considered to have been paused.
    pub pause_threshold: Duration,
    /// Time after the start in which a node also pings other nodes at each tick, to learn the fleet. Zero where there is
    /// a VM list.
    pub join_period: Duration,
    /// Number of nodes pinged at each tick in that time.
    pub join_pings: usize,
    /// Time after the last contact until a node that is not on the VM list is removed.
    pub unlisted_retention: Duration,
    /// Number of known nodes up to which nodes named by seeds and rumors are added, for deployments without a VM list.
    /// 0 where there is one.
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
            join_period: Duration::ZERO,
            join_pings: 0,
            unlisted_retention: Duration::from_secs(30),
            max_learned: 0,
        }
    }
}
