use super::{
    AdaptiveTimeout, Availability, AvailabilityChange, CallResult, TableCallError, TableClient,
    TableTransport,
};
use crate::table::{
    Changes, Commit, CommitError, KeyRange, Page, ReadError, Table, TableLimits, Transaction,
};
use async_trait::async_trait;
use futures_util::future::join_all;
use sloetrail_clock::BootInstant;
use sloetrail_types::RowVersion;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

const fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn the_timeout_of_a_fast_table_is_the_minimum() {
    let mut adaptive = AdaptiveTimeout::default();
    for _ in 0..10 {
        adaptive.record_answer(milliseconds(4));
    }
    assert_eq!(adaptive.timeout(), milliseconds(150));
}

#[test]
fn timeouts_double_until_a_slow_answer_sets_the_latency() {
    let mut adaptive = AdaptiveTimeout::default();
    let mut timeouts = Vec::new();
    while adaptive.timeout() < milliseconds(500) {
        timeouts.push(adaptive.timeout());
        adaptive.record_timeout(adaptive.timeout());
    }
    assert_eq!(timeouts, [milliseconds(150), milliseconds(300)]);
    adaptive.record_answer(milliseconds(400));
    assert_eq!(adaptive.timeout(), milliseconds(2_400));
    for _ in 0..30 {
        adaptive.record_answer(milliseconds(4));
    }
    assert_eq!(adaptive.timeout(), milliseconds(150));
}

#[test]
fn long_poll_answers_update_the_latency() {
    let wait = milliseconds(1_000);
    let mut adaptive = AdaptiveTimeout::default();
    adaptive.record_answer(milliseconds(500));
    assert_eq!(adaptive.timeout(), milliseconds(3_000));
    for _ in 0..20 {
        adaptive.record_long_poll_answer(milliseconds(1_005), wait);
    }
    assert_eq!(
        adaptive.timeout(),
        milliseconds(150),
        "an early high latency must wear off"
    );
    adaptive.record_long_poll_answer(milliseconds(700), wait);
    assert_eq!(
        adaptive.timeout(),
        milliseconds(150),
        "an early answer says nothing of the latency"
    );
    adaptive.record_long_poll_answer(milliseconds(1_400), wait);
    assert_eq!(
        adaptive.timeout(),
        milliseconds(2_400),
        "the excess over the wait is the latency"
    );
}

#[test]
fn the_timeout_is_bounded() {
    let mut adaptive = AdaptiveTimeout::default();
    for _ in 0..100 {
        adaptive.record_timeout(adaptive.timeout());
    }
    assert_eq!(adaptive.timeout(), milliseconds(3_000));
}

#[test]
fn an_outage_takes_failures_and_time_and_ends_with_an_answer() {
    let start = BootInstant::now();
    let mut availability = Availability::default();
    assert_eq!(availability.record_call(start, true), None);
    for after in [100, 200, 300] {
        assert_eq!(
            availability.record_call(start + milliseconds(after), false),
            None
        );
    }
    assert!(
        availability.is_answering(),
        "the last answer is too recent for an outage"
    );
    let change = availability.record_call(start + milliseconds(500), false);
    assert_eq!(change, Some(AvailabilityChange::Lost));
    assert!(!availability.is_answering());
    assert_eq!(
        availability.record_call(start + milliseconds(550), false),
        None
    );
    let change = availability.record_call(start + milliseconds(600), true);
    assert_eq!(change, Some(AvailabilityChange::Recovered));
    assert_eq!(
        availability.record_call(start + milliseconds(2_100), false),
        None
    );
    assert!(availability.is_answering(), "one failure is no outage");
}

/// A table with a fixed latency. Calls made while it is unavailable are never answered.
#[derive(Default)]
struct SlowTable {
    unavailable: AtomicBool,
    latency: Duration,
    /// Whether all connections are reused, so that a timeout may be due to the connection.
    over_reused_connections: bool,
}

impl SlowTable {
    async fn answer<Answer: Default, Failure>(
        &self,
        timeout: Duration,
        failure: Failure,
    ) -> CallResult<Answer, Failure> {
        let latency = match self.unavailable.load(Ordering::SeqCst) {
            true => Duration::MAX,
            false => self.latency,
        };
        tokio::time::sleep(timeout.min(latency)).await;
        match timeout >= latency {
            true => Ok(Answer::default()),
            false => Err(TableCallError {
                failure,
                on_unresponsive_connection: self.over_reused_connections,
            }),
        }
    }
}

#[async_trait]
impl TableTransport for SlowTable {
    fn limits(&self) -> TableLimits {
        TableLimits {
            row_bytes: 1,
            transaction_entries: 1,
            transaction_bytes: 1,
        }
    }

