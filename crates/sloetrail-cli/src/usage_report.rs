//! The `usage` command: reported and missing usage windows, from the logs of several nodes.

use crate::failure::Failure;
use crate::log_files::read_logs;
use crate::log_timeline::LogLine;
use clap::ArgMatches;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Write;

const ACCEPTED: &str = "accepted";

/// Reports of one usage window found in the logs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
struct Window {
    window: u64,
    /// True if any report of the window was accepted.
    is_accepted: bool,
    /// Outcome of the last send.
    outcome: String,
    /// Number of sends.
    sends: u64,
    /// Node of the last send.
    node: String,
    /// Lease epoch of the last send.
    epoch: u64,
    /// Number of tenants with at least one request in the window.
    tenants: u64,
    /// Number of requests of all tenants.
    requests: u64,
    /// Time from the end of the window to the last outcome.
    after_end_ms: u64,
}

/// All usage windows, and the number of requests recorded too late.
#[derive(Debug, Default, PartialEq, Eq, Serialize)]
struct UsageSummary {
    windows: Vec<Window>,
    /// Windows between the first and the last one without a report in the logs.
    missing: Vec<u64>,
    /// Requests that were recorded after the report of their window, or whose counts could not
    /// be deleted after it.
    left: u64,
}

/// Prints the usage windows found in log files.
pub(crate) fn usage_report(matches: &ArgMatches, as_json: bool) -> Result<(), Failure> {
    let texts = read_logs(matches)?;
    let summary = gather(texts.iter().map(String::as_str));
    match as_json {
        true => println!("{}", serde_json::to_string(&summary).unwrap_or_default()),
        false => print!("{}", as_text(&summary)),
    }
    Ok(())
}

fn gather<'a>(texts: impl Iterator<Item = &'a str>) -> UsageSummary {
    let lines = texts.flat_map(str::lines).filter_map(LogLine::parse);
    let mut lines: Vec<LogLine> = lines.collect();
    lines.sort_by_key(|line| line.time_ms);
    let mut windows: BTreeMap<u64, Window> = BTreeMap::new();
    let mut left = 0;
    for line in &lines {
        let number = |name: &str| line.decision.get(name).and_then(Value::as_u64);
        match line.event() {
            "usage_reported" => {
                let Some(window) = number("window") else {
                    continue;
                };
                let outcome = line.field("outcome").unwrap_or_default().to_owned();
                let known = windows.entry(window).or_default();
                *known = Window {
                    window,
                    is_accepted: known.is_accepted || outcome == ACCEPTED,
                    sends: known.sends + 1,
                    outcome,
                    node: line.node.clone(),
                    epoch: number("epoch").unwrap_or_default(),
                    tenants: number("tenants").unwrap_or_default(),
                    requests: number("requests").unwrap_or_default(),
                    after_end_ms: number("after_end_ms").unwrap_or_default(),
                };
            }
            "usage_left" => left += number("requests").unwrap_or_default(),
            _ => {}
        }
    }
    let missing = missing(&windows);
    UsageSummary {
        windows: windows.into_values().collect(),
        missing,
        left,
    }
}

fn missing(windows: &BTreeMap<u64, Window>) -> Vec<u64> {
    let (Some(first), Some(last)) = (windows.keys().next(), windows.keys().next_back()) else {
        return Vec::new();
    };
    let all = *first..=*last;
    all.filter(|window| !windows.contains_key(window)).collect()
}

fn as_text(summary: &UsageSummary) -> String {
    let mut text =
        String::from("window, requests, tenants, after its end, answer, sends, holder\n");
    for window in &summary.windows {
        // Writing to a `String` is infallible.
        let _ = writeln!(
            text,
            "{} {} {} {} ms {} {} {} (epoch {})",
            window.window,
            window.requests,
            window.tenants,
            window.after_end_ms,
            window.outcome,
            window.sends,
            window.node,
            window.epoch
        );
    }
    let accepted = summary.windows.iter().filter(|window| window.is_accepted);
    let _ = writeln!(
        text,
        "{} of {} windows accepted, {} missing {:?}, {} requests too late",
        accepted.count(),
        summary.windows.len() + summary.missing.len(),
        summary.missing.len(),
        summary.missing,
        summary.left
    );
    text
}

#[cfg(test)]
mod tests;
