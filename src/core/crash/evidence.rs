/// What an attempt to open a new connection to a leaf showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// The leaf accepted the connection.
    Accepted,
    /// No process listens at the leaf's address.
    Refused,
    /// Neither: for example no answer, or a reset because the leaf has reached its connection limit.
    Unknown,
}

/// Returns whether a leaf has ended, given what new connections to it and to other leaves showed after one of its
/// connections was lost.
///
/// A lost connection alone may be a lost answer. If no other leaf accepts connections either, the link of this node may
/// be down instead.
pub fn has_ended(leaf: Reachability, others: impl IntoIterator<Item = Reachability>) -> bool {
    leaf == Reachability::Refused
        && others
            .into_iter()
            .any(|other| other == Reachability::Accepted)
}
