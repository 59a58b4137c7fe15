//! The owner of one run: the ledger, its group commits and its dispatch.
//!
//! Calls and finished attempts change the ledger in memory at once; their changes
//! and answers gather in a group while the group before is being committed. An
//! answer goes out only after its group was committed. A refused commit means
//! that another owner has fenced this one: the actor ends.

use super::dispatcher::Dispatcher;
use super::run_handle::{AttemptReport, CallFailure, Reply, RunCommand, RunHandle, RunShared};
use super::run_store::{FenceFailure, FencedRun, RunStore};
use crate::api::messages::{PullRequest, SubmitRequest};
use crate::state::NodeState;
use sloetrail_config::Run;
use sloetrail_ledger::{FinishOutcome, HandOver, Ledger, Limits, RowChange, SubmitReport};
use sloetrail_platform::Settled;
use sloetrail_types::{Epoch, RunName};
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

const COMMAND_QUEUE: usize = 4_096;
const COMMANDS_PER_GROUP: usize = 512;
const DISPATCH_PERIOD: Duration = Duration::from_millis(20);
const FENCE_RETRY: Duration = Duration::from_millis(200);
/// A commit that takes longer counts as a table outage.
const BLOCKED_AFTER: Duration = Duration::from_millis(1_000);
const COMMIT_ROUND: Duration = Duration::from_secs(10);

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

/// An answer that waits for its group's commit.
type Answer = Box<dyn FnOnce(Result<(), CallFailure>) + Send>;

type Commit = Pin<Box<dyn Future<Output = Settled> + Send>>;

struct Committing {
    commit: Commit,
    started_at: Instant,
    answers: Vec<Answer>,
    /// Bodies that are of no more use once the group is committed.
    objects: Vec<String>,
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
        let mut written = ledger.journal().clone();
        let mut journal_version = fenced.journal_version;
        let mut dispatcher = Dispatcher::new(
            Arc::clone(&self.state),
            self.run.clone(),
            self.epoch,
            self.commands.clone(),
            Arc::clone(&self.shared),
            self.cancel.clone(),
        );
        log::info!(target: "ledger", "Run {} recovered with {} samples.", self.run.name, ledger.held());
        let mut answers: Vec<Answer> = Vec::new();
        let mut committing: Option<Committing> = None;
        let mut ticker = tokio::time::interval(DISPATCH_PERIOD);
        ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut group = Vec::with_capacity(COMMANDS_PER_GROUP);
        loop {
            if committing.is_none() {
                let changes = ledger.take_changes();
                let objects = objects_of_no_use(&changes);
                let journal = ledger.journal().clone();
                if changes.is_empty() && journal == written {
                    answer_all(&mut answers, Ok(()));
                } else {
                    let transaction = self.store.transaction(
                        &self.state,
                        Some(journal_version),
                        &journal,
                        &changes,
                    );
                    written = journal;
                    committing = Some(Committing {
                        commit: commit(&self.state, self.store.journal_key(), transaction),
                        started_at: Instant::now(),
                        answers: std::mem::take(&mut answers),
                        objects,
                    });
                }
            }
            self.note_blocked(committing.as_ref());
            tokio::select! {
                settled = finished(&mut committing) => {
                    let mut done = committing.take().expect("it has just finished");
                    match settled {
                        Settled::Committed(version) => {
                            journal_version = version;
                            answer_all(&mut done.answers, Ok(()));
                            delete_objects(&self.state, done.objects);
                        }
                        _ => {
                            answer_all(&mut done.answers, Err(CallFailure::OwnerLost));
                            answer_all(&mut answers, Err(CallFailure::OwnerLost));
                            return self.lose("its write was refused");
                        }
                    }
                }
                count = receiver.recv_many(&mut group, COMMANDS_PER_GROUP) => {
                    if count == 0 {
                        return;
                    }
                    for command in group.drain(..) {
                        self.take_in(&mut ledger, command, &mut answers);
                    }
                }
                _ = ticker.tick() => {
                    self.refresh(&mut ledger, &mut dispatcher);
                    dispatcher.dispatch(&mut ledger);
                }
                () = self.cancel.cancelled() => {
                    answer_all(&mut answers, Err(CallFailure::OwnerLost));
                    return;
                }
            }
        }
    }

    fn take_in(&self, ledger: &mut Ledger, command: RunCommand, answers: &mut Vec<Answer>) {
        match command {
            RunCommand::Submit(request, reply) => submit(ledger, request, reply, answers),
            RunCommand::Pull(request, reply) => pull(ledger, request, reply, answers),
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

    fn note_blocked(&self, committing: Option<&Committing>) {
        let blocked = committing.is_some_and(|group| group.started_at.elapsed() > BLOCKED_AFTER);
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

fn submit(
    ledger: &mut Ledger,
    request: SubmitRequest,
    reply: Reply<SubmitReport>,
    answers: &mut Vec<Answer>,
) {
    let result = ledger.submit(request.step, request.samples);
    answer_after_commit(result.map_err(CallFailure::Refused), reply, answers);
}

fn pull(
    ledger: &mut Ledger,
    request: PullRequest,
    reply: Reply<Vec<HandOver>>,
    answers: &mut Vec<Answer>,
) {
    let result = ledger.pull(
        request.after,
        request.limit,
        request.trainer_version,
        request.through_step,
    );
    answer_after_commit(result.map_err(CallFailure::Refused), reply, answers);
}

fn answer_after_commit<T: Send + 'static>(
    result: Result<T, CallFailure>,
    reply: Reply<T>,
    answers: &mut Vec<Answer>,
) {
    answers.push(Box::new(move |committed| {
        // The caller may have gone away.
        let _ = reply.send(committed.and(result));
    }));
}

fn answer_all(answers: &mut Vec<Answer>, outcome: Result<(), CallFailure>) {
    for answer in answers.drain(..) {
        answer(outcome);
    }
}

fn objects_of_no_use(changes: &[RowChange]) -> Vec<String> {
    let object = |change: &RowChange| match change {
        RowChange::DeleteSample { object, .. } => object.clone(),
        _ => None,
    };
    changes.iter().filter_map(object).collect()
}

/// Deletes bodies in the background, once each. One that is missed, as by a death
/// here, stays in the store.
fn delete_objects(state: &Arc<NodeState>, objects: Vec<String>) {
    if objects.is_empty() {
        return;
    }
    let state = Arc::clone(state);
    tokio::spawn(async move {
        for object in objects {
            if let Err(error) = state.clients.objects.delete(&object).await {
                log::debug!(target: "ledger", "Object {object} was not deleted: {error}.");
            }
        }
    });
}

/// Commits until the outcome is known, however long the table is away.
fn commit(
    state: &Arc<NodeState>,
    marker: String,
    transaction: sloetrail_platform::Transaction,
) -> Commit {
    let state = Arc::clone(state);
    Box::pin(async move {
        let table = &state.clients.table;
        loop {
            let deadline = Instant::now() + COMMIT_ROUND;
            let settled = table.commit_settled(&transaction, &marker, deadline).await;
            match settled {
                Settled::NotExecuted | Settled::Unknown => {}
                known => return known,
            }
        }
    })
}

async fn finished(committing: &mut Option<Committing>) -> Settled {
    match committing {
        Some(group) => (&mut group.commit).await,
        None => std::future::pending().await,
    }
}
