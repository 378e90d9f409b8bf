use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::StatusCode;
use serde::{Deserialize, Serialize};

use super::span::{Span, SpanContext};
use crate::{
    adapter::caller::{QueryRequest, Reply},
    core::{
        RequestId, ShardId, SnapshotId,
        call::{Hit, LeafBatch, LeafCall},
        once::OnceOutcome,
        query::{Answer, Coverage, Missing, MissingReason, RunOutcome},
    },
};

/// Lifetime of an idempotency key, in milliseconds.
pub(super) const KEY_LIFETIME_MS: u64 = 30_000;
/// Maximum time for which an at-most-once request waits for the node that issued its key.
pub(super) const FORWARD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time added for the network round trip, so that the deadline of the issuing node expires first.
pub(super) const FORWARD_MARGIN: Duration = Duration::from_millis(500);

/// One in `SAMPLE_EVERY` requests without a `traceparent` is traced.
const SAMPLE_EVERY: u32 = 64;

/// The body of a query.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct QueryBody {
    pub(super) text: Arc<str>,
    #[serde(default = "default_top")]
    pub(super) top: u16,
}

fn default_top() -> u16 {
    10
}

/// The answer to `GET /v1/addresses`.
#[derive(Debug, Serialize)]
pub(super) struct AddressesAnswer {
    pub(super) addresses: Vec<SocketAddr>,
    pub(super) lifetime_ms: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) key: Option<KeyAnswer>,
}

/// An idempotency key.
#[derive(Debug, Serialize)]
pub(super) struct KeyAnswer {
    pub(super) key: String,
    pub(super) lifetime_ms: u64,
}

/// The answer to a query, as sent to callers.
#[derive(Debug, Serialize)]
pub(super) struct QueryAnswer<'a> {
    request: &'a RequestId,
    #[serde(skip_serializing_if = "Option::is_none")]
    outcome: Option<&'static str>,
    hits: &'a [Hit],
    snapshot: SnapshotId,
    coverage: Coverage,
    missing: Vec<MissingShard>,
    elapsed_ms: f64,
}

#[derive(Debug, Serialize)]
struct MissingShard {
    shard: ShardId,
    reason: String,
}

impl<'a> QueryAnswer<'a> {
    pub(super) fn new(request: &'a RequestId, answer: &'a Answer) -> Self {
        Self {
            request,
            outcome: None,
            hits: &answer.hits,
            snapshot: answer.snapshot,
            coverage: answer.coverage,
            missing: answer.missing.iter().map(MissingShard::from).collect(),
            elapsed_ms: answer.elapsed.as_secs_f64() * 1_000.0,
        }
    }
}

impl From<&Missing> for MissingShard {
    fn from(missing: &Missing) -> Self {
        Self {
            shard: missing.shard,
            reason: describe(&missing.reason),
        }
    }
}

fn describe(reason: &MissingReason) -> String {
    match reason {
        MissingReason::NoReplica => "no replica is in service".to_owned(),
        MissingReason::Late => "no answer in time".to_owned(),
        MissingReason::Truncated => "the leaf searched only a part of the shard".to_owned(),
        MissingReason::SnapshotLost => "the leaves no longer serve the snapshot".to_owned(),
        MissingReason::NotRun(reason) => reason.to_string(),
        MissingReason::Failed(failure) => failure.to_string(),
        MissingReason::Canary => "not run: the canary request failed".to_owned(),
    }
}

/// The outcome of an at-most-once request that has no answer.
#[derive(Debug, Serialize)]
struct OnceFailure<'a> {
    request: &'a RequestId,
    outcome: &'static str,
    not_run: bool,
    message: &'a str,
}

/// Renders the outcome of an at-most-once request.
pub(super) fn once_reply(request: &RequestId, outcome: &OnceOutcome) -> Reply {
    let name = match outcome.run {
        RunOutcome::Done => "done",
        RunOutcome::NotRun => "not_run",
        RunOutcome::Unknown => "unknown",
    };
    match &outcome.answer {
        Some(answer) => {
            let answer = QueryAnswer {
                outcome: Some(name),
                ..QueryAnswer::new(request, answer)
            };
            Reply::json(StatusCode::OK, &answer)
        }
        None => {
            let failure = OnceFailure {
                request,
                outcome: name,
                not_run: outcome.run == RunOutcome::NotRun,
                message: outcome.reason.as_deref().unwrap_or(""),
            };
            Reply::json(StatusCode::OK, &failure)
        }
    }
}

/// Starts the span of a request, as a child of the caller's span if the request carries one.
///
/// One in [`SAMPLE_EVERY`] requests without a `traceparent` is traced.
pub(super) fn root_span(name: &'static str, request: &QueryRequest) -> Span {
    let parent = request.trace.as_deref().and_then(SpanContext::decode);
    let new_trace = || SpanContext::random(rand::random_ratio(1, SAMPLE_EVERY));
    let span = Span::root(name, parent.unwrap_or_else(new_trace));
    span.with(|| {
        [
            ("request", request.request.to_string()),
            ("service", request.service.to_string()),
        ]
    })
}

/// Starts the owner's span of a batch and a child span for each leaf call, and puts the owner's span into the batch so
/// that the leaves continue the trace.
pub(super) fn call_spans(batch: &mut LeafBatch) -> Vec<Span> {
    let parent = batch.trace.as_deref().and_then(SpanContext::decode);
    let Some(parent) = parent else {
        return batch.calls.iter().map(|_| Span::noop()).collect();
    };
    let owner = Span::root("owner", parent).with(|| [("request", batch.request.to_string())]);
    batch.trace = owner.context().map(|span| span.to_string().into());
    let start = |call: &LeafCall| {
        Span::child("leaf_call", &owner).with(|| {
            [
                ("leaf", call.leaf.to_string()),
                ("shard", call.shard.to_string()),
            ]
        })
    };
    batch.calls.iter().map(start).collect()
}
