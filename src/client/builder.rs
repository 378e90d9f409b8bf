use std::{sync::Arc, time::Duration};

use super::{Client, ClientError, ErrorKind, Step, directory::Directory, http::Http};

/// Builder for a [`Client`].
#[derive(Clone, Debug)]
pub struct ClientBuilder {
    pub(super) caller: Arc<str>,
    pub(super) seeds: Vec<String>,
    pub(super) timeout: Duration,
    pub(super) connect_timeout: Duration,
    pub(super) ping_interval: Duration,
    pub(super) ping_timeout: Duration,
    pub(super) rejection_retries: u32,
}

impl ClientBuilder {
    pub(super) fn new() -> Self {
        Self {
            caller: "caller".into(),
            seeds: Vec::new(),
            timeout: Duration::from_secs(2),
            connect_timeout: Duration::from_millis(500),
            ping_interval: Duration::from_millis(250),
            ping_timeout: Duration::from_millis(500),
            rejection_retries: 2,
        }
    }

    /// Sets the id of the caller, which determines the nodes that the caller is assigned to. The default is `caller`.
    pub fn caller(mut self, id: impl Into<Arc<str>>) -> Self {
        self.caller = id.into();
        self
    }

    /// Adds the address of any node as a seed, in the form `host:port`.
    pub fn seed(mut self, address: impl Into<String>) -> Self {
        self.seeds.push(address.into());
        self
    }

    /// Adds the addresses of several nodes as seeds.
    pub fn seeds<S: Into<String>>(mut self, addresses: impl IntoIterator<Item = S>) -> Self {
        self.seeds.extend(addresses.into_iter().map(Into::into));
        self
    }

    /// Sets the total timeout of requests without their own timeout, retries included. The default is 2 s.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets the timeout for opening a connection. The default is 500 ms.
    pub fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets the interval and timeout of the pings on connections with requests in progress.
    ///
    /// The connection to a paused node is closed after the sum of both, 750 ms by default.
    pub fn ping(mut self, interval: Duration, timeout: Duration) -> Self {
        self.ping_interval = interval;
        self.ping_timeout = timeout;
        self
    }

    /// Sets how many times a query that was rejected as "not run" is retried on another node. The default is 2.
    pub fn rejection_retries(mut self, retries: u32) -> Self {
        self.rejection_retries = retries;
        self
    }

    /// Builds the client without connecting to a node.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no seed, a seed is not of the form `host:port`, or the caller id is not valid in a
    /// URL: it is empty or has characters other than ASCII letters, digits and `-._~`.
    pub fn build(self) -> Result<Client, ClientError> {
        let settings_error =
            |message: String| ClientError::without_peer(ErrorKind::Settings(message), Step::Setup);
        if self.seeds.is_empty() {
            return Err(settings_error(
                "at least one seed address is required".into(),
            ));
        }
        for seed in &self.seeds {
            let authority = seed.parse::<http::uri::Authority>();
            if !authority.is_ok_and(|authority| authority.port().is_some()) {
                return Err(settings_error(format!("seed {seed:?} is not HOST:PORT")));
            }
        }
        let is_unreserved = |c: char| c.is_ascii_alphanumeric() || "-._~".contains(c);
        if self.caller.is_empty() || !self.caller.chars().all(is_unreserved) {
            let message = format!(
                "caller id {:?} must be non-empty and contain only ASCII letters, digits and -._~",
                self.caller
            );
            return Err(settings_error(message));
        }
        let http = Http::new(&self);
        let directory = Directory::new(self.caller, self.seeds);
        Ok(Client::new(
            http,
            directory,
            self.timeout,
            self.rejection_retries,
        ))
    }
}
