use std::{
    cell::{Cell, RefCell},
    pin::pin,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use futures::{StreamExt, stream::FuturesUnordered};
use http::StatusCode;
use smallvec::SmallVec;
use tokio::time::{sleep, timeout};

use crate::{
    adapter::http1::Reply,
    core::{
        ServiceName, StopPhase, Time,
        crash::{Admission, CrashId},
        gather::{Completion, Failure, Plan, PlanSettings, Step, crossing_hedge_delay, merge_top},
        link::LinkState,
        retry::{Purpose, retry_after},
        routing::{Gather, Target},
    },
    gateway::{
        admission::Place,
        calls::{Call, CompletedCall},
        crashes::Trial,
        inbound::Inbound,
        ingress::Answer,
        leaf::Leaf,
        routes::{RequestOutcome, RouteStats},
        state::Gateway,
        upstreams::{LeafQuery, NoLeaf, Service},
    },
    platform::CallerAnswer,
};

/// Time before the objective at which an answer is sent with the parts received so far, in addition to the node's send
/// delay. It covers the network latency from and to the caller, up to 4.4 ms each way.
const ANSWER_MARGIN: Duration = Duration::from_millis(9);
/// Additional margin for the first request on a connection: the round trip in which its caller opened it.
const CONNECT_MARGIN: Duration = Duration::from_millis(9);
/// Minimum send delay that is expected of the node: the time to assemble an answer.
const MIN_SEND_DELAY: Duration = Duration::from_millis(2);
/// Maximum share of the objective that is reserved for the send delay of the node.
const MAX_SEND_DELAY_SHARE: f64 = 0.3;
/// Maximum share of the objective for which a request of the most urgent priority waits for a leaf whose rate limit is used
/// up.
const MAX_RATE_WAIT_SHARE: f64 = 0.25;
/// Time after the planned end of a query within which its answer counts as in time: what it takes to assemble it.
const SEND_TOLERANCE: Duration = Duration::from_millis(2);
/// Minimum time to wait for the parts of a request that has already missed its objective.
const MIN_PART_WAIT: Duration = Duration::from_millis(20);
/// Time for which calls continue after their request has ended. A leaf that was only paused answers within it, so its
/// connection stays open.
const DETACHED_CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// The services that answer the parts of a request.
type Services = SmallVec<[(ServiceName, Rc<Service>); 16]>;

/// The state of one request.
struct RequestDispatch {
    gateway: Rc<Gateway>,
    inbound: Inbound,
    route_stats: Rc<RefCell<RouteStats>>,
    services: Services,
    plan: Plan,
    replies: SmallVec<[Option<Reply>; 16]>,
    stamps: SmallVec<[Option<Bytes>; 16]>,
    /// Leaves already called for a part, except those that shed the call.
    tried: SmallVec<[(usize, Rc<Leaf>); 16]>,
    /// An error answer of a leaf. It is returned for a request that needs one leaf if no leaf succeeds.
    fallback: Option<Box<Reply>>,
    /// When the first of the leaves that are down is tried again.
    retry_at: Option<Time>,
    extra_calls: u32,
    /// When the parts received became enough for an answer.
    sufficient_at: Option<Time>,
    /// Whether calls that are not sent yet are still needed.
    wanted: Rc<Cell<bool>>,
    /// Identifies the crash, if leaves end while they run the request.
    crash: CrashId,
    /// Why the first failed calls failed.
    reasons: SmallVec<[String; 2]>,
    /// Parts that a leaf shed or that found no leaf with room.
    short_parts: SmallVec<[usize; 4]>,
}

/// Runs a request and returns the answer to its caller.
pub(super) async fn dispatch(gateway: Rc<Gateway>, inbound: Inbound) -> Answer {
    if gateway.link.hands_over() {
        if let Some(answer) = gateway.hand_over(&inbound).await {
            return answer;
        }
        if gateway.link.state() == LinkState::Lost {
            return gateway.reject_unreachable(&inbound);
        }
    }
    let mut dispatch = RequestDispatch::new(gateway.clone(), inbound);
    let place = match dispatch.admit().await {
        Ok(place) => place,
        Err(retry_after) => return dispatch.reject(retry_after),
    };
    let mut calls = Calls {
        gateway: gateway.clone(),
        running: FuturesUnordered::new(),
        wanted: dispatch.wanted.clone(),
        run: Call::run,
    };
    let mut timer = pin!(sleep(Duration::ZERO));
    let mut link_lost = pin!(gateway.link.lost());
    let mut aborted = pin!(gateway.stop.reached(StopPhase::Aborting));
    let mut ends = false;
    let completion = loop {
        let now = gateway.now();
        match dispatch.plan.step(now) {
            Step::Finish(completion) => break completion,
            Step::Send(parts) => {
                let prepared: SmallVec<[Call; 4]> = parts
                    .into_iter()
                    .filter_map(|(part, purpose)| dispatch.prepare_call(now, part, purpose))
                    .collect();
                if let Some(place) = &place {
                    place.lacked_room.set(!dispatch.short_parts.is_empty());
                }
                if let Step::Finish(completion) = dispatch.plan.step(now) {
                    // No call is sent for a request that cannot succeed.
                    for call in &prepared {
                        dispatch.plan.revert_sent(call.part);
                        call.leaf.give_back_call();
                    }
                    break completion;
                }
                prepared.into_iter().for_each(|call| calls.start(call));
            }
            Step::Wait(until) => {
                timer
                    .as_mut()
                    .reset(tokio::time::Instant::now() + until.since(now));
                tokio::select! {
                    biased;
                    Some(completed) = calls.running.next() => dispatch.handle_completed(completed),
                    () = timer.as_mut() => {}
                    () = aborted.as_mut(), if !ends => {
                        ends = true;
                        dispatch.plan.end_at(gateway.now());
                    }
                    () = link_lost.as_mut(), if dispatch.inbound.is_repeatable() => {
                        if let Some(answer) = dispatch.hand_over_sent().await {
                            return answer;
                        }
                        link_lost.set(gateway.link.lost());
                    }
                }
            }
        }
    };
    let missing = dispatch.missing();
    if let Some(place) = place {
        place.finish(
            gateway.now(),
            completion == Completion::Answer && missing == 0,
            dispatch.lacked_room(),
            dispatch.plan.answered_count(),
        );
    }
    let is_rejected = completion == Completion::Unreachable && !dispatch.plan.may_have_run();
    if is_rejected
        && !gateway.link.is_up()
        && let Some(answer) = gateway.hand_over(&dispatch.inbound).await
    {
        return answer;
    }
    let planned = dispatch.planned_time();
    let response = dispatch.finish(completion);
    let now = gateway.now();
    if completion == Completion::Answer && missing > 0 && now >= planned {
        let mut send_delay = gateway.send_delay.get();
        send_delay.record(now.since(planned));
        gateway.send_delay.set(send_delay);
    }
    response
}

/// Calls in progress. When dropped, calls that were sent and have not ended continue for up to
/// [`DETACHED_CALL_TIMEOUT`]; those that still wait for a connection are not sent.
///
/// The type of a call's future cannot be named, so the struct is generic over the function that creates it.
struct Calls<F: Future<Output = CompletedCall> + 'static, R: Fn(Call, Rc<Gateway>) -> F> {
    gateway: Rc<Gateway>,
    running: FuturesUnordered<F>,
    wanted: Rc<Cell<bool>>,
    run: R,
}

