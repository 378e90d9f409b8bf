use std::{cell::RefCell, pin::pin, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::{StreamExt, stream::FuturesUnordered};
use http::{Response, StatusCode};
use http_body_util::Full;
use smallvec::SmallVec;
use tokio::time::{sleep, timeout};

use crate::{
    adapter::http1::Reply,
    core::{
        ServiceName, Time,
        gather::{Completion, Failure, Plan, PlanSettings, Step, merge_top},
        retry::{Purpose, retry_after},
        routing::{Gather, Repeat, Route, Target},
    },
    gateway::{
        calls::{Call, CallEnd},
        routes::{RequestOutcome, RouteStats},
        state::Gateway,
        upstreams::{Leaf, NoLeaf, Service},
    },
    platform::{CallerAnswer, CallerRequest, LeafRequest},
};

/// Time before the objective at which an answer leaves with the parts that are there, besides the node's own lateness:
/// the way from and to the caller, up to 3.9 ms each.
const ANSWER_MARGIN: Duration = Duration::from_millis(8);
/// Least lateness that is expected of the node itself: the time to put an answer together.
const LEAST_LATENESS: Duration = Duration::from_millis(2);
/// Share of the objective that is given up for the node's own lateness at most.
const MOST_LATENESS: f64 = 0.3;
/// Time before the caller's own limit at which a request ends.
const END_MARGIN: Duration = Duration::from_millis(6);
/// Least time for the parts of a request that has missed its objective already.
const LATE_WAIT: Duration = Duration::from_millis(20);
/// Time for which calls go on that are no longer waited for. A leaf that only paused answers within it, and its
/// connection stays open.
const LINGER: Duration = Duration::from_millis(300);

/// A caller's request on its way through the tier.
pub(super) struct Inbound {
    pub(super) caller: CallerRequest,
    pub(super) request: Rc<LeafRequest>,
    pub(super) route: Arc<Route>,
    /// When its head had arrived.
    pub(super) arrived: Time,
}

/// The state of one request.
struct Dispatch {
    gateway: Rc<Gateway>,
    inbound: Inbound,
    stats: Rc<RefCell<RouteStats>>,
    services: SmallVec<[(ServiceName, Rc<Service>); 16]>,
    plan: Plan,
    replies: SmallVec<[Option<Reply>; 16]>,
    stamps: SmallVec<[Option<Bytes>; 16]>,
    /// Leafs that were asked for a part.
    tried: SmallVec<[(usize, Rc<Leaf>); 16]>,
    /// A leaf's own failure, the answer of a request that goes to one leaf if nothing better comes.
    fallback: Option<Box<Reply>>,
    /// When a leaf that is down is tried again.
    again: Option<Time>,
    extra: u32,
    reasons: SmallVec<[String; 2]>,
}

/// Runs a request and returns the answer to its caller.
pub(super) async fn dispatch(gateway: Rc<Gateway>, inbound: Inbound) -> Response<Full<Bytes>> {
    let mut dispatch = Dispatch::new(gateway.clone(), inbound);
    let mut calls = Calls {
        gateway: gateway.clone(),
        running: FuturesUnordered::new(),
        run: Call::run,
    };
    let mut timer = pin!(sleep(Duration::ZERO));
    let end = loop {
        let now = gateway.now();
        match dispatch.plan.step(now) {
            Step::Finish(end) => break end,
            Step::Send(parts) => {
                let placed: SmallVec<[Call; 4]> = parts
                    .into_iter()
                    .filter_map(|(part, purpose)| dispatch.place(now, part, purpose))
                    .collect();
                if let Step::Finish(end) = dispatch.plan.step(now) {
                    // Nothing is sent for a request that cannot be served.
                    placed
                        .iter()
                        .for_each(|call| dispatch.plan.revert_sent(call.part));
                    break end;
                }
                placed.into_iter().for_each(|call| calls.start(call));
            }
            Step::Wait(until) => {
                timer
                    .as_mut()
                    .reset(tokio::time::Instant::now() + until.since(now));
                tokio::select! {
                    biased;
                    Some(ended) = calls.running.next() => dispatch.ended(ended),
                    () = timer.as_mut() => {}
                }
            }
        }
    };
    let (planned, missing) = (dispatch.plan.settings().partial_at, dispatch.missing());
    let response = dispatch.finish(end);
    let now = gateway.now();
    if end == Completion::Answer && missing > 0 && now >= planned {
        let mut lateness = gateway.lateness.get();
        lateness.record(now.since(planned));
        gateway.lateness.set(lateness);
    }
    response
}

/// Calls in progress. Those that are left when the request ends go on for a while.
///
/// The future of a call has no name of its own, so the set is generic over the function that makes it.
struct Calls<F: Future<Output = CallEnd> + 'static, R: Fn(Call, Rc<Gateway>) -> F> {
    gateway: Rc<Gateway>,
    running: FuturesUnordered<F>,
    run: R,
}

