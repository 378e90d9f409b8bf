//! The store is restored from a copy and loses its latest changes, which are written again later.

use std::{cmp::Ordering, collections::BTreeMap, sync::Arc, time::Duration};

use bytes::Bytes;
use cranberrychute::core::{
    Time,
    mirror::{self, Change, HeldItem, ItemOrder, ItemState, Position, Update},
};
use proptest::{collection::vec, prelude::*};

use crate::{at, seeds};

/// Time for which items are held.
const HOLD_TIME: Duration = Duration::from_secs(3);
/// The configuration: its value is its version, and it is held until it is written again.
const CONFIG: &str = "config";

/// An encoded update of commit 4edd690.
const GOLDEN_UPDATE: &str = "02ac02a202010206636f6e66696702a702010109066c6561662d3102ab02000206666c61672d3101b602\
    01010101a84606636f6e66696701b70200010b00";

/// Values of the configuration and of leaves are versions; those of flags do not show their age.
#[derive(Debug, Default)]
struct TestOrder;

impl ItemOrder for TestOrder {
    fn compare(&self, key: &str, a: &[u8], b: &[u8]) -> Option<Ordering> {
        (!key.starts_with("flag")).then(|| a.cmp(b))
    }

    fn hold_time(&self, key: &str, _: bool) -> Option<Duration> {
        (key != CONFIG).then_some(HOLD_TIME)
    }

    fn expires(&self, key: &str) -> bool {
        key.starts_with("leaf")
    }
}

type Mirror = mirror::Mirror<TestOrder>;

fn change(key: &str, (era, revision): (u64, u64), value: Option<u8>) -> Change {
    Change {
        key: key.into(),
        position: Position::new(era, revision),
        value: value.map(|value| Bytes::copy_from_slice(&[value])),
    }
}

/// Returns the key and value of each change.
fn values(changes: &[Change]) -> Vec<(&str, Option<u8>)> {
    let value = |change: &Change| change.value.as_ref().map(|value| value[0]);
    changes
        .iter()
        .map(|change| (&*change.key, value(change)))
        .collect()
}

/// Returns a mirror at position 1:50 with these items.
fn mirror_with(items: &[(&str, u8)]) -> Mirror {
    let mut mirror = Mirror::default();
    let items = items.iter().zip(40..);
    let items = items.map(|((key, value), revision)| change(key, (1, revision), Some(*value)));
    mirror.replace(at(0), items.collect(), Position::new(1, 50));
    mirror
}

/// Guards against a change that is taken for a known one because the store gave its revision out before.
#[test]
fn a_change_with_a_revision_of_the_era_before_is_applied() {
    let mut mirror = mirror_with(&[(CONFIG, 9)]);
    let copy = vec![change(CONFIG, (2, 30), Some(9))];
    assert_eq!(mirror.replace(at(0), copy, Position::new(2, 41)), []);
    let changes = vec![change(CONFIG, (2, 42), Some(11))];
    let changes = mirror.advance(at(0), changes, Position::new(2, 42));
    assert_eq!(values(&changes), [(CONFIG, Some(11))]);
    assert_eq!(mirror.position(), Position::new(2, 42));
}

#[test]
fn answers_of_an_earlier_era_are_ignored() {
    let mut mirror = mirror_with(&[(CONFIG, 9)]);
    let copy = vec![change(CONFIG, (2, 30), Some(9))];
    mirror.replace(at(0), copy, Position::new(2, 41));
    let old = || vec![change(CONFIG, (1, 60), Some(10))];
    assert_eq!(mirror.replace(at(0), old(), Position::new(1, 60)), []);
    assert_eq!(mirror.advance(at(0), old(), Position::new(1, 60)), []);
    let peer = mirror_with(&[(CONFIG, 12)]).update_since(at(0), Position::default());
    assert_eq!(mirror.merge(at(0), peer), []);
    assert_eq!(mirror.position(), Position::new(2, 41));
}

