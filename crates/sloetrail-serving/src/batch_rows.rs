//! Reading batches from the table.

use crate::rows;
use crate::table::{KeyRange, ReadError, Row, Table, after_key, read_row, scan_all};
use bytes::{Bytes, BytesMut};
use sloetrail_batch::{
    BatchHeader, Checkpoint, ItemIndex, ListedResult, Transcript, join_checkpoints,
};
use sloetrail_types::RowVersion;
use std::collections::BTreeMap;

/// The head of a batch with its row's version; nothing if the batch is not accepted.
pub async fn read_header(
    table: &dyn Table,
    id: &str,
) -> Result<Option<(BatchHeader, RowVersion)>, ReadError> {
    let Some(row) = read_row(table, &rows::batch(id)).await? else {
        return Ok(None);
    };
    let header = decode_header(&row.value).ok_or(ReadError::Unavailable)?;
    Ok(Some((header, row.version)))
}

/// The stored form of a head.
pub fn encode_header(header: &BatchHeader) -> Bytes {
    let mut encoded = Vec::new();
    ciborium::into_writer(header, &mut encoded).expect("memory takes every write");
    Bytes::from(encoded)
}

/// Reads the stored form of a head.
pub fn decode_header(stored: &[u8]) -> Option<BatchHeader> {
    ciborium::from_reader(stored).ok()
}

/// A submission as it was sent; nothing if not all of its parts are there.
pub async fn read_submission(
    table: &dyn Table,
    id: &str,
    parts: usize,
) -> Result<Option<Bytes>, ReadError> {
    let page = scan_all(table, rows::submission_parts(id)).await?;
    if page.rows.len() < parts {
        return Ok(None);
    }
    let mut joined = BytesMut::new();
    for row in page.rows.iter().take(parts) {
        joined.extend_from_slice(&row.value);
    }
    Ok(Some(joined.freeze()))
}

/// One page of listed results from a position on.
pub async fn read_results(
    table: &dyn Table,
    id: &str,
    position: usize,
) -> Result<Vec<ListedResult>, ReadError> {
    let range = rows::results_from(id, position);
    let mut page = table.scan(&range).await?;
    while page.more {
        // A page may end within a result; the next one is read as well until a
        // result is whole.
        if let Some(results) = join_results(&page.rows, true) {
            return Ok(results);
        }
        let Some(last) = page.rows.last() else {
            break;
        };
        let next = KeyRange {
            from: after_key(&last.address.key),
            ..range.clone()
        };
        let more = table.scan(&next).await?;
        page.rows.extend(more.rows);
        page.more = more.more;
    }
    Ok(join_results(&page.rows, false).unwrap_or_default())
}

/// What earlier owners have kept of the items of a batch that are not listed.
#[derive(Debug, Default)]
pub struct CheckpointedWork {
    /// The texts that were being made, with their generations.
    pub texts: BTreeMap<ItemIndex, (u32, Transcript)>,
    /// How many runs have failed of each item of which some have.
    pub failed_runs: BTreeMap<ItemIndex, usize>,
}

/// Reads what earlier owners have kept of the items of a batch that are not listed.
pub async fn read_checkpointed_work(
    table: &dyn Table,
    id: &str,
) -> Result<CheckpointedWork, ReadError> {
    let page = scan_all(table, rows::checkpoints(id)).await?;
    let mut failed_runs = BTreeMap::new();
    let mut pieces = Vec::new();
    for row in &page.rows {
        match rows::item_of_failed_runs(&row.address.key) {
            Some(index) => {
                let count = std::str::from_utf8(&row.value).ok();
                let count = count.and_then(|count| count.parse().ok());
                failed_runs.insert(index, count.unwrap_or_default());
            }
            None => pieces.extend(Checkpoint::from_stored(&row.value)),
        }
    }
    Ok(CheckpointedWork {
        texts: join_checkpoints(pieces),
        failed_runs,
    })
}

/// Joins the rows of each position. With `is_cut` the last position may not be
/// whole and is left out; nothing if no whole one remains.
fn join_results(rows: &[Row], is_cut: bool) -> Option<Vec<ListedResult>> {
    let mut joined: Vec<(usize, BytesMut)> = Vec::new();
    for row in rows {
        let position = rows::position_of(&row.address.key)?;
        match joined.last_mut() {
            Some((last, bytes)) if *last == position => bytes.extend_from_slice(&row.value),
            _ => joined.push((position, BytesMut::from(&row.value[..]))),
        }
    }
    if is_cut {
        joined.pop();
    }
    if joined.is_empty() {
        return None;
    }
    let results = joined
        .iter()
        .map_while(|(_, bytes)| ListedResult::from_stored(bytes).ok());
    Some(results.collect())
}
