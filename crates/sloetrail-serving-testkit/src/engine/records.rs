//! What a back end writes down of the requests and orders that came.

use super::FakeEngine;
use super::connection::text;
use crate::wire::ReadOrder;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

/// A request that began to run.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// The request's id.
    pub id: String,
    /// Its path.
    pub path: String,
    /// The number of the last event that the sender held.
    pub last_event: Option<u64>,
    /// The time that it was given, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Its rank; the most urgent is 0.
    pub priority: Option<u64>,
    /// The tenant that it was sent for.
    pub tenant: Option<String>,
    /// The names of all its headers.
    pub header_names: BTreeSet<String>,
    /// When it began.
    pub began: Instant,
    /// True once its answer was sent whole.
    pub finished: bool,
    /// True once the sender had gone before the end.
    pub abandoned: bool,
    /// When it ended, whole or not.
    pub ended: Option<Instant>,
}

/// An event that was made.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EventRecord {
    /// The item's id.
    pub id: String,
    /// Its number.
    pub number: u64,
    /// The version of the weights that made it.
    pub version: u64,
}

/// An order that came.
#[derive(Clone, Debug)]
pub struct OrderRecord {
    /// The order.
    pub order: ReadOrder,
    /// When it came.
    pub at: Instant,
    /// The answer.
    pub status: u16,
}

/// The record of a run; one that is dropped before its end was abandoned.
pub(super) struct RecordGuard {
    pub(super) engine: Arc<FakeEngine>,
    /// Where the record is among those of all runs.
    pub(super) index: usize,
    /// The number of the first event that is to be made.
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
    /// Writes down that a request began to run.
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
            first_event: last_event.map_or(1, |last| last + 1),
        }
    }

    /// Writes down that an event was made, before anybody is told.
    pub(super) fn record_event(&self, id: &str, number: u64, version: u64) {
        let id = id.to_owned();
        self.state().events.insert(EventRecord {
            id,
            number,
            version,
        });
    }

    /// Writes down that the answer of a request was sent whole.
    pub(super) fn record_completion(&self, record: RecordGuard) {
        let mut state = self.state();
        state.runs[record.index].finished = true;
        // The guard locks the state when it is dropped.
        drop(state);
    }
}
