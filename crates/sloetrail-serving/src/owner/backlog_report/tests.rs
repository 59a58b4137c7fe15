use super::{
    Backlog, BacklogReporter, BacklogRow, OpenBatchWork, REPORT_VALIDITY, RecentCapacities,
    ReportedBacklog, StoredBacklog,
};
use crate::rows;
use sloetrail_clock::BootInstant;
use sloetrail_types::{Timestamp, Urgency};
use std::time::Duration;

const MODEL: &str = "m";
const AT: Timestamp = Timestamp(100_000);
const EVENTS_PER_SECOND: f64 = 200.0;
const UNITS_PER_EVENT: f64 = 10.0;
const SECOND: Duration = Duration::from_secs(1);

/// Open work of this many seconds with a run target of 4 s.
fn work(seconds: f64) -> OpenBatchWork {
    OpenBatchWork {
        urgency: Urgency::new(None, 1),
        due_at: AT,
        run_target: Some(4 * SECOND),
        events: seconds * EVENTS_PER_SECOND,
    }
}

fn of_open_work(open: &[OpenBatchWork]) -> Option<ReportedBacklog> {
    ReportedBacklog::of_open_work(open.to_vec(), EVENTS_PER_SECOND, UNITS_PER_EVENT)
}

fn backlog() -> Backlog {
    let model = of_open_work(&[work(9.0)]).expect("long");
    Backlog::from([(MODEL.to_owned(), model)])
}

fn row(models: Backlog, at: Timestamp) -> BacklogRow {
    BacklogRow {
        models,
        epoch: 3,
        at,
    }
}

/// Guards against rows that are written although there is no shortage.
#[test]
fn open_work_is_reported_above_half_the_shortest_run_target() {
    assert_eq!(of_open_work(&[work(1.0), work(0.9)]), None);
    let reported = of_open_work(&[work(1.0), work(1.5)]).expect("long");
    assert_eq!(reported.time_to_finish(), SECOND.mul_f64(2.5));
    assert_eq!(
        reported.units_per_second,
        EVENTS_PER_SECOND * UNITS_PER_EVENT
    );
    let without_target = OpenBatchWork {
        run_target: None,
        ..work(1e6)
    };
    assert_eq!(of_open_work(&[without_target]), None);
}

/// Guards against an invented backlog while the engines have shown no speed yet.
#[test]
fn nothing_is_reported_while_the_capacity_is_unknown() {
    for capacity in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        let open = vec![work(1e6)];
        assert_eq!(
            ReportedBacklog::of_open_work(open, capacity, UNITS_PER_EVENT),
            None
        );
    }
}

/// Guards against a row that grows with the number of open batches.
#[test]
fn the_row_has_a_bounded_number_of_batches() {
    let reported = of_open_work(&vec![work(1.0); 5_000]).expect("long");
    assert_eq!(reported.batches.len(), 64);
}

/// Guards against refusals because of a drop in capacity that ends within seconds.
#[test]
fn the_capacity_is_the_highest_of_the_last_seconds() {
    let started_at = BootInstant::now();
    let mut capacities = RecentCapacities::default();
    assert_eq!(capacities.highest(MODEL), 0.0);
    let of_model = |capacity: f64| [(MODEL.to_owned(), capacity)];
    capacities.record(started_at, of_model(900.0));
    capacities.record(started_at + SECOND, of_model(300.0));
    assert_eq!(capacities.highest(MODEL), 900.0);
    capacities.record(started_at + 6 * SECOND, of_model(400.0));
    assert_eq!(capacities.highest(MODEL), 400.0);
    capacities.record(started_at + 7 * SECOND, []);
    assert_eq!(capacities.highest(MODEL), 0.0, "no longer configured");
}

/// Guards against writes without a backlog, and against a row that stays in use after its end.
#[test]
fn rows_are_written_only_during_a_backlog_and_once_at_its_end() {
    let started_at = BootInstant::now();
    let mut reporter = BacklogReporter::new(started_at);
    let mut stored = StoredBacklog::Unusable;
    let mut written = Vec::new();
    for tick in 0..200_u32 {
        let at = Duration::from_millis(100) * tick;
        let (now, table_now) = (started_at + at, AT.after(at));
        if !reporter.is_due(now) {
            continue;
        }
        let is_long = (50..100).contains(&tick);
        let present = if is_long { backlog() } else { Backlog::new() };
        if let Some(models) = reporter.end_period(now, table_now, present, &stored) {
            written.push((tick, models.is_empty()));
            reporter.write_ended();
            stored = StoredBacklog::Row(row(models, table_now));
        }
    }
    let expected: Vec<(u32, bool)> = vec![
        (50, false),
        (60, false),
        (70, false),
        (80, false),
        (90, false),
        (100, true),
    ];
    assert_eq!(written, expected);
}

/// Guards against a second write while the first has no answer, and against an end that is lost.
#[test]
fn a_write_is_repeated_after_the_first_has_ended() {
    let started_at = BootInstant::now();
    let mut reporter = BacklogReporter::new(started_at);
    let stored = StoredBacklog::Row(row(backlog(), AT));
    let mut end = |seconds: u32| {
        let now = started_at + seconds * SECOND;
        let written = reporter.is_due(now).then(|| {
            let table_now = AT.after(seconds * SECOND);
            reporter.end_period(now, table_now, Backlog::new(), &stored)
        });
        let is_written = written.flatten().is_some();
        if seconds == 3 {
            reporter.write_ended();
        }
        is_written
    };
    assert!(end(1), "the row of the previous owner is in use");
    assert!(!end(2), "the write has no answer yet");
    assert!(!end(3));
    assert!(end(4), "the row is still the old one");
}

/// Guards against needless writes of a new owner.
#[test]
fn a_row_that_has_expired_is_left_alone() {
    let started_at = BootInstant::now();
    let mut reporter = BacklogReporter::new(started_at);
    let stored = StoredBacklog::Row(row(backlog(), AT));
    let expired = AT.after(REPORT_VALIDITY + SECOND);
    let written = reporter.end_period(started_at + SECOND, expired, Backlog::new(), &stored);
    assert_eq!(written, None);
}

/// Guards against a row that an older build takes for one of its own: these are all kinds of rows
/// that it reads from the lease table by parts of their keys.
#[test]
fn readers_of_other_rows_ignore_the_key() {
    for lease in ["models", "models@north", "lease/models", "crash/1"] {
        let key = rows::backlog(lease).key;
        assert_eq!(rows::lease_name_of_key(&key), None);
        assert_eq!(rows::subject_of_slot_demand(&key), None);
        assert!(!rows::quarantine_key_range().contains(&key));
    }
}

/// Guards against a report that other nodes cannot read, and against a row of another kind that
/// counts as one.
#[test]
fn rows_round_trip_and_unreadable_ones_are_none() {
    let row = row(backlog(), AT);
    assert_eq!(BacklogRow::decode("backlog/m", &row.encode()), Some(row));
    for stored in [&b""[..], b"\xff\xff", b"{}", &[0xa1, 0x61, b'x', 0x01]] {
        assert_eq!(BacklogRow::decode("backlog/m", stored), None);
    }
}
