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

/// What a read or a watch returned.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct WatchResponse {
    pub revision: u64,
    #[serde(deserialize_with = "documents")]
    pub documents: Vec<Document>,
}

/// Where the service is and how long to wait for it.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Base URLs, tried in turn.
    pub base_urls: Vec<Url>,
    /// Time for a connection and the head of an answer, beyond the wait of a watch. Default: 1 s.
    pub timeout: Duration,
    /// Time for the body of an answer. Default: 5 s.
    pub body_timeout: Duration,
    /// Longest body, bytes. Default: 48 MB, which holds all values of a full store with JSON escapes.
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

/// Why no base URL gave a usable answer, one entry per base URL tried.
#[derive(Debug, thiserror::Error)]
pub struct PlatformError {
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
    /// Connecting, sending the request, waiting for the head of the answer.
    Request,
    Status,
    Body,
    /// Decoding the body as `{"revision", "documents"}`.
    Decode,
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the configuration service gave no usable answer")?;
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
    /// Index of the base URL that answered last.
    current: AtomicUsize,
}

impl PlatformClient {
    /// Creates a client. Connections are opened when needed.
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
            current: AtomicUsize::new(0),
        }
    }

    /// Returns the documents that changed after a revision, waiting at most `wait` for one; `after` 0 returns
    /// everything.
    ///
    /// # Errors
    ///
    /// Fails when no base URL gave a usable answer; the error names each with the step that failed.
    pub async fn watch(&self, after: u64, wait: Duration) -> Result<WatchResponse, PlatformError> {
        let base_urls = &self.settings.base_urls;
        let first = self.current.load(Ordering::Relaxed);
        let mut attempts = Vec::new();
        for turn in 0..base_urls.len() {
            let at = (first + turn) % base_urls.len();
            match self.ask(&base_urls[at], after, wait).await {
                Ok(reading) => {
                    self.current.store(at, Ordering::Relaxed);
                    return Ok(reading);
                }
                Err((step, reason)) => {
                    let base_url = base_urls[at].to_string();
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

    async fn ask(
        &self,
        base: &Url,
        after: u64,
        wait: Duration,
    ) -> Result<WatchResponse, (PlatformStep, String)> {
        let fail = |step| move |reason: String| (step, reason);
        let uri = watch_uri(base, after, wait).map_err(fail(PlatformStep::Request))?;
        let request = Request::get(uri)
            .body(Empty::new())
            .expect("the URI is valid");
        let limit = wait + self.settings.timeout;
        let answer = match timeout(limit, self.http.request(request)).await {
            Ok(answer) => answer.map_err(|error| causes(&error)),
            Err(_) => Err(format!("no answer within {limit:?}")),
        };
        let answer = answer.map_err(fail(PlatformStep::Request))?;
        if answer.status() != StatusCode::OK {
            return Err((
                PlatformStep::Status,
                format!("{} instead of 200", answer.status()),
            ));
        }
        let limit = self.settings.body_timeout;
        let body = Limited::new(answer.into_body(), self.settings.max_body_bytes).collect();
        let body = match timeout(limit, body).await {
            Ok(body) => body.map_err(|error| causes(&*error)),
            Err(_) => Err(format!("not complete within {limit:?}")),
        };
        let body = body.map_err(fail(PlatformStep::Body))?.to_bytes();
        serde_json::from_slice(&body).map_err(|error| (PlatformStep::Decode, error.to_string()))
    }
}

fn watch_uri(base: &Url, after: u64, wait: Duration) -> Result<Uri, String> {
    let mut url = base.clone();
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

/// Reads documents whose `value` is present: a missing one must not pass for a deletion.
fn documents<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Document>, D::Error> {
    #[derive(Deserialize)]
    struct Published {
        key: Arc<str>,
        version: u64,
        #[serde(deserialize_with = "Option::deserialize")]
        value: Option<Arc<str>>,
    }
    let published = Vec::<Published>::deserialize(deserializer)?;
    let documents = published.into_iter();
    Ok(documents
        .map(
            |Published {
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

/// Joins an error with its causes, since the outermost one often says little.
fn causes(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text = format!("{text}: {error}");
        cause = error.source();
    }
    text
}
