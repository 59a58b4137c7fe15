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
fn a_fast_table_is_not_waited_for_long() {
    let mut patience = AdaptiveTimeout::default();
    for _ in 0..10 {
        patience.record_answer(milliseconds(4));
    }
    assert_eq!(patience.timeout(), milliseconds(150));
}

#[test]
fn silence_makes_patient_until_the_slow_table_answers_and_stays_so() {
    let mut patience = AdaptiveTimeout::default();
    let mut waits = Vec::new();
    while patience.timeout() < milliseconds(500) {
        waits.push(patience.timeout());
        patience.record_timeout();
    }
    assert_eq!(waits, [milliseconds(150), milliseconds(300)]);
    patience.record_answer(milliseconds(400));
    assert_eq!(patience.timeout(), milliseconds(2_400));
    for _ in 0..30 {
        patience.record_answer(milliseconds(4));
    }
    assert_eq!(patience.timeout(), milliseconds(150));
}

#[test]
fn answers_that_are_held_open_tell_the_pace_as_well() {
    let wait = milliseconds(1_000);
    let mut patience = AdaptiveTimeout::default();
    patience.record_answer(milliseconds(500));
    assert_eq!(patience.timeout(), milliseconds(3_000));
    for _ in 0..20 {
        patience.record_long_poll_answer(milliseconds(1_005), wait);
    }
    assert_eq!(
        patience.timeout(),
        milliseconds(150),
        "a slow start is forgotten"
    );
    patience.record_long_poll_answer(milliseconds(700), wait);
    assert_eq!(
        patience.timeout(),
        milliseconds(150),
        "something changed after 700 ms"
    );
    patience.record_long_poll_answer(milliseconds(1_400), wait);
    assert_eq!(
        patience.timeout(),
        milliseconds(2_400),
        "the table has turned slow"
    );
}

#[test]
fn patience_has_a_bound() {
    let mut patience = AdaptiveTimeout::default();
    for _ in 0..100 {
        patience.record_timeout();
    }
    assert_eq!(patience.timeout(), milliseconds(3_000));
}

#[test]
fn a_table_is_absent_after_failures_and_time_and_back_with_one_answer() {
    let start = BootInstant::now();
    let mut presence = Availability::default();
    assert_eq!(presence.note(start, true), None);
    for after in [100, 200, 300] {
        assert_eq!(presence.note(start + milliseconds(after), false), None);
    }
    assert!(presence.is_answering(), "too soon to say");
    let change = presence.note(start + milliseconds(500), false);
    assert_eq!(change, Some(AvailabilityChange::Lost));
    assert!(!presence.is_answering());
    assert_eq!(presence.note(start + milliseconds(550), false), None);
    let change = presence.note(start + milliseconds(600), true);
    assert_eq!(change, Some(AvailabilityChange::Recovered));
    assert_eq!(presence.note(start + milliseconds(2_100), false), None);
    assert!(presence.is_answering(), "one failure is nothing");
}

/// A table whose answers take a time, and that says nothing while it is away: calls made
/// meanwhile are never answered.
#[derive(Default)]
struct LateTable {
    away: AtomicBool,
    answer_time: Duration,
    /// True if its connections were all kept, so that a silence may be theirs.
    over_kept_connections: bool,
}

impl LateTable {
    async fn answer<Answer: Default, Failure>(
        &self,
        patience: Duration,
        failure: Failure,
    ) -> CallResult<Answer, Failure> {
        let time = match self.away.load(Ordering::SeqCst) {
            true => Duration::MAX,
            false => self.answer_time,
        };
        tokio::time::sleep(patience.min(time)).await;
        match patience >= time {
            true => Ok(Answer::default()),
            false => Err(TableCallError {
                failure,
                on_unresponsive_connection: self.over_kept_connections,
            }),
        }
    }
}

#[async_trait]
impl TableTransport for LateTable {
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

    async fn commit(&self, _: &Transaction, patience: Duration) -> CallResult<Commit, CommitError> {
        let answer = self.answer(patience, CommitError::Unknown).await;
        answer.map(Commit::Done)
    }

    async fn scan(&self, _: &KeyRange, patience: Duration) -> CallResult<Page, ReadError> {
        self.answer(patience, ReadError::Unavailable).await
    }

    async fn changes(
        &self,
        _: &str,
        _: RowVersion,
        wait: Duration,
        patience: Duration,
    ) -> CallResult<Changes, ReadError> {
        self.answer(wait + patience, ReadError::Unavailable).await
    }
}

#[tokio::test(start_paused = true)]
async fn calls_that_wait_when_the_table_is_back_are_given_up_at_once() {
    let transport = Arc::new(LateTable {
        away: AtomicBool::new(true),
        ..LateTable::default()
    });
    let table = TableClient::new(Arc::clone(&transport) as Arc<dyn TableTransport>);
    let range = KeyRange::all("t", "p");
    while table.is_answering() {
        assert!(table.scan(&range).await.is_err());
    }
    let waiting = Arc::clone(&table);
    let commit = tokio::spawn(async move {
        let began = BootInstant::now();
        (waiting.commit(&Transaction::new()).await, began.elapsed())
    });
    let waiting = Arc::clone(&table);
    let changes = tokio::spawn(async move {
        let wait = Duration::from_secs(60);
        waiting.changes("t", RowVersion(0), wait).await
    });
    tokio::time::sleep(milliseconds(50)).await;
    transport.away.store(false, Ordering::SeqCst);
    let back = BootInstant::now();
    assert_eq!(
        changes.await.expect("no panic"),
        Err(ReadError::Unavailable)
    );
    assert!(back.elapsed() <= milliseconds(300), "{:?}", back.elapsed());
    let (commit, _) = commit.await.expect("no panic");
    assert_eq!(commit, Err(CommitError::Unknown), "it may have been done");
    assert!(table.is_answering());
    assert!(table.scan(&range).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_table_that_is_slow_over_kept_connections_is_waited_for_and_not_taken_as_away() {
    let table = TableClient::new(Arc::new(LateTable {
        answer_time: milliseconds(500),
        over_kept_connections: true,
        ..LateTable::default()
    }));
    let mut commits = 0;
    while table.commit(&Transaction::new()).await.is_err() {
        assert!(table.is_answering());
        commits += 1;
    }
    assert_eq!(commits, 2, "150 and 300 ms are too short, 600 ms are not");
    let range = KeyRange::all("t", "p");
    assert!(table.scan(&range).await.is_err(), "150 and 300 ms");
    assert!(table.scan(&range).await.is_ok());
    assert!(table.is_answering());
}

#[tokio::test(start_paused = true)]
async fn calls_that_meet_silent_connections_together_are_no_sign_that_the_table_is_away() {
    const TOGETHER: usize = 8;
    let table = TableClient::new(Arc::new(LateTable {
        answer_time: milliseconds(10_000),
        over_kept_connections: true,
        ..LateTable::default()
    }));
    let (transaction, range) = (Transaction::new(), KeyRange::all("t", "p"));
    let commits = join_all((0..TOGETHER).map(|_| table.commit(&transaction))).await;
    assert!(commits.iter().all(Result::is_err));
    assert!(table.is_answering(), "commits");
    let scans = join_all((0..TOGETHER).map(|_| table.scan(&range))).await;
    assert!(scans.iter().all(Result::is_err));
    assert!(table.is_answering(), "scans");
}
