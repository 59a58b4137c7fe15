use super::TableClock;
use sloetrail_clock::BootInstant;
use std::time::Duration;

fn after(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn nothing_is_known_before_the_first_answer() {
    assert_eq!(TableClock::default().at(BootInstant::now()), None);
}

#[test]
fn answers_that_come_late_do_not_put_the_clock_back() {
    let mut clock = TableClock::default();
    let start = BootInstant::now();
    clock.record(50_000, start);
    // Made 200 ms before it came.
    clock.record(50_800, start + after(1_000));
    assert_eq!(clock.at(start + after(1_000)), Some(51_000));
    // Made 2 ms before it came, when the first one had been under way for 5 ms.
    clock.record(52_003, start + after(2_000));
    assert_eq!(clock.at(start + after(2_000)), Some(52_003));
}

#[test]
fn clocks_that_drift_apart_are_followed() {
    let mut clock = TableClock::default();
    let start = BootInstant::now();
    // The table's clock loses a millisecond a second.
    for second in 0..=120 {
        clock.record(50_000 + second * 999, start + after(second * 1_000));
    }
    let known = clock.at(start + after(120_000)).expect("known");
    let true_time = 50_000 + 120 * 999;
    assert!(known >= true_time && known - true_time <= 60, "{known}");
}
