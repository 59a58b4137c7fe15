//! A key that this node has claimed, until it is known what became of its request.

use super::Claims;
use super::record::{ClaimRecord, ClaimState, StoredAnswer};
use super::writes::{Base, Ending};
use crate::events::{self, Event};
use crate::http::WholeAnswer;
use crate::table::RowAddress;
use sloetrail_result::{Kind, Problem};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// A key that this node has claimed for a request.
///
/// Dropped while nothing that was sent can have run, it frees the key: the caller has left.
/// Dropped otherwise it leaves the claim as it is, since the request may have run.
pub(crate) struct Claim {
    claims: Arc<Claims>,
    request: String,
    address: RowAddress,
    record: ClaimRecord,
    base: Base,
    /// Sendings to back ends that are not proved not to have run.
    possible_runs: AtomicUsize,
    /// True once it is known what became of the request.
    has_ended: AtomicBool,
}

impl Claim {
    pub(super) fn new(
        claims: Arc<Claims>,
        request: String,
        address: RowAddress,
        record: ClaimRecord,
        base: Base,
    ) -> Self {
        Self {
            claims,
            request,
            address,
            record,
            base,
            possible_runs: AtomicUsize::new(0),
            has_ended: AtomicBool::new(false),
        }
    }

    /// The request is being sent to a back end.
    pub(crate) fn record_send(&self) {
        self.possible_runs.fetch_add(1, Ordering::SeqCst);
    }

    /// A sending that was noted is proved not to have run.
    pub(crate) fn record_not_run(&self) {
        self.possible_runs.fetch_sub(1, Ordering::SeqCst);
    }

    /// The request has its final answer: a back end's, or the node's own.
    pub(crate) fn end(&self, answer: Result<&WholeAnswer, &Problem>) {
        self.has_ended.store(true, Ordering::SeqCst);
        match answer {
            Ok(answer) => self.answered(answer),
            Err(problem) => self.failed(problem),
        }
    }

    /// Keeps a back end's answer, which repeats get.
    fn answered(&self, answer: &WholeAnswer) {
        let state = ClaimState::Answered(StoredAnswer::of(answer));
        let ending = self.ending(state);
        let (bytes, limit) = (ending.row_bytes(), self.claims.table.limits().row_bytes);
        if bytes > limit {
            events::emit(&Event::ClaimLeft {
                request: &self.request,
                state: "answered",
                cause: "the answer is over the bound of a row",
            });
            return;
        }
        tokio::spawn(ending.run());
    }

    /// The node itself answers the request. If that proves that nothing ran, the key is free
    /// again; otherwise repeats are told that the outcome is not known.
    fn failed(&self, problem: &Problem) {
        if problem.kind == Kind::NotRun {
            tokio::spawn(self.ending(ClaimState::Released).run());
        }
    }

    fn ending(&self, state: ClaimState) -> Ending {
        Ending::new(
            Arc::clone(&self.claims),
            self.request.clone(),
            self.address.clone(),
            self.record.in_state(state),
            Some(self.base),
        )
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if *self.has_ended.get_mut() || *self.possible_runs.get_mut() > 0 {
            return;
        }
        // Without a runtime the node is ending, and leaves the claim as a killed one does.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(self.ending(ClaimState::Released).run());
        }
    }
}

#[cfg(test)]
mod tests;
