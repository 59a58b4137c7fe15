use super::{Admission, RefusedBatch, SubmittedBatch, decide, retry_after};
use crate::owner::backlog_report::{Backlog, BacklogRow, BatchBacklog, ReportedBacklog};
use sloetrail_types::{TimeSpan, Timestamp, Urgency};
use std::time::Duration;

const MODEL: &str = "m";
const AT: Timestamp = Timestamp(100_000);
const TARGET: Duration = Duration::from_secs(5);
const UNITS_PER_SECOND: f64 = 100.0;

fn after(seconds: f64) -> Timestamp {
    Timestamp((AT.0 as f64 + seconds * 1_000.0) as u64)
}

fn urgency(priority: u8) -> Urgency {
    Urgency::new(None, priority)
}

/// A batch of priority 2 that is submitted this long after the report was written.
fn batch(seconds: f64) -> SubmittedBatch {
    SubmittedBatch {
        model: MODEL.to_owned(),
        urgency: urgency(2),
        submitted_at: after(seconds),
        run_target: TARGET,
        required_units: 2.0 * UNITS_PER_SECOND,
    }
}

fn open(priority: u8, due_in: f64, seconds: f64) -> BatchBacklog {
    BatchBacklog {
        urgency: urgency(priority),
        due_at: after(due_in),
        time_to_finish: TimeSpan::from_secs_f64(seconds).expect("valid"),
    }
}

fn report(batches: Vec<BatchBacklog>) -> BacklogRow {
    let backlog = ReportedBacklog {
        units_per_second: UNITS_PER_SECOND,
        batches,
    };
    BacklogRow {
        models: Backlog::from([(MODEL.to_owned(), backlog)]),
        epoch: 1,
        at: AT,
    }
}

/// A report of open work of priority 2 that takes this long.
fn backlog_of(seconds: f64) -> BacklogRow {
    report(vec![open(2, 1.0, seconds)])
}

fn is_refused(batch: &SubmittedBatch, report: &BacklogRow) -> bool {
    decide(batch, report, &[]) != Admission::Accept
}

/// Guards against accepting work that cannot begin in time, and against refusing work that can.
#[test]
fn batch_is_refused_only_if_the_work_ahead_exceeds_its_run_target() {
    assert!(!is_refused(&batch(0.0), &backlog_of(5.0)));
    let decision = decide(&batch(0.0), &backlog_of(8.0), &[]);
    let expected = Admission::Refuse {
        time_ahead: Duration::from_secs(8),
        fits_in: Duration::from_secs(3),
    };
    assert_eq!(decision, expected);
    let patient = SubmittedBatch {
        run_target: Duration::from_secs(9),
        ..batch(0.0)
    };
    assert!(!is_refused(&patient, &backlog_of(8.0)));
}

/// Guards against counting work that the engines have done since the report was written.
#[test]
fn the_age_of_the_report_counts() {
    assert!(is_refused(&batch(2.9), &backlog_of(8.0)));
    assert!(!is_refused(&batch(3.1), &backlog_of(8.0)));
}

/// Guards against refusing batches because of an owner that is gone, or of a wrong clock.
#[test]
fn a_stale_or_future_report_refuses_nothing() {
    let endless = backlog_of(1e9);
    assert!(is_refused(&batch(4.9), &endless));
    assert!(!is_refused(&batch(5.1), &endless), "stale");
    let in_future = BacklogRow {
        at: after(1.0),
        ..endless.clone()
    };
    assert!(!is_refused(&batch(0.0), &in_future));
    let at_the_end_of_time = BacklogRow {
        at: Timestamp(u64::MAX),
        ..endless
    };
    assert!(!is_refused(&batch(0.0), &at_the_end_of_time));
}

/// Guards against refusing a batch for the backlog of another model.
#[test]
fn batch_of_a_model_without_report_is_accepted() {
    let other = SubmittedBatch {
        model: "other".to_owned(),
        ..batch(0.0)
    };
    assert!(!is_refused(&other, &backlog_of(1e9)));
    let ended = BacklogRow {
        models: Backlog::default(),
        ..backlog_of(0.0)
    };
    assert!(!is_refused(&batch(0.0), &ended));
}

