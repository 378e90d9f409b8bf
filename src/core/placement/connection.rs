use xxhash_rust::xxh3::xxh3_64;

/// Number of requests that a connection remembers. A leaf sends the second copy of an answer where it is due to answer one of
/// the next requests.
const MAX_CARRIED: usize = 32;

/// Identifies a caller's request by the id that its answers echo.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestKey(u64);

impl RequestKey {
    /// Returns the key of the request with this id.
    pub fn new(id: &str) -> Self {
        Self(xxh3_64(id.as_bytes()))
    }
}

/// The requests that a connection has carried lately.
///
/// They are remembered with the connection and not with the request, because a caller may use an id again for another
/// request.
#[derive(Clone, Copy, Debug)]
pub struct CarriedRequests {
    keys: [Option<RequestKey>; MAX_CARRIED],
    next: usize,
}

impl Default for CarriedRequests {
    fn default() -> Self {
        Self {
            keys: [None; MAX_CARRIED],
            next: 0,
        }
    }
}

impl CarriedRequests {
    /// Records that the connection carries a request. The oldest one is forgotten.
    pub fn record(&mut self, request: RequestKey) {
        self.keys[self.next] = Some(request);
        self.next = (self.next + 1) % MAX_CARRIED;
    }

    /// Returns whether the connection has carried no request yet.
    pub fn is_empty(&self) -> bool {
        self.keys[0].is_none()
    }

    /// Returns whether the connection has carried a request with this key.
    pub fn contains(&self, request: RequestKey) -> bool {
        self.keys.contains(&Some(request))
    }
}

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

/// Chooses the connection for a request. `idle` are the requests that each idle connection to the leaf has carried, the least
/// recently used connection first.
///
/// A leaf may send a second copy of an answer late, when the next one is expected. The request's id tells the copy from
/// the answer to another request, but not from the answer to a request with the same id. So no connection carries an id
/// twice.
pub fn choose_connection<'a>(
    idle: impl ExactSizeIterator<Item = &'a CarriedRequests> + DoubleEndedIterator,
    request: RequestKey,
) -> ConnectionChoice {
    let count = idle.len();
    let mut idle = idle;
    match idle.rposition(|carried| !carried.contains(request)) {
        Some(index) => ConnectionChoice::Reuse(index),
        None if count == 0 => ConnectionChoice::Open,
        None => ConnectionChoice::Replace(count - 1),
    }
}
