//! How much nodes read of a directory, counted in rows.

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

/// Rows of a page, as the operators' table has it.
const PAGE_ROWS: usize = 500;
const NAME: &str = "back_ends";

/// A table that counts the rows that it hands out.
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
        let news = state.changes.iter().filter(|(version, change)| {
            let address = match change {
                Change::Written(row) => &row.address,
                Change::Deleted(address) => address,
            };
            *version > since.0 && address.table == table
        });
        news.map(|(_, change)| change.clone()).collect()
    }

    fn has_index(&self) -> bool {
        let state = self.state.lock().expect("not poisoned");
        state.rows.contains_key(&rows::directory_index())
    }
}

impl State {
    fn apply(&mut self, transaction: &Transaction) -> Commit {
        let holds = transaction.conditions.iter().all(|condition| {
            let row = self.rows.get(&condition.address);
            row.map(|row| row.version) == condition.version
        });
        if !holds {
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
        let wanted = state.rows.values().filter(|row| {
            let RowAddress { table, key, .. } = &row.address;
            let is_before_end = range.to.as_ref().is_none_or(|to| key < to);
            *table == range.table && *key >= range.from && is_before_end
        });
        let limit = range.limit.unwrap_or(PAGE_ROWS);
        let mut rows: Vec<Row> = wanted.take(limit + 1).cloned().collect();
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
        let until = tokio::time::Instant::now() + wait;
        let changes = loop {
            let changes = self.changes_since(table, since);
            if !changes.is_empty() || tokio::time::Instant::now() >= until {
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
    interest: Arc<SubsetDemand>,
    view: ViewReceiver,
}

impl Node {
    fn start(table: &Arc<CountingTable>, name: &str) -> Self {
        let interest = Arc::new(SubsetDemand::default());
        let held = SubsetReader::new(name, Arc::clone(&interest));
        let table = Arc::clone(table) as Arc<dyn Table>;
        let pace = PollTiming::with_delay(Duration::from_millis(60));
        let view = follow_directory(table, NAME, pace, held);
        Self { interest, view }
    }

    async fn read(&mut self) -> &mut Self {
        let is_read = self.view.wait_for(|view| !view.rows.is_empty());
        tokio::time::timeout(Duration::from_secs(10), is_read)
            .await
            .expect("read in time")
            .expect("the follower lives");
        self
    }

    fn held(&self) -> usize {
        self.view.borrow().rows.len()
    }
}

async fn settle() {
    tokio::time::sleep(Duration::from_secs(3)).await;
}

/// With every node reading every row, 200 nodes read 2,000,000.
#[tokio::test(start_paused = true)]
async fn nodes_that_start_again_together_read_a_part_of_a_large_directory() {
    let table = CountingTable::with_back_ends(10_000);
    Node::start(&table, "first").read().await;
    assert!(table.has_index());
    let before = table.rows_read();
    let mut nodes: Vec<Node> = (0..200)
        .map(|number| Node::start(&table, &format!("front-{number}")))
        .collect();
    for node in &mut nodes {
        node.read().await;
        assert!((500..=800).contains(&node.held()), "{}", node.held());
    }
    let each = (table.rows_read() - before) / nodes.len();
    assert!(each <= 800, "{each} rows a node");
}

/// Nobody has written the index: those whose turn comes first do, and the others wait for it.
#[tokio::test(start_paused = true)]
async fn nodes_that_start_together_for_the_first_time_wait_for_an_index() {
    let table = CountingTable::with_back_ends(10_000);
    let mut nodes: Vec<Node> = (0..200)
        .map(|number| Node::start(&table, &format!("front-{number}")))
        .collect();
    for node in &mut nodes {
        node.read().await;
    }
    // Four nodes may read every row, and the others look at a page before their turn.
    let most = 4 * 10_000 + nodes.len() * (PAGE_ROWS + 800);
    assert!(table.rows_read() <= most, "{} rows", table.rows_read());
}

/// Nodes and back ends start together, and the changes tell each node of every back end.
#[tokio::test(start_paused = true)]
async fn nodes_that_see_a_directory_grow_hold_a_part_of_it() {
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
        assert!((300..=1_300).contains(&node.held()), "{}", node.held());
    }
    assert!(table.has_index());
    let mut later = Node::start(&table, "later");
    let held = later.read().await.held();
    assert!((300..=1_500).contains(&held), "{held} after a restart");
    let owner = &mut nodes[0];
    owner.interest.demand_all();
    let covers_all = owner.view.wait_for(|view| view.rows.len() == 10_000);
    let known = tokio::time::timeout(Duration::from_millis(200), covers_all).await;
    assert!(known.is_ok(), "all rows are known when all are wanted");
}

#[tokio::test(start_paused = true)]
async fn a_directory_of_ordinary_size_is_read_whole_and_has_no_index() {
    let table = CountingTable::with_back_ends(900);
    let mut node = Node::start(&table, "node");
    assert_eq!(node.read().await.held(), 900);
    assert!(!table.has_index());
}

#[tokio::test(start_paused = true)]
async fn changes_are_known_of_the_back_ends_that_are_held_and_of_no_others() {
    let table = CountingTable::with_back_ends(5_000);
    Node::start(&table, "first").read().await;
    let mut node = Node::start(&table, "node");
    node.read().await;
    let held: Vec<usize> = (0..5_000)
        .filter(|number| {
            let view = node.view.borrow();
            view.rows.contains_key(&back_end(*number).key)
        })
        .collect();
    let other = (0..5_000).find(|number| !held.contains(number));
    let other = other.expect("not all are held");
    table.write(back_end(held[0]), "v2");
    table.delete(back_end(held[1]));
    table.write(back_end(other), "v2");
    settle().await;
    let view = node.view.borrow().clone();
    let value = |number: usize| {
        view.rows
            .get(&back_end(number).key)
            .map(|row| &row.value[..])
    };
    assert_eq!(value(held[0]), Some(&b"v2"[..]));
    assert_eq!(value(held[1]), None);
    assert_eq!(value(other), None);
    assert_eq!(view.rows.len(), held.len() - 1);
}

#[tokio::test(start_paused = true)]
async fn back_ends_that_begin_later_are_held_by_some_nodes() {
    let table = CountingTable::with_back_ends(5_000);
    Node::start(&table, "first").read().await;
    let mut node = Node::start(&table, "node");
    let before = node.read().await.held();
    for number in 5_000..10_000 {
        table.write(back_end(number), "v1");
    }
    settle().await;
    let held = node.held();
    assert!(
        held > before * 3 / 2 && held < before * 3,
        "{before}, {held}"
    );
}

#[tokio::test(start_paused = true)]
async fn a_node_that_wants_more_reads_more_and_an_owner_all() {
    let table = CountingTable::with_back_ends(5_000);
    Node::start(&table, "first").read().await;
    let mut node = Node::start(&table, "node");
    let before = node.read().await.held();
    node.interest.demand_more();
    node.interest.demand_more();
    settle().await;
    let more = node.held();
    assert!(
        more > before * 3 / 2 && more < before * 3,
        "{before}, {more}"
    );
    node.interest.demand_all();
    let covers_all = node.view.wait_for(|view| view.rows.len() == 5_000);
    let known = tokio::time::timeout(Duration::from_millis(200), covers_all).await;
    assert!(known.is_ok(), "an owner does not wait for the next change");
}

/// A row under the index's key that no node would write costs reading, not back ends.
#[tokio::test(start_paused = true)]
async fn an_index_that_cannot_be_read_is_written_anew() {
    let table = CountingTable::with_back_ends(5_000);
    table.write(
        rows::directory_index(),
        "{\"rows\":5000,\"starts\":[\"z\",\"a\"]}",
    );
    Node::start(&table, "first").read().await;
    assert!(table.rows_read() >= 5_000, "the first node reads them all");
    let mut second = Node::start(&table, "second");
    let held = second.read().await.held();
    assert!(held < 1_000, "{held}");
}
