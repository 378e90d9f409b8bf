//! How late a process runs, from the lag of a periodic timer.

use std::time::Duration;

use crate::core::Time;

/// Weight of a new measurement in the mean lag.
const MEAN_WEIGHT: f64 = 0.1;

/// Lag that is normal for a timer.
const TIMER_LAG: Duration = Duration::from_millis(5);

/// Lag of a process that runs everything on one thread.
///
/// While the thread is busy or gets no processor time, requests wait in their sockets, and their callers' deadlines
/// come closer. The time at which a request was received there is unknown, but the lag of a timer bounds it.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoopLag {
    due: Option<Time>,
    mean: Duration,
    /// When the timer last fired, and how late it was.
    last: Option<(Time, Duration)>,
}

impl LoopLag {
    /// Records when the timer fires next.
    pub fn schedule(&mut self, due: Time) {
        self.due = Some(due);
    }

    /// Records that the timer fired.
    pub fn record(&mut self, now: Time) {
        if let Some(due) = self.due.take() {
            let lag = now.since(due);
            self.mean = self.mean.mul_f64(1.0 - MEAN_WEIGHT) + lag.mul_f64(MEAN_WEIGHT);
            self.last = Some((now, lag));
        }
    }

    /// Returns the mean lag.
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// Returns how long a request that is read now may have waited in its socket.
    ///
    /// After a late timer, requests from the same time may be read for as long as it was late, or until a timer is on
    /// time again.
    pub fn read_delay(&self, now: Time) -> Duration {
        let overdue = self.due.map_or(Duration::ZERO, |due| now.since(due));
        let backlog = self.last.map_or(Duration::ZERO, |(fired_at, lag)| {
            lag.saturating_sub(now.since(fired_at))
        });
        overdue.max(backlog).saturating_sub(TIMER_LAG)
    }

    /// Returns how long ago a signal that is handled now may have been sent, where the timer fires every `interval`.
    ///
    /// A stall may have begun as soon as the timer had fired before, and the signal may have been sent as soon as the stall
    /// had begun.
    pub fn signal_delay(&self, now: Time, interval: Duration) -> Duration {
        let zero = Duration::ZERO;
        let (since_fired, lag) = self
            .last
            .map_or((zero, zero), |(at, lag)| (now.since(at), lag));
        let stall = self.read_delay(now);
        if since_fired > interval + TIMER_LAG {
            since_fired
        } else if stall.is_zero() {
            zero
        } else {
            interval + since_fired + lag.max(stall + TIMER_LAG)
        }
    }
}
