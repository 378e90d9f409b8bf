use crate::core::Time;

/// Time constant of the mean rate.
const MEAN_TIME: f64 = 1.0;
/// Time constant of the recent rate, which shows a jump of the demand before the mean does.
const RECENT_TIME: f64 = 0.1;
/// Standard deviations by which the recent count is reduced. Otherwise, single requests would count as a jump.
const RECENT_CONFIDENCE: f64 = 1.5;
/// Standard deviations above the recent count that the mean may not exceed. Otherwise, a node that callers have left would
/// go on asking for tokens that callers need elsewhere.
const RECENT_EXCESS: f64 = 2.0;
/// Expected number of requests in the time since the last one that the mean may not exceed.
const IDLE_REQUESTS: f64 = 3.0;

/// Rate of an account's requests at this node, including the rejected ones.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    mean: f64,
    recent: f64,
    updated: Time,
}

impl Demand {
    /// Records a request.
    pub(super) fn record(&mut self, now: Time) {
        (self.mean, self.recent) = self.decayed(now);
        self.mean += 1.0;
        self.recent += 1.0;
        self.updated = now;
    }

    /// Returns the rate, requests per second.
    pub(super) fn rate(&self, now: Time) -> f64 {
        let (mean, recent) = self.decayed(now);
        let low = (recent - RECENT_CONFIDENCE * recent.sqrt()) / RECENT_TIME;
        let high = (recent + RECENT_EXCESS * recent.sqrt() + 1.0) / RECENT_TIME;
        let idle = now.since(self.updated).as_secs_f64();
        (mean / MEAN_TIME)
            .min(high)
            .min(IDLE_REQUESTS / idle.max(f64::MIN_POSITIVE))
            .max(low)
    }

    fn decayed(&self, now: Time) -> (f64, f64) {
        let elapsed = now.since(self.updated).as_secs_f64();
        (
            self.mean * (-elapsed / MEAN_TIME).exp(),
            self.recent * (-elapsed / RECENT_TIME).exp(),
        )
    }
}
