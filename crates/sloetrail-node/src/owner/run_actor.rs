//! The owner of one run: the ledger, its commits and its dispatch.
//!
//! Calls and finished attempts change the ledger in memory at once; `group_commit`
//! makes the changes durable and answers the calls after that. A refused commit
//! means that another owner has fenced this one: the actor ends.

use super::dispatcher::Dispatcher;
use super::group_commit::{Fenced, GroupCommit};
use super::run_handle::{AttemptReport, CallFailure, RunCommand, RunHandle, RunShared};
use super::run_store::{FenceFailure, FencedRun, RunStore};
use crate::state::NodeState;
use sloetrail_config::Run;
use sloetrail_ledger::{FinishOutcome, Ledger, Limits};
use sloetrail_types::{Epoch, RunName};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

const COMMAND_QUEUE: usize = 4_096;
const COMMANDS_PER_GROUP: usize = 512;
const DISPATCH_PERIOD: Duration = Duration::from_millis(20);
const FENCE_RETRY: Duration = Duration::from_millis(200);
/// A commit that takes longer counts as a table outage.
const BLOCKED_AFTER: Duration = Duration::from_millis(1_000);

/// Starts the owner of a run unless it is running under this epoch.
pub(crate) fn start_run_owner(state: &Arc<NodeState>, run: &RunName, epoch: Epoch) {
    let configured = state.configuration().configuration.runs.get(run).cloned();
    let Some(configured) = configured else { return };
    let mut runs = state.runs();
    if runs.get(run).is_some_and(|handle| handle.epoch == epoch) {
        return;
    }
    let (commands, receiver) = mpsc::channel(COMMAND_QUEUE);
    let cancel = state.cancel.child_token();
    let shared = Arc::new(RunShared::default());
    let handle = RunHandle {
        epoch,
        commands: commands.clone(),
        cancel: cancel.clone(),
        shared: Arc::clone(&shared),
    };
    if let Some(earlier) = runs.insert(run.clone(), handle) {
        earlier.cancel.cancel();
    }
    log::info!(target: "ledger", "Owner of run {run} under epoch {epoch}.");
    let owner = RunOwner {
        state: Arc::clone(state),
        store: RunStore::new(run.clone()),
        run: configured,
        epoch,
        cancel,
        shared,
        commands,
    };
    tokio::spawn(owner.start(receiver));
}

struct RunOwner {
    state: Arc<NodeState>,
    store: RunStore,
    run: Run,
    epoch: Epoch,
    cancel: CancellationToken,
    shared: Arc<RunShared>,
    commands: mpsc::Sender<RunCommand>,
}

impl RunOwner {
    async fn start(self, receiver: mpsc::Receiver<RunCommand>) {
        loop {
            tokio::select! {
                fenced = self.store.fence(&self.state, self.epoch) => match fenced {
                    Ok(fenced) => return self.serve(receiver, fenced).await,
                    Err(FenceFailure::Superseded) => return self.lose("a newer owner is there"),
                    Err(FenceFailure::Unavailable) => {}
                },
                () = self.cancel.cancelled() => return,
            }
            tokio::time::sleep(FENCE_RETRY).await;
        }
    }

    async fn serve(mut self, mut receiver: mpsc::Receiver<RunCommand>, fenced: FencedRun) {
        let mut ledger = Ledger::recover(self.limits(), self.epoch, fenced.stored);
        let mut commits = GroupCommit::new(
            Arc::clone(&self.state),
            self.store.clone(),
            fenced.journal_version,
            ledger.journal().clone(),
        );
        let mut dispatcher = self.new_dispatcher();
        log::info!(target: "ledger", "Run {} recovered with {} samples.", self.run.name, ledger.held());
        let mut ticker = tokio::time::interval(DISPATCH_PERIOD);
        ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut group = Vec::with_capacity(COMMANDS_PER_GROUP);
        loop {
            commits.start(&mut ledger);
            self.note_blocked(commits.is_out_longer_than(BLOCKED_AFTER));
            tokio::select! {
                settled = commits.settled() => {
                    if commits.end(settled) == Err(Fenced) {
                        return self.lose("its write was refused");
                    }
                }
                count = receiver.recv_many(&mut group, COMMANDS_PER_GROUP) => {
                    if count == 0 {
                        return;
                    }
                    for command in group.drain(..) {
                        self.take_in(&mut ledger, &mut commits, command);
                    }
                }
                _ = ticker.tick() => {
                    self.refresh(&mut ledger, &mut dispatcher);
                    dispatcher.dispatch(&mut ledger);
                }
                () = self.cancel.cancelled() => return commits.fail_waiting(),
            }
        }
    }

    fn new_dispatcher(&self) -> Dispatcher {
        Dispatcher::new(
            Arc::clone(&self.state),
            self.run.clone(),
            self.epoch,
            self.commands.clone(),
            Arc::clone(&self.shared),
            self.cancel.clone(),
        )
    }

    fn take_in(&self, ledger: &mut Ledger, commits: &mut GroupCommit, command: RunCommand) {
        match command {
            RunCommand::Submit(request, reply) => {
                let result = ledger.submit(request.step, request.samples);
                commits.answer_after(result.map_err(CallFailure::Refused), reply);
            }
            RunCommand::Pull(request, reply) => {
                let result = ledger.pull(
                    request.after,
                    request.limit,
                    request.trainer_version,
                    request.through_step,
                );
                commits.answer_after(result.map_err(CallFailure::Refused), reply);
            }
            RunCommand::AttemptEnded(report) => self.end_attempt(ledger, report),
        }
    }

    fn end_attempt(&self, ledger: &mut Ledger, report: AttemptReport) {
        self.shared.running.fetch_sub(1, Ordering::SeqCst);
        let Some(result) = report.result else {
            return ledger.abandon(&report.sample);
        };
        let outcome = ledger.finish(&report.sample, report.generation, result);
        let label = match outcome {
            FinishOutcome::Recorded => "recorded",
            FinishOutcome::TooOld => "too_old",
            FinishOutcome::Ignored => "ignored",
        };
        metrics::counter!("sloetrail_samples_finished_total", "outcome" => label).increment(1);
    }

    /// Follows changes of the run's configuration.
    fn refresh(&mut self, ledger: &mut Ledger, dispatcher: &mut Dispatcher) {
        let configuration = self.state.configuration().configuration;
        let Some(run) = configuration.runs.get(&self.run.name) else {
            return;
        };
        if *run != self.run {
            self.run = run.clone();
            ledger.set_limits(self.limits());
            dispatcher.set_run(run.clone());
        }
    }

    fn limits(&self) -> Limits {
        Limits {
            staleness_bound: self.run.staleness_bound,
            unfinished_limit: self.run.unfinished_limit,
        }
    }

    fn note_blocked(&self, blocked: bool) {
        let was = self.shared.table_is_blocked.swap(blocked, Ordering::SeqCst);
        if blocked != was {
            log::warn!(target: "ledger", "Run {}: table blocked is {blocked}.", self.run.name);
        }
    }

    fn lose(&self, reason: &str) {
        log::warn!(target: "ledger", "Run {} lost under epoch {}: {reason}.", self.run.name, self.epoch);
        self.cancel.cancel();
        let mut runs = self.state.runs();
        if runs
            .get(&self.run.name)
            .is_some_and(|handle| handle.epoch == self.epoch)
        {
            runs.remove(&self.run.name);
        }
    }
}
