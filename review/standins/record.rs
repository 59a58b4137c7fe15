//! What was sent, answered and run, with the time since the start in milliseconds.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            started_at: Instant::now(),
            file: Mutex::new(File::create(path).expect("a writable folder")),
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    pub fn note(&self, line: &str) {
        let now_ms = self.now_ms();
        let mut file = self.file.lock().expect("sound");
        // The exit code doesn't depend on the file.
        let _ = writeln!(file, "{now_ms:>7} ms  {line}");
    }
}
