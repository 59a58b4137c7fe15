//! The number of directory rows that nodes read.

use super::SubsetReader;
use crate::follow::{PollTiming, ViewReceiver, follow_directory};
use crate::rows;
use crate::subset_demand::SubsetDemand;
use crate::table::{
    Change, Changes, Commit, CommitError, KeyRange, Page, ReadError, Row, RowAddress, Table,
    TableLimits, Transaction,
};
use async_trait::async_trait;
use sloetrail_types::{RowVersion, digest};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Page size of the operators' table.
const PAGE_ROWS: usize = 500;
const NAME: &str = "back_ends";

/// An in-memory table that counts the directory rows that it returns.
#[derive(Default)]
struct CountingTable {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<RowAddress, Row>,
    changes: Vec<(u64, Change)>,
    version: u64,
    directory_rows_read: usize,
}

impl CountingTable {
    fn with_back_ends(count: usize) -> Arc<Self> {
        let table = Self::default();
        for number in 0..count {
            table.write(back_end(number), "v1");
        }
        Arc::new(table)
    }

    fn write(&self, address: RowAddress, value: &str) {
        let transaction = Transaction::new().put(address, value.to_owned());
        self.state.lock().expect("not poisoned").apply(&transaction);
    }

    fn delete(&self, address: RowAddress) {
        let transaction = Transaction::new().delete(address);
        self.state.lock().expect("not poisoned").apply(&transaction);
    }

    fn rows_read(&self) -> usize {
        self.state.lock().expect("not poisoned").directory_rows_read
    }

    fn changes_since(&self, table: &str, since: RowVersion) -> Vec<Change> {
        let state = self.state.lock().expect("not poisoned");
        let updates = state.changes.iter().filter(|(version, change)| {
            let address = match change {
                Change::Written(row) => &row.address,
                Change::Deleted(address) => address,
            };
            *version > since.0 && address.table == table
        });
        updates.map(|(_, change)| change.clone()).collect()
    }

    fn has_index(&self) -> bool {
        let state = self.state.lock().expect("not poisoned");
        state.rows.contains_key(&rows::directory_index())
    }
}

impl State {
    fn apply(&mut self, transaction: &Transaction) -> Commit {
        let conditions_hold = transaction.conditions.iter().all(|condition| {
            let row = self.rows.get(&condition.address);
            row.map(|row| row.version) == condition.version
        });
        if !conditions_hold {
            return Commit::Conflict(Vec::new());
        }
        self.version += 1;
        let version = RowVersion(self.version);
        for (address, value) in &transaction.puts {
            let row = Row {
                address: address.clone(),
                value: value.clone(),
                version,
            };
            self.rows.insert(address.clone(), row.clone());
            self.changes.push((self.version, Change::Written(row)));
        }
        for address in &transaction.deletes {
            self.rows.remove(address);
            let change = Change::Deleted(address.clone());
            self.changes.push((self.version, change));
        }
        Commit::Done(version)
    }
}

#[async_trait]
impl Table for CountingTable {
    fn limits(&self) -> TableLimits {
        TableLimits {
            row_bytes: 48 * 1024,
            transaction_entries: 100,
            transaction_bytes: 640 * 1024,
        }
    }

