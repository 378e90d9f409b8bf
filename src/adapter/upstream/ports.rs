use std::{future::Future, io, time::Duration};

use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};

use crate::core::{
    LeafId, NodeId, PartitionId, Time,
    crash::{CrashEvent, Fingerprint, Verdict},
    leaf::LeafSettings,
};

/// The operations of the node that a [`crate::adapter::upstream::LeafPool`] uses.
///
/// All methods except `connect` may be called with a lock of the pool held: they must return quickly and must not call
/// back into the pool.
pub trait Ports: Send + Sync + 'static {
    /// A byte stream to a leaf.
    type Io: AsyncRead + AsyncWrite + Send + Unpin + 'static;

    /// Returns the current time.
    fn now(&self) -> Time;

    /// Returns the end of the lease of a partition, `None` unless this node currently holds it.
    fn lease_end(&self, partition: &PartitionId) -> Option<Time>;

    /// Returns the node that probably holds the lease of a partition.
    fn holder(&self, partition: &PartitionId) -> Option<NodeId>;

    /// Returns this node's crash verdict on a query.
    fn verdict(&self, fingerprint: Fingerprint) -> Verdict;

    /// Records that a query sent with `alone` ran without a crash.
    fn record_safe_run(&self, fingerprint: Fingerprint);

    /// Records a crash, which is also reported to other nodes.
    fn record_crash(&self, event: CrashEvent);

    /// Opens a byte stream to a leaf.
    fn connect(&self, leaf: &LeafId) -> impl Future<Output = io::Result<Self::Io>> + Send;
}

/// Opens a TCP connection to a leaf. Closing it discards unsent bytes, so that a call on a silent connection cannot
/// reach the leaf after it was abandoned.
///
/// # Errors
///
/// Fails if the id of the leaf is not `ip:port` or the connection cannot be opened.
pub async fn connect_tcp(leaf: &LeafId) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(leaf.as_str()).await?;
    stream.set_nodelay(true)?;
    stream.set_zero_linger()?;
    Ok(stream)
}

/// Settings of a [`crate::adapter::upstream::LeafPool`]; tests use lower values.
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// Partitions per failure domain.
    pub partitions: u16,
    /// Minimum time without received bytes after which a connection with an outstanding answer or pong counts as
    /// silent. The time used is at least four times the median service time of the leaf.
    pub min_silence_timeout: Duration,
    /// Timeout for opening a connection, until its first pong.
    pub connect_timeout: Duration,
    /// Time after a failed connection attempt during which calls are rejected without another attempt.
    pub connect_retry_delay: Duration,
    /// Maximum time since bytes last arrived on a connection that an at-most-once call is sent on.
    pub max_contact_age: Duration,
    /// Maximum size of an answer, bytes; the stream of a longer one is reset.
    pub max_answer_bytes: usize,
    pub leaf: LeafSettings,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            partitions: 8,
            min_silence_timeout: Duration::from_millis(250),
            connect_timeout: Duration::from_millis(500),
            connect_retry_delay: Duration::from_millis(100),
            max_contact_age: Duration::from_secs(1),
            max_answer_bytes: 4 << 20,
            leaf: LeafSettings::default(),
        }
    }
}
