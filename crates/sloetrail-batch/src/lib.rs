//! Batches of samples, without I/O or clocks.
//!
//! A trainer sends a [`Submission`]. The table stores a [`BatchHeader`] and a
//! [`ListedResult`] for each item. The owner of a service holds one [`Batch`] for each
//! open submission, which selects the next item to dispatch, records the outcome of
//! each run, and holds each item's [`Transcript`] so that an interrupted run resumes on
//! another engine. The owner assigns positions to results in the order of commit.
//!
//! Invariants:
//! - an item moves through waiting, running, rewarding, committing and listed; a failed
//!   run returns it to waiting, and listed is final;
//! - a transcript holds consecutive events, each with the weight version that generated it;
//! - an item becomes dead only for a [`DeathCause`].

mod batch;
mod batch_estimate;
mod checkpoint;
mod groups;
mod header;
mod item;
mod length_model;
mod reported_result;
mod required_work;
mod result;
mod segment;
mod submission;
mod transcript;
mod triage;

pub use batch::{Batch, DispatchOrder};
pub use batch_estimate::BatchEstimate;
pub use checkpoint::{Checkpoint, join_checkpoints};
pub use groups::{GroupIndex, GroupProgress};
pub use header::{BatchHeader, BatchId, is_usable_id};
pub use item::{DeathCause, Item, ItemIndex, ItemState, RunFailure};
pub use length_model::LengthModel;
pub use reported_result::{ReaderDemand, ReportedResult, ReportedResultState, ResultPage};
pub use result::{ListedResult, ResultState, StoredResultError};
pub use segment::TextSegment;
pub use submission::{ItemId, RewardCall, Submission, SubmissionError, SubmittedItem};
pub use transcript::{Transcript, TranscriptError, TranscriptEvent};
pub use triage::{BatchWork, DispatchClass, EventBudget, GroupWork, TriagedGroups, triage};

#[cfg(test)]
mod tests;
