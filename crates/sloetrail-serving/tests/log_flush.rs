//! The last lines of a log are written before the process ends, unless nobody reads.

use log::LevelFilter;
use sloetrail_serving::events::{self, Event};
use std::io::{self, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const WRITE_TIME: Duration = Duration::from_millis(100);

#[derive(Clone, Default)]
struct SlowReader {
    text: Arc<Mutex<String>>,
    stuck: Arc<AtomicBool>,
}

impl Write for SlowReader {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        while self.stuck.load(Ordering::SeqCst) {
            std::thread::sleep(WRITE_TIME);
        }
        std::thread::sleep(WRITE_TIME);
        let mut text = self.text.lock().expect("not poisoned");
        text.push_str(&String::from_utf8_lossy(bytes));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn the_last_lines_are_waited_for_but_not_for_ever() {
    let reader = SlowReader::default();
    events::start_with(LevelFilter::Info, "node-1", reader.clone()).expect("starts");
    events::emit(&Event::NodeStopped { requests: 7 });
    events::flush(Duration::from_secs(5));
    let text = reader.text.lock().expect("not poisoned").clone();
    assert!(text.contains("node_stopped"), "{text}");

    reader.stuck.store(true, Ordering::SeqCst);
    events::emit(&Event::NodeStopped { requests: 8 });
    let began = Instant::now();
    events::flush(Duration::from_millis(150));
    assert!(began.elapsed() < Duration::from_secs(2));
    reader.stuck.store(false, Ordering::SeqCst);
}
