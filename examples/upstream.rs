//! Hosts emulated leaves in a process of their own.
//!
//! Prints its bound addresses as one JSON line, then serves until it is terminated.

use std::{net::SocketAddr, path::PathBuf, str::FromStr, time::Duration};

use anyhow::Context;
use argh::FromArgs;
use cranberrychute_emulator::{
    Corpus, LeafControl, LeafSpec, SnapshotSpec, Upstream, UpstreamSettings,
};

/// Host emulated leaves that search the records of a file.
#[derive(FromArgs)]
struct Arguments {
    /// file to search, CSV or JSON Lines with id, title and text (default examples/data/parts.csv)
    #[argh(option, default = "PathBuf::from(\"examples/data/parts.csv\")")]
    data: PathBuf,

    /// snapshot, ID:SHARDS; may be repeated
    #[argh(option)]
    snapshot: Vec<SnapshotArgument>,

    /// leaf as JSON: domain, slots, connections, cold_capacity, shards by snapshot, address; may be repeated
    #[argh(option)]
    leaf: Vec<String>,

    /// address of the control endpoint (default 127.0.0.1:0)
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    control: SocketAddr,

    /// mean service time of a call, microseconds (default 1000)
    #[argh(option, default = "1_000")]
    service_us: u64,

    /// delay before a new connection is served, milliseconds (default 0)
    #[argh(option, default = "0")]
    open_ms: u64,

    /// successful calls after which a cold leaf is warm (default 32)
    #[argh(option, default = "32")]
    cold_calls: u32,

    /// factor by which a call takes longer on a cold leaf (default 2)
    #[argh(option, default = "2.0")]
    cold_factor: f64,

    /// time from a crash to the next instance, milliseconds (default 500)
    #[argh(option, default = "500")]
    restart_ms: u64,

    /// exit on a crash instead of restarting the leaf
    #[argh(switch)]
    exit_on_crash: bool,

    /// initial change of behaviour, JSON as for POST /v1/control; may be repeated
    #[argh(option)]
    behaviour: Vec<String>,

    /// seed of all randomness (default 1)
    #[argh(option, default = "1")]
    seed: u64,
}

struct SnapshotArgument(SnapshotSpec);

impl FromStr for SnapshotArgument {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let parts = text.split_once(':').and_then(|(id, shards)| {
            Some(SnapshotSpec::serving(
                id.parse().ok()?,
                shards.parse().ok()?,
            ))
        });
        parts
            .map(Self)
            .ok_or_else(|| format!("{text:?} is not ID:SHARDS"))
    }
}

// A single thread runs tasks in order, so a reset takes effect before a later call on the same connection.
#[tokio::main(flavor = "current_thread")]
async fn main() -> anyhow::Result<()> {
    let arguments: Arguments = argh::from_env();
    let leaves: Vec<LeafSpec> = arguments
        .leaf
        .iter()
        .map(|leaf| serde_json::from_str(leaf).with_context(|| format!("cannot parse leaf {leaf}")))
        .collect::<anyhow::Result<_>>()?;
    let snapshots = arguments
        .snapshot
        .into_iter()
        .map(|snapshot| snapshot.0)
        .collect();
    let settings = UpstreamSettings {
        control: arguments.control,
        seed: arguments.seed,
        service_time: Duration::from_micros(arguments.service_us),
        connect_delay: Duration::from_millis(arguments.open_ms),
        cold_calls: arguments.cold_calls,
        cold_factor: arguments.cold_factor,
        restart_delay: Duration::from_millis(arguments.restart_ms),
        exit_on_crash: arguments.exit_on_crash,
        ..UpstreamSettings::new(snapshots, leaves)
    };
    let upstream = Upstream::start(settings, &Corpus::read(&arguments.data)?).await?;
    for behaviour in &arguments.behaviour {
        let control: LeafControl = serde_json::from_str(behaviour)
            .with_context(|| format!("cannot parse behaviour {behaviour}"))?;
        upstream.control(&control)?;
    }
    let bound = serde_json::json!({
        "control": upstream.control_address(),
        "leaves": upstream.specs(),
    });
    println!("{bound}");
    std::future::pending().await
}
