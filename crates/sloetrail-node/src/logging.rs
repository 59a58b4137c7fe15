//! Logs through fern: one line an event, with the part as a fixed prefix.

use log::LevelFilter;
use serde::Serialize;
use snafu::Snafu;
use std::time::{SystemTime, UNIX_EPOCH};

/// How a log line looks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

/// Logging was started twice.
#[derive(Debug, Snafu)]
#[snafu(display("logging was started already"))]
pub struct LoggingError;

#[derive(Serialize)]
struct JsonLine<'a> {
    time_ms: u64,
    level: &'a str,
    part: &'a str,
    node: &'a str,
    message: String,
}

/// Starts logging to standard error. `node` names the writer in each line.
pub fn start_logging(
    format: LogFormat,
    level: LevelFilter,
    node: &str,
) -> Result<(), LoggingError> {
    let node = node.to_owned();
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("gateway", level)
        .level_for("config", level)
        .level_for("member", level)
        .level_for("lease", level)
        .level_for("ledger", level)
        .level_for("weights", level)
        .level_for("engine", level)
        .level_for("node", level)
        .format(move |out, message, record| {
            let time_ms = unix_milliseconds();
            match format {
                LogFormat::Text => out.finish(format_args!(
                    "{time_ms} {node} {:<5} [{}] {message}",
                    record.level(),
                    record.target()
                )),
                LogFormat::Json => {
                    let line = JsonLine {
                        time_ms,
                        level: record.level().as_str(),
                        part: record.target(),
                        node: &node,
                        message: message.to_string(),
                    };
                    let text = serde_json::to_string(&line).unwrap_or_default();
                    out.finish(format_args!("{text}"));
                }
            }
        })
        .chain(std::io::stderr())
        .apply()
        .map_err(|_| LoggingError)
}

fn unix_milliseconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
