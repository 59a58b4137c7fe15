//! The engine and weight version of each part of a text.

use crate::TranscriptEvent;
use serde::{Deserialize, Serialize};
use sloetrail_types::{EngineId, WeightVersion};

/// Consecutive events of a text that one engine generated with one weight version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextSegment {
    /// None if the engine of the events was not stored.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engine: Option<EngineId>,
    /// The version reported by the engine. None if it reported none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<WeightVersion>,
    pub events: usize,
}

impl TextSegment {
    fn continues_with(&self, event: &TranscriptEvent) -> bool {
        self.engine == event.engine && self.version == event.version
    }
}

/// Returns the segments of these events in order. Empty if no event names its engine.
pub(crate) fn segments_of(events: &[TranscriptEvent]) -> Vec<TextSegment> {
    if events.iter().all(|event| event.engine.is_none()) {
        return Vec::new();
    }
    let mut segments: Vec<TextSegment> = Vec::new();
    for event in events {
        match segments.last_mut() {
            Some(last) if last.continues_with(event) => last.events += 1,
            _ => segments.push(TextSegment {
                engine: event.engine.clone(),
                version: event.version,
                events: 1,
            }),
        }
    }
    segments
}

/// Sets the engine of each event from its segment.
pub(crate) fn assign_engines(events: &mut [TranscriptEvent], segments: &[TextSegment]) {
    let engines = segments
        .iter()
        .flat_map(|segment| std::iter::repeat_n(&segment.engine, segment.events));
    for (event, engine) in events.iter_mut().zip(engines) {
        event.engine.clone_from(engine);
    }
}

#[cfg(test)]
mod tests;
