//! The sample ledger of one training run.
//!
//! A sample moves queued → finished → delivered, and only forward, with one
//! exception: a sample that is too old when it would be handed over goes back to
//! queued under the same id. Which engine runs a queued sample is not durable:
//! a lost attempt is simply run again.
//!
//! The owner of the run feeds calls into [`Ledger`] and writes what
//! [`Ledger::take_changes`] returns in one transaction, conditional on the
//! journal row that the owner before it wrote. Nothing is answered before that
//! transaction has been carried out; if it is refused, the owner has lost the
//! run and drops the ledger.
//!
//! Invariants: a sequence number is given once, to one sample; a sample has at
//! most one sequence number that is not withdrawn; a sample is only delivered
//! within the staleness bound of the version that the trainer named.

mod dispatch;
mod ledger;
mod length_history;
mod record;

pub use dispatch::DispatchQueue;
pub use ledger::{FinishOutcome, HandOver, Ledger, Limits, Refusal, SubmitReport};
pub use length_history::LengthHistory;
pub use record::{
    FinishedSample, JournalRecord, NewSample, RowChange, SampleRecord, SampleStatus, StoredRun,
};

#[cfg(test)]
mod tests;
