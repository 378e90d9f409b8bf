use std::time::Duration;

/// Times and sizes of leases. All nodes of a fleet must use the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Number of voters of a partition.
    pub voters: usize,
    /// Time between two requests of a holder.
    pub renew: Duration,
    /// Length of a lease on the holder's clock, from when the request was sent.
    pub lease: Duration,
    /// Length of a promise on the voter's clock, from when the request was received. 25% above the lease
    /// covers clocks whose rates differ by up to 10% from true time: 1.1 / 0.9 = 1.22.
    pub promise: Duration,
    /// Time without grants after a start or a pause. At least the promise, which a start forgets.
    pub mute: Duration,
    /// Time for which a replaced VM list still counts.
    pub joint: Duration,
    /// Time for which a holder must be outranked by a live node before it hands a partition over.
    pub handover: Duration,
    /// Gap between two ticks above which the node is taken to have been paused.
    pub pause: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            voters: 9,
            renew: Duration::from_millis(500),
            lease: Duration::from_millis(2_000),
            promise: Duration::from_millis(2_500),
            mute: Duration::from_millis(2_500),
            joint: Duration::from_secs(10),
            handover: Duration::from_secs(10),
            pause: Duration::from_secs(1),
        }
    }
}
