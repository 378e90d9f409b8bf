//! Measures the CPU, memory and bytes per leaf call, connection and control message.
//!
//! `cargo bench --bench cost` runs all benchmarks, `cargo bench --bench cost -- upstream peer` only those named.
//! `docs/CAPACITY.md` uses the figures, which are mostly slopes of fitted lines. CPU is process or thread CPU time,
//! which other load on the machine affects less than wall time. Tables are printed and written to `target/cost/`.

mod child;
mod control;
mod data;
mod measure;

use std::{env, process::Command, time::Instant};

const BENCHMARKS: [&str; 10] = [
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
        && flag == child::CHILD_FLAG
    {
        return child::run(rest);
    }
    let selected = BENCHMARKS
        .into_iter()
        .filter(|name| arguments.iter().any(|a| a == name));
    let selected: Vec<&str> = selected.collect();
    if let [name] = selected[..] {
        return run(name);
    }
    println!(
        "seed {}, {} cores",
        data::SEED,
        std::thread::available_parallelism().map_or(0, usize::from)
    );
    // Each benchmark runs in its own process: one that reuses memory freed by an earlier one would appear to
    // allocate less.
    let benchmarks = if selected.is_empty() {
        BENCHMARKS.to_vec()
    } else {
        selected
    };
    for name in benchmarks {
        let start = Instant::now();
        let program = env::current_exe().expect("path of the bench executable");
        let status = Command::new(program).arg(name).status();
        assert!(
            status.is_ok_and(|status| status.success()),
            "benchmark {name} failed"
        );
        println!("({name}: {:.1} s)", start.elapsed().as_secs_f64());
    }
}

fn run(name: &str) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .expect("Tokio runtime starts");
    match name {
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
