use std::{cmp::Ordering, collections::BTreeMap, sync::Arc, time::Duration};

use bytes::Bytes;
use cranberrychute::core::mirror::{self, Change, ItemOrder, Position, Update};
use proptest::{collection::vec, prelude::*};

use crate::{at, seeds};

/// Time for which the tests hold items.
const HOLD_TIME: Duration = Duration::from_secs(3);

/// Values of keys that begin with `v` are versions; other values do not show their age.
#[derive(Debug, Default)]
struct TestOrder;

impl ItemOrder for TestOrder {
    fn compare(&self, key: &str, a: &[u8], b: &[u8]) -> Option<Ordering> {
        key.starts_with('v').then(|| a.cmp(b))
    }

    fn hold_time(&self, key: &str, present: bool) -> Option<Duration> {
        (!present || !key.starts_with("vc")).then_some(HOLD_TIME)
    }

    fn expires(&self, _: &str) -> bool {
        true
    }
}

type Mirror = mirror::Mirror<TestOrder>;

/// Returns a position in the first era.
fn first_era(revision: u64) -> Position {
    Position::new(1, revision)
}

/// A stand-in for the store: the log of all changes, in order.
#[derive(Clone, Debug, Default)]
struct ChangeLog {
    changes: Vec<Change>,
}

impl ChangeLog {
    fn write(&mut self, key: u8, value: Option<u8>) {
        let exists = self.items().contains_key(&*format!("k{key}"));
        if value.is_none() && !exists {
            return;
        }
        self.changes.push(Change {
            key: format!("k{key}").into(),
            position: first_era(self.changes.len() as u64 + 1),
            value: value.map(|value| Bytes::copy_from_slice(&[value])),
        });
    }

    fn revision(&self) -> u64 {
        self.changes.len() as u64
    }

    fn items(&self) -> BTreeMap<Arc<str>, Change> {
        self.items_at(self.revision())
    }

    fn items_at(&self, revision: u64) -> BTreeMap<Arc<str>, Change> {
        let mut items = BTreeMap::new();
        for change in self
            .changes
            .iter()
            .filter(|change| change.position.revision <= revision)
        {
            match change.value {
                Some(_) => items.insert(change.key.clone(), change.clone()),
                None => items.remove(&change.key),
            };
        }
        items
    }

    fn changes_between(&self, after: u64, upto: u64) -> Vec<Change> {
        let range = after + 1..=upto;
        let in_range = |change: &&Change| range.contains(&change.position.revision);
        self.changes.iter().filter(in_range).cloned().collect()
    }
}

/// A node with its mirror, and the state that a consumer of the changes has built from them.
#[derive(Default)]
struct Node {
    mirror: Mirror,
    applied: BTreeMap<Arc<str>, (u64, Option<Bytes>)>,
}

impl Node {
    fn apply(&mut self, changes: Vec<Change>) {
        for change in changes {
            let before = self
                .applied
                .get(&change.key)
                .map_or(0, |(revision, _)| *revision);
            assert!(
                change.position.revision >= before,
                "{} went back from revision {before} to revision {}",
                change.key,
                change.position.revision
            );
            self.applied
                .insert(change.key, (change.position.revision, change.value));
        }
    }

    /// Checks that the node has the state of all keys that the store has not changed after the node's position.
    fn check_complete(&self, store: &ChangeLog) {
        let position = self.mirror.position();
        let values = self.values();
        let last: BTreeMap<_, _> = store
            .changes
            .iter()
            .map(|change| (&change.key, change))
            .collect();
        for (key, change) in last {
            if change.position <= position {
                let value = values.get(key);
                assert_eq!(value, change.value.as_ref(), "{key} at {position}");
            }
        }
    }

    fn values(&self) -> BTreeMap<Arc<str>, Bytes> {
        let present = self.applied.iter();
        present
            .filter_map(|(key, (_, value))| Some((key.clone(), value.clone()?)))
            .collect()
    }
}

