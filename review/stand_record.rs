//! What was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of a run; clones share one file.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("a record");
        Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn millis(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8} ms  {text}\n", self.millis());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line, and shows it.
    pub fn result(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