/// Guards against a mirror that continues its own history with changes of another one.
#[test]
fn changes_of_a_later_era_are_not_applied_without_its_items() {
    let mut mirror = mirror_with(&[(CONFIG, 9)]);
    let changes = vec![change("leaf-1", (2, 51), Some(1))];
    assert_eq!(mirror.advance(at(0), changes, Position::new(2, 51)), []);
    assert_eq!(mirror.position(), Position::new(1, 50));
    assert!(mirror.update_since(at(0), Position::new(2, 50)).full);
}

#[test]
fn a_lost_configuration_stays_in_force_until_it_is_written_again() {
    let mut mirror = mirror_with(&[(CONFIG, 9)]);
    let copy = vec![change(CONFIG, (2, 30), Some(6))];
    assert_eq!(mirror.replace(at(0), copy, Position::new(2, 41)), []);
    assert_eq!(mirror.expire(at(60_000)), []);
    for (revision, version) in [(42, 7), (43, 8), (44, 9)] {
        let changes = vec![change(CONFIG, (2, revision), Some(version))];
        let changes = mirror.advance(at(0), changes, Position::new(2, revision));
        assert_eq!(changes, [], "version {version}");
    }
    assert_eq!(mirror.held_count(), 0);
    let changes = vec![change(CONFIG, (2, 45), Some(10))];
    assert_eq!(
        mirror.advance(at(0), changes, Position::new(2, 45)).len(),
        1
    );
}

#[test]
fn an_item_that_the_copy_lacks_is_kept_for_a_limited_time() {
    let mut mirror = mirror_with(&[("leaf-1", 1), ("leaf-2", 1), ("flag-1", 1)]);
    assert_eq!(mirror.replace(at(0), Vec::new(), Position::new(2, 30)), []);
    let changes = vec![change("leaf-1", (2, 31), Some(1))];
    assert_eq!(mirror.advance(at(500), changes, Position::new(2, 31)), []);
    assert_eq!(mirror.expire(at(2_900)), []);
    let expired = mirror.expire(at(3_000));
    assert_eq!(values(&expired), [("flag-1", None), ("leaf-2", None)]);
    assert_eq!(mirror.held_count(), 0);
}

/// Guards against a leaf that had left, or an end of an evacuation, that a restore of the store brings back.
#[test]
fn an_item_deleted_before_the_restore_does_not_return_from_the_copy() {
    let mut mirror = mirror_with(&[("leaf-1", 4), ("leaf-2", 4), ("flag-1", 1)]);
    let deletions = ["leaf-1", "leaf-2", "flag-1"].into_iter().zip(51..);
    let deletions = deletions.map(|(key, revision)| change(key, (1, revision), None));
    mirror.advance(at(0), deletions.collect(), Position::new(1, 53));
    let copy = ["leaf-1", "leaf-2", "flag-1"].map(|key| change(key, (2, 20), Some(4)));
    let changes = mirror.replace(at(0), copy.to_vec(), Position::new(2, 40));
    assert_eq!(changes, []);
    // The leaf runs after all, and writes again.
    let written = vec![change("leaf-1", (2, 41), Some(5))];
    let changes = mirror.advance(at(100), written, Position::new(2, 41));
    assert_eq!(values(&changes), [("leaf-1", Some(5))]);
    let deleted = vec![change("flag-1", (2, 42), None)];
    assert_eq!(mirror.advance(at(200), deleted, Position::new(2, 42)), []);
    // Nobody has deleted the other leaf again.
    assert_eq!(values(&mirror.expire(at(3_000))), [("leaf-2", Some(4))]);
}

