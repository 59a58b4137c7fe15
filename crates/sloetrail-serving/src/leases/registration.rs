//! Registration of batch sets.
//!
//! The transaction that accepts a batch depends on the registration of its set, and writes it if
//! it is missing. Every node competes for the leases of registered sets. An accepted batch
//! therefore has an owner, whatever the configuration in force names by then.
//!
//! The owner of a set without batches deletes the registration in three steps. It marks it as
//! closing, reads the headers of all batches, and deletes the mark on condition that it is
//! unchanged. A batch that is accepted after the mark replaces it, so that the deletion fails. One
//! that was accepted before is among the headers.

use super::BatchSet;
use crate::batch_rows::decode_header;
use crate::follow::TableView;
use crate::rows;
use crate::table::{Commit, KeyRange, Row, RowAddress, Table, Transaction, read_row, scan_all};
use sloetrail_types::RowVersion;

const OPEN: &[u8] = b"open";
const CLOSING: &[u8] = b"closing";

/// The registration of a batch set, as last read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Registration {
    version: RowVersion,
    state: RegistrationState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RegistrationState {
    Open,
    /// May be deleted unless the next batch opens it.
    Closing,
}

impl Registration {
    fn from_row(row: &Row) -> Self {
        let state = match &*row.value == OPEN {
            true => RegistrationState::Open,
            false => RegistrationState::Closing,
        };
        Self {
            version: row.version,
            state,
        }
    }

    /// Returns the registration of a set in a view of the lease table; None if there is none.
    pub(crate) fn in_view(leases: &TableView, set: &BatchSet) -> Option<Self> {
        let address = rows::batch_set(set.name());
        leases.rows.get(&address.key).map(Self::from_row)
    }

    /// Returns the registration of a set among rows; None if there is none.
    pub(crate) fn among(rows: &[Row], set: &BatchSet) -> Option<Self> {
        let address = rows::batch_set(set.name());
        let found = rows.iter().find(|row| row.address == address);
        found.map(Self::from_row)
    }
}

/// Makes a transaction depend on the registration of a set, and write it unless it is open. `known`
/// is the registration as last read: the transaction conflicts if it has changed.
pub(crate) fn require_registration(
    transaction: Transaction,
    set: &BatchSet,
    known: Option<Registration>,
) -> Transaction {
    let address = rows::batch_set(set.name());
    let version = known.map(|known| known.version);
    let transaction = transaction.require(address.clone(), version);
    match known.map(|known| known.state) {
        Some(RegistrationState::Open) => transaction,
        Some(RegistrationState::Closing) | None => transaction.put(address, OPEN),
    }
}

/// Outcome of an attempt to delete a registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Deregistration {
    /// The set is not registered and has no batches.
    Done,
    /// The table holds batches of the set.
    HasBatches,
    /// The table did not answer, or the registration was changed meanwhile.
    Failed,
}

/// Deletes the registration of a set, if there is one, unless the table holds batches of the set.
pub(crate) async fn deregister(table: &dyn Table, set: &BatchSet) -> Deregistration {
    try_deregister(table, set)
        .await
        .unwrap_or(Deregistration::Failed)
}

/// None if the table does not answer or the registration has changed.
async fn try_deregister(table: &dyn Table, set: &BatchSet) -> Option<Deregistration> {
    let address = rows::batch_set(set.name());
    let registered = read_row(table, &address).await.ok()?;
    let mark = match registered {
        Some(row) => Some(mark_as_closing(table, &address, row.version).await?),
        None => None,
    };
    if has_batches(table, set).await? {
        return Some(Deregistration::HasBatches);
    }
    if let Some(mark) = mark {
        let deletion = Transaction::new().require(address.clone(), Some(mark));
        committed_version(table, &deletion.delete(address)).await?;
    }
    Some(Deregistration::Done)
}

async fn mark_as_closing(
    table: &dyn Table,
    address: &RowAddress,
    version: RowVersion,
) -> Option<RowVersion> {
    let marking = Transaction::new().require(address.clone(), Some(version));
    committed_version(table, &marking.put(address.clone(), CLOSING)).await
}

/// Commits a transaction. None if it was not committed, or may not have been.
async fn committed_version(table: &dyn Table, transaction: &Transaction) -> Option<RowVersion> {
    match table.commit(transaction).await {
        Ok(Commit::Done(version)) => Some(version),
        Ok(Commit::Conflict(_)) | Err(_) => None,
    }
}

/// None if the batches cannot be read.
async fn has_batches(table: &dyn Table, set: &BatchSet) -> Option<bool> {
    let all = KeyRange::all(rows::BATCHES, rows::CALLERS);
    let page = scan_all(table, all).await.ok()?;
    let mut headers = page.rows.iter().filter_map(|row| decode_header(&row.value));
    Some(headers.any(|header| set.holds(&header)))
}

#[cfg(test)]
mod tests;
