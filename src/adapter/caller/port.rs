use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::core::{RequestId, ServiceName};

/// A request to a query service whose headers have been validated.
#[derive(Clone, Debug)]
pub struct QueryRequest {
    pub request: RequestId,
    pub service: ServiceName,
    pub body: Bytes,
    /// The timeout requested by the caller with `x-deadline-ms`.
    pub deadline: Option<Duration>,
    /// The W3C `traceparent` of the caller's span.
    pub trace: Option<Arc<str>>,
    /// The `idempotency-key` header.
    pub key: Option<Arc<str>>,
}

/// A response to a caller or operator: a status and a JSON body.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub body: Bytes,
}

impl Reply {
    /// Serializes `value` as the body.
    pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Self {
                status,
                body: body.into(),
            },
            Err(error) => {
                log::error!("failed to serialize a response: {error}");
                Self {
                    status: StatusCode::INTERNAL_SERVER_ERROR,
                    body: Bytes::new(),
                }
            }
        }
    }
}

/// The kind of an error returned to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The request is malformed.
    BadRequest,
    /// The body is larger than the limit.
    TooLarge,
    /// No service or route of this name exists.
    NotFound,
    /// The key is forged, has expired or was used with a different body.
    BadKey,
    /// The node cannot accept work now; a node at another address may.
    Unavailable,
    /// The query has crashed upstreams before and is temporarily not run.
    Quarantined,
    /// The outcome of an at-most-once request is unknown.
    Unknown,
}

/// The body of an error response.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ApiError {
    pub error: ErrorCode,
    pub message: String,
    /// True only if no part of the request has run or will run.
    pub not_run: bool,
}

impl ApiError {
    /// Creates an error for a request that did not run.
    pub fn not_run(error: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            error,
            message: message.into(),
            not_run: true,
        }
    }

    /// Creates an error for a request that may have run.
    pub fn may_have_run(error: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            error,
            message: message.into(),
            not_run: false,
        }
    }

    /// Returns the HTTP status of the error.
    pub fn status(&self) -> StatusCode {
        match self.error {
            ErrorCode::BadRequest => StatusCode::BAD_REQUEST,
            ErrorCode::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            ErrorCode::NotFound => StatusCode::NOT_FOUND,
            ErrorCode::BadKey => StatusCode::UNPROCESSABLE_ENTITY,
            ErrorCode::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
            ErrorCode::Quarantined => StatusCode::FORBIDDEN,
            ErrorCode::Unknown => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

impl From<ApiError> for Reply {
    fn from(error: ApiError) -> Self {
        Reply::json(error.status(), &error)
    }
}

/// The operations of the node that the HTTP server calls.
pub trait CallerPort: Send + Sync + 'static {
    /// Returns the addresses that a caller should use, with a new idempotency key if `with_key` is set.
    fn addresses(&self, caller: &str, with_key: bool) -> Reply;

    /// Issues an idempotency key.
    fn issue_key(&self) -> Reply;

    /// Runs a query.
    fn query(&self, request: QueryRequest) -> impl Future<Output = Reply> + Send;

    /// Runs an at-most-once request.
    fn once(&self, request: QueryRequest) -> impl Future<Output = Reply> + Send;

    /// Returns the state of the node for operators.
    fn state(&self) -> Reply;

    /// Returns whether the node accepts work.
    fn ready(&self) -> Reply;

    /// Renders the metrics in the Prometheus text format.
    fn metrics(&self) -> String;
}