/// Guards against refusing a batch for work that runs after it.
#[test]
fn only_work_that_goes_before_the_batch_counts() {
    let open = report(vec![
        open(1, 60.0, 3.0),
        open(2, 1.0, 3.0),
        open(2, 60.0, 1e6),
        open(3, 1.0, 1e6),
    ]);
    let with_priority = |priority: u8| SubmittedBatch {
        urgency: urgency(priority),
        ..batch(0.0)
    };
    assert!(!is_refused(&with_priority(0), &open), "the most urgent");
    assert!(!is_refused(&with_priority(1), &open), "due earlier");
    let decision = decide(&with_priority(2), &open, &[]);
    let time_ahead = Duration::from_secs(6);
    assert!(matches!(decision, Admission::Refuse { time_ahead: ahead, .. } if ahead == time_ahead));
    assert!(is_refused(&with_priority(3), &open));
}

/// Guards against a node that accepts any number of batches between two reports.
#[test]
fn batches_accepted_since_the_report_count() {
    let report = backlog_of(3.5);
    let decide_after = |accepted: &[SubmittedBatch]| decide(&batch(0.5), &report, accepted);
    assert_eq!(decide_after(&[]), Admission::Accept);
    assert_ne!(decide_after(&[batch(0.2), batch(0.3)]), Admission::Accept);
    let before = [batch(-0.2), batch(-0.1)];
    assert_eq!(
        decide_after(&before),
        Admission::Accept,
        "the report includes them"
    );
    let less_urgent = SubmittedBatch {
        urgency: urgency(3),
        ..batch(0.2)
    };
    let of_other_model = SubmittedBatch {
        model: "other".to_owned(),
        ..batch(0.2)
    };
    for other in [less_urgent, of_other_model] {
        let accepted = [other.clone(), other];
        assert_eq!(decide_after(&accepted), Admission::Accept, "{accepted:?}");
    }
}

/// Guards against a panic or a refusal caused by numbers that no owner writes.
#[test]
fn unusable_numbers_count_as_no_backlog() {
    for units_per_second in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        let mut report = backlog_of(3.5);
        let backlog = report.models.get_mut(MODEL).expect("reported");
        backlog.units_per_second = units_per_second;
        let accepted = [batch(0.2), batch(0.3)];
        assert_eq!(
            decide(&batch(0.5), &report, &accepted),
            Admission::Accept,
            "{units_per_second}"
        );
    }
    let longest = report(vec![open(2, 1.0, f64::INFINITY); 3]);
    assert!(is_refused(&batch(0.0), &longest), "held at the maximum");
}

/// Guards against a delay that the caller ignores.
#[test]
fn the_retry_delay_is_a_quarter_of_the_remaining_time_at_most() {
    let seconds = Duration::from_secs_f64;
    assert_eq!(retry_after(seconds(0.9), seconds(8.0)), seconds(0.9));
    assert_eq!(retry_after(seconds(60.0), seconds(8.0)), seconds(2.0));
    assert_eq!(retry_after(seconds(0.001), seconds(8.0)), seconds(0.2));
    assert_eq!(retry_after(seconds(1.0), Duration::ZERO), Duration::ZERO);
}

/// Guards against refusals in error that nobody sees, and against counting true ones.
#[test]
fn a_refusal_is_in_error_if_the_backlog_ends_in_time() {
    let refused = RefusedBatch {
        batch: batch(0.0),
        epoch: 1,
        reported_at: AT,
    };
    let ended = |epoch: u64, seconds: f64| BacklogRow {
        models: Backlog::default(),
        epoch,
        at: after(seconds),
    };
    assert!(refused.would_have_fitted(&ended(1, 1.0)));
    assert!(!refused.would_have_fitted(&ended(1, 2.6)), "too late");
    assert!(!refused.would_have_fitted(&ended(2, 1.0)), "a new owner");
    assert!(!refused.would_have_fitted(&ended(1, 0.0)), "no later one");
    let continuing = BacklogRow {
        at: after(1.0),
        ..backlog_of(4.0)
    };
    assert!(!refused.would_have_fitted(&continuing));
}
