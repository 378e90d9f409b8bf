use std::{sync::Arc, time::Duration};

use super::{Client, ClientError, ErrorKind, Step, directory::Directory, http::Http};

/// Settings of a [`Client`].
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

    /// Sets the id of the caller; callers are spread over the nodes by it.
    pub fn caller(mut self, id: impl Into<Arc<str>>) -> Self {
        self.caller = id.into();
        self
    }

    /// Adds the address, `host:port`, of any node.
    pub fn seed(mut self, address: impl Into<String>) -> Self {
        self.seeds.push(address.into());
        self
    }

    /// Adds addresses of nodes.
    pub fn seeds<S: Into<String>>(mut self, addresses: impl IntoIterator<Item = S>) -> Self {
        self.seeds.extend(addresses.into_iter().map(Into::into));
        self
    }

    /// Sets the time a request may take in all when the request names none. The default is 2 s.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets the time to open a connection. The default is 500 ms.
    pub fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets how often a connection with requests is pinged and how long a ping may take.
    ///
    /// A node that is paused is given up after the sum, 750 ms by default.
    pub fn ping(mut self, interval: Duration, timeout: Duration) -> Self {
        self.ping_interval = interval;
        self.ping_timeout = timeout;
        self
    }

    /// Sets how often a query that was refused as "not run" is sent to another node. The default is 2.
    pub fn rejection_retries(mut self, retries: u32) -> Self {
        self.rejection_retries = retries;
        self
    }

    /// Builds the client. Nothing is sent yet.
    ///
    /// # Errors
    ///
    /// Fails when there is no seed, a seed is no `host:port` or the caller's id cannot stand in a URL.
    pub fn build(self) -> Result<Client, ClientError> {
        let fault = |text: String| ClientError::anywhere(ErrorKind::Settings(text), Step::Setup);
        if self.seeds.is_empty() {
            return Err(fault("at least one seed address is needed".into()));
        }
        for seed in &self.seeds {
            let authority = seed.parse::<http::uri::Authority>();
            if !authority.is_ok_and(|authority| authority.port().is_some()) {
                return Err(fault(format!("seed {seed:?} is not HOST:PORT")));
            }
        }
        let plain = |c: char| c.is_ascii_alphanumeric() || "-._~".contains(c);
        if self.caller.is_empty() || !self.caller.chars().all(plain) {
            let text = format!(
                "caller id {:?} may only have letters, digits and -._~",
                self.caller
            );
            return Err(fault(text));
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
