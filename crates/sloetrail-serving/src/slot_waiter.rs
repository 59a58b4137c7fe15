//! Waiting for a slot at a back end, in the order of the service's queue.

use crate::service_pools::{ServicePools, SlotPermit};
use sloetrail_balance::{SlotQueue, SlotRequest, SlotTicket, WorkTenant};
use sloetrail_clock::BootInstant;
use sloetrail_types::{AllowedRegions, EngineId, ServiceName, Timestamp};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use tokio::sync::Notify;

/// The requests of this node that wait for a slot at one service.
#[derive(Debug, Default)]
pub(crate) struct ServiceSlotQueue {
    queue: SlotQueue,
    wakers: HashMap<SlotTicket, Arc<Notify>>,
}

impl ServiceSlotQueue {
    /// Adds a request, or returns the ticket that it already has.
    fn join(&mut self, waiter: &SlotWaiter) -> SlotTicket {
        let ticket = self.queue.join(&waiter.request, waiter.ticket);
        self.wakers.insert(ticket, Arc::clone(&waiter.notify));
        ticket
    }

    fn leave(&mut self, ticket: SlotTicket) {
        self.queue.leave(ticket);
        self.wakers.remove(&ticket);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Records that a request acquired a slot.
    pub(crate) fn record_start(&mut self, waiter: &SlotWaiter) {
        self.queue.record_start(&waiter.request.tenant);
        if !waiter.has_acquired {
            self.queue.record_outcome(waiter.request.urgency, true);
        }
    }

    /// Records that a request ended without a slot, although it could be served.
    pub(crate) fn record_unserved(&mut self, waiter: &SlotWaiter) {
        self.queue.record_outcome(waiter.request.urgency, false);
    }

    /// Records that a slot used by a tenant is free again.
    pub(crate) fn record_end(&mut self, tenant: &WorkTenant) {
        self.queue.record_end(tenant);
    }

    /// Offers a slot to the first waiting request that can use one.
    pub(crate) fn wake_first(
        &mut self,
        now: Timestamp,
        can_serve: impl FnMut(&AllowedRegions) -> bool,
    ) {
        let first = self.queue.offer(now, can_serve);
        if let Some(waker) = first.and_then(|ticket| self.wakers.get(&ticket)) {
            waker.notify_one();
        }
    }

    /// Returns true if a request may take a slot now. Otherwise offers the slot to the first
    /// waiting request, which is skipped if it does not take it in time. Slots can also appear
    /// without a release, for example with a new back end, so waiters are woken here too.
    pub(crate) fn check_turn(
        &mut self,
        waiter: &SlotWaiter,
        now: Timestamp,
        mut can_serve: impl FnMut(&AllowedRegions) -> bool,
    ) -> bool {
        let SlotWaiter {
            request, ticket, ..
        } = waiter;
        let is_turn = self.queue.is_next(request, *ticket, now, &mut can_serve);
        if !is_turn {
            self.wake_first(now, can_serve);
        }
        is_turn
    }

    /// Returns the number of waiting requests ahead of one whose tenant is above its share; zero
    /// if the tenant is not.
    pub(crate) fn requests_ahead(&self, waiter: &SlotWaiter) -> usize {
        self.queue.requests_ahead(&waiter.request, waiter.ticket)
    }
}

/// Acquires slots for one live request, over all its attempts. It is in the service's queue from
/// its first wait until it acquires a slot, leaves or is dropped.
pub(crate) struct SlotWaiter {
    pools: Arc<ServicePools>,
    service: ServiceName,
    request: SlotRequest,
    ticket: Option<SlotTicket>,
    is_waiting: bool,
    has_acquired: bool,
    notify: Arc<Notify>,
}

impl SlotWaiter {
    pub(crate) fn new(
        pools: &Arc<ServicePools>,
        service: &ServiceName,
        request: SlotRequest,
    ) -> Self {
        Self {
            pools: Arc::clone(pools),
            service: service.clone(),
            request,
            ticket: None,
            is_waiting: false,
            has_acquired: false,
            notify: Arc::default(),
        }
    }

    pub(crate) fn service(&self) -> &ServiceName {
        &self.service
    }

    pub(crate) fn request(&self) -> &SlotRequest {
        &self.request
    }

    /// Acquires a slot at a back end that is not excluded, unless none is free or another
    /// request is ahead.
    pub(crate) fn acquire(&mut self, excluded: &BTreeSet<EngineId>) -> Option<SlotPermit> {
        let slot = self.pools.acquire(self, excluded)?;
        self.has_acquired = true;
        self.leave();
        Some(slot)
    }

    /// Waits until a slot is offered, or until the deadline.
    pub(crate) async fn wait_until(&mut self, deadline: BootInstant) {
        let ticket = self
            .pools
            .with_slot_queue(&self.service, |queue| queue.join(self));
        self.ticket = Some(ticket);
        self.is_waiting = true;
        // The caller checks again after a timeout: slots can appear without an offer.
        let _ = sloetrail_clock::timeout_at(deadline, self.notify.notified()).await;
    }

    /// Leaves the queue and wakes the next request.
    pub(crate) fn leave(&mut self) {
        let Some(ticket) = self.ticket.filter(|_| self.is_waiting) else {
            return;
        };
        self.is_waiting = false;
        self.pools
            .with_slot_queue(&self.service, |queue| queue.leave(ticket));
        self.pools.wake_first(&self.service);
    }
}

impl Drop for SlotWaiter {
    fn drop(&mut self) {
        self.leave();
        if !self.has_acquired {
            self.pools.record_unserved(self);
        }
    }
}

#[cfg(test)]
mod tests;
