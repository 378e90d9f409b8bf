use std::{net::SocketAddr, time::Duration};

use http::StatusCode;
use rand::seq::SliceRandom;

use crate::{
    gateway::{
        ingress::{Answer, empty_response},
        state::Gateway,
    },
    platform::{DirectoryQuery, directory_answer},
};

/// Time for which callers may cache an answer. Some keep it three times as long, which must still end before a stopping
/// node is killed.
pub(super) const ANSWER_TTL: Duration = Duration::from_secs(1);
/// Maximum number of addresses in one answer.
const MAX_ADDRESSES: usize = 64;

impl Gateway {
    /// Answers an address query with the nodes that are ready for requests, in random order and at most
    /// [`MAX_ADDRESSES`].
    pub(super) fn addresses(&self, query: &DirectoryQuery) -> Answer {
        let listen = self.settings.borrow().listen;
        let mut addresses: Vec<SocketAddr> = self
            .members
            .ready_addresses(self.now())
            .map(|ip| SocketAddr::new(ip, listen.callers.port()))
            .collect();
        if self.is_ready() {
            addresses.push(listen.callers);
        }
        if addresses.is_empty() {
            log::warn!(domain:? = query.domain; "address query rejected: no node is known to be ready");
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        addresses.shuffle(&mut *self.rng.borrow_mut());
        addresses.truncate(MAX_ADDRESSES);
        let ttl = ANSWER_TTL.min(self.settings.borrow().bounds.answer_ttl);
        directory_answer(&addresses, ttl)
    }
}
