use crate::{Scaler, ScalingBounds, ServiceEngines, spread};
use sloetrail_types::{Timestamp, ZoneName};
use std::collections::BTreeMap;
use std::time::Duration;

mod fleet;

const TICK_MS: u64 = 100;
const PERIOD: Duration = Duration::from_secs(4);

fn bounds() -> ScalingBounds {
    ScalingBounds {
        min_per_zone: 1,
        max_per_zone: 24,
        boot_time: Duration::from_secs(4),
        zone_prices: [("a", 0.85), ("b", 1.2), ("c", 1.0)]
            .map(|(zone, price)| (ZoneName::from(zone), price))
            .into(),
    }
}

fn engines(engines: usize) -> ServiceEngines {
    ServiceEngines {
        engines,
        slots_per_engine: 6,
        zones: 3,
    }
}

/// A service whose orders take effect immediately.
struct Service {
    scaler: Scaler,
    engines: usize,
    baseline: usize,
    now_ms: u64,
    orders: Vec<usize>,
}

impl Service {
    fn new(engines: usize) -> Self {
        Self {
            scaler: Scaler::default(),
            engines,
            baseline: 0,
            now_ms: 1_000,
            orders: Vec::new(),
        }
    }

    /// Advances the clock with a batch every [`PERIOD`], `running` items, and steps that take
    /// `step_share` of their target duration.
    fn run(&mut self, seconds: u64, running: usize, step_share: f64) {
        let end_ms = self.now_ms + seconds * 1_000;
        while self.now_ms < end_ms {
            let now = Timestamp(self.now_ms);
            if self.now_ms.is_multiple_of(PERIOD.as_millis() as u64) {
                self.scaler.record_batch(now, Some(PERIOD));
                self.scaler.record_step(now, step_share);
            }
            let slots = self.engines * 6;
            self.scaler.record_load(now, running.min(slots));
            let decided = self
                .scaler
                .decide(now, engines(self.engines), &bounds(), self.baseline);
            if let Some(target) = decided {
                self.engines = target;
                self.orders.push(target);
            }
            self.now_ms += TICK_MS;
        }
    }
}

#[test]
fn idle_engines_are_released_gradually() {
    let mut service = Service::new(35);
    service.run(60, 54, 0.7);
    // The target is 18 engines, but the last reduction is too small to be ordered.
    assert_eq!(service.engines, 19, "{:?}", service.orders);
    let steps = [35].into_iter().chain(service.orders.iter().copied());
    let steps: Vec<usize> = steps.collect();
    for pair in steps.windows(2) {
        assert!(pair[1] as f64 >= pair[0] as f64 * 0.8, "{steps:?}");
    }
    let orders = service.orders.len();
    service.run(60, 54, 0.7);
    assert_eq!(service.orders.len(), orders, "the engine count stays");
}

#[test]
fn engines_stay_without_recent_steps_or_batches() {
    let mut service = Service::new(35);
    for tick in 0..300 {
        let now = Timestamp(1_000 + tick * TICK_MS);
        service.scaler.record_load(now, 0);
        assert_eq!(service.scaler.decide(now, engines(35), &bounds(), 0), None);
    }
    service.now_ms = 31_000;
    service.run(8, 10, 0.7);
    assert!(service.orders.is_empty(), "{:?}", service.orders);
    let idle = Timestamp(service.now_ms + 60_000);
    service.scaler.record_load(idle, 0);
    assert_eq!(service.scaler.decide(idle, engines(35), &bounds(), 0), None);
}

#[test]
fn engines_stay_while_steps_use_most_of_their_target() {
    let mut service = Service::new(35);
    service.run(60, 54, 0.9);
    assert!(service.orders.is_empty(), "{:?}", service.orders);
}

#[test]
fn an_incomplete_load_releases_no_engines() {
    let mut service = Service::new(20);
    service.run(30, 60, 0.7);
    for _ in 0..6 {
        service
            .scaler
            .record_load_incomplete(Timestamp(service.now_ms));
        service.run(1, 0, 0.7);
    }
    service.run(7, 20, 0.7);
    assert!(service.orders.is_empty(), "{:?}", service.orders);
    service.run(10, 20, 0.7);
    assert!(
        service.engines < 20,
        "the load has been complete for a full horizon"
    );
}

#[test]
fn busy_slots_or_late_steps_add_engines() {
    let mut busy = Service::new(10);
    busy.run(30, 100, 0.7);
    assert!(busy.engines >= 33, "{:?}", busy.orders);
    assert!(busy.orders[0] <= 15, "{:?}", busy.orders);
    let mut late = Service::new(20);
    late.run(10, 50, 1.2);
    assert_eq!(late.orders[0], 24);
    let mut late_for_another_reason = Service::new(20);
    late_for_another_reason.run(30, 20, 1.2);
    assert!(late_for_another_reason.orders.is_empty());
}

#[test]
fn lost_engines_are_replaced() {
    let mut service = Service::new(20);
    service.run(30, 60, 0.7);
    assert!(service.orders.is_empty(), "{:?}", service.orders);
    service.engines = 12;
    service.run(30, 60, 0.7);
    assert!(service.engines >= 20, "{:?}", service.orders);
}

#[test]
fn the_engine_count_stays_within_bounds() {
    let mut idle = Service::new(10);
    idle.run(120, 1, 0.5);
    assert_eq!(idle.engines, 4, "{:?}", idle.orders);
    idle.engines = 3;
    idle.run(60, 0, 0.5);
    assert_eq!(idle.engines, 3, "{:?}", idle.orders);
    let mut full = Service::new(60);
    full.run(60, 1_000, 1.5);
    assert_eq!(full.engines, 72, "{:?}", full.orders);
}

#[test]
fn engines_are_spread_evenly_with_remainder_to_cheapest_zones() {
    let zones: Vec<ZoneName> = ["a", "b", "c"].map(ZoneName::from).into();
    let shares = |total: usize| {
        let shares = spread(total, &zones, &bounds(), &BTreeMap::new());
        ["a", "b", "c"].map(|zone| shares[&ZoneName::from(zone)])
    };
    assert_eq!(shares(18), [6, 6, 6]);
    assert_eq!(shares(19), [7, 6, 6]);
    assert_eq!(shares(20), [7, 6, 7]);
    assert_eq!(shares(0), [1, 1, 1]);
    assert_eq!(shares(100), [24, 24, 24]);
    assert_eq!(spread(5, &[], &bounds(), &BTreeMap::new()), BTreeMap::new());
}

#[test]
fn engines_are_released_down_to_the_baseline_only() {
    let mut service = Service::new(20);
    service.baseline = 20;
    service.run(60, 30, 0.7);
    assert!(service.orders.is_empty(), "{:?}", service.orders);
    service.run(20, 90, 1.1);
    assert!(service.engines > 24, "{:?}", service.orders);
    service.run(120, 30, 0.7);
    assert_eq!(service.engines, 20, "{:?}", service.orders);
    service.engines = 14;
    let orders = service.orders.len();
    service.run(30, 30, 0.7);
    assert_eq!(
        service.orders.len(),
        orders,
        "engines removed below the baseline are not replaced"
    );
}
