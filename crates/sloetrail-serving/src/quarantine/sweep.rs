//! Deleting rows of crashes that are past their time.

use super::Quarantine;
use crate::follow::{FleetScaledDuration, FleetSize};
use crate::rows;
use crate::table::{Commit, Transaction};
use std::sync::Arc;
use std::time::Duration;

/// Between two sweeps of a node. Nobody waits for them; they read nothing, and a larger fleet
/// has more nodes that sweep.
const MIN_PERIOD: Duration = Duration::from_secs(20);
const PERIOD_PER_BACK_END: Duration = Duration::from_millis(350);
const MAX_PERIOD: Duration = Duration::from_secs(300);
/// Rows of one transaction; each takes a condition and a deletion.
const MAX_ROWS_PER_TRANSACTION: usize = 40;

/// Deletes rows that are past their time, now and then, for ever.
pub(crate) async fn run_row_sweeper(quarantine: Arc<Quarantine>, fleet: FleetSize) {
    let period = FleetScaledDuration::scaled(&fleet, MIN_PERIOD, PERIOD_PER_BACK_END, MAX_PERIOD);
    loop {
        // Nodes that started together do not sweep together.
        let share = 0.5 + 0.5 * rand::random::<f64>();
        tokio::time::sleep(period.now().mul_f64(share)).await;
        quarantine.sweep().await;
    }
}

impl Quarantine {
    /// Deletes what is past its time; what the table does not settle is left to the next sweep.
    async fn sweep(&self) {
        let Some(now_ms) = self.table.now_ms().filter(|_| self.table.is_answering()) else {
            return;
        };
        let expired_rows = {
            let registry = self.registry.lock().expect("not poisoned");
            registry.expired_rows(now_ms, self.retention)
        };
        for rows in expired_rows.chunks(MAX_ROWS_PER_TRANSACTION) {
            let deletion = rows
                .iter()
                .fold(Transaction::new(), |deletion, (key, version)| {
                    let address = rows::in_leases(key);
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
