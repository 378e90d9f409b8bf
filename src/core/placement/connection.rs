/// The connection that carries a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// The idle connection at this index.
    Reuse(usize),
    /// A new connection in place of the idle one at this index, which is closed.
    Replace(usize),
    /// A new connection.
    Open,
}

/// Chooses the connection for a request that has been sent before on the connections `used`. `idle` are those to the leaf,
/// the least recently used first.
///
/// A leaf may send a second copy of an answer late, when the next one is expected. The request's id tells the copy from
/// the answer to another request, but not from the answer to the same request sent again. So no connection carries a
/// request twice.
pub fn choose_connection<K: PartialEq>(idle: &[K], used: &[K]) -> ConnectionChoice {
    match idle
        .iter()
        .rposition(|connection| !used.contains(connection))
    {
        Some(index) => ConnectionChoice::Reuse(index),
        None if idle.is_empty() => ConnectionChoice::Open,
        None => ConnectionChoice::Replace(idle.len() - 1),
    }
}
