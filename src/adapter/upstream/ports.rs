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

/// What a [`crate::adapter::upstream::LeafPool`] needs from the node around it.
///
/// All methods but `connect` are called with a lock of the pool held: they must be quick and not call back into
/// the pool.
pub trait Ports: Send + Sync + 'static {
    /// A byte stream to a leaf.
    type Io: AsyncRead + AsyncWrite + Send + Unpin + 'static;

    /// Returns the present time.
    fn now(&self) -> Time;

    /// Returns the end of the lease of a partition, nothing unless this node holds it right now.
    fn lease_end(&self, partition: &PartitionId) -> Option<Time>;

    /// Returns the node that probably holds the lease of a partition.
    fn holder(&self, partition: &PartitionId) -> Option<NodeId>;

    /// Returns what this node knows about a query.
    fn verdict(&self, print: Fingerprint) -> Verdict;

    /// Records that a query which was sent with `alone` ran without harm.
    fn record_safe_run(&self, print: Fingerprint);

    /// Records a crash, to be passed on to other nodes too.
    fn record_crash(&self, event: CrashEvent);

    /// Opens a byte stream to a leaf.
    fn connect(&self, leaf: &LeafId) -> impl Future<Output = io::Result<Self::Io>> + Send;
}

/// Opens a TCP connection to a leaf. Closing it discards bytes that are not sent yet, so that a call on a silent
/// connection cannot reach the leaf after it was given up.
///
/// # Errors
///
/// The address is not `ip:port`, or the connection cannot be opened.
pub async fn connect_tcp(leaf: &LeafId) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(leaf.as_str()).await?;
    stream.set_nodelay(true)?;
    stream.set_zero_linger()?;
    Ok(stream)
}

/// Limits of a [`crate::adapter::upstream::LeafPool`]; tests shorten them.
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// Partitions per failure domain.
    pub partitions: u16,
    /// Shortest time without progress after which a connection is silent.
    pub min_silence_timeout: Duration,
    /// Longest time from connecting until the first byte of the leaf.
    pub connect_timeout: Duration,
    /// Time after a failed connect during which calls are refused without another attempt.
    pub connect_retry_delay: Duration,
    /// An at-most-once call needs a connection that answered within this time.
    pub max_contact_age: Duration,
    /// Longest answer; a longer one is cut.
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
