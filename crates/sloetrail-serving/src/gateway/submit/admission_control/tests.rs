use super::{MAX_KEPT_BATCHES, RefusedBatch, SetRecord, SubmittedBatch, push_bounded};
use crate::owner::backlog_report::{Backlog, BacklogRow};
use sloetrail_types::{Timestamp, Urgency};
use std::time::Duration;

const AT: Timestamp = Timestamp(100_000);

fn batch(submitted_at: Timestamp) -> SubmittedBatch {
    SubmittedBatch {
        model: "m".to_owned(),
        urgency: Urgency::new(None, 1),
        submitted_at,
        run_target: Duration::from_secs(5),
        required_units: 1.0,
    }
}

fn refused(submitted_at: Timestamp) -> RefusedBatch {
    RefusedBatch {
        batch: batch(submitted_at),
        epoch: 1,
        reported_at: submitted_at,
    }
}

fn ended(at: Timestamp) -> BacklogRow {
    BacklogRow {
        models: Backlog::default(),
        epoch: 1,
        at,
    }
}

/// Guards against counting a refusal in error twice, or not at all if the next batch comes late.
#[test]
fn a_refusal_in_error_is_counted_once() {
    let mut record = SetRecord::default();
    push_bounded(&mut record.refused, refused(AT));
    let report = ended(AT.after(Duration::from_secs(1)));
    record.forget_old(&batch(AT.after(Duration::from_secs(60))), &report);
    assert_eq!(record.take_wrongly_refused(&report), 1);
    assert_eq!(record.take_wrongly_refused(&report), 0);
}

/// Guards against records that are kept after they have lost their use.
#[test]
fn records_are_forgotten() {
    let mut record = SetRecord::default();
    let later = |seconds: u64| AT.after(Duration::from_secs(seconds));
    for _ in 0..2 * MAX_KEPT_BATCHES {
        push_bounded(&mut record.accepted, batch(later(1)));
        push_bounded(&mut record.refused, refused(AT));
    }
    assert_eq!(record.accepted.len(), MAX_KEPT_BATCHES);
    assert_eq!(record.refused.len(), MAX_KEPT_BATCHES);
    record.forget_old(&batch(later(4)), &ended(AT));
    assert_eq!(record.accepted.len(), MAX_KEPT_BATCHES);
    assert_eq!(record.refused.len(), MAX_KEPT_BATCHES);
    record.forget_old(&batch(later(6)), &ended(later(4)));
    assert!(record.accepted.is_empty(), "the report includes them");
    assert!(record.refused.is_empty(), "past due");
}
