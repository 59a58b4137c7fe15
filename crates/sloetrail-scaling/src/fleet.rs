//! The decision on the engines of a whole service, part of whose work is bound to regions.

use crate::scaler::{Scaler, ServiceEngines};
use crate::spread::{ScalingBounds, spread};
use sloetrail_types::{AllowedRegions, RegionName, Timestamp, ZoneName};
use std::collections::BTreeMap;
use std::time::Duration;

/// The engines of a zone, and what its unbound work takes of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneLoad {
    /// The region of the zone; nothing if it is not known.
    pub region: Option<RegionName>,
    /// Engines that take work.
    pub engines: usize,
    /// Places that work takes which is not bound to regions.
    pub busy_slots: usize,
}

/// What work that is bound to regions takes, as its owner tells it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BoundWork {
    /// Places that it takes.
    pub busy_slots: usize,
    /// Places that it would take if there were enough.
    pub requested_slots: usize,
}

/// Zones by name.
pub type ZoneLoads = BTreeMap<ZoneName, ZoneLoad>;
/// Bound work by the regions that it is bound to.
pub type BoundWorkByRegions = BTreeMap<AllowedRegions, BoundWork>;

/// Decides how many engines each zone of a service has: from all work together, and for each
/// set of regions that work is bound to from what the engines there do.
#[derive(Debug, Default)]
pub struct FleetScaler {
    total: Scaler,
    /// One for each set of regions that has work, or had until lately.
    bound: BTreeMap<AllowedRegions, Scaler>,
}

impl FleetScaler {
    /// A batch came, so long after the one before of the same model.
    pub fn record_batch(&mut self, now: Timestamp, since_previous: Option<Duration>) {
        self.total.record_batch(now, since_previous);
    }

    /// Takes in what the engines do; called at even times. `unbound` is how many items run
    /// that are not bound to regions: also those in zones that are left out of `zones`, for
    /// they will come again elsewhere.
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

    /// The load that is noted is not all: see [`Scaler::record_load_incomplete`].
    pub fn record_load_incomplete(&mut self, now: Timestamp) {
        self.total.record_load_incomplete(now);
        for scaler in self.bound.values_mut() {
            scaler.record_load_incomplete(now);
        }
    }

    /// A step is whole, after this part of the time that it has.
    pub fn record_step(&mut self, now: Timestamp, share: f64) {
        self.total.record_step(now, share);
    }

    /// A step of bound work is whole, after this part of the time that it has.
    pub fn record_bound_step(&mut self, now: Timestamp, regions: &AllowedRegions, share: f64) {
        self.total.record_step(now, share);
        if let Some(scaler) = self.bound.get_mut(regions) {
            scaler.record_step(now, share);
        }
    }

    /// How many engines each zone is to have, if another number is wanted anywhere. Those of
    /// all zones together follow all work; the zones of a set of regions keep, or get, what
    /// the work there needs.
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

    /// What the zones need for the work that is bound to their regions. Sets of fewer
    /// regions first: what they need also serves those that may go further.
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
            let own = zones.iter().filter(|(_, zone)| within(zone));
            let engines = total_engines(own.clone().map(|(_, zone)| zone), slots_per_engine);
            let required = scaler.required_engines(now, engines, bounds);
            let names: Vec<ZoneName> = own.map(|(name, _)| name.clone()).collect();
            for (zone, share) in spread(required, &names, bounds, &minimums) {
                raise_to(&mut minimums, &zone, share);
            }
        }
        minimums
    }
}

/// Places that are busy in these regions: with unbound work that runs there and with work
/// that may run nowhere else.
fn busy_slots_within(
    regions: &AllowedRegions,
    zones: &ZoneLoads,
    works: &BoundWorkByRegions,
) -> usize {
    let own = zones.values();
    let own = own.filter(|zone| regions.allows(zone.region.as_ref()));
    let unbound: usize = own.map(|zone| zone.busy_slots).sum();
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
    let known = minimums.entry(zone.clone()).or_default();
    *known = engines.max(*known);
}
