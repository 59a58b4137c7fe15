mod faulty_table;
mod view_age;

use super::{PollTiming, follow};
use crate::table::{
    Changes, Commit, CommitError, KeyRange, Page, ReadError, Table, TableLimits, Transaction,
};
use async_trait::async_trait;
use sloetrail_clock::BootInstant;
use sloetrail_types::RowVersion;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// How long a call waits for an unresponsive table.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_AGE: Option<Duration> = Some(Duration::from_secs(2));

/// A table that fails all calls until it becomes available.
struct UnavailableTable {
    is_available: watch::Sender<bool>,
    /// True if calls time out, false if they are refused immediately.
    is_unresponsive: bool,
}

impl UnavailableTable {
    fn new(is_unresponsive: bool) -> Arc<Self> {
        let (is_available, _) = watch::channel(false);
        Arc::new(Self {
            is_available,
            is_unresponsive,
        })
    }

    /// Calls that are pending when the table becomes available fail: their answers are lost.
    async fn check_available(&self) -> Result<(), ReadError> {
        if self.is_answering() {
            return Ok(());
        }
        if self.is_unresponsive {
            // Ends when the table becomes available or the call times out.
            let _ = tokio::time::timeout(CALL_TIMEOUT, self.wait_for_recovery()).await;
        }
        Err(ReadError::Unavailable)
    }
}

#[async_trait]
impl Table for UnavailableTable {
    fn limits(&self) -> TableLimits {
        TableLimits {
            row_bytes: 1_000,
            transaction_entries: 10,
            transaction_bytes: 10_000,
        }
    }

    fn now_ms(&self) -> Option<u64> {
        None
    }

    fn is_answering(&self) -> bool {
        *self.is_available.borrow()
    }

    async fn wait_for_recovery(&self) {
        let mut is_available = self.is_available.subscribe();
        // The sender lives as long as this table.
        let _ = is_available.changed().await;
    }

    async fn commit(&self, _transaction: &Transaction) -> Result<Commit, CommitError> {
        Err(CommitError::NotDone)
    }

    async fn scan(&self, _range: &KeyRange) -> Result<Page, ReadError> {
        self.check_available().await.map(|()| Page::default())
    }

    async fn changes(
        &self,
        _table: &str,
        _since: RowVersion,
        wait: Duration,
    ) -> Result<Changes, ReadError> {
        self.check_available().await?;
        tokio::time::sleep(wait).await;
        Ok(Changes::default())
    }
}

/// The time from the table's return until a follower reads it, after this time of unavailability.
async fn reconnect_time(table: Arc<UnavailableTable>, outage: Duration) -> Duration {
    let timing = PollTiming::with_delay(Duration::from_millis(5), MAX_AGE);
    let mut view = follow(Arc::clone(&table) as Arc<dyn Table>, "rows", "", timing);
    tokio::time::sleep(outage).await;
    assert!(view.borrow().confirmed_at.is_none());
    let returned_at = BootInstant::now();
    table.is_available.send_replace(true);
    let is_known = view.wait_for(|view| view.confirmed_at.is_some());
    is_known.await.expect("the follower is running");
    returned_at.elapsed()
}

/// Retries back off during an outage, but the return of the table must be detected without waiting
/// for the next retry.
#[tokio::test(start_paused = true)]
async fn a_returning_table_is_polled_immediately() {
    let took = reconnect_time(UnavailableTable::new(false), Duration::from_millis(4_100)).await;
    assert!(took < Duration::from_millis(20), "{took:?}");
}

/// The pending call fails when the table returns. The backoff that follows a failure must not
/// delay the next call.
#[tokio::test(start_paused = true)]
async fn a_returning_unresponsive_table_is_polled_immediately() {
    // The seventh call is pending from 4.88 to 5.38 s, and the backoff after it would be 0.64 s.
    let took = reconnect_time(UnavailableTable::new(true), Duration::from_secs(5)).await;
    assert!(took < Duration::from_millis(20), "{took:?}");
}

/// A late answer means that this process or the table was suspended. Readers that need a newer view
/// must not wait for another full long poll.
#[tokio::test(start_paused = true)]
async fn a_late_answer_is_followed_by_an_immediate_poll() {
    let table = UnavailableTable::new(false);
    table.is_available.send_replace(true);
    let timing = PollTiming::with_delay(Duration::from_millis(5), MAX_AGE);
    let long_poll_timeout = timing.long_poll_timeout.now();
    let mut view = follow(Arc::clone(&table) as Arc<dyn Table>, "rows", "", timing);
    let is_known = view.wait_for(|view| view.confirmed_at.is_some());
    is_known.await.expect("the follower is running");
    tokio::time::sleep(long_poll_timeout / 2).await;
    // Simulates a suspension: the clock advances while nothing runs.
    tokio::time::advance(long_poll_timeout + Duration::from_secs(2)).await;
    let woken_at = BootInstant::now();
    let is_new = view.wait_for(|view| view.requested_at.is_some_and(|at| at >= woken_at));
    is_new.await.expect("the follower is running");
    let took = woken_at.elapsed();
    assert!(
        took < Duration::from_millis(50),
        "{took:?} of {long_poll_timeout:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn a_suspension_during_the_delay_causes_an_immediate_poll() {
    let table = UnavailableTable::new(false);
    table.is_available.send_replace(true);
    let timing = PollTiming::with_delay(Duration::from_millis(60), MAX_AGE);
    let long_poll_timeout = timing.long_poll_timeout.now();
    let mut view = follow(Arc::clone(&table) as Arc<dyn Table>, "rows", "", timing);
    let is_known = view.wait_for(|view| view.confirmed_at.is_some());
    is_known.await.expect("the follower is running");
    // The delay after the first answer has started.
    tokio::time::sleep(Duration::from_millis(20)).await;
    tokio::time::advance(Duration::from_secs(2)).await;
    let woken_at = BootInstant::now();
    let is_new = view.wait_for(|view| view.requested_at.is_some_and(|at| at >= woken_at));
    is_new.await.expect("the follower is running");
    let took = woken_at.elapsed();
    assert!(
        took < Duration::from_millis(200),
        "{took:?} of {long_poll_timeout:?}"
    );
}
