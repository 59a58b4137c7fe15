//! The listed results of a batch and their stored form.

use crate::{ItemId, TextSegment};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sloetrail_types::WeightVersion;
use snafu::{ResultExt, Snafu};

/// The final state of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResultState {
    /// The text is complete, and scored if the item has a reward call.
    Succeeded,
    /// The item failed permanently.
    Dead,
}

/// An entry in the list of a batch. Immutable once committed at a position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedResult {
    pub id: ItemId,
    pub state: ResultState,
    /// The data of all events in order, separated by line feeds.
    pub text: String,
    /// The distinct weight versions that generated events, ascending.
    pub versions: Vec<WeightVersion>,
    /// The signature of the reward call's answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub score: Option<String>,
    /// True if all required groups are complete with this entry and the entries before it.
    /// Stored with the entry, but not reported to readers.
    #[serde(default, skip_serializing_if = "is_false")]
    pub groups_are_whole: bool,
    /// The engine and weight version of each run of events, in order. Empty if the dialect
    /// does not name engines.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub segments: Vec<TextSegment>,
}

fn is_false(value: &bool) -> bool {
    !value
}

#[derive(Debug, Snafu)]
#[snafu(display("cannot decode the stored result: {source}"))]
pub struct StoredResultError {
    source: ciborium::de::Error<std::io::Error>,
}

impl ListedResult {
    /// Creates the entry of a dead item.
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

    /// Returns the oldest version that generated an event. An event without a version counts
    /// as older than every version.
    pub fn oldest_version(&self) -> WeightVersion {
        let of_segments = self
            .segments
            .iter()
            .map(|segment| segment.version.unwrap_or_default());
        let named = self.versions.iter().copied();
        named.chain(of_segments).min().unwrap_or_default()
    }

    /// Encodes the result and splits it into rows of at most `row_bytes`.
    pub fn to_rows(&self, row_bytes: usize) -> Vec<Bytes> {
        let mut encoded = Vec::new();
        ciborium::into_writer(self, &mut encoded).expect("writing to a Vec cannot fail");
        let encoded = Bytes::from(encoded);
        let cuts = (0..encoded.len()).step_by(row_bytes);
        cuts.map(|start| encoded.slice(start..encoded.len().min(start + row_bytes)))
            .collect()
    }

    /// Decodes the result from its concatenated rows.
    pub fn from_stored(joined: &[u8]) -> Result<Self, StoredResultError> {
        ciborium::from_reader(joined).context(StoredResultSnafu)
    }
}
