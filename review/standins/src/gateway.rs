//! Gateway processes, started with the command of the deploy file.

use std::{
    fs,
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::http::Connection;

const CALLERS_PORT: u16 = 8_226;
const READY_PORT: u16 = 8_227;
const CONTROL_PORT: u16 = 8_224;
const DIRECTORY_PORT: u16 = 8_225;
/// Ports that a process listens on; the last one is that of its metrics.
const PORTS: [u16; 6] = [
    CALLERS_PORT,
    READY_PORT,
    CONTROL_PORT,
    DIRECTORY_PORT,
    7_740,
    9_464,
];

pub struct Gateway {
    child: Child,
    pub ip: Ipv4Addr,
}

/// Returns loopback addresses on which the ports of a gateway are free.
pub fn free_addresses(count: usize) -> Vec<Ipv4Addr> {
    let process = std::process::id();
    let candidates = (0..200_u32).map(|index| {
        let [_, _, high, low] = (process.wrapping_mul(7) + index * 257).to_be_bytes();
        Ipv4Addr::new(127, 20 + (index % 200) as u8, high, 1 + low % 250)
    });
    let free = candidates.filter(|ip| {
        PORTS
            .iter()
            .all(|port| TcpListener::bind((*ip, *port)).is_ok())
    });
    free.take(count).collect()
}

impl Gateway {
    /// Starts a process in the root of the repository.
    pub fn start(folder: &Path, index: usize, ips: &[Ipv4Addr], store: SocketAddr) -> Self {
        let (ip, zone) = (ips[index], ["a", "b"][index % 2]);
        let name = format!("frontend-{zone}-{index}");
        let seeds: Vec<String> = ips
            .iter()
            .take(3)
            .map(|ip| format!("\"{ip}:{CONTROL_PORT}\""))
            .collect();
        let text = format!(
            r#"node = "{name}"
role = "gateway"
machine_class = "frontend"
serves = ["frontend","control_plane","directory"]
ip = "{ip}"
zone = "{zone}"
region = "r"
internal_ports = [7740,7755]
seeds = [{}]
bootstrap = true
failure_counted = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
[zones]
a = "r"
b = "r"
[listen]
front = "{ip}:{CALLERS_PORT}"
ready = "{ip}:{READY_PORT}"
control = "{ip}:{CONTROL_PORT}"
directory = "{ip}:{DIRECTORY_PORT}"
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
address = "{store}"
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"#,
            seeds.join(", ")
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("write the settings");
        let log = fs::File::create(folder.join(format!("{name}.log"))).expect("create the log");
        let child = Command::new(binary())
            .arg("gateway")
            .env("CRANBERRYCHUTE_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("share the log"))
            .stderr(log)
            .spawn()
            .expect("start a gateway");
        note_process(child.id());
        Self { child, ip }
    }

    pub fn callers(&self) -> SocketAddr {
        (self.ip, CALLERS_PORT).into()
    }

    pub fn directory(&self) -> SocketAddr {
        (self.ip, DIRECTORY_PORT).into()
    }

    /// Waits until the readiness check passes. Returns false if it does not within `limit`.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            let ready = || {
                let mut connection = Connection::open((self.ip, READY_PORT).into())?;
                connection.send(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n")?;
                connection.read()
            };
            if ready()
                .ok()
                .flatten()
                .is_some_and(|reply| reply.status() == 200)
            {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Sends a signal, for example `TERM`.
    pub fn signal(&self, name: &str) {
        // The shell has `kill` built in.
        let command = format!("kill -s {name} {}", self.child.id());
        let _ = Command::new("sh").args(["-c", &command]).status();
    }

    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Adds a process to the file that the script names, which ends what is left of them.
fn note_process(id: u32) {
    if let Some(path) = std::env::var_os("PROCESSES") {
        let file = fs::OpenOptions::new().create(true).append(true).open(path);
        let _ = file.and_then(|mut file| writeln!(file, "{id}"));
    }
}

fn binary() -> PathBuf {
    PathBuf::from("target/release/cranberrychute")
}
