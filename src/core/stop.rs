use std::time::Duration;

use crate::core::Time;

/// Time before SIGKILL at which the process exits at the latest.
const KILL_MARGIN: Duration = Duration::from_millis(250);
/// Time before SIGKILL at which the last log lines are given up.
const LOG_MARGIN: Duration = Duration::from_millis(50);
/// Time before the exit at which the requests that are still in progress are answered, so that the answers are written.
const FLUSH_TIME: Duration = Duration::from_millis(250);
/// Time before SIGKILL at which a process exits at the latest that ends its requests late, because it was paused.
const LATE_KILL_MARGIN: Duration = Duration::from_millis(100);
/// Minimum time between the end of the intake and the end of the requests in progress, if the grace period is long
/// enough.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(1_500);
/// Time for which a moment without requests is awaited before the intake ends.
const MAX_QUIET_WAIT: Duration = Duration::from_millis(1_000);

/// How far a graceful stop has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// The node is not stopping.
    #[default]
    Running,
    /// Other nodes and address answers no longer name the node. Callers that still have its address are served.
    Withdrawn,
    /// New connections are refused and idle ones are closed. Requests in progress run to their end.
    Draining,
    /// Requests in progress are answered with what is known so far.
    Aborting,
    /// The process may exit.
    Done,
}

/// What has not ended yet on a node that is stopping.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unfinished {
    /// Requests in progress.
    pub requests: usize,
    /// Open connections of callers, and those of other nodes on which an answer is due.
    pub connections: usize,
}

/// Times of a graceful stop.
///
/// The intake ends in a moment without requests, so that no caller is refused while the process waits for others. Under a
/// steady load there is no such moment. The intake then ends at a fixed time, early enough for the requests in progress to
/// end before the process has to exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    drain_from: Time,
    drain_at: Time,
    abort_at: Time,
    exit_at: Time,
    late_exit_at: Time,
    logged_by: Time,
}

impl StopPlan {
    /// Plans a stop that starts at `now`. The process is killed after `grace`, and callers may use the address of the node
    /// for `cached`.
    pub fn new(now: Time, grace: Duration, cached: Duration) -> Self {
        let exit = grace.saturating_sub(KILL_MARGIN);
        let abort = exit.saturating_sub(FLUSH_TIME);
        let last_drain = abort.saturating_sub(MIN_DRAIN_TIME);
        Self {
            drain_from: now + cached.min(last_drain),
            drain_at: now + (cached + MAX_QUIET_WAIT).min(last_drain),
            abort_at: now + abort,
            exit_at: now + exit,
            late_exit_at: now + grace.saturating_sub(LATE_KILL_MARGIN),
            logged_by: now + grace.saturating_sub(LOG_MARGIN),
        }
    }

    /// Plans a stop whose signal was sent up to `late` before `now`. The grace period counts from there.
    pub fn after_delay(now: Time, late: Duration, grace: Duration, cached: Duration) -> Self {
        // The signal may also have been sent just now, so there is time to answer the requests in progress in any case.
        let min_left = grace.min(KILL_MARGIN + FLUSH_TIME);
        Self::new(now, grace.saturating_sub(late).max(min_left), cached)
    }

    /// Returns the phase that follows `phase` at `now`.
    ///
    /// The intake always ends before the process exits, so that connections that wait to be accepted are noticed.
    pub fn next(&mut self, now: Time, phase: StopPhase, unfinished: Unfinished) -> StopPhase {
        let Unfinished {
            requests,
            connections,
        } = unfinished;
        match phase {
            StopPhase::Running => StopPhase::Withdrawn,
            StopPhase::Withdrawn if now >= self.drain_at => StopPhase::Draining,
            StopPhase::Withdrawn if now >= self.drain_from && requests == 0 => StopPhase::Draining,
            StopPhase::Draining | StopPhase::Aborting if requests + connections == 0 => {
                StopPhase::Done
            }
            StopPhase::Draining if requests > 0 && now >= self.abort_at => {
                // A process that was paused until it has to exit still answers its requests.
                let written_at = (now + FLUSH_TIME).min(self.late_exit_at);
                self.exit_at = self.exit_at.max(written_at);
                StopPhase::Aborting
            }
            StopPhase::Draining | StopPhase::Aborting if now >= self.exit_at => StopPhase::Done,
            phase => phase,
        }
    }

    /// Returns when requests in progress are answered at the latest.
    pub fn abort_at(&self) -> Time {
        self.abort_at
    }

    /// Returns the time left at `now` for the last log lines.
    pub fn time_left(&self, now: Time) -> Duration {
        self.logged_by.since(now)
    }
}
