use super::{FollowPace, follow};
use crate::table::{
    Changes, Commit, CommitError, KeyRange, Page, ReadError, Table, TableLimits, Transaction,
};
use async_trait::async_trait;
use sloetrail_types::RowVersion;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// A table that refuses every call until it is back.
struct AbsentTable {
    is_back: watch::Sender<bool>,
}

impl AbsentTable {
    fn answers(&self) -> Result<(), ReadError> {
        match *self.is_back.borrow() {
            true => Ok(()),
            false => Err(ReadError::Unavailable),
        }
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

    async fn returned(&self) {
        let mut is_back = self.is_back.subscribe();
        // The sender lives as long as this table.
        let _ = is_back.changed().await;
    }

    async fn commit(&self, _transaction: &Transaction) -> Result<Commit, CommitError> {
        Err(CommitError::NotDone)
    }

    async fn scan(&self, _range: &KeyRange) -> Result<Page, ReadError> {
        self.answers().map(|()| Page::default())
    }

    async fn changes(
        &self,
        _table: &str,
        _since: RowVersion,
        wait: Duration,
    ) -> Result<Changes, ReadError> {
        self.answers()?;
        tokio::time::sleep(wait).await;
        Ok(Changes::default())
    }
}

/// Questions are asked less and less often while the table is away, but its return must
/// not be found out only with the next of them.
#[tokio::test(start_paused = true)]
async fn a_table_that_is_back_is_asked_at_once() {
    let (is_back, _) = watch::channel(false);
    let table = Arc::new(AbsentTable { is_back });
    let pace = FollowPace::with_pause(Duration::from_millis(5));
    let mut view = follow(Arc::clone(&table) as Arc<dyn Table>, "rows", "", pace);
    tokio::time::sleep(Duration::from_millis(4_100)).await;
    assert!(view.borrow().confirmed_at.is_none());
    let returned_at = Instant::now();
    table.is_back.send_replace(true);
    let is_known = view.wait_for(|view| view.confirmed_at.is_some());
    is_known.await.expect("the follower lives");
    let took = returned_at.elapsed();
    assert!(took < Duration::from_millis(20), "{took:?}");
}
