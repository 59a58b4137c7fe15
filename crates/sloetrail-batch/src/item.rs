//! One item of an open batch, and where it stands.

use crate::{SubmittedItem, Transcript};
use std::sync::Arc;

/// An item's place in its submission.
pub type ItemIndex = usize;

/// Refusals of the kind "never possible" after which an item is given up.
pub(crate) const IMPOSSIBLE_ANSWERS_LIMIT: usize = 1;

/// Where an item stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemState {
    /// It waits for an engine.
    Waiting,
    /// It is at an engine.
    Running,
    /// Its text is whole and being scored.
    Rewarding,
    /// Its result is being committed.
    Committing,
    /// Its result is in the list.
    Listed,
}

/// Why an item is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeathCause {
    /// An engine said that it can never be done.
    Impossible,
    /// It failed as often as its route allows.
    RunsFailed,
    /// Its reward call failed as often as its route allows.
    RewardFailed,
    /// Its time of retention is over.
    Expired,
}

/// How a run ended without a whole text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunFailure {
    /// The engine answered that the run failed.
    Failed,
    /// The engine answered that the item can never be done.
    Impossible,
    /// The engine did not run it, or the answer broke off: try elsewhere.
    Interrupted,
}

/// One item with what has become of it.
#[derive(Clone, Debug)]
pub struct Item {
    /// What was submitted.
    pub submitted: Arc<SubmittedItem>,
    /// Where it stands.
    pub state: ItemState,
    /// The events kept so far.
    pub transcript: Transcript,
    /// How often the text has begun anew.
    pub generation: u32,
    /// The length that is expected, in the unit of the trainer's hint.
    pub expected_length: u64,
    /// Runs that the engine said had failed.
    pub(crate) failed_runs: usize,
    /// Answers that it can never be done.
    pub(crate) impossible_answers: usize,
}
