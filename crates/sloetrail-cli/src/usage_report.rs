//! `usage`: which windows of usage were reported, by whom, and which are missing, from the
//! logs of several nodes.

use crate::failure::Failure;
use crate::log_files::read_logs;
use crate::log_timeline::LogLine;
use clap::ArgMatches;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Write;

const ACCEPTED: &str = "accepted";

/// What the logs say of the report of one window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
struct Window {
    window: u64,
    /// True if it was taken.
    is_accepted: bool,
    /// How it was answered last.
    outcome: String,
    /// How often it was sent.
    sends: u64,
    /// Who sent it last, and under which epoch.
    node: String,
    epoch: u64,
    /// Tenants with a request in it, and the requests of all.
    tenants: u64,
    requests: u64,
    /// How long after the end of the window it was answered last, in milliseconds.
    after_end_ms: u64,
}

/// All windows, and what became of counts that came too late.
#[derive(Debug, Default, PartialEq, Eq, Serialize)]
struct UsageSummary {
    windows: Vec<Window>,
    /// Windows between the first and the last one of which the logs say nothing.
    missing: Vec<u64>,
    /// Requests that came too late for their report, or could not be deleted after it.
    left: u64,
}

/// Prints which windows were reported in log files.
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
        // Memory takes every write.
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
        "{} of {} windows taken, {} missing {:?}, {} requests too late",
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
