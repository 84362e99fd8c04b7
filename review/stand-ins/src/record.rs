//! The record of a run: what was sent, answered and run, one line an event, with the time since the start in seconds.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writer of the record; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record { started_at: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    /// Returns the seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    pub fn write(&self, line: &str) {
        let line = format!("{:9.4}  {line}\n", self.now());
        if let Ok(mut file) = self.file.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }

    /// Writes a line to the record and to the standard output.
    pub fn print(&self, line: &str) {
        println!("{line}");
        self.write(line);
    }
}
