use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{
    core::{
        Domain, NodeId, Time,
        entry::{Crowding, EntryReport, EntryState, EntryTable, Fleet, Role, near, select},
        link::LinkState,
    },
    gateway::{
        members::{count_in, millis, node_address, node_id},
        state::Gateway,
    },
};

/// Maximum number of reports about other nodes in a message.
const MAX_PASSED_ON: usize = 8;
/// Time after the start in which no connections are opened ahead by a node that is not known to be selected.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// The reports about other nodes in one message.
pub(super) type PassedOnList = SmallVec<[PassedOn; MAX_PASSED_ON]>;

/// A report about a node that another one passes on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct PassedOn {
    /// Peer address of the node.
    node: SocketAddr,
    report: EntryReport,
    age_ms: u32,
}

/// Which nodes callers are told to use, and what this node does for callers.
#[derive(Debug, Default)]
pub(super) struct Entry {
    table: RefCell<EntryTable>,
    /// The selected nodes, `None` if all nodes serve callers.
    selected: RefCell<Option<Rc<[NodeId]>>>,
    role: Cell<Role>,
    crowding: Cell<Crowding>,
    passed_on: RefCell<PassedOnList>,
}

impl Entry {
    /// Returns the reports that messages pass on at present.
    pub(super) fn passed_on(&self) -> PassedOnList {
        self.passed_on.borrow().clone()
    }

    /// Records the report of a node about itself, and those that it passes on.
    pub(super) fn record(
        &self,
        now: Time,
        from: &NodeId,
        report: &EntryReport,
        passed_on: &[PassedOn],
    ) {
        let mut table = self.table.borrow_mut();
        table.record(now, from, report.clone(), Duration::ZERO);
        for other in passed_on {
            // Zero is the age of a node's own report.
            let age = Duration::from_millis(u64::from(other.age_ms).max(1));
            table.record(now, &node_id(other.node), other.report.clone(), age);
        }
    }

    /// Returns the nodes that report a state.
    pub(super) fn nodes_in(&self, state: EntryState) -> HashSet<NodeId> {
        let table = self.table.borrow();
        let reported = table.iter().filter(|(_, report)| report.state == state);
        reported.map(|(node, _)| node.clone()).collect()
    }

    /// Returns the selected nodes, `None` if all nodes serve callers.
    pub(super) fn selected(&self) -> Option<Rc<[NodeId]>> {
        self.selected.borrow().clone()
    }

    /// Returns the selected nodes that are `usable`, those near a caller in `domain` if they have capacity. The list is
    /// empty if all nodes serve callers.
    pub(super) fn nodes_near(
        &self,
        domain: Option<&Domain>,
        usable: impl Fn(&NodeId) -> bool,
    ) -> Vec<NodeId> {
        let selected = self.selected.borrow();
        let usable: Vec<NodeId> = selected
            .iter()
            .flat_map(|nodes| nodes.iter())
            .filter(|node| usable(node))
            .cloned()
            .collect();
        match domain {
            Some(domain) => near(&self.table.borrow(), usable, domain),
            None => usable,
        }
    }
}

impl Gateway {
    /// Returns this node's report about itself.
    pub(super) fn entry_report(&self) -> EntryReport {
        let state = if self.stop.is_stopping() {
            EntryState::Stopping
        } else if self.serves_callers() {
            EntryState::Ready
        } else if self.is_ready() {
            EntryState::CutOff
        } else {
            EntryState::Starting
        };
        let settings = self.settings.borrow();
        EntryReport {
            domain: settings.domain.clone(),
            capacity: settings.capacity,
            state,
            lag_ms: u16::try_from(self.lag.get().mean().as_millis()).unwrap_or(u16::MAX),
        }
    }

    /// Returns the number of nodes that the budgets of extra calls are divided among.
    pub(super) fn planned_node_count(&self) -> usize {
        self.entry
            .role
            .get()
            .limit_nodes(self.members.alive_count())
    }

    /// Returns the number of nodes that the connections of leaves are divided among.
    pub(super) fn connecting_node_count(&self) -> usize {
        self.entry
            .role
            .get()
            .connecting_nodes(self.members.alive_count())
    }

    /// Counts by failure domain the nodes that the connections of leaves are divided among: the selected ones if this node is
    /// one of them, else all.
    pub(super) fn connecting_domains(&self) -> BTreeMap<Domain, usize> {
        let mut counts = BTreeMap::new();
        match (self.entry.role.get(), self.entry.selected()) {
            (Role::Selected(_), Some(selected)) => {
                let table = self.entry.table.borrow();
                let chosen = table.iter().filter(|(node, _)| selected.contains(node));
                chosen.for_each(|(_, report)| count_in(&mut counts, &report.domain));
            }
            _ => {
                self.members.count_domains(&mut counts);
                count_in(&mut counts, &self.settings.borrow().domain);
            }
        }
        counts
    }

    /// Returns whether connections to leaves are opened before they are needed.
    pub(super) fn connects_ahead(&self) -> bool {
        if matches!(
            self.link.state(),
            LinkState::Lost | LinkState::NoNewConnections
        ) {
            return false;
        }
        match self.entry.role.get() {
            Role::Equal => self.now().since(self.started) >= SETTLE_TIME,
            role => role.connects_ahead(),
        }
    }

    /// Selects the nodes that callers are told to use, from the latest reports.
    pub(super) fn select_entry(&self, now: Time) {
        let entry = &self.entry;
        let me = self.members.me();
        let report = self.entry_report();
        let mut table = entry.table.borrow_mut();
        table.record(now, me, report, Duration::ZERO);
        table.expire(now, |node| self.members.is_alive(node));
        {
            let mut rng = self.rng.borrow_mut();
            let sample = table.sample(now, MAX_PASSED_ON, &mut *rng);
            *entry.passed_on.borrow_mut() = sample
                .filter(|(node, ..)| *node != me)
                .filter_map(|(node, report, age)| {
                    Some(PassedOn {
                        node: node_address(node)?,
                        report: report.clone(),
                        age_ms: millis(age),
                    })
                })
                .collect();
        }
        let fleet = Fleet {
            alive: self.members.alive_count(),
            mean_capacity: self.members.mean_capacity(self.settings.borrow().capacity),
        };
        let domains = self.upstreams.leaf_domains();
        let chosen = select(
            &table,
            fleet,
            |node| self.members.is_healthy(node),
            |domain| domains.contains(domain),
        );
        let lag_ms = chosen
            .as_ref()
            .map_or(0.0, |chosen| mean_lag(&table, chosen));
        let mut crowding = entry.crowding.get();
        let crowded = crowding.update(now, lag_ms);
        entry.crowding.set(crowding);
        let chosen = chosen.filter(|_| !crowded);
        let role = match &chosen {
            None => Role::Equal,
            Some(nodes) if nodes.contains(me) => Role::Selected(nodes.len()),
            Some(_) => Role::Reserve,
        };
        if entry.role.replace(role) != role {
            let selected = chosen.as_ref().map_or(0, Vec::len);
            log::info!(role:? = role, selected, alive = fleet.alive, crowded, lag_ms = lag_ms as u64; "role changed");
        }
        *entry.selected.borrow_mut() = chosen.map(Rc::from);
    }
}

fn mean_lag(table: &EntryTable, nodes: &[NodeId]) -> f64 {
    let lags = table.iter().filter(|(node, _)| nodes.contains(node));
    let sum: f64 = lags.map(|(_, report)| f64::from(report.lag_ms)).sum();
    sum / nodes.len().max(1) as f64
}
