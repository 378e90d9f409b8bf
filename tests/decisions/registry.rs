use std::{net::SocketAddr, time::Duration};

use assert_matches::assert_matches;
use cranberrychute::core::registry::{LeafChange, LeafRecord, Registry};

use crate::at;

fn record(leaving: bool) -> LeafRecord {
    LeafRecord {
        instance: "i-1".into(),
        service: "catalog".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        domain: "fd-a".into(),
        slots: 2,
        leaving,
        warmup_left: Duration::ZERO,
        start_ms: Some(1),
    }
}

fn registry(leaving: bool) -> Registry {
    let mut registry = Registry::default();
    registry.record_answer(at(0));
    assert_matches!(registry.put(record(leaving)), Some(LeafChange::Updated(_)));
    registry
}

/// Guards against calls to a leaf after its entry is gone: nothing held back in steady state.
#[test]
fn removal_takes_effect_at_once_while_the_platform_answers() {
    let mut registry = registry(false);
    registry.record_answer(at(2_000));
    assert_matches!(
        registry.remove(at(2_001), &"i-1".into()),
        Some(LeafChange::Removed(_))
    );
    assert!(registry.is_empty());
}

/// Guards against an outage after which all leafs vanish, since their entries lapsed while the platform was away.
#[test]
fn entries_that_lapsed_in_an_outage_get_time_to_return() {
    let mut registry = registry(false);
    registry.record_failure(at(2_000));
    registry.record_failure(at(5_500));
    registry.record_answer(at(6_000));
    assert_eq!(registry.remove(at(6_001), &"i-1".into()), None);
    assert_eq!(registry.len(), 1);
    assert_eq!(registry.tick(at(7_000)), Vec::new());
    // The entry returns: nothing changed for the leaf.
    assert_eq!(registry.put(record(false)), None);
    assert_eq!(registry.tick(at(20_000)), Vec::new());
    assert_eq!(registry.len(), 1);
}

/// Guards against a leaf that died in an outage and is used for ever.
#[test]
fn entries_that_do_not_return_after_an_outage_are_gone() {
    let mut registry = registry(false);
    registry.record_failure(at(2_000));
    registry.record_failure(at(5_500));
    registry.record_answer(at(6_000));
    registry.remove(at(6_001), &"i-1".into());
    assert_matches!(&registry.tick(at(8_600))[..], [LeafChange::Removed(_)]);
    assert!(registry.is_empty());
}

/// Guards against calls to a leaf that had said that it leaves and whose entry went in an outage.
#[test]
fn a_leaf_that_was_leaving_has_left() {
    let mut registry = registry(true);
    registry.record_failure(at(2_000));
    registry.record_failure(at(5_500));
    registry.record_answer(at(6_000));
    assert_matches!(
        registry.remove(at(6_001), &"i-1".into()),
        Some(LeafChange::Removed(_))
    );
}

/// Guards against a restarted leaf, under its old id and address, that is taken for the run before.
#[test]
fn another_run_under_the_same_id_is_a_change() {
    let mut registry = registry(false);
    let reborn = LeafRecord {
        start_ms: Some(2),
        ..record(false)
    };
    assert_matches!(registry.put(reborn), Some(LeafChange::Updated(leaf)) if leaf.start_ms == Some(2));
}

/// Guards against removals that are held back after every failed call.
#[test]
fn one_failed_call_is_no_outage() {
    let mut registry = registry(false);
    registry.record_failure(at(5_000));
    registry.record_answer(at(5_400));
    assert_matches!(
        registry.remove(at(5_500), &"i-1".into()),
        Some(LeafChange::Removed(_))
    );
}
