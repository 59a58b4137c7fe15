//! A run's rows in the table.

use crate::state::NodeState;
use crate::sync::rows::{to_value, value_of};
use sloetrail_clients::{CallError, Condition, Row, Settled, Transaction, Write};
use sloetrail_ledger::{JournalRecord, RowChange, SampleRecord, StoredRun};
use sloetrail_types::{Epoch, RowVersion, RunName, SampleId, SequenceNumber, StepNumber};
use std::time::Duration;
use tokio::time::Instant;

const FENCE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The keys and rows of one run.
#[derive(Clone, Debug)]
pub(crate) struct RunStore {
    run: RunName,
}

/// A run as a new owner found it.
pub(crate) struct FencedRun {
    pub(crate) stored: StoredRun,
    pub(crate) journal_version: RowVersion,
}

/// Why a new owner could not take a run over.
#[derive(Debug)]
pub(crate) enum FenceFailure {
    /// An owner with a higher epoch was there before.
    Superseded,
    /// The table did not answer; to be tried again.
    Unavailable,
}

impl RunStore {
    pub(crate) fn new(run: RunName) -> Self {
        Self { run }
    }

    pub(crate) fn journal_key(&self) -> String {
        format!("run/{}/journal", self.run)
    }

    fn sample_prefix(&self) -> String {
        format!("run/{}/sample/", self.run)
    }

    fn withdrawn_prefix(&self) -> String {
        format!("run/{}/withdrawn/", self.run)
    }

    fn sample_key(&self, step: StepNumber, id: &SampleId) -> String {
        format!("{}{:012}/{id}", self.sample_prefix(), step.0)
    }

    fn withdrawn_key(&self, sequence: SequenceNumber) -> String {
        format!("{}{:016}", self.withdrawn_prefix(), sequence.0)
    }

    /// Writes this owner's epoch into the journal, after which no write of an
    /// earlier owner can take effect, and reads the run.
    pub(crate) async fn fence(
        &self,
        state: &NodeState,
        epoch: Epoch,
    ) -> Result<FencedRun, FenceFailure> {
        let table = &state.clients.table;
        let row = table.read(&self.journal_key()).await;
        let row = row.map_err(|_| FenceFailure::Unavailable)?;
        let journal = journal_of(row.as_ref())?;
        if journal.epoch > epoch {
            return Err(FenceFailure::Superseded);
        }
        let fenced = JournalRecord { epoch, ..journal };
        let version = row.map(|row| row.version);
        let transaction = self.transaction(state, version, &fenced, &[]);
        let deadline = Instant::now() + FENCE_TIMEOUT;
        let settled = table
            .commit_settled(&transaction, &self.journal_key(), deadline)
            .await;
        let Settled::Committed(journal_version) = settled else {
            return Err(FenceFailure::Unavailable);
        };
        let stored = self
            .read_rows(state, fenced)
            .await
            .map_err(|_| FenceFailure::Unavailable)?;
        Ok(FencedRun {
            stored,
            journal_version,
        })
    }

    /// The transaction that writes a group of changes.
    pub(crate) fn transaction(
        &self,
        state: &NodeState,
        expected: Option<RowVersion>,
        journal: &JournalRecord,
        changes: &[RowChange],
    ) -> Transaction {
        let journal_write = Write {
            key: self.journal_key(),
            value: to_value(journal),
        };
        let mut writes = vec![journal_write];
        writes.extend(changes.iter().map(|change| self.write_of(change)));
        Transaction {
            id: state.new_transaction_id(),
            conditions: vec![Condition {
                key: self.journal_key(),
                version: expected,
            }],
            writes,
        }
    }

    fn write_of(&self, change: &RowChange) -> Write {
        match change {
            RowChange::PutSample(record) => Write {
                key: self.sample_key(record.step, &record.sample.id),
                value: to_value(record),
            },
            RowChange::DeleteSample { step, id, .. } => Write {
                key: self.sample_key(*step, id),
                value: None,
            },
            RowChange::PutWithdrawn(sequence, id) => Write {
                key: self.withdrawn_key(*sequence),
                value: to_value(id),
            },
            RowChange::DeleteWithdrawn(sequence) => Write {
                key: self.withdrawn_key(*sequence),
                value: None,
            },
        }
    }

    async fn read_rows(
        &self,
        state: &NodeState,
        journal: JournalRecord,
    ) -> Result<StoredRun, CallError> {
        let table = &state.clients.table;
        let mut samples = Vec::new();
        for row in table.scan(&self.sample_prefix()).await? {
            samples.push(value_of::<SampleRecord>(&row)?);
        }
        let prefix = self.withdrawn_prefix();
        let mut withdrawn = Vec::new();
        for row in table.scan(&prefix).await? {
            let number = row.key[prefix.len()..].parse().unwrap_or_default();
            withdrawn.push((SequenceNumber(number), value_of::<SampleId>(&row)?));
        }
        Ok(StoredRun {
            journal,
            samples,
            withdrawn,
        })
    }
}

fn journal_of(row: Option<&Row>) -> Result<JournalRecord, FenceFailure> {
    match row {
        None => Ok(JournalRecord::default()),
        Some(row) => value_of(row).map_err(|_| FenceFailure::Unavailable),
    }
}
