use std::{
    panic,
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::{SystemTime, UNIX_EPOCH},
};

use log::{Level, Record, kv::Value};
use metrics_exporter_prometheus::PrometheusHandle;

use super::telemetry::{format_json, format_text};

/// Maximum number of lines about panics in a second of the clock. All panics are counted.
const MAX_LINES_PER_SECOND: u64 = 10;
/// Maximum length of the reason in a line, bytes. A line stays within 4 KB, also if all bytes are escaped.
const MAX_REASON_BYTES: usize = 256;
/// Maximum length of the location in a line, bytes.
const MAX_LOCATION_BYTES: usize = 128;

static PANICS: AtomicU64 = AtomicU64::new(0);
/// The latest second in which a line was written, and the number of lines in it, in the lowest byte.
static LINES: AtomicU64 = AtomicU64::new(0);

/// Counts panics and passes a structured line about each to `write`, which must not block: another thread may hold any
/// lock, and this one the lock of the logger.
pub fn log_panics(json: bool, write: impl Fn(String) + Send + Sync + 'static) {
    let format = if json { format_json } else { format_text };
    panic::set_hook(Box::new(move |info| {
        let count = PANICS.fetch_add(1, Ordering::Relaxed) + 1;
        if !admits_line() {
            return;
        }
        let location = info.location().map(ToString::to_string);
        let location = location.as_deref().unwrap_or_default();
        let reason = info.payload_as_str().unwrap_or_default();
        let thread = thread::current();
        let fields = [
            (
                "location",
                Value::from(shorten(location, MAX_LOCATION_BYTES)),
            ),
            ("reason", Value::from(shorten(reason, MAX_REASON_BYTES))),
            ("thread", Value::from(thread.name().unwrap_or_default())),
            ("panics", Value::from(count)),
        ];
        let fields: &[(&str, Value<'_>)] = &fields;
        let record = Record::builder()
            .level(Level::Error)
            .target(module_path!())
            .key_values(&fields)
            .build();
        write(format(&format_args!("a task panicked"), &record) + "\n");
    }));
}

/// Returns the metrics page.
pub(crate) fn render_metrics(metrics: &PrometheusHandle) -> String {
    metrics::counter!("cranberrychute_panics_total").absolute(PANICS.load(Ordering::Relaxed));
    metrics.render()
}

fn admits_line() -> bool {
    let second = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_secs());
    let admit = |lines: u64| {
        let count = if lines >> 8 == second {
            lines & 0xff
        } else {
            0
        };
        (count < MAX_LINES_PER_SECOND).then_some(second << 8 | (count + 1))
    };
    LINES
        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, admit)
        .is_ok()
}

fn shorten(text: &str, bytes: usize) -> &str {
    &text[..text.floor_char_boundary(bytes)]
}
