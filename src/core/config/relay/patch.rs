use std::{
    collections::{HashMap, hash_map::Entry},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::core::config::{Document, MAX_VALUE_BYTES, Stamp};

/// Length of the pieces by which equal text is found, bytes. An address of a leaf fits into it, and shorter
/// pieces are rarely unique in a map.
const BLOCK_BYTES: usize = 32;
/// Estimated encoded length of an operation besides its text, bytes.
const OP_BYTES: usize = 8;

/// The change from one value of a document to the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    pub key: Arc<str>,
    /// The value to which the patch applies.
    pub from: Stamp,
    /// The value that results.
    pub to: Stamp,
    pub(super) ops: Vec<Op>,
}

/// One step in building the new value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Op {
    /// Bytes of the old value.
    Copy { at: u32, len: u32 },
    /// New bytes.
    Text(Vec<u8>),
}

impl Patch {
    /// Returns the patch from `old` to `new`, which must be values of one key; nothing if it isn't worth it.
    pub(super) fn between(old: &Document, new: &Document) -> Option<Self> {
        let (before, after) = (old.value.as_ref()?, new.value.as_ref()?);
        let patch = Self {
            key: new.key.clone(),
            from: Stamp::of(old),
            to: Stamp::of(new),
            ops: difference(before.as_bytes(), after.as_bytes()),
        };
        (patch.size() * 2 < after.len()).then_some(patch)
    }

    /// Returns the new document, or nothing if `old` is not the value the patch was made for.
    pub(super) fn apply(&self, old: &Document) -> Option<Document> {
        let before = old
            .value
            .as_ref()
            .filter(|_| Stamp::of(old) == self.from)?
            .as_bytes();
        let mut text = Vec::new();
        for op in &self.ops {
            match op {
                Op::Copy { at, len } => {
                    let end = at.checked_add(*len)?;
                    text.extend_from_slice(before.get(*at as usize..end as usize)?);
                }
                Op::Text(bytes) => text.extend_from_slice(bytes),
            }
            if text.len() > MAX_VALUE_BYTES {
                return None;
            }
        }
        let document = Document {
            key: self.key.clone(),
            version: self.to.version,
            value: Some(String::from_utf8(text).ok()?.into()),
        };
        (Stamp::of(&document) == self.to).then_some(document)
    }

    /// Estimates the encoded length, bytes.
    pub(super) fn size(&self) -> usize {
        let text = |op: &Op| match op {
            Op::Copy { .. } => 0,
            Op::Text(bytes) => bytes.len(),
        };
        let ops = self.ops.iter().map(|op| OP_BYTES + text(op));
        self.key.len() + 28 + ops.sum::<usize>()
    }
}

/// Builds `new` from pieces of `old`: the common start and end, and between them every piece that contains a
/// block that occurs once in `old`.
fn difference(old: &[u8], new: &[u8]) -> Vec<Op> {
    let start = common(old.iter(), new.iter());
    let end = common(old[start..].iter().rev(), new[start..].iter().rev());
    let (old_end, new_end) = (old.len() - end, new.len() - end);
    let index = unique_blocks(&old[start..old_end]);
    let mut ops = Vec::new();
    let mut done = start;
    let mut at = start;
    copy(&mut ops, 0, start);
    while at + BLOCK_BYTES <= new_end {
        let block = &new[at..at + BLOCK_BYTES];
        let found = index
            .get(&xxh3_64(block))
            .copied()
            .flatten()
            .map(|offset| start + offset);
        let Some(found) = found.filter(|&found| old[found..].starts_with(block)) else {
            at += 1;
            continue;
        };
        let back = common(old[start..found].iter().rev(), new[done..at].iter().rev());
        let ahead = common(old[found..old_end].iter(), new[at..new_end].iter());
        insert(&mut ops, &new[done..at - back]);
        copy(&mut ops, found - back, back + ahead);
        at += ahead;
        done = at;
    }
    insert(&mut ops, &new[done..new_end]);
    copy(&mut ops, old_end, end);
    ops
}

/// Returns the offsets of the blocks of `text`, by hash; nothing for those that occur more than once.
fn unique_blocks(text: &[u8]) -> HashMap<u64, Option<usize>> {
    let mut index = HashMap::new();
    for (at, block) in text.chunks_exact(BLOCK_BYTES).enumerate() {
        match index.entry(xxh3_64(block)) {
            Entry::Vacant(entry) => drop(entry.insert(Some(at * BLOCK_BYTES))),
            Entry::Occupied(mut entry) => drop(entry.insert(None)),
        }
    }
    index
}

fn common<'a>(left: impl Iterator<Item = &'a u8>, right: impl Iterator<Item = &'a u8>) -> usize {
    left.zip(right)
        .take_while(|(left, right)| left == right)
        .count()
}

fn copy(ops: &mut Vec<Op>, at: usize, len: usize) {
    if len > 0 {
        ops.push(Op::Copy {
            at: at as u32,
            len: len as u32,
        });
    }
}

fn insert(ops: &mut Vec<Op>, bytes: &[u8]) {
    if !bytes.is_empty() {
        ops.push(Op::Text(bytes.to_vec()));
    }
}
