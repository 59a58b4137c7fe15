//! The timeline of one request, batch or item, from the logs of several nodes.
//!
//! A line is included if a field of its decision equals the requested id. For an item,
//! lines about its batch are included too, except lines about other items of that batch.
//! Lines of one node keep their written order; lines of different nodes are merged by
//! time, so clock skew between nodes never reorders the lines of one node.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Write;

const EVENT: &str = "event";
const ITEM: &str = "item";
const BATCH: &str = "batch";
const REWARD: &str = "reward";
/// Event that counts log lines dropped by the writer.
const DROPPED: &str = "lines_dropped";

/// One structured log line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct LogLine {
    /// Wall-clock time of the writing node, in milliseconds since the Unix epoch.
    pub(crate) time_ms: u64,
    pub(crate) node: String,
    /// Component that wrote the line.
    pub(crate) part: String,
    /// Event name and fields.
    #[serde(default)]
    pub(crate) decision: Map<String, Value>,
}

/// Log lines about one id, with known gaps in the logs.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Timeline {
    pub(crate) lines: Vec<LogLine>,
    /// Number of lines dropped between the first and the last line, per node.
    pub(crate) dropped: BTreeMap<String, u64>,
    /// Largest backward step of the wall clock in milliseconds, per node.
    pub(crate) clocks_back_ms: BTreeMap<String, u64>,
    /// Number of log lines that could not be parsed.
    pub(crate) unreadable: usize,
}

impl LogLine {
    /// Parses a line. A prefix before the first brace is ignored.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        serde_json::from_str(&text[start..]).ok()
    }

    /// Returns the event name, or "-" if there is none.
    pub(crate) fn event(&self) -> &str {
        self.field(EVENT).unwrap_or("-")
    }

    /// Returns a string field of the decision.
    pub(crate) fn field(&self, name: &str) -> Option<&str> {
        self.decision.get(name).and_then(Value::as_str)
    }

    fn mentions(&self, ids: &BTreeSet<String>) -> bool {
        let values = self.decision.values();
        let mut texts = values.filter_map(Value::as_str);
        texts.any(|value| ids.contains(value))
    }

    /// Returns true if the line has an item that is not in `ids`.
    fn is_about_another_item(&self, ids: &BTreeSet<String>) -> bool {
        self.field(ITEM).is_some_and(|item| !ids.contains(item))
    }
}

/// Builds the timeline of an id from the contents of log files.
pub(crate) fn gather<'a>(id: &str, logs: impl IntoIterator<Item = &'a str>) -> Timeline {
    let mut timeline = Timeline::default();
    let mut by_node: BTreeMap<String, VecDeque<LogLine>> = BTreeMap::new();
    for text in logs.into_iter().flat_map(str::lines) {
        if text.trim().is_empty() {
            continue;
        }
        match LogLine::parse(text) {
            Some(line) => by_node
                .entry(line.node.clone())
                .or_default()
                .push_back(line),
            None => timeline.unreadable += 1,
        }
    }
    let ids = related_ids(id, by_node.values().flatten());
    let is_item = ids.len() > 1;
    record_clock_steps(&mut timeline, &by_node);
    let matching_by_node = by_node.iter().map(|(node, lines)| {
        let matching = lines.iter().filter(|line| line.mentions(&ids));
        let matching = matching.filter(|line| !is_item || !line.is_about_another_item(&ids));
        (node.clone(), matching.cloned().collect())
    });
    timeline.lines = merge(matching_by_node.collect());
    record_dropped_lines(&mut timeline, &by_node);
    timeline
}

/// Returns the id and, for an item, its batch; for a reward call, its item and batch.
fn related_ids<'a>(id: &str, lines: impl Iterator<Item = &'a LogLine>) -> BTreeSet<String> {
    let mut ids = BTreeSet::from([id.to_owned()]);
    for line in lines {
        let is_about = |name: &str| line.field(name) == Some(id);
        if is_about(ITEM) || is_about(REWARD) {
            let others = [line.field(ITEM), line.field(BATCH)];
            ids.extend(others.into_iter().flatten().map(str::to_owned));
        }
    }
    ids
}

/// Merges the lines of all nodes by time and keeps the order of lines within each node.
fn merge(mut by_node: BTreeMap<String, VecDeque<LogLine>>) -> Vec<LogLine> {
    let mut merged = Vec::new();
    loop {
        let next = by_node
            .iter()
            .filter_map(|(node, lines)| Some((lines.front()?.time_ms, node.clone())))
            .min();
        let Some((_, node)) = next else {
            return merged;
        };
        merged.extend(by_node.get_mut(&node).and_then(VecDeque::pop_front));
    }
}

fn record_clock_steps(timeline: &mut Timeline, by_node: &BTreeMap<String, VecDeque<LogLine>>) {
    for (node, lines) in by_node {
        let mut latest = 0;
        for line in lines {
            let back = u64::saturating_sub(latest, line.time_ms);
            latest = latest.max(line.time_ms);
            if back > 0 {
                let largest = timeline.clocks_back_ms.entry(node.clone()).or_default();
                *largest = (*largest).max(back);
            }
        }
    }
}

fn record_dropped_lines(timeline: &mut Timeline, by_node: &BTreeMap<String, VecDeque<LogLine>>) {
    let times = timeline.lines.iter().map(|line| line.time_ms);
    let (Some(first), Some(last)) = (times.clone().min(), times.max()) else {
        return;
    };
    for (node, lines) in by_node {
        let within = lines.iter().filter(|line| {
            line.event() == DROPPED && (first..=last + 1_000).contains(&line.time_ms)
        });
        let count = |line: &LogLine| {
            let field = |name: &str| line.decision.get(name).and_then(Value::as_u64);
            field("overflow").unwrap_or(0) + field("thinned").unwrap_or(0)
        };
        let dropped: u64 = within.map(count).sum();
        if dropped > 0 {
            timeline.dropped.insert(node.clone(), dropped);
        }
    }
}

/// Renders the timeline as text.
pub(crate) fn as_text(id: &str, timeline: &Timeline) -> String {
    let mut text = String::new();
    let start = timeline.lines.first().map_or(0, |line| line.time_ms);
    for line in &timeline.lines {
        let after = line.time_ms as i64 - start as i64;
        let fields: Vec<String> = line
            .decision
            .iter()
            .filter(|(name, _)| name.as_str() != EVENT)
            .map(|(name, value)| format!("{name}={}", plain_value(value)))
            .collect();
        // Writing to a `String` is infallible.
        let _ = writeln!(
            text,
            "{after:>8} ms  {:<22} [{}] {}: {}",
            line.node,
            line.part,
            line.event().replace('_', " "),
            fields.join(" ")
        );
    }
    if timeline.lines.is_empty() {
        let _ = writeln!(text, "no log line mentions {id}");
    }
    for (node, count) in &timeline.dropped {
        let _ = writeln!(text, "{node} did not write {count} lines in that time");
    }
    for (node, back) in &timeline.clocks_back_ms {
        let _ = writeln!(text, "the clock of {node} went back by {back} ms");
    }
    if timeline.unreadable > 0 {
        let _ = writeln!(text, "{} lines could not be read", timeline.unreadable);
    }
    text
}

fn plain_value(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
