//! The record of a case: one line for each event, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// Writes the record.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the record file.
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("create the record");
        Self { start: Instant::now(), file: Mutex::new(file) }
    }

    /// Returns the milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Writes a line.
    pub fn write(&self, text: &str) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{:>8} ms  {text}", self.now_ms());
    }
}
