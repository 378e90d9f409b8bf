use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::Method;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::time::{Instant, sleep};

use super::{
    Answer, ClientBuilder, ClientError, ErrorKind, OnceAnswer, Step,
    directory::Directory,
    http::{Call, Http},
};

/// Number of hits requested by default.
const DEFAULT_TOP_K: u16 = 10;
/// Initial delay before the nodes are discovered again because every known address failed. It doubles each time.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Client of query services. Clones share connections and the cached addresses.
///
/// # Examples
///
/// ```no_run
/// # async fn example() -> Result<(), cranberrychute::client::ClientError> {
/// use cranberrychute::client::{Client, Query};
///
/// let client = Client::builder().caller("crew-7").seed("10.0.0.1:7000").build()?;
/// let answer = client.query("parts", &Query::new("jet 0.80 propane")).await?;
/// println!("{} hits, {:?}", answer.hits.len(), answer.coverage);
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct Client {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    http: Http,
    directory: Directory,
    timeout: Duration,
    rejection_retries: u32,
}

/// A query: the search text, the number of hits and an optional timeout.
#[derive(Clone, Debug)]
pub struct Query {
    text: Arc<str>,
    top_k: u16,
    timeout: Option<Duration>,
}

impl Query {
    /// Creates a query for the ten best hits for `text`.
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        Self {
            text: text.into(),
            top_k: DEFAULT_TOP_K,
            timeout: None,
        }
    }

    /// Sets the number of hits to return.
    pub fn top_k(mut self, top_k: u16) -> Self {
        self.top_k = top_k;
        self
    }

    /// Sets the total timeout of the request, retries included.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = Some(timeout);
        self
    }

    fn body(&self) -> Bytes {
        serde_json::json!({"text": self.text, "top": self.top_k})
            .to_string()
            .into()
    }
}

/// Idempotency key under which one request runs at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    key: Arc<str>,
    lifetime_ms: u64,
    /// Address of the node that issued the key. The request is sent there first.
    #[serde(default)]
    issuer: Arc<str>,
}

impl Key {
    pub fn as_str(&self) -> &str {
        &self.key
    }
}

/// Body of the answer to an at-most-once request.
#[derive(Debug, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
enum OnceBody {
    Done(Answer),
    NotRun(Explanation),
    Unknown(Explanation),
}

#[derive(Debug, Deserialize)]
struct Explanation {
    #[serde(default)]
    message: String,
}

impl Client {
    /// Returns a builder with the default settings.
    pub fn builder() -> ClientBuilder {
        ClientBuilder::new()
    }

