//! The table as nodes use it: calls that know how long to wait, counted and timed.
//!
//! A call without an answer must be given up, and how soon depends on how fast the
//! table is: its answers take milliseconds on an ordinary day and a good part of a
//! second when it is slow. [`Patience`] learns it from the answers that come. A table
//! that does not answer at all is probed, and calls that wait when it is back are given
//! up: their answers are lost.

mod patience;
mod presence;

pub use patience::Patience;

use crate::rows;
use crate::table::{
    Changes, Commit, CommitError, KeyRange, Page, ReadError, Table, TableLimits, Transaction,
};
use crate::telemetry;
use async_trait::async_trait;
use presence::{Presence, PresenceChange};
use sloetrail_types::RowVersion;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// How often an absent table is asked, and how long an answer may take.
const PROBE_PERIOD: Duration = Duration::from_millis(250);
const PROBE_PERIOD_LATER: Duration = Duration::from_millis(1_000);
const PROBE_OFTEN_FOR: Duration = Duration::from_secs(10);
const PROBE_PATIENCE: Duration = Duration::from_millis(1_500);

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
    presence: Mutex<Presence>,
    /// Grows each time that the table turns out not to answer.
    absences: watch::Sender<u64>,
    /// Grows each time that the table answers again after an absence.
    returns: watch::Sender<u64>,
    this: Weak<Self>,
}

impl TableClient {
    /// The table over a transport.
    pub fn new(transport: Arc<dyn TableTransport>) -> Arc<Self> {
        let (absences, _) = watch::channel(0);
        let (returns, _) = watch::channel(0);
        Arc::new_cyclic(|this| Self {
            transport,
            writes: Mutex::default(),
            reads: Mutex::default(),
            presence: Mutex::default(),
            absences,
            returns,
            this: this.clone(),
        })
    }
}

impl TableClient {
    /// Takes in whether a call was answered. When the table turns out to be absent,
    /// probing begins; when it is back, whoever waits for an answer stops waiting,
    /// since calls made during the absence are lost.
    fn note_presence(&self, answered: bool) {
        let news = {
            let mut presence = self.presence.lock().expect("not poisoned");
            presence.note(Instant::now(), answered)
        };
        match news {
            Some(PresenceChange::Lost) => {
                self.absences.send_modify(|count| *count += 1);
                if let Some(this) = self.this.upgrade() {
                    tokio::spawn(this.probe_until_it_answers());
                }
            }
            Some(PresenceChange::Returned) => self.returns.send_modify(|count| *count += 1),
            None => {}
        }
    }

    /// Asks again and again, without waiting for the answers to earlier questions.
    async fn probe_until_it_answers(self: Arc<Self>) {
        let began = Instant::now();
        while !self.is_answering() {
            let probing = Arc::clone(&self);
            tokio::spawn(async move {
                let range = KeyRange {
                    limit: Some(1),
                    ..KeyRange::all(rows::LEASES, rows::OWNERS)
                };
                let answer = probing.transport.scan(&range, PROBE_PATIENCE).await;
                if answer.is_ok() {
                    probing.note_presence(true);
                }
            });
            let period = match began.elapsed() < PROBE_OFTEN_FOR {
                true => PROBE_PERIOD,
                false => PROBE_PERIOD_LATER,
            };
            tokio::time::sleep(period).await;
        }
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

    fn is_answering(&self) -> bool {
        let presence = self.presence.lock().expect("not poisoned");
        presence.is_answering()
    }

    async fn absence(&self) {
        let mut absences = self.absences.subscribe();
        // The sender lives as long as this client.
        let _ = absences.changed().await;
    }

    async fn returned(&self) {
        let mut returns = self.returns.subscribe();
        // The sender lives as long as this client.
        let _ = returns.changed().await;
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Commit, CommitError> {
        let began = Instant::now();
        let patience = patience_of(&self.writes);
        let result = tokio::select! {
            result = self.transport.commit(transaction, patience) => result,
            () = self.returned() => Err(CommitError::Unknown),
        };
        let took = began.elapsed();
        let outcome = match &result {
            Ok(Commit::Done(_)) => "done",
            Ok(Commit::Conflict(_)) => "conflict",
            Err(CommitError::NotDone) => "not_done",
            Err(CommitError::Unknown) => "unknown",
        };
        learn(&self.writes, result.is_ok(), took, patience);
        self.note_presence(result.is_ok());
        telemetry::table_call_ended("commit", outcome, took);
        result
    }

    async fn scan(&self, range: &KeyRange) -> Result<Page, ReadError> {
        let began = Instant::now();
        let patience = patience_of(&self.reads);
        let result = tokio::select! {
            result = self.transport.scan(range, patience) => result,
            () = self.returned() => Err(ReadError::Unavailable),
        };
        let took = began.elapsed();
        learn(&self.reads, result.is_ok(), took, patience);
        self.note_presence(result.is_ok());
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
        let patience = patience_of(&self.reads);
        let result = tokio::select! {
            result = self.transport.changes(table, since, wait, patience) => result,
            () = self.returned() => Err(ReadError::Unavailable),
        };
        let took = began.elapsed();
        if result.is_err() && took >= wait + patience {
            learn(&self.reads, false, patience, patience);
        }
        if result.is_ok() {
            let mut reads = self.reads.lock().expect("not poisoned");
            reads.note_held_answer(took, wait);
        }
        self.note_presence(!matches!(result, Err(ReadError::Unavailable)));
        telemetry::table_call_ended("changes", read_word(&result), began.elapsed());
        result
    }
}

#[cfg(test)]
mod tests;
