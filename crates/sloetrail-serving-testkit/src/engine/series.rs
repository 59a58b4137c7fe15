//! The events of a run, made one after the other at the engine's pace.

use super::FakeEngine;
use super::records::RecordGuard;
use bytes::Bytes;
use hyper::body::Frame;
use std::io;
use std::sync::Arc;

/// A series of events that is being made.
pub(super) struct Series {
    pub(super) engine: Arc<FakeEngine>,
    pub(super) record: Option<RecordGuard>,
    /// The item's id.
    pub(super) id: String,
    /// The number of the next event.
    pub(super) next: u64,
    /// The number of the last event.
    pub(super) last: u64,
    /// The version of the weights that made the event before.
    pub(super) version: u64,
    /// Events until the series breaks off; nothing if it does not.
    pub(super) remaining: Option<usize>,
    /// The field that tells of a change of the version.
    pub(super) field: String,
}

type Piece = Result<Frame<Bytes>, io::Error>;

impl Series {
    /// The next event, or the end.
    pub(super) async fn next(mut self) -> Option<(Piece, Self)> {
        if self.next > self.last {
            if let Some(record) = self.record.take() {
                let engine = Arc::clone(&self.engine);
                engine.record_completion(record);
            }
            return None;
        }
        if self.remaining == Some(0) {
            return Some((Err(io::Error::other("broken off")), self));
        }
        self.remaining = self.remaining.map(|remaining| remaining - 1);
        let event_interval = self.engine.state().event_interval;
        tokio::time::sleep(event_interval).await;
        let version = self.engine.current_version();
        let mut text = String::new();
        if version != self.version {
            self.version = version;
            text.push_str(&format!("{}: {version}\n", self.field));
        }
        let (number, id) = (self.next, &self.id);
        text.push_str(&format!("id: {number}\ndata: {id}/{number}/{version}\n\n"));
        self.engine.record_event(id, number, version);
        self.next += 1;
        Some((Ok(Frame::data(Bytes::from(text))), self))
    }
}
