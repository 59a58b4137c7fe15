//! Texts that are kept in the table while they are made, so that a new owner goes on
//! after the last event that was kept.

use crate::segment::{assign_engines, segments_of};
use crate::{ItemIndex, TextSegment, Transcript, TranscriptEvent};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A piece of an item's text. The pieces of one generation follow each other; a text
/// that begins anew has the next generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Checkpoint {
    /// The item's place in its submission.
    pub index: ItemIndex,
    /// How often the text has begun anew.
    pub generation: u32,
    /// How many events of the text lie before this piece.
    pub offset: usize,
    /// The events.
    pub events: Vec<TranscriptEvent>,
}

/// The stored form of a piece.
#[derive(Serialize, Deserialize)]
struct StoredCheckpoint<Events> {
    index: ItemIndex,
    generation: u32,
    offset: usize,
    events: Events,
    /// The engines of the events; empty where they are not told.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    segments: Vec<TextSegment>,
}

impl Checkpoint {
    /// The stored form.
    pub fn to_stored(&self) -> Bytes {
        let stored = StoredCheckpoint {
            index: self.index,
            generation: self.generation,
            offset: self.offset,
            events: &self.events,
            segments: segments_of(&self.events),
        };
        let mut encoded = Vec::new();
        ciborium::into_writer(&stored, &mut encoded).expect("memory takes every write");
        Bytes::from(encoded)
    }

    /// Reads the stored form; nothing if it cannot be read.
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

/// Puts the pieces of many items together: of each item the newest generation, as far
/// as its pieces follow each other without a gap.
pub fn join_checkpoints(
    pieces: impl IntoIterator<Item = Checkpoint>,
) -> BTreeMap<ItemIndex, (u32, Transcript)> {
    let mut sorted: Vec<Checkpoint> = pieces.into_iter().collect();
    sorted.sort_by_key(|piece| (piece.index, piece.generation, piece.offset));
    let mut joined: BTreeMap<ItemIndex, (u32, Transcript)> = BTreeMap::new();
    for piece in sorted {
        let entry = joined.entry(piece.index).or_default();
        if piece.generation > entry.0 {
            *entry = (piece.generation, Transcript::default());
        }
        if piece.offset != entry.1.len() {
            continue;
        }
        for event in piece.events {
            if entry.1.push(event).is_err() {
                break;
            }
        }
    }
    joined
}
