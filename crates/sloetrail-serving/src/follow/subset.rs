//! Reading the part of a large directory that a node holds.

use crate::directory_index::{DirectoryIndex, KeyRanges};
use crate::events::{self, Event};
use crate::follow::TableView;
use crate::rows;
use crate::subset_demand::SubsetDemand;
use crate::table::{KeyRange, Page, ReadError, Row, Table, Transaction, read_row, scan_all};
use sloetrail_clock::BootInstant;
use sloetrail_types::{RowVersion, digest};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// A smaller directory is read and held whole: with a thousand rows that is 0.3 MB to read
/// and 3 MB to hold.
const PART_FROM: usize = 1_000;

/// Without an index, nodes that start together read a large directory one after the other
/// over this time, until one of them has written it. All at once, 985 nodes would have 3.2 GB
/// come over the table's link.
const FIRST_READS_WITHIN: Duration = Duration::from_secs(4);

/// A view that has grown to so many times the rows that are wanted is cut down to these. Back
/// ends that start after the nodes come as changes, which tell every node of all of them.
const GROWN_FACTOR: usize = 2;

/// The share of the nodes that write the index of a directory that has grown: some of them
/// live, and few find that another one was sooner.
const WRITERS_SHARE: f64 = 0.02;

/// What is needed to read a part of a directory.
pub(crate) struct SubsetReader {
    node: String,
    interest: Arc<SubsetDemand>,
    wanted: watch::Receiver<usize>,
    began: BootInstant,
    /// The index of a directory that has grown since it was read.
    own_index: Option<DirectoryIndex>,
    is_index_written: bool,
}

/// What was read, and which part of the directory it is.
pub(super) struct DirectorySubset {
    pub(super) page: Page,
    pub(super) ranges: KeyRanges,
}

impl DirectorySubset {
    pub(super) fn into_parts(self) -> (Page, KeyRanges) {
        (self.page, self.ranges)
    }
}

impl SubsetReader {
    /// The reading of a node, as far as it is interested.
    pub(crate) fn new(node: impl Into<String>, interest: Arc<SubsetDemand>) -> Self {
        Self {
            node: node.into(),
            wanted: interest.wanted(),
            interest,
            began: BootInstant::now(),
            own_index: None,
            is_index_written: false,
        }
    }

    /// Completes once more of the directory is wanted than when it was read last.
    pub(super) async fn wants_more(&mut self) {
        if self.wanted.changed().await.is_err() {
            std::future::pending().await
        }
    }

    /// The ranges that are enough for a view that holds far more rows than are wanted.
    pub(super) fn fewer_ranges(&mut self, view: &TableView) -> Option<KeyRanges> {
        let wanted = *self.wanted.borrow();
        let held = view.rows.len();
        let most = match view.ranges.covers_all() {
            true => wanted.max(PART_FROM),
            false => wanted,
        };
        if held <= most.saturating_mul(GROWN_FACTOR) {
            return None;
        }
        let ranges = match view.ranges.covers_all() {
            true => {
                let index = DirectoryIndex::from_keys(view.rows.keys());
                let ranges = index.ranges_for(&self.node, wanted);
                self.own_index = Some(index);
                ranges
            }
            false => view.ranges.truncated(&self.node, wanted, held),
        };
        self.interest.grant(wanted, ranges.covers_all());
        Some(ranges)
    }

    /// Writes the index of a directory that has grown under this node's eyes, if it is one of
    /// the nodes that do, and again whenever it is twice as large.
    pub(super) async fn keep_index(&mut self, table: &dyn Table, view: &TableView) {
        let is_writer = self.turn() < FIRST_READS_WITHIN.mul_f64(WRITERS_SHARE);
        let Some(index) = self.own_index.as_mut().filter(|_| is_writer) else {
            return;
        };
        let rows = view.ranges.total_rows(view.rows.len());
        if self.is_index_written && !index.is_outdated(rows) {
            return;
        }
        index.rows = rows;
        // A table that cannot be read now is asked again when the directory has grown.
        if let Ok(known) = read_index(table).await {
            write(table, index, known.map(|(_, version)| version)).await;
            self.is_index_written = true;
        }
    }