/// Guards against a leaf that reported its departure and is used again since the copy knows it as ready.
#[test]
fn an_older_entry_in_the_copy_does_not_displace_a_newer_one() {
    let mut mirror = mirror_with(&[("leaf-1", 7)]);
    let copy = vec![change("leaf-1", (2, 20), Some(3))];
    assert_eq!(mirror.replace(at(0), copy, Position::new(2, 40)), []);
    assert_eq!(mirror.expire(at(60_000)), []);
    let deleted = vec![change("leaf-1", (2, 41), None)];
    let changes = mirror.advance(at(100), deleted, Position::new(2, 41));
    assert_eq!(values(&changes), [("leaf-1", None)]);
}

/// Guards against a node that starts between the restore and the rewriting and believes the copy.
#[test]
fn a_node_without_memory_takes_over_what_its_peers_hold() {
    let mut peer = mirror_with(&[(CONFIG, 9), ("leaf-1", 7), ("flag-1", 1)]);
    peer.advance(
        at(0),
        vec![change("leaf-1", (1, 51), None)],
        Position::new(1, 51),
    );
    let copy = || {
        vec![
            change(CONFIG, (2, 20), Some(6)),
            change("leaf-1", (2, 21), Some(7)),
        ]
    };
    let position = Position::new(2, 40);
    peer.replace(at(0), copy(), position);
    let mut started = Mirror::default();
    started.replace(at(1_000), copy(), position);
    assert_ne!(started.held_digest(), peer.held_digest());
    let update = peer.update_since(at(1_000), started.position());
    let changes = started.merge(at(1_000), update);
    let expected = [(CONFIG, Some(9)), ("flag-1", Some(1)), ("leaf-1", None)];
    assert_eq!(values(&changes), expected);
    assert_eq!(started.held_digest(), peer.held_digest());
    // Holds end at the same time on both.
    assert_eq!(started.expire(at(2_900)), []);
    assert_eq!(
        values(&started.expire(at(3_000))),
        values(&peer.expire(at(3_000)))
    );
}

/// Guards against items that come and go since holds do not end at the same moment on all nodes.
#[test]
fn a_hold_that_is_over_does_not_return_from_a_peer() {
    let gone = || {
        let mut mirror = mirror_with(&[("leaf-1", 4)]);
        let deletion = vec![change("leaf-1", (1, 51), None)];
        mirror.advance(at(0), deletion, Position::new(1, 51));
        mirror
    };
    let copy = || vec![change("leaf-1", (2, 20), Some(4))];
    let (mut first, mut second) = (gone(), gone());
    first.replace(at(0), copy(), Position::new(2, 40));
    second.replace(at(900), copy(), Position::new(2, 40));
    assert_eq!(values(&first.expire(at(3_000))), [("leaf-1", Some(4))]);
    let update = second.update_since(at(3_100), first.position());
    assert_eq!(first.merge(at(3_100), update), []);
}

#[test]
fn two_restores_soon_after_another_keep_the_newest_state() {
    let mut mirror = mirror_with(&[(CONFIG, 9)]);
    let copy = vec![change(CONFIG, (2, 30), Some(6))];
    mirror.replace(at(0), copy, Position::new(2, 41));
    let copy = vec![change(CONFIG, (4, 20), Some(3))];
    assert_eq!(mirror.replace(at(500), copy, Position::new(4, 25)), []);
    let changes = vec![change(CONFIG, (4, 26), Some(8))];
    assert_eq!(mirror.advance(at(600), changes, Position::new(4, 26)), []);
    let changes = vec![change(CONFIG, (4, 27), Some(10))];
    let changes = mirror.advance(at(700), changes, Position::new(4, 27));
    assert_eq!(values(&changes), [(CONFIG, Some(10))]);
}

#[test]
fn deletions_are_forgotten_after_a_while() {
    let mut mirror = mirror_with(&[("leaf-1", 4)]);
    mirror.advance(
        at(0),
        vec![change("leaf-1", (1, 51), None)],
        Position::new(1, 51),
    );
    mirror.expire(at(60_000));
    let copy = vec![change("leaf-1", (2, 20), Some(4))];
    let changes = mirror.replace(at(60_000), copy, Position::new(2, 40));
    assert_eq!(values(&changes), [("leaf-1", Some(4))]);
}

