use std::time::Duration;

/// Timing and size parameters of leases. All nodes of a fleet must use the same values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Number of voters of a partition.
    pub voters: usize,
    /// Interval between the vote requests of a holder.
    pub renew_interval: Duration,
    /// Length of a lease on the holder's clock, counted from when the request was sent.
    pub lease_duration: Duration,
    /// Length of a promise on the voter's clock, counted from when the request was received. It is 25% longer than
    /// the lease to allow for clocks whose rates differ by up to 10% from true time: 1.1 / 0.9 = 1.22.
    pub promise_duration: Duration,
    /// Time after a start or a pause during which a voter grants nothing. Must be at least `promise_duration`,
    /// because promises are lost in a restart.
    pub mute_period: Duration,
    /// Minimum time for which the voter sets of a replaced VM list stay active.
    pub joint_period: Duration,
    /// Time for which a live node must outrank the holder before the holder hands a partition over.
    pub handover_delay: Duration,
    /// Time without a tick or a received message above which the process is considered to have been paused.
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
