//! The budget for extra calls: retries and hedged calls.
//!
//! The limit applies to the sum over all nodes in any window, so each node spends only what its own requests earn and
//! its fixed part of the slack. Nodes need no coordination: an isolated or newly started node earns budget with its
//! own requests, too.

mod retry_after;

pub use self::retry_after::retry_after;

use std::{collections::VecDeque, time::Duration};

use crate::core::Time;

/// Number of slices per window. The sliding sum is accurate to one slice.
const SLICES_PER_WINDOW: u32 = 20;

/// Share of the allowed ratio that is used. The rest covers requests that the callers count in the next window.
const USABLE_SHARE: f64 = 0.95;

/// Limits on the extra calls of all nodes together, beyond the first call of each request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Extra calls per request in a window.
    pub ratio: f64,
    pub window: Duration,
    /// Additional extra calls in a window, for all nodes together.
    pub slack: f64,
}

/// The purpose of an extra call.
///
/// Hedged calls must not use up the budget that is needed when answers are lost: leaves that lose two answers in five
/// require all of the budget for requests that would otherwise fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A call failed, and the request fails without this part.
    RequiredRetry,
    /// A call failed, and the answer is incomplete without this part.
    OptionalRetry,
    /// A call is late, and the request fails without this part.
    RequiredHedge,
    /// A call is late, and the answer is incomplete without this part.
    OptionalHedge,
    /// The request can no longer meet its objective. The remaining budget is kept for requests that still can.
    Late,
}

impl Purpose {
    /// Returns the label used in logs.
    pub fn label(self) -> &'static str {
        match self {
            Purpose::RequiredRetry => "rescue",
            Purpose::OptionalRetry => "repair",
            Purpose::RequiredHedge => "guard",
            Purpose::OptionalHedge => "hedge",
            Purpose::Late => "late",
        }
    }

    /// Returns whether an earlier call of the part has failed.
    pub fn is_retry(self) -> bool {
        matches!(self, Self::RequiredRetry | Self::OptionalRetry)
    }

    /// Returns the share of the budget that is reserved for more urgent extra calls.
    fn reserved_share(self) -> f64 {
        match self {
            Purpose::RequiredRetry => 0.0,
            Purpose::OptionalRetry | Purpose::RequiredHedge => 0.25,
            Purpose::OptionalHedge | Purpose::Late => 0.45,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    start: Time,
    requests: u32,
    extra: u32,
}

/// One node's budget of extra calls to one service.
#[derive(Debug, Default)]
pub struct RetryBudget {
    slices: VecDeque<Slice>,
    requests: u32,
    extra: u32,
}

impl RetryBudget {
    /// Counts the first call of a request.
    pub fn earn(&mut self, now: Time, bounds: &RetryBounds) {
        self.current_slice(now, bounds).requests += 1;
        self.requests += 1;
    }

    /// Returns whether an extra call is allowed, with the slack split among `nodes` nodes.
    pub fn allows(
        &mut self,
        now: Time,
        bounds: &RetryBounds,
        nodes: usize,
        purpose: Purpose,
    ) -> bool {
        self.current_slice(now, bounds);
        let slack = bounds.slack / nodes.max(1) as f64;
        let budget = bounds.ratio * USABLE_SHARE * f64::from(self.requests) + slack;
        budget - f64::from(self.extra) >= (budget * purpose.reserved_share()).max(1.0)
    }

    /// Counts an extra call.
    pub fn spend(&mut self, now: Time, bounds: &RetryBounds) {
        self.current_slice(now, bounds).extra += 1;
        self.extra += 1;
    }

    fn current_slice(&mut self, now: Time, bounds: &RetryBounds) -> &mut Slice {
        while let Some(first) = self.slices.front()
            && now.since(first.start) >= bounds.window
        {
            self.requests -= first.requests;
            self.extra -= first.extra;
            self.slices.pop_front();
        }
        let length = bounds.window / SLICES_PER_WINDOW;
        let is_current = self
            .slices
            .back()
            .is_some_and(|last| now.since(last.start) < length);
        if !is_current {
            let start = now;
            self.slices.push_back(Slice {
                start,
                ..Slice::default()
            });
        }
        self.slices
            .back_mut()
            .expect("the window has at least one slice")
    }
}