impl<F: Future<Output = CompletedCall> + 'static, R: Fn(Call, Rc<Gateway>) -> F> Calls<F, R> {
    fn start(&mut self, call: Call) {
        self.running.push((self.run)(call, self.gateway.clone()));
    }
}

impl<F: Future<Output = CompletedCall> + 'static, R: Fn(Call, Rc<Gateway>) -> F> Drop
    for Calls<F, R>
{
    fn drop(&mut self) {
        self.wanted.set(false);
        if self.running.is_empty() {
            return;
        }
        let mut remaining = std::mem::take(&mut self.running);
        tokio::task::spawn_local(async move {
            let _ = timeout(DETACHED_CALL_TIMEOUT, async {
                while remaining.next().await.is_some() {}
            })
            .await;
        });
    }
}

impl RequestDispatch {
    fn new(gateway: Rc<Gateway>, inbound: Inbound) -> Self {
        let route = inbound.route.clone();
        let stats = gateway.route_stats.stats(&route);
        let service = |name: &ServiceName| (name.clone(), gateway.upstreams.service(name));
        let (services, required): (Services, _) = match &route.target {
            Target::Service(name) => (SmallVec::from_iter([service(name)]), 1),
            Target::Split(parts) => {
                let weights = parts.iter().map(|(_, weight)| *weight);
                let part = stats.borrow_mut().split.next(weights);
                (SmallVec::from_iter([service(&parts[part].0)]), 1)
            }
            Target::Gather(gather) => {
                let services = gather.shards.iter().map(service).collect();
                (services, gather.required_shards())
            }
        };
        let arrived = inbound.arrived;
        let caller_timeout = inbound.timeout();
        // A caller whose timeout is shorter than the longest one on the route is taken to have spent the difference
        // before it sent the request.
        let (spent, hedge_delay, typical) = {
            let mut stats = stats.borrow_mut();
            stats.max_timeout = stats.max_timeout.max(caller_timeout);
            (
                stats.max_timeout - caller_timeout,
                stats.hedge_delay,
                stats.typical,
            )
        };
        let waited = inbound.waited;
        let deadline = inbound.deadline();
        let send_delay = gateway.send_delay.get().expected();
        let send_delay = send_delay.clamp(
            MIN_SEND_DELAY,
            MIN_SEND_DELAY.max(route.objective.mul_f64(MAX_SEND_DELAY_SHARE)),
        );
        let margin = if inbound.first {
            ANSWER_MARGIN + CONNECT_MARGIN
        } else {
            ANSWER_MARGIN
        };
        let time_left = route
            .objective
            .saturating_sub(spent + waited)
            .saturating_sub(margin + send_delay);
        let parts = services.len();
        // The shards of a query are placed alike, so the first one stands for all.
        let hedges_cross = parts > 0 && services[0].1.hedges_cross(&gateway.settings.borrow());
        let hedge_delay = match hedges_cross {
            true => crossing_hedge_delay(hedge_delay, time_left),
            false => hedge_delay,
        };
        let settings = PlanSettings {
            parts,
            required,
            max_attempts: route.max_attempts,
            repeatable: inbound.is_repeatable(),
            typical,
            hedge_delay,
            partial_at: arrived + time_left.max(MIN_PART_WAIT),
            deadline,
        };
        Self {
            plan: Plan::new(settings, arrived),
            route_stats: stats,
            services,
            replies: SmallVec::from_elem(None, parts),
            stamps: SmallVec::from_elem(None, parts),
            tried: SmallVec::new(),
            fallback: None,
            retry_at: None,
            extra_calls: 0,
            sufficient_at: None,
            wanted: Rc::new(Cell::new(true)),
            crash: gateway.new_crash_id(),
            reasons: SmallVec::new(),
            short_parts: SmallVec::new(),
            inbound,
            gateway,
        }
    }

