use std::net::TcpListener;

use tokio::net::TcpStream;

/// Accepts the connections in the backlog of a non-blocking listener, which closing it would reset.
pub(crate) fn accept_waiting(listener: &TcpListener) -> impl Iterator<Item = TcpStream> {
    let accepted = std::iter::from_fn(|| listener.accept().ok());
    accepted.filter_map(|(stream, _)| {
        stream.set_nonblocking(true).ok()?;
        TcpStream::from_std(stream).ok()
    })
}
