use std::{net::SocketAddr, time::Duration};

use http::StatusCode;
use rand::seq::SliceRandom;

use crate::{
    core::Domain,
    gateway::{
        ingress::{Answer, empty_response},
        members::node_address,
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
    /// Answers an address query with the selected nodes, or all nodes that are ready for requests if none are selected,
    /// in random order and at most [`MAX_ADDRESSES`].
    pub(super) fn addresses(&self, query: &DirectoryQuery) -> Answer {
        let callers = self.settings.borrow().listen.callers;
        let mut addresses = self.selected_addresses(callers, query.domain.as_ref());
        if addresses.is_empty() {
            addresses = self.ready_addresses(callers);
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

    /// Returns the addresses of the selected nodes, those near the caller if they have capacity. The list is empty if all
    /// nodes serve callers.
    fn selected_addresses(&self, callers: SocketAddr, domain: Option<&Domain>) -> Vec<SocketAddr> {
        let nodes = self.entry.nodes_near(domain, |node| {
            let own = node == self.members.me();
            self.members.is_healthy(node) && (!own || self.is_ready())
        });
        let ips = nodes.iter().filter_map(node_address);
        ips.map(|address| SocketAddr::new(address.ip(), callers.port()))
            .collect()
    }

    /// Returns the addresses of all nodes that are known to be ready.
    fn ready_addresses(&self, callers: SocketAddr) -> Vec<SocketAddr> {
        let others = self.members.ready_addresses(self.now());
        let others = others.map(|ip| SocketAddr::new(ip, callers.port()));
        others.chain(self.is_ready().then_some(callers)).collect()
    }
}