    /// Hands over a request whose calls may have been sent before the link was lost.
    async fn hand_over_sent(&self) -> Option<Answer> {
        let answer = self.gateway.hand_over(&self.inbound).await?;
        // A rejection by another node says that nothing has run, which is not known here.
        let is_rejected = answer.status() == StatusCode::SERVICE_UNAVAILABLE;
        (!is_rejected || !self.plan.may_have_run()).then_some(answer)
    }

    /// Returns when an answer with missing parts was due: as planned, or as soon as its parts were enough.
    fn planned_time(&self) -> Time {
        let partial_at = self.plan.settings().partial_at;
        self.sufficient_at
            .map_or(partial_at, |at| at.max(partial_at))
    }

    /// Waits until the query may be sent. Returns no place if the settings do not ask for admission.
    async fn admit(&self) -> Result<Option<Place>, Duration> {
        if !self.gateway.settings.borrow().admission {
            return Ok(None);
        }
        let target: SmallVec<[ServiceName; 16]> =
            self.services.iter().map(|(name, _)| name.clone()).collect();
        let objective_at = self.plan.settings().partial_at + SEND_TOLERANCE;
        let place = self.gateway.admit(&self.inbound, &target, objective_at);
        place.await.map(Some)
    }

    /// Returns the answer to a query that was not admitted.
    fn reject(self, retry_after: Duration) -> Answer {
        let elapsed = self.gateway.now().since(self.inbound.arrived);
        self.route_stats
            .borrow()
            .record_request(RequestOutcome::Rejected, elapsed, 0);
        CallerAnswer::Unavailable { retry_after }.into_response(&self.inbound.caller.id)
    }

    /// Returns whether the parts that are missing, or any part of a whole answer, met a lack of room.
    fn lacked_room(&self) -> bool {
        let is_whole = self.missing() == 0;
        let mut short = self.short_parts.iter();
        short.any(|part| is_whole || !self.plan.is_answered(*part))
    }

