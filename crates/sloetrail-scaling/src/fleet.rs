//! Decides engine counts per zone for a service with region-bound work.

use crate::scaler::{Scaler, ServiceEngines};
use crate::spread::{ScalingBounds, spread};
use sloetrail_types::{AllowedRegions, RegionName, Timestamp, ZoneName};
use std::collections::BTreeMap;
use std::time::Duration;

/// Engines of a zone and the slots that unbound work uses there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneLoad {
    /// None if the region is unknown.
    pub region: Option<RegionName>,
    /// Engines that take work.
    pub engines: usize,
    /// Slots in use by work that is not bound to regions.
    pub busy_slots: usize,
}

/// Load of region-bound work, as its owner reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BoundWork {
    /// Slots in use.
    pub busy_slots: usize,
    /// Slots that the work would use if enough were free.
    pub requested_slots: usize,
}

pub type ZoneLoads = BTreeMap<ZoneName, ZoneLoad>;
/// Region-bound work by its allowed regions.
pub type BoundWorkByRegions = BTreeMap<AllowedRegions, BoundWork>;

/// Decides how many engines each zone of a service has.
///
/// The total follows all work. For each set of regions with bound work, the load of the engines
/// there sets a minimum for its zones.
#[derive(Debug, Default)]
pub struct FleetScaler {
    total: Scaler,
    /// Scalers by set of regions, kept while the set has had work within the horizon.
    bound: BTreeMap<AllowedRegions, Scaler>,
}

impl FleetScaler {
    /// Records a batch. `since_previous` is the time since the previous batch of its model.
    pub fn record_batch(&mut self, now: Timestamp, since_previous: Option<Duration>) {
        self.total.record_batch(now, since_previous);
    }

    /// Records the load. Must be called at regular intervals. `unbound` counts all running items
    /// that are not bound to regions, also in zones missing from `zones`, as their work moves to
    /// the remaining zones.
    pub fn record_load(
        &mut self,
        now: Timestamp,
        unbound: usize,
        zones: &ZoneLoads,
        works: &BoundWorkByRegions,
    ) {
        let bound: usize = works.values().map(|work| work.busy_slots).sum();
        self.total.record_load(now, unbound + bound);
        for (regions, work) in works {
            if work.requested_slots > 0 {
                let scaler = self.bound.entry(regions.clone()).or_default();
                scaler.record_batch(now, None);
            }
        }
        for (regions, scaler) in &mut self.bound {
            scaler.record_load(now, busy_slots_within(regions, zones, works));
        }
        self.bound.retain(|_, scaler| scaler.has_recent_batch(now));
    }

    /// Records that the load is incomplete, see [`Scaler::record_load_incomplete`].
    pub fn record_load_incomplete(&mut self, now: Timestamp) {
        self.total.record_load_incomplete(now);
        for scaler in self.bound.values_mut() {
            scaler.record_load_incomplete(now);
        }
    }

    /// Records a completed step. `share` is its duration divided by its target duration.
    pub fn record_step(&mut self, now: Timestamp, share: f64) {
        self.total.record_step(now, share);
    }

    /// Records a completed step of region-bound work, see [`Self::record_step`].
    pub fn record_bound_step(&mut self, now: Timestamp, regions: &AllowedRegions, share: f64) {
        self.total.record_step(now, share);
        if let Some(scaler) = self.bound.get_mut(regions) {
            scaler.record_step(now, share);
        }
    }

    /// Returns the new engine count of each zone, or None if no zone should change.
    ///
    /// The total follows all work, and the zones of a set of regions get at least the engines
    /// that the work there requires.
    pub fn decide(
        &mut self,
        now: Timestamp,
        zones: &ZoneLoads,
        slots_per_engine: usize,
        bounds: &ScalingBounds,
        baseline: usize,
    ) -> Option<BTreeMap<ZoneName, usize>> {
        if self.total.is_cooling_down(now) {
            return None;
        }
        let mut minimums = self.min_engines_by_zone(now, zones, slots_per_engine, bounds);
        let engines = total_engines(zones.values(), slots_per_engine);
        let target = self.total.decide(now, engines, bounds, baseline);
        let is_short = |(zone, minimum): (&ZoneName, &usize)| *minimum > zones[zone].engines;
        let grows_somewhere = minimums.iter().any(is_short);
        if target.is_none() && !grows_somewhere {
            return None;
        }
        if target.is_none() {
            self.total.start_growth_cooldown(now, bounds);
            for (zone, state) in zones {
                raise_to(&mut minimums, zone, state.engines);
            }
        }
        let total = target.unwrap_or(engines.engines);
        let names: Vec<ZoneName> = zones.keys().cloned().collect();
        Some(spread(total, &names, bounds, &minimums))
    }

    /// Returns the engines that each zone requires for region-bound work. Goes from smaller to
    /// larger sets of regions, as engines for a smaller set also serve the larger ones.
    fn min_engines_by_zone(
        &self,
        now: Timestamp,
        zones: &ZoneLoads,
        slots_per_engine: usize,
        bounds: &ScalingBounds,
    ) -> BTreeMap<ZoneName, usize> {
        let mut minimums = BTreeMap::new();
        let mut scalers: Vec<(&AllowedRegions, &Scaler)> = self.bound.iter().collect();
        scalers.sort_by_key(|(regions, _)| regions.names().count());
        for (regions, scaler) in scalers {
            let within = |zone: &ZoneLoad| regions.allows(zone.region.as_ref());
            let zones_within = zones.iter().filter(|(_, zone)| within(zone));
            let engines =
                total_engines(zones_within.clone().map(|(_, zone)| zone), slots_per_engine);
            let required = scaler.required_engines(now, engines, bounds);
            let names: Vec<ZoneName> = zones_within.map(|(name, _)| name.clone()).collect();
            for (zone, share) in spread(required, &names, bounds, &minimums) {
                raise_to(&mut minimums, &zone, share);
            }
        }
        minimums
    }
}

/// Slots in use in these regions by unbound work that runs there and by work that may run
/// nowhere else.
fn busy_slots_within(
    regions: &AllowedRegions,
    zones: &ZoneLoads,
    works: &BoundWorkByRegions,
) -> usize {
    let zones_within = zones.values();
    let zones_within = zones_within.filter(|zone| regions.allows(zone.region.as_ref()));
    let unbound: usize = zones_within.map(|zone| zone.busy_slots).sum();
    let is_within = |other: &AllowedRegions| other.names().all(|name| regions.allows(Some(name)));
    let bound = works.iter().filter(|(other, _)| is_within(other));
    unbound + bound.map(|(_, work)| work.busy_slots).sum::<usize>()
}

fn total_engines<'a>(
    zones: impl Iterator<Item = &'a ZoneLoad> + Clone,
    slots_per_engine: usize,
) -> ServiceEngines {
    ServiceEngines {
        engines: zones.clone().map(|zone| zone.engines).sum(),
        slots_per_engine,
        zones: zones.count(),
    }
}

fn raise_to(minimums: &mut BTreeMap<ZoneName, usize>, zone: &ZoneName, engines: usize) {
    let minimum = minimums.entry(zone.clone()).or_default();
    *minimum = engines.max(*minimum);
}
