use super::{MAX_PAGE_BYTES, MAX_WAIT, READ_INTERVAL, ResultWait};
use sloetrail_batch::{BatchHeader, ListedResult};
use sloetrail_clock::BootInstant;
use sloetrail_types::{AllowedRegions, ServiceName, WeightVersion};
use std::time::Duration;

const ACCEPTED_AT_MS: u64 = 10_000;
const RUN_TARGET_MS: u64 = 7_500;
const DUE_AT_MS: u64 = ACCEPTED_AT_MS + RUN_TARGET_MS;

fn header() -> BatchHeader {
    BatchHeader {
        service: ServiceName::from("models"),
        host: "a.example".to_owned(),
        total: 8,
        body_rows: 1,
        accepted_at_ms: ACCEPTED_AT_MS,
        max_attempts: 2,
        retention_ms: 40_000,
        single_version: false,
        run_target_ms: RUN_TARGET_MS,
        priority: 1,
        tenant: None,
        tenant_priority: None,
        allowed_regions: AllowedRegions::everywhere(),
        model: None,
        oldest_version: WeightVersion(0),
    }
}

fn result(groups_are_whole: bool) -> ListedResult {
    ListedResult {
        groups_are_whole,
        ..ListedResult::dead("a1".to_owned())
    }
}

/// How long a reader is kept that waits for `wait` and for whom this is known.
fn kept_for(wait: Duration, now_ms: Option<u64>, known: &[ListedResult]) -> Duration {
    let began = BootInstant::now();
    let time = ResultWait::new(began, wait, &header(), now_ms);
    time.wait_deadline(known) - began
}

#[test]
fn a_reader_without_a_waiting_time_is_answered_at_once() {
    let now = Some(ACCEPTED_AT_MS);
    assert_eq!(kept_for(Duration::ZERO, now, &[]), Duration::ZERO);
    let known = [result(false)];
    assert_eq!(kept_for(Duration::ZERO, now, &known), Duration::ZERO);
}

#[test]
fn a_reader_is_kept_while_nothing_that_it_can_use_is_there() {
    let now = Some(ACCEPTED_AT_MS);
    assert_eq!(kept_for(MAX_WAIT, now, &[]), MAX_WAIT);
    assert_eq!(kept_for(MAX_WAIT, now, &[result(false)]), MAX_WAIT);
    let short = Duration::from_millis(300);
    assert_eq!(kept_for(short, now, &[result(false)]), short);
}

#[test]
fn a_reader_is_answered_at_once_when_the_groups_that_are_waited_for_are_whole() {
    let known = [result(false), result(true), result(false)];
    let kept = kept_for(MAX_WAIT, Some(ACCEPTED_AT_MS), &known);
    assert_eq!(kept, Duration::ZERO);
}

#[test]
fn a_reader_is_answered_at_once_when_an_answer_holds_no_more() {
    let mut long = result(false);
    long.text = "t".repeat(MAX_PAGE_BYTES);
    let kept = kept_for(MAX_WAIT, Some(ACCEPTED_AT_MS), &[long]);
    assert_eq!(kept, Duration::ZERO);
}

#[test]
fn results_of_a_batch_that_is_due_wait_no_longer_than_between_two_reads() {
    let known = [result(false)];
    let nearly_due = Some(DUE_AT_MS - 700);
    let until_due = Duration::from_millis(700);
    assert_eq!(kept_for(MAX_WAIT, nearly_due, &known), until_due);
    for now in [Some(DUE_AT_MS - 100), Some(DUE_AT_MS + 100), None] {
        assert_eq!(kept_for(MAX_WAIT, now, &known), READ_INTERVAL);
    }
}

#[test]
fn nobody_is_kept_for_longer_than_the_limit() {
    let kept = kept_for(Duration::from_secs(60), Some(ACCEPTED_AT_MS), &[]);
    assert_eq!(kept, MAX_WAIT);
}

#[test]
fn a_reader_that_can_use_any_result_is_kept_only_while_there_is_none() {
    let began = BootInstant::now();
    let time = ResultWait::for_any_result(began, MAX_WAIT);
    assert_eq!(time.wait_deadline(&[]) - began, MAX_WAIT);
    assert_eq!(time.wait_deadline(&[result(false)]), began);
}
