use super::EventIntervalMeter;
use std::time::Duration;

/// Guards against ranking an engine by a disturbance of half a second.
#[test]
fn short_slowdowns_hardly_change_the_lasting_interval() {
    let meter = EventIntervalMeter::default();
    for _ in 0..500 {
        meter.record(Duration::from_millis(40));
    }
    for _ in 0..20 {
        meter.record(Duration::from_millis(100));
    }
    assert!(meter.microseconds() > Some(90_000));
    assert!(meter.lasting_microseconds() < Some(43_000));
}

/// Guards against an engine that turns slow for good and keeps the rank that it had.
#[test]
fn lasting_interval_follows_a_lasting_change() {
    let meter = EventIntervalMeter::default();
    for interval_ms in [40, 100] {
        for _ in 0..2_000 {
            meter.record(Duration::from_millis(interval_ms));
        }
    }
    assert!(meter.lasting_microseconds() > Some(95_000));
}

/// Guards against a mean that the first samples dominate, or that a huge gap overflows.
#[test]
fn first_samples_are_averaged_evenly() {
    let meter = EventIntervalMeter::default();
    for gap_ms in [10, 20, 30] {
        meter.record(Duration::from_millis(gap_ms));
    }
    assert_eq!(meter.lasting_microseconds(), None, "too few samples");
    meter.record(Duration::from_millis(40));
    assert_eq!(meter.lasting_microseconds(), Some(25_000));
    let huge = EventIntervalMeter::default();
    for _ in 0..4 {
        huge.record(Duration::MAX);
    }
    assert!(huge.lasting_microseconds() > Some(1));
}
