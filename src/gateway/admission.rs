use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    pin::pin,
    rc::Rc,
    time::Duration,
};

use rand::SeedableRng;
use rand_pcg::Pcg64;
use tokio::{sync::oneshot, time::sleep};

use crate::{
    core::{
        ServiceName, StopPhase, Time,
        admission::{Admission, Claim, Decision, Ending, Load, Ticket},
        retry::retry_after,
    },
    gateway::{inbound::Inbound, state::Gateway},
};

/// Admission of this node's queries, and those that wait for it.
#[derive(Debug)]
pub(super) struct AdmissionState {
    admission: RefCell<Admission>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Decision>>>,
    /// Separate from the gateway's, because guards may be dropped while that one is borrowed.
    rng: RefCell<Pcg64>,
}

impl AdmissionState {
    pub(super) fn new() -> Self {
        Self {
            admission: RefCell::default(),
            waiting: RefCell::default(),
            rng: RefCell::new(Pcg64::from_os_rng()),
        }
    }

    /// Returns the number of queries that wait and that of groups of services whose limit is on.
    pub(super) fn counts(&self) -> (usize, usize) {
        let admission = self.admission.borrow();
        (admission.queued(), admission.limited_count())
    }
}

/// The place of a query, in the queue or among those in flight. Dropping it frees the place.
pub(super) struct Place {
    gateway: Rc<Gateway>,
    ticket: Ticket,
    objective_at: Time,
    admitted: bool,
    pub(super) lacked_room: Cell<bool>,
}

impl Place {
    /// Reports how the query ended and frees its place. `whole` is set for an answer with all parts, `lacked_room` if the
    /// parts to blame met a lack of room.
    pub(super) fn finish(self, now: Time, whole: bool, lacked_room: bool, answered: usize) {
        let ending = Ending {
            in_time: whole && now <= self.objective_at,
            lacked_room,
            answered: answered as u32,
        };
        self.release(now, ending);
    }

    fn release(&self, now: Time, ending: Ending) {
        let state = &self.gateway.admission;
        // The place was freed by `finish`, whose drop finds no query with this id, or a panic holds the state.
        if let Ok(mut admission) = state.admission.try_borrow_mut() {
            if self.admitted {
                admission.release(now, self.ticket, ending);
            } else {
                admission.cancel(now, self.ticket);
            }
        }
        self.gateway.deliver_admissions();
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if let Ok(mut waiting) = self.gateway.admission.waiting.try_borrow_mut() {
            waiting.remove(&self.ticket.id());
        }
        let now = self.gateway.now();
        let ending = Ending {
            lacked_room: self.lacked_room.get() && now > self.objective_at,
            ..Ending::default()
        };
        self.release(now, ending);
    }
}

impl Gateway {
    /// Waits until a query to these services may be sent.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller of a rejected query may retry. Nothing of it was sent.
    pub(super) async fn admit(
        self: &Rc<Self>,
        inbound: &Inbound,
        target: &[ServiceName],
        objective_at: Time,
    ) -> Result<Place, Duration> {
        let now = self.now();
        let claim = Claim {
            target,
            priority: inbound.priority(),
            objective_at,
            deadline: inbound.deadline(),
            flow: inbound.flow(),
            content: inbound.content,
        };
        let state = &self.admission;
        let (ticket, decision) =
            state
                .admission
                .borrow_mut()
                .request(now, &claim, &mut *state.rng.borrow_mut());
        let mut place = Place {
            gateway: self.clone(),
            ticket,
            objective_at,
            admitted: decision == Decision::Admitted,
            lacked_room: Cell::new(false),
        };
        let decided = match decision {
            Decision::Queued => self.wait_admission(inbound, ticket).await,
            decided => {
                self.deliver_admissions();
                decided
            }
        };
        match decided {
            Decision::Rejected(retry_after) => {
                self.log_rejection(inbound, ticket, now, retry_after);
                Err(retry_after)
            }
            Decision::Admitted | Decision::Queued => {
                place.admitted = true;
                if decision == Decision::Queued {
                    metrics::counter!("cranberrychute_admission_total", "decision" => "waited")
                        .increment(1);
                }
                Ok(place)
            }
        }
    }

    /// Waits for the decision on a queued query, which is rejected if the node exits before.
    async fn wait_admission(&self, inbound: &Inbound, ticket: Ticket) -> Decision {
        let (sender, mut receiver) = oneshot::channel();
        self.admission
            .waiting
            .borrow_mut()
            .insert(ticket.id(), sender);
        let ends = async {
            self.stop.reached(StopPhase::Aborting).await;
            let priority = inbound.priority();
            retry_after(Duration::ZERO, priority, &mut *self.rng.borrow_mut())
        };
        let mut ends = pin!(ends);
        loop {
            self.deliver_admissions();
            let now = self.now();
            let due = self.admission.admission.borrow().next_poll();
            tokio::select! {
                biased;
                Ok(decision) = &mut receiver => return decision,
                retry_after = ends.as_mut() => return Decision::Rejected(retry_after),
                () = sleep(due.unwrap_or(now).since(now)) => {}
            }
        }
    }

    /// Assigns freed capacity and tells queries that wait what was decided. Costs nothing while no query waits.
    fn deliver_admissions(&self) {
        let state = &self.admission;
        let Ok(mut admission) = state.admission.try_borrow_mut() else {
            return;
        };
        if let Some(load) = admission.take_change() {
            self.log_change(load);
        }
        if admission.is_idle() {
            return;
        }
        let decided = admission.poll(self.now(), &mut *state.rng.borrow_mut());
        let mut waiting = state.waiting.borrow_mut();
        for (id, decision) in decided {
            if let Some(sender) = waiting.remove(&id) {
                // A query whose receiver is gone frees its place when it is dropped.
                let _ = sender.send(decision);
            }
        }
    }

    fn log_change(&self, load: Load) {
        if let Some(suppressed) = self.log_limiter.admit(self.now(), "admission_limit") {
            log::info!(
                limit:? = load.limit,
                in_flight = load.in_flight,
                queued = load.queued,
                parts_per_s = load.rate,
                suppressed;
                "limit on queries in flight changed"
            );
        }
    }

    fn log_rejection(&self, inbound: &Inbound, ticket: Ticket, asked: Time, retry_after: Duration) {
        metrics::counter!("cranberrychute_admission_total", "decision" => "rejected").increment(1);
        let now = self.now();
        if let Some(suppressed) = self.log_limiter.admit(now, "admission_rejected") {
            let load = self.admission.admission.borrow().load(ticket);
            log::warn!(
                id = &*inbound.caller.id,
                route = &*inbound.route.name,
                waited_ms = now.since(asked).as_millis() as u64,
                retry_after_ms = retry_after.as_millis() as u64,
                limit:? = load.limit,
                in_flight = load.in_flight,
                queued = load.queued,
                parts_per_s = load.rate,
                suppressed;
                "request rejected: the leaves are overloaded"
            );
        }
    }
}
