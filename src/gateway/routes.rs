use std::{cell::RefCell, collections::HashMap, fmt, rc::Rc, sync::Arc, time::Duration};

use metrics::{Counter, Histogram};

use crate::core::{
    leaf::LatencyWindow,
    routing::{Route, WeightedRoundRobin},
};

/// Typical latency of a leaf call that is assumed before any was measured, as a share of the objective.
const INITIAL_TYPICAL_SHARE: f64 = 0.12;
/// Hedge delay that is used before any call was measured, as a share of the objective.
const INITIAL_HEDGE_SHARE: f64 = 0.3;
/// Quantile of the latency that sets the hedge delay: hedges one call in ten, half of what the budget allows.
const HEDGE_QUANTILE: f64 = 0.9;
/// Factor on the latency at [`HEDGE_QUANTILE`].
const HEDGE_FACTOR: f64 = 1.15;
/// Maximum hedge delay, as a share of the objective.
const MAX_HEDGE_SHARE: f64 = 0.45;
/// Number of measured calls from which quantiles are used.
const MIN_SAMPLES: usize = 16;
/// Number of calls after which quantiles are recomputed.
const REFRESH_CALLS: u32 = 16;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestOutcome {
    Answered,
    Partial,
    Unreachable,
    Timeout,
    /// Not admitted because the leaves are overloaded.
    Rejected,
}

impl RequestOutcome {
    const ALL: [Self; 5] = [
        Self::Answered,
        Self::Partial,
        Self::Unreachable,
        Self::Timeout,
        Self::Rejected,
    ];

    /// Returns the label used in logs and metrics.
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Partial => "partial",
            Self::Unreachable => "unreachable",
            Self::Timeout => "timeout",
            Self::Rejected => "rejected",
        }
    }
}

/// Measurements of one route.
pub(super) struct RouteStats {
    window: LatencyWindow,
    since_refresh: u32,
    /// Typical latency of a leaf call.
    pub(super) typical: Duration,
    /// Time without an answer after which a call is hedged.
    pub(super) hedge_delay: Duration,
    /// Longest timeout of a request to the route so far.
    pub(super) max_timeout: Duration,
    pub(super) split: WeightedRoundRobin,
    /// Requests by outcome, in the order of [`RequestOutcome::ALL`].
    requests: [Counter; 5],
    extra_calls: Counter,
    duration: Histogram,
}

impl fmt::Debug for RouteStats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RouteStats")
            .field("typical", &self.typical)
            .field("hedge_delay", &self.hedge_delay)
            .finish_non_exhaustive()
    }
}

impl RouteStats {
    fn new(route: &Route) -> Self {
        let objective = route.objective;
        let requests = RequestOutcome::ALL.map(|outcome| {
            let labels = [
                ("route", route.name.to_string()),
                ("outcome", outcome.label().to_owned()),
            ];
            metrics::counter!("cranberrychute_requests_total", &labels)
        });
        Self {
            requests,
            extra_calls: metrics::counter!("cranberrychute_extra_calls_total"),
            duration: metrics::histogram!("cranberrychute_request_seconds"),
            window: LatencyWindow::default(),
            since_refresh: 0,
            typical: objective.mul_f64(INITIAL_TYPICAL_SHARE),
            hedge_delay: objective.mul_f64(INITIAL_HEDGE_SHARE),
            max_timeout: Duration::ZERO,
            split: WeightedRoundRobin::default(),
        }
    }

    /// Counts a request that ended after `elapsed` with `extra` extra calls for all its parts.
    pub(super) fn record_request(&self, outcome: RequestOutcome, elapsed: Duration, extra: u32) {
        self.requests[outcome as usize].increment(1);
        self.extra_calls.increment(extra.into());
        self.duration.record(elapsed.as_secs_f64());
    }

    /// Records the latency of a leaf call, including that of a call whose part another leaf answered first.
    pub(super) fn record_latency(&mut self, latency: Duration, objective: Duration) {
        let micros = u32::try_from(latency.as_micros()).unwrap_or(u32::MAX);
        self.window.record(micros);
        self.since_refresh += 1;
        if self.since_refresh >= REFRESH_CALLS && self.window.len() >= MIN_SAMPLES {
            self.since_refresh = 0;
            let quantile_time =
                |quantile| Duration::from_micros(self.window.quantile(quantile).into());
            self.typical = quantile_time(0.5);
            let max_delay = objective.mul_f64(MAX_HEDGE_SHARE);
            self.hedge_delay = quantile_time(HEDGE_QUANTILE)
                .mul_f64(HEDGE_FACTOR)
                .min(max_delay);
        }
    }
}

/// Statistics by route name. They are kept across configuration changes.
#[derive(Debug, Default)]
pub(super) struct RouteStatsMap {
    stats: RefCell<HashMap<Arc<str>, Rc<RefCell<RouteStats>>>>,
}

impl RouteStatsMap {
    /// Returns the statistics of a route, creating them on first use.
    pub(super) fn stats(&self, route: &Route) -> Rc<RefCell<RouteStats>> {
        let mut stats = self.stats.borrow_mut();
        if let Some(existing) = stats.get(&route.name) {
            return existing.clone();
        }
        let new = Rc::new(RefCell::new(RouteStats::new(route)));
        stats.insert(route.name.clone(), new.clone());
        new
    }

    /// Drops the statistics of routes that no longer exist.
    pub(super) fn retain<'a>(&self, routes: impl Iterator<Item = &'a Arc<Route>>) {
        let names: std::collections::HashSet<_> = routes.map(|route| route.name.clone()).collect();
        self.stats
            .borrow_mut()
            .retain(|name, _| names.contains(name));
    }
}
