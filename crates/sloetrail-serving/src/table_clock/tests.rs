use super::TableClock;
use sloetrail_clock::BootInstant;
use std::time::Duration;

fn after(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn the_time_is_unknown_before_the_first_answer() {
    assert_eq!(TableClock::default().at(BootInstant::now()), None);
}

#[test]
fn late_answers_do_not_set_the_clock_back() {
    let mut clock = TableClock::default();
    let start = BootInstant::now();
    clock.record(50_000, start);
    // Received 200 ms after it was created.
    clock.record(50_800, start + after(1_000));
    assert_eq!(clock.at(start + after(1_000)), Some(51_000));
    // Received 2 ms after it was created; the first one took 5 ms.
    clock.record(52_003, start + after(2_000));
    assert_eq!(clock.at(start + after(2_000)), Some(52_003));
}

#[test]
fn the_estimate_follows_clock_drift() {
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
