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

/// Largest answer read, bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Added to the deadline for the way back: a node may answer right at the deadline it was given.
const ANSWER_GRACE: Duration = Duration::from_millis(100);

/// Sends single requests, each exactly once.
#[derive(Clone, Debug)]
pub(super) struct Http {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// The body of every error answer.
#[derive(Debug, Deserialize)]
struct Refusal {
    error: String,
    #[serde(default)]
    message: String,
    #[serde(default)]
    not_run: bool,
}

/// One request to one node.
#[derive(Clone, Debug)]
pub(super) struct Call<'c> {
    pub(super) step: Step,
    pub(super) peer: &'c str,
    pub(super) method: Method,
    pub(super) path: &'c str,
    pub(super) key: Option<&'c str>,
    pub(super) body: Bytes,
    /// End of the overall deadline; what remains of it is sent along.
    pub(super) end: Instant,
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
            // The retry rules of this client are the only ones.
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    /// Sends a request and reads its answer; an error answer becomes [`ErrorKind::Rejected`].
    pub(super) async fn send<T: DeserializeOwned>(&self, call: Call<'_>) -> Result<T, ClientError> {
        let (step, peer, end) = (call.step, call.peer, call.end);
        let fail = |kind| ClientError::new(kind, step, peer);
        let request = request(call).map_err(|fault| fail(ErrorKind::Settings(fault)))?;
        let exchange = async {
            let response = self.client.request(request).await.map_err(|fault| {
                let text = chain(&fault);
                match fault.is_connect() {
                    true => ErrorKind::Connect(text),
                    false => ErrorKind::ConnectionLost(text),
                }
            })?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
            let body = body.collect().await;
            let body = body.map_err(|fault| ErrorKind::ConnectionLost(chain(fault.as_ref())))?;
            Ok::<_, ErrorKind>((status, body.to_bytes()))
        };
        let (status, body) = timeout_at(end + ANSWER_GRACE, exchange)
            .await
            .map_err(|_| fail(ErrorKind::DeadlineExceeded))?
            .map_err(fail)?;
        read(status, &body).map_err(fail)
    }
}

fn request(call: Call<'_>) -> Result<Request<Full<Bytes>>, String> {
    let remaining = call
        .end
        .saturating_duration_since(Instant::now())
        .as_millis();
    let mut headers = HeaderMap::new();
    let mut insert = |name: &'static str, value: &str| {
        let value = HeaderValue::from_str(value).map_err(|_| format!("{name} is not a header"))?;
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
        .map_err(|fault| fault.to_string())?;
    *request.headers_mut() = headers;
    Ok(request)
}

/// Reads an answer. The outcome of an at-most-once request is an answer whatever its status is.
fn read<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<T, ErrorKind> {
    serde_json::from_slice(body).map_err(|fault| match serde_json::from_slice(body) {
        Ok(Refusal {
            error,
            message,
            not_run,
        }) => ErrorKind::Rejected {
            status: status.as_u16(),
            code: error,
            message,
            not_run,
        },
        Err(_) => ErrorKind::InvalidAnswer(format!("status {status}: {fault}")),
    })
}

/// Joins an error and its causes, because hyper keeps the useful part in the causes.
fn chain(fault: &dyn Error) -> String {
    let mut text = fault.to_string();
    let mut cause = fault.source();
    while let Some(inner) = cause {
        let _ = write!(text, ": {inner}");
        cause = inner.source();
    }
    text
}
