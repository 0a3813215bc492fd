//! Record of what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Mutex::new(File::create(path)?),
            started_at: Instant::now(),
        })
    }

    /// Adds a line. A line that cannot be written is left out.
    pub fn add(&self, line: &str) {
        let elapsed_s = self.started_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no holder panics");
        let _ = writeln!(file, "{elapsed_s:8.3} {line}");
    }

    /// Returns another handle to the same record.
    pub fn clone_handle(&self) -> io::Result<Self> {
        let file = self.file.lock().expect("no holder panics").try_clone()?;
        Ok(Self {
            file: Mutex::new(file),
            started_at: self.started_at,
        })
    }
}
