//! How much each tenant has under way at one service, and which tenant's turn it is.

use sloetrail_types::TenantName;
use std::collections::{BTreeMap, BTreeSet};

/// Whose work it is; work of nobody in particular shares as one tenant.
pub type WorkTenant = Option<TenantName>;

#[derive(Clone, Copy, Debug, Default)]
struct TenantUse {
    under_way: usize,
    /// The number of its last start; zero if none is remembered.
    last_start: u64,
}

/// A tenant's turn: the least goes first. That is the tenant with the least under way, and of
/// several the one whose last start is the longest ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantOrder {
    under_way: usize,
    last_start: u64,
}

/// What tenants have under way at one service.
///
/// Invariant: `total` is the sum over all tenants.
#[derive(Debug, Default)]
pub struct TenantShares {
    uses: BTreeMap<WorkTenant, TenantUse>,
    total: usize,
    starts: u64,
}

impl TenantShares {
    /// Something of a tenant was started.
    pub fn record_start(&mut self, tenant: &WorkTenant) {
        self.starts += 1;
        self.total += 1;
        let starts = self.starts;
        let entry = self.entry(tenant);
        entry.under_way += 1;
        entry.last_start = starts;
    }

    /// Something of a tenant has ended.
    pub fn record_end(&mut self, tenant: &WorkTenant) {
        let Some(entry) = self.uses.get_mut(tenant) else {
            return;
        };
        if entry.under_way > 0 {
            entry.under_way -= 1;
            self.total -= 1;
        }
    }

    /// Takes in anew what is under way, each by its tenant. Starts stay remembered.
    pub fn recount<'a>(&mut self, under_way: impl Iterator<Item = (&'a WorkTenant, usize)>) {
        for entry in self.uses.values_mut() {
            entry.under_way = 0;
        }
        self.total = 0;
        for (tenant, count) in under_way {
            self.total += count;
            self.entry(tenant).under_way += count;
        }
    }

    /// Forgets the tenants that have nothing under way.
    pub fn forget_idle(&mut self) {
        self.uses.retain(|_, entry| entry.under_way > 0);
    }

    /// Forgets a tenant if it has nothing under way.
    pub fn forget_if_idle(&mut self, tenant: &WorkTenant) {
        let known = self.uses.get(tenant);
        if known.is_some_and(|entry| entry.under_way == 0) {
            self.uses.remove(tenant);
        }
    }

    /// When it is a tenant's turn, compared with others.
    pub fn turn(&self, tenant: &WorkTenant) -> TenantOrder {
        let known = self.uses.get(tenant).copied().unwrap_or_default();
        TenantOrder {
            under_way: known.under_way,
            last_start: known.last_start,
        }
    }

    /// True if a tenant has more under way than each would have if all did alike that have
    /// something under way or are among those that wait.
    pub fn exceeds_share<'a>(
        &'a self,
        tenant: &'a WorkTenant,
        waiting: impl Iterator<Item = &'a WorkTenant>,
    ) -> bool {
        let active = self.uses.iter().filter(|(_, entry)| entry.under_way > 0);
        let mut sharing: BTreeSet<&WorkTenant> = active.map(|(tenant, _)| tenant).collect();
        sharing.extend(waiting);
        sharing.insert(tenant);
        self.turn(tenant).under_way * sharing.len() > self.total
    }

    fn entry(&mut self, tenant: &WorkTenant) -> &mut TenantUse {
        if !self.uses.contains_key(tenant) {
            self.uses.insert(tenant.clone(), TenantUse::default());
        }
        self.uses.get_mut(tenant).expect("it was inserted")
    }
}
