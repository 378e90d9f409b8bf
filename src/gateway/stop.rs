use std::{cell::Cell, future::pending, time::Duration};

use futures::FutureExt;
use log::Level;
use tokio::{sync::Notify, time::sleep};

use crate::{
    core::{StopPhase, StopPlan, Time, Unfinished},
    gateway::{directory::ANSWER_TTL, members::LAG_INTERVAL, state::Gateway},
};

/// Factor by which callers may exceed the TTL of an address answer.
const TTL_FACTOR: u32 = 3;
/// Time in which a request that its caller has already sent arrives.
pub(super) const ARRIVAL_WINDOW: Duration = Duration::from_millis(300);
/// Interval at which the process checks whether the next phase of the stop has come.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The state of a graceful stop.
#[derive(Debug, Default)]
pub(super) struct StopState {
    /// The times of the stop, once it has started.
    plan: Cell<Option<StopPlan>>,
    phase: Cell<StopPhase>,
    /// Signals that the phase has changed.
    changed: Notify,
}

impl StopState {
    pub(super) fn is_stopping(&self) -> bool {
        self.phase.get() != StopPhase::Running
    }

    /// Returns whether the node accepts no new connections.
    pub(super) fn is_draining(&self) -> bool {
        self.phase.get() >= StopPhase::Draining
    }

    /// Returns whether the process exits.
    pub(super) fn is_done(&self) -> bool {
        self.phase.get() == StopPhase::Done
    }

    /// Returns when requests in progress are answered at the latest, if the node is stopping.
    pub(super) fn end_by(&self) -> Option<Time> {
        self.plan.get().map(|plan| plan.abort_at())
    }

    /// Waits until the stop has reached a phase.
    pub(super) async fn reached(&self, phase: StopPhase) {
        loop {
            let changed = self.changed.notified();
            if self.phase.get() >= phase {
                return;
            }
            changed.await;
        }
    }

    fn enter(&self, phase: StopPhase) {
        self.phase.set(phase);
        self.changed.notify_waiters();
    }
}

impl Gateway {
    /// Stops gracefully: withdraws the node from address answers at once, serves callers that still have its address
    /// cached, then accepts no more connections and finishes the requests in progress. Returns the plan of the stop.
    pub(super) async fn shut_down(&self) -> StopPlan {
        let started = self.now();
        let grace = self.settings.borrow().bounds.stop_grace;
        let late = self.lag.get().signal_delay(started, LAG_INTERVAL);
        let cached = ANSWER_TTL * TTL_FACTOR + ARRIVAL_WINDOW;
        let mut plan = StopPlan::after_delay(started, late, grace, cached);
        self.stop.plan.set(Some(plan));
        let Unfinished {
            requests,
            connections,
        } = self.unfinished();
        log::info!(late_ms = late.as_millis() as u64, unfinished = requests, connections; "stopping");
        self.stop.enter(StopPhase::Withdrawn);
        tokio::select! {
            biased;
            // Sending waits while the buffer of the socket is full, for example with messages to hosts that do not answer.
            () = self.announce().then(|()| pending()) => {}
            () = self.follow(&mut plan, started) => {}
        }
        plan
    }

    /// Enters the phases of a stop when they are due, until the process may exit.
    async fn follow(&self, plan: &mut StopPlan, started: Time) {
        while self.stop.phase.get() != StopPhase::Done {
            sleep(CHECK_INTERVAL).await;
            let phase = self.stop.phase.get();
            let next = plan.next(self.now(), phase, self.unfinished());
            if next == phase {
                continue;
            }
            match next {
                StopPhase::Done => self.log_end(started),
                StopPhase::Aborting => self.log_stop("requests in progress are ended", started),
                _ => self.log_stop("intake ended", started),
            }
            self.stop.enter(next);
        }
    }

    /// Logs the end of a stop and the requests that the exit cuts.
    fn log_end(&self, started: Time) {
        let now = self.now();
        let cut = self.connections.log_cut_requests(now);
        // No later line of these kinds tells the numbers.
        let late = (
            "answered_after_intake",
            self.connections.suppressed() as u64,
        );
        let late = Some(late).filter(|(_, suppressed)| *suppressed > 0);
        for (kind, suppressed) in self.log_limiter.suppressed().into_iter().chain(late) {
            log::info!(kind, suppressed; "lines were suppressed");
        }
        let level = if cut > 0 { Level::Warn } else { Level::Info };
        let Unfinished {
            requests,
            connections,
        } = self.unfinished();
        let waited = now.since(started).as_millis() as u64;
        log::log!(
            level,
            waited_ms = waited,
            answered = self.connections.answered(),
            unfinished = requests,
            connections,
            cut;
            "stopped"
        );
    }

    fn unfinished(&self) -> Unfinished {
        Unfinished {
            requests: self.active_requests.get(),
            connections: self.connections.unfinished_count(),
        }
    }

    fn log_stop(&self, step: &str, started: Time) {
        let Unfinished {
            requests,
            connections,
        } = self.unfinished();
        let waited = self.now().since(started).as_millis() as u64;
        log::info!(waited_ms = waited, unfinished = requests, connections; "{step}");
    }
}
