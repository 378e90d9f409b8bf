//! CPU time, memory, fits and tables.

use std::{
    fmt::Display,
    fs,
    path::{Path, PathBuf},
};

use rustix::time::{ClockId, clock_gettime};

/// CPU time in microseconds.
fn clock(id: ClockId) -> f64 {
    let spec = clock_gettime(id);
    spec.tv_sec as f64 * 1e6 + spec.tv_nsec as f64 / 1e3
}

/// Returns the CPU time of the process, microseconds.
pub(crate) fn process_cpu() -> f64 {
    clock(ClockId::ProcessCPUTime)
}

/// Returns the CPU time of this thread, microseconds.
pub(crate) fn thread_cpu() -> f64 {
    clock(ClockId::ThreadCPUTime)
}

/// Returns the resident set, KiB.
pub(crate) fn resident() -> f64 {
    let status = fs::read_to_string("/proc/self/status").expect("procfs");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let field = line.and_then(|line| line.split_whitespace().nth(1));
    field.and_then(|kib| kib.parse().ok()).expect("VmRSS")
}

/// Returns intercept and slope of the least-squares line through points, each weighted by `1 / x^2` so that the
/// largest point does not decide alone.
pub(crate) fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let weighted = points.iter().map(|&(x, y)| (1.0 / (x * x).max(1.0), x, y));
    let (mut w, mut wx, mut wy, mut wxx, mut wxy) = (0.0, 0.0, 0.0, 0.0, 0.0);
    for (weight, x, y) in weighted {
        w += weight;
        wx += weight * x;
        wy += weight * y;
        wxx += weight * x * x;
        wxy += weight * x * y;
    }
    let slope = (w * wxy - wx * wy) / (w * wxx - wx * wx);
    ((wy - slope * wx) / w, slope)
}

/// Rows that are printed and written as CSV.
pub(crate) struct Table {
    path: PathBuf,
    text: String,
}

impl Table {
    pub(crate) fn new(name: &str, header: &str) -> Self {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("target/cost");
        fs::create_dir_all(&folder).expect("target is writable");
        println!("\n== {name}\n{header}");
        Self {
            path: folder.join(format!("{name}.csv")),
            text: format!("{header}\n"),
        }
    }

    pub(crate) fn row(&mut self, label: impl Display, values: &[f64]) {
        let mut line = label.to_string();
        for value in values {
            line += &match value.abs() {
                v if v >= 1_000.0 || (v.fract() == 0.0 && v >= 1.0) => format!(",{value:.0}"),
                _ => format!(",{value:.3}"),
            };
        }
        println!("{line}");
        self.text += &line;
        self.text.push('\n');
        fs::write(&self.path, &self.text).expect("target is writable");
    }
}

/// Prints the fit of the points of one series and adds it to a table.
pub(crate) fn add_fit(table: &mut Table, label: &str, points: &[(f64, f64)]) -> (f64, f64) {
    let (intercept, slope) = fit(points);
    table.row(label, &[intercept, slope]);
    (intercept, slope)
}
