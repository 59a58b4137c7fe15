//! The batch sets that the lease table records.
//!
//! Batches may still be open that were accepted under a configuration unknown to this node or
//! no longer in force. Their sets are found through their registrations, and those of older
//! builds, which do not register them, through their leases.

use super::BatchSet;
use crate::follow::{TableView, ViewReceiver};
use crate::rows;
use crate::tasks;
use sloetrail_types::{AllowedRegions, ServiceName};
use std::collections::BTreeSet;
use std::sync::Arc;
use tokio::sync::watch;

/// Batch sets that are registered or have a lease.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RecordedSets {
    registered: BTreeSet<BatchSet>,
    leased: BTreeSet<BatchSet>,
}

impl RecordedSets {
    /// Returns the sets that have a registration or a lease row in this view.
    pub(crate) fn from_view(leases: &TableView) -> Self {
        let registered = leases.rows.keys();
        let registered = registered.filter_map(|key| rows::batch_set_name_of_key(key));
        let leased = leases.rows.keys();
        let leased = leased.filter_map(|key| rows::lease_name_of_key(key));
        Self {
            registered: registered.filter_map(BatchSet::from_lease_name).collect(),
            leased: leased.filter_map(BatchSet::from_lease_name).collect(),
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &BatchSet> {
        self.registered.union(&self.leased)
    }

    /// Returns whether the set was registered with a batch, or its owner orders the weight versions
    /// for a set that was.
    pub(crate) fn has_batches_for(&self, set: &BatchSet) -> bool {
        self.registered.contains(set) || self.has_bound_batches_for(set)
    }

    /// Returns whether the owner of this set orders the weight versions for the batches of
    /// another one.
    pub(crate) fn has_bound_batches_for(&self, set: &BatchSet) -> bool {
        let mut others = self.registered.iter();
        set.controls_engine_count()
            && others.any(|other| other != set && other.service() == set.service())
    }

    /// Returns the sets that need an owner because of their batches, or of those of other sets.
    pub(crate) fn needing_an_owner(&self) -> BTreeSet<BatchSet> {
        let registered = self.registered.iter();
        let unbound = registered.map(|set| BatchSet::unbound(set.service().clone()));
        unbound.chain(self.iter().cloned()).collect()
    }

    /// Returns the regions of the sets of a service that may have batches. The lease of an unbound
    /// set may exist only to order weight versions.
    pub(crate) fn regions_with_batches(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = &AllowedRegions> {
        let may_have_batches =
            |set: &&BatchSet| !set.controls_engine_count() || self.registered.contains(*set);
        let sets = self.iter().filter(may_have_batches);
        let of_service = sets.filter(move |set| set.service() == service);
        of_service.map(BatchSet::regions)
    }
}

/// Publishes the recorded sets until every receiver is dropped. Receivers are notified only when
/// the sets change, not on each renewal of a lease.
pub(crate) fn watch_recorded_sets(mut leases: ViewReceiver) -> watch::Receiver<Arc<RecordedSets>> {
    let first = RecordedSets::from_view(&leases.borrow_and_update());
    let (sender, receiver) = watch::channel(Arc::new(first));
    let sender = Arc::new(sender);
    tasks::spawn_part("recorded sets", move || {
        publish_sets(leases.clone(), Arc::clone(&sender))
    });
    receiver
}

async fn publish_sets(mut leases: ViewReceiver, sender: Arc<watch::Sender<Arc<RecordedSets>>>) {
    loop {
        tokio::select! {
            changed = leases.changed() => if changed.is_err() { return },
            () = sender.closed() => return,
        }
        let sets = RecordedSets::from_view(&leases.borrow_and_update());
        sender.send_if_modified(|current| {
            let has_changed = **current != sets;
            if has_changed {
                *current = Arc::new(sets);
            }
            has_changed
        });
    }
}

#[cfg(test)]
mod tests;
