use std::{fs, io, net::SocketAddr, path::Path, sync::Arc};

use log::LevelFilter;
use serde_json::Value;
use url::Url;

use crate::core::{
    Domain, FleetKey, NodeId,
    config::{
        Fault,
        parse::{parse_address, parse_toml, read_address, read_name},
        table::{Faults, TableReader, describe},
    },
};

/// Maximum number of seeds and of base URLs.
const MAX_LIST_LENGTH: usize = 64;

/// The settings of a node, read from its TOML file.
///
/// The keys of the file are the field names, except that the keys of the three addresses end with `_address`.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the VM, as in the platform's VM list.
    pub id: NodeId,
    /// Failure domain of the VM.
    pub failure_domain: Domain,
    /// `caller_address`: address of the HTTP interface for callers and operators.
    pub caller: SocketAddr,
    /// `peer_address`: address of the QUIC endpoint for other nodes.
    pub peer: SocketAddr,
    /// `control_address`: UDP address for control messages between nodes.
    pub control: SocketAddr,
    /// Base URLs of the configuration service, tried in turn.
    pub platform: Vec<Url>,
    /// Key shared by all nodes, 64 hexadecimal digits. Authenticates control messages and idempotency keys.
    pub fleet_key: FleetKey,
    /// Control addresses of nodes from which the configuration is requested at the start. Default: none.
    pub seeds: Vec<SocketAddr>,
    /// Table `[limits]`.
    pub limits: Limits,
    /// Table `[log]`.
    pub log: LogSettings,
}

/// Limits of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Partitions per failure domain, the same on all nodes. Default: 8.
    pub partitions: u16,
    /// Voters per partition, the same on all nodes. Default: 9.
    pub voters: u16,
    /// Maximum number of queries in progress. Default: 4,096.
    pub queries: u32,
    /// Maximum number of connections from callers. Default: 8,192.
    pub connections: u32,
    /// Maximum size of a request body, in bytes. Default: 65,536.
    pub body_bytes: u32,
    /// Maximum number of idempotency keys held at the same time. Default: 65,536.
    pub keys: u32,
    /// Lifetime of an address answer, in milliseconds. Default: 30,000.
    pub address_lifetime_ms: u32,
    /// Maximum time in milliseconds for which a leaving node waits for its address answers and keys to expire.
    /// Default: 60,000.
    pub drain_ms: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            partitions: 8,
            voters: 9,
            queries: 4_096,
            connections: 8_192,
            body_bytes: 65_536,
            keys: 65_536,
            address_lifetime_ms: 30_000,
            drain_ms: 60_000,
        }
    }
}

/// Level and format of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// `off`, `error`, `warn`, `info`, `debug` or `trace`. Default: `info`.
    pub level: LevelFilter,
    /// `text` or `json`. Default: `text`.
    pub format: LogFormat,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LevelFilter::Info,
            format: LogFormat::Text,
        }
    }
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    Text,
    Json,
}

/// Errors that occur when settings are loaded.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("read settings {path}: {source}")]
    Unreadable { path: Arc<str>, source: io::Error },
    #[error("settings {path}: {}", join_faults(faults))]
    Faults { path: Arc<str>, faults: Vec<Fault> },
}

fn join_faults(faults: &[Fault]) -> String {
    let faults: Vec<_> = faults.iter().map(Fault::to_string).collect();
    faults.join("\n  ")
}

impl Settings {
    /// Parses settings.
    ///
    /// # Errors
    ///
    /// Returns all faults, each with its key and the allowed values.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let mut faults = Faults::default();
        let settings = parse_toml(text, &mut faults, |t| {
            let settings = Self {
                id: read_name(t, "id"),
                failure_domain: read_name(t, "failure_domain"),
                caller: read_address(t, "caller_address"),
                peer: read_address(t, "peer_address"),
                control: read_address(t, "control_address"),
                platform: read_urls(t),
                fleet_key: read_key(t),
                seeds: read_seeds(t),
                limits: t.table("limits", read_limits).unwrap_or_default(),
                log: t.table("log", read_log).unwrap_or_default(),
            };
            // Both use UDP. The caller address uses TCP and may have the same port as either of them.
            if settings.peer == settings.control && settings.peer.port() != 0 {
                let reason = format!("is {}, the same as peer_address", settings.control);
                t.fault(
                    "control_address",
                    reason,
                    "an address other than peer_address",
                );
            }
            settings
        });
        faults.into_result(settings)?.ok_or_else(Vec::new)
    }

    /// Reads and parses the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or has faults.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let name: Arc<str> = path.display().to_string().into();
        let text = fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
            path: name.clone(),
            source,
        })?;
        Self::parse(&text).map_err(|faults| SettingsError::Faults { path: name, faults })
    }
}

