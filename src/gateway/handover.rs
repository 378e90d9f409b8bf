use std::{cell::RefCell, collections::HashMap, time::Duration};

use http::StatusCode;
use rand::seq::SliceRandom;
use tokio::time::timeout;

use crate::{
    adapter::http1::{Connection, ExchangeError, Reply},
    core::{
        Domain, NodeId, StopPhase, Time,
        entry::EntryReport,
        link::{Handover, Helper, HelperLoad},
        placement::MIN_IDLE_TIME,
        retry::retry_after,
    },
    gateway::{
        calls::MAX_BODY_BYTES, inbound::Inbound, ingress::Answer, members::node_address,
        state::Gateway,
    },
    platform::{CallerAnswer, is_answer_to, is_rejection, retry_time},
};

/// Maximum number of nodes among which helpers are chosen.
const MAX_CANDIDATES: usize = 32;
/// Maximum number of helpers that are asked in turn. Another one is asked only if the previous one did not run the request.
pub(super) const MAX_HELPERS: usize = 3;
/// Timeout for opening a connection to a helper.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which an idle connection to a helper is kept. Helpers close theirs later.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3);
/// Maximum number of idle connections to one helper.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Time subtracted from the timeout sent to a helper, to allow for the network latency of its answer.
const ANSWER_TRAVEL_TIME: Duration = Duration::from_millis(4);

/// The requests that this node hands to others, and its connections to them.
#[derive(Debug, Default)]
pub(super) struct Handovers {
    load: RefCell<HelperLoad>,
    idle: RefCell<HashMap<NodeId, Vec<(Connection, Time)>>>,
    /// Nodes that may help at present, with what they report about themselves.
    candidates: RefCell<Vec<(NodeId, EntryReport)>>,
}

/// Records how a helper handled a request. If it is dropped early, the caller has left.
struct HandoverGuard<'a> {
    gateway: &'a Gateway,
    node: NodeId,
    outcome: Handover,
}

impl<'a> HandoverGuard<'a> {
    fn start(gateway: &'a Gateway, node: &NodeId) -> Self {
        gateway.handovers.load.borrow_mut().start(node);
        Self {
            gateway,
            node: node.clone(),
            outcome: Handover::Unanswered,
        }
    }
}

impl Drop for HandoverGuard<'_> {
    fn drop(&mut self) {
        let now = self.gateway.now();
        let mut load = self.gateway.handovers.load.borrow_mut();
        load.end(now, &self.node, self.outcome);
    }
}

