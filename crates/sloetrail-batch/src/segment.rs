//! Which engine and which weights made which part of a text.

use crate::TranscriptEvent;
use serde::{Deserialize, Serialize};
use sloetrail_types::{EngineId, WeightVersion};

/// Consecutive events of a text that one engine made under one version of the weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextSegment {
    /// The engine; absent for events whose engine was not kept.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engine: Option<EngineId>,
    /// The version, by the engine's own word; absent if it named none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<WeightVersion>,
    /// How many events.
    pub events: usize,
}

impl TextSegment {
    fn continues_with(&self, event: &TranscriptEvent) -> bool {
        self.engine == event.engine && self.version == event.version
    }
}

/// The segments of these events in order; none if no event names its engine.
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

/// Gives each event the engine that its segment names.
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
