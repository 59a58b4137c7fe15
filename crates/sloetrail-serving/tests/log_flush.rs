//! Flushing must write the last log lines before the process exits, but not hang on a blocked
//! reader.

use log::LevelFilter;
use sloetrail_serving::events::{self, Event};
use std::io::{self, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const WRITE_DELAY: Duration = Duration::from_millis(100);

#[derive(Clone, Default)]
struct SlowReader {
    text: Arc<Mutex<String>>,
    is_blocked: Arc<AtomicBool>,
}

impl Write for SlowReader {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        while self.is_blocked.load(Ordering::SeqCst) {
            std::thread::sleep(WRITE_DELAY);
        }
        std::thread::sleep(WRITE_DELAY);
        let mut text = self.text.lock().expect("not poisoned");
        text.push_str(&String::from_utf8_lossy(bytes));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn flush_waits_for_last_lines_up_to_its_timeout() {
    let reader = SlowReader::default();
    events::start_with(LevelFilter::Info, "node-1", reader.clone()).expect("starts");
    events::emit(&Event::NodeStopped { requests: 7 });
    events::flush(Duration::from_secs(5));
    let text = reader.text.lock().expect("not poisoned").clone();
    assert!(text.contains("node_stopped"), "{text}");

    reader.is_blocked.store(true, Ordering::SeqCst);
    events::emit(&Event::NodeStopped { requests: 8 });
    let started_at = Instant::now();
    events::flush(Duration::from_millis(150));
    assert!(started_at.elapsed() < Duration::from_secs(2));
    reader.is_blocked.store(false, Ordering::SeqCst);
}
