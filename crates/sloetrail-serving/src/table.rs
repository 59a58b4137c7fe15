//! The table: the only durable store, owned by the platform.
//!
//! A row lies in a table, in a partition, under a key. Writes are transactions on
//! conditions; each gives the rows that it writes a new version. Reads are
//! linearizable. Whoever follows a table asks for the changes since a version.

use async_trait::async_trait;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sloetrail_types::RowVersion;
use snafu::Snafu;
use std::time::Duration;

/// Where a row lies.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RowAddress {
    /// The table.
    pub table: String,
    /// The partition, which may be empty.
    pub partition: String,
    /// The key within both.
    pub key: String,
}

impl RowAddress {
    /// An address of three parts.
    pub fn new(
        table: impl Into<String>,
        partition: impl Into<String>,
        key: impl Into<String>,
    ) -> Self {
        Self {
            table: table.into(),
            partition: partition.into(),
            key: key.into(),
        }
    }
}

/// A row as it was read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Where it lies.
    pub address: RowAddress,
    /// What it holds.
    pub value: Bytes,
    /// The version that its last write gave it.
    pub version: RowVersion,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The row.
    pub address: RowAddress,
    /// The version that it must have; nothing means that it must be absent.
    pub version: Option<RowVersion>,
}

/// A change that is done whole or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// Rows to write.
    pub puts: Vec<(RowAddress, Bytes)>,
    /// Rows to delete.
    pub deletes: Vec<RowAddress>,
}

impl Transaction {
    /// A transaction that does nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Demands a version; nothing means that the row must be absent.
    #[must_use]
    pub fn require(mut self, address: RowAddress, version: Option<RowVersion>) -> Self {
        self.conditions.push(Condition { address, version });
        self
    }

    /// Writes a row.
    #[must_use]
    pub fn put(mut self, address: RowAddress, value: impl Into<Bytes>) -> Self {
        self.puts.push((address, value.into()));
        self
    }

    /// The rows that it writes, deletes or looks at.
    pub fn addresses(&self) -> impl Iterator<Item = &RowAddress> {
        let conditions = self.conditions.iter().map(|condition| &condition.address);
        let puts = self.puts.iter().map(|(address, _)| address);
        conditions.chain(puts).chain(&self.deletes)
    }

    /// The tables of these rows.
    pub fn tables(&self) -> impl Iterator<Item = &str> {
        self.addresses().map(|address| address.table.as_str())
    }

    /// Deletes a row.
    #[must_use]
    pub fn delete(mut self, address: RowAddress) -> Self {
        self.deletes.push(address);
        self
    }
}

/// How a transaction that was judged ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Commit {
    /// It is done; the rows that it wrote have this version.
    Done(RowVersion),
    /// A condition did not hold and nothing was changed; the rows that the
    /// conditions name, as they are.
    Conflict(Vec<Row>),
}

/// A transaction whose outcome is not known, or that was not done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum CommitError {
    /// Proved: nothing was changed and nothing will be.
    #[snafu(display("the table refused the transaction"))]
    NotDone,
    /// It may have been done, or may be done later while its conditions hold.
    #[snafu(display("the table did not answer the transaction"))]
    Unknown,
}

/// A read that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum ReadError {
    /// The table did not answer, or refused.
    #[snafu(display("the table cannot be read"))]
    Unavailable,
    /// The changes since the version asked for are forgotten: read everything.
    #[snafu(display("the table has forgotten the changes asked for"))]
    HistoryLost,
}

/// A range of keys in one partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRange {
    /// The table.
    pub table: String,
    /// The partition.
    pub partition: String,
    /// The first key.
    pub from: String,
    /// The key before which the range ends; nothing means no end.
    pub to: Option<String>,
    /// The most rows wanted; nothing leaves it to the table.
    pub limit: Option<usize>,
}

impl KeyRange {
    /// All keys of a partition.
    pub fn all(table: impl Into<String>, partition: impl Into<String>) -> Self {
        Self {
            table: table.into(),
            partition: partition.into(),
            from: String::new(),
            to: None,
            limit: None,
        }
    }

    /// The row of one address.
    pub fn one(address: &RowAddress) -> Self {
        Self {
            table: address.table.clone(),
            partition: address.partition.clone(),
            from: address.key.clone(),
            to: Some(after_key(&address.key)),
            limit: Some(1),
        }
    }
}

/// Sorts before every sign that keys are made of; put behind a key it gives the
/// place right after it.
const AFTER_KEY: char = '!';

/// The place right after a key.
pub fn after_key(key: &str) -> String {
    format!("{key}{AFTER_KEY}")
}

/// Rows as of a single moment, by rising keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The rows.
    pub rows: Vec<Row>,
    /// True if the range holds more after these.
    pub more: bool,
    /// The newest version in the table at that moment.
    pub version: RowVersion,
}

/// A row that was written or deleted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// It was written.
    Written(Row),
    /// It was deleted.
    Deleted(RowAddress),
}

/// What has changed since a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// The changes in order.
    pub changes: Vec<Change>,
    /// The version from which to go on.
    pub version: RowVersion,
}

/// The bounds of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableLimits {
    /// Bytes of one row's value.
    pub row_bytes: usize,
    /// Conditions, puts and deletes of one transaction.
    pub transaction_entries: usize,
    /// Bytes of all values of one transaction.
    pub transaction_bytes: usize,
}

/// The table service.
#[async_trait]
pub trait Table: Send + Sync {
    /// Its bounds.
    fn limits(&self) -> TableLimits;

    /// The table's steady clock in milliseconds, as estimated from its last
    /// answer; nothing before the first one.
    fn now_ms(&self) -> Option<u64>;

    /// How long an ordinary answer takes now, as far as it is known.
    fn typical_latency(&self) -> Duration {
        Duration::ZERO
    }

    /// False if the table is known not to answer: a call would be in vain.
    fn is_answering(&self) -> bool {
        true
    }

    /// True if the table does not answer this node and no other node can be reached that
    /// might know more, or none that may carry what callers send: it may well answer others.
    fn is_isolated(&self) -> bool {
        false
    }

    /// Completes once the table is found not to answer. A table that cannot tell never
    /// completes.
    async fn wait_for_outage(&self) {
        std::future::pending().await
    }

    /// Completes once the table answers again after an absence. A table that cannot tell
    /// never completes.
    async fn wait_for_recovery(&self) {
        std::future::pending().await
    }

    /// Carries out a transaction.
    async fn commit(&self, transaction: &Transaction) -> Result<Commit, CommitError>;

    /// Reads a range.
    async fn scan(&self, range: &KeyRange) -> Result<Page, ReadError>;

    /// The changes of a table since a version, as soon as there is one, or none
    /// after `wait`.
    async fn changes(
        &self,
        table: &str,
        since: RowVersion,
        wait: Duration,
    ) -> Result<Changes, ReadError>;
}

/// Reads a whole range, page by page.
pub async fn scan_all(table: &dyn Table, mut range: KeyRange) -> Result<Page, ReadError> {
    let mut whole = table.scan(&range).await?;
    while whole.more {
        let Some(last) = whole.rows.last() else {
            return Ok(whole);
        };
        range.from = after_key(&last.address.key);
        let page = table.scan(&range).await?;
        whole.rows.extend(page.rows);
        whole.more = page.more;
    }
    Ok(whole)
}

/// Reads one row.
pub async fn read_row(table: &dyn Table, address: &RowAddress) -> Result<Option<Row>, ReadError> {
    let page = table.scan(&KeyRange::one(address)).await?;
    Ok(page.rows.into_iter().next())
}
