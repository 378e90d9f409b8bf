use std::{io, sync::Arc};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
};

use crate::adapter::accept_waiting;

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

    /// Closes the socket and returns the connections in its backlog. They do not count towards the limit: the backlog bounds
    /// their number, and no others follow.
    pub(super) fn close(self) -> io::Result<Vec<Accepted>> {
        let listener = self.listener.into_std()?;
        let waiting = accept_waiting(&listener);
        Ok(waiting.map(|stream| (stream, None)).collect())
    }
}
