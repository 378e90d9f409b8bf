use std::{cell::RefCell, collections::HashMap, fmt, rc::Rc, sync::Arc, time::Duration};

use metrics::{Counter, Histogram};

use crate::core::{
    leaf::LatencyWindow,
    routing::{Route, WeightedRoundRobin},
};

/// Share of the objective that is assumed for a leaf call before any was measured.
const FIRST_USUAL: f64 = 0.12;
/// Share of the objective after which a second leaf is asked before any call was measured.
const FIRST_HEDGE: f64 = 0.3;
/// Quantile of the latency after which a second leaf is asked: one call in ten, half of what the budget allows.
const HEDGE_QUANTILE: f64 = 0.9;
/// Factor on that quantile.
const HEDGE_FACTOR: f64 = 1.15;
/// Share of the objective by which a second leaf is asked at the latest.
const HEDGE_LATEST: f64 = 0.45;
/// Calls measured before quantiles are used.
const MIN_SAMPLES: usize = 16;
/// Calls after which quantiles are computed again.
const REFRESH: u32 = 16;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestOutcome {
    Answered,
    Partial,
    Unreachable,
    Timeout,
}

impl RequestOutcome {
    const ALL: [Self; 4] = [
        Self::Answered,
        Self::Partial,
        Self::Unreachable,
        Self::Timeout,
    ];

    /// Returns the label used in logs and metrics.
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Partial => "partial",
            Self::Unreachable => "unreachable",
            Self::Timeout => "timeout",
        }
    }
}

/// What is measured for one route.
pub(super) struct RouteStats {
    window: LatencyWindow,
    since: u32,
    /// Usual latency of a leaf call.
    pub(super) usual: Duration,
    /// Time after which a second leaf is asked.
    pub(super) hedge: Duration,
    /// Longest time that a caller of the route said to wait.
    pub(super) patience: Duration,
    pub(super) spread: WeightedRoundRobin,
    /// Requests by outcome, in the order of [`RequestOutcome::ALL`].
    requests: [Counter; 4],
    extra: Counter,
    seconds: Histogram,
}

impl fmt::Debug for RouteStats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RouteStats")
            .field("usual", &self.usual)
            .field("hedge", &self.hedge)
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
            extra: metrics::counter!("cranberrychute_extra_calls_total"),
            seconds: metrics::histogram!("cranberrychute_request_seconds"),
            window: LatencyWindow::default(),
            since: 0,
            usual: objective.mul_f64(FIRST_USUAL),
            hedge: objective.mul_f64(FIRST_HEDGE),
            patience: Duration::ZERO,
            spread: WeightedRoundRobin::default(),
        }
    }

    /// Counts a request that ended after `elapsed`, with `extra` calls beyond the first for each part.
    pub(super) fn count(&self, outcome: RequestOutcome, elapsed: Duration, extra: u32) {
        self.requests[outcome as usize].increment(1);
        self.extra.increment(extra.into());
        self.seconds.record(elapsed.as_secs_f64());
    }

    /// Records the latency of a leaf call, one of a call that lost against another leaf's included.
    pub(super) fn record(&mut self, latency: Duration, objective: Duration) {
        let micros = u32::try_from(latency.as_micros()).unwrap_or(u32::MAX);
        self.window.record(micros);
        self.since += 1;
        if self.since >= REFRESH && self.window.len() >= MIN_SAMPLES {
            self.since = 0;
            let at = |quantile| Duration::from_micros(self.window.quantile(quantile).into());
            self.usual = at(0.5);
            let latest = objective.mul_f64(HEDGE_LATEST);
            self.hedge = at(HEDGE_QUANTILE).mul_f64(HEDGE_FACTOR).min(latest);
        }
    }
}

/// Statistics by the name of the route. They outlive configurations.
#[derive(Debug, Default)]
pub(super) struct RouteStatsMap {
    stats: RefCell<HashMap<Arc<str>, Rc<RefCell<RouteStats>>>>,
}

impl RouteStatsMap {
    pub(super) fn stats(&self, route: &Route) -> Rc<RefCell<RouteStats>> {
        let mut stats = self.stats.borrow_mut();
        if let Some(known) = stats.get(&route.name) {
            return known.clone();
        }
        let new = Rc::new(RefCell::new(RouteStats::new(route)));
        stats.insert(route.name.clone(), new.clone());
        new
    }

    /// Forgets routes that no longer exist.
    pub(super) fn keep<'a>(&self, routes: impl Iterator<Item = &'a Arc<Route>>) {
        let names: std::collections::HashSet<_> = routes.map(|route| route.name.clone()).collect();
        self.stats
            .borrow_mut()
            .retain(|name, _| names.contains(name));
    }
}
