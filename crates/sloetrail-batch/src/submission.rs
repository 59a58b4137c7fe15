//! What a trainer submits.

use crate::header::is_usable_id;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Deserializer};
use sloetrail_types::{StepNumber, WeightVersion};
use snafu::{ResultExt, Snafu, ensure};
use std::collections::{BTreeMap, BTreeSet};

/// An item's id, chosen by the trainer.
pub type ItemId = String;

/// A batch as it was sent.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Submission {
    /// The training step, counted from zero.
    #[serde(default)]
    pub step: Option<StepNumber>,
    /// The model whose weights make the samples.
    #[serde(default)]
    pub model: Option<String>,
    /// The oldest version that may make a token.
    #[serde(default)]
    pub min_version: Option<WeightVersion>,
    /// How many whole groups the trainer waits for; absent means all.
    #[serde(default, rename = "desired")]
    pub desired_groups: Option<usize>,
    /// The items.
    pub items: Vec<SubmittedItem>,
}

/// One item of a batch.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct SubmittedItem {
    /// Its id, unique within the batch.
    pub id: ItemId,
    /// The path at the back end.
    pub path: String,
    /// Headers that go with it.
    #[serde(default)]
    pub headers: BTreeMap<String, String>,
    /// The body, base64 in the submission.
    #[serde(default, deserialize_with = "base64_bytes")]
    pub body: Bytes,
    /// Tokens of the prompt and the most out, summed.
    #[serde(default)]
    pub tokens: u64,
    /// Items of one group share their prompt and count together.
    #[serde(default)]
    pub group: Option<String>,
    /// The call that scores the text.
    #[serde(default)]
    pub reward: Option<RewardCall>,
}

/// A request that scores a whole text.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct RewardCall {
    /// Its request id.
    pub id: String,
    /// The host of its route.
    pub host: String,
    /// Its path.
    pub path: String,
    /// Its body, base64 in the submission.
    #[serde(default, deserialize_with = "base64_bytes")]
    pub body: Bytes,
}

/// A submission that is refused.
#[derive(Debug, Snafu)]
pub enum SubmissionError {
    /// It is not the JSON that is expected.
    #[snafu(display("the batch cannot be read: {source}"))]
    Unreadable {
        /// What the parser said.
        source: serde_json::Error,
    },
    /// An id cannot be part of a key.
    #[snafu(display(
        "the id {id:?} is empty, too long or holds other signs than letters, digits, '-', '_', '.'"
    ))]
    UnusableId {
        /// The id as written.
        id: String,
    },
    /// Two items have one id.
    #[snafu(display("two items have the id {id:?}"))]
    DuplicateId {
        /// The id.
        id: String,
    },
}

impl Submission {
    /// Reads and checks the JSON form.
    pub fn parse(json: &[u8]) -> Result<Self, SubmissionError> {
        let submission: Self = serde_json::from_slice(json).context(UnreadableSnafu)?;
        let mut ids = BTreeSet::new();
        for item in &submission.items {
            ensure!(is_usable_id(&item.id), UnusableIdSnafu { id: &item.id });
            ensure!(ids.insert(&item.id), DuplicateIdSnafu { id: &item.id });
        }
        Ok(submission)
    }

    /// The oldest version that may make a token.
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
