use std::{collections::HashMap, time::Duration};

use assert_matches::assert_matches;
use cranberrychute::core::routing::{
    Gather, IngressLimits, Repeat, Route, Routing, RoutingError, Target, WeightedRoundRobin,
};

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "parts.example".into(),
        prefix: prefix.into(),
        repeat: Repeat::Idempotent,
        timeout: Duration::from_millis(800),
        objective: Duration::from_millis(80),
        max_attempts: 2,
        priority: 1,
        regions: Vec::new(),
        target: Target::Service("catalog".into()),
    }
}

fn table(routes: Vec<Route>) -> Result<Routing, RoutingError> {
    Routing::new(7, routes, HashMap::new(), IngressLimits::default())
}

fn found(routing: &Routing, host: &str, path: &str) -> Option<String> {
    routing.find(host, path).map(|route| route.name.to_string())
}

/// Guards against a request on a nested route that is answered by the route around it.
#[test]
fn longest_prefix_wins_whatever_the_order() {
    let routing = table(vec![route("outer", "/a/"), route("inner", "/a/b/")]).unwrap();
    assert_eq!(
        found(&routing, "parts.example", "/a/b/x").as_deref(),
        Some("inner")
    );
    assert_eq!(
        found(&routing, "parts.example", "/a/bx").as_deref(),
        Some("outer")
    );
    assert_eq!(found(&routing, "parts.example", "/ab/x"), None);
    assert_eq!(found(&routing, "other.example", "/a/x"), None);
}

#[test]
fn host_is_compared_without_port_and_case() {
    let routing = table(vec![route("only", "/a/")]).unwrap();
    assert_eq!(
        found(&routing, "Parts.Example:8080", "/a/x").as_deref(),
        Some("only")
    );
}

/// Guards against a configuration that is half in force.
#[test]
fn a_route_that_cannot_be_served_rejects_the_whole_configuration() {
    assert_matches!(
        table(vec![route("good", "/a/"), route("bad", "/b")]),
        Err(RoutingError::Prefix { route, .. }) if &*route == "bad"
    );
    let mut empty = route("empty", "/c/");
    empty.target = Target::Split(Vec::new());
    assert_matches!(table(vec![empty]), Err(RoutingError::NoTarget { .. }));
}

/// Guards against an answer below the least coverage, and one refused though it has enough.
#[test]
fn needed_shards_follow_from_the_least_coverage() {
    let needed = |shards: usize, min_coverage: f64| {
        let shards = (0..shards)
            .map(|shard| format!("s{shard}").into())
            .collect();
        Gather {
            shards,
            top_k: 5,
            min_coverage,
        }
        .required_shards()
    };
    assert_eq!(needed(10, 0.89), 9);
    assert_eq!(needed(15, 0.89), 14);
    assert_eq!(needed(10, 0.75), 8);
    assert_eq!(needed(36, 0.95), 35);
    assert_eq!(needed(10, 1.0), 10);
    assert_eq!(needed(10, 0.9), 9);
    assert_eq!(needed(3, 0.0), 1);
}

/// Guards against shares that are off in windows of a few hundred requests, as random choice leaves them.
#[test]
fn split_follows_the_weights_in_any_window() {
    let weights = [0.7, 0.2, 0.1];
    let mut spread = WeightedRoundRobin::default();
    let picks: Vec<usize> = (0..1_000)
        .map(|_| spread.next(weights.into_iter()))
        .collect();
    for window in picks.windows(100) {
        for (part, weight) in weights.iter().enumerate() {
            let count = window.iter().filter(|pick| **pick == part).count();
            let off = (count as f64 - weight * 100.0).abs();
            assert!(off <= 1.5, "part {part} got {count} of 100");
        }
    }
}

#[test]
fn split_takes_new_weights_at_once() {
    let mut spread = WeightedRoundRobin::default();
    for _ in 0..10 {
        spread.next([1.0, 0.0].into_iter());
    }
    let picks = (0..100).filter(|_| spread.next([0.0, 1.0, 0.0].into_iter()) == 1);
    assert!(picks.count() >= 98);
}
