//! Batches of samples, without I/O or clocks.
//!
//! A [`Submission`] is what a trainer sends; [`BatchHeader`] and [`ListedResult`]
//! are what the table keeps. The owner of a service holds one [`Batch`] for each
//! open submission: it says which item goes to an engine next, takes in what became
//! of it, and keeps each item's [`Transcript`] so that a broken run can go on
//! elsewhere. Results get their positions from the owner, in the order in which
//! they are committed.
//!
//! Invariants:
//! - an item moves waiting, running, rewarding, committing, listed; a failed run
//!   brings it back to waiting, and nothing moves it out of listed;
//! - a transcript holds consecutive events, each with the version that made it;
//! - an item is given up as dead only for a cause that [`DeathCause`] names.

mod batch;
mod batch_estimate;
mod checkpoint;
mod groups;
mod header;
mod item;
mod length_model;
mod reported_result;
mod result;
mod segment;
mod submission;
mod transcript;

pub use batch::{Batch, DispatchOrder};
pub use batch_estimate::BatchEstimate;
pub use checkpoint::{Checkpoint, join_checkpoints};
pub use groups::GroupProgress;
pub use header::{BatchHeader, BatchId, is_usable_id};
pub use item::{DeathCause, Item, ItemIndex, ItemState, RunFailure};
pub use length_model::LengthModel;
pub use reported_result::{ReaderDemand, ReportedResult, ReportedResultState, ResultPage};
pub use result::{ListedResult, ResultState, StoredResultError};
pub use segment::TextSegment;
pub use submission::{ItemId, RewardCall, Submission, SubmissionError, SubmittedItem};
pub use transcript::{Transcript, TranscriptError, TranscriptEvent};

#[cfg(test)]
mod tests;
