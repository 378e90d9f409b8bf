use std::{cmp::Ordering, collections::HashSet};

use crate::core::call::Hit;

/// Hits sorted before duplicates are removed, as a multiple of those wanted.
///
/// Duplicates are rare, so a selection of this size nearly always holds enough distinct hits and the rest
/// needs no sorting.
const SELECTED: usize = 4;

/// Orders hits by score descending, then by id ascending; hits whose score is not a number come last.
fn order(a: &Hit, b: &Hit) -> Ordering {
    let by_score = match (a.score.is_nan(), b.score.is_nan()) {
        (false, false) => b.score.partial_cmp(&a.score).unwrap_or(Ordering::Equal),
        (a, b) => a.cmp(&b),
    };
    by_score.then_with(|| a.id.cmp(&b.id))
}

/// Returns the best `top` hits with distinct ids; of hits with the same id the best one is kept.
pub(super) fn merge(mut hits: Vec<Hit>, top: usize) -> Vec<Hit> {
    let selected = top.saturating_mul(SELECTED);
    if selected > 0 && selected < hits.len() {
        hits.select_nth_unstable_by(selected - 1, order);
        let best = distinct(hits[..selected].to_vec(), top);
        if best.len() == top {
            return best;
        }
    }
    distinct(hits, top)
}

fn distinct(mut hits: Vec<Hit>, top: usize) -> Vec<Hit> {
    hits.sort_unstable_by(order);
    let mut ids = HashSet::with_capacity(hits.len().min(top));
    hits.retain(|hit| ids.len() < top && ids.insert(hit.id.clone()));
    hits
}