/// Returns a mirror at position 1:54 that has seen a flag set at 51 and deleted at 53, and leaves written at 52 and 54.
fn mirror_with_deleted_flag() -> Mirror {
    let mut mirror = mirror_with(&[("leaf-1", 4), ("leaf-2", 4)]);
    let changes = vec![
        change("flag-1", (1, 51), Some(1)),
        change("leaf-1", (1, 52), Some(5)),
        change("flag-1", (1, 53), None),
        change("leaf-2", (1, 54), Some(5)),
    ];
    mirror.advance(at(0), changes, Position::new(1, 54));
    mirror
}

/// Guards against an item that was set again right after the restore and is ignored, because its earlier deletion is
/// believed to outweigh the copy. The copy may be older than the deletion, so the revision alone does not tell.
#[test]
fn an_item_set_again_before_the_first_read_is_in_force_at_once() {
    for revision in [52, 53, 54, 55, 60] {
        let mut mirror = mirror_with_deleted_flag();
        let items = vec![
            change("flag-1", (2, revision), Some(1)),
            change("leaf-1", (2, 40), Some(4)),
        ];
        let changes = mirror.replace(at(0), items, Position::new(2, 60));
        let expected = [("flag-1", Some(1))];
        assert_eq!(values(&changes), expected, "revision {revision}");
        // Peers learn it as well, also one that holds the deletion.
        let mut peer = mirror_with_deleted_flag();
        peer.replace(at(0), Vec::new(), Position::new(2, revision - 1));
        let update = peer.update_since(at(0), mirror.position());
        assert_eq!(mirror.merge(at(0), update), [], "revision {revision}");
        let update = mirror.update_since(at(0), peer.position());
        let changes = peer.merge(at(0), update);
        assert_eq!(values(&changes), expected, "revision {revision}");
    }
}

/// Guards against an item that was set again and that a node without memory deletes, because a peer that has decided by
/// an earlier rule still holds the deletion.
#[test]
fn a_node_without_memory_keeps_an_item_that_is_later_than_a_held_deletion() {
    let mut peer = mirror_with_deleted_flag();
    peer.replace(at(0), Vec::new(), Position::new(2, 54));
    let mut update = peer.update_since(at(0), Position::new(2, 60));
    (update.position, update.copied) = (Position::new(2, 60), 60);
    let mut started = Mirror::default();
    let items = vec![change("flag-1", (2, 56), Some(1))];
    started.replace(at(0), items, Position::new(2, 60));
    let changes = started.merge(at(0), update);
    assert!(changes.iter().all(|change| &*change.key != "flag-1"));
}

/// Guards against a deletion that the copy undoes: the store has the item as it was before.
#[test]
fn an_item_of_the_copy_does_not_undo_its_deletion() {
    let mut mirror = mirror_with_deleted_flag();
    let items = vec![change("flag-1", (2, 51), Some(1))];
    assert_eq!(mirror.replace(at(0), items, Position::new(2, 60)), []);
    // A copy that is older than the mirror's history, with an earlier value.
    let mut mirror = mirror_with_deleted_flag();
    let items = vec![change("flag-1", (2, 30), Some(1))];
    assert_eq!(mirror.replace(at(0), items, Position::new(2, 60)), []);
    // The copy of a second restore has the item as the first one had it.
    let items = vec![change("flag-1", (3, 30), Some(1))];
    assert_eq!(mirror.replace(at(100), items, Position::new(3, 58)), []);
}

