use std::{borrow::Cow, io::Write};

use bytes::Bytes;
use h2::{Reason, client::ResponseFuture};
use http::{HeaderValue, Request, StatusCode, Uri, header::CONTENT_TYPE};
use serde::Deserialize;
use smallvec::SmallVec;

use crate::core::{
    ShardId, SnapshotId,
    call::{Failure, Hit, LeafBatch, LeafCall, NotRun, Outcome},
    leaf::CallResult,
};

const NOT_RUN: &str = "x-not-run";
const DEADLINE: &str = "x-deadline-ms";
const TRACEPARENT: &str = "traceparent";

/// Bytes read of an answer that carries no hits.
const REFUSAL_BYTES: usize = 4_096;

/// The parts of the requests of one batch that are the same for all its calls.
#[derive(Debug)]
pub(super) struct Template {
    /// The text as a JSON string.
    text: String,
    top: u16,
    trace: Option<HeaderValue>,
}

impl Template {
    pub(super) fn new(batch: &LeafBatch) -> Self {
        Self {
            text: serde_json::Value::from(&*batch.text).to_string(),
            top: batch.top,
            trace: batch
                .trace
                .as_deref()
                .and_then(|trace| HeaderValue::from_str(trace).ok()),
        }
    }

    pub(super) fn body(&self, call: &LeafCall) -> Bytes {
        let mut body = Vec::with_capacity(self.text.len() + 112);
        // Writing to a vector cannot fail.
        let _ = write!(
            body,
            r#"{{"snapshot":{},"shard":{},"text":{},"top":{},"once":{}}}"#,
            call.snapshot, call.shard, self.text, self.top, call.once
        );
        body.into()
    }

    pub(super) fn head(&self, uri: &Uri, deadline_ms: u64) -> Request<()> {
        let mut request = Request::new(());
        *request.method_mut() = http::Method::POST;
        *request.uri_mut() = uri.clone();
        *request.version_mut() = http::Version::HTTP_2;
        let headers = request.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(DEADLINE, HeaderValue::from(deadline_ms));
        if let Some(trace) = &self.trace {
            headers.insert(TRACEPARENT, trace.clone());
        }
        request
    }
}

/// How the exchange of one call ended.
#[derive(Debug)]
pub(super) enum Ended {
    /// The leaf is done with the call.
    Done(CallResult, Outcome),
    /// The leaf may still be busy with the call; its stream must be reset.
    Cut(Failure),
    /// The connection failed; whoever supervises it reports the call.
    Connection,
}

#[derive(Deserialize)]
struct Answer<'a> {
    #[serde(borrow)]
    instance: Cow<'a, str>,
    snapshot: SnapshotId,
    shard: ShardId,
    complete: bool,
    #[serde(default)]
    cold: bool,
    hits: Vec<Hit>,
}

#[derive(Deserialize)]
struct Serving {
    snapshot: SnapshotId,
}

/// What the answer of a call must match.
#[derive(Clone, Copy, Debug)]
pub(super) struct Expected {
    pub(super) snapshot: SnapshotId,
    pub(super) shard: ShardId,
    pub(super) bytes: usize,
}

/// Awaits and judges the answer to one call.
pub(super) async fn receive(response: ResponseFuture, expected: Expected) -> Ended {
    let response = match response.await {
        Ok(response) => response,
        Err(error) => return failed(&error),
    };
    let status = response.status();
    let not_run = response
        .headers()
        .get(NOT_RUN)
        .is_some_and(|value| value.as_bytes() == b"true");
    let limit = if status == StatusCode::OK {
        expected.bytes
    } else {
        REFUSAL_BYTES
    };
    let mut chunks = SmallVec::<[Bytes; 2]>::new();
    let mut length = 0;
    let mut body = response.into_body();
    while !body.is_end_stream() {
        let chunk = match body.data().await {
            Some(Ok(chunk)) => chunk,
            Some(Err(error)) => return failed(&error),
            None => break,
        };
        length += chunk.len();
        if length > limit {
            return Ended::Cut(Failure::BadAnswer);
        }
        // The window belongs to the connection, so what was read must be given back.
        if body.flow_control().release_capacity(chunk.len()).is_err() {
            return Ended::Connection;
        }
        chunks.push(chunk);
    }
    let joined;
    let bytes: &[u8] = if let [chunk] = chunks.as_slice() {
        chunk
    } else {
        joined = chunks.concat();
        &joined
    };
    judge(status, not_run, bytes, expected)
}

fn judge(status: StatusCode, not_run: bool, bytes: &[u8], expected: Expected) -> Ended {
    let bad = || Ended::Done(CallResult::BadAnswer, Outcome::Failed(Failure::BadAnswer));
    match status {
        StatusCode::OK => match serde_json::from_slice::<Answer<'_>>(bytes) {
            Ok(answer)
                if answer.snapshot == expected.snapshot && answer.shard == expected.shard =>
            {
                let instance = xxhash_rust::xxh3::xxh3_64(answer.instance.as_bytes());
                let cold = answer.cold;
                Ended::Done(
                    CallResult::Answered { cold, instance },
                    Outcome::Hits {
                        snapshot: answer.snapshot,
                        shard: answer.shard,
                        complete: answer.complete,
                        hits: answer.hits,
                    },
                )
            }
            // An answer from another snapshot has run: it must not count as `WrongSnapshot`, which says "not run".
            _ => bad(),
        },
        StatusCode::CONFLICT => {
            let serving = serde_json::from_slice::<Serving>(bytes).ok();
            Ended::Done(
                CallResult::WrongSnapshot,
                Outcome::WrongSnapshot {
                    serving: serving.map(|body| body.snapshot),
                },
            )
        }
        StatusCode::SERVICE_UNAVAILABLE if not_run => {
            Ended::Done(CallResult::Shed, Outcome::NotRun(NotRun::Shed))
        }
        _ => bad(),
    }
}

fn failed(error: &h2::Error) -> Ended {
    let refused = error.is_reset() && error.reason() == Some(Reason::REFUSED_STREAM);
    // A stream gets this error only when the leaf's GOAWAY says that it was not and will not be processed.
    let beyond = error.is_go_away() && error.reason() == Some(Reason::NO_ERROR);
    if error.is_remote() && (refused || beyond) {
        Ended::Done(CallResult::Shed, Outcome::NotRun(NotRun::Shed))
    } else if error.is_reset() && error.is_remote() {
        Ended::Done(CallResult::BadAnswer, Outcome::Failed(Failure::Reset))
    } else if error.is_reset() {
        Ended::Cut(Failure::BadAnswer)
    } else {
        Ended::Connection
    }
}
