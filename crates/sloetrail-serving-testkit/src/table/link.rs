//! The connection of one node to the table.

use super::{CommitFault, MemoryTable};
use async_trait::async_trait;
use sloetrail_serving::table::{
    Change, Changes, Commit, CommitError, KeyRange, Page, ReadError, Row, RowAddress, Table,
    TableLimits, Transaction,
};
use sloetrail_serving::table_client::{CallResult, TableCallError, TableTransport};
use sloetrail_types::RowVersion;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;

/// The default response time in milliseconds.
const ANSWER_MS: u64 = 1;
/// How long an unanswered call hangs before it fails.
const TIMEOUT: Duration = Duration::from_millis(150);
/// Rows per page; low, so that tests with many rows read several pages.
const PAGE_ROWS: usize = 50;

/// Counts of the calls over a link to one table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkUse {
    /// Transactions that write to the table.
    pub writes: usize,
    /// Range scans.
    pub reads: usize,
}

/// The connection of one node to the table. It can be slowed, blocked or cut.
pub struct TableLink {
    table: Arc<MemoryTable>,
    uses: Mutex<BTreeMap<String, LinkUse>>,
    cut: AtomicBool,
    answer_ms: AtomicU64,
    blocked: watch::Sender<bool>,
    silence: Mutex<Silence>,
}

/// Whether the table is silent, and how often it became so.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Silence {
    is_silent: bool,
    count: u64,
}

impl TableLink {
    pub fn new(table: Arc<MemoryTable>) -> Arc<Self> {
        let (blocked, _) = watch::channel(false);
        Arc::new(Self {
            table,
            uses: Mutex::default(),
            blocked,
            cut: AtomicBool::new(false),
            answer_ms: AtomicU64::new(ANSWER_MS),
            silence: Mutex::default(),
        })
    }

    /// Calls over this link to a table, including calls relayed for other nodes.
    pub fn uses_of(&self, table: &str) -> LinkUse {
        let uses = self.uses.lock().expect("not poisoned");
        uses.get(table).copied().unwrap_or_default()
    }

    fn record_writes(&self, transaction: &Transaction) {
        let mut uses = self.uses.lock().expect("not poisoned");
        let tables: BTreeSet<&String> = transaction.puts.iter().map(|(at, _)| &at.table).collect();
        for table in tables {
            uses.entry(table.clone()).or_default().writes += 1;
        }
    }

    fn record_read(&self, table: &str) {
        let mut uses = self.uses.lock().expect("not poisoned");
        uses.entry(table.to_owned()).or_default().reads += 1;
    }

    /// Sets how long the table takes to respond.
    pub fn set_answer_time(&self, time: Duration) {
        let milliseconds = time.as_millis() as u64;
        self.answer_ms.store(milliseconds, Ordering::SeqCst);
    }

    /// Sets whether calls are blocked. Blocked calls continue once unblocked.
    pub fn set_blocked(&self, blocked: bool) {
        self.blocked.send_replace(blocked);
    }

    /// Sets whether the table is silent. Calls that are sent or pending then are never answered.
    pub fn set_silent(&self, is_silent: bool) {
        let mut silence = self.silence.lock().expect("not poisoned");
        silence.count += u64::from(is_silent);
        silence.is_silent = is_silent;
    }

    fn silence(&self) -> Silence {
        *self.silence.lock().expect("not poisoned")
    }

    /// Never returns if the table was silent at any time since `sent`.
    async fn lose_if_silent_since(&self, sent: Silence) {
        if self.silence() != sent || sent.is_silent {
            std::future::pending().await
        }
    }

    async fn delay_answer(&self) {
        let mut blocked = self.blocked.subscribe();
        // Cannot fail: the link owns the sender.
        let _ = blocked.wait_for(|blocked| !*blocked).await;
        let milliseconds = self.answer_ms.load(Ordering::SeqCst);
        tokio::time::sleep(Duration::from_millis(milliseconds)).await;
    }

    /// Sets whether the link is cut. Calls over a cut link hang and then fail.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
        self.table.changed.send_modify(|_| {});
    }

    fn is_unreachable(&self) -> bool {
        self.cut.load(Ordering::SeqCst) || self.table.is_down()
    }

    async fn check_reachable(&self) -> Result<(), ReadError> {
        self.delay_answer().await;
        if self.is_unreachable() {
            tokio::time::sleep(TIMEOUT).await;
            return Err(ReadError::Unavailable);
        }
        Ok(())
    }

    fn changes_since(&self, name: &str, since: u64) -> Result<Changes, ReadError> {
        let state = self.table.state();
        if since < state.history_lost_before {
            return Err(ReadError::HistoryLost);
        }
        let newer = state.history.iter().filter(|(version, change)| {
            let address = match change {
                Change::Written(row) => &row.address,
                Change::Deleted(address) => address,
            };
            *version > since && address.table == name
        });
        Ok(Changes {
            changes: newer.map(|(_, change)| change.clone()).collect(),
            version: RowVersion(state.version),
        })
    }
}

#[async_trait]
impl Table for TableLink {
    fn limits(&self) -> TableLimits {
        TableLimits {
            row_bytes: 4_096,
            transaction_entries: 40,
            transaction_bytes: 64 * 1_024,
        }
    }

