//! The batch submission of a trainer.

use crate::header::is_usable_id;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Deserializer};
use sloetrail_types::{StepNumber, WeightVersion};
use snafu::{ResultExt, Snafu, ensure};
use std::collections::{BTreeMap, BTreeSet};

/// The id of an item, chosen by the trainer.
pub type ItemId = String;

/// A batch as the trainer submits it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Submission {
    /// The training step, counted from zero.
    #[serde(default)]
    pub step: Option<StepNumber>,
    /// The model that generates the samples.
    #[serde(default)]
    pub model: Option<String>,
    /// The oldest weight version that may generate a token.
    #[serde(default)]
    pub min_version: Option<WeightVersion>,
    /// The number of complete groups that the trainer waits for. None means all.
    #[serde(default, rename = "desired")]
    pub desired_groups: Option<usize>,
    pub items: Vec<SubmittedItem>,
}

/// An item of a batch.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct SubmittedItem {
    /// Unique within the batch.
    pub id: ItemId,
    /// The request path at the back end.
    pub path: String,
    /// The request headers.
    #[serde(default)]
    pub headers: BTreeMap<String, String>,
    /// The request body. Base64 in the submission.
    #[serde(default, deserialize_with = "base64_bytes")]
    pub body: Bytes,
    /// Prompt tokens plus the maximum number of output tokens.
    #[serde(default)]
    pub tokens: u64,
    /// The group. Its items share a prompt, and it is complete when all of them are listed.
    #[serde(default)]
    pub group: Option<String>,
    /// The request that scores the text.
    #[serde(default)]
    pub reward: Option<RewardCall>,
}

/// A request that scores a complete text.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct RewardCall {
    pub id: String,
    pub host: String,
    pub path: String,
    /// Base64 in the submission.
    #[serde(default, deserialize_with = "base64_bytes")]
    pub body: Bytes,
}

/// Why a submission is refused.
#[derive(Debug, Snafu)]
pub enum SubmissionError {
    /// The body is not valid JSON of a submission.
    #[snafu(display("cannot parse the batch as JSON: {source}"))]
    Unreadable { source: serde_json::Error },
    /// An item id is not valid as part of a row key.
    #[snafu(display(
        "item id {id:?} is empty, too long, or contains characters other than ASCII letters, digits, '-', '_', '.'"
    ))]
    UnusableId { id: String },
    /// Two items have the same id.
    #[snafu(display("duplicate item id {id:?}"))]
    DuplicateId { id: String },
}

impl Submission {
    /// Parses the JSON form and validates the item ids.
    pub fn parse(json: &[u8]) -> Result<Self, SubmissionError> {
        let submission: Self = serde_json::from_slice(json).context(UnreadableSnafu)?;
        let mut ids = BTreeSet::new();
        for item in &submission.items {
            ensure!(is_usable_id(&item.id), UnusableIdSnafu { id: &item.id });
            ensure!(ids.insert(&item.id), DuplicateIdSnafu { id: &item.id });
        }
        Ok(submission)
    }

    /// The oldest weight version that may generate a token. Zero if the trainer set none.
    pub fn oldest_version(&self) -> WeightVersion {
        self.min_version.unwrap_or_default()
    }
}

fn base64_bytes<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
    let text = std::borrow::Cow::<'de, str>::deserialize(deserializer)?;
    let bytes = STANDARD
        .decode(text.as_bytes())
        .map_err(serde::de::Error::custom)?;
    Ok(Bytes::from(bytes))
}
