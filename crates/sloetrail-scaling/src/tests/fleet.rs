//! Tests of [`FleetScaler`] with region-bound work.

use super::{PERIOD, TICK_MS};
use crate::{
    BoundWork, BoundWorkByRegions, FleetScaler, ScalingBounds, ZoneLoad, ZoneLoads, spread,
};
use sloetrail_types::{AllowedRegions, RegionName, Timestamp, ZoneName};
use std::collections::BTreeMap;
use std::time::Duration;

const SLOTS: usize = 6;

fn bounds() -> ScalingBounds {
    ScalingBounds {
        min_per_zone: 1,
        max_per_zone: 12,
        boot_time: Duration::from_secs(4),
        zone_prices: BTreeMap::new(),
    }
}

fn only(names: &[&str]) -> AllowedRegions {
    AllowedRegions::only(names.iter().map(|name| RegionName::from(*name)))
}

/// Two zones in the north and one in the south. Orders take effect immediately.
struct Service {
    scaler: FleetScaler,
    zones: ZoneLoads,
    baseline: usize,
    now_ms: u64,
    orders: usize,
}

impl Service {
    fn new(engines: usize) -> Self {
        let zones = [("n1", "north"), ("n2", "north"), ("s1", "south")];
        let zone = |region: &str| ZoneLoad {
            region: Some(RegionName::from(region)),
            engines,
            busy_slots: 0,
        };
        let zones = zones.map(|(name, region)| (ZoneName::from(name), zone(region)));
        Self {
            scaler: FleetScaler::default(),
            zones: zones.into(),
            baseline: 3,
            now_ms: 1_000,
            orders: 0,
        }
    }

    fn engines(&self, zone: &str) -> usize {
        self.zones[&ZoneName::from(zone)].engines
    }

    fn all(&self) -> [usize; 3] {
        ["n1", "n2", "s1"].map(|zone| self.engines(zone))
    }

    /// Advances the clock with a batch every [`PERIOD`]. Bound work uses the slots that it
    /// requests as far as the engines of its regions have them.
    fn run(
        &mut self,
        seconds: u64,
        regions: &AllowedRegions,
        requested_slots: usize,
        step_share: f64,
    ) {
        let end_ms = self.now_ms + seconds * 1_000;
        while self.now_ms < end_ms {
            let now = Timestamp(self.now_ms);
            let zones_within = self.zones.values();
            let zones_within = zones_within.filter(|zone| regions.allows(zone.region.as_ref()));
            let slots = zones_within.map(|zone| zone.engines).sum::<usize>() * SLOTS;
            let work = BoundWork {
                busy_slots: requested_slots.min(slots),
                requested_slots,
            };
            let works: BoundWorkByRegions = [(regions.clone(), work)].into();
            if self.now_ms.is_multiple_of(PERIOD.as_millis() as u64) {
                self.scaler.record_batch(now, Some(PERIOD));
                self.scaler.record_bound_step(now, regions, step_share);
            }
            self.scaler.record_load(now, 0, &self.zones, &works);
            let decided = self
                .scaler
                .decide(now, &self.zones, SLOTS, &bounds(), self.baseline);
            for (zone, engines) in decided.into_iter().flatten() {
                let state = self.zones.get_mut(&zone).expect("a known zone");
                self.orders += usize::from(state.engines != engines);
                state.engines = engines;
            }
            self.now_ms += TICK_MS;
        }
    }
}

#[test]
fn bound_work_scales_only_zones_of_its_regions() {
    let mut service = Service::new(2);
    service.run(60, &only(&["north"]), 36, 0.7);
    let [n1, n2, s1] = service.all();
    assert!(
        n1 + n2 >= 12,
        "at most half of the slots are busy: {:?}",
        service.all()
    );
    assert!(n1.abs_diff(n2) <= 1, "{:?}", service.all());
    assert!(s1 <= 2, "{:?}", service.all());
    let orders = service.orders;
    service.run(60, &only(&["north"]), 36, 0.7);
    assert_eq!(
        service.orders,
        orders,
        "the engine count stays: {:?}",
        service.all()
    );
}

#[test]
fn zones_shrink_after_bound_work_ends() {
    let mut service = Service::new(2);
    service.run(60, &only(&["north"]), 36, 0.7);
    service.run(180, &only(&["north"]), 0, 0.7);
    let total: usize = service.all().iter().sum();
    assert!(total <= 4, "{:?}", service.all());
}

#[test]
fn late_bound_steps_scale_only_their_zones() {
    let mut service = Service::new(6);
    service.run(20, &only(&["south"]), 16, 1.2);
    let [n1, n2, s1] = service.all();
    assert!(s1 > 6, "{:?}", service.all());
    assert!(n1 <= 6 && n2 <= 6, "{:?}", service.all());
}

#[test]
fn a_zone_never_exceeds_its_maximum() {
    let mut service = Service::new(2);
    service.run(120, &only(&["south"]), 1_000, 1.5);
    assert_eq!(service.engines("s1"), 12);
}

#[test]
fn an_incomplete_load_releases_no_engines() {
    let mut service = Service::new(2);
    service.run(60, &only(&["north"]), 36, 0.7);
    let before = service.all();
    for _ in 0..20 {
        let now = Timestamp(service.now_ms);
        service.scaler.record_load_incomplete(now);
        service.run(1, &only(&["north"]), 0, 0.7);
    }
    assert_eq!(service.all(), before);
}

#[test]
fn work_bound_to_a_region_without_engines_orders_nothing() {
    let mut service = Service::new(2);
    service.run(30, &only(&["west"]), 10, 0.7);
    assert!(service.all().iter().all(|engines| *engines <= 2));
}

#[test]
fn spread_respects_zone_minimums() {
    let zones: Vec<ZoneName> = ["a", "b", "c"].map(ZoneName::from).into();
    let minimums = [(ZoneName::from("b"), 5), (ZoneName::from("c"), 40)].into();
    let shares = spread(20, &zones, &bounds(), &minimums);
    let shares = ["a", "b", "c"].map(|zone| shares[&ZoneName::from(zone)]);
    assert_eq!(shares, [3, 5, 12]);
    let few = spread(2, &zones, &bounds(), &minimums);
    let few = ["a", "b", "c"].map(|zone| few[&ZoneName::from(zone)]);
    assert_eq!(few, [1, 5, 12]);
}

#[test]
fn unbound_items_in_excluded_zones_count_for_the_total() {
    let mut service = Service::new(2);
    service.zones.remove(&ZoneName::from("s1"));
    let now = Timestamp(service.now_ms);
    let slots = 4 * SLOTS;
    service.scaler.record_batch(now, None);
    service
        .scaler
        .record_load(now, slots, &service.zones, &BoundWorkByRegions::new());
    let decided = service
        .scaler
        .decide(now, &service.zones, SLOTS, &bounds(), 0)
        .expect("all slots would be busy");
    assert_eq!(decided.values().sum::<usize>(), 6, "{decided:?}");
}
