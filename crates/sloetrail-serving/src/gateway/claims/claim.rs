//! A key that this node has claimed, until the outcome of its request is known.

use super::Claims;
use super::record::{ClaimRecord, ClaimState, StoredAnswer};
use super::writes::{BaseVersion, OutcomeWrite};
use crate::events::{self, Event};
use crate::http::CompleteAnswer;
use crate::table::RowAddress;
use crate::tasks;
use sloetrail_result::{Kind, Problem};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// A key that this node has claimed for a request.
///
/// Dropping it without [`Claim::end`], as when the caller disconnects, releases the key if no
/// attempt can have run. Otherwise the claim stays, since the request may have run.
pub(crate) struct Claim {
    claims: Arc<Claims>,
    request: String,
    address: RowAddress,
    record: ClaimRecord,
    base: BaseVersion,
    /// Number of attempts at back ends that may have run.
    possible_runs: AtomicUsize,
    /// True once the request has its final answer.
    has_ended: AtomicBool,
}

impl Claim {
    pub(super) fn new(
        claims: Arc<Claims>,
        request: String,
        address: RowAddress,
        record: ClaimRecord,
        base: BaseVersion,
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

    /// Records that an attempt is being sent to a back end.
    pub(crate) fn record_send(&self) {
        self.possible_runs.fetch_add(1, Ordering::SeqCst);
    }

    /// Records proof that a recorded attempt has not run.
    pub(crate) fn record_not_run(&self) {
        self.possible_runs.fetch_sub(1, Ordering::SeqCst);
    }

    /// Ends the claim with the final answer to the request: a back end's, or the node's own.
    pub(crate) fn end(&self, answer: Result<&CompleteAnswer, &Problem>) {
        self.has_ended.store(true, Ordering::SeqCst);
        match answer {
            Ok(answer) => self.store_answer(answer),
            Err(problem) => self.release_if_not_run(problem),
        }
    }

    /// Stores a back end's answer for repeats of the request.
    fn store_answer(&self, answer: &CompleteAnswer) {
        let state = ClaimState::Answered(StoredAnswer::of(answer));
        let outcome_write = self.outcome_write(state);
        let (bytes, limit) = (
            outcome_write.row_bytes(),
            self.claims.table.limits().row_bytes,
        );
        if bytes > limit {
            events::emit(&Event::ClaimLeft {
                request: &self.request,
                state: "answered",
                cause: "the answer exceeds the size limit of a row",
            });
            return;
        }
        tasks::spawn("claim outcome write", outcome_write.run());
    }

    /// Releases the key if the problem proves that nothing ran. Otherwise repeats are answered
    /// that the outcome is unknown.
    fn release_if_not_run(&self, problem: &Problem) {
        if problem.kind == Kind::NotRun {
            let release = self.outcome_write(ClaimState::Released);
            tasks::spawn("claim outcome write", release.run());
        }
    }

    fn outcome_write(&self, state: ClaimState) -> OutcomeWrite {
        OutcomeWrite::new(
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
        // Without a runtime the process is exiting; the claim stays as after a crash.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(self.outcome_write(ClaimState::Released).run());
        }
    }
}

#[cfg(test)]
mod tests;
