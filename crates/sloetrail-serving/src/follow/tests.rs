use super::{FollowPace, follow};
use crate::table::{
    Changes, Commit, CommitError, KeyRange, Page, ReadError, Table, TableLimits, Transaction,
};
use async_trait::async_trait;
use sloetrail_clock::BootInstant;
use sloetrail_types::RowVersion;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// How long a call waits for a table that says nothing.
const PATIENCE: Duration = Duration::from_millis(500);

/// A table that answers no call until it is back.
struct AbsentTable {
    is_back: watch::Sender<bool>,
    /// False if it refuses calls at once, true if it says nothing.
    is_silent: bool,
}

impl AbsentTable {
    fn new(is_silent: bool) -> Arc<Self> {
        let (is_back, _) = watch::channel(false);
        Arc::new(Self { is_back, is_silent })
    }

    /// Calls that wait when the table is back are given up, as their answers are lost.
    async fn answers(&self) -> Result<(), ReadError> {
        if self.is_answering() {
            return Ok(());
        }
        if self.is_silent {
            // Either the table is back or the patience is at its end.
            let _ = tokio::time::timeout(PATIENCE, self.wait_for_recovery()).await;
        }
        Err(ReadError::Unavailable)
    }
}

#[async_trait]
impl Table for AbsentTable {
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
        *self.is_back.borrow()
    }

    async fn wait_for_recovery(&self) {
        let mut is_back = self.is_back.subscribe();
        // The sender lives as long as this table.
        let _ = is_back.changed().await;
    }

    async fn commit(&self, _transaction: &Transaction) -> Result<Commit, CommitError> {
        Err(CommitError::NotDone)
    }

    async fn scan(&self, _range: &KeyRange) -> Result<Page, ReadError> {
        self.answers().await.map(|()| Page::default())
    }

    async fn changes(
        &self,
        _table: &str,
        _since: RowVersion,
        wait: Duration,
    ) -> Result<Changes, ReadError> {
        self.answers().await?;
        tokio::time::sleep(wait).await;
        Ok(Changes::default())
    }
}

/// How long a follower takes to read a table that comes back after this time.
async fn found_back_after(table: Arc<AbsentTable>, absence: Duration) -> Duration {
    let pace = FollowPace::with_pause(Duration::from_millis(5));
    let mut view = follow(Arc::clone(&table) as Arc<dyn Table>, "rows", "", pace);
    tokio::time::sleep(absence).await;
    assert!(view.borrow().confirmed_at.is_none());
    let returned_at = BootInstant::now();
    table.is_back.send_replace(true);
    let is_known = view.wait_for(|view| view.confirmed_at.is_some());
    is_known.await.expect("the follower lives");
    returned_at.elapsed()
}

/// Questions are asked less and less often while the table is away, but its return must
/// not be found out only with the next of them.
#[tokio::test(start_paused = true)]
async fn a_table_that_is_back_is_asked_at_once() {
    let took = found_back_after(AbsentTable::new(false), Duration::from_millis(4_100)).await;
    assert!(took < Duration::from_millis(20), "{took:?}");
}

/// The question that waits when the table is back fails with its return: the pause that
/// follows a failure would begin only then.
#[tokio::test(start_paused = true)]
async fn a_silent_table_that_is_back_is_asked_at_once() {
    // The seventh question waits from 4.88 to 5.38 s, the pause after it would be 0.64 s.
    let took = found_back_after(AbsentTable::new(true), Duration::from_secs(5)).await;
    assert!(took < Duration::from_millis(20), "{took:?}");
}

/// An answer that comes late means that this process or the table stood still. What waits
/// for news since then must not wait for as long as a quiet table holds the next question.
#[tokio::test(start_paused = true)]
async fn after_a_late_answer_the_next_one_comes_at_once() {
    let table = AbsentTable::new(false);
    table.is_back.send_replace(true);
    let pace = FollowPace::with_pause(Duration::from_millis(5));
    let held = pace.wait.now();
    let mut view = follow(Arc::clone(&table) as Arc<dyn Table>, "rows", "", pace);
    let is_known = view.wait_for(|view| view.confirmed_at.is_some());
    is_known.await.expect("the follower lives");
    tokio::time::sleep(held / 2).await;
    // The clock goes on by this while nothing runs.
    tokio::time::advance(held + Duration::from_secs(2)).await;
    let woken_at = BootInstant::now();
    let is_new = view.wait_for(|view| view.asked_at.is_some_and(|at| at >= woken_at));
    is_new.await.expect("the follower lives");
    let took = woken_at.elapsed();
    assert!(took < Duration::from_millis(50), "{took:?} of {held:?}");
}

#[tokio::test(start_paused = true)]
async fn after_a_pause_in_which_nothing_ran_the_table_is_asked_for_an_answer_at_once() {
    let table = AbsentTable::new(false);
    table.is_back.send_replace(true);
    let pace = FollowPace::with_pause(Duration::from_millis(60));
    let held = pace.wait.now();
    let mut view = follow(Arc::clone(&table) as Arc<dyn Table>, "rows", "", pace);
    let is_known = view.wait_for(|view| view.confirmed_at.is_some());
    is_known.await.expect("the follower lives");
    // The pause after the first answer has begun.
    tokio::time::sleep(Duration::from_millis(20)).await;
    tokio::time::advance(Duration::from_secs(2)).await;
    let woken_at = BootInstant::now();
    let is_new = view.wait_for(|view| view.asked_at.is_some_and(|at| at >= woken_at));
    is_new.await.expect("the follower lives");
    let took = woken_at.elapsed();
    assert!(took < Duration::from_millis(200), "{took:?} of {held:?}");
}
