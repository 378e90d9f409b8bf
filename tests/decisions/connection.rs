//! Leaves send second copies of their answers late, on connections that are in use again.

use cranberrychute::core::placement::{
    CarriedRequests, ConnectionChoice, RequestKey, choose_connection,
};
use proptest::prelude::*;

/// Returns what connections have carried, of which each has carried the requests with these ids.
fn connections(ids: &[&[&str]]) -> Vec<CarriedRequests> {
    ids.iter().map(|ids| carried(ids)).collect()
}

fn carried(ids: &[&str]) -> CarriedRequests {
    let mut carried = CarriedRequests::default();
    ids.iter()
        .for_each(|id| carried.record(RequestKey::new(id)));
    carried
}

fn choose(idle: &[CarriedRequests], id: &str) -> ConnectionChoice {
    choose_connection(idle.iter(), RequestKey::new(id))
}

#[test]
fn the_connection_used_last_carries_a_new_request() {
    assert_eq!(choose(&[], "a"), ConnectionChoice::Open);
    let idle = connections(&[&["b"], &["c"]]);
    assert_eq!(choose(&idle, "a"), ConnectionChoice::Reuse(1));
}

/// Guards against an order that is sent again on the connection whose leaf has just rejected it.
#[test]
fn a_connection_that_carried_the_request_is_avoided_or_replaced() {
    let idle = connections(&[&["b"], &["a", "c"]]);
    assert_eq!(choose(&idle, "a"), ConnectionChoice::Reuse(0));
    let idle = connections(&[&["a"]]);
    assert_eq!(choose(&idle, "a"), ConnectionChoice::Replace(0));
    let idle = connections(&[&["a", "b"], &["a"]]);
    assert_eq!(choose(&idle, "a"), ConnectionChoice::Replace(1));
}

proptest! {
    /// Replays requests that a full leaf rejects again and again, beside others, and callers that use an id for several
    /// requests: a connection does not carry an id again as long as a copy of the answer may come, and there are never more
    /// connections than calls in progress need.
    #[test]
    fn no_connection_carries_an_id_twice(sends in proptest::collection::vec(0..6_usize, 1..200)) {
        let mut idle = Vec::<(CarriedRequests, Vec<usize>)>::new();
        for id in sends {
            let key = RequestKey::new(&id.to_string());
            let carried = idle.iter().map(|(carried, _)| carried);
            let (mut carried, mut ids) = match choose_connection(carried, key) {
                ConnectionChoice::Reuse(index) => idle.remove(index),
                choice => {
                    if let ConnectionChoice::Replace(index) = choice {
                        idle.remove(index);
                    }
                    Default::default()
                }
            };
            prop_assert!(!ids.contains(&id));
            carried.record(key);
            ids.push(id);
            idle.push((carried, ids));
            prop_assert!(idle.len() <= 1);
        }
    }
}
