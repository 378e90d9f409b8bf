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

/// Hits asked for when the query names no number.
const DEFAULT_TOP_K: u16 = 10;
/// Pause before the seeds are asked again because every known address failed; it doubles each time.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// A caller of query services. Clones share connections and addresses.
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
    refusals: u32,
}

/// What is asked.
#[derive(Clone, Debug)]
pub struct Query {
    text: Arc<str>,
    top_k: u16,
    timeout: Option<Duration>,
}

impl Query {
    /// Asks for the ten best hits for a text.
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        Self {
            text: text.into(),
            top_k: DEFAULT_TOP_K,
            timeout: None,
        }
    }

    /// Sets the number of hits.
    pub fn top_k(mut self, top_k: u16) -> Self {
        self.top_k = top_k;
        self
    }

    /// Sets the time the request may take in all, with every retry.
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

/// Permission to run one request at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    key: Arc<str>,
    lifetime_ms: u64,
    /// The address that issued the key and is asked first.
    #[serde(default)]
    issuer: Arc<str>,
}

impl Key {
    /// Returns the text of the key.
    pub fn as_str(&self) -> &str {
        &self.key
    }
}

/// The body of an at-most-once answer.
#[derive(Debug, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
enum OnceBody {
    Done(Answer),
    NotRun(Reason),
    Unknown(Reason),
}

#[derive(Debug, Deserialize)]
struct Reason {
    #[serde(default)]
    message: String,
}

impl Client {
    /// Starts to set up a client.
    pub fn builder() -> ClientBuilder {
        ClientBuilder::new()
    }

