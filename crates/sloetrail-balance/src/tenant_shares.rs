//! Fair ordering of tenants by their work at one service.

use sloetrail_types::TenantName;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The time after which half of a tenant's use of engines is forgotten. It covers a few runs of
/// usual length, so that a tenant whose texts are long has fewer turns, but no lasting debt.
const ENGINE_TIME_HALF_LIFE: Duration = Duration::from_secs(10);
/// A tenant that has used less than this counts as idle, in slot-seconds.
const NEGLIGIBLE_ENGINE_SECONDS: f64 = 0.001;
const MICROS_PER_SECOND: f64 = 1e6;

/// The tenant that work belongs to. All work without a tenant shares as one tenant.
pub type WorkTenant = Option<TenantName>;

#[derive(Clone, Copy, Debug, Default)]
struct TenantUsage {
    in_flight: usize,
    /// Sequence number of the tenant's last start; zero if none is recorded.
    last_start: u64,
    /// Decaying sum of the time that the tenant's work had slots, in slot-seconds.
    engine_seconds: f64,
}

impl TenantUsage {
    fn is_idle(&self) -> bool {
        self.in_flight == 0 && self.engine_seconds < NEGLIGIBLE_ENGINE_SECONDS
    }
}

/// Sort key of a tenant; the lowest goes first. Tenants are ordered by engine time if that
/// counts, by work in flight, then by least recent start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantOrder {
    /// Used and expected time of slots. Zero if only work in flight counts.
    engine_micros: u64,
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

    /// Adds the time that the tenants' work had slots since the last call, after the decay of
    /// earlier time over `elapsed`.
    pub fn record_engine_time<'a>(
        &mut self,
        elapsed: Duration,
        used: impl Iterator<Item = (&'a WorkTenant, Duration)>,
    ) {
        let half_lives = elapsed.as_secs_f64() / ENGINE_TIME_HALF_LIFE.as_secs_f64();
        for usage in self.usages.values_mut() {
            usage.engine_seconds *= 0.5_f64.powf(half_lives);
        }
        for (tenant, time) in used {
            self.usage_mut(tenant).engine_seconds += time.as_secs_f64();
        }
    }

    /// Removes all tenants without work in flight and without recent use of engines.
    pub fn forget_idle(&mut self) {
        self.usages.retain(|_, usage| !usage.is_idle());
    }

    /// Removes a tenant if it has no work in flight and no recent use of engines.
    pub fn forget_if_idle(&mut self, tenant: &WorkTenant) {
        let known = self.usages.get(tenant);
        if known.is_some_and(TenantUsage::is_idle) {
            self.usages.remove(tenant);
        }
    }

    pub fn order_of(&self, tenant: &WorkTenant) -> TenantOrder {
        let known = self.usages.get(tenant).copied().unwrap_or_default();
        TenantOrder {
            engine_micros: 0,
            in_flight: known.in_flight,
            last_start: known.last_start,
        }
    }

    /// The order of a tenant by engine time. Work in flight counts with `run_time` each, since
    /// its slots are given away already. Without that, all slots that become free at one time
    /// would go to one tenant.
    pub fn order_by_engine_time(&self, tenant: &WorkTenant, run_time: Duration) -> TenantOrder {
        let known = self.usages.get(tenant).copied().unwrap_or_default();
        let expected_seconds = known.in_flight as f64 * run_time.as_secs_f64();
        let engine_seconds = known.engine_seconds + expected_seconds;
        TenantOrder {
            engine_micros: (engine_seconds * MICROS_PER_SECOND) as u64,
            ..self.order_of(tenant)
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
