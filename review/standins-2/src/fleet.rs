//! Gateway processes, started as the deploy file says, each on a loopback address of its own.

use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::http::call;

/// The run command of the deploy file.
const PROGRAM: &str = "target/release/cranberrychute";
const ROLE: &str = "gateway";
const METRICS_PORT: u16 = 9_464;
const ZONES: [&str; 4] = ["trnava", "nitra", "senica", "piestany"];

/// Ids of the processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started and this one, if a play takes longer than `limit`.
pub fn limit_time(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        eprintln!("the play took longer than {limit:?}");
        for id in RUNNING.lock().expect("no thread panics").iter() {
            let _ = Command::new("bash")
                .arg("-c")
                .arg(format!("kill -9 {id}"))
                .status();
        }
        std::process::exit(2);
    });
}

/// The ports of all machines.
#[derive(Clone, Copy, Debug)]
struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    directory: u16,
    internal: u16,
}

/// The machines of a small installation.
pub struct Fleet {
    folder: PathBuf,
    network: [u8; 2],
    ports: Ports,
    stores: Vec<SocketAddr>,
    processes: Vec<Option<Child>>,
}

impl Fleet {
    /// Reserves addresses for `count` machines, without starting their processes.
    pub fn new(count: usize) -> Result<Self, String> {
        if !PathBuf::from(PROGRAM).is_file() {
            return Err(format!(
                "{PROGRAM} is missing: run the build of the deploy file"
            ));
        }
        let clock = SystemTime::now().duration_since(UNIX_EPOCH);
        let seed = clock.map_or(0, |clock| clock.as_nanos() as u64) ^ u64::from(std::process::id());
        let folder = std::env::temp_dir().join(format!("review-2-{}-{seed:x}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| format!("temporary folder: {error}"))?;
        for attempt in 0..200_u64 {
            let mixed = (seed + attempt).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let network = [64 + (mixed >> 24 & 127) as u8, (mixed >> 40 & 255) as u8];
            let base = 12_000 + (mixed >> 48 & 8_191) as u16;
            let ports = Ports {
                front: base,
                ready: base + 1,
                control: base + 2,
                directory: base + 3,
                internal: base + 10,
            };
            let store_port = base + 30;
            let fleet = Self {
                folder: folder.clone(),
                network,
                ports,
                stores: (0..count)
                    .map(|node| address(network, node, store_port))
                    .collect(),
                processes: (0..count).map(|_| None).collect(),
            };
            if fleet.is_free() {
                return Ok(fleet);
            }
        }
        Err("no free ports".to_owned())
    }

    fn is_free(&self) -> bool {
        let Ports {
            front,
            ready,
            control,
            directory,
            internal,
        } = self.ports;
        (0..self.processes.len()).all(|node| {
            let tcp = [front, ready, control, directory, internal, METRICS_PORT];
            let is_bound = |port: &u16| TcpListener::bind(self.address(node, *port)).is_ok();
            tcp.iter().all(is_bound)
                && TcpListener::bind(self.stores[node]).is_ok()
                && UdpSocket::bind(self.address(node, internal)).is_ok()
                && UdpSocket::bind(self.address(node, internal + 1)).is_ok()
        })
    }

    fn address(&self, node: usize, port: u16) -> SocketAddr {
        address(self.network, node, port)
    }

    /// Returns the addresses at which the store serves each machine.
    pub fn stores(&self) -> &[SocketAddr] {
        &self.stores
    }

    pub fn len(&self) -> usize {
        self.processes.len()
    }

    pub fn front(&self, node: usize) -> SocketAddr {
        self.address(node, self.ports.front)
    }

    pub fn directory(&self, node: usize) -> SocketAddr {
        self.address(node, self.ports.directory)
    }

    /// Returns the machine with this address for callers.
    pub fn node_at(&self, front: SocketAddr) -> Option<usize> {
        (0..self.len()).find(|node| self.front(*node) == front)
    }

    /// Starts the process of a machine.
    pub fn start(&mut self, node: usize) -> Result<(), String> {
        let settings = self.folder.join(format!("node-{node}.toml"));
        let failed = |error: std::io::Error| format!("start of node {node}: {error}");
        fs::write(&settings, self.settings(node)).map_err(failed)?;
        let log = self.folder.join(format!("node-{node}.log"));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .map_err(failed)?;
        let child = Command::new(PROGRAM)
            .arg(ROLE)
            .env("CRANBERRYCHUTE_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().map_err(failed)?)
            .stdout(log)
            .spawn()
            .map_err(failed)?;
        RUNNING.lock().expect("no thread panics").push(child.id());
        self.processes[node] = Some(child);
        Ok(())
    }

    /// Starts the processes of all machines.
    pub fn start_all(&mut self) -> Result<(), String> {
        (0..self.len()).try_for_each(|node| self.start(node))
    }

    /// Kills the process of a machine with SIGKILL.
    pub fn kill(&mut self, node: usize) {
        if let Some(mut child) = self.processes[node].take() {
            let _ = child.kill();
            let _ = child.wait();
            RUNNING
                .lock()
                .expect("no thread panics")
                .retain(|id| *id != child.id());
        }
    }

    /// Returns whether the process of a machine has ended by itself.
    pub fn has_ended(&mut self, node: usize) -> bool {
        let process = self.processes[node].as_mut();
        process.is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    pub fn is_ready(&self, node: usize) -> bool {
        let ready = self.address(node, self.ports.ready);
        let request =
            format!("GET /-/ready HTTP/1.1\r\nHost: {ready}\r\nConnection: close\r\n\r\n");
        let answer = call(ready, &request, Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until all machines are ready.
    pub fn wait_ready(&self, time: Duration) -> Result<(), String> {
        let end = Instant::now() + time;
        while !(0..self.len()).all(|node| self.is_ready(node)) {
            if Instant::now() > end {
                return Err(format!("not all nodes were ready within {time:?}"));
            }
            thread::sleep(Duration::from_millis(100));
        }
        Ok(())
    }

    /// Returns the lines of a machine's log that contain `text`.
    pub fn log_lines(&self, node: usize, text: &str) -> Vec<String> {
        let log = fs::read_to_string(self.folder.join(format!("node-{node}.log")));
        let log = log.unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }

    fn settings(&self, node: usize) -> String {
        let Ports {
            front,
            ready,
            control,
            directory,
            internal,
        } = self.ports;
        let at = |port| self.address(node, port);
        let seeds =
            (0..self.len().min(3)).map(|node| format!("\"{}\"", self.address(node, control)));
        let seeds: Vec<String> = seeds.collect();
        let zones: Vec<String> = ZONES
            .iter()
            .map(|zone| format!("{zone} = \"zapad\""))
            .collect();
        format!(
            r#"node = "frontend-{node}"
role = "gateway"
machine_class = "frontend"
serves = ["frontend","control_plane","directory"]
ip = "{}"
zone = "{}"
region = "zapad"
internal_ports = [{internal},{}]
seeds = [{}]
bootstrap = true
failure_counted = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","places","platform"]
[zones]
{}
[listen]
front = "{}"
ready = "{}"
control = "{}"
directory = "{}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed_staleness_s = 3
addr_reuse_s = 2
stable_window_ms = 4000
ack_ms = 5000
catch_up_s = 4
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
rollback_slack_ms = 250
max_skew_ms = 12000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_slack = 56
warmup_overshoot = 1.5
warmup_slack = 5
evacuate_ms = 5000
recovery_s = 12
ttl_max_s = 5
[platform]
address = "{}"
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"#,
            at(front).ip(),
            ZONES[node % ZONES.len()],
            internal + 15,
            seeds.join(","),
            zones.join("\n"),
            at(front),
            at(ready),
            at(control),
            at(directory),
            self.stores[node],
        )
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in 0..self.len() {
            self.kill(node);
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn address([a, b]: [u8; 2], node: usize, port: u16) -> SocketAddr {
    let ip = Ipv4Addr::new(127, a, b, 1 + node as u8);
    SocketAddr::new(IpAddr::V4(ip), port)
}
