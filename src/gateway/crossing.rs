use std::fmt;

use metrics::Counter;

use crate::{
    core::{
        ServiceName, Time,
        placement::{CrossReason, Placement, ShareChange},
    },
    gateway::{leaf::Leaf, state::Gateway, upstreams::Service},
};

/// Counters of the traffic to leaves in the node's own failure domain and in others.
pub(super) struct DomainTraffic {
    own: CallCounters,
    other: CallCounters,
    /// First calls by the reason for which they left, in the order of [`CrossReason::ALL`].
    reasons: [Counter; CrossReason::ALL.len()],
}

struct CallCounters {
    calls: Counter,
    bytes: Counter,
}

impl CallCounters {
    fn new(domain: &'static str) -> Self {
        Self {
            calls: metrics::counter!("cranberrychute_domain_calls_total", "domain" => domain),
            bytes: metrics::counter!("cranberrychute_domain_bytes_total", "domain" => domain),
        }
    }
}

impl DomainTraffic {
    /// Registers the counters. The recorder of the metrics has to be installed.
    pub(super) fn new() -> Self {
        Self {
            own: CallCounters::new("own"),
            other: CallCounters::new("other"),
            reasons: CrossReason::ALL.map(|reason| {
                metrics::counter!("cranberrychute_crossings_total", "reason" => reason.label())
            }),
        }
    }

    /// Counts a first call that left the domain.
    pub(super) fn record_placement(&self, placement: Placement) {
        if let Placement::Crossing(_, reason) = placement {
            self.reasons[reason as usize].increment(1);
        }
    }
}

impl fmt::Debug for DomainTraffic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DomainTraffic").finish_non_exhaustive()
    }
}

impl Gateway {
    /// Returns whether a leaf is in this node's failure domain.
    pub(super) fn is_near(&self, leaf: &Leaf) -> bool {
        leaf.record.borrow().domain == self.settings.borrow().domain
    }

    /// Counts a call to a leaf with the bytes of the request and of the answer.
    pub(super) fn record_traffic(&self, leaf: &Leaf, service: &Service, bytes: usize) {
        let counters = match self.is_near(leaf) {
            true => &self.domain_traffic.own,
            false => &self.domain_traffic.other,
        };
        counters.calls.increment(1);
        counters.bytes.increment(bytes as u64);
        service.crossing.borrow_mut().record_size(bytes);
    }

    /// Logs that the share of a service's calls that leave the domain has changed.
    pub(super) fn log_share(&self, now: Time, service: &Service, change: ShareChange) {
        let Some(suppressed) = self.log_limiter.admit(now, "crossing") else {
            return;
        };
        let leaves = service.leaves.borrow();
        let name = leaves
            .first()
            .map(|leaf| leaf.record.borrow().service.clone());
        let name: Option<&ServiceName> = name.as_ref();
        log::info!(
            service = name.map_or("", ServiceName::as_str),
            from = change.from,
            to = change.to,
            reason = change.reason,
            leafs = leaves.len(),
            suppressed;
            "share of calls to other failure domains changed"
        );
    }
}
