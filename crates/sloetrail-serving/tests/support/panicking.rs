//! A dialect and a table that panic on chosen input.

use async_trait::async_trait;
use http::StatusCode;
use sloetrail_serving::back_end::{BackEnd, EngineStatus, OrderAnswer, VersionOrder};
use sloetrail_serving::dialect::{
    CallerPaths, Dialect, DialectError, EngineCall, HeaderNames, PublishedVersion, SourceRows,
};
use sloetrail_serving::native_dialect::NativeDialect;
use sloetrail_serving::table::{
    Changes, Commit, CommitError, KeyRange, Page, ReadError, Table, TableLimits, Transaction,
};
use sloetrail_types::{RowVersion, ZoneName};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Rows whose key contains this text make the dialect panic.
pub const PANIC_KEY: &str = "panic";

/// Panics for the next calls, as many as are set.
#[derive(Default)]
pub struct PanicBudget(AtomicUsize);

impl PanicBudget {
    pub fn set(&self, calls: usize) {
        self.0.store(calls, Ordering::SeqCst);
    }

    pub fn is_spent(&self) -> bool {
        self.0.load(Ordering::SeqCst) == 0
    }

    fn spend(&self) {
        let take = |left: usize| left.checked_sub(1);
        let taken = self
            .0
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, take);
        assert!(taken.is_err(), "an expected panic");
    }
}

/// The native dialect. Panics on rows with [`PANIC_KEY`], and in calls to engines.
#[derive(Default)]
pub struct PanickingDialect {
    native: NativeDialect,
    pub engine_calls: PanicBudget,
}

fn check_key(key: &str) {
    assert!(!key.contains(PANIC_KEY), "an expected panic");
}

impl Dialect for PanickingDialect {
    fn headers(&self) -> &HeaderNames {
        self.native.headers()
    }

    fn paths(&self) -> &CallerPaths {
        self.native.paths()
    }

    fn sources(&self) -> &SourceRows {
        self.native.sources()
    }

    fn back_end(&self, id: &str, value: &[u8]) -> Result<BackEnd, DialectError> {
        check_key(id);
        self.native.back_end(id, value)
    }

    fn published_version(&self, key: &str, value: &[u8]) -> Option<PublishedVersion> {
        check_key(key);
        self.native.published_version(key, value)
    }

    fn evacuated_zone(&self, key: &str) -> Option<ZoneName> {
        check_key(key);
        self.native.evacuated_zone(key)
    }

    fn status_call(&self) -> EngineCall {
        self.engine_calls.spend();
        self.native.status_call()
    }

    fn status(&self, body: &[u8]) -> Result<EngineStatus, DialectError> {
        self.native.status(body)
    }

    fn order_call(&self, order: &VersionOrder) -> EngineCall {
        self.native.order_call(order)
    }

    fn order_answer(&self, status: StatusCode) -> OrderAnswer {
        self.native.order_answer(status)
    }
}

/// A table whose reads of changes panic.
pub struct PanickingTable {
    pub table: Arc<dyn Table>,
    pub changes: Arc<PanicBudget>,
}

#[async_trait]
impl Table for PanickingTable {
    fn limits(&self) -> TableLimits {
        self.table.limits()
    }

    fn now_ms(&self) -> Option<u64> {
        self.table.now_ms()
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Commit, CommitError> {
        self.table.commit(transaction).await
    }

    async fn scan(&self, range: &KeyRange) -> Result<Page, ReadError> {
        self.table.scan(range).await
    }

    async fn changes(
        &self,
        table: &str,
        since: RowVersion,
        wait: Duration,
    ) -> Result<Changes, ReadError> {
        self.changes.spend();
        self.table.changes(table, since, wait).await
    }
}