    fn now_ms(&self) -> Option<u64> {
        None
    }

    async fn commit(&self, _: &Transaction, timeout: Duration) -> CallResult<Commit, CommitError> {
        let answer = self.answer(timeout, CommitError::Unknown).await;
        answer.map(Commit::Done)
    }

    async fn scan(&self, _: &KeyRange, timeout: Duration) -> CallResult<Page, ReadError> {
        self.answer(timeout, ReadError::Unavailable).await
    }

    async fn changes(
        &self,
        _: &str,
        _: RowVersion,
        wait: Duration,
        timeout: Duration,
    ) -> CallResult<Changes, ReadError> {
        self.answer(wait + timeout, ReadError::Unavailable).await
    }
}

#[tokio::test(start_paused = true)]
async fn calls_in_flight_fail_when_the_table_recovers() {
    let transport = Arc::new(SlowTable {
        unavailable: AtomicBool::new(true),
        ..SlowTable::default()
    });
    let table = TableClient::new(Arc::clone(&transport) as Arc<dyn TableTransport>);
    let range = KeyRange::all("t", "p");
    while table.is_answering() {
        assert!(table.scan(&range).await.is_err());
    }
    let waiting = Arc::clone(&table);
    let commit = tokio::spawn(async move {
        let started_at = BootInstant::now();
        (
            waiting.commit(&Transaction::new()).await,
            started_at.elapsed(),
        )
    });
    let waiting = Arc::clone(&table);
    let changes = tokio::spawn(async move {
        let wait = Duration::from_secs(60);
        waiting.changes("t", RowVersion(0), wait).await
    });
    tokio::time::sleep(milliseconds(50)).await;
    transport.unavailable.store(false, Ordering::SeqCst);
    let recovered_at = BootInstant::now();
    assert_eq!(
        changes.await.expect("no panic"),
        Err(ReadError::Unavailable)
    );
    assert!(
        recovered_at.elapsed() <= milliseconds(300),
        "{:?}",
        recovered_at.elapsed()
    );
    let (commit, _) = commit.await.expect("no panic");
    assert_eq!(
        commit,
        Err(CommitError::Unknown),
        "it may have been applied"
    );
    assert!(table.is_answering());
    assert!(table.scan(&range).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn slow_answers_over_reused_connections_are_no_outage() {
    let table = TableClient::new(Arc::new(SlowTable {
        latency: milliseconds(500),
        over_reused_connections: true,
        ..SlowTable::default()
    }));
    let mut commits = 0;
    while table.commit(&Transaction::new()).await.is_err() {
        assert!(table.is_answering());
        commits += 1;
    }
    assert_eq!(
        commits, 2,
        "timeouts of 150 and 300 ms are too short, 600 ms is not"
    );
    let range = KeyRange::all("t", "p");
    assert!(
        table.scan(&range).await.is_err(),
        "timeouts of 150 and 300 ms are too short"
    );
    assert!(table.scan(&range).await.is_ok());
    assert!(table.is_answering());
}

#[tokio::test(start_paused = true)]
async fn concurrent_calls_on_unresponsive_connections_are_no_outage() {
    const CONCURRENT_CALLS: usize = 8;
    let table = TableClient::new(Arc::new(SlowTable {
        latency: milliseconds(10_000),
        over_reused_connections: true,
        ..SlowTable::default()
    }));
    let (transaction, range) = (Transaction::new(), KeyRange::all("t", "p"));
    let commits = join_all((0..CONCURRENT_CALLS).map(|_| table.commit(&transaction))).await;
    assert!(commits.iter().all(Result::is_err));
    assert!(table.is_answering(), "commits");
    let scans = join_all((0..CONCURRENT_CALLS).map(|_| table.scan(&range))).await;
    assert!(scans.iter().all(Result::is_err));
    assert!(table.is_answering(), "scans");
}

/// Guards against one silence that raises the timeout to its maximum.
#[tokio::test(start_paused = true)]
async fn calls_that_time_out_together_raise_the_timeout_once() {
    const CONCURRENT_CALLS: usize = 8;
    let transport = Arc::new(SlowTable {
        unavailable: AtomicBool::new(true),
        ..SlowTable::default()
    });
    let table = TableClient::new(transport);
    let timeout = table.read_latency().timeout;
    let range = KeyRange::all("t", "p");
    let scans = join_all((0..CONCURRENT_CALLS).map(|_| table.scan(&range))).await;
    assert!(scans.iter().all(Result::is_err));
    assert_eq!(table.read_latency().timeout, timeout * 2);
}
