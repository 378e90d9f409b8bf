use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use tokio::time::timeout;

use crate::{
    adapter::http1::{ExchangeError, ExchangeStep, Reply},
    core::{
        Time,
        crash::{CrashId, Fingerprint},
        gather::{AnsweredCall, Failure, Verdict},
        placement::{CallToken, MIN_IDLE_TIME, Outcome, RequestKey},
        registry::Misdirection,
    },
    gateway::{
        crashes::{LostCall, Trial},
        leaf::Leaf,
        routes::RouteStats,
        state::Gateway,
        upstreams::Service,
    },
    platform::{LeafAnswer, LeafRequest, is_answer_to, leaf_answer},
};

/// Maximum body size of a leaf's answer, bytes.
pub(super) const MAX_BODY_BYTES: usize = 4 << 20;
/// Maximum body size of a leaf's part of an answer, bytes. All leaves of a query may send as much at the same time.
const MAX_PART_BYTES: usize = 256 << 10;
/// Time subtracted from the timeout sent to a leaf, to allow for the network latency of its answer.
const ANSWER_TRAVEL_TIME: Duration = Duration::from_millis(4);

/// Minimum time without an answer after which an abandoned call counts against its leaf. It is longer than the pauses
/// of leaves.
const MIN_NO_ANSWER_TIME: Duration = Duration::from_millis(200);
/// Multiple of the typical latency after which an abandoned call counts against its leaf, if that is longer than
/// [`MIN_NO_ANSWER_TIME`].
const NO_ANSWER_RATIO: u32 = 5;

/// One call to one leaf.
pub(super) struct Call {
    pub(super) part: usize,
    pub(super) service: Rc<Service>,
    pub(super) leaf: Rc<Leaf>,
    pub(super) request: Rc<LeafRequest>,
    /// Id of the caller's request.
    pub(super) id: Arc<str>,
    /// Identifies the request on the connections that carry it.
    pub(super) key: RequestKey,
    /// Deadline of the caller's request.
    pub(super) deadline: Time,
    pub(super) objective: Duration,
    /// The answer is one of several parts.
    pub(super) partial: bool,
    /// Cleared when the caller's request has ended or its caller has left.
    pub(super) wanted: Rc<Cell<bool>>,
    /// The request may run more than once.
    pub(super) repeatable: bool,
    /// The call is a retry or a hedged call.
    pub(super) is_extra: bool,
    pub(super) route_stats: Rc<RefCell<RouteStats>>,
    pub(super) content: Fingerprint,
    /// Identifies the crash that the loss of this call may be.
    pub(super) crash: CrashId,
    /// Set if the call is the only one of a content that may crash leaves.
    pub(super) trial: Option<Trial>,
}

/// A call that has finished.
pub(super) struct CompletedCall {
    pub(super) part: usize,
    pub(super) leaf: Rc<Leaf>,
    pub(super) result: Result<(Reply, LeafAnswer), CallFailure>,
}

/// Why a call returned no usable answer.
pub(super) struct CallFailure {
    pub(super) failure: Failure,
    /// The leaf's error answer, if it sent one.
    pub(super) reply: Option<Box<Reply>>,
    pub(super) reason: String,
}

/// Records the outcome of a call. A call that is abandoned, which drops the guard, is recorded as unanswered or as
/// cancelled, depending on how long it has waited.
struct CallGuard {
    gateway: Rc<Gateway>,
    leaf: Rc<Leaf>,
    token: CallToken,
    sent_at: Time,
    typical: Duration,
    finished: bool,
}

impl CallGuard {
    fn finish(&mut self, outcome: Outcome) {
        self.finished = true;
        let now = self.gateway.now();
        self.leaf
            .stats
            .borrow_mut()
            .end_call(now, self.token, outcome, self.typical);
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if !self.finished {
            let waited = self.gateway.now().since(self.sent_at);
            let unanswered = waited >= MIN_NO_ANSWER_TIME.max(self.typical * NO_ANSWER_RATIO);
            self.finish(if unanswered {
                Outcome::NoAnswer
            } else {
                Outcome::Cancelled
            });
        }
    }
}