impl<F: Future<Output = CallEnd> + 'static, R: Fn(Call, Rc<Gateway>) -> F> Calls<F, R> {
    fn start(&mut self, call: Call) {
        self.running.push((self.run)(call, self.gateway.clone()));
    }
}

impl<F: Future<Output = CallEnd> + 'static, R: Fn(Call, Rc<Gateway>) -> F> Drop for Calls<F, R> {
    fn drop(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let mut left = std::mem::take(&mut self.running);
        tokio::task::spawn_local(async move {
            let _ = timeout(LINGER, async { while left.next().await.is_some() {} }).await;
        });
    }
}

impl Dispatch {
    fn new(gateway: Rc<Gateway>, inbound: Inbound) -> Self {
        let route = inbound.route.clone();
        let stats = gateway.routes.stats(&route);
        let service = |name: &ServiceName| (name.clone(), gateway.upstreams.service(name));
        let (services, required) = match &route.target {
            Target::Service(name) => (SmallVec::from_iter([service(name)]), 1),
            Target::Split(parts) => {
                let weights = parts.iter().map(|(_, weight)| *weight);
                let part = stats.borrow_mut().spread.next(weights);
                (SmallVec::from_iter([service(&parts[part].0)]), 1)
            }
            Target::Gather(gather) => {
                let services = gather.shards.iter().map(service).collect();
                (services, gather.required_shards())
            }
        };
        let arrived = inbound.arrived;
        let patience = inbound.caller.timeout.unwrap_or(route.timeout);
        let (spent, hedge_delay, typical) = {
            let mut stats = stats.borrow_mut();
            stats.patience = stats.patience.max(patience);
            (stats.patience - patience, stats.hedge, stats.usual)
        };
        let deadline = arrived + patience.min(route.timeout).saturating_sub(END_MARGIN);
        let lateness = gateway.lateness.get().expected();
        let lateness = lateness.clamp(
            LEAST_LATENESS,
            LEAST_LATENESS.max(route.objective.mul_f64(MOST_LATENESS)),
        );
        let left = route
            .objective
            .saturating_sub(spent)
            .saturating_sub(ANSWER_MARGIN + lateness);
        let parts = services.len();
        let settings = PlanSettings {
            parts,
            required,
            max_attempts: route.max_attempts,
            repeatable: route.repeat == Repeat::Idempotent,
            typical,
            hedge_delay,
            partial_at: arrived + left.max(LATE_WAIT),
            deadline,
        };
        Self {
            plan: Plan::new(settings, arrived),
            stats,
            services,
            replies: SmallVec::from_elem(None, parts),
            stamps: SmallVec::from_elem(None, parts),
            tried: SmallVec::new(),
            fallback: None,
            again: None,
            extra: 0,
            reasons: SmallVec::new(),
            inbound,
            gateway,
        }
    }

    /// Returns the number of parts without an answer.
    fn missing(&self) -> usize {
        self.services.len() - self.plan.answered_count()
    }

    fn gather(&self) -> Option<&Gather> {
        match &self.inbound.route.target {
            Target::Gather(gather) => Some(gather),
            _ => None,
        }
    }

