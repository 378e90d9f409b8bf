use std::{net::SocketAddr, time::Duration};

use assert_matches::assert_matches;
use cranberrychute::core::registry::{LeafChange, LeafRecord, Misdirection, Registry};

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

/// Guards against calls to a leaf after its entry was removed. Without an outage, removals are not held back.
#[test]
fn removal_takes_effect_immediately_while_the_store_answers() {
    let mut registry = registry(false);
    registry.record_answer(at(2_000));
    assert_matches!(
        registry.remove(at(2_001), &"i-1".into()),
        Some(LeafChange::Removed(_))
    );
    assert!(registry.is_empty());
}

/// Guards against an outage of the store after which all leaves are removed because their entries expired during it.
#[test]
fn removals_are_held_back_after_an_outage() {
    let mut registry = registry(false);
    registry.record_failure(at(2_000));
    registry.record_failure(at(5_500));
    registry.record_answer(at(6_000));
    assert_eq!(registry.remove(at(6_001), &"i-1".into()), None);
    assert_eq!(registry.len(), 1);
    assert_eq!(registry.tick(at(7_000)), Vec::new());
    // The leaf registers again. Its record is unchanged.
    assert_eq!(registry.put(record(false)), None);
    assert_eq!(registry.tick(at(20_000)), Vec::new());
    assert_eq!(registry.len(), 1);
}

/// Guards against a leaf that terminated during an outage and is used indefinitely.
#[test]
fn held_back_removals_take_effect_after_the_grace_period() {
    let mut registry = registry(false);
    registry.record_failure(at(2_000));
    registry.record_failure(at(5_500));
    registry.record_answer(at(6_000));
    registry.remove(at(6_001), &"i-1".into());
    assert_matches!(&registry.tick(at(8_600))[..], [LeafChange::Removed(_)]);
    assert!(registry.is_empty());
}

/// Guards against calls to a leaf that announced its shutdown and whose entry was removed in an outage.
#[test]
fn removal_of_a_leaving_leaf_takes_effect_immediately() {
    let mut registry = registry(true);
    registry.record_failure(at(2_000));
    registry.record_failure(at(5_500));
    registry.record_answer(at(6_000));
    assert_matches!(
        registry.remove(at(6_001), &"i-1".into()),
        Some(LeafChange::Removed(_))
    );
}

/// Guards against a restarted leaf with the same id and address that is mistaken for its previous incarnation.
#[test]
fn a_new_incarnation_with_the_same_id_is_a_change() {
    let mut registry = registry(false);
    let restarted = LeafRecord {
        start_ms: Some(2),
        ..record(false)
    };
    assert_matches!(registry.put(restarted), Some(LeafChange::Updated(leaf)) if leaf.start_ms == Some(2));
}

/// Guards against removals that are held back after every failed call to the store.
#[test]
fn a_short_outage_does_not_hold_back_removals() {
    let mut registry = registry(false);
    registry.record_failure(at(5_000));
    registry.record_answer(at(5_400));
    assert_matches!(
        registry.remove(at(5_500), &"i-1".into()),
        Some(LeafChange::Removed(_))
    );
}

/// Guards against an entry that stays in use although another leaf is at its address, and against a leaf that is put out of use
/// by an answer from before it was there.
#[test]
fn a_rejection_for_another_leaf_refutes_the_other_entries_of_its_address() {
    let cases = [
        // Target, leaf that is present, leaf in question, since when its entry is known, whether it is refuted.
        ("i-1", None, "i-1", 0, true),
        ("i-1", None, "i-2", 0, false),
        ("i-1", Some("i-2"), "i-1", 0, true),
        ("i-1", Some("i-2"), "i-2", 0, false),
        ("i-1", Some("i-2"), "i-3", 0, true),
        ("i-1", Some("i-2"), "i-3", 10, true),
        ("i-1", Some("i-2"), "i-3", 11, false),
        ("i-1", Some("i-1"), "i-1", 0, true),
    ];
    for (target, present, leaf, since, refuted) in cases {
        let misdirection = Misdirection {
            target: &target.into(),
            present,
            sent_at: at(10),
        };
        let refutes = misdirection.refutes(&leaf.into(), at(since));
        assert_eq!(refutes, refuted, "{misdirection:?}, {leaf} since {since}");
    }
}
