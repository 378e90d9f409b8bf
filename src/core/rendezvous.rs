use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the rendezvous score of `node` for `key`; the highest score wins.
pub fn score(key: &str, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// Sorts `nodes` by descending rendezvous score for `key`; nodes with equal scores are sorted by name.
pub fn rank<T: AsRef<str>>(key: &str, mut nodes: Vec<T>) -> Vec<T> {
    nodes.sort_by_cached_key(|node| {
        let name = node.as_ref();
        (Reverse(score(key, name)), name.to_owned())
    });
    nodes
}
