//! The table as nodes use it: calls that know how long to wait, counted and timed.
//!
//! A call without an answer must be given up, and how soon depends on how fast the
//! table is: its answers take milliseconds on an ordinary day and a good part of a
//! second when it is slow. [`AdaptiveTimeout`] learns it from the answers that come. A table
//! that does not answer at all is probed, and calls that wait when it is back are given
//! up: their answers are lost.
//!
//! A kept connection may be silent for good while the table answers over others. A call on
//! one is no sign that the table is away, and a read goes again, over a new connection; a
//! commit may have taken effect, which its caller is told. The next call is waited for
//! longer all the same: the table may have turned slow.

mod adaptive_timeout;
mod availability;

pub use adaptive_timeout::AdaptiveTimeout;

use crate::rows;
use crate::table::{
    Changes, Commit, CommitError, KeyRange, Page, ReadError, Table, TableLimits, Transaction,
};
use crate::telemetry;
use async_trait::async_trait;
use availability::{Availability, AvailabilityChange};
use sloetrail_clock::BootInstant;
use sloetrail_types::RowVersion;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;
use tokio::sync::watch;

/// How often an absent table is asked, and how long an answer may take.
const PROBE_PERIOD: Duration = Duration::from_millis(250);
const PROBE_PERIOD_LATER: Duration = Duration::from_millis(1_000);
const PROBE_OFTEN_FOR: Duration = Duration::from_secs(10);
const PROBE_PATIENCE: Duration = Duration::from_millis(1_500);
/// The outcome of a call on a connection that was silent, for metrics.
const SILENT_CONNECTION: &str = "silent_connection";

/// A call over a transport that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableCallError<Failure> {
    /// How it failed.
    pub failure: Failure,
    /// True if nothing came over a connection that had been kept. That says something of
    /// the connection and nothing of the table; the next call goes over a new one.
    pub on_unresponsive_connection: bool,
}

impl<Failure> From<Failure> for TableCallError<Failure> {
    fn from(failure: Failure) -> Self {
        Self {
            failure,
            on_unresponsive_connection: false,
        }
    }
}

/// What became of a call over a transport.
pub type CallResult<Answer, Failure> = Result<Answer, TableCallError<Failure>>;

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
    ) -> CallResult<Commit, CommitError>;

    /// Reads a range.
    async fn scan(&self, range: &KeyRange, patience: Duration) -> CallResult<Page, ReadError>;

    /// The changes of a table since a version, as soon as there is one, or none after
    /// `wait`; `patience` comes on top.
    async fn changes(
        &self,
        table: &str,
        since: RowVersion,
        wait: Duration,
        patience: Duration,
    ) -> CallResult<Changes, ReadError>;
}

/// The table over a transport.
pub struct TableClient {
    transport: Arc<dyn TableTransport>,
    writes: Mutex<AdaptiveTimeout>,
    reads: Mutex<AdaptiveTimeout>,
    presence: Mutex<Availability>,
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
            presence.note(BootInstant::now(), answered)
        };
        match news {
            Some(AvailabilityChange::Lost) => {
                self.absences.send_modify(|count| *count += 1);
                if let Some(this) = self.this.upgrade() {
                    tokio::spawn(this.probe_until_it_answers());
                }
            }
            Some(AvailabilityChange::Recovered) => self.returns.send_modify(|count| *count += 1),
            None => {}
        }
    }

    /// Asks again and again, without waiting for the answers to earlier questions.
    async fn probe_until_it_answers(self: Arc<Self>) {
        let began = BootInstant::now();
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

fn patience_of(of: &Mutex<AdaptiveTimeout>) -> Duration {
    of.lock().expect("not poisoned").timeout()
}

/// Learns from a call: an answer tells how fast the table is, silence that the
/// patience may have been too short.
fn learn(of: &Mutex<AdaptiveTimeout>, was_answered: bool, took: Duration, patience: Duration) {
    let mut of = of.lock().expect("not poisoned");
    if was_answered {
        of.record_answer(took);
    } else if took >= patience {
        of.record_timeout();
    }
}

fn is_on_silent_connection<Answer, Failure>(called: &CallResult<Answer, Failure>) -> bool {
    called
        .as_ref()
        .is_err_and(|failed| failed.on_unresponsive_connection)
}

/// The outcome of a transaction, for metrics.
fn commit_word(called: &CallResult<Commit, CommitError>) -> &'static str {
    match called {
        Ok(Commit::Done(_)) => "done",
        Ok(Commit::Conflict(_)) => "conflict",
        Err(failed) if failed.on_unresponsive_connection => SILENT_CONNECTION,
        Err(failed) => match failed.failure {
            CommitError::NotDone => "not_done",
            CommitError::Unknown => "unknown",
        },
    }
}

