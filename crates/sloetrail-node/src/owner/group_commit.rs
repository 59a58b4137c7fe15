//! Group commits of a run's ledger.
//!
//! One transaction is out at a time. Changes and answers that come meanwhile wait
//! for the next one; an answer goes out only after its group was committed.

use super::run_handle::{CallFailure, Reply};
use super::run_store::RunStore;
use crate::state::NodeState;
use sloetrail_clients::{Settled, Transaction};
use sloetrail_ledger::{JournalRecord, Ledger, RowChange};
use sloetrail_types::RowVersion;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const COMMIT_ROUND: Duration = Duration::from_secs(10);

/// An answer that waits for its group's commit.
type Answer = Box<dyn FnOnce(Result<(), CallFailure>) + Send>;

struct Underway {
    commit: Pin<Box<dyn Future<Output = Settled> + Send>>,
    started_at: Instant,
    answers: Vec<Answer>,
    /// Bodies that are of no more use once the group is committed.
    objects: Vec<String>,
}

/// Another owner has fenced this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Fenced;

/// The commits of one owner's ledger.
pub(super) struct GroupCommit {
    state: Arc<NodeState>,
    store: RunStore,
    journal_version: RowVersion,
    written: JournalRecord,
    waiting: Vec<Answer>,
    underway: Option<Underway>,
}

impl GroupCommit {
    /// After the owner's first write: the journal is `written` in this version.
    pub(super) fn new(
        state: Arc<NodeState>,
        store: RunStore,
        journal_version: RowVersion,
        written: JournalRecord,
    ) -> Self {
        Self {
            state,
            store,
            journal_version,
            written,
            waiting: Vec::new(),
            underway: None,
        }
    }

    /// Answers a call after the commit of what it changed.
    pub(super) fn answer_after<T: Send + 'static>(
        &mut self,
        result: Result<T, CallFailure>,
        reply: Reply<T>,
    ) {
        self.waiting.push(Box::new(move |committed| {
            // The caller may have gone away.
            let _ = reply.send(committed.and(result));
        }));
    }

    /// Starts the next group if none is out. Calls that changed nothing are
    /// answered at once.
    pub(super) fn start(&mut self, ledger: &mut Ledger) {
        if self.underway.is_some() {
            return;
        }
        let changes = ledger.take_changes();
        let journal = ledger.journal().clone();
        let answers = std::mem::take(&mut self.waiting);
        if changes.is_empty() && journal == self.written {
            return answer_all(answers, Ok(()));
        }
        let expected = Some(self.journal_version);
        let transaction = self
            .store
            .transaction(&self.state, expected, &journal, &changes);
        let marker = self.store.journal_key();
        self.written = journal;
        self.underway = Some(Underway {
            commit: Box::pin(commit(Arc::clone(&self.state), marker, transaction)),
            started_at: Instant::now(),
            answers,
            objects: objects_of_no_use(&changes),
        });
    }

    /// Waits for the group that is out; for ever if there is none.
    pub(super) async fn settled(&mut self) -> Settled {
        match &mut self.underway {
            Some(underway) => (&mut underway.commit).await,
            None => std::future::pending().await,
        }
    }

    /// Ends the group that is out.
    pub(super) fn end(&mut self, settled: Settled) -> Result<(), Fenced> {
        let Some(underway) = self.underway.take() else {
            return Ok(());
        };
        let Settled::Committed(version) = settled else {
            answer_all(underway.answers, Err(CallFailure::OwnerLost));
            self.fail_waiting();
            return Err(Fenced);
        };
        self.journal_version = version;
        answer_all(underway.answers, Ok(()));
        delete_objects(&self.state, underway.objects);
        Ok(())
    }

    /// Tells the calls that wait that the owner is lost.
    pub(super) fn fail_waiting(&mut self) {
        answer_all(
            std::mem::take(&mut self.waiting),
            Err(CallFailure::OwnerLost),
        );
    }

    /// True if the group that is out has taken longer than `time`.
    pub(super) fn is_out_longer_than(&self, time: Duration) -> bool {
        let underway = self.underway.as_ref();
        underway.is_some_and(|underway| underway.started_at.elapsed() > time)
    }
}

fn answer_all(answers: Vec<Answer>, outcome: Result<(), CallFailure>) {
    for answer in answers {
        answer(outcome);
    }
}

/// Commits until the outcome is known, however long the table is away.
async fn commit(state: Arc<NodeState>, marker: String, transaction: Transaction) -> Settled {
    let table = &state.clients.table;
    loop {
        let deadline = Instant::now() + COMMIT_ROUND;
        let settled = table.commit_settled(&transaction, &marker, deadline).await;
        match settled {
            Settled::NotExecuted | Settled::Unknown => {}
            known => return known,
        }
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
