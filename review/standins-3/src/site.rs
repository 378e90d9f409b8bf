//! A small deployment on loopback addresses: the project's store and leaf stand-ins, and gateway processes that are started
//! with the command of the deploy file.

use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use anyhow::{Context, bail};
use cranberrychute_emulator::Store;
use tempfile::TempDir;
use tokio::time::{Instant, sleep};

use crate::client::get;

pub const CALLERS_PORT: u16 = 8_226;
const READY_PORT: u16 = 8_227;
const CONTROL_PORT: u16 = 8_224;
const DIRECTORY_PORT: u16 = 8_225;
const PEER_PORT: u16 = 7_740;
/// The program that the deploy file builds.
const PROGRAM: &str = "target/release/cranberrychute";
/// Number of nodes of each deployment.
const NODES: usize = 3;
/// Time in which nodes become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The figures of a users' deployment that its settings give.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
    pub cpu_share: f64,
    pub memory_mb: u32,
    pub link_mbps: f64,
    pub stable_window_ms: u64,
    pub config_apply_ms: u64,
    pub drain_ms: u64,
    retry_slack: u64,
}

/// The machines of `sites/hpl-search.toml`.
pub const SMALL: Profile = Profile {
    cpu_share: 0.25,
    memory_mb: 260,
    link_mbps: 1_000.0,
    stable_window_ms: 4_000,
    config_apply_ms: 3_000,
    drain_ms: 3_000,
    retry_slack: 58,
};

/// The smaller machines of `grown/hpl-search-grown.toml`.
pub const GROWN: Profile = Profile {
    cpu_share: 0.12,
    memory_mb: 160,
    link_mbps: 20.0,
    stable_window_ms: 5_000,
    config_apply_ms: 5_000,
    drain_ms: 5_000,
    retry_slack: 200,
};

/// The addresses, settings and logs of the nodes.
pub struct Site {
    profile: Profile,
    pub folder: TempDir,
    pub ips: Vec<IpAddr>,
    zones: Vec<&'static str>,
}

impl Site {
    /// Assigns an address of its own to each node, since all nodes use the same ports. `zones` are the zones of the nodes.
    pub fn new(zones: &[&'static str], profile: Profile) -> anyhow::Result<Self> {
        let process = std::process::id();
        let ip = |index: usize| {
            let (high, low) = (16 + (process >> 8) as u8 % 200, process as u8);
            IpAddr::from(Ipv4Addr::new(127, high, low, index as u8 + 1))
        };
        Ok(Self {
            profile,
            folder: TempDir::new()?,
            ips: (0..zones.len()).map(ip).collect(),
            zones: zones.to_vec(),
        })
    }

    /// Writes the settings file of a node, with the fields and figures of the users' example, and returns its path.
    fn write_settings(&self, index: usize, store: SocketAddr) -> anyhow::Result<PathBuf> {
        let (ip, zone) = (self.ips[index], self.zones[index]);
        let Profile {
            cpu_share,
            memory_mb,
            link_mbps,
            stable_window_ms,
            config_apply_ms,
            drain_ms,
            retry_slack,
        } = self.profile;
        let path = self.folder.path().join(format!("node-{index}.toml"));
        let seeds: Vec<String> = self
            .ips
            .iter()
            .take(3)
            .map(|ip| format!("\"{ip}:{CONTROL_PORT}\""))
            .collect();
        let seeds = seeds.join(", ");
        let text = format!(
            r#"node = "frontend-{zone}-{index}"
role = "gateway"
machine_class = "frontend"
serves = ["frontend","control_plane","directory"]
ip = "{ip}"
zone = "{zone}"
region = "north-mill"
internal_ports = [{PEER_PORT},7755]
seeds = [{seeds}]
bootstrap = false
failure_counted = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","places","platform"]
[zones]
dye-yard = "north-mill"
wick-loft = "north-mill"
frame-shed = "north-mill"
paper-hall = "north-mill"
[listen]
front = "{ip}:{CALLERS_PORT}"
ready = "{ip}:{READY_PORT}"
control = "{ip}:{CONTROL_PORT}"
directory = "{ip}:{DIRECTORY_PORT}"
[limits]
cpu_share = {cpu_share}
cores = 1
memory_mb = {memory_mb}
max_fds = 4100
link_mbps = {link_mbps}
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed_staleness_s = 3
addr_reuse_s = 2
stable_window_ms = {stable_window_ms}
ack_ms = 5000
catch_up_s = 4
drain_ms = {drain_ms}
grace_s = 6
loss_slack_ms = 200
config_apply_ms = {config_apply_ms}
rollback_slack_ms = 250
max_skew_ms = 12000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_slack = {retry_slack}
warmup_overshoot = 1.5
warmup_slack = 5
evacuate_ms = 5000
recovery_s = 12
ttl_max_s = 5
[platform]
address = "{store}"
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"#
        );
        fs::write(&path, text)?;
        Ok(path)
    }

    /// Starts the process of a node.
    pub fn start(&self, index: usize, store: SocketAddr) -> anyhow::Result<Node> {
        if !Path::new(PROGRAM).exists() {
            bail!("{PROGRAM} is missing: run the build of the deploy file first");
        }
        let settings = self.write_settings(index, store)?;
        let log = self.folder.path().join(format!("node-{index}.log"));
        let output = File::options().create(true).append(true).open(&log)?;
        let child = Command::new(PROGRAM)
            .arg("gateway")
            .env("CRANBERRYCHUTE_SETTINGS", settings)
            .stdin(Stdio::null())
            .stderr(output.try_clone()?)
            .stdout(output)
            .spawn()
            .context("start a node")?;
        Ok(Node {
            child,
            ip: self.ips[index],
        })
    }

    /// Starts all nodes, each with its address of the store, and waits until they are ready.
    pub async fn start_all(&self, stores: &[SocketAddr]) -> anyhow::Result<Vec<Node>> {
        let nodes: anyhow::Result<Vec<Node>> = (0..self.ips.len())
            .map(|index| self.start(index, stores[index]))
            .collect();
        let nodes = nodes?;
        let end = Instant::now() + START_TIMEOUT;
        for node in &nodes {
            while !node.is_ready().await {
                if Instant::now() >= end {
                    bail!("a node is not ready after {START_TIMEOUT:?}");
                }
                sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(nodes)
    }
}

/// Returns the addresses of a store, one for each node.
pub fn store_addresses(store: &Store) -> Vec<SocketAddr> {
    (0..NODES).map(|node| store.address(node)).collect()
}

/// A gateway process, which is killed when dropped.
pub struct Node {
    child: Child,
    pub ip: IpAddr,
}

impl Node {
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLERS_PORT)
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Asks the node as the platform does, with a limit of one second.
    pub async fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.ip, READY_PORT);
        let answer = get(
            address,
            "/-/ready",
            "ready",
            "",
            None,
            Duration::from_secs(1),
        )
        .await;
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Returns the resident memory of the process, bytes.
    pub fn memory(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kilobytes: u64 = line.trim().trim_end_matches(" kB").parse().ok()?;
        Some(kilobytes * 1024)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
