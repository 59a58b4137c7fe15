//! One term of a lease.

use super::LeaseResource;
use crate::lease_holder::LeaseHolder;
use crate::rows;
use crate::settings::ServingSettings;
use crate::table::Transaction;
use sloetrail_clock::BootInstant;
use sloetrail_types::{Epoch, RowVersion};
use std::time::Duration;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// One term of a lease: from taking it to losing it or giving it up.
#[derive(Clone, Debug)]
pub(crate) struct Term {
    pub(crate) resource: LeaseResource,
    pub(crate) epoch: Epoch,
    /// The version of the fence row that the term's first transaction wrote.
    pub(crate) fence: RowVersion,
    /// Cancelled when the holder is to put its work down in an orderly way.
    pub(crate) releasing: CancellationToken,
    /// Cancelled once the term is over or known to be lost.
    pub(crate) ended: CancellationToken,
    /// When the table last confirmed the lease.
    pub(crate) confirmed_at: watch::Receiver<BootInstant>,
}

impl Term {
    /// True if the table has confirmed the lease within this time.
    pub(crate) fn is_confirmed_within(&self, time: Duration) -> bool {
        self.confirmed_at.borrow().elapsed() <= time
    }

    /// The holder, as others are told it.
    pub(crate) fn holder(&self, settings: &ServingSettings) -> LeaseHolder {
        LeaseHolder {
            node: settings.node.clone(),
            epoch: self.epoch,
        }
    }

    /// A transaction that takes effect only within this term.
    pub(crate) fn transaction(&self) -> Transaction {
        Transaction::new().require(rows::fence(self.resource.name()), Some(self.fence))
    }
}
