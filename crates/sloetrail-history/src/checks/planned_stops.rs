//! I7 and I8.

use super::CheckBounds;
use crate::event::{Event, EventBody, SendOutcome};
use crate::verdict::{Invariant, Verdict};
use sloetrail_types::{EngineId, NodeId};
use std::collections::{BTreeMap, BTreeSet};

/// I7: no new work starts on a back end later than the bound after it was
/// marked as leaving. Every start while a back end is leaving is looked at.
pub(super) fn leaving_gets_no_work(history: &[Event], bounds: CheckBounds) -> Verdict {
    let mut verdict = Verdict::new(Invariant::I7);
    let bound = CheckBounds::microseconds(bounds.leaving);
    let mut leaving: BTreeMap<&EngineId, u64> = BTreeMap::new();
    for event in history {
        match &event.body {
            EventBody::EngineLeaving { engine } => {
                leaving.entry(engine).or_insert(event.at_us);
            }
            EventBody::EngineResumed { engine } => {
                leaving.remove(engine);
            }
            EventBody::RunStarted { engine, .. } | EventBody::GenerationStarted { engine, .. } => {
                if leaving.is_empty() {
                    continue;
                }
                let since = leaving.get(engine).copied().unwrap_or(event.at_us);
                let late = event.at_us.saturating_sub(since);
                verdict.judge((late > bound).then(|| {
                    format!(
                        "engine {engine} got work {} ms after its mark",
                        late / 1_000
                    )
                }));
            }
            _ => {}
        }
    }
    verdict
}

#[derive(Default)]
struct Open<'a> {
    /// Sendings without an end, and the node they went to.
    sends: BTreeMap<&'a str, &'a NodeId>,
    /// Runs without an end, and the back end they run on.
    runs: BTreeMap<&'a str, &'a EngineId>,
}

/// I8: a node that was asked to stop ends with code 0 and cuts no connection; a
/// back end that was marked as leaving ends what it has started, unless the one
/// that asked has gone; a caller that was cut off by that is judged by its own end.
pub(super) fn nothing_cut_off(history: &[Event]) -> Verdict {
    let mut verdict = Verdict::new(Invariant::I8);
    let killed_nodes = nodes_killed(history);
    let killed_engines = engines_killed(history);
    let mut stopping: BTreeSet<&NodeId> = BTreeSet::new();
    let mut left: BTreeSet<&EngineId> = BTreeSet::new();
    let mut open = Open::default();
    for event in history {
        match &event.body {
            EventBody::NodeStopping { node } => {
                stopping.insert(node);
            }
            EventBody::NodeStopped { node, code } => {
                verdict.judge((*code != 0).then(|| format!("node {node} ended with code {code}")));
            }
            EventBody::EngineLeaving { engine } => {
                left.insert(engine);
            }
            EventBody::RequestSent { send, node, .. } => {
                open.sends.insert(send, node);
            }
            EventBody::RequestEnded { send, outcome } => {
                let node = open.sends.remove(send.as_str());
                if let Some(node) = node.filter(|node| stopping.contains(node)) {
                    let cut = *outcome == SendOutcome::Cut && !killed_nodes.contains(node);
                    verdict.judge(cut.then(|| format!("node {node} stopped and cut send {send}")));
                }
            }
            EventBody::RunStarted { engine, send, .. } => {
                open.runs.insert(send, engine);
            }
            EventBody::RunEnded { send, .. } | EventBody::RunCancelled { send, .. } => {
                open.runs.remove(send.as_str());
            }
            _ => {}
        }
    }
    for engine in left.difference(&killed_engines) {
        let cut = open.runs.iter().find(|(_, on)| on == &engine);
        verdict.judge(cut.map(|(send, _)| format!("engine {engine} left and cut send {send}")));
    }
    verdict
}

fn nodes_killed(history: &[Event]) -> BTreeSet<&NodeId> {
    let killed = |event| match event {
        &Event {
            body: EventBody::NodeKilled { ref node },
            ..
        } => Some(node),
        _ => None,
    };
    history.iter().filter_map(killed).collect()
}

fn engines_killed(history: &[Event]) -> BTreeSet<&EngineId> {
    let killed = |event| match event {
        &Event {
            body: EventBody::EngineKilled { ref engine },
            ..
        } => Some(engine),
        _ => None,
    };
    history.iter().filter_map(killed).collect()
}
