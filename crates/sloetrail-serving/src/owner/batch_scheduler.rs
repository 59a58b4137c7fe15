//! Chooses the batch whose item is dispatched next.
//!
//! The most urgent batches go first. Within one urgency, tenants take turns by their number of
//! items in flight; within a tenant, batches go in order of acceptance. A tenant with a long
//! queue does not delay the others.
//!
//! Under triage, the items of one urgency go by class before the next urgency, tenants take
//! turns by engine time, and batches of a tenant go in order of due time. A small share of starts
//! goes to late groups while groups in time wait.

use super::capacity_plan::LATE_START_PERIOD;
use sloetrail_balance::{TenantOrder, TenantShares, WorkTenant};
use sloetrail_batch::{BatchHeader, BatchId, DispatchClass};
use sloetrail_types::{Timestamp, Urgency};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// How tenants take turns and batches of a tenant are ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TurnRule {
    /// By items in flight, and batches by time of acceptance.
    ItemsInFlight,
    /// By engine time, and batches by the time at which they have to end.
    EngineTime {
        /// The expected time of a run, with which items in flight count.
        run_time: Duration,
    },
}

impl TurnRule {
    fn tenant_order(self, shares: &TenantShares, tenant: &WorkTenant) -> TenantOrder {
        match self {
            TurnRule::ItemsInFlight => shares.order_of(tenant),
            TurnRule::EngineTime { run_time } => shares.order_by_engine_time(tenant, run_time),
        }
    }

    fn batch_order(self, header: &BatchHeader) -> Timestamp {
        match self {
            TurnRule::ItemsInFlight => header.accepted_at,
            TurnRule::EngineTime { .. } => header.ends_by(),
        }
    }
}

/// What came of starting an item of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartOutcome {
    Started,
    /// No item of the class can be started.
    NoItem,
    /// No item of the batch can be started, of whatever class: no engine has room, or the batch
    /// has reached its concurrency limit.
    NoRoom,
}

/// By urgency, the starts since the last one of a late group.
pub(super) type StartsSinceLate = BTreeMap<Urgency, u32>;

/// A batch that may have items to start, in the order of its tenant's batches.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedBatch {
    order: Timestamp,
    id: BatchId,
}

/// The batches of one urgency: a queue per tenant. No queue is empty.
type UrgencyQueues = BTreeMap<WorkTenant, VecDeque<QueuedBatch>>;

/// Batches that may still have items to start.
pub(super) struct BatchScheduler<'a> {
    shares: &'a mut TenantShares,
    rule: TurnRule,
    queues_by_urgency: BTreeMap<Urgency, UrgencyQueues>,
}

impl<'a> BatchScheduler<'a> {
    /// Queues the batches. `shares` holds the items in flight of each tenant.
    pub(super) fn new<'b>(
        shares: &'a mut TenantShares,
        rule: TurnRule,
        batches: impl Iterator<Item = (&'b BatchId, &'b BatchHeader)>,
    ) -> Self {
        let mut queues_by_urgency: BTreeMap<Urgency, UrgencyQueues> = BTreeMap::new();
        for (id, header) in batches {
            let (urgency, _) = header.urgency();
            let queues = queues_by_urgency.entry(urgency).or_default();
            let tenant_queue = queues.entry(header.tenant.clone()).or_default();
            let order = rule.batch_order(header);
            let id = id.clone();
            tenant_queue.push_back(QueuedBatch { order, id });
        }
        for tenant_queue in queues_by_urgency
            .values_mut()
            .flat_map(UrgencyQueues::values_mut)
        {
            tenant_queue.make_contiguous().sort();
        }
        Self {
            shares,
            rule,
            queues_by_urgency,
        }
    }

    /// Calls `start` for the next batch until none has an item to start. `start` returns whether
    /// it started an item; a batch that has none is not tried again.
    pub(super) fn run(self, mut start: impl FnMut(&BatchId) -> bool) {
        let Self {
            shares,
            rule,
            queues_by_urgency,
        } = self;
        for mut queues in queues_by_urgency.into_values() {
            while let Some((tenant, id)) = next_batch(shares, rule, &queues) {
                if start(id) {
                    shares.record_start(tenant);
                    continue;
                }
                let tenant = tenant.clone();
                remove_first(&mut queues, &tenant);
            }
        }
    }

    /// Starts items by class within each urgency, until none can be started. A late group has
    /// one start in [`LATE_START_PERIOD`] while others wait, counted in `starts_since_late`.
    pub(super) fn run_by_class(
        self,
        starts_since_late: &mut StartsSinceLate,
        mut start: impl FnMut(&BatchId, DispatchClass) -> StartOutcome,
    ) {
        let Self {
            shares,
            rule,
            queues_by_urgency,
        } = self;
        starts_since_late.retain(|urgency, _| queues_by_urgency.contains_key(urgency));
        for (urgency, queues) in queues_by_urgency {
            let mut classes = ClassQueues::new(shares, rule, queues);
            let since_late = starts_since_late.entry(urgency).or_default();
            classes.run(since_late, &mut start);
        }
    }
}

