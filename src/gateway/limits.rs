use std::{cell::RefCell, rc::Rc, time::Duration};

use rand::seq::IteratorRandom;
use smallvec::SmallVec;

use crate::{
    core::{
        NodeId, Time,
        limit::{LimitReport, NAMED_LIMIT, Naming, RateBound, Share, Tally, share},
        score,
    },
    gateway::{leaf::Leaf, members::millis, state::Gateway},
};

/// Maximum number of reports about leaves in a message.
const MAX_REPORTS: usize = 3;

/// Window of the users' bound on the calls to a cold leaf.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// Minimum number of calls to a cold leaf in a window for each node that calls it.
const COLD_MIN_CALLS: f64 = 2.0;

/// The reports about rate limits in one message.
pub(super) type LimitReports = SmallVec<[LimitReport; MAX_REPORTS]>;

/// The leaves whose limits messages report at present.
pub(super) type ReportedLeaves = RefCell<SmallVec<[Rc<Leaf>; MAX_REPORTS]>>;

impl Gateway {
    /// Records what the answer to a call that was sent at `sent` says about the leaf's rate limit.
    pub(super) fn record_naming(&self, leaf: &Leaf, id: &str, sent: Time, naming: Naming) {
        let now = self.now();
        if naming == Naming::Unreadable
            && let Some(suppressed) = self.log_limiter.admit(now, "unreadable_limit")
        {
            log::warn!(id, leaf:% = leaf.instance(), suppressed; "rate limit of a leaf cannot be read");
        }
        if leaf.limit.borrow_mut().record(now, sent, naming) {
            self.apply_limit(leaf, id);
        }
    }

    /// Records the rate limits that another node reports.
    pub(super) fn record_limit_reports(&self, now: Time, reports: &[LimitReport]) {
        for report in reports {
            let leaf = self.upstreams.leaves.borrow().get(&report.leaf).cloned();
            let Some(leaf) = leaf else {
                continue;
            };
            if leaf.record.borrow().start_ms != report.start_ms {
                continue;
            }
            let age = Duration::from_millis(report.age_ms.into());
            let changed = leaf
                .limit
                .borrow_mut()
                .record_report(now, report.limit, age);
            if changed {
                self.apply_limit(&leaf, "");
            }
        }
    }

    /// Selects the leaves whose limits the next messages report.
    pub(super) fn select_limit_reports(&self, now: Time) {
        let leaves = self.upstreams.leaves.borrow();
        let reported = leaves
            .values()
            .filter(|leaf| leaf.limit.borrow().report(now).is_some())
            .choose_multiple(&mut *self.rng.borrow_mut(), MAX_REPORTS);
        *self.upstreams.reported.borrow_mut() = reported.into_iter().cloned().collect();
    }

    /// Returns the reports of this node's messages.
    pub(super) fn limit_reports(&self) -> LimitReports {
        let now = self.now();
        let reported = self.upstreams.reported.borrow();
        reported
            .iter()
            .filter_map(|leaf| {
                let (limit, age) = leaf.limit.borrow().report(now)?;
                Some(LimitReport {
                    leaf: leaf.instance(),
                    start_ms: leaf.record.borrow().start_ms,
                    limit,
                    age_ms: millis(age),
                })
            })
            .collect()
    }

    /// Updates this node's share of each limit, and logs the calls since the last update.
    pub(super) fn update_limits(&self) {
        let now = self.now();
        let mut nodes = None;
        for leaf in self.upstreams.leaves.borrow().values() {
            let Tally { first, extra } = leaf.tally.take();
            if leaf.cold_calls.borrow().is_assigned() {
                self.set_cold_share(now, leaf);
            }
            let Some(limit) = leaf.limit.borrow().limit() else {
                continue;
            };
            self.set_share(now, leaf, nodes.get_or_insert_with(|| self.entry_nodes()));
            metrics::counter!("cranberrychute_limited_leaf_calls_total")
                .increment(u64::from(first + extra));
            if let Some(suppressed) = self.log_limiter.admit(now, "limited_calls") {
                let share = leaf.limit.borrow().share();
                log::info!(
                    leaf:% = leaf.instance(),
                    limit,
                    first,
                    extra,
                    share = share.map_or(0.0, |share| share.rate),
                    alive = self.members.alive_count(),
                    suppressed;
                    "calls to a leaf with a rate limit"
                );
            }
        }
    }

    /// Applies a changed limit at once. `id` is the request whose answer showed it, empty for a report of another node.
    fn apply_limit(&self, leaf: &Leaf, id: &str) {
        let now = self.now();
        self.set_share(now, leaf, &self.entry_nodes());
        if let Some(suppressed) = self.log_limiter.admit(now, "leaf_limit") {
            let known = leaf.limit.borrow();
            log::info!(
                id,
                leaf:% = leaf.instance(),
                service:% = leaf.record.borrow().service,
                limited = known.limit().is_some(),
                limit = known.limit().unwrap_or_default(),
                share = known.share().map_or(0.0, |share| share.rate),
                alive = self.members.alive_count(),
                suppressed;
                "leaf changed its rate limit"
            );
        }
    }

    /// Returns the nodes that callers are told to use, which share the limits of leaves.
    pub(super) fn entry_nodes(&self) -> Rc<[NodeId]> {
        let selected = self.entry.selected();
        selected.unwrap_or_else(|| self.members.alive().into())
    }

    /// Sets this node's share of the rate of a cold leaf, if the configuration names one.
    pub(super) fn set_cold_share(&self, now: Time, leaf: &Leaf) {
        let routing = self.routing.borrow();
        let service = leaf.record.borrow().service.clone();
        let rate = routing.service(&service).map_or(0.0, |spec| spec.cold_rate);
        if rate <= 0.0 {
            return;
        }
        let bounds = self.settings.borrow().bounds;
        let bound = RateBound {
            overshoot: bounds.cold_overshoot,
            slack: bounds.cold_slack,
            window: COLD_WINDOW,
            min_calls: COLD_MIN_CALLS,
        };
        let own_share = self.own_share(&bound, rate, leaf, &self.entry_nodes());
        leaf.cold_calls.borrow_mut().set_share(now, own_share);
    }

    fn set_share(&self, now: Time, leaf: &Leaf, nodes: &[NodeId]) {
        let mut known = leaf.limit.borrow_mut();
        let Some(limit) = known.limit() else {
            return;
        };
        let own_share = self.own_share(&NAMED_LIMIT, limit, leaf, nodes);
        let me = self.members.me();
        let fraction = score(leaf.instance().as_str(), me.as_str()) as f64 / u64::MAX as f64;
        known.set_share(now, own_share, self.members.alive_count(), fraction);
    }

    /// Returns this node's share of a leaf's rate among `nodes`, `None` if it is not among the leaf's senders.
    fn own_share(
        &self,
        bound: &RateBound,
        rate: f64,
        leaf: &Leaf,
        nodes: &[NodeId],
    ) -> Option<Share> {
        let instance = leaf.instance();
        let node_score = |node: &NodeId| score(instance.as_str(), node.as_str());
        let me = self.members.me();
        if !nodes.contains(me) {
            return None;
        }
        let own_score = node_score(me);
        let above = nodes.iter().filter(|node| node_score(node) > own_score);
        share(bound, rate, nodes.len(), above.count())
    }
}
