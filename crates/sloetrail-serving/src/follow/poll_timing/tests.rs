use super::{FleetScaledDuration, FleetSize};
use std::time::Duration;

const LEAST: Duration = Duration::from_millis(60);
const PER_BACK_END: Duration = Duration::from_micros(500);
const MOST: Duration = Duration::from_millis(1_000);

#[test]
fn a_pace_grows_with_the_directory_within_its_bounds() {
    let fleet = FleetSize::default();
    let pacing = FleetScaledDuration::scaled(&fleet, LEAST, PER_BACK_END, MOST);
    let of = |back_ends: usize| {
        fleet.set_back_ends(back_ends);
        pacing.now()
    };
    assert_eq!(of(0), LEAST);
    assert_eq!(of(13), LEAST);
    assert_eq!(of(890), Duration::from_millis(445));
    assert_eq!(of(3_000), MOST);
}

#[test]
fn an_owner_asks_as_often_as_in_a_small_fleet() {
    let fleet = FleetSize::default();
    fleet.set_back_ends(3_000);
    let pacing = FleetScaledDuration::scaled(&fleet, LEAST, PER_BACK_END, MOST).min_for_owners();
    let first = fleet.own_service();
    let second = fleet.own_service();
    assert_eq!(pacing.now(), LEAST);
    drop(first);
    assert_eq!(pacing.now(), LEAST);
    drop(second);
    assert_eq!(pacing.now(), MOST);
}
