//! Watching over a request while it may be running at a back end.

use super::{Quarantine, RequestIdentity};
use crate::back_end::BackEnd;
use crate::gateway::attempt::AttemptResult;
use std::sync::Arc;

/// Watches over one attempt of a request. Dropped before the attempt has ended, the request was
/// left to itself: the back end may still crash under it, and nobody would see that it did.
pub(crate) struct RunWatch {
    quarantine: Arc<Quarantine>,
    back_end: Arc<BackEnd>,
    identity: Arc<RequestIdentity>,
    is_over: bool,
}

impl RunWatch {
    /// Watches over a request that is about to be sent.
    pub(super) fn new(
        quarantine: Arc<Quarantine>,
        back_end: Arc<BackEnd>,
        identity: Arc<RequestIdentity>,
    ) -> Self {
        Self {
            quarantine,
            back_end,
            identity,
            is_over: false,
        }
    }

    /// The attempt has ended.
    pub(crate) fn end(self, result: &AttemptResult) {
        match result {
            AttemptResult::Answered(_) | AttemptResult::RanAndFailed(_) => self.answered(),
            AttemptResult::Lost => self.lost(),
            AttemptResult::NotSent => self.not_reached(),
            // It may still run: as if it had been left.
            AttemptResult::TimedOut => {}
            AttemptResult::NotRun
            | AttemptResult::WrongInstance
            | AttemptResult::Withheld
            | AttemptResult::TooLarge => self.not_running(),
        }
    }

    /// The back end has run the request and answered it.
    pub(crate) fn answered(mut self) {
        self.is_over = true;
        let service = &self.back_end.service;
        self.quarantine
            .record_answered_run(service, || self.identity.digest());
    }

    /// The connection broke.
    pub(crate) fn lost(mut self) {
        self.is_over = true;
        self.quarantine
            .record_lost_run(&self.back_end, self.identity.digest());
    }

    /// The back end could not be reached.
    pub(crate) fn not_reached(mut self) {
        self.is_over = true;
        self.quarantine.record_unreached(&self.back_end);
    }

    /// The request does not run there, and says nothing of the back end.
    pub(crate) fn not_running(mut self) {
        self.is_over = true;
    }
}

impl Drop for RunWatch {
    fn drop(&mut self) {
        if !self.is_over {
            let digest = self.identity.digest();
            self.quarantine.record_abandoned_run(&self.back_end, digest);
        }
    }
}
