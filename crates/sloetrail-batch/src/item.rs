//! The state of an item of an open batch.

use crate::{SubmittedItem, Transcript};
use std::sync::Arc;

/// The index of an item in its submission.
pub type ItemIndex = usize;

/// Number of "impossible" answers after which an item is dead.
pub(crate) const MAX_IMPOSSIBLE_ANSWERS: usize = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemState {
    /// Waiting for an engine.
    Waiting,
    /// Running on an engine.
    Running,
    /// The text is complete and is being scored.
    Rewarding,
    /// The result is being committed.
    Committing,
    /// The result is in the list of the batch.
    Listed,
}

/// Why an item failed permanently.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeathCause {
    /// An engine answered that the item can never succeed.
    Impossible,
    /// The failed runs reached the attempt limit of the route.
    RunsFailed,
    /// The failed reward calls reached the attempt limit of the route.
    RewardFailed,
    /// The retention time of the batch elapsed.
    Expired,
}

/// Why a run ended without a complete text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunFailure {
    /// The engine answered that the run failed.
    Failed,
    /// The engine answered that the item can never succeed.
    Impossible,
    /// The engine did not run the item, or the answer was cut off. Retried on another engine.
    Interrupted,
}

/// An item of an open batch.
#[derive(Clone, Debug)]
pub struct Item {
    pub submitted: Arc<SubmittedItem>,
    pub state: ItemState,
    /// The events received so far.
    pub transcript: Transcript,
    /// The number of restarts of the text.
    pub generation: u32,
    /// The expected length, in the unit of the trainer's hint.
    pub expected_length: u64,
    /// The number of runs that an engine reported as failed.
    pub(crate) failed_runs: usize,
    /// The number of answers that the item can never succeed.
    pub(crate) impossible_answers: usize,
}
