use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::core::{RequestId, ServiceName};

/// A request to a query service, with its headers already checked.
#[derive(Clone, Debug)]
pub struct QueryRequest {
    pub request: RequestId,
    pub service: ServiceName,
    pub body: Bytes,
    /// The deadline the caller asked for.
    pub deadline: Option<Duration>,
    /// The W3C `traceparent` of the caller's span.
    pub trace: Option<Arc<str>>,
    /// The `idempotency-key` header.
    pub key: Option<Arc<str>>,
}

/// What a caller or operator gets: a status and a JSON body.
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
                log::error!("an answer cannot be serialized: {error}");
                Self {
                    status: StatusCode::INTERNAL_SERVER_ERROR,
                    body: Bytes::new(),
                }
            }
        }
    }
}

/// The kind of an error towards a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The request is malformed.
    BadRequest,
    /// The body is larger than the limit.
    TooLarge,
    /// No service or route of this name exists.
    NotFound,
    /// The key is forged, expired or used with another body.
    BadKey,
    /// The node cannot take work now; another address may.
    Unavailable,
    /// The query crashed upstreams before and is not run again for now.
    Quarantined,
    /// The outcome of an at-most-once request cannot be known.
    Unknown,
}

/// An error answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ApiError {
    pub error: ErrorCode,
    pub message: String,
    /// True only if nothing ran and nothing will run for this request.
    pub not_run: bool,
}

impl ApiError {
    /// Creates an error for a request of which nothing ran.
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

/// What the HTTP adapter needs from the node.
pub trait CallerPort: Send + Sync + 'static {
    /// Answers which addresses a caller should use.
    fn addresses(&self, caller: &str, with_key: bool) -> Reply;

    /// Issues an idempotency key.
    fn issue_key(&self) -> Reply;

    /// Runs a query.
    fn query(&self, request: QueryRequest) -> impl Future<Output = Reply> + Send;

    /// Runs an at-most-once request.
    fn once(&self, request: QueryRequest) -> impl Future<Output = Reply> + Send;

    /// Describes the node to an operator.
    fn state(&self) -> Reply;

    /// Tells whether the node takes work.
    fn ready(&self) -> Reply;

    /// Renders the metrics in the Prometheus text format.
    fn metrics(&self) -> String;
}
