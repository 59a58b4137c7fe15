//! The text of a sample while it is made.

use crate::TextSegment;
use crate::segment::segments_of;
use serde::{Deserialize, Serialize};
use sloetrail_types::{EngineId, WeightVersion};
use snafu::Snafu;

/// One event of a text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TranscriptEvent {
    /// Its number; the next event has the next number.
    pub number: u64,
    /// Its data.
    pub data: String,
    /// The version of the weights that made it, by the engine's own word.
    pub version: Option<WeightVersion>,
    /// The engine that made it, where that is told. Kept with the events of a checkpoint
    /// as segments.
    #[serde(skip)]
    pub engine: Option<EngineId>,
}

/// Consecutive events of one sample, perhaps from several runs that continued
/// each other.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transcript {
    events: Vec<TranscriptEvent>,
}

/// An event that does not follow.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(display("event {number} does not follow event {last}"))]
pub struct TranscriptError {
    /// The number of the last event that is held.
    pub last: u64,
    /// The number of the event that came.
    pub number: u64,
}

impl Transcript {
    /// Adds the next event; an event out of turn is refused and changes nothing.
    pub fn push(&mut self, event: TranscriptEvent) -> Result<(), TranscriptError> {
        if let Some(last) = self.last_number()
            && event.number != last + 1
        {
            let number = event.number;
            return Err(TranscriptError { last, number });
        }
        self.events.push(event);
        Ok(())
    }

    /// The number of the last event.
    pub fn last_number(&self) -> Option<u64> {
        self.events.last().map(|event| event.number)
    }

    /// How many events there are.
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// True if there is no event.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// The events after the first `count`.
    pub fn after(&self, count: usize) -> &[TranscriptEvent] {
        self.events.get(count..).unwrap_or_default()
    }

    /// Every version that made an event, rising.
    pub fn versions(&self) -> Vec<WeightVersion> {
        let mut versions: Vec<WeightVersion> = self
            .events
            .iter()
            .filter_map(|event| event.version)
            .collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    /// Which engine made which events, in order; empty if no event names its engine.
    pub fn segments(&self) -> Vec<TextSegment> {
        segments_of(&self.events)
    }

    /// True if each event was made under `oldest` or newer weights.
    pub fn is_fresh(&self, oldest: WeightVersion) -> bool {
        self.events
            .iter()
            .all(|event| event.version.unwrap_or_default() >= oldest)
    }

    /// The data of all events in order, separated by line feeds.
    pub fn text(&self) -> String {
        let data: Vec<&str> = self
            .events
            .iter()
            .map(|event| event.data.as_str())
            .collect();
        data.join("\n")
    }
}