/// Guards against an item that its owner has deleted right after the restore and that is held as if the copy lacked it.
/// A later item that the store has had since before shows that the copy had this one, too.
#[test]
fn an_item_deleted_before_the_first_read_is_not_held() {
    let with_flag = || {
        let mut mirror = mirror_with(&[("leaf-1", 4), ("leaf-2", 4)]);
        let changes = vec![
            change("flag-1", (1, 51), Some(1)),
            change("leaf-1", (1, 52), Some(5)),
        ];
        mirror.advance(at(0), changes, Position::new(1, 54));
        mirror
    };
    let mut mirror = with_flag();
    let items = vec![change("leaf-1", (2, 52), Some(5))];
    let changes = mirror.replace(at(0), items, Position::new(2, 60));
    assert_eq!(values(&changes), [("flag-1", None)]);
    // The entry of the other leaf may have expired, so it is held.
    assert_eq!(mirror.held_count(), 1);
    // A peer that holds the item does not bring it back.
    let mut peer = with_flag();
    peer.replace(at(0), Vec::new(), Position::new(2, 50));
    let update = peer.update_since(at(0), Position::default());
    assert_eq!(mirror.merge(at(0), update), []);
    // Nothing shows that the copy had the item: it is lost until it is written again.
    let mut mirror = with_flag();
    let items = vec![change("leaf-1", (2, 55), Some(6))];
    let changes = mirror.replace(at(0), items, Position::new(2, 60));
    assert_eq!(values(&changes), [("leaf-1", Some(6))]);
}

type Items = BTreeMap<Arc<str>, (u64, u8)>;

/// A store that can be restored, and what its writers last wrote.
#[derive(Default)]
struct World {
    era: u64,
    /// Items after each revision of the era, from revision 0.
    states: Vec<Items>,
    /// The changes of the era; the first has revision 1.
    log: Vec<Change>,
    written: BTreeMap<Arc<str>, Option<u8>>,
    /// Values given out so far; versions only grow.
    version: u8,
    /// Highest revision of the eras before.
    highest: u64,
}

impl World {
    fn revision(&self) -> u64 {
        self.log.len() as u64
    }

    fn position(&self) -> Position {
        Position::new(self.era, self.revision())
    }

    fn items(&self) -> &Items {
        self.states
            .last()
            .expect("the state before the first change is kept")
    }

    fn read_all(&self) -> Vec<Change> {
        let items = self.items().iter();
        items
            .map(|(key, (revision, value))| change(key, (self.era, *revision), Some(*value)))
            .collect()
    }

    fn put(&mut self, key: &str, value: Option<u8>) {
        let mut items = self.items().clone();
        let revision = self.revision() + 1;
        match value {
            Some(value) => {
                items.insert(key.into(), (revision, value));
            }
            None if items.remove(key).is_none() => return,
            None => {}
        }
        self.states.push(items);
        self.log.push(change(key, (self.era, revision), value));
    }

    fn write(&mut self, key: &str, present: bool) {
        let present = present || key == CONFIG;
        let value = present.then(|| {
            self.version = self.version.saturating_add(1);
            self.version
        });
        self.written.insert(key.into(), value);
        self.put(key, value);
    }

    fn restore(&mut self, lost: usize) {
        let kept = self.log.len().saturating_sub(lost);
        self.highest = self.highest.max(self.revision());
        self.era += 1;
        self.states.truncate(kept + 1);
        self.log.truncate(kept);
    }

    /// Writes again what the store has lost, at most `count` items.
    fn rewrite(&mut self, count: usize) {
        let stored = |key: &Arc<str>| self.items().get(key).map(|(_, value)| *value);
        let lost = self
            .written
            .iter()
            .filter(|(key, value)| stored(key) != **value);
        let lost: Vec<(Arc<str>, Option<u8>)> = lost
            .take(count)
            .map(|(key, value)| (key.clone(), *value))
            .collect();
        for (key, value) in lost {
            self.put(&key, value);
        }
    }

