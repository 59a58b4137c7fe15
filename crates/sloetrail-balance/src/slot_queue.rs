//! The order of those that wait for a place at the engines of one service.
//!
//! The most urgent kind goes first, then the tenant with the least under way, then what has
//! waited longest. Before all of them goes a kind that is served much less than the others: it
//! may have to wait, but is not shut out. A place is offered to the first in this order that may use it. One that
//! does not take its offer in time is passed over until it looks for a place itself: it may
//! be held up by its caller, and must not hold up the others.

use crate::served_shares::ServedShares;
use crate::{TenantOrder, TenantShares, WorkTenant};
use sloetrail_types::{AllowedRegions, Timestamp, Urgency};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a place is left to the one that it was offered to: as long as those that wait
/// are given between two looks of their own.
const OFFER_TIME: Duration = Duration::from_millis(15);

/// Who looks for a place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// How urgent it is.
    pub urgency: Urgency,
    /// Whose it is.
    pub tenant: WorkTenant,
    /// The regions in which it may be served.
    pub regions: AllowedRegions,
}

/// The number of one that waits; lower ones came earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotTicket(u64);

#[derive(Debug)]
struct Waiting {
    request: SlotRequest,
    offered_at: Option<Timestamp>,
}

impl Waiting {
    fn has_let_pass(&self, now: Timestamp) -> bool {
        let offered_at = self.offered_at;
        offered_at.is_some_and(|offered_at| now.since(offered_at) > OFFER_TIME)
    }
}

/// The order among requests: the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    /// False for a kind that is served much less than the others.
    is_kind_served: bool,
    urgency: Urgency,
    tenant: TenantOrder,
    ticket: SlotTicket,
}

/// How many requests of each tenant wait; none is held that has none.
#[derive(Debug, Default)]
struct WaitingTenants(BTreeMap<WorkTenant, usize>);

impl WaitingTenants {
    fn joined(&mut self, tenant: &WorkTenant) {
        match self.0.get_mut(tenant) {
            Some(count) => *count += 1,
            None => {
                self.0.insert(tenant.clone(), 1);
            }
        }
    }

    fn left(&mut self, tenant: &WorkTenant) {
        let Some(count) = self.0.get_mut(tenant) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.0.remove(tenant);
        }
    }
}

/// Those that wait for a place at one service, and what its tenants have under way.
#[derive(Debug, Default)]
pub struct SlotQueue {
    waiting: BTreeMap<SlotTicket, Waiting>,
    tenants: WaitingTenants,
    shares: TenantShares,
    served: ServedShares,
    last_ticket: u64,
}

impl SlotQueue {
    /// True if nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Puts a request among those that wait. One that waited before keeps its ticket, and
    /// with that its age.
    pub fn join(&mut self, request: &SlotRequest, ticket: Option<SlotTicket>) -> SlotTicket {
        let ticket = ticket.unwrap_or_else(|| self.next_ticket());
        let waiting = Waiting {
            request: request.clone(),
            offered_at: None,
        };
        if self.waiting.insert(ticket, waiting).is_none() {
            self.tenants.joined(&request.tenant);
        }
        ticket
    }

    /// Takes a request out, if it waits.
    pub fn leave(&mut self, ticket: SlotTicket) {
        if let Some(left) = self.waiting.remove(&ticket) {
            self.tenants.left(&left.request.tenant);
        }
        if self.waiting.is_empty() {
            self.shares.forget_idle();
        }
    }

    /// A request has got its first place, or has ended without one.
    pub fn record_outcome(&mut self, kind: Urgency, is_served: bool) {
        self.served.record(kind, is_served);
    }

    /// A place was taken for a tenant.
    pub fn record_start(&mut self, tenant: &WorkTenant) {
        self.shares.record_start(tenant);
    }

    /// A place of a tenant came free.
    pub fn record_end(&mut self, tenant: &WorkTenant) {
        self.shares.record_end(tenant);
        if self.waiting.is_empty() {
            self.shares.forget_if_idle(tenant);
        }
    }

    /// Offers a place to the first that waits and may use one. `can_serve` tells whether
    /// there is a place in such regions.
    pub fn offer(
        &mut self,
        now: Timestamp,
        can_serve: impl FnMut(&AllowedRegions) -> bool,
    ) -> Option<SlotTicket> {
        let ticket = self.first_able(now, can_serve)?.ticket;
        let waiting = self.waiting.get_mut(&ticket)?;
        waiting.offered_at = waiting.offered_at.or(Some(now));
        Some(ticket)
    }

    /// True if a request may take a place now: nobody that goes before it may use one.
    /// `ticket` is its own if it has waited.
    pub fn is_next(
        &self,
        request: &SlotRequest,
        ticket: Option<SlotTicket>,
        now: Timestamp,
        can_serve: impl FnMut(&AllowedRegions) -> bool,
    ) -> bool {
        let own = self.turn(request, ticket);
        let first = self.first_able(now, can_serve);
        first.is_none_or(|first| own <= first)
    }

    /// How many that wait go before a request whose tenant has more than its share under way.
    /// Zero while its tenant has not.
    pub fn requests_ahead(&self, request: &SlotRequest, ticket: Option<SlotTicket>) -> usize {
        if self.waiting.is_empty() {
            return 0;
        }
        let waiting = self.tenants.0.keys();
        if !self.shares.exceeds_share(&request.tenant, waiting) {
            return 0;
        }
        let own = self.turn(request, ticket);
        let turns = self.waiting.iter();
        turns
            .filter(|(ticket, waiting)| self.turn(&waiting.request, Some(**ticket)) < own)
            .count()
    }

    fn next_ticket(&mut self) -> SlotTicket {
        self.last_ticket += 1;
        SlotTicket(self.last_ticket)
    }

    /// One that has no ticket comes after all that have one.
    fn turn(&self, request: &SlotRequest, ticket: Option<SlotTicket>) -> Turn {
        Turn {
            is_kind_served: !self.served.is_short(request.urgency),
            urgency: request.urgency,
            tenant: self.shares.turn(&request.tenant),
            ticket: ticket.unwrap_or(SlotTicket(u64::MAX)),
        }
    }

    fn first_able(
        &self,
        now: Timestamp,
        mut can_serve: impl FnMut(&AllowedRegions) -> bool,
    ) -> Option<Turn> {
        let mut known: Vec<(&AllowedRegions, bool)> = Vec::new();
        let mut is_able = |regions| {
            if let Some((_, able)) = known.iter().find(|(known, _)| *known == regions) {
                return *able;
            }
            let able = can_serve(regions);
            known.push((regions, able));
            able
        };
        let able = self
            .waiting
            .iter()
            .filter(|(_, waiting)| !waiting.has_let_pass(now) && is_able(&waiting.request.regions));
        able.map(|(ticket, waiting)| self.turn(&waiting.request, Some(*ticket)))
            .min()
    }
}
