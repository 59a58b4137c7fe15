//! The event stream of a run, generated at the event interval of the engine.

use super::records::RecordGuard;
use super::{FakeEngine, SpoiltNumber};
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
    pub(super) spoilt: Option<SpoiltNumber>,
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
        let mut text = self.next_event();
        while self.next <= self.last && self.leaves_with_previous(self.next) {
            text.push_str(&self.next_event());
        }
        Some((Ok(Frame::data(Bytes::from(text))), self))
    }

    /// True if an event leaves in one write with the event before it.
    fn leaves_with_previous(&self, number: u64) -> bool {
        let spoilt = self.spoilt.map(|spoilt| spoilt.event);
        spoilt.is_some_and(|spoilt| number == spoilt.max(2))
    }

    /// Generates and records the text of the next event.
    fn next_event(&mut self) -> String {
        let version = self.engine.current_version();
        let mut text = String::new();
        if version != self.version {
            self.version = version;
            text.push_str(&format!("{}: {version}\n", self.field));
        }
        let (number, id) = (self.next, &self.id);
        let spoilt = self.spoilt.filter(|spoilt| spoilt.event == number);
        match spoilt.map_or(Some(number), |spoilt| spoilt.shown) {
            Some(shown) => text.push_str(&format!("id: {shown}\n")),
            None => text.push_str(&format!("ix: {number}\n")),
        }
        text.push_str(&format!("data: {id}/{number}/{version}\n\n"));
        self.engine.record_event(id, number, version);
        self.next += 1;
        text
    }
}
