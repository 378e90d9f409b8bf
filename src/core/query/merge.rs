use std::{cmp::Ordering, collections::HashSet};

use crate::core::call::Hit;

/// Number of best hits selected before duplicates are removed, as a multiple of the requested number.
///
/// Duplicates are rare, so this selection nearly always contains enough distinct hits and the remaining hits
/// need not be sorted.
const SELECTION_FACTOR: usize = 4;

/// Orders hits by descending score, then by ascending id; hits with a NaN score come last.
fn compare_hits(a: &Hit, b: &Hit) -> Ordering {
    let by_score = match (a.score.is_nan(), b.score.is_nan()) {
        (false, false) => b.score.partial_cmp(&a.score).unwrap_or(Ordering::Equal),
        (a, b) => a.cmp(&b),
    };
    by_score.then_with(|| a.id.cmp(&b.id))
}

/// Returns the best `top` hits with distinct ids; of hits with equal ids the best one is kept.
pub(super) fn merge(mut hits: Vec<Hit>, top: usize) -> Vec<Hit> {
    let selected = top.saturating_mul(SELECTION_FACTOR);
    if selected > 0 && selected < hits.len() {
        hits.select_nth_unstable_by(selected - 1, compare_hits);
        let best = sort_distinct(hits[..selected].to_vec(), top);
        if best.len() == top {
            return best;
        }
    }
    sort_distinct(hits, top)
}

fn sort_distinct(mut hits: Vec<Hit>, top: usize) -> Vec<Hit> {
    hits.sort_unstable_by(compare_hits);
    let mut ids = HashSet::with_capacity(hits.len().min(top));
    hits.retain(|hit| ids.len() < top && ids.insert(hit.id.clone()));
    hits
}
