//! Decisions from numbers at the ends of their ranges, as leaves, other nodes and configurations may name them.

use std::time::Duration;

use cranberrychute::core::{
    Domain, NodeId, Time,
    entry::{EntryReport, EntryState, EntryTable, Fleet, select},
    gather::{Failure, Plan, PlanSettings, Step},
    limit::{LeafLimit, NAMED_LIMIT, Naming, share},
    placement::{LeafLoad, LeafStats},
};
use proptest::{prelude::*, sample::select as one_of};

use crate::{at, seeds};

fn extreme_u32() -> impl Strategy<Value = u32> {
    prop_oneof![
        one_of(vec![0, 1, u32::MAX / 2, u32::MAX - 1, u32::MAX]),
        any::<u32>()
    ]
}

proptest! {
    #![proptest_config(seeds::proptest_config())]

    /// Guards against a reported load that ends the call which brings it, or makes a leaf free of cost.
    #[test]
    fn any_reported_load_has_a_cost(
        running in extreme_u32(),
        waiting in extreme_u32(),
        slots in extreme_u32(),
        speed in any::<Option<u16>>(),
    ) {
        let mut stats = LeafStats::new(at(0), slots);
        stats.start_call(at(0));
        stats.record_load(at(1), LeafLoad { running, waiting, slots, speed });
        let cost = stats.cost(at(2), Duration::from_millis(8));
        prop_assert!(cost.is_finite() && cost > 0.0, "{cost}");
    }

    /// Guards against a rate limit that ends the call which names it.
    #[test]
    fn any_rate_limit_gives_a_time_of_the_next_call(
        limit in any::<f64>(),
        nodes in 1..400_usize,
        now in any::<u64>(),
    ) {
        let mut known = LeafLimit::default();
        let named = Naming::parse([limit.to_string().as_str()].into_iter());
        known.record(Time(now), Time(now), named);
        if let Naming::Limited(limit) = named {
            known.set_share(Time(now), share(&NAMED_LIMIT, limit, nodes, 0), nodes, 1.0);
            for _ in 0..3 {
                let next = known.next_call(Time(now)).expect("the leaf names a limit");
                prop_assert!(next >= Time(now));
                known.take(Time(now));
            }
        }
    }

    /// Guards against a report of another node that ends the selection of the nodes that callers use.
    #[test]
    fn any_capacity_can_be_selected_from(capacities in prop::collection::vec(extreme_u32(), 1..40)) {
        let mut table = EntryTable::default();
        for (index, capacity) in capacities.iter().enumerate() {
            let domain: Domain = ["a", "b"][index % 2].into();
            let report = EntryReport { domain, capacity: *capacity, state: EntryState::Ready, lag_ms: u16::MAX };
            let node: NodeId = format!("10.0.0.{index}:1").as_str().into();
            table.record(at(1), &node, report, Duration::ZERO);
        }
        let fleet = Fleet { alive: capacities.len(), mean_capacity: 1.0 };
        if let Some(chosen) = select(&table, fleet, |_| true, |_| true) {
            prop_assert!(!chosen.is_empty());
        }
    }
}

/// Guards against a count of runs that starts anew, after which a request that has run counts as not run.
#[test]
fn a_request_that_ran_on_hundreds_of_leaves_may_have_run() {
    let settings = PlanSettings {
        parts: 1,
        required: 1,
        max_attempts: u32::MAX,
        repeatable: true,
        typical: Duration::from_millis(8),
        hedge_delay: Duration::from_millis(20),
        partial_at: at(72),
        deadline: at(790),
    };
    let mut plan = Plan::new(settings, at(0));
    for _ in 0..600 {
        assert!(matches!(plan.step(at(1)), Step::Send(_)));
        plan.record_sent(0, at(1));
        plan.record_failure(0, at(1), Failure::MayHaveRun);
        assert!(plan.may_have_run());
    }
}