    fn changes_after(&self, after: Position) -> Vec<Change> {
        let newer = self.log.iter().skip(after.revision as usize);
        let era = self.era;
        let in_era = |change: &Change| {
            let position = Position::new(era, change.position.revision);
            Change {
                position,
                ..change.clone()
            }
        };
        newer.map(in_era).collect()
    }
}

/// A node with its mirror, and the state that a consumer of the changes has built from them.
#[derive(Default)]
struct Node {
    mirror: Mirror,
    applied: BTreeMap<Arc<str>, Option<u8>>,
    /// The highest version applied for each key in this lifetime.
    newest: BTreeMap<Arc<str>, u8>,
}

impl Node {
    fn apply(&mut self, changes: Vec<Change>) {
        for change in changes {
            let value = change.value.as_ref().map(|value| value[0]);
            if let Some(value) = value.filter(|_| !change.key.starts_with("flag")) {
                let newest = self.newest.entry(change.key.clone()).or_default();
                assert!(
                    value >= *newest,
                    "{} went back from {newest} to {value}",
                    change.key
                );
                *newest = value;
            }
            self.applied.insert(change.key, value);
        }
    }

    fn read_all(&mut self, now: Time, world: &World) {
        let changes = self.mirror.replace(now, world.read_all(), world.position());
        self.apply(changes);
    }

    /// Reads all items in two pages, between which `writes` are made.
    fn read_pages(&mut self, now: Time, world: &mut World, writes: &[(usize, bool)]) {
        let is_first = |item: &Change| !item.key.starts_with("leaf");
        let position = world.position();
        let mut items: Vec<Change> = world.read_all().into_iter().filter(is_first).collect();
        for (key, present) in writes {
            world.write(KEYS[*key], *present);
        }
        items.extend(world.read_all().into_iter().filter(|item| !is_first(item)));
        let changes = self.mirror.replace(now, items, position);
        self.apply(changes);
    }

    /// Waits for changes like a reader: the store answers only from a position of its own era.
    fn watch(&mut self, now: Time, world: &World) {
        let after = self.mirror.position();
        if after.era != world.era || after.revision > world.revision() {
            return self.read_all(now, world);
        }
        let changes = self
            .mirror
            .advance(now, world.changes_after(after), world.position());
        self.apply(changes);
    }

    fn merge(&mut self, now: Time, update: Update) {
        let changes = self.mirror.merge(now, update);
        self.apply(changes);
    }

    /// Checks that flags are set here which were set after the last restore, as far as their revisions show it.
    fn check_flags(&self, world: &World) {
        if self.mirror.position() != world.position() {
            return;
        }
        for (key, (revision, _)) in world.items() {
            if key.starts_with("flag") && *revision > world.highest {
                let value = self.applied.get(key).copied().flatten();
                assert!(value.is_some(), "{key} was set at {revision}");
            }
        }
    }
}

#[derive(Clone, Debug)]
enum Action {
    Write(usize, bool),
    Restore(usize),
    Rewrite(usize),
    Watch(usize),
    ReadAll(usize),
    /// A node reads all items in two pages, and these are written in between.
    ReadPages(usize, Vec<(usize, bool)>),
    Peer {
        from: usize,
        to: usize,
    },
    /// A node requests an update from another one and receives it only at the end.
    LatePeer {
        from: usize,
        to: usize,
    },
    Restart(usize),
}

const KEYS: [&str; 6] = [CONFIG, "leaf-1", "leaf-2", "leaf-3", "flag-1", "flag-2"];

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        4 => (0..KEYS.len(), any::<bool>()).prop_map(|(key, present)| Action::Write(key, present)),
        1 => (1..8_usize).prop_map(Action::Restore),
        2 => (1..3_usize).prop_map(Action::Rewrite),
        4 => (0..3_usize).prop_map(Action::Watch),
        1 => (0..3_usize).prop_map(Action::ReadAll),
        1 => (0..3_usize, vec((0..KEYS.len(), any::<bool>()), 0..4)).prop_map(|(node, writes)| Action::ReadPages(node, writes)),
        3 => (0..3_usize, 0..3_usize).prop_map(|(from, to)| Action::Peer { from, to }),
        1 => (0..3_usize, 0..3_usize).prop_map(|(from, to)| Action::LatePeer { from, to }),
        1 => (0..3_usize).prop_map(Action::Restart),
    ]
}

