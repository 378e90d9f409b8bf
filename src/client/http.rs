use std::{error::Error, fmt::Write, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Deserialize, de::DeserializeOwned};
use tokio::time::{Instant, timeout_at};

use super::{ClientBuilder, ClientError, ErrorKind, Step};

/// Maximum size of an answer body.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Added to the deadline for the network round trip: a node may answer right at the deadline it was given.
const ANSWER_GRACE: Duration = Duration::from_millis(100);

/// HTTP/2 client that sends each request exactly once, without retries.
#[derive(Clone, Debug)]
pub(super) struct Http {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Body of an error response.
#[derive(Debug, Deserialize)]
struct ErrorBody {
    error: String,
    #[serde(default)]
    message: String,
    #[serde(default)]
    not_run: bool,
}

/// A request to one node.
#[derive(Clone, Debug)]
pub(super) struct Call<'c> {
    pub(super) step: Step,
    pub(super) peer: &'c str,
    pub(super) method: Method,
    pub(super) path: &'c str,
    pub(super) key: Option<&'c str>,
    pub(super) body: Bytes,
    /// Deadline of all attempts together, or an earlier one for discovery. The remaining time is sent in
    /// `x-deadline-ms`.
    pub(super) deadline: Instant,
}

impl Http {
    pub(super) fn new(settings: &ClientBuilder) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(settings.connect_timeout));
        let client = Client::builder(TokioExecutor::new())
            .timer(TokioTimer::new())
            .pool_timer(TokioTimer::new())
            .http2_only(true)
            .http2_keep_alive_interval(settings.ping_interval)
            .http2_keep_alive_timeout(settings.ping_timeout)
            // `super::Client` and `Directory` do all retries.
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    /// Sends a request and parses its answer. An error response becomes [`ErrorKind::Rejected`].
    pub(super) async fn send<T: DeserializeOwned>(&self, call: Call<'_>) -> Result<T, ClientError> {
        let (step, peer, deadline) = (call.step, call.peer, call.deadline);
        let call_error = |kind| ClientError::new(kind, step, peer);
        let request =
            build_request(call).map_err(|error| call_error(ErrorKind::Settings(error)))?;
        let exchange = async {
            let response = self.client.request(request).await.map_err(|error| {
                let text = error_chain(&error);
                match error.is_connect() {
                    true => ErrorKind::Connect(text),
                    false => ErrorKind::ConnectionLost(text),
                }
            })?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
            let body = body.collect().await;
            let body =
                body.map_err(|error| ErrorKind::ConnectionLost(error_chain(error.as_ref())))?;
            Ok::<_, ErrorKind>((status, body.to_bytes()))
        };
        let (status, body) = timeout_at(deadline + ANSWER_GRACE, exchange)
            .await
            .map_err(|_| call_error(ErrorKind::DeadlineExceeded))?
            .map_err(call_error)?;
        parse_answer(status, &body).map_err(call_error)
    }
}

fn build_request(call: Call<'_>) -> Result<Request<Full<Bytes>>, String> {
    let remaining = call
        .deadline
        .saturating_duration_since(Instant::now())
        .as_millis();
    let mut headers = HeaderMap::new();
    let mut insert = |name: &'static str, value: &str| {
        let value = HeaderValue::from_str(value)
            .map_err(|_| format!("value of header {name} is invalid"))?;
        headers.insert(HeaderName::from_static(name), value);
        Ok::<_, String>(())
    };
    insert("x-deadline-ms", &remaining.max(1).to_string())?;
    insert(header::CONTENT_TYPE.as_str(), "application/json")?;
    if let Some(key) = call.key {
        insert("idempotency-key", key)?;
    }
    let mut request = Request::builder()
        .method(call.method)
        .uri(format!("http://{}{}", call.peer, call.path))
        .body(Full::new(call.body))
        .map_err(|error| error.to_string())?;
    *request.headers_mut() = headers;
    Ok(request)
}

/// Parses an answer body. The status is not checked: the outcome of an at-most-once request may have any status.
fn parse_answer<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<T, ErrorKind> {
    serde_json::from_slice(body).map_err(|parse_error| match serde_json::from_slice(body) {
        Ok(ErrorBody {
            error,
            message,
            not_run,
        }) => ErrorKind::Rejected {
            status: status.as_u16(),
            code: error,
            message,
            not_run,
        },
        Err(_) => ErrorKind::InvalidAnswer(format!("status {status}: {parse_error}")),
    })
}

/// Joins an error and its sources, because the display text of a hyper error leaves out the source.
fn error_chain(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(error) = source {
        let _ = write!(text, ": {error}");
        source = error.source();
    }
    text
}
