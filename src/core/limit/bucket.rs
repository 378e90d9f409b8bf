use std::time::Duration;

use crate::core::{Time, limit::Share};

/// A token bucket that starts full.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    share: Share,
    tokens: f64,
    refilled_at: Time,
}

impl Bucket {
    /// Creates a full bucket.
    pub fn new(now: Time, share: Share) -> Self {
        Self {
            share,
            tokens: share.burst,
            refilled_at: now,
        }
    }

    /// Changes the share. Tokens beyond the new burst are lost.
    pub fn set_share(&mut self, now: Time, share: Share) {
        self.refill(now);
        self.share = share;
        self.tokens = self.tokens.min(share.burst);
    }

    /// Returns the earliest time at which a call may be sent, `now` if one may be sent now.
    pub fn next_call(&mut self, now: Time) -> Time {
        self.refill(now);
        let missing = 1.0 - self.tokens;
        if missing <= 0.0 {
            return now;
        }
        // Rounded up, so that the token exists at the returned time.
        let micros = (missing / self.share.rate * 1e6).ceil();
        now + Duration::from_micros(micros as u64 + 1)
    }

    /// Takes the token of a call.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }

    /// Returns the token of a call that was not sent.
    pub fn give_back(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.share.burst);
    }

    fn refill(&mut self, now: Time) {
        let added = now.since(self.refilled_at).as_secs_f64() * self.share.rate;
        self.tokens = (self.tokens + added).min(self.share.burst);
        self.refilled_at = now;
    }
}
