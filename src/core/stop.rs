use std::time::Duration;

use crate::core::Time;

/// Time before SIGKILL at which the process exits at the latest.
const KILL_MARGIN: Duration = Duration::from_millis(250);
/// Time before the exit at which the requests that are still in progress are answered, so that the answers are written.
const FLUSH_TIME: Duration = Duration::from_millis(250);
/// Minimum time between the end of the intake and the end of the requests in progress, if the grace period is long
/// enough.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(1_500);

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

/// Times of a graceful stop.
///
/// Under a steady load there is no moment without requests, so the intake ends at a fixed time, early enough for the
/// requests in progress to end before the process has to exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    drain_at: Time,
    abort_at: Time,
    exit_at: Time,
}

impl StopPlan {
    /// Plans a stop that starts at `now`. The process is killed after `grace`, and callers may use the address of the node
    /// for `cached`.
    pub fn new(now: Time, grace: Duration, cached: Duration) -> Self {
        let exit = grace.saturating_sub(KILL_MARGIN);
        let abort = exit.saturating_sub(FLUSH_TIME);
        let drain = cached.min(abort.saturating_sub(MIN_DRAIN_TIME));
        Self {
            drain_at: now + drain,
            abort_at: now + abort,
            exit_at: now + exit,
        }
    }

    /// Returns the phase that follows `phase` at `now`, given the number of connections and requests that have not ended.
    ///
    /// The intake always ends before the process exits, so that connections that wait to be accepted are noticed.
    pub fn next(&self, now: Time, phase: StopPhase, unfinished: usize) -> StopPhase {
        match phase {
            StopPhase::Running => StopPhase::Withdrawn,
            StopPhase::Withdrawn if now >= self.drain_at => StopPhase::Draining,
            StopPhase::Draining | StopPhase::Aborting if unfinished == 0 || now >= self.exit_at => {
                StopPhase::Done
            }
            StopPhase::Draining if now >= self.abort_at => StopPhase::Aborting,
            phase => phase,
        }
    }

    /// Returns when requests in progress are answered at the latest.
    pub fn abort_at(&self) -> Time {
        self.abort_at
    }
}
