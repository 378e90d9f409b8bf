use std::{collections::BTreeMap, sync::Arc};

use bytes::Bytes;
use cranberrychute::core::mirror::{Change, Mirror, Update};
use proptest::{collection::vec, prelude::*};

use crate::seeds;

/// The platform's side: every change there ever was, in order.
#[derive(Clone, Debug, Default)]
struct Source {
    log: Vec<Change>,
}

impl Source {
    fn write(&mut self, key: u8, value: Option<u8>) {
        let known = self.items().contains_key(&*format!("k{key}"));
        if value.is_none() && !known {
            return;
        }
        self.log.push(Change {
            key: format!("k{key}").into(),
            revision: self.log.len() as u64 + 1,
            value: value.map(|value| Bytes::copy_from_slice(&[value])),
        });
    }

    fn revision(&self) -> u64 {
        self.log.len() as u64
    }

    fn items(&self) -> BTreeMap<Arc<str>, Change> {
        self.items_at(self.revision())
    }

    fn items_at(&self, revision: u64) -> BTreeMap<Arc<str>, Change> {
        let mut items = BTreeMap::new();
        for change in self.log.iter().filter(|change| change.revision <= revision) {
            match change.value {
                Some(_) => items.insert(change.key.clone(), change.clone()),
                None => items.remove(&change.key),
            };
        }
        items
    }

    fn after(&self, revision: u64, upto: u64) -> Vec<Change> {
        let wanted = |change: &&Change| change.revision > revision && change.revision <= upto;
        self.log.iter().filter(wanted).cloned().collect()
    }
}

/// What a node applied, as a consumer of the changes sees it.
#[derive(Default)]
struct Node {
    mirror: Mirror,
    seen: BTreeMap<Arc<str>, (u64, Option<Bytes>)>,
}

impl Node {
    fn apply(&mut self, changes: Vec<Change>) {
        for change in changes {
            let before = self
                .seen
                .get(&change.key)
                .map_or(0, |(revision, _)| *revision);
            assert!(
                change.revision >= before,
                "{} went back from revision {before} to {}",
                change.key,
                change.revision
            );
            self.seen
                .insert(change.key, (change.revision, change.value));
        }
    }

    fn values(&self) -> BTreeMap<Arc<str>, Bytes> {
        let present = self.seen.iter();
        present
            .filter_map(|(key, (_, value))| Some((key.clone(), value.clone()?)))
            .collect()
    }
}

#[derive(Clone, Debug)]
enum Act {
    Write(u8, Option<u8>),
    /// A node watches; the answer may be late, complete only up to an older revision.
    Watch {
        node: usize,
        late: u64,
    },
    /// A node reads everything, as of an older revision for a stale page.
    ReadAll {
        node: usize,
        stale: u64,
    },
    /// A node asks another, and the answer arrives this many times.
    Peer {
        from: usize,
        to: usize,
        copies: usize,
    },
    /// A node asks another now and gets the answer only at the end.
    LatePeer {
        from: usize,
        to: usize,
    },
    Restart(usize),
}

fn act() -> impl Strategy<Value = Act> {
    prop_oneof![
        4 => (0..6_u8, proptest::option::weighted(0.7, any::<u8>())).prop_map(|(k, v)| Act::Write(k, v)),
        3 => (0..3_usize, 0..3_u64).prop_map(|(node, late)| Act::Watch { node, late }),
        1 => (0..3_usize, 0..3_u64).prop_map(|(node, stale)| Act::ReadAll { node, stale }),
        3 => (0..3_usize, 0..3_usize, 1..3_usize).prop_map(|(from, to, copies)| Act::Peer { from, to, copies }),
        1 => (0..3_usize, 0..3_usize).prop_map(|(from, to)| Act::LatePeer { from, to }),
        1 => (0..3_usize).prop_map(Act::Restart),
    ]
}

proptest! {
    #![proptest_config(seeds::proptest_config())]

    /// Guards against an older page, a repeated or late update of a peer that takes a key back, and against nodes
    /// that differ after all news has arrived.
    #[test]
    fn copies_never_go_back_and_end_equal(acts in vec(act(), 1..80)) {
        let mut source = Source::default();
        let mut nodes: Vec<Node> = (0..3).map(|_| Node::default()).collect();
        let mut late: Vec<(usize, Update)> = Vec::new();
        for act in acts {
            match act {
                Act::Write(key, value) => source.write(key, value),
                Act::Watch { node, late } => {
                    let after = nodes[node].mirror.revision();
                    let upto = source.revision().saturating_sub(late).max(after);
                    let changes = nodes[node].mirror.advance(source.after(after, upto), upto);
                    nodes[node].apply(changes);
                }
                Act::ReadAll { node, stale } => {
                    let upto = source.revision().saturating_sub(stale);
                    let items = source.items_at(upto).into_values().collect();
                    let changes = nodes[node].mirror.replace(items, upto);
                    nodes[node].apply(changes);
                }
                Act::Peer { from, to, copies } => {
                    let update = nodes[from].mirror.update_since(nodes[to].mirror.revision());
                    for _ in 0..copies {
                        let changes = nodes[to].mirror.merge(update.clone());
                        nodes[to].apply(changes);
                    }
                }
                Act::LatePeer { from, to } => {
                    late.push((to, nodes[from].mirror.update_since(nodes[to].mirror.revision())));
                }
                Act::Restart(node) => {
                    nodes[node] = Node::default();
                    late.retain(|(to, _)| *to != node);
                }
            }
        }
        for (to, update) in late {
            let changes = nodes[to].mirror.merge(update);
            nodes[to].apply(changes);
        }
        let (revision, items) = (source.revision(), source.items());
        let whole: Vec<Change> = items.values().cloned().collect();
        let changes = nodes[0].mirror.replace(whole, revision);
        nodes[0].apply(changes);
        for to in 1..3 {
            let update = nodes[0].mirror.update_since(nodes[to].mirror.revision());
            let changes = nodes[to].mirror.merge(update);
            nodes[to].apply(changes);
        }
        let wanted: BTreeMap<Arc<str>, Bytes> = items
            .into_iter()
            .filter_map(|(key, change)| Some((key, change.value?)))
            .collect();
        for node in &nodes {
            prop_assert_eq!(&node.values(), &wanted);
            prop_assert_eq!(node.mirror.revision(), revision);
        }
    }
}

/// Guards against pages that are no snapshot: an item written while they are read is not taken for deleted.
#[test]
fn an_item_newer_than_the_first_page_survives_a_full_read() {
    let mut mirror = Mirror::default();
    let item = |revision: u64| Change {
        key: "k".into(),
        revision,
        value: Some(Bytes::from_static(b"v")),
    };
    mirror.advance(vec![item(12)], 9);
    assert_eq!(mirror.replace(Vec::new(), 10), Vec::new());
    let gone = mirror.replace(Vec::new(), 13);
    assert_eq!(gone.len(), 1);
    assert_eq!(gone[0].value, None);
}
