use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

use http::StatusCode;
use tokio::sync::watch;

use super::{
    Node,
    api::{self, KeyAnswer},
    query::{self, Mode},
    span::Span,
};
use crate::{
    adapter::{
        caller::{ApiError, ErrorCode, QueryRequest, Reply},
        peer::{OnceForward, OnceReply},
    },
    core::{
        NodeId,
        once::{OnceAction, OnceError, OnceOutcome},
    },
};

/// Sender of a request to this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Caller,
    Peer,
}

impl Node {
    /// Issues an idempotency key.
    ///
    /// # Errors
    ///
    /// Fails when the table is full or the node is leaving.
    pub(super) fn new_key(&self) -> Result<KeyAnswer, ApiError> {
        let mut keys = self.keys.lock().expect("no panic while locked");
        match keys.issue(self.clock.now(), SystemTime::now()) {
            Ok(key) => Ok(KeyAnswer {
                key: keys.encode(&key),
                lifetime_ms: api::KEY_LIFETIME_MS,
            }),
            Err(error) => Err(ApiError::not_run(ErrorCode::Unavailable, error.to_string())),
        }
    }

    /// Serves an at-most-once request of a caller.
    pub(super) async fn serve_once(self: &Arc<Self>, request: QueryRequest) -> Reply {
        self.handle_once(Source::Caller, request).await
    }

    /// Serves an at-most-once request that another node forwarded because this one issued its key.
    pub(super) async fn serve_forwarded(
        self: &Arc<Self>,
        _from: NodeId,
        request: OnceForward,
    ) -> OnceReply {
        let request = QueryRequest {
            request: request.request,
            service: request.service,
            body: request.body.to_vec().into(),
            deadline: Some(Duration::from_micros(request.budget)),
            trace: request.trace,
            key: Some(request.key),
        };
        let reply = self.handle_once(Source::Peer, request).await;
        OnceReply {
            status: reply.status.as_u16(),
            body: reply.body.to_vec().into(),
        }
    }

    async fn handle_once(self: &Arc<Self>, source: Source, request: QueryRequest) -> Reply {
        let Some(key) = request.key.clone() else {
            let message = "header idempotency-key is missing; obtain a key with POST /v1/keys";
            return ApiError::not_run(ErrorCode::BadKey, message).into();
        };
        let action = {
            let mut keys = self.keys.lock().expect("no panic while locked");
            let action = keys.begin(self.clock.now(), &key, body_hash(&request));
            if let OnceAction::Run { serial } = action {
                let (sender, _) = watch::channel(None);
                self.running_once
                    .lock()
                    .expect("no panic while locked")
                    .insert(serial, sender);
            }
            action
        };
        match action {
            OnceAction::Run { serial } => {
                // The request continues when its caller disconnects, because a duplicate may attach to it.
                tokio::spawn(self.clone().execute_once(serial, request.clone()));
                self.attach(serial, &key, &request).await
            }
            OnceAction::Attach { serial } => self.attach(serial, &key, &request).await,
            OnceAction::Replay(outcome) => api::once_reply(&request.request, &outcome),
            OnceAction::Forward { node, .. } if source == Source::Caller => {
                self.forward_once(node, key, request).await
            }
            OnceAction::Forward { node, .. } => {
                unknown_outcome(format!("node {node} issued the key"))
            }
            OnceAction::Unknown => {
                unknown_outcome("the node that issued the key has restarted or is gone")
            }
            OnceAction::Error(error) => key_error(error),
        }
    }

    /// Waits until the request with this serial number has finished and returns its outcome.
    async fn attach(&self, serial: u64, key: &str, request: &QueryRequest) -> Reply {
        let running = self
            .running_once
            .lock()
            .expect("no panic while locked")
            .get(&serial)
            .cloned();
        if let Some(sender) = running {
            let mut outcome = sender.subscribe();
            drop(sender);
            if let Ok(outcome) = outcome.wait_for(Option::is_some).await
                && let Some(outcome) = &*outcome
            {
                return api::once_reply(&request.request, outcome);
            }
        }
        // The running request finished between the two look-ups, so its outcome is in the table.
        let mut keys = self.keys.lock().expect("no panic while locked");
        match keys.begin(self.clock.now(), key, body_hash(request)) {
            OnceAction::Replay(outcome) => api::once_reply(&request.request, &outcome),
            _ => unknown_outcome("the outcome of the copy that ran is not known"),
        }
    }

    /// Runs a request and sends its outcome to the requests attached to it.
    async fn execute_once(self: Arc<Self>, serial: u64, request: QueryRequest) {
        let in_progress = self.in_progress.token();
        let outcome = match self.prepare(&request) {
            // Running it would delay the exit, which waits for the requests in progress.
            _ if self.in_progress.is_closed() => OnceOutcome::not_run("the node is stopping"),
            Err(error) => OnceOutcome::not_run(&error.message),
            Ok(query) => {
                let span = api::root_span("once", &request);
                self.run_once_query(query, span).await
            }
        };
        let outcome = {
            let mut keys = self.keys.lock().expect("no panic while locked");
            keys.finish(self.clock.now(), serial, outcome)
        };
        let sender = self
            .running_once
            .lock()
            .expect("no panic while locked")
            .remove(&serial);
        if let Some(sender) = sender {
            sender.send_replace(Some(outcome));
        }
        drop(in_progress);
    }

    async fn run_once_query(
        self: &Arc<Self>,
        query: crate::core::query::Query,
        span: Span,
    ) -> OnceOutcome {
        match query::run(self, query, Mode::AtMostOnce, span).await {
            Ok(answer) => OnceOutcome::answered(Arc::new(answer)),
            Err(error) if error.not_run() => OnceOutcome::not_run(&error.to_string()),
            Err(error) => OnceOutcome::unknown(&error.to_string()),
        }
    }

    async fn forward_once(&self, issuer: NodeId, key: Arc<str>, request: QueryRequest) -> Reply {
        let Some(address) = self.address(&issuer) else {
            return unknown_outcome(format!(
                "node {issuer}, which issued the key, is not known any more"
            ));
        };
        let budget = request
            .deadline
            .unwrap_or(api::FORWARD_TIMEOUT)
            .min(api::FORWARD_TIMEOUT);
        let forward = OnceForward {
            request: request.request,
            service: request.service,
            key,
            body: request.body.to_vec().into(),
            budget: budget.as_micros() as u64,
            trace: request.trace,
        };
        let exchange = self.peers.once(&issuer, address.peer, forward);
        match tokio::time::timeout(budget + api::FORWARD_MARGIN, exchange).await {
            Ok(Ok(reply)) => Reply {
                status: StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY),
                body: reply.body.to_vec().into(),
            },
            Ok(Err(error)) => unknown_outcome(format!("the node that issued the key: {error}")),
            Err(_) => unknown_outcome(format!(
                "node {issuer}, which issued the key, did not answer in time"
            )),
        }
    }
}

/// Returns an "outcome unknown" error, never marked "not run" because an earlier copy of the request may have run.
fn unknown_outcome(reason: impl Into<String>) -> Reply {
    let message = format!(
        "outcome unknown: {}; ask again with the same key",
        reason.into()
    );
    ApiError::may_have_run(ErrorCode::Unknown, message).into()
}

fn key_error(error: OnceError) -> Reply {
    let not_run = error.not_run();
    ApiError {
        error: ErrorCode::BadKey,
        message: error.to_string(),
        not_run,
    }
    .into()
}

fn body_hash(request: &QueryRequest) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher
        .update(request.service.as_str().as_bytes())
        .update(&[0])
        .update(&request.body);
    *hasher.finalize().as_bytes()
}
