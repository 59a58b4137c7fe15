//! Table client with adaptive timeouts, outage detection and metrics.
//!
//! Latencies of the table range from a few milliseconds to a good part of a second.
//! [`AdaptiveTimeout`] derives the timeout of a call from the latency of earlier ones. During an
//! outage the client probes the table. On recovery it fails the calls in flight, because calls
//! sent during an outage are not answered.
//!
//! A reused connection may be unresponsive while the table answers over others. A call that
//! fails on such a connection is no evidence of an outage. A read is retried over a new
//! connection; a commit may have taken effect and fails with [`CommitError::Unknown`]. Both
//! raise the timeout of the next call, because the table may also be slow.

mod adaptive_timeout;
mod availability;

pub use adaptive_timeout::AdaptiveTimeout;

use crate::rows;
use crate::table::{
    Changes, Commit, CommitError, KeyRange, Page, ReadError, ReadLatency, Table, TableLimits,
    Transaction,
};
use crate::tasks;
use crate::telemetry;
use async_trait::async_trait;
use availability::{Availability, AvailabilityChange};
use parking_lot::Mutex;
use sloetrail_clock::BootInstant;
use sloetrail_types::RowVersion;
use std::sync::{Arc, Weak};
use std::time::Duration;
use tokio::sync::watch;

/// Probe interval at the start of an outage.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
const LATE_PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
const EARLY_PROBE_DURATION: Duration = Duration::from_secs(10);
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Outcome label in metrics of a call on an unresponsive connection.
const UNRESPONSIVE_CONNECTION: &str = "silent_connection";

/// A failed call over a transport.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableCallError<Failure> {
    pub failure: Failure,
    /// Whether a reused connection was unresponsive, which is no evidence about the table. The
    /// next call uses a new connection.
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

pub type CallResult<Answer, Failure> = Result<Answer, TableCallError<Failure>>;

/// A transport for table calls. Each call fails after its timeout.
#[async_trait]
pub trait TableTransport: Send + Sync {
    fn limits(&self) -> TableLimits;

    /// Returns the table's monotonic clock in milliseconds, estimated from its answers. None
    /// before the first answer.
    fn now_ms(&self) -> Option<u64>;

    /// Closes the idle connections without a response since `unanswered_since`. The default
    /// implementation has no connections.
    fn distrust_connections(&self, _unanswered_since: BootInstant) {}

    /// Applies a transaction.
    async fn commit(
        &self,
        transaction: &Transaction,
        timeout: Duration,
    ) -> CallResult<Commit, CommitError>;

    /// Reads one page of a range.
    async fn scan(&self, range: &KeyRange, timeout: Duration) -> CallResult<Page, ReadError>;

    /// Returns the changes of a table since a version. If there are none yet, waits up to `wait`
    /// for the first one. `timeout` is added to `wait`.
    async fn changes(
        &self,
        table: &str,
        since: RowVersion,
        wait: Duration,
        timeout: Duration,
    ) -> CallResult<Changes, ReadError>;
}

/// A client of the table service over a transport.
pub struct TableClient {
    transport: Arc<dyn TableTransport>,
    writes: Mutex<AdaptiveTimeout>,
    reads: Mutex<AdaptiveTimeout>,
    availability: Mutex<Availability>,
    /// Number of outages so far.
    outages: watch::Sender<u64>,
    /// Number of recoveries from outages so far.
    recoveries: watch::Sender<u64>,
    this: Weak<Self>,
}

impl TableClient {
    pub fn new(transport: Arc<dyn TableTransport>) -> Arc<Self> {
        let (outages, _) = watch::channel(0);
        let (recoveries, _) = watch::channel(0);
        Arc::new_cyclic(|this| Self {
            transport,
            writes: Mutex::default(),
            reads: Mutex::default(),
            availability: Mutex::default(),
            outages,
            recoveries,
            this: this.clone(),
        })
    }
}

impl TableClient {
    /// Records whether a call was answered. Starts probing when the table becomes unavailable.
    /// Fails the calls in flight when it recovers, because they will not be answered.
    fn record_call(&self, answered: bool) {
        let change = {
            let mut availability = self.availability.lock();
            availability.record_call(BootInstant::now(), answered)
        };
        match change {
            Some(AvailabilityChange::Lost) => {
                self.outages.send_modify(|count| *count += 1);
                if let Some(this) = self.this.upgrade() {
                    tasks::spawn_part("table probes", move || {
                        Arc::clone(&this).probe_until_it_answers()
                    });
                }
            }
            Some(AvailabilityChange::Recovered) => self.recoveries.send_modify(|count| *count += 1),
            None => {}
        }
    }

    /// Probes the table at intervals, without waiting for earlier probes to end.
    async fn probe_until_it_answers(self: Arc<Self>) {
        let started_at = BootInstant::now();
        while !self.is_answering() {
            let probing = Arc::clone(&self);
            tasks::spawn("table probe", async move {
                let range = KeyRange {
                    limit: Some(1),
                    ..KeyRange::all(rows::LEASES, rows::OWNERS)
                };
                let answer = probing.transport.scan(&range, PROBE_TIMEOUT).await;
                if answer.is_ok() {
                    probing.record_call(true);
                }
            });
            let interval = match started_at.elapsed() < EARLY_PROBE_DURATION {
                true => PROBE_INTERVAL,
                false => LATE_PROBE_INTERVAL,
            };
            tokio::time::sleep(interval).await;
        }
    }
}

