use std::{
    collections::{HashMap, hash_map::Entry},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::core::config::{Document, MAX_VALUE_BYTES, Stamp};

/// Length of the blocks used to find equal text, in bytes. A leaf address fits into a block, and shorter blocks
/// are rarely unique in a map.
const BLOCK_BYTES: usize = 32;
/// Estimated encoded length of an operation without its text, in bytes.
const OP_BYTES: usize = 8;

/// A binary patch from one value of a document to a newer one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    pub key: Arc<str>,
    /// Stamp of the value to which the patch applies.
    pub from: Stamp,
    /// Stamp of the resulting value.
    pub to: Stamp,
    pub(super) ops: Vec<Op>,
}

/// An operation that appends to the new value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Op {
    /// Appends a range of bytes of the old value.
    Copy { offset: u32, len: u32 },
    /// Appends new bytes.
    Insert(Vec<u8>),
}

impl Patch {
    /// Returns the patch from `old` to `new`, which must have the same key. Returns `None` if either is a deletion,
    /// or if the patch is not smaller than half of the new value.
    pub(super) fn between(old: &Document, new: &Document) -> Option<Self> {
        let (before, after) = (old.value.as_ref()?, new.value.as_ref()?);
        let patch = Self {
            key: new.key.clone(),
            from: Stamp::of(old),
            to: Stamp::of(new),
            ops: diff(before.as_bytes(), after.as_bytes()),
        };
        (patch.size() * 2 < after.len()).then_some(patch)
    }

    /// Returns the new document, or `None` if the patch does not apply to `old`.
    pub(super) fn apply(&self, old: &Document) -> Option<Document> {
        let before = old
            .value
            .as_ref()
            .filter(|_| Stamp::of(old) == self.from)?
            .as_bytes();
        let mut text = Vec::new();
        for op in &self.ops {
            match op {
                Op::Copy { offset, len } => {
                    let end = offset.checked_add(*len)?;
                    text.extend_from_slice(before.get(*offset as usize..end as usize)?);
                }
                Op::Insert(bytes) => text.extend_from_slice(bytes),
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

    /// Estimates the encoded length, in bytes.
    pub(super) fn size(&self) -> usize {
        let text = |op: &Op| match op {
            Op::Copy { .. } => 0,
            Op::Insert(bytes) => bytes.len(),
        };
        let ops = self.ops.iter().map(|op| OP_BYTES + text(op));
        self.key.len() + 28 + ops.sum::<usize>()
    }
}

/// Returns operations that build `new` from ranges of `old`: the common prefix and suffix, and between them every
/// common range that contains a block that is unique in `old`.
fn diff(old: &[u8], new: &[u8]) -> Vec<Op> {
    let start = common_len(old.iter(), new.iter());
    let end = common_len(old[start..].iter().rev(), new[start..].iter().rev());
    let (old_end, new_end) = (old.len() - end, new.len() - end);
    let index = unique_blocks(&old[start..old_end]);
    let mut ops = Vec::new();
    let mut written = start;
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
        let backward = common_len(
            old[start..found].iter().rev(),
            new[written..at].iter().rev(),
        );
        let forward = common_len(old[found..old_end].iter(), new[at..new_end].iter());
        insert(&mut ops, &new[written..at - backward]);
        copy(&mut ops, found - backward, backward + forward);
        at += forward;
        written = at;
    }
    insert(&mut ops, &new[written..new_end]);
    copy(&mut ops, old_end, end);
    ops
}

/// Returns the offset of each block of `text` by its hash, or `None` for blocks that occur more than once.
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

fn common_len<'a>(
    left: impl Iterator<Item = &'a u8>,
    right: impl Iterator<Item = &'a u8>,
) -> usize {
    left.zip(right)
        .take_while(|(left, right)| left == right)
        .count()
}

fn copy(ops: &mut Vec<Op>, offset: usize, len: usize) {
    if len > 0 {
        ops.push(Op::Copy {
            offset: offset as u32,
            len: len as u32,
        });
    }
}

fn insert(ops: &mut Vec<Op>, bytes: &[u8]) {
    if !bytes.is_empty() {
        ops.push(Op::Insert(bytes.to_vec()));
    }
}
