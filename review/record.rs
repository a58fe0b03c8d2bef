//! The record of a case: what was sent, answered and run, with times.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Mutex::new(File::create(path)?),
            started: Instant::now(),
        })
    }

    /// Writes a line to the record and to standard output.
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} s  {text}", self.started.elapsed().as_secs_f64());
        println!("{line}");
        let mut file = self.file.lock().unwrap_or_else(|error| error.into_inner());
        let _ = writeln!(file, "{line}");
    }

    /// Seconds from the start of the record to an instant.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }
}
