use std::{net::SocketAddr, time::Duration};

use http::StatusCode;
use rand::seq::SliceRandom;

use crate::{
    core::{Domain, entry::EntryState},
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
/// Maximum number of nodes in each list of a log line.
const MAX_LOGGED_NODES: usize = 8;

impl Gateway {
    /// Answers an address query with the selected nodes, or all nodes that are ready for requests if none are selected,
    /// in random order and at most [`MAX_ADDRESSES`].
    pub(super) fn addresses(&self, query: &DirectoryQuery) -> Answer {
        let mut addresses = self.named_addresses(query.domain.as_ref());
        if addresses.is_empty() {
            log::warn!(domain:? = query.domain; "address query rejected: no node is known to be ready");
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        addresses.shuffle(&mut *self.rng.borrow_mut());
        addresses.truncate(MAX_ADDRESSES);
        let ttl = ANSWER_TTL.min(self.settings.borrow().bounds.answer_ttl);
        directory_answer(&addresses, ttl)
    }

    /// Logs which nodes address answers name, if that has changed.
    pub(super) fn log_named_nodes(&self) {
        let mut named = self.named_addresses(None);
        named.sort_unstable();
        let previous = self.named_nodes.replace(named.clone());
        if named == previous {
            return;
        }
        if let Some(suppressed) = self.log_limiter.admit(self.now(), "named_nodes") {
            let missing = |of: &[SocketAddr], from: &[SocketAddr]| {
                let missing = of.iter().filter(|node| !from.contains(node));
                let texts = missing.take(MAX_LOGGED_NODES).map(SocketAddr::to_string);
                texts.collect::<Vec<_>>().join(",")
            };
            log::info!(
                named = named.len(),
                added = missing(&named, &previous),
                removed = missing(&previous, &named),
                suppressed;
                "address answers name other nodes"
            );
        }
    }

    /// Returns the addresses of the nodes that a caller is told to use.
    fn named_addresses(&self, domain: Option<&Domain>) -> Vec<SocketAddr> {
        let callers = self.settings.borrow().listen.callers;
        let selected = self.selected_addresses(callers, domain);
        if !selected.is_empty() {
            return selected;
        }
        let ready = self.addresses_in(callers, EntryState::Ready, self.serves_callers());
        if !ready.is_empty() {
            return ready;
        }
        // If no node reaches the leaves, those that may reach them again soon are better than none.
        self.addresses_in(callers, EntryState::CutOff, self.is_ready())
    }

    /// Returns the addresses of the selected nodes, those near the caller if they have capacity. The list is empty if all
    /// nodes serve callers.
    fn selected_addresses(&self, callers: SocketAddr, domain: Option<&Domain>) -> Vec<SocketAddr> {
        let nodes = self.entry.nodes_near(domain, |node| {
            let own = node == self.members.me();
            self.members.is_healthy(node) && (!own || self.serves_callers())
        });
        let ips = nodes.iter().filter_map(node_address);
        ips.map(|address| SocketAddr::new(address.ip(), callers.port()))
            .collect()
    }

    /// Returns the addresses of all other nodes that are known to be in a state, and this node's if `own`.
    fn addresses_in(&self, callers: SocketAddr, state: EntryState, own: bool) -> Vec<SocketAddr> {
        let others = self.members.addresses_in(self.now(), state);
        let others = others
            .into_iter()
            .map(|ip| SocketAddr::new(ip, callers.port()));
        others.chain(own.then_some(callers)).collect()
    }
}