/// The outcome of a read, for metrics.
fn read_word<Answer>(called: &CallResult<Answer, ReadError>) -> &'static str {
    match called {
        Ok(_) => "done",
        Err(failed) if failed.on_unresponsive_connection => SILENT_CONNECTION,
        Err(failed) => match failed.failure {
            ReadError::Unavailable => "unavailable",
            ReadError::HistoryLost => "history_lost",
        },
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

    fn typical_latency(&self) -> Duration {
        let of = |patience: &Mutex<AdaptiveTimeout>| {
            patience.lock().expect("not poisoned").typical_latency()
        };
        of(&self.writes).max(of(&self.reads))
    }

    fn is_answering(&self) -> bool {
        let presence = self.presence.lock().expect("not poisoned");
        presence.is_answering()
    }

    async fn wait_for_outage(&self) {
        let mut absences = self.absences.subscribe();
        // The sender lives as long as this client.
        let _ = absences.changed().await;
    }

    async fn wait_for_recovery(&self) {
        let mut returns = self.returns.subscribe();
        // The sender lives as long as this client.
        let _ = returns.changed().await;
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Commit, CommitError> {
        let began = BootInstant::now();
        let patience = patience_of(&self.writes);
        let called = tokio::select! {
            called = self.transport.commit(transaction, patience) => called,
            () = self.wait_for_recovery() => Err(CommitError::Unknown.into()),
        };
        let took = began.elapsed();
        telemetry::table_call_ended("commit", commit_word(&called), took);
        learn(&self.writes, called.is_ok(), took, patience);
        if !is_on_silent_connection(&called) {
            self.note_presence(called.is_ok());
        }
        called.map_err(|failed| failed.failure)
    }

    async fn scan(&self, range: &KeyRange) -> Result<Page, ReadError> {
        let mut called = self.try_scan(range).await;
        if is_on_silent_connection(&called) {
            called = self.try_scan(range).await;
        }
        called.map_err(|failed| failed.failure)
    }

    async fn changes(
        &self,
        table: &str,
        since: RowVersion,
        wait: Duration,
    ) -> Result<Changes, ReadError> {
        let mut called = self.try_changes(table, since, wait).await;
        if is_on_silent_connection(&called) {
            called = self.try_changes(table, since, wait).await;
        }
        called.map_err(|failed| failed.failure)
    }
}

impl TableClient {
    /// Reads a range once, over whatever connection there is.
    async fn try_scan(&self, range: &KeyRange) -> CallResult<Page, ReadError> {
        let began = BootInstant::now();
        let patience = patience_of(&self.reads);
        let called = tokio::select! {
            called = self.transport.scan(range, patience) => called,
            () = self.wait_for_recovery() => Err(ReadError::Unavailable.into()),
        };
        let took = began.elapsed();
        telemetry::table_call_ended("scan", read_word(&called), took);
        learn(&self.reads, called.is_ok(), took, patience);
        if !is_on_silent_connection(&called) {
            self.note_presence(called.is_ok());
        }
        called
    }

    /// Asks for changes once, over whatever connection there is.
    async fn try_changes(
        &self,
        table: &str,
        since: RowVersion,
        wait: Duration,
    ) -> CallResult<Changes, ReadError> {
        let began = BootInstant::now();
        let patience = patience_of(&self.reads);
        let called = tokio::select! {
            called = self.transport.changes(table, since, wait, patience) => called,
            () = self.wait_for_recovery() => Err(ReadError::Unavailable.into()),
        };
        let took = began.elapsed();
        telemetry::table_call_ended("changes", read_word(&called), took);
        if called.is_err() && took >= wait + patience {
            learn(&self.reads, false, patience, patience);
        }
        if is_on_silent_connection(&called) {
            return called;
        }
        if called.is_ok() {
            let mut reads = self.reads.lock().expect("not poisoned");
            reads.record_long_poll_answer(took, wait);
        }
        let is_answered = !called
            .as_ref()
            .is_err_and(|failed| failed.failure == ReadError::Unavailable);
        self.note_presence(is_answered);
        called
    }
}

#[cfg(test)]
mod tests;