    fn now_ms(&self) -> Option<u64> {
        let clock_offset_ms = self.table.clock_offset_ms.load(Ordering::SeqCst);
        Some(1_000_000 + clock_offset_ms + self.table.began.elapsed().as_millis() as u64)
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Commit, CommitError> {
        let sent = self.silence();
        self.delay_answer().await;
        self.lose_if_silent_since(sent).await;
        if self.cut.load(Ordering::SeqCst) {
            tokio::time::sleep(TIMEOUT).await;
            return Err(CommitError::Unknown);
        }
        self.record_writes(transaction);
        if !is_single_partition(transaction) {
            return Err(CommitError::NotDone);
        }
        match self.table.take_fault(transaction) {
            CommitFault::None => return Ok(self.table.apply(transaction)),
            CommitFault::Refused => return Err(CommitError::NotDone),
            CommitFault::Slow(time) => {
                tokio::time::sleep(time).await;
                return Ok(self.table.apply(transaction));
            }
            CommitFault::RequestLost => {}
            CommitFault::DoneUnanswered => {
                self.table.apply(transaction);
            }
            CommitFault::DoneLate(after) => {
                let (table, late) = (Arc::clone(&self.table), transaction.clone());
                std::thread::spawn(move || {
                    std::thread::sleep(after);
                    table.apply(&late);
                });
            }
        }
        tokio::time::sleep(TIMEOUT).await;
        Err(CommitError::Unknown)
    }

    async fn scan(&self, range: &KeyRange) -> Result<Page, ReadError> {
        let sent = self.silence();
        self.check_reachable().await?;
        self.lose_if_silent_since(sent).await;
        self.record_read(&range.table);
        let state = self.table.state();
        let limit = range.limit.unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
        let within = |address: &RowAddress| {
            address.table == range.table
                && address.partition == range.partition
                && address.key >= range.from
                && range.to.as_ref().is_none_or(|to| address.key < *to)
        };
        let mut found = state.rows.iter().filter(|(address, _)| within(address));
        let rows: Vec<Row> = found
            .by_ref()
            .take(limit)
            .map(|(address, (value, version))| Row {
                address: address.clone(),
                value: value.clone(),
                version: RowVersion(*version),
            })
            .collect();
        Ok(Page {
            rows,
            more: found.next().is_some(),
            version: RowVersion(state.version),
        })
    }

    async fn changes(
        &self,
        table: &str,
        since: RowVersion,
        wait: Duration,
    ) -> Result<Changes, ReadError> {
        let sent = self.silence();
        self.check_reachable().await?;
        let mut changed = self.table.changed.subscribe();
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            if self.is_unreachable() {
                tokio::time::sleep(TIMEOUT).await;
                return Err(ReadError::Unavailable);
            }
            let changes = self.changes_since(table, since.0)?;
            let is_over = tokio::time::Instant::now() >= deadline;
            if !changes.changes.is_empty() || is_over {
                self.delay_answer().await;
                self.lose_if_silent_since(sent).await;
                return self.changes_since(table, since.0);
            }
            // On a change or at the deadline, the loop checks again.
            let _ = tokio::time::timeout_at(deadline, changed.changed()).await;
        }
    }
}

/// A [`TableLink`] as a transport that applies timeouts to calls and reuses connections.
pub struct LinkTransport {
    link: Arc<TableLink>,
    idle_connections: AtomicUsize,
}

impl LinkTransport {
    pub fn new(link: Arc<TableLink>) -> Self {
        Self {
            link,
            idle_connections: AtomicUsize::new(0),
        }
    }

    /// Makes a call over an idle connection, or over a new one if there is none. A call that
    /// times out closes its connection and the idle ones.
    async fn call<Answer, Failure>(
        &self,
        call: impl Future<Output = Result<Answer, Failure>>,
        timeout: Duration,
        failure: Failure,
    ) -> CallResult<Answer, Failure> {
        let take = |idle: usize| idle.checked_sub(1);
        let idle = &self.idle_connections;
        let is_reused = idle
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, take)
            .is_ok();
        match tokio::time::timeout(timeout, call).await {
            Ok(result) => {
                idle.fetch_add(1, Ordering::SeqCst);
                Ok(result?)
            }
            Err(_) => {
                idle.store(0, Ordering::SeqCst);
                Err(TableCallError {
                    failure,
                    on_unresponsive_connection: is_reused,
                })
            }
        }
    }
}

#[async_trait]
impl TableTransport for LinkTransport {
    fn limits(&self) -> TableLimits {
        self.link.limits()
    }

    fn now_ms(&self) -> Option<u64> {
        self.link.now_ms()
    }

    async fn commit(
        &self,
        transaction: &Transaction,
        timeout: Duration,
    ) -> CallResult<Commit, CommitError> {
        let commit = self.link.commit(transaction);
        self.call(commit, timeout, CommitError::Unknown).await
    }

    async fn scan(&self, range: &KeyRange, timeout: Duration) -> CallResult<Page, ReadError> {
        let page = self.link.scan(range);
        self.call(page, timeout, ReadError::Unavailable).await
    }

    async fn changes(
        &self,
        table: &str,
        since: RowVersion,
        wait: Duration,
        timeout: Duration,
    ) -> CallResult<Changes, ReadError> {
        let changes = self.link.changes(table, since, wait);
        self.call(changes, wait + timeout, ReadError::Unavailable)
            .await
    }
}

/// The platform store requires this of transactions by default.
fn is_single_partition(transaction: &Transaction) -> bool {
    let mut addresses = transaction.addresses();
    let Some(first) = addresses.next() else {
        return true;
    };
    addresses.all(|address| address.partition == first.partition)
}
