//! Results of a batch as reported to its readers.

use crate::{ItemId, ListedResult, ResultState, TextSegment};
use serde::Serialize;
use sloetrail_types::WeightVersion;

/// The requirements of a reader, from its dialect and its request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReaderDemand {
    /// True if results include the segments of their texts.
    pub segments: bool,
    /// The oldest weight version that the reader accepts. None if it accepts all.
    pub oldest_version: Option<WeightVersion>,
}

/// The final state of an item as reported to a reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportedResultState {
    /// The text is complete, and scored if the item has a reward call.
    Succeeded,
    /// The item failed permanently.
    Dead,
    /// The text is older than the reader accepts and is omitted.
    TooOld,
}

/// An entry in the list of a batch as reported to a reader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ReportedResult {
    pub id: ItemId,
    pub state: ReportedResultState,
    /// The data of all events in order, separated by line feeds.
    pub text: String,
    /// The distinct weight versions that generated events, ascending.
    pub versions: Vec<WeightVersion>,
    /// The signature of the reward call's answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub score: Option<String>,
    /// The engine and weight version of each run of events, in order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub segments: Vec<TextSegment>,
}

/// A page of results of a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ResultPage {
    /// The number of items in the batch.
    pub total: usize,
    /// The position at which the next page starts.
    pub next: usize,
    /// The results from the requested position.
    pub results: Vec<ReportedResult>,
}

impl ReportedResult {
    /// Converts a listed result for a reader with this demand.
    pub fn new(listed: ListedResult, demand: ReaderDemand) -> Self {
        let state = state_for(&listed, demand);
        let includes_text = state != ReportedResultState::TooOld;
        let reported = Self {
            id: listed.id,
            state,
            text: String::new(),
            versions: listed.versions,
            score: None,
            segments: Vec::new(),
        };
        if !includes_text {
            return reported;
        }
        Self {
            text: listed.text,
            score: listed.score,
            segments: match demand.segments {
                true => listed.segments,
                false => Vec::new(),
            },
            ..reported
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
