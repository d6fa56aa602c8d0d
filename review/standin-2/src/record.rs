//! The record of a run, and its exit.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Lines with the time since the start of the run.
#[derive(Debug, Clone)]
pub struct RunRecord {
    started_at: Instant,
    file: Arc<Mutex<File>>,
}

impl RunRecord {
    /// Creates `record.txt` in a folder.
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self {
            started_at: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        })
    }

    /// Writes a line.
    pub fn note(&self, line: impl AsRef<str>) {
        let seconds = self.started_at.elapsed().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{seconds:8.3} {}", line.as_ref());
        }
    }

    /// Returns the seconds from the start of the run to a time.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started_at).as_secs_f64()
    }
}
