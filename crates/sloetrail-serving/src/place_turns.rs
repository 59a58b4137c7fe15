//! Those that wait for a place at one service of this node, and how they are woken.

use crate::service_pools::{ServicePools, SlotPermit};
use sloetrail_balance::{PlaceQueue, PlaceRequest, PlaceTicket, WorkOwner};
use sloetrail_clock::BootInstant;
use sloetrail_types::{AllowedRegions, EngineId, ServiceName, Timestamp};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use tokio::sync::Notify;

/// The queue of one service.
#[derive(Debug, Default)]
pub(crate) struct PlaceTurns {
    queue: PlaceQueue,
    wakers: HashMap<PlaceTicket, Arc<Notify>>,
}

impl PlaceTurns {
    /// Puts a request among those that wait.
    fn join(&mut self, seeker: &PlaceSeeker) -> PlaceTicket {
        let ticket = self.queue.join(&seeker.request, seeker.ticket);
        self.wakers.insert(ticket, Arc::clone(&seeker.woken));
        ticket
    }

    /// Takes a request out.
    fn leave(&mut self, ticket: PlaceTicket) {
        self.queue.leave(ticket);
        self.wakers.remove(&ticket);
    }

    /// True if nobody waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// A place was taken.
    pub(crate) fn began(&mut self, seeker: &PlaceSeeker) {
        self.queue.began(&seeker.request.tenant);
        if !seeker.has_had_place {
            self.queue.note_served(seeker.request.urgency, true);
        }
    }

    /// A request ended without ever having had a place, though there are some.
    pub(crate) fn missed(&mut self, seeker: &PlaceSeeker) {
        self.queue.note_served(seeker.request.urgency, false);
    }

    /// A place of a tenant came free.
    pub(crate) fn ended(&mut self, tenant: &WorkOwner) {
        self.queue.ended(tenant);
    }

    /// Offers a place to the first that may use one.
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

    /// True if a request may take a place now. Otherwise the place is offered to the first,
    /// since it may have come without one being freed: the first is woken, and passed over
    /// if it does not take it.
    pub(crate) fn ask_turn(
        &mut self,
        seeker: &PlaceSeeker,
        now: Timestamp,
        mut can_serve: impl FnMut(&AllowedRegions) -> bool,
    ) -> bool {
        let PlaceSeeker {
            request, ticket, ..
        } = seeker;
        let is_turn = self.queue.is_turn_of(request, *ticket, now, &mut can_serve);
        if !is_turn {
            self.wake_first(now, can_serve);
        }
        is_turn
    }

    /// How many that wait go before a request whose tenant is beyond its share.
    pub(crate) fn held_back_by(&self, seeker: &PlaceSeeker) -> usize {
        self.queue.held_back_by(&seeker.request, seeker.ticket)
    }
}

/// A live request's search for places, over all its attempts. It waits among the others of
/// its service from its first wait until it has a place, gives up or is dropped.
pub(crate) struct PlaceSeeker {
    pools: Arc<ServicePools>,
    service: ServiceName,
    request: PlaceRequest,
    ticket: Option<PlaceTicket>,
    is_waiting: bool,
    has_had_place: bool,
    woken: Arc<Notify>,
}

impl PlaceSeeker {
    /// A search that has not begun.
    pub(crate) fn new(
        pools: &Arc<ServicePools>,
        service: &ServiceName,
        request: PlaceRequest,
    ) -> Self {
        Self {
            pools: Arc::clone(pools),
            service: service.clone(),
            request,
            ticket: None,
            is_waiting: false,
            has_had_place: false,
            woken: Arc::default(),
        }
    }

    /// The service.
    pub(crate) fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Who looks for a place.
    pub(crate) fn request(&self) -> &PlaceRequest {
        &self.request
    }

    /// Takes a place at a back end that is not excluded, if there is one and nobody that
    /// waits goes before.
    pub(crate) fn acquire(&mut self, excluded: &BTreeSet<EngineId>) -> Option<SlotPermit> {
        let place = self.pools.acquire(self, excluded)?;
        self.has_had_place = true;
        self.leave();
        Some(place)
    }

    /// Waits until a place is offered, or until this moment.
    pub(crate) async fn wait_until(&mut self, moment: BootInstant) {
        let ticket = self
            .pools
            .with_slot_queue(&self.service, |turns| turns.join(self));
        self.ticket = Some(ticket);
        self.is_waiting = true;
        // Without an offer it looks by itself: a place may come without one being freed.
        let _ = sloetrail_clock::timeout_at(moment, self.woken.notified()).await;
    }

    /// Waits no longer among the others; the next one has its turn.
    pub(crate) fn leave(&mut self) {
        let Some(ticket) = self.ticket.filter(|_| self.is_waiting) else {
            return;
        };
        self.is_waiting = false;
        self.pools
            .with_slot_queue(&self.service, |turns| turns.leave(ticket));
        self.pools.wake_first(&self.service);
    }
}

impl Drop for PlaceSeeker {
    fn drop(&mut self) {
        self.leave();
        if !self.has_had_place {
            self.pools.record_unserved(self);
        }
    }
}

#[cfg(test)]
mod tests;