impl Call {
    pub(super) async fn run(self, gateway: Rc<Gateway>) -> CompletedCall {
        let sent_at = gateway.now();
        let typical = self.route_stats.borrow().typical;
        let token = self.leaf.stats.borrow_mut().start_call(sent_at);
        let mut guard = CallGuard {
            gateway: gateway.clone(),
            leaf: self.leaf.clone(),
            token,
            sent_at,
            typical,
            finished: false,
        };
        self.leaf.record_call(self.is_extra);
        let remaining = self.deadline.since(sent_at);
        let result = match timeout(remaining, self.exchange(&gateway)).await {
            Ok(Ok((reply, is_first))) => {
                let result = self.evaluate(&gateway, &mut guard, reply, is_first);
                if let Some(trial) = &self.trial {
                    let ran = |failure: &CallFailure| failure.failure == Failure::MayHaveRun;
                    trial.answered.set(result.as_ref().err().is_none_or(ran));
                }
                result
            }
            Ok(Err(error)) => {
                guard.finish(match error.step {
                    ExchangeStep::Start if !self.wanted.get() => Outcome::Cancelled,
                    ExchangeStep::Connect if error.is_reset() => Outcome::ConnectionLimit,
                    ExchangeStep::Connect => Outcome::Refused,
                    _ => Outcome::Disconnected,
                });
                if !error.is_unsent() {
                    gateway.examine_loss(self.lost_call()).await;
                }
                Err(CallFailure {
                    failure: match error.is_unsent() {
                        true => Failure::NotRun,
                        false => Failure::MayHaveRun,
                    },
                    reply: None,
                    reason: error.to_string(),
                })
            }
            Err(_) => {
                guard.finish(Outcome::NoAnswer);
                Err(CallFailure {
                    failure: Failure::MayHaveRun,
                    reply: None,
                    reason: "no answer in time".into(),
                })
            }
        };
        CompletedCall {
            part: self.part,
            leaf: self.leaf,
            result,
        }
    }

    fn lost_call(&self) -> LostCall {
        LostCall {
            leaf: self.leaf.clone(),
            id: self.id.clone(),
            content: self.content,
            crash: self.crash,
            is_trial: self.trial.is_some(),
        }
    }

    /// Sends the request. Returns the answer, and whether it is the first one on its connection.
    async fn exchange(&self, gateway: &Gateway) -> Result<(Reply, bool), ExchangeError> {
        let now = gateway.now();
        // A request that must not run twice cannot be retried if the leaf has dropped the connection, so it only uses
        // connections that have been idle for less than MIN_IDLE_TIME.
        let allows = |idle_time| {
            idle_time < MIN_IDLE_TIME
                || self.repeatable && gateway.idle_limit.borrow().allows(now, idle_time)
        };
        let idle = self.leaf.take_idle(now, self.key, allows);
        let (mut lease, idle_time) = match idle {
            Some((lease, idle_time)) => (lease, Some(idle_time)),
            None => {
                let opened = gateway.connect(&self.leaf).await;
                if opened.as_ref().is_err_and(ExchangeError::is_reset) {
                    self.leaf.start_backoff(now);
                }
                (opened?, None)
            }
        };
        if !self.wanted.get() {
            lease.release(gateway.now());
            return Err(ExchangeError::cancelled(self.leaf.address()));
        }
        let remaining = self
            .deadline
            .since(gateway.now())
            .saturating_sub(ANSWER_TRAVEL_TIME);
        gateway.link.record_call(gateway.now(), &self.leaf);
        let bytes = self.request.encode(&self.leaf.instance(), remaining);
        let is_first = lease.carried.is_empty();
        lease.carried.record(self.key);
        let connection = lease
            .connection
            .as_mut()
            .expect("the lease holds a connection");
        let limit = if self.partial {
            MAX_PART_BYTES
        } else {
            MAX_BODY_BYTES
        };
        let reply = connection
            .exchange(&bytes, limit, |reply| is_answer_to(reply, &self.id))
            .await;
        let received = reply.as_ref().map_or(0, |reply| reply.body.len());
        gateway.record_traffic(&self.leaf, &self.service, bytes.len() + received);
        match (&reply, idle_time) {
            (Ok(_), _) => lease.release(gateway.now()),
            (Err(error), Some(idle_time)) if error.step != ExchangeStep::Body => {
                gateway.idle_limit.borrow_mut().record_reset(now, idle_time);
            }
            (Err(error), None) if error.is_reset() => self.leaf.start_backoff(now),
            (Err(_), _) => {}
        }
        Ok((reply?, is_first))
    }

