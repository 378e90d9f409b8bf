use rand::{Rng, seq::IteratorRandom};
use smallvec::SmallVec;

use crate::core::mirror::Position;

/// Chooses the node from which changes are fetched, among nodes that are ahead with their positions and whether they are
/// in the own failure domain.
///
/// An update of the own domain does not cross domains. A node of the own domain is preferred only if no other is known
/// to be further ahead, so that the preference delays no change, and only while `prefers_own_domain` is set, so that a
/// node that does not answer or has nothing new is not asked again and again.
pub fn choose_source<T>(
    ahead: impl Iterator<Item = (T, Position, bool)>,
    prefers_own_domain: bool,
    rng: &mut impl Rng,
) -> Option<T> {
    let nodes: SmallVec<[_; 16]> = ahead.collect();
    let newest = nodes.iter().map(|(_, position, _)| *position).max();
    let is_preferred = |(_, position, is_near): &(T, Position, bool)| {
        prefers_own_domain && *is_near && Some(*position) == newest
    };
    let any_preferred = nodes.iter().any(is_preferred);
    let eligible = nodes
        .into_iter()
        .filter(|node| !any_preferred || is_preferred(node));
    eligible.map(|(node, ..)| node).choose(rng)
}
