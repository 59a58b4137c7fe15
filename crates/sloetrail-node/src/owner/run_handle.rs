//! How the rest of the node talks to a run's owner.

use super::body_cache::BodyCache;
use super::pull::with_bodies;
use crate::api::messages::{PullRequest, PullResponse, SubmitRequest, SubmitResponse};
use crate::state::NodeState;
use sloetrail_ledger::{FinishedSample, HandOver, Refusal, SubmitReport};
use sloetrail_result::{Problem, ResultCode};
use sloetrail_types::{Epoch, SampleId};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Why a call to the owner brought no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallFailure {
    /// The ledger refused; nothing was changed.
    Refused(Refusal),
    /// The node lost the run while it held the call.
    OwnerLost,
}

pub(crate) type Reply<T> = oneshot::Sender<Result<T, CallFailure>>;

/// A message to the owner.
pub(crate) enum RunCommand {
    Submit(SubmitRequest, Reply<SubmitReport>),
    Pull(PullRequest, Reply<Vec<HandOver>>),
    AttemptEnded(AttemptReport),
}

/// What became of an attempt at a sample.
pub(crate) struct AttemptReport {
    pub(crate) sample: SampleId,
    pub(crate) generation: u32,
    /// Nothing if the attempt must be made again.
    pub(crate) result: Option<FinishedSample>,
}

/// What the owner's actor and its callers share.
#[derive(Default)]
pub(crate) struct RunShared {
    pub(crate) table_is_blocked: AtomicBool,
    pub(crate) dispatch_stopped: AtomicBool,
    pub(crate) running: AtomicUsize,
    pub(crate) bodies: BodyCache,
}

/// A run that this node owns.
#[derive(Clone)]
pub(crate) struct RunHandle {
    pub(crate) epoch: Epoch,
    pub(crate) commands: mpsc::Sender<RunCommand>,
    pub(crate) cancel: CancellationToken,
    pub(crate) shared: Arc<RunShared>,
}

impl RunHandle {
    pub(crate) fn stop_dispatch(&self) {
        self.shared.dispatch_stopped.store(true, Ordering::SeqCst);
    }

    pub(crate) fn running(&self) -> usize {
        self.shared.running.load(Ordering::SeqCst)
    }

    pub(crate) async fn submit(&self, request: SubmitRequest) -> Result<SubmitResponse, Problem> {
        self.refuse_while_blocked()?;
        let report = self
            .call(|reply| RunCommand::Submit(request, reply))
            .await?;
        Ok(SubmitResponse {
            accepted: report.accepted,
            known: report.known,
        })
    }

    pub(crate) async fn pull(
        &self,
        state: &NodeState,
        request: PullRequest,
    ) -> Result<PullResponse, Problem> {
        self.refuse_while_blocked()?;
        let cursor = request.after;
        let entries = self.call(|reply| RunCommand::Pull(request, reply)).await?;
        with_bodies(state, &self.shared.bodies, cursor, entries).await
    }

    fn refuse_while_blocked(&self) -> Result<(), Problem> {
        if self.shared.table_is_blocked.load(Ordering::SeqCst) {
            let detail = "the table does not answer; nothing was changed";
            return Err(Problem::new(ResultCode::TableUnavailable, detail));
        }
        Ok(())
    }

    async fn call<T>(&self, command: impl FnOnce(Reply<T>) -> RunCommand) -> Result<T, Problem> {
        let (reply, answer) = oneshot::channel();
        let sent = self.commands.send_timeout(command(reply), ANSWER_TIMEOUT);
        if sent.await.is_err() {
            let detail = "the owner of the run takes no calls now";
            return Err(Problem::new(ResultCode::NoOwner, detail));
        }
        match tokio::time::timeout(ANSWER_TIMEOUT, answer).await {
            Ok(Ok(Ok(value))) => Ok(value),
            Ok(Ok(Err(CallFailure::Refused(refusal)))) => Err(refusal_problem(refusal)),
            Ok(Ok(Err(CallFailure::OwnerLost))) | Ok(Err(_)) => Err(owner_lost()),
            Err(_) => Err(Problem::new(
                ResultCode::WriteUnknown,
                "the table did not settle the call in time",
            )),
        }
    }
}

fn owner_lost() -> Problem {
    Problem::new(ResultCode::OwnerLost, "the owner of the run was lost")
}

fn refusal_problem(refusal: Refusal) -> Problem {
    let (code, detail) = match refusal {
        Refusal::CursorInvalid => (ResultCode::CursorInvalid, "the cursor is out of range"),
        Refusal::VersionWentBack => (
            ResultCode::VersionWentBack,
            "an earlier pull named a higher weight version",
        ),
        Refusal::StepClosed => (ResultCode::StepClosed, "the step is closed"),
        Refusal::LedgerFull => (ResultCode::LedgerFull, "the run's bound is reached"),
    };
    Problem::new(code, detail)
}
