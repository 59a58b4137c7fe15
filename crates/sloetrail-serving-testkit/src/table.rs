//! An in-memory durable table with faults.

mod link;

pub use link::{LinkTransport, LinkUse, TableLink};

use bytes::Bytes;
use sloetrail_serving::table::{Change, Commit, Row, RowAddress, Transaction};
use sloetrail_types::RowVersion;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// How the table deviates from normal handling of a transaction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CommitFault {
    #[default]
    None,
    /// The transaction is applied and the response is lost.
    DoneUnanswered,
    /// The transaction is applied after this delay if its conditions still hold; the response is
    /// lost.
    DoneLate(Duration),
    /// The request is lost before it is applied.
    RequestLost,
    /// The transaction is rejected as not done.
    Refused,
    /// The transaction is applied and answered after this delay.
    Slow(Duration),
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<RowAddress, (Bytes, u64)>,
    version: u64,
    history: Vec<(u64, Change)>,
    history_lost_before: u64,
    commits: usize,
    fault: CommitFault,
    /// Commits that the fault still applies to; None means all.
    fault_count: Option<usize>,
    /// Restricts the fault to commits that write to this table; None means all tables.
    fault_table: Option<String>,
    down: bool,
}

/// The rows of all tables, their change history, and the faults of commits.
pub struct MemoryTable {
    began: Instant,
    clock_offset_ms: AtomicU64,
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

impl MemoryTable {
    pub fn new() -> Arc<Self> {
        let (changed, _) = watch::channel(0);
        Arc::new(Self {
            began: Instant::now(),
            clock_offset_ms: AtomicU64::new(0),
            state: Mutex::default(),
            changed,
        })
    }

    /// Writes a row as an operator or back end, without faults.
    pub fn write(&self, address: RowAddress, value: impl Into<Bytes>) {
        let transaction = Transaction::new().put(address, value);
        self.apply(&transaction);
    }

    /// Deletes a row as an operator or back end, without faults.
    pub fn delete(&self, address: RowAddress) {
        let transaction = Transaction::new().delete(address);
        self.apply(&transaction);
    }

    pub fn rows(&self, table: &str) -> Vec<Row> {
        let state = self.state();
        let rows = state.rows.iter();
        rows.filter(|(address, _)| address.table == table)
            .map(|(address, (value, version))| Row {
                address: address.clone(),
                value: value.clone(),
                version: RowVersion(*version),
            })
            .collect()
    }

    /// Applies a fault to the next `count` transactions of nodes; to all if None.
    pub fn set_commit_fault(&self, fault: CommitFault, count: Option<usize>) {
        let mut state = self.state();
        state.fault = fault;
        state.fault_count = count;
        state.fault_table = None;
    }

    /// Applies a fault to the next `count` transactions of nodes that write to `table`.
    pub fn set_commit_fault_on(&self, table: &str, fault: CommitFault, count: usize) {
        self.set_commit_fault(fault, Some(count));
        self.state().fault_table = Some(table.to_owned());
    }

    /// Transactions that the fault still applies to; None means all.
    pub fn remaining_faults(&self) -> Option<usize> {
        self.state().fault_count
    }

    /// Sets whether the table is unavailable to all nodes.
    pub fn set_down(&self, down: bool) {
        self.state().down = down;
        self.changed.send_modify(|_| {});
    }

    /// Drops the change history, so that reads of earlier changes fail.
    pub fn forget_history(&self) {
        let mut state = self.state();
        state.history_lost_before = state.version;
        state.history.clear();
        drop(state);
        self.changed.send_modify(|_| {});
    }

    pub fn advance_clock(&self, time: Duration) {
        let milliseconds = time.as_millis() as u64;
        self.clock_offset_ms
            .fetch_add(milliseconds, Ordering::SeqCst);
    }

    /// Transactions that nodes sent, including those that a fault loses.
    pub fn commits(&self) -> usize {
        self.state().commits
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }

    fn apply(&self, transaction: &Transaction) -> Commit {
        let mut state = self.state();
        let holds = transaction.conditions.iter().all(|condition| {
            let version = state
                .rows
                .get(&condition.address)
                .map(|(_, version)| *version);
            version == condition.version.map(|version| version.0)
        });
        if !holds {
            let named = transaction.conditions.iter().filter_map(|condition| {
                let (value, version) = state.rows.get(&condition.address)?;
                Some(Row {
                    address: condition.address.clone(),
                    value: value.clone(),
                    version: RowVersion(*version),
                })
            });
            return Commit::Conflict(named.collect());
        }
        state.version += 1;
        let version = state.version;
        for (address, value) in &transaction.puts {
            state.rows.insert(address.clone(), (value.clone(), version));
            let row = Row {
                address: address.clone(),
                value: value.clone(),
                version: RowVersion(version),
            };
            state.history.push((version, Change::Written(row)));
        }
        for address in &transaction.deletes {
            state.rows.remove(address);
            let change = Change::Deleted(address.clone());
            state.history.push((version, change));
        }
        drop(state);
        self.changed.send_replace(version);
        Commit::Done(RowVersion(version))
    }

    fn take_fault(&self, transaction: &Transaction) -> CommitFault {
        let mut state = self.state();
        state.commits += 1;
        if state.down {
            return CommitFault::RequestLost;
        }
        let applies = state.fault_table.as_ref().is_none_or(|table| {
            let mut written = transaction.puts.iter();
            written.any(|(address, _)| address.table == *table)
        });
        if !applies {
            return CommitFault::None;
        }
        match &mut state.fault_count {
            None => state.fault,
            Some(0) => CommitFault::None,
            Some(count) => {
                *count -= 1;
                state.fault
            }
        }
    }

    fn is_down(&self) -> bool {
        self.state().down
    }
}
