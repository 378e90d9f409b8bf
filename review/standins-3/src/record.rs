//! The record of a run, which is written to `record.txt` in the folder of its case.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    time::Instant,
};

/// Lines with the time since the start of the run.
pub struct Record {
    file: BufWriter<File>,
    start: Instant,
}

impl Record {
    pub fn create(case: &str) -> std::io::Result<Self> {
        let path = Path::new("review").join(case).join("record.txt");
        Ok(Self {
            file: BufWriter::new(File::create(path)?),
            start: Instant::now(),
        })
    }

    /// Writes a line, also to standard output if `shown` is set.
    pub fn line(&mut self, shown: bool, text: &str) {
        let line = format!("{:8.3} s  {text}", self.start.elapsed().as_secs_f64());
        let _ = writeln!(self.file, "{line}");
        if shown {
            println!("{line}");
            let _ = self.file.flush();
        }
    }
}
