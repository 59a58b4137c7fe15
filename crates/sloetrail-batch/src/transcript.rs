//! The text of a sample during generation.

use crate::TextSegment;
use crate::segment::segments_of;
use serde::{Deserialize, Serialize};
use sloetrail_types::{EngineId, WeightVersion};
use snafu::Snafu;

/// An event of a text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TranscriptEvent {
    /// Increases by one from event to event.
    pub number: u64,
    pub data: String,
    /// The weight version reported by the engine.
    pub version: Option<WeightVersion>,
    /// The engine that generated the event, if known. Checkpoints store it in segments
    /// instead of in each event.
    #[serde(skip)]
    pub engine: Option<EngineId>,
}

/// Consecutive events of one sample, from one run or from several runs that resumed each
/// other.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transcript {
    events: Vec<TranscriptEvent>,
}

#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(display("transcript event {number} does not follow event {last}"))]
pub struct TranscriptError {
    /// The number of the last event in the transcript.
    pub last: u64,
    /// The number of the refused event.
    pub number: u64,
}

impl Transcript {
    /// Appends the next event. Returns an error and changes nothing if its number is not the
    /// next.
    pub fn push(&mut self, event: TranscriptEvent) -> Result<(), TranscriptError> {
        if let Some(last) = self.last_number()
            && last.checked_add(1) != Some(event.number)
        {
            let number = event.number;
            return Err(TranscriptError { last, number });
        }
        self.events.push(event);
        Ok(())
    }

    pub fn last_number(&self) -> Option<u64> {
        self.events.last().map(|event| event.number)
    }

    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// The bytes of the data of all events.
    pub fn data_bytes(&self) -> usize {
        self.events.iter().map(|event| event.data.len()).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Returns the events after the first `count`.
    pub fn after(&self, count: usize) -> &[TranscriptEvent] {
        self.events.get(count..).unwrap_or_default()
    }

    /// Returns the distinct weight versions of the events, ascending.
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

    /// Returns the segments in order. Empty if no event names its engine.
    pub fn segments(&self) -> Vec<TextSegment> {
        segments_of(&self.events)
    }

    /// Returns true if every event has weight version `oldest` or newer.
    pub fn is_fresh(&self, oldest: WeightVersion) -> bool {
        self.events
            .iter()
            .all(|event| event.version.unwrap_or_default() >= oldest)
    }

    /// Returns the data of all events in order, separated by line feeds.
    pub fn text(&self) -> String {
        let data: Vec<&str> = self
            .events
            .iter()
            .map(|event| event.data.as_str())
            .collect();
        data.join("\n")
    }
}
