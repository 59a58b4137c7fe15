use crate::{
    ClockOffset, ReportAction, ReportSchedule, UsageCounter, UsageReport, WindowNumber, Windows,
    median_offset,
};
use sloetrail_types::TenantName;
use std::time::Duration;

const LENGTH: Duration = Duration::from_secs(5);
const DUE_AFTER: Duration = Duration::from_secs(10);
const UNINTERRUPTED: Duration = Duration::from_secs(60);

fn tenant(name: &str) -> TenantName {
    TenantName::from(name)
}

fn schedule() -> ReportSchedule {
    ReportSchedule::new(Windows::new(LENGTH), DUE_AFTER)
}

#[test]
fn windows_start_at_multiples_of_their_length() {
    let windows = Windows::new(LENGTH);
    assert_eq!(windows.at(1_767_225_600_000), WindowNumber(353_445_120));
    assert_eq!(windows.at(1_767_225_604_999), WindowNumber(353_445_120));
    assert_eq!(windows.at(1_767_225_605_000), WindowNumber(353_445_121));
    assert_eq!(windows.end_ms(WindowNumber(353_445_120)), 1_767_225_605_000);
}

#[test]
fn median_offset_ignores_a_minority_of_jumped_clocks() {
    let correct = [1_000, 1_003, 998, 1_001, 1_002];
    let jumped = [4_100, 4_102, 4_099];
    let measured: Vec<ClockOffset> = correct
        .iter()
        .chain(&jumped)
        .copied()
        .map(ClockOffset)
        .collect();
    let agreed = median_offset(measured).expect("offsets");
    assert!((998..=1_003).contains(&agreed.0), "{agreed:?}");
    assert_eq!(median_offset(Vec::new()), None);
}

#[test]
fn offset_converts_table_time_to_wall_clock_time() {
    let offset = ClockOffset::between(1_767_225_600_000, 12_000);
    assert_eq!(offset.wall_ms(13_500), 1_767_225_601_500);
    assert_eq!(offset.distance(ClockOffset(offset.0 - 40)), 40);
    let behind = ClockOffset::between(10, 50);
    assert_eq!(behind.wall_ms(60), 20);
    assert_eq!(behind.wall_ms(1), 0);
}

#[test]
fn each_request_is_in_exactly_one_piece() {
    let mut counter = UsageCounter::default();
    let (one, two) = (WindowNumber(1), WindowNumber(2));
    counter.count(one, &tenant("north"));
    counter.count(one, &tenant("north"));
    let mut pieces = counter.take_pieces();
    counter.count(one, &tenant("north"));
    counter.count(one, &tenant("south"));
    counter.count(two, &tenant("south"));
    pieces.extend(counter.take_pieces());
    assert!(counter.take_pieces().is_empty());
    let numbers: Vec<u64> = pieces.iter().map(|piece| piece.sequence).collect();
    assert_eq!(numbers, [0, 1, 2]);
    let report = UsageReport::from_pieces(one, &pieces);
    assert_eq!(report.counts[&tenant("north")], 3);
    assert_eq!(report.counts[&tenant("south")], 1);
    assert_eq!(report.total_requests(), 4);
    assert_eq!(UsageReport::from_pieces(two, &pieces).total_requests(), 1);
}

#[test]
fn first_report_covers_requests_before_the_first_holder() {
    assert_eq!(schedule().first(52_000), WindowNumber(8));
    assert_eq!(schedule().first(3_000), WindowNumber(0));
}

#[test]
fn reports_wait_for_late_pieces_until_their_due_time() {
    let schedule = schedule();
    let window = WindowNumber(1);
    // The window ends at 10 s; the report is due at 20 s.
    let wait = schedule.next_action(window, 11_000, UNINTERRUPTED);
    assert_eq!(wait, ReportAction::Wait(Duration::from_millis(3_500)));
    assert_eq!(
        schedule.next_action(window, 14_500, UNINTERRUPTED),
        ReportAction::Report(window)
    );
    assert_eq!(
        schedule.next_action(window, 99_000, UNINTERRUPTED),
        ReportAction::Report(window),
        "an overdue window must be reported at once"
    );
    let just_recovered = Duration::from_millis(200);
    let wait = schedule.next_action(window, 16_000, just_recovered);
    assert_eq!(wait, ReportAction::Wait(Duration::from_millis(1_000)));
    let wait = schedule.next_action(window, 18_700, just_recovered);
    assert_eq!(wait, ReportAction::Wait(Duration::from_millis(300)));
    assert_eq!(
        schedule.next_action(window, 19_100, just_recovered),
        ReportAction::Report(window)
    );
}
