//! Reading the lines that a process writes to its log.

use serde_json::Value;
use sloetrail_serving::events;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long the writer of lines may take to write those that wait.
const FLUSH_TIME: Duration = Duration::from_secs(1);

/// Takes in the lines of the log.
#[derive(Clone, Default)]
pub struct LogReader(Arc<Mutex<String>>);

impl LogReader {
    /// All lines so far.
    pub fn text(&self) -> String {
        events::flush(FLUSH_TIME);
        self.0.lock().expect("not poisoned").clone()
    }

    /// The decisions of one kind, in order.
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