#[derive(Clone, Debug)]
enum Action {
    Write(u8, Option<u8>),
    /// A node watches the store. The response may lag `late` revisions behind.
    Watch {
        node: usize,
        late: u64,
    },
    /// A node reads all items. The pages may lag `stale` revisions behind.
    ReadAll {
        node: usize,
        stale: u64,
    },
    /// A node reads all items in two pages, and these are written in between.
    ReadPages {
        node: usize,
        writes: Vec<(u8, Option<u8>)>,
    },
    /// A node requests an update from another one and receives it `copies` times.
    Peer {
        from: usize,
        to: usize,
        copies: usize,
    },
    /// A node requests an update from another one and receives it only at the end.
    LatePeer {
        from: usize,
        to: usize,
    },
    Restart(usize),
}

fn write() -> impl Strategy<Value = (u8, Option<u8>)> {
    (0..6_u8, proptest::option::weighted(0.7, any::<u8>()))
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        4 => write().prop_map(|(k, v)| Action::Write(k, v)),
        3 => (0..3_usize, 0..3_u64).prop_map(|(node, late)| Action::Watch { node, late }),
        1 => (0..3_usize, 0..3_u64).prop_map(|(node, stale)| Action::ReadAll { node, stale }),
        1 => (0..3_usize, vec(write(), 0..4)).prop_map(|(node, writes)| Action::ReadPages { node, writes }),
        3 => (0..3_usize, 0..3_usize, 1..3_usize).prop_map(|(from, to, copies)| Action::Peer { from, to, copies }),
        1 => (0..3_usize, 0..3_usize).prop_map(|(from, to)| Action::LatePeer { from, to }),
        1 => (0..3_usize).prop_map(Action::Restart),
    ]
}

proptest! {
    #![proptest_config(seeds::proptest_config())]

    /// Guards against an older page or a repeated or late update of a peer that reverts a key, and against mirrors
    /// that differ after all updates have arrived.
    #[test]
    fn mirrors_never_revert_and_converge(actions in vec(action(), 1..80)) {
        let mut store = ChangeLog::default();
        let mut nodes: Vec<Node> = (0..3).map(|_| Node::default()).collect();
        let mut late: Vec<(usize, Update)> = Vec::new();
        for action in actions {
            match action {
                Action::Write(key, value) => store.write(key, value),
                Action::Watch { node, late } => {
                    let after = nodes[node].mirror.position().revision;
                    let upto = store.revision().saturating_sub(late).max(after);
                    let changes = nodes[node].mirror.advance(at(0), store.changes_between(after, upto), first_era(upto));
                    nodes[node].apply(changes);
                }
                Action::ReadAll { node, stale } => {
                    let upto = store.revision().saturating_sub(stale);
                    let items = store.items_at(upto).into_values().collect();
                    let changes = nodes[node].mirror.replace(at(0), items, first_era(upto));
                    nodes[node].apply(changes);
                }
                Action::ReadPages { node, writes } => {
                    let upto = store.revision();
                    let is_first = |item: &Change| *item.key < *"k3";
                    let mut items: Vec<Change> = store.items().into_values().filter(is_first).collect();
                    writes.into_iter().for_each(|(key, value)| store.write(key, value));
                    items.extend(store.items().into_values().filter(|item| !is_first(item)));
                    let changes = nodes[node].mirror.replace(at(0), items, first_era(upto));
                    nodes[node].apply(changes);
                }
                Action::Peer { from, to, copies } => {
                    let after = nodes[to].mirror.position();
                    let update = nodes[from].mirror.update_since(at(0), after);
                    for _ in 0..copies {
                        let changes = nodes[to].mirror.merge(at(0), update.clone());
                        nodes[to].apply(changes);
                    }
                }
                Action::LatePeer { from, to } => {
                    let after = nodes[to].mirror.position();
                    late.push((to, nodes[from].mirror.update_since(at(0), after)));
                }
                Action::Restart(node) => {
                    nodes[node] = Node::default();
                    late.retain(|(to, _)| *to != node);
                }
            }
            nodes.iter().for_each(|node| node.check_complete(&store));
        }
        for (to, update) in late {
            let changes = nodes[to].mirror.merge(at(0), update);
            nodes[to].apply(changes);
            nodes[to].check_complete(&store);
        }
        let (revision, items) = (store.revision(), store.items());
        let all_items: Vec<Change> = items.values().cloned().collect();
        let changes = nodes[0].mirror.replace(at(0), all_items, first_era(revision));
        nodes[0].apply(changes);
        for to in 1..3 {
            let after = nodes[to].mirror.position();
            let update = nodes[0].mirror.update_since(at(0), after);
            let changes = nodes[to].mirror.merge(at(0), update);
            nodes[to].apply(changes);
        }
        let expected: BTreeMap<Arc<str>, Bytes> = items
            .into_iter()
            .filter_map(|(key, change)| Some((key, change.value?)))
            .collect();
        for node in &nodes {
            prop_assert_eq!(&node.values(), &expected);
            prop_assert_eq!(node.mirror.position(), first_era(revision));
        }
    }
}