fn timeout_of(timeout: &Mutex<AdaptiveTimeout>) -> Duration {
    timeout.lock().timeout()
}

/// Updates an adaptive timeout after a call. A call that failed before its timeout has no effect.
fn record_latency(
    adaptive: &Mutex<AdaptiveTimeout>,
    was_answered: bool,
    took: Duration,
    timeout: Duration,
) {
    let mut adaptive = adaptive.lock();
    if was_answered {
        adaptive.record_answer(took);
    } else if took >= timeout {
        adaptive.record_timeout(timeout);
    }
}

fn is_connection_unresponsive<Answer, Failure>(result: &CallResult<Answer, Failure>) -> bool {
    result
        .as_ref()
        .is_err_and(|error| error.on_unresponsive_connection)
}

/// Outcome label of a transaction in metrics.
fn commit_outcome(result: &CallResult<Commit, CommitError>) -> &'static str {
    match result {
        Ok(Commit::Done(_)) => "done",
        Ok(Commit::Conflict(_)) => "conflict",
        Err(error) if error.on_unresponsive_connection => UNRESPONSIVE_CONNECTION,
        Err(error) => match error.failure {
            CommitError::NotDone => "not_done",
            CommitError::Unknown => "unknown",
        },
    }
}

/// Outcome label of a read in metrics.
fn read_outcome<Answer>(result: &CallResult<Answer, ReadError>) -> &'static str {
    match result {
        Ok(_) => "done",
        Err(error) if error.on_unresponsive_connection => UNRESPONSIVE_CONNECTION,
        Err(error) => match error.failure {
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
        let of = |timeout: &Mutex<AdaptiveTimeout>| timeout.lock().typical_latency();
        of(&self.writes).max(of(&self.reads))
    }

    fn read_latency(&self) -> ReadLatency {
        ReadLatency {
            timeout: timeout_of(&self.reads),
            answered_at: self.availability.lock().answered_at(),
        }
    }

    fn distrust_connections(&self, unanswered_since: BootInstant) {
        self.transport.distrust_connections(unanswered_since);
    }

    fn is_answering(&self) -> bool {
        let availability = self.availability.lock();
        availability.is_answering()
    }

    async fn wait_for_outage(&self) {
        let mut outages = self.outages.subscribe();
        // Cannot fail: the client owns the sender.
        let _ = outages.changed().await;
    }

    async fn wait_for_recovery(&self) {
        let mut recoveries = self.recoveries.subscribe();
        // Cannot fail: the client owns the sender.
        let _ = recoveries.changed().await;
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Commit, CommitError> {
        let started_at = BootInstant::now();
        let timeout = timeout_of(&self.writes);
        let result = tokio::select! {
            result = self.transport.commit(transaction, timeout) => result,
            () = self.wait_for_recovery() => Err(CommitError::Unknown.into()),
        };
        let took = started_at.elapsed();
        telemetry::table_call_ended("commit", commit_outcome(&result), took);
        record_latency(&self.writes, result.is_ok(), took, timeout);
        if !is_connection_unresponsive(&result) {
            self.record_call(result.is_ok());
        }
        result.map_err(|error| error.failure)
    }

    async fn scan(&self, range: &KeyRange) -> Result<Page, ReadError> {
        let mut result = self.try_scan(range).await;
        if is_connection_unresponsive(&result) {
            result = self.try_scan(range).await;
        }
        result.map_err(|error| error.failure)
    }

    async fn changes(
        &self,
        table: &str,
        since: RowVersion,
        wait: Duration,
    ) -> Result<Changes, ReadError> {
        let mut result = self.try_changes(table, since, wait).await;
        if is_connection_unresponsive(&result) {
            result = self.try_changes(table, since, wait).await;
        }
        result.map_err(|error| error.failure)
    }
}

impl TableClient {
    /// Reads a range without retries.
    async fn try_scan(&self, range: &KeyRange) -> CallResult<Page, ReadError> {
        let started_at = BootInstant::now();
        let timeout = timeout_of(&self.reads);
        let result = tokio::select! {
            result = self.transport.scan(range, timeout) => result,
            () = self.wait_for_recovery() => Err(ReadError::Unavailable.into()),
        };
        let took = started_at.elapsed();
        telemetry::table_call_ended("scan", read_outcome(&result), took);
        record_latency(&self.reads, result.is_ok(), took, timeout);
        if !is_connection_unresponsive(&result) {
            self.record_call(result.is_ok());
        }
        result
    }

    /// Reads changes without retries.
    async fn try_changes(
        &self,
        table: &str,
        since: RowVersion,
        wait: Duration,
    ) -> CallResult<Changes, ReadError> {
        let started_at = BootInstant::now();
        let timeout = timeout_of(&self.reads);
        let result = tokio::select! {
            result = self.transport.changes(table, since, wait, timeout) => result,
            () = self.wait_for_recovery() => Err(ReadError::Unavailable.into()),
        };
        let took = started_at.elapsed();
        telemetry::table_call_ended("changes", read_outcome(&result), took);
        if result.is_err() && took >= wait + timeout {
            record_latency(&self.reads, false, timeout, timeout);
        }
        if is_connection_unresponsive(&result) {
            return result;
        }
        if result.is_ok() {
            let mut reads = self.reads.lock();
            reads.record_long_poll_answer(took, wait);
        }
        let is_answered = !result
            .as_ref()
            .is_err_and(|error| error.failure == ReadError::Unavailable);
        self.record_call(is_answered);
        result
    }
}

#[cfg(test)]
mod tests;
