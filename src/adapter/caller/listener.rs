use std::{io, sync::Arc};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
};

/// Accepts connections up to a limit; further ones wait in the backlog of the socket.
#[derive(Debug)]
pub(super) struct LimitedListener {
    listener: TcpListener,
    permits: Arc<Semaphore>,
}

/// An accepted connection. It counts towards the limit of its listener until the permit is dropped.
pub(super) type Accepted = (TcpStream, Option<OwnedSemaphorePermit>);

impl LimitedListener {
    pub(super) fn new(listener: TcpListener, max_connections: usize) -> Self {
        Self {
            listener,
            permits: Arc::new(Semaphore::new(max_connections)),
        }
    }

    pub(super) async fn accept(&self) -> io::Result<Accepted> {
        let permit = self.permits.clone().acquire_owned().await;
        let (stream, _) = self.listener.accept().await?;
        Ok((stream, permit.ok()))
    }

    /// Closes the socket and returns the connections in its backlog, which closing it would reset. They do not count
    /// towards the limit: the backlog bounds their number, and no others follow.
    pub(super) fn close(self) -> io::Result<impl Iterator<Item = Accepted>> {
        let listener = self.listener.into_std()?;
        let waiting = std::iter::from_fn(move || listener.accept().ok());
        Ok(waiting.filter_map(|(stream, _)| {
            stream.set_nonblocking(true).ok()?;
            Some((TcpStream::from_std(stream).ok()?, None))
        }))
    }
}
