//! The durable table in memory, with faults.

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

/// What becomes of a transaction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CommitFault {
    /// It is judged and answered.
    #[default]
    None,
    /// It is done, and the answer is lost.
    DoneUnanswered,
    /// It is done this much later if its conditions still hold, and not answered.
    DoneLate(Duration),
    /// It is lost on the way.
    RequestLost,
    /// It is refused.
    Refused,
    /// It is done and answered after this time.
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
    /// The fault applies to this many commits; nothing means all.
    fault_count: Option<usize>,
    /// The fault applies to commits that write to this table; nothing means all.
    fault_table: Option<String>,
    down: bool,
}

/// The table.
pub struct MemoryTable {
    began: Instant,
    clock_offset_ms: AtomicU64,
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

impl MemoryTable {
    /// An empty table.
    pub fn new() -> Arc<Self> {
        let (changed, _) = watch::channel(0);
        Arc::new(Self {
            began: Instant::now(),
            clock_offset_ms: AtomicU64::new(0),
            state: Mutex::default(),
            changed,
        })
    }

    /// Writes a row as the operator or a back end does: always answered.
    pub fn write(&self, address: RowAddress, value: impl Into<Bytes>) {
        let transaction = Transaction::new().put(address, value);
        self.apply(&transaction);
    }

    /// Deletes a row.
    pub fn delete(&self, address: RowAddress) {
        let transaction = Transaction::new().delete(address);
        self.apply(&transaction);
    }

    /// Every row of a table.
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

    /// What becomes of the next `count` transactions of nodes; nothing means all.
    pub fn set_commit_fault(&self, fault: CommitFault, count: Option<usize>) {
        let mut state = self.state();
        state.fault = fault;
        state.fault_count = count;
        state.fault_table = None;
    }

    /// The same for transactions that write to one table.
    pub fn set_commit_fault_on(&self, table: &str, fault: CommitFault, count: usize) {
        self.set_commit_fault(fault, Some(count));
        self.state().fault_table = Some(table.to_owned());
    }

    /// How many of the faulty transactions are still to come; nothing means all.
    pub fn remaining_faults(&self) -> Option<usize> {
        self.state().fault_count
    }

    /// Whether the table answers anybody.
    pub fn set_down(&self, down: bool) {
        self.state().down = down;
        self.changed.send_modify(|_| {});
    }

    /// Forgets all changes so far.
    pub fn forget_history(&self) {
        let mut state = self.state();
        state.history_lost_before = state.version;
        state.history.clear();
        drop(state);
        self.changed.send_modify(|_| {});
    }

    /// Puts the table's clock forward.
    pub fn advance_clock(&self, time: Duration) {
        let milliseconds = time.as_millis() as u64;
        self.clock_offset_ms
            .fetch_add(milliseconds, Ordering::SeqCst);
    }

    /// Transactions of nodes that were judged.
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
