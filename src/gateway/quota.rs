use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use metrics::Counter;
use rand::seq::IteratorRandom;
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use crate::{
    adapter::peer::ControlSocket,
    core::{
        Incarnation, NodeId, Time,
        account::Account,
        entry::EntryState,
        quota::{ASK_INTERVAL, Denial, Outgoing, OutgoingAsk, Quotas, Report},
    },
    gateway::{
        Settings,
        members::{node_address, node_id},
        state::Gateway,
    },
};

/// Minimum time between messages at short notice. Requests that arrive at the same time share one.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(2);
/// Delay after a failed receive.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(165);
/// Maximum number of accounts with metrics of their own, two series each. The others are counted as [`OTHER_ACCOUNTS`].
const MAX_COUNTED: usize = 99;
const OTHER_ACCOUNTS: &str = "other";
/// Key derivation context, which separates these messages from those of the peer socket.
const KEY_CONTEXT: &str = "cranberrychute 2026 quota message";

/// Metrics of one account.
#[derive(Clone)]
struct AccountCounters {
    admitted: Counter,
    rejected: Counter,
}

/// The quotas of accounts over all nodes.
pub(super) struct QuotaState {
    quotas: RefCell<Quotas>,
    /// `None` if the port is not available. Each node then keeps to its own share.
    socket: Option<ControlSocket>,
    /// Notified when tokens are needed at short notice.
    urgent: Notify,
    counters: RefCell<HashMap<Arc<str>, AccountCounters>>,
}

impl QuotaState {
    pub(super) async fn bind(settings: &Settings, incarnation: Incarnation, now: Time) -> Self {
        let peer = settings.listen.peer;
        let key = settings.fleet_key.derive(KEY_CONTEXT);
        let socket = match quota_address(peer) {
            Some(address) => ControlSocket::bind(address, node_id(peer), incarnation, &key)
                .await
                .inspect_err(|error| {
                    log::warn!(address:% = address, error:% = error; "failed to bind the quota socket");
                })
                .ok(),
            None => None,
        };
        Self {
            quotas: RefCell::new(Quotas::new(now, node_id(peer), settings.bounds.quota)),
            socket,
            urgent: Notify::new(),
            counters: RefCell::default(),
        }
    }

    fn counters(&self, account: &Account) -> AccountCounters {
        let mut counters = self.counters.borrow_mut();
        if let Some(known) = counters.get(&account.name) {
            return known.clone();
        }
        let name = if counters.len() < MAX_COUNTED {
            account.name.clone()
        } else {
            OTHER_ACCOUNTS.into()
        };
        let counter = |outcome: &'static str| metrics::counter!("cranberrychute_account_requests_total", "account" => name.to_string(), "outcome" => outcome);
        let created = AccountCounters {
            admitted: counter("admitted"),
            rejected: counter("over_quota"),
        };
        if counters.len() < MAX_COUNTED {
            counters.insert(name, created.clone());
        }
        created
    }
}

/// Returns the address of a node's quota socket: the port after its peer port, on which earlier builds do not listen.
fn quota_address(peer: SocketAddr) -> Option<SocketAddr> {
    let port = peer.port().checked_add(1)?;
    Some(SocketAddr::new(peer.ip(), port))
}

impl Gateway {
    /// Counts a query against the quota of its account. Retries, hedges and parts of a query must not be counted again, nor
    /// queries that another node has handed over.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller should retry if the account is over its quota.
    pub(super) fn admit_account(&self, account: &Account) -> Result<(), Duration> {
        let now = self.now();
        let state = &self.quota;
        let admitted = state.quotas.borrow_mut().admit(now, account);
        if state.quotas.borrow().is_urgent() {
            state.urgent.notify_one();
        }
        let counters = state.counters(account);
        let Err(denial) = admitted else {
            counters.admitted.increment(1);
            return Ok(());
        };
        counters.rejected.increment(1);
        if let Some(suppressed) = self.log_limiter.admit(now, "over_quota") {
            let Denial {
                retry_after,
                limit,
                share,
                own_demand,
                peer_demand,
            } = denial;
            log::info!(
                account = &*account.name,
                limit = limit.per_s,
                burst = limit.burst,
                share,
                own_demand,
                peer_demand,
                retry_after_ms = retry_after.as_millis() as u64,
                suppressed;
                "request over the quota of its account"
            );
        }
        Err(denial.retry_after)
    }

    /// Takes back the count of a query that was admitted but did not run and never will.
    pub(super) fn refund_account(&self, account: &Account) {
        let mut quotas = self.quota.quotas.borrow_mut();
        quotas.give_back(self.now(), account);
    }

    /// Updates this node's share of all quotas.
    pub(super) fn update_quotas(&self) {
        let now = self.now();
        let leaving: HashSet<NodeId> = self.entry.nodes_in(EntryState::Stopping);
        let (serving, alive) = (self.entry_nodes(), self.members.alive());
        let mut quotas = self.quota.quotas.borrow_mut();
        quotas.set_bounds(now, self.settings.borrow().bounds.quota);
        quotas.set_nodes(now, &serving, &alive, &leaving);
    }

    /// Asks other nodes for tokens until the process exits.
    pub(super) async fn request_quota(self: Rc<Self>) {
        let Some(socket) = &self.quota.socket else {
            return;
        };
        loop {
            // A timeout only means that nothing is urgent.
            let _ = timeout(ASK_INTERVAL, self.quota.urgent.notified()).await;
            let Outgoing { asks, returns } = self.quota.quotas.borrow_mut().report(self.now());
            for (node, returned) in returns {
                let address = node_address(&node).and_then(quota_address);
                if let Some(address) = address {
                    self.send_quota(socket, address, Report::Return(returned))
                        .await;
                }
            }
            for OutgoingAsk {
                mut ask,
                among,
                asked,
            } in asks
            {
                let chosen: Vec<NodeId> = {
                    let quotas = self.quota.quotas.borrow();
                    let mut rng = self.rng.borrow_mut();
                    let chosen = quotas.holders(among).choose_multiple(&mut *rng, asked);
                    chosen.into_iter().cloned().collect()
                };
                // Only one holder gives up the tokens for its own callers.
                ask.deep = true;
                for node in chosen {
                    let address = node_address(&node).and_then(quota_address);
                    if let Some(address) = address {
                        self.send_quota(socket, address, Report::Ask(ask.clone()))
                            .await;
                    }
                    ask.deep = false;
                }
            }
            sleep(MIN_ASK_INTERVAL).await;
        }
    }

    /// Handles messages about quotas until the process exits.
    pub(super) async fn receive_quota(self: Rc<Self>) {
        let Some(socket) = &self.quota.socket else {
            return;
        };
        loop {
            let incoming = match socket.receive::<Report>().await {
                Ok(incoming) => incoming,
                Err(error) => {
                    log::warn!(error:% = error; "failed to receive from the quota socket");
                    sleep(RECEIVE_RETRY_DELAY).await;
                    continue;
                }
            };
            let (from, report) = (&incoming.from, &incoming.message);
            let response = self
                .quota
                .quotas
                .borrow_mut()
                .record_report(self.now(), from, report);
            if let Some(response) = response {
                self.send_quota(socket, incoming.address, response).await;
            }
        }
    }

    async fn send_quota(&self, socket: &ControlSocket, to: SocketAddr, report: Report) {
        let sent = socket.send(to, report, Err).await;
        if let Err(error) = sent
            && let Some(suppressed) = self.log_limiter.admit(self.now(), "quota_send")
        {
            log::warn!(to:% = to, suppressed, error:% = error; "failed to send a message about quotas");
        }
    }
}
