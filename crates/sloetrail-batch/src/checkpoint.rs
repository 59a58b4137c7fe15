//! Partial texts stored in the table, from which a new owner resumes after the last stored
//! event.

use crate::segment::{assign_engines, segments_of};
use crate::{ItemIndex, TextSegment, Transcript, TranscriptEvent};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A run of consecutive events of an item's text. Checkpoints of one generation are
/// contiguous. A restarted text has the next generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Checkpoint {
    /// The index of the item in its submission.
    pub index: ItemIndex,
    /// The number of restarts of the text.
    pub generation: u32,
    /// The number of events of the text before this checkpoint.
    pub offset: usize,
    pub events: Vec<TranscriptEvent>,
}

/// The stored form of a [`Checkpoint`].
#[derive(Serialize, Deserialize)]
struct StoredCheckpoint<Events> {
    index: ItemIndex,
    generation: u32,
    offset: usize,
    events: Events,
    /// The engines of the events. Empty if no event names its engine.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    segments: Vec<TextSegment>,
}

impl Checkpoint {
    pub fn to_stored(&self) -> Bytes {
        let stored = StoredCheckpoint {
            index: self.index,
            generation: self.generation,
            offset: self.offset,
            events: &self.events,
            segments: segments_of(&self.events),
        };
        let mut encoded = Vec::new();
        ciborium::into_writer(&stored, &mut encoded).expect("writing to a Vec cannot fail");
        Bytes::from(encoded)
    }

    /// Decodes the stored form. Returns None if decoding fails.
    pub fn from_stored(stored: &[u8]) -> Option<Self> {
        let stored: StoredCheckpoint<Vec<TranscriptEvent>> = ciborium::from_reader(stored).ok()?;
        let mut events = stored.events;
        assign_engines(&mut events, &stored.segments);
        Some(Self {
            index: stored.index,
            generation: stored.generation,
            offset: stored.offset,
            events,
        })
    }
}

/// Joins the checkpoints of many items. Returns the newest generation of each item and its
/// events up to the first gap.
pub fn join_checkpoints(
    checkpoints: impl IntoIterator<Item = Checkpoint>,
) -> BTreeMap<ItemIndex, (u32, Transcript)> {
    let mut sorted: Vec<Checkpoint> = checkpoints.into_iter().collect();
    sorted.sort_by_key(|checkpoint| (checkpoint.index, checkpoint.generation, checkpoint.offset));
    let mut joined: BTreeMap<ItemIndex, (u32, Transcript)> = BTreeMap::new();
    for checkpoint in sorted {
        let entry = joined.entry(checkpoint.index).or_default();
        if checkpoint.generation > entry.0 {
            *entry = (checkpoint.generation, Transcript::default());
        }
        if checkpoint.offset != entry.1.len() {
            continue;
        }
        for event in checkpoint.events {
            if entry.1.push(event).is_err() {
                break;
            }
        }
    }
    joined
}
