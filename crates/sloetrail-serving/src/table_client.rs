//! The table as nodes use it: calls that know how long to wait, counted and timed.
//!
//! A call without an answer must be given up, and how soon depends on how fast the
//! table is: its answers take milliseconds on an ordinary day and a good part of a
//! second when it is slow. [`Patience`] learns it from the answers that come.

mod patience;

pub use patience::Patience;

use crate::table::{
    Changes, Commit, CommitError, KeyRange, Page, ReadError, Table, TableLimits, Transaction,
};
use crate::telemetry;
use async_trait::async_trait;
use sloetrail_types::RowVersion;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// A way to the table that gives a call up after the time that it is told.
#[async_trait]
pub trait TableTransport: Send + Sync {
    /// The table's bounds.
    fn limits(&self) -> TableLimits;

    /// The table's steady clock in milliseconds, as estimated from its last answer.
    fn now_ms(&self) -> Option<u64>;

    /// Carries out a transaction.
    async fn commit(
        &self,
        transaction: &Transaction,
        patience: Duration,
    ) -> Result<Commit, CommitError>;

    /// Reads a range.
    async fn scan(&self, range: &KeyRange, patience: Duration) -> Result<Page, ReadError>;

    /// The changes of a table since a version, as soon as there is one, or none after
    /// `wait`; `patience` comes on top.
    async fn changes(
        &self,
        table: &str,
        since: RowVersion,
        wait: Duration,
        patience: Duration,
    ) -> Result<Changes, ReadError>;
}

/// The table over a transport.
pub struct TableClient {
    transport: Arc<dyn TableTransport>,
    writes: Mutex<Patience>,
    reads: Mutex<Patience>,
}

impl TableClient {
    /// The table over a transport.
    pub fn new(transport: Arc<dyn TableTransport>) -> Arc<Self> {
        Arc::new(Self {
            transport,
            writes: Mutex::default(),
            reads: Mutex::default(),
        })
    }
}

fn patience_of(of: &Mutex<Patience>) -> Duration {
    of.lock().expect("not poisoned").time()
}

/// Learns from a call: an answer tells how fast the table is, silence that the
/// patience may have been too short.
fn learn(of: &Mutex<Patience>, was_answered: bool, took: Duration, patience: Duration) {
    let mut of = of.lock().expect("not poisoned");
    if was_answered {
        of.note_answer(took);
    } else if took >= patience {
        of.note_silence();
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
impl Table for TableClient {
    fn limits(&self) -> TableLimits {
        self.transport.limits()
    }

    fn now_ms(&self) -> Option<u64> {
        self.transport.now_ms()
    }

    fn ordinary_time(&self) -> Duration {
        let of = |patience: &Mutex<Patience>| patience.lock().expect("not poisoned").ordinary();
        of(&self.writes).max(of(&self.reads))
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Commit, CommitError> {
        let began = Instant::now();
        let patience = patience_of(&self.writes);
        let result = self.transport.commit(transaction, patience).await;
        let took = began.elapsed();
        let outcome = match &result {
            Ok(Commit::Done(_)) => "done",
            Ok(Commit::Conflict(_)) => "conflict",
            Err(CommitError::NotDone) => "not_done",
            Err(CommitError::Unknown) => "unknown",
        };
        learn(&self.writes, result.is_ok(), took, patience);
        telemetry::table_call_ended("commit", outcome, took);
        result
    }

    async fn scan(&self, range: &KeyRange) -> Result<Page, ReadError> {
        let began = Instant::now();
        let patience = patience_of(&self.reads);
        let result = self.transport.scan(range, patience).await;
        let took = began.elapsed();
        learn(&self.reads, result.is_ok(), took, patience);
        telemetry::table_call_ended("scan", read_word(&result), took);
        result
    }

    async fn changes(
        &self,
        table: &str,
        since: RowVersion,
        wait: Duration,
    ) -> Result<Changes, ReadError> {
        let began = Instant::now();
        // How long an answer that is held open takes says nothing of the table's pace.
        let patience = patience_of(&self.reads);
        let result = self.transport.changes(table, since, wait, patience).await;
        if result.is_err() && began.elapsed() >= wait + patience {
            learn(&self.reads, false, patience, patience);
        }
        telemetry::table_call_ended("changes", read_word(&result), began.elapsed());
        result
    }
}

#[cfg(test)]
mod tests;
