use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

use tokio::time::timeout;

use crate::{
    adapter::http1::{ExchangeError, ExchangeStep, Reply},
    core::{
        Time,
        gather::Failure,
        placement::{CallToken, MIN_IDLE_TIME, Outcome},
    },
    gateway::{routes::RouteStats, state::Gateway, upstreams::Leaf},
    platform::{LeafAnswer, LeafRequest, is_answer_to, leaf_answer},
};

/// Longest body of a leaf's answer, bytes.
const MAX_BODY: usize = 4 << 20;
/// Time kept back from what a leaf is told, for the way of its answer.
const WAY_BACK: Duration = Duration::from_millis(4);

/// Least time without an answer after which a call that is given up counts against its leaf; longer than the
/// pauses that leafs make.
const SILENCE: Duration = Duration::from_millis(200);
/// Multiple of the usual latency for the same purpose.
const SILENT_RATIO: u32 = 5;

/// One call to one leaf.
pub(super) struct Call {
    pub(super) part: usize,
    pub(super) leaf: Rc<Leaf>,
    pub(super) request: Rc<LeafRequest>,
    /// Id of the caller's request.
    pub(super) id: Arc<str>,
    /// When the caller's request ends.
    pub(super) deadline: Time,
    pub(super) objective: Duration,
    /// The request may run more than once.
    pub(super) repeatable: bool,
    pub(super) stats: Rc<RefCell<RouteStats>>,
}

/// How a call ended.
pub(super) struct CallEnd {
    pub(super) part: usize,
    pub(super) leaf: Rc<Leaf>,
    pub(super) result: Result<(Reply, LeafAnswer), CallFailure>,
}

/// A call without an answer to use.
pub(super) struct CallFailure {
    pub(super) failure: Failure,
    /// The leaf's own failure, if it gave one.
    pub(super) reply: Option<Box<Reply>>,
    pub(super) reason: String,
}

/// Counts a call as given up if it is dropped.
struct Running {
    gateway: Rc<Gateway>,
    leaf: Rc<Leaf>,
    token: CallToken,
    sent: Time,
    usual: Duration,
    ended: bool,
}

impl Running {
    fn end(&mut self, outcome: Outcome) {
        self.ended = true;
        let now = self.gateway.now();
        self.leaf
            .gauge
            .borrow_mut()
            .end_call(now, self.token, outcome, self.usual);
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if !self.ended {
            let waited = self.gateway.now().since(self.sent);
            let silent = waited >= SILENCE.max(self.usual * SILENT_RATIO);
            self.end(if silent {
                Outcome::NoAnswer
            } else {
                Outcome::Cancelled
            });
        }
    }
}

impl Call {
    /// Makes the call.
    pub(super) async fn run(self, gateway: Rc<Gateway>) -> CallEnd {
        let sent = gateway.now();
        let usual = self.stats.borrow().usual;
        let token = self.leaf.gauge.borrow_mut().start_call(sent);
        let mut running = Running {
            gateway: gateway.clone(),
            leaf: self.leaf.clone(),
            token,
            sent,
            usual,
            ended: false,
        };
        let left = self.deadline.since(sent);
        let result = match timeout(left, self.exchange(&gateway)).await {
            Ok(Ok(reply)) => self.judge(&gateway, &mut running, reply),
            Ok(Err(error)) => {
                running.end(match error.step {
                    ExchangeStep::Connect if error.is_reset() => Outcome::ConnectionLimit,
                    ExchangeStep::Connect => Outcome::Refused,
                    _ => Outcome::Disconnected,
                });
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
                running.end(Outcome::NoAnswer);
                Err(CallFailure {
                    failure: Failure::MayHaveRun,
                    reply: None,
                    reason: "no answer in time".into(),
                })
            }
        };
        CallEnd {
            part: self.part,
            leaf: self.leaf,
            result,
        }
    }

    async fn exchange(&self, gateway: &Gateway) -> Result<Reply, ExchangeError> {
        let now = gateway.now();
        // A request that must not run twice is lost with its connection.
        let allows = |rested| {
            rested < MIN_IDLE_TIME
                || self.repeatable && gateway.rest_limit.borrow().allows(now, rested)
        };
        let (mut lease, rested) = match self.leaf.take_idle(now, allows) {
            Some((lease, rested)) => (lease, Some(rested)),
            None => {
                let opened = self.leaf.connect().await;
                if opened.as_ref().is_err_and(ExchangeError::is_reset) {
                    self.leaf.set_crowded(now);
                }
                (opened?, None)
            }
        };
        let left = self.deadline.since(gateway.now()).saturating_sub(WAY_BACK);
        let bytes = self.request.encode(&self.leaf.instance(), left);
        let connection = lease
            .connection
            .as_mut()
            .expect("the lease was just filled");
        let reply = connection
            .exchange(&bytes, MAX_BODY, |reply| is_answer_to(reply, &self.id))
            .await;
        match (&reply, rested) {
            (Ok(_), _) => lease.release(gateway.now()),
            (Err(error), Some(rested)) if error.step != ExchangeStep::Body => {
                gateway.rest_limit.borrow_mut().record_reset(now, rested);
            }
            (Err(error), None) if error.is_reset() => self.leaf.set_crowded(now),
            (Err(_), _) => {}
        }
        reply
    }

    fn judge(
        &self,
        gateway: &Gateway,
        running: &mut Running,
        reply: Reply,
    ) -> Result<(Reply, LeafAnswer), CallFailure> {
        let now = gateway.now();
        let latency = now.since(running.sent);
        let answer = leaf_answer(&reply);
        if let Some(load) = answer.load {
            self.leaf.gauge.borrow_mut().record_load(now, load);
        }
        if let Some(cold) = answer.warmup_left {
            self.leaf.set_cold(now, cold);
        }
        if answer.misdirected {
            log::info!(leaf:% = self.leaf.instance(), id = &*self.id; "another leaf has the address");
            self.leaf.misplaced.set(true);
        }
        if answer.not_run {
            running.end(Outcome::Shed);
            let failure = match answer.misdirected {
                true => Failure::NotRun,
                false => Failure::Shed,
            };
            return Err(CallFailure {
                failure,
                reason: format!("refused with {}", reply.status),
                reply: Some(Box::new(reply)),
            });
        }
        if reply.status >= 500 {
            running.end(Outcome::Failed);
            return Err(CallFailure {
                failure: Failure::MayHaveRun,
                reason: format!("failed with {}", reply.status),
                reply: Some(Box::new(reply)),
            });
        }
        running.end(Outcome::Answered(latency));
        self.stats.borrow_mut().record(latency, self.objective);
        Ok((reply, answer))
    }
}
