//! Measures CPU time and memory, fits lines and writes tables.

use std::{
    fmt::Display,
    fs,
    path::{Path, PathBuf},
};

use rustix::time::{ClockId, clock_gettime};

/// Returns the CPU time of a clock in microseconds.
fn cpu_clock_us(id: ClockId) -> f64 {
    let spec = clock_gettime(id);
    spec.tv_sec as f64 * 1e6 + spec.tv_nsec as f64 / 1e3
}

/// Returns the CPU time of the process in microseconds.
pub(crate) fn process_cpu_us() -> f64 {
    cpu_clock_us(ClockId::ProcessCPUTime)
}

/// Returns the CPU time of the calling thread in microseconds.
pub(crate) fn thread_cpu_us() -> f64 {
    cpu_clock_us(ClockId::ThreadCPUTime)
}

/// Returns the resident set size of the process in KiB.
pub(crate) fn resident_kib() -> f64 {
    let status = fs::read_to_string("/proc/self/status").expect("/proc/self/status is readable");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let field = line.and_then(|line| line.split_whitespace().nth(1));
    field
        .and_then(|kib| kib.parse().ok())
        .expect("VmRSS is a number of KiB")
}

/// Returns intercept and slope of a weighted least-squares fit.
///
/// Points are weighted by `1 / x^2`; otherwise the points with the largest `x` would dominate the fit.
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

/// A table that is printed and written to `target/cost/NAME.csv`.
pub(crate) struct Table {
    path: PathBuf,
    text: String,
}

impl Table {
    pub(crate) fn new(name: &str, header: &str) -> Self {
        let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("target/cost");
        fs::create_dir_all(&dir).expect("target/cost is writable");
        println!("\n== {name}\n{header}");
        Self {
            path: dir.join(format!("{name}.csv")),
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
        fs::write(&self.path, &self.text).expect("target/cost is writable");
    }
}

/// Fits the points of one series, adds the result to a table and returns it.
pub(crate) fn add_fit(table: &mut Table, label: &str, points: &[(f64, f64)]) -> (f64, f64) {
    let (intercept, slope) = fit(points);
    table.row(label, &[intercept, slope]);
    (intercept, slope)
}
