//! Registration of batch sets.
//!
//! The transaction that accepts a batch depends on the registration of its set, and writes it if
//! it is missing. Every node competes for the leases of registered sets. An accepted batch
//! therefore has an owner, whatever the configuration in force names by then.

use super::BatchSet;
use crate::follow::TableView;
use crate::rows;
use crate::table::{Row, Transaction};
use sloetrail_types::RowVersion;

const OPEN: &[u8] = b"open";

/// The registration of a batch set, as last read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Registration {
    version: RowVersion,
    state: RegistrationState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RegistrationState {
    Open,
    /// Has to be opened by the next batch: the row was written for another purpose.
    Other,
}

impl Registration {
    fn from_row(row: &Row) -> Self {
        let state = match &*row.value == OPEN {
            true => RegistrationState::Open,
            false => RegistrationState::Other,
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
        Some(RegistrationState::Other) | None => transaction.put(address, OPEN),
    }
}

#[cfg(test)]
mod tests;
