//! The event stream of a run, generated at the event interval of the engine.

use super::FakeEngine;
use super::records::RecordGuard;
use bytes::Bytes;
use hyper::body::Frame;
use std::io;
use std::sync::Arc;

/// The state of an event stream.
pub(super) struct Series {
    pub(super) engine: Arc<FakeEngine>,
    pub(super) record: Option<RecordGuard>,
    pub(super) id: String,
    pub(super) next: u64,
    pub(super) last: u64,
    /// The weight version that generated the previous event.
    pub(super) version: u64,
    /// Events until the stream breaks off; None if it does not.
    pub(super) remaining: Option<usize>,
    /// The name of the event field that announces a new weight version.
    pub(super) field: String,
}

type Piece = Result<Frame<Bytes>, io::Error>;

impl Series {
    /// Generates the next event. None after the last one.
    pub(super) async fn next(mut self) -> Option<(Piece, Self)> {
        if self.next > self.last {
            if let Some(record) = self.record.take() {
                let engine = Arc::clone(&self.engine);
                engine.record_completion(record);
            }
            return None;
        }
        if self.remaining == Some(0) {
            return Some((
                Err(io::Error::other("fault: event stream broken off")),
                self,
            ));
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