impl Gateway {
    /// Hands a request to a node that reaches the leaves, and returns that node's answer. `None` if no other node can take
    /// it, and none has run it.
    ///
    /// A request is handed over once: the other node runs it itself or rejects it. Another one is asked only if the previous
    /// one is known not to have run it, and none is asked twice.
    pub(super) async fn hand_over(&self, inbound: &Inbound) -> Option<Answer> {
        if inbound.handed_over {
            return None;
        }
        let deadline = inbound.deadline();
        let id = &inbound.caller.id;
        let mut rejection = None;
        while inbound.asked.borrow().len() < MAX_HELPERS {
            let now = self.now();
            let helpers = self.helpers(inbound, &inbound.asked.borrow());
            let priority = inbound.priority();
            let chosen = self.handovers.load.borrow().choose(
                now,
                helpers,
                priority,
                &mut *self.rng.borrow_mut(),
            );
            let Some(helper) = chosen else {
                break;
            };
            inbound.asked.borrow_mut().push(helper.clone());
            let mut guard = HandoverGuard::start(self, &helper);
            let left = deadline.since(now);
            let result = tokio::select! {
                result = timeout(left, self.exchange_with(&helper, inbound)) => result.ok(),
                () = self.stop.reached(StopPhase::Aborting) => None,
            };
            let (outcome, answer) = match result {
                Some(Ok(reply)) if is_rejection(&reply) => {
                    let earliest = retry_time(&reply);
                    self.log_handover(inbound, &helper, &format!("rejected with {}", reply.status));
                    if earliest.is_some() {
                        rejection = Some(reply);
                    }
                    // A rejection without a time is about the request, not about the helper's room.
                    let outcome = earliest.map_or(Handover::Answered, Handover::Rejected);
                    (outcome, None)
                }
                Some(Ok(reply)) => {
                    let answer = CallerAnswer::Leaf(&reply).into_response(id);
                    (Handover::Answered, Some(answer))
                }
                Some(Err(error)) if error.is_unsent() => {
                    self.log_handover(inbound, &helper, &error.to_string());
                    (Handover::Unreachable, None)
                }
                Some(Err(error)) => {
                    self.log_handover(inbound, &helper, &error.to_string());
                    let answer = CallerAnswer::MayHaveRun(StatusCode::BAD_GATEWAY);
                    (Handover::Unanswered, Some(answer.into_response(id)))
                }
                None => {
                    self.log_handover(inbound, &helper, "no answer in time");
                    let answer = CallerAnswer::MayHaveRun(StatusCode::GATEWAY_TIMEOUT);
                    (Handover::Unanswered, Some(answer.into_response(id)))
                }
            };
            guard.outcome = outcome;
            drop(guard);
            if let Some(answer) = answer {
                metrics::counter!("cranberrychute_handed_over_total").increment(1);
                if let Some(suppressed) = self.log_limiter.admit(self.now(), "handed_over") {
                    log::info!(
                        id = &**id,
                        helper:% = helper,
                        status = answer.status().as_u16(),
                        elapsed_ms = self.now().since(inbound.arrived).as_millis() as u64,
                        suppressed;
                        "request handed to another node"
                    );
                }
                return Some(answer);
            }
        }
        rejection.map(|reply| CallerAnswer::Leaf(&reply).into_response(id))
    }

    /// Returns the answer to a request that was not run because neither leaves nor other nodes can be reached.
    pub(super) fn reject_unreachable(&self, inbound: &Inbound) -> Answer {
        let now = self.now();
        if let Some(suppressed) = self.log_limiter.admit(now, "no_helper") {
            log::warn!(
                id = &*inbound.caller.id,
                link:? = self.link.state(),
                alive = self.members.alive_count(),
                suppressed;
                "request rejected: no leaf and no other node can take it"
            );
        }
        let priority = inbound.priority();
        let retry_after = retry_after(Duration::ZERO, priority, &mut *self.rng.borrow_mut());
        CallerAnswer::Unavailable { retry_after }.into_response(&inbound.caller.id)
    }

    fn log_handover(&self, inbound: &Inbound, helper: &NodeId, reason: &str) {
        if let Some(suppressed) = self.log_limiter.admit(self.now(), "handover_failed") {
            log::warn!(
                id = &*inbound.caller.id,
                helper:% = helper,
                suppressed;
                "request not answered by another node: {reason}"
            );
        }
    }

    /// Chooses the nodes that may help while this node reaches no leaves: selected ones if there are any.
    pub(super) fn update_helpers(&self) {
        let mut candidates = Vec::new();
        if !self.link.is_up() {
            candidates = self.members.ready_nodes(self.now());
            let selected = self.entry.selected();
            keep_preferred(&mut candidates, |(node, _)| {
                selected.as_ref().is_some_and(|nodes| nodes.contains(node))
            });
            candidates.shuffle(&mut *self.rng.borrow_mut());
            candidates.truncate(MAX_CANDIDATES);
        }
        *self.handovers.candidates.borrow_mut() = candidates;
    }

