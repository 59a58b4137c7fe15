//! The timeline of one request, batch or item, gathered from the logs of several nodes.
//!
//! A line belongs to the timeline if a field of its decision is the id asked for; for an
//! item its batch's lines belong to it as well, but not those of the batch's other
//! items. Each node's lines keep the order in which the node wrote them; between nodes
//! the time decides, so that clocks that disagree shift whole nodes and mix no lines.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Write;

/// Fields of a decision.
const EVENT: &str = "event";
const ITEM: &str = "item";
const BATCH: &str = "batch";
const REWARD: &str = "reward";
/// The event that tells of lines that were not written.
const DROPPED: &str = "lines_dropped";

/// One line of a log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct LogLine {
    /// The writer's time of day, in milliseconds.
    pub(crate) time_ms: u64,
    /// The writer.
    pub(crate) node: String,
    /// The part of the program.
    pub(crate) part: String,
    /// The decision.
    #[serde(default)]
    pub(crate) decision: Map<String, Value>,
}

/// The timeline of an id.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Timeline {
    /// The lines in order.
    pub(crate) lines: Vec<LogLine>,
    /// Nodes that dropped lines between the first and the last line, with how many.
    pub(crate) dropped: BTreeMap<String, u64>,
    /// Nodes whose time of day went back, with by how many milliseconds at largest.
    pub(crate) clocks_back_ms: BTreeMap<String, u64>,
    /// Lines of the logs that could not be read.
    pub(crate) unreadable: usize,
}

impl LogLine {
    /// Reads a line; whatever stands before its first brace is left out.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        serde_json::from_str(&text[start..]).ok()
    }

    /// The name of the decision.
    pub(crate) fn event(&self) -> &str {
        self.field(EVENT).unwrap_or("-")
    }

    /// A field of the decision that is a text.
    pub(crate) fn field(&self, name: &str) -> Option<&str> {
        self.decision.get(name).and_then(Value::as_str)
    }

    fn mentions(&self, ids: &BTreeSet<String>) -> bool {
        let values = self.decision.values();
        let mut texts = values.filter_map(Value::as_str);
        texts.any(|value| ids.contains(value))
    }

    /// True if the line is about an item that is not among these.
    fn is_about_another_item(&self, ids: &BTreeSet<String>) -> bool {
        self.field(ITEM).is_some_and(|item| !ids.contains(item))
    }
}

/// Gathers the timeline of an id from the texts of logs.
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
    let own = by_node.iter().map(|(node, lines)| {
        let named = lines.iter().filter(|line| line.mentions(&ids));
        let named = named.filter(|line| !is_item || !line.is_about_another_item(&ids));
        (node.clone(), named.cloned().collect())
    });
    timeline.lines = merge(own.collect());
    record_dropped_lines(&mut timeline, &by_node);
    timeline
}

/// The id and, for an item, its batch; for a reward call, its item and batch.
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

/// Merges the nodes' lines by time without changing the order of any node.
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

/// The timeline for people.
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
        // Writing to a string cannot fail.
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
        let _ = writeln!(text, "no line names {id}");
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
