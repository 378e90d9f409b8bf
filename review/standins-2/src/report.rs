//! What a case saw, and its verdict.

use std::{
    fs,
    path::{Path, PathBuf},
    time::{Instant, SystemTime},
};

/// The record of one play of a case.
pub struct Report {
    path: PathBuf,
    start: Instant,
    lines: Vec<String>,
}

/// How a play ended.
pub enum Verdict {
    Held,
    Broken,
}

impl Report {
    pub fn new(folder: &Path, trouble: bool) -> Self {
        let at = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let at = at.map_or(0, |at| at.as_secs());
        let kind = if trouble { "with" } else { "without" };
        Self {
            path: folder.join("record.txt"),
            start: Instant::now(),
            lines: vec![format!(
                "played at {at} (Unix seconds), {kind} the disruption"
            )],
        }
    }

    /// Adds a line about now.
    pub fn note(&mut self, text: impl AsRef<str>) {
        self.note_at(Instant::now(), text);
    }

    /// Adds a line about another time.
    pub fn note_at(&mut self, at: Instant, text: impl AsRef<str>) {
        let seconds = at.saturating_duration_since(self.start).as_secs_f64();
        self.lines
            .push(format!("{seconds:9.3} s  {}", text.as_ref()));
    }

    /// Adds a line without a time.
    pub fn add(&mut self, text: impl Into<String>) {
        self.lines.push(text.into());
    }

    pub fn write(&self) {
        if let Err(error) = fs::write(&self.path, self.lines.join("\n") + "\n") {
            eprintln!("record.txt: {error}");
        }
    }
}
