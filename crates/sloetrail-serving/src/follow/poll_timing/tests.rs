use super::{FleetScaledDuration, FleetSize};
use std::time::Duration;

const MIN: Duration = Duration::from_millis(60);
const PER_BACK_END: Duration = Duration::from_micros(500);
const MAX: Duration = Duration::from_millis(1_000);

#[test]
fn durations_scale_with_the_directory_within_bounds() {
    let fleet = FleetSize::default();
    let duration = FleetScaledDuration::scaled(&fleet, MIN, PER_BACK_END, MAX);
    let at = |back_ends: usize| {
        fleet.set_back_ends(back_ends);
        duration.now()
    };
    assert_eq!(at(0), MIN);
    assert_eq!(at(13), MIN);
    assert_eq!(at(890), Duration::from_millis(445));
    assert_eq!(at(3_000), MAX);
}

#[test]
fn owners_use_the_minimum_in_any_fleet() {
    let fleet = FleetSize::default();
    fleet.set_back_ends(3_000);
    let duration = FleetScaledDuration::scaled(&fleet, MIN, PER_BACK_END, MAX).min_for_owners();
    let first = fleet.own_service();
    let second = fleet.own_service();
    assert_eq!(duration.now(), MIN);
    drop(first);
    assert_eq!(duration.now(), MIN);
    drop(second);
    assert_eq!(duration.now(), MAX);
}
