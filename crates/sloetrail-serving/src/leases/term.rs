//! One term of a lease.

use super::LeaseResource;
use crate::lease_holder::LeaseHolder;
use crate::rows;
use crate::settings::ServingSettings;
use crate::table::Transaction;
use crate::tasks;
use sloetrail_clock::BootInstant;
use sloetrail_types::{Epoch, RowVersion};
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// The time from acquiring a lease to losing or releasing it.
#[derive(Clone, Debug)]
pub(crate) struct Term {
    pub(crate) resource: LeaseResource,
    pub(crate) epoch: Epoch,
    /// Version of the fence row written by the term's first transaction.
    pub(crate) fence: RowVersion,
    /// Cancelled when the task has to stop in an orderly way.
    pub(crate) releasing: CancellationToken,
    /// Cancelled once the term has ended or is known to be lost.
    pub(crate) ended: CancellationToken,
    /// Cancelled once a task of the term has panicked.
    pub(crate) failed: CancellationToken,
    /// Cancelled once the lease was deleted.
    pub(crate) retired: CancellationToken,
    pub(crate) confirmed_at: watch::Receiver<BootInstant>,
}

impl Term {
    /// Ends the term because a task has panicked: the state of the term may be incomplete. The next
    /// term reads it from the table.
    pub(crate) fn end_after_panic(&self) {
        self.failed.cancel();
        self.ended.cancel();
    }

    /// Ends the term because its lease was deleted.
    pub(crate) fn end_after_retirement(&self) {
        self.retired.cancel();
        self.ended.cancel();
    }

    /// Spawns work of the term. The term ends if it panics.
    pub(crate) fn spawn<Work>(&self, name: &'static str, work: Work) -> JoinHandle<()>
    where
        Work: Future<Output = ()> + Send + 'static,
    {
        let term = self.clone();
        tasks::spawn_with_fallback(name, work, move || term.end_after_panic())
    }

    /// Returns whether the table has confirmed the lease within this time.
    pub(crate) fn is_confirmed_within(&self, time: Duration) -> bool {
        self.confirmed_at.borrow().elapsed() <= time
    }

    /// Returns the holder's identity for its orders and reports.
    pub(crate) fn holder(&self, settings: &ServingSettings) -> LeaseHolder {
        LeaseHolder {
            node: settings.node.clone(),
            epoch: self.epoch,
        }
    }

    /// Returns a transaction that takes effect only if the fence is unchanged.
    pub(crate) fn transaction(&self) -> Transaction {
        Transaction::new().require(rows::fence(self.resource.name()), Some(self.fence))
    }
}
