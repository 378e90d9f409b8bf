use std::{net::SocketAddr, path::Path, sync::Arc};

use url::Url;

use crate::core::{Domain, NodeId, config::Fault};

/// The settings of one node, from its TOML file.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the VM, as in the platform's VM list.
    pub id: NodeId,
    /// Failure domain of the VM.
    pub failure_domain: Domain,
    /// Address of the HTTP interface for callers and operators.
    pub caller: SocketAddr,
    /// Address of the QUIC endpoint for other nodes.
    pub peer: SocketAddr,
    /// Address of the UDP control messages between nodes.
    pub control: SocketAddr,
    /// Base URLs of the configuration service, tried in turn.
    pub platform: Vec<Url>,
    /// Key shared by all nodes, from 64 hex digits. It authenticates control messages and request keys.
    pub fleet_key: FleetKey,
    /// Control addresses of nodes to ask at the start. Default: none.
    pub seeds: Vec<SocketAddr>,
    pub limits: Limits,
    pub log: LogSettings,
}

/// The secret that all nodes share. Its debug output hides the bytes.
#[derive(Clone, PartialEq, Eq)]
pub struct FleetKey(pub [u8; 32]);

impl std::fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FleetKey(hidden)")
    }
}

/// Bounds of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Partitions per failure domain, the same on all nodes. Default: 8.
    pub partitions: u16,
    /// Voters per partition. Default: 9.
    pub voters: u16,
    /// Queries in progress. Default: 4,096.
    pub queries: u32,
    /// Connections from callers. Default: 8,192.
    pub connections: u32,
    /// Longest request body, bytes. Default: 65,536.
    pub body_bytes: u32,
    /// Idempotency keys held at the same time. Default: 65,536.
    pub keys: u32,
    /// Time allowed for a graceful shutdown, milliseconds. Default: 60,000.
    pub drain_ms: u32,
}

/// What is logged, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Default: `info`.
    pub level: log::LevelFilter,
    /// Default: `text`.
    pub format: LogFormat,
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    Text,
    Json,
}

/// Why settings could not be loaded.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("read settings {path}: {source}")]
    Unreadable {
        path: Arc<str>,
        source: std::io::Error,
    },
    #[error("settings {path} have {} faults", faults.len())]
    Faults { path: Arc<str>, faults: Vec<Fault> },
}

impl Settings {
    /// Parses settings.
    ///
    /// # Errors
    ///
    /// Returns every fault with its key and what is allowed.
    pub fn parse(_text: &str) -> Result<Self, Vec<Fault>> {
        Err(Vec::new())
    }

    /// Reads and parses the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or has faults.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let name: Arc<str> = path.display().to_string().into();
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
            path: name.clone(),
            source,
        })?;
        Self::parse(&text).map_err(|faults| SettingsError::Faults { path: name, faults })
    }
}
