//! What leaf calls, connections and control messages cost, as slopes.
//!
//! `cargo bench --bench cost` runs everything, `cargo bench --bench cost -- upstream peer` only parts.
//! `docs/CAPACITY.md` works with the figures. CPU is process or thread CPU time, so other work on the machine
//! disturbs them less than wall time. The bench prints its tables and writes them under `target/cost/`.

mod child;
mod control;
mod data;
mod measure;

use std::{env, process::Command, time::Instant};

const PARTS: [&str; 10] = [
    "plan",
    "upstream",
    "leaf-memory",
    "peer",
    "peer-connections",
    "datagram",
    "membership",
    "lease",
    "relay",
    "core-memory",
];

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    if let Some((flag, rest)) = arguments.split_first()
        && flag == child::FLAG
    {
        return child::run(rest);
    }
    let chosen = PARTS
        .into_iter()
        .filter(|part| arguments.iter().any(|a| a == part));
    let chosen: Vec<&str> = chosen.collect();
    if let [part] = chosen[..] {
        return run(part);
    }
    println!(
        "seed {}, {} cores",
        data::SEED,
        std::thread::available_parallelism().map_or(0, usize::from)
    );
    // Memory that one part freed would hide what the next one takes, so each has its own process.
    let parts = if chosen.is_empty() {
        PARTS.to_vec()
    } else {
        chosen
    };
    for part in parts {
        let start = Instant::now();
        let program = env::current_exe().expect("own path");
        let status = Command::new(program).arg(part).status();
        assert!(status.is_ok_and(|status| status.success()), "{part} failed");
        println!("({part}: {:.1} s)", start.elapsed().as_secs_f64());
    }
}

fn run(part: &str) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .expect("runtime");
    match part {
        "plan" => data::plan(),
        "upstream" => runtime.block_on(data::upstream()),
        "leaf-memory" => runtime.block_on(data::leaf_memory()),
        "peer" => runtime.block_on(data::peer()),
        "peer-connections" => runtime.block_on(data::peer_connections()),
        "datagram" => runtime.block_on(control::datagram()),
        "membership" => control::membership(),
        "lease" => control::lease(),
        "relay" => control::relay(),
        _ => control::memory(),
    }
}