/// Guards against pages that form no snapshot: an item written while they are read must not be treated as deleted.
#[test]
fn an_item_newer_than_the_first_page_is_kept_by_a_full_read() {
    let mut mirror = Mirror::default();
    let item = |revision: u64| Change {
        key: "k".into(),
        position: first_era(revision),
        value: Some(Bytes::from_static(b"v")),
    };
    mirror.advance(at(0), vec![item(12)], first_era(9));
    assert_eq!(mirror.replace(at(0), Vec::new(), first_era(10)), Vec::new());
    let removed = mirror.replace(at(0), Vec::new(), first_era(13));
    assert_eq!(removed.len(), 1);
    assert_eq!(removed[0].value, None);
}

/// Guards against a leaf that leaves, starts, moves or ends between two pages of a node's read, of which the other nodes never
/// learn: the reader knows the state from the page, and its watch returns the change after it.
#[test]
fn changes_between_the_pages_of_a_read_reach_peers() {
    let item = |revision: u64, value: Option<&'static [u8]>| Change {
        key: "k".into(),
        position: first_era(revision),
        value: value.map(Bytes::from_static),
    };
    let old = || item(5, Some(b"ready"));
    let cases = [
        ("changed", Some(old()), item(11, Some(b"draining"))),
        ("added", None, item(11, Some(b"ready"))),
        ("removed", Some(old()), item(11, None)),
    ];
    for (name, before, change) in cases {
        let before: Vec<Change> = before.into_iter().collect();
        let mut peer = Mirror::default();
        peer.replace(at(0), before.clone(), first_era(10));
        // The first page was read at revision 10, the page with the key at 11.
        let mut reader = Mirror::default();
        let page = Some(change.clone()).filter(|change| change.value.is_some());
        reader.replace(at(0), page.into_iter().collect(), first_era(10));
        reader.advance(at(0), vec![change.clone()], first_era(11));
        let update = reader.update_since(at(0), peer.position());
        let changes = peer.merge(at(0), update);
        assert_eq!(changes, [change], "{name}");
        assert_eq!(peer.position(), first_era(11), "{name}");
        // A node that got the items from the reader passes the change on, too.
        let mut third = Mirror::default();
        third.replace(at(0), before, first_era(10));
        let changes = third.merge(at(0), peer.update_since(at(0), third.position()));
        assert_eq!(changes.len(), 1, "{name}");
    }
}

/// Guards against a node that is updated with all items of a reader and does not pass on what the reader's later pages had.
#[test]
fn a_node_updated_by_a_reader_passes_on_changes_between_its_pages() {
    let item = |revision: u64, value: &'static [u8]| Change {
        key: "k".into(),
        position: first_era(revision),
        value: Some(Bytes::from_static(value)),
    };
    let mut reader = Mirror::default();
    reader.replace(at(0), vec![item(11, b"draining")], first_era(10));
    let mut updated = Mirror::default();
    updated.merge(at(0), reader.update_since(at(0), Position::default()));
    reader.advance(at(0), vec![item(11, b"draining")], first_era(11));
    updated.merge(at(0), reader.update_since(at(0), updated.position()));
    let mut third = Mirror::default();
    third.replace(at(0), vec![item(5, b"ready")], first_era(10));
    let changes = third.merge(at(0), updated.update_since(at(0), third.position()));
    assert_eq!(changes, [item(11, b"draining")]);
}