fn read_urls(t: &mut TableReader<'_>) -> Vec<Url> {
    let content = "base URLs, such as http://10.0.0.2:7000";
    let urls = t.list(
        "platform",
        true,
        MAX_LIST_LENGTH,
        content,
        |path, value, faults| {
            let url = value.as_str().and_then(|text| Url::parse(text).ok());
            let url = url.filter(|url| url.scheme() == "http" && url.has_host());
            if url.is_none() {
                faults.add(path, describe(value), "URL that starts with http://");
            }
            url
        },
    );
    if t.raw("platform")
        .and_then(Value::as_array)
        .is_some_and(Vec::is_empty)
    {
        t.fault("platform", "is empty", "at least one base URL");
    }
    urls
}

fn read_key(t: &mut TableReader<'_>) -> FleetKey {
    let mut bytes = [0; 32];
    let allowed = "64 hexadecimal digits, as `cranberrychute key` prints them";
    let digits = t.raw("fleet_key");
    let decoded = digits
        .and_then(Value::as_str)
        .map(|text| hex::decode_to_slice(text, &mut bytes));
    // The reason does not quote the value, because a mistyped key is still a secret.
    match (digits, decoded) {
        (None, _) => t.fault("fleet_key", "missing", allowed),
        (_, Some(Ok(()))) => {}
        _ => t.fault("fleet_key", "is not a key", allowed),
    }
    FleetKey::new(bytes)
}

fn read_seeds(t: &mut TableReader<'_>) -> Vec<SocketAddr> {
    t.list(
        "seeds",
        false,
        MAX_LIST_LENGTH,
        "control addresses",
        |path, value, faults| {
            let seed = value.as_str().and_then(parse_address);
            if seed.is_none() {
                faults.add(path, describe(value), "ip:port, such as 10.0.0.7:7300");
            }
            seed
        },
    )
}

fn read_limits(t: &mut TableReader<'_>) -> Limits {
    let default = Limits::default();
    let unit = "milliseconds";
    let lifetime = default.address_lifetime_ms;
    Limits {
        partitions: t.integer(
            "partitions",
            Some(default.partitions),
            1..=4_096,
            "partitions",
        ),
        voters: t.integer("voters", Some(default.voters), 1..=15, "voters"),
        queries: t.integer("queries", Some(default.queries), 1..=1_000_000, "queries"),
        connections: t.integer(
            "connections",
            Some(default.connections),
            1..=1_000_000,
            "connections",
        ),
        body_bytes: t.integer(
            "body_bytes",
            Some(default.body_bytes),
            1_024..=1 << 20,
            "bytes",
        ),
        keys: t.integer("keys", Some(default.keys), 1..=1_000_000, "keys"),
        address_lifetime_ms: t.integer("address_lifetime_ms", Some(lifetime), 100..=600_000, unit),
        drain_ms: t.integer("drain_ms", Some(default.drain_ms), 100..=600_000, unit),
    }
}

fn read_log(t: &mut TableReader<'_>) -> LogSettings {
    let default = LogSettings::default();
    let levels = "\"off\", \"error\", \"warn\", \"info\", \"debug\" or \"trace\"";
    let level = t.optional("level", levels, |value| value.as_str()?.parse().ok());
    let format = t.optional("format", "\"text\" or \"json\"", |value| {
        match value.as_str()? {
            "text" => Some(LogFormat::Text),
            "json" => Some(LogFormat::Json),
            _ => None,
        }
    });
    LogSettings {
        level: level.unwrap_or(default.level),
        format: format.unwrap_or(default.format),
    }
}
