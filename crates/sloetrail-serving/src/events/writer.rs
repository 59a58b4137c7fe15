//! Log writer: a thread that writes the lines of a bounded queue to standard output.

use super::Event;
use super::rate_limiter::RateLimiter;
use crate::telemetry;
use log::LevelFilter;
use serde::Serialize;
use serde_json::value::RawValue;
use sloetrail_types::whole_millis;
use snafu::Snafu;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const QUEUE_LINES: usize = 1024;
/// Log targets of typed events.
pub(super) const PARTS: [&str; 9] = [
    "node", "table", "config", "engine", "gateway", "batch", "lease", "weights", "usage",
];

static OVERFLOW: AtomicU64 = AtomicU64::new(0);
static QUEUED: AtomicU64 = AtomicU64::new(0);
static WRITTEN: AtomicU64 = AtomicU64::new(0);
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Limits reports of dropped lines to one a second.
static DROP_REPORTS: RateLimiter = RateLimiter::new(1);

/// Logging was started before, or the writer thread cannot be created.
#[derive(Debug, Snafu)]
#[snafu(display(
    "cannot start logging: a logger is already installed or the writer thread failed to start"
))]
pub struct LoggingError;

#[derive(Serialize)]
struct Line<'a> {
    time_ms: u64,
    node: &'a str,
    part: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    decision: Option<&'a RawValue>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<&'a str>,
}

/// Starts logging to standard output. Each line names `node`.
pub fn start(level: LevelFilter, node: &str) -> Result<(), LoggingError> {
    start_with(level, node, std::io::stdout())
}

/// Starts logging to any writer.
pub fn start_with(
    level: LevelFilter,
    node: &str,
    output: impl Write + Send + 'static,
) -> Result<(), LoggingError> {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    std::thread::Builder::new()
        .name("log-writer".to_owned())
        .stack_size(64 * 1024)
        .spawn(move || write_lines(&receiver, output))
        .map_err(|_| LoggingError)?;
    let node = node.to_owned();
    let mut dispatch = fern::Dispatch::new().level(LevelFilter::Warn);
    for part in PARTS {
        dispatch = dispatch.level_for(part, level);
    }
    dispatch
        .chain(fern::Output::call(move |record| {
            queue(&sender, line(&node, record));
        }))
        .apply()
        .map_err(|_| LoggingError)
}

/// Waits until the queued lines have been written, or until `timeout`, so that a blocked reader
/// cannot keep the process from exiting.
pub fn flush(timeout: Duration) {
    let deadline = Instant::now() + timeout;
    let queued = QUEUED.load(Ordering::Acquire);
    while WRITTEN.load(Ordering::Acquire) < queued && Instant::now() < deadline {
        std::thread::sleep(FLUSH_POLL_INTERVAL);
    }
}

fn line(node: &str, record: &log::Record<'_>) -> String {
    let message = record.args().to_string();
    let is_typed = PARTS.contains(&record.target());
    let decision = is_typed
        .then(|| serde_json::from_str(&message).ok())
        .flatten();
    let line = Line {
        time_ms: unix_time_ms(),
        node,
        part: record.target(),
        decision,
        message: decision.is_none().then_some(&message),
    };
    serde_json::to_string(&line).unwrap_or_default()
}

fn queue(sender: &SyncSender<String>, line: String) {
    if sender.try_send(line).is_err() {
        OVERFLOW.fetch_add(1, Ordering::Relaxed);
        return;
    }
    QUEUED.fetch_add(1, Ordering::Release);
    if !DROP_REPORTS.admit() {
        return;
    }
    let overflow = OVERFLOW.swap(0, Ordering::Relaxed);
    let thinned = super::part::take_thinned();
    telemetry::lines_dropped("overflow", overflow);
    telemetry::lines_dropped("thinned", thinned);
    if overflow + thinned > 0 {
        super::emit(&Event::LinesDropped { overflow, thinned });
    }
}

/// Writes queued lines until the sender is dropped. Lines that cannot be written are counted as
/// dropped.
fn write_lines(receiver: &Receiver<String>, mut output: impl Write) {
    while let Ok(line) = receiver.recv() {
        let mut text = line;
        text.push('\n');
        let mut lines = 1;
        // Writes all queued lines at once.
        while let Ok(next) = receiver.try_recv() {
            text.push_str(&next);
            text.push('\n');
            lines += 1;
        }
        let written = output
            .write_all(text.as_bytes())
            .and_then(|()| output.flush());
        if written.is_err() {
            // Standard output may accept later lines.
            telemetry::lines_dropped("unwritten", lines);
        }
        WRITTEN.fetch_add(lines, Ordering::Release);
    }
}

fn unix_time_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, whole_millis)
}

#[cfg(test)]
mod tests;