/// The batches of one urgency, by the class of the items that they may have to start.
struct ClassQueues<'a> {
    shares: &'a mut TenantShares,
    rule: TurnRule,
    queues: BTreeMap<DispatchClass, UrgencyQueues>,
    /// Batches of which no item can be started.
    without_room: BTreeSet<BatchId>,
}

impl<'a> ClassQueues<'a> {
    fn new(shares: &'a mut TenantShares, rule: TurnRule, queues: UrgencyQueues) -> Self {
        let classes = [
            DispatchClass::InTime,
            DispatchClass::Late,
            DispatchClass::NotRequired,
        ];
        Self {
            shares,
            rule,
            queues: classes.map(|class| (class, queues.clone())).into(),
            without_room: BTreeSet::new(),
        }
    }

    fn run(
        &mut self,
        since_late: &mut u32,
        start: &mut impl FnMut(&BatchId, DispatchClass) -> StartOutcome,
    ) {
        loop {
            let is_late_due = *since_late + 1 >= LATE_START_PERIOD;
            if is_late_due && self.start_one(DispatchClass::Late, start) {
                *since_late = 0;
            } else if self.start_one(DispatchClass::InTime, start) {
                *since_late = (*since_late + 1).min(LATE_START_PERIOD);
            } else if self.start_one(DispatchClass::Late, start) {
                *since_late = 0;
            } else if !self.start_one(DispatchClass::NotRequired, start) {
                return;
            }
        }
    }

    /// Starts an item of the class. Returns false if none can be started.
    fn start_one(
        &mut self,
        class: DispatchClass,
        start: &mut impl FnMut(&BatchId, DispatchClass) -> StartOutcome,
    ) -> bool {
        let Some(queues) = self.queues.get_mut(&class) else {
            return false;
        };
        while let Some((tenant, id)) = next_batch(self.shares, self.rule, queues) {
            let outcome = match self.without_room.contains(id) {
                true => StartOutcome::NoRoom,
                false => start(id, class),
            };
            if outcome == StartOutcome::Started {
                self.shares.record_start(tenant);
                return true;
            }
            if outcome == StartOutcome::NoRoom {
                self.without_room.insert(id.clone());
            }
            let tenant = tenant.clone();
            remove_first(queues, &tenant);
        }
        false
    }
}

/// The next batch of one urgency, with its tenant. Ties between tenants go to the batch that is
/// first in the order of batches.
fn next_batch<'b>(
    shares: &TenantShares,
    rule: TurnRule,
    queues: &'b UrgencyQueues,
) -> Option<(&'b WorkTenant, &'b BatchId)> {
    let firsts = queues
        .iter()
        .filter_map(|(tenant, tenant_queue)| Some((tenant, tenant_queue.front()?)));
    let next = firsts.min_by_key(|(tenant, first)| (rule.tenant_order(shares, tenant), *first));
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
