use std::{cmp::Reverse, collections::HashMap, sync::Arc, time::Duration};

use crate::core::{
    ServiceName,
    account::Accounts,
    routing::{Route, Target},
};

/// An error that makes the whole configuration invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RoutingError {
    #[error("route {route}: prefix {prefix:?} must begin and end with a slash")]
    Prefix { route: Arc<str>, prefix: Arc<str> },
    #[error("route {route}: no target service")]
    NoTarget { route: Arc<str> },
}

/// Settings of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Maximum number of connections that one leaf accepts from all nodes together.
    pub max_connections: u32,
    /// Requests per second that a cold leaf can handle. Zero if a cold leaf is only slow and needs no limit.
    pub cold_rate: f64,
}

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IngressLimits {
    pub header_bytes: usize,
    pub body_bytes: usize,
    /// Maximum time to receive the head of a request.
    pub header_timeout: Duration,
    /// Maximum idle time of a connection.
    pub idle_timeout: Duration,
}

impl Default for IngressLimits {
    /// The limits that apply before the first configuration is loaded.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 256 << 10,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// The routing table of one version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Routing {
    version: u64,
    /// Routes by host, longest prefix first.
    hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: HashMap<ServiceName, ServiceSpec>,
    limits: IngressLimits,
    accounts: Option<Arc<Accounts>>,
}

impl Routing {
    /// Builds the routing table.
    ///
    /// # Errors
    ///
    /// Fails at the first invalid route.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: HashMap<ServiceName, ServiceSpec>,
        limits: IngressLimits,
    ) -> Result<Self, RoutingError> {
        let mut hosts: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
                return Err(RoutingError::Prefix {
                    route: route.name,
                    prefix: route.prefix,
                });
            }
            let is_empty = match &route.target {
                Target::Service(_) => false,
                Target::Split(parts) => parts.is_empty(),
                Target::Gather(gather) => gather.shards.is_empty(),
            };
            if is_empty {
                return Err(RoutingError::NoTarget { route: route.name });
            }
            let host = route.host.clone();
            hosts.entry(host).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| Reverse(route.prefix.len()));
        }
        Ok(Self {
            version,
            hosts,
            services,
            limits,
            accounts: None,
        })
    }

    /// Sets the client accounts. With `None`, requests need no key.
    pub fn with_accounts(self, accounts: Option<Accounts>) -> Self {
        Self {
            accounts: accounts.map(Arc::new),
            ..self
        }
    }

    /// Returns the client accounts, `None` if the configuration does not contain a list of them.
    pub fn accounts(&self) -> Option<&Accounts> {
        self.accounts.as_deref()
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the route of a request: of the routes of its host, the one with the longest prefix of the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(host.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the settings of a service.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Returns all services with their settings, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &ServiceSpec)> {
        self.services.iter()
    }

    /// Returns the limits on callers' requests.
    pub fn limits(&self) -> IngressLimits {
        self.limits
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Returns whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Returns all routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }
}
