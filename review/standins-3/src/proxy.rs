//! A proxy whose open connections can go silent, without a reset, while new ones work, and that can have the bandwidth of a
//! machine's link.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Mutex, watch},
    task::JoinSet,
    time::{Instant, sleep_until},
};

const BLOCK_BYTES: usize = 16 << 10;

/// The bandwidth of a link, which all its connections share.
#[derive(Debug)]
struct Bandwidth {
    bytes_per_s: f64,
    free_at: Mutex<Instant>,
}

impl Bandwidth {
    /// Waits until the link has carried these bytes.
    async fn carry(&self, bytes: usize) {
        let mut free_at = self.free_at.lock().await;
        let time = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        *free_at = (*free_at).max(Instant::now()) + time;
        let until = *free_at;
        drop(free_at);
        sleep_until(until).await;
    }
}

/// A proxy before one server.
pub struct Proxy {
    address: SocketAddr,
    /// Counts how often the open connections went silent.
    silenced: watch::Sender<u64>,
    _tasks: JoinSet<()>,
}

impl Proxy {
    /// Starts a proxy. What the server sends is limited to `link_mbps`, if given.
    pub async fn start(server: SocketAddr, link_mbps: Option<f64>) -> io::Result<Self> {
        let link = link_mbps.map(|mbps| {
            Arc::new(Bandwidth {
                bytes_per_s: mbps * 1e6 / 8.0,
                free_at: Mutex::new(Instant::now()),
            })
        });
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let silenced = watch::channel(0).0;
        let events = silenced.clone();
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((client, _)) = listener.accept().await {
                connections.spawn(forward(client, server, events.subscribe(), link.clone()));
            }
        });
        Ok(Self {
            address,
            silenced,
            _tasks: tasks,
        })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes all connections that are open now silent for good.
    pub fn silence(&self) {
        self.silenced.send_modify(|count| *count += 1);
    }
}

/// Forwards a connection until one side closes it. Once it is silent, no byte gets through, and it stays open.
async fn forward(
    client: TcpStream,
    server: SocketAddr,
    mut silenced: watch::Receiver<u64>,
    link: Option<Arc<Bandwidth>>,
) {
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_in, client_out) = client.into_split();
    let (server_in, server_out) = server.into_split();
    silenced.mark_unchanged();
    let is_silent = tokio::select! {
        _ = silenced.changed() => true,
        _ = copy(&client_in, &server_out, None) => false,
        _ = copy(&server_in, &client_out, link.as_deref()) => false,
    };
    if is_silent {
        std::future::pending::<()>().await;
    }
    drop((client_in, client_out, server_in, server_out));
}

async fn copy(
    from: &tokio::net::tcp::OwnedReadHalf,
    to: &tokio::net::tcp::OwnedWriteHalf,
    link: Option<&Bandwidth>,
) -> io::Result<()> {
    let mut block = vec![0; BLOCK_BYTES];
    loop {
        from.readable().await?;
        let length = match from.try_read(&mut block) {
            Ok(0) => return Ok(()),
            Ok(length) => length,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
            Err(error) => return Err(error),
        };
        if let Some(link) = link {
            link.carry(length).await;
        }
        let mut rest = &block[..length];
        while !rest.is_empty() {
            to.writable().await?;
            match to.try_write(rest) {
                Ok(written) => rest = &rest[written..],
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
    }
}