    pub(super) fn new(http: Http, directory: Directory, timeout: Duration, refusals: u32) -> Self {
        let shared = Shared {
            http,
            directory,
            timeout,
            refusals,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Runs a query that may be repeated. It goes to another node when a node fails or refuses it as "not run".
    ///
    /// # Errors
    ///
    /// Fails when no node answered within the deadline, or when a node refused it for good.
    pub async fn query(&self, service: &str, query: &Query) -> Result<Answer, ClientError> {
        let path = format!("/v1/services/{service}/query");
        let mut attempts = self.attempts(query.timeout);
        let call = Call {
            step: Step::Query,
            peer: "",
            method: Method::POST,
            path: &path,
            key: None,
            body: query.body(),
            end: attempts.end,
        };
        self.repeat(&mut attempts, call)
            .await
            .map(|(answer, _)| answer)
    }

    /// Gets a key from a node. Nothing runs by that.
    ///
    /// # Errors
    ///
    /// Fails when no node gave a key within the deadline of the client.
    pub async fn request_key(&self) -> Result<Key, ClientError> {
        self.new_key(&mut self.attempts(None)).await
    }

    async fn new_key(&self, attempts: &mut Attempts) -> Result<Key, ClientError> {
        let call = Call {
            step: Step::Key,
            peer: "",
            method: Method::POST,
            path: "/v1/keys",
            key: None,
            body: Bytes::new(),
            end: attempts.end,
        };
        let (key, issuer) = self.repeat::<Key>(attempts, call).await?;
        Ok(Key { issuer, ..key })
    }

    /// Sends `call` to one node after the other until one answers; returns the address that did.
    async fn repeat<T: DeserializeOwned>(
        &self,
        attempts: &mut Attempts,
        call: Call<'_>,
    ) -> Result<(T, Arc<str>), ClientError> {
        loop {
            let peers = self.peers(attempts.end).await;
            let mut last = None;
            for peer in peers.map_err(|fault| fault.after(attempts.sent))? {
                let call = Call {
                    peer: &peer,
                    ..call.clone()
                };
                let fault = match self.shared.http.send(call).await {
                    Ok(answer) => return Ok((answer, peer)),
                    Err(fault) => fault.after(attempts.sent),
                };
                if !attempts.again(&fault) {
                    return Err(fault);
                }
                self.shared.directory.demote(&peer).await;
                last = Some(fault);
            }
            self.pause(attempts, last).await?;
        }
    }

    /// Runs a request at most once, under a new key.
    ///
    /// # Errors
    ///
    /// Fails only when it is certain that nothing ran; anything else is an [`OnceAnswer`].
    pub async fn query_once(
        &self,
        service: &str,
        query: &Query,
    ) -> Result<OnceAnswer, ClientError> {
        let mut attempts = self.attempts(query.timeout);
        let key = self.new_key(&mut attempts).await?;
        // An attempt to get a key runs nothing.
        attempts.sent = false;
        self.send_once(service, query, &key, attempts).await
    }

    /// Sends a request under a key that may have been used for it before, for example by a caller that restarted.
    ///
    /// # Errors
    ///
    /// Fails only when it is certain that nothing ran by this call; an earlier call may have run.
    pub async fn query_once_with(
        &self,
        service: &str,
        query: &Query,
        key: &Key,
    ) -> Result<OnceAnswer, ClientError> {
        let attempts = self.attempts(query.timeout);
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
            let mut last = None;
            for peer in peers {
                let call = Call {
                    step: Step::Once,
                    peer: &peer,
                    method: Method::POST,
                    path: &path,
                    key: Some(&key.key),
                    body: query.body(),
                    end: attempts.end,
                };
                let fault = match self.shared.http.send(call).await {
                    Ok(OnceBody::Done(answer)) => return Ok(OnceAnswer::Done(answer)),
                    Ok(OnceBody::NotRun(told)) => {
                        return Ok(OnceAnswer::NotRun {
                            reason: told.message,
                        });
                    }
                    Ok(OnceBody::Unknown(told)) => {
                        return Ok(OnceAnswer::Unknown {
                            reason: told.message,
                        });
                    }
                    Err(fault) => fault.after(attempts.sent),
                };
                // The issuer's refusal is final; another node only says that it did not forward the request.
                let refused = matches!(fault.kind, ErrorKind::Rejected { not_run: true, .. });
                if refused && peer == key.issuer || !attempts.again(&fault) {
                    return once_failed(fault);
                }
                self.shared.directory.demote(&peer).await;
                last = Some(fault);
            }
            let next = async {
                self.pause(&mut attempts, last).await?;
                self.peers(attempts.end).await
            };
            peers = match next.await {
                Ok(peers) => peers,
                Err(fault) => return once_failed(fault.after(attempts.sent)),
            };
        }
    }

    async fn peers(&self, end: Instant) -> Result<Vec<Arc<str>>, ClientError> {
        self.shared
            .directory
            .addresses(&self.shared.http, end)
            .await
    }

    /// Waits before another round over the seeds after every address failed, or gives up with the last error.
    async fn pause(
        &self,
        attempts: &mut Attempts,
        last: Option<ClientError>,
    ) -> Result<(), ClientError> {
        if Instant::now() + attempts.pause >= attempts.end {
            let late = || ClientError::anywhere(ErrorKind::DeadlineExceeded, Step::Discover);
            return Err(last.unwrap_or_else(late));
        }
        self.shared.directory.forget().await;
        sleep(attempts.pause).await;
        attempts.pause = LONGEST_PAUSE.min(attempts.pause * 2);
        Ok(())
    }

    fn attempts(&self, timeout: Option<Duration>) -> Attempts {
        Attempts {
            end: Instant::now() + timeout.unwrap_or(self.shared.timeout),
            refusals: self.shared.refusals,
            pause: FIRST_PAUSE,
            sent: false,
        }
    }
}

/// The attempts at one request.
#[derive(Debug)]
struct Attempts {
    /// End of the overall deadline.
    end: Instant,
    /// Refusals that may still be answered with another attempt.
    refusals: u32,
    pause: Duration,
    /// An attempt may have run without an answer.
    sent: bool,
}

impl Attempts {
    /// Returns whether another attempt is allowed after `fault`.
    fn again(&mut self, fault: &ClientError) -> bool {
        let retry = match &fault.kind {
            ErrorKind::Connect(_) => true,
            ErrorKind::ConnectionLost(_) => {
                self.sent = true;
                true
            }
            // A request that is wrong (4xx) is wrong at every node.
            ErrorKind::Rejected {
                not_run: true,
                status: 500..,
                ..
            } if self.refusals > 0 => {
                self.refusals -= 1;
                true
            }
            _ => false,
        };
        retry && Instant::now() < self.end
    }
}

/// Reports an at-most-once request that got no answer: an error only if it is certain that nothing ran.
fn once_failed(fault: ClientError) -> Result<OnceAnswer, ClientError> {
    match fault.is_not_run() {
        true => Err(fault),
        false => Ok(OnceAnswer::Unknown {
            reason: fault.to_string(),
        }),
    }
}
