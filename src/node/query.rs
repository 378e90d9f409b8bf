use std::{collections::HashMap, sync::Arc, time::Duration};

use tokio::{sync::mpsc, task::JoinSet};

use super::{Node, service::CrashLedgerView, span::Span};
use crate::core::{
    NodeId, PartitionId, ServiceName, Time,
    call::{Failure, LeafBatch, LeafCall, LeafReply, LeafStatus, NotRun, Outcome},
    config::{ConfigView, ServiceMap, ServicePolicy},
    crash::CrashLedger,
    query::{Answer, CallId, Context, Query, QueryAction, QueryError, QueryPlan},
};

/// Whether the leaf calls of a query may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mode {
    Repeatable,
    AtMostOnce,
}

/// The parts of the configuration that a query uses.
pub(super) struct QueryConfig {
    pub(super) view: Arc<ConfigView>,
    pub(super) policy: Arc<ServicePolicy>,
    pub(super) map: Arc<ServiceMap>,
}

impl QueryConfig {
    /// Returns the active policy and map of a service, or `None` if it has none.
    pub(super) fn find(view: Arc<ConfigView>, service: &ServiceName) -> Option<Self> {
        let policy = view.services.get(service)?.clone();
        let map = view.maps.get(service)?.clone();
        Some(Self { view, policy, map })
    }
}

/// Result of a leaf call.
struct CallEvent {
    call: CallId,
    outcome: Outcome,
    status: Option<LeafStatus>,
}

/// Cancels a call of a batch in progress.
struct CancelHandle {
    cancels: mpsc::Sender<u32>,
    index: u32,
}

/// Executes the actions of a query plan and collects the replies for it.
struct Driver<'a> {
    node: &'a Arc<Node>,
    query: Query,
    span: Span,
    events: mpsc::UnboundedSender<CallEvent>,
    /// Dropping the set cancels all calls in progress.
    batches: JoinSet<()>,
    cancels: HashMap<CallId, CancelHandle>,
    timer: Option<Time>,
}

/// Runs a query and returns its answer.
///
/// # Errors
///
/// Fails when the plan rejects the query, in which case no leaf call ran.
pub(super) async fn run(
    node: &Arc<Node>,
    query: Query,
    mode: Mode,
    span: Span,
) -> Result<Answer, QueryError> {
    let Some(mut config) = QueryConfig::find(node.view(), &query.service) else {
        return Err(QueryError::NoSnapshot(query.service));
    };
    let (events, mut inbox) = mpsc::unbounded_channel();
    let mut out = Vec::new();
    let start = query.clone();
    let mut plan = node.with_context(&config, &query.service, |context| match mode {
        Mode::Repeatable => QueryPlan::start(node.clock.now(), start, context, &mut out),
        Mode::AtMostOnce => QueryPlan::start_once(node.clock.now(), start, context, &mut out),
    })?;
    let deadline = plan.deadline();
    // After its first success a query needs no canary request again, so later successes are not recorded.
    let mut recorded = false;
    let mut driver = Driver {
        node,
        query,
        span,
        events,
        batches: JoinSet::new(),
        cancels: HashMap::new(),
        timer: None,
    };
    loop {
        if let Some(answer) = driver.execute(&config.view, deadline, &mut out) {
            return Ok(answer);
        }
        let delay = driver
            .timer
            .map_or(Duration::MAX, |timer| timer.since(node.clock.now()));
        let event = tokio::select! {
            event = inbox.recv() => event,
            () = tokio::time::sleep(delay.min(Duration::from_secs(60))) => None,
        };
        let answered = matches!(
            &event,
            Some(CallEvent {
                outcome: Outcome::Hits { .. },
                ..
            })
        );
        if answered && !recorded {
            recorded = true;
            let fingerprint = CrashLedger::fingerprint(&driver.query.service, &driver.query.text);
            let mut ledger = node.crash.lock().expect("no panic while locked");
            ledger.record_success(node.clock.now(), fingerprint, false);
        }
        // The plan keeps its snapshot. Replicas, failure domains and leaving states follow the active configuration.
        if let Some(current) = QueryConfig::find(node.view(), &driver.query.service) {
            config = current;
        }
        node.with_context(&config, &driver.query.service, |context| {
            let now = node.clock.now();
            match event {
                Some(CallEvent {
                    call,
                    outcome,
                    status,
                }) => {
                    plan.on_reply(now, call, outcome, status, context, &mut out);
                }
                None => plan.on_timer(now, context, &mut out),
            }
        });
    }
}

