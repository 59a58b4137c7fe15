//! Writing the history.

use sloetrail_history::{Event, EventBody};
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

enum Sink {
    Memory(Vec<Event>),
    File(BufWriter<File>),
}

/// Takes events in from all parts of a process.
#[derive(Clone)]
pub struct HistoryLog {
    sink: Arc<Mutex<Sink>>,
}

impl HistoryLog {
    /// A history in memory.
    pub fn in_memory() -> Self {
        Self {
            sink: Arc::new(Mutex::new(Sink::Memory(Vec::new()))),
        }
    }

    /// A history in a file; each event is handed to the system before `record`
    /// returns, so that a killed process loses none.
    pub fn in_file(path: &Path) -> std::io::Result<Self> {
        let file = BufWriter::new(File::create(path)?);
        Ok(Self {
            sink: Arc::new(Mutex::new(Sink::File(file))),
        })
    }

    /// Writes one event down, with the present time.
    pub fn record(&self, body: EventBody) {
        let mut sink = self.sink.lock().expect("not poisoned");
        let event = Event {
            at_us: unix_microseconds(),
            body,
        };
        match &mut *sink {
            Sink::Memory(events) => events.push(event),
            Sink::File(file) => {
                let line = serde_json::to_string(&event).expect("events are plain data");
                writeln!(file, "{line}")
                    .and_then(|()| file.flush())
                    .expect("the history can be written");
            }
        }
    }

    /// The events in memory so far.
    pub fn events(&self) -> Vec<Event> {
        match &*self.sink.lock().expect("not poisoned") {
            Sink::Memory(events) => events.clone(),
            Sink::File(_) => Vec::new(),
        }
    }
}

/// Microseconds since the Unix epoch.
pub fn unix_microseconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_micros() as u64)
}
