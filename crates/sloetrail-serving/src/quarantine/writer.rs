//! Background writer of quarantine rows, which retries until the table confirms them.

use crate::retry_backoff::RetryBackoff;
use crate::table::{Commit, RowAddress, Table, Transaction};
use crate::tasks;
use bytes::Bytes;
use parking_lot::Mutex;
use std::collections::VecDeque;
use std::sync::Arc;
use tokio::sync::Notify;

/// Rows that wait for the table. Beyond this count the oldest are dropped, and count at this node
/// only. A node sees a few dozen crashes during an outage of seconds.
const MAX_PENDING_ROWS: usize = 512;
const MAX_ROWS_PER_TRANSACTION: usize = 50;

/// Rows to be written. Each has its own key and is written once, so a delayed write has no
/// further effect.
#[derive(Default)]
struct Queue {
    pending: Mutex<VecDeque<(RowAddress, Bytes)>>,
    added: Notify,
}

/// Writes rows in the background until the table confirms them.
pub(super) struct Writer(Arc<Queue>);

impl Writer {
    /// Starts a writer that runs as long as the process.
    pub(super) fn start(table: Arc<dyn Table>) -> Self {
        let queue = Arc::new(Queue::default());
        let writer = Self(Arc::clone(&queue));
        tasks::spawn_part("quarantine writer", move || {
            let (table, queue) = (Arc::clone(&table), Arc::clone(&queue));
            async move {
                loop {
                    write_all(&*table, &queue).await;
                    queue.added.notified().await;
                }
            }
        });
        writer
    }

    /// Queues a row. Drops the oldest one if the queue is full.
    pub(super) fn write(&self, address: RowAddress, value: Bytes) {
        let mut pending = self.0.pending.lock();
        pending.push_back((address, value));
        if pending.len() > MAX_PENDING_ROWS {
            pending.pop_front();
        }
        drop(pending);
        self.0.added.notify_one();
    }
}

async fn write_all(table: &dyn Table, queue: &Queue) {
    let mut retry = RetryBackoff::new();
    loop {
        let rows = queue.next_rows();
        if rows.is_empty() {
            return;
        }
        let puts = rows.iter().cloned();
        let transaction = puts.fold(Transaction::new(), |transaction, (address, value)| {
            transaction.put(address, value)
        });
        match table.commit(&transaction).await {
            Ok(Commit::Done(_)) => {
                queue.remove(&rows);
                retry.reset();
            }
            // A transaction without conditions cannot conflict.
            Ok(Commit::Conflict(_)) | Err(_) => retry.wait(table).await,
        }
    }
}

impl Queue {
    fn next_rows(&self) -> Vec<(RowAddress, Bytes)> {
        let pending = self.pending.lock();
        pending
            .iter()
            .take(MAX_ROWS_PER_TRANSACTION)
            .cloned()
            .collect()
    }

    fn remove(&self, rows: &[(RowAddress, Bytes)]) {
        let mut pending = self.pending.lock();
        pending.retain(|(address, _)| rows.iter().all(|(written, _)| written != address));
    }
}
