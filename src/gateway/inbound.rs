use std::{cell::RefCell, net::IpAddr, rc::Rc, sync::Arc, time::Duration};

use smallvec::SmallVec;

use crate::{
    core::{
        NodeId, Time,
        account::Account,
        admission::Flow,
        crash::Fingerprint,
        placement::RequestKey,
        routing::{Repeat, Route},
    },
    gateway::handover::MAX_HELPERS,
    platform::{CallerRequest, LeafRequest},
};

/// Time before the caller's timeout at which a request ends.
const DEADLINE_MARGIN: Duration = Duration::from_millis(6);

/// A caller's request as received by the gateway.
#[derive(Debug)]
pub(super) struct Inbound {
    pub(super) caller: CallerRequest,
    pub(super) request: Rc<LeafRequest>,
    /// Identity of the request's content, which repeats of the request share.
    pub(super) content: Fingerprint,
    pub(super) route: Arc<Route>,
    /// Account that sent the request. `None` if the configuration has no accounts or the route needs none.
    pub(super) account: Option<Arc<Account>>,
    /// When the request head was received.
    pub(super) arrived: Time,
    /// How long the request may have waited in its socket before.
    pub(super) waited: Duration,
    /// The request is the first one on its connection, so its caller has also waited for the connection.
    pub(super) first: bool,
    /// Another node has handed the request over.
    pub(super) handed_over: bool,
    /// The address of the caller, `None` if its connection ended while it was accepted.
    pub(super) peer: Option<IpAddr>,
    /// Identifies the request on the connections that carry it.
    pub(super) key: RequestKey,
    /// Nodes to which the request was handed over.
    pub(super) asked: RefCell<SmallVec<[NodeId; MAX_HELPERS]>>,
    /// When a node that is stopping answers the request at the latest.
    pub(super) end_by: Option<Time>,
}

impl Inbound {
    /// Returns the time that the caller waits, as it stated or as on the route.
    pub(super) fn timeout(&self) -> Duration {
        self.caller.timeout.unwrap_or(self.route.timeout)
    }

    /// Returns when the request ends.
    pub(super) fn deadline(&self) -> Time {
        let timeout = self.timeout().min(self.route.timeout);
        let deadline = self.arrived + timeout.saturating_sub(self.waited + DEADLINE_MARGIN);
        self.end_by.map_or(deadline, |end| deadline.min(end))
    }

    /// Returns the priority of the request: its account's, or else its route's. 0 is the most urgent.
    pub(super) fn priority(&self) -> u32 {
        self.route.priority_for(self.account.as_deref())
    }

    /// Returns the flow with which the request shares capacity while the leaves are overloaded.
    pub(super) fn flow(&self) -> Flow {
        match (&self.account, self.peer) {
            (Some(account), _) => Flow::Account(account.name.clone()),
            (None, Some(ip)) if !self.handed_over => Flow::Caller(ip),
            _ => Flow::OtherNode,
        }
    }

    /// Returns whether the request may run more than once.
    pub(super) fn is_repeatable(&self) -> bool {
        self.route.repeat == Repeat::Idempotent
    }
}
