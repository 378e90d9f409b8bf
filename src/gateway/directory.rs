use std::{net::SocketAddr, time::Duration};

use http::StatusCode;
use rand::seq::SliceRandom;

use crate::{
    gateway::{
        ingress::{Answer, plain},
        state::Gateway,
    },
    platform::{DirectoryQuery, directory_answer},
};

/// Time for which callers may keep an answer. Some keep it three times as long, which must end before a node
/// that is stopping is killed.
pub(super) const ANSWER_LIFE: Duration = Duration::from_secs(1);
/// Most addresses in one answer.
const MAX_ADDRESSES: usize = 64;

impl Gateway {
    /// Answers a caller that asks which addresses to use: all nodes that take requests.
    pub(super) fn addresses(&self, query: &DirectoryQuery) -> Answer {
        let listen = self.settings.borrow().listen;
        let mut addresses: Vec<SocketAddr> = self
            .members
            .ready(self.now())
            .map(|ip| SocketAddr::new(ip, listen.callers.port()))
            .collect();
        if self.is_ready() {
            addresses.push(listen.callers);
        }
        if addresses.is_empty() {
            log::warn!(domain:? = query.domain; "no address to give: no node is known to be ready");
            return plain(StatusCode::SERVICE_UNAVAILABLE);
        }
        addresses.shuffle(&mut *self.rng.borrow_mut());
        addresses.truncate(MAX_ADDRESSES);
        let life = ANSWER_LIFE.min(self.settings.borrow().bounds.answer_ttl);
        directory_answer(&addresses, life)
    }
}
