use std::sync::Arc;

use crate::core::{ServiceName, routing::Routing};

/// A decoded configuration, with what its routing table does not keep.
#[derive(Clone, Debug)]
pub struct Draft {
    pub routing: Routing,
    pub dropped: Vec<Dropped>,
    pub longest_key: Option<LongestKey>,
}

/// An entry, or a part of one, that nodes accept and do not use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Dropped {
    /// An earlier entry of a service that is listed again.
    Service(ServiceName),
    /// One of several targets of a route.
    Target { route: Arc<str> },
    /// A time of a route that is out of range. The nearest allowed time applies.
    Time {
        route: Arc<str>,
        field: &'static str,
    },
    /// A burst without a rate.
    Burst { account: Arc<str> },
    /// Keys that no request can carry.
    Keys { account: Arc<str>, count: usize },
}

/// The longest key that a request can carry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LongestKey {
    pub account: Arc<str>,
    /// Size of the header with the key, bytes, as it counts towards the limit on headers.
    pub header_bytes: usize,
}
