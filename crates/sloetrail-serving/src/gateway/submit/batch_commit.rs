//! Commits the rows of a batch, with retries.

use super::waiting::{AcceptanceError, WaitingSubmissions, wait_for_table};
use super::{Acceptance, MAX_RETRY_AFTER_SHARE};
use crate::context::NodeContext;
use crate::events::{self, Event};
use crate::gateway::batch_lookup::RETRY_AFTER;
use crate::gateway::stop::CallProgress;
use crate::leases::{BatchSet, Registration, require_registration};
use crate::rows;
use crate::table::{Commit, CommitError, Transaction};
use sloetrail_clock::BootInstant;
use sloetrail_result::{Problem, ResultCode};
use sloetrail_types::whole_millis;
use std::time::Duration;

/// Maximum retry delay if the outage outlasts the wait. The retry waits for the table as well,
/// so a short delay suffices.
const MAX_OUTAGE_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Delay between attempts at a failed transaction.
const COMMIT_RETRY_INTERVAL: Duration = Duration::from_millis(25);

/// The transactions that store a batch, in the order in which they are committed.
pub(super) struct BatchTransactions {
    /// Rows of the submission that do not fit into the last transaction. They are ignored without
    /// a header.
    pub(super) submission_parts: Vec<Transaction>,
    /// Stores the header, on condition that it does not exist, and the rest of the submission.
    pub(super) header: Transaction,
}

/// Commits the transactions of one batch, with retries.
pub(super) struct BatchCommit<'a> {
    pub(super) context: &'a NodeContext,
    pub(super) waiting: &'a WaitingSubmissions,
    pub(super) id: &'a str,
    pub(super) body_bytes: usize,
    pub(super) acceptance_deadline: BootInstant,
    pub(super) deadline: BootInstant,
    pub(super) progress: &'a CallProgress,
    /// True if an attempt got no answer and may still take effect.
    pub(super) is_outcome_unknown: bool,
}

impl BatchCommit<'_> {
    pub(super) async fn run(
        mut self,
        batch: BatchTransactions,
        set: &BatchSet,
    ) -> Result<Acceptance, Problem> {
        for parts in &batch.submission_parts {
            // Has no conditions, so that it cannot conflict.
            self.commit(parts).await?;
        }
        self.commit_header(&batch.header, set).await
    }

    /// Commits the header together with the registration of the batch's set. Tries again while
    /// other nodes change the registration.
    async fn commit_header(
        &mut self,
        header: &Transaction,
        set: &BatchSet,
    ) -> Result<Acceptance, Problem> {
        let header_row = rows::batch(self.id);
        let mut known = Registration::in_view(&self.context.leases.borrow(), set);
        loop {
            let transaction = require_registration(header.clone(), set, known);
            let current = match self.commit(&transaction).await? {
                Commit::Done(_) => return Ok(Acceptance::New),
                Commit::Conflict(current) => current,
            };
            if current.iter().any(|row| row.address == header_row) {
                return Ok(Acceptance::Repeated);
            }
            if BootInstant::now() >= self.acceptance_deadline {
                return Err(self.refusal(AcceptanceError::NotCommitted));
            }
            known = Registration::among(&current, set);
        }
    }

    /// Retries until the table commits or rejects the transaction, or the deadline has passed.
    /// Sends nothing while the table is known not to answer.
    async fn commit(&mut self, transaction: &Transaction) -> Result<Commit, Problem> {
        loop {
            if let Err(error) = self.wait_for_table().await {
                return Err(self.refusal(error));
            }
            self.progress.record_start();
            match self.context.table.commit(transaction).await {
                Ok(commit) => return Ok(commit),
                Err(error) => self.is_outcome_unknown |= error == CommitError::Unknown,
            }
            if BootInstant::now() + COMMIT_RETRY_INTERVAL >= self.acceptance_deadline {
                return Err(self.refusal(AcceptanceError::NotCommitted));
            }
            tokio::time::sleep(COMMIT_RETRY_INTERVAL).await;
        }
    }

    async fn wait_for_table(&self) -> Result<(), AcceptanceError> {
        if self.context.table.is_isolated() {
            return Err(AcceptanceError::Isolated);
        }
        if self.context.table.is_answering() {
            return Ok(());
        }
        events::emit(&Event::BatchWaits { batch: self.id });
        let table = &*self.context.table;
        wait_for_table(
            table,
            self.waiting,
            self.body_bytes,
            self.acceptance_deadline,
        )
        .await
    }

    /// Problem for a batch that was not committed. Its kind is `not_run` only if no attempt may
    /// still take effect.
    fn refusal(&self, error: AcceptanceError) -> Problem {
        let code = match self.is_outcome_unknown {
            true => ResultCode::BatchUnconfirmed,
            false => ResultCode::TableUnavailable,
        };
        let detail = format!("batch {}: {error}", self.id);
        let retry_after = match error {
            AcceptanceError::OutagePersists => self.outage_retry_after(),
            AcceptanceError::Isolated
            | AcceptanceError::TooManyWaiting
            | AcceptanceError::NotCommitted => RETRY_AFTER,
        };
        Problem::new(code, detail).with_retry_after_ms(whole_millis(retry_after))
    }

    fn outage_retry_after(&self) -> Duration {
        let remaining = self.deadline.saturating_duration_since(BootInstant::now());
        MAX_OUTAGE_RETRY_AFTER.min(remaining.mul_f64(MAX_RETRY_AFTER_SHARE))
    }
}
