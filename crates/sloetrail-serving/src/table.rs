//! Interface to the table service, the platform's durable store.
//!
//! A row is addressed by table, partition and key. Writes are conditional transactions, and each
//! gives the rows it writes a new version. Reads are linearizable. Followers of a table request
//! the changes since a version.

use async_trait::async_trait;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sloetrail_clock::BootInstant;
use sloetrail_types::RowVersion;
use snafu::Snafu;
use std::time::Duration;

/// The address of a row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RowAddress {
    pub table: String,
    /// May be empty.
    pub partition: String,
    pub key: String,
}

impl RowAddress {
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

/// A row and its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    pub address: RowAddress,
    pub value: Bytes,
    /// The version assigned by its last write.
    pub version: RowVersion,
}

/// A precondition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    pub address: RowAddress,
    /// The required version. None if the row must not exist.
    pub version: Option<RowVersion>,
}

/// Writes that are applied atomically if all conditions hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    pub conditions: Vec<Condition>,
    pub puts: Vec<(RowAddress, Bytes)>,
    pub deletes: Vec<RowAddress>,
}

impl Transaction {
    /// Creates an empty transaction.
    pub fn new() -> Self {
        Self::default()
    }

    /// Requires a version of a row. None if the row must not exist.
    #[must_use]
    pub fn require(mut self, address: RowAddress, version: Option<RowVersion>) -> Self {
        self.conditions.push(Condition { address, version });
        self
    }

    #[must_use]
    pub fn put(mut self, address: RowAddress, value: impl Into<Bytes>) -> Self {
        self.puts.push((address, value.into()));
        self
    }

    /// Returns the rows that the transaction writes, deletes or has conditions on.
    pub fn addresses(&self) -> impl Iterator<Item = &RowAddress> {
        let conditions = self.conditions.iter().map(|condition| &condition.address);
        let puts = self.puts.iter().map(|(address, _)| address);
        conditions.chain(puts).chain(&self.deletes)
    }

    /// Returns the tables of [`Self::addresses`]. May repeat a table.
    pub fn tables(&self) -> impl Iterator<Item = &str> {
        self.addresses().map(|address| address.table.as_str())
    }

    #[must_use]
    pub fn delete(mut self, address: RowAddress) -> Self {
        self.deletes.push(address);
        self
    }
}

/// The outcome of a transaction that the table has processed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Commit {
    /// The transaction was applied, and the rows it wrote have this version.
    Done(RowVersion),
    /// A condition did not hold and nothing was changed. Holds the current rows named by the
    /// conditions.
    Conflict(Vec<Row>),
}

/// A transaction that failed or whose outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum CommitError {
    /// The transaction was not applied and never will be.
    #[snafu(display("the table refused the transaction"))]
    NotDone,
    /// The transaction may have been applied, or may still be while its conditions hold.
    #[snafu(display("the table did not answer the transaction"))]
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum ReadError {
    /// The table did not answer or refused the read.
    #[snafu(display("the table cannot be read"))]
    Unavailable,
    /// The table no longer retains the changes since the requested version. The caller must
    /// read all rows instead.
    #[snafu(display("the table no longer retains the changes since the requested version"))]
    HistoryLost,
}

/// A range of keys in one partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRange {
    pub table: String,
    pub partition: String,
    /// First key, inclusive.
    pub from: String,
    /// End of the range, exclusive. None for no upper bound.
    pub to: Option<String>,
    /// Maximum number of rows. None for the table's own page size.
    pub limit: Option<usize>,
}

impl KeyRange {
    /// Returns the range of all keys of a partition.
    pub fn all(table: impl Into<String>, partition: impl Into<String>) -> Self {
        Self {
            table: table.into(),
            partition: partition.into(),
            from: String::new(),
            to: None,
            limit: None,
        }
    }

