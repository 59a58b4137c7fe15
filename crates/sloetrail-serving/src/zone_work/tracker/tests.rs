use super::{DrainedZone, WorkKind, ZoneCounts, ZoneWorkTracker};
use sloetrail_clock::BootInstant;
use sloetrail_types::ZoneName;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

fn zone(name: &str) -> ZoneName {
    ZoneName::from(name)
}

fn drained(name: &str, after: Duration) -> DrainedZone {
    DrainedZone {
        zone: zone(name),
        after,
    }
}

#[test]
fn the_last_run_drains_an_evacuated_zone() {
    let start = BootInstant::now();
    let mut tracker = ZoneWorkTracker::default();
    for kind in [WorkKind::Live, WorkKind::Item, WorkKind::Item] {
        tracker.begin(&zone("a"), kind);
    }
    tracker.begin(&zone("b"), WorkKind::Live);
    assert_eq!(tracker.end(&zone("a"), WorkKind::Item, start), None);
    assert!(tracker.set_evacuated([zone("a")].iter(), start).is_empty());
    let counts = ZoneCounts {
        live: 1,
        items: 1,
        evacuated_for: Some(SECOND),
    };
    assert_eq!(
        tracker.evacuated_zones(start + SECOND),
        [(zone("a"), counts)]
    );
    assert_eq!(
        tracker.end(&zone("b"), WorkKind::Live, start + SECOND),
        None
    );
    assert_eq!(
        tracker.end(&zone("a"), WorkKind::Live, start + SECOND),
        None
    );
    let last = tracker.end(&zone("a"), WorkKind::Item, start + SECOND * 2);
    assert_eq!(last, Some(drained("a", SECOND * 2)));
}

#[test]
fn an_idle_zone_is_drained_at_each_evacuation() {
    let start = BootInstant::now();
    let mut tracker = ZoneWorkTracker::default();
    let at_once = [drained("a", Duration::ZERO)];
    assert_eq!(tracker.set_evacuated([zone("a")].iter(), start), at_once);
    let unchanged = tracker.set_evacuated([zone("a")].iter(), start + SECOND);
    assert!(unchanged.is_empty(), "a drained zone is reported once");
    assert!(tracker.set_evacuated([].iter(), start + SECOND).is_empty());
    let withdrawn = [(zone("a"), ZoneCounts::default())];
    assert_eq!(tracker.evacuated_zones(start + SECOND), withdrawn);
    let again = tracker.set_evacuated([zone("a")].iter(), start + SECOND);
    assert_eq!(again, at_once);
}

#[test]
fn work_ending_after_a_withdrawal_reports_nothing() {
    let start = BootInstant::now();
    let mut tracker = ZoneWorkTracker::default();
    tracker.begin(&zone("a"), WorkKind::Item);
    tracker.set_evacuated([zone("a")].iter(), start);
    tracker.set_evacuated([].iter(), start);
    assert_eq!(tracker.end(&zone("a"), WorkKind::Item, start), None);
    let counts = ZoneCounts::default();
    assert_eq!(tracker.evacuated_zones(start), [(zone("a"), counts)]);
}

#[test]
fn work_withheld_after_draining_reports_nothing() {
    let start = BootInstant::now();
    let mut tracker = ZoneWorkTracker::default();
    tracker.begin(&zone("a"), WorkKind::Item);
    tracker.set_evacuated([zone("a")].iter(), start);
    let last = tracker.end(&zone("a"), WorkKind::Item, start + SECOND);
    assert_eq!(last, Some(drained("a", SECOND)));
    tracker.begin(&zone("a"), WorkKind::Live);
    let withheld = tracker.end(&zone("a"), WorkKind::Live, start + SECOND * 2);
    assert_eq!(withheld, None, "a drained zone is reported once");
    tracker.set_evacuated([].iter(), start + SECOND * 3);
    let again = tracker.set_evacuated([zone("a")].iter(), start + SECOND * 4);
    assert_eq!(again, [drained("a", Duration::ZERO)]);
}
