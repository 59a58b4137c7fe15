use crate::{
    ClockOffset, ReportAction, ReportSchedule, UsageCounter, UsageReport, WindowNumber, Windows,
    median_offset,
};
use sloetrail_types::TenantName;
use std::time::Duration;

const LENGTH: Duration = Duration::from_secs(5);
const DUE_AFTER: Duration = Duration::from_secs(10);
const LONG: Duration = Duration::from_secs(60);

fn tenant(name: &str) -> TenantName {
    TenantName::from(name)
}

fn schedule() -> ReportSchedule {
    ReportSchedule::new(Windows::new(LENGTH), DUE_AFTER)
}

#[test]
fn a_window_begins_at_a_multiple_of_its_length_after_1970() {
    let windows = Windows::new(LENGTH);
    assert_eq!(windows.at(1_767_225_600_000), WindowNumber(353_445_120));
    assert_eq!(windows.at(1_767_225_604_999), WindowNumber(353_445_120));
    assert_eq!(windows.at(1_767_225_605_000), WindowNumber(353_445_121));
    assert_eq!(windows.end_ms(WindowNumber(353_445_120)), 1_767_225_605_000);
}

#[test]
fn wall_clocks_that_jumped_do_not_move_the_agreed_lead() {
    let sound = [1_000, 1_003, 998, 1_001, 1_002];
    let jumped = [4_100, 4_102, 4_099];
    let seen: Vec<ClockOffset> = sound
        .iter()
        .chain(&jumped)
        .copied()
        .map(ClockOffset)
        .collect();
    let agreed = median_offset(seen).expect("seen");
    assert!((998..=1_003).contains(&agreed.0), "{agreed:?}");
    assert_eq!(median_offset(Vec::new()), None);
}

#[test]
fn a_lead_leads_from_the_table_s_clock_to_wall_clock_time() {
    let lead = ClockOffset::between(1_767_225_600_000, 12_000);
    assert_eq!(lead.wall_ms(13_500), 1_767_225_601_500);
    assert_eq!(lead.distance(ClockOffset(lead.0 - 40)), 40);
    let behind = ClockOffset::between(10, 50);
    assert_eq!(behind.wall_ms(60), 20);
    assert_eq!(behind.wall_ms(1), 0);
}

#[test]
fn each_request_is_in_one_piece() {
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
fn the_first_report_covers_what_began_before_there_was_a_holder() {
    assert_eq!(schedule().first(52_000), WindowNumber(8));
    assert_eq!(schedule().first(3_000), WindowNumber(0));
}

#[test]
fn a_report_waits_for_what_nodes_hand_over_late_but_leaves_before_it_is_due() {
    let schedule = schedule();
    let window = WindowNumber(1);
    // The window ends at 10 s; the report is due at 20 s.
    let wait = schedule.next_action(window, 11_000, LONG);
    assert_eq!(wait, ReportAction::Wait(Duration::from_millis(3_500)));
    assert_eq!(
        schedule.next_action(window, 14_500, LONG),
        ReportAction::Report(window)
    );
    assert_eq!(
        schedule.next_action(window, 99_000, LONG),
        ReportAction::Report(window),
        "long overdue"
    );
    let just_back = Duration::from_millis(200);
    let wait = schedule.next_action(window, 16_000, just_back);
    assert_eq!(wait, ReportAction::Wait(Duration::from_millis(1_000)));
    let wait = schedule.next_action(window, 18_700, just_back);
    assert_eq!(wait, ReportAction::Wait(Duration::from_millis(300)));
    assert_eq!(
        schedule.next_action(window, 19_100, just_back),
        ReportAction::Report(window)
    );
}
