//! A blocked log reader must neither block the node nor let the queue grow. One test, because a
//! process has one logger.

use log::LevelFilter;
use serde_json::Value;
use sloetrail_serving::events::{self, Event};
use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// A log reader that can be blocked.
#[derive(Clone, Default)]
struct Reader {
    state: Arc<(Mutex<ReaderState>, Condvar)>,
}

#[derive(Default)]
struct ReaderState {
    is_blocked: bool,
    text: Vec<u8>,
}

impl Reader {
    fn set_blocked(&self, is_blocked: bool) {
        self.state.0.lock().expect("not poisoned").is_blocked = is_blocked;
        self.state.1.notify_all();
    }

    fn lines(&self) -> Vec<Value> {
        let state = self.state.0.lock().expect("not poisoned");
        let text = String::from_utf8_lossy(&state.text).into_owned();
        let lines = text.lines();
        lines
            .map(|line| serde_json::from_str(line).expect("JSON"))
            .collect()
    }
}

impl Write for Reader {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("not poisoned");
        while state.is_blocked {
            state = changed.wait(state).expect("not poisoned");
        }
        state.text.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn emit_refused(count: usize) {
    for _ in 0..count {
        events::emit(&Event::BatchRefused {
            batch: "b1",
            code: 1107,
            detail: "the table does not answer",
        });
    }
}

fn emit_answered(count: usize) {
    for _ in 0..count {
        events::emit(&Event::RequestAnswered {
            request: "r1",
            route: "live",
            status: 200,
            back_end: "e1",
            attempts: 1,
            took_ms: 3,
            revision: 1,
        });
    }
}

fn count(lines: &[Value], event: &str) -> usize {
    let named = lines
        .iter()
        .filter(|line| line["decision"]["event"] == event);
    named.count()
}

#[test]
fn blocked_log_reader_does_not_block_emitters() {
    const EMITTED: usize = 20_000;
    let reader = Reader::default();
    events::start_with(LevelFilter::Info, "node-1", reader.clone()).expect("the first start");
    reader.set_blocked(true);
    let started_at = Instant::now();
    emit_refused(EMITTED);
    emit_answered(EMITTED);
    assert!(
        started_at.elapsed() < Duration::from_secs(3),
        "{:?}",
        started_at.elapsed()
    );
    reader.set_blocked(false);
    // Dropped lines are reported at most once a second, together with a later line.
    std::thread::sleep(Duration::from_millis(1_200));
    emit_refused(1);
    std::thread::sleep(Duration::from_millis(300));
    let lines = reader.lines();
    assert!(
        lines
            .iter()
            .all(|line| line["node"] == "node-1" && line["time_ms"].is_u64())
    );
    let refused = count(&lines, "batch_refused");
    assert!(
        (1_000..3_000).contains(&refused),
        "{refused} of {EMITTED} lines were written"
    );
    assert!(
        count(&lines, "request_answered") <= 60,
        "frequent events are not rate limited"
    );
    let dropped = lines
        .iter()
        .filter(|line| line["decision"]["event"] == "lines_dropped");
    let sum = |field: &str| -> u64 {
        let numbers = dropped
            .clone()
            .filter_map(|line| line["decision"][field].as_u64());
        numbers.sum()
    };
    assert!(sum("overflow") > 10_000 && sum("thinned") > 10_000);
}
