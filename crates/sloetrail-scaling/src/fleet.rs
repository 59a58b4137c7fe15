//! The decision on the engines of a whole service, part of whose work is bound to regions.

use crate::scaler::{EnginesNow, Scaler};
use crate::spread::{ScalingBounds, spread};
use sloetrail_types::{AllowedRegions, RegionName, Timestamp, ZoneName};
use std::collections::BTreeMap;
use std::time::Duration;

/// The engines of a zone, and what its unbound work takes of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneNow {
    /// The region of the zone; nothing if it is not known.
    pub region: Option<RegionName>,
    /// Engines that take work.
    pub engines: usize,
    /// Places that work takes which is not bound to regions.
    pub busy: usize,
}

/// What work that is bound to regions takes, as its owner tells it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BoundWork {
    /// Places that it takes.
    pub busy: usize,
    /// Places that it would take if there were enough.
    pub wanted: usize,
}

/// Zones by name.
pub type ZonesNow = BTreeMap<ZoneName, ZoneNow>;
/// Bound work by the regions that it is bound to.
pub type BoundWorks = BTreeMap<AllowedRegions, BoundWork>;

/// Decides how many engines each zone of a service has: from all work together, and for each
/// set of regions that work is bound to from what the engines there do.
#[derive(Debug, Default)]
pub struct FleetScaler {
    whole: Scaler,
    /// One for each set of regions that has work, or had until lately.
    bound: BTreeMap<AllowedRegions, Scaler>,
}

impl FleetScaler {
    /// A batch came, so long after the one before of the same model.
    pub fn note_batch(&mut self, now: Timestamp, since_previous: Option<Duration>) {
        self.whole.note_batch(now, since_previous);
    }

    /// Takes in what the engines do; called at even times. `unbound` is how many items run
    /// that are not bound to regions: also those in zones that are left out of `zones`, for
    /// they will come again elsewhere.
    pub fn note_load(
        &mut self,
        now: Timestamp,
        unbound: usize,
        zones: &ZonesNow,
        works: &BoundWorks,
    ) {
        let bound: usize = works.values().map(|work| work.busy).sum();
        self.whole.note_load(now, unbound + bound);
        for (regions, work) in works {
            if work.wanted > 0 {
                let scaler = self.bound.entry(regions.clone()).or_default();
                scaler.note_batch(now, None);
            }
        }
        for (regions, scaler) in &mut self.bound {
            scaler.note_load(now, busy_within(regions, zones, works));
        }
        self.bound.retain(|_, scaler| scaler.is_in_use(now));
    }

    /// The load that is noted is not all: see [`Scaler::note_load_incomplete`].
    pub fn note_load_incomplete(&mut self, now: Timestamp) {
        self.whole.note_load_incomplete(now);
        for scaler in self.bound.values_mut() {
            scaler.note_load_incomplete(now);
        }
    }

    /// A step is whole, after this part of the time that it has.
    pub fn note_step(&mut self, now: Timestamp, share: f64) {
        self.whole.note_step(now, share);
    }

    /// A step of bound work is whole, after this part of the time that it has.
    pub fn note_bound_step(&mut self, now: Timestamp, regions: &AllowedRegions, share: f64) {
        self.whole.note_step(now, share);
        if let Some(scaler) = self.bound.get_mut(regions) {
            scaler.note_step(now, share);
        }
    }

    /// How many engines each zone is to have, if another number is wanted anywhere. Those of
    /// all zones together follow all work; the zones of a set of regions keep, or get, what
    /// the work there needs.
    pub fn decide(
        &mut self,
        now: Timestamp,
        zones: &ZonesNow,
        slots: usize,
        bounds: &ScalingBounds,
        floor: usize,
    ) -> Option<BTreeMap<ZoneName, usize>> {
        if self.whole.is_pausing(now) {
            return None;
        }
        let mut least = self.least_by_zone(now, zones, slots, bounds);
        let engines = engines_now(zones.values(), slots);
        let wanted = self.whole.decide(now, engines, bounds, floor);
        let is_short = |(zone, least): (&ZoneName, &usize)| *least > zones[zone].engines;
        let grows_somewhere = least.iter().any(is_short);
        if wanted.is_none() && !grows_somewhere {
            return None;
        }
        if wanted.is_none() {
            self.whole.pause_for_growth(now, bounds);
            for (zone, state) in zones {
                raise(&mut least, zone, state.engines);
            }
        }
        let total = wanted.unwrap_or(engines.engines);
        let names: Vec<ZoneName> = zones.keys().cloned().collect();
        Some(spread(total, &names, bounds, &least))
    }

    /// What the zones need for the work that is bound to their regions. Sets of fewer
    /// regions first: what they need also serves those that may go further.
    fn least_by_zone(
        &self,
        now: Timestamp,
        zones: &ZonesNow,
        slots: usize,
        bounds: &ScalingBounds,
    ) -> BTreeMap<ZoneName, usize> {
        let mut least = BTreeMap::new();
        let mut scalers: Vec<(&AllowedRegions, &Scaler)> = self.bound.iter().collect();
        scalers.sort_by_key(|(regions, _)| regions.names().count());
        for (regions, scaler) in scalers {
            let within = |zone: &ZoneNow| regions.allows(zone.region.as_ref());
            let own = zones.iter().filter(|(_, zone)| within(zone));
            let engines = engines_now(own.clone().map(|(_, zone)| zone), slots);
            let needed = scaler.needed(now, engines, bounds);
            let names: Vec<ZoneName> = own.map(|(name, _)| name.clone()).collect();
            for (zone, share) in spread(needed, &names, bounds, &least) {
                raise(&mut least, &zone, share);
            }
        }
        least
    }
}

/// Places that are busy in these regions: with unbound work that runs there and with work
/// that may run nowhere else.
fn busy_within(regions: &AllowedRegions, zones: &ZonesNow, works: &BoundWorks) -> usize {
    let own = zones.values();
    let own = own.filter(|zone| regions.allows(zone.region.as_ref()));
    let unbound: usize = own.map(|zone| zone.busy).sum();
    let is_within = |other: &AllowedRegions| other.names().all(|name| regions.allows(Some(name)));
    let bound = works.iter().filter(|(other, _)| is_within(other));
    unbound + bound.map(|(_, work)| work.busy).sum::<usize>()
}

fn engines_now<'a>(zones: impl Iterator<Item = &'a ZoneNow> + Clone, slots: usize) -> EnginesNow {
    EnginesNow {
        engines: zones.clone().map(|zone| zone.engines).sum(),
        slots,
        zones: zones.count(),
    }
}

fn raise(least: &mut BTreeMap<ZoneName, usize>, zone: &ZoneName, engines: usize) {
    let known = least.entry(zone.clone()).or_default();
    *known = engines.max(*known);
}