    fn now_ms(&self) -> Option<u64> {
        None
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Commit, CommitError> {
        Ok(self.state.lock().expect("not poisoned").apply(transaction))
    }

    async fn scan(&self, range: &KeyRange) -> Result<Page, ReadError> {
        let mut state = self.state.lock().expect("not poisoned");
        let in_range = state.rows.values().filter(|row| {
            let RowAddress { table, key, .. } = &row.address;
            let is_before_end = range.to.as_ref().is_none_or(|to| key < to);
            *table == range.table && *key >= range.from && is_before_end
        });
        let limit = range.limit.unwrap_or(PAGE_ROWS);
        let mut rows: Vec<Row> = in_range.take(limit + 1).cloned().collect();
        let more = rows.len() > limit;
        rows.truncate(limit);
        if range.table == NAME {
            state.directory_rows_read += rows.len();
        }
        Ok(Page {
            rows,
            more,
            version: RowVersion(state.version),
        })
    }

    async fn changes(
        &self,
        table: &str,
        since: RowVersion,
        wait: Duration,
    ) -> Result<Changes, ReadError> {
        let deadline = tokio::time::Instant::now() + wait;
        let changes = loop {
            let changes = self.changes_since(table, since);
            if !changes.is_empty() || tokio::time::Instant::now() >= deadline {
                break changes;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        };
        let state = self.state.lock().expect("not poisoned");
        Ok(Changes {
            changes,
            version: RowVersion(state.version),
        })
    }
}

fn back_end(number: usize) -> RowAddress {
    let digest = digest(number.to_string().as_bytes());
    RowAddress::new(NAME, "", format!("i-{digest:016x}"))
}

struct Node {
    demand: Arc<SubsetDemand>,
    view: ViewReceiver,
}

impl Node {
    fn start(table: &Arc<CountingTable>, name: &str) -> Self {
        let demand = Arc::new(SubsetDemand::default());
        let subset = SubsetReader::new(name, Arc::clone(&demand));
        let table = Arc::clone(table) as Arc<dyn Table>;
        let timing = PollTiming::with_delay(Duration::from_millis(60), None);
        let view = follow_directory(table, NAME, timing, subset);
        Self { demand, view }
    }

    async fn read(&mut self) -> &mut Self {
        let is_read = self.view.wait_for(|view| !view.rows.is_empty());
        tokio::time::timeout(Duration::from_secs(10), is_read)
            .await
            .expect("read in time")
            .expect("the follower is running");
        self
    }

    fn row_count(&self) -> usize {
        self.view.borrow().rows.len()
    }
}

async fn settle() {
    tokio::time::sleep(Duration::from_secs(3)).await;
}

/// Guards against every node reading the whole directory after a restart of all nodes.
#[tokio::test(start_paused = true)]
async fn nodes_restarted_together_read_only_subsets() {
    let table = CountingTable::with_back_ends(10_000);
    Node::start(&table, "first").read().await;
    assert!(table.has_index());
    let before = table.rows_read();
    let mut nodes: Vec<Node> = (0..200)
        .map(|number| Node::start(&table, &format!("front-{number}")))
        .collect();
    for node in &mut nodes {
        node.read().await;
        assert!(
            (500..=800).contains(&node.row_count()),
            "{}",
            node.row_count()
        );
    }
    let each = (table.rows_read() - before) / nodes.len();
    assert!(each <= 800, "{each} rows a node");
}

/// Without an index, the first few nodes read all rows and write it, and the others wait for it.
#[tokio::test(start_paused = true)]
async fn nodes_started_together_wait_for_the_first_index() {
    let table = CountingTable::with_back_ends(10_000);
    let mut nodes: Vec<Node> = (0..200)
        .map(|number| Node::start(&table, &format!("front-{number}")))
        .collect();
    for node in &mut nodes {
        node.read().await;
    }
    // Four nodes may read every row, and the others one page while they wait.
    let max_rows = 4 * 10_000 + nodes.len() * (PAGE_ROWS + 800);
    assert!(table.rows_read() <= max_rows, "{} rows", table.rows_read());
}

/// If nodes and back ends start together, the changes include the rows of every back end.
#[tokio::test(start_paused = true)]
async fn views_of_a_growing_directory_are_reduced() {
    let table = CountingTable::with_back_ends(0);
    let mut nodes: Vec<Node> = (0..100)
        .map(|number| Node::start(&table, &format!("front-{number}")))
        .collect();
    for number in 0..10_000 {
        table.write(back_end(number), "v1");
        if number % 100 == 0 {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    settle().await;
    for node in &nodes {
        assert!(
            (300..=1_300).contains(&node.row_count()),
            "{}",
            node.row_count()
        );
    }
    assert!(table.has_index());
    let mut later = Node::start(&table, "later");
    let rows = later.read().await.row_count();
    assert!((300..=1_500).contains(&rows), "{rows} after a restart");
    let owner = &mut nodes[0];
    owner.demand.demand_all();
    let covers_all = owner.view.wait_for(|view| view.rows.len() == 10_000);
    let known = tokio::time::timeout(Duration::from_millis(200), covers_all).await;
    assert!(known.is_ok(), "all rows are read once demanded");
}

#[tokio::test(start_paused = true)]
async fn a_small_directory_is_read_completely_without_index() {
    let table = CountingTable::with_back_ends(900);
    let mut node = Node::start(&table, "node");
    assert_eq!(node.read().await.row_count(), 900);
    assert!(!table.has_index());
}

#[tokio::test(start_paused = true)]
async fn only_changes_within_the_subset_are_applied() {
    let table = CountingTable::with_back_ends(5_000);
    Node::start(&table, "first").read().await;
    let mut node = Node::start(&table, "node");
    node.read().await;
    let listed: Vec<usize> = (0..5_000)
        .filter(|number| {
            let view = node.view.borrow();
            view.rows.contains_key(&back_end(*number).key)
        })
        .collect();
    let other = (0..5_000).find(|number| !listed.contains(number));
    let other = other.expect("the subset leaves out a back end");
    table.write(back_end(listed[0]), "v2");
    table.delete(back_end(listed[1]));
    table.write(back_end(other), "v2");
    settle().await;
    let view = node.view.borrow().clone();
    let value = |number: usize| {
        view.rows
            .get(&back_end(number).key)
            .map(|row| &row.value[..])
    };
    assert_eq!(value(listed[0]), Some(&b"v2"[..]));
    assert_eq!(value(listed[1]), None);
    assert_eq!(value(other), None);
    assert_eq!(view.rows.len(), listed.len() - 1);
}

#[tokio::test(start_paused = true)]
async fn subsets_grow_with_back_ends_that_start_later() {
    let table = CountingTable::with_back_ends(5_000);
    Node::start(&table, "first").read().await;
    let mut node = Node::start(&table, "node");
    let before = node.read().await.row_count();
    for number in 5_000..10_000 {
        table.write(back_end(number), "v1");
    }
    settle().await;
    let after = node.row_count();
    assert!(
        after > before * 3 / 2 && after < before * 3,
        "{before}, {after}"
    );
}

#[tokio::test(start_paused = true)]
async fn demand_for_more_or_all_rows_is_met() {
    let table = CountingTable::with_back_ends(5_000);
    Node::start(&table, "first").read().await;
    let mut node = Node::start(&table, "node");
    let before = node.read().await.row_count();
    node.demand.demand_more();
    node.demand.demand_more();
    settle().await;
    let more = node.row_count();
    assert!(
        more > before * 3 / 2 && more < before * 3,
        "{before}, {more}"
    );
    node.demand.demand_all();
    let covers_all = node.view.wait_for(|view| view.rows.len() == 5_000);
    let known = tokio::time::timeout(Duration::from_millis(200), covers_all).await;
    assert!(
        known.is_ok(),
        "all rows are read without waiting for a change"
    );
}

/// An invalid index row may cause extra reads but must not hide back ends.
#[tokio::test(start_paused = true)]
async fn an_invalid_index_is_replaced() {
    let table = CountingTable::with_back_ends(5_000);
    table.write(
        rows::directory_index(),
        "{\"rows\":5000,\"starts\":[\"z\",\"a\"]}",
    );
    Node::start(&table, "first").read().await;
    assert!(table.rows_read() >= 5_000, "the first node reads all rows");
    let mut second = Node::start(&table, "second");
    let rows = second.read().await.row_count();
    assert!(rows < 1_000, "{rows}");
}
