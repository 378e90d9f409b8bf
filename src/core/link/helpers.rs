use std::{collections::HashMap, time::Duration};

use rand::Rng;

use crate::core::{NodeId, Time};

/// Maximum number of requests that a node has handed over and that are in progress. It bounds their memory.
const MAX_HANDED_OVER: usize = 256;

/// Number of requests that a helper rejects in a row before it counts as having no room. Single ones may be rejected for
/// reasons of their own.
const MAX_REJECTIONS: u32 = 5;

/// Maximum time for which a helper without room gets only the most urgent requests.
const MAX_REST_TIME: Duration = Duration::from_millis(250);

/// Time for which a helper that cannot be reached gets no requests.
const UNREACHABLE_TIME: Duration = Duration::from_millis(500);

/// Cost of a helper in another failure domain, in requests in progress.
const CROSS_DOMAIN_COST: f64 = 1.0;

/// Lag of a helper that costs as much as a request in progress, milliseconds.
const LAG_STEP_MS: f64 = 5.0;

/// A node that may be asked to run requests of another one.
#[derive(Clone, Debug)]
pub struct Helper {
    pub node: NodeId,
    /// It is in the failure domain of the node that asks.
    pub same_domain: bool,
    /// Mean lag that it reports, milliseconds.
    pub lag_ms: u16,
}

/// How a helper handled a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Handover {
    Answered,
    /// It did not run the request and names the time after which it may.
    Rejected(Duration),
    /// It got no byte of the request.
    Unreachable,
    /// It did not answer, or its caller left.
    Unanswered,
}

#[derive(Clone, Copy, Debug, Default)]
struct Load {
    in_progress: usize,
    rejections: u32,
    /// Until when the helper has no room.
    full_until: Time,
    unreachable_until: Time,
}

/// The requests that a node has handed to its helpers.
///
/// Designed for a fleet of which most nodes have lost their link, so that the others carry all requests. A helper without
/// room shows in rejections; then less urgent requests are rejected without the way to a helper.
#[derive(Debug, Default)]
pub struct HelperLoad {
    loads: HashMap<NodeId, Load>,
}

impl HelperLoad {
    /// Chooses a helper for a request of a route with this priority, 0 being the most urgent. `None` if none has room.
    pub fn choose(
        &self,
        now: Time,
        helpers: impl IntoIterator<Item = Helper>,
        priority: u32,
        rng: &mut impl Rng,
    ) -> Option<NodeId> {
        let in_progress: usize = self.loads.values().map(|load| load.in_progress).sum();
        if in_progress >= MAX_HANDED_OVER / (1 + priority as usize) {
            return None;
        }
        let cost = |helper: &Helper, load: &Load| {
            load.in_progress as f64
                + f64::from(helper.lag_ms) / LAG_STEP_MS
                + if helper.same_domain {
                    0.0
                } else {
                    CROSS_DOMAIN_COST
                }
        };
        helpers
            .into_iter()
            .filter_map(|helper| {
                let load = self.loads.get(&helper.node).copied().unwrap_or_default();
                let has_room = priority == 0 || now >= load.full_until;
                (has_room && now >= load.unreachable_until).then(|| {
                    // Equal helpers are chosen equally often.
                    let cost = cost(&helper, &load) + rng.random_range(0.0..1.0);
                    (helper.node, cost)
                })
            })
            .min_by(|(_, a), (_, b)| a.total_cmp(b))
            .map(|(node, _)| node)
    }

    /// Records that a request was handed to a helper.
    pub fn start(&mut self, node: &NodeId) {
        self.loads.entry(node.clone()).or_default().in_progress += 1;
    }

    /// Records how a helper handled a request.
    pub fn end(&mut self, now: Time, node: &NodeId, handover: Handover) {
        let load = self.loads.entry(node.clone()).or_default();
        load.in_progress = load.in_progress.saturating_sub(1);
        match handover {
            Handover::Answered => load.rejections = 0,
            Handover::Rejected(retry_after) => {
                load.rejections += 1;
                if load.rejections >= MAX_REJECTIONS {
                    load.full_until = now + retry_after.min(MAX_REST_TIME);
                }
            }
            Handover::Unreachable => load.unreachable_until = now + UNREACHABLE_TIME,
            Handover::Unanswered => {}
        }
    }

    /// Forgets helpers without requests in progress, except those that `is_known` still names.
    pub fn retain(&mut self, is_known: impl Fn(&NodeId) -> bool) {
        self.loads
            .retain(|node, load| load.in_progress > 0 || is_known(node));
    }
}