    fn record_short(&mut self, part: usize) {
        if !self.short_parts.contains(&part) {
            self.short_parts.push(part);
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

    /// Chooses a leaf for a part that is due and records its call as sent. Returns None if no call can be sent now.
    fn prepare_call(&mut self, now: Time, part: usize, purpose: Option<Purpose>) -> Option<Call> {
        let gateway = self.gateway.clone();
        let content = self.inbound.content;
        let admission = gateway.crashes.borrow().admit(now, content);
        match admission {
            Admission::Normal | Admission::Trial => {}
            Admission::Wait(until) => {
                self.record_decision(now, part, "trial_in_progress", purpose);
                self.plan.record_full_until(part, until);
                return None;
            }
            Admission::Reject(_) => {
                self.record_decision(now, part, "crashes_leaves", purpose);
                self.plan.record_no_leaf(part);
                return None;
            }
        }
        let is_trial = admission == Admission::Trial;
        let bounds = gateway.settings.borrow().bounds.retry;
        let service = self.services[part].1.clone();
        if let Some(purpose) = purpose {
            let nodes = gateway.planned_node_count();
            let mut budget = service.budget.borrow_mut();
            if !budget.allows(now, &bounds, nodes, purpose) {
                drop(budget);
                self.record_decision(now, part, "no_budget", Some(purpose));
                self.plan.record_no_budget(part, now);
                return None;
            }
        }
        let late = self.plan.is_late(now);
        if late && !service.contention.get().admits_late(now) {
            self.record_decision(now, part, "stand_back", purpose);
            self.plan.record_no_room(part, now);
            return None;
        }
        let tried: SmallVec<[Rc<Leaf>; 2]> = self
            .tried
            .iter()
            .filter(|(other, _)| *other == part)
            .map(|(_, leaf)| leaf.clone())
            .collect();
        let typical = self.route_stats.borrow().typical;
        let query = LeafQuery {
            typical,
            time_left: self.plan.settings().partial_at.since(now),
            is_extra: purpose.is_some(),
            regions: &self.inbound.route.regions,
            tried: &tried,
            key: self.inbound.key,
            limited: purpose.is_none_or(Purpose::is_retry),
            least_used: is_trial,
        };
        let chosen = gateway.upstreams.choose(&gateway, &service, query);
        let leaf = match chosen {
            Ok(leaf) => leaf,
            Err(NoLeaf::Full) => {
                self.record_decision(now, part, "no_room", purpose);
                self.record_short(part);
                if !late {
                    let mut contention = service.contention.get();
                    contention.record_no_room(now);
                    service.contention.set(contention);
                }
                self.plan.record_no_room(part, now);
                return None;
            }
            Err(NoLeaf::Limited(until)) => {
                self.record_decision(now, part, "rate_limit", purpose);
                self.retry_at = Some(self.retry_at.map_or(until, |at| at.min(until)));
                if until <= self.rate_wait_end() {
                    self.plan.record_full_until(part, until);
                } else {
                    self.plan.record_no_leaf(part);
                }
                return None;
            }
            Err(NoLeaf::Down(until)) => {
                self.record_decision(now, part, "no_leaf", purpose);
                self.retry_at = self.retry_at.into_iter().chain(until).min();
                self.plan.record_no_leaf(part);
                return None;
            }
        };
        let mut budget = service.budget.borrow_mut();
        if purpose.is_some() {
            budget.spend(now, &bounds);
            self.extra_calls += 1;
            self.record_decision(now, part, "second_call", purpose);
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
            service: service.clone(),
            leaf,
            request: self.inbound.request.clone(),
            id: self.inbound.caller.id.clone(),
            key: self.inbound.key,
            deadline,
            objective: self.inbound.route.objective,
            partial: self.gather().is_some(),
            wanted: self.wanted.clone(),
            repeatable,
            is_extra: purpose.is_some(),
            route_stats: self.route_stats.clone(),
            content,
            crash: match is_trial {
                true => gateway.new_crash_id(),
                false => self.crash,
            },
            trial: is_trial.then(|| Trial::start(&gateway, content)),
        })
    }

    /// Returns until when the request may wait for a leaf whose rate limit is used up.
    ///
    /// A part of an answer is left out at once. A request to one leaf waits for a short part of its objective, longer if
    /// it is urgent, and is rejected while its caller can still be served elsewhere.
    fn rate_wait_end(&self) -> Time {
        let Inbound {
            route,
            arrived,
            waited,
            ..
        } = &self.inbound;
        if self.gather().is_some() {
            return *arrived;
        }
        let longest = route.objective.mul_f64(MAX_RATE_WAIT_SHARE)
            / self.inbound.priority().saturating_add(1);
        *arrived + longest.saturating_sub(*waited)
    }

    /// Handles the result of a call.
    fn handle_completed(&mut self, completed: CompletedCall) {
        let now = self.gateway.now();
        let part = completed.part;
        match completed.result {
            Ok((reply, answer)) => {
                let is_usable = self.gather().is_none() || answer.is_part;
                if !is_usable {
                    self.plan.record_failure(part, now, Failure::MayHaveRun);
                } else if self.plan.record_answer(part) {
                    self.replies[part] = Some(reply);
                    self.stamps[part] = answer.stamp;
                    if self.plan.answered_count() >= self.plan.settings().required {
                        self.sufficient_at.get_or_insert(now);
                    }
                }
            }
            Err(failure) => {
                if let Some(suppressed) = self.gateway.log_limiter.admit(now, "call_failed") {
                    log::warn!(
                        id = &*self.inbound.caller.id,
                        route = &*self.inbound.route.name,
                        service:% = self.services[part].0,
                        leaf:% = completed.leaf.instance(),
                        fingerprint:% = self.inbound.content,
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
                    self.record_short(part);
                    let leaf = &completed.leaf;
                    self.tried
                        .retain(|(other, tried)| *other != part || !Rc::ptr_eq(tried, leaf));
                }
                self.plan.record_failure(part, now, failure.failure);
            }
        }
    }

    fn finish(self, completion: Completion) -> Answer {
        let now = self.gateway.now();
        let elapsed = now.since(self.inbound.arrived);
        let id = &*self.inbound.caller.id;
        let missing = self.missing();
        let outcome = match completion {
            Completion::Answer if missing > 0 => RequestOutcome::Partial,
            Completion::Answer => RequestOutcome::Answered,
            Completion::Unreachable => RequestOutcome::Unreachable,
            Completion::Timeout => RequestOutcome::Timeout,
        };
        self.route_stats
            .borrow()
            .record_request(outcome, elapsed, self.extra_calls);
        if outcome != RequestOutcome::Answered
            && let Some(suppressed) = self.gateway.log_limiter.admit(now, outcome.label())
        {
            let unanswered = (0..self.services.len()).filter(|part| !self.plan.is_answered(*part));
            let unanswered: Vec<_> = unanswered
                .map(|part| self.services[part].0.as_str())
                .collect();
            log::warn!(
                id,
                route = &*self.inbound.route.name,
                version = self.gateway.routing.borrow().version(),
                outcome = outcome.label(),
                elapsed_ms = elapsed.as_millis() as u64,
                extra_calls = self.extra_calls,
                missing = unanswered.join(","),
                fingerprint:% = self.inbound.content,
                causes = self.reasons.join("; "),
                may_have_run = self.plan.may_have_run(),
                suppressed;
                "request ended"
            );
        }
        if completion == Completion::Answer {
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
            let earliest = self.retry_at.map_or(Duration::ZERO, |at| at.since(now));
            let priority = self.inbound.priority();
            let retry_after = retry_after(earliest, priority, &mut *self.gateway.rng.borrow_mut());
            return CallerAnswer::Unavailable { retry_after }.into_response(id);
        }
        let status = match completion {
            Completion::Timeout => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        };
        CallerAnswer::MayHaveRun(status).into_response(id)
    }

    /// Counts and logs a decision about a part, with the state it is based on.
    fn record_decision(
        &self,
        now: Time,
        part: usize,
        decision: &'static str,
        purpose: Option<Purpose>,
    ) {
        let gateway = &self.gateway;
        metrics::counter!("cranberrychute_decisions_total", "decision" => decision).increment(1);
        let Some(suppressed) = gateway.log_limiter.admit(now, decision) else {
            return;
        };
        let (name, service) = &self.services[part];
        let leaves = service.leaves.borrow();
        let ejected = leaves
            .iter()
            .filter(|leaf| leaf.stats.borrow().is_ejected(now))
            .count();
        let leaving = leaves
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
            leafs = leaves.len(),
            resting = ejected,
            leaving,
            position:% = gateway.mirror.borrow().position(),
            news_age_ms = gateway.sync.age(now).as_millis() as u64,
            suppressed;
            "decision on a part"
        );
    }
}