proptest! {
    #![proptest_config(seeds::proptest_config())]

    /// Guards against a restore that takes a node back to a state that it had left, and against nodes that differ after
    /// all changes are written again.
    #[test]
    fn restores_never_revert_a_node_and_nodes_converge(actions in vec(action(), 1..100)) {
        let mut world = World { era: 1, states: vec![Items::new()], ..World::default() };
        let mut nodes: Vec<Node> = (0..3).map(|_| Node::default()).collect();
        let mut late: Vec<(usize, Update)> = Vec::new();
        let update = |nodes: &[Node], from: usize, to: usize| {
            nodes[from].mirror.update_since(at(0), nodes[to].mirror.position())
        };
        for action in actions {
            match action {
                Action::Write(key, present) => world.write(KEYS[key], present),
                Action::Restore(lost) => world.restore(lost),
                Action::Rewrite(count) => world.rewrite(count),
                Action::Watch(node) => nodes[node].watch(at(0), &world),
                Action::ReadAll(node) => nodes[node].read_all(at(0), &world),
                Action::ReadPages(node, writes) => nodes[node].read_pages(at(0), &mut world, &writes),
                Action::Peer { from, to } => {
                    let update = update(&nodes, from, to);
                    nodes[to].merge(at(0), update);
                }
                Action::LatePeer { from, to } => late.push((to, update(&nodes, from, to))),
                Action::Restart(node) => {
                    nodes[node] = Node::default();
                    late.retain(|(to, _)| *to != node);
                }
            }
            nodes.iter().for_each(|node| node.check_flags(&world));
        }
        for (to, update) in late {
            nodes[to].merge(at(0), update);
        }
        world.rewrite(KEYS.len());
        for node in &mut nodes {
            node.watch(at(0), &world);
        }
        for (from, to) in [(0, 1), (1, 2), (2, 0), (0, 1)] {
            let update = update(&nodes, from, to);
            nodes[to].merge(at(0), update);
        }
        for node in &mut nodes {
            let changes = node.mirror.expire(at(0) + HOLD_TIME);
            node.apply(changes);
            let present = |values: &BTreeMap<Arc<str>, Option<u8>>| -> BTreeMap<Arc<str>, u8> {
                let values = values.iter();
                values.filter_map(|(key, value)| Some((key.clone(), (*value)?))).collect()
            };
            prop_assert_eq!(present(&node.applied), present(&world.written));
        }
    }
}

/// Guards against a change of the update's encoding, which nodes of other builds could not read.
#[test]
fn updates_are_encoded_as_nodes_of_earlier_builds_read_them() {
    let update = Update {
        position: Position::new(2, 300),
        copied: 290,
        full: true,
        changes: vec![
            change(CONFIG, (2, 295), Some(9)),
            change("leaf-1", (2, 299), None),
        ],
        held: vec![
            HeldItem {
                key: "flag-1".into(),
                position: Position::new(1, 310),
                state: ItemState::Deleted {
                    last: Bytes::from_static(&[1]),
                },
                left_ms: Some(9_000),
            },
            HeldItem {
                key: CONFIG.into(),
                position: Position::new(1, 311),
                state: ItemState::Present(Bytes::from_static(&[11])),
                left_ms: None,
            },
        ],
    };
    let bytes = postcard::to_allocvec(&update).unwrap();
    assert_eq!(hex::encode(&bytes), GOLDEN_UPDATE);
    assert_eq!(postcard::from_bytes::<Update>(&bytes).unwrap(), update);
}
