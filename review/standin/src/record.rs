//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The file, with the time of each line since the start.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("create the record");
        Self(Arc::new((Mutex::new(file), Instant::now())))
    }

    pub fn write(&self, line: &str) {
        let at = self.0.1.elapsed().as_secs_f64();
        let _ = writeln!(self.0.0.lock().unwrap(), "{at:9.3} {line}");
    }
}
