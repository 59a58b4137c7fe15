//! Reads the subset of a large directory that a node demands.

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

/// A directory with fewer rows is always read completely: a thousand rows are 0.3 MB to read and
/// 3 MB in memory.
const MIN_INDEXED_ROWS: usize = 1_000;

/// Without an index, nodes that start together spread their complete reads of a large directory
/// over this time, until one of them has written the index. Otherwise 985 nodes with 9,999 rows
/// read 3.2 GB over the table's link at once.
const FIRST_READ_SPREAD: Duration = Duration::from_secs(4);

/// A view with more than this multiple of the demanded rows is reduced. Views grow because the
/// changes include the rows of all back ends that start after the node.
const MAX_GROWTH_FACTOR: usize = 2;

/// The share of nodes that write the index of a directory that has grown: enough to survive
/// crashes, few enough to avoid most conflicts.
const INDEX_WRITER_SHARE: f64 = 0.02;

/// Reads the demanded subset of a directory for one node.
pub(crate) struct SubsetReader {
    node: String,
    demand: Arc<SubsetDemand>,
    target_rows: watch::Receiver<usize>,
    started_at: BootInstant,
    /// The index that this node built because the directory has grown since it was read.
    own_index: Option<DirectoryIndex>,
    is_index_written: bool,
}

/// The rows that were read and the key ranges that they cover.
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
    pub(crate) fn new(node: impl Into<String>, demand: Arc<SubsetDemand>) -> Self {
        Self {
            node: node.into(),
            target_rows: demand.target_rows(),
            demand,
            started_at: BootInstant::now(),
            own_index: None,
            is_index_written: false,
        }
    }

    /// Completes once more rows are demanded than at the last read.
    pub(super) async fn more_demanded(&mut self) {
        if self.target_rows.changed().await.is_err() {
            std::future::pending().await
        }
    }

    /// Returns fewer ranges for a view that has far more rows than demanded, None for others.
    pub(super) fn reduced_ranges(&mut self, view: &TableView) -> Option<KeyRanges> {
        let target = *self.target_rows.borrow();
        let rows = view.rows.len();
        let expected = match view.ranges.covers_all() {
            true => target.max(MIN_INDEXED_ROWS),
            false => target,
        };
        if rows <= expected.saturating_mul(MAX_GROWTH_FACTOR) {
            return None;
        }
        let ranges = match view.ranges.covers_all() {
            true => {
                let index = DirectoryIndex::from_keys(view.rows.keys());
                let ranges = index.ranges_for(&self.node, target);
                self.own_index = Some(index);
                ranges
            }
            false => view.ranges.truncated(&self.node, target, rows),
        };
        self.demand.record_read(target, ranges.covers_all());
        Some(ranges)
    }

    /// Writes the index of a directory that has grown since it was read, if this node is one of
    /// the index writers, and writes it again once outdated.
    pub(super) async fn maintain_index(&mut self, table: &dyn Table, view: &TableView) {
        let is_writer = self.first_read_delay() < FIRST_READ_SPREAD.mul_f64(INDEX_WRITER_SHARE);
        let Some(index) = self.own_index.as_mut().filter(|_| is_writer) else {
            return;
        };
        let rows = view.ranges.total_rows(view.rows.len());
        if self.is_index_written && !index.is_outdated(rows) {
            return;
        }
        index.rows = rows;
        // If the read fails, the first write is retried by the next call, and a later one once the
        // index is outdated again.
        if let Ok(known) = read_index(table).await {
            write(table, index, known.map(|(_, version)| version)).await;
            self.is_index_written = true;
        }
    }

    /// Reads at least the demanded rows.
    pub(super) async fn read(
        &mut self,
        table: &dyn Table,
        name: &str,
    ) -> Result<DirectorySubset, ReadError> {
        let target = *self.target_rows.borrow_and_update();
        let subset = loop {
            let index = read_index(table).await?;
            if let Some((index, _)) = &index
                && index.rows >= MIN_INDEXED_ROWS
            {
                let ranges = index.ranges_for(&self.node, target);
                if !ranges.covers_all() {
                    break read_ranges(table, name, ranges).await?;
                }
            }
            let first = table.scan(&KeyRange::all(name, "")).await?;
            let delay = self
                .first_read_delay()
                .saturating_sub(self.started_at.elapsed());
            if !first.more || index.is_some() || delay.is_zero() {
                let page = read_rest(table, name, first).await?;
                write_index(table, &page.rows, index).await;
                let ranges = KeyRanges::all_keys();
                break DirectorySubset { page, ranges };
            }
            tokio::time::sleep(delay).await;
        };
        let covers_all = subset.ranges.covers_all();
        self.demand.record_read(target, covers_all);
        events::emit(&Event::DirectoryRead {
            rows: subset.page.rows.len(),
            whole: covers_all,
        });
        Ok(subset)
    }

    /// The delay after its start before this node reads a large directory without an index.
    fn first_read_delay(&self) -> Duration {
        let share = digest(self.node.as_bytes()) as f64 / u64::MAX as f64;
        FIRST_READ_SPREAD.mul_f64(share)
    }
}

/// Reads the index and its version. An undecodable index counts as empty, so that it is replaced.
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
            detail: "expected a directory index with rows and fewer than 250 ascending starts",
        });
    }
    // An empty index has no ranges to read.
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
        // Later changes are applied from the version of the first range on.
        if page.version == RowVersion::default() {
            page.version = part.version;
        }
        page.rows.extend(part.rows);
    }
    Ok(DirectorySubset { page, ranges })
}

/// Reads the rest of the directory after its first page.
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

/// Writes the index of a large directory if it is missing or outdated. Any node may write it.
async fn write_index(table: &dyn Table, rows: &[Row], known: Option<(DirectoryIndex, RowVersion)>) {
    let is_current = known
        .as_ref()
        .is_some_and(|(index, _)| !index.is_outdated(rows.len()));
    if rows.len() < MIN_INDEXED_ROWS || is_current {
        return;
    }
    let keys: Vec<String> = rows.iter().map(|row| row.address.key.clone()).collect();
    let index = DirectoryIndex::from_keys(keys.iter());
    write(table, &index, known.map(|(_, version)| version)).await;
}

async fn write(table: &dyn Table, index: &DirectoryIndex, version: Option<RowVersion>) {
    let address = rows::directory_index();
    let transaction = Transaction::new()
        .require(address.clone(), version)
        .put(address, index.encode());
    // Failures are ignored: the next node that reads the whole directory checks the index again.
    let _ = table.commit(&transaction).await;
}

#[cfg(test)]
mod tests;
