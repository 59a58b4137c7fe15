//! Deleting claims that are past their time.
//!
//! Nodes read when claims may be deleted, and not the claims: these hold what back ends
//! answered, which stays in the regions where it may be.

use crate::events::{self, Event};
use crate::follow::{FleetScaledDuration, FleetSize};
use crate::rows;
use crate::table::{Commit, Row, Table, Transaction};
use std::sync::Arc;
use std::time::Duration;

/// Between two sweeps of a node. Nobody waits for them; with each back end, which stands for
/// the size of the fleet, a node sweeps less often, so that the table is asked by all
/// together a few times a second.
const PERIOD_LEAST: Duration = Duration::from_secs(5);
const PERIOD_PER_BACK_END: Duration = Duration::from_millis(350);
const PERIOD_MOST: Duration = Duration::from_secs(300);
/// Entries that the deletion of a claim takes: its two rows and the condition.
const ENTRIES_A_CLAIM: usize = 3;

/// Deletes claims that are past their time, now and then, for ever.
pub(crate) async fn keep_swept(table: Arc<dyn Table>, fleet: FleetSize) {
    let period =
        FleetScaledDuration::scaled(&fleet, PERIOD_LEAST, PERIOD_PER_BACK_END, PERIOD_MOST);
    loop {
        // Nodes that started together do not sweep together.
        let share = 0.5 + 0.5 * rand::random::<f64>();
        tokio::time::sleep(period.now().mul_f64(share)).await;
        let deleted = sweep(&*table).await;
        if deleted > 0 {
            events::emit(&Event::ClaimsDeleted { claims: deleted });
        }
    }
}

/// Deletes what is past its time; what the table does not settle is left to the next sweep.
async fn sweep(table: &dyn Table) -> usize {
    let mut deleted = 0;
    for partition in 0..rows::CLAIM_PARTITIONS {
        deleted += sweep_partition(table, partition).await.unwrap_or_default();
    }
    deleted
}

async fn sweep_partition(table: &dyn Table, partition: u8) -> Option<usize> {
    let now_ms = table.now_ms().filter(|_| table.is_answering())?;
    let range = rows::claim_times_until(partition, now_ms);
    // One page: the rest is for the next sweep, or for another node.
    let page = table.scan(&range).await.ok()?;
    let at_a_time = table.limits().transaction_entries / ENTRIES_A_CLAIM;
    let mut deleted = 0;
    for times in page.rows.chunks(at_a_time.max(1)) {
        let commit = table.commit(&deletion(times)).await;
        if !matches!(commit, Ok(Commit::Done(_))) {
            break;
        }
        deleted += times.len();
    }
    Some(deleted)
}

/// Deletes claims with their times, if these are as they were read: a key that was claimed
/// anew meanwhile has another time.
fn deletion(times: &[Row]) -> Transaction {
    let mut transaction = Transaction::new();
    for time in times {
        let Some(claim) = rows::claim_of_time(&time.address) else {
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