    /// Returns the nodes that may run a request, those in the region of this node if there are any.
    fn helpers(&self, inbound: &Inbound, asked: &[NodeId]) -> Vec<Helper> {
        let settings = self.settings.borrow();
        let region = |domain: &Domain| settings.regions.get(domain);
        let own_region = region(&settings.domain);
        let regions = &inbound.route.regions;
        let candidates = self.handovers.candidates.borrow();
        let mut allowed: Vec<_> = candidates
            .iter()
            .filter(|(node, report)| {
                let is_allowed = |region| regions.contains(region);
                let in_region =
                    regions.is_empty() || region(&report.domain).is_some_and(is_allowed);
                in_region && !asked.contains(node)
            })
            .collect();
        keep_preferred(&mut allowed, |(_, report)| {
            region(&report.domain) == own_region
        });
        allowed
            .into_iter()
            .map(|(node, report)| Helper {
                node: node.clone(),
                same_domain: report.domain == settings.domain,
                lag_ms: report.lag_ms,
            })
            .collect()
    }

    async fn exchange_with(
        &self,
        helper: &NodeId,
        inbound: &Inbound,
    ) -> Result<Reply, ExchangeError> {
        let mut connection = match self.take_idle_helper(helper, inbound.is_repeatable()) {
            Some(connection) => connection,
            None => self.connect_helper(helper).await?,
        };
        let left = inbound
            .deadline()
            .since(self.now())
            .saturating_sub(ANSWER_TRAVEL_TIME);
        let bytes = inbound.request.encode_handover(left);
        let id = &inbound.caller.id;
        let reply = connection
            .exchange(&bytes, MAX_BODY_BYTES, |reply| is_answer_to(reply, id))
            .await?;
        self.release_helper(helper, connection);
        Ok(reply)
    }

    /// Takes an idle connection to a helper. One for a request that must not run twice has been used moments ago.
    fn take_idle_helper(&self, helper: &NodeId, repeatable: bool) -> Option<Connection> {
        let now = self.now();
        let max_idle = if repeatable {
            MAX_IDLE_TIME
        } else {
            MIN_IDLE_TIME
        };
        let mut idle = self.handovers.idle.borrow_mut();
        let connections = idle.get_mut(helper)?;
        while let Some((mut connection, since)) = connections.pop() {
            if now.since(since) < max_idle && connection.is_idle() {
                return Some(connection);
            }
        }
        None
    }

    async fn connect_helper(&self, helper: &NodeId) -> Result<Connection, ExchangeError> {
        let Some(address) = node_address(helper) else {
            return Err(ExchangeError::connect_timeout(([0, 0, 0, 0], 0).into()));
        };
        match timeout(CONNECT_TIMEOUT, Connection::open(address)).await {
            Ok(opened) => opened,
            Err(_) => Err(ExchangeError::connect_timeout(address)),
        }
    }

    fn release_helper(&self, helper: &NodeId, mut connection: Connection) {
        let mut idle = self.handovers.idle.borrow_mut();
        let connections = idle.entry(helper.clone()).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS && connection.is_idle() {
            connections.push((connection, self.now()));
        }
    }

    /// Opens a connection to another node for requests that are handed over.
    ///
    /// # Errors
    ///
    /// Fails if the node does not accept the connection in time.
    pub(super) async fn open_handover(&self, node: &NodeId) -> Result<(), ExchangeError> {
        let connection = self.connect_helper(node).await?;
        self.release_helper(node, connection);
        Ok(())
    }

    /// Closes idle connections to helpers that have not been used for long, and forgets nodes that are gone.
    pub(super) fn expire_helpers(&self) {
        let now = self.now();
        let mut idle = self.handovers.idle.borrow_mut();
        idle.retain(|_, connections| {
            connections.retain(|(_, since)| now.since(*since) < MAX_IDLE_TIME);
            !connections.is_empty()
        });
        self.handovers
            .load
            .borrow_mut()
            .retain(|node| self.members.is_alive(node));
    }
}

/// Removes all other items if some are preferred.
fn keep_preferred<T>(items: &mut Vec<T>, is_preferred: impl Fn(&T) -> bool) {
    if items.iter().any(&is_preferred) {
        items.retain(is_preferred);
    }
}
