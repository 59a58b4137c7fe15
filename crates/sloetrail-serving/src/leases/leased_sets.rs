//! Which sets of bound batches have had an owner, as the lease rows tell.
//!
//! Batches may be open that were accepted under a configuration which this node has not seen,
//! or which is in force no more. Their sets have a lease all the same.

use super::BatchSet;
use crate::follow::{TableView, ViewReceiver};
use crate::rows;
use sloetrail_types::{AllowedRegions, ServiceName};
use std::collections::BTreeSet;
use std::sync::Arc;
use tokio::sync::watch;

/// Sets of bound batches that have, or had, an owner.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct LeasedSets(BTreeSet<BatchSet>);

impl LeasedSets {
    /// The sets whose leases a view of the lease rows holds.
    pub(crate) fn from_view(leases: &TableView) -> Self {
        let subjects = leases.rows.keys();
        let subjects = subjects.filter_map(|key| rows::subject_of_lease(key));
        Self(subjects.filter_map(BatchSet::from_lease_name).collect())
    }

    /// Each of them.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &BatchSet> {
        self.0.iter()
    }

    /// The regions of those of a service.
    pub(crate) fn regions_of(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = &AllowedRegions> {
        let of_service = self.iter().filter(move |set| set.service() == service);
        of_service.map(BatchSet::regions)
    }
}

/// Keeps the sets in step with the lease rows until every receiver is gone. The rows change
/// with each renewal; the sets hardly ever.
pub(crate) fn watch_leased_sets(mut leases: ViewReceiver) -> watch::Receiver<Arc<LeasedSets>> {
    let first = LeasedSets::from_view(&leases.borrow_and_update());
    let (sender, receiver) = watch::channel(Arc::new(first));
    tokio::spawn(async move {
        loop {
            tokio::select! {
                changed = leases.changed() => if changed.is_err() { return },
                () = sender.closed() => return,
            }
            let sets = LeasedSets::from_view(&leases.borrow_and_update());
            sender.send_if_modified(|known| {
                let has_changed = **known != sets;
                if has_changed {
                    *known = Arc::new(sets);
                }
                has_changed
            });
        }
    });
    receiver
}

#[cfg(test)]
mod tests;
