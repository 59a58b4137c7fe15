//! Fair ordering of tenants by their work in flight at one service.

use sloetrail_types::TenantName;
use std::collections::{BTreeMap, BTreeSet};

/// The tenant that work belongs to. All work without a tenant shares as one tenant.
pub type WorkTenant = Option<TenantName>;

#[derive(Clone, Copy, Debug, Default)]
struct TenantUsage {
    in_flight: usize,
    /// Sequence number of the tenant's last start; zero if none is recorded.
    last_start: u64,
}

/// Sort key of a tenant; the lowest goes first. Tenants are ordered by work in flight, then
/// by least recent start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantOrder {
    in_flight: usize,
    last_start: u64,
}

/// Work in flight of each tenant at one service.
///
/// Invariant: `total` is the sum over all tenants.
#[derive(Debug, Default)]
pub struct TenantShares {
    usages: BTreeMap<WorkTenant, TenantUsage>,
    total: usize,
    starts: u64,
}

impl TenantShares {
    pub fn record_start(&mut self, tenant: &WorkTenant) {
        self.starts += 1;
        self.total += 1;
        let starts = self.starts;
        let usage = self.usage_mut(tenant);
        usage.in_flight += 1;
        usage.last_start = starts;
    }

    /// Counts an end of work. An end without a recorded start is ignored.
    pub fn record_end(&mut self, tenant: &WorkTenant) {
        let Some(usage) = self.usages.get_mut(tenant) else {
            return;
        };
        if usage.in_flight > 0 {
            usage.in_flight -= 1;
            self.total -= 1;
        }
    }

    /// Replaces the counts of work in flight and keeps the last starts.
    pub fn recount<'a>(&mut self, in_flight: impl Iterator<Item = (&'a WorkTenant, usize)>) {
        for usage in self.usages.values_mut() {
            usage.in_flight = 0;
        }
        self.total = 0;
        for (tenant, count) in in_flight {
            self.total += count;
            self.usage_mut(tenant).in_flight += count;
        }
    }

    /// Removes all tenants without work in flight.
    pub fn forget_idle(&mut self) {
        self.usages.retain(|_, usage| usage.in_flight > 0);
    }

    /// Removes a tenant if it has no work in flight.
    pub fn forget_if_idle(&mut self, tenant: &WorkTenant) {
        let known = self.usages.get(tenant);
        if known.is_some_and(|usage| usage.in_flight == 0) {
            self.usages.remove(tenant);
        }
    }

    pub fn order_of(&self, tenant: &WorkTenant) -> TenantOrder {
        let known = self.usages.get(tenant).copied().unwrap_or_default();
        TenantOrder {
            in_flight: known.in_flight,
            last_start: known.last_start,
        }
    }

    /// True if a tenant has more than an equal share of the work in flight. Tenants with work
    /// in flight and `waiting` tenants share.
    pub fn exceeds_share<'a>(
        &'a self,
        tenant: &'a WorkTenant,
        waiting: impl Iterator<Item = &'a WorkTenant>,
    ) -> bool {
        let active = self.usages.iter().filter(|(_, usage)| usage.in_flight > 0);
        let mut sharing: BTreeSet<&WorkTenant> = active.map(|(tenant, _)| tenant).collect();
        sharing.extend(waiting);
        sharing.insert(tenant);
        self.order_of(tenant).in_flight * sharing.len() > self.total
    }

    fn usage_mut(&mut self, tenant: &WorkTenant) -> &mut TenantUsage {
        if !self.usages.contains_key(tenant) {
            self.usages.insert(tenant.clone(), TenantUsage::default());
        }
        self.usages.get_mut(tenant).expect("inserted above")
    }
}
