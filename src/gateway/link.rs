use std::{
    cell::{Cell, RefCell},
    collections::HashSet,
    rc::Rc,
    time::Duration,
};

use futures::future::join_all;
use rand::seq::{IteratorRandom, SliceRandom};
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use crate::{
    adapter::http1::ExchangeError,
    core::{
        Time,
        link::{LinkCheck, LinkMonitor, LinkState},
    },
    gateway::{
        leaf::{ConnectionLease, Leaf},
        state::Gateway,
    },
};

/// Number of other nodes that a check of the link asks for a connection.
const CHECKED_PEERS: usize = 2;
/// Time in which a leaf accepts a connection, also right after a pause.
const CHECK_TIMEOUT: Duration = Duration::from_millis(150);

/// This node's link to the leaves.
#[derive(Debug, Default)]
pub(super) struct LeafLink {
    monitor: RefCell<LinkMonitor>,
    /// Signals that a check may be due.
    suspected: Notify,
    /// Signals that the link was lost.
    lost: Notify,
    /// When the link was last back.
    returned_at: Cell<Option<Time>>,
}

impl LeafLink {
    pub(super) fn state(&self) -> LinkState {
        self.monitor.borrow().state()
    }

    /// Returns whether the node reaches the leaves as usual.
    pub(super) fn is_up(&self) -> bool {
        self.state() == LinkState::Up
    }

    /// Returns whether requests are handed to other nodes rather than run here.
    pub(super) fn hands_over(&self) -> bool {
        matches!(self.state(), LinkState::Lost | LinkState::Returning)
    }

    /// Waits until the link is lost.
    pub(super) async fn lost(&self) {
        self.lost.notified().await;
    }

    /// Returns whether the link was back less than `within` ago.
    pub(super) fn returned_within(&self, now: Time, within: Duration) -> bool {
        self.returned_at
            .get()
            .is_some_and(|at| now.since(at) < within)
    }

    pub(super) fn record_call(&self, now: Time, leaf: &Leaf) {
        self.monitor.borrow_mut().record_call(now, &leaf.instance());
    }

    pub(super) fn record_answer(&self, now: Time) {
        self.monitor.borrow_mut().record_answer(now);
    }

    fn record_connect(&self, leaf: &Leaf, result: Result<&ConnectionLease, &ExchangeError>) {
        let mut monitor = self.monitor.borrow_mut();
        match result {
            // A leaf that has reached its connection limit is reachable.
            Ok(_) => monitor.record_accepted(),
            Err(error) if error.is_reset() => monitor.record_accepted(),
            Err(_) => {
                monitor.record_unreachable(&leaf.instance());
                self.suspected.notify_one();
            }
        }
    }

    /// Starts a check if one is due.
    pub(super) fn tick(&self, now: Time) {
        if self.monitor.borrow().is_check_due(now) {
            self.suspected.notify_one();
        }
    }
}

impl Gateway {
    /// Opens a connection to a leaf and records what it shows about the link.
    ///
    /// # Errors
    ///
    /// Fails if the leaf refuses the connection or does not accept it in time.
    pub(super) async fn connect(&self, leaf: &Rc<Leaf>) -> Result<ConnectionLease, ExchangeError> {
        let opened = leaf.connect().await;
        self.link.record_connect(leaf, opened.as_ref());
        opened
    }

    /// Checks the link to the leaves whenever that is due, until the process exits.
    pub(super) async fn monitor_link(self: Rc<Self>) {
        loop {
            let wait = self.link.monitor.borrow().next_check(self.now());
            match wait {
                Some(wait) => sleep(wait).await,
                None => self.link.suspected.notified().await,
            }
            if self.link.monitor.borrow().is_check_due(self.now()) {
                self.check_link().await;
            }
        }
    }

    async fn check_link(self: &Rc<Self>) {
        let leaves = self.leaves_to_check();
        let probes =
            leaves.iter().map(
                async |leaf| match timeout(CHECK_TIMEOUT, leaf.connect()).await {
                    Ok(Ok(lease)) => {
                        lease.release(self.now());
                        true
                    }
                    Ok(Err(error)) => error.is_reset(),
                    Err(_) => false,
                },
            );
        let accepted = join_all(probes).await.into_iter().filter(|it| *it).count();
        let peer_accepted = accepted == 0 && self.reaches_a_peer().await;
        let check = LinkCheck {
            asked: leaves.len(),
            accepted,
            peer_accepted,
        };
        let now = self.now();
        let previous = self.link.state();
        let since = self.link.monitor.borrow().since();
        if !self.link.monitor.borrow_mut().record_check(now, check) {
            return;
        }
        let state = self.link.state();
        log::warn!(
            state:? = state,
            previous:? = previous,
            previous_ms = now.since(since).as_millis() as u64,
            asked = check.asked,
            accepted,
            peer_accepted;
            "link to the leaves changed"
        );
        self.update_helpers();
        match state {
            LinkState::Lost => {
                self.upstreams.close_idle();
                self.link.lost.notify_waiters();
            }
            LinkState::Returning => {
                self.link.returned_at.set(Some(now));
                self.upstreams.forgive();
            }
            LinkState::NoNewConnections | LinkState::Up => {}
        }
        self.announce_directly().await;
    }

    /// Returns whether one of some other nodes accepts a connection, which is kept for requests that are handed over.
    async fn reaches_a_peer(&self) -> bool {
        let peers = self.members.alive();
        let others = peers.iter().filter(|node| *node != self.members.me());
        let chosen = others.choose_multiple(&mut *self.rng.borrow_mut(), CHECKED_PEERS);
        let probes = chosen
            .into_iter()
            .map(|node| timeout(CHECK_TIMEOUT, self.open_handover(node)));
        let results = join_all(probes).await;
        results.iter().any(|result| matches!(result, Ok(Ok(()))))
    }

    /// Returns some random leaves. Those that have not failed lately come first, then those to which a connection is useful,
    /// and those of different services.
    fn leaves_to_check(&self) -> Vec<Rc<Leaf>> {
        let now = self.now();
        let count = self.link.monitor.borrow().leaves_to_ask();
        let leaves = self.upstreams.leaves.borrow();
        let usable = leaves
            .values()
            .filter(|leaf| !leaf.defunct.get() && !leaf.record.borrow().leaving);
        let mut sample = usable.choose_multiple(&mut *self.rng.borrow_mut(), count * count);
        sample.shuffle(&mut *self.rng.borrow_mut());
        let mut services = HashSet::new();
        let mut ranked: Vec<_> = sample
            .into_iter()
            .map(|leaf| {
                let is_ejected = leaf.stats.borrow().is_ejected(now);
                let is_same = !services.insert(leaf.record.borrow().service.clone());
                ((is_ejected, !leaf.needs_connection(), is_same), leaf)
            })
            .collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.truncate(count);
        ranked.into_iter().map(|(_, leaf)| leaf.clone()).collect()
    }
}
