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
        anonymous: false,
        target: Target::Service("catalog".into()),
    }
}

fn table(routes: Vec<Route>) -> Result<Routing, RoutingError> {
    Routing::new(7, routes, HashMap::new(), IngressLimits::default())
}

fn matched_route(routing: &Routing, host: &str, path: &str) -> Option<String> {
    routing.find(host, path).map(|route| route.name.to_string())
}

/// Guards against a request to a nested route that matches the outer route.
#[test]
fn longest_prefix_wins_in_any_order() {
    let routing = table(vec![route("outer", "/a/"), route("inner", "/a/b/")]).unwrap();
    assert_eq!(
        matched_route(&routing, "parts.example", "/a/b/x").as_deref(),
        Some("inner")
    );
    assert_eq!(
        matched_route(&routing, "parts.example", "/a/bx").as_deref(),
        Some("outer")
    );
    assert_eq!(matched_route(&routing, "parts.example", "/ab/x"), None);
    assert_eq!(matched_route(&routing, "other.example", "/a/x"), None);
}

#[test]
fn host_match_ignores_port_and_case() {
    let routing = table(vec![route("only", "/a/")]).unwrap();
    assert_eq!(
        matched_route(&routing, "Parts.Example:8080", "/a/x").as_deref(),
        Some("only")
    );
}

/// Guards against a partially applied configuration.
#[test]
fn an_invalid_route_rejects_the_whole_configuration() {
    assert_matches!(
        table(vec![route("good", "/a/"), route("bad", "/b")]),
        Err(RoutingError::Prefix { route, .. }) if &*route == "bad"
    );
    let mut empty = route("empty", "/c/");
    empty.target = Target::Split(Vec::new());
    assert_matches!(table(vec![empty]), Err(RoutingError::NoTarget { .. }));
}

/// Guards against answers below the minimum coverage, and against answers that are rejected despite sufficient
/// coverage.
#[test]
fn required_shards_follow_from_the_minimum_coverage() {
    let required = |shards: usize, min_coverage: f64| {
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
    assert_eq!(required(10, 0.89), 9);
    assert_eq!(required(15, 0.89), 14);
    assert_eq!(required(10, 0.75), 8);
    assert_eq!(required(36, 0.95), 35);
    assert_eq!(required(10, 1.0), 10);
    assert_eq!(required(10, 0.9), 9);
    assert_eq!(required(3, 0.0), 1);
}

/// Guards against shares that deviate from the weights in windows of a few hundred requests, as with random
/// selection.
#[test]
fn split_follows_the_weights_in_any_window() {
    let weights = [0.7, 0.2, 0.1];
    let mut targets = WeightedRoundRobin::default();
    let picks: Vec<usize> = (0..1_000)
        .map(|_| targets.next(weights.into_iter()))
        .collect();
    for window in picks.windows(100) {
        for (target, weight) in weights.iter().enumerate() {
            let count = window.iter().filter(|pick| **pick == target).count();
            let deviation = (count as f64 - weight * 100.0).abs();
            assert!(
                deviation <= 1.5,
                "target {target} got {count} of 100 requests"
            );
        }
    }
}

#[test]
fn split_applies_new_weights_immediately() {
    let mut targets = WeightedRoundRobin::default();
    for _ in 0..10 {
        targets.next([1.0, 0.0].into_iter());
    }
    let picks = (0..100).filter(|_| targets.next([0.0, 1.0, 0.0].into_iter()) == 1);
    assert!(picks.count() >= 98);
}
