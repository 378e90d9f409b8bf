use std::{io, net::SocketAddr};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    sync::watch,
    task::JoinSet,
};

use crate::http::Reservation;

/// Size of the blocks in which bytes are forwarded.
const BLOCK_BYTES: usize = 16 << 10;
/// Connections that fill the queue of a listener that accepts none, so that further ones get no answer.
const QUEUE_CONNECTIONS: usize = 2;

/// The state of a [`Link`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkMode {
    #[default]
    Up,
    /// Nothing gets through: open connections carry no bytes, and attempts to open one get no answer.
    Hang,
    /// Open connections go on, and new ones are refused.
    Refuse,
    /// Open connections are reset, and new ones are refused.
    Reset,
}

/// A network link to one server, as seen from one client. It forwards connections to the server while it is up.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    mode: watch::Sender<LinkMode>,
    _tasks: JoinSet<()>,
}

impl Link {
    /// Starts a link to `server`.
    ///
    /// # Errors
    ///
    /// Fails if no address can be bound.
    pub fn start(server: SocketAddr) -> io::Result<Self> {
        let reservation = Reservation::new(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = reservation.address();
        let mode = watch::channel(LinkMode::Up).0;
        let mut tasks = JoinSet::new();
        tasks.spawn(run(reservation, server, mode.subscribe()));
        Ok(Self {
            address,
            mode,
            _tasks: tasks,
        })
    }

    /// Returns the address at which the client reaches the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the state of the link.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

async fn run(reservation: Reservation, server: SocketAddr, mut mode: watch::Receiver<LinkMode>) {
    let mut connections = JoinSet::new();
    loop {
        let current = *mode.borrow_and_update();
        let result = match current {
            LinkMode::Up => {
                let forward = mode.clone();
                tokio::select! {
                    _ = mode.changed() => Ok(()),
                    result = accept(&reservation, server, &forward, &mut connections) => result,
                }
            }
            LinkMode::Hang => hang(&reservation, &mut mode).await,
            LinkMode::Refuse | LinkMode::Reset => {
                let _ = mode.changed().await;
                Ok(())
            }
        };
        if let Err(error) = result {
            log::error!("the link to {server} failed: {error}");
            return;
        }
        if mode.has_changed().is_err() {
            return;
        }
    }
}

async fn accept(
    reservation: &Reservation,
    server: SocketAddr,
    mode: &watch::Receiver<LinkMode>,
    connections: &mut JoinSet<()>,
) -> io::Result<()> {
    let listener = reservation.listen()?;
    loop {
        let (client, _) = listener.accept().await?;
        connections.spawn(forward(client, server, mode.clone()));
    }
}

/// Listens without accepting, with a full queue, until the mode changes.
async fn hang(reservation: &Reservation, mode: &mut watch::Receiver<LinkMode>) -> io::Result<()> {
    let _listener = reservation.listen_with(0)?;
    let mut queued = JoinSet::new();
    for _ in 0..QUEUE_CONNECTIONS {
        let address = reservation.address();
        queued.spawn(async move {
            let _connection = TcpStream::connect(address).await;
            std::future::pending::<()>().await;
        });
    }
    let _ = mode.changed().await;
    Ok(())
}

async fn forward(mut client: TcpStream, server: SocketAddr, mode: watch::Receiver<LinkMode>) {
    let Ok(mut server) = TcpStream::connect(server).await else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let mut reset = mode.clone();
    let is_reset = {
        let (client_in, client_out) = client.split();
        let (server_in, server_out) = server.split();
        tokio::select! {
            () = copy(client_in, server_out, mode.clone()) => false,
            () = copy(server_in, client_out, mode) => false,
            _ = reset.wait_for(|mode| *mode == LinkMode::Reset) => true,
        }
    };
    if is_reset {
        // Without lingering, closing the socket resets the connection.
        let _ = client.set_zero_linger();
    }
}

/// Copies bytes until one side closes. While the link hangs, none get through.
async fn copy(mut from: ReadHalf<'_>, mut to: WriteHalf<'_>, mut mode: watch::Receiver<LinkMode>) {
    let mut block = vec![0; BLOCK_BYTES];
    loop {
        let Ok(length) = from.read(&mut block).await else {
            return;
        };
        if mode.wait_for(|mode| *mode != LinkMode::Hang).await.is_err() || length == 0 {
            return;
        }
        if to.write_all(&block[..length]).await.is_err() {
            return;
        }
    }
}
