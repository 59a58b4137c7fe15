//! What a batch lists, and how the table keeps it.

use crate::{ItemId, TextSegment};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sloetrail_types::WeightVersion;
use snafu::{ResultExt, Snafu};

/// Whether an item has its text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResultState {
    /// The text is whole and scored.
    Succeeded,
    /// The item was given up.
    Dead,
}

/// One entry of a batch's list. Once committed at a position it never changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedResult {
    /// The item.
    pub id: ItemId,
    /// Whether it has its text.
    pub state: ResultState,
    /// The data of all events in order, separated by line feeds.
    pub text: String,
    /// Every version that made an event.
    pub versions: Vec<WeightVersion>,
    /// The signature of the reward call's answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub score: Option<String>,
    /// True if with this entry and those before it all groups that the trainer waits for
    /// are whole. Kept with the entry and not told to readers.
    #[serde(default, skip_serializing_if = "is_false")]
    pub groups_are_whole: bool,
    /// Which engine made which events, in order. Kept only where the dialect tells it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub segments: Vec<TextSegment>,
}

fn is_false(value: &bool) -> bool {
    !value
}

/// A stored result that cannot be read.
#[derive(Debug, Snafu)]
#[snafu(display("a stored result cannot be read: {source}"))]
pub struct StoredResultError {
    source: ciborium::de::Error<std::io::Error>,
}

impl ListedResult {
    /// An entry for an item that was given up.
    pub fn dead(id: ItemId) -> Self {
        Self {
            id,
            state: ResultState::Dead,
            text: String::new(),
            versions: Vec::new(),
            score: None,
            groups_are_whole: false,
            segments: Vec::new(),
        }
    }

    /// The oldest version that made an event. An event whose engine named none counts as
    /// older than every version.
    pub fn oldest_version(&self) -> WeightVersion {
        let of_segments = self
            .segments
            .iter()
            .map(|segment| segment.version.unwrap_or_default());
        let named = self.versions.iter().copied();
        named.chain(of_segments).min().unwrap_or_default()
    }

    /// The stored form, cut into rows of at most `row_bytes`.
    pub fn to_rows(&self, row_bytes: usize) -> Vec<Bytes> {
        let mut encoded = Vec::new();
        ciborium::into_writer(self, &mut encoded).expect("memory takes every write");
        let encoded = Bytes::from(encoded);
        let cuts = (0..encoded.len()).step_by(row_bytes);
        cuts.map(|start| encoded.slice(start..encoded.len().min(start + row_bytes)))
            .collect()
    }

    /// Reads the stored form, joined again.
    pub fn from_stored(joined: &[u8]) -> Result<Self, StoredResultError> {
        ciborium::from_reader(joined).context(StoredResultSnafu)
    }
}