    /// Chooses a leaf for a part that is due.
    fn place(&mut self, now: Time, part: usize, purpose: Option<Purpose>) -> Option<Call> {
        let gateway = self.gateway.clone();
        let bounds = gateway.settings.borrow().bounds.retry;
        let (name, service) = self.services[part].clone();
        if let Some(purpose) = purpose {
            let nodes = gateway.planned();
            let mut budget = service.budget.borrow_mut();
            if !budget.allows(now, &bounds, nodes, purpose) {
                drop(budget);
                self.note(now, part, "no_budget", Some(purpose));
                self.plan.record_no_budget(part, now);
                return None;
            }
        }
        let late = self.plan.is_late(now);
        if late && !service.contention.get().admits_late(now) {
            self.note(now, part, "stand_back", purpose);
            self.plan.record_no_room(part, now);
            return None;
        }
        let tried: SmallVec<[Rc<Leaf>; 2]> = self
            .tried
            .iter()
            .filter(|(other, _)| *other == part)
            .map(|(_, leaf)| leaf.clone())
            .collect();
        let usual = self.stats.borrow().usual;
        let regions = &self.inbound.route.regions;
        let chosen = gateway
            .upstreams
            .choose(&gateway, &name, &service, usual, regions, &tried);
        let leaf = match chosen {
            Ok(leaf) => leaf,
            Err(NoLeaf::Full) => {
                self.note(now, part, "no_room", purpose);
                if !late {
                    let mut contention = service.contention.get();
                    contention.record_no_room(now);
                    service.contention.set(contention);
                }
                self.plan.record_no_room(part, now);
                return None;
            }
            Err(NoLeaf::Down(until)) => {
                self.note(now, part, "no_leaf", purpose);
                self.again = self.again.into_iter().chain(until).min();
                self.plan.record_no_leaf(part);
                return None;
            }
        };
        let mut budget = service.budget.borrow_mut();
        if purpose.is_some() {
            budget.spend(now, &bounds);
            self.extra += 1;
            self.note(now, part, "second_call", purpose);
        } else {
            budget.earn(now, &bounds);
        }
        self.plan.record_sent(part, now);
        self.tried.push((part, leaf.clone()));
        let PlanSettings {
            deadline,
            repeatable,
            ..
        } = *self.plan.settings();
        Some(Call {
            part,
            leaf,
            request: self.inbound.request.clone(),
            id: self.inbound.caller.id.clone(),
            deadline,
            objective: self.inbound.route.objective,
            repeatable,
            stats: self.stats.clone(),
        })
    }

    /// Takes the end of a call.
    fn ended(&mut self, ended: CallEnd) {
        let now = self.gateway.now();
        let part = ended.part;
        match ended.result {
            Ok((reply, answer)) => {
                let is_part = self.gather().is_none() || answer.success && answer.stamp.is_some();
                if !is_part {
                    self.plan.record_failure(part, now, Failure::MayHaveRun);
                } else if self.plan.record_answer(part) {
                    self.replies[part] = Some(reply);
                    self.stamps[part] = answer.stamp;
                }
            }
            Err(failure) => {
                if let Some(suppressed) = self.gateway.log_limiter.admit(now, "call_failed") {
                    log::warn!(
                        id = &*self.inbound.caller.id,
                        route = &*self.inbound.route.name,
                        service:% = self.services[part].0,
                        leaf:% = ended.leaf.instance(),
                        not_run = failure.failure != Failure::MayHaveRun,
                        elapsed_ms = now.since(self.inbound.arrived).as_millis() as u64,
                        suppressed;
                        "leaf call failed: {}",
                        failure.reason
                    );
                }
                if self.reasons.len() < self.reasons.inline_size() {
                    self.reasons.push(failure.reason);
                }
                if failure.failure == Failure::MayHaveRun {
                    self.fallback = failure.reply.or(self.fallback.take());
                }
                if failure.failure == Failure::Shed {
                    let leaf = &ended.leaf;
                    self.tried
                        .retain(|(other, tried)| *other != part || !Rc::ptr_eq(tried, leaf));
                }
                self.plan.record_failure(part, now, failure.failure);
            }
        }
    }

