//! What readers of a batch are told of its results.

use crate::{ItemId, ListedResult, ResultState, TextSegment};
use serde::Serialize;
use sloetrail_types::WeightVersion;

/// What a reader takes, by its dialect and its own word.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReaderDemand {
    /// True if it is told the segments of texts.
    pub segments: bool,
    /// The oldest version whose events it takes now; absent if it takes any.
    pub oldest_version: Option<WeightVersion>,
}

/// How an item ended, as a reader is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportedResultState {
    /// The text is whole and scored.
    Succeeded,
    /// The item was given up.
    Dead,
    /// The text is older than the reader takes now and is not handed over.
    TooOld,
}

/// An entry of a batch's list as a reader is told it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ReportedResult {
    /// The item.
    pub id: ItemId,
    /// How it ended.
    pub state: ReportedResultState,
    /// The data of all events in order, separated by line feeds.
    pub text: String,
    /// Every version that made an event.
    pub versions: Vec<WeightVersion>,
    /// The signature of the reward call's answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub score: Option<String>,
    /// Which engine made which events, in order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub segments: Vec<TextSegment>,
}

/// The answer to a reader of a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ResultPage {
    /// How many items the batch has.
    pub total: usize,
    /// The position from which to read on.
    pub next: usize,
    /// The results from the position asked for.
    pub results: Vec<ReportedResult>,
}

impl ReportedResult {
    /// An entry as a reader with this demand is told it.
    pub fn new(listed: ListedResult, demand: ReaderDemand) -> Self {
        let state = state_for(&listed, demand);
        let is_handed_over = state != ReportedResultState::TooOld;
        let told = Self {
            id: listed.id,
            state,
            text: String::new(),
            versions: listed.versions,
            score: None,
            segments: Vec::new(),
        };
        if !is_handed_over {
            return told;
        }
        Self {
            text: listed.text,
            score: listed.score,
            segments: match demand.segments {
                true => listed.segments,
                false => Vec::new(),
            },
            ..told
        }
    }
}

fn state_for(listed: &ListedResult, demand: ReaderDemand) -> ReportedResultState {
    let is_too_old = |oldest| listed.oldest_version() < oldest;
    match listed.state {
        ResultState::Dead => ReportedResultState::Dead,
        ResultState::Succeeded if demand.oldest_version.is_some_and(is_too_old) => {
            ReportedResultState::TooOld
        }
        ResultState::Succeeded => ReportedResultState::Succeeded,
    }
}

#[cfg(test)]
mod tests;
