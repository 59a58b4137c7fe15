//! Tracking of a request while it may be running at a back end.

use super::crash_watch::LostRun;
use super::{LastEvent, Quarantine, RequestIdentity};
use crate::back_end::BackEnd;
use crate::gateway::attempt::AttemptResult;
use std::sync::Arc;

/// Tracks one attempt of a request. Dropping it before the attempt has ended records the request
/// as abandoned: the back end may still crash under it unobserved.
pub(crate) struct RunWatch {
    quarantine: Arc<Quarantine>,
    back_end: Arc<BackEnd>,
    identity: Arc<RequestIdentity>,
    /// None if the answer is not a stream of events.
    last_event: Option<LastEvent>,
    is_over: bool,
}

impl RunWatch {
    /// Tracks a request that is about to be sent. `last_event` follows the events that the attempt
    /// receives; None if its answer is not a stream.
    pub(crate) fn new(
        quarantine: &Arc<Quarantine>,
        back_end: &Arc<BackEnd>,
        identity: Arc<RequestIdentity>,
        last_event: Option<&LastEvent>,
    ) -> Self {
        Self {
            quarantine: Arc::clone(quarantine),
            back_end: Arc::clone(back_end),
            identity,
            last_event: last_event.cloned(),
            is_over: false,
        }
    }

    /// Records the result of the attempt.
    pub(crate) fn end(self, result: &AttemptResult) {
        match result {
            AttemptResult::Answered(_) | AttemptResult::RanAndFailed(_) => self.answered(),
            AttemptResult::Lost => self.lost(),
            AttemptResult::NotSent => self.not_reached(),
            // It may still be running: dropping `self` records it as abandoned.
            AttemptResult::TimedOut => {}
            AttemptResult::NotRun
            | AttemptResult::WrongInstance
            | AttemptResult::Withheld
            | AttemptResult::TooLarge
            | AttemptResult::OutOfMemoryBudget => self.not_running(),
        }
    }

    /// Records that the back end has answered the request.
    pub(crate) fn answered(mut self) {
        self.is_over = true;
        if self.identity.is_suspect() {
            let service = &self.back_end.service;
            self.quarantine
                .record_answered_run(service, || self.identity.digest());
        }
    }

    /// Records that the connection broke.
    pub(crate) fn lost(mut self) {
        self.is_over = true;
        let run = self.lost_run();
        self.quarantine.record_lost_run(&self.back_end, run);
    }

    /// Records that the back end could not be reached.
    pub(crate) fn not_reached(mut self) {
        self.is_over = true;
        self.quarantine.record_unreached(&self.back_end);
    }

    fn lost_run(&self) -> LostRun {
        LostRun {
            request: self.identity.digest(),
            last_event: self.last_event.as_ref().map(LastEvent::number),
            is_suspect: self.identity.is_suspect(),
        }
    }

    /// Records that the request is not running, which says nothing about the back end.
    pub(crate) fn not_running(mut self) {
        self.is_over = true;
    }
}

impl Drop for RunWatch {
    fn drop(&mut self) {
        if !self.is_over {
            let run = self.lost_run();
            self.quarantine.record_abandoned_run(&self.back_end, run);
        }
    }
}
