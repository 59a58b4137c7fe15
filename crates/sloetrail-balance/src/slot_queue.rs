//! Orders the requests that wait for a slot at the engines of one service.
//!
//! Requests are ordered by urgency, then by their tenant's work in flight, then by age. An
//! underserved urgency goes before all others, so that it is delayed but not starved. A free
//! slot is offered to the first request in this order that may use it. A request that does not
//! take its offer in time is skipped until it rejoins the queue, since its caller may have
//! stalled and the slot should not stay unused.

use crate::served_shares::ServedShares;
use crate::{TenantOrder, TenantShares, WorkTenant};
use sloetrail_types::{AllowedRegions, Timestamp, Urgency};
use std::collections::BTreeMap;
use std::time::Duration;

/// Matches the interval at which waiting requests retry without an offer.
const OFFER_TIMEOUT: Duration = Duration::from_millis(15);

/// A request that needs a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    pub urgency: Urgency,
    pub tenant: WorkTenant,
    /// Regions that may serve the request.
    pub regions: AllowedRegions,
}

/// Identifies a waiting request. Tickets are issued in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotTicket(u64);

#[derive(Debug)]
struct QueuedRequest {
    request: SlotRequest,
    offered_at: Option<Timestamp>,
}

impl QueuedRequest {
    fn is_offer_expired(&self, now: Timestamp) -> bool {
        let offered_at = self.offered_at;
        offered_at.is_some_and(|offered_at| now.since(offered_at) > OFFER_TIMEOUT)
    }
}

/// Sort key of a request; the lowest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct OrderKey {
    /// False if the request's urgency is underserved.
    is_adequately_served: bool,
    urgency: Urgency,
    tenant: TenantOrder,
    ticket: SlotTicket,
}

/// Number of waiting requests by tenant.
///
/// Invariant: no count is zero.
#[derive(Debug, Default)]
struct WaitingTenants(BTreeMap<WorkTenant, usize>);

impl WaitingTenants {
    fn add(&mut self, tenant: &WorkTenant) {
        match self.0.get_mut(tenant) {
            Some(count) => *count += 1,
            None => {
                self.0.insert(tenant.clone(), 1);
            }
        }
    }

    fn remove(&mut self, tenant: &WorkTenant) {
        let Some(count) = self.0.get_mut(tenant) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.0.remove(tenant);
        }
    }
}

/// Requests that wait for a slot at one service, and the slots that its tenants use.
#[derive(Debug, Default)]
pub struct SlotQueue {
    waiting: BTreeMap<SlotTicket, QueuedRequest>,
    waiting_tenants: WaitingTenants,
    shares: TenantShares,
    served: ServedShares,
    last_ticket: u64,
}

impl SlotQueue {
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a request to the queue. A request that rejoins with its ticket keeps its position
    /// and may be offered slots again.
    pub fn join(&mut self, request: &SlotRequest, ticket: Option<SlotTicket>) -> SlotTicket {
        let ticket = ticket.unwrap_or_else(|| self.next_ticket());
        let queued = QueuedRequest {
            request: request.clone(),
            offered_at: None,
        };
        if self.waiting.insert(ticket, queued).is_none() {
            self.waiting_tenants.add(&request.tenant);
        }
        ticket
    }

    /// Removes a request if it is queued.
    pub fn leave(&mut self, ticket: SlotTicket) {
        if let Some(removed) = self.waiting.remove(&ticket) {
            self.waiting_tenants.remove(&removed.request.tenant);
        }
        if self.waiting.is_empty() {
            self.shares.forget_idle();
        }
    }

    /// Counts a request that got its first slot, or ended without one.
    pub fn record_outcome(&mut self, urgency: Urgency, is_served: bool) {
        self.served.record(urgency, is_served);
    }

    /// Counts a slot as used by a tenant.
    pub fn record_start(&mut self, tenant: &WorkTenant) {
        self.shares.record_start(tenant);
    }

    /// Counts a slot of a tenant as released.
    pub fn record_end(&mut self, tenant: &WorkTenant) {
        self.shares.record_end(tenant);
        if self.waiting.is_empty() {
            self.shares.forget_if_idle(tenant);
        }
    }

    /// Offers a slot to the first waiting request that may use it. `can_serve` returns whether
    /// a slot is free in the given regions.
    pub fn offer(
        &mut self,
        now: Timestamp,
        can_serve: impl FnMut(&AllowedRegions) -> bool,
    ) -> Option<SlotTicket> {
        let ticket = self.first_eligible(now, can_serve)?.ticket;
        let queued = self.waiting.get_mut(&ticket)?;
        queued.offered_at = queued.offered_at.or(Some(now));
        Some(ticket)
    }

    /// True if no waiting request that may use a free slot goes before `request`. `ticket` is
    /// the request's own ticket if it has waited.
    pub fn is_next(
        &self,
        request: &SlotRequest,
        ticket: Option<SlotTicket>,
        now: Timestamp,
        can_serve: impl FnMut(&AllowedRegions) -> bool,
    ) -> bool {
        let own = self.order_key(request, ticket);
        let first = self.first_eligible(now, can_serve);
        first.is_none_or(|first| own <= first)
    }

    /// Number of waiting requests that go before a request whose tenant exceeds its share.
    /// Zero if the tenant does not.
    pub fn requests_ahead(&self, request: &SlotRequest, ticket: Option<SlotTicket>) -> usize {
        if self.waiting.is_empty() {
            return 0;
        }
        let waiting = self.waiting_tenants.0.keys();
        if !self.shares.exceeds_share(&request.tenant, waiting) {
            return 0;
        }
        let own = self.order_key(request, ticket);
        let queued = self.waiting.iter();
        queued
            .filter(|(ticket, queued)| self.order_key(&queued.request, Some(**ticket)) < own)
            .count()
    }

    fn next_ticket(&mut self) -> SlotTicket {
        self.last_ticket += 1;
        SlotTicket(self.last_ticket)
    }

    /// A request without a ticket goes after its equals that have one.
    fn order_key(&self, request: &SlotRequest, ticket: Option<SlotTicket>) -> OrderKey {
        OrderKey {
            is_adequately_served: !self.served.is_underserved(request.urgency),
            urgency: request.urgency,
            tenant: self.shares.order_of(&request.tenant),
            ticket: ticket.unwrap_or(SlotTicket(u64::MAX)),
        }
    }

    fn first_eligible(
        &self,
        now: Timestamp,
        mut can_serve: impl FnMut(&AllowedRegions) -> bool,
    ) -> Option<OrderKey> {
        // Calls `can_serve` once for each distinct set of regions.
        let mut cache: Vec<(&AllowedRegions, bool)> = Vec::new();
        let mut has_slot = |regions| {
            if let Some((_, cached)) = cache.iter().find(|(cached, _)| *cached == regions) {
                return *cached;
            }
            let result = can_serve(regions);
            cache.push((regions, result));
            result
        };
        let eligible = self.waiting.iter().filter(|(_, queued)| {
            !queued.is_offer_expired(now) && has_slot(&queued.request.regions)
        });
        eligible
            .map(|(ticket, queued)| self.order_key(&queued.request, Some(*ticket)))
            .min()
    }
}
