//! Deletion of expired claims.
//!
//! The sweep reads only the rows with the expiry times. It doesn't read claims, because they hold
//! answers of back ends that must not leave their regions.

use crate::events::{self, Event};
use crate::follow::{FleetScaledDuration, FleetSize};
use crate::rows;
use crate::table::{Commit, Row, Table, Transaction};
use std::sync::Arc;
use std::time::Duration;

/// Interval between sweeps of a node. Grows with the number of back ends, a measure of the fleet's
/// size, to limit the load of all nodes on the table.
const MIN_SWEEP_INTERVAL: Duration = Duration::from_secs(5);
const SWEEP_INTERVAL_PER_BACK_END: Duration = Duration::from_millis(350);
const MAX_SWEEP_INTERVAL: Duration = Duration::from_secs(300);
/// Transaction entries per deleted claim: two rows and a condition.
const ENTRIES_PER_CLAIM: usize = 3;

/// Deletes expired claims at intervals. Never returns.
pub(crate) async fn run_sweeper(table: Arc<dyn Table>, fleet: FleetSize) {
    let interval = FleetScaledDuration::scaled(
        &fleet,
        MIN_SWEEP_INTERVAL,
        SWEEP_INTERVAL_PER_BACK_END,
        MAX_SWEEP_INTERVAL,
    );
    loop {
        // Jitter, so that nodes that started together do not sweep at the same time.
        let share = 0.5 + 0.5 * rand::random::<f64>();
        tokio::time::sleep(interval.now().mul_f64(share)).await;
        let deleted = sweep(&*table).await;
        if deleted > 0 {
            events::emit(&Event::ClaimsDeleted { claims: deleted });
        }
    }
}

/// Deletes expired claims and returns their number. Failed deletions are left to the next sweep.
async fn sweep(table: &dyn Table) -> usize {
    let mut deleted = 0;
    for partition in 0..rows::CLAIM_PARTITIONS {
        deleted += sweep_partition(table, partition).await.unwrap_or_default();
    }
    deleted
}

async fn sweep_partition(table: &dyn Table, partition: u8) -> Option<usize> {
    let now_ms = table.now_ms().filter(|_| table.is_answering())?;
    let range = rows::expired_claims_until(partition, now_ms);
    // Reads one page only; later sweeps or other nodes delete the rest.
    let page = table.scan(&range).await.ok()?;
    let claims_per_transaction = table.limits().transaction_entries / ENTRIES_PER_CLAIM;
    let mut deleted = 0;
    for times in page.rows.chunks(claims_per_transaction.max(1)) {
        let commit = table.commit(&deletion(times)).await;
        if !matches!(commit, Ok(Commit::Done(_))) {
            break;
        }
        deleted += times.len();
    }
    Some(deleted)
}

/// Builds the deletion of claims and their expiry rows, on condition that the expiry rows are
/// unchanged. A key that was claimed again since has a different expiry row.
fn deletion(times: &[Row]) -> Transaction {
    let mut transaction = Transaction::new();
    for time in times {
        let Some(claim) = rows::claim_of_expiry(&time.address) else {
            continue;
        };
        transaction = transaction
            .require(time.address.clone(), Some(time.version))
            .delete(time.address.clone())
            .delete(claim);
    }
    transaction
}

#[cfg(test)]
mod tests;
