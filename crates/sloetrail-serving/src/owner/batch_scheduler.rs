//! Chooses the batch whose item is dispatched next.
//!
//! The most urgent batches go first. Within one urgency, tenants take turns by their number of
//! items in flight; within a tenant, batches go in order of acceptance. A tenant with a long
//! queue does not delay the others.

use sloetrail_balance::{TenantShares, WorkTenant};
use sloetrail_batch::{BatchHeader, BatchId};
use sloetrail_types::{Timestamp, Urgency};
use std::collections::{BTreeMap, VecDeque};

/// A batch that may have items to start, ordered by time of acceptance.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct QueuedBatch {
    accepted_at: Timestamp,
    id: BatchId,
}

/// The batches of one urgency: a queue per tenant in order of acceptance. No queue is empty.
type UrgencyQueues = BTreeMap<WorkTenant, VecDeque<QueuedBatch>>;

/// Batches that may still have items to start.
pub(super) struct BatchScheduler<'a> {
    shares: &'a mut TenantShares,
    queues_by_urgency: BTreeMap<Urgency, UrgencyQueues>,
}

impl<'a> BatchScheduler<'a> {
    /// Queues the batches. `shares` holds the items in flight of each tenant.
    pub(super) fn new<'b>(
        shares: &'a mut TenantShares,
        batches: impl Iterator<Item = (&'b BatchId, &'b BatchHeader)>,
    ) -> Self {
        let mut queues_by_urgency: BTreeMap<Urgency, UrgencyQueues> = BTreeMap::new();
        for (id, header) in batches {
            let (urgency, accepted_at) = header.urgency();
            let queues = queues_by_urgency.entry(urgency).or_default();
            let tenant_queue = queues.entry(header.tenant.clone()).or_default();
            let id = id.clone();
            tenant_queue.push_back(QueuedBatch { accepted_at, id });
        }
        for tenant_queue in queues_by_urgency
            .values_mut()
            .flat_map(UrgencyQueues::values_mut)
        {
            tenant_queue.make_contiguous().sort();
        }
        Self {
            shares,
            queues_by_urgency,
        }
    }

    /// Calls `start` for the next batch until none has an item to start. `start` returns whether
    /// it started an item; a batch that has none is not tried again.
    pub(super) fn run(self, mut start: impl FnMut(&BatchId) -> bool) {
        let Self {
            shares,
            queues_by_urgency,
        } = self;
        for mut queues in queues_by_urgency.into_values() {
            while let Some((tenant, id)) = next_batch(shares, &queues) {
                if start(id) {
                    shares.record_start(tenant);
                    continue;
                }
                let tenant = tenant.clone();
                remove_first(&mut queues, &tenant);
            }
        }
    }
}

/// The next batch of one urgency, with its tenant. Ties between tenants go to the batch that was
/// accepted first.
fn next_batch<'b>(
    shares: &TenantShares,
    queues: &'b UrgencyQueues,
) -> Option<(&'b WorkTenant, &'b BatchId)> {
    let firsts = queues
        .iter()
        .filter_map(|(tenant, tenant_queue)| Some((tenant, tenant_queue.front()?)));
    let next = firsts.min_by_key(|(tenant, first)| (shares.order_of(tenant), *first));
    next.map(|(tenant, first)| (tenant, &first.id))
}

fn remove_first(queues: &mut UrgencyQueues, tenant: &WorkTenant) {
    let Some(tenant_queue) = queues.get_mut(tenant) else {
        return;
    };
    tenant_queue.pop_front();
    if tenant_queue.is_empty() {
        queues.remove(tenant);
    }
}

#[cfg(test)]
mod tests;
