//! Reads batches, their submissions, results and checkpoints from the table.

use crate::rows;
use crate::table::{KeyRange, ReadError, Row, Table, after_key, read_row, scan_all};
use bytes::{Bytes, BytesMut};
use sloetrail_batch::{
    BatchHeader, Checkpoint, ItemIndex, ListedResult, Transcript, join_checkpoints,
};
use sloetrail_types::RowVersion;
use std::collections::BTreeMap;

/// Returns the header of a batch with the version of its row. None if no batch with this id was
/// accepted.
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

pub fn encode_header(header: &BatchHeader) -> Bytes {
    let mut encoded = Vec::new();
    ciborium::into_writer(header, &mut encoded).expect("writing to a Vec cannot fail");
    Bytes::from(encoded)
}

/// None if the bytes are not a valid header.
pub fn decode_header(stored: &[u8]) -> Option<BatchHeader> {
    ciborium::from_reader(stored).ok()
}

/// Returns the body of a submission, joined from its rows. None if any of the `parts` rows is
/// missing.
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

/// Returns one page of listed results, starting at `position`.
pub async fn read_results(
    table: &dyn Table,
    id: &str,
    position: usize,
) -> Result<Vec<ListedResult>, ReadError> {
    let range = rows::results_from(id, position);
    let mut page = table.scan(&range).await?;
    while page.more {
        // A page may end in the middle of a result that spans several rows. Reads on until at
        // least one result is complete.
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

/// State that earlier owners stored for the unlisted items of a batch.
#[derive(Debug, Default)]
pub struct CheckpointedWork {
    /// Partial texts with their generations.
    pub texts: BTreeMap<ItemIndex, (u32, Transcript)>,
    /// Number of failed runs; items without failed runs are absent.
    pub failed_runs: BTreeMap<ItemIndex, usize>,
}

pub async fn read_checkpointed_work(
    table: &dyn Table,
    id: &str,
) -> Result<CheckpointedWork, ReadError> {
    let page = scan_all(table, rows::checkpoints(id)).await?;
    let mut failed_runs = BTreeMap::new();
    let mut pieces = Vec::new();
    for row in &page.rows {
        match rows::failed_runs_item(&row.address.key) {
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

/// Joins the rows of each position into results. With `is_truncated` the last position may be
/// incomplete and is omitted. None if no complete result remains.
fn join_results(rows: &[Row], is_truncated: bool) -> Option<Vec<ListedResult>> {
    let mut joined: Vec<(usize, BytesMut)> = Vec::new();
    for row in rows {
        let position = rows::result_position(&row.address.key)?;
        match joined.last_mut() {
            Some((last, bytes)) if *last == position => bytes.extend_from_slice(&row.value),
            _ => joined.push((position, BytesMut::from(&row.value[..]))),
        }
    }
    if is_truncated {
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
