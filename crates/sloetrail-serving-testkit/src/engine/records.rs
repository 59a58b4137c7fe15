//! Records of the requests, events and orders of a fake back end.

use super::FakeEngine;
use super::connection::text;
use crate::wire::ReadOrder;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

/// A request that started to run.
#[derive(Clone, Debug)]
pub struct RunRecord {
    pub id: String,
    pub path: String,
    /// The number of the last event that the sender already had.
    pub last_event: Option<u64>,
    /// The value of the deadline header in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The most urgent priority is 0.
    pub priority: Option<u64>,
    pub tenant: Option<String>,
    pub header_names: BTreeSet<String>,
    pub began: Instant,
    /// True once the complete response was sent.
    pub finished: bool,
    /// True if the sender disconnected before the end of the response.
    pub abandoned: bool,
    /// When the run ended, completed or not.
    pub ended: Option<Instant>,
}

/// A generated event of an item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EventRecord {
    pub id: String,
    pub number: u64,
    /// The weight version that generated it.
    pub version: u64,
}

/// An order that was applied or rejected.
#[derive(Clone, Debug)]
pub struct OrderRecord {
    pub order: ReadOrder,
    pub at: Instant,
    /// The HTTP status of the response.
    pub status: u16,
}

/// Marks the run as ended when dropped, and as abandoned if it had not finished.
pub(super) struct RecordGuard {
    pub(super) engine: Arc<FakeEngine>,
    /// The index of the record in the runs of the engine.
    pub(super) index: usize,
    /// The number of the first event to generate.
    pub(super) first_event: u64,
}

impl Drop for RecordGuard {
    fn drop(&mut self) {
        let mut state = self.engine.state();
        let record = &mut state.runs[self.index];
        record.abandoned = !record.finished;
        record.ended = Some(Instant::now());
    }
}

impl FakeEngine {
    pub(super) fn record_run(
        self: &Arc<Self>,
        head: &http::request::Parts,
        id: &str,
    ) -> RecordGuard {
        let names = self.wire.headers();
        let number = |name| text(&head.headers, name).and_then(|text| text.parse::<u64>().ok());
        let last_event = number(&names.last_event_id);
        let mut state = self.state();
        state.runs.push(RunRecord {
            id: id.to_owned(),
            path: head.uri.path().to_owned(),
            last_event,
            deadline_ms: number(&names.deadline_ms),
            priority: number(&names.priority),
            tenant: text(&head.headers, &names.tenant),
            header_names: head.headers.keys().map(ToString::to_string).collect(),
            began: Instant::now(),
            finished: false,
            abandoned: false,
            ended: None,
        });
        RecordGuard {
            engine: Arc::clone(self),
            index: state.runs.len() - 1,
            first_event: last_event.map_or(1, |last| last.saturating_add(1)),
        }
    }

    /// Records an event. Called before the event is sent.
    pub(super) fn record_event(&self, id: &str, number: u64, version: u64) {
        let id = id.to_owned();
        self.state().events.insert(EventRecord {
            id,
            number,
            version,
        });
    }

    /// Marks a run as finished after its complete response was sent.
    pub(super) fn record_completion(&self, record: RecordGuard) {
        let mut state = self.state();
        state.runs[record.index].finished = true;
        // Dropping the guard locks the state.
        drop(state);
    }
}
