//! Deletion of expired quarantine rows.

use super::Quarantine;
use crate::follow::{FleetScaledDuration, FleetSize};
use crate::rows;
use crate::table::{Commit, Transaction};
use std::sync::Arc;
use std::time::Duration;

/// Interval between two sweeps of a node. It grows with the fleet, since more nodes sweep. Nothing
/// waits for a sweep.
const MIN_PERIOD: Duration = Duration::from_secs(20);
const PERIOD_PER_BACK_END: Duration = Duration::from_millis(350);
const MAX_PERIOD: Duration = Duration::from_secs(300);
/// Each row takes one condition and one deletion.
const MAX_ROWS_PER_TRANSACTION: usize = 40;

/// Deletes expired rows periodically until the task is dropped.
pub(crate) async fn run_row_sweeper(quarantine: Arc<Quarantine>, fleet: FleetSize) {
    let period = FleetScaledDuration::scaled(&fleet, MIN_PERIOD, PERIOD_PER_BACK_END, MAX_PERIOD);
    loop {
        // Jitter keeps nodes that started together from sweeping at the same time.
        let share = 0.5 + 0.5 * rand::random::<f64>();
        tokio::time::sleep(period.now().mul_f64(share)).await;
        quarantine.sweep().await;
    }
}

impl Quarantine {
    /// Deletes expired rows. Rows whose deletion is not confirmed are left to the next sweep.
    async fn sweep(&self) {
        let Some(now_ms) = self.table.now_ms().filter(|_| self.table.is_answering()) else {
            return;
        };
        let expired_rows = {
            let registry = self.registry.lock();
            registry.expired_rows(now_ms, self.retention)
        };
        for rows in expired_rows.chunks(MAX_ROWS_PER_TRANSACTION) {
            let deletion = rows
                .iter()
                .fold(Transaction::new(), |deletion, (key, version)| {
                    let address = rows::lease_table_row(key);
                    deletion
                        .require(address.clone(), Some(*version))
                        .delete(address)
                });
            if !matches!(self.table.commit(&deletion).await, Ok(Commit::Done(_))) {
                return;
            }
        }
    }
}
