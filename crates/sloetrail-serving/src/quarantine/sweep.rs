//! Deleting rows of crashes that are past their time.

use super::Quarantine;
use crate::follow::{FleetScaledDuration, FleetSize};
use crate::rows;
use crate::table::{Commit, Transaction};
use std::sync::Arc;
use std::time::Duration;

/// Between two sweeps of a node. Nobody waits for them; they read nothing, and a larger fleet
/// has more nodes that sweep.
const PERIOD_LEAST: Duration = Duration::from_secs(20);
const PERIOD_PER_BACK_END: Duration = Duration::from_millis(350);
const PERIOD_MOST: Duration = Duration::from_secs(300);
/// Rows of one transaction; each takes a condition and a deletion.
const ROWS_AT_A_TIME: usize = 40;

/// Deletes rows that are past their time, now and then, for ever.
pub(crate) async fn keep_swept(quarantine: Arc<Quarantine>, fleet: FleetSize) {
    let period =
        FleetScaledDuration::scaled(&fleet, PERIOD_LEAST, PERIOD_PER_BACK_END, PERIOD_MOST);
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
        let outdated = {
            let book = self.book.lock().expect("not poisoned");
            book.outdated(now_ms, self.hold)
        };
        for rows in outdated.chunks(ROWS_AT_A_TIME) {
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
