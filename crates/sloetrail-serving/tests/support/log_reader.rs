//! Captures the log lines of a test process.

use serde_json::Value;
use sloetrail_serving::events;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Clone, Default)]
pub struct LogReader(Arc<Mutex<String>>);

impl LogReader {
    /// Returns all lines so far.
    pub fn text(&self) -> String {
        events::flush(FLUSH_TIMEOUT);
        self.0.lock().expect("not poisoned").clone()
    }

    /// Returns the events of one kind, in order.
    pub fn decisions(&self, event: &str) -> Vec<Value> {
        let text = self.text();
        let lines = text
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok());
        let decisions = lines.map(|line: Value| line["decision"].clone());
        decisions
            .filter(|decision| decision["event"] == event)
            .collect()
    }
}

impl Write for LogReader {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut text = self.0.lock().expect("not poisoned");
        text.push_str(&String::from_utf8_lossy(bytes));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
