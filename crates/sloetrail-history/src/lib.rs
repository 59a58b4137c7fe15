//! Histories recorded at the edges, the invariants judged on them, and replay.
//!
//! Callers, engines, trainers, operators and the harness write [`Event`]s, one
//! JSON object a line; nodes write none. [`check`] judges a whole history, one
//! pure function per invariant, and counts what each one looked at: an invariant
//! that found nothing to check does not hold. [`replay`] feeds a recorded trace
//! to the decision logic and compares what comes out with what the trace states.

mod checks;
mod event;
mod replay;
mod verdict;

pub use checks::{CheckBounds, check};
pub use event::{
    ApplyOutcome, Event, EventBody, HandedSegment, HistoryError, RunClass, SendOutcome,
    merge_histories, read_history,
};
pub use replay::{ReplayError, ReplayReport, Trace, replay};
pub use verdict::{Invariant, Verdict, Violation};

#[cfg(test)]
mod tests;