    /// Returns the range of a single row.
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

/// Sorts before every character allowed in keys, so that a key with this suffix is the smallest
/// one after the key itself.
const SUCCESSOR_SUFFIX: char = '!';

/// Returns the smallest key that sorts after `key`.
pub fn after_key(key: &str) -> String {
    format!("{key}{SUCCESSOR_SUFFIX}")
}

/// Rows of a range in ascending key order, read at a single version of the table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    pub rows: Vec<Row>,
    /// Whether the range has more rows after these.
    pub more: bool,
    /// The newest version in the table at the time of the read.
    pub version: RowVersion,
}

/// A row that was written or deleted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    Written(Row),
    Deleted(RowAddress),
}

/// Changes of a table since a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// In the order of their versions.
    pub changes: Vec<Change>,
    /// The version from which to continue.
    pub version: RowVersion,
}

/// Size limits of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableLimits {
    /// Maximum bytes of a row's value.
    pub row_bytes: usize,
    /// Maximum conditions, puts and deletes of a transaction, counted together.
    pub transaction_entries: usize,
    /// Maximum bytes of all values of a transaction.
    pub transaction_bytes: usize,
}

/// What a client knows of the latency of reads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadLatency {
    /// How long the next read may take.
    pub timeout: Duration,
    /// When any call was last answered; None before the first answer.
    pub answered_at: Option<BootInstant>,
}

/// Access to the table service.
#[async_trait]
pub trait Table: Send + Sync {
    fn limits(&self) -> TableLimits;

    /// Returns the table's monotonic clock in milliseconds, estimated from its answers. None
    /// before the first answer.
    fn now_ms(&self) -> Option<u64>;

    /// Returns the latency of a typical call, or zero if it is not known.
    fn typical_latency(&self) -> Duration {
        Duration::ZERO
    }

    /// Returns what is known of the latency of reads. The default implementation knows nothing.
    fn read_latency(&self) -> ReadLatency {
        ReadLatency::default()
    }

    /// Closes the idle connections without a response since `unanswered_since`, when a read was
    /// sent that is still pending. The next calls open new ones. The default implementation has
    /// no connections.
    fn distrust_connections(&self, _unanswered_since: BootInstant) {}

    /// Returns whether the table is believed to be available. If false, calls are expected to
    /// fail.
    fn is_answering(&self) -> bool {
        true
    }

    /// Returns whether this node can reach neither the table nor another node that could relay
    /// its calls. The table may still be available to other nodes.
    fn is_isolated(&self) -> bool {
        false
    }

    /// Completes once the table becomes unavailable. The default implementation never completes.
    async fn wait_for_outage(&self) {
        std::future::pending().await
    }

    /// Completes once the table is available again after an outage. The default implementation
    /// never completes.
    async fn wait_for_recovery(&self) {
        std::future::pending().await
    }

    /// Applies a transaction.
    async fn commit(&self, transaction: &Transaction) -> Result<Commit, CommitError>;

    /// Reads one page of a range.
    async fn scan(&self, range: &KeyRange) -> Result<Page, ReadError>;

    /// Returns the changes of a table since a version. If there are none yet, waits up to `wait`
    /// for the first one.
    async fn changes(
        &self,
        table: &str,
        since: RowVersion,
        wait: Duration,
    ) -> Result<Changes, ReadError>;
}

/// Reads all pages of a range.
pub async fn scan_all(table: &dyn Table, mut range: KeyRange) -> Result<Page, ReadError> {
    let mut collected = table.scan(&range).await?;
    while collected.more {
        let Some(last) = collected.rows.last() else {
            return Ok(collected);
        };
        range.from = after_key(&last.address.key);
        let page = table.scan(&range).await?;
        collected.rows.extend(page.rows);
        collected.more = page.more;
    }
    Ok(collected)
}

/// Reads a row. None if it does not exist.
pub async fn read_row(table: &dyn Table, address: &RowAddress) -> Result<Option<Row>, ReadError> {
    let page = table.scan(&KeyRange::one(address)).await?;
    Ok(page.rows.into_iter().next())
}
