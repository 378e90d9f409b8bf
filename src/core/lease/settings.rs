use std::time::Duration;

/// Times and sizes of leases. All nodes of a fleet must use the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Number of voters of a partition.
    pub voters: usize,
    /// Time between two requests of a holder.
    pub renew_interval: Duration,
    /// Length of a lease on the holder's clock, from when the request was sent.
    pub lease_duration: Duration,
    /// Length of a promise on the voter's clock, from when the request was received. 25% above the lease
    /// covers clocks whose rates differ by up to 10% from true time: 1.1 / 0.9 = 1.22.
    pub promise_duration: Duration,
    /// Time without grants after a start or a pause. At least the promise, which a start forgets.
    pub mute_period: Duration,
    /// Time for which a replaced VM list still counts.
    pub joint_period: Duration,
    /// Time for which a holder must be outranked by a live node before it hands a partition over.
    pub handover_delay: Duration,
    /// Gap between two ticks above which the node is taken to have been paused.
    pub pause_threshold: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            voters: 9,
            renew_interval: Duration::from_millis(500),
            lease_duration: Duration::from_millis(2_000),
            promise_duration: Duration::from_millis(2_500),
            mute_period: Duration::from_millis(2_500),
            joint_period: Duration::from_secs(10),
            handover_delay: Duration::from_secs(10),
            pause_threshold: Duration::from_secs(1),
        }
    }
}
