//! A table whose calls are counted and timed.

use crate::table::{
    Changes, Commit, CommitError, KeyRange, Page, ReadError, Table, TableLimits, Transaction,
};
use crate::telemetry;
use async_trait::async_trait;
use sloetrail_types::RowVersion;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Counts and times the calls to a table.
pub(crate) struct MeasuredTable {
    inner: Arc<dyn Table>,
}

impl MeasuredTable {
    /// The same table, measured.
    pub(crate) fn new(inner: Arc<dyn Table>) -> Arc<Self> {
        Arc::new(Self { inner })
    }
}

fn read_word<Answer>(result: &Result<Answer, ReadError>) -> &'static str {
    match result {
        Ok(_) => "done",
        Err(ReadError::Unavailable) => "unavailable",
        Err(ReadError::HistoryLost) => "history_lost",
    }
}

#[async_trait]
impl Table for MeasuredTable {
    fn limits(&self) -> TableLimits {
        self.inner.limits()
    }

    fn now_ms(&self) -> Option<u64> {
        self.inner.now_ms()
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Commit, CommitError> {
        let began = Instant::now();
        let result = self.inner.commit(transaction).await;
        let outcome = match &result {
            Ok(Commit::Done(_)) => "done",
            Ok(Commit::Conflict(_)) => "conflict",
            Err(CommitError::NotDone) => "not_done",
            Err(CommitError::Unknown) => "unknown",
        };
        telemetry::table_call_ended("commit", outcome, began.elapsed());
        result
    }

    async fn scan(&self, range: &KeyRange) -> Result<Page, ReadError> {
        let began = Instant::now();
        let result = self.inner.scan(range).await;
        telemetry::table_call_ended("scan", read_word(&result), began.elapsed());
        result
    }

    async fn changes(
        &self,
        table: &str,
        since: RowVersion,
        wait: Duration,
    ) -> Result<Changes, ReadError> {
        let began = Instant::now();
        let result = self.inner.changes(table, since, wait).await;
        telemetry::table_call_ended("changes", read_word(&result), began.elapsed());
        result
    }
}
