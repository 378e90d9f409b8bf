use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use anyhow::Context;
use quinn::{Connection, Endpoint, Incoming, RecvStream, SendStream, VarInt};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::{
    sync::{Mutex as AsyncMutex, mpsc},
    time::timeout,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use super::tls::{SERVER_NAME, tls_configs};
use crate::core::{
    FleetKey, Incarnation, NodeId, RequestId, ServiceName,
    call::{LeafBatch, LeafReply},
    config::{Document, Versions, relay::RelayMessage},
};

/// Timeout for opening a connection and authenticating the peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum time that closing the connections waits for peers to receive answers. It bounds the wait for peers that receive
/// slowly: the connections of those that are paused or gone end by the idle timeout before.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time that closing the connections waits for peers to confirm the end of their connections. Below the idle
/// timeout: a peer that takes longer is paused or gone.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum size of a frame, bytes; above the platform's maximum value size of 1 MB.
const MAX_FRAME_BYTES: usize = 4 << 20;
/// Length of the authentication proof in a hello, bytes.
const PROOF_BYTES: usize = 32;

/// The identity that this node presents to its peers.
#[derive(Clone, Debug)]
pub struct Identity {
    pub node: NodeId,
    pub incarnation: Incarnation,
    /// Secret shared by all nodes of the fleet.
    pub key: FleetKey,
}

/// An at-most-once request, forwarded to the node that issued its key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OnceForward {
    pub request: RequestId,
    pub service: ServiceName,
    pub key: Arc<str>,
    pub body: Arc<[u8]>,
    /// Remaining time in microseconds when the request was forwarded.
    pub budget: u64,
    pub trace: Option<Arc<str>>,
}

/// The issuer's reply to a forwarded request, passed on to the caller as is.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OnceReply {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: Arc<[u8]>,
}

#[derive(Debug, Serialize, Deserialize)]
enum Request {
    Batch(LeafBatch),
    Once(OnceForward),
    Fetch(Versions),
    Relay(RelayMessage),
}

#[derive(Debug, Serialize, Deserialize)]
struct Hello {
    node: NodeId,
    incarnation: Incarnation,
    proof: [u8; PROOF_BYTES],
}

/// The step at which an exchange with a peer failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerStep {
    Connect,
    Authenticate,
    Open,
    Send,
    Receive,
}

/// A failed exchange with a peer.
#[derive(Debug, thiserror::Error)]
#[error("{step:?} with peer {peer} failed: {source}")]
pub struct PeerError {
    pub step: PeerStep,
    pub peer: NodeId,
    #[source]
    pub source: anyhow::Error,
}

impl PeerError {
    /// Returns whether the peer certainly did not receive the request.
    pub fn is_unsent(&self) -> bool {
        matches!(
            self.step,
            PeerStep::Connect | PeerStep::Authenticate | PeerStep::Open
        )
    }
}

/// Serves the requests of peers.
pub trait PeerHandler: Send + Sync + 'static {
    /// Runs a batch; dropping the future cancels the calls in progress. `cancels` receives the index in the batch of
    /// each call to cancel.
    fn batch(
        &self,
        from: NodeId,
        batch: LeafBatch,
        replies: mpsc::Sender<LeafReply>,
        cancels: mpsc::Receiver<u32>,
    ) -> impl Future<Output = ()> + Send;

    /// Runs a forwarded at-most-once request.
    fn once(&self, from: NodeId, request: OnceForward) -> impl Future<Output = OnceReply> + Send;

    /// Returns the documents that are newer than `versions`.
    fn fetch(&self, versions: Versions) -> Vec<Document>;

    /// Handles a relay message that is too large for a datagram.
    fn relay(&self, from: NodeId, message: RelayMessage) -> impl Future<Output = ()> + Send;
}

/// Connection to one peer; the lock lets only one task open it at a time.
type ConnectionSlot = Arc<AsyncMutex<Option<PeerConnection>>>;

#[derive(Clone, Debug)]
struct PeerConnection {
    addr: SocketAddr,
    connection: Connection,
}

/// QUIC connections to and from the other nodes.
#[derive(Debug)]
pub struct PeerTransport {
    identity: Identity,
    endpoint: Endpoint,
    connections: Mutex<HashMap<NodeId, ConnectionSlot>>,
    /// Requests of peers, until the peer has received the answer.
    requests: TaskTracker,
    /// Cancelled when no more requests of peers are accepted.
    intake_end: CancellationToken,
}