    pub(super) fn new(
        http: Http,
        directory: Directory,
        timeout: Duration,
        rejection_retries: u32,
    ) -> Self {
        let shared = Shared {
            http,
            directory,
            timeout,
            rejection_retries,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Runs a query that may run more than once. It is retried on another node if a node fails or rejects it as
    /// "not run".
    ///
    /// # Errors
    ///
    /// Returns an error if no node answered before the deadline, if a rejection may not be retried or if an answer is
    /// invalid.
    pub async fn query(&self, service: &str, query: &Query) -> Result<Answer, ClientError> {
        let path = format!("/v1/services/{service}/query");
        let mut attempts = self.start_attempts(query.timeout);
        let call = Call {
            step: Step::Query,
            peer: "",
            method: Method::POST,
            path: &path,
            key: None,
            body: query.body(),
            deadline: attempts.deadline,
        };
        self.send_with_retries(&mut attempts, call)
            .await
            .map(|(answer, _)| answer)
    }

    /// Requests an idempotency key from a node. This does not run a query.
    ///
    /// # Errors
    ///
    /// Returns an error if no node issued a key within the timeout of the client.
    pub async fn request_key(&self) -> Result<Key, ClientError> {
        self.fetch_key(&mut self.start_attempts(None)).await
    }

    async fn fetch_key(&self, attempts: &mut Attempts) -> Result<Key, ClientError> {
        let call = Call {
            step: Step::Key,
            peer: "",
            method: Method::POST,
            path: "/v1/keys",
            key: None,
            body: Bytes::new(),
            deadline: attempts.deadline,
        };
        let (key, issuer) = self.send_with_retries::<Key>(attempts, call).await?;
        Ok(Key { issuer, ..key })
    }

    /// Sends `call` to one node after another until one answers. Also returns the address of that node.
    async fn send_with_retries<T: DeserializeOwned>(
        &self,
        attempts: &mut Attempts,
        call: Call<'_>,
    ) -> Result<(T, Arc<str>), ClientError> {
        loop {
            let peers = self.peers(attempts.deadline).await;
            let mut last_error = None;
            for peer in peers.map_err(|error| error.with_earlier_attempt(attempts.may_have_run))? {
                let call = Call {
                    peer: &peer,
                    ..call.clone()
                };
                let error = match self.shared.http.send(call).await {
                    Ok(answer) => return Ok((answer, peer)),
                    Err(error) => error.with_earlier_attempt(attempts.may_have_run),
                };
                if !attempts.record_error(&error) {
                    return Err(error);
                }
                self.shared.directory.demote(&peer).await;
                last_error = Some(error);
            }
            self.wait_for_retry(attempts, last_error).await?;
        }
    }

    /// Runs a request at most once under a new key.
    ///
    /// # Errors
    ///
    /// Returns an error only if it is certain that the request did not run. Other outcomes are an [`OnceAnswer`].
    pub async fn query_once(
        &self,
        service: &str,
        query: &Query,
    ) -> Result<OnceAnswer, ClientError> {
        let mut attempts = self.start_attempts(query.timeout);
        let key = self.fetch_key(&mut attempts).await?;
        // Requests for a key do not run the query.
        attempts.may_have_run = false;
        self.send_once(service, query, &key, attempts).await
    }

    /// Sends a request under a key that may already have been used for it, for example before a restart of the caller.
    ///
    /// # Errors
    ///
    /// Returns an error only if it is certain that this call did not run the request. An earlier call may have run it.
    pub async fn query_once_with(
        &self,
        service: &str,
        query: &Query,
        key: &Key,
    ) -> Result<OnceAnswer, ClientError> {
        let attempts = self.start_attempts(query.timeout);
        self.send_once(service, query, key, attempts).await
    }

    async fn send_once(
        &self,
        service: &str,
        query: &Query,
        key: &Key,
        mut attempts: Attempts,
    ) -> Result<OnceAnswer, ClientError> {
        let path = format!("/v1/services/{service}/once");
        let mut peers = vec![key.issuer.clone()];
        loop {
            let mut last_error = None;
            for peer in peers {
                let call = Call {
                    step: Step::Once,
                    peer: &peer,
                    method: Method::POST,
                    path: &path,
                    key: Some(&key.key),
                    body: query.body(),
                    deadline: attempts.deadline,
                };
                let error = match self.shared.http.send(call).await {
                    Ok(OnceBody::Done(answer)) => return Ok(OnceAnswer::Done(answer)),
                    Ok(OnceBody::NotRun(body)) => {
                        return Ok(OnceAnswer::NotRun {
                            reason: body.message,
                        });
                    }
                    Ok(OnceBody::Unknown(body)) => {
                        return Ok(OnceAnswer::Unknown {
                            reason: body.message,
                        });
                    }
                    Err(error) => error.with_earlier_attempt(attempts.may_have_run),
                };
                // A rejection by the issuer is final. A rejection by another node only means that it did not forward
                // the request.
                let not_run = matches!(error.kind, ErrorKind::Rejected { not_run: true, .. });
                if not_run && peer == key.issuer || !attempts.record_error(&error) {
                    return to_outcome(error);
                }
                self.shared.directory.demote(&peer).await;
                last_error = Some(error);
            }
            let next = async {
                self.wait_for_retry(&mut attempts, last_error).await?;
                self.peers(attempts.deadline).await
            };
            peers = match next.await {
                Ok(peers) => peers,
                Err(error) => return to_outcome(error.with_earlier_attempt(attempts.may_have_run)),
            };
        }
    }

    async fn peers(&self, deadline: Instant) -> Result<Vec<Arc<str>>, ClientError> {
        self.shared
            .directory
            .addresses(&self.shared.http, deadline)
            .await
    }

    /// Drops the cached addresses after all of them failed and waits before the next round, which discovers the nodes
    /// from the seeds. Returns the last error if the deadline leaves no time for another round.
    async fn wait_for_retry(
        &self,
        attempts: &mut Attempts,
        last_error: Option<ClientError>,
    ) -> Result<(), ClientError> {
        if Instant::now() + attempts.retry_delay >= attempts.deadline {
            let deadline_exceeded =
                || ClientError::without_peer(ErrorKind::DeadlineExceeded, Step::Discover);
            return Err(last_error.unwrap_or_else(deadline_exceeded));
        }
        self.shared.directory.clear().await;
        sleep(attempts.retry_delay).await;
        attempts.retry_delay = MAX_RETRY_DELAY.min(attempts.retry_delay * 2);
        Ok(())
    }

    fn start_attempts(&self, timeout: Option<Duration>) -> Attempts {
        Attempts {
            deadline: Instant::now() + timeout.unwrap_or(self.shared.timeout),
            rejection_retries: self.shared.rejection_retries,
            retry_delay: INITIAL_RETRY_DELAY,
            may_have_run: false,
        }
    }
}

/// Retry state of one request.
#[derive(Debug)]
struct Attempts {
    /// Deadline of all attempts together.
    deadline: Instant,
    /// Remaining retries after rejections.
    rejection_retries: u32,
    retry_delay: Duration,
    /// Whether an attempt that got no answer may have run.
    may_have_run: bool,
}

impl Attempts {
    /// Records the error of an attempt and returns whether another attempt is allowed.
    fn record_error(&mut self, error: &ClientError) -> bool {
        let retry = match &error.kind {
            ErrorKind::Connect(_) => true,
            ErrorKind::ConnectionLost(_) => {
                self.may_have_run = true;
                true
            }
            // Every node rejects an invalid request (4xx).
            ErrorKind::Rejected {
                not_run: true,
                status: 500..,
                ..
            } if self.rejection_retries > 0 => {
                self.rejection_retries -= 1;
                true
            }
            _ => false,
        };
        retry && Instant::now() < self.deadline
    }
}

/// Maps the error of an at-most-once request: it stays an error only if it is certain that the request did not run, and
/// becomes an unknown outcome otherwise.
fn to_outcome(error: ClientError) -> Result<OnceAnswer, ClientError> {
    match error.is_not_run() {
        true => Err(error),
        false => Ok(OnceAnswer::Unknown {
            reason: error.to_string(),
        }),
    }
}
