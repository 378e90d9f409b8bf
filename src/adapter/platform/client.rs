use std::{
    error::Error,
    fmt,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Request, StatusCode, Uri};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Deserialize, Deserializer};
use tokio::time::timeout;
use url::Url;

use crate::core::config::Document;

/// The response to a read or a watch.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct WatchResponse {
    pub revision: u64,
    #[serde(deserialize_with = "documents")]
    pub documents: Vec<Document>,
}

/// Settings of a [`PlatformClient`].
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Base URLs, tried in turn.
    pub base_urls: Vec<Url>,
    /// Timeout for connecting and receiving the response head, in addition to the wait of a watch. Default: 1 s.
    pub timeout: Duration,
    /// Timeout for the response body. Default: 5 s.
    pub body_timeout: Duration,
    /// Maximum size of a response body, bytes. Default: 48 MiB, which holds all values of a full store with JSON
    /// escapes.
    pub max_body_bytes: usize,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            base_urls: Vec::new(),
            timeout: Duration::from_secs(1),
            body_timeout: Duration::from_secs(5),
            max_body_bytes: 48 << 20,
        }
    }
}

/// No base URL returned a usable response.
#[derive(Debug, thiserror::Error)]
pub struct PlatformError {
    /// One entry per base URL tried.
    pub attempts: Vec<FailedAttempt>,
}

/// A failed request to one base URL.
#[derive(Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    pub base_url: String,
    pub step: PlatformStep,
    pub reason: String,
}

/// The step at which a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformStep {
    /// Connecting, sending the request and receiving the response head.
    Request,
    Status,
    Body,
    /// Decoding the body as `{"revision", "documents"}`.
    Decode,
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the configuration service returned no usable response")?;
        for FailedAttempt {
            base_url,
            step,
            reason,
        } in &self.attempts
        {
            let step = match step {
                PlatformStep::Request => "request",
                PlatformStep::Status => "status",
                PlatformStep::Body => "body",
                PlatformStep::Decode => "decode",
            };
            write!(f, "; {base_url}: {step}: {reason}")?;
        }
        Ok(())
    }
}

/// Client of `GET /v1/watch`.
#[derive(Debug)]
pub struct PlatformClient {
    settings: PlatformSettings,
    http: Client<HttpConnector, Empty<Bytes>>,
    /// Index of the base URL that last returned a usable response.
    last_good: AtomicUsize,
}

impl PlatformClient {
    /// Creates a client. Connections are opened on demand.
    pub fn new(settings: PlatformSettings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(settings.timeout));
        connector.set_nodelay(true);
        let http = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(30))
            .pool_max_idle_per_host(2)
            .build(connector);
        Self {
            settings,
            http,
            last_good: AtomicUsize::new(0),
        }
    }

    /// Returns the documents that changed after a revision, waiting at most `wait` for one; `after` 0 returns
    /// everything.
    ///
    /// # Errors
    ///
    /// Fails when no base URL returns a usable response; the error names the step that failed for each.
    pub async fn watch(&self, after: u64, wait: Duration) -> Result<WatchResponse, PlatformError> {
        let base_urls = &self.settings.base_urls;
        let first = self.last_good.load(Ordering::Relaxed);
        let mut attempts = Vec::new();
        for offset in 0..base_urls.len() {
            let index = (first + offset) % base_urls.len();
            match self.fetch(&base_urls[index], after, wait).await {
                Ok(response) => {
                    self.last_good.store(index, Ordering::Relaxed);
                    return Ok(response);
                }
                Err((step, reason)) => {
                    let base_url = base_urls[index].to_string();
                    attempts.push(FailedAttempt {
                        base_url,
                        step,
                        reason,
                    });
                }
            }
        }
        Err(PlatformError { attempts })
    }

    async fn fetch(
        &self,
        base_url: &Url,
        after: u64,
        wait: Duration,
    ) -> Result<WatchResponse, (PlatformStep, String)> {
        let fail = |step| move |reason: String| (step, reason);
        let uri = watch_uri(base_url, after, wait).map_err(fail(PlatformStep::Request))?;
        let request = Request::get(uri)
            .body(Empty::new())
            .expect("the URI is valid");
        let limit = wait + self.settings.timeout;
        let response = match timeout(limit, self.http.request(request)).await {
            Ok(response) => response.map_err(|error| error_chain(&error)),
            Err(_) => Err(format!("no answer within {limit:?}")),
        };
        let response = response.map_err(fail(PlatformStep::Request))?;
        if response.status() != StatusCode::OK {
            return Err((
                PlatformStep::Status,
                format!("{} instead of 200", response.status()),
            ));
        }
        let limit = self.settings.body_timeout;
        let body = Limited::new(response.into_body(), self.settings.max_body_bytes).collect();
        let body = match timeout(limit, body).await {
            Ok(body) => body.map_err(|error| error_chain(&*error)),
            Err(_) => Err(format!("not complete within {limit:?}")),
        };
        let body = body.map_err(fail(PlatformStep::Body))?.to_bytes();
        serde_json::from_slice(&body).map_err(|error| (PlatformStep::Decode, error.to_string()))
    }
}

fn watch_uri(base_url: &Url, after: u64, wait: Duration) -> Result<Uri, String> {
    let mut url = base_url.clone();
    match url.path_segments_mut() {
        Ok(mut path) => drop(path.pop_if_empty().extend(["v1", "watch"])),
        Err(()) => return Err("the base URL has no path".to_owned()),
    }
    url.query_pairs_mut()
        .clear()
        .append_pair("after", &after.to_string())
        .append_pair("wait_ms", &wait.as_millis().to_string());
    url.as_str().parse().map_err(|error| format!("{error}"))
}

/// Deserializes documents. A missing `value` is an error: it must not be mistaken for `null`, which means deletion.
fn documents<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Document>, D::Error> {
    #[derive(Deserialize)]
    struct RawDocument {
        key: Arc<str>,
        version: u64,
        #[serde(deserialize_with = "Option::deserialize")]
        value: Option<Arc<str>>,
    }
    let raw = Vec::<RawDocument>::deserialize(deserializer)?;
    let documents = raw.into_iter();
    Ok(documents
        .map(
            |RawDocument {
                 key,
                 version,
                 value,
             }| Document {
                key,
                version,
                value,
            },
        )
        .collect())
}

/// Formats an error with all its sources, since the outermost one often lacks detail.
fn error_chain(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text = format!("{text}: {error}");
        cause = error.source();
    }
    text
}