    fn evaluate(
        &self,
        gateway: &Gateway,
        guard: &mut CallGuard,
        reply: Reply,
        is_first: bool,
    ) -> Result<(Reply, LeafAnswer), CallFailure> {
        let now = gateway.now();
        gateway.link.record_answer(now);
        let latency = now.since(guard.sent_at);
        let answer = leaf_answer(&reply);
        let verdict = answer.signs.verdict(AnsweredCall {
            repeatable: self.repeatable,
            is_first,
        });
        if !matches!(verdict, Verdict::Unusable(_)) {
            self.record_report(gateway, guard.sent_at, &answer);
        }
        let status = reply.status;
        let (outcome, failure, reason, reply) = match verdict {
            Verdict::Answer => {
                guard.finish(Outcome::Answered(latency));
                self.leaf.confirmed.set(true);
                self.route_stats
                    .borrow_mut()
                    .record_latency(latency, self.objective);
                return Ok((reply, answer));
            }
            Verdict::Failed => {
                let reason = format!("failed with status {status}");
                (Outcome::Failed, Failure::MayHaveRun, reason, Some(reply))
            }
            Verdict::Shed => {
                let reason = format!("refused with {status}");
                (Outcome::Shed, Failure::Shed, reason, Some(reply))
            }
            Verdict::Misdirected => {
                let misdirection = Misdirection {
                    target: &self.leaf.instance(),
                    present: answer.present.as_deref(),
                    sent_at: guard.sent_at,
                };
                let address = self.leaf.address();
                for leaf in gateway.upstreams.claims.refute(address, misdirection) {
                    if let Some(suppressed) = gateway.log_limiter.admit(now, "leaf_refuted") {
                        let present = misdirection.present.unwrap_or_default();
                        log::info!(leaf:% = leaf.instance(), id = &*self.id, address:% = address, present, suppressed; "another leaf answers at this address");
                    }
                }
                let reason = format!("refused with {status}");
                (Outcome::Shed, Failure::NotRun, reason, Some(reply))
            }
            Verdict::Unusable(reason) => {
                let outcome = match answer.signs.not_run {
                    true => Outcome::Shed,
                    false => Outcome::Failed,
                };
                let reason = format!("answer with status {status} not usable: {reason}");
                (outcome, Failure::MayHaveRun, reason, None)
            }
        };
        guard.finish(outcome);
        Err(CallFailure {
            failure,
            reason,
            reply: reply.map(Box::new),
        })
    }

    /// Records what the leaf reports about itself.
    fn record_report(&self, gateway: &Gateway, sent_at: Time, answer: &LeafAnswer) {
        let now = gateway.now();
        if let Some(load) = answer.load {
            self.leaf.stats.borrow_mut().record_load(now, load);
        }
        if let Some(left) = answer.warmup_left {
            self.leaf.set_cold(now, left);
        }
        if !answer.signs.misdirected {
            gateway.record_naming(&self.leaf, &self.id, sent_at, answer.limit);
        }
    }
}
