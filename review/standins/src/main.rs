//! Runs one case: starts the gateways and the stand-ins, sends requests and checks one rule.
//!
//! Exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.

mod case1;
mod case2;
mod case3;
mod gateway;
mod http;
mod leaf;
mod record;
mod store;

use std::{fs, path::PathBuf, process::ExitCode, thread, time::Duration};

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

/// What every case gets.
pub struct Run {
    /// A temporary folder for settings and logs.
    pub folder: PathBuf,
    pub record: record::Record,
    /// Whether the disruption happens.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(record)) = (arguments.next(), arguments.next()) else {
        println!("usage: review-case CASE RECORD");
        return ExitCode::from(2);
    };
    let folder = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("create the temporary folder");
    let run = Run {
        folder: folder.clone(),
        record: record::Record::create(&PathBuf::from(record)),
        trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(115));
        println!("the case took too long");
        std::process::exit(2);
    });
    let verdict = match case.as_str() {
        "1" => case1::run(&run),
        "2" => case2::run(&run),
        "3" => case3::run(&run),
        _ => Verdict::NotRun("no such case".into()),
    };
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&folder);
    }
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::NotRun(reason) => (format!("not run: {reason}"), 2),
    };
    run.record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}

/// Returns a configuration with one route `/order/` to one service.
pub fn config(service: &str, route_type: &str, timeout_ms: u32) -> String {
    format!(
        "{{\"config_version\":7,\"routes\":[{{\"name\":\"order\",\"hostname\":\"{HOST}\",\"prefix\":\"/order/\",\
         \"route_type\":\"{route_type}\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":250,\"priority\":2,\
         \"service\":\"{service}\",\"attempts\":2}}],\"services\":[{{\"name\":\"{service}\",\
         \"health_path\":\"/health\",\"max_connections\":110,\"warmup_s\":3.0,\"warmup_per_s\":0.0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}"
    )
}

pub const HOST: &str = "leno12.example";

/// Encodes a client's request with a small body.
pub fn order(id: &str, deadline_ms: u32) -> String {
    format!(
        "POST /order/{id} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\
         Content-Length: 5\r\n\r\norder"
    )
}
