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

const NOT_RUN_HEADER: &str = "x-not-run";
const DEADLINE_HEADER: &str = "x-deadline-ms";
const TRACEPARENT_HEADER: &str = "traceparent";

/// Maximum size of a response that carries no hits, bytes.
const MAX_ERROR_BODY_BYTES: usize = 4_096;

/// The parts of a request that are the same for all calls of a batch.
#[derive(Debug)]
pub(super) struct Template {
    /// The query text as a JSON string.
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
        headers.insert(DEADLINE_HEADER, HeaderValue::from(deadline_ms));
        if let Some(trace) = &self.trace {
            headers.insert(TRACEPARENT_HEADER, trace.clone());
        }
        request
    }
}

/// How the exchange of one call ended.
#[derive(Debug)]
pub(super) enum CallEnd {
    /// The leaf has finished the call.
    Done(CallResult, Outcome),
    /// The leaf may still be running the call; its stream must be reset.
    MustReset(Failure),
    /// The connection failed; its supervisor reports the call.
    ConnectionFailed,
}

#[derive(Deserialize)]
struct SearchResponse<'a> {
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
struct ConflictBody {
    snapshot: SnapshotId,
}

/// What the response to a call must match.
#[derive(Clone, Copy, Debug)]
pub(super) struct Expected {
    pub(super) snapshot: SnapshotId,
    pub(super) shard: ShardId,
    pub(super) max_bytes: usize,
}

/// Receives and classifies the response to one call.
pub(super) async fn receive(response: ResponseFuture, expected: Expected) -> CallEnd {
    let response = match response.await {
        Ok(response) => response,
        Err(error) => return classify_error(&error),
    };
    let status = response.status();
    let not_run = response
        .headers()
        .get(NOT_RUN_HEADER)
        .is_some_and(|value| value.as_bytes() == b"true");
    let limit = if status == StatusCode::OK {
        expected.max_bytes
    } else {
        MAX_ERROR_BODY_BYTES
    };
    let mut chunks = SmallVec::<[Bytes; 2]>::new();
    let mut length = 0;
    let mut body = response.into_body();
    while !body.is_end_stream() {
        let chunk = match body.data().await {
            Some(Ok(chunk)) => chunk,
            Some(Err(error)) => return classify_error(&error),
            None => break,
        };
        length += chunk.len();
        if length > limit {
            return CallEnd::MustReset(Failure::BadAnswer);
        }
        // The flow-control window is shared by the connection, so the capacity that was read must be released.
        if body.flow_control().release_capacity(chunk.len()).is_err() {
            return CallEnd::ConnectionFailed;
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
    classify(status, not_run, bytes, expected)
}

fn classify(status: StatusCode, not_run: bool, bytes: &[u8], expected: Expected) -> CallEnd {
    let bad_answer = || CallEnd::Done(CallResult::BadAnswer, Outcome::Failed(Failure::BadAnswer));
    match status {
        StatusCode::OK => match serde_json::from_slice::<SearchResponse<'_>>(bytes) {
            Ok(answer)
                if answer.snapshot == expected.snapshot && answer.shard == expected.shard =>
            {
                let instance = xxhash_rust::xxh3::xxh3_64(answer.instance.as_bytes());
                let cold = answer.cold;
                CallEnd::Done(
                    CallResult::Answered { cold, instance },
                    Outcome::Hits {
                        snapshot: answer.snapshot,
                        shard: answer.shard,
                        complete: answer.complete,
                        hits: answer.hits,
                    },
                )
            }
            // A call answered from another snapshot has run, so it is not `WrongSnapshot`, which means "not run".
            _ => bad_answer(),
        },
        StatusCode::CONFLICT => {
            let serving = serde_json::from_slice::<ConflictBody>(bytes).ok();
            CallEnd::Done(
                CallResult::WrongSnapshot,
                Outcome::WrongSnapshot {
                    serving: serving.map(|body| body.snapshot),
                },
            )
        }
        StatusCode::SERVICE_UNAVAILABLE if not_run => {
            CallEnd::Done(CallResult::Shed, Outcome::NotRun(NotRun::Shed))
        }
        _ => bad_answer(),
    }
}

fn classify_error(error: &h2::Error) -> CallEnd {
    let refused = error.is_reset() && error.reason() == Some(Reason::REFUSED_STREAM);
    // A stream gets this error only if, according to the leaf's GOAWAY, it was not and will not be processed.
    let unprocessed = error.is_go_away() && error.reason() == Some(Reason::NO_ERROR);
    if error.is_remote() && (refused || unprocessed) {
        CallEnd::Done(CallResult::Shed, Outcome::NotRun(NotRun::Shed))
    } else if error.is_reset() && error.is_remote() {
        CallEnd::Done(CallResult::BadAnswer, Outcome::Failed(Failure::Reset))
    } else if error.is_reset() {
        CallEnd::MustReset(Failure::BadAnswer)
    } else {
        CallEnd::ConnectionFailed
    }
}
