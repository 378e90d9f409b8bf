//! The budget for sending a request to a second leaf.
//!
//! The bound holds for the sum over all nodes in any window, so each node spends only what its own requests earn
//! and its fixed part of the slack. Nodes need no agreement: a node that is cut off or has just started earns by
//! its own requests, too.

mod retry_after;

pub use self::retry_after::retry_after;

use std::{collections::VecDeque, time::Duration};

use crate::core::Time;

/// Slices of a window: the error of the sliding sum is one slice.
const SLICES: u32 = 20;

/// Share of the allowed ratio that is used. The rest covers requests that the callers' side counts in the next
/// window.
const USED_RATIO: f64 = 0.95;

/// What all nodes together may send beyond the first call of each request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Extra sends for each request in a window.
    pub ratio: f64,
    pub window: Duration,
    /// Extra sends in a window on top, for all nodes together.
    pub slack: f64,
}

/// What an extra send is for.
///
/// Speculative sends must not use up what is needed when answers get lost: leafs that lose two answers in five
/// need all of the budget for requests that fail otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A send failed, and the request fails without this part.
    RequiredRetry,
    /// A send failed, and the answer is incomplete without this part.
    OptionalRetry,
    /// A send is late, and the request fails without this part.
    RequiredHedge,
    /// A send is late, and the answer is incomplete without this part.
    OptionalHedge,
    /// The objective is missed. What is left of the budget serves requests that can still meet theirs.
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

    /// Returns the share of the budget that must be left for more urgent sends.
    fn reserve(self) -> f64 {
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

/// One node's extra sends to one service.
#[derive(Debug, Default)]
pub struct RetryBudget {
    slices: VecDeque<Slice>,
    requests: u32,
    extra: u32,
}

impl RetryBudget {
    /// Counts a request's first send.
    pub fn earn(&mut self, now: Time, bounds: &RetryBounds) {
        self.slice(now, bounds).requests += 1;
        self.requests += 1;
    }

    /// Returns whether an extra send may be made, when `nodes` nodes share the slack.
    pub fn allows(
        &mut self,
        now: Time,
        bounds: &RetryBounds,
        nodes: usize,
        purpose: Purpose,
    ) -> bool {
        self.slice(now, bounds);
        let slack = bounds.slack / nodes.max(1) as f64;
        let budget = bounds.ratio * USED_RATIO * f64::from(self.requests) + slack;
        budget - f64::from(self.extra) >= (budget * purpose.reserve()).max(1.0)
    }

    /// Counts an extra send.
    pub fn spend(&mut self, now: Time, bounds: &RetryBounds) {
        self.slice(now, bounds).extra += 1;
        self.extra += 1;
    }

    fn slice(&mut self, now: Time, bounds: &RetryBounds) -> &mut Slice {
        while let Some(first) = self.slices.front()
            && now.since(first.start) >= bounds.window
        {
            self.requests -= first.requests;
            self.extra -= first.extra;
            self.slices.pop_front();
        }
        let length = bounds.window / SLICES;
        let current = self
            .slices
            .back()
            .is_some_and(|last| now.since(last.start) < length);
        if !current {
            let start = now;
            self.slices.push_back(Slice {
                start,
                ..Slice::default()
            });
        }
        self.slices.back_mut().expect("a slice was just added")
    }
}