impl Driver<'_> {
    /// Executes the actions of the plan. Returns the answer once the plan has finished.
    fn execute(
        &mut self,
        view: &ConfigView,
        deadline: Time,
        out: &mut Vec<QueryAction>,
    ) -> Option<Answer> {
        let mut batches: HashMap<NodeId, Vec<(CallId, LeafCall)>> = HashMap::new();
        let mut answer = None;
        for action in out.drain(..) {
            match action {
                QueryAction::Send {
                    call,
                    leaf_call,
                    owner,
                } => match owner.or_else(|| self.owner(view, &leaf_call)) {
                    Some(owner) => batches.entry(owner).or_default().push((call, leaf_call)),
                    None => self.reject(call, NotRun::NotOwner { holder: None }),
                },
                QueryAction::Cancel(call) => {
                    if let Some(cancel) = self.cancels.remove(&call) {
                        let _ = cancel.cancels.try_send(cancel.index);
                    }
                }
                QueryAction::SetTimer(at) => self.timer = Some(at),
                QueryAction::Finish(done) => answer = Some(done),
            }
        }
        for (owner, calls) in batches {
            self.send(view, owner, calls, deadline);
        }
        answer
    }

    fn owner(&self, view: &ConfigView, call: &LeafCall) -> Option<NodeId> {
        let map = view.maps.get(&self.query.service)?;
        let info = map.leaves.get(&call.leaf)?;
        let partition = PartitionId::of(&call.leaf, &info.domain, self.node.partitions());
        let leases = self.node.leases.lock().expect("no panic while locked");
        leases.holder_hint(self.node.clock.now(), &partition)
    }

    fn reject(&self, call: CallId, reason: NotRun) {
        let event = CallEvent {
            call,
            outcome: Outcome::NotRun(reason),
            status: None,
        };
        let _ = self.events.send(event);
    }

    fn send(
        &mut self,
        view: &ConfigView,
        owner: NodeId,
        calls: Vec<(CallId, LeafCall)>,
        deadline: Time,
    ) {
        let span = Span::child("leaf_batch", &self.span).with(|| {
            [
                ("owner", owner.to_string()),
                ("calls", calls.len().to_string()),
            ]
        });
        let (ids, calls): (Vec<CallId>, Vec<LeafCall>) = calls.into_iter().unzip();
        let trace = span.context().map(|span| span.to_string().into());
        let batch = LeafBatch {
            request: self.query.request.clone(),
            service: self.query.service.clone(),
            trace,
            budget: deadline.since(self.node.clock.now()).as_micros() as u64,
            text: self.query.text.clone(),
            top: self.query.top,
            calls,
        };
        let (cancels, cancelled) = mpsc::channel(ids.len());
        for (index, call) in ids.iter().enumerate() {
            let cancel = CancelHandle {
                cancels: cancels.clone(),
                index: index as u32,
            };
            self.cancels.insert(*call, cancel);
        }
        let (node, events) = (self.node.clone(), self.events.clone());
        let addr = view
            .vms
            .vms
            .iter()
            .find(|vm| vm.id == owner)
            .map(|vm| vm.peer);
        let work = async move {
            let mut unanswered: Vec<Option<CallId>> = ids.into_iter().map(Some).collect();
            let (replies, mut inbox) = mpsc::channel(unanswered.len());
            let run = async {
                if owner == node.me {
                    node.run_batch(batch, replies, cancelled).await;
                    return Failure::OwnerLost.into();
                }
                let Some(addr) = addr else {
                    return Outcome::NotRun(NotRun::Unreachable);
                };
                match node
                    .peers
                    .batch(&owner, addr, batch, &replies, cancelled)
                    .await
                {
                    Ok(()) => Failure::OwnerLost.into(),
                    Err(error) => {
                        log::debug!(peer = owner.as_str(); "leaf batch failed: {error}");
                        match error.is_unsent() {
                            true => Outcome::NotRun(NotRun::Unreachable),
                            false => Failure::OwnerLost.into(),
                        }
                    }
                }
            };
            let mut run = std::pin::pin!(run);
            let forward = |reply: LeafReply, unanswered: &mut Vec<Option<CallId>>| {
                if let Some(call) = unanswered
                    .get_mut(reply.index as usize)
                    .and_then(Option::take)
                {
                    let LeafReply {
                        outcome, status, ..
                    } = reply;
                    let _ = events.send(CallEvent {
                        call,
                        outcome,
                        status: Some(status),
                    });
                }
            };
            let unanswered_outcome = loop {
                tokio::select! {
                    biased;
                    Some(reply) = inbox.recv() => forward(reply, &mut unanswered),
                    outcome = &mut run => break outcome,
                }
            };
            while let Ok(reply) = inbox.try_recv() {
                forward(reply, &mut unanswered);
            }
            for call in unanswered.into_iter().flatten() {
                let _ = events.send(CallEvent {
                    call,
                    outcome: unanswered_outcome.clone(),
                    status: None,
                });
            }
        };
        self.batches.spawn(async move {
            work.await;
            drop(span);
        });
    }
}

impl From<Failure> for Outcome {
    fn from(failure: Failure) -> Self {
        Outcome::Failed(failure)
    }
}

impl Node {
    /// Calls `act` with the shared state of a service, which stays locked during the call.
    pub(super) fn with_context<T>(
        &self,
        config: &QueryConfig,
        service: &ServiceName,
        act: impl FnOnce(&mut Context<'_, CrashLedgerView<'_>>) -> T,
    ) -> T {
        let state = self.service(service);
        let mut state = state.lock().expect("no panic while locked");
        let crash = self.crash.lock().expect("no panic while locked");
        let state = &mut *state;
        act(&mut Context {
            policy: &config.policy,
            map: &config.map,
            domains: &config.view.domains,
            health: &mut state.health,
            budget: &mut state.budget,
            crash: &CrashLedgerView(&crash),
            rng: &mut state.rng,
        })
    }
}
