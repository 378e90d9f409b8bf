//! Leaves send second copies of their answers late, on connections that are in use again.

use cranberrychute::core::placement::{ConnectionChoice, choose_connection};
use proptest::prelude::*;

#[test]
fn the_connection_used_last_carries_a_new_request() {
    let none: [u32; 0] = [];
    assert_eq!(choose_connection(&none, &[]), ConnectionChoice::Open);
    assert_eq!(choose_connection(&[4, 7], &[]), ConnectionChoice::Reuse(1));
}

/// Guards against an order that is sent again on the connection whose leaf has just rejected it.
#[test]
fn a_connection_that_carried_the_request_is_avoided_or_replaced() {
    assert_eq!(choose_connection(&[4, 7], &[7]), ConnectionChoice::Reuse(0));
    assert_eq!(choose_connection(&[7], &[7]), ConnectionChoice::Replace(0));
    let choice = choose_connection(&[4, 7], &[4, 7]);
    assert_eq!(choice, ConnectionChoice::Replace(1));
}

proptest! {
    /// Replays requests that a full leaf rejects again and again, beside others: no connection carries a request twice, and
    /// there are never more connections than calls in progress need.
    #[test]
    fn no_connection_carries_a_request_twice(sends in proptest::collection::vec((0..4_usize, any::<bool>()), 1..200)) {
        let (mut opened, mut idle, mut used) = (0, Vec::new(), vec![Vec::new(); 4]);
        for (request, ends) in sends {
            let connection = match choose_connection(&idle, &used[request]) {
                ConnectionChoice::Reuse(index) => idle.remove(index),
                choice => {
                    if let ConnectionChoice::Replace(index) = choice {
                        idle.remove(index);
                    }
                    opened += 1;
                    opened
                }
            };
            prop_assert!(!used[request].contains(&connection));
            used[request].push(connection);
            idle.push(connection);
            prop_assert!(idle.len() <= 1);
            if ends {
                used[request].clear();
            }
        }
    }
}
