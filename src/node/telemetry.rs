use std::{
    collections::VecDeque,
    fmt,
    io::{self, Write as _},
    sync::Mutex,
    time::SystemTime,
};

use anyhow::Context;
use fern::{Dispatch, FormatCallback};
use log::{LevelFilter, Record, kv};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use serde_json::{Map, Value, json};

use super::{panics::log_panics, span};

/// Target of the log lines that carry finished trace spans.
const SPAN_TARGET: &str = "trace";
/// Maximum number of spans kept in memory for `GET /v1/state`, over all traces.
const MAX_RECENT_SPANS: usize = 512;

static RECENT_SPANS: Mutex<VecDeque<Value>> = Mutex::new(VecDeque::new());

/// Starts logging to standard error.
///
/// # Errors
///
/// Fails when a logger is already installed.
pub fn start_logging(level: LevelFilter, json: bool) -> anyhow::Result<()> {
    log_dispatch(level, json)
        .chain(io::stderr())
        .apply()
        .context("install the logger")?;
    log_panics(json, |line| {
        let mut stderr = [PollFd::from_borrowed_fd(
            rustix::stdio::stderr(),
            PollFlags::OUT,
        )];
        // The line is lost if nobody reads. A pipe that is ready takes 4 KB.
        if poll(&mut stderr, Some(&Timespec::default())).is_ok_and(|ready| ready > 0) {
            let _ = io::stderr().write_all(line.as_bytes());
        }
    });
    Ok(())
}

/// Returns a log dispatch with levels and line format but without an output.
pub(crate) fn log_dispatch(level: LevelFilter, json: bool) -> Dispatch {
    let format = if json { format_json } else { format_text };
    Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("cranberrychute", level)
        .level_for(SPAN_TARGET, level)
        .format(move |out: FormatCallback<'_>, message, record| {
            out.finish(format_args!("{}", format(message, record)));
        })
}

/// Installs the global metrics recorder and returns its handle.
///
/// If a recorder is already installed, returns the handle of a separate recorder that records nothing.
pub(crate) fn start_metrics() -> PrometheusHandle {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    // Several nodes in one process, as in the demo, record into the recorder of the first one.
    if metrics::set_global_recorder(recorder).is_err() {
        log::debug!("metrics are recorded by the first node of this process");
    }
    handle
}

/// Returns the latest finished spans, oldest first.
pub fn recent_spans() -> Vec<Value> {
    RECENT_SPANS
        .lock()
        .expect("no panic while locked")
        .iter()
        .cloned()
        .collect()
}

pub(super) fn format_text(message: &fmt::Arguments<'_>, record: &Record<'_>) -> String {
    let time = humantime::format_rfc3339_millis(SystemTime::now());
    let mut fields = String::new();
    let mut visitor = TextFields(&mut fields);
    let _ = record.key_values().visit(&mut visitor);
    let (level, target) = (record.level(), record.target());
    format!("{time} {level:5} {target} {message}{fields}")
}

pub(super) fn format_json(message: &fmt::Arguments<'_>, record: &Record<'_>) -> String {
    let mut line = Map::new();
    let time = humantime::format_rfc3339_millis(SystemTime::now()).to_string();
    line.insert("time".into(), time.into());
    line.insert("level".into(), record.level().as_str().into());
    line.insert("target".into(), record.target().into());
    line.insert("message".into(), message.to_string().into());
    let _ = record.key_values().visit(&mut JsonFields(&mut line));
    Value::Object(line).to_string()
}

struct TextFields<'a>(&'a mut String);

impl<'kvs> kv::VisitSource<'kvs> for TextFields<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        use fmt::Write;
        write!(self.0, " {key}={value}").map_err(|_| kv::Error::msg("format a log field"))
    }
}

struct JsonFields<'a>(&'a mut Map<String, Value>);

impl<'kvs> kv::VisitSource<'kvs> for JsonFields<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let value = serde_json::to_value(&value).unwrap_or_else(|_| value.to_string().into());
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

/// Logs a finished span and keeps it for `GET /v1/state`.
pub(super) fn report(span: &span::Record) {
    let fields: Map<String, Value> = span
        .fields
        .iter()
        .map(|(key, value)| ((*key).to_owned(), value.as_str().into()))
        .collect();
    let start = span.start.duration_since(SystemTime::UNIX_EPOCH);
    let record = json!({
        "trace": span.trace_id(),
        "span": span.span_id(),
        "parent": format!("{:016x}", span.parent),
        "name": span.name,
        "start_us": start.unwrap_or_default().as_micros() as u64,
        "duration_us": span.duration.as_micros() as u64,
        "fields": fields,
    });
    log::debug!(target: SPAN_TARGET, span:serde = record; "span {}", span.name);
    let mut recent = RECENT_SPANS.lock().expect("no panic while locked");
    if recent.len() == MAX_RECENT_SPANS {
        recent.pop_front();
    }
    recent.push_back(record);
}