    fn finish(self, end: Completion) -> Response<Full<Bytes>> {
        let now = self.gateway.now();
        let elapsed = now.since(self.inbound.arrived);
        let id = &*self.inbound.caller.id;
        let missing = self.missing();
        let outcome = match end {
            Completion::Answer if missing > 0 => RequestOutcome::Partial,
            Completion::Answer => RequestOutcome::Answered,
            Completion::Unreachable => RequestOutcome::Unreachable,
            Completion::Timeout => RequestOutcome::Timeout,
        };
        self.stats.borrow().count(outcome, elapsed, self.extra);
        if outcome != RequestOutcome::Answered
            && let Some(suppressed) = self.gateway.log_limiter.admit(now, outcome.label())
        {
            let absent = (0..self.services.len()).filter(|part| !self.plan.is_answered(*part));
            let absent: Vec<_> = absent.map(|part| self.services[part].0.as_str()).collect();
            log::warn!(
                id,
                route = &*self.inbound.route.name,
                version = self.gateway.routing.borrow().version(),
                outcome = outcome.label(),
                elapsed_ms = elapsed.as_millis() as u64,
                extra_calls = self.extra,
                missing = absent.join(","),
                causes = self.reasons.join("; "),
                may_have_run = self.plan.may_have_run(),
                suppressed;
                "request ended"
            );
        }
        if end == Completion::Answer {
            if let Some(gather) = self.gather() {
                let stamps: Vec<Bytes> = self.stamps.iter().flatten().cloned().collect();
                let bodies = self.replies.iter().flatten().map(|reply| &reply.body);
                let records = merge_top(bodies, gather.top_k);
                let answer = CallerAnswer::Gathered {
                    stamps: &stamps,
                    missing,
                    records,
                };
                return answer.into_response(id);
            }
            if let Some(Some(reply)) = self.replies.first() {
                return CallerAnswer::Leaf(reply).into_response(id);
            }
        }
        if self.gather().is_none()
            && let Some(reply) = &self.fallback
        {
            return CallerAnswer::Leaf(reply).into_response(id);
        }
        if !self.plan.may_have_run() {
            let earliest = self.again.map_or(Duration::ZERO, |again| again.since(now));
            let priority = self.inbound.route.priority;
            let retry_after = retry_after(earliest, priority, &mut *self.gateway.rng.borrow_mut());
            return CallerAnswer::Unavailable { retry_after }.into_response(id);
        }
        let status = match end {
            Completion::Timeout => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        };
        CallerAnswer::MayHaveRun(status).into_response(id)
    }

    /// Counts and logs a decision about a part, with what it rests on.
    fn note(&self, now: Time, part: usize, decision: &'static str, purpose: Option<Purpose>) {
        let gateway = &self.gateway;
        metrics::counter!("cranberrychute_decisions_total", "decision" => decision).increment(1);
        let Some(suppressed) = gateway.log_limiter.admit(now, decision) else {
            return;
        };
        let (name, service) = &self.services[part];
        let known = service.leafs.borrow();
        let resting = known
            .iter()
            .filter(|leaf| leaf.gauge.borrow().is_ejected(now))
            .count();
        let leaving = known
            .iter()
            .filter(|leaf| leaf.record.borrow().leaving)
            .count();
        log::info!(
            id = &*self.inbound.caller.id,
            route = &*self.inbound.route.name,
            service:% = name,
            decision,
            purpose = purpose.map_or("first", Purpose::label),
            elapsed_ms = now.since(self.inbound.arrived).as_millis() as u64,
            leafs = known.len(),
            resting,
            leaving,
            revision = gateway.feed.borrow().revision(),
            news_age_ms = gateway.sync.age(now).as_millis() as u64,
            suppressed;
            "decision on a part"
        );
    }
}