impl PeerTransport {
    /// Binds the endpoint.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use or no certificate can be generated.
    pub fn bind(addr: SocketAddr, identity: Identity) -> anyhow::Result<Arc<Self>> {
        let (server, client) = tls_configs().context("generate the TLS identity")?;
        let mut endpoint = Endpoint::server(server, addr)
            .with_context(|| format!("bind peer_address {addr} (UDP, QUIC)"))?;
        endpoint.set_default_client_config(client);
        Ok(Arc::new(Self {
            identity,
            endpoint,
            connections: Mutex::new(HashMap::new()),
            requests: TaskTracker::new(),
            intake_end: CancellationToken::new(),
        }))
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Fails when the socket is closed.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Accepts connections until the endpoint is closed.
    pub async fn serve<H: PeerHandler>(self: Arc<Self>, handler: Arc<H>) {
        while let Some(incoming) = self.endpoint.accept().await {
            let (this, handler) = (self.clone(), handler.clone());
            tokio::spawn(async move {
                if let Err(error) = this.serve_connection(incoming, handler).await {
                    log::debug!("connection from a peer ended: {error:#}");
                }
            });
        }
    }

    /// Accepts no more requests of peers, waits until the peers have the answers to the earlier ones, then closes all
    /// connections.
    pub async fn close(&self) {
        self.intake_end.cancel();
        self.requests.close();
        if timeout(ANSWER_TIMEOUT, self.requests.wait()).await.is_err() {
            let open = self.requests.len();
            log::warn!(open; "connections to peers are closed with requests in progress");
        }
        self.endpoint.close(VarInt::from_u32(0), b"leaving");
        let _ = timeout(CLOSE_TIMEOUT, self.endpoint.wait_idle()).await;
    }

    /// Sends a batch to the owner of its leaves and forwards the replies as they arrive. `cancels` receives the index
    /// in the batch of each call to cancel.
    ///
    /// # Errors
    ///
    /// Fails when the exchange breaks; [`PeerError::is_unsent`] returns whether the owner certainly ran no call.
    pub async fn batch(
        &self,
        to: &NodeId,
        addr: SocketAddr,
        batch: LeafBatch,
        replies: &mpsc::Sender<LeafReply>,
        mut cancels: mpsc::Receiver<u32>,
    ) -> Result<(), PeerError> {
        let fail = |step| {
            move |source| PeerError {
                step,
                peer: to.clone(),
                source,
            }
        };
        let calls = batch.calls.len();
        let (mut send, mut recv) = self.open_stream(to, addr).await?;
        write_frame(&mut send, &Request::Batch(batch))
            .await
            .map_err(fail(PeerStep::Send))?;
        let forward = async {
            while let Some(index) = cancels.recv().await {
                if write_frame(&mut send, &index).await.is_err() {
                    break;
                }
            }
            // Keeps the stream open: closing it would cancel the calls in progress.
            std::future::pending::<()>().await;
        };
        let receive = async {
            for _ in 0..calls {
                let reply: LeafReply = read_frame(&mut recv)
                    .await
                    .map_err(fail(PeerStep::Receive))?;
                if replies.send(reply).await.is_err() {
                    return Ok(());
                }
            }
            Ok(())
        };
        tokio::select! {
            result = receive => result,
            () = forward => Ok(()),
        }
    }

    /// Forwards an at-most-once request to the node that issued its key.
    ///
    /// # Errors
    ///
    /// Fails when the exchange breaks; [`PeerError::is_unsent`] returns whether the request certainly did not run.
    pub async fn once(
        &self,
        to: &NodeId,
        addr: SocketAddr,
        request: OnceForward,
    ) -> Result<OnceReply, PeerError> {
        self.exchange(to, addr, &Request::Once(request)).await
    }

    /// Fetches the documents of a peer that are newer than `versions`.
    ///
    /// # Errors
    ///
    /// Fails when the exchange breaks.
    pub async fn fetch(
        &self,
        to: &NodeId,
        addr: SocketAddr,
        versions: Versions,
    ) -> Result<Vec<Document>, PeerError> {
        self.exchange(to, addr, &Request::Fetch(versions)).await
    }

    /// Sends a relay message that is too large for a datagram.
    ///
    /// # Errors
    ///
    /// Fails when the exchange breaks.
    pub async fn relay(
        &self,
        to: &NodeId,
        addr: SocketAddr,
        message: RelayMessage,
    ) -> Result<(), PeerError> {
        self.exchange(to, addr, &Request::Relay(message)).await
    }

    async fn exchange<T: DeserializeOwned>(
        &self,
        to: &NodeId,
        addr: SocketAddr,
        request: &Request,
    ) -> Result<T, PeerError> {
        let fail = |step| {
            move |source| PeerError {
                step,
                peer: to.clone(),
                source,
            }
        };
        let (mut send, mut recv) = self.open_stream(to, addr).await?;
        write_frame(&mut send, request)
            .await
            .map_err(fail(PeerStep::Send))?;
        read_frame(&mut recv).await.map_err(fail(PeerStep::Receive))
    }

    async fn open_stream(
        &self,
        to: &NodeId,
        addr: SocketAddr,
    ) -> Result<(SendStream, RecvStream), PeerError> {
        let fail = |step| {
            move |source| PeerError {
                step,
                peer: to.clone(),
                source,
            }
        };
        let connection = timeout(CONNECT_TIMEOUT, self.get_connection(to, addr))
            .await
            .map_err(|elapsed| fail(PeerStep::Connect)(elapsed.into()))??;
        connection
            .open_bi()
            .await
            .map_err(|error| fail(PeerStep::Open)(error.into()))
    }

    async fn get_connection(&self, to: &NodeId, addr: SocketAddr) -> Result<Connection, PeerError> {
        let slot = {
            let mut connections = self.connections.lock().expect("no panic while locked");
            connections.entry(to.clone()).or_default().clone()
        };
        let mut slot = slot.lock().await;
        if let Some(open) = slot.as_ref()
            && open.addr == addr
            && open.connection.close_reason().is_none()
        {
            return Ok(open.connection.clone());
        }
        let connection = self.connect(to, addr).await?;
        *slot = Some(PeerConnection {
            addr,
            connection: connection.clone(),
        });
        Ok(connection)
    }

    async fn connect(&self, to: &NodeId, addr: SocketAddr) -> Result<Connection, PeerError> {
        let fail = |step| {
            move |source| PeerError {
                step,
                peer: to.clone(),
                source,
            }
        };
        let connecting = self
            .endpoint
            .connect(addr, SERVER_NAME)
            .map_err(|error| fail(PeerStep::Connect)(error.into()))?;
        let connection = connecting
            .await
            .map_err(|error| fail(PeerStep::Connect)(error.into()))?;
        self.authenticate_server(&connection, to)
            .await
            .map_err(fail(PeerStep::Authenticate))?;
        Ok(connection)
    }

    async fn authenticate_server(
        &self,
        connection: &Connection,
        to: &NodeId,
    ) -> anyhow::Result<()> {
        let (mut send, mut recv) = connection.open_bi().await?;
        write_frame(&mut send, &self.hello(connection, b"client")?).await?;
        let hello: Hello = read_frame(&mut recv).await?;
        self.verify(connection, &hello, b"server")?;
        anyhow::ensure!(
            hello.node == *to,
            "the address belongs to node {}",
            hello.node
        );
        Ok(())
    }

    fn hello(&self, connection: &Connection, role: &[u8]) -> anyhow::Result<Hello> {
        let Identity {
            node, incarnation, ..
        } = &self.identity;
        let proof = self.proof(connection, role, node, *incarnation)?;
        Ok(Hello {
            node: node.clone(),
            incarnation: *incarnation,
            proof,
        })
    }

    fn verify(&self, connection: &Connection, hello: &Hello, role: &[u8]) -> anyhow::Result<()> {
        let expected = self.proof(connection, role, &hello.node, hello.incarnation)?;
        // blake3::Hash compares in constant time.
        let valid = blake3::Hash::from_bytes(expected) == blake3::Hash::from_bytes(hello.proof);
        anyhow::ensure!(
            valid,
            "node {} does not have this fleet's key; set fleet_key",
            hello.node
        );
        Ok(())
    }

    /// Computes a MAC that binds the fleet key to this TLS session, so that a man in the middle cannot relay the proof.
    fn proof(
        &self,
        connection: &Connection,
        role: &[u8],
        node: &NodeId,
        incarnation: Incarnation,
    ) -> anyhow::Result<[u8; PROOF_BYTES]> {
        let mut keying_material = [0; PROOF_BYTES];
        connection
            .export_keying_material(&mut keying_material, b"cranberrychute hello", role)
            .map_err(|error| anyhow::anyhow!("export keying material: {error:?}"))?;
        let mut mac = self.identity.key.hasher();
        mac.update(&keying_material)
            .update(role)
            .update(node.as_str().as_bytes());
        Ok(*mac
            .update(&incarnation.0.to_le_bytes())
            .finalize()
            .as_bytes())
    }

    async fn serve_connection<H: PeerHandler>(
        &self,
        incoming: Incoming,
        handler: Arc<H>,
    ) -> anyhow::Result<()> {
        let connection = incoming.await?;
        let node = timeout(CONNECT_TIMEOUT, self.authenticate_client(&connection)).await??;
        loop {
            let (send, recv) = tokio::select! {
                stream = connection.accept_bi() => stream?,
                () = self.intake_end.cancelled() => return Ok(()),
            };
            let (handler, node) = (handler.clone(), node.clone());
            self.requests.spawn(async move {
                if let Err(error) = serve_stream(send, recv, node.clone(), handler).await {
                    log::debug!(peer = node.as_str(); "stream from a peer ended: {error:#}");
                }
            });
        }
    }

    async fn authenticate_client(&self, connection: &Connection) -> anyhow::Result<NodeId> {
        let (mut send, mut recv) = connection.accept_bi().await?;
        let hello: Hello = read_frame(&mut recv).await?;
        if let Err(error) = self.verify(connection, &hello, b"client") {
            metrics::counter!("cranberrychute_peer_rejected_total").increment(1);
            connection.close(VarInt::from_u32(1), b"wrong fleet key");
            return Err(error);
        }
        write_frame(&mut send, &self.hello(connection, b"server")?).await?;
        Ok(hello.node)
    }
}

async fn serve_stream<H: PeerHandler>(
    mut send: SendStream,
    mut recv: RecvStream,
    node: NodeId,
    handler: Arc<H>,
) -> anyhow::Result<()> {
    match read_frame(&mut recv).await? {
        Request::Batch(batch) => serve_batch(&mut send, recv, node, batch, handler).await?,
        Request::Once(request) => {
            let reply = handler.once(node, request).await;
            write_frame(&mut send, &reply).await?;
        }
        Request::Relay(message) => {
            handler.relay(node, message).await;
            write_frame(&mut send, &()).await?;
        }
        Request::Fetch(versions) => write_frame(&mut send, &handler.fetch(versions)).await?,
    }
    // Closing the connection discards what the peer has not acknowledged.
    send.finish()?;
    send.stopped().await?;
    Ok(())
}

async fn serve_batch<H: PeerHandler>(
    send: &mut SendStream,
    mut recv: RecvStream,
    node: NodeId,
    batch: LeafBatch,
    handler: Arc<H>,
) -> anyhow::Result<()> {
    let calls = batch.calls.len();
    let (replies, mut outgoing) = mpsc::channel(calls.max(1));
    let (cancel, cancels) = mpsc::channel(calls.max(1));
    let run = handler.batch(node, batch, replies, cancels);
    let write = async {
        while let Some(reply) = outgoing.recv().await {
            write_frame(send, &reply).await?;
        }
        anyhow::Ok(())
    };
    let read = async {
        while let Ok(index) = read_frame::<u32>(&mut recv).await {
            let _ = cancel.send(index).await;
        }
        // The node that sent the batch disconnected or cancelled it: dropping `run` cancels the calls.
        anyhow::Ok(())
    };
    let work = async {
        let ((), written) = tokio::join!(run, write);
        written
    };
    tokio::select! {
        result = work => result,
        result = read => result,
    }
}

async fn write_frame<T: Serialize>(send: &mut SendStream, value: &T) -> anyhow::Result<()> {
    let mut frame = vec![0; 4];
    frame = postcard::to_extend(value, frame)?;
    let length = frame.len() - 4;
    anyhow::ensure!(
        length <= MAX_FRAME_BYTES,
        "frame of {length} bytes exceeds the limit"
    );
    frame[..4].copy_from_slice(&u32::try_from(length)?.to_le_bytes());
    send.write_all(&frame).await?;
    Ok(())
}

async fn read_frame<T: DeserializeOwned>(recv: &mut RecvStream) -> anyhow::Result<T> {
    let mut length = [0; 4];
    recv.read_exact(&mut length).await?;
    let length = u32::from_le_bytes(length) as usize;
    anyhow::ensure!(
        length <= MAX_FRAME_BYTES,
        "frame of {length} bytes exceeds the limit"
    );
    let mut frame = vec![0; length];
    recv.read_exact(&mut frame).await?;
    Ok(postcard::from_bytes(&frame)?)
}