    /// Reads as much of a directory as is wanted.
    pub(super) async fn read(
        &mut self,
        table: &dyn Table,
        name: &str,
    ) -> Result<DirectorySubset, ReadError> {
        let wanted = *self.wanted.borrow_and_update();
        let held = loop {
            let index = read_index(table).await?;
            if let Some((index, _)) = &index
                && index.rows >= PART_FROM
            {
                let ranges = index.ranges_for(&self.node, wanted);
                if !ranges.covers_all() {
                    break read_ranges(table, name, ranges).await?;
                }
            }
            let first = table.scan(&KeyRange::all(name, "")).await?;
            let turn = self.turn().saturating_sub(self.began.elapsed());
            if !first.more || index.is_some() || turn.is_zero() {
                let page = read_rest(table, name, first).await?;
                write_index(table, &page.rows, index).await;
                let ranges = KeyRanges::all_keys();
                break DirectorySubset { page, ranges };
            }
            tokio::time::sleep(turn).await;
        };
        let covers_all = held.ranges.covers_all();
        self.interest.grant(wanted, covers_all);
        events::emit(&Event::DirectoryRead {
            rows: held.page.rows.len(),
            whole: covers_all,
        });
        Ok(held)
    }

    /// When after its start this node reads a large directory that has no index.
    fn turn(&self) -> Duration {
        let share = digest(self.node.as_bytes()) as f64 / u64::MAX as f64;
        FIRST_READS_WITHIN.mul_f64(share)
    }
}

/// The index with its version; one that cannot be read counts as none, and is written anew.
async fn read_index(table: &dyn Table) -> Result<Option<(DirectoryIndex, RowVersion)>, ReadError> {
    let address = rows::directory_index();
    let Some(row) = read_row(table, &address).await? else {
        return Ok(None);
    };
    let index = DirectoryIndex::decode(&row.value);
    if index.is_none() {
        events::emit(&Event::RowUnreadable {
            table: &address.table,
            key: &address.key,
            detail: "no index of the directory",
        });
    }
    // One without rows has no ranges worth reading.
    let index = index.unwrap_or_else(|| DirectoryIndex::from_keys([].iter()));
    Ok(Some((index, row.version)))
}

async fn read_ranges(
    table: &dyn Table,
    name: &str,
    ranges: KeyRanges,
) -> Result<DirectorySubset, ReadError> {
    let mut page = Page::default();
    for range in ranges.in_table(name) {
        let part = scan_all(table, range).await?;
        // Changes are asked for since the first part was read.
        if page.version == RowVersion::default() {
            page.version = part.version;
        }
        page.rows.extend(part.rows);
    }
    Ok(DirectorySubset { page, ranges })
}

/// The whole directory, of which the first page was read.
async fn read_rest(table: &dyn Table, name: &str, mut first: Page) -> Result<Page, ReadError> {
    let last = first.rows.last().map(|row| row.address.key.clone());
    let Some(last) = last.filter(|_| first.more) else {
        return Ok(first);
    };
    let rest = KeyRange {
        from: crate::table::after_key(&last),
        ..KeyRange::all(name, "")
    };
    first.rows.extend(scan_all(table, rest).await?.rows);
    first.more = false;
    Ok(first)
}

/// Writes the index of a large directory if there is none, or one that is out of date. Any
/// node may: it is a hint.
async fn write_index(
    table: &dyn Table,
    listed: &[Row],
    known: Option<(DirectoryIndex, RowVersion)>,
) {
    let is_known = known
        .as_ref()
        .is_some_and(|(index, _)| !index.is_outdated(listed.len()));
    if listed.len() < PART_FROM || is_known {
        return;
    }
    let keys: Vec<String> = listed.iter().map(|row| row.address.key.clone()).collect();
    let index = DirectoryIndex::from_keys(keys.iter());
    write(table, &index, known.map(|(_, version)| version)).await;
}

async fn write(table: &dyn Table, index: &DirectoryIndex, version: Option<RowVersion>) {
    let address = rows::directory_index();
    let transaction = Transaction::new()
        .require(address.clone(), version)
        .put(address, index.encode());
    // Without an answer, or with another node's index there, the next one that reads all looks
    // again.
    let _ = table.commit(&transaction).await;
}

#[cfg(test)]
mod tests;
